//! Daemons in front of the platform's stand-ins, while the operators evacuate data centres.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;

use cluster::{Cluster, Daemon, job, wait_until};

const KEY: &str = "op/evacuate/dc-a";

fn evacuated(daemon: &Daemon) -> String {
    let page = daemon.metrics();
    let line = page
        .lines()
        .find_map(|l| l.strip_prefix("marigoldglade_evacuated_data_centres "));
    line.unwrap_or_default().to_owned()
}

/// Guards against starts in an evacuated data centre: by the owner that sees the request, by one that takes
/// over during the evacuation, with odd requests beside it; and against an evacuation that outlasts its
/// request because the store drops its history.
#[test]
fn nothing_starts_while_the_data_centre_is_evacuated() {
    let mut c = Cluster::new(2, 2);
    assert_eq!(c.daemons[0].submit(1, &job("run_ms=300", 4)), 200);
    wait_until("completion", || c.daemons[0].state(1) == "completed");
    for key in ["op/evacuate/", "op/evacuate/a\nb", "op/evacuate/elsewhere"] {
        c.store.put(key, b"\xff");
    }
    c.store
        .put(&format!("op/evacuate/{}", "z".repeat(2_000)), b"{}");
    c.store.put(KEY, &vec![b'['; 300_000]);
    let owner = c.owner();
    wait_until("the evacuation", || evacuated(&c.daemons[owner]) == "2");
    assert_eq!(c.daemons[0].submit(2, &job("run_ms=300", 4)), 200);
    // The request is taken back and made again as the ownership changes.
    c.store.delete(KEY);
    c.store.put(KEY, b"");
    drop(c.daemons.remove(owner));
    wait_until("a new owner", || evacuated(&c.daemons[0]) == "2");
    assert_eq!(c.daemons[0].submit(3, &job("run_ms=300", 4)), 200);
    wait_until("the reason", || {
        !c.daemons[0].logged("why", "evacuated").is_empty()
    });
    assert_eq!(
        (c.count_starts(), c.daemons[0].state(2).as_str()),
        (4, "queued")
    );
    c.store.delete(KEY);
    c.store.compact();
    wait_until("completion", || {
        [2, 3].iter().all(|n| c.daemons[0].state(*n) == "completed")
    });
    assert_eq!(
        (c.count_starts(), evacuated(&c.daemons[0]).as_str()),
        (12, "1")
    );
}
