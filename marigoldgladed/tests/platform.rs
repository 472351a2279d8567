//! Daemons in front of the platform's stand-ins, while the store, workers or daemons fail.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use cluster::{Cluster, job, wait_until};
use platform_standin::store::Behaviour;
use rstest::rstest;
use serde_json::json;

#[test]
fn a_job_is_submitted_run_and_shown_as_completed_by_every_daemon() {
    let c = Cluster::new(2, 2);
    assert_eq!(c.daemons[1].submit(1, &job("run_ms=200", 3)), 200);
    for daemon in &c.daemons {
        wait_until("completion", || daemon.state(1) == "completed");
    }
    assert_eq!(c.count_starts(), 3);
    let (status, body) = c.daemons[0].call("GET", "/sweep/", "secret", None);
    assert_eq!((status, body["pending"].as_u64()), (200, Some(0)));
    // The logs tell what happened to the job, by its id.
    for message in ["job accepted", "work placed", "job ended"] {
        let logged = || {
            c.daemons.iter().any(|d| {
                d.logged("job", "0000000000000001")
                    .iter()
                    .any(|l| l == message)
            })
        };
        wait_until(message, logged);
    }
}

#[test]
fn one_id_through_two_daemons_is_one_job() {
    let c = Cluster::new(1, 2);
    for daemon in [0, 1, 0] {
        assert_eq!(c.daemons[daemon].submit(2, &job("run_ms=200", 1)), 200);
    }
    wait_until("completion", || c.daemons[0].state(2) == "completed");
    assert_eq!(c.daemons[1].submit(2, &job("run_ms=200", 1)), 200);
    assert_eq!(c.count_starts(), 1);
}

#[rstest]
#[case::unknown_key("GET", "/sweep/", "wrong", None, 401)]
#[case::unknown_queue("GET", "/nothing/", "secret", None, 404)]
#[case::unknown_job("GET", "/sweep/00000000000000ff", "secret", None, 410)]
#[case::cancel_of_unknown_job("DELETE", "/sweep/00000000000000ff", "secret", None, 410)]
#[case::broken_json("POST", "/sweep/00000000000000fe", "secret", Some("{\"steps\":"), 400)]
#[case::no_tasks(
    "POST",
    "/sweep/00000000000000fe",
    "secret",
    Some("{\"spec\":\"\",\"steps\":[{\"count\":0}]}"),
    400
)]
#[case::too_many_tasks(
    "POST",
    "/sweep/00000000000000fe",
    "secret",
    Some("{\"spec\":\"\",\"steps\":[{\"count\":1000000000}]}"),
    400
)]
#[case::forward_step(
    "POST",
    "/sweep/00000000000000fe",
    "secret",
    Some("{\"spec\":\"\",\"steps\":[{\"count\":1,\"after\":[0]}]}"),
    400
)]
#[case::bad_id("POST", "/sweep/xyz", "secret", Some("{}"), 400)]
#[case::bad_method("PUT", "/sweep/00000000000000fe", "secret", Some("{}"), 405)]
fn bad_calls_get_a_clear_status(
    #[case] method: &str,
    #[case] path: &str,
    #[case] key: &str,
    #[case] body: Option<&str>,
    #[case] expected: u16,
) {
    let c = Cluster::new(0, 1);
    let (status, _) = c.daemons[0].call(method, path, key, body.map(str::as_bytes));
    assert_eq!(status, expected);
}

#[test]
fn a_long_text_and_a_large_body_are_refused() {
    let c = Cluster::new(0, 1);
    assert_eq!(c.daemons[0].submit(3, &job(&"x".repeat(4_001), 1)), 400);
    let large = vec![b' '; 300_000];
    let (status, _) = c.daemons[0].call("POST", "/sweep/00000000000000fd", "secret", Some(&large));
    assert_eq!(status, 413);
}

#[test]
fn a_key_that_was_removed_is_refused_everywhere() {
    let mut c = Cluster::new(0, 2);
    c.configure("other");
    for daemon in &c.daemons {
        wait_until("the refusal", || {
            daemon.call("GET", "/sweep/", "secret", None).0 == 401
        });
        assert_eq!(daemon.call("GET", "/sweep/", "other", None).0, 200);
    }
}

#[test]
fn a_daemon_without_the_store_learns_the_configuration_from_a_peer() {
    let mut c = Cluster::new(0, 2);
    let cut_off = 1 - c.owner();
    // The daemon must have learned its peers and the shared secret before the store is out of reach.
    assert_eq!(
        c.daemons[cut_off].call("GET", "/sweep/", "secret", None).0,
        200
    );
    c.daemons[cut_off].endpoint.set(Behaviour::Unavailable);
    c.configure("other");
    wait_until("the refusal", || {
        c.daemons[cut_off].call("GET", "/sweep/", "secret", None).0 == 401
    });
}

#[test]
fn a_daemon_without_the_store_still_accepts_jobs() {
    let c = Cluster::new(1, 2);
    let cut_off = 1 - c.owner();
    c.daemons[cut_off].endpoint.set(Behaviour::Unavailable);
    assert_eq!(c.daemons[cut_off].submit(4, &job("run_ms=100", 1)), 200);
    wait_until("completion", || c.daemons[cut_off].state(4) == "completed");
}

#[test]
fn without_the_store_jobs_are_refused_at_once_and_never_run() {
    let c = Cluster::new(1, 2);
    for daemon in &c.daemons {
        daemon.endpoint.set(Behaviour::Unavailable);
    }
    let (status, retry_after, _) = c.daemons[0].call_with_retry_after(
        "POST",
        "/sweep/0000000000000005",
        "secret",
        Some(job("", 1).to_string().as_bytes()),
    );
    assert_eq!(status, 503);
    assert!(
        retry_after.is_some(),
        "the answer doesn't say when to try again"
    );
    for daemon in &c.daemons {
        daemon.endpoint.set(Behaviour::Normal);
    }
    wait_until("the store", || c.daemons[0].state(5) == "410");
    assert_eq!(c.count_starts(), 0);
}

/// Guards against starts beyond a worker's capacity: the owner used registry entries of any age on
/// workers that refuse nothing.
#[test]
fn workers_that_refuse_nothing_get_starts_when_their_heartbeats_arrive() {
    let mut c = Cluster::new(1, 1);
    c.stop_enforcing("other");
    wait_until("the configuration", || {
        c.daemons[0].call("GET", "/sweep/", "other", None).0 == 200
    });
    let body = job("run_ms=100", 2).to_string();
    let path = "/sweep/0000000000000009";
    let (status, _) = c.daemons[0].call("POST", path, "other", Some(body.as_bytes()));
    assert_eq!(status, 200);
    let completed = || {
        let (_, body) = c.daemons[0].call("GET", path, "other", None);
        body["state"] == "completed"
    };
    assert!(!completed());
    assert_eq!(c.count_starts(), 0);
    wait_until("completion", || {
        c.workers[0].register();
        completed()
    });
    assert_eq!(c.count_starts(), 2);
}

#[test]
fn a_commit_whose_answer_is_lost_is_read_back() {
    let c = Cluster::new(1, 1);
    c.daemons[0].endpoint.set(Behaviour::LosesAnswers);
    let status = std::thread::scope(|s| {
        let submit = s.spawn(|| c.daemons[0].submit(6, &job("run_ms=100", 1)));
        std::thread::sleep(Duration::from_millis(400));
        c.daemons[0].endpoint.set(Behaviour::Normal);
        submit.join().expect("no panic")
    });
    assert_eq!(status, 200);
    wait_until("completion", || c.daemons[0].state(6) == "completed");
    assert_eq!(c.count_starts(), 1);
}

#[test]
fn a_slow_store_does_not_end_the_ownership() {
    let c = Cluster::new(1, 2);
    let owner = c.owner();
    for daemon in &c.daemons {
        daemon.endpoint.set(Behaviour::Slow);
    }
    std::thread::sleep(Duration::from_secs(4));
    for daemon in &c.daemons {
        daemon.endpoint.set(Behaviour::Normal);
    }
    let metrics = c.daemons[owner].metrics();
    assert!(
        metrics.lines().any(|l| l == "marigoldglade_term 1"),
        "another owner followed"
    );
}

#[test]
fn running_tasks_continue_when_the_owner_is_killed() {
    let mut c = Cluster::new(2, 3);
    let owner = c.owner();
    let other = (owner + 1) % 3;
    assert_eq!(c.daemons[other].submit(7, &job("run_ms=5000", 4)), 200);
    wait_until("the starts", || c.count_starts() == 4);
    let killed = c.daemons.remove(owner);
    drop(killed);
    wait_until("completion", || c.daemons[0].state(7) == "completed");
    assert_eq!(c.count_starts(), 4, "a task was started again");
}

#[test]
fn a_start_whose_answer_is_lost_runs_once() {
    let c = Cluster::new(1, 1);
    c.workers[0].drop_start_answers(1);
    assert_eq!(c.daemons[0].submit(8, &job("run_ms=1500", 1)), 200);
    wait_until("completion", || c.daemons[0].state(8) == "completed");
    assert_eq!(c.count_starts(), 1);
}

#[test]
fn tasks_of_a_worker_that_restarted_run_again() {
    let c = Cluster::new(1, 1);
    assert_eq!(c.daemons[0].submit(9, &job("run_ms=1500", 2)), 200);
    wait_until("the starts", || c.count_starts() == 2);
    c.workers[0].restart();
    wait_until("completion", || c.daemons[0].state(9) == "completed");
    assert_eq!(c.count_starts(), 4);
}

#[test]
fn a_filler_beside_a_task_that_serves_users_is_slowed_down() {
    let c = Cluster::new(1, 1);
    let serving = json!({"spec": "run_ms=60000 tail_ms=20+100", "steps": [
        {"count": 1, "cpu": 500, "mem_mb": 256, "long_running": true, "target_ms": 50, "image": "web"}]});
    let filler = json!({"spec": "run_ms=60000", "steps": [
        {"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 60000, "fills": true}]});
    assert_eq!(c.daemons[0].submit(13, &serving), 200);
    assert_eq!(c.daemons[0].submit(14, &filler), 200);
    wait_until("the slower filler", || {
        c.workers[0].filler_paces().iter().any(|pace| *pace < 100)
    });
}

#[test]
fn a_step_with_advice_runs_only_on_workers_that_the_adviser_allows() {
    let c = Cluster::new(4, 1);
    let text = "run_ms=300 advised";
    let (status, _) = c.daemons[0].call(
        "POST",
        "/judged/000000000000000f",
        "secret",
        Some(job(text, 3).to_string().as_bytes()),
    );
    assert_eq!(status, 200);
    wait_until("a request to the adviser", || c.adviser.request_count() > 0);
    assert_eq!(
        c.count_starts(),
        0,
        "a task ran on a worker that is not allowed"
    );
    // The adviser never changes a refusal for a step, so only a new job can use the worker.
    c.adviser.allow("i-2");
    let path = "/judged/0000000000000010";
    let body = job(text, 3).to_string();
    let (status, _) = c.daemons[0].call("POST", path, "secret", Some(body.as_bytes()));
    assert_eq!(status, 200);
    wait_until("completion", || {
        c.daemons[0].call("GET", path, "secret", None).1["state"] == "completed"
    });
    assert_eq!(c.workers[2].started_runs().len(), 3);
    assert_eq!(c.count_starts(), 3);
}

#[test]
fn a_broken_registry_entry_hides_its_worker_and_no_other() {
    let c = Cluster::new(1, 1);
    c.store.put("servers/i-broken", b"{\"service\": 7}");
    c.store.put("servers/i-garbage", &[0xff, 0x00]);
    assert_eq!(c.daemons[0].submit(10, &job("run_ms=100", 1)), 200);
    wait_until("completion", || c.daemons[0].state(10) == "completed");
}

#[test]
fn daemons_read_the_configuration_again_when_the_store_has_dropped_its_history() {
    let mut c = Cluster::new(1, 2);
    c.store.compact();
    c.configure("third");
    c.store.compact();
    for daemon in &c.daemons {
        wait_until("the new key", || {
            daemon.call("GET", "/sweep/", "third", None).0 == 200
        });
    }
}

#[test]
fn a_cancelled_job_stops_and_is_shown_as_canceled() {
    let c = Cluster::new(1, 1);
    assert_eq!(c.daemons[0].submit(11, &job("run_ms=60000", 2)), 200);
    wait_until("the starts", || c.count_starts() == 2);
    assert_eq!(
        c.daemons[0]
            .call("DELETE", "/sweep/000000000000000b", "secret", None)
            .0,
        200
    );
    wait_until("the cancel", || c.daemons[0].state(11) == "canceled");
    assert_eq!(
        c.daemons[0]
            .call("DELETE", "/sweep/000000000000000b", "secret", None)
            .0,
        200
    );
}

#[test]
fn a_stopping_daemon_hands_over_and_answers_late_connections() {
    let mut c = Cluster::new(1, 2);
    let owner = c.owner();
    assert_eq!(c.daemons[owner].submit(12, &job("run_ms=4000", 1)), 200);
    c.daemons[owner].signal("TERM");
    wait_until("the readiness check to fail", || {
        !c.daemons[owner].is_ready()
    });
    let end = std::time::Instant::now() + Duration::from_millis(2_900);
    let mut answered = 0;
    // Connects until the listener is gone; each accepted connection must be answered.
    while std::time::Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(&c.daemons[owner].front) else {
            break;
        };
        let call = "GET /sweep/000000000000000c HTTP/1.1\r\nhost: h.example\r\nauthorization: Token secret\r\n\r\n";
        if stream.write_all(call.as_bytes()).is_err() {
            break;
        }
        let mut text = String::new();
        if stream.read_to_string(&mut text).is_err() {
            break;
        }
        assert!(
            text.starts_with("HTTP/1.1 200") || text.is_empty(),
            "{text}"
        );
        answered += usize::from(!text.is_empty());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(answered > 50, "only {answered} calls were answered");
    assert!(c.daemons[owner].wait().success());
    c.daemons.remove(owner);
    wait_until("completion", || c.daemons[0].state(12) == "completed");
    assert_eq!(c.count_starts(), 1);
}

/// After an outage the owner is sometimes a daemon on a small VM, which can't carry a large fleet.
#[test]
fn a_daemon_on_a_larger_vm_becomes_the_owner() {
    let mut c = Cluster::new(2, 1);
    assert_eq!(c.daemons[0].submit(1, &job("run_ms=6000", 3)), 200);
    let larger = c.spawn_with_cores("daemon-larger", 1.0);
    c.daemons.push(larger);
    wait_until("the handover", || c.owner() == 1);
    assert_eq!(c.daemons[0].submit(2, &job("run_ms=200", 2)), 200);
    for id in [1, 2] {
        wait_until("completion", || c.daemons[0].state(id) == "completed");
    }
    assert_eq!(c.count_starts(), 5);
}
