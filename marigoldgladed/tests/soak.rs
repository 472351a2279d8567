//! Random faults against daemons that run as processes: daemons are killed, paused, stopped and
//! restarted, the store fails for single daemons, workers restart or lose answers, the paths to workers
//! and store are silent, delayed or reset, or the network splits. Faults overlap.
//!
//! `SOAK_SEEDS=100..150` runs other seeds than the short run, of all tests. `SOAK_LOGS=DIRECTORY` keeps what
//! was done, what the workers recorded and what the daemons logged, in one file a play.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;
#[path = "support/record.rs"]
mod record;
#[path = "support/waits.rs"]
mod waits;

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use cluster::{Cluster, Daemon, job, wait_until};
use marigoldglade::batch::id::{JobId, TaskId};
use marigoldglade::batch::worker::{Outcome, Resources};
use platform_standin::store::Behaviour;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use record::{Event, check_runs, events_of, find_overlap, find_repeat, worker_events};
use rstest::rstest;
use serde_json::{Value, json};
use standin::batch_worker::WorkerEvent;
use standin::proxy::{Flow, Proxy};
use waits::{SubmittedJob, Wait, find_waits};

/// How long faults are injected for one seed.
const FAULT_TIME: Duration = Duration::from_secs(9);
/// The seeds of the short run. Seeds that have failed are kept: with 109, a run that started after a
/// worker's restart was taken to have ended with the worker's earlier incarnation; with 152, the same
/// happened to a start that reached the new incarnation after its first report.
const SEEDS: [u64; 4] = [1, 2, 109, 152];

/// The seeds of the short run with outages of the store for all daemons.
const OUTAGE_SEEDS: [u64; 2] = [872, 851];
/// How long faults are injected for one seed with such outages.
const OUTAGES_TIME: Duration = Duration::from_secs(20);
/// The seeds of the short run with faults of the paths to workers and store.
const PATH_SEEDS: [u64; 2] = [1, 2];
/// The seeds of the short run with splits of the network.
const SPLIT_SEEDS: [u64; 1] = [1];
/// How long such faults are injected for one seed, in the short run and with `SOAK_SEEDS`.
const PATHS_TIMES: [Duration; 2] = [Duration::from_secs(11), Duration::from_secs(40)];
/// The longest lease on the deployments that reported tasks that ran twice, in milliseconds.
const SHORT_LEASE_MS: u64 = 6_000;

/// How far from a fault its history is printed, in milliseconds.
const HISTORY_MS: u64 = 3_000;

/// What a worker of the cluster has.
const WORKER: Resources = Resources {
    cpu: 32_000,
    mem: 131_072,
    accels: 8,
};

/// What a caller knows about the submission of its job after the last attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Submission {
    Accepted,
    Refused,
    Unsure,
}

/// Submits a job; retries it through other daemons unless it is accepted.
fn submit(fronts: &Mutex<Vec<String>>, path: &str, body: &Value, mut pick: usize) -> Submission {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_millis(3_200)))
        .build()
        .into();
    let mut outcome = Submission::Refused;
    for _ in 0..4 {
        let front = {
            let fronts = fronts.lock().expect("no panic");
            fronts[pick % fronts.len()].clone()
        };
        pick += 1;
        let sent = agent
            .post(format!("http://{front}{path}"))
            .header("host", "h.example")
            .header("deadline-ms", "3000")
            .header("authorization", "Token secret")
            .send_json(body);
        match sent.map(|r| r.status().as_u16()) {
            Ok(200) => return Submission::Accepted,
            Ok(503) => {}
            Ok(_) | Err(_) => outcome = Submission::Unsure,
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    outcome
}

/// Submits a job under an id to a queue; returns it with the time of its acceptance since `start`.
fn submit_job(
    fronts: &Mutex<Vec<String>>,
    queue: &str,
    id: u64,
    body: &Value,
    pick: usize,
    start: Instant,
) -> (Submission, SubmittedJob) {
    let outcome = submit(fronts, &format!("/{queue}/{id:016x}"), body, pick);
    let mut job = submitted_job(id, body);
    job.accepted_at = (outcome == Submission::Accepted).then(|| elapsed_ms(start));
    (outcome, job)
}

/// A fault that is undone later, of a daemon or worker by index.
enum Fault {
    /// The store fails for this daemon.
    Store(usize),
    /// This daemon is paused.
    Paused(usize),
    /// This daemon is killed or told to stop.
    Ended(usize),
    /// The path from this daemon to this worker fails.
    Path(usize, usize),
    /// The path from this daemon to the store fails.
    StorePath(usize),
    /// The network is split between this daemon with these workers, and all others with the store.
    Split(usize, Vec<usize>),
    /// This worker's registry entry is gone.
    Entry(usize),
    /// This worker restarts when the fault ends.
    Restart(usize),
}

struct Soak {
    cluster: Cluster,
    seed: u64,
    start: Instant,
    rng: ChaCha8Rng,
    /// Faults to undo, and when.
    open_faults: Vec<(Instant, Fault)>,
    /// The addresses of the daemons' fronts, by the daemon's index.
    fronts: Arc<Mutex<Vec<String>>>,
    /// The daemons that were killed or told to stop.
    ended: BTreeSet<usize>,
    /// The daemons that are paused.
    paused: BTreeSet<usize>,
    /// The failing paths, from a daemon to a worker.
    paths: BTreeSet<(usize, usize)>,
    /// What was done to paths and workers, with the milliseconds since the soak's start.
    notes: Vec<(u64, String)>,
    /// When the soak began, in milliseconds since the Unix epoch.
    began_ms: u64,
    /// The log lines of daemons that have ended, with the daemon's index.
    old_logs: Vec<(usize, Value)>,
    /// Moments at which a fault was open, in milliseconds since the soak's start.
    fault_times: Vec<u64>,
    /// What the callers have submitted.
    jobs: Vec<SubmittedJob>,
}

fn elapsed_ms(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_millis()).expect("in range")
}

/// Returns a job of one step as it is submitted under an id.
fn submitted_job(id: u64, body: &Value) -> SubmittedJob {
    let step = &body["steps"][0];
    let field = |name: &str| step[name].as_u64().expect("a number");
    let need = Resources {
        cpu: field("cpu"),
        mem: field("mem_mb"),
        accels: field("gpu"),
    };
    let id = JobId::parse(&format!("{id:016x}")).expect("a job's id");
    let count = u32::try_from(field("count")).expect("small");
    SubmittedJob::new(id, need, count, step["gang"] == true)
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.expect("after the epoch").as_millis()).expect("in range")
}

impl Soak {
    fn new(seed: u64, workers: usize, daemons: usize) -> Self {
        let (start, began_ms) = (Instant::now(), wall_ms());
        Self::with_cluster(seed, start, began_ms, Cluster::new(workers, daemons))
    }

    fn with_cluster(seed: u64, start: Instant, began_ms: u64, cluster: Cluster) -> Self {
        let fronts = cluster.daemons.iter().map(|d| d.front.clone()).collect();
        Self {
            seed,
            start,
            rng: ChaCha8Rng::seed_from_u64(seed),
            open_faults: Vec::new(),
            fronts: Arc::new(Mutex::new(fronts)),
            ended: BTreeSet::new(),
            paused: BTreeSet::new(),
            paths: BTreeSet::new(),
            notes: Vec::new(),
            began_ms,
            old_logs: Vec::new(),
            fault_times: Vec::new(),
            jobs: Vec::new(),
            cluster,
        }
    }

    /// Writes the faults, the workers' events and the log lines to a file in a directory.
    fn write_logs(&self, directory: &Path) -> std::io::Result<()> {
        let since = |at: u64| at.saturating_sub(self.began_ms);
        let notes = self.notes.iter();
        let mut lines: Vec<(u64, String)> = notes.map(|(at, n)| (*at, format!("- {n}"))).collect();
        for (at, worker, event) in worker_events(&self.cluster, self.start) {
            lines.push((at, format!("worker {worker} {event:?}")));
        }
        let daemons = self.cluster.daemons.iter().enumerate();
        let logs = daemons.flat_map(|(i, d)| d.log_lines().into_iter().map(move |l| (i, l)));
        for (i, line) in self.old_logs.iter().cloned().chain(logs) {
            let at = line["at_ms"].as_u64().unwrap_or(0);
            lines.push((since(at), format!("daemon {i} {line}")));
        }
        lines.sort_by_key(|(at, _)| *at);
        let text: Vec<String> = lines.iter().map(|(at, l)| format!("{at} {l}\n")).collect();
        let name = format!("{}-{}.log", self.seed, self.began_ms);
        std::fs::write(directory.join(name), text.concat())
    }

    /// Notes that a fault is open.
    fn mark_fault(&mut self) {
        self.fault_times.push(elapsed_ms(self.start));
    }

    /// Returns the accepted jobs that had nothing running for too long although they could run and no fault
    /// was open.
    fn find_waits(&self) -> Vec<Wait> {
        let events = worker_events(&self.cluster, self.start);
        let capacities = vec![WORKER; self.cluster.workers.len()];
        let end = elapsed_ms(self.start);
        find_waits(&capacities, &self.jobs, events, &self.fault_times, end)
    }

    /// Notes that a job is shown as failed: it needn't have run after its last start.
    fn note_failed(&mut self, id: JobId) {
        let events = worker_events(&self.cluster, self.start);
        let starts = events.iter().filter_map(|(at, _, event)| match event {
            WorkerEvent::Started(task, _) if task.job == id => Some(*at),
            _ => None,
        });
        let last = starts.max().unwrap_or(0);
        for job in self.jobs.iter_mut().filter(|j| j.id == id) {
            job.over_at = job.over_at.min(last);
        }
    }

    fn inject_fault(&mut self) {
        self.mark_fault();
        let i = self.rng.random_range(0..self.cluster.daemons.len());
        let worker = self.rng.random_range(0..self.cluster.workers.len());
        let end = Instant::now() + Duration::from_millis(self.rng.random_range(300..3_000));
        let up = !self.ended.contains(&i) && !self.paused.contains(&i);
        match self.rng.random_range(0..9) {
            0..3 => {
                let behaviours = [
                    Behaviour::Unavailable,
                    Behaviour::Silent,
                    Behaviour::LosesAnswers,
                ];
                let behaviour = behaviours[self.rng.random_range(0..behaviours.len())];
                self.cluster.daemons[i].endpoint.set(behaviour);
                self.open_faults.push((end, Fault::Store(i)));
            }
            3 if up => {
                self.cluster.daemons[i].signal("STOP");
                self.paused.insert(i);
                self.open_faults.push((end, Fault::Paused(i)));
            }
            4 | 5 if up => {
                let signal = if self.rng.random_range(0..2) == 0 {
                    "KILL"
                } else {
                    "TERM"
                };
                self.cluster.daemons[i].signal(signal);
                self.ended.insert(i);
                self.open_faults.push((end, Fault::Ended(i)));
            }
            6 => self.cluster.workers[worker].restart(),
            7 => self.cluster.workers[worker].drop_start_answers(self.rng.random_range(1..3)),
            8 => self.cluster.store.compact(),
            _ => {}
        }
    }

    /// Lets the store fail for all daemons, in most cases for longer than the owner's lease.
    fn inject_outage(&mut self) {
        self.mark_fault();
        let end = Instant::now() + Duration::from_millis(self.rng.random_range(900..2_300));
        for i in 0..self.cluster.daemons.len() {
            self.cluster.daemons[i].endpoint.set(Behaviour::Silent);
            self.open_faults.push((end, Fault::Store(i)));
        }
    }

    fn note(&mut self, text: String) {
        self.notes.push((wall_ms() - self.began_ms, text));
    }

    fn path(&self, daemon: usize, worker: usize) -> &Proxy {
        &self.cluster.paths[&format!("daemon-{daemon}")].workers[worker]
    }

    fn store_path(&self, daemon: usize) -> &Proxy {
        &self.cluster.paths[&format!("daemon-{daemon}")].store
    }

    /// Returns a moment after a number of milliseconds from a range.
    fn pick_end(&mut self, range: std::ops::Range<u64>) -> Instant {
        Instant::now() + Duration::from_millis(self.rng.random_range(range))
    }

    /// Returns daemons and workers whose paths to each other fail: one worker or several for all daemons,
    /// or all workers for one daemon.
    fn pick_paths(&mut self) -> (Vec<usize>, Vec<usize>) {
        let (daemons, workers) = (self.cluster.daemons.len(), self.cluster.workers.len());
        let daemon = self.rng.random_range(0..daemons);
        let first = self.rng.random_range(0..workers);
        match self.rng.random_range(0..4) {
            0 => (vec![daemon], (0..workers).collect()),
            1 => {
                let count = self.rng.random_range(2..7);
                let several = (first..first + count).map(|w| w % workers);
                ((0..daemons).collect(), several.collect())
            }
            _ => ((0..daemons).collect(), vec![first]),
        }
    }

    /// Lets paths to workers be silent or slow for a while, or resets them. Some workers restart behind
    /// a silence.
    fn fail_paths(&mut self) {
        self.mark_fault();
        let (daemons, workers) = self.pick_paths();
        let kind = self.rng.random_range(0..8);
        let delay = Flow::Delayed(Duration::from_millis(self.rng.random_range(50..1_500)));
        let end = self.pick_end(300..15_000);
        self.note(format!("kind {kind} on {daemons:?} to {workers:?}"));
        for worker in &workers {
            for daemon in &daemons {
                if kind == 0 {
                    self.path(*daemon, *worker).reset();
                    continue;
                }
                if !self.paths.insert((*daemon, *worker)) {
                    continue;
                }
                let path = self.path(*daemon, *worker);
                match kind {
                    1 => path.set_requests(delay),
                    2 => path.set_responses(delay),
                    3 => path.set_responses(Flow::Held),
                    4 => path.set_requests(Flow::Held),
                    _ => path.set_both(Flow::Held),
                }
                self.open_faults.push((end, Fault::Path(*daemon, *worker)));
            }
            if kind > 0 && self.rng.random_range(0..2) == 0 {
                let left = end.saturating_duration_since(Instant::now()).as_millis();
                let left = u64::try_from(left).expect("short").max(1);
                let at = self.pick_end(0..left);
                self.open_faults.push((at, Fault::Restart(*worker)));
            }
        }
    }

    /// Lets the store be away for some daemons or all of them, and takes away registry entries for a
    /// while.
    fn fail_store_paths(&mut self) {
        self.mark_fault();
        let all = self.cluster.daemons.len();
        let (first, count) = (
            self.rng.random_range(0..all),
            [1, 2, all][self.rng.random_range(0..3)],
        );
        let kind = self.rng.random_range(0..4);
        let end = self.pick_end(900..9_000);
        self.note(format!("store kind {kind} for {count} from {first}"));
        for daemon in (first..first + count).map(|d| d % all) {
            let path = self.store_path(daemon);
            match kind {
                0 => path.set_refuses(true),
                1 => path.set_responses(Flow::Held),
                2 => path.set_both(Flow::Held),
                _ => {
                    let endpoint = &self.cluster.daemons[daemon].endpoint;
                    endpoint.set(Behaviour::KeepsWrites);
                }
            }
            if kind == 0 {
                path.reset();
            }
            self.open_faults.push((end, Fault::StorePath(daemon)));
        }
        if count == all {
            for worker in 0..self.cluster.workers.len() {
                if self.rng.random_range(0..2) == 0 {
                    self.cluster.workers[worker].unregister();
                    let back = end + Duration::from_millis(self.rng.random_range(0..5_000));
                    self.open_faults.push((back, Fault::Entry(worker)));
                }
            }
        }
    }

    /// Cuts a daemon, in most cases the owner, and some workers off from all others and from the store, unless
    /// the network is split.
    fn split_network(&mut self) {
        let is_split = |(_, fault): &(Instant, Fault)| matches!(fault, Fault::Split(..));
        if self.open_faults.iter().any(is_split) {
            return;
        }
        self.mark_fault();
        let daemons = self.cluster.daemons.iter();
        let owner = daemons.map(Daemon::term).position(|term| term > 0);
        let any = self.rng.random_range(0..self.cluster.daemons.len());
        let apart = match owner {
            Some(owner) if self.rng.random_range(0..4) > 0 => owner,
            _ => any,
        };
        let workers = 0..self.cluster.workers.len();
        let workers: Vec<usize> = workers
            .filter(|_| self.rng.random_range(0..3) == 0)
            .collect();
        let end = self.pick_end(5_000..12_000);
        self.note(format!(
            "{apart} (owner {owner:?}) is split off with {workers:?}"
        ));
        self.cluster.set_split(&[apart], &workers, Flow::Held);
        self.open_faults.push((end, Fault::Split(apart, workers)));
    }

    /// Kills or pauses daemons.
    fn fail_daemons(&mut self) {
        self.mark_fault();
        let all = self.cluster.daemons.len();
        let kind = self.rng.random_range(0..5);
        let first = self.rng.random_range(0..all);
        let count = if kind == 0 { all } else { 1 };
        let end = self.pick_end(500..4_000);
        for i in (first..first + count).map(|d| d % all) {
            if self.ended.contains(&i) || self.paused.contains(&i) {
                continue;
            }
            if kind < 3 {
                self.note(format!("killed {i}"));
                self.cluster.daemons[i].signal("KILL");
                self.ended.insert(i);
                self.open_faults.push((end, Fault::Ended(i)));
            } else {
                self.note(format!("paused {i}"));
                self.cluster.daemons[i].signal("STOP");
                self.paused.insert(i);
                self.open_faults.push((end, Fault::Paused(i)));
            }
        }
    }

    fn end_fault(&mut self, fault: &Fault) {
        match *fault {
            Fault::Path(daemon, worker) => {
                self.note(format!("path {daemon} to {worker} is back"));
                self.paths.remove(&(daemon, worker));
                self.path(daemon, worker).set_both(Flow::Open);
            }
            Fault::StorePath(daemon) => {
                self.note(format!("store of {daemon} is back"));
                let endpoint = &self.cluster.daemons[daemon].endpoint;
                endpoint.set(Behaviour::Normal);
                endpoint.carry_out_writes();
                let path = self.store_path(daemon);
                path.set_refuses(false);
                path.set_both(Flow::Open);
            }
            Fault::Split(daemon, ref workers) => {
                self.note("the network is whole".to_owned());
                self.cluster.set_split(&[daemon], workers, Flow::Open);
            }
            Fault::Entry(worker) => self.cluster.workers[worker].register(),
            Fault::Restart(worker) => {
                self.note(format!("worker {worker} restarts"));
                self.cluster.workers[worker].restart();
            }
            Fault::Store(i) => self.cluster.daemons[i].endpoint.set(Behaviour::Normal),
            Fault::Paused(i) => {
                self.cluster.daemons[i].signal("CONT");
                self.paused.remove(&i);
            }
            Fault::Ended(i) => {
                // Restarts the daemon under the same name, at other addresses.
                let daemon: Daemon = self.cluster.spawn(&format!("daemon-{i}"));
                self.fronts.lock().expect("no panic")[i] = daemon.front.clone();
                let ended = std::mem::replace(&mut self.cluster.daemons[i], daemon);
                self.old_logs
                    .extend(ended.log_lines().into_iter().map(|l| (i, l)));
                self.ended.remove(&i);
            }
        }
    }

    /// Ends the faults whose time is over, or all of them.
    fn end_due_faults(&mut self, all: bool) {
        let now = Instant::now();
        let open_faults = std::mem::take(&mut self.open_faults);
        if !open_faults.is_empty() {
            self.mark_fault();
        }
        for (end, fault) in open_faults {
            if all || end <= now {
                self.end_fault(&fault);
            } else {
                self.open_faults.push((end, fault));
            }
        }
        if all {
            self.mark_fault();
        }
    }
}

impl Drop for Soak {
    fn drop(&mut self) {
        if let Some(directory) = std::env::var_os("SOAK_LOGS")
            && let Err(error) = self.write_logs(Path::new(&directory))
        {
            eprintln!("seed {}: the logs can't be written: {error}", self.seed);
        }
    }
}

/// Runs of a task on two workers, with their events in the order in which the workers had them.
#[rstest]
#[case::a_worker_restarts_and_gets_the_start_again(&[(10, 0, true), (20, 0, false), (20, 0, true), (30, 0, false)], false)]
#[case::a_run_that_ends_at_once(&[(10, 0, true), (10, 0, false), (20, 1, true)], false)]
#[case::another_worker_at_once(&[(10, 0, true), (20, 0, false), (20, 1, true), (30, 1, false)], false)]
#[case::on_two_workers(&[(10, 0, true), (30, 0, false), (20, 1, true), (40, 1, false)], true)]
#[case::on_two_workers_at_once(&[(10, 0, true), (10, 0, false), (10, 1, true), (20, 1, false)], true)]
#[case::twice_on_one_worker(&[(10, 0, true), (20, 0, true), (20, 0, false)], true)]
fn overlaps_of_runs_are_found(#[case] runs: &[(u64, usize, bool)], #[case] overlaps: bool) {
    let task = TaskId::parse("0000000000000001.0.0.0").expect("a task's id");
    let event = |(at, worker, starts): &(u64, usize, bool)| {
        let event = if *starts {
            WorkerEvent::Started(task, 1)
        } else {
            WorkerEvent::Ended(1, task, 1, Outcome::Done)
        };
        (*at, *worker, event)
    };
    let events = runs.iter().map(event).collect();
    assert_eq!(find_overlap(events).is_some(), overlaps);
}

/// Checks that no task started after a run of it was done whose completion was acknowledged then or
/// later, unless the worker's leases had expired between the two.
fn check_acknowledged(soak: &Soak, start: Instant) {
    let events = worker_events(&soak.cluster, start);
    let Some(repeat) = find_repeat(&soak.cluster, &events, start) else {
        return;
    };
    let (task, ended_at, worker) = (repeat.task, repeat.ended_at, repeat.worker);
    print_history(soak, &events, task, worker, ended_at);
    panic!(
        "{task} started again after {ended_at} ms, when it was done on {worker}: {:?}",
        events_of(&events, task)
    );
}

/// Prints what happened around a time on a worker, and the daemons' log lines about it, a task or the
/// ownership.
fn print_history(soak: &Soak, events: &[Event], task: TaskId, worker: usize, around: u64) {
    let near = |at: u64| at + HISTORY_MS > around && at < around + HISTORY_MS;
    for (at, _, event) in events.iter().filter(|(at, i, _)| *i == worker && near(*at)) {
        eprintln!("{at} worker {worker}: {event:?}");
    }
    for (at, note) in soak.notes.iter().filter(|(at, _)| near(*at)) {
        eprintln!("{at} {note}");
    }
    let (task, worker) = (task.to_string(), format!("i-{worker}"));
    print_logs(soak, |at, line| {
        let concerns = line["worker"] == worker.as_str()
            || line["task"] == task.as_str()
            || line["module"].as_str().is_some_and(|m| m.contains("owner"));
        concerns && near(at)
    });
}

/// Prints the log lines of all daemons that a condition on their time and content holds for.
fn print_logs(soak: &Soak, mut is_wanted: impl FnMut(u64, &Value) -> bool) {
    let daemons = soak.cluster.daemons.iter().enumerate();
    let logs = daemons.flat_map(|(i, d)| d.log_lines().into_iter().map(move |l| (i, l)));
    let mut lines: Vec<(usize, Value)> = soak.old_logs.iter().cloned().chain(logs).collect();
    lines.sort_by_key(|(_, line)| line["at_ms"].as_u64());
    for (i, line) in &lines {
        let at = line["at_ms"].as_u64().unwrap_or(0);
        let at = at.saturating_sub(soak.began_ms);
        if is_wanted(at, line) {
            eprintln!("{at} daemon {i}: {line}");
        }
    }
}

/// Waits until the job at a path has one of these states; prints what the daemons logged about it if it
/// doesn't.
fn wait_for_state(soak: &mut Soak, what: &str, path: &str, states: &[&str]) {
    let job = path.rsplit('/').next().unwrap_or_default();
    let front = &soak.cluster.daemons[0];
    let state = || {
        let (status, body) = front.call("GET", path, "secret", None);
        let state = body["state"].as_str().map(str::to_owned);
        state.unwrap_or_else(|| status.to_string())
    };
    let end = Instant::now() + cluster::TIMEOUT;
    let mut shown = state();
    while !states.contains(&shown.as_str()) {
        if Instant::now() >= end {
            for wait in soak.find_waits() {
                eprintln!("could run and had nothing running: {wait}");
            }
            for (at, note) in &soak.notes {
                eprintln!("{at} {note}");
            }
            print_logs(soak, |_, line| {
                let names = |field: &str| line[field].as_str().is_some_and(|v| v.contains(job));
                let is_owner = line["module"].as_str().is_some_and(|m| m.contains("owner"));
                names("task") || names("job") || is_owner || line["level"] == "WARN"
            });
            panic!("timed out waiting for {what}: {shown}");
        }
        std::thread::sleep(Duration::from_millis(20));
        shown = state();
    }
    if shown == "failed" {
        soak.note_failed(JobId::parse(job).expect("a job's id"));
    }
}

/// Checks that no accepted job had nothing running for too long although it could run; prints the faults and
/// what the daemons logged about those jobs otherwise.
fn check_waits(soak: &Soak) {
    let waits = soak.find_waits();
    for wait in &waits {
        eprintln!("could run and had nothing running: {wait}");
    }
    if !waits.is_empty() {
        for (at, note) in &soak.notes {
            eprintln!("{at} {note}");
        }
        let jobs: Vec<String> = waits.iter().map(|w| w.job.to_string()).collect();
        print_logs(soak, |_, line| {
            let names = |field: &str| {
                let value = line[field].as_str().unwrap_or_default();
                jobs.iter().any(|j| value.contains(j.as_str()))
            };
            let is_owner = line["module"].as_str().is_some_and(|m| m.contains("owner"));
            names("task") || names("job") || is_owner || line["message"] == "work waits"
        });
    }
    let seed = soak.seed;
    assert_eq!(waits, [], "seed {seed}");
}

/// Injects faults while callers submit jobs, then checks that every accepted job is done and that no
/// refused job has run.
fn run_seed(seed: u64) {
    let start = Instant::now();
    let mut soak = Soak::new(seed, 4, 3);
    let end = Instant::now() + FAULT_TIME;
    let mut callers = Vec::new();
    let mut id = 0;
    while Instant::now() < end {
        soak.end_due_faults(false);
        id += 1;
        let (count, run_ms) = (
            soak.rng.random_range(1..4),
            soak.rng.random_range(100..1_500),
        );
        let (fronts, pick) = (Arc::clone(&soak.fronts), soak.rng.random_range(0..3));
        callers.push((
            id,
            count,
            std::thread::spawn(move || {
                let body = job(&format!("run_ms={run_ms}"), count);
                submit_job(&fronts, "sweep", id, &body, pick, start)
            }),
        ));
        if soak.rng.random_range(0..2) == 0 {
            soak.inject_fault();
        }
        std::thread::sleep(Duration::from_millis(soak.rng.random_range(100..350)));
    }
    soak.end_due_faults(true);
    let mut outcomes: Vec<(u64, u32, Submission)> = Vec::new();
    for (id, count, caller) in callers {
        let (outcome, job) = caller.join().expect("no panic");
        outcomes.push((id, count, outcome));
        soak.jobs.push(job);
    }
    let front = &soak.cluster.daemons[0];
    wait_until("readiness", || front.is_ready());
    for (id, _, outcome) in &outcomes {
        if *outcome == Submission::Accepted {
            let what = format!("seed {seed}: completion of {id}");
            wait_for_state(
                &mut soak,
                &what,
                &format!("/sweep/{id:016x}"),
                &["completed"],
            );
        }
    }
    let cluster = &soak.cluster;
    let started_jobs: BTreeSet<u64> = cluster
        .workers
        .iter()
        .flat_map(platform_standin::worker::Worker::started_runs)
        .map(|(task, _)| u64::from_str_radix(task.job.as_str(), 16).expect("hexadecimal"))
        .collect();
    for (id, _, outcome) in &outcomes {
        assert!(
            *outcome != Submission::Refused || !started_jobs.contains(id),
            "seed {seed}: job {id} was refused and ran"
        );
    }
    let done = |id: u64| {
        let events = cluster.workers.iter().flat_map(|w| w.timeline(start));
        let tasks = events.filter_map(|(_, event)| match event {
            WorkerEvent::Ended(_, task, _, Outcome::Done) => Some(task),
            _ => None,
        });
        let of = |t: &TaskId| u64::from_str_radix(t.job.as_str(), 16) == Ok(id);
        tasks.filter(of).collect::<BTreeSet<_>>().len()
    };
    for (id, count, outcome) in &outcomes {
        if *outcome == Submission::Accepted {
            assert_eq!(
                done(*id),
                usize::try_from(*count).expect("small"),
                "seed {seed}: job {id}"
            );
        }
    }
    check_runs(cluster, start);
    check_acknowledged(&soak, start);
    check_waits(&soak);
    let accepted = outcomes
        .iter()
        .filter(|(_, _, t)| *t == Submission::Accepted)
        .count();
    println!("seed {seed}: {} jobs, {accepted} accepted", outcomes.len());
    assert!(accepted > 0, "seed {seed}: nothing was accepted");
}

/// Injects faults and outages of the store for all daemons while callers submit jobs, then checks that no
/// task has run twice.
fn run_outages(seed: u64) {
    let start = Instant::now();
    let mut soak = Soak::new(seed, 10, 5);
    let end = Instant::now() + OUTAGES_TIME;
    let mut callers = Vec::new();
    let mut id = 0;
    while Instant::now() < end {
        soak.end_due_faults(false);
        id += 1;
        let (count, run_ms) = (
            soak.rng.random_range(2..7),
            soak.rng.random_range(300..2_500),
        );
        let (fronts, pick) = (Arc::clone(&soak.fronts), soak.rng.random_range(0..5));
        callers.push(std::thread::spawn(move || {
            let body = job(&format!("run_ms={run_ms}"), count);
            submit_job(&fronts, "sweep", id, &body, pick, start)
        }));
        match soak.rng.random_range(0..8) {
            0..3 => soak.inject_fault(),
            3 => soak.inject_outage(),
            _ => {}
        }
        std::thread::sleep(Duration::from_millis(soak.rng.random_range(40..160)));
    }
    soak.end_due_faults(true);
    let mut outcomes: Vec<Submission> = Vec::new();
    for caller in callers {
        let (outcome, job) = caller.join().expect("no panic");
        outcomes.push(outcome);
        soak.jobs.push(job);
    }
    let front = &soak.cluster.daemons[0];
    wait_until("readiness", || front.is_ready());
    for (id, outcome) in (1..).zip(&outcomes) {
        if *outcome == Submission::Accepted {
            let what = format!("seed {seed}: the end of {id}");
            let path = format!("/sweep/{id:016x}");
            wait_for_state(&mut soak, &what, &path, &["completed", "failed"]);
        }
    }
    check_runs(&soak.cluster, start);
    check_acknowledged(&soak, start);
    check_waits(&soak);
    println!("seed {seed}: {} jobs", outcomes.len());
}

/// Returns a job of up to 20 tasks of less than `longest_ms` each, some of them a gang.
fn mixed_job(rng: &mut ChaCha8Rng, longest_ms: u64) -> Value {
    let gang = rng.random_range(0..5) == 0;
    let count = rng.random_range(1..if gang { 7 } else { 21 });
    let gpu = [1, 1, 1, 2, 4, 8][rng.random_range(0..if gang { 5 } else { 6 })];
    let run_ms = rng.random_range(500..longest_ms);
    json!({
        "spec": format!("run_ms={run_ms}"),
        "steps": [{"count": count, "cpu": 500, "mem_mb": 256, "gpu": gpu, "estimate_ms": run_ms, "gang": gang}],
    })
}

/// Adds a queue of the lowest priority to the configuration.
fn add_queue(cluster: &mut Cluster) {
    cluster.version += 3;
    let mut document = cluster::document(cluster.version, "secret");
    let mut route = document["routes"][1].clone();
    (route["name"], route["prefix"]) = (json!("night"), json!("/night/"));
    route["priority"] = json!(2);
    let routes = document["routes"].as_array_mut().expect("a list");
    routes.push(route);
    cluster
        .store
        .put("op/config", document.to_string().as_bytes());
}

/// Cancels a job through any daemon that answers.
fn cancel(fronts: &Mutex<Vec<String>>, path: &str, pick: usize) {
    let fronts = fronts.lock().expect("no panic").clone();
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_millis(3_200)))
        .build()
        .into();
    let _ = agent
        .delete(format!("http://{}{path}", fronts[pick % fronts.len()]))
        .header("host", "h.example")
        .header("deadline-ms", "3000")
        .header("authorization", "Token secret")
        .call();
}

/// Injects faults of the paths to workers and store, and of daemons, while callers fill the workers with
/// jobs, then checks that no task has run twice. If the network `splits`, that is the only fault, and the
/// work is less, so that owners that are cut off have idle workers, and takes longer.
fn run_paths(seed: u64, splits: bool) {
    let (start, began_ms) = (Instant::now(), wall_ms());
    let mut cluster = Cluster::with_paths(20, 5, SHORT_LEASE_MS);
    add_queue(&mut cluster);
    let mut soak = Soak::with_cluster(seed, start, began_ms, cluster);
    let longest_ms = if splits { 16_000 } else { 8_000 };
    let is_long = std::env::var_os("SOAK_SEEDS").is_some();
    let end = Instant::now() + PATHS_TIMES[usize::from(is_long)];
    let mut callers = Vec::new();
    while Instant::now() < end {
        soak.end_due_faults(false);
        if !splits || soak.rng.random_range(0..4) == 0 {
            let queue = ["urgent", "sweep", "sweep", "night"][soak.rng.random_range(0..4)];
            let id = callers.len() as u64 + 1;
            let body = mixed_job(&mut soak.rng, longest_ms);
            let (fronts, pick) = (Arc::clone(&soak.fronts), soak.rng.random_range(0..5));
            let cancel_after = (soak.rng.random_range(0..8) == 0)
                .then(|| Duration::from_millis(soak.rng.random_range(0..4_000)));
            callers.push(std::thread::spawn(move || {
                let path = format!("/{queue}/{id:016x}");
                let (outcome, mut job) = submit_job(&fronts, queue, id, &body, pick, start);
                if let Some(pause) = cancel_after {
                    std::thread::sleep(pause);
                    job.over_at = elapsed_ms(start);
                    cancel(&fronts, &path, pick + 1);
                }
                (path, outcome, job)
            }));
        }
        match soak.rng.random_range(0..10) {
            0..4 if splits => soak.split_network(),
            _ if splits => {}
            0..5 => soak.fail_paths(),
            5 => soak.fail_store_paths(),
            6 => soak.fail_daemons(),
            _ => {}
        }
        std::thread::sleep(Duration::from_millis(soak.rng.random_range(150..700)));
    }
    soak.end_due_faults(true);
    let mut outcomes: Vec<(String, Submission)> = Vec::new();
    for caller in callers {
        let (path, outcome, job) = caller.join().expect("no panic");
        outcomes.push((path, outcome));
        soak.jobs.push(job);
    }
    check_once(&soak, seed, start);
    let front = &soak.cluster.daemons[0];
    wait_until("readiness", || front.is_ready());
    for (path, outcome) in &outcomes {
        if *outcome == Submission::Accepted {
            let what = format!("seed {seed}: the end of {path}");
            wait_for_state(&mut soak, &what, path, &["completed", "failed", "canceled"]);
        }
    }
    check_once(&soak, seed, start);
    check_waits(&soak);
    let logs = soak.cluster.daemons.iter().flat_map(Daemon::log_lines);
    let lines: Vec<Value> = logs
        .chain(soak.old_logs.iter().map(|l| l.1.clone()))
        .collect();
    let count = |message: &str| lines.iter().filter(|l| l["message"] == message).count();
    println!(
        "seed {seed}: {} jobs; {} starts given up, {} bound, {} runs not wanted",
        outcomes.len(),
        count("start given up without a response"),
        count("start without a response; its task is bound to the worker"),
        count("stopping a run that isn't wanted"),
    );
}

/// Checks that no task has run twice; prints the faults and what the daemons logged about it otherwise.
fn check_once(soak: &Soak, seed: u64, start: Instant) {
    let overlap = find_overlap(worker_events(&soak.cluster, start));
    if let Some(text) = &overlap {
        for (at, note) in &soak.notes {
            eprintln!("{at} {note}");
        }
        let task = text.split(' ').next().unwrap_or_default();
        print_logs(soak, |_, line| {
            let is_owner = line["module"].as_str().is_some_and(|m| m.contains("owner"));
            line["task"] == task || is_owner
        });
    }
    assert_eq!(overlap, None, "seed {seed}");
    check_acknowledged(soak, start);
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

#[test]
fn guarantees_hold_under_random_faults_of_real_processes() {
    for seed in seeds(&SEEDS) {
        run_seed(seed);
    }
}

/// After an outage of the store for all daemons, tasks ran twice: done ones started again, or two runs of
/// a task went on at once.
#[test]
fn no_task_runs_twice_around_outages_of_the_store() {
    for seed in seeds(&OUTAGE_SEEDS) {
        run_outages(seed);
    }
}

/// Orders were carried out by a worker long after their daemon had given them up, behind paths that were
/// silent for a while: tasks ran twice at once, or again after they were done.
#[test]
fn no_task_runs_twice_behind_silent_or_cut_links() {
    for seed in seeds(&PATH_SEEDS) {
        run_paths(seed, false);
    }
}

/// Owners that were cut off together with some workers started tasks there that their successors kept: they
/// ran twice at once, or again after they were done.
#[test]
fn no_task_runs_twice_on_a_network_that_splits() {
    for seed in seeds(&SPLIT_SEEDS) {
        run_paths(seed, true);
    }
}
