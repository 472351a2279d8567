//! Writes a new version of the configuration to the store by compare-and-swap.
//!
//! [`Proposal`] returns the calls to make, and at the end a [`Verdict`].
//!
//! A write whose answer was lost is sent again. Only one copy can take effect, since each compares
//! the revision of the key and the absence of the version's history entry. The nonce in the stored
//! entry then tells whose write took effect.

use serde::{Deserialize, Serialize};

use crate::config_diff::Change;
use crate::store::{
    Body, Call, Compare, Fault, Key, Op, Outcome, Pair, Reply, Revision, Txn, TxnResult,
};
use crate::time::UnixMs;

/// The key of the newest version.
pub const KEY: &str = "/mg/config";
/// The prefix of the keys of past versions.
pub const HISTORY_PREFIX: &str = "/mg/history/";
/// The number of versions that the history keeps.
pub const HISTORY_LENGTH: u64 = 100;
/// The wait before a write of unknown outcome is sent again, in milliseconds.
const RESEND_MS: u64 = 100;

/// A version's place in the order of versions.
///
/// Numbers are unique as long as the store loses no writes. If two versions do have the same number,
/// the nonce orders them, so that daemons still agree.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The number, one above the version before; zero means no version.
    pub number: u64,
    /// A word, chosen by the writer, that tells this version from others with its number.
    pub nonce: String,
}

/// A version of the configuration, as it is stored and sent between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The version's place in the order of versions.
    pub stamp: Stamp,
    /// The operator who wrote the version.
    pub author: String,
    /// When the version was proposed.
    pub at: UnixMs,
    /// What changed since the version before.
    pub changes: Vec<Change>,
    /// The YAML text.
    pub text: String,
}

impl Document {
    /// Decodes a stored value; `None` if it isn't a version.
    #[must_use]
    pub fn read(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    fn encode(&self) -> Vec<u8> {
        // Encoding can't fail: strings, numbers and lists always have a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Returns the key of a past version; keys sort as the numbers do.
#[must_use]
pub fn history_key(number: u64) -> Key {
    format!("{HISTORY_PREFIX}{number:020}")
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The version is in the store, and daemons will apply it.
    Accepted(Document),
    /// Another version was written first, and this one never takes effect. Holds the newest version,
    /// if there is one.
    Conflict(Option<Document>),
    /// The version wasn't written and never takes effect.
    NotWritten,
    /// The version may have been written, or may still be; the history shows which version has its
    /// number.
    Unknown,
}

/// What a proposal needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make this call, and pass its result to [`Proposal::step`].
    Call(Call),
    /// Wait until this time, and call [`Proposal::resume`].
    Wait(UnixMs),
    /// The proposal has ended.
    Finish(Verdict),
}

/// An attempt to write one version to the store.
pub struct Proposal {
    document: Document,
    /// The revision of [`KEY`] that the write compares with; zero if it doesn't exist.
    changed: Revision,
    /// Whether the last call is the write, rather than the read before it.
    writing: bool,
    /// Whether a copy of the write may have taken effect.
    unsure: bool,
    deadline: UnixMs,
}

impl Proposal {
    /// Starts to propose a document, whose number is one above that of its base version. Returns the
    /// proposal and its first action.
    #[must_use]
    pub fn new(document: Document, deadline: UnixMs) -> (Self, Action) {
        let read = Txn {
            then: reads(&document),
            ..Txn::default()
        };
        let proposal = Self {
            document,
            changed: 0,
            writing: false,
            unsure: false,
            deadline,
        };
        (proposal, Action::Call(Call::Txn(read)))
    }

    /// Takes the result of the last call and returns the next action.
    pub fn step(&mut self, now: UnixMs, result: Result<&Reply, Fault>) -> Action {
        let done = match result {
            Ok(Reply {
                body: Body::Txn(done),
                ..
            }) => done,
            // A reply of another type doesn't tell whether the call took effect.
            Ok(_) | Err(Fault::Unknown) => return self.retry(now, self.writing),
            Err(Fault::NotSent | Fault::Refused | Fault::Invalid) => return self.retry(now, false),
        };
        if self.writing && done.held {
            return Action::Finish(Verdict::Accepted(self.document.clone()));
        }
        let (head, past) = read_both(done);
        if past.is_some_and(|p| p.stamp == self.document.stamp) {
            return Action::Finish(Verdict::Accepted(self.document.clone()));
        }
        let number = head.as_ref().map_or(0, |(d, _)| d.stamp.number);
        if self.writing || number + 1 != self.document.stamp.number {
            return Action::Finish(Verdict::Conflict(head.map(|(d, _)| d)));
        }
        self.changed = head.map_or(0, |(_, changed)| changed);
        self.writing = true;
        Action::Call(self.write())
    }

    /// Sends the write again after a wait.
    #[must_use]
    pub fn resume(&self) -> Action {
        Action::Call(self.write())
    }

    /// Returns the action after a failed call; `unsure` says whether the call may be a write that
    /// took effect.
    fn retry(&mut self, now: UnixMs, unsure: bool) -> Action {
        self.unsure |= unsure;
        if !self.unsure {
            return Action::Finish(Verdict::NotWritten);
        }
        let next = now.after(RESEND_MS);
        if self.deadline.passed(next) {
            return Action::Finish(Verdict::Unknown);
        }
        Action::Wait(next)
    }

    fn write(&self) -> Call {
        let number = self.document.stamp.number;
        let (past, value) = (history_key(number), self.document.encode());
        let mut then = vec![
            Op::Put(KEY.to_owned(), value.clone(), 0),
            Op::Put(past.clone(), value, 0),
        ];
        if let Some(old) = number.checked_sub(HISTORY_LENGTH) {
            then.push(Op::Delete(history_key(old)));
        }
        Call::Txn(Txn {
            when: vec![
                Compare::Changed(KEY.to_owned(), self.changed),
                Compare::Absent(past),
            ],
            then,
            other: reads(&self.document),
        })
    }
}

/// Returns the reads of the newest version and of the one that has the document's number.
fn reads(document: &Document) -> Vec<Op> {
    let past = history_key(document.stamp.number);
    vec![Op::Get(KEY.to_owned()), Op::Get(past)]
}

fn first_pair(outcome: Option<&Outcome>) -> Option<&Pair> {
    match outcome {
        Some(Outcome::Pairs(pairs)) => pairs.first(),
        _ => None,
    }
}

/// The newest version and the revision at which it was written, if there is one.
type Head = Option<(Document, Revision)>;

/// Decodes the results of [`reads`].
fn read_both(done: &TxnResult) -> (Head, Option<Document>) {
    let head = first_pair(done.outcomes.first());
    let head = head.and_then(|p| Some((Document::read(&p.value)?, p.changed)));
    let past = first_pair(done.outcomes.get(1)).and_then(|p| Document::read(&p.value));
    (head, past)
}
