//! The operators' side door: metrics and health over HTTP by `tiny_http`.
//!
//! `/metrics` is the Prometheus text format; `/healthz` answers while the process lives;
//! `/readyz` answers 200 only while the daemon takes new work.

use std::sync::{Arc, Mutex, PoisonError};

use marigoldglade::prelude::*;
use marigoldglade::settings::Settings;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use tiny_http::{Response, Server};

use crate::app::App;

/// A counter by one label.
pub(crate) type Counts = Family<Vec<(&'static str, String)>, Counter>;

/// Metrics and the listener that shows them.
pub(crate) struct Admin {
    server: Arc<Server>,
    registry: Mutex<Registry>,
    /// Requests by outcome: `ok` or a kind of the error table.
    pub(crate) requests: Counts,
    /// Jobs by their last state.
    pub(crate) jobs: Counts,
    /// Calls to the key-value service by rank and outcome.
    pub(crate) store: Counts,
    /// Frames and links of the mesh by what happened.
    pub(crate) mesh: Counts,
    /// Self-repair events by kind.
    pub(crate) events: Counts,
}

impl Admin {
    /// Binds the admin address and writes the port that was bound into the settings.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when the address can't be bound.
    pub(crate) fn start(settings: &mut Settings) -> Result<Self> {
        let server = Server::http(settings.admin)
            .map_err(|e| Error::new(Kind::Internal, format!("{}: {e}", settings.admin)))?;
        if let Some(addr) = server.server_addr().to_ip() {
            settings.admin = addr;
        }
        let mut registry = Registry::with_prefix("marigoldglade");
        let mut counts = |name: &str, help: &str| {
            let family = Counts::default();
            registry.register(name, help, family.clone());
            family
        };
        Ok(Self {
            server: Arc::new(server),
            requests: counts("requests", "Requests by outcome"),
            jobs: counts("jobs", "Jobs by state"),
            store: counts("store_calls", "Calls to the key-value service by outcome"),
            mesh: counts("mesh", "Frames and links of the mesh by what happened"),
            events: counts("events", "Self-repair events by kind"),
            registry: Mutex::new(registry),
        })
    }

    /// Serves on a thread of its own until the process ends.
    pub(crate) fn serve(&self, app: &Arc<App>) {
        let (server, app) = (Arc::clone(&self.server), Arc::clone(app));
        std::thread::spawn(move || {
            while let Ok(request) = server.recv() {
                let (status, text) = page(&app, request.url());
                let _ = request.respond(Response::from_string(text).with_status_code(status));
            }
        });
    }
}

fn page(app: &App, url: &str) -> (u16, String) {
    match url {
        "/metrics" => {
            let mut text = String::new();
            let registry = app
                .admin
                .registry
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            match encode(&mut text, &registry) {
                Ok(()) => (200, text),
                Err(e) => (500, e.to_string()),
            }
        }
        "/healthz" => (200, "live\n".to_owned()),
        "/readyz" if app.stop.stopping() => (503, "stopping\n".to_owned()),
        "/readyz" if app.configs.current().is_none() => (503, "no configuration yet\n".to_owned()),
        "/readyz" => (200, "ready\n".to_owned()),
        _ => (404, "not found\n".to_owned()),
    }
}
