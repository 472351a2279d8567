//! Tests of what the ends of workers' processes count for: whether they are blamed on the tasks there.

#[path = "batch/world.rs"]
#[expect(dead_code, reason = "the simulation serves several test files")]
mod simulation;

use std::ops::Range;

use marigoldglade::batch::id::TaskId;
use marigoldglade::batch::messages::JobStatus;
use rand::RngExt;
use rstest::rstest;
use simulation::{Simulation, job_id, spec, step};

/// Returns the first task of a job of one step.
fn first_task(n: u64) -> TaskId {
    TaskId {
        job: job_id(n),
        round: 0,
        step: 0,
        index: 0,
    }
}

/// Cuts a worker off for `cut_ms` and restarts it meanwhile.
fn restart_behind_cut(sim: &mut Simulation, name: &str, cut_ms: u64) {
    sim.workers.get_mut(name).expect("known worker").unreachable = true;
    sim.run_for(cut_ms / 2);
    let now = sim.now;
    sim.workers
        .get_mut(name)
        .expect("known worker")
        .restart(now);
    sim.run_for(cut_ms / 2);
    sim.workers.get_mut(name).expect("known worker").unreachable = false;
    let owner = sim.newest_owner();
    sim.send_registry(owner);
}

/// Returns the name of the worker that runs a task, once one does; `None` if none does for 30 s.
fn host(sim: &mut Simulation, task: TaskId) -> Option<String> {
    for _ in 0..3_000 {
        let mut workers = sim.workers.values();
        if let Some(worker) = workers.find(|x| x.runs.contains_key(&task)) {
            return Some(worker.target.name.clone());
        }
        sim.run_for(10);
    }
    None
}

/// Guards against a sound job that is shown as failed because workers end under runs of it that had gone
/// on for a while.
#[test]
fn a_long_task_is_done_though_its_workers_restart_again_and_again() {
    for seed in 100..104 {
        let mut sim = Simulation::new(seed, 1, 3);
        sim.reuse_ids = true;
        sim.submit(1, "sweep", "w0", spec(vec![step(1, 8, 9_000)]), 9_000);
        for _ in 0..6 {
            let Some(name) = host(&mut sim, first_task(1)) else {
                break;
            };
            sim.run_for(3_000);
            restart_behind_cut(&mut sim, &name, 1_000);
        }
        sim.run_for(40_000);
        assert_eq!(sim.status(1), Some(JobStatus::Done), "seed {seed}");
    }
}

/// The seeds that the storms of restarts are played with.
const SEEDS: Range<u64> = 202..206;

/// Guards against sound jobs that are shown as failed because workers restart, behind cuts or not, when they have
/// just been given starts.
#[rstest]
#[case::seen_at_once(0)]
#[case::behind_cuts(1_000)]
#[case::behind_long_cuts(3_000)]
fn sound_jobs_are_done_though_workers_restart_under_their_starts(#[case] cut_ms: u64) {
    for seed in SEEDS {
        let mut sim = Simulation::new(seed, 2, 10);
        sim.reuse_ids = true;
        sim.run_for(300);
        let mut cuts: Vec<(u64, String)> = Vec::new();
        let jobs = 60;
        for n in 0..jobs {
            sim.submit(n, "sweep", "w0", spec(vec![step(3, 8, 1_500)]), 1_500);
            for _ in 0..6 {
                sim.run_for(100);
                let rack = sim.rng.random_range(0..2);
                let name = format!("worker-{rack}-{}", sim.rng.random_range(0..10));
                sim.workers.get_mut(&name).unwrap().unreachable = cut_ms > 0;
                cuts.push((sim.now + cut_ms, name));
                let now = sim.now;
                let (due, later) = cuts.into_iter().partition(|(end, _)| *end <= now);
                cuts = later;
                for (_, name) in due {
                    let worker = sim.workers.get_mut(&name).unwrap();
                    worker.restart(now);
                    worker.unreachable = false;
                }
            }
        }
        sim.workers.values_mut().for_each(|x| x.unreachable = false);
        sim.run_for(120_000);
        let failed = (0..jobs).filter(|n| sim.status(*n) == Some(JobStatus::Failed));
        assert_eq!(failed.collect::<Vec<_>>(), [0u64; 0], "seed {seed}");
        assert!(sim.all_done(0..jobs), "seed {seed}");
    }
}
