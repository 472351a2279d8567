//! All machines are without power for 9.5 s while a large job runs whose tasks checkpoint.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::daemon::{CONFIG, Daemon, Record, wait};
use crate::runner::Runner;
use crate::store::Store;

const RUNNERS: usize = 48;
const DAEMONS: usize = 6;
/// Fewer than the 16,384 tasks that the daemons accept in a job.
const TASKS: usize = 12_000;
/// The limits of the pages: `herd_kill` with `power` on all machines, for 9.5 s; `finish_s`, and how long a job
/// may have nothing running then.
const DARK: Duration = Duration::from_millis(9_500);
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);
/// When the last job must have been submitted, so that the play ends in time.
const SUBMITS_END: Duration = Duration::from_secs(70);
const LARGE: &str = "00000000000000aa";

pub fn play(record: &mut Record, program: &str, trouble: bool) -> Verdict {
    let store = Arc::new(Store::default());
    let addr = store.serve();
    store.put("op/config", CONFIG);
    let runners = Runner::start_all(RUNNERS, &store);
    let mut daemons = Daemon::fleet(program, DAEMONS, addr);
    for daemon in &mut daemons {
        daemon.start(false);
    }
    let up = |daemons: &[Daemon]| {
        wait(Duration::from_secs(10), || {
            daemons.iter().all(Daemon::is_ready) && store.has("mg/live/owner")
        })
    };
    if !up(&daemons) {
        return Verdict::NotRun("the daemons aren't ready".to_owned());
    }
    let body = format!(
        "{{\"spec\":\"work_ms=25000 cpu=20 save\",\"steps\":[{{\"count\":{TASKS},\"cpu\":20,\"mem_mb\":8,\"estimate_ms\":25000,\"checkpointing\":true}}]}}"
    );
    let answer = daemons[1].call("POST", &format!("/sweep/{LARGE}"), &body);
    record.line(&format!(
        "POST job {LARGE}, {TASKS} checkpointing tasks of 25 s: {answer:?}"
    ));
    if answer.is_none_or(|a| a.0 != 200) {
        return Verdict::NotRun("the large job wasn't accepted".to_owned());
    }
    let in_progress = || runners.iter().map(|r| r.load().0).sum::<usize>();
    let all = wait(Duration::from_secs(20), || in_progress() == TASKS);
    record.line(&format!("{} tasks of it run", in_progress()));
    if !all {
        return Verdict::NotRun("not all tasks have started".to_owned());
    }
    // Each task has saved a checkpoint then.
    std::thread::sleep(Duration::from_secs(3));
    if trouble {
        record.line("all daemons are killed");
        daemons.iter_mut().for_each(Daemon::kill);
    }
    std::thread::sleep(DARK);
    if trouble {
        daemons.iter_mut().for_each(|d| d.start(true));
        record.line("all daemons are started again");
    }
    if !up(&daemons) {
        return Verdict::NotRun("the daemons aren't ready again".to_owned());
    }
    std::thread::sleep(Duration::from_secs(8));
    let mut small = Vec::new();
    for i in 0..4 {
        let id = format!("00000000000000b{i}");
        let body = r#"{"spec":"work_ms=500 cpu=100","steps":[{"count":1,"cpu":100,"mem_mb":256,"estimate_ms":500}]}"#;
        for attempt in 0..4 {
            let daemon = &daemons[(i + attempt) % DAEMONS];
            let answer = daemon.call("POST", &format!("/check/{id}"), body);
            record.line(&format!(
                "POST job {id}, one task of 0.5 s, at {}: {answer:?}",
                daemon.name
            ));
            if answer.is_some_and(|a| a.0 == 200) {
                small.push(id.clone());
                break;
            }
            if record.elapsed() > SUBMITS_END {
                return Verdict::NotRun("the machine is too slow".to_owned());
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    if small.is_empty() {
        record.line("no further job was accepted");
    }
    // The traffic ends here.
    std::thread::sleep(FINISH);
    let mut idle_since: Vec<Option<Instant>> = vec![None; small.len()];
    let mut broken = false;
    let end = Instant::now() + IDLE + Duration::from_millis(500);
    while Instant::now() < end {
        let used: u64 = runners.iter().map(|r| r.load().1).sum();
        let room = used * 2 < RUNNERS as u64 * 32_000;
        for (id, since) in small.iter().zip(&mut idle_since) {
            let waits = runners
                .iter()
                .all(|r| !r.is_running(id) && r.counts(id).1 == 0);
            *since = if waits && room {
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
        "{} of {} thousandths of a core are in use",
        used,
        RUNNERS * 32_000
    ));
    for id in small.iter().map(String::as_str).chain([LARGE]) {
        let counts = runners.iter().map(|r| r.counts(id));
        let (starts, done) = counts.fold((0, 0), |sum, c| (sum.0 + c.0, sum.1 + c.1));
        let queue = if id == LARGE { "sweep" } else { "check" };
        let state = daemons[2].call("GET", &format!("/{queue}/{id}"), "");
        record.line(&format!(
            "job {id}: {starts} starts, {done} tasks done; GET: {state:?}"
        ));
    }
    let unseen: usize = runners.iter().map(|r| r.unseen()).sum();
    let (refused, too_large, largest) = store.sizes();
    record.line(&format!(
        "{unseen} ends that runners list were not taken note of"
    ));
    record.line(&format!("transactions refused for a value above value_bytes: {refused}, largest {too_large} bytes; largest value written: {largest} bytes"));
    let log: String = daemons.iter().map(Daemon::log).collect();
    record.line(&format!(
        "daemons' log lines 'the store refused a commit': {}",
        log.matches("the store refused a commit").count()
    ));
    if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
