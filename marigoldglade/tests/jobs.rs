//! Jobs under failure: each accepted job ends once, and no body starts twice that may not.

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
use world::{Act, World};

fn spec(key: &str, tasks: u16, accels: u8, idempotent: bool, body: &str) -> JobSpec {
    JobSpec {
        workspace: "register".to_owned(),
        key: key.to_owned(),
        labels: Labels::new(),
        shape: Shape { tasks, accels },
        checkpoint: false,
        idempotent,
        run_ms: 0,
        end: UnixMs::MAX,
        body: body.to_owned(),
    }
}

fn state(world: &World, key: &str) -> State {
    let id = format!("{}/register/{key}", world::DC);
    let found = world.store.records().find(|(i, _)| *i == id);
    found.expect("the job has a record").1.state
}

/// The same number gives the same job, so that a job is submitted more than once.
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

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        8 => (0..40_u16).prop_map(|n| Act::Submit(numbered(n))),
        3 => (0..64_usize).prop_map(Act::Cancel),
        2 => (0..2_usize).prop_map(Act::Kill),
        2 => (0..2_usize, 500..20_000_u64).prop_map(|(n, ms)| Act::Freeze(n, ms)),
        1 => (500..15_000_u64).prop_map(Act::StoreDown),
        1 => (0..4_usize).prop_map(Act::Restart),
        1 => (0..4_usize).prop_map(Act::Replace),
        1 => (0..4_usize, 100..5_000_u64).prop_map(|(n, ms)| Act::Refuse(n, ms)),
        1 => (0..4_usize, 100..30_000_u64).prop_map(|(n, ms)| Act::Cut(n, ms)),
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
        acts in prop::collection::vec((0..2_500_u64, act()), 1..50),
    ) {
        let mut world = World::new(seed, 2, 4, faulty);
        world.run(world.now.after(2_000));
        for (gap, act) in acts {
            world.run(world.now.after(gap));
            world.act_on(act);
        }
        world.heal();
        world.run(world.now.after(150_000));
        world.check_settled();
    }
}

#[test]
fn a_quiet_job_is_done_once() {
    let mut world = World::new(1, 1, 4, 0);
    world.run(world.now.after(2_000));
    world.submit(spec("sweep", 4, 8, false, "run_ms=3000"));
    world.run(world.now.after(10_000));
    assert_eq!(state(&world, "sweep"), State::Done);
    world.check_settled();
}

#[test]
fn a_long_job_outlasts_a_store_outage_of_an_hour() {
    let mut world = World::new(2, 2, 4, 0);
    world.run(world.now.after(2_000));
    world.submit(spec("scan", 4, 8, false, "run_ms=5400000"));
    world.submit(spec("short", 1, 8, false, "run_ms=60000"));
    world.run(world.now.after(5_000));
    assert_eq!(state(&world, "scan"), State::Starting);
    world.act_on(Act::StoreDown(3_600_000));
    world.run(world.now.after(1_000));
    world.submit(spec("late", 1, 1, true, ""));
    world.run(world.now.after(20_000));
    let (_, told) = world.answers.last().expect("an answer");
    assert_eq!(told.as_ref().map_err(|e| e.kind), Err(Kind::StoreDown));
    world.run(world.now.after(5_700_000));
    assert_eq!(state(&world, "scan"), State::Done);
    world.check_settled();
}

#[test]
fn a_thousand_cancels_cost_a_bounded_number_of_writes() {
    let mut world = World::new(3, 1, 4, 0);
    world.run(world.now.after(2_000));
    for n in 0..1_000 {
        world.submit(spec(&format!("c{n}"), 1, 8, true, "run_ms=9000000"));
    }
    world.run(world.now.after(10_000));
    let before = world.store.writes;
    for id in world.order.clone() {
        world.cancel(&id);
    }
    world.run(world.now.after(30_000));
    // A thousand ends and four cancels of running jobs, at most 60 to a transaction.
    assert!(world.store.writes - before <= 1_000_u64.div_ceil(60) + 8);
    assert!(
        world
            .store
            .records()
            .all(|(_, r)| r.state == State::Cancelled)
    );
    world.check_settled();
}

#[test]
fn writes_in_a_flood_of_submits_are_bounded_by_time() {
    let mut world = World::new(4, 1, 0, 0);
    world.run(world.now.after(2_000));
    let before = world.store.writes;
    for n in 0..10_000 {
        world.submit(spec(&format!("f{n}"), 1, 8, true, ""));
    }
    for _ in 0..10 {
        let since = world.store.writes;
        world.run(world.now.after(1_000));
        // A gap of 20 ms between transactions allows 50 a second.
        assert!(world.store.writes - since <= 51);
    }
    assert!(world.store.writes - before <= 10_000_u64.div_ceil(60) + 1);
    assert_eq!(world.accepted.len(), 10_000);
}

#[test]
fn a_cancel_that_races_the_finish_leaves_one_end() {
    for gap in 0..60 {
        let mut world = World::new(gap, 1, 1, 0);
        world.run(world.now.after(2_000));
        world.submit(spec("race", 1, 8, false, "run_ms=500"));
        world.run(world.now.after(gap * 20));
        world.act_on(Act::Cancel(0));
        world.run(world.now.after(10_000));
        assert!(matches!(
            state(&world, "race"),
            State::Done | State::Cancelled
        ));
        world.check_settled();
    }
}

#[test]
fn a_duplicate_submit_gives_the_same_job_and_another_spec_is_refused() {
    let mut world = World::new(6, 1, 1, 0);
    world.run(world.now.after(2_000));
    let first = spec("twice", 1, 1, false, "run_ms=100");
    world.submit(first.clone());
    world.submit(first.clone());
    world.run(world.now.after(3_000));
    world.submit(first);
    world.run(world.now.after(100));
    assert_eq!(world.answers.iter().filter(|(_, a)| a.is_ok()).count(), 3);
    world.submit(spec("twice", 2, 1, false, "run_ms=100"));
    let (_, told) = world.answers.last().expect("an answer");
    assert_eq!(told.as_ref().map_err(|e| e.kind), Err(Kind::Duplicate));
    world.check_settled();
}
