//! Tests of workers whose capacity shrinks and grows while they run, in a pool that carries out
//! starts beyond its capacity. The simulation reports each start that exceeds a worker's capacity.

#[path = "batch/world.rs"]
#[expect(dead_code, reason = "the simulation serves several test files")]
mod simulation;

use marigoldglade::batch::messages::JobStatus;
use marigoldglade::batch::spec::Step;
use marigoldglade::batch::worker::Resources;
use simulation::{Simulation, spec, step};

/// Returns a simulation whose workers don't enforce their capacity of eight accelerators.
fn unenforced(seed: u64, workers: u32) -> Simulation {
    let mut sim = Simulation::new(seed, 1, workers);
    sim.stop_enforcing();
    sim.run_for(2_000);
    sim
}

const WORKER: &str = "worker-0-0";

#[test]
fn a_capacity_that_grows_back_is_used() {
    let mut sim = unenforced(1, 1);
    sim.resize(WORKER, 4);
    sim.run_for(6_000);
    sim.submit(1, "sweep", "w0", spec(vec![step(1, 8, 1_000)]), 1_000);
    sim.run_for(3_000);
    assert_eq!(sim.starts, 0);
    sim.resize(WORKER, 8);
    sim.run_for(4_000);
    assert_eq!(sim.status(1), Some(JobStatus::Done));
}

#[test]
fn runs_beyond_a_shrunken_capacity_go_on() {
    let mut sim = unenforced(2, 1);
    for n in 1..=2 {
        sim.submit(n, "sweep", "w0", spec(vec![step(1, 4, 9_000)]), 9_000);
    }
    sim.run_for(1_000);
    sim.resize(WORKER, 4);
    sim.submit(3, "sweep", "w0", spec(vec![step(1, 1, 1_000)]), 1_000);
    sim.run_for(7_000);
    assert_eq!((sim.starts, sim.stops), (2, 0));
    sim.run_for(4_000);
    assert!(sim.all_done(1..=3));
}

/// Guards against starts beyond a worker's capacity: a run of an earlier owner that is being stopped
/// wasn't counted, since the owner hadn't started or adopted it.
#[test]
fn an_unwanted_run_takes_capacity_until_it_has_ended() {
    let mut sim = unenforced(3, 1);
    sim.submit(1, "sweep", "w0", spec(vec![step(1, 8, 9_000)]), 9_000);
    sim.run_for(1_000);
    sim.kill_newest_owner();
    sim.run_for(1_000);
    sim.store_cancel(1);
    sim.elect();
    sim.submit(2, "sweep", "w0", spec(vec![step(1, 8, 1_000)]), 1_000);
    sim.run_for(6_000);
    assert_eq!(sim.status(2), Some(JobStatus::Done));
}

/// Guards against runs that nobody wants and nobody stops: the only stop was lost, and a worker
/// without other runs wasn't asked for another report.
#[test]
fn the_stop_of_an_unwanted_run_is_sent_again() {
    let mut sim = unenforced(4, 1);
    sim.submit(1, "sweep", "w0", spec(vec![step(1, 8, 9_000)]), 9_000);
    sim.run_for(1_000);
    sim.kill_newest_owner();
    sim.run_for(1_000);
    sim.store_cancel(1);
    sim.lost_stops.insert(WORKER.to_owned());
    sim.elect();
    sim.run_for(600);
    sim.lost_stops.clear();
    sim.run_for(1_500);
    assert!(sim.workers[WORKER].runs.is_empty());
}

/// Guards against starts beyond a worker's capacity: a lost start was sent again although the
/// worker's registry entry showed a smaller capacity.
#[test]
fn a_lost_start_that_no_longer_fits_is_not_sent_again() {
    let mut sim = unenforced(5, 1);
    sim.faults.late = 100;
    sim.submit(1, "sweep", "w0", spec(vec![step(1, 8, 1_000)]), 1_000);
    sim.run_for(30);
    sim.faults.late = 0;
    sim.resize(WORKER, 4);
    sim.heartbeats = false;
    let owner = sim.newest_owner();
    sim.send_registry(owner);
    sim.heartbeats = true;
    sim.run_for(16_000);
    assert_eq!(sim.starts, 0);
    sim.resize(WORKER, 8);
    sim.run_for(4_000);
    assert_eq!(sim.status(1), Some(JobStatus::Done));
}

/// Guards against starts beyond a worker's capacity: a task that needs nothing of the exceeded
/// resource was started.
#[test]
fn a_worker_over_its_capacity_takes_no_tasks_at_all() {
    let mut sim = unenforced(9, 1);
    for n in 1..=2 {
        sim.submit(n, "sweep", "w0", spec(vec![step(1, 4, 9_000)]), 9_000);
    }
    sim.run_for(1_000);
    sim.resize(WORKER, 4);
    sim.run_for(5_000);
    let resources = Resources {
        mem: 1_000,
        ..Resources::default()
    };
    let light = Step {
        resources,
        ..step(1, 0, 1_000)
    };
    sim.submit(3, "survey", "w0", spec(vec![light]), 1_000);
    sim.run_for(8_000);
    assert_eq!(sim.status(3), Some(JobStatus::Done));
}

/// Guards against work destroyed for nothing: preempting one run of a worker over its capacity seemed
/// to free the run's whole size.
#[test]
fn preemption_makes_up_for_what_exceeds_the_capacity() {
    let mut sim = unenforced(10, 2);
    for n in 1..=4 {
        sim.submit(n, "sweep", "w0", spec(vec![step(1, 4, 20_000)]), 20_000);
    }
    sim.run_for(1_000);
    assert_eq!(sim.starts, 4);
    sim.resize(WORKER, 4);
    sim.run_for(5_000);
    sim.submit(5, "urgent", "w0", spec(vec![step(1, 4, 1_000)]), 1_000);
    sim.run_for(3_000);
    assert_eq!(sim.status(5), Some(JobStatus::Done));
    assert_eq!(sim.workers[WORKER].runs.len(), 2);
}
