//! The daemon on the users' platform.
//!
//! It runs on one thread and keeps nothing on disk: all durable state is in the platform's store.
//! Its parts (calls of callers, links to peers, watches on the store, the owner's engine) share a
//! [`Node`].

mod calls;
mod client;
mod front;
mod live;
mod metrics;
mod orders;
mod owner;
mod peers;
mod policy;
mod refused_calls;
mod relay;
mod stalls;
mod store;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use marigoldglade::batch::attempts::{ATTEMPT_MS, Attempts};
use marigoldglade::batch::policy::Policy;
use marigoldglade::prelude::*;
use marigoldglade::settings::{self, Settings};
use marigoldglade::time::SECOND_MS;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};

use crate::clock;
use crate::stop::Stop;

use client::Client;
use live::View;
use metrics::Metrics;
use orders::OrderSlots;
use owner::Input;
use peers::Peers;
use refused_calls::RefusedCalls;
use store::Store;

/// How long a stopping daemon still takes calls, in milliseconds. The platform checks readiness once
/// a second and sends no new connections after two failed checks.
const LINGER_MS: u64 = 2_500;
/// The part of the grace period that is kept for the process's exit, in milliseconds.
const EXIT_MARGIN_MS: u64 = 800;
/// How long a stopping daemon waits for calls on the connections that it accepted last, in
/// milliseconds.
const LAST_CALLS_MS: u64 = 30;
/// The time between two reads of the settings file, in milliseconds.
const SETTINGS_POLL_MS: u64 = 2_000;

/// The state that the daemon's parts share.
pub(crate) struct Node {
    settings: RefCell<Settings>,
    platform: settings::Platform,
    name: String,
    /// A random number that tells this process from earlier ones of the same name.
    incarnation: u64,
    store: Store,
    client: Client,
    /// Limits the orders under way to each worker.
    slots: OrderSlots,
    peers: Peers,
    policy: watch::Sender<Option<Arc<Policy>>>,
    view: watch::Sender<View>,
    /// Sends inputs to the engine while this daemon is the owner.
    engine: RefCell<Option<mpsc::UnboundedSender<Input>>>,
    /// The term in which this daemon is the owner, or claims to be; `None` while it isn't. Orders of the
    /// term may be sent only while it is set, and later owners ask for it.
    term: Cell<Option<u64>>,
    /// The attempts at submissions that may take effect.
    attempts: RefCell<Attempts>,
    /// Until when an earlier process of this daemon may have made attempts that count.
    unsure_until: UnixMs,
    /// When this daemon, as the owner, may next hand over to one on a larger VM.
    handover_after: Cell<UnixMs>,
    refused_calls: RefCell<RefusedCalls>,
    stop: Stop,
    metrics: Metrics,
}

impl Node {
    /// Returns the configuration in force, if there is one yet.
    fn policy(&self) -> Option<Arc<Policy>> {
        self.policy.borrow().clone()
    }
}

/// Runs the daemon until a signal stops it.
///
/// # Errors
///
/// [`Kind::BadInput`] when the settings have no `platform` part, [`Kind::Internal`] when an address
/// can't be bound.
pub(crate) fn run(settings: Settings, file: String) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(internal)?;
    LocalSet::new().block_on(&runtime, serve(settings, file))
}

async fn serve(mut settings: Settings, file: String) -> Result<()> {
    let Some(mut platform) = settings.platform.clone() else {
        return Err(Error::new(
            Kind::BadInput,
            "platform: expected this part of the settings, found none",
        ));
    };
    let mut terminate = signal(SignalKind::terminate()).map_err(internal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(internal)?;
    // By default the signal ends the process, so it is handled before callers can connect.
    let hangup = signal(SignalKind::hangup()).map_err(internal)?;
    let front = TcpListener::bind(settings.listen).await.map_err(internal)?;
    let ready = TcpListener::bind(platform.ready).await.map_err(internal)?;
    let mesh = TcpListener::bind(settings.mesh).await.map_err(internal)?;
    let admin = TcpListener::bind(settings.admin).await.map_err(internal)?;
    // With port 0 the kernel chooses the port.
    settings.listen = front.local_addr().map_err(internal)?;
    settings.mesh = mesh.local_addr().map_err(internal)?;
    settings.admin = admin.local_addr().map_err(internal)?;
    platform.ready = ready.local_addr().map_err(internal)?;
    let incarnation: u64 = rand::random::<u64>() >> 12;
    let metrics = Metrics::new();
    let node = Rc::new(Node {
        store: Store::new(settings.store[0], metrics.store.clone()),
        client: Client::default(),
        slots: OrderSlots::default(),
        peers: Peers::new(&settings),
        policy: watch::Sender::new(None),
        view: watch::Sender::new(View::default()),
        engine: RefCell::new(None),
        term: Cell::new(None),
        attempts: RefCell::default(),
        unsure_until: clock::now().after(if platform.restarted { ATTEMPT_MS } else { 0 }),
        handover_after: Cell::default(),
        refused_calls: RefCell::default(),
        stop: Stop::new(),
        name: settings.name.clone(),
        incarnation,
        metrics,
        platform,
        settings: RefCell::new(settings),
    });
    log::info!(
        daemon = node.name.as_str(), life = node.incarnation,
        listen:% = node.settings.borrow().listen, mesh:% = node.settings.borrow().mesh,
        admin:% = node.settings.borrow().admin, ready:% = node.platform.ready,
        version = env!("CARGO_PKG_VERSION");
        "daemon started"
    );
    spawn_local(stalls::watch_stalls());
    spawn_local(Rc::clone(&node).follow_policy());
    spawn_local(Rc::clone(&node).follow_live());
    spawn_local(Rc::clone(&node).poll_peers());
    spawn_local(Rc::clone(&node).announce());
    spawn_local(Rc::clone(&node).seek_ownership());
    spawn_local(Rc::clone(&node).serve_peers(mesh));
    spawn_local(front::serve_ready(Rc::clone(&node), ready));
    spawn_local(front::serve_metrics(Rc::clone(&node), admin));
    let front = spawn_local(front::serve(Rc::clone(&node), front));
    spawn_local(watch_settings(Rc::clone(&node), file, hangup));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&node, interrupt, front).await;
    Ok(())
}

/// Withdraws this daemon from its peers, lets open calls finish, and returns when the process may end.
///
/// If this daemon is the owner, its owner task releases the ownership once the stop has begun. A repeated
/// SIGTERM changes nothing: several parts of the platform may send one for the same stop.
async fn stop(node: &Rc<Node>, mut interrupt: Signal, front: JoinHandle<()>) {
    let grace_ms = Duration::try_from_secs_f64(node.platform.grace_s).map_or(SECOND_MS, |d| {
        u64::try_from(d.as_millis()).unwrap_or(SECOND_MS)
    });
    let deadline = clock::now().after(grace_ms.saturating_sub(EXIT_MARGIN_MS));
    let linger = clock::now().after(LINGER_MS).min(deadline);
    log::info!(daemon = node.name.as_str(), term = node.term.get(), grace_ms; "daemon stops");
    node.stop.begin(deadline);
    let finish = async {
        node.withdraw().await;
        clock::sleep_until(linger).await;
        // New connections may still come in when most daemons of the data centre fail the
        // readiness check.
        node.stop.close();
        node.stop.wait_idle().await;
        front.abort();
        node.stop.close();
        // Calls whose bytes have already arrived are still read and answered.
        tokio::time::sleep(Duration::from_millis(LAST_CALLS_MS)).await;
        node.stop.wait_idle().await;
    };
    tokio::select! {
        () = finish => log::info!(daemon = node.name.as_str(); "daemon stopped with nothing in flight"),
        () = clock::sleep_until(deadline) => log::warn!(daemon = node.name.as_str(); "daemon stopped with calls in flight"),
        _ = interrupt.recv() => log::warn!(daemon = node.name.as_str(); "daemon interrupted while it was stopping"),
    }
    crate::logs::flush();
}

/// Reloads the settings when the file has changed: looks at it regularly and on SIGHUP.
async fn watch_settings(node: Rc<Node>, file: String, mut hangup: Signal) {
    let mut text = std::fs::read_to_string(&file).unwrap_or_default();
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(Duration::from_millis(SETTINGS_POLL_MS)) => {}
        }
        let new = match std::fs::read_to_string(&file) {
            Ok(new) => new,
            Err(e) => {
                log::warn!(file = file.as_str(), error:% = e; "can't read the settings; the old ones stay in force");
                continue;
            }
        };
        if new == text {
            continue;
        }
        text = new;
        match Settings::parse(&file, &text) {
            Ok(settings) => {
                log::info!(file = file.as_str(); "settings reloaded");
                node.peers.set_seeds(&settings.peers);
                *node.settings.borrow_mut() = settings;
            }
            Err(e) => {
                log::warn!(file = file.as_str(), error:% = e; "the settings are invalid; the old ones stay in force");
            }
        }
    }
}

fn internal(e: std::io::Error) -> Error {
    Error::new(Kind::Internal, e.to_string())
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch; it may jump.
fn wall_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0))
}

/// Returns the time since boot, in milliseconds; it never jumps and includes the time for which the
/// VM was suspended.
fn boot_ms() -> u64 {
    let at = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let part = |n: i64| u64::try_from(n).unwrap_or(0);
    part(at.tv_sec) * SECOND_MS + part(at.tv_nsec) / 1_000_000
}
