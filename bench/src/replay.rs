//! Replays a seeded trace against the shipping planner under a fake clock.
//!
//! The store answers in 5 ms and a worker after twice the one-way delay; a stopped gang takes a
//! seeded share of its grace. No network, no processes.

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
/// One write of the store, in milliseconds.
const STORE_MS: u64 = 5;
/// One way between a daemon and a worker, in milliseconds.
const ONE_WAY_MS: u64 = 1;
/// The time between ticks, in milliseconds.
const TICK_MS: u64 = 1_000;
/// The time between samples of the fleet, in milliseconds.
const SAMPLE_MS: u64 = 30_000;
/// How much longer than its grace a claim inside a guarantee may wait, in milliseconds.
const CLAIM_SLACK_MS: u64 = 1_000;

/// A kind of work in a trace.
#[derive(Clone)]
pub struct Kind {
    /// The name of its rows.
    pub name: &'static str,
    /// The workspace and caller.
    pub workspace: &'static str,
    /// From 0, the most urgent, to 9.
    pub urgency: u8,
    /// Gangs it is made of, drawn evenly: tasks and accelerators of each.
    pub shapes: &'static [(u16, u8)],
    /// The mean run time, in milliseconds.
    pub run_ms: u64,
    /// The mean time between arrivals, in milliseconds.
    pub every_ms: u64,
    /// Between which points it arrives, in milliseconds.
    pub from_to: (u64, u64),
    /// Whether it goes on from a checkpoint.
    pub checkpoint: bool,
    /// Whether it may be stopped.
    pub stoppable: bool,
}

/// A whole trace.
pub struct Trace {
    /// The title of its table.
    pub name: &'static str,
    /// The number of workers.
    pub workers: usize,
    /// The workspaces with the whole workers they were promised, and racks.
    pub spaces: Vec<(&'static str, u16, u16)>,
    /// The work.
    pub kinds: Vec<Kind>,
    /// Its length, in milliseconds.
    pub span_ms: u64,
}

/// What a replay measured.
#[derive(Default)]
pub struct Outcome {
    /// By kind: milliseconds from submission to the first start, and to the end.
    pub times: BTreeMap<&'static str, (Vec<u64>, Vec<u64>)>,
    /// By kind: gangs that hadn't ended.
    pub left: BTreeMap<&'static str, u64>,
    /// For each sample with waiting gangs: the share of free accelerators that none could use.
    pub stranded: Vec<f64>,
    /// For each sample: the largest free block of one worker, and the most empty workers in a rack.
    pub blocks: Vec<(u8, u8)>,
    /// The share of accelerators in use, by sample.
    pub used: Vec<f64>,
    /// Claims inside an unused guarantee that waited longer than a grace allows.
    pub violations: u64,
    /// Gangs that were stopped, and accelerator seconds lost by that.
    pub stops: (u64, f64),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrive(usize),
    Up(JobKey, u32),
    Over(JobKey, u32),
    Stopped(JobKey, u32),
    Tick,
    Sample,
}

struct Live {
    ask: JobRequest,
    kind: usize,
    left_ms: u64,
    attempt: u32,
    vms: Vec<String>,
    up: Option<u64>,
    started: bool,
    stopping: bool,
    claim: bool,
}

struct Replay<'a> {
    trace: &'a Trace,
    planner: Planner,
    now: u64,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    order: u64,
    jobs: BTreeMap<JobKey, Live>,
    next: u32,
    free: BTreeMap<String, u8>,
    random: ChaCha8Rng,
    out: Outcome,
}

/// Returns a worker of the trace; eight share a rack.
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

/// Returns a configuration in which each workspace is promised whole racks and workers.
pub fn config(spaces: &[(&str, u16, u16)]) -> Config {
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
        workspaces: spaces.iter().map(workspace).collect(),
        ..Config::default()
    }
}

/// Replays a trace under a policy.
pub fn replay(trace: &Trace, policy: Policy, seed: u64) -> Outcome {
    let mut replay = Replay {
        trace,
        planner: Planner::with_policy(DC, seed, policy),
        now: 0,
        due: BinaryHeap::new(),
        order: 0,
        jobs: BTreeMap::new(),
        next: 0,
        free: BTreeMap::new(),
        random: ChaCha8Rng::seed_from_u64(seed),
        out: Outcome::default(),
    };
    replay.run();
    replay.out
}

impl Replay<'_> {
    fn run(&mut self) {
        self.step(Event::Config(
            Arc::new(config(&self.trace.spaces)),
            Default::default(),
        ));
        for i in 0..self.trace.workers {
            let vm = worker(i);
            self.free.insert(vm.name.clone(), vm.accels);
            self.step(Event::Worker(vm));
        }
        self.lay_trace();
        self.at(0, Due::Tick);
        self.at(SAMPLE_MS, Due::Sample);
        while let Some(Reverse((now, _, due))) = self.due.pop() {
            if now > self.trace.span_ms {
                break;
            }
            self.now = now;
            self.take(due);
        }
        let left: Vec<_> = self
            .jobs
            .values()
            .map(|j| self.trace.kinds[j.kind].name)
            .collect();
        for name in left {
            *self.out.left.entry(name).or_default() += 1;
        }
    }

    fn lay_trace(&mut self) {
        // All draws are made before the first decision, so that each policy sees the same trace.
        for (i, kind) in self.trace.kinds.iter().enumerate() {
            let mut at = kind.from_to.0;
            loop {
                at += exponential(&mut self.random, kind.every_ms);
                if at >= kind.from_to.1 {
                    break;
                }
                self.due.push(Reverse((at, self.order, Due::Arrive(i))));
                self.order += 1;
            }
        }
    }

    fn at(&mut self, at: u64, due: Due) {
        self.order += 1;
        self.due.push(Reverse((at, self.order, due)));
    }

    fn take(&mut self, due: Due) {
        match due {
            Due::Arrive(kind) => self.arrive(kind),
            Due::Up(job, attempt) => {
                if let Some(live) = self.current(job, attempt) {
                    live.up = Some(live.up.unwrap_or_default());
                    self.step(Event::Running(job));
                }
            }
            Due::Over(job, attempt) => {
                if self.current(job, attempt).is_some_and(|l| !l.stopping) {
                    self.finish(job);
                }
            }
            Due::Stopped(job, attempt) => {
                if self.current(job, attempt).is_some() {
                    self.stopped(job);
                }
            }
            Due::Tick => {
                self.step(Event::Tick);
                self.at(self.now + TICK_MS, Due::Tick);
            }
            Due::Sample => {
                self.sample();
                self.at(self.now + SAMPLE_MS, Due::Sample);
            }
        }
    }

    fn current(&mut self, job: JobKey, attempt: u32) -> Option<&mut Live> {
        self.jobs.get_mut(&job).filter(|l| l.attempt == attempt)
    }

    fn arrive(&mut self, at: usize) {
        let kind = &self.trace.kinds[at];
        // The draws of a gang depend on its number alone, so that policies see the same ones.
        let mut random = ChaCha8Rng::seed_from_u64(u64::from(self.next) ^ 0x5eed);
        let (tasks, accels) = kind.shapes[random.random_range(0..kind.shapes.len())];
        let run_ms = exponential(&mut random, kind.run_ms).max(1_000);
        let ask = JobRequest {
            job: JobKey(self.next),
            workspace: kind.workspace.to_owned(),
            caller: format!("{}-{}", kind.name, random.random_range(0..8)),
            labels: Labels::from([("kind".to_owned(), kind.name.to_owned())]),
            urgency: kind.urgency,
            allowed: Default::default(),
            shape: marigoldglade::api::Shape { tasks, accels },
            checkpoint: kind.checkpoint,
            preemptible: kind.stoppable,
            grace_ms: 10_000,
            // Hints are off by up to ten times either way.
            run_ms: (run_ms as f64 * 10_f64.powf(random.random_range(-1.0..1.0))) as u64,
            accepted_at: UnixMs(self.now),
            deadline: UnixMs::MAX,
        };
        self.next += 1;
        let claim = self.is_claim(&ask);
        let live = Live {
            ask: ask.clone(),
            kind: at,
            left_ms: run_ms,
            attempt: 0,
            vms: Vec::new(),
            up: None,
            started: false,
            stopping: false,
            claim,
        };
        self.jobs.insert(ask.job, live);
        self.step(Event::Waiting(ask));
    }

    /// Returns whether the workspace holds and waits for nothing, so that its guarantee is unused.
    fn is_claim(&self, ask: &JobRequest) -> bool {
        let promised = |s: &&(&str, u16, u16)| s.0 == ask.workspace;
        let (workers, racks) = match self.trace.spaces.iter().find(promised) {
            Some((_, workers, racks)) => (*workers, *racks),
            None => return false,
        };
        let needs = (u32::from(ask.shape.tasks) * u32::from(ask.shape.accels)).div_ceil(8);
        let fits = needs <= u32::from(racks) * 8 || needs <= u32::from(workers).min(1);
        fits && !self.jobs.values().any(|l| l.ask.workspace == ask.workspace)
    }

    fn finish(&mut self, job: JobKey) {
        let Some(live) = self.jobs.remove(&job) else {
            return;
        };
        self.give_back(&live);
        let took = self.now - live.ask.accepted_at.0;
        let name = self.trace.kinds[live.kind].name;
        self.out.times.entry(name).or_default().1.push(took);
        self.step(Event::Ended(job));
    }

    fn stopped(&mut self, job: JobKey) {
        let Some(mut live) = self.jobs.remove(&job) else {
            return;
        };
        self.give_back(&live);
        live.vms.clear();
        live.stopping = false;
        live.up = None;
        let ask = live.ask.clone();
        self.jobs.insert(job, live);
        self.step(Event::Waiting(ask));
    }

    fn give_back(&mut self, live: &Live) {
        for vm in &live.vms {
            *self.free.entry(vm.clone()).or_default() += live.ask.shape.accels;
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
        // A record, then prepare and commit at the workers.
        let up = self.now + STORE_MS + 2 * 2 * ONE_WAY_MS;
        let Some(live) = self.jobs.get_mut(&job) else {
            return;
        };
        live.attempt += 1;
        live.up = Some(up);
        for vm in &vms {
            let free = self.free.entry(vm.clone()).or_default();
            assert!(*free >= live.ask.shape.accels, "{vm} is taken twice");
            *free -= live.ask.shape.accels;
        }
        live.vms = vms;
        let waited = up - live.ask.accepted_at.0;
        if !std::mem::replace(&mut live.started, true) {
            let name = self.trace.kinds[live.kind].name;
            self.out.times.entry(name).or_default().0.push(waited);
            if live.claim && waited > live.ask.grace_ms + CLAIM_SLACK_MS {
                self.out.violations += 1;
            }
        }
        let (attempt, over) = (live.attempt, up + live.left_ms);
        self.at(up, Due::Up(job, attempt));
        self.at(over, Due::Over(job, attempt));
    }

    fn stop(&mut self, job: JobKey, end: u64) {
        let share = self.random.random_range(0.3..1.0);
        let Some(live) = self.jobs.get_mut(&job) else {
            return;
        };
        live.stopping = true;
        let ran = self
            .now
            .saturating_sub(live.up.unwrap_or(self.now))
            .min(live.left_ms);
        let takes = ((end - self.now) as f64 * share) as u64;
        let total = f64::from(live.ask.shape.total());
        let lost_ms = if live.ask.checkpoint {
            takes
        } else {
            ran + takes
        };
        if live.ask.checkpoint {
            live.left_ms = (live.left_ms - ran).max(1);
        }
        self.out.stops.0 += 1;
        self.out.stops.1 += lost_ms as f64 * total / 1_000.0;
        let attempt = live.attempt;
        self.at(self.now + takes, Due::Stopped(job, attempt));
    }

    fn sample(&mut self) {
        let all = self.free.len() as f64 * 8.0;
        let free: u32 = self.free.values().map(|f| u32::from(*f)).sum();
        self.out.used.push(1.0 - f64::from(free) / all);
        let most = self.free.values().copied().max().unwrap_or(0);
        let mut empty: BTreeMap<usize, u8> = BTreeMap::new();
        for (i, f) in self.free.values().enumerate() {
            *empty.entry(i / 8).or_default() += u8::from(*f == 8);
        }
        let rack = empty.values().copied().max().unwrap_or(0);
        self.out.blocks.push((most, rack));
        let waiting = self.jobs.values().filter(|l| l.vms.is_empty());
        let shapes: Vec<_> = waiting.map(|l| l.ask.shape).collect();
        if free == 0 || shapes.is_empty() {
            return;
        }
        let usable = shapes
            .iter()
            .map(|s| self.usable(s.tasks, s.accels, &empty))
            .max();
        let usable = usable.unwrap_or(0).min(free);
        self.out
            .stranded
            .push(1.0 - f64::from(usable) / f64::from(free));
    }

    /// Returns the free accelerators that lie in blocks which could serve a gang.
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

fn exponential(random: &mut ChaCha8Rng, mean_ms: u64) -> u64 {
    let draw: f64 = random.random_range(f64::EPSILON..1.0);
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
