//! Calls to the key-value service: a [`Call`] flows in, a [`Reply`] or a [`Fault`] flows out.
//!
//! The decisions are the [`Client`]'s; here are its clock, its blocking sends and its waiters.

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

/// How long before its deadline a quiet watch ends, in milliseconds, so that it is told in time.
const WATCH_MARGIN_MS: u64 = 100;

/// The daemon's one client of the key-value service.
#[derive(Clone)]
pub(crate) struct StoreClient(Arc<Inner>);

struct Inner {
    addrs: Vec<SocketAddr>,
    agent: ureq::Agent,
    calls: Counts,
    client: Mutex<Client>,
    waiters: Mutex<HashMap<CallKey, oneshot::Sender<CallResult>>>,
    last: AtomicU64,
    /// Wakes the clock when there is something to wait for.
    changed: Notify,
    up: watch::Sender<bool>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StoreClient {
    /// Makes a client of the service at the settings' addresses, and starts its clock.
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
        tokio::spawn(Arc::clone(&inner).run_clock());
        Self(inner)
    }

    /// Makes a call and waits for its reply until `end`.
    pub(crate) async fn call(
        &self,
        rank: Rank,
        call: Call,
        end: UnixMs,
    ) -> std::result::Result<Reply, Fault> {
        let key = CallKey(self.0.last.fetch_add(1, Ordering::Relaxed));
        let (told, result) = oneshot::channel();
        lock(&self.0.waiters).insert(key, told);
        self.0.step(Event::Submit(key, rank, Arc::new(call), end));
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

    /// Takes how many daemons share the service.
    pub(crate) fn set_members(&self, members: usize) {
        self.0.step(Event::Members(members as u64));
    }

    /// Returns a watch of whether the service can be reached.
    pub(crate) fn health(&self) -> watch::Receiver<bool> {
        self.0.up.subscribe()
    }
}

impl Inner {
    /// Ticks the client whenever it asks for it.
    async fn run_clock(self: Arc<Self>) {
        loop {
            let next = lock(&self.client).next(clock::now());
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
            self.act(action);
        }
        self.changed.notify_one();
    }

    fn act(self: &Arc<Self>, action: Action) {
        match action {
            Action::Send(attempt, addr, call, end) => {
                let inner = Arc::clone(self);
                tokio::task::spawn_blocking(move || inner.send(attempt, addr, &call, end));
            }
            Action::Finish(key, told) => {
                // A waiter that is gone was cancelled with its caller.
                if let Some(waiter) = lock(&self.waiters).remove(&key) {
                    let _ = waiter.send(told);
                }
            }
            Action::Health(addr, true) => log::info!("{} answers again", self.addrs[addr.0]),
            Action::Health(addr, false) => log::warn!("{} is held back", self.addrs[addr.0]),
        }
    }

    fn send(self: &Arc<Self>, attempt: AttemptKey, addr: Addr, call: &Call, end: UnixMs) {
        let told = self.exchange(self.addrs[addr.0], call, end);
        self.step(Event::Completed(attempt, told));
    }

    fn exchange(&self, addr: SocketAddr, call: &Call, end: UnixMs) -> CallResult {
        let (path, body) = etcd::encode(call);
        let limit = match call {
            Call::Watch { .. } => end.before(WATCH_MARGIN_MS),
            _ => end,
        };
        let sent = self
            .agent
            .post(format!("http://{addr}{path}"))
            .config()
            .timeout_global(Some(clock::until(limit)))
            .build()
            .send_json(&body);
        let mut answer = sent.map_err(|e| fault_of(&e))?;
        match answer.status().as_u16() {
            200 => {}
            // It was turned away before it was looked at.
            429 => return Err(Fault::NotSent),
            400..500 => return Err(Fault::Refused),
            _ => return Err(Fault::Unknown),
        }
        let mut lines = BufReader::new(answer.body_mut().as_reader()).lines();
        let mut quiet = None;
        while let Some(Ok(line)) = lines.next() {
            let value = serde_json::from_str(&line).map_err(|_| Fault::Unknown)?;
            let reply = etcd::decode(call, &value).ok_or(Fault::Unknown)?;
            // A watch tells its progress until something changes.
            if !matches!(&reply.body, Body::Changes(changes) if changes.is_empty()) {
                return Ok(reply);
            }
            quiet = Some(reply);
        }
        quiet
            .filter(|_| limit.passed(clock::now()))
            .ok_or(Fault::Unknown)
    }
}

/// Returns what a transport error says of the call's effect.
fn fault_of(e: &ureq::Error) -> Fault {
    use ureq::Timeout::{Connect, Resolve};
    match e {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(Connect | Resolve) => Fault::NotSent,
        ureq::Error::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => Fault::NotSent,
        _ => Fault::Unknown,
    }
}
