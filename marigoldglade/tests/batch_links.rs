//! Tests of the relays between the owner and its workers: how they are chosen, and what happens to
//! orders when one dies, is silent, stops or is missing from the store.

use std::collections::HashMap;
use std::net::SocketAddr;

use marigoldglade::batch::engine::WorkerKey;
use marigoldglade::batch::links::{Candidate, Links, RelayKey, Route, WORKERS_PER_RELAY};
use marigoldglade::batch::messages::RelayedResponse;
use marigoldglade::batch::worker::{Order, OrderResponse, Renewal, Resources, Target};
use marigoldglade::time::UnixMs;

const NOW: UnixMs = UnixMs(1_000_000);

fn addr(i: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7_000 + i).into()
}

fn candidate(i: u16, dc: &str, cores: u32) -> Candidate {
    Candidate {
        name: format!("daemon-{i}"),
        addr: addr(i),
        dc: dc.to_owned(),
        cores,
    }
}

fn targets(count: usize, dc: &str) -> Vec<Target> {
    (0..count)
        .map(|i| Target {
            name: format!("{dc}-worker-{i}"),
            addr: ([127, 0, 0, 1], 9_000).into(),
            pool: "pool".to_owned(),
            dc: dc.to_owned(),
            labels: Vec::new(),
            capacity: Resources::default(),
            draining: false,
            started_at: 1_000,
            long_leases: false,
        })
        .collect()
}

fn order() -> Order {
    Order::Renew(Renewal {
        expires_at: 0,
        acked: 0,
        wait_ms: 1_250,
        term: 1,
        sent_at: UnixMs(0),
        is_extra: false,
    })
}

fn key(i: usize) -> WorkerKey {
    WorkerKey(u16::try_from(i).expect("few workers"))
}

/// Returns the relays of all workers.
fn routes(links: &mut Links, targets: &[Target]) -> Vec<Option<RelayKey>> {
    let route = |(i, t)| match links.route(key(i), t) {
        Route::Relay(relay) => Some(relay),
        Route::Direct => None,
    };
    targets.iter().enumerate().map(route).collect()
}

/// A data centre with three relays among five daemons.
fn three_relays() -> (Links, Vec<Target>) {
    let mut links = Links::new(NOW);
    let targets = targets(3 * WORKERS_PER_RELAY, "a");
    links.set_candidates(NOW, (0..5).map(|i| candidate(i, "a", 500)).collect());
    links.set_workers(NOW, targets.iter());
    (links, targets)
}

#[test]
fn few_workers_need_no_relay() {
    let mut links = Links::new(NOW);
    let targets = targets(WORKERS_PER_RELAY - 1, "a");
    links.set_candidates(NOW, vec![candidate(0, "a", 500)]);
    links.set_workers(NOW, targets.iter());
    assert_eq!(links.route(key(0), &targets[0]), Route::Direct);
    assert_eq!(links.in_use(), 0);
}

#[test]
fn relays_are_large_daemons_of_the_workers_data_centre_and_share_its_workers() {
    let mut links = Links::new(NOW);
    let targets = targets(4 * WORKERS_PER_RELAY, "a");
    let mut candidates: Vec<Candidate> = (0..4).map(|i| candidate(i, "a", 500)).collect();
    candidates.extend((4..20).map(|i| candidate(i, "a", 120)));
    candidates.extend((20..30).map(|i| candidate(i, "b", 1_000)));
    links.set_candidates(NOW, candidates);
    links.set_workers(NOW, targets.iter());
    let mut shares: HashMap<SocketAddr, usize> = HashMap::new();
    for relay in routes(&mut links, &targets) {
        let relay = relay.expect("a relay");
        *shares.entry(links.addr(relay)).or_default() += 1;
    }
    assert_eq!(shares.len(), 4);
    for (relay, share) in shares {
        assert!((7_000..7_004).contains(&relay.port()), "{relay} is small");
        assert!(
            (WORKERS_PER_RELAY / 2..2 * WORKERS_PER_RELAY).contains(&share),
            "{relay} has {share} workers"
        );
    }
}

#[test]
fn every_owner_chooses_the_same_relays() {
    let (mut links, targets) = three_relays();
    let mut other = Links::new(NOW);
    other.set_workers(NOW, targets.iter());
    other.set_candidates(NOW, (0..5).rev().map(|i| candidate(i, "a", 500)).collect());
    let ways = |links: &mut Links| -> Vec<SocketAddr> {
        let relays: Vec<RelayKey> = routes(links, &targets).into_iter().flatten().collect();
        relays.into_iter().map(|r| links.addr(r)).collect()
    };
    assert_eq!(ways(&mut links), ways(&mut other));
}

#[test]
fn a_relay_that_fails_moves_few_workers_of_the_others() {
    let (mut links, targets) = three_relays();
    let before = routes(&mut links, &targets);
    let gone = before[0].expect("a relay");
    links.fail(NOW, links.addr(gone));
    let after = routes(&mut links, &targets);
    assert!(after.iter().all(|r| r.is_some_and(|r| r != gone)));
    let others = before.iter().zip(&after).filter(|(b, _)| **b != Some(gone));
    let moved = others.filter(|(b, a)| b != a).count();
    assert!(
        moved <= targets.len() / 2,
        "{moved} of {} workers moved",
        targets.len()
    );
}

#[test]
fn a_silent_relay_loses_its_orders_and_its_workers_take_another_way() {
    let (mut links, targets) = three_relays();
    let relays = routes(&mut links, &targets);
    let (dead, live) = (relays[0].expect("a relay"), relays.iter().flatten());
    let live = *live.into_iter().find(|r| **r != dead).expect("another");
    links.send(NOW, dead, key(0), order(), 1_850);
    let number = links.send(NOW, live, key(1), order(), 1_850);
    let mut now = NOW;
    let mut lost = Vec::new();
    while now.since(NOW) < 1_500 {
        now = now.after(50);
        // The live relay shows that it is alive, without a response.
        let taken = links.receive(now, links.addr(live), Vec::new(), false);
        assert!(taken.is_empty());
        lost.extend(links.check(now).0);
    }
    assert_eq!(lost, [(key(0), order(), OrderResponse::Lost)]);
    assert_ne!(links.route(key(0), &targets[0]), Route::Relay(dead));
    let response = RelayedResponse {
        number,
        response: OrderResponse::Accepted(7),
    };
    let taken = links.receive(now, links.addr(live), vec![response], false);
    assert_eq!(taken, [(key(1), order(), OrderResponse::Accepted(7))]);
    // It gets orders again after a while.
    links.check(now.after(10_000));
    assert_eq!(links.route(key(0), &targets[0]), Route::Relay(dead));
}

#[test]
fn an_owner_that_was_held_up_itself_judges_no_relay() {
    let (mut links, targets) = three_relays();
    let relay = routes(&mut links, &targets)[0].expect("a relay");
    links.send(NOW, relay, key(0), order(), 1_850);
    links.check(NOW.after(50));
    // The owner was paused for five seconds; the response is there but unread.
    let now = NOW.after(5_050);
    assert_eq!(links.check(now), (Vec::new(), Vec::new()));
    assert_eq!(links.route(key(0), &targets[0]), Route::Relay(relay));
}

#[test]
fn a_response_that_comes_too_late_is_dropped() {
    let (mut links, targets) = three_relays();
    let relay = routes(&mut links, &targets)[0].expect("a relay");
    let number = links.send(NOW, relay, key(0), order(), 100);
    let mut lost = Vec::new();
    for ms in (0..=350).step_by(50) {
        lost.extend(links.check(NOW.after(ms)).0);
    }
    assert_eq!(lost.len(), 1);
    let response = RelayedResponse {
        number,
        response: OrderResponse::Accepted(7),
    };
    let taken = links.receive(NOW.after(400), links.addr(relay), vec![response], false);
    assert!(taken.is_empty());
}

#[test]
fn a_response_counts_only_from_the_relay_that_got_the_order() {
    let (mut links, targets) = three_relays();
    let relays = routes(&mut links, &targets);
    let relay = relays[0].expect("a relay");
    let other = *relays.iter().flatten().find(|r| **r != relay).expect("one");
    let number = links.send(NOW, relay, key(0), order(), 1_850);
    let response = RelayedResponse {
        number,
        response: OrderResponse::Accepted(7),
    };
    let taken = links.receive(NOW, links.addr(other), vec![response.clone()], false);
    assert!(taken.is_empty());
    let taken = links.receive(NOW, links.addr(relay), vec![response], false);
    assert_eq!(taken.len(), 1);
}

#[test]
fn a_relay_that_stops_gets_no_new_orders_but_returns_its_responses() {
    let (mut links, targets) = three_relays();
    let relay = routes(&mut links, &targets)[0].expect("a relay");
    let number = links.send(NOW, relay, key(0), order(), 1_850);
    links.receive(NOW.after(10), links.addr(relay), Vec::new(), true);
    assert_ne!(links.route(key(0), &targets[0]), Route::Relay(relay));
    let response = RelayedResponse {
        number,
        response: OrderResponse::Accepted(7),
    };
    let taken = links.receive(NOW.after(20), links.addr(relay), vec![response], true);
    assert_eq!(taken.len(), 1);
}

/// The keys of all daemons expire while the store is away and are back some seconds after its return.
#[test]
fn relays_without_a_key_are_kept_for_the_time_until_keys_are_back() {
    let (mut links, targets) = three_relays();
    let before = routes(&mut links, &targets);
    links.set_candidates(NOW, Vec::new());
    links.check(NOW.after(9_000));
    assert_eq!(routes(&mut links, &targets), before);
    links.check(NOW.after(11_000));
    assert!(routes(&mut links, &targets).iter().all(Option::is_none));
}
