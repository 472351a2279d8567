//! A runner carries out a start, its answer is lost, and the runner drains and leaves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::daemon::{CONFIG, Daemon, Record, wait};
use crate::runner::Runner;
use crate::store::Store;

const RUNNERS: usize = 8;
const DAEMONS: usize = 3;
/// How long a runner stays once it reports `draining`: `drain_ms` and a little longer.
const DRAIN: Duration = Duration::from_millis(2_500);
/// `finish_s`, and how long a job may have nothing running then.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);
const JOB: &str = "00000000000000aa";

pub fn play(record: &mut Record, program: &str, trouble: bool) -> Verdict {
    let store = Arc::new(Store::default());
    let addr = store.serve();
    store.put("op/config", CONFIG);
    let runners = Runner::start_all(RUNNERS, &store);
    let mut daemons = Daemon::fleet(program, DAEMONS, addr);
    for daemon in &mut daemons {
        daemon.start(false);
    }
    let up = || daemons.iter().all(Daemon::is_ready) && store.has("mg/live/owner");
    if !wait(Duration::from_secs(10), up) {
        return Verdict::NotRun("the daemons aren't ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(2));
    if trouble {
        // The daemons choose the runner, so each one would lose an answer.
        runners.iter().for_each(|r| r.lose_answer());
    }
    let body = r#"{"spec":"work_ms=6000 cpu=1000","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":6000}]}"#;
    let answer = daemons[1].call("POST", &format!("/check/{JOB}"), body);
    record.line(&format!("POST job {JOB}, one task of 6 s: {answer:?}"));
    let accepted_at = Instant::now();
    if answer.is_none_or(|a| a.0 != 200) {
        return Verdict::NotRun("the job wasn't accepted".to_owned());
    }
    if !wait(Duration::from_secs(3), || {
        runners.iter().any(|r| r.is_running(JOB))
    }) {
        return Verdict::NotRun("the task hasn't started".to_owned());
    }
    let Some(runner) = runners.iter().find(|r| r.is_running(JOB)) else {
        return Verdict::NotRun("the task has ended".to_owned());
    };
    record.line(&format!(
        "the task runs on {}; the answer to its start is {}",
        runner.id,
        if trouble { "lost" } else { "sent" }
    ));
    for other in &runners {
        other.keep_answers();
    }
    std::thread::sleep(Duration::from_secs(1));
    runner.drain(DRAIN);
    store.put(&format!("servers/{}", runner.id), &runner.entry(1_000));
    record.line(&format!("{} drains", runner.id));
    std::thread::sleep(DRAIN);
    runner.leave();
    store.delete(&format!("servers/{}", runner.id));
    record.line(&format!(
        "{} has left; it had listed the end of the run: {}",
        runner.id,
        runner.ended(JOB)
    ));
    let mut idle_since = None;
    let mut next_start = None;
    let (mut broken, mut said) = (false, false);
    while accepted_at.elapsed() < Duration::from_secs(32) && next_start.is_none() {
        let starts = runners
            .iter()
            .filter(|r| r.id != runner.id)
            .map(|r| r.counts(JOB).0);
        if starts.sum::<usize>() > 0 {
            next_start = Some(accepted_at.elapsed());
        }
        let waits = runners.iter().all(|r| !r.is_running(JOB));
        if waits && accepted_at.elapsed() >= FINISH {
            let since: Instant = *idle_since.get_or_insert_with(Instant::now);
            broken |= since.elapsed() >= IDLE;
        }
        if broken && !said {
            said = true;
            let state = daemons[2].call("GET", &format!("/check/{JOB}"), "");
            record.line(&format!("{} runners are up and idle; nothing of the job runs, {IDLE:?} on end; GET: {state:?}", RUNNERS - 1));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    match next_start {
        Some(at) => record.line(&format!(
            "the task starts again {:.1} s after the job's acceptance",
            at.as_secs_f64()
        )),
        None => record.line("the task hasn't started again"),
    }
    let log: String = daemons.iter().map(Daemon::log).collect();
    let bound = log
        .matches("start without a response; its task is bound to the worker")
        .count();
    record.line(&format!(
        "daemons' log lines 'its task is bound to the worker': {bound}"
    ));
    if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
