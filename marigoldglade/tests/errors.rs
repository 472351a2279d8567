//! The error table: complete, consistent, and the same as the documentation's.

use marigoldglade::error::Executed;
use marigoldglade::prelude::*;
use strum::IntoEnumIterator as _;

const PAGE: &str = include_str!("../../docs/interface.md");

#[test]
fn the_page_lists_each_kind_with_its_answer() {
    for kind in Kind::iter() {
        let a = kind.properties();
        let retry = if a.retryable {
            a.retry_ms.to_string()
        } else {
            "no".to_owned()
        };
        let row = format!(
            "| `{kind}` | {} | {} | {retry} | {} |",
            a.status, a.run, a.exit_code
        );
        assert!(PAGE.contains(&row), "the page lacks: {row}");
    }
}

#[test]
fn each_answer_is_an_error_status_and_a_failing_exit_code() {
    for kind in Kind::iter() {
        let a = kind.properties();
        assert!((400..600).contains(&a.status), "{kind}");
        assert_ne!(a.exit_code, 0, "{kind}");
        assert!(!(a.retryable && a.run == Executed::Maybe), "{kind}");
        assert_eq!(kind.to_string().parse(), Ok(kind));
    }
}
