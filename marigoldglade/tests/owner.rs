//! Ownership under lost answers, pauses, killed daemons, store outages and clocks that differ.

#[path = "owner/shelf.rs"]
mod shelf;

use std::collections::BTreeMap;

use marigoldglade::owner::{Candidate, Cause, LEASE_S, rank_candidates};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use shelf::{Cluster, Network};

const LEASE_MS: u64 = LEASE_S as u64 * 1_000;

#[rstest]
fn one_candidate_becomes_the_owner() {
    let mut cluster = Cluster::new(6, 1);
    cluster.run(3_000, Network::HEALTHY);
    assert_eq!(cluster.acting().len(), 1);
    assert_eq!(cluster.key(), "kista");
    cluster.run(60_000, Network::HEALTHY);
    assert_eq!(cluster.started.len(), 1, "a healthy owner stays");
}

#[rstest]
fn a_graceful_stop_hands_over_before_the_lease_would_expire() {
    let mut cluster = Cluster::new(6, 2);
    cluster.run(3_000, Network::HEALTHY);
    let first = cluster.acting()[0];
    cluster.stop(first, Network::HEALTHY);
    assert!(cluster.acting().is_empty(), "the old owner no longer acts");
    cluster.run(LEASE_MS / 3, Network::HEALTHY);
    assert!(cluster.is_released(first));
    assert_eq!(cluster.acting().len(), 1);
    assert_eq!(cluster.stopped, [(first, Cause::Stopping)]);
}

#[rstest]
fn a_killed_owner_is_replaced_within_its_lease_and_the_stagger() {
    let mut cluster = Cluster::new(6, 3);
    cluster.run(3_000, Network::HEALTHY);
    let first = cluster.acting()[0];
    cluster.kill(first);
    cluster.run(LEASE_MS + 4_000, Network::HEALTHY);
    assert_eq!(cluster.acting().len(), 1);
    assert!(
        cluster.started[1].1 > cluster.started[0].1,
        "the epoch grows"
    );
}

#[rstest]
fn an_owner_keeps_on_through_a_short_outage_and_not_through_a_long_one() {
    let mut cluster = Cluster::new(6, 4);
    cluster.run(3_000, Network::HEALTHY);
    cluster.run(3_500, Network::DOWN);
    assert_eq!(cluster.acting().len(), 1);
    cluster.run(1_000, Network::HEALTHY);
    assert_eq!(cluster.started.len(), 1);
    cluster.run(LEASE_MS, Network::DOWN);
    assert!(cluster.acting().is_empty());
    assert_eq!(cluster.stopped.len(), 1);
    assert_eq!(cluster.stopped[0].1, Cause::Lapsed);
    cluster.run(LEASE_MS + 4_000, Network::HEALTHY);
    assert_eq!(cluster.acting().len(), 1);
}

#[rstest]
fn a_paused_owner_finds_itself_expired() {
    let mut cluster = Cluster::new(6, 5);
    cluster.run(3_000, Network::HEALTHY);
    let first = cluster.acting()[0];
    cluster.pause(first);
    cluster.run(3 * LEASE_MS, Network::HEALTHY);
    assert_ne!(cluster.acting(), [first]);
    cluster.resume(first);
    cluster.run(LEASE_MS, Network::HEALTHY);
    assert_eq!(cluster.stopped, [(first, Cause::Lapsed)]);
    assert_eq!(cluster.acting().len(), 1);
}

#[rstest]
#[case(Network::HEALTHY)]
#[case(Network::SLOW)]
fn an_owner_whose_clock_is_slow_ends_before_the_next_begins(#[case] network: Network) {
    for seed in 0..24 {
        let mut cluster = Cluster::new(3, seed);
        for i in 0..3 {
            cluster.set_drift(i, -150);
        }
        cluster.run(9_000, network);
        let first = cluster.acting()[0];
        cluster.cut(first);
        cluster.run(2 * LEASE_MS, Network::HEALTHY);
        assert_ne!(cluster.acting(), [first]);
        assert_eq!(cluster.acting().len(), 1);
    }
}

#[rstest]
fn an_owner_whose_key_was_created_without_an_answer_finds_it() {
    let mut cluster = Cluster::new(1, 6);
    cluster.lose_next();
    cluster.run(LEASE_MS / 2, Network::HEALTHY);
    assert_eq!(cluster.acting(), [0]);
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
            rank_candidates(&format!("dc{dc}"), members.to_vec())[0]
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

    /// `Cluster::run` checks after each tick that at most one daemon takes itself for the owner.
    #[test]
    fn there_are_never_two_owners_and_one_at_the_end(
        seed in 0..10_000_u64,
        faults in prop::collection::vec(fault(), 1..24),
    ) {
        let mut cluster = Cluster::new(6, seed);
        for fault in faults {
            match fault {
                Fault::Kill(i) => cluster.kill(i),
                Fault::Stop(i) => cluster.stop(i, Network::LOSSY),
                Fault::Storm(ms) => cluster.run(ms, Network::LOSSY),
                Fault::Down(ms) => cluster.run(ms, Network::DOWN),
                Fault::Calm(ms) => cluster.run(ms, Network::HEALTHY),
                Fault::Pause(i, ms) => {
                    cluster.pause(i);
                    cluster.run(ms, Network::LOSSY);
                    cluster.resume(i);
                }
            }
        }
        cluster.run(3 * LEASE_MS, Network::HEALTHY);
        prop_assert_eq!(cluster.acting().len(), 1);
    }
}
