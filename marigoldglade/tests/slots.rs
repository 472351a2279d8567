//! How slots and connections of a runner are split among daemons.

use marigoldglade::slots;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn members(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("entry-{i}")).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(42),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Daemons with one view never hold more than the slots, and use them all.
    #[test]
    fn parts_add_up(runner in "[a-z]{1,8}", n in 1..12_usize, total in 0..40_u16) {
        let members = members(n);
        for policy in [slots::split, slots::all_to_one] {
            let parts = members.iter().map(|m| policy(&runner, &members, m, total));
            prop_assert_eq!(parts.sum::<u16>(), total);
        }
    }

    /// While a member joins or leaves, daemons with either view hold at most one slot each
    /// more than the split without it allows.
    #[test]
    fn views_that_differ_by_one_stay_close(runner in "[a-z]{1,8}", n in 2..12_usize, mask: u16) {
        let (all, fewer) = (members(n), members(n - 1));
        let part = |(i, m): (usize, &String)| {
            let view = if mask >> i & 1 == 1 { &all } else { &fewer };
            slots::split(&runner, view, m, 8)
        };
        let sum: u16 = all.iter().enumerate().map(part).sum();
        let most = 8 + 8_usize.div_ceil(n - 1);
        prop_assert!(usize::from(sum) <= most, "{sum} of 8");
    }
}

#[rstest]
#[case(1, 64)]
#[case(6, 10)]
#[case(7, 9)]
fn connections_add_up(#[case] members: usize, #[case] each: u16) {
    assert_eq!(slots::connection_limit(members), each);
    assert!(each * members as u16 <= slots::RUNNER_CONNECTIONS);
}
