//! Jobs that were accepted around the loss of the store and of the owner are known afterwards, and run.
//!
//! `ACCEPTED_SEEDS=100..150` plays other random faults than the short run.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cluster::{Cluster, Daemon, wait_until};
use platform_standin::store::Behaviour;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::{Value, json};
use standin::batch_worker::LEASE_LIMIT_MS;
use standin::proxy::Flow;

/// How many callers submit jobs at the same time through each daemon.
const CALLERS: usize = 4;
/// How often a caller tries to submit a job.
const TRIES: usize = 4;
/// The seeds of the short run with random faults, and how long faults are injected for one seed.
const SEEDS: [u64; 2] = [1, 2];
const FAULT_TIME: Duration = Duration::from_secs(8);

fn short_job() -> Value {
    json!({"spec": "run_ms=1", "steps": [{"count": 1, "cpu": 100, "mem_mb": 16, "gpu": 0, "estimate_ms": 1}]})
}

/// Returns a job whose tasks fill four workers for 2 s, and by its estimate for minutes: meanwhile the owner
/// refuses other work.
fn long_job() -> Value {
    json!({"spec": "run_ms=400", "steps": [{"count": 20, "cpu": 500, "mem_mb": 256, "gpu": 8, "estimate_ms": 60_000}]})
}

/// The statuses of each job's attempts, the last one last; zero for one without an answer.
type Attempts = BTreeMap<u64, Vec<u16>>;

/// Submits a job through one daemon after another until it is accepted; returns the statuses.
fn submit(fronts: &Mutex<Vec<String>>, id: u64, job: &Value, first: usize) -> Vec<u16> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_millis(2_000)))
        .build()
        .into();
    let mut statuses = Vec::new();
    for pick in first..first + TRIES {
        let front = {
            let fronts = fronts.lock().expect("no panic");
            fronts[pick % fronts.len()].clone()
        };
        let sent = agent
            .post(format!("http://{front}/sweep/{id:016x}"))
            .header("host", "h.example")
            .header("deadline-ms", "3000")
            .header("authorization", "Token secret")
            .send_json(job);
        let status = sent.map_or(0, |r| r.status().as_u16());
        statuses.push(status);
        if status == 200 {
            break;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    statuses
}

fn fronts(c: &Cluster) -> Mutex<Vec<String>> {
    Mutex::new(c.daemons.iter().map(|d| d.front.clone()).collect())
}

/// Submits jobs through all daemons until `then` returns.
fn submit_while(fronts: &Mutex<Vec<String>>, then: impl FnOnce()) -> Attempts {
    let over = AtomicBool::new(false);
    let submit_all = |caller: usize| {
        let mut attempts = Attempts::new();
        let mut id = u64::try_from(caller + 1).expect("small") << 32;
        while !over.load(Ordering::Relaxed) {
            id += 1;
            attempts.insert(id, submit(fronts, id, &short_job(), caller));
        }
        attempts
    };
    let callers = 0..CALLERS * fronts.lock().expect("no panic").len();
    std::thread::scope(|s| {
        let submit_all = &submit_all;
        let callers: Vec<_> = callers.map(|i| s.spawn(move || submit_all(i))).collect();
        then();
        over.store(true, Ordering::Relaxed);
        let joined = callers.into_iter().map(|c| c.join().expect("no panic"));
        joined.flatten().collect()
    })
}

/// Prints what the daemons have logged about a job and about the ownership.
fn print_logs(lines: &[String], id: u64) {
    let job = format!("{id:016x}");
    for line in lines
        .iter()
        .filter(|l| l.contains(&job) || l.contains("owner"))
    {
        eprintln!("{line}");
    }
}

fn logs(daemons: &[Daemon]) -> Vec<String> {
    daemons.iter().flat_map(Daemon::raw_log_lines).collect()
}

/// Checks that all accepted jobs are known and end, and that no refused one has run; `old` are the log lines
/// of daemons that are gone.
fn check(c: &Cluster, attempts: &Attempts, old: &[String]) {
    let front = &c.daemons[0];
    wait_until("readiness", || front.is_ready());
    wait_until("an owner", || c.daemons.iter().any(|d| d.term() > 0));
    let is_accepted = |s: &Vec<u16>| s.last() == Some(&200);
    for (id, statuses) in attempts.iter().filter(|(_, s)| is_accepted(s)) {
        wait_until(&format!("the end of {id:016x}: {statuses:?}"), || {
            let state = front.state(*id);
            if state == "410" {
                print_logs(&[old, &logs(&c.daemons)].concat(), *id);
            }
            assert_ne!(state, "410", "{id:016x}: {statuses:?}");
            state == "completed"
        });
    }
    let runs = c.workers.iter().flat_map(|w| w.started_runs());
    let started: BTreeSet<u64> = runs
        .map(|(task, _)| u64::from_str_radix(task.job.as_str(), 16).expect("hexadecimal"))
        .collect();
    for (id, statuses) in attempts {
        let is_refused = statuses.iter().all(|s| *s == 503);
        let runs = started.contains(id);
        assert!(!is_refused || !runs, "{id:016x} was refused and ran");
        assert!(!is_accepted(statuses) || runs, "{id:016x} didn't run");
    }
    let accepted = attempts.values().filter(|s| is_accepted(s));
    let repeated = accepted.clone().filter(|s| s.len() > 1).count();
    let refused = accepted.clone().filter(|s| s.contains(&503)).count();
    println!(
        "{} jobs, {} accepted, {repeated} of them after other attempts, {refused} after a refusal",
        attempts.len(),
        accepted.count()
    );
}

/// An accepted job was answered 410 after an outage of the store and the loss of the owner.
#[rstest]
fn accepted_jobs_are_known_after_an_outage_and_the_loss_of_the_owner(
    #[values(
        Behaviour::Unavailable,
        Behaviour::Silent,
        Behaviour::LosesAnswers,
        Behaviour::KeepsWrites
    )]
    behaviour: Behaviour,
    #[values(true, false)] for_all: bool,
    #[values(0, 40, 1_200)] kill_after_ms: u64,
) {
    let mut c = Cluster::new(4, 3);
    let owner = c.owner();
    let pause = |ms| std::thread::sleep(Duration::from_millis(ms));
    let attempts = submit_while(&fronts(&c), || {
        pause(300);
        for (i, daemon) in c.daemons.iter().enumerate() {
            if for_all || i == owner {
                daemon.endpoint.set(behaviour);
            }
        }
        pause(kill_after_ms);
        c.daemons[owner].signal("KILL");
        pause(400);
        for daemon in &c.daemons {
            daemon.endpoint.set(Behaviour::Normal);
            daemon.endpoint.carry_out_writes();
        }
        pause(1_500);
    });
    let killed = c.daemons.remove(owner);
    check(&c, &attempts, &killed.raw_log_lines());
}

/// A fault that is undone later, of a daemon by index.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Store(usize),
    Paused(usize),
    Ended(usize),
    /// The paths from this daemon to the others.
    Mesh(usize),
}

struct Faults {
    cluster: Cluster,
    rng: ChaCha8Rng,
    /// The addresses of the daemons' fronts, by the daemon's index.
    fronts: Arc<Mutex<Vec<String>>>,
    /// The faults to undo, and when.
    open: Vec<(Instant, Fault)>,
    /// The log lines of daemons that are gone.
    old: Vec<String>,
}

impl Faults {
    fn inject(&mut self) {
        let all = self.cluster.daemons.len();
        let i = self.rng.random_range(0..all);
        let end = Instant::now() + Duration::from_millis(self.rng.random_range(100..1_800));
        let is_down =
            |f: &(Instant, Fault)| matches!(f.1, Fault::Paused(d) | Fault::Ended(d) if d == i);
        let is_up = !self.open.iter().any(is_down);
        match self.rng.random_range(0..12) {
            kind @ 0..5 => {
                let behaviours = [
                    Behaviour::Unavailable,
                    Behaviour::Silent,
                    Behaviour::LosesAnswers,
                    Behaviour::KeepsWrites,
                    Behaviour::Slow,
                ];
                let behaviour = behaviours[self.rng.random_range(0..behaviours.len())];
                let concerned = if kind < 2 { 0..all } else { i..i + 1 };
                for i in concerned {
                    self.cluster.daemons[i].endpoint.set(behaviour);
                    self.open.push((end, Fault::Store(i)));
                }
            }
            kind @ 5..8 if is_up => {
                let signal = if kind < 7 { "KILL" } else { "TERM" };
                self.cluster.daemons[i].signal(signal);
                self.open.push((end, Fault::Ended(i)));
            }
            8 if is_up => {
                self.cluster.daemons[i].signal("STOP");
                self.open.push((end, Fault::Paused(i)));
            }
            9 => self.cluster.store.compact(),
            11 => {
                self.set_mesh(i, Flow::Held);
                self.open.push((end, Fault::Mesh(i)));
            }
            10 => {
                let (fronts, id) = (Arc::clone(&self.fronts), self.rng.random());
                std::thread::spawn(move || submit(&fronts, id, &long_job(), i));
            }
            _ => {}
        }
    }

    fn set_mesh(&self, daemon: usize, flow: Flow) {
        let paths = &self.cluster.paths[&format!("daemon-{daemon}")];
        for path in paths.mesh.values() {
            path.set_both(flow);
        }
    }

    /// Undoes the faults whose time is over, or all of them.
    fn undo(&mut self, all: bool) {
        let now = Instant::now();
        for (end, fault) in std::mem::take(&mut self.open) {
            if !all && end > now {
                self.open.push((end, fault));
                continue;
            }
            match fault {
                Fault::Store(i) => {
                    let endpoint = &self.cluster.daemons[i].endpoint;
                    endpoint.set(Behaviour::Normal);
                    endpoint.carry_out_writes();
                }
                Fault::Mesh(i) => self.set_mesh(i, Flow::Open),
                Fault::Paused(i) => self.cluster.daemons[i].signal("CONT"),
                Fault::Ended(i) => {
                    // Restarts the daemon under the same name, at other addresses.
                    let daemon = self.cluster.spawn(&format!("daemon-{i}"));
                    self.fronts.lock().expect("no panic")[i] = daemon.front.clone();
                    let ended = std::mem::replace(&mut self.cluster.daemons[i], daemon);
                    ended.endpoint.carry_out_writes();
                    self.old.extend(ended.raw_log_lines());
                }
            }
        }
    }
}

fn seeds() -> Vec<u64> {
    match std::env::var("ACCEPTED_SEEDS") {
        Ok(range) => {
            let (first, last) = range.split_once("..").expect("FIRST..LAST");
            (first.parse().expect("a number")..last.parse().expect("a number")).collect()
        }
        Err(_) => SEEDS.to_vec(),
    }
}

/// The same as above, with faults that overlap, and daemons that restart under their names.
#[test]
fn accepted_jobs_are_known_after_random_outages_and_losses_of_daemons() {
    for seed in seeds() {
        println!("seed {seed}");
        let cluster = Cluster::with_paths(4, 3, LEASE_LIMIT_MS);
        let fronts = Arc::new(fronts(&cluster));
        let mut faults = Faults {
            fronts: Arc::clone(&fronts),
            cluster,
            rng: ChaCha8Rng::seed_from_u64(seed),
            open: Vec::new(),
            old: Vec::new(),
        };
        let attempts = submit_while(&fronts, || {
            let end = Instant::now() + FAULT_TIME;
            while Instant::now() < end {
                faults.undo(false);
                faults.inject();
                let pause_ms = faults.rng.random_range(20..300);
                std::thread::sleep(Duration::from_millis(pause_ms));
            }
            faults.undo(true);
        });
        check(&faults.cluster, &attempts, &faults.old);
    }
}

/// A caller with the address of a process that was gone got 200 from the readiness check of the process that
/// listened there next, and its job was unknown.
#[test]
fn only_the_front_accepts_submissions() {
    let c = Cluster::new(0, 1);
    let daemon = &c.daemons[0];
    for addr in [
        &daemon.ready,
        &daemon.admin,
        &c.adviser.served.addr.to_string(),
    ] {
        let fronts = Mutex::new(vec![addr.clone()]);
        let statuses = submit(&fronts, 1, &short_job(), 0);
        assert_eq!(statuses, [404; TRIES], "{addr}");
    }
    assert_eq!(daemon.state(1), "410");
}

/// A job was answered 410 that a daemon of another test had accepted, at the address of a killed one.
#[test]
fn no_two_daemons_of_a_test_listen_at_one_address() {
    let c = Cluster::new(0, 3);
    let ip = |d: &Daemon| d.front.rsplit_once(':').map(|(ip, _)| ip.to_owned());
    let ips: BTreeSet<Option<String>> = c.daemons.iter().map(ip).collect();
    assert_eq!(ips.len(), c.daemons.len(), "{ips:?}");
}
