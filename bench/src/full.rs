//! A planner with a full fleet, to measure the cost of a decision.

use std::sync::Arc;

use marigoldglade::api::Shape;
use marigoldglade::config::{Block, Config, Workspace};
use marigoldglade::label::{Labels, Selector};
use marigoldglade::plan::{Action, Event, JobKey, JobRequest};
use marigoldglade::planner::Planner;
use marigoldglade::time::UnixMs;
use marigoldglade::wire::{Role, Vm};

/// The data centre of all workers.
const DC: &str = "dc1";
/// The largest number of workspaces.
const MAX_WORKSPACES: usize = 390;
/// The number of gangs that wait because no worker has free accelerators.
const WAITING_GANGS: usize = 100;

/// A planner with a full fleet.
pub struct FullPlanner {
    planner: Planner,
    workers: usize,
    next_job: u32,
    running: std::collections::VecDeque<JobKey>,
    out: Vec<Action>,
}

impl FullPlanner {
    /// Creates a planner with a running task on each accelerator and some waiting gangs.
    pub fn new(workers: usize) -> Self {
        let mut full = Self {
            planner: Planner::new(DC, 7),
            workers,
            next_job: 0,
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
        for _ in 0..WAITING_GANGS {
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

    /// Submits a gang; workspaces take turns.
    pub fn arrive(&mut self, tasks: u16, accels: u8) {
        let workspace = self.next_job as usize % workspace_count(self.workers);
        let request = JobRequest {
            job: JobKey(self.next_job),
            workspace: format!("space{workspace}"),
            caller: format!("caller{}", self.next_job % 7),
            labels: Labels::new(),
            urgency: 5,
            allowed: Default::default(),
            shape: Shape { tasks, accels },
            checkpoint: true,
            preemptible: true,
            grace_ms: 10_000,
            run_ms: 0,
            accepted_at: UnixMs(u64::from(self.next_job)),
            deadline: UnixMs::MAX,
        };
        self.next_job += 1;
        self.step(Event::Waiting(request));
    }

    /// Ends a job and submits another.
    pub fn turn(&mut self) {
        if let Some(job) = self.running.pop_front() {
            self.step(Event::Ended(job));
        }
        self.arrive(1, 1);
    }

    /// Removes a worker from the VM list and adds it again.
    pub fn flap(&mut self) {
        self.step(Event::WorkerGone(vm(self.workers / 2).name));
        self.step(Event::Worker(vm(self.workers / 2)));
    }

    /// Runs a tick of the planner.
    pub fn tick(&mut self) {
        self.step(Event::Tick);
    }
}

fn workspace_count(workers: usize) -> usize {
    MAX_WORKSPACES.min(workers / 3)
}

/// Returns a configuration that guarantees two workers to each workspace. These are two thirds of
/// the fleet, or less if the number of workspaces reaches [`MAX_WORKSPACES`].
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
        workspaces: (0..workspace_count(workers)).map(workspace).collect(),
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
