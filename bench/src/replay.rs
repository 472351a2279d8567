//! Replays a seeded trace with the production planner and a simulated clock.
//!
//! The store answers in 5 ms and a worker after twice the one-way delay. A stopped gang ends after
//! a random share of its grace period. There is no network and no other process.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use hdrhistogram::Histogram;
use marigoldglade::config::{Block, Config, Workspace};
use marigoldglade::label::{Labels, Selector};
use marigoldglade::plan::{Action, Event, JobKey, JobRequest};
use marigoldglade::planner::{Planner, Policy};
use marigoldglade::time::UnixMs;
use marigoldglade::wire::{Role, Vm};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The data centre of all traces.
pub const DC: &str = "dc1";
/// The time of a store write, in milliseconds.
const STORE_WRITE_MS: u64 = 5;
/// The one-way delay between a daemon and a worker, in milliseconds.
const ONE_WAY_MS: u64 = 1;
/// The time between ticks, in milliseconds.
const TICK_MS: u64 = 1_000;
/// The time between samples of the fleet, in milliseconds.
const SAMPLE_MS: u64 = 30_000;
/// How much longer than the grace period a gang within its workspace's unused guarantee may wait
/// for its start, in milliseconds.
const GUARANTEE_SLACK_MS: u64 = 1_000;

/// A kind of job in a trace.
#[derive(Clone)]
pub struct JobKind {
    /// The name in the table.
    pub name: &'static str,
    /// The name of the workspace that submits the jobs.
    pub workspace: &'static str,
    /// The urgency, from 0, the most urgent, to 9.
    pub urgency: u8,
    /// The gang shapes, drawn with equal probability: tasks, and accelerators of each task.
    pub shapes: &'static [(u16, u8)],
    /// The mean run time, in milliseconds.
    pub run_ms: u64,
    /// The mean time between arrivals, in milliseconds.
    pub interval_ms: u64,
    /// The first and last time of arrivals, in milliseconds.
    pub window_ms: (u64, u64),
    /// Whether a stopped gang resumes from a checkpoint.
    pub checkpoint: bool,
    /// Whether a gang may be preempted.
    pub preemptible: bool,
}

/// A trace of jobs with the fleet that runs it.
pub struct Trace {
    /// The title of its table.
    pub name: &'static str,
    /// The number of workers.
    pub workers: usize,
    /// The workspaces: name, guaranteed whole workers and guaranteed racks.
    pub workspaces: Vec<(&'static str, u16, u16)>,
    /// The kinds of jobs.
    pub kinds: Vec<JobKind>,
    /// The length of the trace, in milliseconds.
    pub span_ms: u64,
}

/// The measurements of a replay.
#[derive(Default)]
pub struct Outcome {
    /// By kind, the times from submission to the first start and to the end, in milliseconds.
    pub times: BTreeMap<&'static str, (Vec<u64>, Vec<u64>)>,
    /// By kind, the number of gangs that haven't ended at the end of the trace.
    pub unfinished: BTreeMap<&'static str, u64>,
    /// For each sample with waiting gangs and free accelerators, the share of the free accelerators
    /// that no waiting gang can use.
    pub stranded: Vec<f64>,
    /// For each sample, the largest number of free accelerators on a worker and the largest number
    /// of empty workers in a rack.
    pub blocks: Vec<(u8, u8)>,
    /// For each sample, the share of accelerators in use.
    pub used: Vec<f64>,
    /// The number of gangs within an unused guarantee that waited longer than allowed.
    pub violations: u64,
    /// The number of stops, and the accelerator seconds that they lost.
    pub stops: (u64, f64),
}

/// A timer of the replay. The number after a job is its attempt: timers of earlier attempts are
/// ignored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Arrive(usize),
    Running(JobKey, u32),
    Finished(JobKey, u32),
    Stopped(JobKey, u32),
    Tick,
    Sample,
}

/// A job that hasn't ended.
struct LiveJob {
    request: JobRequest,
    kind: usize,
    remaining_ms: u64,
    attempt: u32,
    vms: Vec<String>,
    started_at: Option<u64>,
    started_before: bool,
    stopping: bool,
    in_guarantee: bool,
}

struct Replay<'a> {
    trace: &'a Trace,
    planner: Planner,
    now: u64,
    timers: BinaryHeap<Reverse<(u64, u64, Timer)>>,
    seq: u64,
    jobs: BTreeMap<JobKey, LiveJob>,
    next_job: u32,
    free: BTreeMap<String, u8>,
    rng: ChaCha8Rng,
    outcome: Outcome,
}

/// Returns the worker with this index; eight workers share a rack.
pub fn worker(i: usize) -> Vm {
    Vm {
        name: format!("w{i:04}"),
        addr: String::new(),
        role: Role::Worker,
        dc: DC.to_owned(),
        rack: format!("r{:03}", i / 8),
        accels: 8,
        slots: 0,
        labels: Labels::new(),
        leaving: false,
    }
}

/// Returns a configuration that guarantees whole racks and workers to each workspace.
pub fn config(workspaces: &[(&str, u16, u16)]) -> Config {
    let workspace = |(name, workers, racks): &(&str, u16, u16)| Workspace {
        name: (*name).to_owned(),
        labels: Labels::new(),
        r#where: Selector::default(),
        guarantee: vec![Block {
            dc: DC.to_owned(),
            racks: *racks,
            workers: *workers,
            accels: 0,
        }],
        quota: 0,
    };
    Config {
        workspaces: workspaces.iter().map(workspace).collect(),
        ..Config::default()
    }
}

/// Replays a trace under a policy.
pub fn replay(trace: &Trace, policy: Policy, seed: u64) -> Outcome {
    let mut replay = Replay {
        trace,
        planner: Planner::with_policy(DC, seed, policy),
        now: 0,
        timers: BinaryHeap::new(),
        seq: 0,
        jobs: BTreeMap::new(),
        next_job: 0,
        free: BTreeMap::new(),
        rng: ChaCha8Rng::seed_from_u64(seed),
        outcome: Outcome::default(),
    };
    replay.run();
    replay.outcome
}

impl Replay<'_> {
    fn run(&mut self) {
        self.step(Event::Config(
            Arc::new(config(&self.trace.workspaces)),
            Default::default(),
        ));
        for i in 0..self.trace.workers {
            let vm = worker(i);
            self.free.insert(vm.name.clone(), vm.accels);
            self.step(Event::Worker(vm));
        }
        self.schedule_arrivals();
        self.schedule(0, Timer::Tick);
        self.schedule(SAMPLE_MS, Timer::Sample);
        while let Some(Reverse((now, _, timer))) = self.timers.pop() {
            if now > self.trace.span_ms {
                break;
            }
            self.now = now;
            self.handle(timer);
        }
        let unfinished: Vec<_> = self
            .jobs
            .values()
            .map(|j| self.trace.kinds[j.kind].name)
            .collect();
        for name in unfinished {
            *self.outcome.unfinished.entry(name).or_default() += 1;
        }
    }

    fn schedule_arrivals(&mut self) {
        // All arrivals are drawn before the first decision, so that policies see the same trace.
        for (i, kind) in self.trace.kinds.iter().enumerate() {
            let mut at = kind.window_ms.0;
            loop {
                at += exponential(&mut self.rng, kind.interval_ms);
                if at >= kind.window_ms.1 {
                    break;
                }
                self.timers.push(Reverse((at, self.seq, Timer::Arrive(i))));
                self.seq += 1;
            }
        }
    }

    fn schedule(&mut self, at: u64, timer: Timer) {
        self.seq += 1;
        self.timers.push(Reverse((at, self.seq, timer)));
    }

    fn handle(&mut self, timer: Timer) {
        match timer {
            Timer::Arrive(kind) => self.arrive(kind),
            Timer::Running(job, attempt) => {
                if let Some(live) = self.find_attempt(job, attempt) {
                    live.started_at = Some(live.started_at.unwrap_or_default());
                    self.step(Event::Running(job));
                }
            }
            Timer::Finished(job, attempt) => {
                if self.find_attempt(job, attempt).is_some_and(|l| !l.stopping) {
                    self.finish(job);
                }
            }
            Timer::Stopped(job, attempt) => {
                if self.find_attempt(job, attempt).is_some() {
                    self.requeue(job);
                }
            }
            Timer::Tick => {
                self.step(Event::Tick);
                self.schedule(self.now + TICK_MS, Timer::Tick);
            }
            Timer::Sample => {
                self.sample();
                self.schedule(self.now + SAMPLE_MS, Timer::Sample);
            }
        }
    }

    fn find_attempt(&mut self, job: JobKey, attempt: u32) -> Option<&mut LiveJob> {
        self.jobs.get_mut(&job).filter(|l| l.attempt == attempt)
    }

    fn arrive(&mut self, at: usize) {
        let kind = &self.trace.kinds[at];
        // The random values of a gang depend only on its number, so that all policies see the same.
        let mut rng = ChaCha8Rng::seed_from_u64(u64::from(self.next_job) ^ 0x5eed);
        let (tasks, accels) = kind.shapes[rng.random_range(0..kind.shapes.len())];
        let run_ms = exponential(&mut rng, kind.run_ms).max(1_000);
        let request = JobRequest {
            job: JobKey(self.next_job),
            workspace: kind.workspace.to_owned(),
            caller: format!("{}-{}", kind.name, rng.random_range(0..8)),
            labels: Labels::from([("kind".to_owned(), kind.name.to_owned())]),
            urgency: kind.urgency,
            allowed: Default::default(),
            shape: marigoldglade::api::Shape { tasks, accels },
            checkpoint: kind.checkpoint,
            preemptible: kind.preemptible,
            grace_ms: 10_000,
            // The job's hint of its run time is up to ten times too short or too long.
            run_ms: (run_ms as f64 * 10_f64.powf(rng.random_range(-1.0..1.0))) as u64,
            accepted_at: UnixMs(self.now),
            deadline: UnixMs::MAX,
        };
        self.next_job += 1;
        let in_guarantee = self.fits_unused_guarantee(&request);
        let live = LiveJob {
            request: request.clone(),
            kind: at,
            remaining_ms: run_ms,
            attempt: 0,
            vms: Vec::new(),
            started_at: None,
            started_before: false,
            stopping: false,
            in_guarantee,
        };
        self.jobs.insert(request.job, live);
        self.step(Event::Waiting(request));
    }

    /// Returns whether a gang fits in the guarantee of its workspace and the workspace has no other
    /// jobs.
    fn fits_unused_guarantee(&self, request: &JobRequest) -> bool {
        let named = |s: &&(&str, u16, u16)| s.0 == request.workspace;
        let (workers, racks) = match self.trace.workspaces.iter().find(named) {
            Some((_, workers, racks)) => (*workers, *racks),
            None => return false,
        };
        let needs = (u32::from(request.shape.tasks) * u32::from(request.shape.accels)).div_ceil(8);
        let fits = needs <= u32::from(racks) * 8 || needs <= u32::from(workers).min(1);
        fits && !self
            .jobs
            .values()
            .any(|l| l.request.workspace == request.workspace)
    }

    fn finish(&mut self, job: JobKey) {
        let Some(live) = self.jobs.remove(&job) else {
            return;
        };
        self.free_workers(&live);
        let took = self.now - live.request.accepted_at.0;
        let name = self.trace.kinds[live.kind].name;
        self.outcome.times.entry(name).or_default().1.push(took);
        self.step(Event::Ended(job));
    }

    fn requeue(&mut self, job: JobKey) {
        let Some(mut live) = self.jobs.remove(&job) else {
            return;
        };
        self.free_workers(&live);
        live.vms.clear();
        live.stopping = false;
        live.started_at = None;
        let request = live.request.clone();
        self.jobs.insert(job, live);
        self.step(Event::Waiting(request));
    }

    fn free_workers(&mut self, live: &LiveJob) {
        for vm in &live.vms {
            *self.free.entry(vm.clone()).or_default() += live.request.shape.accels;
        }
    }

    fn step(&mut self, event: Event) {
        let mut out = Vec::new();
        self.planner.step(UnixMs(self.now), event, &mut out);
        for action in out {
            match action {
                Action::Start(job, vms) => self.start(job, vms),
                Action::Stop { job, end, .. } => self.stop(job, end.0),
                _ => {}
            }
        }
    }

    fn start(&mut self, job: JobKey, vms: Vec<String>) {
        // A start takes a store write, then two round trips to the workers: prepare and commit.
        let started_at = self.now + STORE_WRITE_MS + 2 * 2 * ONE_WAY_MS;
        let Some(live) = self.jobs.get_mut(&job) else {
            return;
        };
        live.attempt += 1;
        live.started_at = Some(started_at);
        for vm in &vms {
            let free = self.free.entry(vm.clone()).or_default();
            assert!(*free >= live.request.shape.accels, "{vm} is taken twice");
            *free -= live.request.shape.accels;
        }
        live.vms = vms;
        let waited = started_at - live.request.accepted_at.0;
        if !std::mem::replace(&mut live.started_before, true) {
            let name = self.trace.kinds[live.kind].name;
            self.outcome.times.entry(name).or_default().0.push(waited);
            if live.in_guarantee && waited > live.request.grace_ms + GUARANTEE_SLACK_MS {
                self.outcome.violations += 1;
            }
        }
        let (attempt, finished_at) = (live.attempt, started_at + live.remaining_ms);
        self.schedule(started_at, Timer::Running(job, attempt));
        self.schedule(finished_at, Timer::Finished(job, attempt));
    }

    fn stop(&mut self, job: JobKey, end: u64) {
        let share = self.rng.random_range(0.3..1.0);
        let Some(live) = self.jobs.get_mut(&job) else {
            return;
        };
        live.stopping = true;
        let ran = self
            .now
            .saturating_sub(live.started_at.unwrap_or(self.now))
            .min(live.remaining_ms);
        let takes = ((end - self.now) as f64 * share) as u64;
        let total = f64::from(live.request.shape.total());
        let lost_ms = if live.request.checkpoint {
            takes
        } else {
            ran + takes
        };
        if live.request.checkpoint {
            live.remaining_ms = (live.remaining_ms - ran).max(1);
        }
        self.outcome.stops.0 += 1;
        self.outcome.stops.1 += lost_ms as f64 * total / 1_000.0;
        let attempt = live.attempt;
        self.schedule(self.now + takes, Timer::Stopped(job, attempt));
    }

    fn sample(&mut self) {
        let all = self.free.len() as f64 * 8.0;
        let free: u32 = self.free.values().map(|f| u32::from(*f)).sum();
        self.outcome.used.push(1.0 - f64::from(free) / all);
        let most = self.free.values().copied().max().unwrap_or(0);
        let mut empty: BTreeMap<usize, u8> = BTreeMap::new();
        for (i, f) in self.free.values().enumerate() {
            *empty.entry(i / 8).or_default() += u8::from(*f == 8);
        }
        let rack = empty.values().copied().max().unwrap_or(0);
        self.outcome.blocks.push((most, rack));
        let waiting = self.jobs.values().filter(|l| l.vms.is_empty());
        let shapes: Vec<_> = waiting.map(|l| l.request.shape).collect();
        if free == 0 || shapes.is_empty() {
            return;
        }
        let usable = shapes
            .iter()
            .map(|s| self.usable(s.tasks, s.accels, &empty))
            .max();
        let usable = usable.unwrap_or(0).min(free);
        self.outcome
            .stranded
            .push(1.0 - f64::from(usable) / f64::from(free));
    }

    /// Returns the number of free accelerators in blocks that fit a gang of this shape.
    fn usable(&self, tasks: u16, accels: u8, empty: &BTreeMap<usize, u8>) -> u32 {
        let total = u32::from(tasks) * u32::from(accels);
        if total <= 8 {
            let fits = self.free.values().filter(|f| u32::from(**f) >= total);
            return fits.map(|f| u32::from(*f) / total * total).sum();
        }
        let workers = total.div_ceil(8);
        if workers <= 8 {
            let racks = empty
                .values()
                .map(|n| u32::from(*n) / workers * workers * 8);
            return racks.sum();
        }
        let sum: u32 = empty.values().map(|n| u32::from(*n)).sum();
        sum / workers * workers * 8
    }
}

fn exponential(rng: &mut ChaCha8Rng, mean_ms: u64) -> u64 {
    let draw: f64 = rng.random_range(f64::EPSILON..1.0);
    (-draw.ln() * mean_ms as f64) as u64
}

/// Returns a quantile of some times, in seconds.
pub fn quantile_s(times: &[u64], quantile: f64) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 1 << 40, 3) else {
        return f64::NAN;
    };
    for time in times {
        histogram.saturating_record(*time);
    }
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Returns the mean of some shares, in percent.
pub fn mean_percent(shares: &[f64]) -> f64 {
    100.0 * shares.iter().sum::<f64>() / shares.len().max(1) as f64
}
