//! Tests of too little room: urgent work meets workers that are full of other work.

#[path = "batch/world.rs"]
#[expect(dead_code, reason = "the simulation serves several test files")]
mod simulation;

use marigoldglade::batch::preempt::RunProgress;
use marigoldglade::batch::spec::Step;
use rstest::rstest;
use simulation::{Simulation, job_id, spec, step};

/// A run at half of its estimate, of which nothing is saved.
const HALFWAY: RunProgress = RunProgress {
    elapsed_ms: 5_000,
    percent: 50,
    reported_ms: 5_000,
    estimate_ms: 10_000,
    saves: false,
    resumed: false,
};

fn gang(step: Step) -> Step {
    Step { gang: true, ..step }
}

/// Returns a simulation of one worker that is full of jobs of the least urgent work, started `age_ms` ago.
fn full_of_sweeps(seed: u64, work_ms: u64, age_ms: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 1, 1);
    sim.run_for(2_000);
    for n in 10..14 {
        sim.submit(n, "survey", "", spec(vec![step(1, 2, work_ms)]), work_ms);
    }
    sim.run_for(age_ms);
    assert_eq!(sim.starts, 4);
    sim
}

/// Guards against work destroyed for nothing: runs with a few hundred milliseconds left were stopped, and
/// took their whole time again, for urgent work that had time to wait for their ends.
#[test]
fn urgent_work_with_slack_waits_for_runs_that_are_nearly_done() {
    let mut sim = full_of_sweeps(1, 8_000, 7_800);
    // A quarter of the slack that its objective leaves it is 560 ms.
    sim.submit(
        1,
        "urgent",
        "w0",
        spec(vec![gang(step(1, 8, 4_000))]),
        4_000,
    );
    sim.run_for(6_000);
    assert_eq!(sim.stops, 0);
    assert!(sim.all_done([1, 10, 11, 12, 13]));
}

#[test]
fn urgent_work_without_slack_stops_runs_that_are_nearly_done() {
    let mut sim = full_of_sweeps(2, 8_000, 7_400);
    sim.submit(1, "urgent", "w0", spec(vec![step(1, 8, 100)]), 100);
    sim.run_for(500);
    assert_eq!(sim.stops, 4);
}

/// Guards against a wait without an end: runs whose progress promises an end go on, as runs that hang at
/// the end of their work do.
#[test]
fn guaranteed_work_starts_within_its_bound_though_awaited_runs_go_on() {
    let mut sim = full_of_sweeps(3, 8_000, 7_700);
    for run in sim.workers.values_mut().flat_map(|w| w.runs.values_mut()) {
        run.work_ms += 20_000;
    }
    let submitted_at = sim.now;
    sim.submit(1, "urgent", "w0", spec(vec![step(1, 8, 4_000)]), 4_000);
    sim.run_for(2_700);
    assert!(sim.started_at[&job_id(1)] < submitted_at + 2_700);
}

/// Guards against work destroyed for nothing: work beyond its guarantee stopped other runs although it
/// would be of no use in any case.
#[rstest]
#[case::in_time(1_000, true)]
#[case::late(5_000, true)]
#[case::too_late(20_000, false)]
fn work_beyond_its_guarantee_stops_others_only_while_it_is_of_use(
    #[case] failed_after_ms: u64,
    #[case] stops: bool,
) {
    let mut sim = Simulation::new(4, 1, 1);
    sim.run_for(2_000);
    // The job belongs to no workspace, so nothing is guaranteed to it; its first run fails.
    sim.work.insert(job_id(1), (failed_after_ms, 1));
    sim.submit(1, "urgent", "", spec(vec![step(1, 8, 4_000)]), 4_000);
    sim.run_for(500);
    sim.submit(2, "survey", "", spec(vec![step(1, 8, 9_000)]), 9_000);
    sim.run_for(failed_after_ms + 500);
    assert_eq!(sim.stops > 0, stops);
}

#[test]
fn the_rest_of_a_run_follows_from_its_progress() {
    assert_eq!(HALFWAY.rest_ms(), Some(5_000));
    let nearly_done = RunProgress {
        percent: 90,
        reported_ms: 4_500,
        ..HALFWAY
    };
    assert_eq!(nearly_done.rest_ms(), Some(0));
    let hangs = RunProgress {
        elapsed_ms: 6_000,
        ..nearly_done
    };
    assert_eq!(hangs.rest_ms(), None);
    let unknown = RunProgress {
        percent: 0,
        ..HALFWAY
    };
    assert_eq!(unknown.rest_ms(), None);
}

/// Guards against a promise that a resumed run can't keep: it showed half of its work as done after a
/// hundredth of its time.
#[test]
fn a_resumed_run_takes_its_rest_by_the_estimate() {
    let resumed = RunProgress {
        elapsed_ms: 100,
        reported_ms: 100,
        resumed: true,
        ..HALFWAY
    };
    assert_eq!(resumed.rest_ms(), Some(5_000));
}

#[test]
fn a_stop_costs_least_where_little_is_lost_and_nobody_is_late() {
    let saved = RunProgress {
        saves: true,
        ..HALFWAY
    };
    let ample = 60_000;
    assert!(saved.stop_cost_ms(ample) < HALFWAY.stop_cost_ms(ample));
    // The run would end in time, but not after a new start.
    assert!(HALFWAY.stop_cost_ms(ample) < HALFWAY.stop_cost_ms(8_000));
    // It is late in any case.
    assert_eq!(HALFWAY.stop_cost_ms(ample), HALFWAY.stop_cost_ms(4_000));
}
