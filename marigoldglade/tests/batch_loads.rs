//! Checks the engine's decisions under the load patterns of the deployments, without a network.

#[path = "batch/world.rs"]
#[expect(dead_code, reason = "the simulation serves several test files")]
mod simulation;

use marigoldglade::batch::admission::outage_retry_ms;
use marigoldglade::batch::admission::{Backlog, retry_after_ms};
use marigoldglade::batch::engine::WorkerKey;
use marigoldglade::batch::finish::SpeedOrder;
use marigoldglade::batch::health::{Grade, Health};
use marigoldglade::batch::messages::JobStatus;
use marigoldglade::batch::pack::{Bin, Demand, RackKey, place_all, place_gang, place_one};
use marigoldglade::batch::preempt::{Victim, plan_preemption};
use marigoldglade::batch::rank::{Outlook, RankInputs, outlook, rank};
use marigoldglade::batch::run_times::Stretch;
use marigoldglade::batch::spec::{JobSpec, Step};
use marigoldglade::batch::worker::Resources;
use marigoldglade::time::UnixMs;
use rstest::rstest;
use simulation::{Simulation, job_id, spec, step};

const CAPACITY: Resources = Resources {
    cpu: 32_000,
    mem: 131_072,
    accels: 8,
};

fn bin(worker: u16, rack: u16, free: Resources) -> Bin {
    Bin {
        worker: WorkerKey(worker),
        rack: RackKey(rack),
        used: CAPACITY.minus(&free),
        capacity: CAPACITY,
        grade: Grade::Good,
        max_tasks: u32::MAX,
        stretch: Stretch::UNKNOWN,
    }
}

fn fleet() -> Vec<Bin> {
    (0..16).map(|i| bin(i, i / 8, CAPACITY)).collect()
}

fn need(accels: u64, count: u32) -> Demand {
    Demand {
        resources: Resources {
            cpu: 1_000,
            mem: 4_000,
            accels,
        },
        count,
        one_rack: false,
        near_rack: None,
        order: SpeedOrder::Any,
    }
}

fn gang(mut step: Step) -> Step {
    step.gang = true;
    step.one_rack = true;
    step
}

#[test]
fn small_tasks_leave_whole_racks_free_for_wide_gangs() {
    let workers = place_all(&fleet(), &need(1, 40)).unwrap();
    assert!(
        workers.iter().all(|w| w.0 < 8),
        "small tasks reached the second rack: {workers:?}"
    );
    let mut bins = fleet();
    for worker in workers {
        let used = &mut bins[usize::from(worker.0)].used;
        *used = used.plus(&need(1, 1).resources);
    }
    let wide = Demand {
        one_rack: true,
        ..need(8, 8)
    };
    assert!(place_gang(&bins, &wide).unwrap().iter().all(|w| w.0 >= 8));
}

#[test]
fn tasks_are_spread_when_memory_runs_out_before_accelerators() {
    let sweep = Demand {
        resources: Resources {
            cpu: 13_000,
            mem: 68_000,
            accels: 1,
        },
        ..need(1, 2)
    };
    let workers = place_all(&fleet(), &sweep).unwrap();
    assert_ne!(workers[0], workers[1]);
}

#[test]
fn a_gang_wider_than_any_rack_is_spread_over_racks() {
    let wide = Demand {
        one_rack: true,
        ..need(8, 12)
    };
    assert_eq!(place_gang(&fleet(), &wide).unwrap().len(), 12);
}

#[test]
fn a_task_is_placed_near_its_data_if_it_fits_there() {
    let near = Demand {
        near_rack: Some(RackKey(1)),
        ..need(1, 1)
    };
    let bins = fleet();
    assert_eq!(bins[place_one(&bins, &near).unwrap()].rack, RackKey(1));
}

#[test]
fn only_the_cheapest_sufficient_runs_are_preempted() {
    let resources = Resources {
        accels: 4,
        ..Resources::default()
    };
    let full = Resources::default();
    let bins = vec![bin(0, 0, full), bin(1, 0, full)];
    let victim = |worker, group, cost| Victim {
        worker: WorkerKey(worker),
        group,
        resources,
        cost,
    };
    let victims = [
        victim(0, 0, 900),
        victim(0, 1, 800),
        victim(1, 2, 10),
        victim(1, 3, 700),
    ];
    let small = Demand {
        resources,
        ..need(4, 1)
    };
    let plan = plan_preemption(&bins, &victims, &small).unwrap();
    assert_eq!(plan.groups.into_iter().collect::<Vec<_>>(), [2]);
    assert_eq!(plan.cost, 10);
}

/// Guards against work destroyed for nothing: preempting a run of a worker over its capacity seemed
/// to free the run's whole size.
#[test]
fn preemption_makes_up_for_a_capacity_that_has_shrunk() {
    let accels = |accels| Resources {
        accels,
        ..Resources::default()
    };
    // One worker holds twice what it can, the other exactly that.
    let over = Bin {
        used: accels(16),
        ..bin(0, 0, CAPACITY)
    };
    let full = Bin {
        used: accels(8),
        ..bin(1, 0, CAPACITY)
    };
    let victim = |worker, group, cost| Victim {
        worker: WorkerKey(worker),
        group,
        resources: accels(8),
        cost,
    };
    let victims = [victim(0, 0, 10), victim(0, 1, 20), victim(1, 2, 25)];
    let small = Demand {
        resources: accels(4),
        ..need(4, 1)
    };
    let stopped = |bins: &[Bin]| {
        let plan = plan_preemption(bins, &victims, &small).unwrap();
        plan.groups.into_iter().collect::<Vec<_>>()
    };
    assert_eq!(stopped(&[over, full]), [2]);
    assert_eq!(stopped(&[over]), [0, 1]);
}

#[test]
fn work_that_can_finish_in_time_ranks_before_work_that_cannot() {
    let now = UnixMs(100_000);
    let inputs = |since: u64, remaining_ms| RankInputs {
        priority: 1,
        guaranteed: false,
        waiting_since: UnixMs(since),
        finish_by: UnixMs(since + 10_000),
        remaining_ms,
        remaining_work: 100,
    };
    let (fresh, late, too_late) = (
        inputs(99_000, 5_000),
        inputs(93_000, 5_000),
        inputs(50_000, 5_000),
    );
    assert_eq!(outlook(&fresh, now), Outlook::InTime);
    assert_eq!(outlook(&late, now), Outlook::Late);
    assert_eq!(outlook(&too_late, now), Outlook::TooLate);
    assert!(rank(&fresh, now) < rank(&late, now));
    assert!(rank(&late, now) < rank(&too_late, now));
}

#[test]
fn one_failed_job_makes_a_worker_suspect_and_two_quarantine_it() {
    let now = UnixMs(1_000);
    let mut health = Health::default();
    assert!(!health.record_failure(job_id(1), now));
    assert!(!health.record_failure(job_id(1), now));
    assert_eq!(health.grade(now), Grade::Suspect);
    assert!(health.record_failure(job_id(2), now));
    assert_eq!(health.grade(now), Grade::Quarantined);
    health.record_success();
    assert_eq!(health.grade(now), Grade::Good);
}

#[test]
fn a_job_is_refused_only_if_the_backlog_outlasts_its_usefulness() {
    let backlog = |work| Backlog {
        work,
        cores: 100,
        useful_ms: 30_000,
    };
    assert_eq!(retry_after_ms(&backlog(100 * 29_000)), None);
    assert_eq!(retry_after_ms(&backlog(100 * 34_000)), Some(4_000));
}

#[test]
fn a_flood_of_the_least_urgent_work_leaves_a_rack_free_for_a_gang() {
    let mut sim = Simulation::new(20, 3, 4);
    sim.submit(1, "sweep", "w0", spec(vec![step(1, 1, 9_000)]), 9_000);
    sim.run_for(300);
    for n in 10..40 {
        sim.submit(n, "survey", "w1", spec(vec![step(8, 1, 9_000)]), 9_000);
    }
    sim.run_for(500);
    let stops = sim.stops;
    sim.submit(2, "sweep", "w2", spec(vec![gang(step(4, 8, 2_000))]), 2_000);
    sim.run_for(3_000);
    assert_eq!(sim.status(2), Some(JobStatus::Done));
    assert_eq!(sim.stops, stops, "a run was stopped for it");
}

#[test]
fn a_small_urgent_task_beyond_its_guarantee_preempts_no_large_gang() {
    let mut sim = Simulation::new(21, 1, 4);
    sim.submit(
        1,
        "sweep",
        "w0",
        spec(vec![gang(step(4, 8, 30_000))]),
        30_000,
    );
    sim.run_for(9_000);
    // The job belongs to no workspace, so nothing is guaranteed to it.
    sim.submit(2, "urgent", "", spec(vec![step(1, 1, 500)]), 500);
    sim.run_for(1_000);
    assert_eq!(sim.stops, 0);
}

#[test]
fn guaranteed_urgent_work_starts_within_its_bound_on_full_workers() {
    let mut sim = Simulation::new(22, 2, 4);
    for n in 10..18 {
        sim.submit(n, "sweep", "w0", spec(vec![step(1, 8, 30_000)]), 30_000);
    }
    sim.run_for(2_000);
    let submitted_at = sim.now;
    sim.submit(
        1,
        "urgent",
        "w1",
        spec(vec![gang(step(3, 8, 2_000))]),
        2_000,
    );
    sim.run_for(3_400);
    let at = sim.started_at[&job_id(1)];
    assert!(at < submitted_at + 3_400);
}

#[test]
fn a_job_that_always_fails_ends_after_the_attempts_of_its_queue() {
    let mut sim = Simulation::new(23, 1, 4);
    sim.work.insert(job_id(1), (300, 99));
    sim.submit(1, "sweep", "w0", spec(vec![step(3, 1, 300)]), 300);
    sim.run_for(6_000);
    assert_eq!(sim.status(1), Some(JobStatus::Failed));
    assert!(sim.failed.values().all(|n| *n <= 2));
}

/// Returns a job of tasks that serve users. `tail` is `ALONE+ADDED`: their tail latency without other
/// runs, and what each filler on the same worker adds, in milliseconds.
fn serving(count: u32, accels: u64, tail: &str, bound_ms: u64, max_unavailable: u32) -> JobSpec {
    let step = Step {
        endless: true,
        tail_ms: bound_ms,
        max_unavailable,
        ..step(count, accels, 0)
    };
    JobSpec {
        text: format!("tail_ms={tail}"),
        ..spec(vec![step])
    }
}

#[rstest]
#[case::four_fillers_exceed_the_bound(15, 50)]
#[case::each_filler_exceeds_the_bound(100, 60)]
#[case::all_fillers_stay_within_the_bound(1, 50)]
fn fillers_are_slowed_while_they_disturb_tasks_that_serve_users(
    #[case] added: u64,
    #[case] bound_ms: u64,
) {
    let mut sim = Simulation::new(24, 1, 1);
    let tail = format!("20+{added}");
    sim.submit(
        1,
        "urgent",
        "w0",
        serving(1, 1, &tail, bound_ms, 0),
        900_000,
    );
    let filler = Step {
        filler: true,
        ..step(4, 1, 60_000)
    };
    sim.submit(2, "survey", "w1", spec(vec![filler]), 60_000);
    let mut over = 0;
    let mut longest = 0;
    let mut work = 0;
    for _ in 0..200 {
        sim.run_for(100);
        let worker = &sim.workers["worker-0-0"];
        let mut runs = worker.runs.values();
        let tail = runs.find_map(|r| worker.tail(r)).unwrap_or(0);
        over = if tail > bound_ms { over + 100 } else { 0 };
        longest = longest.max(over);
        let fillers = worker.runs.values().filter(|r| r.tail.is_none());
        work += fillers.map(|r| u64::from(r.pace)).sum::<u64>();
    }
    // The platform's bound is 4 s; a reading and a reduction of the pace take half a second each.
    assert!(longest < 4_000, "over the bound for {longest} ms");
    assert!(work > 0, "fillers don't work at all");
    if added == 1 {
        assert!(work > 200 * 4 * 90, "fillers were slowed needlessly");
    }
}

#[test]
fn a_new_owner_restores_the_full_pace_of_slowed_fillers() {
    let mut sim = Simulation::new(25, 1, 1);
    sim.submit(1, "urgent", "w0", serving(1, 1, "20+30", 50, 0), 900_000);
    let filler = Step {
        filler: true,
        ..step(2, 1, 60_000)
    };
    sim.submit(2, "survey", "w1", spec(vec![filler]), 60_000);
    sim.run_for(4_000);
    sim.submit(3, "survey", "w1", spec(vec![step(1, 1, 500)]), 500);
    sim.kill_newest_owner();
    sim.run_for(1_000);
    sim.elect();
    // Without the serving task nothing slows the fillers any more.
    sim.cancel(1);
    sim.run_for(4_000);
    let fillers = sim.workers["worker-0-0"].runs.values();
    let paces: Vec<u32> = fillers
        .filter(|r| r.tail.is_none())
        .map(|r| r.pace)
        .collect();
    assert!(paces.iter().all(|p| *p == 100), "{paces:?}");
}

#[rstest]
#[case::one_may_be_unavailable(1, 1)]
#[case::two_may_be_unavailable(2, 2)]
fn urgent_work_preempts_no_more_serving_tasks_than_may_be_unavailable(
    #[case] max_unavailable: u32,
    #[case] most: usize,
) {
    let mut sim = Simulation::new(26, 1, 4);
    sim.submit(
        1,
        "survey",
        "w1",
        serving(4, 8, "20+0", 0, max_unavailable),
        900_000,
    );
    sim.run_for(2_000);
    sim.submit(
        2,
        "urgent",
        "w0",
        spec(vec![gang(step(3, 8, 9_000))]),
        9_000,
    );
    sim.submit(3, "urgent", "w0", spec(vec![step(4, 8, 9_000)]), 9_000);
    for _ in 0..60 {
        sim.run_for(50);
        let runs = sim.workers.values().flat_map(|worker| worker.runs.values());
        let serving = runs.filter(|r| r.tail.is_some()).count();
        assert!(serving >= 4 - most, "only {serving} tasks serve");
    }
    assert!(sim.stops > 0, "the budget isn't used");
}

#[test]
fn a_gang_that_needs_tickets_runs_on_allowed_workers_after_one_request() {
    let mut sim = Simulation::new(27, 3, 4);
    sim.allowed = ["worker-1-0", "worker-1-2", "worker-2-3"]
        .map(str::to_owned)
        .into();
    sim.submit(1, "judged", "w0", spec(vec![gang(step(3, 8, 900))]), 900);
    sim.run_for(2_000);
    assert_eq!(sim.status(1), Some(JobStatus::Done));
    assert_eq!((sim.adviser_requests, sim.refused_tickets), (1, 0));
}

#[test]
fn work_that_waits_until_its_tickets_expire_gets_new_ones() {
    let mut sim = Simulation::new(28, 1, 2);
    sim.allowed = ["worker-0-0".to_owned()].into();
    sim.submit(9, "urgent", "w0", spec(vec![step(2, 8, 6_000)]), 6_000);
    sim.run_for(200);
    sim.submit(1, "judged", "w0", spec(vec![step(2, 4, 900)]), 900);
    sim.run_for(9_000);
    assert_eq!(sim.status(1), Some(JobStatus::Done));
    assert!(sim.adviser_requests > 1);
    assert_eq!(sim.refused_tickets, 0);
}

#[test]
fn the_adviser_is_asked_again_about_a_restarted_worker() {
    let mut sim = Simulation::new(29, 1, 1);
    sim.reuse_ids = true;
    sim.allowed = ["worker-0-0".to_owned()].into();
    sim.submit(1, "judged", "w0", spec(vec![step(1, 8, 1_500)]), 1_500);
    sim.run_for(500);
    let now = sim.now;
    sim.workers.get_mut("worker-0-0").unwrap().restart(now);
    let owner = sim.newest_owner();
    sim.send_registry(owner);
    sim.run_for(14_000);
    assert_eq!(sim.status(1), Some(JobStatus::Done));
    assert_eq!((sim.adviser_requests, sim.refused_tickets), (2, 0));
}

#[test]
fn work_that_no_worker_may_run_does_not_delay_other_work() {
    let mut sim = Simulation::new(30, 1, 2);
    sim.submit(1, "judged", "w0", spec(vec![step(4, 8, 900)]), 900);
    sim.submit(2, "survey", "w0", spec(vec![step(4, 8, 900)]), 900);
    sim.run_for(4_000);
    assert_eq!(sim.status(1), Some(JobStatus::Queued));
    assert_eq!(sim.status(2), Some(JobStatus::Done));
    assert_eq!(sim.adviser_requests, 1);
}

#[test]
fn several_gangs_get_racks_during_a_flood_of_small_tasks() {
    let mut sim = Simulation::new(31, 6, 4);
    for n in 100..300 {
        // The run times differ, so that no rack becomes free by itself.
        let ms = 3_000 + n % 7 * 500;
        sim.submit(n, "survey", "w0", spec(vec![step(8, 1, ms)]), ms);
    }
    sim.run_for(3_000);
    let submitted_at = sim.now;
    for n in 0..5 {
        // The first gang may be spread over racks, but needs whole workers as well.
        let gang = Step {
            one_rack: n > 0,
            ..gang(step(4, 8, 8_000))
        };
        sim.submit(n, "sweep", "w1", spec(vec![gang]), 8_000);
    }
    sim.run_for(9_000);
    let started = |n: &u64| {
        sim.started_at
            .get(&job_id(*n))
            .is_some_and(|at| at - submitted_at < 8_000)
    };
    // Half of the racks are reserved for gangs; the others keep running small tasks.
    assert_eq!((0..5).filter(started).count(), 3);
}

#[test]
fn work_that_waits_for_other_workers_to_spread_does_not_delay_similar_work() {
    let mut sim = Simulation::new(32, 1, 2);
    let spread = Step {
        per_worker: 1,
        ..step(4, 1, 9_000)
    };
    sim.submit(1, "survey", "w0", spec(vec![spread]), 9_000);
    sim.run_for(200);
    sim.submit(2, "survey", "w0", spec(vec![step(2, 1, 9_000)]), 900);
    sim.run_for(2_000);
    assert_eq!(sim.status(2), Some(JobStatus::Done));
}

#[test]
fn work_that_avoids_a_worker_does_not_delay_similar_work() {
    let mut sim = Simulation::new(33, 1, 2);
    sim.work.insert(job_id(1), (300, 1));
    sim.submit(9, "survey", "w0", spec(vec![step(1, 8, 9_000)]), 9_000);
    sim.submit(1, "survey", "w0", spec(vec![step(1, 8, 9_000)]), 300);
    sim.run_for(600);
    sim.submit(2, "survey", "w0", spec(vec![step(1, 8, 9_000)]), 300);
    sim.run_for(2_000);
    assert_eq!(sim.status(2), Some(JobStatus::Done));
}

#[test]
fn an_urgent_gang_gets_a_rack_at_once_during_a_flood_of_sweeps() {
    let mut sim = Simulation::new(34, 6, 4);
    // Sweeps leave racks free only while an urgent job is active.
    sim.submit(1, "urgent", "w1", spec(vec![step(1, 1, 60_000)]), 60_000);
    sim.run_for(100);
    for n in 100..160 {
        sim.submit(n, "sweep", "w0", spec(vec![gang(step(2, 8, 9_000))]), 9_000);
    }
    sim.run_for(3_000);
    let submitted_at = sim.now;
    sim.submit(2, "urgent", "w1", spec(vec![gang(step(3, 8, 900))]), 900);
    sim.run_for(1_400);
    assert_eq!(sim.stops, 0, "a run was stopped for it");
    assert_eq!(sim.status(2), Some(JobStatus::Done));
    assert!(sim.started_at[&job_id(2)] < submitted_at + 100);
}

#[test]
fn work_bound_to_a_rack_kept_for_urgent_work_runs_there() {
    let mut sim = Simulation::new(35, 6, 1);
    sim.submit(1, "urgent", "w1", spec(vec![step(1, 1, 60_000)]), 60_000);
    sim.run_for(100);
    for (n, rack) in (2..).zip(["r0", "r1", "r2", "r3", "r4", "r5"]) {
        let bound = Step {
            label: rack.to_owned(),
            ..step(1, 1, 900)
        };
        sim.submit(n, "sweep", "w0", spec(vec![bound]), 900);
    }
    sim.run_for(3_000);
    assert!(sim.all_done(2..8));
}

/// A store that has been away for some seconds: callers that are told to return each second have used
/// up their few attempts before it is back.
#[test]
fn callers_refused_during_an_outage_return_after_about_its_age_and_not_together() {
    let times = |lasted_ms| (0..51).map(move |roll| outage_retry_ms(lasted_ms, roll));
    for (lasted_ms, expected_ms) in [(0, 1_000), (1_000, 1_000), (2_000, 2_000), (60_000, 3_000)] {
        let (low, high) = (expected_ms * 3 / 4, expected_ms * 5 / 4);
        assert!(times(lasted_ms).all(|ms| (low..=high).contains(&ms)));
        let distinct: std::collections::BTreeSet<u64> = times(lasted_ms).collect();
        assert!(distinct.len() > 25, "{} times", distinct.len());
    }
}

/// The store takes 250 ms for a commit while the tasks of many long jobs end all the time, so that there
/// are more changed records than commits can hold. New urgent jobs mustn't wait behind all of them.
#[test]
fn urgent_jobs_start_soon_while_a_slow_store_falls_behind() {
    let mut sim = Simulation::new(41, 4, 5);
    sim.bounds.commit_entries = 4;
    sim.kill_newest_owner();
    sim.predecessors_ended = true;
    sim.elect();
    for n in 0..40 {
        let chain = |i: u16| {
            let mut next = step(2, 1, 300);
            next.depends_on = i.checked_sub(1).into_iter().collect();
            next
        };
        sim.submit(n, "survey", "w0", spec((0..12).map(chain).collect()), 300);
        sim.run_for(10);
    }
    sim.run_for(300);
    sim.store_ms = 250;
    sim.run_for(700);
    let mut waits = Vec::new();
    for n in 1_000..1_003 {
        sim.submit(n, "urgent", "w1", spec(vec![step(2, 1, 300)]), 300);
        let submitted = sim.now;
        sim.run_for(900);
        let started = sim.started_at.get(&job_id(n)).copied();
        waits.push(started.map_or(900, |at| at - submitted));
    }
    // A submission waits for the commit under way and for its own.
    assert!(
        waits.iter().all(|w| *w <= 700),
        "waited {waits:?} ms for the first start"
    );
}
