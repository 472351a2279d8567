//! The decisions of the client through which a daemon makes all its calls to the store.
//!
//! [`Client`] takes calls with a rank and a deadline. It returns attempts to send a call to one of
//! the store's addresses, and exactly one result per call. Calls of the highest rank go first,
//! within the daemon's [`Budget`]. Each address has a [`Breaker`], which stops calls to a failing
//! address and probes it. A call that may have taken effect is retried only if that does no harm.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::breaker::{Breaker, State};
use crate::budget::{Budget, Cost, Rank};
use crate::store::{Call, Fault, Pair, Reply};
use crate::time::UnixMs;

/// The most pending calls; beyond this, a waiting call of the lowest rank fails.
pub const QUEUE_LIMIT: usize = 1_024;
/// The most attempts in progress, apart from watches.
pub const ATTEMPT_LIMIT: usize = 32;
/// How many of these attempts are reserved for leases.
const LEASE_ATTEMPTS: usize = 4;
/// The time after which a read without a reply is also sent to a second address, in milliseconds.
const HEDGE_MS: u64 = 100;
/// The timeout of a probe, in milliseconds.
const PROBE_MS: u64 = 1_000;
/// Half of this is the shortest wait before a call is retried, in milliseconds.
const RETRY_MIN_MS: u64 = 20;
/// The longest wait before a call is retried, in milliseconds.
const RETRY_MAX_MS: u64 = 1_000;
/// The time between two ticks while calls or probes wait for tokens, in milliseconds.
const POLL_MS: u64 = 20;
/// Every eighth call sent is the one that has waited longest, so that no rank starves.
const FAIR_EVERY: u64 = 8;
/// The key that probes read.
const PROBE_KEY: &str = "/mg/probe";

/// Identifies a call within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u64);

/// Identifies an attempt, which is one send of a call or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey(pub u64);

/// An address of the store, as an index into the list in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addr(pub usize);

/// The result of a call or an attempt.
pub type CallResult = std::result::Result<Reply, Fault>;

/// An input of [`Client`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A new call, to be made by its deadline.
    Submit(CallKey, Rank, Arc<Call>, UnixMs),
    /// The result of an attempt; each attempt must be completed once.
    Completed(AttemptKey, CallResult),
    /// The number of daemons that share the store.
    Members(u64),
    /// Time has passed.
    Tick,
}

/// An output of [`Client`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a call to an address and wait for the reply until the deadline.
    Send(AttemptKey, Addr, Arc<Call>, UnixMs),
    /// Report the result of a call.
    Finish(CallKey, CallResult),
    /// Report that the breaker of an address has closed (true) or opened (false).
    Health(Addr, bool),
}

/// A call without a result so far.
struct PendingCall {
    rank: Rank,
    call: Arc<Call>,
    deadline: UnixMs,
    /// The attempts in progress.
    attempts: Vec<AttemptKey>,
    retries: u32,
    /// Whether a failed attempt may have taken effect.
    may_have_effect: bool,
}

/// An attempt in progress.
struct Attempt {
    addr: Addr,
    /// The call, or none for a probe.
    call: Option<CallKey>,
    /// Whether the attempt counts towards [`ATTEMPT_LIMIT`]; watches don't.
    counted: bool,
}

/// The timers of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The call's deadline.
    Deadline,
    /// The call may be retried.
    Retry,
    /// The call may also be sent to a second address.
    Hedge,
}

/// The state of the client.
pub struct Client {
    budget: Budget,
    breakers: Vec<Breaker>,
    pending: BTreeMap<CallKey, PendingCall>,
    /// The calls waiting to be sent: first writes, then reads.
    waiting: [BTreeSet<(Rank, CallKey)>; 2],
    timers: BTreeSet<(UnixMs, CallKey, Timer)>,
    attempts: BTreeMap<AttemptKey, Attempt>,
    /// The number of attempts in progress that count towards [`ATTEMPT_LIMIT`].
    in_flight: usize,
    last_attempt: u64,
    /// The number of calls sent so far, including retries but not hedges or probes.
    sends: u64,
    rng: ChaCha8Rng,
}

impl Client {
    /// Creates the client of one of `members` daemons, for a store with `addrs` addresses.
    #[must_use]
    pub fn new(now: UnixMs, addrs: usize, members: u64, seed: u64) -> Self {
        Self {
            budget: Budget::new(now, members),
            breakers: (0..addrs).map(|_| Breaker::new()).collect(),
            pending: BTreeMap::new(),
            waiting: Default::default(),
            timers: BTreeSet::new(),
            attempts: BTreeMap::new(),
            in_flight: 0,
            last_attempt: 0,
            sends: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns when the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self, now: UnixMs) -> UnixMs {
        let poll = now.after(POLL_MS);
        if self.waiting.iter().any(|w| !w.is_empty()) {
            return poll;
        }
        let probes = self.breakers.iter().filter_map(|b| match b.state() {
            // A probe that gets no token is tried again at the next tick.
            State::Open(probe_at) => Some(probe_at.max(poll)),
            State::Closed | State::Probing => None,
        });
        let timer = self.timers.first().map(|t| t.0);
        probes.chain(timer).min().unwrap_or(UnixMs::MAX)
    }

    /// Returns whether at least one address takes calls.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.choose_addr(None).is_some()
    }

    /// Handles an event at `now` and appends the resulting actions to `out`.
    pub fn step(&mut self, now: UnixMs, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Submit(key, rank, call, deadline) => {
                self.submit(key, (rank, call, deadline), out);
            }
            Event::Completed(attempt, result) => self.complete_attempt(now, attempt, result, out),
            Event::Members(members) => self.budget.set_members(now, members),
            Event::Tick => {}
        }
        self.run_timers(now, out);
        self.probe(now, out);
        if self.is_up() {
            self.send_waiting(now, Cost::Write, out);
            self.send_waiting(now, Cost::Read, out);
        } else {
            self.reject_waiting(out);
        }
    }

    fn submit(
        &mut self,
        key: CallKey,
        (rank, call, deadline): (Rank, Arc<Call>, UnixMs),
        out: &mut Vec<Action>,
    ) {
        self.waiting[call.cost() as usize].insert((rank, key));
        self.timers.insert((deadline, key, Timer::Deadline));
        let pending = PendingCall {
            rank,
            call,
            deadline,
            attempts: Vec::new(),
            retries: 0,
            may_have_effect: false,
        };
        self.pending.insert(key, pending);
        if self.pending.len() > QUEUE_LIMIT {
            let last = self.waiting.iter().filter_map(|w| w.last()).max().copied();
            if let Some((_, last)) = last {
                self.fail(last, out);
            }
        }
    }

    /// Removes a pending call. Its retry and hedge timers may remain; they have no effect then.
    fn close(&mut self, key: CallKey) -> Option<PendingCall> {
        let pending = self.pending.remove(&key)?;
        self.waiting[pending.call.cost() as usize].remove(&(pending.rank, key));
        self.timers
            .remove(&(pending.deadline, key, Timer::Deadline));
        Some(pending)
    }

    fn finish(&mut self, key: CallKey, result: CallResult, out: &mut Vec<Action>) {
        if self.close(key).is_some() {
            out.push(Action::Finish(key, result));
        }
    }

    /// Ends a call that got no reply, with [`Fault::Unknown`] if it may have taken effect.
    fn fail(&mut self, key: CallKey, out: &mut Vec<Action>) {
        if let Some(pending) = self.close(key) {
            let may_have_effect = pending.may_have_effect || !pending.attempts.is_empty();
            let fault = if may_have_effect {
                Fault::Unknown
            } else {
                Fault::NotSent
            };
            out.push(Action::Finish(key, Err(fault)));
        }
    }

    fn complete_attempt(
        &mut self,
        now: UnixMs,
        key: AttemptKey,
        result: CallResult,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        self.in_flight -= usize::from(attempt.counted);
        self.record_health(now, &attempt, &result, out);
        let Some(call) = attempt.call else {
            return;
        };
        let Some(pending) = self.pending.get_mut(&call) else {
            return;
        };
        pending.attempts.retain(|a| *a != key);
        match result {
            Ok(reply) => self.finish(call, Ok(reply), out),
            // The refusal is the result only if no other attempt may have taken effect.
            Err(fault @ (Fault::Refused | Fault::Invalid))
                if !pending.may_have_effect && pending.attempts.is_empty() =>
            {
                self.finish(call, Err(fault), out);
            }
            Err(fault) => {
                pending.may_have_effect |= fault == Fault::Unknown;
                self.retry(now, call, out);
            }
        }
    }

    /// Schedules a retry of a call if that does no harm and there is time left, or else fails it.
    fn retry(&mut self, now: UnixMs, key: CallKey, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&key) else {
            return;
        };
        if !pending.attempts.is_empty() {
            return;
        }
        let longest = (RETRY_MIN_MS << pending.retries.min(10)).min(RETRY_MAX_MS);
        pending.retries = pending.retries.saturating_add(1);
        let next = now.after(longest / 2 + self.rng.random_range(0..=longest / 2));
        let unsafe_to_retry = pending.may_have_effect && !pending.call.is_repeatable();
        if unsafe_to_retry || pending.deadline.passed(next) {
            return self.fail(key, out);
        }
        self.timers.insert((next, key, Timer::Retry));
    }

    fn record_health(
        &mut self,
        now: UnixMs,
        attempt: &Attempt,
        result: &CallResult,
        out: &mut Vec<Action>,
    ) {
        let breaker = &mut self.breakers[attempt.addr.0];
        let before = breaker.state() == State::Closed;
        let probe = attempt.call.is_none();
        match result {
            Ok(_) | Err(Fault::Refused | Fault::Invalid) => breaker.record_success(probe),
            // A watch lasts long, so that one that breaks says little about other calls.
            Err(Fault::Unknown) if !attempt.counted => {}
            Err(_) => breaker.record_failure(now, probe, &mut self.rng),
        }
        let after = breaker.state() == State::Closed;
        if before != after {
            out.push(Action::Health(attempt.addr, after));
        }
    }

    fn run_timers(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        while let Some(&(at, key, timer)) = self.timers.first()
            && at.passed(now)
        {
            self.timers.pop_first();
            match timer {
                Timer::Deadline => self.fail(key, out),
                Timer::Hedge => self.send_hedge(now, key, out),
                Timer::Retry => {
                    if let Some(pending) = self.pending.get(&key) {
                        self.waiting[pending.call.cost() as usize].insert((pending.rank, key));
                    }
                }
            }
        }
    }

    /// Probes the addresses for which a probe is due.
    fn probe(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        for at in 0..self.breakers.len() {
            let is_due = self.breakers[at].probe_due(now);
            if is_due && self.budget.take(now, Cost::Read, Rank::Lease) {
                self.breakers[at].start_probe();
                let call = Arc::new(Call::Range {
                    prefix: PROBE_KEY.to_owned(),
                    after: String::new(),
                    limit: 1,
                });
                self.start_attempt(Addr(at), None, call, now.after(PROBE_MS), out);
            }
        }
    }

    /// Fails the waiting calls while no address takes calls, except for those of leases, which wait
    /// for a probe to succeed.
    fn reject_waiting(&mut self, out: &mut Vec<Action>) {
        let waiting = self.waiting.iter().flatten();
        let rejected = waiting.filter(|(rank, _)| *rank != Rank::Lease);
        let rejected: Vec<CallKey> = rejected.map(|(_, key)| *key).collect();
        for key in rejected {
            self.fail(key, out);
        }
    }

    fn send_waiting(&mut self, now: UnixMs, cost: Cost, out: &mut Vec<Action>) {
        while let Some((rank, key)) = self.first_waiting(cost)
            && let Some(addr) = self.choose_addr(None)
        {
            let Some(pending) = self.pending.get(&key) else {
                self.waiting[cost as usize].remove(&(rank, key));
                continue;
            };
            let (call, deadline) = (Arc::clone(&pending.call), pending.deadline);
            let fits = call.is_watch() || self.has_capacity(rank);
            let budget_rank = if self.is_fair_turn() {
                Rank::Lease
            } else {
                rank
            };
            // The calls after this one can't be sent either, as their ranks aren't higher.
            if !fits || !self.budget.take(now, cost, budget_rank) {
                return;
            }
            self.waiting[cost as usize].remove(&(rank, key));
            self.sends += 1;
            if cost == Cost::Read && !call.is_watch() {
                self.timers.insert((now.after(HEDGE_MS), key, Timer::Hedge));
            }
            self.start_attempt(addr, Some(key), call, deadline, out);
        }
    }

    const fn is_fair_turn(&self) -> bool {
        self.sends % FAIR_EVERY == FAIR_EVERY - 1
    }

    /// Returns the waiting call to be sent next.
    fn first_waiting(&self, cost: Cost) -> Option<(Rank, CallKey)> {
        let waiting = &self.waiting[cost as usize];
        if self.is_fair_turn() {
            return waiting.iter().min_by_key(|(_, key)| *key).copied();
        }
        waiting.first().copied()
    }

    /// Sends a slow read to a second address as well.
    fn send_hedge(&mut self, now: UnixMs, key: CallKey, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&key) else {
            return;
        };
        let [attempt] = pending.attempts[..] else {
            return;
        };
        let except = self.attempts.get(&attempt).map(|a| a.addr);
        let (rank, deadline, call) = (pending.rank, pending.deadline, Arc::clone(&pending.call));
        if let Some(addr) = self.choose_addr(except)
            && self.has_capacity(rank)
            && self.budget.take(now, Cost::Read, rank)
        {
            self.start_attempt(addr, Some(key), call, deadline, out);
        }
    }

    /// Returns the first address that takes calls, other than `except`.
    fn choose_addr(&self, except: Option<Addr>) -> Option<Addr> {
        (0..self.breakers.len())
            .map(Addr)
            .filter(|a| Some(*a) != except)
            .find(|a| self.breakers[a.0].state() == State::Closed)
    }

    const fn has_capacity(&self, rank: Rank) -> bool {
        let reserved = match rank {
            Rank::Lease => 0,
            _ => LEASE_ATTEMPTS,
        };
        self.in_flight + reserved < ATTEMPT_LIMIT
    }

    fn start_attempt(
        &mut self,
        addr: Addr,
        key: Option<CallKey>,
        call: Arc<Call>,
        deadline: UnixMs,
        out: &mut Vec<Action>,
    ) {
        self.last_attempt += 1;
        let attempt = AttemptKey(self.last_attempt);
        let counted = !call.is_watch();
        self.in_flight += usize::from(counted);
        let entry = Attempt {
            addr,
            call: key,
            counted,
        };
        self.attempts.insert(attempt, entry);
        if let Some(pending) = key.and_then(|k| self.pending.get_mut(&k)) {
            pending.attempts.push(attempt);
        }
        out.push(Action::Send(attempt, addr, call, deadline));
    }
}

/// What reading a key says about an earlier write of it with an unknown outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadBack {
    /// The write took effect.
    Ours,
    /// The key holds another write, so that a create-if-absent can't take effect any more.
    Other,
    /// The key doesn't exist; the write may still take effect.
    Absent,
}

/// Returns whether the pair that was read back is this daemon's write, as decided by `is_ours`.
pub fn read_back(pair: Option<&Pair>, is_ours: impl FnOnce(&[u8]) -> bool) -> ReadBack {
    match pair {
        None => ReadBack::Absent,
        Some(pair) if is_ours(&pair.value) => ReadBack::Ours,
        Some(_) => ReadBack::Other,
    }
}
