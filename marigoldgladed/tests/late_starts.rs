//! Starts that arrive when their daemon is gone and their worker has restarted, with whole daemons.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;

use std::time::{Duration, Instant};

use cluster::{Cluster, wait_until};
use platform_standin::store::Behaviour;
use platform_standin::worker::Worker;
use serde_json::{Value, json};
use standin::batch_worker::WorkerEvent;
use standin::proxy::Flow;

const LEASE_LIMIT_MS: u64 = 6_000;
/// How long after the loss of a start it has certainly been sent again, and not yet given up.
const RESEND: Duration = Duration::from_millis(200);
/// How long after a silence its bytes must have arrived.
const SETTLED: Duration = Duration::from_secs(3);

/// Returns a job whose only task takes all of a worker.
fn whole_worker(run_ms: u64) -> Value {
    json!({
        "spec": format!("run_ms={run_ms}"),
        "steps": [{"count": 1, "cpu": 500, "mem_mb": 256, "gpu": 8, "estimate_ms": run_ms}],
    })
}

fn is_running(worker: &Worker) -> bool {
    let events = worker.timeline(Instant::now());
    let last = events
        .iter()
        .rfind(|(_, e)| !matches!(e, WorkerEvent::Acknowledged(_)));
    matches!(last, Some((_, WorkerEvent::Started(..))))
}

/// Creates a cluster of two workers, of which the first is about to get a start that is held on its way;
/// returns it with the index of the owner once that has noted the loss. Job 2 is the one.
fn hold_start(keeps_writes: bool) -> (Cluster, usize) {
    let c = Cluster::with_paths(2, 3, LEASE_LIMIT_MS);
    let (first, second) = (&c.workers[0], &c.workers[1]);
    let owner = c.owner();
    let logs = |worker: &Worker, message: &str| {
        let lines = c.daemons[owner].logged("worker", &worker.name());
        lines.iter().any(|l| l == message)
    };
    second.unregister();
    wait_until("the second worker to leave", || {
        logs(second, "worker left the registry")
    });
    let asked = &c.daemons[(owner + 1) % 3];
    assert_eq!(asked.submit(1, &whole_worker(900)), 200);
    wait_until("the first run", || is_running(first));
    assert_eq!(asked.submit(2, &whole_worker(30_000)), 200);
    // The report of the first run's end passes; the start that follows it doesn't.
    for paths in c.paths.values() {
        paths.workers[0].set_requests(Flow::Held);
    }
    if keeps_writes {
        c.daemons[owner].endpoint.set(Behaviour::KeepsWrites);
    }
    wait_until("a lost start", || {
        logs(
            first,
            "start without a response; its task is bound to the worker",
        )
    });
    // What was sent on a connection to the worker's earlier process ends with that, so the send that
    // follows the loss, on a new connection, is the one that arrives.
    std::thread::sleep(RESEND);
    (c, owner)
}

/// Lets the first worker restart and what is held on an owner's path to it arrive, then checks that the
/// task runs on one worker only.
fn release_start(c: &Cluster, owner: usize) {
    let (first, second) = (&c.workers[0], &c.workers[1]);
    wait_until("a run elsewhere", || is_running(second));
    first.restart();
    c.paths[&format!("daemon-{owner}")].workers[0].set_requests(Flow::Open);
    let end = Instant::now() + SETTLED;
    while Instant::now() < end {
        assert!(
            !(is_running(first) && is_running(second)),
            "two runs: {:?} and {:?}",
            first.timeline(Instant::now()),
            second.timeline(Instant::now())
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A start that its owner had given up began in the worker's next process while the task ran elsewhere.
#[test]
fn a_start_that_was_given_up_begins_no_second_run() {
    let (c, owner) = hold_start(false);
    // The stop that follows takes a connection of its own and comes later.
    c.paths[&format!("daemon-{owner}")].workers[0].set_accepts(false);
    c.workers[1].register();
    release_start(&c, owner);
}

/// A start whose owner was killed before its loss was recorded began in the worker's next process while
/// the next owner ran the task elsewhere.
#[test]
fn a_start_of_a_killed_owner_begins_no_second_run() {
    let (c, owner) = hold_start(true);
    c.daemons[owner].signal("KILL");
    c.workers[1].register();
    release_start(&c, owner);
}
