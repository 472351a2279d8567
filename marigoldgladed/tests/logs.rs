//! What a daemon's log lines say, and what is left of them when a collector cuts them.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;

use std::time::Duration;

use cluster::{Cluster, Daemon, job, wait_until};
use marigoldglade::batch::messages::Owner;
use platform_standin::store::Behaviour;
use rstest::rstest;
use serde_json::Value;
use standin::batch_worker::LEASE_LIMIT_MS;
use standin::proxy::Flow;

/// What the users' collector leaves of a line.
const CUT: usize = 200;

/// Returns the lines with this message, as they were written; prints them.
fn lines(daemon: &Daemon, message: &str) -> Vec<String> {
    let start = format!("{{\"message\":\"{message}\",");
    let mut lines = daemon.raw_log_lines();
    lines.retain(|l| l.starts_with(&start));
    for line in &lines {
        println!("{} {line}", line.len());
    }
    lines
}

fn parse(line: &str) -> Value {
    serde_json::from_str(line).expect("a line is JSON")
}

/// Checks that a cut line still has these fields.
fn assert_survive(line: &str, fields: &[&str]) {
    let cut: String = line.chars().take(CUT).collect();
    for field in fields {
        let value = &parse(line)[*field];
        assert!(!value.is_null(), "{field} is missing in {line}");
        // Whole: followed by another field or the end of the line.
        let pair = format!("\"{field}\":{value}");
        let whole = cut.contains(&format!("{pair},")) || cut.contains(&format!("{pair}}}"));
        assert!(whole, "{field} is lost in {cut}");
    }
}

#[test]
fn every_line_begins_with_its_message_and_keeps_its_keys() {
    let c = Cluster::new(1, 1);
    let daemon = &c.daemons[0];
    assert_eq!(daemon.submit(1, &job("run_ms=100", 4)), 200);
    wait_until("completion", || daemon.state(1) == "completed");
    let lines = daemon.raw_log_lines();
    assert!(lines.len() > 10);
    for line in lines {
        assert!(line.starts_with("{\"message\":\""), "{line}");
        let value = parse(&line);
        for key in ["message", "level", "module"] {
            assert!(value[key].is_string(), "{key} in {line}");
        }
        assert!(value["at_ms"].is_u64(), "{line}");
    }
}

/// The record of two runs of one task named neither the task nor why it had been started again.
#[rstest]
#[case::lease("lease", "run given up with a silent worker")]
#[case::restart("restart", "run given up")]
fn a_task_that_starts_again_is_logged_with_the_reason(#[case] why: &str, #[case] given_up: &str) {
    let c = Cluster::with_paths(2, 1, LEASE_LIMIT_MS);
    let daemon = &c.daemons[0];
    assert_eq!(daemon.submit(1, &job("run_ms=60000", 4)), 200);
    wait_until("the starts", || c.count_starts() == 4);
    // The runs are reported.
    std::thread::sleep(Duration::from_millis(1_500));
    let lost = c
        .workers
        .iter()
        .position(|w| !w.started_runs().is_empty())
        .expect("a worker has runs");
    let runs = c.workers[lost].started_runs().len();
    if why == "lease" {
        c.paths["daemon-0"].workers[lost].set_both(Flow::Cut);
    } else {
        c.workers[lost].restart();
    }
    wait_until("the second runs", || {
        lines(daemon, "task starts again").len() >= runs
    });
    for line in lines(daemon, "task starts again") {
        assert_survive(
            &line,
            &["task", "run", "before", "why", "from", "heard_ms", "at_ms"],
        );
        let value = parse(&line);
        assert_eq!(value["why"], why);
        assert_eq!(value["level"], "WARN");
        assert_eq!(value["from"], c.workers[lost].name());
        assert_eq!((&value["before"], &value["run"]), (&1.into(), &2.into()));
        if why == "lease" {
            assert!(value["heard_ms"].as_u64().is_some_and(|ms| ms > 4_000));
        }
    }
    let given_up = lines(daemon, given_up);
    assert_eq!(given_up.len(), runs);
    for line in given_up {
        assert_survive(&line, &["task", "run", "why", "worker", "heard_ms"]);
        assert_eq!(parse(&line)["why"], why);
    }
    if why == "lease" {
        for line in lines(daemon, "worker doesn't answer renewals") {
            assert_survive(&line, &["worker", "heard_ms", "runs"]);
        }
    }
}

/// A job had nothing running for a minute beside free workers, and no line named it or the reason.
#[test]
fn work_that_waits_is_logged_with_what_holds_it_back() {
    let c = Cluster::new(1, 1);
    let daemon = &c.daemons[0];
    assert_eq!(daemon.submit(1, &job("run_ms=60000", 8)), 200);
    wait_until("the starts", || c.count_starts() == 8);
    assert_eq!(daemon.submit(2, &job("run_ms=100", 1)), 200);
    wait_until("a line", || !lines(daemon, "work waits").is_empty());
    let line = &lines(daemon, "work waits")[0];
    assert_survive(line, &["why", "idle_ms", "fitting", "count", "job"]);
    let value = parse(line);
    assert_eq!(value["why"], "room");
    assert!(value["idle_ms"].as_u64().is_some_and(|ms| ms >= 1_000));
    assert_eq!((&value["fitting"], &value["count"]), (&0.into(), &1.into()));
}

#[test]
fn a_refused_call_is_one_line_and_repeated_ones_are_counted() {
    let c = Cluster::new(0, 1);
    let daemon = &c.daemons[0];
    let call = |path: &str| daemon.call("GET", path, "hidden", None).0;
    for n in 0..20 {
        assert_eq!(call(&format!("/nowhere/{n}")), 404);
    }
    assert_eq!(call("/elsewhere/1"), 404);
    wait_until("the lines", || lines(daemon, "call refused").len() >= 2);
    let refused = lines(daemon, "call refused");
    assert_eq!(refused.len(), 2);
    assert_survive(&refused[0], &["why", "kind", "path", "host"]);
    let first = parse(&refused[0]);
    assert_eq!(first["path"], "/nowhere/0");
    assert_eq!(first["host"], "h.example");
    assert!(first["version"].is_u64());
    std::thread::sleep(Duration::from_secs(11));
    assert_eq!(call("/nowhere/20"), 404);
    wait_until("a line", || lines(daemon, "call refused").len() == 3);
    assert_eq!(parse(&lines(daemon, "call refused")[2])["left_out"], 19);
    assert!(daemon.raw_log_lines().iter().all(|l| !l.contains("hidden")));
}

#[test]
fn a_daemon_that_stood_still_says_so() {
    let c = Cluster::new(0, 1);
    let daemon = &c.daemons[0];
    daemon.signal("STOP");
    std::thread::sleep(Duration::from_secs(2));
    daemon.signal("CONT");
    wait_until("a line", || {
        !lines(daemon, "the process stood still").is_empty()
    });
    let line = &lines(daemon, "the process stood still")[0];
    assert_survive(line, &["stalled_ms", "suspended_ms"]);
    let stalled_ms = parse(line)["stalled_ms"].as_u64();
    assert!(stalled_ms.is_some_and(|ms| (1_500..10_000).contains(&ms)));
}

#[rstest]
#[case::replaced("replaced", "WARN")]
#[case::planned("planned", "INFO")]
#[case::unconfirmed("unconfirmed", "WARN")]
fn the_end_of_an_ownership_is_one_line(#[case] why: &str, #[case] level: &str) {
    let c = Cluster::with_paths(1, 1, LEASE_LIMIT_MS);
    let daemon = &c.daemons[0];
    assert_eq!(daemon.submit(1, &job("run_ms=60000", 4)), 200);
    wait_until("the starts", || c.count_starts() == 4);
    for line in lines(daemon, "this daemon is the owner") {
        assert_survive(&line, &["term", "daemon", "former", "predecessors"]);
    }
    match why {
        "replaced" => {
            let owner = Owner {
                name: "successor".to_owned(),
                incarnation: 1,
                addr: ([127, 0, 0, 1], 1).into(),
                term: 2,
                since: 0,
            };
            let mut value = Vec::new();
            ciborium::into_writer(&owner, &mut value).expect("it can be encoded");
            c.store.put("mg/live/owner", &value);
        }
        "planned" => daemon.signal("TERM"),
        _ => c.paths["daemon-0"].store.set_both(Flow::Cut),
    }
    wait_until("the end", || {
        !lines(daemon, "the ownership ends").is_empty()
    });
    std::thread::sleep(Duration::from_secs(1));
    let ends = lines(daemon, "the ownership ends");
    assert_eq!(ends.len(), 1);
    assert_survive(&ends[0], &["why", "term", "confirmed_ms", "runs", "level"]);
    let end = parse(&ends[0]);
    assert_eq!((&end["why"], &end["level"]), (&why.into(), &level.into()));
    assert_eq!((&end["term"], &end["runs"]), (&1.into(), &4.into()));
    let confirmed_ms = end["confirmed_ms"].as_u64().expect("a number");
    if why == "unconfirmed" {
        assert!((5_000..12_000).contains(&confirmed_ms), "{confirmed_ms}");
    } else {
        assert!(confirmed_ms < 2_000, "{confirmed_ms}");
    }
}

/// An accepted job was answered 410 after its owner was lost, and no line named it before it was asked for.
#[test]
fn a_submission_is_logged_from_its_acceptance_to_the_next_owner() {
    let c = Cluster::new(0, 2);
    let owner = c.owner();
    let (owner, other) = (&c.daemons[owner], &c.daemons[1 - owner]);
    let one = |daemon: &Daemon, message: &str, id: u64, fields: &[&str]| {
        let of = |l: &String| parse(l)["job"] == format!("{id:016x}");
        let found = || lines(daemon, message).into_iter().find(of);
        wait_until(message, || found().is_some());
        let line = found().expect("found");
        assert_survive(&line, fields);
        parse(&line)
    };
    assert_eq!(owner.submit(1, &job("run_ms=100", 1)), 200);
    one(owner, "job accepted", 1, &["job", "term", "commit"]);
    let call = one(owner, "call answered", 1, &["job", "call", "reply"]);
    assert_eq!(
        (&call["call"], &call["reply"]),
        (&"submit".into(), &"Accepted".into())
    );

    owner.endpoint.set(Behaviour::Unavailable);
    assert_eq!(other.submit(2, &job("run_ms=100", 1)), 200);
    let left = one(owner, "submission not recorded", 2, &["job", "why", "term"]);
    assert_eq!(left["why"], "commit-refused");
    let fields = ["job", "term", "revision", "fresh"];
    one(other, "job accepted without the owner", 2, &fields);

    owner.signal("KILL");
    one(other, "job loaded", 1, &["job", "term", "age_ms"]);
    one(
        other,
        "submission taken from the inbox",
        2,
        &["job", "term"],
    );
    let recorded = "submission from the inbox recorded";
    let recorded = one(other, recorded, 2, &["job", "term", "commit"]);
    assert_eq!(recorded["term"], 2);

    assert_eq!(other.state(3), "410");
    one(
        other,
        "the store has no record of the job",
        3,
        &["job", "term"],
    );
}
