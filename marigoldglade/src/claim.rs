//! Claims non-idempotent requests in the store, so that the requests with one idempotency key run
//! at most once.
//!
//! A claim is a store key with a nonce, created if the key is absent; several claims go into one
//! call as nested transactions. Claims belong to no particular daemon, so that a frozen or replaced
//! daemon changes nothing: the daemon that created the key may send the request, and no other. If
//! the outcome of a call is unknown, the claims are read back before they are decided. A claim
//! whose request provably didn't run is released.

mod record;

use std::collections::{HashMap, HashSet};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use self::record::{Record, State};
use crate::error::Executed;
use crate::prelude::*;
use crate::queue::RequestKey;
use crate::store::{Body, Call, Fault, Outcome, Pair, Reply, Revision, Txn, TxnResult};

/// The most claims in one call; each is a nested transaction.
const BATCH_LIMIT: usize = 32;
/// The most calls in flight.
const MAX_CALLS: usize = 4;
/// The most claims that wait for a call, and the most settlements.
const MAX_WAITING: usize = 4_096;
/// How long a call may take, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// How long new claims are refused without a call after a fault of the store, in milliseconds.
const DOWN_PAUSE_MS: u64 = 500;
/// The time to live of a lease, in seconds; no claim under the lease lasts longer.
pub const LEASE_S: u32 = 2 * 86_400;
/// How long a lease is used for new claims, in milliseconds. A claim lasts until its lease expires,
/// so at least for [`LEASE_S`] less this time.
const LEASE_USE_MS: u64 = 86_400_000;

/// The number of a store call made for claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u32);

/// An input of the claims.
#[derive(Clone, Debug)]
pub enum Event {
    /// Claim this name, made of caller and idempotency key, for a request until its deadline.
    Claim(RequestKey, String, UnixMs),
    /// A claimed request was answered, or failed with this kind.
    Settle(RequestKey, Option<Kind>),
    /// A store call ended.
    Replied(CallKey, std::result::Result<Reply, Fault>),
    /// The shell's regular tick, which expires claims.
    Tick,
}

/// An output of the claims, for the shell to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make a store call until the deadline.
    Call(CallKey, Call, UnixMs),
    /// The request is claimed, or refused with this error.
    Verdict(RequestKey, Result<()>),
}

/// A claim that isn't decided yet.
#[derive(Clone, Debug)]
struct PendingClaim {
    request: RequestKey,
    name: String,
    nonce: String,
    deadline: UnixMs,
}

/// A claim that this daemon holds.
#[derive(Clone, Debug)]
struct HeldClaim {
    name: String,
    nonce: String,
    created: Revision,
    lease: i64,
}

/// What a store call is for.
enum Purpose {
    Grant,
    Claim(Vec<PendingClaim>),
    /// Reads claims back after a call with an unknown outcome.
    Check(Vec<PendingClaim>),
    /// Stores how requests ended, or with `None` releases their claims.
    Settle(Vec<(HeldClaim, Option<State>)>),
}

/// The claims of one daemon.
pub struct Claims {
    me: String,
    rng: ChaCha8Rng,
    next: u32,
    // The lease for new claims, and when it is replaced.
    lease: Option<(i64, UnixMs)>,
    // When the store is called again after a fault.
    retry_at: UnixMs,
    waiting: Vec<PendingClaim>,
    settlements: Vec<(HeldClaim, Option<State>)>,
    calls: HashMap<CallKey, Purpose>,
    held: HashMap<RequestKey, HeldClaim>,
    // Requests that expired while the call with their claim was in flight.
    abandoned: HashSet<RequestKey>,
}

impl Claims {
    /// Creates the claims of the daemon `me`; `seed` has to differ with each start, because the
    /// nonces are drawn from it.
    #[must_use]
    pub fn new(me: &str, seed: u64) -> Self {
        Self {
            me: me.to_owned(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next: 0,
            lease: None,
            retry_at: UnixMs(0),
            waiting: Vec::new(),
            settlements: Vec::new(),
            calls: HashMap::new(),
            held: HashMap::new(),
            abandoned: HashSet::new(),
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: UnixMs, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Claim(request, name, deadline) => self.queue(now, request, name, deadline, out),
            Event::Settle(request, kind) => self.settle(request, kind),
            Event::Replied(call, result) => self.handle_result(now, call, result, out),
            Event::Tick => self.expire_claims(now, out),
        }
        self.flush(now, out);
    }

    fn queue(
        &mut self,
        now: UnixMs,
        request: RequestKey,
        name: String,
        deadline: UnixMs,
        out: &mut Vec<Action>,
    ) {
        if !self.retry_at.passed(now) || self.waiting.len() >= MAX_WAITING {
            return out.push(Action::Verdict(request, Err(store_down())));
        }
        let nonce = format!("{}-{:016x}", self.me, self.rng.next_u64());
        self.waiting.push(PendingClaim {
            request,
            name,
            nonce,
            deadline,
        });
    }

    fn settle(&mut self, request: RequestKey, kind: Option<Kind>) {
        let Some(held) = self.held.remove(&request) else {
            return;
        };
        let state = match kind {
            None => Some(State::Answered),
            Some(kind) if kind.properties().run == Executed::No => None,
            Some(kind) => Some(State::Failed(kind)),
        };
        self.add_settlement(held, state);
    }

    fn add_settlement(&mut self, held: HeldClaim, state: Option<State>) {
        // Beyond the limit the settlement is dropped. The claim then stays open, which is safe: it
        // only says that the request may have run.
        if self.settlements.len() < MAX_WAITING {
            self.settlements.push((held, state));
        }
    }

    fn call(&mut self, now: UnixMs, purpose: Purpose, call: Call, out: &mut Vec<Action>) {
        let key = CallKey(self.next);
        self.next = self.next.wrapping_add(1);
        self.calls.insert(key, purpose);
        out.push(Action::Call(key, call, now.after(CALL_TIMEOUT_MS)));
    }

    fn flush(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if !self.retry_at.passed(now) {
            return;
        }
        while self.calls.len() < MAX_CALLS && !self.waiting.is_empty() {
            let Some(lease) = self.current_lease(now) else {
                return self.request_lease(now, out);
            };
            let batch = take_batch(&mut self.waiting, |claim| claim.name.clone());
            let txn = record::claim_txn(&batch, lease);
            self.call(now, Purpose::Claim(batch), Call::Txn(txn), out);
        }
        if self.calls.len() < MAX_CALLS && !self.settlements.is_empty() {
            let batch = take_batch(&mut self.settlements, |(held, _)| held.name.clone());
            let txn = record::settle_txn(&batch);
            self.call(now, Purpose::Settle(batch), Call::Txn(txn), out);
        }
    }

    fn current_lease(&self, now: UnixMs) -> Option<i64> {
        let lease = self.lease.filter(|(_, replace_at)| !replace_at.passed(now));
        lease.map(|(lease, _)| lease)
    }

    fn request_lease(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let requested = self.calls.values().any(|p| matches!(p, Purpose::Grant));
        if !requested {
            let call = Call::Grant { ttl_s: LEASE_S };
            self.call(now, Purpose::Grant, call, out);
        }
    }

    fn handle_result(
        &mut self,
        now: UnixMs,
        call: CallKey,
        result: std::result::Result<Reply, Fault>,
        out: &mut Vec<Action>,
    ) {
        let Some(purpose) = self.calls.remove(&call) else {
            return;
        };
        match result {
            Ok(reply) => self.handle_reply(now, purpose, reply, out),
            Err(fault) => self.handle_fault(now, purpose, fault, out),
        }
    }

    fn handle_reply(&mut self, now: UnixMs, purpose: Purpose, reply: Reply, out: &mut Vec<Action>) {
        match (purpose, reply.body) {
            (Purpose::Grant, Body::Lease { lease, .. }) => {
                self.lease = Some((lease, now.after(LEASE_USE_MS)));
            }
            (Purpose::Claim(claims), Body::Txn(done)) => {
                self.resolve_claims(&claims, done, reply.revision, out);
            }
            (Purpose::Check(claims), Body::Txn(done)) => {
                for (claim, outcome) in claims.into_iter().zip(done.outcomes) {
                    self.resolve_existing(claim, record::first_pair(outcome), out);
                }
            }
            (Purpose::Settle(_), _) => {}
            (purpose, _) => self.handle_fault(now, purpose, Fault::Unknown, out),
        }
    }

    /// Decides the claims of one call by the reply of the store.
    fn resolve_claims(
        &mut self,
        claims: &[PendingClaim],
        done: TxnResult,
        revision: Revision,
        out: &mut Vec<Action>,
    ) {
        let mut outcomes = done.outcomes.into_iter();
        for claim in claims {
            match outcomes.next() {
                Some(Outcome::Txn(inner)) if inner.held => {
                    self.complete_claim(claim, revision, self.lease_id(), out);
                }
                Some(Outcome::Txn(inner)) => {
                    let pair = inner.outcomes.into_iter().next();
                    self.resolve_existing(claim.clone(), pair.and_then(record::first_pair), out);
                }
                _ => self.report(claim, Err(store_down()), out),
            }
        }
    }

    fn lease_id(&self) -> i64 {
        self.lease.map_or(0, |(lease, _)| lease)
    }

    /// Decides a claim by what the store holds under its name.
    fn resolve_existing(&mut self, claim: PendingClaim, pair: Option<Pair>, out: &mut Vec<Action>) {
        let Some(pair) = pair else {
            // The write may still take effect; the claim then stays open and the key is blocked.
            return self.report(&claim, Err(store_down()), out);
        };
        match Record::parse(&pair.value) {
            Some(record) if record.nonce == claim.nonce => {
                self.complete_claim(&claim, pair.created, pair.lease, out);
            }
            record => self.report(&claim, Err(record::duplicate_error(record)), out),
        }
    }

    fn complete_claim(
        &mut self,
        claim: &PendingClaim,
        created: Revision,
        lease: i64,
        out: &mut Vec<Action>,
    ) {
        let held = HeldClaim {
            name: claim.name.clone(),
            nonce: claim.nonce.clone(),
            created,
            lease,
        };
        if self.abandoned.remove(&claim.request) {
            return self.add_settlement(held, None);
        }
        self.held.insert(claim.request, held);
        out.push(Action::Verdict(claim.request, Ok(())));
    }

    fn report(&mut self, claim: &PendingClaim, verdict: Result<()>, out: &mut Vec<Action>) {
        if !self.abandoned.remove(&claim.request) {
            out.push(Action::Verdict(claim.request, verdict));
        }
    }

    fn handle_fault(&mut self, now: UnixMs, purpose: Purpose, fault: Fault, out: &mut Vec<Action>) {
        let read_back = matches!((&purpose, fault), (Purpose::Claim(_), Fault::Unknown));
        match purpose {
            Purpose::Claim(claims) if read_back => {
                let txn = Txn {
                    then: record::read_ops(&claims),
                    ..Txn::default()
                };
                self.call(now, Purpose::Check(claims), Call::Txn(txn), out);
                return;
            }
            Purpose::Claim(claims) | Purpose::Check(claims) => {
                for claim in claims {
                    self.report(&claim, Err(store_down()), out);
                }
            }
            Purpose::Settle(batch) if fault != Fault::Refused => self.settlements.extend(batch),
            Purpose::Settle(_) | Purpose::Grant => {}
        }
        if fault == Fault::Refused {
            // The store may refuse the call because the lease has expired.
            self.lease = None;
        }
        self.retry_at = now.after(DOWN_PAUSE_MS);
        for claim in std::mem::take(&mut self.waiting) {
            self.report(&claim, Err(store_down()), out);
        }
    }

    /// Refuses the claims whose deadline has passed. A claim whose call succeeds after that is
    /// released.
    fn expire_claims(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let late = |claim: &PendingClaim| claim.deadline.passed(now);
        let mut expired: Vec<RequestKey> = Vec::new();
        self.waiting.retain(|claim| {
            if late(claim) {
                expired.push(claim.request);
            }
            !late(claim)
        });
        for purpose in self.calls.values() {
            if let Purpose::Claim(claims) | Purpose::Check(claims) = purpose {
                let claims = claims.iter().filter(|c| late(c));
                let fresh = claims.filter(|c| self.abandoned.insert(c.request));
                expired.extend(fresh.map(|c| c.request));
            }
        }
        expired.sort_unstable();
        for request in expired {
            let e = Error::new(
                Kind::Expired,
                "the deadline passed while the request was claimed",
            );
            out.push(Action::Verdict(request, Err(e)));
        }
    }
}

/// Removes the items that go into one call, with no name twice: the store refuses a transaction
/// that writes a key twice.
fn take_batch<T>(waiting: &mut Vec<T>, name: impl Fn(&T) -> String) -> Vec<T> {
    let mut names = HashSet::new();
    let fits = |item: &mut T| names.len() < BATCH_LIMIT && names.insert(name(item));
    waiting.extract_if(.., fits).collect()
}

fn store_down() -> Error {
    Error::new(
        Kind::StoreDown,
        "the store can't confirm that the key is unused",
    )
}
