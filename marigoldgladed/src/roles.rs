//! The ownerships of this daemon.
//!
//! [`App::follow_roles`] and [`App::follow_owners`] pass the members and the owner keys in the
//! store to [`roles::Roles::step`] and carry out the [`Action`]s that it appends.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use marigoldglade::events::Event;
use marigoldglade::mesh::Payload;
use marigoldglade::owner::{Candidate, Cause, Holder, PREFIX};
use marigoldglade::prelude::*;
use marigoldglade::roles::{self, Action, CentreKey};
use marigoldglade::store::{Body, Call, Change, Revision};
use marigoldglade::time::SECOND_MS;
use tokio::sync::{broadcast, watch};

use crate::app::App;
use crate::clock;
use crate::store_client::Rank;

/// The time between steps, in milliseconds.
const TICK_MS: u64 = 100;
/// The time after which a listing of the owners fails, in milliseconds.
const LIST_TIMEOUT_MS: u64 = 2 * SECOND_MS;
/// The time after which a watch without changes ends, in milliseconds.
const WATCH_TIMEOUT_MS: u64 = 60 * SECOND_MS;
/// The number of ownership changes that are kept for a slow receiver.
const CHANGE_BACKLOG: usize = 256;

/// A change of this daemon's ownerships.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OwnershipChange {
    /// This daemon owns the data centre in this epoch.
    Started(String, Revision),
    /// This daemon no longer owns the data centre.
    Stopped(String, Cause),
}

/// The ownerships of this daemon and the known owners of all data centres.
pub(crate) struct Roles {
    filter: Mutex<roles::Roles>,
    changes: broadcast::Sender<OwnershipChange>,
    /// Whether all ownerships are released after a stop began.
    released: watch::Sender<bool>,
}

impl Roles {
    /// Makes the ownerships of a daemon that owns nothing yet.
    pub(crate) fn new(name: &str, mesh: std::net::SocketAddr) -> Self {
        Self {
            filter: Mutex::new(roles::Roles::new(name, mesh)),
            changes: broadcast::Sender::new(CHANGE_BACKLOG),
            released: watch::Sender::new(false),
        }
    }

    fn lock(&self) -> MutexGuard<'_, roles::Roles> {
        self.filter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the changes of this daemon's ownerships from now on. A receiver that missed changes
    /// reads [`Roles::held`].
    #[expect(
        dead_code,
        reason = "no part of the daemon subscribes to the changes yet"
    )]
    pub(crate) fn changes(&self) -> broadcast::Receiver<OwnershipChange> {
        self.changes.subscribe()
    }

    /// Returns the epoch of this daemon's ownership of a data centre and when it expires, if this
    /// daemon may act now. Callers ask right before each use.
    pub(crate) fn held(&self, dc: &str) -> Option<(Revision, UnixMs)> {
        let now = clock::now();
        self.lock()
            .held(dc)
            .filter(|(_, expires_at)| now < *expires_at)
    }

    /// Returns the newest known owner of a data centre; it may no longer be alive.
    pub(crate) fn holder(&self, dc: &str) -> Option<Holder> {
        self.lock().holder(dc).cloned()
    }

    /// Returns the newest known owner of each data centre.
    pub(crate) fn holders(&self) -> Vec<Holder> {
        self.lock().holders()
    }
}

impl App {
    /// Keeps the ownerships up to date until the task is aborted.
    pub(crate) async fn follow_roles(self: Arc<Self>) {
        let mut stop_sent = false;
        let mut seen = None;
        loop {
            if self.stop.is_stopping() && !stop_sent {
                stop_sent = true;
                self.step_roles(roles::Event::Stop);
            }
            let view = (self.mesh.digest(), self.configs.current().map(|v| v.number));
            if seen != Some(view) {
                seen = Some(view);
                self.step_roles(roles::Event::Centres(self.centres()));
                self.step_roles(roles::Event::Members(self.candidates()));
            }
            self.step_roles(roles::Event::Tick);
            if stop_sent {
                let released = self.roles.lock().is_released();
                self.roles.released.send_replace(released);
            }
            clock::sleep_until(clock::now().after(TICK_MS)).await;
        }
    }

    /// Waits until a stopping daemon has released all ownerships.
    pub(crate) async fn wait_released(&self) {
        let mut released = self.roles.released.subscribe();
        let _ = released.wait_for(|r| *r).await;
    }

    fn centres(&self) -> Vec<String> {
        let own = self.settings.dc.clone();
        let version = self.configs.current();
        let named = version.iter().flat_map(|v| &v.config.centres);
        [own]
            .into_iter()
            .chain(named.map(|c| c.name.clone()))
            .collect()
    }

    fn candidates(&self) -> Vec<Candidate> {
        self.mesh
            .peers()
            .into_iter()
            .map(|e| Candidate {
                name: e.name,
                dc: e.dc,
            })
            .collect()
    }

    /// Handles the owners that a peer knows.
    pub(crate) fn receive_owners(self: &Arc<Self>, holders: Vec<Holder>) {
        self.step_roles(roles::Event::Gossip(holders));
    }

    fn step_roles(self: &Arc<Self>, event: roles::Event) {
        let mut out = Vec::new();
        self.roles.lock().step(clock::now(), event, &mut out);
        for action in out {
            self.act(action);
        }
    }

    fn act(self: &Arc<Self>, action: Action) {
        match action {
            Action::Call(key, id, call, deadline) => {
                tokio::spawn(Arc::clone(self).call_for_ownership(key, id, call, deadline));
            }
            Action::Started(dc, epoch, _) => {
                log::info!("now owns data centre {dc} in epoch {epoch}");
                let _ = self.roles.changes.send(OwnershipChange::Started(dc, epoch));
            }
            Action::Renewed(..) => {}
            Action::Stopped(dc, cause) => {
                log::info!("no longer owns data centre {dc}: {cause}");
                let _ = self
                    .roles
                    .changes
                    .send(OwnershipChange::Stopped(dc.clone(), cause));
                self.record_event(Event::OwnerStopped { dc, cause });
            }
            Action::Changed(holder) => self.record_event(Event::OwnerChanged {
                dc: holder.dc,
                name: holder.name,
                epoch: holder.epoch,
            }),
            Action::Gossip(holders) => self.gossip_owners(&holders),
        }
    }

    fn gossip_owners(self: &Arc<Self>, holders: &[Holder]) {
        let peers = self.mesh.neighbours();
        if peers.is_empty() {
            return;
        }
        let pick = rand::random_range(0..peers.len());
        self.notify(peers[pick].addr, Payload::Owners(holders.to_vec()));
    }

    async fn call_for_ownership(
        self: Arc<Self>,
        key: CentreKey,
        id: u64,
        call: Call,
        deadline: UnixMs,
    ) {
        let outcome = self.store.call(Rank::Lease, call, deadline).await;
        self.step_roles(roles::Event::Reply(key, id, outcome));
    }

    /// Follows the owner keys in the store until the task is aborted.
    pub(crate) async fn follow_owners(self: Arc<Self>) {
        loop {
            if let Some(since) = self.list_owners().await {
                self.watch_owners(since).await;
            }
            clock::sleep_until(clock::now().after(SECOND_MS)).await;
        }
    }

    async fn list_owners(self: &Arc<Self>) -> Option<Revision> {
        let call = Call::Range {
            prefix: PREFIX.to_owned(),
            after: String::new(),
            limit: u32::try_from(roles::MAX_CENTRES).unwrap_or(u32::MAX),
        };
        let deadline = clock::now().after(LIST_TIMEOUT_MS);
        let reply = self.store.call(Rank::Lease, call, deadline).await.ok()?;
        let Body::Range { pairs, .. } = reply.body else {
            return None;
        };
        let holders = pairs.iter().filter_map(Holder::from_pair).collect();
        self.step_roles(roles::Event::Listed(holders, reply.revision));
        Some(reply.revision)
    }

    /// Watches the owner keys after a revision until a call fails or the revision is compacted.
    async fn watch_owners(self: &Arc<Self>, mut since: Revision) {
        loop {
            let call = Call::Watch {
                prefix: PREFIX.to_owned(),
                since,
            };
            let deadline = clock::now().after(WATCH_TIMEOUT_MS);
            let Ok(reply) = self.store.call(Rank::Read, call, deadline).await else {
                return;
            };
            let Body::Changes(changes) = reply.body else {
                return;
            };
            for change in changes {
                since = since.max(self.handle_change(change));
            }
        }
    }

    fn handle_change(self: &Arc<Self>, change: Change) -> Revision {
        let (revision, event) = match change {
            Change::Put(pair) => {
                let revision = pair.changed;
                let event = Holder::from_pair(&pair).map(|h| roles::Event::Put(h, revision));
                (revision, event)
            }
            Change::Deleted(key, revision) => {
                let dc = key.strip_prefix(PREFIX).map(str::to_owned);
                (revision, dc.map(|dc| roles::Event::Deleted(dc, revision)))
            }
        };
        if let Some(event) = event {
            self.step_roles(event);
        }
        revision
    }
}
