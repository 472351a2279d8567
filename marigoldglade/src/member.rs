//! Which daemons are alive.
//!
//! Time and messages of peers flow in, messages to peers and changes of the view flow out. After
//! SWIM (Das, Gupta and Motivala, DSN 2002): each daemon probes one neighbour a period, asks
//! others to probe when no answer comes, suspects before it declares dead, and sends what it
//! learned along with the probes. From Lifeguard (Dadgar, Phillips and Currey, 2017): a daemon
//! that seems to be slow itself gives others more time, and a suspect is told of the suspicion.
//! Neighbours are those at distances 1, 2, 4 and so on, on a ring in hash order, so that a daemon
//! has a bounded number of links and each is probed by as many others.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};
use xxhash_rust::xxh3::xxh3_64;

use crate::time::UnixMs;

/// The time between probes, and the longest time a probe may take, in milliseconds.
pub const PROBE_PERIOD_MS: u64 = 1_000;
/// The time for a direct answer before others are asked to probe, in milliseconds.
pub const DIRECT_MS: u64 = 400;
/// The time a suspect has to refute, in milliseconds.
pub const SUSPECT_MS: u64 = 5_000;
/// The time for which a dead member is remembered, in milliseconds.
pub const FORGET_MS: u64 = 600_000;
/// The time between attempts to reach a seed that isn't a live member, in milliseconds.
pub const SEED_MS: u64 = 5_000;
/// The time between attempts while no other member is known or the view is behind a peer's, in
/// milliseconds.
pub const JOIN_MS: u64 = 250;
/// A gap between two steps after which a daemon holds itself for paused, in milliseconds.
pub const PAUSE_MS: u64 = 2_500;
/// The time within which every live member knows that a member died, in milliseconds: its
/// neighbour's round of probes, one probe, the suspicion, and the spreading of the news.
pub const DETECT_MS: u64 = (DEGREE_LIMIT as u64 + 1 + 4) * PROBE_PERIOD_MS + SUSPECT_MS;
/// The most neighbours that a daemon probes.
pub const DEGREE_LIMIT: usize = 8;
/// The most entries in a message.
pub const NEWS_LIMIT: usize = 16;
/// The most members, living or remembered.
pub const MEMBER_LIMIT: usize = 1_024;
/// The most seeds.
pub const SEED_LIMIT: usize = 64;
/// The members asked to probe in a daemon's stead.
pub const RELAYS: usize = 3;
/// The most probes at a time in the stead of others.
pub const RELAY_LIMIT: usize = 64;
/// How far a daemon that seems to be slow stretches its patience.
pub const SLOW_LIMIT: u64 = 3;
/// The fast exchanges with which a new daemon fills its view, at most.
const CATCH_UP_LIMIT: u16 = 64;

/// How a member stands; of two entries of one incarnation the later in this order wins.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    IntoStaticStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "lowercase")]
pub enum State {
    /// It answers.
    Alive,
    /// It didn't answer and has time to refute.
    Suspect,
    /// It didn't refute.
    Dead,
    /// It said that it goes.
    Left,
}

impl State {
    /// Returns whether such a member counts as living.
    #[must_use]
    pub const fn lives(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// What is known of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its name, unique among live daemons.
    #[serde(rename = "n")]
    pub name: String,
    /// Its data centre.
    #[serde(rename = "c")]
    pub dc: String,
    /// Its mesh address.
    #[serde(rename = "a")]
    pub addr: SocketAddr,
    /// Grows when the member starts and when it refutes; only the member itself sets it.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// How it stands.
    #[serde(rename = "s")]
    pub state: State,
}

impl Entry {
    fn rank(&self) -> (u64, State) {
        (self.incarnation, self.state)
    }
}

/// What daemons tell each other about members. The first of `news` is the sender itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Wants an [`Message::Ack`].
    Ping {
        /// Comes back in the answer.
        #[serde(rename = "q")]
        seq: u64,
        /// Whom it is for; empty for whoever has the address.
        #[serde(rename = "t")]
        to: String,
        /// The digest of the sender's view.
        #[serde(rename = "d")]
        digest: u64,
        /// What the sender has to tell.
        #[serde(rename = "e")]
        news: Vec<Entry>,
    },
    /// The answer to a ping.
    Ack {
        /// That of the ping.
        #[serde(rename = "q")]
        seq: u64,
        /// The digest of the sender's view.
        #[serde(rename = "d")]
        digest: u64,
        /// What the sender has to tell.
        #[serde(rename = "e")]
        news: Vec<Entry>,
    },
    /// Wants the receiver to ping another in the sender's stead.
    Seek {
        /// Comes back in the answer.
        #[serde(rename = "q")]
        seq: u64,
        /// Whom to ping.
        #[serde(rename = "t")]
        to: String,
        /// Where it is.
        #[serde(rename = "a")]
        addr: SocketAddr,
    },
    /// The answer to a seek: whether the other answered.
    Sought {
        /// That of the seek.
        #[serde(rename = "q")]
        seq: u64,
        /// Whether it answered.
        #[serde(rename = "f")]
        found: bool,
    },
}

/// What the filter is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A message came from the daemon with this mesh address.
    Message(SocketAddr, Message),
    /// Addresses at which daemons may be.
    Seeds(Vec<SocketAddr>),
    /// This daemon is about to go.
    Leave,
}

/// What the filter wants done, or tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message; it may get lost.
    Send(SocketAddr, Message),
    /// The view changed: this is how a member now stands.
    Changed(Entry),
    /// Others held this daemon for dead or suspect, and it refuted.
    Refuted,
}

struct Slot {
    entry: Entry,
    /// When a suspect is declared dead, or when a dead member is forgotten.
    end: UnixMs,
    /// How often the entry is still sent along.
    sends: u8,
    /// When this daemon last began to probe it.
    probed: UnixMs,
    /// Whether its view was another at the last contact.
    differs: bool,
}

struct Probe {
    seq: u64,
    /// Empty for a seed.
    name: String,
    addr: SocketAddr,
    direct_end: UnixMs,
    end: UnixMs,
    relayed: bool,
    /// Whether a relay answered, so that this daemon's own links work.
    heard: bool,
}

struct Relay {
    seq: u64,
    origin: SocketAddr,
    origin_seq: u64,
    name: String,
    end: UnixMs,
}

/// The members as one daemon sees them.
pub struct Members {
    me: Entry,
    slots: BTreeMap<String, Slot>,
    seeds: Vec<SocketAddr>,
    ring: Vec<String>,
    digest: u64,
    probe: Option<Probe>,
    relays: Vec<Relay>,
    seq: u64,
    /// The name after which the next exchange of a differing view goes on.
    cursor: String,
    next_probe: UnixMs,
    next_seed: UnixMs,
    last_step: UnixMs,
    catch_up: u16,
    slow: u64,
    refused: u64,
    rng: ChaCha8Rng,
}

impl Members {
    /// Starts with this daemon alone; `now` becomes its incarnation, so that a daemon that starts
    /// anew under its old name supersedes what is said of its former self.
    #[must_use]
    pub fn new(name: &str, dc: &str, addr: SocketAddr, now: UnixMs, seed: u64) -> Self {
        let me = Entry {
            name: name.to_owned(),
            dc: dc.to_owned(),
            addr,
            incarnation: now.0,
            state: State::Alive,
        };
        let mut members = Self {
            me,
            slots: BTreeMap::new(),
            seeds: Vec::new(),
            ring: Vec::new(),
            digest: 0,
            probe: None,
            relays: Vec::new(),
            seq: 0,
            cursor: String::new(),
            next_probe: now,
            next_seed: now,
            last_step: now,
            catch_up: CATCH_UP_LIMIT,
            slow: 0,
            refused: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        members.renew_view();
        members
    }

    /// Returns this daemon's own entry.
    #[must_use]
    pub fn me(&self) -> &Entry {
        &self.me
    }

    /// Returns the living members, this daemon among them, in order of their names.
    #[must_use]
    pub fn live(&self) -> Vec<&Entry> {
        let mut live: Vec<&Entry> = self
            .slots
            .values()
            .map(|s| &s.entry)
            .chain([&self.me])
            .filter(|e| e.state.lives())
            .collect();
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Returns what is known of a member, living or remembered.
    #[must_use]
    pub fn entry(&self, name: &str) -> Option<&Entry> {
        if name == self.me.name {
            return Some(&self.me);
        }
        self.slots.get(name).map(|s| &s.entry)
    }

    /// Returns the number of other members, living or remembered.
    #[must_use]
    pub fn known(&self) -> usize {
        self.slots.len()
    }

    /// Returns a digest of the living members; equal views have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns how many entries were refused because the view was full.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the members that this daemon probes: those 1, 2, 4 and so on further on the ring.
    #[must_use]
    pub fn neighbours(&self) -> Vec<&Entry> {
        let size = self.ring.len();
        let Some(at) = self.ring.iter().position(|n| *n == self.me.name) else {
            return Vec::new();
        };
        (0..DEGREE_LIMIT)
            .map(|i| 1 << i)
            .take_while(|distance| *distance < size)
            .filter_map(|distance| self.slots.get(&self.ring[(at + distance) % size]))
            .map(|s| &s.entry)
            .collect()
    }

    /// Takes one event at `now`.
    pub fn step(&mut self, now: UnixMs, event: Event, out: &mut Vec<Action>) {
        self.notice_pause(now);
        match event {
            Event::Tick => self.tick(now, out),
            Event::Message(from, message) => self.message(now, from, message, out),
            Event::Seeds(mut seeds) => {
                seeds.retain(|a| *a != self.me.addr);
                seeds.truncate(SEED_LIMIT);
                self.seeds = seeds;
            }
            Event::Leave => self.leave(out),
        }
    }

    /// After a pause, what this daemon waited for says nothing about the others.
    fn notice_pause(&mut self, now: UnixMs) {
        if now.since(self.last_step) > PAUSE_MS {
            self.probe = None;
            self.relays.clear();
            self.next_probe = now;
            self.catch_up = CATCH_UP_LIMIT;
            for slot in self.slots.values_mut() {
                slot.sends = 0;
                if slot.entry.state == State::Suspect {
                    slot.end = now.after(SUSPECT_MS);
                }
            }
        }
        self.last_step = now;
    }

    fn tick(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if self.me.state == State::Left {
            return;
        }
        self.end_relays(now, out);
        self.end_suspicions(now, out);
        self.forget(now);
        self.end_probe(now, out);
        if self.probe.is_none() && self.next_probe.passed(now) {
            self.start_probe(now, out);
        }
    }

    fn start_probe(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let period = if self.catch_up > 0 {
            JOIN_MS
        } else {
            PROBE_PERIOD_MS
        };
        self.next_probe = now.after(period);
        if let Some(addr) = self.seed_due(now) {
            self.send_ping(now, String::new(), addr, out);
            return;
        }
        let Some((name, addr)) = self.probe_target(now) else {
            return;
        };
        if let Some(slot) = self.slots.get_mut(&name) {
            slot.probed = now;
        }
        self.send_ping(now, name, addr, out);
    }

    /// The neighbour that was probed longest ago; a suspect's turn comes sooner.
    fn probe_target(&self, now: UnixMs) -> Option<(String, SocketAddr)> {
        let age = |e: &Entry| {
            let age = self.slots.get(&e.name).map_or(0, |s| now.since(s.probed));
            let boost = match e.state {
                State::Suspect => SUSPECT_MS,
                _ => 0,
            };
            age.saturating_add(boost)
        };
        self.neighbours()
            .into_iter()
            .max_by_key(|e| age(e))
            .map(|e| (e.name.clone(), e.addr))
    }

    /// A seed or a dead member's address that no live member has, once in a while.
    fn seed_due(&mut self, now: UnixMs) -> Option<SocketAddr> {
        if !self.next_seed.passed(now) {
            return None;
        }
        let alone = self.ring.len() < 2;
        self.next_seed = now.after(if alone { JOIN_MS } else { SEED_MS });
        let lives = |addr: &SocketAddr| {
            self.slots
                .values()
                .any(|s| s.entry.state.lives() && s.entry.addr == *addr)
        };
        let dead = self
            .slots
            .values()
            .filter(|s| s.entry.state == State::Dead)
            .map(|s| s.entry.addr);
        let spots: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .chain(dead)
            .filter(|a| !lives(a))
            .collect();
        spots.choose(&mut self.rng).copied()
    }

    fn send_ping(&mut self, now: UnixMs, name: String, addr: SocketAddr, out: &mut Vec<Action>) {
        self.seq += 1;
        let differs = self.slots.get(&name).is_some_and(|s| s.differs);
        let message = Message::Ping {
            seq: self.seq,
            to: name.clone(),
            digest: self.digest,
            news: self.news(&name, differs),
        };
        out.push(Action::Send(addr, message));
        let patience = 1 + self.slow;
        self.probe = Some(Probe {
            seq: self.seq,
            relayed: name.is_empty(),
            name,
            addr,
            direct_end: now.after(DIRECT_MS * patience),
            end: now.after(PROBE_PERIOD_MS * patience),
            heard: false,
        });
    }

    fn end_probe(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let Some(probe) = &mut self.probe else { return };
        if !probe.relayed && probe.direct_end.passed(now) {
            probe.relayed = true;
            let seek = Message::Seek {
                seq: probe.seq,
                to: probe.name.clone(),
                addr: probe.addr,
            };
            let name = probe.name.clone();
            for relay in self.pick_relays(&name) {
                out.push(Action::Send(relay, seek.clone()));
            }
            return;
        }
        // A seed owes no answer, so that it holds up nothing.
        let over = probe.end.passed(now) || (probe.name.is_empty() && probe.direct_end.passed(now));
        if !over {
            return;
        }
        let Some(probe) = self.probe.take() else {
            return;
        };
        let Some(slot) = self.slots.get(&probe.name) else {
            return;
        };
        if !probe.heard {
            self.slow = (self.slow + 1).min(SLOW_LIMIT);
        }
        if slot.entry.state == State::Alive {
            let mut entry = slot.entry.clone();
            entry.state = State::Suspect;
            self.merge(now, entry, out);
        }
    }

    fn pick_relays(&mut self, but: &str) -> Vec<SocketAddr> {
        let spots: Vec<SocketAddr> = self
            .neighbours()
            .into_iter()
            .filter(|e| e.name != but && e.state == State::Alive)
            .map(|e| e.addr)
            .collect();
        spots.sample(&mut self.rng, RELAYS).copied().collect()
    }

    fn end_relays(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        self.relays.retain(|r| {
            let over = r.end.passed(now);
            if over {
                let message = Message::Sought {
                    seq: r.origin_seq,
                    found: false,
                };
                out.push(Action::Send(r.origin, message));
            }
            !over
        });
    }

    fn end_suspicions(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let over: Vec<Entry> = self
            .slots
            .values()
            .filter(|s| s.entry.state == State::Suspect && s.end.passed(now))
            .map(|s| s.entry.clone())
            .collect();
        for mut entry in over {
            entry.state = State::Dead;
            self.merge(now, entry, out);
        }
    }

    fn forget(&mut self, now: UnixMs) {
        self.slots
            .retain(|_, s| s.entry.state.lives() || !s.end.passed(now));
    }

    fn message(&mut self, now: UnixMs, from: SocketAddr, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Ping {
                seq,
                to,
                digest,
                news,
            } => self.take_ping(now, from, (seq, &to, digest), news, out),
            Message::Ack { seq, digest, news } => self.take_ack(now, (seq, digest), news, out),
            Message::Seek { seq, to, addr } => self.take_seek(now, (from, seq), to, addr, out),
            Message::Sought { seq, found } => self.take_sought(seq, found),
        }
    }

    fn take_ping(
        &mut self,
        now: UnixMs,
        from: SocketAddr,
        (seq, to, digest): (u64, &str, u64),
        news: Vec<Entry>,
        out: &mut Vec<Action>,
    ) {
        let sender = news.first().map(|e| e.name.clone()).unwrap_or_default();
        self.take_news(now, news, out);
        // The address may have passed to this daemon from one that is gone.
        if (!to.is_empty() && to != self.me.name) || self.me.state == State::Left {
            return;
        }
        let differs = digest != self.digest;
        let message = Message::Ack {
            seq,
            digest: self.digest,
            news: self.news(&sender, differs),
        };
        out.push(Action::Send(from, message));
    }

    fn take_ack(
        &mut self,
        now: UnixMs,
        (seq, digest): (u64, u64),
        news: Vec<Entry>,
        out: &mut Vec<Action>,
    ) {
        let sender = news.first().map(|e| e.name.clone()).unwrap_or_default();
        self.take_news(now, news, out);
        self.note_digest(&sender, digest);
        if let Some(at) = self
            .relays
            .iter()
            .position(|r| r.seq == seq && r.name == sender)
        {
            let relay = self.relays.swap_remove(at);
            let message = Message::Sought {
                seq: relay.origin_seq,
                found: true,
            };
            out.push(Action::Send(relay.origin, message));
        }
        let answers = |p: &mut Probe| p.seq == seq && (p.name == sender || p.name.is_empty());
        if self.probe.take_if(answers).is_some() {
            self.slow = self.slow.saturating_sub(1);
        }
    }

    fn note_digest(&mut self, sender: &str, digest: u64) {
        let differs = digest != self.digest;
        if let Some(slot) = self.slots.get_mut(sender) {
            slot.differs = differs;
        }
        self.catch_up = if differs {
            self.catch_up.saturating_sub(1)
        } else {
            0
        };
    }

    fn take_seek(
        &mut self,
        now: UnixMs,
        (origin, origin_seq): (SocketAddr, u64),
        to: String,
        addr: SocketAddr,
        out: &mut Vec<Action>,
    ) {
        if self.relays.len() >= RELAY_LIMIT {
            return;
        }
        self.seq += 1;
        let message = Message::Ping {
            seq: self.seq,
            to: to.clone(),
            digest: self.digest,
            news: self.news(&to, false),
        };
        out.push(Action::Send(addr, message));
        self.relays.push(Relay {
            seq: self.seq,
            origin,
            origin_seq,
            name: to,
            end: now.after(DIRECT_MS),
        });
    }

    fn take_sought(&mut self, seq: u64, found: bool) {
        let Some(probe) = &mut self.probe else { return };
        if probe.seq != seq {
            return;
        }
        probe.heard = true;
        if found {
            self.probe = None;
        }
    }

    fn take_news(&mut self, now: UnixMs, news: Vec<Entry>, out: &mut Vec<Action>) {
        for entry in news.into_iter().take(NEWS_LIMIT + 2) {
            self.merge(now, entry, out);
        }
    }

    /// Takes an entry if it is newer; entries form a semilattice by incarnation and state.
    fn merge(&mut self, now: UnixMs, entry: Entry, out: &mut Vec<Action>) {
        if entry.name == self.me.name {
            self.refute(&entry, out);
            return;
        }
        let known = self.slots.get(&entry.name);
        let newer = match known {
            Some(slot) => entry.rank() > slot.entry.rank(),
            // What nobody here knew alive needn't be remembered as dead.
            None => entry.state.lives(),
        };
        if !newer {
            return;
        }
        if known.is_none() && self.slots.len() >= MEMBER_LIMIT {
            self.refused += 1;
            return;
        }
        self.supersede(now, &entry, out);
        self.put(now, entry, out);
    }

    fn put(&mut self, now: UnixMs, entry: Entry, out: &mut Vec<Action>) {
        let end = match entry.state {
            State::Alive => UnixMs::MAX,
            State::Suspect => now.after(SUSPECT_MS),
            State::Dead | State::Left => now.after(FORGET_MS),
        };
        let sends = self.send_count();
        let old = self.slots.get(&entry.name);
        let changed = old.is_none_or(|s| s.entry.state != entry.state);
        let slot = Slot {
            end,
            sends,
            probed: old.map_or(UnixMs(0), |s| s.probed),
            differs: old.is_some_and(|s| s.differs),
            entry: entry.clone(),
        };
        self.slots.insert(entry.name.clone(), slot);
        self.renew_view();
        if changed {
            out.push(Action::Changed(entry));
        }
    }

    /// An address has one daemon: the one that came later.
    fn supersede(&mut self, now: UnixMs, entry: &Entry, out: &mut Vec<Action>) {
        if entry.state != State::Alive {
            return;
        }
        let gone: Vec<Entry> = self
            .slots
            .values()
            .map(|s| &s.entry)
            .filter(|e| e.addr == entry.addr && e.name != entry.name && e.state.lives())
            .filter(|e| e.incarnation < entry.incarnation)
            .cloned()
            .collect();
        for mut old in gone {
            old.state = State::Dead;
            self.put(now, old, out);
        }
    }

    fn refute(&mut self, entry: &Entry, out: &mut Vec<Action>) {
        if self.me.state == State::Left {
            return;
        }
        let accused = entry.state != State::Alive && entry.incarnation >= self.me.incarnation;
        let doubled = entry.state == State::Alive && entry.incarnation > self.me.incarnation;
        if accused || doubled {
            self.me.incarnation = entry.incarnation.saturating_add(1);
            self.renew_view();
            out.push(Action::Refuted);
        }
    }

    fn leave(&mut self, out: &mut Vec<Action>) {
        let peers: Vec<(String, SocketAddr)> = self
            .neighbours()
            .into_iter()
            .map(|e| (e.name.clone(), e.addr))
            .collect();
        self.me.state = State::Left;
        for (name, addr) in peers {
            self.seq += 1;
            let message = Message::Ping {
                seq: self.seq,
                digest: self.digest,
                news: self.news(&name, false),
                to: name,
            };
            out.push(Action::Send(addr, message));
        }
    }

    /// Chooses what goes along in a message to `to`: this daemon, what is said of `to` unless it
    /// is well, the news sent least often, and the next part of the view if the views differ.
    fn news(&mut self, to: &str, differs: bool) -> Vec<Entry> {
        let mut news = vec![self.me.clone()];
        if let Some(slot) = self.slots.get(to)
            && slot.entry.state != State::Alive
        {
            news.push(slot.entry.clone());
        }
        let mut fresh: Vec<(u8, String)> = self
            .slots
            .values()
            .filter(|s| s.sends > 0 && s.entry.name != to)
            .map(|s| (s.sends, s.entry.name.clone()))
            .collect();
        fresh.sort_by(|a, b| b.cmp(a));
        for (_, name) in fresh.into_iter().take(NEWS_LIMIT) {
            if let Some(slot) = self.slots.get_mut(&name) {
                slot.sends -= 1;
                news.push(slot.entry.clone());
            }
        }
        if differs {
            self.page(to, &mut news);
        }
        news
    }

    fn page(&mut self, to: &str, news: &mut Vec<Entry>) {
        let room = NEWS_LIMIT.saturating_sub(news.len());
        let after = (
            std::ops::Bound::Excluded(self.cursor.clone()),
            std::ops::Bound::Unbounded,
        );
        let names: Vec<String> = self
            .slots
            .range(after)
            .chain(self.slots.iter())
            .map(|(name, _)| name)
            .filter(|name| *name != to)
            .take(room.min(self.slots.len()))
            .cloned()
            .collect();
        for name in names {
            if let Some(slot) = self.slots.get(&name)
                && !news.contains(&slot.entry)
            {
                news.push(slot.entry.clone());
            }
            self.cursor = name;
        }
    }

    /// Three times the rounds that an epidemic takes to reach all.
    fn send_count(&self) -> u8 {
        let rounds = (self.ring.len() + 1).next_power_of_two().ilog2();
        u8::try_from(3 * rounds.max(1)).unwrap_or(u8::MAX)
    }

    fn renew_view(&mut self) {
        let live = self.live();
        let mut ring: Vec<(u64, String)> = live
            .iter()
            .map(|e| (xxh3_64(e.name.as_bytes()), e.name.clone()))
            .collect();
        let digest = live
            .iter()
            .map(|e| xxh3_64(format!("{} {}", e.name, e.incarnation).as_bytes()))
            .fold(0, |a, b| a ^ b);
        ring.sort();
        self.digest = digest;
        self.ring = ring.into_iter().map(|(_, name)| name).collect();
    }
}
