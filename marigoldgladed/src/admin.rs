//! The operators' listener for metrics and health over HTTP.
//!
//! `/metrics` is in the Prometheus text format; `/healthz` answers 200 while the process runs;
//! `/readyz` answers 200 only while the daemon takes new work.

use std::convert::Infallible;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use tokio::net::{TcpListener, TcpStream};

use crate::app::App;

/// The time that a client has to send its request head, in milliseconds.
const READ_TIMEOUT_MS: u64 = 5_000;

/// Counters by the values of one label.
pub(crate) type Counts = Family<Vec<(&'static str, String)>, Counter>;

/// The metrics of the daemon.
pub(crate) struct Admin {
    registry: Mutex<Registry>,
    /// Requests by outcome: `ok` or an error kind.
    pub(crate) requests: Counts,
    /// Jobs by state.
    pub(crate) jobs: Counts,
    /// Calls to the key-value service by rank and outcome.
    pub(crate) store: Counts,
    /// Frames and links of the mesh by what happened to them.
    pub(crate) mesh: Counts,
    /// Self-repair events by kind.
    pub(crate) events: Counts,
}

impl Admin {
    /// Creates the metrics, with all counters at zero.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("marigoldglade");
        let mut counts = |name: &str, help: &str| {
            let family = Counts::default();
            registry.register(name, help, family.clone());
            family
        };
        Self {
            requests: counts("requests", "Requests by outcome"),
            jobs: counts("jobs", "Jobs by state"),
            store: counts("store_calls", "Calls to the key-value service by outcome"),
            mesh: counts("mesh", "Frames and links of the mesh by what happened"),
            events: counts("events", "Self-repair events by kind"),
            registry: Mutex::new(registry),
        }
    }
}

/// Serves metrics and health until the task is aborted.
pub(crate) async fn serve(app: Arc<App>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // The process is out of file descriptors; wait until some are closed.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        tokio::spawn(serve_connection(Arc::clone(&app), stream));
    }
}

async fn serve_connection(app: Arc<App>, stream: TcpStream) {
    let service = service_fn(|request: hyper::Request<hyper::body::Incoming>| {
        let (status, text) = respond(&app, request.uri().path());
        let mut response = Response::new(Full::<bytes::Bytes>::from(text));
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
        async move { Ok::<_, Infallible>(response) }
    });
    // An error concerns only this connection.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(READ_TIMEOUT_MS))
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn respond(app: &App, path: &str) -> (u16, String) {
    match path {
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
        "/readyz" if app.stop.is_stopping() => (503, "stopping\n".to_owned()),
        "/readyz" if app.configs.current().is_none() => (503, "no configuration yet\n".to_owned()),
        "/readyz" => (200, "ready\n".to_owned()),
        _ => (404, "not found\n".to_owned()),
    }
}
