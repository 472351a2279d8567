//! Tests of the roster: which workers count as present while the registry's entries come back after
//! an outage of the store.

use std::collections::BTreeMap;

use marigoldglade::batch::roster::Roster;
use marigoldglade::batch::worker::{Resources, Target};
use marigoldglade::time::UnixMs;

fn target(name: &str) -> Target {
    Target {
        name: name.to_owned(),
        addr: ([127, 0, 0, 1], 9_000).into(),
        pool: "pool".to_owned(),
        dc: "dc".to_owned(),
        labels: Vec::new(),
        capacity: Resources::default(),
        draining: false,
        started_at: 1_000,
        long_leases: false,
    }
}

fn entries(names: &[&str]) -> BTreeMap<String, Target> {
    names.iter().map(|n| ((*n).to_owned(), target(n))).collect()
}

fn names(roster: &mut Roster, now: u64) -> Vec<String> {
    let mut names: Vec<String> = roster
        .present(UnixMs(now))
        .into_iter()
        .map(|t| t.name)
        .collect();
    names.sort_unstable();
    names
}

const SETTLED: UnixMs = UnixMs(3_000);

#[test]
fn an_entry_removed_with_no_outage_near_is_gone_at_once() {
    let mut roster = Roster::default();
    roster.replace(entries(&["a", "b"]), UnixMs(0));
    roster.remove("a", UnixMs(0));
    assert_eq!(names(&mut roster, 1_000), ["b"]);
    assert_eq!(roster.next_gone(), None);
}

#[test]
fn entries_that_an_outage_removed_stay_until_live_workers_are_back() {
    let mut roster = Roster::default();
    roster.replace(entries(&["a", "b"]), UnixMs(0));
    roster.remove("a", SETTLED);
    roster.remove("b", SETTLED);
    assert_eq!(names(&mut roster, 2_000), ["a", "b"]);
    assert_eq!(roster.next_gone(), Some(SETTLED));
    roster.put("a".to_owned(), target("a"));
    assert_eq!(names(&mut roster, 3_000), ["a"]);
    assert_eq!(roster.next_gone(), None);
}

#[test]
fn a_complete_reading_after_an_outage_keeps_missing_workers_for_the_same_time() {
    let mut roster = Roster::default();
    roster.replace(entries(&["a", "b"]), UnixMs(0));
    roster.replace(entries(&["b", "c"]), SETTLED);
    assert_eq!(names(&mut roster, 2_999), ["a", "b", "c"]);
    assert_eq!(names(&mut roster, 3_000), ["b", "c"]);
}

#[test]
fn workers_of_an_earlier_owner_count_only_until_entries_are_back() {
    let mut roster = Roster::default();
    roster.replace(entries(&["b"]), SETTLED);
    roster.add_absent("a".to_owned(), target("a"), SETTLED);
    roster.add_absent("b".to_owned(), target("b"), SETTLED);
    assert_eq!(names(&mut roster, 1_000), ["a", "b"]);
    assert_eq!(names(&mut roster, 3_000), ["b"]);
}

#[test]
fn a_worker_whose_entry_becomes_unreadable_is_not_kept() {
    let mut roster = Roster::default();
    roster.replace(entries(&["a", "b"]), UnixMs(0));
    roster.remove("a", SETTLED);
    roster.discard("a");
    roster.discard("b");
    assert!(names(&mut roster, 1_000).is_empty());
}

/// Each worker writes its entry about every 1.5 seconds. At 3,000 workers, the engine would otherwise
/// look at the whole fleet some hundred times a second.
#[test]
fn a_heartbeat_that_says_nothing_new_is_no_change() {
    let mut roster = Roster::default();
    assert!(roster.put("a".to_owned(), target("a")));
    assert!(!roster.put("a".to_owned(), target("a")));
    let draining = Target {
        draining: true,
        ..target("a")
    };
    assert!(roster.put("a".to_owned(), draining));
    assert!(roster.remove("a", SETTLED));
    assert!(!roster.remove("a", SETTLED));
    assert!(roster.put("a".to_owned(), target("a")));
}
