//! The stand-ins and the daemons of a case, the record of what happened, and a caller.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use marigoldglade::batch::id::TaskId;
use marigoldglade::batch::worker::Outcome;
use platform_standin::store::{Endpoint, Store};
use platform_standin::worker::Worker;
use serde_json::{Value, json};
use standin::batch_worker::WorkerEvent;

use crate::http::{self, Response};
use crate::store_proxy::StoreProxy;

pub const POOL: &str = "pool-a";
/// How long callers wait for an answer: the deadline of the small deployments' kinds of request.
const CALLER_WAIT: Duration = Duration::from_millis(3_000);
const START_LIMIT: Duration = Duration::from_secs(20);

/// The record of a case: what was sent, answered and run.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    pub fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn note(&self, text: &str) {
        let at = self.elapsed_ms();
        self.note_at(at, text);
    }

    pub fn note_at(&self, at_ms: u64, text: &str) {
        let mut file = self.file.lock().expect("no panic");
        let _ = writeln!(file, "{:>7}.{:03}  {text}", at_ms / 1_000, at_ms % 1_000);
    }
}

/// A daemon's process, which is killed when this is dropped.
struct Daemon {
    child: Child,
    front: SocketAddr,
    admin: SocketAddr,
    _endpoint: Endpoint,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A worker's entry in the registry.
pub struct Entry {
    pub name: String,
    pub addr: SocketAddr,
    pub rack: String,
    pub state: &'static str,
    pub started_at: u64,
    pub seq: u64,
}

/// A run of a task, on the clock of the record.
pub struct RunSpan {
    pub task: TaskId,
    pub run: u64,
    pub worker: usize,
    pub began_ms: u64,
    /// When and how it ended; `None` while it goes on.
    pub ended: Option<(u64, Outcome)>,
}

pub struct World {
    pub record: Arc<Record>,
    pub workers: Vec<Worker>,
    pub proxies: Vec<StoreProxy>,
    pub fronts: Vec<SocketAddr>,
    /// The workers' addresses.
    addrs: Vec<SocketAddr>,
    daemons: Vec<Daemon>,
    folder: PathBuf,
    store: Store,
}

impl Drop for World {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn configuration() -> Value {
    let route = |name: &str, priority: u32| {
        json!({
            "name": name, "host": "h.example", "prefix": format!("/{name}/"), "type": "unsafe",
            "timeout_ms": 3000, "target_duration_ms": 1000, "priority": priority, "service": POOL,
            "max_attempts": 2, "slack_factor": 3.0, "public": false,
        })
    };
    json!({
        "version": 3,
        "routes": [route("urgent", 0), route("sweep", 1), route("survey", 2)],
        "services": [{"name": POOL, "health_path": "/health", "max_conns": 64, "protocol": "h1",
            "tls": false, "enforces_capacity": true, "standby": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262_144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "team", "api_keys": ["secret"], "guaranteed": {"gpu": 16}}],
    })
}

impl World {
    /// Starts the stand-ins and the daemons, and waits until they are ready and have an owner.
    ///
    /// Each worker has eight accelerators and is the only one with its rack's label, `rack-N`.
    pub fn start(daemon: &Path, folder: &Path, daemons: usize, workers: usize) -> Option<Self> {
        let record = Arc::new(Record::create(&folder.join("record.txt")).ok()?);
        let store = Store::default();
        store.put("op/config", configuration().to_string().as_bytes());
        let worker = |i| Worker::start(&store, &format!("i-{i}"), POOL, &format!("rack-{i}")).ok();
        let workers: Vec<Worker> = (0..workers).map(worker).collect::<Option<_>>()?;
        // A worker tells its address only in its registry entry.
        let addr = |i| read_addr(&store, &format!("i-{i}"));
        let addrs: Vec<SocketAddr> = (0..workers.len()).map(addr).collect::<Option<_>>()?;
        let id = std::process::id();
        let temporary = std::env::temp_dir().join(format!("marigoldglade-review-{id}"));
        std::fs::create_dir_all(&temporary).ok()?;
        let mut world = Self {
            record,
            workers,
            proxies: Vec::new(),
            fronts: Vec::new(),
            addrs,
            daemons: Vec::new(),
            folder: temporary,
            store: store.clone(),
        };
        for i in 0..daemons {
            let endpoint = store.open_endpoint().ok()?;
            let seed = 0x9e37_79b9 + u64::try_from(i).ok()?;
            let proxy = StoreProxy::start(endpoint.served.addr, seed).ok()?;
            world.start_daemon(daemon, i, &proxy, endpoint)?;
            world.proxies.push(proxy);
        }
        let end = Instant::now() + START_LIMIT;
        while store.keys("mg/live/owner").is_empty() || !world.answers() {
            if Instant::now() > end {
                world.record.note("the daemons didn't become ready");
                return None;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        std::thread::sleep(Duration::from_secs(1));
        world.record.note(&format!(
            "{daemons} daemons and {} workers are ready",
            world.workers.len()
        ));
        Some(world)
    }

    fn start_daemon(
        &mut self,
        daemon: &Path,
        i: usize,
        proxy: &StoreProxy,
        endpoint: Endpoint,
    ) -> Option<()> {
        let settings = json!({
            "name": format!("edge-{i}"), "dc": "dc-a", "listen": "127.0.0.1:0", "mesh": "127.0.0.1:0",
            "admin": "127.0.0.1:0", "store": [proxy.addr().to_string()], "vm_list": "127.0.0.1:1",
            "peers": [], "log": {"level": "info", "format": "json", "output": "stdout"},
            "platform": {"ready": "127.0.0.1:0", "cores": 0.25, "grace_s": 6, "lease_limit_ms": 10000,
                "status_s": 120},
        });
        let file = self.folder.join(format!("edge-{i}.json"));
        std::fs::write(&file, settings.to_string()).ok()?;
        let mut child = Command::new(daemon)
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let mut lines = BufReader::new(child.stdout.take()?).lines();
        let first: Value = serde_json::from_str(&lines.next()?.ok()?).ok()?;
        let front = first["listen"].as_str()?.parse().ok()?;
        let admin = first["admin"].as_str()?.parse().ok()?;
        let log = std::env::var("REVIEW_LOGS").ok();
        std::thread::spawn(move || {
            let path = log.map(|folder| Path::new(&folder).join(format!("edge-{i}.log")));
            let mut file = path.and_then(|path| File::create(path).ok());
            for line in lines.map_while(Result::ok) {
                if let Some(file) = &mut file {
                    let _ = writeln!(file, "{line}");
                }
            }
        });
        self.fronts.push(front);
        self.daemons.push(Daemon {
            child,
            front,
            admin,
            _endpoint: endpoint,
        });
        Some(())
    }

    /// Shows a worker as draining in the registry.
    pub fn drain(&self, i: usize) {
        self.register(&Entry {
            name: format!("i-{i}"),
            addr: self.addrs[i],
            rack: format!("rack-{i}"),
            state: "draining",
            started_at: 1_000,
            seq: 2,
        });
    }

    /// Writes a registry entry.
    pub fn register(&self, e: &Entry) {
        let entry = json!({
            "service": POOL, "address": e.addr.to_string(), "zone": "dc-a", "version": "v1", "slots": 8,
            "state": e.state, "cold_remaining_ms": 0, "remaining_ms": 2000,
            "capacity": {"cpu": 32_000, "mem_mb": 131_072, "gpu": 8},
            "labels": ["a", e.rack], "born": e.started_at, "seq": e.seq,
        });
        let key = format!("servers/{}", e.name);
        self.store.put(&key, entry.to_string().as_bytes());
    }

    /// Removes a registry entry.
    pub fn unregister(&self, name: &str) {
        self.store.delete(&format!("servers/{name}"));
    }

    /// Returns the address of a worker that has registered in a store.
    pub fn registered(&self, store: &Store, name: &str) -> Option<SocketAddr> {
        read_addr(store, name)
    }

    /// Ends the last worker's process and removes its registry entry.
    pub fn remove_last_worker(&mut self) {
        if self.workers.pop().is_some() {
            self.store
                .delete(&format!("servers/i-{}", self.workers.len()));
        }
    }

    /// Returns the daemon whose metrics show it as the owner.
    pub fn owner(&self) -> Option<usize> {
        let owns = |d: &Daemon| {
            let limit = Duration::from_millis(500);
            let page = http::send(d.admin, "GET", "/metrics", &[("Host", "admin")], b"", limit);
            let page = page.map(|r| String::from_utf8_lossy(&r.body).into_owned());
            page.unwrap_or_default()
                .lines()
                .any(|l| l.starts_with("marigoldglade_term ") && !l.ends_with(" 0"))
        };
        self.daemons.iter().position(owns)
    }

    fn answers(&self) -> bool {
        let ready = |d: &Daemon| {
            let response = call(d.front, "GET", "/sweep/", b"");
            response.is_some_and(|r| r.status == 200)
        };
        self.daemons.iter().all(ready)
    }

    /// Returns all runs so far, on the clock of the record.
    pub fn runs(&self) -> Vec<RunSpan> {
        let mut all = Vec::new();
        for (i, worker) in self.workers.iter().enumerate() {
            let mut open: BTreeMap<TaskId, RunSpan> = BTreeMap::new();
            for (at, event) in worker.timeline(self.record.began) {
                match event {
                    WorkerEvent::Started(task, run) => {
                        let span = RunSpan {
                            task,
                            run,
                            worker: i,
                            began_ms: at,
                            ended: None,
                        };
                        open.insert(task, span);
                    }
                    WorkerEvent::Ended(_, task, _, how) => {
                        if let Some(mut span) = open.remove(&task) {
                            span.ended = Some((at, how));
                            all.push(span);
                        }
                    }
                    WorkerEvent::Acknowledged(_) => {}
                }
            }
            all.extend(open.into_values());
        }
        all.sort_by_key(|r| r.began_ms);
        all
    }

    /// Writes all runs to the record.
    pub fn note_runs(&self) {
        for r in self.runs() {
            let end = r.ended.map_or("goes on".to_owned(), |(at, how)| {
                format!("{how} at {}.{:03}", at / 1_000, at % 1_000)
            });
            let text = format!("run {} of {} on i-{}: {end}", r.run, r.task, r.worker);
            self.record.note_at(r.began_ms, &text);
        }
    }
}

/// Makes a call of a caller.
pub fn call(front: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<Response> {
    let headers = [
        ("Host", "h.example"),
        ("Authorization", "Token secret"),
        ("Deadline-Ms", "3000"),
        ("Content-Type", "application/json"),
    ];
    http::send(front, method, path, &headers, body, CALLER_WAIT)
}

/// Submits a job to the queue `sweep` and notes what was sent and answered.
pub fn submit(record: &Record, front: SocketAddr, id: &str, job: &Value) -> Option<Response> {
    submit_to("sweep", record, front, id, job)
}

/// Submits a job to a queue.
pub fn submit_to(
    queue: &str,
    record: &Record,
    front: SocketAddr,
    id: &str,
    job: &Value,
) -> Option<Response> {
    let path = format!("/{queue}/{id}");
    let sent_ms = record.elapsed_ms();
    record.note_at(sent_ms, &format!("job {id} sent to {front}"));
    let response = call(front, "POST", &path, job.to_string().as_bytes());
    let text = match &response {
        Some(r) => format!("status {}, Retry-After {:?}", r.status, r.retry_after_s),
        None => "no answer".to_owned(),
    };
    record.note(&format!("job {id} from {front}: {text}"));
    response
}

/// Returns a job with one step of `count` tasks of one accelerator that run for `run_ms`.
pub fn job(run_ms: u64, count: u64, label: &str) -> Value {
    json!({"spec": format!("run_ms={run_ms}"), "steps": [{
        "count": count, "cpu": 500, "mem_mb": 256, "gpu": 1, "estimate_ms": run_ms, "requirements": label,
    }]})
}

/// Returns the address in a worker's registry entry.
fn read_addr(store: &Store, name: &str) -> Option<SocketAddr> {
    let endpoint = store.open_endpoint().ok()?;
    let url = format!("/kv-key?key=servers/{name}");
    let headers = [("Host", "store")];
    let response = http::send(
        endpoint.served.addr,
        "GET",
        &url,
        &headers,
        b"",
        START_LIMIT,
    )?;
    let item: Value = serde_json::from_slice(&response.body).ok()?;
    let entry: Value = serde_json::from_slice(&decode_base64(item["value"].as_str()?)?).ok()?;
    entry["address"].as_str()?.parse().ok()
}

fn decode_base64(text: &str) -> Option<Vec<u8>> {
    let digit = |b: u8| match b {
        b'A'..=b'Z' => Some(u32::from(b - b'A')),
        b'a'..=b'z' => Some(u32::from(b - b'a') + 26),
        b'0'..=b'9' => Some(u32::from(b - b'0') + 52),
        b'+' => Some(62),
        b'/' => Some(63),
        _ => None,
    };
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0u32, 0u32);
    for b in text.bytes().filter(|b| *b != b'=') {
        bits = (bits << 6) | digit(b)?;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push(u8::try_from((bits >> count) & 0xff).ok()?);
        }
    }
    Some(bytes)
}
