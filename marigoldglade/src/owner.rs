//! One daemon's candidacy for, and ownership of, one data centre's placement.
//!
//! [`Ownership::step`] takes an [`Event`] (a tick, the members or a reply of the store) and appends
//! the resulting [`Action`]s: calls to the store, and the start, renewal and end of this daemon's
//! ownership. Ownership is a key of the store that is created if absent and bound to a lease (Gray
//! and Cheriton, SOSP 1989). The revision that created the key is the epoch, which grows from owner
//! to owner and fences what earlier owners still send. The owner counts its lease from before each
//! renewal was sent, less a margin, and asks [`Ownership::may_act`] before each use, so that an
//! owner that was paused finds its lease expired.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::store::{
    Body, Call, Compare, Fault, Op, Outcome, Pair, Reply, Revision, Txn, TxnResult,
};
use crate::time::{SECOND_MS, UnixMs};

/// The prefix of the keys that hold owners, followed by the data centre.
pub const PREFIX: &str = "/mg/owner/";
/// The time to live of an owner's lease, in seconds.
pub const LEASE_S: u32 = 10;
/// The time by which an owner ends before its lease, for clocks that run apart, in milliseconds.
pub const CLOCK_MARGIN_MS: u64 = 2_000;
/// The time between renewals, in milliseconds.
pub const RENEW_INTERVAL_MS: u64 = 3_000;
/// The time to wait after a call that failed, in milliseconds.
pub const RETRY_DELAY_MS: u64 = 1_000;
/// The time that a call to the store may take, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 1_500;
/// The time that a candidate waits for each one ranked before it, in milliseconds.
pub const STAGGER_MS: u64 = 300;
/// The further time that a candidate waits for each data centre that it owns already, in
/// milliseconds.
pub const LOAD_DELAY_MS: u64 = 1_200;
/// The time for which a candidate inside the data centre must be alive before an owner outside
/// it hands over, in milliseconds.
pub const HANDBACK_DELAY_MS: u64 = 30_000;

/// The owner of a data centre's placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The data centre that is owned.
    pub dc: String,
    /// The owning daemon.
    pub name: String,
    /// The daemon's mesh address.
    pub addr: SocketAddr,
    /// The revision that created the owner's key.
    #[serde(default)]
    pub epoch: Revision,
}

impl Holder {
    /// Parses a holder from its key and value in the store; `None` when they aren't a holder.
    #[must_use]
    pub fn from_pair(pair: &Pair) -> Option<Self> {
        let dc = pair.key.strip_prefix(PREFIX)?;
        let holder: Self = serde_json::from_slice(&pair.value).ok()?;
        (holder.dc == dc).then_some(Self {
            epoch: pair.created,
            ..holder
        })
    }
}

/// A daemon that may own a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The daemon's name.
    pub name: String,
    /// The data centre that the daemon runs in.
    pub dc: String,
}

/// Why an ownership ended.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, PartialEq, Eq, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The lease expired without a renewal.
    Lapsed,
    /// The store said that the lease is gone.
    LeaseGone,
    /// The daemon stops.
    Stopping,
    /// A candidate inside the data centre takes over.
    HandedBack,
}

/// What happens to an ownership.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The living daemons, this one among them.
    Members(Vec<Candidate>),
    /// The number of data centres that this daemon owns.
    OwnedCount(usize),
    /// The holder in the owner key, as a read or a watch saw it; `None` when the key is absent.
    KeySeen(Option<Holder>),
    /// The outcome of the call with this number.
    Reply(u64, std::result::Result<Reply, Fault>),
    /// Release the ownership and don't claim it again.
    Stop,
}

/// What the daemon does for an ownership, or is notified of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call the store until the deadline and pass the outcome back with the number.
    Call(u64, Call, UnixMs),
    /// This daemon owns the data centre in this epoch until the time given.
    Started(Revision, UnixMs),
    /// The ownership was renewed until the time given.
    Renewed(UnixMs),
    /// This daemon no longer owns the data centre.
    Stopped(Cause),
    /// This daemon or another one holds the owner key.
    HolderSeen(Holder),
}

/// How far this daemon is in claiming, holding or releasing the ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Granting,
    Creating {
        lease: i64,
        expires_at: UnixMs,
    },
    Holding {
        lease: i64,
        epoch: Revision,
        expires_at: UnixMs,
    },
    Releasing {
        lease: i64,
        expires_at: UnixMs,
    },
}

/// A call to the store that awaits its reply.
struct InFlight {
    id: u64,
    sent_at: UnixMs,
    deadline: UnixMs,
}

/// One daemon's part in the ownership of one data centre.
pub struct Ownership {
    me: Holder,
    phase: Phase,
    flight: Option<InFlight>,
    next_id: u64,
    /// The earliest time of the next call.
    next_call: UnixMs,
    /// When the key was first seen absent; `None` when it is held or unknown.
    vacant_since: Option<UnixMs>,
    /// The living candidates, the preferred one first.
    candidates: Vec<Candidate>,
    /// The number of data centres that this daemon owns.
    owned: usize,
    /// When a candidate inside the data centre first appeared; `None` when there is none or this
    /// daemon is inside too.
    better_since: Option<UnixMs>,
    stopping: bool,
}

impl Ownership {
    /// Makes an idle candidacy that hasn't seen the owner key.
    #[must_use]
    pub fn new(dc: &str, name: &str, addr: SocketAddr) -> Self {
        let me = Holder {
            dc: dc.to_owned(),
            name: name.to_owned(),
            addr,
            epoch: 0,
        };
        Self {
            me,
            phase: Phase::Idle,
            flight: None,
            next_id: 0,
            next_call: UnixMs(0),
            vacant_since: None,
            candidates: Vec::new(),
            owned: 0,
            better_since: None,
            stopping: false,
        }
    }

    /// Returns the data centre.
    #[must_use]
    pub fn dc(&self) -> &str {
        &self.me.dc
    }

    /// Returns whether this daemon owns the data centre at `now`.
    #[must_use]
    pub fn may_act(&self, now: UnixMs) -> bool {
        self.held().is_some_and(|(_, expires_at)| now < expires_at)
    }

    /// Returns the epoch of this daemon's ownership and when it expires.
    #[must_use]
    pub fn held(&self) -> Option<(Revision, UnixMs)> {
        match self.phase {
            Phase::Holding {
                epoch, expires_at, ..
            } => Some((epoch, expires_at)),
            _ => None,
        }
    }

    /// Returns whether nothing is left to do after [`Event::Stop`].
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.stopping && self.phase == Phase::Idle
    }

    /// Handles one event at `now`.
    pub fn step(&mut self, now: UnixMs, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Members(members) => {
                self.candidates = rank_candidates(&self.me.dc, members);
                self.update_better(now);
            }
            Event::OwnedCount(count) => self.owned = count,
            Event::KeySeen(holder) => self.handle_seen(now, holder, out),
            Event::Reply(id, outcome) => self.handle_reply(now, id, outcome, out),
            Event::Stop => self.stopping = true,
        }
        self.advance(now, out);
    }

    fn update_better(&mut self, now: UnixMs) {
        let outside = self
            .candidates
            .iter()
            .any(|c| c.name == self.me.name && c.dc != self.me.dc);
        let inside = self.candidates.first().is_some_and(|c| c.dc == self.me.dc);
        self.better_since = match self.better_since {
            Some(since) if outside && inside => Some(since),
            None if outside && inside => Some(now),
            _ => None,
        };
    }

    fn handle_seen(&mut self, now: UnixMs, holder: Option<Holder>, out: &mut Vec<Action>) {
        match holder {
            Some(holder) => {
                self.vacant_since = None;
                out.push(Action::HolderSeen(holder));
            }
            None => self.vacant_since = self.vacant_since.or(Some(now)),
        }
    }

    fn advance(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if self.flight.as_ref().is_some_and(|f| f.deadline.passed(now)) {
            self.flight = None;
            self.next_call = now;
        }
        self.end_ownership(now, out);
        if self.flight.is_none() && self.next_call.passed(now) {
            self.call(now, out);
        }
    }

    fn end_ownership(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let Phase::Holding {
            lease, expires_at, ..
        } = self.phase
        else {
            if let Phase::Creating { lease, expires_at } = self.phase
                && (expires_at.passed(now) || self.stopping)
            {
                self.release(now, lease, expires_at);
            }
            return;
        };
        let handback = self
            .better_since
            .is_some_and(|b| b.after(HANDBACK_DELAY_MS).passed(now));
        let cause = if expires_at.passed(now) {
            Cause::Lapsed
        } else if self.stopping {
            Cause::Stopping
        } else if handback {
            Cause::HandedBack
        } else {
            return;
        };
        out.push(Action::Stopped(cause));
        self.better_since = None;
        self.release(now, lease, expires_at);
    }

    /// Begins to revoke the lease, which deletes the key, so that the next owner needn't wait until
    /// the lease expires.
    fn release(&mut self, now: UnixMs, lease: i64, expires_at: UnixMs) {
        self.flight = None;
        self.next_call = now;
        self.phase = Phase::Releasing {
            lease,
            expires_at: expires_at.after(CLOCK_MARGIN_MS),
        };
    }

    fn call(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let call = match self.phase {
            Phase::Idle if self.may_claim(now) => {
                self.phase = Phase::Granting;
                Call::Grant { ttl_s: LEASE_S }
            }
            Phase::Idle => return,
            Phase::Granting => Call::Grant { ttl_s: LEASE_S },
            Phase::Creating { lease, .. } => self.build_create_call(lease),
            Phase::Holding { lease, .. } => Call::Renew { lease },
            Phase::Releasing { expires_at, .. } if expires_at.passed(now) => {
                self.phase = Phase::Idle;
                return;
            }
            Phase::Releasing { lease, .. } => Call::Revoke { lease },
        };
        self.next_id += 1;
        let deadline = now.after(CALL_TIMEOUT_MS);
        self.flight = Some(InFlight {
            id: self.next_id,
            sent_at: now,
            deadline,
        });
        out.push(Action::Call(self.next_id, call, deadline));
    }

    fn may_claim(&self, now: UnixMs) -> bool {
        let Some(rank) = self.candidates.iter().position(|c| c.name == self.me.name) else {
            return false;
        };
        let wait = rank as u64 * STAGGER_MS + self.owned as u64 * LOAD_DELAY_MS;
        !self.stopping && self.vacant_since.is_some_and(|v| v.after(wait).passed(now))
    }

    /// Returns the call that creates the key if it is absent. The call may be repeated, since the
    /// lease in the key shows who created it.
    fn build_create_call(&self, lease: i64) -> Call {
        let key = format!("{PREFIX}{}", self.me.dc);
        let value = serde_json::to_vec(&self.me).unwrap_or_default();
        Call::Txn(Txn {
            when: vec![Compare::Absent(key.clone())],
            then: vec![Op::Put(key.clone(), value, lease), Op::Get(key.clone())],
            other: vec![Op::Get(key)],
        })
    }

    fn handle_reply(
        &mut self,
        now: UnixMs,
        id: u64,
        outcome: std::result::Result<Reply, Fault>,
        out: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flight.take_if(|f| f.id == id) else {
            return;
        };
        let Ok(reply) = outcome else {
            self.handle_failure(now);
            return;
        };
        match (self.phase, reply.body) {
            (Phase::Granting, Body::Lease { lease, ttl_s }) if ttl_s > 0 => {
                let expires_at = lease_expiry(flight.sent_at, ttl_s);
                self.phase = Phase::Creating { lease, expires_at };
                self.next_call = now;
            }
            (Phase::Creating { lease, expires_at }, Body::Txn(done)) => {
                self.handle_created(now, (lease, expires_at), &done, out);
            }
            (Phase::Holding { lease, epoch, .. }, Body::Lease { ttl_s, .. }) => {
                self.handle_renewed(now, (lease, epoch), (flight.sent_at, ttl_s), out);
            }
            (Phase::Releasing { .. }, Body::Revoked) => self.phase = Phase::Idle,
            _ => self.handle_failure(now),
        }
    }

    fn handle_failure(&mut self, now: UnixMs) {
        self.next_call = now.after(RETRY_DELAY_MS);
        // A lease that may have been granted holds no key and expires by itself.
        if self.phase == Phase::Granting {
            self.phase = Phase::Idle;
        }
    }

    fn handle_created(
        &mut self,
        now: UnixMs,
        (lease, expires_at): (i64, UnixMs),
        done: &TxnResult,
        out: &mut Vec<Action>,
    ) {
        let pair = done.outcomes.iter().find_map(|o| match o {
            Outcome::Pairs(pairs) => pairs.first(),
            _ => None,
        });
        let Some(pair) = pair else {
            self.handle_failure(now);
            return;
        };
        self.handle_seen(now, Holder::from_pair(pair), out);
        if pair.lease != lease {
            self.release(now, lease, expires_at);
            return;
        }
        if expires_at.passed(now) {
            self.release(now, lease, expires_at);
            return;
        }
        let epoch = pair.created;
        self.phase = Phase::Holding {
            lease,
            epoch,
            expires_at,
        };
        self.next_call = now.after(RENEW_INTERVAL_MS);
        out.push(Action::Started(epoch, expires_at));
    }

    fn handle_renewed(
        &mut self,
        now: UnixMs,
        (lease, epoch): (i64, Revision),
        (sent, ttl_s): (UnixMs, u32),
        out: &mut Vec<Action>,
    ) {
        if ttl_s == 0 {
            self.phase = Phase::Idle;
            self.next_call = now;
            out.push(Action::Stopped(Cause::LeaseGone));
            return;
        }
        let expires_at = lease_expiry(sent, ttl_s);
        self.phase = Phase::Holding {
            lease,
            epoch,
            expires_at,
        };
        self.next_call = sent.after(RENEW_INTERVAL_MS);
        out.push(Action::Renewed(expires_at));
    }
}

/// Returns when an owner whose lease call was sent at `sent` stops acting on the lease.
fn lease_expiry(sent: UnixMs, ttl_s: u32) -> UnixMs {
    sent.after(u64::from(ttl_s) * SECOND_MS)
        .before(CLOCK_MARGIN_MS)
}

/// Returns the candidates for a data centre, the preferred one first: those inside it come before
/// those outside, and each group is ordered by rendezvous hashing (Thaler and Ravishankar, 1998),
/// so that a change of members moves few data centres.
#[must_use]
pub fn rank_candidates(dc: &str, mut members: Vec<Candidate>) -> Vec<Candidate> {
    let seed = xxh3_64_with_seed(dc.as_bytes(), 0);
    members.sort_by_cached_key(|c| {
        let weight = xxh3_64_with_seed(c.name.as_bytes(), seed);
        (c.dc != dc, std::cmp::Reverse(weight), c.name.clone())
    });
    members
}
