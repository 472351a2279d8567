//! Ownership under lost answers, pauses, kills, store outages and clocks that run apart.

#[path = "owner/shelf.rs"]
mod shelf;

use std::collections::BTreeMap;

use marigoldglade::owner::{Candidate, Cause, LEASE_S, ordered};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use shelf::{Shelf, Weather};

const LEASE_MS: u64 = LEASE_S as u64 * 1_000;

#[rstest]
fn one_candidate_becomes_the_owner() {
    let mut shelf = Shelf::new(6, 1);
    shelf.run(3_000, Weather::CALM);
    assert_eq!(shelf.acting().len(), 1);
    assert_eq!(shelf.key(), "kista");
    shelf.run(60_000, Weather::CALM);
    assert_eq!(shelf.started.len(), 1, "a well owner stays");
}

#[rstest]
fn a_graceful_stop_hands_over_before_the_lease_would_lapse() {
    let mut shelf = Shelf::new(6, 2);
    shelf.run(3_000, Weather::CALM);
    let first = shelf.acting()[0];
    shelf.stop(first, Weather::CALM);
    assert!(shelf.acting().is_empty(), "the old owner acts no more");
    shelf.run(LEASE_MS / 3, Weather::CALM);
    assert!(shelf.is_released(first));
    assert_eq!(shelf.acting().len(), 1);
    assert_eq!(shelf.stopped, [(first, Cause::Stopping)]);
}

#[rstest]
fn a_killed_owner_is_followed_within_its_lease_and_the_stagger() {
    let mut shelf = Shelf::new(6, 3);
    shelf.run(3_000, Weather::CALM);
    let first = shelf.acting()[0];
    shelf.kill(first);
    shelf.run(LEASE_MS + 4_000, Weather::CALM);
    assert_eq!(shelf.acting().len(), 1);
    assert!(shelf.started[1].1 > shelf.started[0].1, "the epoch grows");
}

#[rstest]
fn an_owner_keeps_on_through_a_short_outage_and_not_through_a_long_one() {
    let mut shelf = Shelf::new(6, 4);
    shelf.run(3_000, Weather::CALM);
    shelf.run(3_500, Weather::DOWN);
    assert_eq!(shelf.acting().len(), 1);
    shelf.run(1_000, Weather::CALM);
    assert_eq!(shelf.started.len(), 1);
    shelf.run(LEASE_MS, Weather::DOWN);
    assert!(shelf.acting().is_empty());
    assert_eq!(shelf.stopped.len(), 1);
    assert_eq!(shelf.stopped[0].1, Cause::Lapsed);
    shelf.run(LEASE_MS + 4_000, Weather::CALM);
    assert_eq!(shelf.acting().len(), 1);
}

#[rstest]
fn a_paused_owner_finds_itself_expired() {
    let mut shelf = Shelf::new(6, 5);
    shelf.run(3_000, Weather::CALM);
    let first = shelf.acting()[0];
    shelf.pause(first);
    shelf.run(3 * LEASE_MS, Weather::CALM);
    assert_ne!(shelf.acting(), [first]);
    shelf.resume(first);
    shelf.run(LEASE_MS, Weather::CALM);
    assert_eq!(shelf.stopped, [(first, Cause::Lapsed)]);
    assert_eq!(shelf.acting().len(), 1);
}

#[rstest]
#[case(Weather::CALM)]
#[case(Weather::SLOW)]
fn an_owner_whose_clock_is_slow_ends_before_the_next_begins(#[case] weather: Weather) {
    for seed in 0..24 {
        let mut shelf = Shelf::new(3, seed);
        for i in 0..3 {
            shelf.set_drift(i, -150);
        }
        shelf.run(9_000, weather);
        let first = shelf.acting()[0];
        shelf.cut(first);
        shelf.run(2 * LEASE_MS, Weather::CALM);
        assert_ne!(shelf.acting(), [first]);
        assert_eq!(shelf.acting().len(), 1);
    }
}

#[rstest]
fn an_owner_whose_key_was_created_without_an_answer_finds_it() {
    let mut shelf = Shelf::new(1, 6);
    shelf.lose_next();
    shelf.run(LEASE_MS / 2, Weather::CALM);
    assert_eq!(shelf.acting(), [0]);
}

fn members(centres: usize, each: usize) -> Vec<Candidate> {
    (0..centres * each)
        .map(|i| Candidate {
            name: format!("entry-{i}"),
            dc: format!("dc{}", i % centres),
        })
        .collect()
}

fn owners(centres: usize, members: &[Candidate]) -> Vec<String> {
    (0..centres)
        .map(|dc| {
            ordered(&format!("dc{dc}"), members.to_vec())[0]
                .name
                .clone()
        })
        .collect()
}

#[rstest]
fn each_data_centre_prefers_a_daemon_of_its_own() {
    let members = members(7, 5);
    let mut load = BTreeMap::new();
    for name in owners(7, &members) {
        *load.entry(name).or_insert(0) += 1;
    }
    assert_eq!(load.len(), 7);
}

#[rstest]
fn a_lost_daemon_moves_only_its_own_data_centres() {
    let members = members(7, 5);
    let before = owners(7, &members);
    for gone in &members {
        let left: Vec<Candidate> = members.iter().filter(|m| *m != gone).cloned().collect();
        for (old, new) in before.iter().zip(owners(7, &left)) {
            assert!(*old == new || *old == gone.name);
        }
    }
}

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Pause(usize, u64),
    Stop(usize),
    Storm(u64),
    Down(u64),
    Calm(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    let who = 0..5_usize;
    prop_oneof![
        1 => who.clone().prop_map(Fault::Kill),
        4 => (who.clone(), 1..40_000_u64).prop_map(|(i, ms)| Fault::Pause(i, ms)),
        1 => who.prop_map(Fault::Stop),
        4 => (1..60_000_u64).prop_map(Fault::Storm),
        3 => (1..30_000_u64).prop_map(Fault::Down),
        3 => (1..30_000_u64).prop_map(Fault::Calm),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(61),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// `Shelf::run` checks after each tick that at most one daemon would act.
    #[test]
    fn never_two_owners_and_one_in_the_end(
        seed in 0..10_000_u64,
        faults in prop::collection::vec(fault(), 1..24),
    ) {
        let mut shelf = Shelf::new(6, seed);
        for fault in faults {
            match fault {
                Fault::Kill(i) => shelf.kill(i),
                Fault::Stop(i) => shelf.stop(i, Weather::STORM),
                Fault::Storm(ms) => shelf.run(ms, Weather::STORM),
                Fault::Down(ms) => shelf.run(ms, Weather::DOWN),
                Fault::Calm(ms) => shelf.run(ms, Weather::CALM),
                Fault::Pause(i, ms) => {
                    shelf.pause(i);
                    shelf.run(ms, Weather::STORM);
                    shelf.resume(i);
                }
            }
        }
        shelf.run(3 * LEASE_MS, Weather::CALM);
        prop_assert_eq!(shelf.acting().len(), 1);
    }
}
