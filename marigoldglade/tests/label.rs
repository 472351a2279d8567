//! Selectors: which texts parse, and what they match.

use marigoldglade::prelude::*;
use rstest::rstest;

fn labels(pairs: &[(&str, &str)]) -> Labels {
    pairs
        .iter()
        .map(|(k, v)| (k.to_string(), v.to_string()))
        .collect()
}

#[rstest]
#[case("", true)]
#[case("dc = kista", true)]
#[case("dc == kista", true)]
#[case("dc != kista", false)]
#[case("tier in (gate, crew)", true)]
#[case("tier notin (gate, crew)", false)]
#[case("tier", true)]
#[case("!draining", true)]
#[case("!tier", false)]
#[case("absent != x", true)]
#[case("dc = kista, tier in (gate), !draining", true)]
#[case("dc = kista, tier = crew", false)]
fn matches_as_specified(#[case] text: &str, #[case] expected: bool) {
    let selector = Selector::parse(text).expect("the selector parses");
    assert_eq!(
        selector.matches(&labels(&[("dc", "kista"), ("tier", "gate")])),
        expected
    );
    let again = Selector::parse(&selector.to_string()).expect("the printed form parses");
    assert_eq!(again, selector);
}

#[rstest]
#[case("dc =")]
#[case("= kista")]
#[case("dc in kista")]
#[case("dc in (")]
#[case("dc in ()")]
#[case("dc = a,")]
#[case("dc ~ a")]
#[case("!")]
fn refuses_malformed_selectors(#[case] text: &str) {
    let e = Selector::parse(text).expect_err("the selector is refused");
    assert_eq!(e.kind, Kind::BadInput);
}
