//! Gossip that brings an accepted configuration to every daemon, even while the store is down.
//!
//! [`ConfigGossip`] takes versions read from the store and messages of other daemons, and returns
//! messages to send and versions to put in force. A version is put in force only when its stamp is
//! above the current one, so that a stale read, a replayed revision or a late message never brings
//! an old version back.
//!
//! A daemon announces a new version's stamp to its peers at once. Each of them fetches the version
//! from one of the daemons that announced it, and announces it in turn. Daemons that miss the
//! announcements catch up by comparing stamps with a random peer at intervals (Demers et al.,
//! "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987).

use std::net::SocketAddr;
use std::sync::Arc;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::config_accept::{Document, Stamp};
use crate::error::Error;
use crate::time::UnixMs;

/// The most peers to which a new version is announced.
pub const FANOUT: usize = 16;
/// The time between two comparisons with a random peer, in milliseconds.
pub const COMPARE_INTERVAL_MS: u64 = 500;
/// The time a peer has to send a version before it is requested from another, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 400;

/// A daemon, by its mesh address.
pub type Peer = SocketAddr;

/// A message between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's version; zero is none.
    Have(Stamp),
    /// A request for the higher version that the receiver announced, with the sender's own stamp.
    Want(Stamp),
    /// A version with its content.
    Version(Arc<Document>),
}

/// An input of [`ConfigGossip`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The daemons to gossip with, without this one; they replace the ones set before.
    Peers(Vec<Peer>),
    /// A version that was read from the store or accepted into it; perhaps an old one.
    Stored(Document),
    /// A message from a daemon.
    Received(Peer, Message),
    /// Time has passed.
    Tick,
}

/// An output of [`ConfigGossip`].
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a daemon.
    Send(Peer, Message),
    /// Put a version in force.
    Apply(Arc<Document>, Arc<Config>),
    /// Report a version that is above the one in force but that this daemon can't parse.
    Unreadable(Stamp, Error),
}

/// One daemon's part in the gossip about configuration versions.
pub struct ConfigGossip {
    current: Option<Arc<Document>>,
    peers: Vec<Peer>,
    /// The highest stamp of a version that this daemon couldn't parse.
    unreadable: Stamp,
    /// The stamp that was requested last, and when it may be requested from another peer.
    requested: (Stamp, UnixMs),
    next_tick: UnixMs,
    rng: ChaCha8Rng,
}

impl ConfigGossip {
    /// Creates a state without a version; `seed` determines the random choice of peers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            current: None,
            peers: Vec::new(),
            unreadable: Stamp::default(),
            requested: Default::default(),
            next_tick: UnixMs::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the version in force.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<Document>> {
        self.current.as_ref()
    }

    /// Returns when the next [`Event::Tick`] is due.
    #[must_use]
    pub const fn next_tick(&self) -> UnixMs {
        self.next_tick
    }

    /// Handles an event at `now` and appends the resulting actions to `out`.
    pub fn step(&mut self, now: UnixMs, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Peers(peers) => self.set_peers(peers, out),
            Event::Stored(document) => self.adopt(Arc::new(document), out),
            Event::Received(from, message) => self.receive(now, from, message, out),
            Event::Tick => {}
        }
        if self.next_tick.passed(now) {
            // A daemon without a version contacts more peers, as it isn't ready until it has one.
            let count = if self.current.is_none() { FANOUT } else { 1 };
            self.announce(count, out);
            self.next_tick = now.after(COMPARE_INTERVAL_MS);
        }
    }

    fn stamp(&self) -> Stamp {
        self.current
            .as_ref()
            .map(|d| d.stamp.clone())
            .unwrap_or_default()
    }

    /// Replaces the peers, and compares stamps at once with those that are new.
    fn set_peers(&mut self, peers: Vec<Peer>, out: &mut Vec<Action>) {
        let new = peers.iter().filter(|p| !self.peers.contains(p));
        for peer in new.take(FANOUT) {
            out.push(Action::Send(*peer, Message::Have(self.stamp())));
        }
        self.peers = peers;
    }

    fn receive(&mut self, now: UnixMs, from: Peer, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Have(theirs) if theirs > self.stamp() => self.request(now, from, theirs, out),
            // Both messages carry the sender's own stamp, so the response is the same.
            Message::Have(theirs) | Message::Want(theirs) => {
                if let Some(current) = self.current.as_ref().filter(|h| h.stamp > theirs) {
                    out.push(Action::Send(from, Message::Version(Arc::clone(current))));
                }
            }
            Message::Version(document) => self.adopt(document, out),
        }
    }

    /// Requests a version from a peer, unless it is unreadable or already requested.
    fn request(&mut self, now: UnixMs, from: Peer, theirs: Stamp, out: &mut Vec<Action>) {
        let waiting = self.requested.0 >= theirs && !self.requested.1.passed(now);
        if waiting || theirs <= self.unreadable {
            return;
        }
        self.requested = (theirs, now.after(REQUEST_TIMEOUT_MS));
        out.push(Action::Send(from, Message::Want(self.stamp())));
    }

    /// Puts a version in force if it is new and readable, and announces it.
    fn adopt(&mut self, document: Arc<Document>, out: &mut Vec<Action>) {
        if document.stamp <= self.stamp() || document.stamp <= self.unreadable {
            return;
        }
        let name = format!("version {}", document.stamp.number);
        match Config::parse(&name, &document.text) {
            Ok(config) => {
                self.current = Some(Arc::clone(&document));
                out.push(Action::Apply(document, Arc::new(config)));
                self.announce(FANOUT, out);
            }
            Err(e) => {
                self.unreadable = document.stamp.clone();
                out.push(Action::Unreadable(document.stamp.clone(), e));
            }
        }
    }

    /// Sends this daemon's stamp to up to `count` random peers.
    fn announce(&mut self, count: usize, out: &mut Vec<Action>) {
        let mut chosen: Vec<usize> = Vec::new();
        for _ in 0..count.min(self.peers.len()) {
            let mut at = self.rng.random_range(0..self.peers.len());
            while chosen.contains(&at) {
                at = (at + 1) % self.peers.len();
            }
            chosen.push(at);
            let peer = self.peers[at];
            out.push(Action::Send(peer, Message::Have(self.stamp())));
        }
    }
}
