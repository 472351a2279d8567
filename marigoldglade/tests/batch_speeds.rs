//! Checks placement on workers that differ in speed, without a network: urgent gangs with little slack
//! beside batch work with ample slack, on racks that mix three speeds.

#[path = "batch/world.rs"]
#[expect(dead_code, reason = "the simulation serves several test files")]
mod simulation;

use std::collections::BTreeMap;

use marigoldglade::batch::engine::WorkerKey;
use marigoldglade::batch::finish::{
    Speed, SpeedOrder, SpeedRange, SpeedRule, place_gang_by_speed, place_some_by_speed,
};
use marigoldglade::batch::health::Grade;
use marigoldglade::batch::messages::JobStatus;
use marigoldglade::batch::pack::{Bin, Demand, RackKey};
use marigoldglade::batch::rank::{RankInputs, rank};
use marigoldglade::batch::run_times::Stretch;
use marigoldglade::batch::spec::Step;
use marigoldglade::batch::worker::Resources;
use marigoldglade::time::UnixMs;
use rstest::rstest;
use simulation::{Simulation, job_id, spec, step};
use standin::batch_worker::SimWorker;

const CAPACITY: Resources = Resources {
    cpu: 128_000,
    mem: 524_288,
    accels: 8,
};
const RANGE: SpeedRange = SpeedRange {
    fastest: 60,
    slowest: 160,
};
const NOW: UnixMs = UnixMs(100_000);
/// The workers of a rack.
const RACK: u16 = 12;

/// Racks in which each worker is followed by a slower one, and the slowest by the fastest.
fn fleet(racks: u16) -> Vec<Bin> {
    let stretch = |i: u16| Stretch {
        percent: [60, 100, 160][usize::from(i % 3)],
        known: true,
    };
    let bin = |i: u16| Bin {
        worker: WorkerKey(i),
        rack: RackKey(i / RACK),
        used: Resources::default(),
        capacity: CAPACITY,
        grade: Grade::Good,
        max_tasks: u32::MAX,
        stretch: stretch(i),
    };
    (0..racks * RACK).map(bin).collect()
}

fn need(accels: u64, count: u32) -> Demand {
    Demand {
        resources: Resources {
            cpu: 11_000,
            mem: 59_000,
            accels,
        },
        count,
        one_rack: true,
        near_rack: None,
        order: SpeedOrder::Any,
    }
}

/// Work that was accepted `waited_ms` ago and takes `work_ms` on an ordinary worker.
fn inputs(priority: u32, work_ms: u64, waited_ms: u64) -> RankInputs {
    let since = NOW.before(waited_ms);
    let objective_ms = match priority {
        0 => work_ms * 3 / 2 + 250,
        _ => work_ms * 3 + 1_000,
    };
    RankInputs {
        priority,
        guaranteed: false,
        waiting_since: since,
        finish_by: since.after(objective_ms),
        remaining_ms: work_ms,
        remaining_work: work_ms,
    }
}

fn rule(priority: u32, work_ms: u64, waited_ms: u64) -> SpeedRule {
    SpeedRule::new(&inputs(priority, work_ms, waited_ms), RANGE, NOW)
}

fn speeds(bins: &[Bin], workers: &[WorkerKey]) -> Vec<Speed> {
    let speed = |key: &WorkerKey| bins[usize::from(key.0)].stretch.speed();
    workers.iter().map(speed).collect()
}

fn take(bins: &mut [Bin], workers: &[WorkerKey], need: &Demand) {
    for key in workers {
        let bin = &mut bins[usize::from(key.0)];
        bin.used = bin.used.plus(&need.resources);
    }
}

/// Load: urgent gangs as wide as the fast workers of a rack, and wider, on free racks.
#[rstest]
#[case(4, &[Speed::Fast])]
#[case(8, &[Speed::Fast, Speed::Ordinary])]
fn urgent_gang_takes_the_fastest_workers_of_one_rack(#[case] count: u32, #[case] want: &[Speed]) {
    let bins = fleet(3);
    let workers = place_gang_by_speed(&bins, &need(8, count), &[], &rule(0, 2_100, 0));
    let workers = workers.expect("a free rack holds the gang");
    assert!(speeds(&bins, &workers).iter().all(|s| want.contains(s)));
    let rack = |key: &WorkerKey| bins[usize::from(key.0)].rack;
    assert!(workers.iter().all(|key| rack(key) == rack(&workers[0])));
}

/// Load: an urgent gang too wide for the fast workers doesn't spend those beside ordinary ones.
#[test]
fn gang_takes_workers_of_like_speed() {
    let mut bins = fleet(1);
    for bin in bins.iter_mut().step_by(3).take(2) {
        bin.used = CAPACITY;
    }
    let workers = place_gang_by_speed(&bins, &need(8, 4), &[], &rule(0, 2_100, 0));
    let workers = workers.expect("four ordinary workers are free");
    assert_eq!(speeds(&bins, &workers), [Speed::Ordinary; 4]);
}

/// Load: batch gangs and single tasks with ample slack, before urgent work comes.
#[test]
fn batch_work_keeps_off_the_fast_workers_and_leaves_none_idle_in_the_end() {
    let mut bins = fleet(2);
    let batch = rule(1, 9_400, 0);
    let gang = place_gang_by_speed(&bins, &need(8, 8), &[], &batch).expect("free racks");
    assert!(!speeds(&bins, &gang).contains(&Speed::Fast));
    let tasks = place_some_by_speed(&bins, &need(8, 4), &batch);
    assert_eq!(speeds(&bins, &tasks), [Speed::Slow; 4]);
    let all = need(1, 24 * 8);
    let tasks = place_some_by_speed(&bins, &all, &batch);
    assert_eq!(tasks.len(), 24 * 8);
    take(&mut bins, &tasks, &all);
    assert!(bins.iter().all(|b| b.free().accels == 0));
}

/// Load: single batch tasks on a fleet that is partly unknown show the speed of more workers.
#[test]
fn batch_work_takes_unknown_workers_before_ordinary_ones() {
    let mut bins = fleet(1);
    bins[4].stretch = Stretch::UNKNOWN;
    let need = need(8, 6);
    let tasks = place_some_by_speed(&bins, &need, &rule(2, 5_200, 0));
    let speeds = speeds(&bins, &tasks);
    assert_eq!(speeds[..4], [Speed::Slow; 4]);
    assert_eq!(speeds[4..], [Speed::Unknown, Speed::Ordinary]);
}

/// Load: an urgent gang finds only slow workers free. It waits as long as a faster one would still be in
/// time, and is late rather than never after that.
#[rstest]
#[case(0, false)]
#[case(1_000, false)]
#[case(2_200, true)]
#[case(60_000, true)]
fn urgent_gang_takes_slow_workers_only_once_it_is_late(
    #[case] waited_ms: u64,
    #[case] placed: bool,
) {
    let mut bins = fleet(2);
    for bin in &mut bins {
        if bin.stretch.speed() != Speed::Slow {
            bin.used = CAPACITY;
        }
    }
    let rule = rule(0, 2_100, waited_ms);
    let workers = place_gang_by_speed(&bins, &need(8, 4), &[], &rule);
    assert_eq!(workers.is_some(), placed);
    assert_eq!(rule.may_wait, !placed);
}

/// Load: an urgent gang needs more workers of one rack than are fast or ordinary. No wait helps it, and
/// it isn't spread over racks for the sake of speed.
#[test]
fn gang_that_needs_slow_workers_takes_a_whole_rack_at_once() {
    let bins = fleet(3);
    let workers = place_gang_by_speed(&bins, &need(8, 10), &[], &rule(0, 2_100, 0));
    let workers = workers.expect("a free rack holds the gang");
    let racks = workers.iter().map(|key| key.0 / RACK);
    assert_eq!(racks.collect::<std::collections::BTreeSet<_>>().len(), 1);
}

/// Load: batch work that has waited for most of its slack.
#[rstest]
#[case(0, Some(240))]
#[case(12_000, Some(140))]
#[case(28_000, Some(400))]
fn slack_that_is_left_limits_the_workers(#[case] waited_ms: u64, #[case] limit: Option<u32>) {
    let rule = rule(1, 9_400, waited_ms);
    assert_eq!(rule.limit, limit);
    assert_eq!(rule.late, waited_ms > 25_000);
    assert_eq!(rule.yields, rule.late);
}

/// Load: urgent jobs queue up in a burst, when an ordinary worker would be too late for the older ones.
#[test]
fn job_that_only_a_fast_worker_ends_in_time_goes_before_one_that_none_does() {
    let rank_after = |waited_ms: u64| {
        let inputs = inputs(0, 2_100, waited_ms);
        rank(&SpeedRule::rank_inputs(inputs, RANGE, NOW), NOW)
    };
    let blind = |waited_ms: u64| rank(&inputs(0, 2_100, waited_ms), NOW);
    assert!(rank_after(1_500) < rank_after(500));
    assert!(rank_after(1_500) < rank_after(2_500));
    // By the time on an ordinary worker, both are late.
    assert_eq!(blind(1_500), blind(2_500));
}

/// Load: batch tasks that fill a third of the fleet, then urgent gangs, by worker speed and blind to it.
#[test]
fn urgent_gangs_beside_batch_work_are_in_time_more_often_than_by_best_fit() {
    let late = |batch: &SpeedRule, urgent: &SpeedRule| {
        let mut bins = fleet(20);
        let tasks = need(1, 20 * 4 * 8);
        let workers = place_some_by_speed(&bins, &tasks, batch);
        take(&mut bins, &workers, &tasks);
        let mut late = 0;
        for accels in [1, 2, 4, 8, 8].into_iter().cycle().take(40) {
            let gang = need(accels, 5);
            let Some(workers) = place_gang_by_speed(&bins, &gang, &[], urgent) else {
                late += 1;
                continue;
            };
            take(&mut bins, &workers, &gang);
            late += u32::from(speeds(&bins, &workers).contains(&Speed::Slow));
        }
        late
    };
    let blind = SpeedRule::default();
    assert_eq!(late(&rule(2, 5_200, 0), &rule(0, 2_100, 0)), 0);
    assert!(late(&blind, &blind) > 20);
}

/// Has the members of gangs, given by their jobs, end with the slowest of them.
fn end_gangs_together(sim: &mut Simulation, gangs: &BTreeMap<u64, u64>) {
    for n in gangs.keys() {
        let id = job_id(*n);
        let runs = |w: &SimWorker| {
            let members = w.runs.iter().filter(|(t, _)| t.job == id);
            members.map(|(_, r)| r.work_ms).max()
        };
        let Some(slowest) = sim.workers.values().filter_map(runs).max() else {
            continue;
        };
        for worker in sim.workers.values_mut() {
            for (_, run) in worker.runs.iter_mut().filter(|(t, _)| t.job == id) {
                run.end_ms = slowest;
            }
        }
    }
}

/// Returns how many of 30 urgent gangs are late beside surveys, which have run for 10 s on five racks that
/// mix three speeds.
fn late_gangs(learns: bool) -> usize {
    const WORK_MS: u64 = 4_000;
    const OBJECTIVE_MS: u64 = WORK_MS * 3 / 2 + 250;
    let mut sim = Simulation::new(47, 5, u32::from(RACK));
    for (i, worker) in sim.workers.values_mut().enumerate() {
        worker.stretch_percent = [60, 100, 160][i % 3];
    }
    sim.bounds.learn_run_times = learns;
    sim.kill_newest_owner();
    sim.elect();
    sim.run_for(2_000);
    let mut due: BTreeMap<u64, u64> = BTreeMap::new();
    let mut late = 0;
    for tick in 0..470 {
        if tick % 30 == 0 {
            let survey = spec(vec![step(60, 1, 5_000)]);
            sim.submit(1_000 + tick, "survey", "w0", survey, 5_000);
        }
        if (100..400).contains(&tick) && tick % 10 == 0 {
            let gang = Step {
                gang: true,
                one_rack: true,
                ..step(4, 8, WORK_MS)
            };
            sim.submit(tick, "urgent", "w1", spec(vec![gang]), WORK_MS);
            due.insert(tick, sim.now + OBJECTIVE_MS);
        }
        sim.run_for(100);
        end_gangs_together(&mut sim, &due);
        let open: Vec<u64> = due.keys().copied().collect();
        for n in open {
            if sim.status(n) == Some(JobStatus::Done) {
                due.remove(&n);
            } else if due[&n] < sim.now {
                due.remove(&n);
                late += 1;
            }
        }
    }
    assert!(due.is_empty(), "gangs without an end: {due:?}");
    late
}

/// Load: urgent gangs each second beside surveys, at under half of the fleet. A gang ends with its slowest
/// member, so that without learned run times most are late beside free fast workers.
#[test]
fn urgent_gangs_are_in_time_once_the_speeds_of_workers_are_learned() {
    let (blind, learned) = (late_gangs(false), late_gangs(true));
    assert!(learned <= 3, "{learned} late with learned run times");
    assert!(blind >= 10, "{blind} late without");
}
