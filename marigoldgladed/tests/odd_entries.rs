//! Daemons in front of the platform's stand-ins, while another writer leaves odd entries in the registry.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;

use cluster::{Cluster, POOL, job, wait_until};
use platform_standin::store::{Behaviour, Store};
use platform_standin::worker::Worker;
use rstest::rstest;
use serde_json::{Value, json};

/// Returns an entry like those of workers, of which no process listens at the address.
fn entry() -> Value {
    json!({
        "service": POOL, "address": "127.0.0.1:1", "zone": "dc-a", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0,
        "capacity": {"cpu": 32_000, "mem_mb": 131_072, "gpu": 8}, "labels": ["a", "r1"],
        "born": 1_000, "seq": 1,
    })
}

/// Returns the entry in which a field has another value, given as text.
fn entry_with(field: &str, value: &str) -> Vec<u8> {
    let mut entry = entry();
    entry[field] = json!("?");
    entry.to_string().replace("\"?\"", value).into_bytes()
}

/// Writes the odd entries of one kind between those of workers.
fn write_odd_entries(store: &Store, kind: &str) {
    let put = |key: &str, value: &[u8]| store.put(&format!("servers/{key}"), value);
    let odd = match kind {
        "nesting" => {
            put("i-0-deep", "[".repeat(100_000).as_bytes());
            let levels = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
            entry_with("labels", &levels)
        }
        "figures" => {
            put("i-0-range", &entry_with("slots", "1e400"));
            put("i-0-born", &entry_with("born", "18446744073709551615"));
            let huge = format!("{{\"cpu\":{0},\"mem_mb\":{0},\"gpu\":{0}}}", u64::MAX);
            entry_with("capacity", &huge)
        }
        "addresses" => {
            put("i-0-port", &entry_with("address", "\"127.0.0.1:0\""));
            put("i-0-any", &entry_with("address", "\"0.0.0.0:9\""));
            entry_with("address", "\"127.0.0.1:99999\"")
        }
        "labels" => entry_with("labels", &format!("[{}\"a\"]", "\"a\",".repeat(200_000))),
        "zone" => entry_with("zone", &format!("\"{}\"", "z".repeat(900_000))),
        "names" => {
            put("", &entry_with("zone", "\"dc-a\""));
            put("a/b", &entry_with("zone", "\"dc-a\""));
            put("\u{e4} \n", &entry_with("zone", "\"dc-a\""));
            vec![0xff, 0x00]
        }
        _ => entry().to_string().into_bytes(),
    };
    put("i-0-odd", &odd);
    put("i-zz", &odd);
}

/// Other operators' machines ended, or stopped following the list, after one odd entry.
#[rstest]
fn the_registry_is_followed_past_odd_entries(
    #[values("nesting", "figures", "addresses", "labels", "zone", "names", "silent")] kind: &str,
    #[values(true, false)] before: bool,
) {
    let mut c = Cluster::new(1, 0);
    if before {
        write_odd_entries(&c.store, kind);
    }
    c.start_daemon();
    c.start_daemon();
    assert_eq!(c.daemons[0].submit(1, &job("run_ms=60000", 8)), 200);
    wait_until("the starts", || c.count_starts() == 8);
    write_odd_entries(&c.store, kind);
    // The first worker is full, so the job can only run on the one that joins.
    let joined = Worker::start(&c.store, "i-joined", POOL, "r1").expect("a port is free");
    c.workers.push(joined);
    assert_eq!(c.daemons[1].submit(2, &job("run_ms=300", 8)), 200);
    wait_until("completion", || c.daemons[0].state(2) == "completed");
    // Neither a process nor an ownership has ended.
    assert!(c.daemons.iter().all(cluster::Daemon::is_ready));
    let owner = c.owner();
    let terms = c
        .daemons
        .iter()
        .map(|d| d.logged("message", "this daemon is the owner").len());
    assert_eq!(terms.sum::<usize>(), 1);
    // The next owner finds the entries too.
    drop(c.daemons.remove(owner));
    wait_until("an owner", || {
        c.daemons[0].submit(3, &job("run_ms=300", 8)) == 200
    });
    wait_until("completion", || c.daemons[0].state(3) == "completed");
    assert_eq!(c.daemons[0].state(1), "running");
    assert_eq!(c.count_starts(), 24);
}

/// The entry of a worker is replaced by an odd one for a while, also before the worker has started.
#[rstest]
fn a_worker_is_used_again_once_its_entry_is_back(
    #[values("nesting", "figures", "addresses", "labels", "names", "born")] kind: &str,
    #[values(true, false)] before: bool,
) {
    let c = Cluster::new(0, 1);
    let write = || match kind {
        "born" => c
            .store
            .put("servers/i-1", &entry_with("born", "9223372036854775807")),
        kind => {
            write_odd_entries(&c.store, kind);
            let odd = Value::Null.to_string();
            c.store.put("servers/i-1", odd.as_bytes());
        }
    };
    if before {
        write();
        // The owner has read the entry once it knows a job written after it.
        assert_eq!(c.daemons[0].submit(1, &job("run_ms=100", 1)), 200);
    }
    let worker = Worker::start(&c.store, "i-1", POOL, "r1").expect("a port is free");
    assert_eq!(c.daemons[0].submit(2, &job("run_ms=1000", 4)), 200);
    wait_until("the starts", || worker.started_runs().len() >= 4);
    write();
    worker.register();
    assert_eq!(c.daemons[0].submit(3, &job("run_ms=100", 4)), 200);
    for id in [2, 3] {
        wait_until("completion", || c.daemons[0].state(id) == "completed");
    }
}

/// Another writer rewrites an entry of the largest size while a daemon can't watch: the changes take more than
/// a response may have, and the daemon asked for the same ones again without end.
#[test]
fn more_changes_than_a_response_may_have_are_passed_over() {
    let c = Cluster::new(0, 1);
    let daemon = &c.daemons[0];
    daemon.endpoint.set(Behaviour::Unavailable);
    let large = vec![b'x'; 1 << 20];
    for _ in 0..8 {
        c.store.put("servers/i-odd", &large);
    }
    let worker = Worker::start(&c.store, "i-joined", POOL, "r1").expect("a port is free");
    daemon.endpoint.set(Behaviour::Normal);
    wait_until("acceptance", || {
        daemon.submit(1, &job("run_ms=100", 1)) == 200
    });
    wait_until("completion", || daemon.state(1) == "completed");
    assert_eq!(worker.started_runs().len(), 1);
}

#[rstest]
#[case::nesting("[".repeat(100_000))]
#[case::range("{\"version\":1e400}".to_owned())]
#[case::missing("{\"version\":99}".to_owned())]
#[case::empty(String::new())]
fn a_configuration_that_cannot_be_read_leaves_the_old_one_in_force(#[case] odd: String) {
    let mut c = Cluster::new(1, 2);
    c.store.put("op/config", odd.as_bytes());
    assert_eq!(c.daemons[0].submit(1, &job("run_ms=100", 1)), 200);
    wait_until("completion", || c.daemons[1].state(1) == "completed");
    wait_until("the line in the log", || {
        c.daemons.iter().all(|d| {
            !d.logged(
                "message",
                "can't decode the configuration; the old one stays in force",
            )
            .is_empty()
        })
    });
    c.configure("other");
    for daemon in &c.daemons {
        wait_until("the next configuration", || {
            daemon.call("GET", "/sweep/", "other", None).0 == 200
        });
    }
}
