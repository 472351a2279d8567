//! Tests of records that grow: the store limits a value's size and refuses a larger one for good.

#[path = "batch/world.rs"]
#[expect(dead_code, reason = "the simulation serves several test files")]
mod simulation;

use marigoldglade::batch::messages::{JobStatus, Reply};
use marigoldglade::batch::record::{
    Crash, LateStart, LostRun, PART_BYTES, PART_TASKS, Record, RecordPart, TaskProgress,
    VALUE_LIMIT_BYTES, join,
};
use marigoldglade::batch::spec::{JobSpec, SPEC_LIMIT_BYTES, Step};
use marigoldglade::error::Kind;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use simulation::{Simulation, job_id, queue, spec, step};

/// More tasks than one value holds.
const TASKS: u32 = 3_000;

/// Returns a step of many small tasks that save checkpoints.
fn many_tasks() -> Step {
    let mut many = step(TASKS, 0, 4_000);
    (many.resources.cpu, many.resources.mem) = (30, 10);
    many.checkpoints = true;
    many
}

/// Starts a job whose checkpoints take more room together than one value has, and lets all its runs end with them
/// while there is no owner.
fn lapse_many_tasks(sim: &mut Simulation) {
    for worker in sim.workers.values_mut() {
        worker.checkpoint_bytes = 500;
    }
    sim.run_for(500);
    sim.submit(1, "sweep", "w0", spec(vec![many_tasks()]), 14_000);
    sim.run_for(3_000);
    assert_eq!(sim.starts, TASKS);
    sim.kill_newest_owner();
    sim.run_for(9_500);
    sim.elect();
}

/// Guards against an owner that records nothing any more: the checkpoints of a job with many tasks make its record
/// larger than the store's largest value.
#[test]
fn the_checkpoints_of_many_tasks_hold_back_no_other_job() {
    let mut sim = Simulation::new(120, 1, 4);
    sim.predecessors_ended = true;
    lapse_many_tasks(&mut sim);
    sim.run_for(3_000);
    let call_id = sim.submit(2, "urgent", "w0", spec(vec![step(1, 8, 500)]), 500);
    sim.run_for(3_000);
    assert_eq!(sim.replies.get(&call_id), Some(&Reply::Accepted));
    assert_eq!(sim.status(2), Some(JobStatus::Done));
    // The next owner finds all of the progress.
    sim.kill_newest_owner();
    let saved = |r: &Record| r.tasks.iter().filter(|t| !t.checkpoint.is_empty()).count();
    let records = sim.load_records();
    let record = records.iter().find(|r| r.id == job_id(1));
    assert_eq!(record.map(saved), Some(TASKS as usize));
    sim.elect();
    sim.run_for(60_000);
    assert_eq!(sim.status(1), Some(JobStatus::Done));
}

/// Guards against progress of an earlier job that counts for a later one with its id, and against values that stay
/// in the store for good: a job whose record has several values is deleted.
#[rstest]
#[case::and_stays_away(false)]
#[case::and_is_submitted_again(true)]
fn a_large_job_is_deleted(#[case] again: bool) {
    let mut sim = Simulation::new(121, 1, 4);
    sim.predecessors_ended = true;
    sim.bounds.retention_ms = 2_000;
    lapse_many_tasks(&mut sim);
    sim.run_for(3_000);
    assert!(!sim.parts.is_empty());
    sim.cancel(1);
    sim.run_for(1_000);
    // The deletion waits for a commit under way.
    sim.store_ms = 400;
    let mut n = 10;
    while sim.status(1).is_some() {
        n += 1;
        sim.submit(n, "sweep", "w0", spec(vec![step(1, 0, 60_000)]), 60_000);
        sim.run_for(100);
    }
    if again {
        let call_id = sim.submit(1, "sweep", "w0", spec(vec![many_tasks()]), 100);
        sim.run_for(1_500);
        assert_eq!(sim.replies.get(&call_id), Some(&Reply::Accepted));
        sim.store_ms = 0;
        sim.bounds.retention_ms = 600_000;
        sim.kill_newest_owner();
        let records = sim.load_records();
        let later = records.iter().find(|r| r.id == job_id(1));
        assert!(later.is_some_and(|r| r.tasks.iter().all(|t| t.checkpoint.is_empty())));
        sim.elect();
        sim.run_for(30_000);
        assert_eq!(sim.status(1), Some(JobStatus::Done));
    }
    sim.run_for(10_000);
    assert_eq!(sim.parts.is_empty(), !again);
}

/// Guards against one change that holds back all others: the store refuses a job's record for its content.
#[test]
fn a_record_that_the_store_refuses_holds_back_no_other_change() {
    let mut sim = Simulation::new(122, 2, 4);
    sim.run_for(500);
    sim.submit(1, "sweep", "w0", spec(vec![step(2, 8, 2_000)]), 2_000);
    sim.submit(2, "sweep", "w0", spec(vec![step(2, 8, 2_500)]), 2_500);
    sim.run_for(1_000);
    sim.refused_records.insert(job_id(1));
    sim.run_for(4_000);
    for n in 3..=6 {
        sim.submit(n, "sweep", "w0", spec(vec![step(1, 8, 500)]), 500);
        sim.run_for(300);
    }
    sim.run_for(5_000);
    assert!(sim.all_done(2..=6));
    assert_eq!(sim.status(1), Some(JobStatus::Running));
    // The ends of its runs aren't acknowledged, so that the next owner hears of them.
    sim.kill_newest_owner();
    sim.refused_records.clear();
    sim.elect();
    sim.run_for(20_000);
    assert_eq!(sim.status(1), Some(JobStatus::Done));
}

/// Guards against a record that grows without end: a task that runs until its job is cancelled fails again and
/// again.
#[test]
fn the_failed_runs_of_an_endless_task_are_few() {
    let mut sim = Simulation::new(123, 1, 4);
    sim.run_for(500);
    let mut endless = step(1, 1, 1_000);
    endless.endless = true;
    sim.work.insert(job_id(1), (100, 1_000));
    sim.submit(1, "sweep", "w0", spec(vec![endless]), 100);
    sim.run_for(40_000);
    let fails = sim.records[&job_id(1)]
        .tasks
        .iter()
        .map(|t| t.failed_runs.len());
    assert!(sim.failed.values().sum::<u32>() > 20);
    assert!(fails.sum::<usize>() <= 8);
}

#[test]
fn a_job_whose_texts_do_not_fit_into_a_record_is_refused() {
    let labelled = |bytes: usize| Step {
        label: "x".repeat(bytes),
        ..step(1, 1, 1_000)
    };
    let texts = SPEC_LIMIT_BYTES / 128;
    assert!(spec(vec![labelled(texts); 64]).validate().is_ok());
    let error = spec(vec![labelled(texts); 128]).validate().unwrap_err();
    assert_eq!(error.kind, Kind::BadInput);
}

fn progress(index: u32, worker: &str, checkpoint: usize, runs: usize) -> TaskProgress {
    let addr = "10.0.0.1:7000".parse().expect("an address");
    let run = u64::MAX;
    let worker = worker.to_owned();
    let crash = Crash {
        run,
        worker: worker.clone(),
        weight: u32::MAX,
        certain: true,
        early: true,
    };
    let lost = LostRun {
        run,
        worker: worker.clone(),
        addr,
        started_at: u64::MAX,
        weight: u32::MAX,
        certain: true,
    };
    TaskProgress {
        index,
        failed_runs: vec![run; runs],
        crashes: vec![crash; runs],
        lost_runs: vec![lost; runs],
        late_start: Some(LateStart {
            worker,
            addr,
            run,
            left_ms: Some(u64::MAX),
        }),
        checkpoint: "c".repeat(checkpoint),
        ..TaskProgress::default()
    }
}

fn encoded(record: &Record, parts: &[RecordPart]) -> Vec<usize> {
    let parts = parts.iter().map(|p| p.encode().expect("a part").len());
    let head = record.encode().expect("a record").len();
    parts.chain([head]).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        rng_seed: RngSeed::Fixed(53),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against values that the store refuses, and against progress that is lost between an owner and the
    /// next.
    #[test]
    fn a_record_is_split_into_values_that_fit(
        name in "[a-z]{1,160}",
        counts in proptest::collection::vec(1u32..3_000, 1..5),
        checkpoint in 0usize..2_000,
        runs in 0usize..2,
    ) {
        let steps: Vec<Step> = counts.iter().map(|n| step(*n, 1, 1_000)).collect();
        let job = JobSpec { first_due: 1, period_ms: 1_000, rounds: 1, ..spec(steps) };
        let mut record = Record::new(job_id(1), queue("sweep", 1, 1.0, 0), String::new(), job, 7);
        for (s, count) in (0u16..).zip(&counts) {
            let of_step = (0..*count).map(|i| progress(i, &name, checkpoint, runs));
            record.tasks.extend(of_step.map(|t| TaskProgress { step: s, ..t }));
        }
        let all = record.clone();
        let parts = record.split();
        for size in encoded(&record, &parts) {
            prop_assert!(size <= VALUE_LIMIT_BYTES, "{size}");
        }
        let tasks: u32 = counts.iter().sum();
        prop_assert_eq!(record.has_parts, tasks > PART_TASKS);
        let names = 1_000;
        prop_assert!(record.encode().expect("a record").len() <= record.size_bound() + names);
        let fits = checkpoint * PART_TASKS as usize <= PART_BYTES / 4 && name.len() * (1 + 2 * runs) < 100 && runs == 0;
        let mut records = vec![record];
        join(&mut records, parts);
        let key = |t: &TaskProgress| (t.step, t.index);
        records[0].tasks.sort_by_key(key);
        prop_assert_eq!(records[0].tasks.len(), all.tasks.len());
        for (found, expected) in records[0].tasks.iter().zip(&all.tasks) {
            prop_assert_eq!(key(found), key(expected));
            prop_assert_eq!(&found.failed_runs, &expected.failed_runs);
            prop_assert_eq!(&found.late_start, &expected.late_start);
            prop_assert!(!fits || found.checkpoint == expected.checkpoint);
        }
    }
}
