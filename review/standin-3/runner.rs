//! A stand-in of a runner, one process for each.
//!
//! A task's `spec` says what the task takes and does: `gpu=N`, `run_ms=N` (it ends `done` then), or `lasts`.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::json::{quote, Json};

const BEAT: Duration = Duration::from_millis(1_500);
/// How long a task that lasts takes to start up.
const STARTUP_MS: u64 = 200;

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// What a runner is started with.
#[derive(Clone, Debug)]
pub struct Options {
    pub id: String,
    /// Where it listens, and where others reach it.
    pub listen: SocketAddr,
    pub address: SocketAddr,
    pub store: SocketAddr,
    pub service: String,
    pub labels: String,
    pub gpu: u64,
    pub max_hold_ms: u64,
}

impl Options {
    pub fn to_args(&self) -> Vec<String> {
        vec![
            "runner".into(),
            self.id.clone(),
            self.listen.to_string(),
            self.address.to_string(),
            self.store.to_string(),
            self.service.clone(),
            self.labels.clone(),
            self.gpu.to_string(),
            self.max_hold_ms.to_string(),
        ]
    }

    pub fn from_args(a: &[String]) -> Self {
        Self {
            id: a[0].clone(),
            listen: a[1].parse().expect("an address"),
            address: a[2].parse().expect("an address"),
            store: a[3].parse().expect("an address"),
            service: a[4].clone(),
            labels: a[5].clone(),
            gpu: a[6].parse().expect("a number"),
            max_hold_ms: a[7].parse().expect("a number"),
        }
    }
}

struct Run {
    number: u64,
    began: u64,
    /// How long it works; `None` if it lasts.
    work_ms: Option<u64>,
    gpu: u64,
}

#[derive(Default)]
struct State {
    token: u64,
    lease: u64,
    running: BTreeMap<String, Run>,
    /// The highest run of each task that was stopped or has ended here.
    barred: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last: u64,
    draining: Option<Instant>,
    seq: u64,
}

struct Runner {
    options: Options,
    origin: Instant,
    born: u64,
    state: Mutex<State>,
    ended: Condvar,
}

fn log(runner: &Runner, text: &str) {
    let line = format!("{} {} {text}\n", unix_ms(), runner.options.id);
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(line.as_bytes());
    let _ = out.flush();
}

fn field(spec: &str, name: &str) -> Option<u64> {
    spec.split(' ')
        .find_map(|w| w.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

impl Runner {
    fn clock(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64 + 1
    }

    fn end(&self, s: &mut State, task: &str, how: &'static str) {
        if let Some(run) = s.running.remove(task) {
            s.last += 1;
            s.finished.push((s.last, task.to_owned(), run.number, how));
            let bar = s.barred.entry(task.to_owned()).or_default();
            *bar = (*bar).max(run.number);
            log(self, &format!("end {task} {} {how}", run.number));
            self.ended.notify_all();
        }
    }

    fn advance(&self, s: &mut State) {
        let now = self.clock();
        let over = |r: &Run| r.work_ms.is_some_and(|ms| now >= r.began + ms);
        let done: Vec<String> = s
            .running
            .iter()
            .filter(|(_, r)| over(r))
            .map(|(t, _)| t.clone())
            .collect();
        for task in done {
            self.end(s, &task, "done");
        }
        if now > s.lease {
            let all: Vec<String> = s.running.keys().cloned().collect();
            for task in all {
                self.end(s, &task, "lapsed");
            }
        }
    }

    fn extend(&self, s: &mut State, deadline: u64) {
        s.lease = s
            .lease
            .max(deadline.min(self.clock() + self.options.max_hold_ms));
    }

    fn answer(&self, status: u16, reason: &str) -> Option<(u16, String)> {
        let reason = if reason.is_empty() {
            String::new()
        } else {
            format!(r#","reason":"{reason}""#)
        };
        Some((
            status,
            format!(
                r#"{{"clock_ms":{},"born":{}{reason}}}"#,
                self.clock(),
                self.born
            ),
        ))
    }

    fn handle(&self, r: &Request) -> Option<(u16, String)> {
        if r.path == "/health" {
            return Some((200, "{}".to_owned()));
        }
        // The next calls are the test's own.
        if r.path == "/test/fail" {
            let mut s = self.state.lock().unwrap();
            self.end(&mut s, r.arg("task"), "failed");
            return Some((200, "{}".to_owned()));
        }
        if r.path == "/test/drain" {
            self.state.lock().unwrap().draining =
                Some(Instant::now() + Duration::from_millis(r.arg("ms").parse().ok()?));
            self.beat();
            return Some((200, "{}".to_owned()));
        }
        let instance = r.header("Expect-Instance");
        if !instance.is_empty() && instance != self.options.id {
            return self.answer(421, "");
        }
        let body = Json::parse(&r.body)?;
        let (task, number, token) = (
            body.get("task").text(),
            body.get("run").num(),
            body.get("fencing_token").num(),
        );
        let mut s = self.state.lock().unwrap();
        self.advance(&mut s);
        if token < s.token {
            return self.answer(409, "fence");
        }
        s.token = token;
        match r.path.as_str() {
            "/run-start" => {
                let deadline = body.get("deadline_ms").num();
                if deadline < self.clock() {
                    log(self, &format!("late {task} {number}"));
                    return self.answer(409, "late");
                }
                if s.running.get(task).is_some_and(|run| run.number == number) {
                    self.extend(&mut s, deadline);
                    return self.answer(200, "");
                }
                self.extend(&mut s, deadline);
                if s.running.contains_key(task) || s.barred.get(task).is_some_and(|b| number <= *b)
                {
                    log(self, &format!("old {task} {number}"));
                    return self.answer(409, "old");
                }
                let spec = body.get("spec").text();
                let gpu = field(spec, "gpu").unwrap_or(1);
                let taken: u64 = s.running.values().map(|r| r.gpu).sum();
                if taken + gpu > self.options.gpu {
                    return self.answer(409, "room");
                }
                let run = Run {
                    number,
                    began: self.clock(),
                    work_ms: field(spec, "run_ms"),
                    gpu,
                };
                s.running.insert(task.to_owned(), run);
                log(self, &format!("start {task} {number}"));
                self.answer(200, "")
            }
            "/run-stop" => {
                if s.running.get(task).is_some_and(|run| run.number == number) {
                    self.end(&mut s, task, "stopped");
                }
                let bar = s.barred.entry(task.to_owned()).or_default();
                *bar = (*bar).max(number);
                self.answer(200, "")
            }
            "/pace" => self.answer(200, ""),
            "/hold" => {
                let deadline = body.get("deadline_ms").num();
                if deadline > 0 {
                    self.extend(&mut s, deadline);
                }
                let seen = body.get("last_seen").num();
                s.finished.retain(|(n, ..)| *n > seen);
                let end =
                    Instant::now() + Duration::from_millis(body.get("wait_ms").num().min(2_000));
                while s.finished.is_empty() && Instant::now() < end {
                    let left = end
                        .saturating_duration_since(Instant::now())
                        .min(Duration::from_millis(10));
                    s = self.ended.wait_timeout(s, left).unwrap().0;
                    self.advance(&mut s);
                }
                let now = self.clock();
                let running: Vec<String> = s
                    .running
                    .iter()
                    .map(|(t, r)| {
                        let whole = r.work_ms.unwrap_or(STARTUP_MS).max(1);
                        let percent = ((now - r.began) * 100 / whole).min(100);
                        format!(r#"[{},{},"",{percent},0]"#, quote(t), r.number)
                    })
                    .collect();
                let finished: Vec<String> = s
                    .finished
                    .iter()
                    .take(500)
                    .map(|(n, t, run, how)| format!(r#"[{n},{},{run},"{how}",""]"#, quote(t)))
                    .collect();
                Some((
                    200,
                    format!(
                        r#"{{"clock_ms":{now},"born":{},"running":[{}],"finished":[{}]}}"#,
                        self.born,
                        running.join(","),
                        finished.join(",")
                    ),
                ))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn beat(&self) {
        let mut s = self.state.lock().unwrap();
        s.seq += 1;
        let labels: Vec<String> = self.options.labels.split(',').map(quote).collect();
        let state = match s.draining {
            Some(at) => format!(
                r#""draining","remaining_ms":{}"#,
                at.saturating_duration_since(Instant::now()).as_millis()
            ),
            None => r#""ready""#.to_owned(),
        };
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"zone-a","version":"v1","slots":8,"state":{state},"cold_remaining_ms":0,"capacity":{{"cpu":{},"mem_mb":131072,"gpu":{}}},"labels":[{}],"clock_ms":{},"born":{},"seq":{}}}"#,
            self.options.service,
            self.options.address,
            self.options.gpu * 4_000,
            self.options.gpu,
            labels.join(","),
            self.clock(),
            self.born,
            s.seq
        );
        drop(s);
        let target = format!("/beat?id={}", self.options.id);
        let _ = http::call(
            self.options.store,
            "POST",
            &target,
            &[],
            &entry,
            Duration::from_secs(1),
        );
    }
}

/// Runs a runner until its process ends.
pub fn run(options: Options) {
    let listener = TcpListener::bind(options.listen).expect("the runner's address");
    let runner = Arc::new(Runner {
        options,
        origin: Instant::now(),
        born: unix_ms(),
        state: Mutex::default(),
        ended: Condvar::new(),
    });
    log(&runner, &format!("up {}", runner.born));
    let served = Arc::clone(&runner);
    http::serve(listener, move |r| served.handle(r));
    let timed = Arc::clone(&runner);
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(5));
        let mut s = timed.state.lock().unwrap();
        timed.advance(&mut s);
    });
    loop {
        runner.beat();
        let mut left = BEAT;
        while !left.is_zero() {
            let step = Duration::from_millis(50).min(left);
            thread::sleep(step);
            left -= step;
            let over = runner
                .state
                .lock()
                .unwrap()
                .draining
                .is_some_and(|at| at <= Instant::now());
            if over {
                let target = format!("/leave?id={}", runner.options.id);
                let _ = http::call(
                    runner.options.store,
                    "POST",
                    &target,
                    &[],
                    "",
                    Duration::from_secs(1),
                );
                log(&runner, "down left");
                std::process::exit(0);
            }
        }
    }
}
