//! Jobs on real processes, with daemons killed and frozen.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{CONFIG, Daemon, Fleet, call, job, submit, try_call, wait_for};
use marigoldglade::api::{JobView, State};
use marigoldglade::wire::TaskId;

fn view(body: &str) -> JobView {
    serde_json::from_str(body).expect("a job's view")
}

fn starts(fleet: &Fleet) -> Vec<TaskId> {
    let of = |p: &fleet::Process| {
        let response = call("GET", &format!("http://{}/starts", p.addr), &[], "");
        serde_json::from_str::<Vec<TaskId>>(&response.body).expect("a list of tasks")
    };
    fleet.workers.iter().flat_map(of).collect()
}

/// Returns the index of the daemon that owns the data centre, as the asked daemon knows it.
fn owner(fleet: &Fleet, asked: usize) -> Option<usize> {
    let response = try_call("GET", &fleet.daemons[asked].url("mesh"), &[], "")?;
    let mesh: serde_json::Value = serde_json::from_str(&response.body).ok()?;
    let name = mesh["owners"].as_array()?.first()?["name"].as_str()?;
    fleet.daemons.iter().position(|d| d.name == name)
}

fn in_state(daemon: &Daemon, id: &str, state: State) -> JobView {
    wait_for(&format!("{id} to be {state}"), || {
        daemon.job(id).filter(|v| v.state == state)
    })
}

#[test]
fn any_daemon_submits_shows_waits_for_and_explains_a_job() {
    let fleet = Fleet::start_many(3, 0, 2, CONFIG);
    for (i, daemon) in fleet.daemons.iter().enumerate() {
        let spec = job(&format!("sweep-{i}"), 2, 4, "run_ms=300");
        let response = submit(daemon, &spec);
        assert_eq!(response.status, 201, "{}", response.body);
        let id = view(&response.body).id;
        let other = &fleet.daemons[(i + 1) % 3];
        let again = submit(other, &spec);
        assert_eq!((again.status, view(&again.body).id), (200, id.clone()));
        let waited = call("GET", &other.url(&format!("jobs/{id}?wait=true")), &[], "");
        assert_eq!(view(&waited.body).state, State::Done, "{}", waited.body);
        let last = &fleet.daemons[(i + 2) % 3];
        let response = call("GET", &last.url(&format!("explain/{id}")), &[], "");
        let explanation: serde_json::Value = serde_json::from_str(&response.body).expect("JSON");
        let reasons = explanation["reasons"]
            .as_array()
            .expect("a list of reasons");
        assert_eq!(reasons.first().expect("a reason")["reason"], "accepted");
        assert_eq!(reasons.last().expect("a reason")["reason"], "done");
        let late = call("DELETE", &last.url(&format!("jobs/{id}")), &[], "");
        assert_eq!(view(&late.body).state, State::Done);
    }
    assert_eq!(starts(&fleet).len(), 6);
}

#[test]
fn a_job_outlives_the_daemon_that_owns_it_and_starts_once() {
    let mut fleet = Fleet::start_many(2, 0, 2, CONFIG);
    // A job that isn't idempotent is placed only inside a block of its workspace's guarantee.
    let mut spec = job("reminders", 2, 4, "run_ms=20000");
    spec.idempotent = false;
    let response = submit(fleet.first(), &spec);
    assert_eq!(response.status, 201, "{}", response.body);
    let id = view(&response.body).id;
    in_state(fleet.first(), &id, State::Running);
    let killed = wait_for("an owner", || owner(&fleet, 0));
    let left = &fleet.daemons[1 - killed];
    let (mesh, left_name) = (left.mesh, left.name.clone());
    fleet.daemons[killed].process.signal("KILL");
    fleet.daemons[killed].process.wait();
    let waited = wait_for("the end of the job", || {
        let left = &fleet.daemons[1 - killed];
        left.job(&id).filter(|v| v.state.ended())
    });
    assert_eq!(waited.state, State::Done, "{}", waited.reason);
    assert_eq!(starts(&fleet).len(), 2, "each task started once");
    // A daemon that has just started answers too.
    let fresh = fleet.start_daemon("entry-new", &[mesh]);
    let job_view = wait_for("an answer of the new daemon", || fresh.job(&id));
    assert_eq!(job_view.state, State::Done, "after {left_name}");
}

#[test]
fn a_frozen_owner_that_resumes_changes_nothing() {
    let fleet = Fleet::start_many(2, 0, 2, CONFIG);
    let spec = job("scan", 2, 8, "run_ms=25000");
    let response = submit(fleet.first(), &spec);
    let id = view(&response.body).id;
    in_state(fleet.first(), &id, State::Running);
    let frozen = wait_for("an owner", || owner(&fleet, 0));
    let awake = &fleet.daemons[1 - frozen];
    fleet.daemons[frozen].process.signal("STOP");
    wait_for("another owner", || {
        owner(&fleet, 1 - frozen).filter(|&o| o != frozen)
    });
    in_state(awake, &id, State::Running);
    fleet.daemons[frozen].process.signal("CONT");
    let ended = wait_for("the end of the job", || {
        awake.job(&id).filter(|v| v.state.ended())
    });
    assert_eq!(ended.state, State::Done, "{}", ended.reason);
    assert_eq!(starts(&fleet).len(), 2, "each task started once");
    let same = wait_for("an answer of the resumed daemon", || {
        fleet.daemons[frozen].job(&id).filter(|v| v.state.ended())
    });
    assert_eq!(same, ended);
}
