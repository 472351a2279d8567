//! A small fleet of real processes on loopback: stand-ins and daemons, each killed when it is dropped.

#![expect(dead_code, reason = "each test file uses a part of it")]

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use marigoldglade::api::{JobSpec, JobView, Shape};
use marigoldglade::label::Labels;
use marigoldglade::time::UnixMs;
use marigoldglade::wire::{Role, Vm};

/// The time after which a condition that doesn't hold fails the test.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A process that the fleet has started.
pub struct Process {
    child: Child,
    /// The address on which the process listens.
    pub addr: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits until the process has exited.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process ends")
    }
}

/// Returns the path of a program of this workspace, which is built next to the daemon.
pub fn program_path(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_marigoldgladed")).with_file_name(name);
    assert!(
        path.exists(),
        "{name} isn't built: run the tests with --workspace"
    );
    path
}

/// Starts a stand-in and waits until it listens.
pub fn start_standin(kind: &str, name: &str) -> Process {
    let mut child = Command::new(program_path(&format!("standin-{kind}")))
        .args(["--name", name])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the stand-in starts");
    let addrs = read_addrs(&mut child);
    Process {
        child,
        addr: addrs[0],
    }
}

/// Reads the addresses from the first line that a process prints.
fn read_addrs(child: &mut Child) -> Vec<SocketAddr> {
    let out = child.stdout.take().expect("its output is piped");
    let mut line = String::new();
    BufReader::new(out)
        .read_line(&mut line)
        .expect("the process prints where it listens");
    let addrs: Vec<_> = line
        .split(' ')
        .filter_map(|w| w.trim().parse().ok())
        .collect();
    assert!(!addrs.is_empty(), "no address in '{line}'");
    addrs
}

/// Waits until a condition returns a value.
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(start.elapsed() < TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Creates an HTTP client that returns error statuses as responses.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .build()
        .into()
}

/// An HTTP answer; `run` is its `mg-run` header.
pub struct Answer {
    pub status: u16,
    pub run: String,
    pub body: String,
}

/// Makes a call and reads its whole answer.
pub fn call(method: &str, url: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    try_call(method, url, headers, body).expect("the call is answered")
}

/// Makes a call; `None` when it wasn't answered.
pub fn try_call(method: &str, url: &str, headers: &[(&str, &str)], body: &str) -> Option<Answer> {
    let mut request = ureq::http::Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body.to_owned()).ok()?;
    let mut answer = agent().run(request).ok()?;
    let run = answer.headers().get("mg-run");
    Some(Answer {
        status: answer.status().as_u16(),
        run: run
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
        body: answer.body_mut().read_to_string().ok()?,
    })
}

/// The stand-ins of the platform, and the daemons.
pub struct Fleet {
    pub store: Process,
    pub vm_list: Process,
    pub runners: Vec<Process>,
    pub workers: Vec<Process>,
    pub daemons: Vec<Daemon>,
}

/// A daemon's process and its addresses.
pub struct Daemon {
    pub process: Process,
    pub name: String,
    pub mesh: SocketAddr,
    pub admin: SocketAddr,
    settings: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl Daemon {
    /// Returns the URL of a path of the daemon's API.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.process.addr)
    }

    /// Returns whether the daemon takes new work.
    pub fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.admin);
        try_call("GET", &url, &[], "").is_some_and(|t| t.status == 200)
    }

    /// Returns a job's view, if the daemon knows the job.
    pub fn job(&self, id: &str) -> Option<JobView> {
        let answer = try_call("GET", &self.url(&format!("jobs/{id}")), &[], "")?;
        serde_json::from_str(&answer.body).ok()
    }
}

impl Fleet {
    /// Starts stand-ins and one daemon, applies a configuration and waits until it is in force.
    pub fn start(runners: usize, workers: usize, config: &str) -> Self {
        Self::start_many(1, runners, workers, config)
    }

    /// Starts stand-ins and `daemons` daemons that know each other.
    pub fn start_many(daemons: usize, runners: usize, workers: usize, config: &str) -> Self {
        let started = |kind: &str, n: usize| -> Vec<Process> {
            (0..n)
                .map(|i| start_standin(kind, &format!("{kind}-{i}")))
                .collect()
        };
        let mut fleet = Self {
            store: start_standin("kv", "kv"),
            vm_list: start_standin("vms", "vms"),
            runners: started("runner", runners),
            workers: started("worker", workers),
            daemons: Vec::new(),
        };
        fleet.list_vms(|_| {});
        for i in 0..daemons {
            let peers: Vec<SocketAddr> = fleet.daemons.iter().map(|d| d.mesh).collect();
            let daemon = fleet.start_daemon(&format!("entry-{i}"), &peers);
            fleet.daemons.push(daemon);
        }
        let first = &fleet.daemons[0];
        wait_for("the acceptance of the configuration", || {
            try_call("PUT", &first.url("config"), &[], config).filter(|t| t.status == 200)
        });
        for daemon in &fleet.daemons {
            wait_for("a ready daemon", || daemon.is_ready().then_some(()));
            wait_for("an owner of the data centre", || {
                try_call("GET", &daemon.url("jobs/kista/register/none"), &[], "")
                    .filter(|t| t.status == 404)
            });
        }
        fleet
    }

    /// Starts a daemon and waits only until it listens.
    pub fn start_daemon(&self, name: &str, peers: &[SocketAddr]) -> Daemon {
        let peers: Vec<String> = peers.iter().map(|p| format!("\"{p}\"")).collect();
        let text = format!(
            "name: {name}\ndc: kista\nlisten: 127.0.0.1:0\nmesh: 127.0.0.1:0\n\
             admin: 127.0.0.1:0\nstore: [\"{}\"]\nvm_list: {}\npeers: [{}]\n\
             mesh_key: a key for tests only\nlimits: {{stop_ms: 20000, read_ms: 2000}}\n",
            self.store.addr,
            self.vm_list.addr,
            peers.join(", "),
        );
        let file = format!("mg-{}-{name}.yaml", self.store.addr.port());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).expect("the settings are written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_marigoldgladed"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let addrs = read_addrs(&mut child);
        Daemon {
            process: Process {
                child,
                addr: addrs[0],
            },
            name: name.to_owned(),
            mesh: addrs[1],
            admin: addrs[2],
            settings,
        }
    }

    /// Puts all runners and workers on the VM list, which `change` may edit first.
    pub fn list_vms(&self, change: impl FnOnce(&mut Vec<Vm>)) {
        let mut vms: Vec<Vm> = Vec::new();
        for (i, p) in self.runners.iter().enumerate() {
            vms.push(vm("runner", i, p.addr, Role::Runner));
        }
        for (i, p) in self.workers.iter().enumerate() {
            vms.push(vm("worker", i, p.addr, Role::Worker));
        }
        change(&mut vms);
        let body = serde_json::to_string(&vms).expect("the list is JSON");
        let url = format!("http://{}/v1/vms", self.vm_list.addr);
        assert_eq!(call("PUT", &url, &[], &body).status, 204);
    }

    /// Returns the first daemon.
    pub fn first(&self) -> &Daemon {
        &self.daemons[0]
    }

    /// Waits until every daemon has had a request answered, so that it knows the runners.
    pub fn wait_runners(&self) {
        for daemon in &self.daemons {
            wait_for("the first answer", || {
                try_call("POST", &daemon.url("request/helmet"), &[], "warm")
                    .filter(|t| t.status == 200)
            });
        }
    }

    /// Returns how many requests have run on all runners together.
    pub fn count_runs(&self) -> usize {
        let count = |p: &Process| {
            let answer = call("GET", &format!("http://{}/ran", p.addr), &[], "");
            serde_json::from_str::<Vec<String>>(&answer.body)
                .expect("a list of ids")
                .len()
        };
        self.runners.iter().map(count).sum()
    }
}

fn vm(kind: &str, i: usize, addr: SocketAddr, role: Role) -> Vm {
    Vm {
        name: format!("{kind}-{i}"),
        addr: addr.to_string(),
        role,
        dc: "kista".to_owned(),
        rack: format!("kista-{}", i / 8),
        accels: if role == Role::Worker { 8 } else { 0 },
        slots: if role == Role::Runner { 8 } else { 0 },
        labels: Labels::new(),
        leaving: false,
    }
}

/// A configuration with one service, one workspace and two classes.
pub const CONFIG: &str = "\
centres: [{name: kista, region: sweden}]
workspaces:
  - name: register
    guarantee: [{dc: kista, workers: 1}]
classes:
  - {name: gate, matches: tier = gate, urgency: 0}
  - {name: sweep, matches: tier = sweep, urgency: 6}
yields: [tier = sweep]
services: [{name: helmet, where: role = runner}]
";

/// Creates a job of the test workspace.
pub fn job(key: &str, tasks: u16, accels: u8, body: &str) -> JobSpec {
    JobSpec {
        workspace: "register".to_owned(),
        key: key.to_owned(),
        labels: Labels::from([("tier".to_owned(), "sweep".to_owned())]),
        shape: Shape { tasks, accels },
        checkpoint: true,
        idempotent: true,
        run_ms: 0,
        deadline: UnixMs::MAX,
        body: body.to_owned(),
    }
}

/// Submits a job and returns the answer.
pub fn submit(daemon: &Daemon, spec: &JobSpec) -> Answer {
    let body = serde_json::to_string(spec).expect("a job is JSON");
    call("POST", &daemon.url("jobs"), &[], &body)
}
