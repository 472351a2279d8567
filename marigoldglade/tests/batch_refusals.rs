//! Refusals of submissions: none is sent while an earlier attempt of the same submission can still take
//! effect.

#[path = "batch/world.rs"]
#[expect(dead_code, reason = "the simulation serves several test files")]
mod simulation;

use marigoldglade::batch::attempts::{ATTEMPT_MS, Attempts};
use marigoldglade::batch::engine::CallId;
use marigoldglade::batch::messages::Reply;
use marigoldglade::batch::refused::{LISTED_MS, RefusedJobs};
use marigoldglade::batch::spec::JobSpec;
use marigoldglade::time::UnixMs;
use simulation::{Simulation, job_id, spec, step};

const SHORT_MS: u64 = 500;

fn short_job() -> JobSpec {
    spec(vec![step(1, 1, SHORT_MS)])
}

/// Returns a simulation whose only worker has work for minutes.
fn overloaded(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 1, 1);
    sim.elect();
    sim.run_for(1_000);
    for n in 100..108 {
        sim.submit(n, "sweep", "w0", spec(vec![step(8, 8, 60_000)]), 60_000);
    }
    sim.run_for(500);
    sim
}

fn submit(sim: &mut Simulation, n: u64) -> CallId {
    sim.submit(n, "sweep", "w0", short_job(), SHORT_MS)
}

fn reply(sim: &Simulation, call: CallId) -> Option<Reply> {
    sim.replies.get(&call).copied()
}

fn is_refused(sim: &Simulation, call: CallId) -> bool {
    matches!(reply(sim, call), Some(Reply::Refused(_)))
}

/// A job ran whose submission was refused: its earlier write to the inbox was carried out afterwards.
#[test]
fn a_write_to_the_inbox_has_no_effect_after_a_refusal() {
    let mut sim = overloaded(71);
    let item = sim.inbox_entry(1, "sweep", short_job(), SHORT_MS);
    let seen = sim.refused_changes;
    let call = submit(&mut sim, 1);
    sim.run_for(200);
    assert!(is_refused(&sim, call), "{:?}", reply(&sim, call));
    sim.store_late(item, seen);
    sim.run_for(200);
    assert!(!sim.is_stored_open(1), "a refused job is stored");
}

/// A job that was accepted into the inbox was refused, as the owner hadn't seen the entry yet.
#[test]
fn a_job_in_the_inbox_is_not_refused() {
    let mut sim = overloaded(72);
    sim.inbox_ms = 60..61;
    sim.store_submission(1, "sweep", short_job(), SHORT_MS);
    let call = submit(&mut sim, 1);
    sim.run_for(400);
    assert_eq!(reply(&sim, call), Some(Reply::Accepted));
}

/// A submission that a broken link delivered after its refusal was accepted.
#[test]
fn a_submission_that_arrives_after_its_refusal_has_no_effect() {
    let mut sim = overloaded(73);
    let call = submit(&mut sim, 1);
    sim.run_for(200);
    assert!(is_refused(&sim, call));
    for n in 100..108 {
        sim.cancel(n);
    }
    sim.run_for(3_000);
    let late = submit(&mut sim, 1);
    sim.run_for(200);
    let Some(Reply::RefusedBefore { refusal, ago_ms }) = reply(&sim, late) else {
        panic!("{:?}", reply(&sim, late));
    };
    assert!((3_000..3_500).contains(&ago_ms), "{ago_ms}");
    assert!(!sim.is_stored_open(1));
    // An attempt that began after the refusal is accepted.
    let again = sim.submit_after(refusal, 1, short_job());
    sim.run_for(200);
    assert_eq!(reply(&sim, again), Some(Reply::Accepted));
}

/// A new owner didn't know of its predecessor's refusals.
#[test]
fn a_new_owner_knows_the_refused_jobs() {
    let mut sim = overloaded(74);
    let call = submit(&mut sim, 1);
    sim.run_for(200);
    assert!(is_refused(&sim, call));
    sim.kill_newest_owner();
    sim.elect();
    sim.run_for(100);
    let late = submit(&mut sim, 1);
    sim.run_for(100);
    assert!(matches!(
        reply(&sim, late),
        Some(Reply::RefusedBefore { .. })
    ));
}

/// A refusal was sent though the store hadn't taken its announcement.
#[test]
fn a_refusal_that_cannot_be_announced_is_not_sent() {
    let mut sim = overloaded(75);
    sim.store_down = true;
    let call = submit(&mut sim, 1);
    sim.run_for(1_500);
    assert_eq!(reply(&sim, call), Some(Reply::NotOwner));
    sim.store_down = false;
    sim.store_silent = true;
    sim.run_for(1_000);
    let call = submit(&mut sim, 2);
    sim.run_for(1_500);
    assert_eq!(reply(&sim, call), Some(Reply::NotOwner));
}

#[test]
fn a_list_names_its_jobs_or_may_contain_any() {
    let id = job_id(1);
    let mut list = RefusedJobs {
        ids: vec![id],
        ..RefusedJobs::default()
    };
    assert!(list.may_contain(id));
    assert!(!list.may_contain(job_id(2)));
    list.full = true;
    assert!(list.may_contain(job_id(2)));
}

#[test]
fn refused_jobs_leave_the_list() {
    let mut sim = overloaded(76);
    submit(&mut sim, 1);
    sim.run_for(LISTED_MS + 500);
    submit(&mut sim, 2);
    sim.run_for(200);
    assert_eq!(sim.refused_jobs(), vec![job_id(2)]);
}

#[test]
fn attempts_count_until_they_are_void_or_old() {
    let mut attempts = Attempts::default();
    let (id, other) = (job_id(1), job_id(2));
    let now = UnixMs(1_000);
    let first = attempts.begin(now, id);
    assert!(!attempts.may_take_effect(id, Some(first)));
    assert!(attempts.may_take_effect(id, None));
    assert!(!attempts.may_take_effect(other, None));
    let second = attempts.begin(now, id);
    attempts.forget(id, second);
    assert!(attempts.may_take_effect(id, None), "the first one counts");
    attempts.begin(now.after(ATTEMPT_MS), other);
    assert!(!attempts.may_take_effect(id, None));
}
