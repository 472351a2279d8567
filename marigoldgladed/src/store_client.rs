//! The daemon's client of the key-value service.
//!
//! [`Client`] makes the decisions. This module gives it the time, sends its attempts by blocking
//! HTTP requests, and passes the results to the callers.

use std::collections::HashMap;
use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use marigoldglade::etcd;
use marigoldglade::prelude::*;
use marigoldglade::settings::Settings;
use marigoldglade::store::{Body, Call, Fault, Reply};
use marigoldglade::store_client::{
    ATTEMPT_LIMIT, Action, Addr, AttemptKey, CallKey, CallResult, Client, Event,
};
use opentelemetry::trace::SpanKind;
use tokio::sync::{Notify, oneshot, watch};

use crate::admin::Counts;
use crate::{clock, spans};

pub(crate) use marigoldglade::budget::Rank;

/// The time by which a watch without changes ends before its deadline, in milliseconds, so that the
/// empty reply arrives in time.
const WATCH_MARGIN_MS: u64 = 100;

/// The client of the key-value service that all modules of the daemon share.
#[derive(Clone)]
pub(crate) struct StoreClient(Arc<Inner>);

struct Inner {
    addrs: Vec<SocketAddr>,
    agent: ureq::Agent,
    calls: Counts,
    client: Mutex<Client>,
    waiters: Mutex<HashMap<CallKey, oneshot::Sender<CallResult>>>,
    last: AtomicU64,
    /// Wakes the task that ticks the client, as the time of the next tick may have changed.
    changed: Notify,
    up: watch::Sender<bool>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StoreClient {
    /// Creates a client of the service at the addresses in `settings`, and starts its ticks.
    pub(crate) fn new(settings: &Settings, calls: Counts) -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(ATTEMPT_LIMIT)
            .max_idle_connections_per_host(ATTEMPT_LIMIT)
            .build()
            .into();
        let members = settings.peers.len() as u64 + 1;
        let addrs = settings.store.clone();
        let client = Client::new(clock::now(), addrs.len(), members, rand::random());
        let inner = Arc::new(Inner {
            addrs,
            agent,
            calls,
            client: Mutex::new(client),
            waiters: Mutex::default(),
            last: AtomicU64::new(0),
            changed: Notify::new(),
            up: watch::Sender::new(true),
        });
        tokio::spawn(Arc::clone(&inner).run_ticks());
        Self(inner)
    }

    /// Makes a call and waits for its reply until `deadline`.
    pub(crate) async fn call(
        &self,
        rank: Rank,
        call: Call,
        deadline: UnixMs,
    ) -> std::result::Result<Reply, Fault> {
        let key = CallKey(self.0.last.fetch_add(1, Ordering::Relaxed));
        let (sender, result) = oneshot::channel();
        lock(&self.0.waiters).insert(key, sender);
        self.0
            .step(Event::Submit(key, rank, Arc::new(call), deadline));
        let work = async { result.await.unwrap_or(Err(Fault::Unknown)) };
        let result = spans::in_span("store", SpanKind::Client, rank.to_string(), work).await;
        let outcome = match &result {
            Ok(_) => "ok".to_owned(),
            Err(fault) => format!("{fault:?}").to_lowercase(),
        };
        let labels = vec![("rank", rank.to_string()), ("outcome", outcome)];
        self.0.calls.get_or_create(&labels).inc();
        result
    }

    /// Sets the number of daemons that share the service.
    pub(crate) fn set_members(&self, members: usize) {
        self.0.step(Event::Members(members as u64));
    }

    /// Returns a receiver of whether the service can be reached.
    pub(crate) fn health(&self) -> watch::Receiver<bool> {
        self.0.up.subscribe()
    }
}

impl Inner {
    /// Ticks the client at the times that it asks for.
    async fn run_ticks(self: Arc<Self>) {
        loop {
            let next = lock(&self.client).next_tick(clock::now());
            tokio::select! {
                () = clock::sleep_until(next) => self.step(Event::Tick),
                () = self.changed.notified() => {}
            }
        }
    }

    fn step(self: &Arc<Self>, event: Event) {
        let mut out = Vec::new();
        let up = {
            let mut client = lock(&self.client);
            client.step(clock::now(), event, &mut out);
            client.is_up()
        };
        self.up
            .send_if_modified(|old| std::mem::replace(old, up) != up);
        for action in out {
            self.perform(action);
        }
        self.changed.notify_one();
    }

    fn perform(self: &Arc<Self>, action: Action) {
        match action {
            Action::Send(attempt, addr, call, deadline) => {
                let inner = Arc::clone(self);
                tokio::task::spawn_blocking(move || inner.send(attempt, addr, &call, deadline));
            }
            Action::Finish(key, result) => {
                // There is no waiter if the caller was cancelled.
                if let Some(waiter) = lock(&self.waiters).remove(&key) {
                    let _ = waiter.send(result);
                }
            }
            Action::Health(addr, true) => log::info!("store {} is up again", self.addrs[addr.0]),
            Action::Health(addr, false) => log::warn!("store {} is failing", self.addrs[addr.0]),
        }
    }

    fn send(self: &Arc<Self>, attempt: AttemptKey, addr: Addr, call: &Call, deadline: UnixMs) {
        let result = self.exchange(self.addrs[addr.0], call, deadline);
        self.step(Event::Completed(attempt, result));
    }

    fn exchange(&self, addr: SocketAddr, call: &Call, deadline: UnixMs) -> CallResult {
        let (path, body) = etcd::encode(call);
        let limit = match call {
            Call::Watch { .. } => deadline.before(WATCH_MARGIN_MS),
            _ => deadline,
        };
        let sent = self
            .agent
            .post(format!("http://{addr}{path}"))
            .config()
            .timeout_global(Some(clock::until(limit)))
            .build()
            .send_json(&body);
        let mut response = sent.map_err(|e| fault_from(&e))?;
        match response.status().as_u16() {
            200 => {}
            // The service's rate limit rejects calls before it handles them.
            429 => return Err(Fault::NotSent),
            400..500 => return Err(Fault::Refused),
            _ => return Err(Fault::Unknown),
        }
        let mut lines = BufReader::new(response.body_mut().as_reader()).lines();
        let mut empty = None;
        while let Some(Ok(line)) = lines.next() {
            let value = serde_json::from_str(&line).map_err(|_| Fault::Unknown)?;
            let reply = etcd::decode(call, &value).ok_or(Fault::Unknown)?;
            // A watch sends messages without changes until something changes.
            if !matches!(&reply.body, Body::Changes(changes) if changes.is_empty()) {
                return Ok(reply);
            }
            empty = Some(reply);
        }
        empty
            .filter(|_| limit.passed(clock::now()))
            .ok_or(Fault::Unknown)
    }
}

/// Returns whether a call may have taken effect in spite of a transport error.
fn fault_from(e: &ureq::Error) -> Fault {
    use ureq::Timeout::{Connect, Resolve};
    match e {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(Connect | Resolve) => Fault::NotSent,
        ureq::Error::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => Fault::NotSent,
        _ => Fault::Unknown,
    }
}
