//! Which daemons relay the owner's orders to the workers, and which of them still answer.
//!
//! In a large fleet the owner doesn't talk to every worker itself: a few daemons of each data centre,
//! the relays, keep the connections to its workers and exchange batches with the owner. Workers are
//! spread by rendezvous hashing (Thaler and Ravishankar, 1998), so that a relay that comes or goes
//! moves few workers, and every owner chooses the same relays, which keep their connections.
//!
//! A relay has no authority: an order carries the owner's term and a deadline on the worker's clock,
//! so one that a relay sends late is refused or has no effect. An order without a response from the
//! relay counts as lost, and the worker's next order takes another way.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use crate::batch::engine::WorkerKey;
use crate::batch::messages::RelayedResponse;
use crate::batch::worker::{Order, OrderResponse, Target};
use crate::time::UnixMs;

/// The number of workers of a data centre for each of its relays. Below it the owner sends directly.
pub const WORKERS_PER_RELAY: usize = 64;
/// How long a relay may send nothing while orders wait, in milliseconds: three times the longest time
/// after which it shows that it is alive.
const SILENCE_MS: u64 = 900;
/// How long a relay that didn't answer gets no orders, in milliseconds.
const SUSPENSION_MS: u64 = 3_000;
/// How much longer than an order's own limit its response may take through a relay, in milliseconds.
const RELAY_MARGIN_MS: u64 = 200;
/// How long a relay whose key is missing from the store is kept while it answers, in milliseconds:
/// the keys of live daemons are back within this time after an outage of the store.
const UNLISTED_MS: u64 = 10_000;
/// The time between two checks at which the owner counts as having been held up itself, in
/// milliseconds. Responses may then be waiting unread, so no relay is judged.
const HELD_UP_MS: u64 = 200;

/// A daemon that can relay orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The daemon's name.
    pub name: String,
    /// The daemon's mesh address.
    pub addr: SocketAddr,
    /// The daemon's data centre.
    pub dc: String,
    /// The processor capacity of the daemon's VM, in thousandths of a core.
    pub cores: u32,
}

/// Identifies a relay within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RelayKey(u32);

/// The way of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The owner sends the order itself.
    Direct,
    /// A relay sends it.
    Relay(RelayKey),
}

struct Relay {
    candidate: Candidate,
    /// Until when the relay may be used although the store doesn't list it; `None` while it does.
    unlisted_until: Option<UnixMs>,
    /// When the relay last sent anything.
    heard_at: UnixMs,
    /// Until when the relay gets no orders because it didn't answer.
    suspended_until: UnixMs,
    /// Whether the relay said that it stops.
    stopping: bool,
    /// The number of orders that wait for a response.
    waiting: usize,
    /// When the relay got an order while it had none.
    waiting_since: UnixMs,
}

impl Relay {
    fn is_usable(&self, now: UnixMs) -> bool {
        !self.stopping
            && self.suspended_until.passed(now)
            && self.unlisted_until.is_none_or(|at| !at.passed(now))
    }
}

/// An order that waits for a response.
struct Waiting {
    relay: RelayKey,
    worker: WorkerKey,
    order: Order,
    expires_at: UnixMs,
}

/// The relays and the orders under way through them.
pub struct Links {
    relays: Vec<Relay>,
    by_addr: HashMap<SocketAddr, RelayKey>,
    /// The number of workers by data centre.
    workers: BTreeMap<String, usize>,
    /// The relays in use by the data centre of their workers.
    chosen: HashMap<String, Vec<RelayKey>>,
    /// The routes of workers, as computed for the current choice.
    routes: HashMap<WorkerKey, Route>,
    waiting: BTreeMap<u64, Waiting>,
    last_number: u64,
    checked_at: UnixMs,
}

impl Links {
    /// Creates the state without any relay.
    #[must_use]
    pub fn new(now: UnixMs) -> Self {
        Self {
            relays: Vec::new(),
            by_addr: HashMap::new(),
            workers: BTreeMap::new(),
            chosen: HashMap::new(),
            routes: HashMap::new(),
            waiting: BTreeMap::new(),
            last_number: 0,
            checked_at: now,
        }
    }

    /// Sets the daemons that the store lists.
    pub fn set_candidates(&mut self, now: UnixMs, candidates: Vec<Candidate>) {
        let listed: HashMap<SocketAddr, Candidate> =
            candidates.into_iter().map(|c| (c.addr, c)).collect();
        for relay in &mut self.relays {
            if !listed.contains_key(&relay.candidate.addr) {
                relay.unlisted_until.get_or_insert(now.after(UNLISTED_MS));
            }
        }
        for (addr, candidate) in listed {
            match self.by_addr.get(&addr) {
                Some(key) => {
                    let relay = &mut self.relays[index(*key)];
                    // Another process may have taken over the address.
                    relay.stopping &= relay.unlisted_until.is_none();
                    relay.unlisted_until = None;
                    relay.candidate = candidate;
                }
                None => self.add(now, candidate),
            }
        }
        self.choose(now);
    }

    fn add(&mut self, now: UnixMs, candidate: Candidate) {
        let key = RelayKey(u32::try_from(self.relays.len()).unwrap_or(u32::MAX));
        self.by_addr.insert(candidate.addr, key);
        self.relays.push(Relay {
            candidate,
            unlisted_until: None,
            heard_at: now,
            suspended_until: now,
            stopping: false,
            waiting: 0,
            waiting_since: now,
        });
    }

    /// Sets the workers that are present.
    pub fn set_workers<'a>(&mut self, now: UnixMs, targets: impl Iterator<Item = &'a Target>) {
        let mut workers: BTreeMap<String, usize> = BTreeMap::new();
        for target in targets {
            match workers.get_mut(&target.dc) {
                Some(count) => *count += 1,
                None => {
                    workers.insert(target.dc.clone(), 1);
                }
            }
        }
        if workers != self.workers {
            self.workers = workers;
            self.choose(now);
        }
    }

    /// Chooses the relays of each data centre: those on the largest VMs, of its own daemons if there
    /// are any.
    fn choose(&mut self, now: UnixMs) {
        let mut chosen = HashMap::new();
        for (dc, workers) in &self.workers {
            let usable = |k: &RelayKey| self.relays[index(*k)].is_usable(now);
            let all = (0..u32::try_from(self.relays.len()).unwrap_or(u32::MAX)).map(RelayKey);
            let usable: Vec<RelayKey> = all.filter(usable).collect();
            let near = |k: &RelayKey| self.relays[index(*k)].candidate.dc == *dc;
            let mut keys: Vec<RelayKey> = usable.iter().copied().filter(near).collect();
            if keys.is_empty() {
                keys = usable;
            }
            keys.sort_by_cached_key(|k| {
                let candidate = &self.relays[index(*k)].candidate;
                let order = weight(dc, &candidate.name);
                (Reverse(candidate.cores), order)
            });
            keys.truncate(workers / WORKERS_PER_RELAY);
            keys.sort_unstable();
            chosen.insert(dc.clone(), keys);
        }
        if chosen != self.chosen {
            self.chosen = chosen;
            self.routes.clear();
        }
    }

    /// Returns the way of an order to a worker.
    pub fn route(&mut self, worker: WorkerKey, target: &Target) -> Route {
        if let Some(route) = self.routes.get(&worker) {
            return *route;
        }
        let relays = self.chosen.get(&target.dc).map_or(&[][..], Vec::as_slice);
        let best = relays.iter().max_by_key(|k| {
            let relay = &self.relays[index(**k)];
            weight(&target.name, &relay.candidate.name)
        });
        let route = best.map_or(Route::Direct, |k| Route::Relay(*k));
        self.routes.insert(worker, route);
        route
    }

    /// Returns the address of a relay.
    #[must_use]
    pub fn addr(&self, relay: RelayKey) -> SocketAddr {
        self.relays[index(relay)].candidate.addr
    }

    /// Returns how many relays are in use.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.chosen.values().map(Vec::len).sum()
    }

    /// Notes an order that goes through a relay and returns its number. `limit_ms` is how long the
    /// relay waits for the worker.
    pub fn send(
        &mut self,
        now: UnixMs,
        relay: RelayKey,
        worker: WorkerKey,
        order: Order,
        limit_ms: u64,
    ) -> u64 {
        self.last_number += 1;
        let state = &mut self.relays[index(relay)];
        if state.waiting == 0 {
            state.waiting_since = now;
        }
        state.waiting += 1;
        let waiting = Waiting {
            relay,
            worker,
            order,
            expires_at: now.after(limit_ms + RELAY_MARGIN_MS),
        };
        self.waiting.insert(self.last_number, waiting);
        self.last_number
    }

    /// Takes the responses that a relay sent, and returns those that are still waited for.
    pub fn receive(
        &mut self,
        now: UnixMs,
        addr: SocketAddr,
        responses: Vec<RelayedResponse>,
        stopping: bool,
    ) -> Vec<(WorkerKey, Order, OrderResponse)> {
        let Some(key) = self.by_addr.get(&addr).copied() else {
            return Vec::new();
        };
        let relay = &mut self.relays[index(key)];
        relay.heard_at = now;
        if stopping && !relay.stopping {
            relay.stopping = true;
            self.choose(now);
        }
        let mut taken = Vec::with_capacity(responses.len());
        let mut late = 0;
        for r in responses {
            if self.waiting.get(&r.number).is_some_and(|w| w.relay == key)
                && let Some(waiting) = self.take(r.number)
            {
                taken.push((waiting.worker, waiting.order, r.response));
            } else {
                late += 1;
            }
        }
        if late > 0 {
            log::info!(relay:% = addr, late; "responses of a relay came after their orders were given up");
        }
        taken
    }

    fn take(&mut self, number: u64) -> Option<Waiting> {
        let waiting = self.waiting.remove(&number)?;
        let relay = &mut self.relays[index(waiting.relay)];
        relay.waiting = relay.waiting.saturating_sub(1);
        Some(waiting)
    }

    /// Notes that the link to a relay broke or couldn't be opened: its orders are lost, and it gets
    /// none for a while.
    pub fn fail(
        &mut self,
        now: UnixMs,
        addr: SocketAddr,
    ) -> Vec<(WorkerKey, Order, OrderResponse)> {
        let Some(key) = self.by_addr.get(&addr).copied() else {
            return Vec::new();
        };
        self.relays[index(key)].suspended_until = now.after(SUSPENSION_MS);
        let lost: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.relay == key)
            .map(|(number, _)| *number)
            .collect();
        self.choose(now);
        self.lose(lost)
    }

    /// Gives up orders that took too long and relays that are silent. Returns the lost orders and the
    /// addresses of the silent relays.
    pub fn check(
        &mut self,
        now: UnixMs,
    ) -> (Vec<(WorkerKey, Order, OrderResponse)>, Vec<SocketAddr>) {
        let held_up = now.since(self.checked_at) > HELD_UP_MS;
        self.checked_at = now;
        if held_up {
            for relay in &mut self.relays {
                relay.heard_at = now;
            }
        }
        let silent = |r: &Relay| {
            let since = r.heard_at.max(r.waiting_since);
            r.waiting > 0 && now.since(since) > SILENCE_MS
        };
        let addrs: Vec<SocketAddr> = self
            .relays
            .iter()
            .filter(|r| silent(r))
            .map(|r| r.candidate.addr)
            .collect();
        let mut lost = Vec::new();
        for addr in &addrs {
            log::warn!(relay:% = addr; "a relay doesn't answer; its workers' orders take another way");
            lost.extend(self.fail(now, *addr));
        }
        let expired: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, w)| !held_up && w.expires_at.passed(now))
            .map(|(number, _)| *number)
            .collect();
        lost.extend(self.lose(expired));
        self.choose(now);
        (lost, addrs)
    }

    fn lose(&mut self, numbers: Vec<u64>) -> Vec<(WorkerKey, Order, OrderResponse)> {
        let taken = numbers.into_iter().filter_map(|n| self.take(n));
        let taken: Vec<Waiting> = taken.collect();
        for lost in &taken {
            if let Order::Start(start) = &lost.order {
                let relay = self.addr(lost.relay);
                log::info!(task:% = start.task, run = start.run, relay:% = relay; "no response from the relay of a start");
            }
        }
        taken
            .into_iter()
            .map(|w| (w.worker, w.order, OrderResponse::Lost))
            .collect()
    }
}

fn index(key: RelayKey) -> usize {
    usize::try_from(key.0).unwrap_or(usize::MAX)
}

/// Returns the weight of a relay for a worker.
fn weight(worker: &str, relay: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (worker, relay).hash(&mut hasher);
    hasher.finish()
}
