//! The daemons' processes, calls to them, and the record of a play.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use crate::http;
use crate::proxy;
use crate::store::{Store, Viewer};

/// What was sent, answered and run, with the seconds since the start of the play.
pub struct Record {
    began: Instant,
    file: File,
}

impl Record {
    pub fn new(folder: &str, trouble: bool) -> Self {
        let file = File::create(format!("{folder}/record.txt")).expect("the record can be written");
        let mut record = Self {
            began: Instant::now(),
            file,
        };
        record.line(if trouble {
            "with the disruption"
        } else {
            "without the disruption"
        });
        record
    }

    pub fn line(&mut self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.began.elapsed().as_secs_f64());
        let _ = writeln!(std::io::stdout(), "{line}");
        let _ = writeln!(self.file, "{line}");
    }

    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }
}

/// A daemon on fixed addresses, whose process can be ended and started again.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    program: String,
    folder: PathBuf,
    settings: String,
    child: Option<Child>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns free addresses, four for each daemon. Each daemon has a loopback address of its own, on which no
/// other process listens or connects while the daemon is down.
fn free_addrs(daemons: usize) -> Vec<[SocketAddr; 4]> {
    let process = std::process::id();
    let (high, low) = (1 + process / 250 % 250, 1 + process % 250);
    let listen = |i: usize| {
        let any_port = format!("127.{high}.{low}.{}:0", i + 1);
        std::array::from_fn(|_| TcpListener::bind(&any_port).expect("a free port"))
    };
    let listeners: Vec<[TcpListener; 4]> = (0..daemons).map(listen).collect();
    let addrs = listeners
        .iter()
        .map(|row| row.each_ref().map(|l| l.local_addr().expect("an address")));
    addrs.collect()
}

impl Daemon {
    /// Returns the daemons of a deployment, whose seeds are the first three of them.
    pub fn fleet(program: &str, count: usize, store: SocketAddr) -> Vec<Self> {
        let addrs = free_addrs(count);
        let seeds: Vec<String> = addrs
            .iter()
            .take(3)
            .map(|a| format!("\"{}\"", a[2]))
            .collect();
        let new = |(i, a)| Self::new(program, &format!("edge-{i}"), a, store, &seeds.join(","));
        addrs.into_iter().enumerate().map(new).collect()
    }

    /// Returns the daemons of a deployment, with a switch for each that cuts it off from the store and from the
    /// other daemons, but not from clients and runners.
    pub fn fleet_with_cuts(
        program: &str,
        count: usize,
        store: &Arc<Store>,
    ) -> (Vec<Self>, Vec<Arc<AtomicBool>>) {
        let addrs = free_addrs(count);
        let cuts: Vec<Arc<AtomicBool>> = (0..count).map(|_| Arc::default()).collect();
        let mut daemons = Vec::new();
        for (i, own) in addrs.iter().enumerate() {
            let others = (0..count).filter(|j| *j != i);
            let open = |j: usize| {
                let pair = [Arc::clone(&cuts[i]), Arc::clone(&cuts[j])];
                (addrs[j][2], proxy::start(addrs[j][2], pair))
            };
            let paths: Vec<(SocketAddr, SocketAddr)> = others.map(open).collect();
            let seeds: Vec<String> = paths.iter().map(|p| format!("\"{}\"", p.1)).collect();
            let viewer = Viewer {
                cut: Arc::clone(&cuts[i]),
                paths,
            };
            let store = store.serve_viewer(viewer);
            daemons.push(Self::new(
                program,
                &format!("edge-{i}"),
                *own,
                store,
                &seeds.join(","),
            ));
        }
        (daemons, cuts)
    }

    fn new(
        program: &str,
        name: &str,
        addrs: [SocketAddr; 4],
        store: SocketAddr,
        seeds: &str,
    ) -> Self {
        let [front, ready, mesh, admin] = addrs;
        let folder = std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let settings = format!(
            "name: \"{name}\"\ndc: \"dc-a\"\nlisten: \"{front}\"\nmesh: \"{mesh}\"\nadmin: \"{admin}\"\nstore: [\"{store}\"]\n\
             vm_list: \"127.0.0.1:1\"\npeers: [{seeds}]\nlog: {{level: info, format: json, output: stdout}}\nplatform:\n  ready: \"{ready}\"\n  \
             cores: 0.25\n  grace_s: 6\n  lease_limit_ms: 10000\n  status_s: 120\n  learn_run_times: true\n"
        );
        Self {
            name: name.to_owned(),
            front,
            ready,
            program: program.to_owned(),
            folder,
            settings,
            child: None,
        }
    }

    /// Starts the process; `again` unless the whole system starts for the first time.
    pub fn start(&mut self, again: bool) {
        let path = self.folder.join("settings.yaml");
        let text = format!("{}  restarted: {again}\n", self.settings);
        std::fs::write(&path, text).expect("the settings can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"));
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.map_or_else(|_| Stdio::null(), Stdio::from))
            .spawn();
        self.child = Some(child.expect("the daemon starts"));
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::call(
            self.ready,
            "GET",
            "/ready",
            "host: h\r\n",
            "",
            Duration::from_secs(1),
        );
        answer.is_some_and(|a| a.0 == 200)
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Makes a client's call, which waits for 3 s.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let headers = "host: h.example\r\nauthorization: Token secret\r\ndeadline-ms: 3000\r\n";
        http::call(
            self.front,
            method,
            path,
            headers,
            body,
            Duration::from_secs(3),
        )
    }
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() > end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}

/// The operator's configuration: an urgent queue and another one, both of one service.
pub const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"check","host":"h.example","prefix":"/check/","type":"unsafe","timeout_ms":3000,
"target_duration_ms":1000,"priority":0,"service":"pool-a","max_attempts":2,"slack_factor":3.0,"public":false},
{"name":"sweep","host":"h.example","prefix":"/sweep/","type":"unsafe","timeout_ms":3000,
"target_duration_ms":1000,"priority":2,"service":"pool-a","max_attempts":2,"slack_factor":3.0,"public":false}],
"services":[{"name":"pool-a","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,
"enforces_capacity":true,"standby":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"team","api_keys":["secret"],"guaranteed":{"gpu":16}}]}"#;
