//! A runner goes down and up again, while the time of day on its machine has jumped back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::daemon::{CONFIG, Daemon, Record, wait};
use crate::runner::{Runner, now_ms};
use crate::store::Store;

const RUNNERS: usize = 10;
const DAEMONS: usize = 3;
/// The time between two starts of a runner that goes down and up by turns (`srv_flap`, `gap_s`).
const PERIOD: Duration = Duration::from_millis(1_400);
/// How far the time of day jumps (`clock_step`, `x`).
const JUMP_MS: u64 = 2_400;
/// `finish_s`, and how long a job may have nothing running then.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

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
    // One runner of ten goes down and up by turns.
    let runner = &runners[0];
    let crash = |record: &mut Record, back_ms: u64| {
        let born = now_ms() - back_ms;
        runner.crash(born);
        store.put(&format!("servers/{}", runner.id), &runner.entry(1_000));
        record.line(&format!(
            "{} goes down and up again: born {born}",
            runner.id
        ));
    };
    crash(record, 0);
    let began = Instant::now();
    std::thread::sleep(Duration::from_millis(500));
    // The first of these jobs fill the other runners as well.
    let mut jobs = Vec::new();
    for i in 0..30 {
        let id = format!("00000000000000{i:02x}");
        let body = r#"{"spec":"work_ms=4000 cpu=10000","steps":[{"count":1,"cpu":10000,"mem_mb":256,"gpu":1,"estimate_ms":4000}]}"#;
        let answer = daemons[i % DAEMONS].call("POST", &format!("/check/{id}"), body);
        if answer.as_ref().is_some_and(|a| a.0 == 200) {
            jobs.push(id);
        } else {
            record.line(&format!("POST job {id}: {answer:?}"));
        }
    }
    record.line(&format!(
        "{} jobs of one task of 4 s were accepted",
        jobs.len()
    ));
    std::thread::sleep(PERIOD.saturating_sub(began.elapsed()));
    let there: Vec<String> = jobs
        .iter()
        .filter(|j| runner.is_running(j))
        .cloned()
        .collect();
    record.line(&format!("jobs on {}: {}", runner.id, there.join(" ")));
    if there.is_empty() {
        return Verdict::NotRun("no job runs on the runner".to_owned());
    }
    if trouble {
        record.line(&format!(
            "the time of day on the machine of {} jumps back by {JUMP_MS} ms",
            runner.id
        ));
    }
    crash(record, if trouble { JUMP_MS } else { 0 });
    // The traffic ends here.
    std::thread::sleep(FINISH);
    let (mut broken, end) = (false, Instant::now() + IDLE + Duration::from_millis(500));
    let mut idle_since: Vec<Option<Instant>> = vec![None; jobs.len()];
    while Instant::now() < end {
        for (id, since) in jobs.iter().zip(&mut idle_since) {
            let waits = runners
                .iter()
                .all(|r| !r.is_running(id) && r.counts(id).1 == 0);
            *since = if waits {
                since.or(Some(Instant::now()))
            } else {
                None
            };
            broken |= since.is_some_and(|at| at.elapsed() >= IDLE);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let used: u64 = runners.iter().map(|r| r.load().1).sum();
    record.line(&format!(
        "{used} of {} thousandths of a core are in use",
        RUNNERS * 32_000
    ));
    for (id, since) in jobs.iter().zip(&idle_since) {
        let counts = runners.iter().map(|r| r.counts(id));
        let (starts, done) = counts.fold((0, 0), |sum, c| (sum.0 + c.0, sum.1 + c.1));
        let state = daemons[2].call("GET", &format!("/check/{id}"), "");
        let state = state.map_or("no answer".to_owned(), |s| s.1);
        if since.is_some() || !state.contains("completed") {
            record.line(&format!(
                "job {id}: {starts} starts, {done} tasks done; GET: {state}"
            ));
        }
    }
    let unseen: usize = runners.iter().map(|r| r.unseen()).sum();
    record.line(&format!(
        "{unseen} ends that runners list were not taken note of"
    ));
    if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
