//! Workers that leave when they have announced it.

#[path = "batch/world.rs"]
#[expect(dead_code, reason = "the simulation serves several test files")]
mod simulation;

use marigoldglade::batch::spec::Step;
use rstest::rstest;
use simulation::{Simulation, job_id, spec, step};
use standin::batch_worker::SimWorker;

/// How long after its announcement the worker leaves, in milliseconds.
const STAY_MS: u64 = 4_000;
/// The time between two heartbeats of a worker, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;
/// How long before the departure a report is lost, in milliseconds: its connection ends with the worker.
const LOST_MS: u64 = 20;

/// Starts one job on one of four workers, which announces its departure and leaves then. The job's tasks run
/// for `work_ms` in all, counted from the announcement.
fn leave(step: Step, work_ms: u64) -> Simulation {
    leave_during(step, work_ms, HEARTBEAT_MS, |_| {})
}

/// As [`leave`], with something else that happens `fault_ms` after the announcement.
fn leave_during(
    step: Step,
    work_ms: u64,
    fault_ms: u64,
    fault: impl Fn(&mut Simulation),
) -> Simulation {
    let mut sim = Simulation::new(211, 1, 4);
    sim.heartbeats = true;
    sim.run_for(1_000);
    sim.submit(1, "survey", "w0", spec(vec![step]), work_ms + 1_000);
    while sim.starts == 0 {
        sim.run_for(10);
    }
    let busy = |(_, w): &(&String, &SimWorker)| !w.runs.is_empty();
    let name = sim.workers.iter().find(busy).expect("a run").0.clone();
    let run = sim.workers[&name].runs.values().next().expect("a run");
    let announced_at = run.started_at + 1_000;
    sim.run_to(announced_at);
    let departs_at = announced_at + STAY_MS;
    sim.workers.get_mut(&name).expect("known").target.draining = true;
    sim.departures.insert(name.clone(), departs_at);
    sim.run_to(announced_at + fault_ms);
    fault(&mut sim);
    sim.run_to(departs_at - LOST_MS);
    sim.lost_responses.insert(name.clone());
    sim.run_to(departs_at);
    sim.workers.get_mut(&name).expect("known").exit();
    sim.listed.remove(&name);
    for owner in 0..sim.owners.len() {
        sim.send_registry(owner);
    }
    sim
}

/// Guards against a task that runs again after its end: the worker listed the end in a report that was lost
/// with its connection when it left.
#[test]
fn no_end_is_lost_with_the_last_report_of_a_worker_that_leaves() {
    for early_ms in 0..LOST_MS {
        let mut sim = leave(step(1, 8, 5_000), STAY_MS - early_ms);
        sim.run_for(15_000);
        assert!(sim.all_done([1]));
        let ends: Vec<u32> = sim.done.values().copied().collect();
        assert_eq!(ends, [1], "{early_ms} ms before the departure");
    }
}

/// Guards against work that waits for the leases of a worker that has left as announced: a run that outlasts
/// its worker is stopped before and goes on elsewhere, a gang as a whole.
#[rstest]
#[case::single(step(1, 8, 9_000))]
#[case::gang(Step { gang: true, ..step(2, 4, 9_000) })]
fn work_that_outlasts_its_worker_moves_before_the_departure(#[case] step: Step) {
    let members = step.count;
    let mut sim = leave(step, 8_000);
    sim.run_for(100);
    assert_eq!(sim.starts, 2 * members);
    let left: usize = sim.workers.values().map(|w| w.runs.len()).sum();
    assert_eq!(left, usize::try_from(members).expect("few members"));
    sim.run_for(15_000);
    assert!(sim.all_done([1]));
}

/// Guards against an end that is lost because the owner that knew of the departure is: the next one hears of
/// it by the worker's heartbeats.
#[test]
fn the_next_owner_stops_the_runs_of_a_worker_that_leaves() {
    let mut sim = leave_during(step(1, 8, 5_000), STAY_MS - 5, HEARTBEAT_MS, |sim| {
        sim.kill_newest_owner();
        sim.predecessors_ended = true;
        sim.elect();
    });
    sim.run_for(15_000);
    assert!(sim.all_done([1]));
    let ends: Vec<u32> = sim.done.values().copied().collect();
    assert_eq!(ends, [1]);
}

/// Guards against an end that is lost while the store is away: the departure is known from before, and the
/// end needs no commit to be heard.
#[test]
fn runs_are_stopped_while_the_store_is_away() {
    let mut sim = leave_during(step(1, 8, 5_000), STAY_MS - 5, HEARTBEAT_MS, |sim| {
        sim.store_down = true;
        sim.registry_lost = true;
    });
    sim.store_down = false;
    sim.registry_lost = false;
    sim.run_for(15_000);
    assert!(sim.all_done([1]));
    let ends: Vec<u32> = sim.done.values().copied().collect();
    assert_eq!(ends, [1]);
}

/// Guards against a departure that no owner hears of: the store goes away after the announcement and before the
/// heartbeat that shows it.
#[test]
fn runs_are_stopped_though_the_store_went_away_before_the_heartbeat() {
    let mut sim = leave_during(step(1, 8, 5_000), STAY_MS - 5, 1_000, |sim| {
        sim.store_down = true;
        sim.registry_lost = true;
    });
    sim.store_down = false;
    sim.registry_lost = false;
    sim.run_for(15_000);
    assert!(sim.all_done([1]));
    let ends: Vec<u32> = sim.done.values().copied().collect();
    assert_eq!(ends, [1]);
}

/// Guards against ends that are lost while the store is away because an earlier one waits for its commit: a
/// worker with several runs leaves.
#[test]
fn all_runs_are_stopped_while_the_store_is_away() {
    let mut sim = leave_during(step(8, 1, 9_000), 8_000, HEARTBEAT_MS, |sim| {
        sim.store_down = true;
        sim.registry_lost = true;
    });
    sim.store_down = false;
    sim.registry_lost = false;
    sim.run_for(300);
    assert_eq!(sim.starts, 16);
    sim.run_for(15_000);
    assert!(sim.all_done([1]));
}

/// Guards against work that is stopped again and again on a worker that has taken its announcement back.
#[test]
fn a_worker_that_stays_after_all_keeps_its_runs() {
    let mut sim = leave_during(step(1, 8, 5_000), STAY_MS + 2_000, HEARTBEAT_MS, |sim| {
        let (name, _) = sim.departures.pop_first().expect("an announcement");
        sim.workers.get_mut(&name).expect("known").target.draining = false;
        sim.heartbeats = false;
        sim.send_registry(0);
        sim.run_for(STAY_MS - HEARTBEAT_MS - 100);
        assert_eq!(sim.stops, 0);
    });
    sim.run_for(15_000);
    assert!(sim.all_done([1]));
}

/// Guards against work that is stopped without need.
#[test]
fn a_run_that_ends_before_the_departure_goes_on() {
    let mut sim = leave(step(1, 8, 3_000), 2_500);
    sim.run_for(5_000);
    assert_eq!((sim.starts, sim.stops), (1, 0));
    assert!(sim.last_done.contains_key(&job_id(1)));
}
