//! Membership under drop, delay, duplicates, reordering, pauses, restarts and cuts.

#[path = "member/fleet.rs"]
#[expect(dead_code, reason = "the benchmark uses more of it")]
mod fleet;

use fleet::{Fleet, Weather};
use marigoldglade::member::{
    DEGREE_LIMIT, DETECT_MS, FORGET_MS, MEMBER_LIMIT, NEWS_LIMIT, SUSPECT_MS, State,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// The time in which views settle once faults have stopped, in milliseconds.
const SETTLE_MS: u64 = 2 * DETECT_MS;

#[rstest]
#[case(2)]
#[case(7)]
#[case(35)]
#[case(140)]
fn a_fleet_finds_itself_from_two_seeds(#[case] size: usize) {
    let mut fleet = Fleet::new(size, 7, 1);
    fleet.run(SETTLE_MS, Weather::CALM);
    fleet.assert_agreed();
}

#[rstest]
#[case(7)]
#[case(35)]
#[case(140)]
fn a_dead_daemon_is_known_everywhere_within_the_bound(#[case] size: usize) {
    let mut fleet = Fleet::new(size, 7, 2);
    fleet.run(SETTLE_MS, Weather::CALM);
    fleet.kill(1);
    fleet.run(DETECT_MS, Weather::CALM);
    fleet.assert_agreed();
    assert!(fleet.deaths_seen(0, 1), "a death that was noticed is told");
}

#[rstest]
fn a_leaving_daemon_is_known_at_once_and_never_suspected() {
    let mut fleet = Fleet::new(7, 3, 3);
    fleet.run(SETTLE_MS, Weather::CALM);
    fleet.leave(3);
    fleet.run(SUSPECT_MS, Weather::CALM);
    fleet.assert_agreed();
    assert!(!fleet.deaths_seen(0, 3));
}

#[rstest]
fn a_lost_data_centre_leaves_the_rest_agreed_and_is_forgotten() {
    let mut fleet = Fleet::new(35, 7, 4);
    fleet.run(SETTLE_MS, Weather::CALM);
    for i in (0..35).filter(|i| i % 7 == 2) {
        fleet.kill(i);
    }
    fleet.run(SETTLE_MS, Weather::CALM);
    fleet.assert_agreed();
    fleet.run(FORGET_MS + SETTLE_MS, Weather::CALM);
    fleet.assert_no_ghosts();
}

#[rstest]
fn a_day_of_replacements_leaves_no_ghosts() {
    let mut fleet = Fleet::new(14, 7, 5);
    fleet.run(SETTLE_MS, Weather::CALM);
    for turn in 0..140 {
        fleet.replace(2 + turn % 12, turn % 3 == 0);
        fleet.run(2_000, Weather::CALM);
    }
    fleet.run(FORGET_MS + SETTLE_MS, Weather::CALM);
    fleet.assert_agreed();
    fleet.assert_no_ghosts();
}

#[rstest]
fn a_short_pause_is_refuted_and_a_long_one_mended() {
    let mut fleet = Fleet::new(7, 3, 6);
    fleet.run(SETTLE_MS, Weather::CALM);
    fleet.pause(4);
    fleet.run(DETECT_MS, Weather::CALM);
    assert!(fleet.deaths_seen(0, 4));
    fleet.resume(4);
    fleet.run(SETTLE_MS, Weather::CALM);
    fleet.assert_agreed();
    assert!(fleet.refuted(4));
}

#[rstest]
fn a_daemon_that_wakes_accuses_nobody() {
    let mut fleet = Fleet::new(7, 3, 11);
    fleet.run(SETTLE_MS, Weather::CALM);
    for turn in 0..10 {
        fleet.pause(4);
        fleet.run(20_000 + 100 * turn, Weather::CALM);
        fleet.resume_without_inbox(4);
        fleet.run(SETTLE_MS, Weather::CALM);
    }
    assert!((0..7).all(|i| !fleet.accuses(i, 4)));
    fleet.assert_agreed();
}

#[rstest]
fn a_daemon_that_wakes_gives_old_suspects_their_time() {
    let mut fleet = Fleet::new(7, 3, 13);
    fleet.run(SETTLE_MS, Weather::CALM);
    fleet.pause(5);
    while fleet.state_of(4, 5) != Some(State::Suspect) {
        fleet.run(100, Weather::CALM);
    }
    fleet.pause(4);
    fleet.resume(5);
    fleet.run(SETTLE_MS, Weather::CALM);
    fleet.resume_without_inbox(4);
    fleet.run(SETTLE_MS, Weather::CALM);
    assert!(!fleet.deaths_seen(4, 5));
    fleet.assert_agreed();
}

#[rstest]
fn a_broken_link_between_two_daemons_accuses_neither() {
    for other in 1..7 {
        let mut fleet = Fleet::new(7, 3, 12);
        fleet.run(SETTLE_MS, Weather::CALM);
        fleet.split(0, other);
        fleet.run(SETTLE_MS, Weather::CALM);
        assert!((0..7).all(|i| !fleet.accuses(i, i)));
        fleet.assert_agreed();
    }
}

#[rstest]
fn a_region_cut_off_for_an_hour_comes_back() {
    let mut fleet = Fleet::new(21, 7, 7);
    fleet.run(SETTLE_MS, Weather::CALM);
    fleet.cut(|i| i % 7 < 2);
    fleet.run(3_600_000, Weather::CALM);
    assert_eq!(fleet.live_count(0), 6);
    assert_eq!(fleet.live_count(2), 15);
    fleet.heal();
    fleet.run(2 * SETTLE_MS, Weather::CALM);
    fleet.assert_agreed();
}

#[rstest]
fn a_daemon_frozen_for_an_hour_brings_nobody_back() {
    let mut fleet = Fleet::new(14, 7, 8);
    fleet.run(SETTLE_MS, Weather::CALM);
    fleet.pause(5);
    for i in 6..12 {
        fleet.kill(i);
    }
    fleet.run(3_600_000, Weather::CALM);
    fleet.resume(5);
    fleet.run(SETTLE_MS, Weather::CALM);
    fleet.assert_agreed();
}

#[rstest]
fn messages_and_links_stay_bounded_as_the_fleet_grows() {
    for size in [7, 35, 140] {
        let mut fleet = Fleet::new(size, 7, 9);
        fleet.run(SETTLE_MS, Weather::CALM);
        fleet.forget_peers();
        let before = fleet.sent_by(0);
        fleet.run(60_000, Weather::CALM);
        let sent = fleet.sent_by(0) - before;
        assert!(fleet.peers_of(0) <= 2 * DEGREE_LIMIT);
        assert!(fleet.largest_news() <= NEWS_LIMIT + 2);
        // A ping a period, an answer to each ping that comes, and what goes to seeds.
        assert!(sent <= 60 * (1 + DEGREE_LIMIT), "{sent} messages at {size}");
    }
}

#[rstest]
fn a_flood_of_made_up_members_is_bounded() {
    let mut fleet = Fleet::new(2, 1, 10);
    fleet.run(SETTLE_MS, Weather::CALM);
    fleet.inject(0, 4 * MEMBER_LIMIT);
    assert!(fleet.known(0) <= MEMBER_LIMIT);
    fleet.run(SETTLE_MS, Weather::CALM);
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
    Storm(u64),
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
        (1..30_000_u64).prop_map(Fault::Storm),
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
        fleet.run(10_000, Weather::CALM);
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
                Fault::Storm(ms) => fleet.run(ms, Weather::STORM),
            }
            fleet.run(wait, Weather::STORM);
        }
        fleet.heal();
        for i in 0..12 {
            fleet.resume(i);
        }
        fleet.run(3 * SETTLE_MS, Weather::CALM);
        fleet.assert_agreed();
    }
}
