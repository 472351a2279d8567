//! A simulation of the memberships of many daemons, with in-memory links and a fake clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use marigoldglade::member::{Action, Entry, Event, Members, Message, State};
use marigoldglade::mesh::{self, Frame, FrameKind, Payload};
use marigoldglade::time::UnixMs;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK_MS: u64 = 100;
const INBOX_LIMIT: usize = 256;

/// How the links between daemons treat messages.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    drop_percent: u32,
    duplicate_percent: u32,
    delay_ms: u64,
}

impl Links {
    pub const RELIABLE: Self = Self {
        drop_percent: 0,
        duplicate_percent: 0,
        delay_ms: 3,
    };
    pub const LOSSY: Self = Self {
        drop_percent: 20,
        duplicate_percent: 10,
        delay_ms: 1_500,
    };
}

struct Daemon {
    members: Members,
    up: bool,
    paused: bool,
    inbox: Vec<(SocketAddr, Message)>,
    changes: Vec<Entry>,
    refuted: u64,
    sent: usize,
    bytes: usize,
    peers: BTreeSet<SocketAddr>,
}

/// A message in transit: its arrival time, number, sender and receiver.
type Delivery = Reverse<(u64, u64, usize, usize)>;

/// The simulated daemons, the clock and the messages in transit.
pub struct Fleet {
    daemons: Vec<Daemon>,
    dc_count: usize,
    now: UnixMs,
    deliveries: BinaryHeap<Delivery>,
    messages: BTreeMap<u64, Message>,
    count: u64,
    /// The daemons on one side of a network partition.
    isolated: Vec<bool>,
    split: Option<(usize, usize)>,
    most_updates: usize,
    replaced: usize,
    rng: ChaCha8Rng,
}

fn addr(i: usize) -> SocketAddr {
    let port = u16::try_from(1_000 + i).expect("a small fleet");
    SocketAddr::from(([10, 0, 0, 1], port))
}

impl Fleet {
    pub fn new(size: usize, dc_count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            daemons: Vec::new(),
            dc_count,
            now: UnixMs(1_000_000),
            deliveries: BinaryHeap::new(),
            messages: BTreeMap::new(),
            count: 0,
            isolated: vec![false; size],
            split: None,
            most_updates: 0,
            replaced: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for i in 0..size {
            let daemon = fleet.start(i, &format!("entry-{i}"));
            fleet.daemons.push(daemon);
        }
        fleet
    }

    fn start(&mut self, i: usize, name: &str) -> Daemon {
        let dc = format!("dc{}", i % self.dc_count);
        let seed = self.rng.random();
        let mut members = Members::new(name, &dc, addr(i), self.now, seed);
        let seeds = vec![addr(0), addr(1)];
        members.step(self.now, Event::Seeds(seeds), &mut Vec::new());
        Daemon {
            members,
            up: true,
            paused: false,
            inbox: Vec::new(),
            changes: Vec::new(),
            refuted: 0,
            sent: 0,
            bytes: 0,
            peers: BTreeSet::new(),
        }
    }

    pub fn run(&mut self, ms: u64, links: Links) {
        let end = self.now.after(ms);
        while self.now < end {
            self.deliver(links);
            for i in 0..self.daemons.len() {
                self.step(i, Event::Tick, links);
            }
            self.now = self.now.after(TICK_MS);
        }
    }

    fn deliver(&mut self, links: Links) {
        while self.deliveries.peek().is_some_and(|f| f.0.0 <= self.now.0) {
            let Some(Reverse((_, id, from, to))) = self.deliveries.pop() else {
                return;
            };
            let message = self.messages.remove(&id).expect("under way");
            let split = self.split == Some((from, to)) || self.split == Some((to, from));
            if split || self.isolated[from] != self.isolated[to] || !self.daemons[to].up {
                continue;
            }
            let daemon = &mut self.daemons[to];
            if daemon.paused {
                if daemon.inbox.len() < INBOX_LIMIT {
                    daemon.inbox.push((addr(from), message));
                }
                continue;
            }
            self.step(to, Event::Message(addr(from), message), links);
        }
    }

    fn step(&mut self, i: usize, event: Event, links: Links) {
        let daemon = &mut self.daemons[i];
        if !daemon.up || daemon.paused {
            return;
        }
        let mut out = Vec::new();
        daemon.members.step(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send(to, message) => self.send(i, to, message, links),
                Action::Changed(entry) => self.daemons[i].changes.push(entry),
                Action::Refuted => self.daemons[i].refuted += 1,
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message, links: Links) {
        if let Message::Ping { updates, .. } | Message::Ack { updates, .. } = &message {
            self.most_updates = self.most_updates.max(updates.len());
        }
        let frame = Frame {
            kind: FrameKind::Notification,
            payload: Payload::Member(message.clone()),
        };
        let daemon = &mut self.daemons[from];
        daemon.sent += 1;
        daemon.bytes += mesh::encode(&frame).expect("small").len();
        daemon.peers.insert(to);
        let Some(to) = usize::from(to.port())
            .checked_sub(1_000)
            .filter(|to| *to < self.daemons.len())
        else {
            return;
        };
        if self.rng.random_range(0..100) < links.drop_percent {
            return;
        }
        let twice = self.rng.random_range(0..100) < links.duplicate_percent;
        for _ in 0..=u8::from(twice) {
            let at = self.now.0 + self.rng.random_range(1..=links.delay_ms);
            self.count += 1;
            self.messages.insert(self.count, message.clone());
            self.deliveries.push(Reverse((at, self.count, from, to)));
        }
    }

    pub fn kill(&mut self, i: usize) {
        self.daemons[i].up = false;
    }

    pub fn leave(&mut self, i: usize) {
        self.step(i, Event::Leave, Links::RELIABLE);
        self.daemons[i].up = false;
    }

    /// Replaces a daemon, which left or was killed, with a new one at the same address.
    pub fn replace(&mut self, i: usize, gracefully: bool) {
        if gracefully {
            self.leave(i);
        }
        self.replaced += 1;
        let name = format!("entry-{i}-{}", self.replaced);
        self.daemons[i] = self.start(i, &name);
    }

    /// Restarts a daemon under its name and without its state.
    pub fn restart(&mut self, i: usize) {
        let name = self.daemons[i].members.me().name.clone();
        self.daemons[i] = self.start(i, &name);
    }

    pub fn pause(&mut self, i: usize) {
        self.daemons[i].paused = true;
    }

    pub fn resume(&mut self, i: usize) {
        self.daemons[i].paused = false;
        for (from, message) in std::mem::take(&mut self.daemons[i].inbox) {
            self.step(i, Event::Message(from, message), Links::RELIABLE);
        }
    }

    /// Resumes a daemon whose links broke while it was paused, so that it gets no old messages.
    pub fn resume_without_inbox(&mut self, i: usize) {
        self.daemons[i].inbox.clear();
        self.resume(i);
    }

    pub fn cut(&mut self, side: impl Fn(usize) -> bool) {
        self.isolated = (0..self.daemons.len()).map(side).collect();
    }

    /// Breaks the link between two daemons, both of which still reach all others.
    pub fn split(&mut self, a: usize, b: usize) {
        self.split = Some((a, b));
    }

    /// Returns whether `by` ever took a daemon other than `except` for suspect, dead or gone.
    pub fn suspected_others(&self, by: usize, except: usize) -> bool {
        let name = &self.daemons[except].members.me().name;
        let suspected = |e: &Entry| e.name != *name && e.state > State::Alive;
        self.daemons[by].changes.iter().any(suspected)
    }

    pub fn heal(&mut self) {
        self.isolated.fill(false);
    }

    pub fn inject(&mut self, i: usize, count: usize) {
        let me = self.daemons[i].members.me().clone();
        for n in 0..count {
            let updates = vec![Entry {
                name: format!("made-up-{n}"),
                addr: SocketAddr::from(([10, 9, 0, 1], 9)),
                incarnation: 1,
                ..me.clone()
            }];
            let message = Message::Ack {
                seq: 0,
                digest: 0,
                updates,
            };
            let event = Event::Message(addr(1), message);
            let daemon = &mut self.daemons[i];
            daemon.members.step(self.now, event, &mut Vec::new());
        }
    }

    fn running(&self) -> impl Iterator<Item = &Daemon> {
        self.daemons.iter().filter(|d| d.up)
    }

    /// Asserts that each running daemon's view holds exactly the running daemons, all alive.
    pub fn assert_agreed(&self) {
        let mut names: Vec<&str> = self
            .running()
            .map(|d| d.members.me().name.as_str())
            .collect();
        names.sort_unstable();
        for daemon in self.running() {
            let live = daemon.members.live();
            let seen: Vec<&str> = live.iter().map(|e| e.name.as_str()).collect();
            assert_eq!(seen, names, "as {} sees it", daemon.members.me().name);
            assert!(live.iter().all(|e| e.state == State::Alive));
        }
    }

    pub fn assert_no_dead_remembered(&self) {
        let live = self.running().count();
        for daemon in self.running() {
            assert_eq!(daemon.members.known_count() + 1, live);
        }
    }

    pub fn deaths_seen(&self, by: usize, of: usize) -> bool {
        let name = &self.daemons[of].members.me().name;
        let dead = |e: &Entry| e.name == *name && e.state == State::Dead;
        self.daemons[by].changes.iter().any(dead)
    }

    pub fn refuted(&self, i: usize) -> bool {
        self.daemons[i].refuted > 0
    }

    pub fn live_count(&self, i: usize) -> usize {
        self.daemons[i].members.live().len()
    }

    pub fn known_count(&self, i: usize) -> usize {
        self.daemons[i].members.known_count()
    }

    pub fn state_of(&self, by: usize, of: usize) -> Option<State> {
        let name = &self.daemons[of].members.me().name;
        self.daemons[by].members.entry(name).map(|e| e.state)
    }

    pub fn sent_by(&self, i: usize) -> usize {
        self.daemons[i].sent
    }

    pub fn bytes_by(&self, i: usize) -> usize {
        self.daemons[i].bytes
    }

    pub fn peers_of(&self, i: usize) -> usize {
        self.daemons[i].peers.len()
    }

    pub fn forget_peers(&mut self) {
        for daemon in &mut self.daemons {
            daemon.peers.clear();
        }
    }

    pub fn most_updates(&self) -> usize {
        self.most_updates
    }
}
