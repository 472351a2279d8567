//! Real daemons during an outage of the key-value service: what continues, what is refused, and what
//! resumes after it.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Answer, CONFIG, Daemon, Fleet, call, job, submit, try_call, wait_for};
use marigoldglade::api::{JobView, Problem, State};
use marigoldglade::prelude::*;
use rstest::rstest;

const NO_FAULTS: &str = "{}";

fn set_faults(fleet: &Fleet, faults: &str) {
    let url = format!("http://{}/faults", fleet.store.addr);
    assert_eq!(call("PUT", &url, &[], faults).status, 204);
}

fn kind(response: &Answer) -> Kind {
    let problem: Problem = serde_json::from_str(&response.body).expect("a problem");
    problem.kind
}

/// Returns the version in force at a daemon; zero is none.
fn version(daemon: &Daemon) -> u64 {
    let response = try_call("GET", &daemon.url("config"), &[], "");
    let value = response.and_then(|t| serde_json::from_str::<serde_json::Value>(&t.body).ok());
    value.and_then(|v| v["version"].as_u64()).unwrap_or(0)
}

fn put(daemon: &Daemon, base: &str, key: &str, text: &str) -> Answer {
    let headers = [("mg-base", base), ("idempotency-key", key)];
    call("PUT", &daemon.url("config"), &headers, text)
}

/// Submits jobs until one is refused because the store is down. Only that response may say that its
/// job didn't run.
fn wait_for_refusal(daemon: &Daemon) {
    let mut count = 0;
    wait_for("a refusal", || {
        count += 1;
        let response = submit(daemon, &job(&format!("during-{count}"), 1, 1, ""));
        assert_ne!(response.status, 201, "a job was accepted without the store");
        let refused = kind(&response) == Kind::StoreDown;
        assert_eq!(response.run == "no", refused, "{}", response.body);
        refused.then_some(())
    });
}

#[rstest]
#[case::answering_503("{\"down\": true}")]
#[case::silent("{\"silent\": true}")]
fn requests_continue_and_jobs_are_refused_until_the_store_returns(#[case] outage: &str) {
    let fleet = Fleet::start_many(2, 2, 2, CONFIG);
    fleet.wait_runners();
    let daemon = fleet.first();
    let response = submit(daemon, &job("before", 1, 8, "run_ms=600000"));
    assert_eq!(response.status, 201, "{}", response.body);
    let before: JobView = serde_json::from_str(&response.body).expect("a view");
    let state = |id: &str| daemon.job(id).map(|v| v.state);
    wait_for("a running job", || {
        state(&before.id).filter(|s| *s == State::Running)
    });

    set_faults(&fleet, outage);
    wait_for_refusal(daemon);
    for _ in 0..20 {
        let headers = [("mg-labels", "tier=gate"), ("mg-idempotent", "true")];
        let response = call("POST", &daemon.url("request/helmet"), &headers, "on");
        assert_eq!((response.status, response.body.as_str()), (200, "on"));
    }
    let response = put(daemon, "1", "during", CONFIG);
    assert_eq!(
        (kind(&response), response.run.as_str()),
        (Kind::StoreDown, "no")
    );
    assert_eq!(state(&before.id), Some(State::Running));

    set_faults(&fleet, NO_FAULTS);
    wait_for("an accepted job", || {
        let response = submit(daemon, &job("after", 1, 1, ""));
        matches!(response.status, 200 | 201 | 409).then_some(())
    });
    let text = format!("{CONFIG}vms: [{{name: worker-1, drain: true}}]\n");
    wait_for("an accepted version", || {
        let response = put(daemon, "1", "after", &text);
        (response.status == 200).then_some(())
    });
    for daemon in &fleet.daemons {
        wait_for("version 2", || (version(daemon) == 2).then_some(()));
    }
}

#[test]
fn a_new_daemon_gets_the_version_from_a_peer_while_the_store_is_down() {
    let fleet = Fleet::start_many(2, 0, 0, CONFIG);
    for daemon in &fleet.daemons {
        wait_for("version 1", || (version(daemon) == 1).then_some(()));
    }
    set_faults(&fleet, "{\"down\": true}");
    let alone = fleet.start_daemon("alone", &[]);
    assert!(!alone.is_ready());
    let response = call("GET", &alone.url("config"), &[], "");
    assert_eq!(
        (kind(&response), response.run.as_str()),
        (Kind::NotReady, "no")
    );
    let peers: Vec<_> = fleet.daemons.iter().map(|d| d.mesh).collect();
    let fresh = fleet.start_daemon("fresh", &peers);
    wait_for("a ready fresh daemon", || fresh.is_ready().then_some(()));
    assert_eq!(version(&fresh), 1);
    assert!(!alone.is_ready());
}

#[test]
fn a_change_whose_reply_from_the_store_is_lost_is_accepted() {
    let fleet = Fleet::start(0, 0, CONFIG);
    let text = format!("{CONFIG}vms: [{{name: worker-1, drain: true}}]\n");
    set_faults(&fleet, "{\"lost\": 1}");
    let response = put(fleet.first(), "1", "lost", &text);
    assert_eq!(response.status, 200, "{}", response.body);
    let again = put(fleet.first(), "1", "lost", &text);
    assert_eq!(
        again.status, 200,
        "the same key is the same change: {}",
        again.body
    );
    let other = put(fleet.first(), "1", "other", CONFIG);
    assert_eq!(kind(&other), Kind::Conflict);
    assert!(other.body.contains("vms.worker-1: added"), "{}", other.body);
    assert_eq!(version(fleet.first()), 2);
}

/// Returns how many calls for the configuration a daemon has made to the store.
fn config_calls(daemon: &Daemon) -> u64 {
    let response = call("GET", &format!("http://{}/metrics", daemon.admin), &[], "");
    let ours = |l: &&str| l.contains("store_calls") && l.contains("rank=\"config\"");
    let counts = response.body.lines().filter(ours);
    let last = |l: &str| l.rsplit(' ').next().and_then(|n| n.parse::<u64>().ok());
    counts.filter_map(last).sum()
}

#[test]
fn old_revisions_from_the_store_never_bring_an_old_version_back() {
    let fleet = Fleet::start(0, 0, CONFIG);
    let daemon = fleet.first();
    set_faults(&fleet, "{\"stale\": true}");
    let text = format!("{CONFIG}vms: [{{name: worker-1, drain: true}}]\n");
    let response = put(daemon, "1", "second", &text);
    assert_eq!(response.status, 200, "{}", response.body);
    let before = config_calls(daemon);
    // Each watch that breaks makes the daemon read version 1 again and see it written once more.
    wait_for("reads of the past", || {
        set_faults(
            &fleet,
            "{\"stale\": true, \"replay\": true, \"unwatch\": true}",
        );
        assert_eq!(version(daemon), 2);
        (config_calls(daemon) > before + 10).then_some(())
    });
    assert_eq!(version(daemon), 2);
}

#[test]
fn a_guarantee_above_the_capacity_is_refused_by_name() {
    let fleet = Fleet::start(0, 1, CONFIG);
    let text = CONFIG.replace("workers: 1", "workers: 9");
    let response = wait_for("a refusal", || {
        let response = put(fleet.first(), "1", "big", &text);
        (response.status != 200).then_some(response)
    });
    assert_eq!(kind(&response), Kind::Impossible);
    assert!(response.body.contains("register") && response.body.contains("kista"));
}
