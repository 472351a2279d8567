//! Settings: which texts are refused, with the location and what was expected.

use marigoldglade::prelude::*;
use marigoldglade::settings::Settings;
use rstest::rstest;

const VALID: &str = "\
name: entry-1
dc: kista
listen: 127.0.0.1:7400
mesh: 127.0.0.1:7401
admin: 127.0.0.1:7402
store: [\"127.0.0.1:2379\"]
vm_list: 127.0.0.1:7500
mesh_key: sixteen bytes at least
";

#[test]
fn accepts_valid_settings_and_fills_in_defaults() {
    let settings = Settings::parse("f", VALID).expect("the settings are accepted");
    assert_eq!(settings.limits, Default::default());
    assert_eq!(settings.log, Default::default());
}

#[rstest]
#[case("listen: 127.0.0.1:7400", "listen: kista:7400", "f:3:9: listen")]
#[case("dc: kista", "dc: kista\ncentre: x", "f:3:1: centre: unknown field")]
#[case(
    "name: entry-1",
    "name: \"\"",
    "name: expected 1 to 128 word characters"
)]
#[case(
    "store: [\"127.0.0.1:2379\"]",
    "store: []",
    "store: expected at least one"
)]
#[case(
    "mesh_key: sixteen bytes at least",
    "mesh_key: short",
    "mesh_key: expected at least 16"
)]
#[case(
    "dc: kista",
    "dc: kista\nlimits: {queue: 0}",
    "limits.queue: expected 1 to"
)]
#[case(
    "dc: kista",
    "dc: kista\nlimits: {queue: many}",
    "f:3:17: limits.queue"
)]
#[case("dc: kista", "dc: kista\nlog: {level: loud}", "log.level")]
#[case("dc: kista\n", "", "missing field")]
fn refuses_with_location_and_expectation(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let e = Settings::parse("f", &VALID.replace(from, to)).expect_err("the settings are refused");
    assert_eq!(e.kind, Kind::BadInput);
    assert!(e.detail.contains(expected), "{}", e.detail);
}
