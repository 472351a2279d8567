//! The platform's key-value service, as the rest of the system sees it.
//!
//! A [`Call`] flows in, a [`Reply`] or a [`Fault`] flows out. [`Port`] is the narrow struct of
//! closures behind which the service, a stand-in or a test's fake stands. The calls follow etcd
//! v3: revisions, compare-and-swap transactions, leases, and watches from a revision.

use serde::{Deserialize, Serialize};

use crate::budget::Cost;
use crate::time::UnixMs;

/// A key; keys are compared as bytes.
pub type Key = String;

/// The revision of the whole store at which something happened.
pub type Revision = u64;

/// A key with its value and revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// The key.
    pub key: Key,
    /// The value, at most 1 MB.
    pub value: Vec<u8>,
    /// The revision that created the key.
    pub created: Revision,
    /// The revision that last changed it.
    pub changed: Revision,
    /// The lease it is bound to; zero is none.
    pub lease: i64,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key doesn't exist.
    Absent(Key),
    /// The key was created at this revision.
    Created(Key, Revision),
    /// The key was last changed at this revision.
    Changed(Key, Revision),
}

/// An operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Reads one key.
    Get(Key),
    /// Reads the keys with this prefix.
    List(Key),
    /// Writes a key, bound to a lease when that isn't zero.
    Put(Key, Vec<u8>, i64),
    /// Deletes a key.
    Delete(Key),
    /// Runs a transaction within the transaction.
    Txn(Box<Txn>),
}

/// Operations under conditions: all conditions hold and `then` runs, or `other` does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions, all of which must hold.
    pub when: Vec<Compare>,
    /// What runs when they hold.
    pub then: Vec<Op>,
    /// What runs when one doesn't.
    pub other: Vec<Op>,
}

/// One call to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Runs a transaction; a single get, put or delete is one without conditions.
    Txn(Txn),
    /// Reads up to `limit` keys of a prefix, after the key `after`.
    Range {
        /// The prefix.
        prefix: Key,
        /// The last key of the page before; empty at first.
        after: Key,
        /// The most keys to return.
        limit: u32,
    },
    /// Grants a lease of so many seconds.
    Grant {
        /// The time to live, in seconds.
        ttl_s: u32,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: i64,
    },
    /// Gives a lease up, deleting its keys.
    Revoke {
        /// The lease.
        lease: i64,
    },
    /// Waits for changes of a prefix after a revision, until the deadline of the call.
    Watch {
        /// The prefix.
        prefix: Key,
        /// The last revision that was seen.
        since: Revision,
    },
}

/// What one operation of a transaction gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The pairs that were read.
    Pairs(Vec<Pair>),
    /// A write was done.
    Done,
    /// A nested transaction.
    Txn(TxnResult),
}

/// What a transaction gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnResult {
    /// Whether the conditions held.
    pub held: bool,
    /// One outcome an operation that ran.
    pub outcomes: Vec<Outcome>,
}

/// A change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The pair was written.
    Put(Pair),
    /// The key was deleted at the revision.
    Deleted(Key, Revision),
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The store's revision when it answered.
    pub revision: Revision,
    /// What the call gave.
    pub body: Body,
}

/// The part of a [`Reply`] that depends on the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Of [`Call::Txn`].
    Txn(TxnResult),
    /// Of [`Call::Range`]; `more` says that keys are left.
    Range {
        /// The pairs in key order.
        pairs: Vec<Pair>,
        /// Whether keys are left after the last of them.
        more: bool,
    },
    /// Of [`Call::Grant`] and [`Call::Renew`]; zero seconds left says that the lease is gone.
    Lease {
        /// The lease.
        lease: i64,
        /// The time to live that is left, in seconds.
        ttl_s: u32,
    },
    /// Of [`Call::Revoke`].
    Revoked,
    /// Of [`Call::Watch`]: the changes in revision order, or none when the deadline came.
    Changes(Vec<Change>),
    /// Of [`Call::Watch`] when the store no longer has the revision asked for.
    Compacted,
}

/// Why a call gave no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing was sent, so nothing happened.
    NotSent,
    /// The call may have taken effect.
    Unknown,
    /// The service refused the call; nothing happened.
    Refused,
}

/// How calls reach the service.
pub struct Port {
    /// Makes a call and waits for its reply until the deadline.
    #[expect(clippy::type_complexity, reason = "a closure is the whole interface")]
    pub call: Box<dyn Fn(&Call, UnixMs) -> std::result::Result<Reply, Fault> + Send + Sync>,
}

impl Txn {
    fn writes(&self) -> bool {
        self.then.iter().chain(&self.other).any(|op| match op {
            Op::Get(_) | Op::List(_) => false,
            Op::Put(..) | Op::Delete(_) => true,
            Op::Txn(txn) => txn.writes(),
        })
    }
}

impl Call {
    /// Returns what the call costs of the store's rates.
    #[must_use]
    pub fn cost(&self) -> Cost {
        match self {
            Self::Txn(txn) if txn.writes() => Cost::Write,
            Self::Grant { .. } | Self::Renew { .. } | Self::Revoke { .. } => Cost::Write,
            Self::Txn(_) | Self::Range { .. } | Self::Watch { .. } => Cost::Read,
        }
    }

    /// Returns whether a second effect of the call does no harm; a lease that was granted twice
    /// lapses.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self {
            Self::Txn(txn) => !txn.writes(),
            _ => true,
        }
    }

    /// Returns whether the call waits for changes.
    #[must_use]
    pub const fn is_watch(&self) -> bool {
        matches!(self, Self::Watch { .. })
    }
}
