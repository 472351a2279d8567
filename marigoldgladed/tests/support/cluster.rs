//! Real daemons on loopback in front of the platform's stand-ins; each is killed when it is dropped.

use std::collections::BTreeMap;
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use platform_standin::adviser::Adviser;
use platform_standin::store::{Endpoint, Store};
use platform_standin::worker::Worker;
use serde_json::{Value, json};
use standin::batch_worker::LEASE_LIMIT_MS;
use standin::proxy::{Flow, Proxy};

/// The time after which a condition that doesn't hold fails the test.
pub const TIMEOUT: Duration = Duration::from_secs(40);
pub const POOL: &str = "pool-a";

/// A daemon's process.
pub struct Daemon {
    child: Child,
    /// The daemon's settings file.
    pub settings: PathBuf,
    pub front: String,
    pub ready: String,
    pub admin: String,
    pub mesh: String,
    /// The store as this daemon sees it, whose behaviour a test can change.
    pub endpoint: Endpoint,
    /// The lines that the daemon has logged after the first one.
    log: Arc<Mutex<Vec<Value>>>,
    /// The same lines as they were written.
    raw_log: Arc<Mutex<Vec<String>>>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The stand-ins and the daemons.
pub struct Cluster {
    pub store: Store,
    pub workers: Vec<Worker>,
    pub daemons: Vec<Daemon>,
    pub adviser: Adviser,
    /// The version of the newest configuration.
    pub version: u64,
    /// The paths of each daemon, by its name; none unless the cluster was created with them.
    pub paths: BTreeMap<String, Paths>,
    /// The longest lease of a worker, in milliseconds.
    lease_limit_ms: u64,
}

/// The proxies between one daemon and others. They outlive its process.
pub struct Paths {
    /// To the workers, by the worker's index.
    pub workers: Vec<Proxy>,
    /// To the store.
    pub store: Proxy,
    /// To the mesh addresses of the other daemons, by name.
    pub mesh: BTreeMap<String, Proxy>,
}

type Field = (ciborium::Value, ciborium::Value);

fn find_field<'a>(fields: &'a mut [Field], name: &str) -> Option<&'a mut ciborium::Value> {
    let found = fields.iter_mut().find(|(k, _)| k.as_text() == Some(name));
    found.map(|(_, value)| value)
}

/// Returns a daemon's record of itself or of the owner with the address at which its path begins; `None`
/// if there is no such path or the key holds no such record.
fn reroute(mesh: &BTreeMap<String, SocketAddr>, key: &str, value: &[u8]) -> Option<Vec<u8>> {
    let own = key.strip_prefix("mg/live/daemon/");
    if own.is_none() && key != "mg/live/owner" {
        return None;
    }
    let mut record: ciborium::Value = ciborium::from_reader(value).ok()?;
    let fields = record.as_map_mut()?;
    let name = match own {
        Some(name) => name.to_owned(),
        None => find_field(fields, "name")?.as_text()?.to_owned(),
    };
    let addr = mesh.get(&name)?;
    *find_field(fields, "addr")? = ciborium::Value::serialized(addr).ok()?;
    let mut bytes = Vec::new();
    ciborium::into_writer(&record, &mut bytes).ok()?;
    Some(bytes)
}

/// Returns a loopback address for one daemon's process. Callers and daemons still use the addresses of a
/// process that is gone, so no other one may listen there, in this test or in one beside it.
fn new_ip() -> Ipv4Addr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed) % 512;
    let process = std::process::id() % 0x7ffe + 1;
    Ipv4Addr::from_bits(0x7f00_0000 | process << 9 | count)
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(8)))
        .build()
        .into()
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns a configuration in the platform's format; callers authenticate with `key`.
pub fn document(version: u64, key: &str) -> Value {
    let route = |name: &str, priority: u32| {
        json!({
            "name": name, "host": "h.example", "prefix": format!("/{name}/"), "type": "unsafe",
            "timeout_ms": 3000, "target_duration_ms": 1000, "priority": priority, "service": POOL,
            "max_attempts": 2, "slack_factor": 3.0, "public": false,
        })
    };
    let mut advised = route("judged", 1);
    advised["advice"] = json!({"decision_ms": 20, "period_ms": 1, "valid_ms": 3000});
    json!({
        "version": version,
        "routes": [route("urgent", 0), route("sweep", 1), advised],
        "services": [{"name": POOL, "health_path": "/health", "max_conns": 64, "protocol": "h1",
            "tls": false, "enforces_capacity": true, "standby": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262_144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "team", "api_keys": [key], "guaranteed": {"gpu": 16}}],
    })
}

impl Cluster {
    pub fn new(workers: usize, daemons: usize) -> Self {
        let store = Store::default();
        let worker =
            |i| Worker::start(&store, &format!("i-{i}"), POOL, "r1").expect("a port is free");
        let mut cluster = Self {
            workers: (0..workers).map(worker).collect(),
            daemons: Vec::new(),
            adviser: Adviser::start().expect("a port is free"),
            version: 0,
            paths: BTreeMap::new(),
            lease_limit_ms: LEASE_LIMIT_MS,
            store,
        };
        cluster.configure("secret");
        for _ in 0..daemons {
            cluster.start_daemon();
        }
        cluster
    }

    /// Creates a cluster in which every daemon reaches the workers, the store and the other daemons through
    /// proxies of its own.
    pub fn with_paths(workers: usize, daemons: usize, lease_limit_ms: u64) -> Self {
        let mut cluster = Self::new(workers, 0);
        cluster.lease_limit_ms = lease_limit_ms;
        for worker in &cluster.workers {
            worker.set_lease_limit(lease_limit_ms);
        }
        // The addresses of the store and of the daemons are set when the daemons start.
        let unknown = ([127, 0, 0, 1], 1).into();
        let open = |addr| Proxy::start(addr).expect("a port is free");
        let names: Vec<String> = (0..daemons).map(|i| format!("daemon-{i}")).collect();
        for name in &names {
            let others = names.iter().filter(|n| *n != name);
            let paths = Paths {
                workers: cluster.workers.iter().map(|w| open(w.addr())).collect(),
                store: open(unknown),
                mesh: others.map(|n| (n.clone(), open(unknown))).collect(),
            };
            cluster.paths.insert(name.clone(), paths);
        }
        for _ in 0..daemons {
            cluster.start_daemon();
        }
        cluster
    }

    /// Writes a new configuration, in which `key` is the only key of callers.
    pub fn configure(&mut self, key: &str) {
        self.version += 3;
        let text = document(self.version, key).to_string();
        self.store.put("op/config", text.as_bytes());
    }

    /// Writes a new configuration by which workers don't enforce their capacity.
    pub fn stop_enforcing(&mut self, key: &str) {
        self.version += 3;
        let mut document = document(self.version, key);
        document["services"][0]["enforces_capacity"] = json!(false);
        self.store.put("op/config", document.to_string().as_bytes());
    }

    pub fn start_daemon(&mut self) {
        let name = format!("daemon-{}", self.daemons.len());
        let daemon = self.spawn(&name);
        wait_until("readiness", || daemon.is_ready());
        self.daemons.push(daemon);
        wait_until("an owner", || !self.store.keys("mg/live/owner").is_empty());
    }

    /// Starts a daemon and waits only for its first log line.
    pub fn spawn(&self, name: &str) -> Daemon {
        self.spawn_with_cores(name, 0.25)
    }

    /// Starts a daemon on a VM with this many cores, and waits only for its first log line.
    pub fn spawn_with_cores(&self, name: &str, cores: f64) -> Daemon {
        let endpoint = self.store.open_endpoint().expect("a port is free");
        let mut store = endpoint.served.addr;
        if let Some(paths) = self.paths.get(name) {
            paths.store.set_upstream(store);
            store = paths.store.addr;
            for (worker, path) in self.workers.iter().zip(&paths.workers) {
                let key = format!("servers/{}", worker.name());
                endpoint.route(&key, "address", path.addr);
            }
            let mesh = paths.mesh.iter().map(|(n, p)| (n.clone(), p.addr));
            let mesh: BTreeMap<String, SocketAddr> = mesh.collect();
            endpoint.rewrite(move |key, value| reroute(&mesh, key, value));
        }
        let (lease_limit_ms, ip) = (self.lease_limit_ms, new_ip());
        let text = format!(
            "name: {name}\ndc: dc-a\nlisten: {ip}:0\nmesh: {ip}:0\nadmin: {ip}:0\n\
             store: [\"{store}\"]\nvm_list: 127.0.0.1:1\nlog: {{format: json, output: stdout}}\n\
             platform:\n  ready: {ip}:0\n  cores: {cores}\n  grace_s: 6\n  lease_limit_ms: {lease_limit_ms}\n  status_s: 120\n  adviser: \"{}\"\n",
            self.adviser.served.addr
        );
        let mut file = tempfile::NamedTempFile::new().expect("a file can be created");
        file.write_all(text.as_bytes())
            .expect("the file can be written");
        let (_, path) = file.keep().expect("the file can be kept");
        let mut child = Command::new(env!("CARGO_BIN_EXE_marigoldgladed"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let first = lines.next().expect("a first line").expect("readable");
        let first: Value = serde_json::from_str(&first).expect("a log line is JSON");
        let addr = |name: &str| first[name].as_str().expect("an address").to_owned();
        for path in self.paths.values().filter_map(|p| p.mesh.get(name)) {
            path.set_upstream(addr("mesh").parse().expect("an address"));
        }
        let log = Arc::new(Mutex::new(Vec::new()));
        let raw_log = Arc::new(Mutex::new(Vec::new()));
        let (sink, raw_sink) = (Arc::clone(&log), Arc::clone(&raw_log));
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let value = serde_json::from_str(&line).expect("every log line is JSON");
                raw_sink.lock().expect("no panic").push(line);
                sink.lock().expect("no panic").push(value);
            }
        });
        Daemon {
            settings: path,
            front: addr("listen"),
            ready: addr("ready"),
            admin: addr("admin"),
            mesh: addr("mesh"),
            child,
            endpoint,
            log,
            raw_log,
        }
    }

    /// Returns the index of the daemon whose metrics show it as the owner; waits until there is one.
    pub fn owner(&self) -> usize {
        let mut found = None;
        wait_until("an owner that serves", || {
            found = self.daemons.iter().position(|d| {
                let page = d.metrics();
                page.lines()
                    .any(|l| l.starts_with("marigoldglade_term ") && !l.ends_with(" 0"))
            });
            found.is_some()
        });
        found.expect("found")
    }

    /// Sets what happens to the bytes of all paths between some daemons and workers, by index, and the store
    /// and all other daemons and workers.
    pub fn set_split(&self, daemons: &[usize], workers: &[usize], flow: Flow) {
        let names: Vec<String> = daemons.iter().map(|d| format!("daemon-{d}")).collect();
        for (name, paths) in &self.paths {
            let apart = names.contains(name);
            if apart {
                paths.store.set_both(flow);
            }
            let across = |(i, _): &(usize, _)| workers.contains(i) != apart;
            for (_, path) in paths.workers.iter().enumerate().filter(across) {
                path.set_both(flow);
            }
            for (other, path) in &paths.mesh {
                if names.contains(other) != apart {
                    path.set_both(flow);
                }
            }
        }
    }

    /// Returns how many runs have started on all workers.
    pub fn count_starts(&self) -> usize {
        self.workers.iter().map(|w| w.started_runs().len()).sum()
    }
}

pub fn job(text: &str, count: u32) -> Value {
    json!({"spec": text, "steps": [{"count": count, "cpu": 500, "mem_mb": 256, "gpu": 1, "estimate_ms": 300}]})
}

impl Daemon {
    pub fn is_ready(&self) -> bool {
        let status = agent().get(format!("http://{}/ready", self.ready)).call();
        status.is_ok_and(|r| r.status() == 200)
    }

    pub fn metrics(&self) -> String {
        let page = agent().get(format!("http://{}/metrics", self.admin)).call();
        page.ok()
            .and_then(|mut r| r.body_mut().read_to_string().ok())
            .unwrap_or_default()
    }

    /// Returns the term in which the daemon is the owner; zero if it isn't.
    pub fn term(&self) -> u64 {
        let page = self.metrics();
        let mut lines = page.lines();
        let term = lines.find_map(|l| l.strip_prefix("marigoldglade_term "));
        term.and_then(|t| t.parse().ok()).unwrap_or(0)
    }

    pub fn call(&self, method: &str, path: &str, key: &str, body: Option<&[u8]>) -> (u16, Value) {
        let (status, _, body) = self.call_with_retry_after(method, path, key, body);
        (status, body)
    }

    /// Makes a call and returns the status, the `Retry-After` header and the body.
    pub fn call_with_retry_after(
        &self,
        method: &str,
        path: &str,
        key: &str,
        body: Option<&[u8]>,
    ) -> (u16, Option<String>, Value) {
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.front))
            .header("host", "h.example")
            .header("deadline-ms", "3000")
            .header("authorization", format!("Token {key}"));
        let sent = match body {
            Some(body) => agent().run(request.body(body).expect("a request")),
            None => agent().run(request.body(()).expect("a request")),
        };
        let mut response = sent.expect("an answer");
        let retry_after = response
            .headers()
            .get("retry-after")
            .and_then(|v| v.to_str().ok())
            .map(str::to_owned);
        let text = response.body_mut().read_to_string().unwrap_or_default();
        (
            response.status().as_u16(),
            retry_after,
            serde_json::from_str(&text).unwrap_or_default(),
        )
    }

    /// Submits a job to the queue `sweep` and returns the status.
    pub fn submit(&self, id: u64, job: &Value) -> u16 {
        let body = job.to_string();
        self.call(
            "POST",
            &format!("/sweep/{id:016x}"),
            "secret",
            Some(body.as_bytes()),
        )
        .0
    }

    /// Returns a job's state, or the status of the answer as text if it has no state.
    pub fn state(&self, id: u64) -> String {
        let (status, body) = self.call("GET", &format!("/sweep/{id:016x}"), "secret", None);
        body["state"]
            .as_str()
            .map_or(status.to_string(), str::to_owned)
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    pub fn wait(&mut self) -> std::process::ExitStatus {
        self.child.wait().expect("it ends")
    }

    /// Returns how the process has ended, if it has.
    pub fn try_wait(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().expect("a child process")
    }

    /// Returns the log lines after the first one, in order.
    pub fn log_lines(&self) -> Vec<Value> {
        self.log.lock().expect("no panic").clone()
    }

    /// Returns the log lines after the first one as they were written.
    pub fn raw_log_lines(&self) -> Vec<String> {
        self.raw_log.lock().expect("no panic").clone()
    }

    /// Returns the messages of the log lines whose field has this value.
    pub fn logged(&self, field: &str, value: &str) -> Vec<String> {
        let log = self.log.lock().expect("no panic");
        let fits = log.iter().filter(|l| l[field].as_str() == Some(value));
        fits.filter_map(|l| l["message"].as_str().map(str::to_owned))
            .collect()
    }
}
