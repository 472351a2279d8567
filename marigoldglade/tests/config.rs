//! The operators' configuration: refused texts, with line and field, and the round trip through
//! the printed form.

use marigoldglade::config::{Config, TEXT_LIMIT_BYTES};
use marigoldglade::prelude::*;
use rstest::rstest;

const FULL: &str = "\
centres:
  - name: kista
    region: east
workspaces:
  - name: sweeps
    labels: {tier: slow}
    where: dc = kista
    guarantee:
      - {dc: kista, racks: 1, workers: 2, accels: 3}
    quota: 100
classes:
  - name: gate
    matches: tier = gate
    urgency: 0
    answer_ms: 300
yields: ['tier = slow', '']
services:
  - name: expiry
    where: role = runner
vms:
  - name: vm-7
    labels: {zone: a}
    drain: true
";

#[test]
fn a_full_configuration_survives_printing() {
    let config = Config::parse("a.yaml", FULL).expect("it parses");
    let text = config.to_yaml().expect("it prints");
    assert_eq!(
        Config::parse("b.yaml", &text).expect("it parses again"),
        config
    );
}

#[rstest]
#[case::syntax("centres: [", 1, "")]
#[case::unknown_field("classes:\n  - name: a\n    urgencies: 1", 3, "classes[0]")]
#[case::unknown_section("clases: []", 1, "unknown field")]
#[case::twice("centres: []\ncentres: []", 2, "centres")]
#[case::wrong_type("classes:\n  - name: a\n    urgency: high", 3, "classes[0].urgency")]
#[case::negative("workspaces:\n  - name: a\n    quota: -1", 3, "workspaces[0].quota")]
#[case::no_name("centres:\n  - region: a", 2, "missing field `name`")]
#[case::bad_selector("classes:\n  - name: a\n    matches: 'dc ='", 3, "classes[0].matches")]
#[case::bad_yield("yields:\n  - a\n  - 'b ~ c'", 3, "yields[1]")]
#[case::urgency(
    "classes:\n  - name: a\n    urgency: 10",
    3,
    "classes[0].urgency: expected 0 to 9"
)]
#[case::answer(
    "classes:\n  - name: a\n    answer_ms: 0",
    3,
    "classes[0].answer_ms: expected 1 to"
)]
#[case::grace(
    "classes:\n  - name: a\n    grace_ms: 3600001",
    3,
    "classes[0].grace_ms: expected 0"
)]
#[case::same_name(
    "centres:\n  - name: a\n  - name: a",
    3,
    "centres[1].name: expected a unique"
)]
#[case::slash(
    "workspaces:\n  - name: a/b",
    2,
    "workspaces[0].name: expected 1 to 128"
)]
#[case::empty_name("services:\n  - name: ''", 2, "services[0].name: expected 1 to 128")]
#[case::no_centre(
    "workspaces:\n- name: a\n  guarantee:\n  - {dc: b, racks: 1}",
    4,
    "guarantee[0].dc"
)]
#[case::no_block(
    "centres: [{name: b}]\nworkspaces:\n- name: a\n  guarantee:\n  - {dc: b}",
    5,
    "above zero"
)]
#[case::quota(
    "centres: [{name: b}]\nworkspaces:\n- name: a\n  guarantee: [{dc: b, workers: 1}]\n  quota: 7",
    5,
    "at least the 8"
)]
#[case::label(
    "workspaces:\n- name: a\n  labels:\n    tier: 'x y'",
    4,
    "workspaces[0].labels.tier"
)]
#[case::own_label(
    "vms:\n- name: a\n  labels:\n    dc: b",
    4,
    "vms[0].labels.dc: expected a label other"
)]
fn an_error_names_file_line_and_field(#[case] text: &str, #[case] line: u64, #[case] part: &str) {
    let e = Config::parse("fleet.yaml", text).expect_err("it is refused");
    assert_eq!(e.kind, Kind::BadInput);
    let start = format!("fleet.yaml:{line}:");
    assert!(e.detail.starts_with(&start), "{}", e.detail);
    assert!(e.detail.contains(part), "{}", e.detail);
}

#[test]
fn all_problems_are_reported_at_once() {
    let text = "classes:\n  - name: a\n    urgency: 10\n  - name: a\n    answer_ms: 0";
    let e = Config::parse("fleet.yaml", text).expect_err("it is refused");
    assert_eq!(e.detail.lines().count(), 3, "{}", e.detail);
}

#[test]
fn a_text_above_the_size_limit_is_refused() {
    let text = format!("#{}", " ".repeat(TEXT_LIMIT_BYTES));
    let e = Config::parse("fleet.yaml", &text).expect_err("it is refused");
    assert_eq!(e.kind, Kind::TooLarge);
}
