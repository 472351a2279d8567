//! Planned work on daemons that run as processes: stops, reloads and new configurations come in series and
//! overlap, while callers keep their connections open until the daemon closes them or is gone.
//!
//! Every request that was sent whole must get a whole answer. Times are recorded, and judged after the run.
//! `SOAK_SEEDS=100..150` runs other seeds than the short run.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;
#[path = "support/http.rs"]
mod http;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write as _};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cluster::{Cluster, Daemon, document, job, wait_until};
use http::read_answer;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use standin::proxy::Flow;

/// The seeds of the short run. With 2, a second SIGTERM cut off calls in flight, and requests written back to back
/// were dropped behind an answer that closed the connection.
const SEEDS: [u64; 2] = [1, 2];
/// How long planned work goes on for one seed.
const WORK_TIME: Duration = Duration::from_secs(9);
const CALLERS: u64 = 10;
const DAEMONS: usize = 3;
/// How long after its last byte was sent a request may be cut off unanswered, in milliseconds; the
/// platform's bound.
const LOSS_SLACK_MS: u64 = 200;
/// How often a daemon is asked for the state of a job at the end.
const STATE_TRIES: u32 = 50;
/// How long callers wait for an answer, in milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// The time after which an accepted job is known to all daemons, in milliseconds; the platform's bound.
const VISIBLE_MS: u64 = 3_000;
/// The time from SIGTERM to the kill, in milliseconds, as in the daemons' settings.
const GRACE_MS: u64 = 6_000;
/// How long a caller reads before it gives up, beyond every bound of the daemon.
const READ_LIMIT_MS: u64 = 9_000;

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    Answered(u16, String),
    /// The connection ended after this many bytes of the answer.
    Cut(usize, String),
}

/// A call that was sent whole; times are in milliseconds since the start of the run.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "messages show all fields")]
struct Call {
    method: &'static str,
    id: u64,
    /// The daemon's process.
    daemon: String,
    /// When the connection was opened.
    opened: u64,
    /// The number of the call in its batch, and the number of calls in it.
    place: (usize, usize),
    sent: u64,
    ended: u64,
    outcome: Outcome,
}

/// What the callers and the planned work share.
struct Shared {
    origin: Instant,
    /// The name and the address of each daemon's newest process.
    fronts: Mutex<Vec<(String, String)>>,
    calls: Mutex<Vec<Call>>,
    /// When each job was first acknowledged.
    accepted: Mutex<BTreeMap<u64, u64>>,
    cancelled: Mutex<BTreeSet<u64>>,
    next_id: AtomicU64,
    over: AtomicBool,
}

impl Shared {
    fn now(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).expect("in range")
    }
}

/// Returns the text of a call about a job, or about all jobs if the id is zero.
fn request_text(method: &str, id: u64, run_ms: u64) -> String {
    let path = match id {
        0 => "/sweep/".to_owned(),
        id => format!("/sweep/{id:016x}"),
    };
    let body = match method {
        "POST" => job(&format!("run_ms={run_ms}"), 1).to_string(),
        _ => String::new(),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: h.example\r\nauthorization: Token secret\r\n\
         deadline-ms: {DEADLINE_MS}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A caller with one connection at a time, which it uses for as long as it can.
struct Caller {
    shared: Arc<Shared>,
    rng: ChaCha8Rng,
}

impl Caller {
    fn run(&mut self) {
        while !self.shared.over.load(Ordering::Relaxed) {
            let fronts = self.shared.fronts.lock().expect("no panic").clone();
            let (daemon, addr) = &fronts[self.rng.random_range(0..fronts.len())];
            match TcpStream::connect(addr) {
                Ok(stream) => self.use_connection(daemon, &stream),
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    /// Sends calls on a connection until it ends.
    fn use_connection(&mut self, daemon: &str, stream: &TcpStream) {
        stream.set_nodelay(true).expect("an open socket");
        stream
            .set_read_timeout(Some(Duration::from_millis(READ_LIMIT_MS)))
            .expect("an open socket");
        let opened = self.shared.now();
        let mut input = BufReader::new(stream);
        while !self.shared.over.load(Ordering::Relaxed) {
            let size = match self.rng.random_range(0..4) {
                0 => self.rng.random_range(2..7),
                _ => 1,
            };
            let calls: Vec<(&'static str, u64)> = (0..size).map(|_| self.pick_call()).collect();
            let Some(sent) = self.send(stream, &calls) else {
                return;
            };
            let mut ended = None;
            for (i, (method, id)) in calls.into_iter().enumerate() {
                let outcome = match &ended {
                    Some((at, outcome)) => (*at, Clone::clone(outcome)),
                    None => {
                        let answer = read_answer(&mut input);
                        let at = self.shared.now();
                        match answer {
                            Ok(answer) => {
                                if answer.closes {
                                    let why = "the answer before says close".to_owned();
                                    ended = Some((at, Outcome::Cut(0, why)));
                                }
                                (at, Outcome::Answered(answer.status, answer.body))
                            }
                            Err((bytes, why)) => {
                                let cut = (at, Outcome::Cut(bytes, why));
                                ended = Some(cut.clone());
                                cut
                            }
                        }
                    }
                };
                self.record(Call {
                    method,
                    id,
                    daemon: daemon.to_owned(),
                    opened,
                    place: (i, size),
                    sent,
                    ended: outcome.0,
                    outcome: outcome.1,
                });
            }
            if ended.is_some() {
                return;
            }
            std::thread::sleep(Duration::from_millis(self.rng.random_range(0..120)));
        }
    }

    /// Returns the method and the job of a call.
    fn pick_call(&mut self) -> (&'static str, u64) {
        let accepted = self.shared.accepted.lock().expect("no panic");
        let pick = self.rng.random_range(0..accepted.len().max(1));
        let known = accepted.keys().nth(pick).copied();
        drop(accepted);
        match (self.rng.random_range(0..10), known) {
            (0..4, Some(id)) => ("GET", id),
            (4, Some(id)) => {
                let mut cancelled = self.shared.cancelled.lock().expect("no panic");
                cancelled.insert(id);
                ("DELETE", id)
            }
            (5, _) => ("GET", 0),
            _ => ("POST", self.shared.next_id.fetch_add(1, Ordering::Relaxed)),
        }
    }

    /// Writes calls back to back, in some cases with a pause in the middle; returns when the last byte was
    /// sent, or `None` if the connection broke before.
    fn send(&mut self, mut stream: &TcpStream, calls: &[(&'static str, u64)]) -> Option<u64> {
        let mut text = String::new();
        for (method, id) in calls {
            let run_ms = self.rng.random_range(50..600);
            text += &request_text(method, *id, run_ms);
        }
        let cut = self.rng.random_range(1..text.len());
        if self.rng.random_range(0..8) == 0 {
            stream.write_all(&text.as_bytes()[..cut]).ok()?;
            std::thread::sleep(Duration::from_millis(self.rng.random_range(0..300)));
            stream.write_all(&text.as_bytes()[cut..]).ok()?;
        } else {
            stream.write_all(text.as_bytes()).ok()?;
        }
        Some(self.shared.now())
    }

    fn record(&self, call: Call) {
        if call.method == "POST" && matches!(call.outcome, Outcome::Answered(200, _)) {
            let mut accepted = self.shared.accepted.lock().expect("no panic");
            accepted.insert(call.id, call.ended);
        }
        self.shared.calls.lock().expect("no panic").push(call);
    }
}

/// A daemon's place in the cluster.
#[derive(Default)]
struct Slot {
    /// The number of its process.
    process: u32,
    /// When its process was told to stop.
    stopped: Option<u64>,
    /// When its next process starts, if there is none.
    starts: Option<u64>,
}

/// The operator and the platform, which do the planned work.
struct Operator {
    cluster: Cluster,
    shared: Arc<Shared>,
    rng: ChaCha8Rng,
    slots: Vec<Slot>,
    /// What was done when.
    notes: Vec<(u64, String)>,
    faults: Vec<String>,
    /// The log lines of processes that have ended, with their names.
    old_logs: Vec<(String, Value)>,
}

impl Operator {
    fn note(&mut self, text: String) {
        self.notes.push((self.shared.now(), text));
    }

    fn process_name(&self, i: usize) -> String {
        format!("daemon-{i}/{}", self.slots[i].process)
    }

    fn keep_logs(&mut self, i: usize) {
        let name = self.process_name(i);
        let lines = self.cluster.daemons[i].log_lines();
        self.old_logs
            .extend(lines.into_iter().map(|l| (name.clone(), l)));
    }

    /// Notes the ends of processes, kills those whose grace is over, and starts the next ones.
    fn attend(&mut self) {
        for i in 0..self.slots.len() {
            let now = self.shared.now();
            if let Some(at) = self.slots[i].starts {
                if at <= now {
                    self.start(i);
                }
                continue;
            }
            let stopped = self.slots[i].stopped;
            if let Some(status) = self.cluster.daemons[i].try_wait() {
                let name = self.process_name(i);
                self.note(format!("{name} has ended: {status}"));
                if stopped.is_none() || !status.success() {
                    self.faults.push(format!(
                        "{name}, told to stop at {stopped:?}, has ended at {now}: {status}"
                    ));
                }
                self.slots[i].starts = Some(now + self.rng.random_range(0..600));
            } else if stopped.is_some_and(|at| now > at + GRACE_MS) {
                let name = self.process_name(i);
                self.note(format!("{name} is killed"));
                self.faults.push(format!(
                    "{name}, told to stop at {stopped:?}, hasn't ended at {now}"
                ));
                self.cluster.daemons[i].signal("KILL");
            }
        }
    }

    /// Starts a daemon's next process.
    fn start(&mut self, i: usize) {
        self.keep_logs(i);
        let daemon: Daemon = self.cluster.spawn(&format!("daemon-{i}"));
        if self.rng.random_range(0..2) == 0 {
            daemon.signal("HUP");
        }
        self.slots[i] = Slot {
            process: self.slots[i].process + 1,
            ..Slot::default()
        };
        let front = (self.process_name(i), daemon.front.clone());
        self.note(format!("{} starts", front.0));
        self.shared.fronts.lock().expect("no panic")[i] = front;
        self.cluster.daemons[i] = daemon;
    }

    /// Does one piece of planned work on a daemon or on the configuration.
    fn act(&mut self) {
        let i = self.rng.random_range(0..self.slots.len());
        let name = self.process_name(i);
        let up = self.slots[i].starts.is_none();
        match self.rng.random_range(0..8) {
            0 | 1 if up => {
                // At least one other daemon stays.
                let mut others = self.slots.iter().enumerate().filter(|(j, _)| *j != i);
                if others.all(|(_, s)| s.stopped.is_some()) {
                    return;
                }
                let now = self.shared.now();
                self.slots[i].stopped.get_or_insert(now);
                self.note(format!("SIGTERM to {name}"));
                self.cluster.daemons[i].signal("TERM");
            }
            2 if up => {
                self.note(format!("SIGHUP to {name}"));
                self.cluster.daemons[i].signal("HUP");
            }
            3 if up => {
                let file = self.cluster.daemons[i].settings.clone();
                let text = std::fs::read_to_string(&file).expect("a settings file");
                let connections = self.rng.random_range(1_000..4_000);
                let (text, _) = text.split_once("limits:").unwrap_or((&text, ""));
                let text = format!("{text}limits: {{connections: {connections}}}\n");
                std::fs::write(&file, text).expect("the settings are written");
                self.note(format!("new settings and SIGHUP to {name}"));
                self.cluster.daemons[i].signal("HUP");
            }
            4..7 => self.configure(),
            _ => {}
        }
    }

    /// Writes a new configuration that differs in time limits, a route or a key that callers don't use.
    fn configure(&mut self) {
        self.cluster.version += self.rng.random_range(1..5);
        let mut document = document(self.cluster.version, "secret");
        document["limits"]["idle_timeout_ms"] = json!(self.rng.random_range(5_000..16_000));
        document["limits"]["header_timeout_ms"] = json!(self.rng.random_range(1_000..4_000));
        document["routes"][1]["timeout_ms"] = json!(self.rng.random_range(2_000..4_000));
        if self.rng.random_range(0..2) == 0 {
            let mut route = document["routes"][1].clone();
            (route["name"], route["prefix"]) = (json!("night"), json!("/night/"));
            let routes = document["routes"].as_array_mut().expect("a list");
            routes.push(route);
        }
        let other = format!("other-{}", self.cluster.version);
        document["tenants"][0]["api_keys"] = json!(["secret", other]);
        let version = self.cluster.version;
        let text = document.to_string();
        self.cluster.store.put("op/config", text.as_bytes());
        self.note(format!("configuration {version}"));
    }
}

/// Returns why a call counts as lost, if it does.
fn find_loss(call: &Call, accepted: &BTreeMap<u64, u64>) -> Option<String> {
    match &call.outcome {
        Outcome::Cut(bytes, why) => {
            let waited = call.ended - call.sent;
            let lost = waited > LOSS_SLACK_MS && waited < DEADLINE_MS || waited >= READ_LIMIT_MS;
            lost.then(|| format!("cut off after {bytes} bytes of its answer: {why}"))
        }
        Outcome::Answered(410, _) if call.method == "GET" => {
            let at = accepted.get(&call.id)?;
            (call.sent > at + VISIBLE_MS).then(|| format!("not known; accepted at {at}"))
        }
        Outcome::Answered(200 | 410 | 503 | 504, _) => None,
        Outcome::Answered(status, body) => Some(format!("answered {status}: {body}")),
    }
}

fn run_seed(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let cluster = Cluster::with_paths(4, DAEMONS, 10_000);
    // In half of the runs the store is far away, so that calls take longer.
    let far = rng.random_range(0..2) == 0;
    if far {
        for paths in cluster.paths.values() {
            let delay = Duration::from_millis(rng.random_range(20..70));
            paths.store.set_both(Flow::Delayed(delay));
        }
    }
    let fronts = cluster.daemons.iter().enumerate();
    let fronts = fronts.map(|(i, d)| (format!("daemon-{i}/0"), d.front.clone()));
    let shared = Arc::new(Shared {
        origin: Instant::now(),
        fronts: Mutex::new(fronts.collect()),
        calls: Mutex::default(),
        accepted: Mutex::default(),
        cancelled: Mutex::default(),
        next_id: AtomicU64::new(1),
        over: AtomicBool::new(false),
    });
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let mut caller = Caller {
                shared: Arc::clone(&shared),
                rng: ChaCha8Rng::seed_from_u64(seed * 1_000 + n),
            };
            std::thread::spawn(move || caller.run())
        })
        .collect();
    let mut operator = Operator {
        slots: (0..DAEMONS).map(|_| Slot::default()).collect(),
        cluster,
        shared: Arc::clone(&shared),
        rng,
        notes: Vec::new(),
        faults: Vec::new(),
        old_logs: Vec::new(),
    };
    let mut next = 0;
    while shared.origin.elapsed() < WORK_TIME {
        operator.attend();
        if shared.now() >= next {
            operator.act();
            next = shared.now() + operator.rng.random_range(20..500);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    // Every stop comes to its end before the callers leave.
    while operator
        .slots
        .iter()
        .any(|s| s.stopped.is_some() || s.starts.is_some())
    {
        operator.attend();
        std::thread::sleep(Duration::from_millis(5));
    }
    shared.over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("no panic");
    }
    for daemon in &operator.cluster.daemons {
        wait_until("readiness", || daemon.is_ready());
    }
    judge(&mut operator, seed);
}

/// Returns a job's state, or the status and the body of the answer if it has none. A daemon that can't tell it
/// yet is asked again.
fn read_state(stream: &mut TcpStream, input: &mut BufReader<TcpStream>, id: u64) -> String {
    let mut last = String::new();
    for _ in 0..STATE_TRIES {
        let text = request_text("GET", id, 0);
        stream.write_all(text.as_bytes()).expect("it is sent");
        let answer = read_answer(input).expect("a whole answer");
        let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        match body["state"].as_str() {
            Some(state) => return state.to_owned(),
            None => last = format!("{} {}", answer.status, answer.body),
        }
        if answer.status == 410 {
            break;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    last
}

/// Checks the record of a run, and that every daemon knows every accepted job.
fn judge(operator: &mut Operator, seed: u64) {
    let shared = Arc::clone(&operator.shared);
    let calls = shared.calls.lock().expect("no panic").clone();
    let accepted = shared.accepted.lock().expect("no panic").clone();
    let cancelled = shared.cancelled.lock().expect("no panic").clone();
    let mut faults = std::mem::take(&mut operator.faults);
    for call in &calls {
        faults.extend(find_loss(call, &accepted).map(|why| format!("{why}: {call:?}")));
    }
    for daemon in &operator.cluster.daemons {
        let mut stream = TcpStream::connect(&daemon.front).expect("the daemon listens");
        let mut input = BufReader::new(stream.try_clone().expect("a second handle"));
        for (id, at) in &accepted {
            let state = read_state(&mut stream, &mut input, *id);
            let known = ["queued", "running", "completed"].contains(&state.as_str());
            if !(known || state == "canceled" && cancelled.contains(id)) {
                faults.push(format!("job {id:016x}, accepted at {at}: {state}"));
            }
        }
    }
    let cut = |c: &&Call| matches!(c.outcome, Outcome::Cut(..));
    println!(
        "seed {seed}: {} calls, {} cut off, {} jobs, {} pieces of work, {} faults",
        calls.len(),
        calls.iter().filter(cut).count(),
        accepted.len(),
        operator.notes.len(),
        faults.len(),
    );
    if faults.is_empty() {
        return;
    }
    for (at, note) in &operator.notes {
        eprintln!("{at} {note}");
    }
    for i in 0..operator.slots.len() {
        operator.keep_logs(i);
    }
    for (name, line) in &operator.old_logs {
        let call = line["message"] == "call answered";
        if !call
            && (line["level"] == "WARN"
                || line["message"]
                    .as_str()
                    .is_some_and(|m| m.starts_with("daemon")))
        {
            eprintln!("{name}: {line}");
        }
    }
    panic!("seed {seed}: {faults:#?}");
}

fn seeds(short: &[u64]) -> Vec<u64> {
    match std::env::var("SOAK_SEEDS") {
        Ok(range) => {
            let (first, last) = range.split_once("..").expect("SOAK_SEEDS is FIRST..LAST");
            (first.parse().expect("a number")..last.parse().expect("a number")).collect()
        }
        Err(_) => short.to_vec(),
    }
}

/// Guards against requests that are read whole and cut off without a whole answer around stops, reloads and
/// new configurations, and against accepted jobs that aren't known afterwards.
#[test]
fn requests_are_answered_whole_around_planned_work() {
    for seed in seeds(&SEEDS) {
        run_seed(seed);
    }
}
