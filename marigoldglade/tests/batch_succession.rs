//! Tests of when an owner's order may still be sent.

use marigoldglade::batch::succession::Permit;
use rstest::rstest;

const PERMIT: Permit = Permit {
    term: 7,
    relayed: false,
    send_by: 1_000,
};

/// Guards against orders that are sent after their owner's term, or later than its successors wait.
#[rstest]
#[case::in_time(1_000, Some(7), 7, true)]
#[case::nothing_is_known(0, Some(7), 0, true)]
#[case::too_late(1_001, Some(7), 7, false)]
#[case::the_term_has_ended(0, None, 7, false)]
#[case::this_daemon_owns_a_later_term(0, Some(8), 7, false)]
#[case::a_newer_owner_is_known(0, Some(7), 8, false)]
fn an_owner_sends_its_order(
    #[case] now: u64,
    #[case] own_term: Option<u64>,
    #[case] known_term: u64,
    #[case] allowed: bool,
) {
    assert_eq!(PERMIT.allows(now, own_term, known_term), allowed);
}

#[rstest]
#[case::in_time(1_000, None, 7, true)]
#[case::this_daemon_owned_an_earlier_term(0, Some(6), 7, true)]
#[case::too_late(1_001, None, 7, false)]
#[case::a_newer_owner_is_known(0, None, 8, false)]
fn a_relay_sends_an_order(
    #[case] now: u64,
    #[case] own_term: Option<u64>,
    #[case] known_term: u64,
    #[case] allowed: bool,
) {
    let permit = Permit {
        relayed: true,
        ..PERMIT
    };
    assert_eq!(permit.allows(now, own_term, known_term), allowed);
}
