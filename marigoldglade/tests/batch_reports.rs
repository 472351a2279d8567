//! Reports that aren't a snapshot: a worker lists its runs before it reads its clock, or lists those in
//! progress after those that have ended.

#[path = "batch/world.rs"]
#[expect(dead_code, reason = "the simulation serves several test files")]
mod simulation;

use rand::RngExt as _;
use rstest::rstest;
use simulation::{Simulation, spec, step};

/// The jobs of one play.
const JOBS: u64 = 120;

/// Plays short tasks on workers that are nearly full; the simulation checks each start.
fn play(sim: &mut Simulation) {
    sim.run_for(500);
    for n in 1..=JOBS {
        let run_ms = sim.rng.random_range(20..400);
        let count = sim.rng.random_range(4..12);
        sim.submit(n, "sweep", "w0", spec(vec![step(count, 1, run_ms)]), run_ms);
        let gap_ms = sim.rng.random_range(5..60);
        sim.run_for(gap_ms);
    }
    sim.run_for(20_000);
    assert!(sim.all_done(1..=JOBS));
}

/// Guards against a run that is started twice because its worker listed its runs just before it began.
#[rstest]
fn a_run_that_began_while_its_worker_made_a_report_goes_on(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut sim = Simulation::new(seed, 2, 4);
    sim.report_ms = 1..50;
    play(&mut sim);
}

/// Guards against a start of a task that is done: its run ended while its worker made a report, which lists
/// it neither as in progress nor as completed.
#[rstest]
fn a_run_that_ended_while_its_worker_made_a_report_is_not_repeated(
    #[values(11, 12, 13, 14, 15, 16, 17, 18)] seed: u64,
) {
    let mut sim = Simulation::new(seed, 2, 4);
    sim.report_ms = 1..50;
    sim.torn_reports = true;
    play(&mut sim);
}
