//! The client of the platform's store, which all parts of the daemon use.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use marigoldglade::batch::roster::REJOIN_MS;
use marigoldglade::store::{Body, Call, Change, Fault, Op, Outcome, Pair, Reply, Revision, Txn};
use marigoldglade::time::UnixMs;

use crate::admin::Counts;
use crate::batch::client::{Client, Failure};
use crate::clock;

/// The longest time that a call may take, in milliseconds; several times the store's slowest answers.
pub(super) const CALL_TIMEOUT_MS: u64 = 1_000;
/// How long a watch waits for changes, in milliseconds. It bounds the time until a connection that
/// has gone silent is noticed, and is shorter than the time in which a new configuration must be in
/// force.
pub(super) const WATCH_WAIT_MS: u64 = 1_500;
/// How much longer than its wait a watch may take, in milliseconds.
const WATCH_MARGIN_MS: u64 = 500;
/// The key that a probe reads; it needn't exist.
const PROBE_KEY: &str = "mg/probe";
/// The longest time that a probe may take, in milliseconds; above the store's slowest answers.
const PROBE_TIMEOUT_MS: u64 = 400;
/// The pause between a failed call and the next attempt, in milliseconds.
const PAUSE_MS: u64 = 150;
/// The number of failures in a row after which the store counts as lost.
const LOST_THRESHOLD: u32 = 2;

/// A client of the store that remembers whether the last calls failed.
pub(super) struct Store {
    addr: SocketAddr,
    host: String,
    client: Client,
    counts: Counts,
    /// The failures since the last call that was answered.
    failures: Cell<u32>,
    /// When the first of those failures was noticed.
    failing_since: Cell<UnixMs>,
    /// When the store last answered again after it was lost.
    regained_at: Cell<Option<UnixMs>>,
}

impl Store {
    /// Creates a client of the store at an address.
    pub(super) fn new(addr: SocketAddr, counts: Counts) -> Self {
        Self {
            addr,
            host: addr.to_string(),
            client: Client::default(),
            counts,
            failures: Cell::new(0),
            failing_since: Cell::new(UnixMs::MAX),
            regained_at: Cell::new(None),
        }
    }

    /// Returns whether the last calls all failed, so that the store counts as lost.
    pub(super) fn is_lost(&self) -> bool {
        self.failures.get() >= LOST_THRESHOLD
    }

    /// Returns how long the store has answered nothing, in milliseconds; zero if its last answer was
    /// usable.
    pub(super) fn lost_ms(&self) -> u64 {
        if self.failures.get() == 0 {
            return 0;
        }
        clock::now().since(self.failing_since.get())
    }

    /// Returns when the entries that expired during the last outage are back; the Unix epoch when
    /// there was no outage.
    pub(super) fn settled_at(&self) -> UnixMs {
        if self.is_lost() {
            return clock::now().after(REJOIN_MS);
        }
        let regained = self.regained_at.get();
        regained.map_or(UnixMs::default(), |at| at.after(REJOIN_MS))
    }

    /// Makes a call.
    pub(super) async fn call(&self, call: &Call) -> std::result::Result<Reply, Fault> {
        let (wait, limit) = if call.is_watch() {
            (WATCH_WAIT_MS, WATCH_WAIT_MS + WATCH_MARGIN_MS)
        } else {
            (0, CALL_TIMEOUT_MS)
        };
        let request = platform::store::encode(call, &self.host, wait).map_err(|e| {
            log::error!(error:% = e; "can't encode a call to the store");
            Fault::NotSent
        })?;
        let sent = self
            .client
            .send(self.addr, request, clock::now().after(limit))
            .await;
        let outcome = match sent {
            Ok(response) => platform::store::decode(call, &response),
            Err(Failure::NotSent) => Err(Fault::NotSent),
            // The watch would find the same changes again; the keys themselves come in pages.
            Err(Failure::TooLarge) if call.is_watch() => {
                log::warn!("the changes since the last watch are too large for one response");
                Ok(Reply {
                    revision: 0,
                    body: Body::Compacted,
                })
            }
            Err(Failure::Unknown | Failure::TooLarge) => Err(Fault::Unknown),
        };
        self.record_outcome(call, &outcome);
        outcome
    }

    fn record_outcome(&self, call: &Call, outcome: &std::result::Result<Reply, Fault>) {
        let result = match outcome {
            Ok(_) => "ok",
            Err(Fault::NotSent) => "not-sent",
            Err(Fault::Unknown) => "unknown",
            Err(Fault::Refused) => "refused",
            Err(Fault::Invalid) => "invalid",
        };
        let kind = match call {
            Call::Txn(_) => "txn",
            Call::Range { .. } => "range",
            Call::Watch { .. } => "watch",
            Call::Grant { .. } | Call::Renew { .. } | Call::Revoke { .. } => "lease",
        };
        let label = vec![("call", kind.to_owned()), ("outcome", result.to_owned())];
        self.counts.get_or_create(&label).inc();
        match outcome {
            Ok(_) => {
                if self.is_lost() {
                    log::info!(dependency = "store", failures = self.failures.get(); "dependency regained");
                    self.regained_at.set(Some(clock::now()));
                }
                self.failures.set(0);
            }
            Err(_) => {
                if self.failures.get() == 0 {
                    self.failing_since.set(clock::now());
                }
                self.failures.set(self.failures.get().saturating_add(1));
                if self.failures.get() == LOST_THRESHOLD {
                    log::warn!(dependency = "store", why = result, call = kind; "dependency lost");
                }
            }
        }
    }

    /// Makes a cheap call without an effect; returns whether the store answered it.
    pub(super) async fn probe(&self) -> bool {
        self.probe_key(PROBE_KEY).await.is_ok()
    }

    /// Reads one key like [`Store::get`], but gives up early. A failed read had no effect.
    pub(super) async fn probe_key(&self, key: &str) -> std::result::Result<Option<Pair>, Fault> {
        let limit = Duration::from_millis(PROBE_TIMEOUT_MS);
        let answer = tokio::time::timeout(limit, self.get(key)).await;
        let answer = answer.unwrap_or(Err(Fault::NotSent));
        answer.map_err(|_| Fault::NotSent)
    }

    /// Repeats a call until it is answered; only for calls that are safe to repeat.
    pub(super) async fn call_until_answered(&self, call: &Call) -> Reply {
        loop {
            match self.call(call).await {
                Ok(reply) => return reply,
                Err(_) => pause().await,
            }
        }
    }

    /// Reads one key; `None` when it doesn't exist.
    pub(super) async fn get(&self, key: &str) -> std::result::Result<Option<Pair>, Fault> {
        let txn = Txn {
            then: vec![Op::Get(key.to_owned())],
            ..Txn::default()
        };
        match self.call(&Call::Txn(txn)).await?.body {
            Body::Txn(done) => Ok(done.outcomes.into_iter().find_map(|o| match o {
                Outcome::Pairs(pairs) => pairs.into_iter().next(),
                Outcome::Done | Outcome::Txn(_) => None,
            })),
            _ => Err(Fault::Unknown),
        }
    }

    /// Reads all keys with a prefix, and the revision from which to watch them.
    pub(super) async fn list(&self, prefix: &str) -> (Vec<Pair>, Revision) {
        let mut all: Vec<Pair> = Vec::new();
        let mut first = None;
        loop {
            let after = all.last().map_or(String::new(), |p| p.key.clone());
            let call = Call::Range {
                prefix: prefix.to_owned(),
                after,
                limit: 0,
            };
            let reply = self.call_until_answered(&call).await;
            // The pages aren't a snapshot. A watch from the first page's revision reports the
            // changes made while the later pages were read.
            let since = *first.get_or_insert(reply.revision);
            let Body::Range { pairs, more } = reply.body else {
                continue;
            };
            let empty = pairs.is_empty();
            all.extend(pairs);
            if !more || empty {
                return (all, since);
            }
        }
    }

    /// Waits for changes to keys with a prefix and moves `since` past them; `None` when the store no
    /// longer has the history from `since` on.
    pub(super) async fn watch(&self, prefix: &str, since: &mut Revision) -> Option<Vec<Change>> {
        let call = Call::Watch {
            prefix: prefix.to_owned(),
            since: *since,
        };
        match self.call(&call).await {
            Ok(reply) => match reply.body {
                Body::Changes(changes) => {
                    *since = (*since).max(reply.revision);
                    Some(changes)
                }
                _ => None,
            },
            Err(_) => {
                pause().await;
                Some(Vec::new())
            }
        }
    }
}

/// Waits before a failed call is made again.
pub(super) async fn pause() {
    tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
}
