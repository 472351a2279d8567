//! Faults that operators of similar systems have met, against whole daemons. `docs/OPERATIONS.md` lists
//! the tests for each of their reports; those that fit nowhere else are here.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;

use std::io::Write as _;
use std::net::TcpStream;
use std::time::Duration;

use cluster::{Cluster, job, wait_until};
use platform_standin::store::Behaviour;

/// Bytes that are neither HTTP, a WebSocket frame, CBOR nor JSON.
const MALFORMED: &[u8] = b"\x00\xff\x81\xfe{]\r\n\r\n\x9f\x9f\x9f";

#[test]
fn malformed_bytes_on_any_port_or_in_the_store_take_no_daemon_down() {
    let mut c = Cluster::new(2, 2);
    assert_eq!(c.daemons[0].submit(1, &job("run_ms=2000", 2)), 200);
    for daemon in &c.daemons {
        for addr in [&daemon.front, &daemon.ready, &daemon.admin, &daemon.mesh] {
            let mut stream = TcpStream::connect(addr).expect("the port is open");
            stream.write_all(MALFORMED).expect("it takes bytes");
        }
    }
    for key in [
        "op/config",
        "mg/jobs/00000000000000aa",
        "mg/in/s/00000000000000ab",
        "mg/in/c/not-an-id",
        "mg/live/daemon/nobody",
        "servers/i-broken",
    ] {
        c.store.put(key, MALFORMED);
    }
    assert_eq!(c.daemons[1].submit(2, &job("run_ms=200", 2)), 200);
    // A new owner reads all of it again.
    let owner = c.owner();
    c.daemons[owner].signal("KILL");
    c.daemons.remove(owner);
    for id in [1, 2] {
        wait_until("completion", || c.daemons[0].state(id) == "completed");
    }
    assert_eq!(c.count_starts(), 4);
}

#[test]
fn a_withdrawn_key_stays_withdrawn_when_all_daemons_start_again() {
    let mut c = Cluster::new(0, 2);
    c.configure("other");
    for daemon in &c.daemons {
        wait_until("the refusal", || {
            daemon.call("GET", "/sweep/", "secret", None).0 == 401
        });
    }
    c.daemons.clear();
    let restarted = [c.spawn("daemon-0"), c.spawn("daemon-1")];
    // One of them finds the store out of reach, and has to ask its peer.
    restarted[1].endpoint.set(Behaviour::Unavailable);
    let mut answered = [false; 2];
    wait_until("a decision of both daemons", || {
        for (daemon, answered) in restarted.iter().zip(&mut answered) {
            let status = daemon.call("GET", "/sweep/", "secret", None).0;
            assert!(matches!(status, 401 | 503), "the key was taken: {status}");
            *answered |= status == 401;
        }
        restarted[1].endpoint.set(Behaviour::Normal);
        answered == [true; 2]
    });
}

#[test]
fn a_worker_that_left_gets_no_work_from_the_next_owner() {
    let mut c = Cluster::new(2, 2);
    assert_eq!(c.daemons[0].submit(1, &job("run_ms=200", 4)), 200);
    wait_until("completion", || c.daemons[0].state(1) == "completed");
    let before = c.workers[1].started_runs().len();
    // Its process goes on and would take work.
    c.store.delete("servers/i-1");
    std::thread::sleep(Duration::from_millis(500));
    let owner = c.owner();
    c.daemons[owner].signal("KILL");
    c.daemons.remove(owner);
    wait_until("the next owner's answer", || {
        c.daemons[0].submit(2, &job("run_ms=200", 12)) == 200
    });
    wait_until("completion", || c.daemons[0].state(2) == "completed");
    assert_eq!(c.workers[1].started_runs().len(), before);
}
