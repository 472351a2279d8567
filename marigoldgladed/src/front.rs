//! The HTTP/1.1 server for callers and operators, with its routes.
//!
//! Every read has a time and a size limit, so that one peer can't block another.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use marigoldglade::api::{Problem, RUN_HEADER};
use marigoldglade::prelude::*;
use marigoldglade::time::SECOND_MS;
use opentelemetry::context::FutureExt as _;
use opentelemetry::trace::SpanKind;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::app::App;
use crate::pipeline::Pipeline;
use crate::{clock, spans};

/// The most headers of a request.
const MAX_HEADERS: usize = 64;
/// The most bytes of a request line with its headers.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// An answer to a caller.
pub(crate) type Answer = Response<Full<Bytes>>;

/// Accepts connections until the task is aborted.
pub(crate) async fn serve(app: Arc<App>, listener: TcpListener) {
    let permits = usize::try_from(app.settings.limits.connections).unwrap_or(usize::MAX);
    let permits = Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS)));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Usually the process has no free file descriptors; retry when some may have been
            // closed.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::debug!("connection refused: the limit of open connections is reached");
            continue;
        };
        let app = Arc::clone(&app);
        tokio::spawn(async move {
            serve_connection(app, stream).await;
            drop(permit);
        });
    }
}

async fn serve_connection(app: Arc<App>, stream: TcpStream) {
    // A call is in flight until its answer is written. A stop closes idle connections at once.
    let _in_flight = app.stop.track();
    let _ = stream.set_nodelay(true);
    let read_timeout = Duration::from_millis(app.settings.limits.read_ms);
    let (pipeline, stream) = Pipeline::new(stream);
    let service = {
        let (app, pipeline) = (Arc::clone(&app), pipeline.clone());
        service_fn(move |request| {
            let (app, pipeline) = (Arc::clone(&app), pipeline.clone());
            async move { Ok::<_, Infallible>(handle(app, request, &pipeline).await) }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(read_timeout)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // Requests that have come whole are answered first.
    let stop = async {
        app.stop.wait_begun().await;
        pipeline.wait_answered().await;
    };
    tokio::select! {
        _ = connection.as_mut() => {}
        () = stop => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

async fn handle(app: Arc<App>, request: Request<Incoming>, pipeline: &Pipeline) -> Answer {
    let (parts, body) = request.into_parts();
    let work = async {
        let body = read_body(&app, body).await?;
        route(&app, &parts, body).await
    };
    let call = spans::in_span("call", SpanKind::Server, parts.uri.path().to_owned(), work);
    let result = call.with_context(spans::extract(&parts.headers)).await;
    let mut answer = result.unwrap_or_else(|e| problem(&e));
    let is_last = !pipeline.answer();
    if is_last && app.stop.is_stopping() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}

/// Reads a complete body within the limits of size and time.
async fn read_body(app: &App, body: Incoming) -> Result<Bytes> {
    let limits = &app.settings.limits;
    let limit = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    let deadline = clock::now().after(limits.read_ms);
    let read = Limited::new(body, limit).collect();
    match tokio::time::timeout(clock::until(deadline), read).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.downcast_ref::<LengthLimitError>().is_some() => Err(Error::new(
            Kind::TooLarge,
            format!("the body has more than {limit} bytes"),
        )),
        Ok(Err(e)) => Err(Error::new(
            Kind::BadInput,
            format!("the body can't be read: {e}"),
        )),
        Err(_) => Err(Error::new(
            Kind::SlowInput,
            "the body wasn't complete within the time limit",
        )),
    }
}

async fn route(app: &Arc<App>, parts: &Parts, body: Bytes) -> Result<Answer> {
    let path = parts.uri.path().trim_matches('/').to_owned();
    let mut segments = path.split('/');
    if segments.next() != Some("v1") {
        return Err(unknown_route(&path));
    }
    let segments: Vec<&str> = segments.collect();
    match (&parts.method, segments.as_slice()) {
        (&Method::POST, ["request", service]) => app.handle_request(service, parts, body).await,
        (&Method::POST, ["jobs"]) => app.submit(parts, &body).await,
        (&Method::GET, ["jobs"]) => app.list_jobs().await,
        (&Method::GET, ["explain", id @ ..]) => app.explain_job(&id.join("/")).await,
        (&Method::GET, ["jobs", id @ ..]) => app.show_job(&id.join("/"), parts).await,
        (&Method::DELETE, ["jobs", id @ ..]) => app.cancel(&id.join("/")).await,
        (&Method::GET, ["config"]) => app.show_config(),
        (&Method::PUT, ["config"]) => app.apply_config(parts, &body).await,
        (&Method::POST, ["config", "edits"]) => app.edit_config(parts, &body).await,
        (&Method::GET, ["config", "history"]) => app.show_history().await,
        (&Method::GET, ["config", "history", number]) => app.show_version(number).await,
        (&Method::GET, ["vms"]) => app.show_vms(),
        (&Method::GET, ["fleet"]) => app.show_fleet().await,
        (&Method::GET, ["events"]) => app.show_events(),
        (&Method::GET, ["mesh"]) => app.show_mesh(),
        (
            _,
            ["request", _]
            | ["jobs" | "explain", ..]
            | ["config" | "vms" | "fleet" | "events" | "mesh"],
        ) => Err(Error::new(
            Kind::BadMethod,
            format!("method {} isn't supported on /{path}", parts.method),
        )),
        _ => Err(unknown_route(&path)),
    }
}

fn unknown_route(path: &str) -> Error {
    Error::new(Kind::NotFound, format!("no route /{path}"))
}

/// Returns the text of a header, or `None` if it is absent.
///
/// # Errors
///
/// [`Kind::BadInput`] when the header isn't printable ASCII.
pub(crate) fn header<'a>(parts: &'a Parts, name: &str) -> Result<Option<&'a str>> {
    parts.headers.get(name).map_or(Ok(None), |value| {
        value
            .to_str()
            .map(Some)
            .map_err(|_| Error::new(Kind::BadInput, format!("{name}: expected printable ASCII")))
    })
}

/// Returns an answer with a value as JSON.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Result<Answer> {
    let body = serde_json::to_vec(value).map_err(|e| Error::new(Kind::Internal, e.to_string()))?;
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(answer)
}

/// Returns the answer for an error, with the status and headers that its kind prescribes.
pub(crate) fn problem(e: &Error) -> Answer {
    let properties = e.kind.properties();
    let status =
        StatusCode::from_u16(properties.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut answer = json(status, &Problem::from(e)).unwrap_or_default();
    let headers = answer.headers_mut();
    if let Ok(run) = HeaderValue::from_str(&properties.run.to_string()) {
        headers.insert(RUN_HEADER, run);
    }
    if properties.retryable {
        headers.insert(RETRY_AFTER, properties.retry_ms.div_ceil(SECOND_MS).into());
    }
    answer
}
