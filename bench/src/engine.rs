//! Processor time of the batch scheduler's engine, and how long jobs wait for their first start, by
//! the number of workers.
//!
//! The shipping engine runs on a simulated clock against simulated workers, with seeded arrivals that
//! grow with the fleet.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Instant;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hdrhistogram::Histogram;
use marigoldglade::batch::engine::{
    Action, Batch, Bounds, CommitOutcome, Engine, Event, InboxBody, InboxItem, InitialState,
    WorkerKey,
};
use marigoldglade::batch::id::JobId;
use marigoldglade::batch::messages::{Call, Submission};
use marigoldglade::batch::policy::{Policy, Queue, Workspace};
use marigoldglade::batch::spec::{JobSpec, Step};
use marigoldglade::batch::worker::{
    Order, OrderResponse, Outcome, Renewal, Resources, Start, Target,
};
use marigoldglade::store::{self, Op, Txn};
use marigoldglade::time::UnixMs;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use standin::batch_worker::{SimWorker, WorkerEvent};

/// The time between two looks at the workers, in milliseconds.
const TICK_MS: u64 = 5;
/// How long an order or its response is under way, in milliseconds.
const LINK_MS: u64 = 1;
/// How long the store takes for a commit, in milliseconds.
const COMMIT_MS: u64 = 5;
/// The number of workers to which the arrival rates of the job kinds refer.
const BASE_WORKERS: f64 = 540.0;

/// The speeds of uneven workers, in percent of an ordinary one's time.
const STRETCHES: [u64; 3] = [60, 100, 160];
/// The share of jobs that take longer than estimated, and how many times as long.
const TAIL: (f64, u64) = (0.03, 7);

/// A kind of job.
struct JobKind {
    queue: &'static str,
    /// The arrivals a second at [`BASE_WORKERS`].
    rate: f64,
    width: f64,
    width_limit: u32,
    work_ms: f64,
    cpu: u64,
    mem: u64,
    accels: &'static [u64],
    /// The share of jobs that are gangs.
    gangs: f64,
    priority: u32,
    target_ms: u64,
}

const KINDS: [JobKind; 3] = [
    JobKind {
        queue: "urgent",
        rate: 17.2,
        width: 5.3,
        width_limit: 32,
        work_ms: 2_500.0,
        cpu: 3_700,
        mem: 7_600,
        accels: &[1, 2, 4, 8, 8],
        gangs: 1.0,
        priority: 0,
        target_ms: 250,
    },
    JobKind {
        queue: "batch",
        rate: 3.44,
        width: 13.0,
        width_limit: 76,
        work_ms: 8_500.0,
        cpu: 13_000,
        mem: 34_000,
        accels: &[1, 2, 4, 8, 8],
        gangs: 0.3,
        priority: 1,
        target_ms: 1_000,
    },
    JobKind {
        queue: "survey",
        rate: 3.38,
        width: 38.0,
        width_limit: 230,
        work_ms: 7_600.0,
        cpu: 2_800,
        mem: 7_400,
        accels: &[1],
        gangs: 0.0,
        priority: 2,
        target_ms: 3_000,
    },
];

impl JobKind {
    /// Returns the factor of the run time in a job's objective; urgent jobs have little slack if the workers
    /// differ in speed.
    fn slack(&self, speeds: bool) -> f64 {
        if speeds && self.priority == 0 {
            1.5
        } else {
            3.0
        }
    }
}

pub(crate) fn command() -> Command {
    Command::new("engine")
        .about("Processor time of the batch scheduler's engine by the number of workers")
        .arg(
            Arg::new("workers")
                .long("workers")
                .value_parser(value_parser!(u32))
                .num_args(1..)
                .default_values(["48", "540", "3000"])
                .help("the fleet sizes"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64))
                .default_value("20")
                .help("the simulated time"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            Arg::new("speeds")
                .long("speeds")
                .action(ArgAction::SetTrue)
                .help("workers of three speeds, and one job in 33 that takes seven times its estimate"),
        )
        .arg(
            Arg::new("learn")
                .long("learn")
                .action(ArgAction::SetTrue)
                .help("learn run times"),
        )
}

pub(crate) fn run(matches: &ArgMatches) {
    let seconds = *matches.get_one::<u64>("seconds").unwrap_or(&20);
    let seed = *matches.get_one::<u64>("seed").unwrap_or(&1);
    let (speeds, learns) = (matches.get_flag("speeds"), matches.get_flag("learn"));
    println!(
        "{:>8} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>10} {:>10} {:>8}",
        "workers",
        "engine %",
        "commits %",
        "commits/s",
        "kB/s",
        "events/s",
        "p50 us",
        "p99 us",
        "urgent p50",
        "urgent p99",
        "done"
    );
    for workers in matches.get_many::<u32>("workers").into_iter().flatten() {
        let mut fleet = Fleet::new(seed, *workers, speeds, learns);
        fleet.run(seconds * 1_000);
        fleet.print(*workers, seconds);
        fleet.print_in_time();
    }
}

/// Something that happens at a point in time.
enum Scheduled {
    Order(WorkerKey, Arc<Target>, Order),
    Event(Event),
}

/// The simulated fleet around one engine.
struct Fleet {
    now: u64,
    rng: ChaCha8Rng,
    engine: Engine,
    workers: Vec<SimWorker>,
    /// Renewals that wait for a completion, with the time at which they are answered at the latest.
    polls: BTreeMap<WorkerKey, (Renewal, u64)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: HashMap<u64, Scheduled>,
    last_item: u64,
    jobs: HashMap<JobId, (u64, u64, Step, bool)>,
    last_job: u64,
    events: u64,
    done: u64,
    busy_ns: u64,
    commits: u64,
    commit_ns: u64,
    commit_bytes: u64,
    costs: Histogram<u64>,
    waits: Histogram<u64>,
    /// Whether the workers differ in speed.
    speeds: bool,
    /// When the slowest task of each job ends.
    ends: HashMap<JobId, u64>,
}

impl Fleet {
    fn new(seed: u64, count: u32, speeds: bool, learns: bool) -> Self {
        let targets: Vec<Target> = (0..count).map(target).collect();
        let now = 1_000_000;
        let initial = InitialState {
            term: 1,
            records: Vec::new(),
            workers: Vec::new(),
            evacuated: BTreeSet::new(),
            has_predecessors: false,
            predecessors_ended: true,
            learned: None,
        };
        let bounds = Bounds {
            lease_limit_ms: 6_000,
            retention_ms: 150_000,
            commit_entries: 28,
            learn_run_times: learns,
        };
        let engine = Engine::new(bounds, Arc::new(policy(speeds)), initial, UnixMs(now), now);
        let workers = targets.iter().map(|t| SimWorker::new(t.clone(), now - 10));
        let mut fleet = Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            engine,
            workers: workers.collect(),
            polls: BTreeMap::new(),
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            last_item: 0,
            jobs: HashMap::new(),
            last_job: 0,
            events: 0,
            done: 0,
            busy_ns: 0,
            commits: 0,
            commit_ns: 0,
            commit_bytes: 0,
            costs: Histogram::new(3).expect("a valid precision"),
            waits: Histogram::new(3).expect("a valid precision"),
            speeds,
            ends: HashMap::new(),
        };
        if speeds {
            for (i, worker) in fleet.workers.iter_mut().enumerate() {
                worker.stretch_percent = STRETCHES[i % STRETCHES.len()];
            }
        }
        fleet.deliver(vec![Event::Registry(targets)]);
        fleet
    }

    fn schedule(&mut self, time: u64, item: Scheduled) {
        self.last_item += 1;
        self.queue.push(Reverse((time, self.last_item)));
        self.scheduled.insert(self.last_item, item);
    }

    /// Passes events to the engine, as the daemon does with what has queued up, and measures the time.
    fn deliver(&mut self, events: Vec<Event>) {
        let mut out = Vec::new();
        self.events += u64::try_from(events.len()).unwrap_or(0);
        let began = Instant::now();
        self.engine
            .step_all(UnixMs(self.now), self.now, events, &mut out);
        let took = u64::try_from(began.elapsed().as_nanos()).unwrap_or(u64::MAX);
        self.busy_ns += took;
        self.costs.saturating_record(took / 1_000);
        for action in out {
            match action {
                Action::Order(key, target, order) => {
                    self.schedule(self.now + LINK_MS, Scheduled::Order(key, target, order));
                }
                Action::Commit(batch) => {
                    self.measure_commit(&batch);
                    let event = Event::CommitOutcome(batch.number, CommitOutcome::Committed);
                    self.schedule(self.now + COMMIT_MS, Scheduled::Event(event));
                    if let Some(refused) = batch.refused {
                        let item = InboxItem {
                            key: "refused".to_owned(),
                            body: InboxBody::Refused(refused),
                        };
                        let event = Event::Inbox(vec![item]);
                        self.schedule(self.now + COMMIT_MS, Scheduled::Event(event));
                    }
                }
                Action::Reply(..) | Action::Advise { .. } | Action::StepDown => {}
            }
        }
    }

    /// Measures the encoding of a commit, as the daemon sends it.
    fn measure_commit(&mut self, batch: &Batch) {
        let began = Instant::now();
        let put = |key: String, value: Vec<u8>| Op::Put(key, value, 0);
        let mut then: Vec<Op> = batch
            .puts
            .iter()
            .map(|r| {
                put(
                    r.id.to_string(),
                    r.encode().expect("a record can be encoded"),
                )
            })
            .collect();
        if let Some(workers) = &batch.workers {
            let value = marigoldglade::mesh::encode(workers).unwrap_or_default();
            then.push(put("workers".to_owned(), value));
        }
        let call = store::Call::Txn(Txn {
            then,
            ..Txn::default()
        });
        let request = platform::store::encode(&call, "store", 0).expect("a commit can be encoded");
        self.commit_ns += u64::try_from(began.elapsed().as_nanos()).unwrap_or(u64::MAX);
        self.commits += 1;
        self.commit_bytes += u64::try_from(request.body().len()).unwrap_or(u64::MAX);
    }

    fn run(&mut self, ms: u64) {
        let warmup = self.now + 1_000;
        let end = warmup + ms;
        let mut next_arrivals: Vec<f64> = KINDS.iter().map(|_| warmup as f64).collect();
        while self.now < end {
            if self.now < warmup {
                (self.busy_ns, self.events) = (0, 0);
                (self.commits, self.commit_ns, self.commit_bytes) = (0, 0, 0);
                self.costs.reset();
            }
            self.now += 1;
            let mut events = Vec::new();
            while let Some(Reverse((time, item))) = self.queue.peek().copied() {
                if time > self.now {
                    break;
                }
                self.queue.pop();
                match self.scheduled.remove(&item) {
                    Some(Scheduled::Event(event)) => events.push(event),
                    Some(Scheduled::Order(key, target, order)) => self.execute(key, &target, order),
                    None => {}
                }
            }
            for (kind, next) in KINDS.iter().zip(&mut next_arrivals) {
                while *next <= self.now as f64 {
                    let rate = kind.rate * self.workers.len() as f64 / BASE_WORKERS;
                    let roll: f64 = self.rng.random();
                    *next -= (1.0 - roll).ln() / rate * 1_000.0;
                    events.push(self.arrive(kind));
                }
            }
            if self.now.is_multiple_of(TICK_MS) {
                self.answer_polls();
            }
            if self.engine.next_tick().passed(UnixMs(self.now)) {
                events.push(Event::Confirmed(UnixMs(self.now)));
                events.push(Event::Tick);
            }
            if !events.is_empty() {
                self.deliver(events);
            }
        }
    }

    fn arrive(&mut self, kind: &JobKind) -> Event {
        self.last_job += 1;
        let id = JobId::parse(&format!("{:016x}", self.last_job)).expect("16 digits");
        let roll: f64 = self.rng.random();
        let width = (-(1.0 - roll).ln() * kind.width) as u32;
        let accels = kind.accels[self.rng.random_range(0..kind.accels.len())];
        let work_ms = (kind.work_ms * self.rng.random_range(0.6..1.4)) as u64;
        let step = Step {
            count: width.clamp(1, kind.width_limit),
            resources: Resources {
                cpu: kind.cpu,
                mem: kind.mem,
                accels,
            },
            estimate_ms: work_ms,
            gang: self.rng.random_bool(kind.gangs),
            one_rack: kind.priority == 0,
            ..Step::default()
        };
        let urgent = kind.priority == 0;
        let tail = self.speeds && self.rng.random_bool(TAIL.0);
        let actual_ms = if tail { work_ms * TAIL.1 } else { work_ms };
        self.jobs
            .insert(id, (self.now, actual_ms, step.clone(), urgent));
        let queue = policy(self.speeds)
            .queue(kind.queue)
            .expect("known queue")
            .clone();
        let call = Call::Submit(Box::new(Submission {
            id,
            queue,
            workspace: format!("w{}", self.last_job % 24),
            spec: JobSpec {
                steps: vec![step],
                ..JobSpec::default()
            },
            refusal: 0,
        }));
        Event::Call(self.last_job, call)
    }

    fn execute(&mut self, key: WorkerKey, target: &Target, order: Order) {
        if let Order::Renew(renewal) = &order
            && renewal.wait_ms > 0
        {
            let at = self.now + renewal.wait_ms;
            // The lease is extended when the order arrives, and the report made at the end.
            let at_once = Renewal {
                wait_ms: 0,
                ..*renewal
            };
            self.handle(key, &Order::Renew(at_once));
            self.polls.insert(key, (*renewal, at));
            return;
        }
        debug_assert!(!target.name.is_empty());
        let response = self.handle(key, &order);
        let event = Event::OrderResponse(key, order, response);
        self.schedule(self.now + LINK_MS, Scheduled::Event(event));
    }

    fn handle(&mut self, key: WorkerKey, order: &Order) -> OrderResponse {
        let worker = &mut self.workers[usize::from(key.0)];
        let jobs = &self.jobs;
        let response = worker.handle(self.now, order, |start: &Start| {
            let (_, work_ms, step, _) = &jobs[&start.task.job];
            (*work_ms, step.charge(), false)
        });
        for event in worker.events.drain(..) {
            if let WorkerEvent::Started(id, _) = event {
                let (_, work_ms, ..) = &self.jobs[&id.job];
                let end = self.now + work_ms * worker.stretch_percent / 100;
                let last = self.ends.entry(id.job).or_default();
                *last = end.max(*last);
            }
            match event {
                WorkerEvent::Started(id, _) if id.index == 0 => {
                    let (at, _, _, urgent) = &self.jobs[&id.job];
                    if *urgent {
                        self.waits.saturating_record(self.now - at);
                    }
                }
                WorkerEvent::Ended(_, _, _, Outcome::Done) => self.done += 1,
                _ => {}
            }
        }
        response
    }

    /// Answers the renewals whose workers have a completion or whose wait is over.
    fn answer_polls(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (key, (renewal, at)) in &self.polls {
            let worker = &mut self.workers[usize::from(key.0)];
            worker.advance(now);
            if now >= *at || worker.completions.iter().any(|c| c.number > renewal.acked) {
                due.push((*key, *renewal));
            }
        }
        for (key, renewal) in due {
            self.polls.remove(&key);
            let order = Order::Renew(Renewal {
                wait_ms: 0,
                ..renewal
            });
            let response = self.handle(key, &order);
            let event = Event::OrderResponse(key, Order::Renew(renewal), response);
            self.schedule(now + LINK_MS, Scheduled::Event(event));
        }
    }

    fn print(&self, workers: u32, seconds: u64) {
        println!(
            "{workers:>8} {:>9.1} {:>9.1} {:>9} {:>9} {:>9} {:>9} {:>9} {:>10} {:>10} {:>8}",
            percent(self.busy_ns, seconds),
            percent(self.commit_ns, seconds),
            self.commits / seconds.max(1),
            self.commit_bytes / 1_000 / seconds.max(1),
            self.events / seconds.max(1),
            self.costs.value_at_quantile(0.5),
            self.costs.value_at_quantile(0.99),
            self.waits.value_at_quantile(0.5),
            self.waits.value_at_quantile(0.99),
            self.done,
        );
    }
}

impl Fleet {
    /// Prints, by kind, how many of the jobs that have started end in time with their slowest task.
    fn print_in_time(&self) {
        if !self.speeds {
            return;
        }
        for kind in &KINDS {
            let of_kind = |s: &Step| s.resources.cpu == kind.cpu;
            let jobs = self.jobs.iter().filter(|(_, (_, _, s, _))| of_kind(s));
            let started = jobs.filter_map(|(id, job)| Some((job, *self.ends.get(id)?)));
            let slack = kind.slack(self.speeds);
            let (mut all, mut in_time) = (0u32, 0u32);
            for ((at, work_ms, ..), end) in started {
                let objective_ms = (*work_ms as f64 * slack) as u64 + kind.target_ms;
                all += 1;
                in_time += u32::from(end <= at + objective_ms);
            }
            println!("{:>8} {in_time} of {all} in time", kind.queue);
        }
    }
}

/// Returns a processor time in percent of a core.
fn percent(ns: u64, seconds: u64) -> f64 {
    ns as f64 / (seconds as f64 * 1e9) * 100.0
}

fn target(i: u32) -> Target {
    Target {
        name: format!("worker-{i}"),
        addr: ([127, 0, 0, 1], 9_000).into(),
        pool: "pool".to_owned(),
        dc: format!("dc{}", i / 20 % 5),
        labels: vec!["a".to_owned(), format!("r{}", i / 20)],
        capacity: Resources {
            cpu: 32_000,
            mem: 65_536,
            accels: 8,
        },
        draining: false,
        started_at: 1_000,
        long_leases: false,
    }
}

fn policy(speeds: bool) -> Policy {
    let queue = |kind: &JobKind| Queue {
        name: kind.queue.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{}/", kind.queue),
        pool: "pool".to_owned(),
        priority: kind.priority,
        attempts: 4,
        slack: kind.slack(speeds),
        target_ms: kind.target_ms,
        open: false,
        advice: None,
    };
    Policy {
        version: 1,
        queues: KINDS.iter().map(queue).collect(),
        workspaces: (0..24)
            .map(|i| Workspace {
                name: format!("w{i}"),
                keys: vec![format!("k{i}")],
                guarantee: 60,
            })
            .collect(),
        ..Policy::default()
    }
}
