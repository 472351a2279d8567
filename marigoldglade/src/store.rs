//! The interface to the platform's key-value service, called the store.
//!
//! A [`Call`] gives a [`Reply`] or a [`Fault`]. The calls follow etcd v3: revisions,
//! compare-and-swap transactions, leases, and watches from a revision. [`Port`] hides
//! behind a closure how calls are made.

use serde::{Deserialize, Serialize};

use crate::budget::Cost;
use crate::time::UnixMs;

/// A key; keys are compared as bytes.
pub type Key = String;

/// A revision of the whole store, which grows with each change of any key.
pub type Revision = u64;

/// A key with its value and revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// The key under which the value is stored.
    pub key: Key,
    /// The value, at most 1 MB.
    pub value: Vec<u8>,
    /// The revision that created the key.
    pub created: Revision,
    /// The revision that last changed the key.
    pub changed: Revision,
    /// The lease that the key is bound to; zero is none.
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
    /// Runs a nested transaction.
    Txn(Box<Txn>),
}

/// A transaction: runs `then` if all conditions hold, or else `other`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions, all of which must hold.
    pub when: Vec<Compare>,
    /// The operations that run when all conditions hold.
    pub then: Vec<Op>,
    /// The operations that run when a condition doesn't hold.
    pub other: Vec<Op>,
}

/// One call to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Runs a transaction; a single get, put or delete is a transaction without conditions.
    Txn(Txn),
    /// Reads up to `limit` keys with a prefix, starting after the key `after`.
    Range {
        /// The prefix.
        prefix: Key,
        /// The last key of the previous page; empty for the first page.
        after: Key,
        /// The most keys to return.
        limit: u32,
    },
    /// Grants a new lease.
    Grant {
        /// The time to live, in seconds.
        ttl_s: u32,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: i64,
    },
    /// Revokes a lease and deletes its keys.
    Revoke {
        /// The lease.
        lease: i64,
    },
    /// Waits for changes of keys with a prefix after a revision, until the deadline of the call.
    Watch {
        /// The prefix.
        prefix: Key,
        /// The revision after which changes are reported.
        since: Revision,
    },
}

/// The result of one operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The pairs that were read.
    Pairs(Vec<Pair>),
    /// A put or a delete was done.
    Done,
    /// The result of a nested transaction.
    Txn(TxnResult),
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnResult {
    /// Whether all conditions held.
    pub held: bool,
    /// The outcomes of the operations that ran, in order.
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
    /// The store's revision at the time of the reply.
    pub revision: Revision,
    /// The result of the call.
    pub body: Body,
}

/// The part of a [`Reply`] that depends on the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// The reply to [`Call::Txn`].
    Txn(TxnResult),
    /// The reply to [`Call::Range`].
    Range {
        /// The pairs in key order.
        pairs: Vec<Pair>,
        /// Whether there are more keys after the last of the pairs.
        more: bool,
    },
    /// The reply to [`Call::Grant`] and [`Call::Renew`].
    Lease {
        /// The lease.
        lease: i64,
        /// The remaining time to live, in seconds; zero when the lease no longer exists.
        ttl_s: u32,
    },
    /// The reply to [`Call::Revoke`].
    Revoked,
    /// The reply to [`Call::Watch`]: the changes in revision order, or none at the deadline.
    Changes(Vec<Change>),
    /// The reply to [`Call::Watch`] when the store no longer has the changes after that revision.
    Compacted,
}

/// Why a call gave no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call wasn't sent or was turned away unread, so it had no effect.
    NotSent,
    /// The call may have taken effect.
    Unknown,
    /// The service refused the call, which had no effect.
    Refused,
    /// The service refused the call for what it contains, and would do so again.
    Invalid,
}

/// A way to make calls to the service.
pub struct Port {
    /// Makes a call and waits for its reply until a deadline.
    #[expect(clippy::type_complexity, reason = "a closure is the whole interface")]
    pub call: Box<dyn Fn(&Call, UnixMs) -> std::result::Result<Reply, Fault> + Send + Sync>,
}

impl Txn {
    fn has_writes(&self) -> bool {
        self.then.iter().chain(&self.other).any(|op| match op {
            Op::Get(_) | Op::List(_) => false,
            Op::Put(..) | Op::Delete(_) => true,
            Op::Txn(txn) => txn.has_writes(),
        })
    }
}

impl Call {
    /// Returns whether the call counts as a write or as a read in the [budget](crate::budget).
    #[must_use]
    pub fn cost(&self) -> Cost {
        match self {
            Self::Txn(txn) if txn.has_writes() => Cost::Write,
            Self::Grant { .. } | Self::Renew { .. } | Self::Revoke { .. } => Cost::Write,
            Self::Txn(_) | Self::Range { .. } | Self::Watch { .. } => Cost::Read,
        }
    }

    /// Returns whether it does no harm if the call takes effect twice. Of two leases granted by one
    /// call, the unused one expires.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self {
            Self::Txn(txn) => !txn.has_writes(),
            _ => true,
        }
    }

    /// Returns whether the call is a watch.
    #[must_use]
    pub const fn is_watch(&self) -> bool {
        matches!(self, Self::Watch { .. })
    }
}
