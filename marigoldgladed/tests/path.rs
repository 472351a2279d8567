//! End-to-end tests with real processes: requests, jobs, refusals, cancellation, a graceful stop.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{CONFIG, Fleet, call, job, submit, try_call, wait_for};
use marigoldglade::api::{JobView, Problem, State};
use marigoldglade::prelude::*;
use rstest::rstest;

fn problem(body: &str) -> Problem {
    serde_json::from_str(body).expect("the body is a problem")
}

#[test]
fn answers_an_idempotent_request_with_its_own_body() {
    let fleet = Fleet::start(2, 0, CONFIG);
    fleet.wait_runners();
    let url = fleet.first().url("request/helmet");
    let response = call("POST", &url, &[("mg-labels", "tier=gate")], "helmet 4711");
    assert_eq!(
        (response.status, response.body.as_str()),
        (200, "helmet 4711")
    );
}

#[test]
fn runs_a_non_idempotent_request_once_for_one_key() {
    let fleet = Fleet::start(2, 0, CONFIG);
    fleet.wait_runners();
    let before = fleet.count_runs();
    let url = fleet.first().url("request/helmet");
    let headers = [
        ("mg-idempotent", "false"),
        ("mg-caller", "foreman"),
        ("idempotency-key", "reminder-1"),
    ];
    assert_eq!(call("POST", &url, &headers, "remind").status, 200);
    let again = call("POST", &url, &headers, "remind");
    assert_eq!(problem(&again.body).kind, Kind::Duplicate);
    assert_eq!(fleet.count_runs(), before + 1);
}

#[test]
fn runs_a_gang_of_two_whole_workers() {
    let fleet = Fleet::start(0, 2, CONFIG);
    let response = submit(fleet.first(), &job("sweep-1", 2, 8, "run_ms=50"));
    assert_eq!(response.status, 201);
    let view: JobView = serde_json::from_str(&response.body).expect("a job's view");
    let done = wait_for("the end of the job", || {
        fleet.first().job(&view.id).filter(|v| v.state.ended())
    });
    assert_eq!(done.state, State::Done);
    assert_eq!(done.vms.len(), 2);
    assert_ne!(done.vms[0], done.vms[1]);
}

#[test]
fn refuses_a_job_with_an_invalid_shape() {
    let fleet = Fleet::start(0, 1, CONFIG);
    for (tasks, accels) in [(0, 8), (1, 0), (129, 1), (1, 9)] {
        let response = submit(fleet.first(), &job("bad", tasks, accels, ""));
        assert_eq!(response.status, 400, "{tasks} x {accels}");
        assert_eq!(response.run, "no");
    }
}

#[test]
fn cancels_a_running_job_once() {
    let fleet = Fleet::start(0, 1, CONFIG);
    let response = submit(fleet.first(), &job("long", 1, 4, "run_ms=600000"));
    let view: JobView = serde_json::from_str(&response.body).expect("a job's view");
    wait_for("a running job", || {
        fleet
            .first()
            .job(&view.id)
            .filter(|v| v.state == State::Running)
    });
    let url = fleet.first().url(&format!("jobs/{}", view.id));
    assert!(matches!(call("DELETE", &url, &[], "").status, 200 | 202));
    let ended = wait_for("the end of the job", || {
        fleet.first().job(&view.id).filter(|v| v.state.ended())
    });
    assert_eq!(ended.state, State::Cancelled);
}

/// With two signals it guards against requests that the second SIGTERM cut off.
#[rstest]
#[case::of_one_signal(1)]
#[case::of_two_signals(2)]
fn finishes_all_requests_on_a_graceful_stop(#[case] signals: u32) {
    let mut fleet = Fleet::start(2, 0, CONFIG);
    fleet.wait_runners();
    for runner in &fleet.runners {
        let url = format!("http://{}/control", runner.addr);
        assert_eq!(call("PUT", &url, &[], r#"{"work_ms": 1500}"#).status, 204);
    }
    let before = fleet.count_runs();
    let url = fleet.first().url("request/helmet");
    let callers: Vec<_> = (0..8)
        .map(|i| {
            let url = url.clone();
            std::thread::spawn(move || call("POST", &url, &[], &format!("check {i}")))
        })
        .collect();
    wait_for("all requests at the runners", || {
        (fleet.count_runs() == before + 8).then_some(())
    });
    for _ in 0..signals {
        fleet.daemons[0].process.signal("TERM");
        wait_for("the stop", || (!fleet.daemons[0].is_ready()).then_some(()));
    }
    for (i, caller) in callers.into_iter().enumerate() {
        let response = caller.join().expect("the caller ends");
        assert_eq!(
            (response.status, response.body),
            (200, format!("check {i}"))
        );
    }
    assert!(fleet.daemons[0].process.wait().success());
    assert!(try_call("POST", &url, &[], "late").is_none_or(|t| t.run == "no"));
}
