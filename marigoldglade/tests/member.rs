//! Membership when messages are dropped, delayed, duplicated or reordered, and when daemons pause,
//! restart or are cut off.

#[path = "member/fleet.rs"]
#[expect(dead_code, reason = "the benchmark uses more of it")]
mod fleet;

use fleet::{Fleet, Links};
use marigoldglade::member::{
    DETECT_MS, FORGET_MS, MEMBER_LIMIT, NEIGHBOUR_LIMIT, SUSPICION_MS, State, UPDATE_LIMIT,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// The time in which all views agree once faults have stopped, in milliseconds.
const SETTLE_MS: u64 = 2 * DETECT_MS;

#[rstest]
#[case(2)]
#[case(7)]
#[case(35)]
#[case(140)]
fn all_daemons_find_each_other_from_two_seeds(#[case] size: usize) {
    let mut fleet = Fleet::new(size, 7, 1);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    fleet.assert_agreed();
}

#[rstest]
#[case(7)]
#[case(35)]
#[case(140)]
fn a_death_is_known_to_all_within_the_bound(#[case] size: usize) {
    let mut fleet = Fleet::new(size, 7, 2);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    fleet.kill(1);
    fleet.run(DETECT_MS, Links::RELIABLE);
    fleet.assert_agreed();
    assert!(fleet.deaths_seen(0, 1), "a death that was noticed is told");
}

#[rstest]
fn a_leave_is_known_at_once_and_never_taken_for_a_death() {
    let mut fleet = Fleet::new(7, 3, 3);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    fleet.leave(3);
    fleet.run(SUSPICION_MS, Links::RELIABLE);
    fleet.assert_agreed();
    assert!(!fleet.deaths_seen(0, 3));
}

#[rstest]
fn the_others_agree_on_the_loss_of_a_data_centre_and_forget_it() {
    let mut fleet = Fleet::new(35, 7, 4);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    for i in (0..35).filter(|i| i % 7 == 2) {
        fleet.kill(i);
    }
    fleet.run(SETTLE_MS, Links::RELIABLE);
    fleet.assert_agreed();
    fleet.run(FORGET_MS + SETTLE_MS, Links::RELIABLE);
    fleet.assert_no_dead_remembered();
}

#[rstest]
fn replaced_daemons_are_forgotten() {
    let mut fleet = Fleet::new(14, 7, 5);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    for turn in 0..140 {
        fleet.replace(2 + turn % 12, turn % 3 == 0);
        fleet.run(2_000, Links::RELIABLE);
    }
    fleet.run(FORGET_MS + SETTLE_MS, Links::RELIABLE);
    fleet.assert_agreed();
    fleet.assert_no_dead_remembered();
}

#[rstest]
fn a_paused_daemon_refutes_its_death_when_it_resumes() {
    let mut fleet = Fleet::new(7, 3, 6);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    fleet.pause(4);
    fleet.run(DETECT_MS, Links::RELIABLE);
    assert!(fleet.deaths_seen(0, 4));
    fleet.resume(4);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    fleet.assert_agreed();
    assert!(fleet.refuted(4));
}

#[rstest]
fn a_resumed_daemon_suspects_nobody() {
    let mut fleet = Fleet::new(7, 3, 11);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    for turn in 0..10 {
        fleet.pause(4);
        fleet.run(20_000 + 100 * turn, Links::RELIABLE);
        fleet.resume_without_inbox(4);
        fleet.run(SETTLE_MS, Links::RELIABLE);
    }
    assert!((0..7).all(|i| !fleet.suspected_others(i, 4)));
    fleet.assert_agreed();
}

#[rstest]
fn a_resumed_daemon_gives_known_suspects_their_time_again() {
    let mut fleet = Fleet::new(7, 3, 13);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    fleet.pause(5);
    while fleet.state_of(4, 5) != Some(State::Suspect) {
        fleet.run(100, Links::RELIABLE);
    }
    fleet.pause(4);
    fleet.resume(5);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    fleet.resume_without_inbox(4);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    assert!(!fleet.deaths_seen(4, 5));
    fleet.assert_agreed();
}

#[rstest]
fn a_broken_link_between_two_daemons_raises_no_suspicion() {
    for other in 1..7 {
        let mut fleet = Fleet::new(7, 3, 12);
        fleet.run(SETTLE_MS, Links::RELIABLE);
        fleet.split(0, other);
        fleet.run(SETTLE_MS, Links::RELIABLE);
        assert!((0..7).all(|i| !fleet.suspected_others(i, i)));
        fleet.assert_agreed();
    }
}

#[rstest]
fn a_region_cut_off_for_an_hour_rejoins() {
    let mut fleet = Fleet::new(21, 7, 7);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    fleet.cut(|i| i % 7 < 2);
    fleet.run(3_600_000, Links::RELIABLE);
    assert_eq!(fleet.live_count(0), 6);
    assert_eq!(fleet.live_count(2), 15);
    fleet.heal();
    fleet.run(2 * SETTLE_MS, Links::RELIABLE);
    fleet.assert_agreed();
}

#[rstest]
fn a_daemon_paused_for_an_hour_revives_no_dead_members() {
    let mut fleet = Fleet::new(14, 7, 8);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    fleet.pause(5);
    for i in 6..12 {
        fleet.kill(i);
    }
    fleet.run(3_600_000, Links::RELIABLE);
    fleet.resume(5);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    fleet.assert_agreed();
}

#[rstest]
fn messages_and_links_are_bounded_at_every_fleet_size() {
    for size in [7, 35, 140] {
        let mut fleet = Fleet::new(size, 7, 9);
        fleet.run(SETTLE_MS, Links::RELIABLE);
        fleet.forget_peers();
        let before = fleet.sent_by(0);
        fleet.run(60_000, Links::RELIABLE);
        let sent = fleet.sent_by(0) - before;
        assert!(fleet.peers_of(0) <= 2 * NEIGHBOUR_LIMIT);
        assert!(fleet.most_updates() <= UPDATE_LIMIT + 2);
        // One ping a period, and an ack to each ping of another daemon.
        assert!(
            sent <= 60 * (1 + NEIGHBOUR_LIMIT),
            "{sent} messages at {size}"
        );
    }
}

#[rstest]
fn the_number_of_invented_members_is_bounded() {
    let mut fleet = Fleet::new(2, 1, 10);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    fleet.inject(0, 4 * MEMBER_LIMIT);
    assert!(fleet.known_count(0) <= MEMBER_LIMIT);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    assert_eq!(fleet.state_of(0, 1), Some(State::Alive));
}

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Replace(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Cut(usize),
    Heal,
    Leave(usize),
    Lossy(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    let who = 2..12_usize;
    prop_oneof![
        who.clone().prop_map(Fault::Kill),
        who.clone().prop_map(Fault::Replace),
        who.clone().prop_map(Fault::Restart),
        who.clone().prop_map(Fault::Pause),
        who.clone().prop_map(Fault::Resume),
        (2..6_usize).prop_map(Fault::Cut),
        Just(Fault::Heal),
        who.prop_map(Fault::Leave),
        (1..30_000_u64).prop_map(Fault::Lossy),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn views_agree_once_faults_stop(
        seed in 0..1_000_u64,
        faults in prop::collection::vec((fault(), 0..20_000_u64), 1..16),
    ) {
        let mut fleet = Fleet::new(12, 3, seed);
        fleet.run(10_000, Links::RELIABLE);
        for (fault, wait) in faults {
            match fault {
                Fault::Kill(i) => fleet.kill(i),
                Fault::Replace(i) => fleet.replace(i, false),
                Fault::Restart(i) => fleet.restart(i),
                Fault::Pause(i) => fleet.pause(i),
                Fault::Resume(i) => fleet.resume(i),
                Fault::Cut(n) => fleet.cut(|i| i % n == 0),
                Fault::Heal => fleet.heal(),
                Fault::Leave(i) => fleet.leave(i),
                Fault::Lossy(ms) => fleet.run(ms, Links::LOSSY),
            }
            fleet.run(wait, Links::LOSSY);
        }
        fleet.heal();
        for i in 0..12 {
            fleet.resume(i);
        }
        fleet.run(3 * SETTLE_MS, Links::RELIABLE);
        fleet.assert_agreed();
    }
}
