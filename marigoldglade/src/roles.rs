//! The owners of all data centres, as one daemon knows them.
//!
//! [`Roles`] holds one [`owner::Ownership`] for each data centre and the newest known holder of
//! each. [`Roles::step`] takes an [`Event`] (a tick, the members, a reply or change of the store,
//! or a peer's gossip) and appends the resulting [`Action`]s: calls to the store, the start and end
//! of this daemon's ownerships and gossip for peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::owner::{self, Candidate, Cause, Holder, Ownership};
use crate::store::{Call, Fault, Reply, Revision};
use crate::time::UnixMs;

/// The most data centres that are followed.
pub const MAX_CENTRES: usize = 64;
/// The time between two gossip messages on the holders, in milliseconds.
pub const GOSSIP_INTERVAL_MS: u64 = 5_000;

/// The index of a data centre within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CentreKey(pub u8);

/// What happens to the ownerships.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The data centres of the configuration; ones that are already followed stay.
    Centres(Vec<String>),
    /// The living daemons, this one among them.
    Members(Vec<Candidate>),
    /// All owner keys, as the store had them at a revision.
    Listed(Vec<Holder>, Revision),
    /// An owner key was written.
    Put(Holder, Revision),
    /// The owner key of a data centre was deleted.
    Deleted(String, Revision),
    /// The holders that a peer knows.
    Gossip(Vec<Holder>),
    /// The outcome of the call with this number for a data centre.
    Reply(CentreKey, u64, std::result::Result<Reply, Fault>),
    /// Release all ownerships and claim no more.
    Stop,
}

/// What the daemon does for its ownerships, or is notified of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call the store until the deadline and pass the outcome back with the key and the number.
    Call(CentreKey, u64, Call, UnixMs),
    /// This daemon owns a data centre in this epoch until the time given.
    Started(String, Revision, UnixMs),
    /// The ownership was renewed until the time given.
    Renewed(String, UnixMs),
    /// The ownership ended.
    Stopped(String, Cause),
    /// A data centre has a new owner.
    Changed(Holder),
    /// Send the holders to a random peer.
    Gossip(Vec<Holder>),
}

struct Centre {
    ownership: Ownership,
    /// The known holder with the greatest epoch; it may no longer be alive.
    holder: Option<Holder>,
    /// The store's revision at which the owner key was last seen, present or absent.
    seen_revision: Option<Revision>,
}

/// The ownerships of one daemon and the holders it knows.
pub struct Roles {
    name: String,
    addr: SocketAddr,
    centres: Vec<Centre>,
    keys: BTreeMap<String, CentreKey>,
    members: Vec<Candidate>,
    /// The revision of the last listing of all owner keys.
    listed_revision: Option<Revision>,
    next_gossip: UnixMs,
}

impl Roles {
    /// Makes one that follows no data centre.
    #[must_use]
    pub fn new(name: &str, addr: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            addr,
            centres: Vec::new(),
            keys: BTreeMap::new(),
            members: Vec::new(),
            listed_revision: None,
            next_gossip: UnixMs(0),
        }
    }

    /// Returns the newest known holder of a data centre; it may no longer be alive.
    #[must_use]
    pub fn holder(&self, dc: &str) -> Option<&Holder> {
        self.centre(dc)?.holder.as_ref()
    }

    /// Returns the newest known holder of each data centre.
    #[must_use]
    pub fn holders(&self) -> Vec<Holder> {
        self.centres
            .iter()
            .filter_map(|c| c.holder.clone())
            .collect()
    }

    /// Returns the epoch of this daemon's ownership of a data centre and when it expires.
    #[must_use]
    pub fn held(&self, dc: &str) -> Option<(Revision, UnixMs)> {
        self.centre(dc)?.ownership.held()
    }

    /// Returns whether this daemon owns a data centre at `now`.
    #[must_use]
    pub fn may_act(&self, now: UnixMs, dc: &str) -> bool {
        self.centre(dc).is_some_and(|c| c.ownership.may_act(now))
    }

    /// Returns whether nothing is left to do after [`Event::Stop`].
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.centres.iter().all(|c| c.ownership.is_released())
    }

    fn centre(&self, dc: &str) -> Option<&Centre> {
        let key = self.keys.get(dc)?;
        self.centres.get(usize::from(key.0))
    }

    /// Handles one event at `now`.
    pub fn step(&mut self, now: UnixMs, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Centres(names) => {
                for name in names {
                    self.add_centre(now, &name, out);
                    self.apply_listing(now, &name, out);
                }
            }
            Event::Members(members) => {
                self.step_all(now, &owner::Event::Members(members.clone()), out);
                self.members = members;
            }
            Event::Listed(holders, revision) => self.handle_listing(now, &holders, revision, out),
            Event::Put(holder, revision) => self.handle_key(now, Ok(holder), revision, out),
            Event::Deleted(dc, revision) => self.handle_key(now, Err(&dc), revision, out),
            Event::Gossip(holders) => {
                for holder in holders.into_iter().take(MAX_CENTRES) {
                    self.update_holder(now, holder, out);
                }
            }
            Event::Reply(key, id, outcome) => {
                self.step_ownership(now, key, owner::Event::Reply(id, outcome), out);
            }
            Event::Stop => self.step_all(now, &owner::Event::Stop, out),
        }
    }

    fn tick(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let owned = self
            .centres
            .iter()
            .filter(|c| c.ownership.held().is_some())
            .count();
        self.step_all(now, &owner::Event::OwnedCount(owned), out);
        if self.next_gossip.passed(now) {
            self.next_gossip = now.after(GOSSIP_INTERVAL_MS);
            let holders = self.holders();
            if !holders.is_empty() {
                out.push(Action::Gossip(holders));
            }
        }
    }

    fn add_centre(&mut self, now: UnixMs, name: &str, out: &mut Vec<Action>) -> Option<CentreKey> {
        if let Some(key) = self.keys.get(name) {
            return Some(*key);
        }
        if self.centres.len() >= MAX_CENTRES {
            return None;
        }
        let key = CentreKey(u8::try_from(self.centres.len()).ok()?);
        self.keys.insert(name.to_owned(), key);
        self.centres.push(Centre {
            ownership: Ownership::new(name, &self.name, self.addr),
            holder: None,
            seen_revision: None,
        });
        let members = owner::Event::Members(self.members.clone());
        self.step_ownership(now, key, members, out);
        Some(key)
    }

    /// Passes on that a data centre had no owner key in the last listing, if it was added after that and
    /// its key wasn't seen since.
    fn apply_listing(&mut self, now: UnixMs, name: &str, out: &mut Vec<Action>) {
        let seen = self.centre(name).and_then(|c| c.seen_revision);
        if let Some(revision) = self.listed_revision
            && seen < Some(revision)
        {
            self.handle_key(now, Err(name), revision, out);
        }
    }

    fn handle_listing(
        &mut self,
        now: UnixMs,
        holders: &[Holder],
        revision: Revision,
        out: &mut Vec<Action>,
    ) {
        for holder in holders {
            self.handle_key(now, Ok(holder.clone()), revision, out);
        }
        let absent: Vec<String> = self
            .keys
            .keys()
            .filter(|dc| holders.iter().all(|h| h.dc != **dc))
            .cloned()
            .collect();
        for dc in absent {
            self.handle_key(now, Err(&dc), revision, out);
        }
        self.listed_revision = self.listed_revision.max(Some(revision));
    }

    /// Passes on what the store held at a revision, unless a newer revision was seen before.
    fn handle_key(
        &mut self,
        now: UnixMs,
        seen: std::result::Result<Holder, &str>,
        revision: Revision,
        out: &mut Vec<Action>,
    ) {
        let dc = match &seen {
            Ok(holder) => &holder.dc,
            Err(dc) => *dc,
        };
        let Some(key) = self.add_centre(now, dc, out) else {
            return;
        };
        let Some(centre) = self.centres.get_mut(usize::from(key.0)) else {
            return;
        };
        if Some(revision) < centre.seen_revision {
            return;
        }
        centre.seen_revision = Some(revision);
        self.step_ownership(now, key, owner::Event::KeySeen(seen.ok()), out);
    }

    fn update_holder(&mut self, now: UnixMs, holder: Holder, out: &mut Vec<Action>) {
        let Some(key) = self.add_centre(now, &holder.dc, out) else {
            return;
        };
        let Some(centre) = self.centres.get_mut(usize::from(key.0)) else {
            return;
        };
        if centre
            .holder
            .as_ref()
            .is_none_or(|h| h.epoch < holder.epoch)
        {
            centre.holder = Some(holder.clone());
            // Gossip about a new owner goes out at the next tick.
            self.next_gossip = UnixMs(0);
            out.push(Action::Changed(holder));
        }
    }

    fn step_all(&mut self, now: UnixMs, event: &owner::Event, out: &mut Vec<Action>) {
        let keys: Vec<CentreKey> = self.keys.values().copied().collect();
        for key in keys {
            self.step_ownership(now, key, event.clone(), out);
        }
    }

    fn step_ownership(
        &mut self,
        now: UnixMs,
        key: CentreKey,
        event: owner::Event,
        out: &mut Vec<Action>,
    ) {
        let Some(centre) = self.centres.get_mut(usize::from(key.0)) else {
            return;
        };
        let mut actions = Vec::new();
        centre.ownership.step(now, event, &mut actions);
        let dc = centre.ownership.dc().to_owned();
        for action in actions {
            match action {
                owner::Action::Call(id, call, deadline) => {
                    out.push(Action::Call(key, id, call, deadline));
                }
                owner::Action::Started(epoch, expires_at) => {
                    out.push(Action::Started(dc.clone(), epoch, expires_at));
                }
                owner::Action::Renewed(until) => out.push(Action::Renewed(dc.clone(), until)),
                owner::Action::Stopped(cause) => out.push(Action::Stopped(dc.clone(), cause)),
                owner::Action::HolderSeen(holder) => self.update_holder(now, holder, out),
            }
        }
    }
}
