//! How an accepted configuration reaches every daemon, with the store or without it.
//!
//! What the store showed and what other daemons told flow in; messages to other daemons and the
//! versions to put in force flow out. A version is put in force only when its stamp is above the
//! one in force, so that a stale read, a replayed revision or a late message never brings an old
//! version back. A new version's stamp is told at once to the peers, each of which fetches the
//! version from one of those that announced it and does the same; what that misses is found by comparing stamps with a random peer now and then (Demers et al.,
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

/// The most peers to which a new version is announced at once.
pub const FANOUT: usize = 16;
/// The time between two comparisons with a random peer, in milliseconds.
pub const COMPARE_MS: u64 = 500;
/// The time a peer has to send a version before another is asked, in milliseconds.
const ASK_MS: u64 = 400;

/// The mesh address of a daemon.
pub type Peer = SocketAddr;

/// What daemons tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender has this version; zero is none.
    Have(Stamp),
    /// The sender has this version and wants the higher one that the receiver announced.
    Want(Stamp),
    /// A version.
    Version(Arc<Document>),
}

/// What flows in.
#[derive(Clone, Debug)]
pub enum Event {
    /// The daemons that can be reached now, without this one.
    Peers(Vec<Peer>),
    /// The store showed a version, perhaps an old one.
    Stored(Document),
    /// A daemon told something.
    Received(Peer, Message),
    /// Time passed.
    Tick,
}

/// What flows out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Tell a daemon.
    Send(Peer, Message),
    /// Put a version in force.
    Apply(Arc<Document>, Arc<Config>),
    /// A version that is above the one in force can't be read by this daemon.
    Unreadable(Stamp, Error),
}

/// The spread of the configuration, as one daemon does its part in it.
pub struct ConfigGossip {
    held: Option<Arc<Document>>,
    peers: Vec<Peer>,
    /// The highest stamp that this daemon couldn't read.
    unreadable: Stamp,
    /// The stamp that was asked for last, and when another peer may be asked.
    asked: (Stamp, UnixMs),
    next: UnixMs,
    rng: ChaCha8Rng,
}

impl ConfigGossip {
    /// Makes one that has no version; `seed` decides which peers it picks.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            held: None,
            peers: Vec::new(),
            unreadable: Stamp::default(),
            asked: Default::default(),
            next: UnixMs::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the version in force.
    #[must_use]
    pub fn held(&self) -> Option<&Arc<Document>> {
        self.held.as_ref()
    }

    /// Returns when the next [`Event::Tick`] is due.
    #[must_use]
    pub const fn next(&self) -> UnixMs {
        self.next
    }

    /// Takes an event at `now` and adds what is to be done to `out`.
    pub fn step(&mut self, now: UnixMs, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Peers(peers) => self.meet(peers, out),
            Event::Stored(document) => self.take(Arc::new(document), out),
            Event::Received(from, message) => self.hear(now, from, message, out),
            Event::Tick => {}
        }
        if self.next.passed(now) {
            // One that has nothing asks more peers, so that it is ready sooner.
            let count = if self.held.is_none() { FANOUT } else { 1 };
            self.announce(count, out);
            self.next = now.after(COMPARE_MS);
        }
    }

    fn stamp(&self) -> Stamp {
        self.held
            .as_ref()
            .map(|d| d.stamp.clone())
            .unwrap_or_default()
    }

    /// Takes the new peers and compares at once with those that weren't there before.
    fn meet(&mut self, peers: Vec<Peer>, out: &mut Vec<Action>) {
        let new = peers.iter().filter(|p| !self.peers.contains(p));
        for peer in new.take(FANOUT) {
            out.push(Action::Send(*peer, Message::Have(self.stamp())));
        }
        self.peers = peers;
    }

    fn hear(&mut self, now: UnixMs, from: Peer, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Have(theirs) if theirs > self.stamp() => self.ask(now, from, theirs, out),
            // `Want` tells the sender's own version, so both are answered alike.
            Message::Have(theirs) | Message::Want(theirs) => {
                if let Some(held) = self.held.as_ref().filter(|h| h.stamp > theirs) {
                    out.push(Action::Send(from, Message::Version(Arc::clone(held))));
                }
            }
            Message::Version(document) => self.take(document, out),
        }
    }

    fn ask(&mut self, now: UnixMs, from: Peer, theirs: Stamp, out: &mut Vec<Action>) {
        let waiting = self.asked.0 >= theirs && !self.asked.1.passed(now);
        if waiting || theirs <= self.unreadable {
            return;
        }
        self.asked = (theirs, now.after(ASK_MS));
        out.push(Action::Send(from, Message::Want(self.stamp())));
    }

    fn take(&mut self, document: Arc<Document>, out: &mut Vec<Action>) {
        if document.stamp <= self.stamp() || document.stamp <= self.unreadable {
            return;
        }
        let name = format!("version {}", document.stamp.number);
        match Config::parse(&name, &document.text) {
            Ok(config) => {
                self.held = Some(Arc::clone(&document));
                out.push(Action::Apply(document, Arc::new(config)));
                self.announce(FANOUT, out);
            }
            Err(e) => {
                self.unreadable = document.stamp.clone();
                out.push(Action::Unreadable(document.stamp.clone(), e));
            }
        }
    }

    /// Tells up to `count` random peers which version this daemon has.
    fn announce(&mut self, count: usize, out: &mut Vec<Action>) {
        let mut picked: Vec<usize> = Vec::new();
        for _ in 0..count.min(self.peers.len()) {
            let mut at = self.rng.random_range(0..self.peers.len());
            while picked.contains(&at) {
                at = (at + 1) % self.peers.len();
            }
            picked.push(at);
            let peer = self.peers[at];
            out.push(Action::Send(peer, Message::Have(self.stamp())));
        }
    }
}
