//! Claims non-idempotent requests in the store, so that one key reaches a target at most once.
//!
//! [`Event`]s flow in, store calls and verdicts flow out. A claim is a key created if absent with
//! a nonce; claims are batched as nested transactions. No daemon is home of a claim, so that a
//! frozen or replaced daemon changes nothing: whoever created the key may send, nobody else. An
//! unknown outcome is read back before anything is said. A claim that provably wasn't used is
//! given back.

mod record;

use std::collections::{HashMap, HashSet};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use self::record::{Record, State};
use crate::error::Run;
use crate::prelude::*;
use crate::queue::RequestKey;
use crate::store::{Body, Call, Done, Fault, Outcome, Pair, Reply, Revision, Txn};

/// Claims of one call; each is a nested transaction.
const BATCH: usize = 32;
/// Calls on their way at once.
const CALLS: usize = 4;
/// Claims and settlements that wait for a call.
const WAITING: usize = 4_096;
/// How long a call may take, in milliseconds.
const CALL_MS: u64 = 1_000;
/// How long requests are refused at once after a fault of the store, in milliseconds.
const DOWN_MS: u64 = 500;
/// How long a claim lasts at most, in seconds.
pub const LEASE_S: u32 = 2 * 86_400;
/// How long a lease is used for new claims, in milliseconds; a claim lasts at least the rest.
const LEASE_USE_MS: u64 = 86_400_000;

/// A store call of this filter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u32);

/// What the claims are told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Claim this name (caller and key) for a request until its deadline.
    Claim(RequestKey, String, UnixMs),
    /// A claimed request ended: with an answer, or with an error.
    Settle(RequestKey, Option<Kind>),
    /// A store call ended.
    Replied(CallKey, std::result::Result<Reply, Fault>),
    /// Time passed.
    Tick,
}

/// What the claims want done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make a store call until the deadline.
    Call(CallKey, Call, UnixMs),
    /// The request is claimed, or refused.
    Verdict(RequestKey, Result<()>),
}

#[derive(Clone, Debug)]
struct Ask {
    request: RequestKey,
    name: String,
    nonce: String,
    end: UnixMs,
}

/// A claim that this daemon holds.
#[derive(Clone, Debug)]
struct Held {
    name: String,
    nonce: String,
    created: Revision,
    lease: i64,
}

enum Batch {
    Grant,
    Claim(Vec<Ask>),
    Check(Vec<Ask>),
    Settle(Vec<(Held, Option<State>)>),
}

/// The claims of one daemon.
pub struct Claims {
    me: String,
    rng: ChaCha8Rng,
    next: u32,
    lease: Option<(i64, UnixMs)>,
    down_end: UnixMs,
    asks: Vec<Ask>,
    settles: Vec<(Held, Option<State>)>,
    calls: HashMap<CallKey, Batch>,
    held: HashMap<RequestKey, Held>,
    // Requests that were answered while their claim was on its way.
    dropped: HashSet<RequestKey>,
}

impl Claims {
    /// Makes the claims of the daemon `me`; `seed` has to differ with each start.
    #[must_use]
    pub fn new(me: &str, seed: u64) -> Self {
        Self {
            me: me.to_owned(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next: 0,
            lease: None,
            down_end: UnixMs(0),
            asks: Vec::new(),
            settles: Vec::new(),
            calls: HashMap::new(),
            held: HashMap::new(),
            dropped: HashSet::new(),
        }
    }

    /// Takes an event and appends what is to be done.
    pub fn step(&mut self, now: UnixMs, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Claim(request, name, end) => self.ask(now, request, name, end, out),
            Event::Settle(request, kind) => self.settle(request, kind),
            Event::Replied(call, result) => self.replied(now, call, result, out),
            Event::Tick => self.expire(now, out),
        }
        self.flush(now, out);
    }

    fn ask(
        &mut self,
        now: UnixMs,
        request: RequestKey,
        name: String,
        end: UnixMs,
        out: &mut Vec<Action>,
    ) {
        if !self.down_end.passed(now) || self.asks.len() >= WAITING {
            return out.push(Action::Verdict(request, Err(down())));
        }
        let nonce = format!("{}-{:016x}", self.me, self.rng.next_u64());
        self.asks.push(Ask {
            request,
            name,
            nonce,
            end,
        });
    }

    fn settle(&mut self, request: RequestKey, kind: Option<Kind>) {
        let Some(held) = self.held.remove(&request) else {
            return;
        };
        let state = match kind {
            None => Some(State::Answered),
            Some(kind) if kind.answer().run == Run::No => None,
            Some(kind) => Some(State::Failed(kind)),
        };
        self.add_settle(held, state);
    }

    fn add_settle(&mut self, held: Held, state: Option<State>) {
        // A claim that isn't settled stays open: it says "maybe", which is still true.
        if self.settles.len() < WAITING {
            self.settles.push((held, state));
        }
    }

    fn call(&mut self, now: UnixMs, batch: Batch, call: Call, out: &mut Vec<Action>) {
        let key = CallKey(self.next);
        self.next = self.next.wrapping_add(1);
        self.calls.insert(key, batch);
        out.push(Action::Call(key, call, now.after(CALL_MS)));
    }

    fn flush(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if !self.down_end.passed(now) {
            return;
        }
        while self.calls.len() < CALLS && !self.asks.is_empty() {
            let Some(lease) = self.lease(now) else {
                return self.grant(now, out);
            };
            let batch = take_batch(&mut self.asks, |ask| ask.name.clone());
            let txn = record::claim_txn(&batch, lease);
            self.call(now, Batch::Claim(batch), Call::Txn(txn), out);
        }
        if self.calls.len() < CALLS && !self.settles.is_empty() {
            let batch = take_batch(&mut self.settles, |(held, _)| held.name.clone());
            let txn = record::settle_txn(&batch);
            self.call(now, Batch::Settle(batch), Call::Txn(txn), out);
        }
    }

    fn lease(&self, now: UnixMs) -> Option<i64> {
        let lease = self.lease.filter(|(_, end)| !end.passed(now));
        lease.map(|(lease, _)| lease)
    }

    fn grant(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let waits = self.calls.values().any(|b| matches!(b, Batch::Grant));
        if !waits {
            let call = Call::Grant { ttl_s: LEASE_S };
            self.call(now, Batch::Grant, call, out);
        }
    }

    fn replied(
        &mut self,
        now: UnixMs,
        call: CallKey,
        result: std::result::Result<Reply, Fault>,
        out: &mut Vec<Action>,
    ) {
        let Some(batch) = self.calls.remove(&call) else {
            return;
        };
        match result {
            Ok(reply) => self.took(now, batch, reply, out),
            Err(fault) => self.fault(now, batch, fault, out),
        }
    }

    fn took(&mut self, now: UnixMs, batch: Batch, reply: Reply, out: &mut Vec<Action>) {
        match (batch, reply.body) {
            (Batch::Grant, Body::Lease { lease, .. }) => {
                self.lease = Some((lease, now.after(LEASE_USE_MS)));
            }
            (Batch::Claim(asks), Body::Txn(done)) => {
                self.judge(&asks, done, reply.revision, out);
            }
            (Batch::Check(asks), Body::Txn(done)) => {
                for (ask, outcome) in asks.into_iter().zip(done.outcomes) {
                    self.found(ask, record::first_pair(outcome), out);
                }
            }
            (Batch::Settle(_), _) => {}
            (batch, _) => self.fault(now, batch, Fault::Unknown, out),
        }
    }

    fn judge(&mut self, asks: &[Ask], done: Done, revision: Revision, out: &mut Vec<Action>) {
        let mut outcomes = done.outcomes.into_iter();
        for ask in asks {
            match outcomes.next() {
                Some(Outcome::Txn(inner)) if inner.held => {
                    self.won(ask, revision, self.lease_id(), out);
                }
                Some(Outcome::Txn(inner)) => {
                    let pair = inner.outcomes.into_iter().next();
                    self.found(ask.clone(), pair.and_then(record::first_pair), out);
                }
                _ => self.verdict(ask, Err(down()), out),
            }
        }
    }

    fn lease_id(&self) -> i64 {
        self.lease.map_or(0, |(lease, _)| lease)
    }

    /// Takes what the store holds under an ask's name.
    fn found(&mut self, ask: Ask, pair: Option<Pair>, out: &mut Vec<Action>) {
        let Some(pair) = pair else {
            // The write may still come; then the claim stays open, and is truthful.
            return self.verdict(&ask, Err(down()), out);
        };
        match Record::parse(&pair.value) {
            Some(record) if record.nonce == ask.nonce => {
                self.won(&ask, pair.created, pair.lease, out);
            }
            record => self.verdict(&ask, Err(record::duplicate(record)), out),
        }
    }

    fn won(&mut self, ask: &Ask, created: Revision, lease: i64, out: &mut Vec<Action>) {
        let held = Held {
            name: ask.name.clone(),
            nonce: ask.nonce.clone(),
            created,
            lease,
        };
        if self.dropped.remove(&ask.request) {
            return self.add_settle(held, None);
        }
        self.held.insert(ask.request, held);
        out.push(Action::Verdict(ask.request, Ok(())));
    }

    fn verdict(&mut self, ask: &Ask, verdict: Result<()>, out: &mut Vec<Action>) {
        if !self.dropped.remove(&ask.request) {
            out.push(Action::Verdict(ask.request, verdict));
        }
    }

    fn fault(&mut self, now: UnixMs, batch: Batch, fault: Fault, out: &mut Vec<Action>) {
        let check = matches!((&batch, fault), (Batch::Claim(_), Fault::Unknown));
        match batch {
            Batch::Claim(asks) if check => {
                let txn = Txn {
                    then: record::gets(&asks),
                    ..Txn::default()
                };
                self.call(now, Batch::Check(asks), Call::Txn(txn), out);
                return;
            }
            Batch::Claim(asks) | Batch::Check(asks) => {
                for ask in asks {
                    self.verdict(&ask, Err(down()), out);
                }
            }
            Batch::Settle(batch) if fault != Fault::Refused => self.settles.extend(batch),
            Batch::Settle(_) | Batch::Grant => {}
        }
        if fault == Fault::Refused {
            // The lease may be gone.
            self.lease = None;
        }
        self.down_end = now.after(DOWN_MS);
        for ask in std::mem::take(&mut self.asks) {
            self.verdict(&ask, Err(down()), out);
        }
    }

    /// Refuses what can't be claimed before its deadline. A claim that is made later all the
    /// same is given back.
    fn expire(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let late = |ask: &Ask| ask.end.passed(now);
        let mut ended: Vec<RequestKey> = Vec::new();
        self.asks.retain(|ask| {
            if late(ask) {
                ended.push(ask.request);
            }
            !late(ask)
        });
        for batch in self.calls.values() {
            if let Batch::Claim(asks) | Batch::Check(asks) = batch {
                let asks = asks.iter().filter(|a| late(a));
                let fresh = asks.filter(|a| self.dropped.insert(a.request));
                ended.extend(fresh.map(|a| a.request));
            }
        }
        ended.sort_unstable();
        for request in ended {
            let e = Error::new(Kind::Expired, "the deadline passed while it was claimed");
            out.push(Action::Verdict(request, Err(e)));
        }
    }
}

/// Takes what goes into one call; the store refuses a transaction that writes a key twice.
fn take_batch<T>(waiting: &mut Vec<T>, name: impl Fn(&T) -> String) -> Vec<T> {
    let mut names = HashSet::new();
    let fits = |item: &mut T| names.len() < BATCH && names.insert(name(item));
    waiting.extract_if(.., fits).collect()
}

fn down() -> Error {
    Error::new(
        Kind::StoreDown,
        "the store can't say that the request is new",
    )
}
