//! Tests of orders that go to workers through other daemons, with whole daemons.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;

use std::time::{Duration, Instant};

use cluster::{Cluster, job, wait_until};
use marigoldglade::batch::worker::Outcome;
use rstest::rstest;
use standin::batch_worker::WorkerEvent;

/// Enough workers for one relay.
const WORKERS: usize = 70;
const TASKS: u32 = 60;

/// Returns the value of a metric without labels.
fn metric(cluster: &Cluster, daemon: usize, name: &str) -> u64 {
    let page = cluster.daemons[daemon].metrics();
    let line = page.lines().find(|l| l.split(' ').next() == Some(name));
    line.and_then(|l| l.split(' ').nth(1)?.parse().ok())
        .unwrap_or(0)
}

fn relayed(cluster: &Cluster, daemon: usize) -> u64 {
    metric(cluster, daemon, "marigoldglade_relayed_orders_total")
}

/// Returns the daemon that relays orders; waits until there is one.
fn find_relay(cluster: &Cluster) -> usize {
    let mut found = None;
    wait_until("a relay", || {
        let before: Vec<u64> = (0..cluster.daemons.len())
            .map(|d| relayed(cluster, d))
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        found = (0..cluster.daemons.len()).find(|d| relayed(cluster, *d) > before[*d]);
        found.is_some()
    });
    found.expect("found")
}

fn count_outcomes(cluster: &Cluster, outcome: Outcome) -> usize {
    let origin = Instant::now();
    let ended = |e: &WorkerEvent| matches!(e, WorkerEvent::Ended(_, _, _, o) if *o == outcome);
    let count = |w: &platform_standin::worker::Worker| {
        let timeline = w.timeline(origin);
        timeline.iter().filter(|(_, e)| ended(e)).count()
    };
    cluster.workers.iter().map(count).sum()
}

#[rstest]
#[case::nothing_happens(&[])]
#[case::it_is_killed(&[("KILL", 0)])]
#[case::it_stops(&[("TERM", 0)])]
#[case::it_is_paused_for_four_seconds(&[("STOP", 4_000), ("CONT", 0)])]
fn a_relay_that_fails_costs_no_lease_and_no_second_start(#[case] signals: &[(&str, u64)]) {
    let c = Cluster::new(WORKERS, 4);
    let owner = c.owner();
    assert_eq!(c.daemons[owner].submit(1, &job("run_ms=7000", TASKS)), 200);
    wait_until("starts", || {
        c.count_starts() >= usize::try_from(TASKS).expect("few")
    });
    let relay = find_relay(&c);
    assert_ne!(relay, owner);
    for (signal, pause_ms) in signals {
        c.daemons[relay].signal(signal);
        std::thread::sleep(Duration::from_millis(*pause_ms));
    }
    wait_until("completion", || c.daemons[owner].state(1) == "completed");
    assert_eq!(c.count_starts(), usize::try_from(TASKS).expect("few"));
    assert_eq!(count_outcomes(&c, Outcome::Lapsed), 0);
}

/// The relay goes on with the orders of an owner that has been replaced until it learns of the new
/// one; the workers refuse what comes after the new owner's first order.
#[test]
fn a_relay_serves_the_next_owner_and_refuses_the_former_one() {
    let c = Cluster::new(WORKERS, 4);
    let owner = c.owner();
    assert_eq!(c.daemons[owner].submit(1, &job("run_ms=6000", TASKS)), 200);
    wait_until("starts", || {
        c.count_starts() >= usize::try_from(TASKS).expect("few")
    });
    // The owner is paused for longer than its lease, and goes on with what it had under way.
    c.daemons[owner].signal("STOP");
    std::thread::sleep(Duration::from_millis(3_500));
    c.daemons[owner].signal("CONT");
    let other = (owner + 1) % c.daemons.len();
    wait_until("completion", || c.daemons[other].state(1) == "completed");
    assert_eq!(c.daemons[other].submit(2, &job("run_ms=200", 5)), 200);
    wait_until("completion", || c.daemons[other].state(2) == "completed");
    assert_eq!(c.count_starts(), usize::try_from(TASKS).expect("few") + 5);
    assert_eq!(count_outcomes(&c, Outcome::Lapsed), 0);
}
