//! The bounded list of self-repair events.

use marigoldglade::events::{EVENT_LIMIT, Event, Kind, Recent};
use marigoldglade::plan::Action;
use marigoldglade::time::UnixMs;
use rstest::rstest;

#[rstest]
fn the_oldest_events_are_dropped_and_all_are_counted() {
    let mut recent = Recent::new();
    for n in 0..EVENT_LIMIT as u64 + 10 {
        recent.push(UnixMs(n), Event::StoreUp);
    }
    let seqs: Vec<u64> = recent.newest(usize::MAX).map(|e| e.seq).collect();
    assert_eq!(seqs.len(), EVENT_LIMIT);
    assert_eq!(
        (seqs[0], seqs[EVENT_LIMIT - 1]),
        (EVENT_LIMIT as u64 + 10, 11)
    );
    let count = recent.counts().find(|(kind, _)| *kind == Kind::StoreUp);
    assert_eq!(count, Some((Kind::StoreUp, EVENT_LIMIT as u64 + 10)));
}

#[rstest]
#[case(Action::Quarantine("w".to_owned(), UnixMs(9)), Kind::WorkerQuarantined)]
#[case(Action::Trust("w".to_owned()), Kind::WorkerTrusted)]
#[case(Action::Guarantee("a".to_owned(), 3), Kind::GuaranteeDegraded)]
#[case(Action::Guarantee("a".to_owned(), 0), Kind::GuaranteeRestored)]
fn the_planners_repairs_become_events(#[case] action: Action, #[case] kind: Kind) {
    assert_eq!(Event::from_plan(&action).map(|e| e.kind()), Some(kind));
}
