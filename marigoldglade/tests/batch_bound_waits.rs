//! Work that is bound to one worker and waits beside others.

#[path = "batch/world.rs"]
#[expect(dead_code, reason = "the simulation serves several test files")]
mod simulation;

use marigoldglade::batch::spec::Step;
use simulation::{Simulation, job_id, spec, step};

/// How long work may have nothing running beside free workers, in milliseconds: the platform's bound.
const WAIT_LIMIT_MS: u64 = 3_000;
/// How long there must have been no fault before that time counts, in milliseconds.
const CALM_MS: u64 = 4_000;

/// Has the start of an endless task lost on its way to any of six workers; it is sent again later unless other
/// work takes the worker.
fn lose_start() -> Simulation {
    let mut sim = Simulation::new(107, 6, 1);
    sim.lost_orders.extend(sim.workers.keys().cloned());
    let endless = Step {
        endless: true,
        ..step(1, 8, 0)
    };
    sim.submit(1, "survey", "w2", spec(vec![endless]), 60_000);
    sim.run_for(700);
    sim
}

/// Returns the number of the rack whose worker the lost start went to.
fn bound_rack() -> usize {
    let mut sim = lose_start();
    sim.lost_orders.clear();
    sim.run_for(3_000);
    let mut workers = sim.workers.values();
    workers.position(|w| !w.runs.is_empty()).expect("a run")
}

/// Guards against an endless task that waits for the worker that its lost start went to, which other work
/// has taken, while all other workers are free.
#[test]
fn a_task_with_a_lost_start_does_not_wait_for_a_full_worker() {
    let rack = bound_rack();
    let mut sim = lose_start();
    let urgent = Step {
        label: format!("r{rack}"),
        ..step(1, 8, 60_000)
    };
    sim.submit(2, "urgent", "w0", spec(vec![urgent]), 60_000);
    sim.run_for(1_500);
    sim.lost_orders.clear();
    sim.run_for(CALM_MS);
    assert!(sim.started_at.contains_key(&job_id(2)));
    sim.run_for(WAIT_LIMIT_MS);
    assert!(sim.started_at.contains_key(&job_id(1)));
}
