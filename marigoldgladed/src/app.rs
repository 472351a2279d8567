//! Starts the daemon's parts, and stops them gracefully on a signal.

use std::sync::Arc;

use marigoldglade::prelude::*;
use marigoldglade::settings::Settings;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::admin::Admin;
use crate::configs::Configs;
use crate::events::Events;
use crate::jobs::Jobs;
use crate::mesh::Mesh;
use crate::requests::Requests;
use crate::roles::Roles;
use crate::stop::Stop;
use crate::store_client::StoreClient;
use crate::targets::Targets;
use crate::{admin, clock, front};

/// The time that is left for sending the last frames to peers, in milliseconds.
const FLUSH_MS: u64 = 50;

/// The state that the daemon's parts share.
pub(crate) struct App {
    pub(crate) settings: Settings,
    pub(crate) stop: Stop,
    pub(crate) store: StoreClient,
    pub(crate) configs: Configs,
    pub(crate) targets: Targets,
    pub(crate) requests: Requests,
    pub(crate) jobs: Jobs,
    pub(crate) mesh: Mesh,
    pub(crate) roles: Roles,
    pub(crate) events: Events,
    pub(crate) admin: Admin,
}

/// Runs a daemon until a signal stops it; `ready` is called once it listens.
///
/// # Errors
///
/// [`Kind::Internal`] when an address can't be bound or a thread can't be started.
pub(crate) fn run(settings: Settings, ready: impl FnOnce(&Settings)) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(internal)?;
    let result = runtime.block_on(serve(settings, ready));
    // Doesn't wait for threads that are blocked on the store, which would delay the exit.
    runtime.shutdown_background();
    result
}

async fn serve(mut settings: Settings, ready: impl FnOnce(&Settings)) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).map_err(internal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(internal)?;
    // Nothing is reloaded, but by default the signal would end the process.
    let _hangup = signal(SignalKind::hangup()).map_err(internal)?;
    let listener = TcpListener::bind(settings.listen).await.map_err(internal)?;
    settings.listen = listener.local_addr().map_err(internal)?;
    let mesh_listener = TcpListener::bind(settings.mesh).await.map_err(internal)?;
    settings.mesh = mesh_listener.local_addr().map_err(internal)?;
    let admin_listener = TcpListener::bind(settings.admin).await.map_err(internal)?;
    settings.admin = admin_listener.local_addr().map_err(internal)?;
    let admin = Admin::new();
    let app = Arc::new(App {
        stop: Stop::new(),
        store: StoreClient::new(&settings, admin.store.clone()),
        configs: Configs::new(),
        targets: Targets::new(),
        requests: Requests::new(&settings),
        jobs: Jobs::default(),
        mesh: Mesh::new(&settings, admin.mesh.clone()),
        roles: Roles::new(&settings.name, settings.mesh),
        events: Events::default(),
        admin,
        settings,
    });
    tokio::spawn(Arc::clone(&app).follow_configs());
    tokio::spawn(Arc::clone(&app).watch_store_health());
    tokio::spawn(Arc::clone(&app).poll_vm_list());
    tokio::spawn(Arc::clone(&app).drive_requests());
    tokio::spawn(Arc::clone(&app).start_centres());
    tokio::spawn(Arc::clone(&app).serve_mesh(mesh_listener));
    tokio::spawn(Arc::clone(&app).follow_members());
    tokio::spawn(Arc::clone(&app).follow_roles());
    tokio::spawn(Arc::clone(&app).follow_owners());
    let front = tokio::spawn(front::serve(Arc::clone(&app), listener));
    tokio::spawn(admin::serve(Arc::clone(&app), admin_listener));
    log::info!(
        "{} listens on {}, admin on {}",
        app.settings.name,
        app.settings.listen,
        app.settings.admin
    );
    ready(&app.settings);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let deadline = clock::now().after(app.settings.limits.stop_ms);
    log::info!("stopping; work in flight has until {}", deadline.0);
    app.stop.begin(deadline);
    tokio::select! {
        () = app.wait_settled() => log::info!("stopped with nothing in flight"),
        () = clock::sleep_until(deadline) => log::warn!("stopped at the deadline with work in flight"),
        // A repeated SIGTERM changes nothing: several parts of a platform may send one for the same stop.
        _ = interrupt.recv() => log::warn!("interrupted while stopping"),
    }
    front.abort();
    app.leave_mesh();
    clock::sleep_until(clock::now().after(FLUSH_MS)).await;
    Ok(())
}

impl App {
    /// Waits until no work is in flight and this daemon has released every data centre that it owns.
    async fn wait_settled(&self) {
        self.stop.wait_idle().await;
        self.wait_released().await;
    }
}

fn internal(e: std::io::Error) -> Error {
    Error::new(Kind::Internal, e.to_string())
}
