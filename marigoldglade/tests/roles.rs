//! Which data centres a daemon claims, in any order of what it learns of them.

use std::net::SocketAddr;

use marigoldglade::owner::{Candidate, Holder};
use marigoldglade::roles::{Action, Event, Roles};
use marigoldglade::store::Call;
use marigoldglade::time::UnixMs;
use rstest::rstest;

const NOW: UnixMs = UnixMs(1_000_000);

fn listed(holders: Vec<Holder>) -> Event {
    Event::Listed(holders, 5)
}

fn centres() -> Event {
    Event::Centres(vec!["kista".to_owned()])
}

fn members() -> Event {
    Event::Members(vec![Candidate {
        name: "entry-0".to_owned(),
        dc: "kista".to_owned(),
    }])
}

fn kista_holder() -> Holder {
    Holder {
        dc: "kista".to_owned(),
        name: "entry-1".to_owned(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        epoch: 4,
    }
}

/// Returns whether a daemon claims a data centre within ten seconds after these events.
fn claims(events: Vec<Event>) -> bool {
    let mut roles = Roles::new("entry-0", SocketAddr::from(([127, 0, 0, 1], 2)));
    let mut out = Vec::new();
    for event in events {
        roles.step(NOW, event, &mut out);
    }
    for i in 1..100 {
        roles.step(NOW.after(i * 100), Event::Tick, &mut out);
    }
    out.iter()
        .any(|a| matches!(a, Action::Call(_, _, Call::Grant { .. }, _)))
}

/// Guards against a data centre that never gets an owner: the store's owner keys were listed before the
/// daemon followed the data centre.
#[rstest]
#[case::listed_first(vec![listed(Vec::new()), centres(), members()])]
#[case::listed_in_an_empty_store(vec![Event::Listed(Vec::new(), 0), centres(), members()])]
#[case::listed_in_between(vec![members(), listed(Vec::new()), centres()])]
#[case::listed_last(vec![centres(), members(), listed(Vec::new())])]
#[case::known_from_a_peer(vec![listed(Vec::new()), Event::Gossip(vec![kista_holder()]), centres(), members()])]
#[case::deleted_after_the_listing(vec![
    listed(vec![kista_holder()]),
    Event::Deleted("kista".to_owned(), 6),
    centres(),
    members(),
])]
fn a_data_centre_without_an_owner_is_claimed(#[case] events: Vec<Event>) {
    assert!(claims(events));
}

#[rstest]
#[case::not_listed(vec![centres(), members()])]
#[case::listed_first(vec![listed(vec![kista_holder()]), centres(), members()])]
#[case::listed_last(vec![centres(), members(), listed(vec![kista_holder()])])]
#[case::written_after_the_listing(vec![listed(Vec::new()), Event::Put(kista_holder(), 6), centres(), members()])]
fn a_data_centre_that_may_have_an_owner_is_not_claimed(#[case] events: Vec<Event>) {
    assert!(!claims(events));
}
