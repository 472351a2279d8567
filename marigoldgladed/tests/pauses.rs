//! Workers whose processes stand still and go on, singly and several at once, with whole daemons.
//!
//! `PAUSES=5000..6600/100` plays these pauses, in milliseconds, instead of the short run; with `--nocapture`
//! the tests print what each has led to.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use cluster::{Cluster, wait_until};
use marigoldglade::batch::id::TaskId;
use marigoldglade::batch::worker::Outcome;
use rstest::rstest;
use serde_json::json;
use standin::batch_worker::{First, WorkerEvent};

const LEASE_LIMIT_MS: u64 = 6_000;
/// The pauses of the short run, in milliseconds: below the lease, and beyond the owner's wait for its end.
const PAUSES_MS: [u64; 2] = [4_000, 8_000];
/// How many pauses are played at a time.
const AT_ONCE: usize = 6;
/// How long the tasks run, in milliseconds; their ends fall due in each pause.
const RUN_MS: u64 = 4_000;
/// How long after the start of the last task the workers stop.
const PAUSED_AFTER: Duration = Duration::from_millis(1_900);

/// How long after a pause its effects have certainly come.
const AWAKE: Duration = Duration::from_secs(2);
/// A pause that outlasts what an owner waits for any lease, in milliseconds.
const LONG_PAUSE_MS: u64 = 20_000;

/// What rule TWICE says of a play.
#[derive(Debug, Default)]
struct Verdict {
    /// Runs that were started beside one whose worker stood still.
    beside_pauses: u32,
    /// Runs that were started beside one whose worker was awake.
    awake: u32,
    /// Tasks that were started after an end that was acknowledged then or later, without a lapse between.
    after_end: u32,
}

/// Returns the events of all workers in the order of their times, with the worker's index.
fn events(c: &Cluster, origin: Instant) -> Vec<(u64, usize, WorkerEvent)> {
    let workers = c.workers.iter().enumerate();
    let events = workers.flat_map(|(i, w)| {
        let timeline = w.timeline(origin).into_iter();
        timeline.map(move |(at, event)| (at, i, event))
    });
    let mut events: Vec<_> = events.collect();
    events.sort_by_key(|(at, ..)| *at);
    events
}

fn judge(c: &Cluster, origin: Instant, paused_until: &BTreeMap<usize, u64>) -> Verdict {
    let mut verdict = Verdict::default();
    let mut runs: BTreeMap<TaskId, Vec<usize>> = BTreeMap::new();
    // By worker and number: the task that is done, when it ended, and whether it was started since.
    let mut held: BTreeMap<(usize, u64), (TaskId, u64, bool)> = BTreeMap::new();
    let mut acked: Vec<TaskId> = Vec::new();
    // A worker may go on a little later than reckoned; the first that it does is to end its runs.
    let mut awake: BTreeSet<usize> = BTreeSet::new();
    for (at, worker, event) in events(c, origin) {
        if paused_until.get(&worker).is_none_or(|until| at >= *until) {
            awake.insert(worker);
        }
        match event {
            WorkerEvent::Started(task, _) => {
                let others = runs.entry(task).or_default();
                for other in others.iter() {
                    let still = paused_until.contains_key(other) && !awake.contains(other);
                    verdict.beside_pauses += u32::from(still);
                    verdict.awake += u32::from(!still);
                }
                others.push(worker);
                verdict.after_end += u32::from(acked.contains(&task));
                for (_, _, again) in held.values_mut().filter(|(t, ..)| *t == task) {
                    *again = true;
                }
            }
            WorkerEvent::Ended(number, task, _, how) => {
                runs.entry(task).or_default().retain(|w| *w != worker);
                if how == Outcome::Done {
                    held.insert((worker, number), (task, at, false));
                }
            }
            WorkerEvent::Acknowledged(number) => {
                let lapses = c.workers[worker].lapses(origin);
                let ends = held.extract_if(.., |(w, n), _| *w == worker && *n <= number);
                for (_, (task, ended_at, again)) in ends {
                    if !lapses.iter().any(|l| (ended_at..=at).contains(l)) {
                        verdict.after_end += u32::from(again);
                        acked.push(task);
                    }
                }
            }
        }
    }
    verdict
}

/// Has the workers of a job of `count` tasks stand still for `pause_ms`.
fn play(count: u32, pause_ms: u64, first: First) -> Verdict {
    let origin = Instant::now();
    let workers = usize::try_from(2 * count).expect("few workers");
    let c = Cluster::with_paths(workers, 1, LEASE_LIMIT_MS);
    let job = json!({
        "spec": format!("run_ms={RUN_MS}"),
        "steps": [{"count": count, "cpu": 500, "mem_mb": 256, "gpu": 8, "estimate_ms": RUN_MS}],
    });
    assert_eq!(c.daemons[0].submit(1, &job), 200);
    wait_until("all runs", || c.count_starts() == workers / 2);
    std::thread::sleep(PAUSED_AFTER);
    let mut paused_until = BTreeMap::new();
    for (i, worker) in c.workers.iter().enumerate() {
        if !worker.started_runs().is_empty() {
            worker.pause(Duration::from_millis(pause_ms), first);
            let now = u64::try_from(origin.elapsed().as_millis()).expect("short");
            paused_until.insert(i, now + pause_ms);
        }
    }
    // Not asked meanwhile: an owner that is asked all the time checks nothing (see below).
    std::thread::sleep(Duration::from_millis(pause_ms) + AWAKE);
    wait_until("the job", || c.daemons[0].state(1) == "completed");
    let verdict = judge(&c, origin, &paused_until);
    println!("{first:?} first, {pause_ms} ms, {count} at once: {verdict:?}");
    verdict
}

fn pauses() -> Vec<u64> {
    match std::env::var("PAUSES") {
        Ok(range) => {
            let (range, step) = range.split_once('/').expect("PAUSES is FIRST..LAST/STEP");
            let (start, end) = range.split_once("..").expect("PAUSES is FIRST..LAST/STEP");
            let number = |text: &str| text.parse::<u64>().expect("a number");
            let step = step.parse().expect("a number");
            (number(start)..number(end)).step_by(step).collect()
        }
        Err(_) => PAUSES_MS.to_vec(),
    }
}

/// Guards against two runs of one task on workers that are awake, and against a start of a done one: a
/// worker stands still for longer than its lease and ends its runs late, in either order of its timers.
#[rstest]
fn a_pause_leaves_no_second_run(
    #[values(First::Lease, First::Ends)] first: First,
    #[values(1, 3)] count: u32,
) {
    for some in pauses().chunks(AT_ONCE) {
        let plays: Vec<_> = some
            .iter()
            .map(|pause_ms| {
                let pause_ms = *pause_ms;
                (
                    pause_ms,
                    std::thread::spawn(move || play(count, pause_ms, first)),
                )
            })
            .collect();
        for (pause_ms, play) in plays {
            let verdict = play.join().expect("no panic");
            assert_eq!((verdict.awake, verdict.after_end), (0, 0), "{pause_ms} ms");
        }
    }
}

/// An owner that got a call more often than its timer was due never gave up the runs of a silent worker, as
/// each call put the timer off: the task waited until the worker went on.
#[test]
fn frequent_calls_hold_up_no_task_of_a_silent_worker() {
    let c = Cluster::with_paths(2, 1, LEASE_LIMIT_MS);
    let job = json!({
        "spec": format!("run_ms={RUN_MS}"),
        "steps": [{"count": 1, "cpu": 500, "mem_mb": 256, "gpu": 8, "estimate_ms": RUN_MS}],
    });
    assert_eq!(c.daemons[0].submit(1, &job), 200);
    wait_until("the run", || c.count_starts() == 1);
    let busy = c.workers.iter().find(|w| !w.started_runs().is_empty());
    let busy = busy.expect("a worker has started the run");
    busy.pause(Duration::from_millis(LONG_PAUSE_MS), First::Lease);
    let ended = || {
        let timeline = busy.timeline(Instant::now());
        timeline
            .iter()
            .any(|(_, e)| matches!(e, WorkerEvent::Ended(..)))
    };
    while c.count_starts() == 1 {
        assert!(!ended(), "the task has waited until its worker went on");
        c.daemons[0].state(1);
    }
}
