//! A small deployment: the store, runners and daemons, a client and a record of what happens.

use std::fs::{self, File};
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{quote, Json};
use crate::proxy::Proxy;
use crate::runner::{unix_ms, Options};
use crate::store::Store;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub const KEY: &str = "d4a3hwrr6x73d3zji9n7";
pub const HOST: &str = "nony24.example";

/// The processes that this one has started and that may still run.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The longest time that a scenario may take.
const TIME_LIMIT: Duration = Duration::from_secs(116);

/// Ends all processes, and this one with 2, if the scenario takes too long.
pub fn limit_time() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case couldn't run: it took too long");
        end_children();
        std::process::exit(2);
    });
}

fn end_children() {
    for pid in CHILDREN.lock().unwrap().iter() {
        // SAFETY: a process is taken from the list before it is waited for.
        unsafe { kill(*pid as i32, SIGKILL) };
    }
}

fn remember(child: &Child) {
    CHILDREN.lock().unwrap().push(child.id());
}

/// Kills a process, if it still runs, and waits for its end.
fn end(child: &mut Child) {
    CHILDREN.lock().unwrap().retain(|pid| *pid != child.id());
    let _ = child.kill();
    let _ = child.wait();
}

/// Returns a loopback address of this process's own, so that scripts beside it take none of its ports.
pub fn own_ip() -> Ipv4Addr {
    Ipv4Addr::from(0x7f00_0000 | (std::process::id() & 0x003f_ffff) << 2 | 2)
}

/// Returns an address with a free port that hasn't been returned before.
fn free_addr() -> SocketAddr {
    static TAKEN: Mutex<Vec<SocketAddr>> = Mutex::new(Vec::new());
    loop {
        let listener = TcpListener::bind((own_ip(), 0)).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let mut taken = TAKEN.lock().unwrap();
        if !taken.contains(&addr) {
            taken.push(addr);
            return addr;
        }
    }
}

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    mesh: SocketAddr,
    admin: SocketAddr,
    child: Option<Child>,
    starts: u32,
}

pub struct Process {
    pub options: Options,
    child: Option<Child>,
    /// The paths to the runner and from it to the store, if they can be cut.
    paths: Option<[Proxy; 2]>,
}

/// When one of a task's runs began and ended, and on which runner.
#[derive(Clone, Debug)]
pub struct Span {
    pub runner: String,
    pub run: u64,
    pub from: u64,
    pub to: u64,
    pub how: String,
}

pub struct World {
    pub store: Arc<Store>,
    pub store_addr: SocketAddr,
    pub daemons: Vec<Daemon>,
    pub runners: Vec<Process>,
    pub trouble: bool,
    dir: PathBuf,
    record: Mutex<File>,
    /// When runners' processes were killed, by their id.
    pub kills: Vec<(String, u64)>,
    /// The disruptions: from when to when, and what.
    pub disruptions: Vec<(u64, u64, String)>,
}

impl Drop for World {
    fn drop(&mut self) {
        for child in self.daemons.iter_mut().filter_map(|d| d.child.as_mut()) {
            end(child);
        }
        for child in self.runners.iter_mut().filter_map(|r| r.child.as_mut()) {
            end(child);
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// A job's step as JSON, with one accelerator for each task.
pub fn step(count: u32, estimate_ms: u64, more: &str) -> String {
    format!(
        r#"{{"count":{count},"cpu":2000,"mem_mb":1024,"gpu":1,"estimate_ms":{estimate_ms}{more}}}"#
    )
}

impl World {
    pub fn new(folder: &str, trouble: bool) -> Self {
        let (store, store_addr) = Store::start();
        let dir = std::env::temp_dir().join(format!("mg-review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let record = File::create(PathBuf::from(folder).join("record.txt")).expect("the record");
        Self {
            store,
            store_addr,
            daemons: Vec::new(),
            runners: Vec::new(),
            trouble,
            dir,
            record: Mutex::new(record),
            kills: Vec::new(),
            disruptions: Vec::new(),
        }
    }

    pub fn note(&self, text: &str) {
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{} {text}", unix_ms());
    }

    /// Adds a configuration. Each route is a name, which is also its path, a priority and a service.
    pub fn configure(&self, version: u64, routes: &[(&str, u32, &str)], services: &[&str]) {
        let routes: Vec<String> = routes.iter().map(|(name, priority, service)| format!(
            r#"{{"name":"r-{name}","host":"{HOST}","prefix":"/{name}/","type":"unsafe","timeout_ms":3000,"target_duration_ms":3000,"priority":{priority},"service":"{service}","max_attempts":2,"slack_factor":3.0,"public":false}}"#
        )).collect();
        let services: Vec<String> = services.iter().map(|name| format!(
            r#"{{"name":"{name}","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"enforces_capacity":true,"standby":false}}"#
        )).collect();
        let text = format!(
            r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"kaje80","api_keys":["{KEY}"],"priority":1,"guaranteed":{{"gpu":0}}}}]}}"#,
            routes.join(","),
            services.join(",")
        );
        self.store.write("op/config", &text);
        self.note(&format!(
            "operator: configuration {version} acknowledged: {text}"
        ));
    }

    pub fn add_daemons(&mut self, count: usize) {
        for i in 0..count {
            self.daemons.push(Daemon {
                name: format!("edge-a-{}", i + 1),
                front: free_addr(),
                ready: free_addr(),
                mesh: free_addr(),
                admin: free_addr(),
                child: None,
                starts: 0,
            });
        }
        for i in 0..count {
            self.start_daemon(i);
        }
    }

    pub fn start_daemon(&mut self, i: usize) {
        let peers: Vec<String> = self
            .daemons
            .iter()
            .take(3)
            .map(|d| quote(&d.mesh.to_string()))
            .collect();
        let d = &mut self.daemons[i];
        // The text that the platform makes of deploy/settings.yaml.
        let settings = format!(
            "name: \"{}\"\ndc: \"zone-a\"\nlisten: \"{}\"\nmesh: \"{}\"\nadmin: \"{}\"\nstore: [\"{}\"]\nvm_list: \"127.0.0.1:1\"\npeers: [{}]\nlog: {{level: info, format: json, output: stdout}}\nplatform:\n  ready: \"{}\"\n  cores: 0.25\n  grace_s: 6\n  lease_limit_ms: 10000\n  status_s: 120\n  learn_run_times: true\n  restarted: {}\n",
            d.name, d.front, d.mesh, d.admin, self.store_addr, peers.join(","), d.ready, d.starts > 0
        );
        let path = self.dir.join(format!("{}.yaml", d.name));
        fs::write(&path, settings).expect("a settings file");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", d.name)));
        let log = log.expect("a log file");
        let program = std::env::current_dir()
            .expect("a folder")
            .join("target/release/marigoldgladed");
        let child = Command::new(program)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                remember(&child);
                d.child = Some(child);
            }
            Err(e) => {
                eprintln!("can't start a daemon: {e}");
                std::process::exit(2);
            }
        }
        d.starts += 1;
        let (name, pid) = (d.name.clone(), d.child.as_ref().map_or(0, Child::id));
        self.note(&format!("daemon {name} started, process {pid}"));
    }

    /// Stops a daemon by SIGTERM, waits until it has ended and starts it again.
    pub fn roll_daemon(&mut self, i: usize) {
        self.signal_daemon(i, SIGTERM);
        if let Some(child) = &mut self.daemons[i].child {
            let end = Instant::now() + Duration::from_secs(6);
            while Instant::now() < end && !matches!(child.try_wait(), Ok(Some(_))) {
                thread::sleep(Duration::from_millis(20));
            }
            self::end(child);
        }
        thread::sleep(Duration::from_millis(300));
        self.start_daemon(i);
    }

    pub fn signal_daemon(&self, i: usize, signal: i32) {
        if let Some(child) = &self.daemons[i].child {
            self.note(&format!(
                "daemon {} gets signal {signal}",
                self.daemons[i].name
            ));
            // SAFETY: the process is a child that hasn't been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn add_runner(&mut self, id: &str, service: &str, labels: &str, gpu: u64) -> usize {
        let listen = free_addr();
        let options = Options {
            id: id.to_owned(),
            listen,
            address: listen,
            store: self.store_addr,
            service: service.to_owned(),
            labels: labels.to_owned(),
            gpu,
            max_hold_ms: 10_000,
        };
        self.add(options, None)
    }

    /// Adds a runner whose paths can be cut.
    pub fn add_runner_behind_proxy(
        &mut self,
        id: &str,
        service: &str,
        labels: &str,
        gpu: u64,
    ) -> usize {
        let listen = free_addr();
        let paths = [Proxy::start(listen), Proxy::start(self.store_addr)];
        let options = Options {
            id: id.to_owned(),
            listen,
            address: paths[0].addr,
            store: paths[1].addr,
            service: service.to_owned(),
            labels: labels.to_owned(),
            gpu,
            max_hold_ms: 10_000,
        };
        self.add(options, Some(paths))
    }

    fn add(&mut self, options: Options, paths: Option<[Proxy; 2]>) -> usize {
        self.runners.push(Process {
            options,
            child: None,
            paths,
        });
        let i = self.runners.len() - 1;
        self.start_runner(i);
        i
    }

    /// Cuts a runner off from all other machines, or ends that.
    pub fn cut_runner(&self, i: usize, cut: bool) {
        let r = &self.runners[i];
        self.note(&format!(
            "runner {} {}",
            r.options.id,
            if cut {
                "is cut off"
            } else {
                "is reached again"
            }
        ));
        for path in r.paths.iter().flatten() {
            path.cut(cut);
        }
    }

    pub fn start_runner(&mut self, i: usize) {
        let r = &mut self.runners[i];
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join("runners.log"))
            .expect("a log file");
        let program = std::env::current_exe().expect("this program");
        let child = Command::new(program)
            .args(r.options.to_args())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("a runner");
        remember(&child);
        let (id, pid) = (r.options.id.clone(), child.id());
        r.child = Some(child);
        self.note(&format!("runner {id} started, process {pid}"));
    }

    pub fn kill_runner(&mut self, i: usize) {
        let r = &mut self.runners[i];
        if let Some(mut child) = r.child.take() {
            end(&mut child);
        }
        let id = r.options.id.clone();
        self.kills.push((id.clone(), unix_ms()));
        self.note(&format!("runner {id} killed"));
    }

    /// Calls a runner as the test.
    pub fn tell_runner(&self, i: usize, target: &str) {
        let r = &self.runners[i];
        self.note(&format!("test: {} {target}", r.options.id));
        http::call(
            r.options.listen,
            "POST",
            target,
            &[],
            "",
            Duration::from_secs(1),
        );
    }

    /// Makes a client's call at one daemon.
    pub fn call(
        &self,
        daemon: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let auth = format!("Token {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", auth.as_str()),
            ("Content-Type", "application/json"),
            ("Deadline-Ms", "3000"),
        ];
        let answer = http::call(
            self.daemons[daemon].front,
            method,
            path,
            &headers,
            body,
            Duration::from_secs(3),
        );
        let shown = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(s, b)| format!("{s} {b}"));
        self.note(&format!(
            "client: {method} {path} {body} at {} -> {shown}",
            self.daemons[daemon].name
        ));
        answer
    }

    /// Makes a client's call, again at the next daemon after a 5xx answer or none.
    pub fn request(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        for attempt in 0..20 {
            match self.call(attempt % self.daemons.len(), method, path, body) {
                Some((status, text)) if status < 500 => return Some((status, text)),
                _ => thread::sleep(Duration::from_millis(300)),
            }
        }
        None
    }

    pub fn submit(&self, route: &str, id: &str, spec: &str, steps: &str, more: &str) -> bool {
        let body = format!(r#"{{"spec":"{spec}","steps":[{steps}]{more}}}"#);
        matches!(
            self.request("POST", &format!("/{route}/{id}"), &body),
            Some((200, _))
        )
    }

    pub fn state(&self, route: &str, id: &str) -> String {
        match self.request("GET", &format!("/{route}/{id}"), "") {
            Some((200, body)) => {
                Json::parse(&body).map_or(String::new(), |b| b.get("state").text().to_owned())
            }
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }

    /// Waits until all daemons are ready; exits with 2 if they don't become so.
    pub fn wait_ready(&self) {
        for d in &self.daemons {
            let ready = || {
                let answer = http::call(d.ready, "GET", "/ready", &[], "", Duration::from_secs(1));
                matches!(answer, Some((200, _)))
            };
            self.wait(15, "a daemon is ready", ready);
        }
        self.wait(15, "there is an owner", || self.store.has("mg/live/owner"));
    }

    /// Waits until a condition holds; exits with 2 if that takes too long.
    pub fn wait(&self, seconds: u64, what: &str, mut holds: impl FnMut() -> bool) {
        let end = Instant::now() + Duration::from_secs(seconds);
        while !holds() {
            if Instant::now() > end {
                self.give_up(what);
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Says that the case couldn't run.
    fn give_up(&self, what: &str) -> ! {
        self.note(&format!("the case couldn't run: {what} didn't come about"));
        eprintln!("the case couldn't run: {what} didn't come about");
        self.copy_logs();
        end_children();
        let _ = fs::remove_dir_all(&self.dir);
        std::process::exit(2);
    }

    /// Returns the runs of a task so far, the earliest first. A run that goes on ends at `u64::MAX`.
    pub fn spans(&self, task: &str) -> Vec<Span> {
        let text = fs::read_to_string(self.dir.join("runners.log")).unwrap_or_default();
        let mut spans: Vec<Span> = Vec::new();
        for line in text.lines() {
            let words: Vec<&str> = line.split(' ').collect();
            let at: u64 = words[0].parse().unwrap_or(0);
            match words.as_slice() {
                [_, id, "start", t, run] if *t == task => spans.push(Span {
                    runner: (*id).to_owned(),
                    run: run.parse().unwrap_or(0),
                    from: at,
                    to: u64::MAX,
                    how: String::new(),
                }),
                [_, id, "end", t, run, how] if *t == task => {
                    let run: u64 = run.parse().unwrap_or(0);
                    for span in spans
                        .iter_mut()
                        .filter(|s| s.runner == *id && s.run == run && s.to == u64::MAX)
                    {
                        (span.to, span.how) = (at, (*how).to_owned());
                    }
                }
                [_, id, "up" | "down", ..] => {
                    for span in spans
                        .iter_mut()
                        .filter(|s| s.runner == *id && s.to == u64::MAX)
                    {
                        (span.to, span.how) = (at, "gone".to_owned());
                    }
                }
                _ => {}
            }
        }
        for (id, at) in &self.kills {
            for span in spans
                .iter_mut()
                .filter(|s| s.runner == *id && s.from <= *at && s.to > *at)
            {
                (span.to, span.how) = (*at, "killed".to_owned());
            }
        }
        spans
    }

    /// Returns how many runs of all tasks go on, on runners that are up.
    pub fn running(&self, tasks: &[String]) -> usize {
        tasks
            .iter()
            .filter(|t| self.spans(t).iter().any(|s| s.to == u64::MAX))
            .count()
    }

    /// Copies what the runners and the daemons wrote into the record.
    pub fn copy_logs(&self) {
        let runners = fs::read_to_string(self.dir.join("runners.log")).unwrap_or_default();
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "\n== what the runners did\n{runners}");
        for d in &self.daemons {
            let text =
                fs::read_to_string(self.dir.join(format!("{}.log", d.name))).unwrap_or_default();
            // What each call and run did stands above.
            let left_out = [
                "\"call answered\"",
                "\"task started\"",
                "\"run ended\"",
                "\"job accepted\"",
                "\"work placed\"",
            ];
            let lines: Vec<&str> = text
                .lines()
                .filter(|l| !left_out.iter().any(|m| l.contains(m)))
                .collect();
            let _ = writeln!(record, "== log of {}\n{}", d.name, lines.join("\n"));
        }
    }
}
