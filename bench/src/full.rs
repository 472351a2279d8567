//! A planner whose fleet is full, for measuring the cost of a decision.

use std::sync::Arc;

use marigoldglade::api::Shape;
use marigoldglade::config::{Block, Config, Workspace};
use marigoldglade::label::{Labels, Selector};
use marigoldglade::plan::{Action, Event, JobKey, JobRequest};
use marigoldglade::planner::Planner;
use marigoldglade::time::UnixMs;
use marigoldglade::wire::{Role, Vm};

/// The data centre.
const DC: &str = "dc1";
/// The most workspaces.
const SPACES: usize = 390;
/// Waiting gangs that find no place.
const QUEUE: usize = 100;

/// A planner with a full fleet.
pub struct Full {
    planner: Planner,
    workers: usize,
    next: u32,
    running: std::collections::VecDeque<JobKey>,
    out: Vec<Action>,
}

impl Full {
    /// Fills `workers` workers with a task on each accelerator, and lets some gangs wait.
    pub fn new(workers: usize) -> Self {
        let mut full = Self {
            planner: Planner::new(DC, 7),
            workers,
            next: 0,
            running: Default::default(),
            out: Vec::new(),
        };
        full.step(Event::Config(Arc::new(config(workers)), Default::default()));
        for i in 0..workers {
            full.step(Event::Worker(vm(i)));
        }
        for _ in 0..workers * 8 {
            full.arrive(1, 1);
        }
        for _ in 0..QUEUE {
            full.arrive(1, 8);
        }
        full
    }

    fn step(&mut self, event: Event) {
        self.out.clear();
        self.planner.step(UnixMs(1_000_000), event, &mut self.out);
        for action in &self.out {
            if let Action::Start(job, _) = action {
                self.running.push_back(*job);
            }
        }
    }

    /// A gang comes, of a workspace in turn.
    pub fn arrive(&mut self, tasks: u16, accels: u8) {
        let space = self.next as usize % spaces(self.workers);
        let ask = JobRequest {
            job: JobKey(self.next),
            workspace: format!("space{space}"),
            caller: format!("caller{}", self.next % 7),
            labels: Labels::new(),
            urgency: 5,
            allowed: Default::default(),
            shape: Shape { tasks, accels },
            checkpoint: true,
            preemptible: true,
            grace_ms: 10_000,
            run_ms: 0,
            accepted_at: UnixMs(u64::from(self.next)),
            deadline: UnixMs::MAX,
        };
        self.next += 1;
        self.step(Event::Waiting(ask));
    }

    /// A task ends and another comes in its place.
    pub fn turn(&mut self) {
        if let Some(job) = self.running.pop_front() {
            self.step(Event::Ended(job));
        }
        self.arrive(1, 1);
    }

    /// A worker leaves the list and comes back.
    pub fn flap(&mut self) {
        self.step(Event::WorkerGone(vm(self.workers / 2).name));
        self.step(Event::Worker(vm(self.workers / 2)));
    }

    /// Time passes.
    pub fn tick(&mut self) {
        self.step(Event::Tick);
    }
}

fn spaces(workers: usize) -> usize {
    SPACES.min(workers / 3)
}

/// Two thirds of the workers are promised, two to a workspace.
fn config(workers: usize) -> Config {
    let workspace = |i: usize| Workspace {
        name: format!("space{i}"),
        labels: Labels::new(),
        r#where: Selector::default(),
        guarantee: vec![Block {
            dc: DC.to_owned(),
            racks: 0,
            workers: 2,
            accels: 0,
        }],
        quota: 0,
    };
    Config {
        workspaces: (0..spaces(workers)).map(workspace).collect(),
        ..Config::default()
    }
}

fn vm(i: usize) -> Vm {
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
