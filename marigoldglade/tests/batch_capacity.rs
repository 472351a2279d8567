//! Tests of workers whose capacity shrinks and grows while they run, in a pool that carries out
//! starts beyond its capacity. The simulation reports each start that exceeds a worker's capacity.

#[path = "batch/world.rs"]
#[expect(dead_code, reason = "the simulation serves several test files")]
mod simulation;

use marigoldglade::batch::messages::JobStatus;
use marigoldglade::batch::spec::Step;
use marigoldglade::batch::worker::Resources;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use simulation::{Faults, Simulation, job_id, spec, step};

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

/// Guards against starts beyond a worker's capacity: the owner went on with a registry entry that
/// nothing had refreshed for longer than a capacity that has shrunk counts.
#[rstest]
#[case::the_owner_reads_nothing(true)]
#[case::the_worker_writes_nothing(false)]
fn a_worker_whose_entry_is_old_gets_no_starts(#[case] unread: bool) {
    let mut sim = unenforced(6, 1);
    sim.registry_lost = unread;
    if !unread {
        sim.lost_heartbeats.insert(WORKER.to_owned());
    }
    sim.resize(WORKER, 4);
    sim.run_for(5_000);
    sim.submit(1, "sweep", "w0", spec(vec![step(1, 8, 1_000)]), 1_000);
    sim.submit(2, "sweep", "w0", spec(vec![step(1, 4, 1_000)]), 1_000);
    sim.run_for(3_000);
    sim.registry_lost = false;
    sim.lost_heartbeats.clear();
    sim.run_for(4_000);
    assert_eq!(sim.status(2), Some(JobStatus::Done));
    assert_eq!(sim.starts, 1);
}

/// Guards against starts beyond a worker's capacity: a start was valid for longer than the reading
/// of the capacity that it was based on.
#[test]
fn a_start_is_not_valid_for_longer_than_the_entry_it_is_based_on() {
    for moment in (0..=4_600).step_by(100) {
        let mut sim = unenforced(7, 1);
        sim.registry_lost = true;
        sim.resize(WORKER, 4);
        sim.run_for(moment);
        // Orders take longer than usual, but less than the time for which a start is valid.
        sim.order_ms = 1_500;
        sim.submit(1, "sweep", "w0", spec(vec![step(1, 8, 1_000)]), 1_000);
        sim.run_for(6_000);
    }
}

/// Guards against starts beyond a worker's capacity: a new process of a worker was used with the
/// capacity of the earlier one, since its report arrived before its registry entry.
#[test]
fn a_restarted_worker_gets_no_starts_until_its_entry_is_read() {
    let mut sim = unenforced(8, 1);
    sim.reuse_ids = true;
    sim.submit(1, "sweep", "w0", spec(vec![step(1, 4, 5_000)]), 5_000);
    sim.run_for(500);
    sim.lost_heartbeats.insert(WORKER.to_owned());
    sim.resize(WORKER, 4);
    let now = sim.now;
    sim.workers.get_mut(WORKER).unwrap().restart(now);
    // The report of the new process reaches the owner.
    sim.run_for(1_600);
    let starts = sim.starts;
    sim.submit(2, "urgent", "w0", spec(vec![step(1, 8, 1_000)]), 1_000);
    sim.run_for(1_500);
    assert_eq!(sim.starts, starts);
    sim.lost_heartbeats.clear();
    sim.run_for(9_000);
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

/// Guards against starts beyond a worker's capacity: a start meant for the worker's earlier process
/// was carried out by the next one before it obeyed the stop, and its size wasn't counted.
#[test]
fn a_start_meant_for_an_earlier_process_takes_capacity_until_it_is_ruled_out() {
    let mut sim = unenforced(11, 1);
    sim.reuse_ids = true;
    sim.faults.late = 100;
    sim.submit(1, "sweep", "w0", spec(vec![step(1, 8, 20_000)]), 20_000);
    sim.run_for(30);
    sim.faults.late = 0;
    sim.cancel(1);
    sim.run_for(1_500);
    let now = sim.now;
    sim.workers.get_mut(WORKER).unwrap().restart(now);
    sim.lost_stops.insert(WORKER.to_owned());
    sim.submit(2, "sweep", "w0", spec(vec![step(1, 8, 1_000)]), 15_000);
    sim.run_for(15_000);
    sim.lost_stops.clear();
    sim.run_for(20_000);
    assert_eq!(sim.status(2), Some(JobStatus::Done));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, rng_seed: RngSeed::Fixed(20_261_205), ..ProptestConfig::default() })]

    #[test]
    fn no_start_exceeds_a_capacity_that_changes(
        seed in any::<u64>(),
        late in 0u32..12,
        unanswered in 0u32..12,
        faults in proptest::collection::vec((0u32..12, 200u64..5_000), 3..14),
    ) {
        let mut sim = Simulation::new(seed, 2, 4);
        sim.stop_enforcing();
        sim.faults = Faults { late, unanswered, ..Faults::default() };
        let mut n = 0;
        let mut accepted = Vec::new();
        for (fault, pause) in faults {
            for _ in 0..4 {
                n += 1;
                let queue = ["urgent", "sweep", "survey"][usize::try_from(n % 3).unwrap()];
                let steps = vec![step(u32::try_from(n % 5).unwrap() + 1, 1 + n % 8, 1_500)];
                accepted.push((sim.submit(n, queue, "w1", spec(steps), 800 + 700 * (n % 9)), n));
            }
            sim.run_for(60);
            let name = format!("worker-{}-{}", n % 2, n % 4);
            match fault {
                0 => { sim.kill_newest_owner(); sim.run_for(2_200); sim.elect(); }
                // The former owner continues until something fences it.
                1 => { sim.elect(); }
                2 => sim.workers.get_mut(&name).unwrap().unreachable = true,
                3 => {
                    let now = sim.now;
                    sim.workers.get_mut(&name).unwrap().restart(now);
                }
                4 => { sim.store_down = true; sim.run_for(pause); sim.store_down = false; }
                5 => {
                    let call_id = sim.cancel(n);
                    sim.run_for(100);
                    if sim.replies.get(&call_id) == Some(&marigoldglade::batch::messages::Reply::Cancelled) {
                        sim.record_cancel(n);
                    }
                }
                6 => sim.workers.values_mut().for_each(|x| x.unreachable = false),
                7 => sim.registry_lost = !sim.registry_lost,
                8 => { sim.lost_heartbeats.insert(name); }
                9 => {
                    let names: Vec<String> = sim.workers.keys().cloned().collect();
                    names.iter().for_each(|x| sim.resize(x, 8));
                }
                _ => sim.resize(&name, 1 + n % 4),
            }
            sim.run_for(pause);
        }
        sim.faults = Faults::default();
        sim.registry_lost = false;
        sim.lost_heartbeats.clear();
        let names: Vec<String> = sim.workers.keys().cloned().collect();
        names.iter().for_each(|x| sim.resize(x, 8));
        sim.workers.values_mut().for_each(|x| x.unreachable = false);
        if !sim.owners[sim.newest_owner()].alive {
            sim.elect();
        }
        sim.run_for(60_000);
        for (call_id, n) in accepted {
            if sim.replies.get(&call_id) == Some(&marigoldglade::batch::messages::Reply::Accepted) {
                let status = sim.status(n);
                prop_assert!(
                    matches!(status, Some(JobStatus::Done | JobStatus::Cancelled | JobStatus::Failed)),
                    "job {} is {:?}", job_id(n), status
                );
            }
        }
    }
}
