//! What an owner still does once its daemon knows of a newer owner.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use cluster::{Cluster, job, wait_until};
use marigoldglade::batch::messages::Owner;
use platform_standin::store::Behaviour;
use serde_json::Value;

/// Names a daemon that doesn't exist as the owner of the second term.
fn replace_owner(cluster: &Cluster) {
    let owner = Owner {
        name: "successor".to_owned(),
        incarnation: 1,
        addr: ([127, 0, 0, 1], 1).into(),
        term: 2,
        since: 0,
    };
    let mut value = Vec::new();
    ciborium::into_writer(&owner, &mut value).expect("it can be encoded");
    cluster.store.put("mg/live/owner", &value);
}

fn has_message(line: &Value, message: &str) -> bool {
    line["message"] == message
}

fn wait_until_replaced(cluster: &Cluster) {
    wait_until("the end of the ownership", || {
        let lines = cluster.daemons[0].log_lines();
        let ended = |l: &Value| has_message(l, "this daemon is no longer the owner");
        lines.iter().any(ended)
    });
}

/// Guards against two runs of one task: an owner placed work for up to 100 ms after its daemon had
/// learned of the next owner.
#[test]
fn an_owner_places_nothing_once_its_daemon_knows_of_the_next_one() {
    let c = Cluster::new(1, 1);
    let (next, done) = (AtomicU64::new(1), AtomicBool::new(false));
    std::thread::scope(|s| {
        for _ in 0..4 {
            s.spawn(|| {
                for _ in 0..1_000 {
                    let id = next.fetch_add(1, Ordering::Relaxed);
                    let _ = c.daemons[0].submit(id, &job("run_ms=10", 1));
                    if done.load(Ordering::Relaxed) {
                        break;
                    }
                }
            });
        }
        wait_until("starts", || c.count_starts() > 20);
        replace_owner(&c);
        wait_until_replaced(&c);
        done.store(true, Ordering::Relaxed);
    });
    let lines = c.daemons[0].log_lines();
    let learned = lines.iter().position(|l| l["owner"] == "successor");
    let after = &lines[learned.expect("the daemon knows the successor")..];
    let placed = after.iter().filter(|l| has_message(l, "work placed"));
    assert_eq!(placed.count(), 0);
}

/// Guards against two runs of one task: starts that waited for earlier ones to the same worker were
/// sent long after the ownership had ended.
#[test]
fn orders_that_wait_for_a_worker_end_with_the_ownership() {
    let c = Cluster::new(1, 1);
    c.workers[0].stall_starts(Duration::from_secs(1));
    assert_eq!(c.daemons[0].submit(1, &job("run_ms=60000", 8)), 200);
    wait_until("starts", || c.count_starts() > 0);
    replace_owner(&c);
    wait_until_replaced(&c);
    let sent = c.count_starts();
    assert!(sent < 8, "no start waits");
    // All waiting starts would have been sent by then.
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(c.count_starts(), sent);
}

/// Guards against owners that act without a bound: one that was to end, and waited for a commit, no longer
/// noticed that it had been replaced.
#[test]
fn an_owner_that_waits_for_a_commit_to_hand_over_ends_once_it_is_replaced() {
    let c = Cluster::new(1, 1);
    std::thread::scope(|s| {
        // The outcome of the commit stays uncertain, and so does the answer to the caller.
        c.daemons[0].endpoint.set(Behaviour::LosesAnswers);
        let submit = s.spawn(|| c.daemons[0].submit(1, &job("run_ms=100", 1)));
        wait_until("the commit", || !c.store.keys("mg/jobs/").is_empty());
        c.daemons[0].signal("TERM");
        wait_until("the stop", || {
            let lines = c.daemons[0].log_lines();
            lines.iter().any(|l| has_message(l, "daemon stops"))
        });
        replace_owner(&c);
        wait_until_replaced(&c);
        assert_eq!(submit.join().expect("no panic"), 504);
    });
}
