//! Jobs under faults: each accepted job ends once, and no task starts twice unless its job is
//! idempotent.

#[path = "support/first_fit.rs"]
mod first_fit;
#[path = "support/store.rs"]
mod store;
#[path = "support/world.rs"]
mod world;

use marigoldglade::api::{JobSpec, Shape, State};
use marigoldglade::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use world::{Simulation, Step};

fn spec(key: &str, tasks: u16, accels: u8, idempotent: bool, body: &str) -> JobSpec {
    JobSpec {
        workspace: "register".to_owned(),
        key: key.to_owned(),
        labels: Labels::new(),
        shape: Shape { tasks, accels },
        checkpoint: false,
        idempotent,
        run_ms: 0,
        deadline: UnixMs::MAX,
        body: body.to_owned(),
    }
}

fn state(sim: &Simulation, key: &str) -> State {
    let id = format!("{}/register/{key}", world::DC);
    let found = sim.store.records().find(|(i, _)| *i == id);
    found.expect("the job has a record").1.state
}

/// Returns the job of a number. Numbers repeat in a schedule, so that jobs are submitted again.
fn numbered(n: u16) -> JobSpec {
    let fail = if n % 11 == 3 { " fail" } else { "" };
    let body = format!("run_ms={}{fail}", 100 + u64::from(n) * 149);
    let accels = [1, 2, 3, 5, 8][usize::from(n % 5)];
    spec(
        &format!("j{n}"),
        1 + n % 4,
        accels,
        n.is_multiple_of(3),
        &body,
    )
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..40_u16).prop_map(|n| Step::Submit(numbered(n))),
        3 => (0..64_usize).prop_map(Step::Cancel),
        2 => (0..2_usize).prop_map(Step::Kill),
        2 => (0..2_usize, 500..20_000_u64).prop_map(|(n, ms)| Step::Freeze(n, ms)),
        1 => (500..15_000_u64).prop_map(Step::StoreDown),
        1 => (0..4_usize).prop_map(Step::Restart),
        1 => (0..4_usize).prop_map(Step::Replace),
        1 => (0..4_usize, 100..5_000_u64).prop_map(|(n, ms)| Step::Refuse(n, ms)),
        1 => (0..4_usize, 100..30_000_u64).prop_map(|(n, ms)| Step::Cut(n, ms)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_accepted_job_ends_once_under_any_schedule(
        seed in any::<u64>(),
        faulty in 0..30_u32,
        acts in prop::collection::vec((0..2_500_u64, step()), 1..50),
    ) {
        let mut sim = Simulation::new(seed, 2, 4, faulty);
        sim.run(sim.now.after(2_000));
        for (gap, act) in acts {
            sim.run(sim.now.after(gap));
            sim.apply(act);
        }
        sim.heal();
        sim.run(sim.now.after(150_000));
        sim.check_settled();
    }
}

#[test]
fn a_job_without_faults_is_done_once() {
    let mut sim = Simulation::new(1, 1, 4, 0);
    sim.run(sim.now.after(2_000));
    sim.submit(spec("sweep", 4, 8, false, "run_ms=3000"));
    sim.run(sim.now.after(10_000));
    assert_eq!(state(&sim, "sweep"), State::Done);
    sim.check_settled();
}

#[test]
fn a_long_job_outlasts_a_store_outage_of_an_hour() {
    let mut sim = Simulation::new(2, 2, 4, 0);
    sim.run(sim.now.after(2_000));
    sim.submit(spec("scan", 4, 8, false, "run_ms=5400000"));
    sim.submit(spec("short", 1, 8, false, "run_ms=60000"));
    sim.run(sim.now.after(5_000));
    assert_eq!(state(&sim, "scan"), State::Starting);
    sim.apply(Step::StoreDown(3_600_000));
    sim.run(sim.now.after(1_000));
    sim.submit(spec("late", 1, 1, true, ""));
    sim.run(sim.now.after(20_000));
    let (_, answer) = sim.answers.last().expect("an answer");
    assert_eq!(answer.as_ref().map_err(|e| e.kind), Err(Kind::StoreDown));
    sim.run(sim.now.after(5_700_000));
    assert_eq!(state(&sim, "scan"), State::Done);
    sim.check_settled();
}

#[test]
fn a_thousand_cancels_cost_a_bounded_number_of_writes() {
    let mut sim = Simulation::new(3, 1, 4, 0);
    sim.run(sim.now.after(2_000));
    for n in 0..1_000 {
        sim.submit(spec(&format!("c{n}"), 1, 8, true, "run_ms=9000000"));
    }
    sim.run(sim.now.after(10_000));
    let before = sim.store.writes;
    for id in sim.order.clone() {
        sim.cancel(&id);
    }
    sim.run(sim.now.after(30_000));
    // A thousand ends and four cancels of running jobs, at most 60 in a transaction.
    assert!(sim.store.writes - before <= 1_000_u64.div_ceil(60) + 8);
    assert!(
        sim.store
            .records()
            .all(|(_, r)| r.state == State::Cancelled)
    );
    sim.check_settled();
}

#[test]
fn writes_in_a_flood_of_submits_are_bounded_by_time() {
    let mut sim = Simulation::new(4, 1, 0, 0);
    sim.run(sim.now.after(2_000));
    let before = sim.store.writes;
    for n in 0..10_000 {
        sim.submit(spec(&format!("f{n}"), 1, 8, true, ""));
    }
    for _ in 0..10 {
        let since = sim.store.writes;
        sim.run(sim.now.after(1_000));
        // A gap of 20 ms between transactions allows 50 a second.
        assert!(sim.store.writes - since <= 51);
    }
    assert!(sim.store.writes - before <= 10_000_u64.div_ceil(60) + 1);
    assert_eq!(sim.accepted.len(), 10_000);
}

#[test]
fn a_cancel_that_races_the_finish_leaves_one_end() {
    for gap in 0..60 {
        let mut sim = Simulation::new(gap, 1, 1, 0);
        sim.run(sim.now.after(2_000));
        sim.submit(spec("race", 1, 8, false, "run_ms=500"));
        sim.run(sim.now.after(gap * 20));
        sim.apply(Step::Cancel(0));
        sim.run(sim.now.after(10_000));
        assert!(matches!(
            state(&sim, "race"),
            State::Done | State::Cancelled
        ));
        sim.check_settled();
    }
}

#[test]
fn a_duplicate_submit_gives_the_same_job_and_another_spec_is_refused() {
    let mut sim = Simulation::new(6, 1, 1, 0);
    sim.run(sim.now.after(2_000));
    let first = spec("twice", 1, 1, false, "run_ms=100");
    sim.submit(first.clone());
    sim.submit(first.clone());
    sim.run(sim.now.after(3_000));
    sim.submit(first);
    sim.run(sim.now.after(100));
    assert_eq!(sim.answers.iter().filter(|(_, a)| a.is_ok()).count(), 3);
    sim.submit(spec("twice", 2, 1, false, "run_ms=100"));
    let (_, answer) = sim.answers.last().expect("an answer");
    assert_eq!(answer.as_ref().map_err(|e| e.kind), Err(Kind::Duplicate));
    sim.check_settled();
}
