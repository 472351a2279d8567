//! The owner is cut off from the store and the other daemons, another daemon is the owner, and a runner that has
//! obeyed the new one restarts.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::daemon::{CONFIG, Daemon, Record, wait};
use crate::runner::{Runner, now_ms};
use crate::store::Store;

const RUNNERS: usize = 8;
const DAEMONS: usize = 3;
const ROUNDS: usize = 9;
/// The last round begins before this time of the play.
const LAST_ROUND: Duration = Duration::from_secs(95);
/// How long after its submission a job is due.
const DUE_MS: u64 = 5_000;
/// How long the runner is down, and how long before the job is due it is up again.
const DOWN_MS: u64 = 400;
const UP_BEFORE_MS: u64 = 5;
/// Runs that overlap for less count as one after the other.
const OVERLAP_MS: u64 = 50;

fn sleep_until(at: u64) {
    std::thread::sleep(Duration::from_millis(at.saturating_sub(now_ms())));
}

pub fn play(record: &mut Record, program: &str, trouble: bool) -> Verdict {
    let store = Arc::new(Store::default());
    store.put("op/config", CONFIG);
    let runners = Runner::start_all(RUNNERS, &store);
    let (mut daemons, cuts) = Daemon::fleet_with_cuts(program, DAEMONS, &store);
    for daemon in &mut daemons {
        daemon.start(false);
    }
    let up = || daemons.iter().all(Daemon::is_ready) && store.owner().is_some();
    if !wait(Duration::from_secs(10), up) {
        return Verdict::NotRun("the daemons aren't ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(2));
    let find_owner = || {
        daemons
            .iter()
            .position(|d| Some(&d.name) == store.owner().as_ref())
    };
    let mut broken = false;
    for round in 0..ROUNDS {
        if broken || record.elapsed() > LAST_ROUND {
            break;
        }
        let Some(owner) = find_owner() else {
            std::thread::sleep(Duration::from_secs(1));
            continue;
        };
        let other = &daemons[(owner + 1) % DAEMONS];
        let (timed, busy) = (
            format!("00000000000000a{round}"),
            format!("00000000000000b{round}"),
        );
        let due = now_ms() + DUE_MS;
        let body = format!(
            "{{\"spec\":\"work_ms=2000 cpu=32000\",\"steps\":[{{\"count\":1,\"cpu\":32000,\"mem_mb\":256,\"gpu\":8,\"estimate_ms\":2000}}],\
             \"repeat_count\":1,\"interval_ms\":1000,\"start_at_ms\":{due}}}"
        );
        let answer = other.call("POST", &format!("/sweep/{timed}"), &body);
        record.line(&format!(
            "POST job {timed}, one task of 2 s, due in {DUE_MS} ms: {answer:?}"
        ));
        if answer.is_none_or(|a| a.0 != 200) {
            continue;
        }
        std::thread::sleep(Duration::from_millis(300));
        if trouble {
            cuts[owner].store(true, Ordering::SeqCst);
            record.line(&format!(
                "{} is cut off from the store and the other daemons",
                daemons[owner].name
            ));
            wait(Duration::from_secs(3), || {
                find_owner().is_some_and(|o| o != owner)
            });
            record.line(&format!("the owner is {:?}", store.owner()));
        }
        sleep_until(due - 2_000);
        let body = r#"{"spec":"work_ms=20000 cpu=32000","steps":[{"count":1,"cpu":32000,"mem_mb":256,"gpu":8,"estimate_ms":20000}]}"#;
        let answer = other.call("POST", &format!("/sweep/{busy}"), body);
        record.line(&format!("POST job {busy}, one task of 20 s: {answer:?}"));
        wait(Duration::from_millis(500), || {
            runners.iter().any(|r| r.is_running(&busy))
        });
        let runner = runners.iter().find(|r| r.is_running(&busy));
        if let (true, Some(runner)) = (trouble, runner) {
            sleep_until(due - UP_BEFORE_MS - DOWN_MS);
            runner.go_down();
            sleep_until(due - UP_BEFORE_MS);
            runner.go_up(now_ms());
            record.line(&format!("{} has crashed and is up again", runner.id));
        }
        sleep_until(due + 2_600);
        cuts[owner].store(false, Ordering::SeqCst);
        let mut spans = Vec::new();
        for runner in &runners {
            let runs = runner.spans(&timed).into_iter();
            spans.extend(
                runs.map(|(_, run, from, to)| {
                    (runner.id.clone(), run, from, to.unwrap_or(now_ms()))
                }),
            );
        }
        spans.sort_by_key(|s| s.2);
        for (id, run, from, to) in &spans {
            let (from, to) = (*from as i64 - due as i64, *to as i64 - due as i64);
            record.line(&format!(
                "job {timed}: run {run} on {id} from {from} ms to {to} ms after it was due"
            ));
        }
        for (i, a) in spans.iter().enumerate() {
            for b in &spans[i + 1..] {
                broken |= a.3.min(b.3) > a.2.max(b.2) + OVERLAP_MS;
            }
        }
        let answer = other.call("DELETE", &format!("/sweep/{busy}"), "");
        record.line(&format!("DELETE job {busy}: {answer:?}"));
        wait(Duration::from_secs(4), || {
            runners.iter().all(|r| r.load().0 == 0)
        });
        std::thread::sleep(Duration::from_millis(500));
    }
    if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
