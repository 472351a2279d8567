//! Work that could run while other work waits for more room than there is.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;
#[path = "support/record.rs"]
#[expect(dead_code, reason = "the records serve several test files")]
mod record;
#[path = "support/waits.rs"]
mod waits;

use std::time::Instant;

use cluster::{Cluster, wait_until};
use marigoldglade::batch::id::{JobId, TaskId};
use marigoldglade::batch::worker::{Outcome, Resources};
use record::{Event, worker_events};
use rstest::rstest;
use serde_json::{Value, json};
use standin::batch_worker::WorkerEvent;
use waits::{SubmittedJob, Wait, find_waits};

const WORKER: Resources = Resources {
    cpu: 32_000,
    mem: 131_072,
    accels: 8,
};

/// Returns what a task with accelerators takes.
fn need(accels: u64) -> Resources {
    Resources {
        cpu: 500,
        mem: 256,
        accels,
    }
}

fn job_id(id: u64) -> JobId {
    JobId::parse(&format!("{id:016x}")).expect("a job's id")
}

fn task(job: u64, index: u32) -> TaskId {
    TaskId {
        job: job_id(job),
        round: 0,
        step: 0,
        index,
    }
}

/// Returns the events of a run.
fn run(worker: usize, task: TaskId, from: u64, until: u64, outcome: Outcome) -> [Event; 2] {
    [
        (from, worker, WorkerEvent::Started(task, 1)),
        (until, worker, WorkerEvent::Ended(1, task, 1, outcome)),
    ]
}

/// What differs between the cases of the check: two workers, and a job of accelerators that is accepted
/// after a second and watched for ten.
#[derive(Clone, Copy)]
struct Case {
    accels: u64,
    count: u32,
    gang: bool,
    /// The accelerators that another job takes of both workers.
    taken: u64,
    over_at: u64,
    /// When its first task runs, and how that ends.
    ran: Option<(u64, u64, Outcome)>,
    fault_at: Option<u64>,
}

const CASE: Case = Case {
    accels: 1,
    count: 1,
    gang: false,
    taken: 0,
    over_at: u64::MAX,
    ran: None,
    fault_at: None,
};

#[rstest]
#[case::it_never_runs(CASE, Some((1_000, 10_000)))]
#[case::it_starts_in_time(Case { ran: Some((4_000, 9_000, Outcome::Done)), ..CASE }, None)]
#[case::it_starts_late(Case { ran: Some((4_100, 9_000, Outcome::Done)), ..CASE }, Some((1_000, 4_100)))]
#[case::it_is_stopped(Case { ran: Some((1_500, 3_000, Outcome::Stopped)), ..CASE }, Some((3_000, 10_000)))]
#[case::a_task_is_left(Case { count: 2, ran: Some((1_500, 3_000, Outcome::Done)), ..CASE }, Some((3_000, 10_000)))]
#[case::a_member_of_a_gang_is_done(Case { count: 2, gang: true, ran: Some((1_500, 3_000, Outcome::Done)), ..CASE }, None)]
#[case::it_is_canceled(Case { over_at: 3_500, ..CASE }, None)]
#[case::half_of_the_fleet_is_in_use(Case { taken: 6, ..CASE }, None)]
#[case::less_is_in_use(Case { taken: 5, ..CASE }, Some((1_000, 10_000)))]
#[case::it_fits_once(Case { accels: 8, count: 2, gang: true, ..CASE }, None)]
#[case::it_fits_twice(Case { accels: 4, count: 2, gang: true, ..CASE }, Some((1_000, 10_000)))]
#[case::it_fits_on_no_worker(Case { accels: 6, taken: 3, ..CASE }, None)]
#[case::a_fault_is_open(Case { fault_at: Some(3_200), ..CASE }, None)]
#[case::the_fault_is_over(Case { fault_at: Some(2_000), ..CASE }, Some((6_000, 10_000)))]
fn waits_are_found(#[case] case: Case, #[case] expected: Option<(u64, u64)>) {
    let mut job = SubmittedJob::new(job_id(1), need(case.accels), case.count, case.gang);
    (job.accepted_at, job.over_at) = (Some(1_000), case.over_at);
    let other = SubmittedJob::new(job_id(2), need(case.taken), 2, false);
    let mut events: Vec<Event> = Vec::new();
    for worker in [0, 1].into_iter().filter(|_| case.taken > 0) {
        let index = u32::try_from(worker).expect("small");
        events.extend(run(worker, task(2, index), 0, 20_000, Outcome::Done));
    }
    if let Some((from, until, outcome)) = case.ran {
        events.extend(run(0, task(1, 0), from, until, outcome));
    }
    let faults: Vec<u64> = case.fault_at.into_iter().collect();
    let found = find_waits(&[WORKER; 2], &[job, other], events, &faults, 10_000);
    let expected = expected.map(|(from, until)| Wait {
        job: job_id(1),
        from,
        until,
    });
    assert_eq!(found, expected.into_iter().collect::<Vec<_>>());
}

fn body(accels: u64, count: u32, gang: bool, run_ms: u64) -> Value {
    json!({
        "spec": format!("run_ms={run_ms}"),
        "steps": [{"count": count, "cpu": 500, "mem_mb": 256, "gpu": accels, "estimate_ms": run_ms, "gang": gang}],
    })
}

/// Gangs that waited for whole workers had racks kept free for them, the only one as well: small work waited
/// for as long as they did, though most of the fleet was idle.
#[test]
fn small_work_starts_beside_gangs_that_do_not_fit() {
    let start = Instant::now();
    let c = Cluster::new(4, 1);
    let front = &c.daemons[0];
    let mut jobs = Vec::new();
    let mut submit = |id: u64, accels: u64, count: u32, gang: bool, run_ms: u64| {
        assert_eq!(front.submit(id, &body(accels, count, gang, run_ms)), 200);
        let mut job = SubmittedJob::new(job_id(id), need(accels), count, gang);
        job.accepted_at = u64::try_from(start.elapsed().as_millis()).ok();
        jobs.push(job);
    };
    for id in 1..=4 {
        submit(id, 2, 1, false, 9_000);
    }
    wait_until("the long runs", || c.count_starts() == 4);
    submit(5, 8, 4, true, 300);
    wait_until("a gang that waits", || {
        let messages = front.logged("job", &format!("{:016x}", 5));
        messages.iter().any(|m| m == "work waits")
    });
    for id in 6..=8 {
        submit(id, 1, 2, false, 300);
    }
    for id in 1..=8 {
        wait_until("the jobs' ends", || front.state(id) == "completed");
    }
    let end = u64::try_from(start.elapsed().as_millis()).expect("short");
    let events = worker_events(&c, start);
    let found = find_waits(&[WORKER; 4], &jobs, events, &[], end);
    assert_eq!(found, []);
}
