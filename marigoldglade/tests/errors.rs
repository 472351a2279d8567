//! The properties of the error kinds: consistent, and the same as in the documentation.

use marigoldglade::error::Executed;
use marigoldglade::prelude::*;
use strum::IntoEnumIterator as _;

const PAGE: &str = include_str!("../../docs/interface.md");

#[test]
fn the_documentation_lists_each_kind_with_its_properties() {
    for kind in Kind::iter() {
        let p = kind.properties();
        let retry = if p.retryable {
            p.retry_ms.to_string()
        } else {
            "no".to_owned()
        };
        let row = format!(
            "| `{kind}` | {} | {} | {retry} | {} |",
            p.status, p.run, p.exit_code
        );
        assert!(PAGE.contains(&row), "the page lacks: {row}");
    }
}

#[test]
fn each_kind_has_an_error_status_and_a_failing_exit_code() {
    for kind in Kind::iter() {
        let p = kind.properties();
        assert!((400..600).contains(&p.status), "{kind}");
        assert_ne!(p.exit_code, 0, "{kind}");
        assert!(!(p.retryable && p.run == Executed::Maybe), "{kind}");
        assert_eq!(kind.to_string().parse(), Ok(kind));
    }
}
