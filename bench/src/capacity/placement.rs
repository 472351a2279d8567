//! Cost of placement: memory of the planner and time of its decisions.

use std::sync::Arc;

use marigoldglade::api::Shape;
use marigoldglade::config::Config;
use marigoldglade::label::{Labels, Selector};
use marigoldglade::plan::{Action, Event, JobKey, JobRequest};
use marigoldglade::planner::Planner;
use marigoldglade::time::UnixMs;
use marigoldglade::wire::{Role, Vm};

use super::{CENTRES, DAY_S, JOBS, WORKERS, config};
use crate::meter::{cost_us, print_line, state_bytes};

/// The numbers of workers that are measured.
const SIZES: [usize; 4] = [48, 160, 552, 1_104];
/// The time of all events.
const NOW: UnixMs = UnixMs(1_796_376_553_794);

fn worker(i: usize) -> Vm {
    Vm {
        name: format!("worker-{i}"),
        addr: "10.100.100.100:8080".to_owned(),
        role: Role::Worker,
        dc: "dc0".to_owned(),
        rack: format!("rack-{}", i / 8),
        accels: 8,
        slots: 0,
        labels: Labels::new(),
        leaving: false,
    }
}

fn job_request(job: u32, tasks: u16) -> JobRequest {
    JobRequest {
        job: JobKey(job),
        workspace: format!("workspace-{}", job % 390),
        caller: "sweeper".to_owned(),
        labels: [("tier".to_owned(), "sweep".to_owned())].into(),
        urgency: 7,
        allowed: [Selector::default(), Selector::default()],
        shape: Shape { tasks, accels: 1 },
        checkpoint: true,
        preemptible: true,
        grace_ms: 10_000,
        run_ms: 3_600_000,
        accepted_at: NOW,
        deadline: UnixMs::MAX,
    }
}

/// Returns a planner in which nine tenths of the workers run a gang of eight tasks each.
fn loaded(workers: usize) -> Planner {
    let text = config::document(390);
    let config = Config::parse("bench", &text).unwrap_or_default();
    let mut planner = Planner::new("dc0", 1);
    let mut out = Vec::new();
    planner.step(NOW, Event::Config(Arc::new(config), 1), &mut out);
    for i in 0..workers {
        planner.step(NOW, Event::Worker(worker(i)), &mut out);
    }
    for job in 0..workers * 9 / 10 {
        let job = u32::try_from(job).unwrap_or(0);
        out.clear();
        planner.step(NOW, Event::Waiting(job_request(job, 8)), &mut out);
        for action in std::mem::take(&mut out) {
            if let Action::Start(job, _) = action {
                planner.step(NOW, Event::Running(job), &mut out);
            }
        }
    }
    planner
}

/// Submits, starts and ends a job.
fn turn(planner: &mut Planner) -> usize {
    let job = JobKey(1_000_000);
    let mut out = Vec::new();
    planner.step(NOW, Event::Waiting(job_request(job.0, 8)), &mut out);
    let started = out
        .iter()
        .any(|a| matches!(a, Action::Start(j, _) if *j == job));
    assert!(started, "the new gang starts at once");
    planner.step(NOW, Event::Running(job), &mut out);
    planner.step(NOW, Event::Ended(job), &mut out);
    out.len()
}

pub(super) fn run() {
    println!("\nplacement owner, x = workers of its data centre, 8 tasks each");
    let plan = WORKERS / CENTRES;
    let state: Vec<(f64, f64)> = SIZES
        .iter()
        .map(|n| (*n as f64, state_bytes(16, || loaded(*n))))
        .collect();
    print_line("state", "bytes", &state, plan);
    let cost: Vec<(f64, f64)> = SIZES
        .iter()
        .map(|n| {
            let mut planner = loaded(*n);
            (*n as f64, cost_us(|| turn(&mut planner)))
        })
        .collect();
    print_line("a job comes, starts, ends", "cpu us", &cost, plan);
    let tick: Vec<(f64, f64)> = SIZES
        .iter()
        .map(|n| {
            let mut planner = loaded(*n);
            let mut out = Vec::new();
            (
                *n as f64,
                cost_us(|| planner.step(NOW, Event::Tick, &mut out)),
            )
        })
        .collect();
    print_line("a tick with nothing to do", "cpu us", &tick, plan);
    println!(
        "{JOBS} jobs a day over {CENTRES} data centres: {:.5} jobs/s an owner",
        JOBS / CENTRES / DAY_S
    );
}
