//! Tests of how a runner's slots and connections are split among daemons.

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

    /// The parts of daemons that know the same members add up to the runner's slots.
    #[test]
    fn parts_add_up_to_the_slots(runner in "[a-z]{1,8}", n in 1..12_usize, total in 0..40_u16) {
        let members = members(n);
        for policy in [slots::split, slots::all_to_one] {
            let parts = members.iter().map(|m| policy(&runner, &members, m, total));
            prop_assert_eq!(parts.sum::<u16>(), total);
        }
    }

    /// While some daemons know of a member that others don't, the parts exceed the slots by at
    /// most the largest part of the split among fewer members.
    #[test]
    fn limits_the_excess_while_member_lists_differ(runner in "[a-z]{1,8}", n in 2..12_usize, mask: u16) {
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
fn limits_the_connections_of_all_daemons(#[case] members: usize, #[case] each: u16) {
    assert_eq!(slots::connection_limit(members), each);
    assert!(each * members as u16 <= slots::RUNNER_CONNECTIONS);
}
