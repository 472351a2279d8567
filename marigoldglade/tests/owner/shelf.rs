//! Daemons that compete for one data centre, around a fake store with leases and a fake clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use marigoldglade::owner::{Action, Candidate, Cause, Event, Holder, Ownership, PREFIX};
use marigoldglade::store::{
    Body, Call, Compare, Fault, Op, Outcome, Pair, Reply, Revision, TxnResult,
};
use marigoldglade::time::UnixMs;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK_MS: u64 = 100;
/// The time between two reads of the key by a daemon, in milliseconds.
const LIST_MS: u64 = 100;

/// A store with one key, bound to a lease.
#[derive(Default)]
struct FakeStore {
    revision: Revision,
    leases: BTreeMap<i64, u64>,
    last: i64,
    pair: Option<Pair>,
}

impl FakeStore {
    fn expire(&mut self, now: u64) {
        self.leases.retain(|_, end| *end > now);
        let lease = self.pair.as_ref().map(|p| p.lease);
        if lease.is_some_and(|l| !self.leases.contains_key(&l)) {
            self.pair = None;
            self.revision += 1;
        }
    }

    fn call(&mut self, now: u64, call: &Call) -> Result<Reply, Fault> {
        self.expire(now);
        let body = match call {
            Call::Grant { ttl_s } => {
                self.last += 1;
                self.leases
                    .insert(self.last, now + u64::from(*ttl_s) * 1_000);
                Body::Lease {
                    lease: self.last,
                    ttl_s: *ttl_s,
                }
            }
            Call::Renew { lease } => match self.leases.get_mut(lease) {
                Some(end) => {
                    *end = now + 10_000;
                    Body::Lease {
                        lease: *lease,
                        ttl_s: 10,
                    }
                }
                None => Body::Lease {
                    lease: *lease,
                    ttl_s: 0,
                },
            },
            Call::Revoke { lease } => {
                self.leases.remove(lease);
                self.expire(now);
                Body::Revoked
            }
            Call::Txn(txn) => {
                assert!(matches!(txn.when.as_slice(), [Compare::Absent(_)]));
                let held = self.pair.is_none();
                for op in if held { &txn.then } else { &txn.other } {
                    if let Op::Put(key, value, lease) = op {
                        if !self.leases.contains_key(lease) {
                            return Err(Fault::Refused);
                        }
                        self.revision += 1;
                        self.pair = Some(Pair {
                            key: key.clone(),
                            value: value.clone(),
                            created: self.revision,
                            changed: self.revision,
                            lease: *lease,
                        });
                    }
                }
                let pairs = self.pair.iter().cloned().collect();
                Body::Txn(TxnResult {
                    held,
                    outcomes: vec![Outcome::Pairs(pairs)],
                })
            }
            _ => return Err(Fault::Refused),
        };
        Ok(Reply {
            revision: self.revision,
            body,
        })
    }
}

/// The delays and losses of calls to the store.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// The longest delay of a call, in milliseconds.
    pub delay_ms: u64,
    /// The longest delay of an answer, in milliseconds.
    pub back_ms: u64,
    pub lost_percent: u32,
    pub down: bool,
}

impl Network {
    pub const HEALTHY: Self = Self {
        delay_ms: 10,
        back_ms: 10,
        lost_percent: 0,
        down: false,
    };
    pub const LOSSY: Self = Self {
        delay_ms: 4_000,
        back_ms: 4_000,
        lost_percent: 25,
        down: false,
    };
    /// Answers come just before their deadline.
    pub const SLOW: Self = Self {
        delay_ms: 20,
        back_ms: 1_400,
        lost_percent: 0,
        down: false,
    };
    pub const DOWN: Self = Self {
        delay_ms: 10,
        back_ms: 10,
        lost_percent: 0,
        down: true,
    };
}

struct Daemon {
    owner: Ownership,
    up: bool,
    paused: bool,
    /// Whether the daemon's calls no longer reach the store.
    cut: bool,
    /// How much the clock runs too fast, in thousandths; negative is too slow.
    drift: i64,
    /// How far the clock is ahead at the start, in milliseconds.
    offset: u64,
    next_list: u64,
    replies: Vec<(u64, Result<Reply, Fault>)>,
}

struct InFlight {
    at: u64,
    from: usize,
    id: u64,
    call: Call,
    back: u64,
    lost: bool,
}

/// The daemons, their store and the calls under way.
pub struct Cluster {
    now: u64,
    store: FakeStore,
    daemons: Vec<Daemon>,
    calls: Vec<InFlight>,
    replies: Vec<(u64, usize, u64, Result<Reply, Fault>)>,
    pub started: Vec<(usize, Revision)>,
    pub stopped: Vec<(usize, Cause)>,
    /// Whether the answer of the next transaction is lost.
    lose_next: bool,
    rng: ChaCha8Rng,
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(i).expect("few")))
}

impl Cluster {
    pub fn new(size: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let daemons = (0..size)
            .map(|i| Daemon {
                owner: Ownership::new("kista", &format!("entry-{i}"), addr(i)),
                up: true,
                paused: false,
                cut: false,
                drift: rng.random_range(-50..=50),
                offset: rng.random_range(0..10_000_000),
                next_list: 0,
                replies: Vec::new(),
            })
            .collect();
        Self {
            now: 1_000_000,
            store: FakeStore::default(),
            daemons,
            calls: Vec::new(),
            replies: Vec::new(),
            started: Vec::new(),
            stopped: Vec::new(),
            lose_next: false,
            rng,
        }
    }

    fn clock(&self, i: usize) -> UnixMs {
        let daemon = &self.daemons[i];
        let drift = i64::try_from(self.now).expect("small") * daemon.drift / 1_000;
        UnixMs(self.now.saturating_add_signed(drift) + daemon.offset)
    }

    pub fn run(&mut self, ms: u64, network: Network) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS;
            self.store.expire(self.now);
            self.deliver(network);
            for i in 0..self.daemons.len() {
                self.tick(i, network);
            }
            self.assert_one_owner();
        }
    }

    fn tick(&mut self, i: usize, network: Network) {
        let now = self.now;
        if !self.daemons[i].up || self.daemons[i].paused {
            return;
        }
        for (id, outcome) in std::mem::take(&mut self.daemons[i].replies) {
            self.step(i, Event::Reply(id, outcome), network);
        }
        if self.daemons[i].next_list <= now && !network.down {
            self.daemons[i].next_list = now + LIST_MS;
            let seen = self.store.pair.as_ref().and_then(Holder::from_pair);
            self.step(i, Event::KeySeen(seen), network);
        }
        let members = self.candidates();
        self.step(i, Event::Members(members), network);
    }

    fn candidates(&self) -> Vec<Candidate> {
        let up = (0..self.daemons.len()).filter(|i| self.daemons[*i].up);
        up.map(|i| Candidate {
            name: format!("entry-{i}"),
            dc: "kista".to_owned(),
        })
        .collect()
    }

    fn step(&mut self, i: usize, event: Event, network: Network) {
        let clock = self.clock(i);
        let mut out = Vec::new();
        self.daemons[i].owner.step(clock, event, &mut out);
        for action in out {
            match action {
                Action::Call(id, call, _) => self.send(i, id, call, network),
                Action::Started(epoch, _) => self.started.push((i, epoch)),
                Action::Stopped(cause) => self.stopped.push((i, cause)),
                Action::Renewed(_) | Action::HolderSeen(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, id: u64, call: Call, network: Network) {
        let there = self.rng.random_range(1..=network.delay_ms);
        let back = self.rng.random_range(1..=network.back_ms);
        let draw = self.rng.random_range(0..100);
        if network.down || self.daemons[from].cut || draw < network.lost_percent / 2 {
            let at = self.now + 1_500;
            self.replies.push((at, from, id, Err(Fault::Unknown)));
            return;
        }
        let lose = self.lose_next && matches!(call, Call::Txn(_));
        self.lose_next &= !lose;
        self.calls.push(InFlight {
            at: self.now + there,
            from,
            id,
            call,
            back,
            lost: lose || draw < network.lost_percent,
        });
    }

    fn deliver(&mut self, network: Network) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|c| c.at <= now);
        self.calls = rest;
        let mut due: Vec<InFlight> = due;
        due.sort_by_key(|c| c.at);
        for call in due {
            let outcome = self.store.call(now, &call.call);
            let outcome = if call.lost {
                Err(Fault::Unknown)
            } else {
                outcome
            };
            self.replies
                .push((now + call.back, call.from, call.id, outcome));
        }
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition(|r| r.0 <= now);
        self.replies = rest;
        for (_, to, id, outcome) in due {
            if self.daemons[to].paused {
                self.daemons[to].replies.push((id, outcome));
            } else if self.daemons[to].up {
                self.step(to, Event::Reply(id, outcome), network);
            }
        }
    }

    /// Returns the running daemons that take themselves for the owner.
    pub fn acting(&self) -> Vec<usize> {
        (0..self.daemons.len())
            .filter(|i| self.daemons[*i].up && !self.daemons[*i].paused)
            .filter(|i| self.daemons[*i].owner.may_act(self.clock(*i)))
            .collect()
    }

    fn assert_one_owner(&self) {
        let acting = self.acting();
        assert!(acting.len() <= 1, "{acting:?} own at {}", self.now);
        assert!(
            self.started
                .windows(2)
                .all(|w| w[0].1 < w[1].1 || w[0] == w[1])
        );
    }

    pub fn kill(&mut self, i: usize) {
        self.daemons[i].up = false;
    }

    pub fn pause(&mut self, i: usize) {
        self.daemons[i].paused = true;
    }

    /// Resumes a daemon. Before its next step it must know already whether it may act.
    pub fn resume(&mut self, i: usize) {
        self.daemons[i].paused = false;
        self.assert_one_owner();
    }

    pub fn stop(&mut self, i: usize, network: Network) {
        self.step(i, Event::Stop, network);
    }

    pub fn is_released(&self, i: usize) -> bool {
        self.daemons[i].owner.is_released()
    }

    pub fn cut(&mut self, i: usize) {
        self.daemons[i].cut = true;
    }

    /// Drops the answer to the next transaction, which still takes effect.
    pub fn lose_next(&mut self) {
        self.lose_next = true;
    }

    /// Sets by how many thousandths a clock runs too fast. Call it before the first `run`.
    pub fn set_drift(&mut self, i: usize, drift: i64) {
        self.daemons[i].drift = drift;
    }

    pub fn key(&self) -> String {
        self.store
            .pair
            .as_ref()
            .map(|p| p.key.replace(PREFIX, ""))
            .unwrap_or_default()
    }
}
