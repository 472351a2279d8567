//! Who owns a data centre's placement, as one candidate acts.
//!
//! Time, the members and the store's replies flow in, calls to the store and the start and end of
//! this daemon's ownership flow out. Ownership is a key of the store that is created if absent
//! and bound to a lease (Gray and Cheriton, SOSP 1989); the revision that created it is the epoch,
//! which grows from owner to owner and fences what older ones still send. The owner counts its
//! time from before each renewal was sent, less a margin, and asks [`Ownership::may_act`] before each
//! use, so that an owner that was paused finds itself expired.

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
/// What an owner gives away of its lease for clocks that run apart, in milliseconds.
pub const CLOCK_MARGIN_MS: u64 = 2_000;
/// The time between renewals, in milliseconds.
pub const RENEW_INTERVAL_MS: u64 = 3_000;
/// The time between tries of a call that failed, in milliseconds.
pub const RETRY_DELAY_MS: u64 = 1_000;
/// The time that a call to the store may take, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 1_500;
/// The time that a candidate leaves to each one preferred to it, in milliseconds.
pub const STAGGER_MS: u64 = 300;
/// The time that a candidate adds for each data centre it owns already, in milliseconds.
pub const LOAD_DELAY_MS: u64 = 1_200;
/// The time for which a better placed candidate must live before an owner from another data
/// centre hands over to it, in milliseconds.
pub const HANDBACK_DELAY_MS: u64 = 30_000;

/// The owner of a data centre's placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The data centre that is owned.
    pub dc: String,
    /// The daemon.
    pub name: String,
    /// Its mesh address.
    pub addr: SocketAddr,
    /// The revision that created the owner's key.
    #[serde(default)]
    pub epoch: Revision,
}

impl Holder {
    /// Reads a holder from its key in the store; `None` when it isn't one.
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
    /// Its name.
    pub name: String,
    /// The data centre it runs in.
    pub dc: String,
}

/// Why an ownership ended.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, PartialEq, Eq, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The deadline passed without a renewal.
    Lapsed,
    /// The store said that the lease is gone.
    LeaseGone,
    /// The daemon stops.
    Stopping,
    /// A candidate inside the data centre takes over.
    HandedBack,
}

/// What the filter is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The living daemons, this one among them.
    Members(Vec<Candidate>),
    /// How many data centres this daemon owns.
    OwnedCount(usize),
    /// The key in the store, as a read or a watch saw it.
    KeySeen(Option<Holder>),
    /// The outcome of the call of this number.
    Reply(u64, std::result::Result<Reply, Fault>),
    /// Give the ownership up and don't try again.
    Stop,
}

/// What the filter wants done, or tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call the store and give the outcome back under the number.
    Call(u64, Call, UnixMs),
    /// This daemon owns the data centre in this epoch until the deadline.
    Started(Revision, UnixMs),
    /// The ownership goes on until the deadline.
    Renewed(UnixMs),
    /// This daemon no longer owns the data centre.
    Stopped(Cause),
    /// Somebody owns it.
    HolderSeen(Holder),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Granting,
    Creating {
        lease: i64,
        end: UnixMs,
    },
    Holding {
        lease: i64,
        epoch: Revision,
        end: UnixMs,
    },
    Releasing {
        lease: i64,
        end: UnixMs,
    },
}

struct Flight {
    id: u64,
    sent: UnixMs,
    end: UnixMs,
}

/// One daemon's part in the ownership of one data centre.
pub struct Ownership {
    me: Holder,
    phase: Phase,
    flight: Option<Flight>,
    next_id: u64,
    /// When the next call may go out.
    next_call: UnixMs,
    /// Since when the key is known to be absent.
    vacant: Option<UnixMs>,
    order: Vec<Candidate>,
    owned: usize,
    /// Since when a candidate inside the data centre is there, while this owner is outside.
    better: Option<UnixMs>,
    stopping: bool,
}

impl Ownership {
    /// Starts idle, knowing nothing of the key.
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
            vacant: None,
            order: Vec::new(),
            owned: 0,
            better: None,
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
        self.held().is_some_and(|(_, end)| now < end)
    }

    /// Returns the epoch and the deadline of this daemon's ownership.
    #[must_use]
    pub fn held(&self) -> Option<(Revision, UnixMs)> {
        match self.phase {
            Phase::Holding { epoch, end, .. } => Some((epoch, end)),
            _ => None,
        }
    }

    /// Returns whether nothing is left to do after [`Event::Stop`].
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.stopping && self.phase == Phase::Idle
    }

    /// Takes one event at `now`.
    pub fn step(&mut self, now: UnixMs, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Members(members) => {
                self.order = rank_candidates(&self.me.dc, members);
                self.note_better(now);
            }
            Event::OwnedCount(count) => self.owned = count,
            Event::KeySeen(holder) => self.seen(now, holder, out),
            Event::Reply(id, outcome) => self.reply(now, id, outcome, out),
            Event::Stop => self.stopping = true,
        }
        self.advance(now, out);
    }

    fn note_better(&mut self, now: UnixMs) {
        let outside = self
            .order
            .iter()
            .any(|c| c.name == self.me.name && c.dc != self.me.dc);
        let inside = self.order.first().is_some_and(|c| c.dc == self.me.dc);
        self.better = match self.better {
            Some(since) if outside && inside => Some(since),
            None if outside && inside => Some(now),
            _ => None,
        };
    }

    fn seen(&mut self, now: UnixMs, holder: Option<Holder>, out: &mut Vec<Action>) {
        match holder {
            Some(holder) => {
                self.vacant = None;
                out.push(Action::HolderSeen(holder));
            }
            None => self.vacant = self.vacant.or(Some(now)),
        }
    }

    fn advance(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if self.flight.as_ref().is_some_and(|f| f.end.passed(now)) {
            self.flight = None;
            self.next_call = now;
        }
        self.end_hold(now, out);
        if self.flight.is_none() && self.next_call.passed(now) {
            self.call(now, out);
        }
    }

    fn end_hold(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let Phase::Holding { lease, end, .. } = self.phase else {
            if let Phase::Creating { lease, end } = self.phase
                && (end.passed(now) || self.stopping)
            {
                self.release(now, lease, end);
            }
            return;
        };
        let handback = self
            .better
            .is_some_and(|b| b.after(HANDBACK_DELAY_MS).passed(now));
        let cause = if end.passed(now) {
            Cause::Lapsed
        } else if self.stopping {
            Cause::Stopping
        } else if handback {
            Cause::HandedBack
        } else {
            return;
        };
        out.push(Action::Stopped(cause));
        self.better = None;
        self.release(now, lease, end);
    }

    /// Revoking the lease deletes the key, so that the next owner needn't wait for the lapse.
    fn release(&mut self, now: UnixMs, lease: i64, end: UnixMs) {
        self.flight = None;
        self.next_call = now;
        self.phase = Phase::Releasing {
            lease,
            end: end.after(CLOCK_MARGIN_MS),
        };
    }

    fn call(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let call = match self.phase {
            Phase::Idle if self.may_try(now) => {
                self.phase = Phase::Granting;
                Call::Grant { ttl_s: LEASE_S }
            }
            Phase::Idle => return,
            Phase::Granting => Call::Grant { ttl_s: LEASE_S },
            Phase::Creating { lease, .. } => self.create(lease),
            Phase::Holding { lease, .. } => Call::Renew { lease },
            Phase::Releasing { end, .. } if end.passed(now) => {
                self.phase = Phase::Idle;
                return;
            }
            Phase::Releasing { lease, .. } => Call::Revoke { lease },
        };
        self.next_id += 1;
        let end = now.after(CALL_TIMEOUT_MS);
        self.flight = Some(Flight {
            id: self.next_id,
            sent: now,
            end,
        });
        out.push(Action::Call(self.next_id, call, end));
    }

    fn may_try(&self, now: UnixMs) -> bool {
        let Some(rank) = self.order.iter().position(|c| c.name == self.me.name) else {
            return false;
        };
        let wait = rank as u64 * STAGGER_MS + self.owned as u64 * LOAD_DELAY_MS;
        !self.stopping && self.vacant.is_some_and(|v| v.after(wait).passed(now))
    }

    /// Creates the key if it is absent. The call may be repeated: the lease tells its own key.
    fn create(&self, lease: i64) -> Call {
        let key = format!("{PREFIX}{}", self.me.dc);
        let value = serde_json::to_vec(&self.me).unwrap_or_default();
        Call::Txn(Txn {
            when: vec![Compare::Absent(key.clone())],
            then: vec![Op::Put(key.clone(), value, lease), Op::Get(key.clone())],
            other: vec![Op::Get(key)],
        })
    }

    fn reply(
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
            self.failed(now);
            return;
        };
        match (self.phase, reply.body) {
            (Phase::Granting, Body::Lease { lease, ttl_s }) if ttl_s > 0 => {
                let end = deadline(flight.sent, ttl_s);
                self.phase = Phase::Creating { lease, end };
                self.next_call = now;
            }
            (Phase::Creating { lease, end }, Body::Txn(done)) => {
                self.created(now, (lease, end), &done, out);
            }
            (Phase::Holding { lease, epoch, .. }, Body::Lease { ttl_s, .. }) => {
                self.renewed(now, (lease, epoch), (flight.sent, ttl_s), out);
            }
            (Phase::Releasing { .. }, Body::Revoked) => self.phase = Phase::Idle,
            _ => self.failed(now),
        }
    }

    fn failed(&mut self, now: UnixMs) {
        self.next_call = now.after(RETRY_DELAY_MS);
        // An unknown grant holds no key; its lease lapses by itself.
        if self.phase == Phase::Granting {
            self.phase = Phase::Idle;
        }
    }

    fn created(
        &mut self,
        now: UnixMs,
        (lease, end): (i64, UnixMs),
        done: &TxnResult,
        out: &mut Vec<Action>,
    ) {
        let pair = done.outcomes.iter().find_map(|o| match o {
            Outcome::Pairs(pairs) => pairs.first(),
            _ => None,
        });
        let Some(pair) = pair else {
            self.failed(now);
            return;
        };
        self.seen(now, Holder::from_pair(pair), out);
        if pair.lease != lease {
            self.release(now, lease, end);
            return;
        }
        if end.passed(now) {
            self.release(now, lease, end);
            return;
        }
        let epoch = pair.created;
        self.phase = Phase::Holding { lease, epoch, end };
        self.next_call = now.after(RENEW_INTERVAL_MS);
        out.push(Action::Started(epoch, end));
    }

    fn renewed(
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
        let end = deadline(sent, ttl_s);
        self.phase = Phase::Holding { lease, epoch, end };
        self.next_call = sent.after(RENEW_INTERVAL_MS);
        out.push(Action::Renewed(end));
    }
}

fn deadline(sent: UnixMs, ttl_s: u32) -> UnixMs {
    sent.after(u64::from(ttl_s) * SECOND_MS)
        .before(CLOCK_MARGIN_MS)
}

/// Returns the candidates for a data centre, the preferred one first: those inside it, and then
/// by rendezvous hashing (Thaler and Ravishankar, 1998), so that few change when members do.
#[must_use]
pub fn rank_candidates(dc: &str, mut members: Vec<Candidate>) -> Vec<Candidate> {
    let seed = xxh3_64_with_seed(dc.as_bytes(), 0);
    members.sort_by_cached_key(|c| {
        let weight = xxh3_64_with_seed(c.name.as_bytes(), seed);
        (c.dc != dc, std::cmp::Reverse(weight), c.name.clone())
    });
    members
}
