//! Refusals by daemons that run as processes: a job whose submission was refused never runs.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;

use cluster::{Cluster, Daemon, job, wait_until};
use platform_standin::store::Behaviour;
use serde_json::json;

const SUBMIT_KEY: &str = "mg/in/s/";

/// Starts two daemons and a worker with work for many minutes. The owner can't reach the store and has
/// noticed, so it takes no submissions; the store keeps the other daemon's writes. Returns the indices of
/// the owner and of the other daemon.
fn overloaded() -> (Cluster, usize, usize) {
    let c = Cluster::new(1, 2);
    let owner = c.owner();
    let long = json!({"spec": "run_ms=600000", "steps": [
        {"count": 20, "cpu": 500, "mem_mb": 256, "gpu": 8, "estimate_ms": 60_000}]});
    assert_eq!(c.daemons[owner].submit(100, &long), 200);
    assert_eq!(
        c.daemons[owner]
            .call(
                "POST",
                "/urgent/0000000000000101",
                "secret",
                Some(job("run_ms=600000", 1).to_string().as_bytes())
            )
            .0,
        200
    );
    wait_until("the first start", || c.count_starts() > 0);
    c.daemons[1 - owner].endpoint.set(Behaviour::KeepsWrites);
    c.daemons[owner].endpoint.set(Behaviour::Unavailable);
    // The commit of a cancel fails, and its caller waits for longer than the test.
    let url = format!("http://{}/urgent/0000000000000101", c.daemons[owner].front);
    std::thread::spawn(move || {
        let cancel = ureq::delete(url).header("host", "h.example");
        drop(cancel.header("authorization", "Token secret").call());
    });
    wait_until("a commit that the store refuses", || {
        let log = c.daemons[owner].log_lines();
        log.iter()
            .any(|l| l["message"] == "the store refused a commit")
    });
    (c, owner, 1 - owner)
}

/// Submits a job in the background until `then` returns; returns the status.
fn submit_while(daemon: &Daemon, id: u64, then: impl FnOnce()) -> u16 {
    std::thread::scope(|s| {
        let submit = s.spawn(|| daemon.submit(id, &job("run_ms=100", 1)));
        then();
        submit.join().expect("no panic")
    })
}

/// A job ran whose submission was answered with 503: an attempt of the same call had written it to the
/// inbox without an answer, and that write was carried out later.
#[test]
fn a_late_write_to_the_inbox_does_not_follow_a_refusal() {
    let (c, owner, other) = overloaded();
    let (owner, other) = (&c.daemons[owner], &c.daemons[other]);
    let status = submit_while(other, 1, || {
        wait_until("a write", || other.endpoint.keeps_write(SUBMIT_KEY));
        owner.endpoint.set(Behaviour::Normal);
    });
    assert_eq!(status, 503);
    other.endpoint.carry_out_writes();
    assert!(c.store.keys(SUBMIT_KEY).is_empty(), "the write took effect");
}

/// A caller got 503 from a daemon without the store while another daemon's attempt at the same
/// submission, whose write got no answer, could still take effect.
#[test]
fn an_attempt_at_another_daemon_rules_out_a_refusal() {
    let (c, owner, other) = overloaded();
    let (owner, other) = (&c.daemons[owner], &c.daemons[other]);
    let status = submit_while(other, 1, || {
        wait_until("a write", || other.endpoint.keeps_write(SUBMIT_KEY));
        other.endpoint.set(Behaviour::Unavailable);
    });
    assert_eq!(status, 504);
    assert_eq!(owner.submit(1, &job("run_ms=100", 1)), 504);
    assert_eq!(owner.submit(2, &job("run_ms=100", 1)), 503);
    other.endpoint.carry_out_writes();
    assert_eq!(c.store.keys(SUBMIT_KEY).len(), 1, "the write takes effect");
}

/// The same as above, when the process that made the attempt has been killed.
#[test]
fn a_killed_daemon_may_have_made_an_attempt() {
    let (mut c, _, other) = overloaded();
    let killed = c.daemons.remove(other);
    killed.endpoint.set(Behaviour::Unavailable);
    drop(killed);
    let body = job("run_ms=100", 1).to_string();
    let path = "/sweep/0000000000000001";
    let (status, retry_after, _) =
        c.daemons[0].call_with_retry_after("POST", path, "secret", Some(body.as_bytes()));
    assert_eq!(status, 504);
    assert!(
        retry_after.is_some(),
        "the caller isn't told when to return"
    );
}
