//! Membership: which daemons are alive.
//!
//! [`Members`] takes the time and messages of other daemons, and returns messages to send and
//! changes of its view. The protocol follows SWIM (Das, Gupta and Motivala, DSN 2002): in each
//! period a daemon pings one neighbour. When no ack comes, it asks other neighbours to ping that
//! member. A member that doesn't answer is first suspected and later declared dead. Updates about
//! members travel with pings and acks.
//!
//! Two extensions come from Lifeguard (Dadgar, Phillips and Currey, 2017): a daemon that seems to
//! be slow itself gives others more time, and a suspected member is told of the suspicion.
//!
//! The members form a ring in the order of their names' hashes. A daemon's neighbours are the
//! members 1, 2, 4 and so on further along the ring, so that the number of links of each daemon
//! is bounded and each daemon is probed by as many others as it probes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};
use xxhash_rust::xxh3::xxh3_64;

use crate::time::UnixMs;

/// The time between two probes, and the longest time a probe may take unless this daemon seems to
/// be slow, in milliseconds.
pub const PROBE_PERIOD_MS: u64 = 1_000;
/// The time to wait for an ack before other members are asked to ping, in milliseconds.
pub const ACK_TIMEOUT_MS: u64 = 400;
/// The time that a suspected member has to refute the suspicion, in milliseconds.
pub const SUSPICION_MS: u64 = 5_000;
/// The time for which a member that died or left is remembered, in milliseconds.
pub const FORGET_MS: u64 = 600_000;
/// The time between two pings of seeds and dead members' addresses, in milliseconds.
pub const SEED_INTERVAL_MS: u64 = 5_000;
/// The time between two probes while no other member is known or this daemon is catching up with
/// a peer's view, in milliseconds.
pub const JOIN_INTERVAL_MS: u64 = 250;
/// The longest time between two steps that isn't taken for a pause of this process, in
/// milliseconds.
pub const PAUSE_THRESHOLD_MS: u64 = 2_500;
/// The time within which every live member knows that a member died, in milliseconds.
///
/// It is the sum of a neighbour's round of probes, one probe, four periods in which the update
/// spreads, and the time of the suspicion.
pub const DETECT_MS: u64 = (NEIGHBOUR_LIMIT as u64 + 1 + 4) * PROBE_PERIOD_MS + SUSPICION_MS;
/// The most neighbours of a daemon, each of which it probes.
pub const NEIGHBOUR_LIMIT: usize = 8;
/// The most updates in a message, apart from the sender's own entry and the receiver's.
pub const UPDATE_LIMIT: usize = 16;
/// The most other members that are kept, live or remembered.
pub const MEMBER_LIMIT: usize = 1_024;
/// The most seeds that are kept.
pub const SEED_LIMIT: usize = 64;
/// The number of members asked to ping on behalf of a daemon that got no ack.
pub const RELAY_COUNT: usize = 3;
/// The most pings on behalf of others that may be in progress at a time.
pub const RELAY_LIMIT: usize = 64;
/// The greatest slowness that a daemon ascribes to itself. The timeouts of its probes are multiplied
/// by one plus the slowness.
pub const SLOWNESS_LIMIT: u64 = 3;
/// The most probes at the shorter interval with which a new or resumed daemon fills its view.
const CATCH_UP_LIMIT: u16 = 64;

/// The state of a member; of two entries of one incarnation, the one later in this order wins.
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
    /// The member answers.
    Alive,
    /// The member didn't answer and has time to refute the suspicion.
    Suspect,
    /// The member didn't refute the suspicion in time, or another daemon took its address.
    Dead,
    /// The member announced that it leaves.
    Left,
}

impl State {
    /// Returns whether a member in this state counts as live.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// What is known about a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The member's name, unique among live daemons.
    #[serde(rename = "n")]
    pub name: String,
    /// The member's data centre.
    #[serde(rename = "c")]
    pub dc: String,
    /// The member's mesh address.
    #[serde(rename = "a")]
    pub addr: SocketAddr,
    /// The member's incarnation, which grows when it starts and when it refutes a suspicion; only
    /// the member itself raises it.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// The member's state.
    #[serde(rename = "s")]
    pub state: State,
}

impl Entry {
    fn precedence(&self) -> (u64, State) {
        (self.incarnation, self.state)
    }
}

/// A message between daemons about members. The first of `updates` is the sender's own entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver for a [`Message::Ack`].
    Ping {
        /// A number that the response repeats.
        #[serde(rename = "q")]
        seq: u64,
        /// The name of the member that is pinged; empty for any daemon at the address.
        #[serde(rename = "t")]
        to: String,
        /// The digest of the sender's view.
        #[serde(rename = "d")]
        digest: u64,
        /// What the sender has to tell.
        #[serde(rename = "e")]
        updates: Vec<Entry>,
    },
    /// The response to a [`Message::Ping`].
    Ack {
        /// The number of the ping.
        #[serde(rename = "q")]
        seq: u64,
        /// The digest of the sender's view.
        #[serde(rename = "d")]
        digest: u64,
        /// What the sender has to tell.
        #[serde(rename = "e")]
        updates: Vec<Entry>,
    },
    /// Asks the receiver to ping another member on behalf of the sender.
    #[serde(rename = "Seek")]
    PingRequest {
        /// A number that the response repeats.
        #[serde(rename = "q")]
        seq: u64,
        /// The name of the member to ping.
        #[serde(rename = "t")]
        to: String,
        /// The mesh address of that member.
        #[serde(rename = "a")]
        addr: SocketAddr,
    },
    /// The response to a [`Message::PingRequest`].
    #[serde(rename = "Sought")]
    PingResult {
        /// The number of the ping request.
        #[serde(rename = "q")]
        seq: u64,
        /// Whether the pinged member sent an ack.
        #[serde(rename = "f")]
        found: bool,
    },
}

/// An input of [`Members`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message arrived from the daemon with this mesh address.
    Message(SocketAddr, Message),
    /// The addresses at which daemons may be found replace the ones known so far.
    Seeds(Vec<SocketAddr>),
    /// This daemon is about to stop.
    Leave,
}

/// An output of [`Members`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a mesh address; it may get lost.
    Send(SocketAddr, Message),
    /// A member is new or changed its state; this is its entry now.
    Changed(Entry),
    /// Others took this daemon for suspect or dead, or an entry claimed a higher incarnation of it,
    /// and it raised its incarnation.
    Refuted,
}

/// Another member, with what this daemon keeps about it.
struct Peer {
    entry: Entry,
    /// The time at which a suspect is declared dead, or a dead member forgotten.
    deadline: UnixMs,
    /// How many more messages carry the entry as an update.
    sends_left: u8,
    /// When this daemon last started to probe the member.
    probed_at: UnixMs,
    /// Whether the digest in the member's last ack differed from this daemon's.
    view_differs: bool,
}

/// The probe in progress.
struct Probe {
    seq: u64,
    /// The name of the probed member; empty for a seed.
    name: String,
    addr: SocketAddr,
    /// When other members are asked to ping, unless an ack came before.
    relay_at: UnixMs,
    deadline: UnixMs,
    relays_asked: bool,
    /// Whether a relay answered, which shows that this daemon's own links work.
    relay_answered: bool,
}

/// A ping that this daemon sent on behalf of another.
struct Relay {
    seq: u64,
    origin: SocketAddr,
    origin_seq: u64,
    name: String,
    deadline: UnixMs,
}

/// One daemon's view of the members.
pub struct Members {
    me: Entry,
    peers: BTreeMap<String, Peer>,
    seeds: Vec<SocketAddr>,
    ring: Vec<String>,
    digest: u64,
    probe: Option<Probe>,
    relays: Vec<Relay>,
    seq: u64,
    /// The last member that was sent to a peer with a differing view; the next page starts after
    /// it.
    cursor: String,
    next_probe_at: UnixMs,
    next_seed_at: UnixMs,
    last_step_at: UnixMs,
    /// How many more probes use the shorter interval.
    catch_up_left: u16,
    /// How slow this daemon seems to be. It grows with each failed probe for which no relay answered
    /// either, and shrinks with each ack.
    slowness: u64,
    /// How many entries were refused because the view was full.
    refused: u64,
    rng: ChaCha8Rng,
}

impl Members {
    /// Creates a view that contains only this daemon. Its incarnation is `now`, so that a daemon
    /// that restarts under its old name supersedes the entries of its previous incarnation.
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
            peers: BTreeMap::new(),
            seeds: Vec::new(),
            ring: Vec::new(),
            digest: 0,
            probe: None,
            relays: Vec::new(),
            seq: 0,
            cursor: String::new(),
            next_probe_at: now,
            next_seed_at: now,
            last_step_at: now,
            catch_up_left: CATCH_UP_LIMIT,
            slowness: 0,
            refused: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        members.rebuild_view();
        members
    }

    /// Returns this daemon's own entry.
    #[must_use]
    pub fn me(&self) -> &Entry {
        &self.me
    }

    /// Returns the live members including this daemon, ordered by name.
    #[must_use]
    pub fn live(&self) -> Vec<&Entry> {
        let mut live: Vec<&Entry> = self
            .peers
            .values()
            .map(|p| &p.entry)
            .chain([&self.me])
            .filter(|e| e.state.is_live())
            .collect();
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Returns the entry of a member, live or remembered.
    #[must_use]
    pub fn entry(&self, name: &str) -> Option<&Entry> {
        if name == self.me.name {
            return Some(&self.me);
        }
        self.peers.get(name).map(|p| &p.entry)
    }

    /// Returns the number of other members, live or remembered.
    #[must_use]
    pub fn known_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns a digest of the live members; equal views have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns how many entries were refused because the view was full.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the members that this daemon probes: those 1, 2, 4 and so on further along the ring.
    #[must_use]
    pub fn neighbours(&self) -> Vec<&Entry> {
        let size = self.ring.len();
        let Some(at) = self.ring.iter().position(|n| *n == self.me.name) else {
            return Vec::new();
        };
        (0..NEIGHBOUR_LIMIT)
            .map(|i| 1 << i)
            .take_while(|distance| *distance < size)
            .filter_map(|distance| self.peers.get(&self.ring[(at + distance) % size]))
            .map(|p| &p.entry)
            .collect()
    }

    /// Handles an event at `now` and appends the resulting actions to `out`.
    pub fn step(&mut self, now: UnixMs, event: Event, out: &mut Vec<Action>) {
        self.detect_pause(now);
        match event {
            Event::Tick => self.tick(now, out),
            Event::Message(from, message) => self.receive(now, from, message, out),
            Event::Seeds(mut seeds) => {
                seeds.retain(|a| *a != self.me.addr);
                seeds.truncate(SEED_LIMIT);
                self.seeds = seeds;
            }
            Event::Leave => self.leave(out),
        }
    }

    /// Detects that this process was paused. Timeouts that ran out during the pause say nothing about
    /// the other members, so the probes are dropped and suspects get their full time again.
    fn detect_pause(&mut self, now: UnixMs) {
        if now.since(self.last_step_at) > PAUSE_THRESHOLD_MS {
            self.probe = None;
            self.relays.clear();
            self.next_probe_at = now;
            self.catch_up_left = CATCH_UP_LIMIT;
            for peer in self.peers.values_mut() {
                peer.sends_left = 0;
                if peer.entry.state == State::Suspect {
                    peer.deadline = now.after(SUSPICION_MS);
                }
            }
        }
        self.last_step_at = now;
    }

    fn tick(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if self.me.state == State::Left {
            return;
        }
        self.expire_relays(now, out);
        self.expire_suspicions(now, out);
        self.forget_dead(now);
        self.check_probe(now, out);
        if self.probe.is_none() && self.next_probe_at.passed(now) {
            self.start_probe(now, out);
        }
    }

    fn start_probe(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let period = if self.catch_up_left > 0 {
            JOIN_INTERVAL_MS
        } else {
            PROBE_PERIOD_MS
        };
        self.next_probe_at = now.after(period);
        if let Some(addr) = self.choose_due_seed(now) {
            self.send_ping(now, String::new(), addr, out);
            return;
        }
        let Some((name, addr)) = self.probe_target(now) else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.probed_at = now;
        }
        self.send_ping(now, name, addr, out);
    }

    /// Returns the neighbour that was probed longest ago; a suspect's turn comes sooner.
    fn probe_target(&self, now: UnixMs) -> Option<(String, SocketAddr)> {
        let age = |e: &Entry| {
            let age = self
                .peers
                .get(&e.name)
                .map_or(0, |p| now.since(p.probed_at));
            let boost = match e.state {
                State::Suspect => SUSPICION_MS,
                _ => 0,
            };
            age.saturating_add(boost)
        };
        self.neighbours()
            .into_iter()
            .max_by_key(|e| age(e))
            .map(|e| (e.name.clone(), e.addr))
    }

    /// Returns a random address of a seed or a dead member that no live member has, if one is due.
    /// Dead members' addresses are tried so that the two sides of a network partition find each
    /// other again.
    fn choose_due_seed(&mut self, now: UnixMs) -> Option<SocketAddr> {
        if !self.next_seed_at.passed(now) {
            return None;
        }
        let alone = self.ring.len() < 2;
        self.next_seed_at = now.after(if alone {
            JOIN_INTERVAL_MS
        } else {
            SEED_INTERVAL_MS
        });
        let is_live = |addr: &SocketAddr| {
            self.peers
                .values()
                .any(|p| p.entry.state.is_live() && p.entry.addr == *addr)
        };
        let dead = self
            .peers
            .values()
            .filter(|p| p.entry.state == State::Dead)
            .map(|p| p.entry.addr);
        let addrs: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .chain(dead)
            .filter(|a| !is_live(a))
            .collect();
        addrs.choose(&mut self.rng).copied()
    }

    fn send_ping(&mut self, now: UnixMs, name: String, addr: SocketAddr, out: &mut Vec<Action>) {
        self.seq += 1;
        let differs = self.peers.get(&name).is_some_and(|p| p.view_differs);
        let message = Message::Ping {
            seq: self.seq,
            to: name.clone(),
            digest: self.digest,
            updates: self.choose_updates(&name, differs),
        };
        out.push(Action::Send(addr, message));
        let factor = 1 + self.slowness;
        self.probe = Some(Probe {
            seq: self.seq,
            relays_asked: name.is_empty(),
            name,
            addr,
            relay_at: now.after(ACK_TIMEOUT_MS * factor),
            deadline: now.after(PROBE_PERIOD_MS * factor),
            relay_answered: false,
        });
    }

    fn check_probe(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let Some(probe) = &mut self.probe else { return };
        if !probe.relays_asked && probe.relay_at.passed(now) {
            probe.relays_asked = true;
            let request = Message::PingRequest {
                seq: probe.seq,
                to: probe.name.clone(),
                addr: probe.addr,
            };
            let name = probe.name.clone();
            for relay in self.pick_relays(&name) {
                out.push(Action::Send(relay, request.clone()));
            }
            return;
        }
        // There may be no daemon at a seed, so a missing ack must not delay the next probe.
        let expired =
            probe.deadline.passed(now) || (probe.name.is_empty() && probe.relay_at.passed(now));
        if !expired {
            return;
        }
        let Some(probe) = self.probe.take() else {
            return;
        };
        let Some(peer) = self.peers.get(&probe.name) else {
            return;
        };
        if !probe.relay_answered {
            self.slowness = (self.slowness + 1).min(SLOWNESS_LIMIT);
        }
        if peer.entry.state == State::Alive {
            let mut entry = peer.entry.clone();
            entry.state = State::Suspect;
            self.merge(now, entry, out);
        }
    }

    fn pick_relays(&mut self, except: &str) -> Vec<SocketAddr> {
        let addrs: Vec<SocketAddr> = self
            .neighbours()
            .into_iter()
            .filter(|e| e.name != except && e.state == State::Alive)
            .map(|e| e.addr)
            .collect();
        addrs.sample(&mut self.rng, RELAY_COUNT).copied().collect()
    }

    fn expire_relays(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        self.relays.retain(|r| {
            let expired = r.deadline.passed(now);
            if expired {
                let message = Message::PingResult {
                    seq: r.origin_seq,
                    found: false,
                };
                out.push(Action::Send(r.origin, message));
            }
            !expired
        });
    }

    fn expire_suspicions(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let expired: Vec<Entry> = self
            .peers
            .values()
            .filter(|p| p.entry.state == State::Suspect && p.deadline.passed(now))
            .map(|p| p.entry.clone())
            .collect();
        for mut entry in expired {
            entry.state = State::Dead;
            self.merge(now, entry, out);
        }
    }

    fn forget_dead(&mut self, now: UnixMs) {
        self.peers
            .retain(|_, p| p.entry.state.is_live() || !p.deadline.passed(now));
    }

    fn receive(&mut self, now: UnixMs, from: SocketAddr, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Ping {
                seq,
                to,
                digest,
                updates,
            } => self.handle_ping(now, from, (seq, &to, digest), updates, out),
            Message::Ack {
                seq,
                digest,
                updates,
            } => self.handle_ack(now, (seq, digest), updates, out),
            Message::PingRequest { seq, to, addr } => {
                self.handle_ping_request(now, (from, seq), to, addr, out);
            }
            Message::PingResult { seq, found } => self.handle_ping_result(seq, found),
        }
    }

    fn handle_ping(
        &mut self,
        now: UnixMs,
        from: SocketAddr,
        (seq, to, digest): (u64, &str, u64),
        updates: Vec<Entry>,
        out: &mut Vec<Action>,
    ) {
        let sender = updates.first().map(|e| e.name.clone()).unwrap_or_default();
        self.apply_updates(now, updates, out);
        // The ping may be meant for a daemon that had this address before.
        if (!to.is_empty() && to != self.me.name) || self.me.state == State::Left {
            return;
        }
        let differs = digest != self.digest;
        let message = Message::Ack {
            seq,
            digest: self.digest,
            updates: self.choose_updates(&sender, differs),
        };
        out.push(Action::Send(from, message));
    }

    fn handle_ack(
        &mut self,
        now: UnixMs,
        (seq, digest): (u64, u64),
        updates: Vec<Entry>,
        out: &mut Vec<Action>,
    ) {
        let sender = updates.first().map(|e| e.name.clone()).unwrap_or_default();
        self.apply_updates(now, updates, out);
        self.record_digest(&sender, digest);
        if let Some(at) = self
            .relays
            .iter()
            .position(|r| r.seq == seq && r.name == sender)
        {
            let relay = self.relays.swap_remove(at);
            let message = Message::PingResult {
                seq: relay.origin_seq,
                found: true,
            };
            out.push(Action::Send(relay.origin, message));
        }
        let answers = |p: &mut Probe| p.seq == seq && (p.name == sender || p.name.is_empty());
        if self.probe.take_if(answers).is_some() {
            self.slowness = self.slowness.saturating_sub(1);
        }
    }

    fn record_digest(&mut self, sender: &str, digest: u64) {
        let differs = digest != self.digest;
        if let Some(peer) = self.peers.get_mut(sender) {
            peer.view_differs = differs;
        }
        self.catch_up_left = if differs {
            self.catch_up_left.saturating_sub(1)
        } else {
            0
        };
    }

    fn handle_ping_request(
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
            updates: self.choose_updates(&to, false),
        };
        out.push(Action::Send(addr, message));
        self.relays.push(Relay {
            seq: self.seq,
            origin,
            origin_seq,
            name: to,
            deadline: now.after(ACK_TIMEOUT_MS),
        });
    }

    fn handle_ping_result(&mut self, seq: u64, found: bool) {
        let Some(probe) = &mut self.probe else { return };
        if probe.seq != seq {
            return;
        }
        probe.relay_answered = true;
        if found {
            self.probe = None;
        }
    }

    fn apply_updates(&mut self, now: UnixMs, updates: Vec<Entry>, out: &mut Vec<Action>) {
        for entry in updates.into_iter().take(UPDATE_LIMIT + 2) {
            self.merge(now, entry, out);
        }
    }

    /// Takes an entry over if it is newer than the known one. Incarnation and state give entries a
    /// total order, so all daemons end with the same entry whatever the order of arrival.
    fn merge(&mut self, now: UnixMs, entry: Entry, out: &mut Vec<Action>) {
        if entry.name == self.me.name {
            self.refute(&entry, out);
            return;
        }
        let known = self.peers.get(&entry.name);
        let newer = match known {
            Some(peer) => entry.precedence() > peer.entry.precedence(),
            // A dead member that wasn't known before needn't be remembered.
            None => entry.state.is_live(),
        };
        if !newer {
            return;
        }
        if known.is_none() && self.peers.len() >= MEMBER_LIMIT {
            self.refused += 1;
            return;
        }
        self.supersede(now, &entry, out);
        self.insert(now, entry, out);
    }

    fn insert(&mut self, now: UnixMs, entry: Entry, out: &mut Vec<Action>) {
        let deadline = match entry.state {
            State::Alive => UnixMs::MAX,
            State::Suspect => now.after(SUSPICION_MS),
            State::Dead | State::Left => now.after(FORGET_MS),
        };
        let sends_left = self.send_count();
        let old = self.peers.get(&entry.name);
        let changed = old.is_none_or(|p| p.entry.state != entry.state);
        let peer = Peer {
            deadline,
            sends_left,
            probed_at: old.map_or(UnixMs(0), |p| p.probed_at),
            view_differs: old.is_some_and(|p| p.view_differs),
            entry: entry.clone(),
        };
        self.peers.insert(entry.name.clone(), peer);
        self.rebuild_view();
        if changed {
            out.push(Action::Changed(entry));
        }
    }

    /// Declares members with the same address and an older incarnation dead, as only one daemon can
    /// have an address.
    fn supersede(&mut self, now: UnixMs, entry: &Entry, out: &mut Vec<Action>) {
        if entry.state != State::Alive {
            return;
        }
        let superseded: Vec<Entry> = self
            .peers
            .values()
            .map(|p| &p.entry)
            .filter(|e| e.addr == entry.addr && e.name != entry.name && e.state.is_live())
            .filter(|e| e.incarnation < entry.incarnation)
            .cloned()
            .collect();
        for mut old in superseded {
            old.state = State::Dead;
            self.insert(now, old, out);
        }
    }

    fn refute(&mut self, entry: &Entry, out: &mut Vec<Action>) {
        if self.me.state == State::Left {
            return;
        }
        let accused = entry.state != State::Alive && entry.incarnation >= self.me.incarnation;
        let duplicate = entry.state == State::Alive && entry.incarnation > self.me.incarnation;
        if accused || duplicate {
            self.me.incarnation = entry.incarnation.saturating_add(1);
            self.rebuild_view();
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
                updates: self.choose_updates(&name, false),
                to: name,
            };
            out.push(Action::Send(addr, message));
        }
    }

    /// Chooses the updates in a message to `to`: this daemon's own entry, that of `to` unless it is
    /// alive, the updates sent least often, and the next page of the view if the views differ.
    fn choose_updates(&mut self, to: &str, differs: bool) -> Vec<Entry> {
        let mut updates = vec![self.me.clone()];
        if let Some(peer) = self.peers.get(to)
            && peer.entry.state != State::Alive
        {
            updates.push(peer.entry.clone());
        }
        let mut pending: Vec<(u8, String)> = self
            .peers
            .values()
            .filter(|p| p.sends_left > 0 && p.entry.name != to)
            .map(|p| (p.sends_left, p.entry.name.clone()))
            .collect();
        pending.sort_by(|a, b| b.cmp(a));
        for (_, name) in pending.into_iter().take(UPDATE_LIMIT) {
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.sends_left -= 1;
                updates.push(peer.entry.clone());
            }
        }
        if differs {
            self.add_view_page(to, &mut updates);
        }
        updates
    }

    /// Adds the members after the cursor, as far as the message has space.
    fn add_view_page(&mut self, to: &str, updates: &mut Vec<Entry>) {
        let free = UPDATE_LIMIT.saturating_sub(updates.len());
        let after = (
            std::ops::Bound::Excluded(self.cursor.clone()),
            std::ops::Bound::Unbounded,
        );
        let names: Vec<String> = self
            .peers
            .range(after)
            .chain(self.peers.iter())
            .map(|(name, _)| name)
            .filter(|name| *name != to)
            .take(free.min(self.peers.len()))
            .cloned()
            .collect();
        for name in names {
            if let Some(peer) = self.peers.get(&name)
                && !updates.contains(&peer.entry)
            {
                updates.push(peer.entry.clone());
            }
            self.cursor = name;
        }
    }

    /// Returns how often an update is sent: three times the rounds in which gossip that doubles its
    /// reach each round gets to all members.
    fn send_count(&self) -> u8 {
        let rounds = (self.ring.len() + 1).next_power_of_two().ilog2();
        u8::try_from(3 * rounds.max(1)).unwrap_or(u8::MAX)
    }

    /// Recomputes the ring and the digest after a change of the live members.
    fn rebuild_view(&mut self) {
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
