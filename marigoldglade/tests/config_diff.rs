//! Differences of configurations, and the merge of edits that don't conflict.

use marigoldglade::config::{Class, Config};
use marigoldglade::config_diff::{diff, rebase};
use marigoldglade::config_edit::Edit;
use marigoldglade::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn class(name: u8, urgency: u8) -> Class {
    let text = format!("classes: [{{name: c{name}, urgency: {urgency}}}]");
    let config = Config::parse("class", &text).expect("a class parses");
    config.classes[0].clone()
}

fn config(classes: &[(u8, u8)]) -> Config {
    Config {
        classes: classes.iter().map(|(n, u)| class(*n, *u)).collect(),
        ..Config::default()
    }
}

fn shown(old: &Config, new: &Config) -> String {
    let changes: Vec<String> = diff(old, new).iter().map(ToString::to_string).collect();
    changes.join(" ")
}

#[rstest]
#[case(&[(1, 1)], &[(1, 1)], "")]
#[case(&[(1, 1)], &[(1, 2)], "classes.c1: changed")]
#[case(&[(1, 1)], &[(2, 2)], "classes.c1: removed classes.c2: added")]
#[case(&[(1, 1), (2, 2)], &[(2, 2), (1, 1)], "classes: moved")]
#[case(&[(1, 1), (2, 2)], &[(2, 2), (3, 1), (1, 1)], "classes: moved classes.c3: added")]
fn lists_what_changed(#[case] old: &[(u8, u8)], #[case] new: &[(u8, u8)], #[case] expected: &str) {
    assert_eq!(shown(&config(old), &config(new)), expected);
}

#[rstest]
#[case::both_add(&[(1, 1)], &[(1, 1), (2, 1)], &[(3, 1), (1, 1)], Some(&[(3, 1), (1, 1), (2, 1)][..]))]
#[case::change_and_remove(&[(1, 1), (2, 1)], &[(1, 3), (2, 1)], &[(1, 1)], Some(&[(1, 3)][..]))]
#[case::same_edit(&[(1, 1)], &[(1, 2)], &[(1, 2)], Some(&[(1, 2)][..]))]
#[case::move_and_change(&[(1, 1), (2, 1)], &[(2, 1), (1, 1)], &[(1, 1), (2, 5)], Some(&[(2, 5), (1, 1)][..]))]
#[case::same_item(&[(1, 1)], &[(1, 2)], &[(1, 3)], None)]
#[case::change_of_removed(&[(1, 1)], &[(1, 2)], &[], None)]
#[case::both_move(&[(1, 1), (2, 1), (3, 1)], &[(2, 1), (1, 1), (3, 1)], &[(1, 1), (3, 1), (2, 1)], None)]
fn merges_edits_that_do_not_conflict(
    #[case] base: &[(u8, u8)],
    #[case] ours: &[(u8, u8)],
    #[case] theirs: &[(u8, u8)],
    #[case] merged: Option<&[(u8, u8)]>,
) {
    let result = rebase(&config(base), &config(ours), &config(theirs));
    assert_eq!(result.ok(), merged.map(config));
}

fn any_config() -> impl Strategy<Value = Config> {
    let classes = prop::collection::btree_map(0..6_u8, 0..4_u8, 0..6);
    classes
        .prop_map(|c| c.into_iter().collect::<Vec<_>>())
        .prop_shuffle()
        .prop_map(|c| config(&c))
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A merge keeps both sides' edits, and a merge with an unchanged side gives the other side.
    #[test]
    fn merging_loses_no_edit(base in any_config(), ours in any_config(), theirs in any_config()) {
        prop_assert!(diff(&base, &base).is_empty());
        prop_assert_eq!(rebase(&base, &ours, &base), Ok(ours.clone()));
        prop_assert_eq!(rebase(&base, &base, &theirs), Ok(theirs.clone()));
        if let Ok(merged) = rebase(&base, &ours, &theirs) {
            let all = diff(&base, &merged);
            for change in diff(&base, &ours).iter().chain(&diff(&base, &theirs)) {
                let moved = change.name.is_empty();
                prop_assert!(moved || all.contains(change), "{change} is lost");
            }
        }
    }
}

#[test]
fn small_edits_keep_the_rest() {
    let old = Config::parse("old", "vms: [{name: a, drain: true}]").expect("it parses");
    let edit = |text: &str| serde_json::from_str::<Edit>(text).expect("the edit parses");
    let label = edit(r#"{"edit": "label-vm", "name": "b", "set": {"zone": "x"}}"#);
    let new = label.apply(&old).expect("it applies");
    assert_eq!(shown(&old, &new), "vms.b: added");
    let wake = edit(r#"{"edit": "drain-vm", "name": "a", "drain": false}"#);
    let new = wake.apply(&new).expect("it applies");
    assert_eq!(shown(&old, &new), "vms.a: removed vms.b: added");
    let drop = edit(r#"{"edit": "drop-workspace", "name": "a"}"#);
    assert_eq!(
        drop.apply(&new).expect_err("there is none").kind,
        Kind::NotFound
    );
    let set = edit(r#"{"edit": "set-workspace", "workspace": {"name": "a"}}"#);
    let new = set.apply(&old).expect("it applies");
    assert_eq!(shown(&old, &new), "workspaces.a: added");
}
