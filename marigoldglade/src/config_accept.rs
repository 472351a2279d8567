//! How a new version of the configuration is accepted: an operator's text flows in, compare-and-swap
//! calls to the store flow out, and in the end a [`Verdict`] that is true.
//!
//! A write whose answer was lost is sent again: only one copy can take effect, since each compares
//! the revision of the key and the absence of the version's history. The nonce in what stands
//! there then tells whose write it was.

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
/// Versions that the history keeps.
pub const HISTORY_LENGTH: u64 = 100;
/// The wait before a write of unknown outcome is sent again, in milliseconds.
const SETTLE_MS: u64 = 100;

/// A version's place in the order of versions.
///
/// Numbers are unique while the store keeps its promises; the nonce orders two versions of one
/// number all the same, so that daemons agree even then.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The number, one above the version before; zero is no version.
    pub number: u64,
    /// What its writer made up for it.
    pub nonce: String,
}

/// A version of the configuration, as the store and the daemons carry it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its place in the order.
    pub stamp: Stamp,
    /// Who made it.
    pub author: String,
    /// When it was proposed.
    pub at: UnixMs,
    /// What changed against the version before.
    pub changes: Vec<Change>,
    /// The YAML text.
    pub text: String,
}

impl Document {
    /// Reads a stored value; `None` when it isn't a version.
    #[must_use]
    pub fn read(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    fn write(&self) -> Vec<u8> {
        // Strings, numbers and lists always have a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Returns the key of a past version; keys sort as the numbers do.
#[must_use]
pub fn history_key(number: u64) -> Key {
    format!("{HISTORY_PREFIX}{number:020}")
}

/// What is true of a proposed version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is in the store; daemons will take it.
    Accepted(Document),
    /// Another version came first, and this one never takes effect. Holds the newest, if any.
    Conflict(Option<Document>),
    /// It wasn't written and never takes effect.
    NotWritten,
    /// It may have been written or may yet be; the history under its number will tell.
    Unknown,
}

/// What a proposal needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make this call, and tell its result.
    Call(Call),
    /// Wait until then, and call [`Proposal::resume`].
    Wait(UnixMs),
    /// It is over.
    Finish(Verdict),
}

/// The way of one version into the store.
pub struct Proposal {
    document: Document,
    /// The revision of the key that the write compares with.
    changed: Revision,
    /// Whether the write is under way, rather than the read before it.
    writing: bool,
    /// Whether a copy of the write may have taken effect.
    unsure: bool,
    end: UnixMs,
}

impl Proposal {
    /// Starts a proposal, whose number is one above its base; returns it with its first call.
    #[must_use]
    pub fn new(document: Document, end: UnixMs) -> (Self, Action) {
        let read = Txn {
            then: reads(&document),
            ..Txn::default()
        };
        let proposal = Self {
            document,
            changed: 0,
            writing: false,
            unsure: false,
            end,
        };
        (proposal, Action::Call(Call::Txn(read)))
    }

    /// Takes the result of the last call.
    pub fn step(&mut self, now: UnixMs, result: Result<&Reply, Fault>) -> Action {
        let done = match result {
            Ok(Reply {
                body: Body::Txn(done),
                ..
            }) => done,
            // An answer of another form tells nothing.
            Ok(_) | Err(Fault::Unknown) => return self.again(now, self.writing),
            Err(Fault::NotSent | Fault::Refused) => return self.again(now, false),
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

    /// Goes on after a wait.
    #[must_use]
    pub fn resume(&self) -> Action {
        Action::Call(self.write())
    }

    fn again(&mut self, now: UnixMs, unsure: bool) -> Action {
        self.unsure |= unsure;
        if !self.unsure {
            return Action::Finish(Verdict::NotWritten);
        }
        let next = now.after(SETTLE_MS);
        if self.end.passed(next) {
            return Action::Finish(Verdict::Unknown);
        }
        Action::Wait(next)
    }

    fn write(&self) -> Call {
        let number = self.document.stamp.number;
        let (past, value) = (history_key(number), self.document.write());
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

/// Reads the newest version, and the one that has the document's number.
fn reads(document: &Document) -> Vec<Op> {
    let past = history_key(document.stamp.number);
    vec![Op::Get(KEY.to_owned()), Op::Get(past)]
}

fn first(outcome: Option<&Outcome>) -> Option<&Pair> {
    match outcome {
        Some(Outcome::Pairs(pairs)) => pairs.first(),
        _ => None,
    }
}

type Head = Option<(Document, Revision)>;

fn read_both(done: &TxnResult) -> (Head, Option<Document>) {
    let head = first(done.outcomes.first());
    let head = head.and_then(|p| Some((Document::read(&p.value)?, p.changed)));
    let past = first(done.outcomes.get(1)).and_then(|p| Document::read(&p.value));
    (head, past)
}
