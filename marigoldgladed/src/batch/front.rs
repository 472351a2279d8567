//! The HTTP servers of the daemon: callers' calls, the readiness check and the metrics page.
//!
//! A call is checked against the configuration before it is made.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use marigoldglade::batch::messages::{Call, Reply, Submission};
use marigoldglade::batch::policy::{Caller, Limits};
use marigoldglade::prelude::*;
use platform::front::{self, Operation};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;

use crate::batch::calls::RETRY_AFTER_MS;
use crate::batch::{Node, clock};
use crate::pipeline::Pipeline;

/// How long a caller waits when its call names no deadline, in milliseconds; the deadline that
/// deployments use.
const DEFAULT_WAIT_MS: u64 = 3_000;
/// The longest wait that a caller can ask for, in milliseconds.
const WAIT_LIMIT_MS: u64 = 60_000;
/// The part of a caller's wait that is reserved for sending the answer back, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 100;
/// The pause before accepting again after accepting has failed, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 10;

type HttpResponse = Response<Full<Bytes>>;

fn text_response(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                return stream;
            }
            // The process is out of file descriptors; it tries again when some may be free.
            Err(_) => tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await,
        }
    }
}

/// Returns whether a request reads the page at a path.
///
/// An address may once have been that of another daemon's front; a call that still goes there must not be
/// answered with success.
fn reads(request: &Request<Incoming>, path: &str) -> bool {
    request.method() == Method::GET && request.uri().path() == path
}

fn not_found() -> HttpResponse {
    text_response(StatusCode::NOT_FOUND, "not found\n")
}

/// Answers the platform's readiness checks.
pub(super) async fn serve_ready(node: Rc<Node>, listener: TcpListener) {
    let page = move |request: &Request<Incoming>| {
        if !reads(request, "/ready") {
            not_found()
        } else if node.stop.is_stopping() {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping\n")
        } else if node.policy().is_none() {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n")
        } else {
            text_response(StatusCode::OK, "ready\n")
        }
    };
    serve_pages(listener, page).await;
}

/// Serves the metrics page.
pub(super) async fn serve_metrics(node: Rc<Node>, listener: TcpListener) {
    let page = move |request: &Request<Incoming>| {
        if !reads(request, "/metrics") {
            return not_found();
        }
        match node.metrics.text() {
            Ok(page) => text_response(StatusCode::OK, page),
            Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        }
    };
    serve_pages(listener, page).await;
}

/// Serves pages that are available at once, on any number of connections.
async fn serve_pages(
    listener: TcpListener,
    page: impl Fn(&Request<Incoming>) -> HttpResponse + 'static,
) {
    let page = Rc::new(page);
    loop {
        let stream = accept(&listener).await;
        let page = Rc::clone(&page);
        let service = service_fn(move |request| {
            let answer = page(&request);
            async move { Ok::<_, Infallible>(answer) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // A broken connection concerns only the peer that opened it.
        spawn_local(async move { drop(connection.await) });
    }
}

/// Accepts callers' connections until the task is aborted.
pub(super) async fn serve(node: Rc<Node>, listener: TcpListener) {
    let slots = usize::try_from(node.settings.borrow().limits.connections).unwrap_or(usize::MAX);
    let slots = Rc::new(Semaphore::new(slots.min(Semaphore::MAX_PERMITS)));
    let mut refused: u64 = 0;
    loop {
        let stream = accept(&listener).await;
        if slots.available_permits() == 0 {
            refused += 1;
            if refused.is_power_of_two() {
                log::warn!(refused; "callers' connections refused: too many are open");
            }
            continue;
        }
        let (node, slots) = (Rc::clone(&node), Rc::clone(&slots));
        spawn_local(async move {
            let _slot = slots.acquire().await;
            serve_connection(node, stream).await;
        });
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream) {
    let close = node.stop.wait_close();
    let limits = node.policy().map_or_else(Limits::default, |p| p.limits);
    let (pipeline, stream) = Pipeline::new(stream);
    let service = {
        let (node, pipeline) = (Rc::clone(&node), pipeline.clone());
        service_fn(move |request| {
            let (node, pipeline) = (Rc::clone(&node), pipeline.clone());
            async move { Ok::<_, Infallible>(respond(node, request, &pipeline).await) }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timeout also bounds the idle time between calls.
        .header_read_timeout(Duration::from_millis(limits.idle_ms.max(limits.head_ms)))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // Requests that have come whole are answered first.
    let close = async {
        close.await;
        pipeline.wait_answered().await;
    };
    tokio::select! {
        _ = connection.as_mut() => {}
        () = close => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// The smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

async fn respond(node: Rc<Node>, request: Request<Incoming>, pipeline: &Pipeline) -> HttpResponse {
    let _in_flight = node.stop.track();
    let began = clock::now();
    let (parts, body) = request.into_parts();
    let (kind, answer) = match handle(&node, &parts, body).await {
        Ok(answered) => answered,
        Err(e) => {
            log_refused(&node, &parts, &e);
            ("refused", front::encode_error(&e))
        }
    };
    let took_ms = clock::now().since(began);
    node.metrics
        .record_call(kind, answer.status().as_u16(), took_ms);
    let mut answer = answer.map(Full::new);
    let is_last = !pipeline.answer();
    if is_last && node.stop.is_stopping() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}

/// Logs a refused call, unless such a call was logged shortly before.
fn log_refused(node: &Node, parts: &Parts, error: &Error) {
    let path = parts.uri.path();
    let mut refused = node.refused_calls.borrow_mut();
    if let Some(left_out) = refused.note(clock::now(), error, path) {
        log::info!(
            why = error.detail.as_str(), kind:% = error.kind, path, host = front::host(parts),
            version = node.policy().map(|p| p.version), left_out;
            "call refused"
        );
    }
}

/// Checks a call against the configuration and makes it; returns the call's kind for the metrics, and
/// the answer.
async fn handle(
    node: &Rc<Node>,
    parts: &Parts,
    body: Incoming,
) -> Result<(&'static str, Response<Bytes>)> {
    let began = clock::now();
    let Some(policy) = node.policy() else {
        return Ok(("early", front::encode_reply(Reply::Refused(RETRY_AFTER_MS))));
    };
    let path = parts.uri.path();
    let Some((queue, rest)) = policy.route(front::host(parts), path) else {
        return Err(Error::new(
            Kind::NotFound,
            "no queue for this host and path",
        ));
    };
    let workspace = match policy.caller(queue, front::api_key(parts)) {
        Caller::Workspace(workspace) => workspace.name.clone(),
        Caller::Anyone => String::new(),
        Caller::Unknown => {
            log::info!(path = path, queue = queue.name.as_str(), version = policy.version; "call with an unknown key refused");
            return Ok(("unauthorized", front::unauthorized()));
        }
    };
    let operation = front::parse_operation(&parts.method, rest)?;
    let wait = front::wait_ms(parts)
        .unwrap_or(DEFAULT_WAIT_MS)
        .min(WAIT_LIMIT_MS);
    let deadline = began.after(wait.saturating_sub(ANSWER_MARGIN_MS));
    let (kind, call, id) = match operation {
        Operation::Submit(id) => {
            let body = read_body(body, policy.limits.body_bytes, policy.limits.idle_ms).await?;
            let spec = front::decode_job(&body)?;
            if queue.advice.is_some() && node.platform.adviser.is_none() {
                return Err(Error::new(Kind::Shed, "no placement adviser is configured"));
            }
            let call = Call::Submit(Box::new(Submission {
                id,
                queue: queue.clone(),
                workspace: workspace.clone(),
                spec,
                refusal: 0,
            }));
            ("submit", call, Some(id))
        }
        Operation::Cancel(id) => ("cancel", Call::Cancel(id), Some(id)),
        Operation::Status(id) => ("status", Call::Status(id), Some(id)),
        Operation::Pending => ("pending", Call::Pending(queue.name.clone()), None),
    };
    let reply = node.make_call(call, deadline).await;
    let job = id.map(String::from).unwrap_or_default();
    log::info!(
        call = kind, job = job.as_str(), queue = queue.name.as_str(), workspace = workspace.as_str(),
        policy = policy.version, reply:? = reply, took_ms = clock::now().since(began);
        "call answered"
    );
    let reply = match (kind, reply) {
        // Reads are safe to repeat.
        ("status" | "pending", Reply::Unsure | Reply::NotOwner) => Reply::Refused(RETRY_AFTER_MS),
        (_, reply) => reply,
    };
    Ok((kind, front::encode_reply(reply)))
}

/// Reads a whole body, which may have at most `limit` bytes and take at most `read_ms`.
async fn read_body(body: Incoming, limit: usize, read_ms: u64) -> Result<Bytes> {
    let whole = Limited::new(body, limit).collect();
    match tokio::time::timeout(Duration::from_millis(read_ms), whole).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.downcast_ref::<LengthLimitError>().is_some() => {
            let detail = format!("the body has more than {limit} bytes");
            Err(Error::new(Kind::TooLarge, detail))
        }
        Ok(Err(e)) => Err(Error::new(
            Kind::BadInput,
            format!("the body can't be read: {e}"),
        )),
        Err(_) => Err(Error::new(
            Kind::SlowInput,
            "the body didn't arrive in time",
        )),
    }
}
