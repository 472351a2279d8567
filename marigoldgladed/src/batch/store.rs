//! The one client of the platform's store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use marigoldglade::store::{Body, Call, Change, Fault, Op, Outcome, Pair, Reply, Revision, Txn};

use crate::admin::Counts;
use crate::batch::client::{Client, Failure};
use crate::clock;

/// The time that a call may take, in milliseconds; source: several times the store's slowest answers.
pub(super) const CALL_MS: u64 = 1_000;
/// How long a watch waits for changes, in milliseconds; source: bounds the time until a connection
/// that fell silent is noticed, below the bound of configuration.
pub(super) const WATCH_WAIT_MS: u64 = 1_500;
/// What a watch may take beyond its wait, in milliseconds.
const WATCH_MARGIN_MS: u64 = 500;
/// The key that probes read; it needn't exist.
const PROBE_KEY: &str = "mg/probe";
/// The time that a probe has, in milliseconds; source: above the store's slowest answers.
const PROBE_MS: u64 = 400;
/// The pause after a call that failed, in milliseconds.
const PAUSE_MS: u64 = 150;
/// Failures in a row after which the store counts as lost.
const LOST_AFTER: u32 = 2;

/// The client.
pub(super) struct Store {
    addr: SocketAddr,
    host: String,
    client: Client,
    counts: Counts,
    failures: Cell<u32>,
    why: RefCell<Option<Fault>>,
}

impl Store {
    /// Makes a client of the store at an address.
    pub(super) fn new(addr: SocketAddr, counts: Counts) -> Self {
        Self {
            addr,
            host: addr.to_string(),
            client: Client::default(),
            counts,
            failures: Cell::new(0),
            why: RefCell::new(None),
        }
    }

    /// Returns whether calls have failed lately.
    pub(super) fn is_lost(&self) -> bool {
        self.failures.get() >= LOST_AFTER
    }

    /// Makes a call.
    pub(super) async fn call(&self, call: &Call) -> std::result::Result<Reply, Fault> {
        let (wait, limit) = if call.is_watch() {
            (WATCH_WAIT_MS, WATCH_WAIT_MS + WATCH_MARGIN_MS)
        } else {
            (0, CALL_MS)
        };
        let request = platform::store::encode(call, &self.host, wait).map_err(|e| {
            log::error!(error:% = e; "a call to the store can't be encoded");
            Fault::NotSent
        })?;
        let sent = self
            .client
            .send(self.addr, request, clock::now().after(limit))
            .await;
        let outcome = match sent {
            Ok(response) => platform::store::decode(call, &response),
            Err(Failure::NotSent) => Err(Fault::NotSent),
            Err(Failure::Lost) => Err(Fault::Unknown),
        };
        self.note(call, &outcome);
        outcome
    }

    fn note(&self, call: &Call, outcome: &std::result::Result<Reply, Fault>) {
        let what = match outcome {
            Ok(_) => "ok",
            Err(Fault::NotSent) => "not-sent",
            Err(Fault::Unknown) => "unknown",
            Err(Fault::Refused) => "refused",
        };
        let kind = match call {
            Call::Txn(_) => "txn",
            Call::Range { .. } => "range",
            Call::Watch { .. } => "watch",
            Call::Grant { .. } | Call::Renew { .. } | Call::Revoke { .. } => "lease",
        };
        let label = vec![("call", kind.to_owned()), ("outcome", what.to_owned())];
        self.counts.get_or_create(&label).inc();
        match outcome {
            Ok(_) => {
                if self.is_lost() {
                    log::info!(dependency = "store", failures = self.failures.get(); "dependency regained");
                }
                self.failures.set(0);
            }
            Err(fault) => {
                self.failures.set(self.failures.get().saturating_add(1));
                *self.why.borrow_mut() = Some(*fault);
                if self.failures.get() == LOST_AFTER {
                    log::warn!(dependency = "store", why = what, call = kind; "dependency lost");
                }
            }
        }
    }

    /// Looks whether a lost store answers again.
    pub(super) async fn probe(&self) {
        let limit = Duration::from_millis(PROBE_MS);
        let _ = tokio::time::timeout(limit, self.get(PROBE_KEY)).await;
    }

    /// Makes a call again and again until it has an answer; only for calls that do no harm twice.
    pub(super) async fn insist(&self, call: &Call) -> Reply {
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
            let reply = self.insist(&call).await;
            // Pages aren't a snapshot: changes since the first page come by the watch.
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

    /// Waits for changes of a prefix; `None` when the store has dropped the history.
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

/// Waits before a call is made again.
pub(super) async fn pause() {
    tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
}
