//! The one client through which a daemon calls the store.
//!
//! Calls with a rank and a deadline flow in; sends to one of the store's addresses, and in the end
//! one result a call, flow out. Highest ranks go first, inside the daemon's [`Budget`]; a
//! [`Breaker`] an address holds calls back while it fails, and probes it. A call whose outcome is
//! unknown is sent again only when that does no harm.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::breaker::{Breaker, State};
use crate::budget::{Budget, Cost, Rank};
use crate::store::{Call, Fault, Pair, Reply};
use crate::time::UnixMs;

/// Calls that may wait; beyond this the lowest rank is turned away.
pub const QUEUE_LIMIT: usize = 1_024;
/// Sends that may be under way, without watches.
pub const ATTEMPT_LIMIT: usize = 32;
/// Sends kept free for leases.
const LEASE_ATTEMPTS: usize = 4;
/// The time after which a read is sent to a second address as well, in milliseconds.
const HEDGE_MS: u64 = 100;
/// The time that a probe has, in milliseconds.
const PROBE_MS: u64 = 1_000;
/// The shortest wait before a call is sent again, in milliseconds.
const RETRY_MIN_MS: u64 = 20;
/// The longest wait before a call is sent again, in milliseconds.
const RETRY_MAX_MS: u64 = 1_000;
/// The time between two looks at calls that are open, in milliseconds.
const LOOK_MS: u64 = 20;
/// Every so many sends the call that waited longest goes first, so that no rank starves.
const FAIR_EVERY: u64 = 8;
/// The key that probes read.
const PROBE_KEY: &str = "/mg/probe";

/// A call within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u64);

/// One send of a call, or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey(pub u64);

/// An address of the store, as an index in the settings' list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addr(pub usize);

/// What a call came to.
pub type CallResult = std::result::Result<Reply, Fault>;

/// What flows in.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call is to be made by its deadline.
    Submit(CallKey, Rank, Arc<Call>, UnixMs),
    /// What a send came to; each send is told once.
    Completed(AttemptKey, CallResult),
    /// How many daemons share the store.
    Members(u64),
    /// Time passed.
    Tick,
}

/// What flows out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a call to an address and wait for it until the deadline.
    Send(AttemptKey, Addr, Arc<Call>, UnixMs),
    /// A call is over.
    Finish(CallKey, CallResult),
    /// An address is held back (false) or called again (true).
    Health(Addr, bool),
}

struct Open {
    rank: Rank,
    call: Arc<Call>,
    end: UnixMs,
    /// Sends under way.
    attempts: Vec<AttemptKey>,
    tries: u32,
    /// Whether a send may have taken effect.
    unsure: bool,
}

struct Attempt {
    addr: Addr,
    /// The call, or none for a probe.
    call: Option<CallKey>,
    /// Whether it counts against the bound of sends.
    counts: bool,
}

/// What is due for a call at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// Its deadline.
    End,
    /// It may be sent again.
    Retry,
    /// It may be sent to a second address.
    Hedge,
}

/// The client's decisions.
pub struct Client {
    budget: Budget,
    breakers: Vec<Breaker>,
    open: BTreeMap<CallKey, Open>,
    /// Calls that may be sent now: writes, then reads.
    waiting: [BTreeSet<(Rank, CallKey)>; 2],
    timers: BTreeSet<(UnixMs, CallKey, Due)>,
    attempts: BTreeMap<AttemptKey, Attempt>,
    /// Sends under way that count against the bound.
    in_flight: usize,
    last_attempt: u64,
    sends: u64,
    rng: ChaCha8Rng,
}

impl Client {
    /// Makes the client of one of `members` daemons for a store with `addrs` addresses.
    #[must_use]
    pub fn new(now: UnixMs, addrs: usize, members: u64, seed: u64) -> Self {
        Self {
            budget: Budget::new(now, members),
            breakers: (0..addrs).map(|_| Breaker::new()).collect(),
            open: BTreeMap::new(),
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
    pub fn next(&self, now: UnixMs) -> UnixMs {
        let look = now.after(LOOK_MS);
        if self.waiting.iter().any(|w| !w.is_empty()) {
            return look;
        }
        let probes = self.breakers.iter().filter_map(|b| match b.state() {
            // A probe that finds no token is tried again a little later.
            State::Open(end) => Some(end.max(look)),
            State::Closed | State::Probing => None,
        });
        let timer = self.timers.first().map(|t| t.0);
        probes.chain(timer).min().unwrap_or(UnixMs::MAX)
    }

    /// Returns whether an address takes calls.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.pick(None).is_some()
    }

    /// Takes an event at `now` and adds what is to be done to `out`.
    pub fn step(&mut self, now: UnixMs, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Submit(key, rank, call, end) => self.submit(key, (rank, call, end), out),
            Event::Completed(attempt, told) => self.land(now, attempt, told, out),
            Event::Members(members) => self.budget.set_members(now, members),
            Event::Tick => {}
        }
        self.run_timers(now, out);
        self.probe(now, out);
        if self.is_up() {
            self.send_waiting(now, Cost::Write, out);
            self.send_waiting(now, Cost::Read, out);
        } else {
            self.turn_away(out);
        }
    }

    fn submit(
        &mut self,
        key: CallKey,
        (rank, call, end): (Rank, Arc<Call>, UnixMs),
        out: &mut Vec<Action>,
    ) {
        self.waiting[call.cost() as usize].insert((rank, key));
        self.timers.insert((end, key, Due::End));
        let open = Open {
            rank,
            call,
            end,
            attempts: Vec::new(),
            tries: 0,
            unsure: false,
        };
        self.open.insert(key, open);
        if self.open.len() > QUEUE_LIMIT {
            let last = self.waiting.iter().filter_map(|w| w.last()).max().copied();
            if let Some((_, last)) = last {
                self.give_up(last, out);
            }
        }
    }

    /// Forgets a call; what its timers left behind finds nothing.
    fn close(&mut self, key: CallKey) -> Option<Open> {
        let open = self.open.remove(&key)?;
        self.waiting[open.call.cost() as usize].remove(&(open.rank, key));
        self.timers.remove(&(open.end, key, Due::End));
        Some(open)
    }

    fn finish(&mut self, key: CallKey, told: CallResult, out: &mut Vec<Action>) {
        if self.close(key).is_some() {
            out.push(Action::Finish(key, told));
        }
    }

    /// Ends a call that has no reply, with what is known of it.
    fn give_up(&mut self, key: CallKey, out: &mut Vec<Action>) {
        if let Some(open) = self.close(key) {
            let unsure = open.unsure || !open.attempts.is_empty();
            let fault = if unsure {
                Fault::Unknown
            } else {
                Fault::NotSent
            };
            out.push(Action::Finish(key, Err(fault)));
        }
    }

    fn land(&mut self, now: UnixMs, key: AttemptKey, told: CallResult, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        self.in_flight -= usize::from(attempt.counts);
        self.note_health(now, &attempt, &told, out);
        let Some(call) = attempt.call else {
            return;
        };
        let Some(open) = self.open.get_mut(&call) else {
            return;
        };
        open.attempts.retain(|f| *f != key);
        match told {
            Ok(reply) => self.finish(call, Ok(reply), out),
            // An earlier send may have taken effect all the same.
            Err(Fault::Refused) if !open.unsure && open.attempts.is_empty() => {
                self.finish(call, Err(Fault::Refused), out);
            }
            Err(fault) => {
                open.unsure |= fault == Fault::Unknown;
                self.retry(now, call, out);
            }
        }
    }

    /// Sends a call again later, when that does no harm and there is time.
    fn retry(&mut self, now: UnixMs, key: CallKey, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&key) else {
            return;
        };
        if !open.attempts.is_empty() {
            return;
        }
        let whole = (RETRY_MIN_MS << open.tries.min(10)).min(RETRY_MAX_MS);
        open.tries = open.tries.saturating_add(1);
        let next = now.after(whole / 2 + self.rng.random_range(0..=whole / 2));
        let harmful = open.unsure && !open.call.is_repeatable();
        if harmful || open.end.passed(next) {
            return self.give_up(key, out);
        }
        self.timers.insert((next, key, Due::Retry));
    }

    fn note_health(
        &mut self,
        now: UnixMs,
        attempt: &Attempt,
        told: &CallResult,
        out: &mut Vec<Action>,
    ) {
        let breaker = &mut self.breakers[attempt.addr.0];
        let before = breaker.state() == State::Closed;
        let probe = attempt.call.is_none();
        match told {
            Ok(_) | Err(Fault::Refused) => breaker.record_success(probe),
            // A watch that breaks says little of calls.
            Err(Fault::Unknown) if !attempt.counts => {}
            Err(_) => breaker.record_failure(now, probe, &mut self.rng),
        }
        let after = breaker.state() == State::Closed;
        if before != after {
            out.push(Action::Health(attempt.addr, after));
        }
    }

    fn run_timers(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        while let Some(&(at, key, due)) = self.timers.first()
            && at.passed(now)
        {
            self.timers.pop_first();
            match due {
                Due::End => self.give_up(key, out),
                Due::Hedge => self.hedge(now, key, out),
                Due::Retry => {
                    if let Some(open) = self.open.get(&key) {
                        self.waiting[open.call.cost() as usize].insert((open.rank, key));
                    }
                }
            }
        }
    }

    /// Probes the addresses whose time has come.
    fn probe(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        for at in 0..self.breakers.len() {
            let due = self.breakers[at].probe_due(now);
            if due && self.budget.take(now, Cost::Read, Rank::Lease) {
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

    /// Tells waiting calls at once that the store is down; leases wait for a probe to succeed.
    fn turn_away(&mut self, out: &mut Vec<Action>) {
        let waiting = self.waiting.iter().flatten();
        let away = waiting.filter(|(rank, _)| *rank != Rank::Lease);
        let away: Vec<CallKey> = away.map(|(_, key)| *key).collect();
        for key in away {
            self.give_up(key, out);
        }
    }

    fn send_waiting(&mut self, now: UnixMs, cost: Cost, out: &mut Vec<Action>) {
        while let Some((rank, key)) = self.first_waiting(cost)
            && let Some(addr) = self.pick(None)
        {
            let Some(open) = self.open.get(&key) else {
                self.waiting[cost as usize].remove(&(rank, key));
                continue;
            };
            let (call, end) = (Arc::clone(&open.call), open.end);
            let room = call.is_watch() || self.has_room(rank);
            let turn = if self.is_fair_turn() {
                Rank::Lease
            } else {
                rank
            };
            // Ranks below find neither room nor a token either.
            if !room || !self.budget.take(now, cost, turn) {
                return;
            }
            self.waiting[cost as usize].remove(&(rank, key));
            self.sends += 1;
            if cost == Cost::Read && !call.is_watch() {
                self.timers.insert((now.after(HEDGE_MS), key, Due::Hedge));
            }
            self.start_attempt(addr, Some(key), call, end, out);
        }
    }

    const fn is_fair_turn(&self) -> bool {
        self.sends % FAIR_EVERY == FAIR_EVERY - 1
    }

    /// Returns the waiting call whose turn it is.
    fn first_waiting(&self, cost: Cost) -> Option<(Rank, CallKey)> {
        let waiting = &self.waiting[cost as usize];
        if self.is_fair_turn() {
            return waiting.iter().min_by_key(|(_, key)| *key).copied();
        }
        waiting.first().copied()
    }

    /// Sends a read that takes long to a second address as well.
    fn hedge(&mut self, now: UnixMs, key: CallKey, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&key) else {
            return;
        };
        let [attempt] = open.attempts[..] else {
            return;
        };
        let used = self.attempts.get(&attempt).map(|f| f.addr);
        let (rank, end, call) = (open.rank, open.end, Arc::clone(&open.call));
        if let Some(addr) = self.pick(used)
            && self.has_room(rank)
            && self.budget.take(now, Cost::Read, rank)
        {
            self.start_attempt(addr, Some(key), call, end, out);
        }
    }

    /// Returns the first address that takes calls, other than `used`.
    fn pick(&self, used: Option<Addr>) -> Option<Addr> {
        (0..self.breakers.len())
            .map(Addr)
            .filter(|a| Some(*a) != used)
            .find(|a| self.breakers[a.0].state() == State::Closed)
    }

    const fn has_room(&self, rank: Rank) -> bool {
        let kept = match rank {
            Rank::Lease => 0,
            _ => LEASE_ATTEMPTS,
        };
        self.in_flight + kept < ATTEMPT_LIMIT
    }

    fn start_attempt(
        &mut self,
        addr: Addr,
        key: Option<CallKey>,
        call: Arc<Call>,
        end: UnixMs,
        out: &mut Vec<Action>,
    ) {
        self.last_attempt += 1;
        let attempt = AttemptKey(self.last_attempt);
        let counts = !call.is_watch();
        self.in_flight += usize::from(counts);
        let entry = Attempt {
            addr,
            call: key,
            counts,
        };
        self.attempts.insert(attempt, entry);
        if let Some(open) = key.and_then(|k| self.open.get_mut(&k)) {
            open.attempts.push(attempt);
        }
        out.push(Action::Send(attempt, addr, call, end));
    }
}

/// What reading back a key says of a write whose outcome was unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadBack {
    /// The write took effect.
    Mine,
    /// Another write stands there, so that a create-if-absent never takes effect any more.
    Other,
    /// Nothing stands there; the write may still be under way.
    Absent,
}

/// Tells from the pair that was read back whose write it was.
pub fn read_back(pair: Option<&Pair>, is_mine: impl FnOnce(&[u8]) -> bool) -> ReadBack {
    match pair {
        None => ReadBack::Absent,
        Some(pair) if is_mine(&pair.value) => ReadBack::Mine,
        Some(_) => ReadBack::Other,
    }
}
