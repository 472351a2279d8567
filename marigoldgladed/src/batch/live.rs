//! Which daemons are alive and which one is the owner.
//!
//! Each daemon and the owner hold a key with a lease in the store. The shared secret of the
//! daemons' links is kept beside them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marigoldglade::batch::links::Candidate;
use marigoldglade::batch::messages::Owner;
use marigoldglade::prelude::*;
use marigoldglade::store::{Body, Call, Change, Compare, Op, Pair, Revision, Txn};

use serde::{Deserialize, Serialize};

use crate::batch::Node;

/// The prefix of the keys of the daemons, the owner and the shared secret.
const PREFIX: &str = "mg/live/";
/// The owner's key.
pub(super) const OWNER_KEY: &str = "mg/live/owner";
/// The key of the secret that daemons share.
const SECRET_KEY: &str = "mg/live/secret";
/// The prefix of the keys under which daemons announce themselves.
const DAEMON_PREFIX: &str = "mg/live/daemon/";
/// The length of the shared secret, in bytes.
const SECRET_BYTES: usize = 32;
/// The lease of a daemon's own key, in seconds.
const DAEMON_LEASE_S: u32 = 10;
/// The number of millicores, thousandths of a core, in one core.
const MILLICORES_PER_CORE: f64 = 1_000.0;
/// The time between renewals of the lease of a daemon's own key, in milliseconds.
const DAEMON_RENEWAL_MS: u64 = 3_000;

/// The owner as this daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct KnownOwner {
    pub owner: Owner,
    /// The revision of the last change of the owner's key; `None` when a peer named this owner.
    pub changed: Option<Revision>,
}

/// What a daemon announces about itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Daemon {
    /// The daemon's mesh address.
    pub addr: SocketAddr,
    /// The processor capacity of the daemon's VM, in thousandths of a core.
    pub cores: u32,
    /// The daemon's data centre.
    #[serde(default)]
    pub dc: String,
    /// Whether the daemon relays orders to workers.
    #[serde(default)]
    pub relays: bool,
}

/// What this daemon knows of the owner and of the daemons that are alive.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    /// The newest known owner, which is kept after its ownership has ended until another one follows.
    pub owner: Option<KnownOwner>,
    /// Whether the store shows that there is no owner.
    pub vacant: bool,
    /// The newest revision at which the store showed that there was no owner.
    pub vacant_revision: Revision,
    /// The daemons that are alive, by name.
    pub daemons: BTreeMap<String, Daemon>,
}

/// Encodes a small value as CBOR (RFC 8949).
pub(super) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    if let Err(e) = ciborium::into_writer(value, &mut bytes) {
        log::error!(error:% = e; "can't encode a value");
    }
    bytes
}

/// Decodes a small value; one that can't be decoded is logged.
pub(super) fn decode<T: serde::de::DeserializeOwned>(pair: &Pair) -> Option<T> {
    let value = ciborium::from_reader(pair.value.as_slice());
    value
        .inspect_err(|e| log::warn!(key = pair.key.as_str(), error:% = e; "can't decode a value"))
        .ok()
}

impl Node {
    /// Keeps [`View`] and the shared secret up to date from the store.
    pub(super) async fn follow_live(self: Rc<Self>) {
        loop {
            let (pairs, mut since) = self.store.list(PREFIX).await;
            self.view.send_modify(|view| {
                view.daemons.clear();
                view.vacant = !pairs.iter().any(|p| p.key == OWNER_KEY);
                if view.vacant {
                    view.vacant_revision = since;
                }
            });
            if !pairs.iter().any(|p| p.key == SECRET_KEY) {
                self.create_secret().await;
            }
            for pair in &pairs {
                self.apply_put(pair);
            }
            while let Some(changes) = self.store.watch(PREFIX, &mut since).await {
                for change in changes {
                    match change {
                        Change::Put(pair) => self.apply_put(&pair),
                        Change::Deleted(key, revision) => self.apply_delete(&key, revision),
                    }
                }
            }
            log::info!(
                "the store has dropped the history of the daemons' keys; reading them again"
            );
        }
    }

    fn apply_put(&self, pair: &Pair) {
        if pair.key == OWNER_KEY {
            let Some(owner) = decode::<Owner>(pair) else {
                return;
            };
            let changed = Some(pair.changed);
            self.set_owner(KnownOwner { owner, changed });
        } else if pair.key == SECRET_KEY {
            // A value that can't be decoded is empty.
            if !pair.value.is_empty() {
                self.peers.set_key(pair.value.clone());
            }
        } else if let Some(name) = pair.key.strip_prefix(DAEMON_PREFIX)
            && let Some(daemon) = decode::<Daemon>(pair)
        {
            self.view.send_modify(|view| {
                view.daemons.insert(name.to_owned(), daemon);
            });
        }
    }

    fn apply_delete(&self, key: &str, revision: Revision) {
        if key == OWNER_KEY {
            log::info!("no daemon is the owner");
            self.view.send_modify(|view| {
                view.vacant = true;
                view.vacant_revision = revision;
            });
        } else if let Some(name) = key.strip_prefix(DAEMON_PREFIX) {
            self.view.send_modify(|view| {
                view.daemons.remove(name);
            });
        }
    }

    /// Returns the newest term that this daemon knows of; zero when it knows of none.
    pub(super) fn known_term(&self) -> u64 {
        let view = self.view.borrow();
        view.owner.as_ref().map_or(0, |k| k.owner.term)
    }

    fn set_owner(&self, known: KnownOwner) {
        let old = self.known_term();
        if known.owner.term < old {
            return;
        }
        if known.owner.term > old {
            log::info!(owner = known.owner.name.as_str(), term = known.owner.term, from_store = known.changed.is_some(); "a daemon became the owner");
        }
        self.view.send_modify(|view| {
            view.vacant = false;
            view.owner = Some(known);
        });
    }

    /// Records an owner that a peer named if its term is newer than that of the known owner.
    pub(super) fn learn_owner(&self, owner: Owner) {
        let old = self.known_term();
        if owner.term > old {
            let changed = None;
            self.set_owner(KnownOwner { owner, changed });
        }
    }

    /// Writes a new shared secret unless the store has one, and sets the one in the store.
    async fn create_secret(&self) {
        let secret: [u8; SECRET_BYTES] = rand::random();
        let txn = Txn {
            when: vec![Compare::Absent(SECRET_KEY.to_owned())],
            then: vec![Op::Put(SECRET_KEY.to_owned(), secret.to_vec(), 0)],
            other: Vec::new(),
        };
        // Another daemon may have written a secret first; it is read back below.
        if self.store.call(&Call::Txn(txn)).await.is_err() {
            log::warn!("can't write the shared secret");
        }
        match self.store.get(SECRET_KEY).await {
            Ok(Some(pair)) => self.peers.set_key(pair.value),
            Ok(None) | Err(_) => log::warn!("can't read the shared secret"),
        }
    }

    /// Writes this daemon's own key and renews its lease, until the task is aborted.
    pub(super) async fn announce(self: Rc<Self>) {
        let mut lease = None;
        loop {
            match lease {
                None => lease = self.announce_once().await,
                Some(id) => {
                    let renewed = self.store.call(&Call::Renew { lease: id }).await;
                    if matches!(renewed.map(|r| r.body), Ok(Body::Lease { ttl_s: 0, .. })) {
                        log::info!(
                            "the lease of this daemon's key has expired; writing the key again"
                        );
                        lease = None;
                        continue;
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(DAEMON_RENEWAL_MS)).await;
        }
    }

    /// Writes this daemon's own key under a new lease, and returns the lease.
    async fn announce_once(&self) -> Option<i64> {
        let lease = self.grant_lease(DAEMON_LEASE_S).await?;
        let key = format!("{DAEMON_PREFIX}{}", self.name);
        let value = encode(&Daemon {
            addr: self.settings.borrow().mesh,
            cores: self.millicores(),
            dc: self.settings.borrow().dc.clone(),
            relays: true,
        });
        let txn = Txn {
            then: vec![Op::Put(key, value, lease)],
            ..Txn::default()
        };
        let done = self.store.call(&Call::Txn(txn)).await;
        let held = matches!(done.map(|r| r.body), Ok(Body::Txn(d)) if d.held);
        held.then_some(lease)
    }

    /// Requests a lease from the store.
    pub(super) async fn grant_lease(&self, ttl_s: u32) -> Option<i64> {
        match self.store.call(&Call::Grant { ttl_s }).await {
            Ok(reply) => match reply.body {
                Body::Lease { lease, .. } => Some(lease),
                _ => None,
            },
            Err(_) => None,
        }
    }

    /// Returns the mesh addresses of the other daemons, from the store and from the settings.
    pub(super) fn peer_addrs(&self) -> Vec<SocketAddr> {
        let own = self.settings.borrow().mesh;
        let view = self.view.borrow();
        let mut addrs: Vec<SocketAddr> = view.daemons.values().map(|d| d.addr).collect();
        drop(view);
        addrs.extend(self.peers.seeds());
        addrs.sort_unstable();
        addrs.dedup();
        addrs.retain(|a| *a != own);
        addrs
    }

    /// Returns the mesh addresses of the other daemons that the store shows.
    ///
    /// A daemon's key outlives it by a lease, and so the attempts at submissions that it has made.
    pub(super) fn announced_addrs(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let others = view.daemons.iter().filter(|(name, _)| **name != self.name);
        others.map(|(_, d)| d.addr).collect()
    }

    /// Returns the other daemons that can relay orders to workers.
    pub(super) fn relay_candidates(&self) -> Vec<Candidate> {
        let view = self.view.borrow();
        let others = view
            .daemons
            .iter()
            .filter(|(name, d)| d.relays && **name != self.name);
        others
            .map(|(name, d)| Candidate {
                name: name.clone(),
                addr: d.addr,
                dc: d.dc.clone(),
                cores: d.cores,
            })
            .collect()
    }

    /// Deletes this daemon's own key, so that peers no longer call it.
    pub(super) async fn withdraw(&self) {
        let key = format!("{DAEMON_PREFIX}{}", self.name);
        let txn = Txn {
            then: vec![Op::Delete(key)],
            ..Txn::default()
        };
        let call = Call::Txn(txn);
        let limit = Duration::from_millis(200);
        let _ = tokio::time::timeout(limit, self.store.call(&call)).await;
    }

    /// Returns the processor capacity of this VM, in thousandths of a core.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float's cast saturates"
    )]
    fn millicores(&self) -> u32 {
        (self.platform.cores * MILLICORES_PER_CORE) as u32
    }

    /// Returns whether a live daemon runs on a VM with at least twice the processor of this one.
    pub(super) fn has_larger_daemon(&self) -> bool {
        let (own, view) = (self.millicores(), self.view.borrow());
        view.daemons
            .values()
            .any(|d| d.cores >= own.saturating_mul(2))
    }

    /// Returns how many live daemons are preferred to this one as the owner: those on larger VMs, and
    /// those on equal VMs whose names come first.
    pub(super) fn count_preferred(&self) -> usize {
        let (own, view) = (self.millicores(), self.view.borrow());
        let better = |(name, d): &(&String, &Daemon)| {
            (Reverse(d.cores), name.as_str()) < (Reverse(own), self.name.as_str())
        };
        view.daemons.iter().filter(better).count()
    }
}

/// Decodes a small value; a missing one is the default.
pub(super) fn decode_or_default<T>(pair: Option<&Pair>) -> Result<T>
where
    T: serde::de::DeserializeOwned + Default,
{
    match pair {
        None => Ok(T::default()),
        Some(pair) => ciborium::from_reader(pair.value.as_slice())
            .map_err(|e| Error::new(Kind::Internal, format!("{}: {e}", pair.key))),
    }
}
