//! Labels on workspaces, jobs and VMs, and the selectors that match them.
//!
//! [`Selector::parse`] reads a selector's text form, [`Selector::matches`] evaluates it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};

/// The longest selector that is accepted, in bytes.
pub const SELECTOR_LIMIT_BYTES: usize = 1_024;

/// Labels of a workspace, job or VM, by key.
pub type Labels = BTreeMap<String, String>;

/// One condition on one label.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Term {
    /// The label has this value.
    Equals(String, String),
    /// The label is absent or has another value.
    NotEquals(String, String),
    /// The label has one of these values.
    In(String, Vec<String>),
    /// The label is absent or has none of these values.
    NotIn(String, Vec<String>),
    /// The label is present.
    Exists(String),
    /// The label is absent.
    NotExists(String),
}

/// A conjunction of terms; a selector without terms matches everything.
///
/// The text form is `dc = kista, tier in (gate, crew), !draining`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector {
    /// The conditions, all of which must hold.
    pub terms: Vec<Term>,
}

impl Selector {
    /// Parses the text form.
    ///
    /// # Errors
    ///
    /// [`Kind::BadInput`] with the byte at which something else was expected, [`Kind::TooLarge`] above
    /// [`SELECTOR_LIMIT_BYTES`].
    pub fn parse(text: &str) -> Result<Self> {
        if text.len() > SELECTOR_LIMIT_BYTES {
            return Err(Error::new(
                Kind::TooLarge,
                format!("selector: expected at most {SELECTOR_LIMIT_BYTES} bytes"),
            ));
        }
        let mut parser = Parser { text, at: 0 };
        let mut terms = Vec::new();
        parser.skip_whitespace();
        while !parser.at_end() {
            terms.push(parser.term()?);
            parser.skip_whitespace();
            if parser.at_end() {
                break;
            }
            parser.expect(",")?;
            parser.skip_whitespace();
            if parser.at_end() {
                return Err(parser.error("a term after ','"));
            }
        }
        Ok(Self { terms })
    }

    /// Returns whether every term holds for `labels`.
    #[must_use]
    pub fn matches(&self, labels: &Labels) -> bool {
        self.terms.iter().all(|t| t.matches(labels))
    }
}

impl Term {
    fn matches(&self, labels: &Labels) -> bool {
        match self {
            Self::Equals(k, v) => labels.get(k) == Some(v),
            Self::NotEquals(k, v) => labels.get(k) != Some(v),
            Self::In(k, vs) => labels.get(k).is_some_and(|v| vs.contains(v)),
            Self::NotIn(k, vs) => !labels.get(k).is_some_and(|v| vs.contains(v)),
            Self::Exists(k) => labels.contains_key(k),
            Self::NotExists(k) => !labels.contains_key(k),
        }
    }
}

impl std::fmt::Display for Term {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Equals(k, v) => write!(f, "{k} = {v}"),
            Self::NotEquals(k, v) => write!(f, "{k} != {v}"),
            Self::In(k, vs) => write!(f, "{k} in ({})", vs.join(", ")),
            Self::NotIn(k, vs) => write!(f, "{k} notin ({})", vs.join(", ")),
            Self::Exists(k) => write!(f, "{k}"),
            Self::NotExists(k) => write!(f, "!{k}"),
        }
    }
}

impl std::fmt::Display for Selector {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, term) in self.terms.iter().enumerate() {
            if i > 0 {
                f.write_str(", ")?;
            }
            write!(f, "{term}")?;
        }
        Ok(())
    }
}

impl std::str::FromStr for Selector {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        Self::parse(text)
    }
}

impl TryFrom<String> for Selector {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        Self::parse(&text)
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> Self {
        selector.to_string()
    }
}

/// Returns whether a label's key or value may contain `c`.
fn is_word_char(c: char) -> bool {
    c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | '/' | ':')
}

/// Returns whether `text` can be a label's key or value: 1 to 128 bytes of letters, digits,
/// `-`, `_`, `.`, `/` and `:`.
#[must_use]
pub fn is_word(text: &str) -> bool {
    (1..=128).contains(&text.len()) && text.chars().all(is_word_char)
}

struct Parser<'a> {
    text: &'a str,
    /// The byte position of the text that isn't parsed yet.
    at: usize,
}

impl<'a> Parser<'a> {
    fn rest(&self) -> &'a str {
        &self.text[self.at..]
    }

    fn at_end(&self) -> bool {
        self.rest().is_empty()
    }

    fn skip_whitespace(&mut self) {
        self.at = self.text.len() - self.rest().trim_start().len();
    }

    fn error(&self, expected: &str) -> Error {
        Error::new(
            Kind::BadInput,
            format!(
                "selector '{}': expected {expected} at byte {}",
                self.text, self.at
            ),
        )
    }

    fn take(&mut self, token: &str) -> bool {
        let found = self.rest().starts_with(token);
        if found {
            self.at += token.len();
        }
        found
    }

    fn expect(&mut self, token: &str) -> Result<()> {
        if self.take(token) {
            return Ok(());
        }
        Err(self.error(&format!("'{token}'")))
    }

    fn word(&mut self) -> Result<String> {
        let rest = self.rest();
        let end = rest.find(|c| !is_word_char(c)).unwrap_or(rest.len());
        if end == 0 {
            return Err(self.error("a word"));
        }
        self.at += end;
        Ok(rest[..end].to_owned())
    }

    fn term(&mut self) -> Result<Term> {
        if self.take("!") {
            self.skip_whitespace();
            return Ok(Term::NotExists(self.word()?));
        }
        let key = self.word()?;
        self.skip_whitespace();
        if self.take("!=") {
            self.skip_whitespace();
            return Ok(Term::NotEquals(key, self.word()?));
        }
        if self.take("==") || self.take("=") {
            self.skip_whitespace();
            return Ok(Term::Equals(key, self.word()?));
        }
        if self.at_end() || self.rest().starts_with(',') {
            return Ok(Term::Exists(key));
        }
        let operator = self.word()?;
        match operator.as_str() {
            "in" => Ok(Term::In(key, self.list()?)),
            "notin" => Ok(Term::NotIn(key, self.list()?)),
            _ => Err(self.error("'=', '!=', 'in', 'notin' or ','")),
        }
    }

    fn list(&mut self) -> Result<Vec<String>> {
        self.skip_whitespace();
        self.expect("(")?;
        let mut words = Vec::new();
        loop {
            self.skip_whitespace();
            words.push(self.word()?);
            self.skip_whitespace();
            if self.take(")") {
                return Ok(words);
            }
            self.expect(",")?;
        }
    }
}
