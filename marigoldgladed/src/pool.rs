//! The connection pool for runners: sends a request and reads the complete answer to it.
//!
//! Each connection counts the bytes sent, which proves when a target received nothing. A connection
//! on which anything went wrong is closed and never reused.

use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use marigoldglade::api::{LEAVING_HEADER, REQUEST_ID_HEADER, RUN_HEADER};
use marigoldglade::requests::SendOutcome;
use marigoldglade::slots;
use marigoldglade::time::UnixMs;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::clock;

/// How long to wait for a target that still works on a request after the deadline, in
/// milliseconds.
const LATE_WAIT_MS: u64 = 30_000;
/// The time limit for connecting, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// The outcome of a send, with the answer if it came completely.
pub(crate) struct SendResult {
    pub(crate) outcome: SendOutcome,
    pub(crate) answer: Option<Response<Bytes>>,
    /// Whether the target announced that it is leaving.
    pub(crate) leaving: bool,
    /// For a request that missed its deadline: ends when the target answers, or after
    /// [`LATE_WAIT_MS`].
    pub(crate) completion: Option<Completion>,
}

/// The wait for a target that still works on a request.
pub(crate) type Completion = Pin<Box<dyn Future<Output = ()> + Send>>;

impl SendResult {
    fn without_answer(outcome: SendOutcome) -> Self {
        Self {
            outcome,
            answer: None,
            leaving: false,
            completion: None,
        }
    }

    /// Creates the result of a send that missed its deadline after bytes were sent. Its completion
    /// waits for the answer and then closes the connection.
    fn late(conn: Conn, answer: impl Future + Send + 'static) -> Self {
        let completion = async move {
            let _ = tokio::time::timeout(Duration::from_millis(LATE_WAIT_MS), answer).await;
            drop(conn);
        };
        Self {
            completion: Some(Box::pin(completion)),
            ..Self::without_answer(SendOutcome::Late)
        }
    }
}

/// A connection to a target, closed on drop.
pub(crate) struct Conn {
    sender: SendRequest<Full<Bytes>>,
    sent_bytes: Arc<AtomicU64>,
    driver: JoinHandle<()>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Conn {
    /// Opens a connection to a target.
    async fn open(addr: &str, deadline: UnixMs) -> Result<Self, SendOutcome> {
        let deadline = deadline.min(clock::now().after(CONNECT_TIMEOUT_MS));
        let connect = tokio::time::timeout(clock::until(deadline), TcpStream::connect(addr)).await;
        let stream = match connect {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(SendOutcome::Refused);
            }
            Ok(Err(_)) | Err(_) => return Err(SendOutcome::NotSent),
        };
        let _ = stream.set_nodelay(true);
        let sent_bytes = Arc::new(AtomicU64::new(0));
        let counting = CountingStream {
            stream,
            sent_bytes: Arc::clone(&sent_bytes),
        };
        let handshake = http1::handshake(TokioIo::new(counting)).await;
        let (sender, connection) = handshake.map_err(|_| SendOutcome::NotSent)?;
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            sent_bytes,
            driver,
        })
    }

    /// Returns how many bytes were sent on the connection so far.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Acquire)
    }

    /// Closes the connection and returns the final number of bytes sent on it.
    async fn close(&mut self) -> u64 {
        self.driver.abort();
        let _ = (&mut self.driver).await;
        self.sent_bytes()
    }
}

/// A stream that counts the written bytes that the kernel accepted.
struct CountingStream {
    stream: TcpStream,
    sent_bytes: Arc<AtomicU64>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = &result {
            self.sent_bytes.fetch_add(*n as u64, Ordering::AcqRel);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A pool of idle connections by address.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<String, Vec<Conn>>>,
}

impl Pool {
    fn with_idle<T>(&self, work: impl FnOnce(&mut HashMap<String, Vec<Conn>>) -> T) -> T {
        work(&mut self.idle.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn take(&self, addr: &str) -> Option<Conn> {
        self.with_idle(|idle| {
            let conns = idle.get_mut(addr)?;
            while let Some(conn) = conns.pop() {
                if conn.sender.is_ready() && !conn.driver.is_finished() {
                    return Some(conn);
                }
            }
            None
        })
    }

    fn put_back(&self, addr: &str, conn: Conn, members: usize) {
        let limit = usize::from(slots::connection_limit(members));
        self.with_idle(|idle| {
            let conns = idle.entry(addr.to_owned()).or_default();
            if conns.len() < limit {
                conns.push(conn);
            }
        });
    }

    /// Closes all idle connections to an address.
    pub(crate) fn close(&self, addr: &str) {
        self.with_idle(|idle| idle.remove(addr));
    }

    /// Sends one request and waits for the complete answer until the deadline.
    pub(crate) async fn send(&self, outgoing: &OutgoingRequest) -> SendResult {
        if let Some(conn) = self.take(&outgoing.addr) {
            // The target may have closed the idle connection. Nothing was sent on it then, so the
            // request is sent on a new one.
            match self.send_on(conn, outgoing).await {
                SendResult {
                    outcome: SendOutcome::NotSent,
                    ..
                } => {}
                sent => return sent,
            }
        }
        match Conn::open(&outgoing.addr, outgoing.deadline).await {
            Ok(conn) => self.send_on(conn, outgoing).await,
            Err(outcome) => SendResult::without_answer(outcome),
        }
    }

    async fn send_on(&self, mut conn: Conn, outgoing: &OutgoingRequest) -> SendResult {
        let sent_before = conn.sent_bytes();
        let Ok(request) = outgoing.request() else {
            return SendResult::without_answer(SendOutcome::NotSent);
        };
        let mut answer = Box::pin(conn.sender.try_send_request(request));
        let result = tokio::time::timeout(clock::until(outgoing.deadline), &mut answer).await;
        let answer = match result {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => {
                return SendResult::without_answer(failed_send(conn.close().await == sent_before));
            }
            Err(_) if conn.sent_bytes() == sent_before && conn.close().await == sent_before => {
                return SendResult::without_answer(SendOutcome::NotSent);
            }
            Err(_) => return SendResult::late(conn, answer),
        };
        let sent = read_answer(answer, outgoing).await;
        if matches!(
            sent.outcome,
            SendOutcome::Answered | SendOutcome::ServerError | SendOutcome::Busy
        ) && !sent.leaving
        {
            self.put_back(&outgoing.addr, conn, outgoing.members);
        }
        sent
    }
}

fn failed_send(nothing_sent: bool) -> SendOutcome {
    if nothing_sent {
        SendOutcome::NotSent
    } else {
        SendOutcome::Broken
    }
}

/// A request to be sent to one target.
pub(crate) struct OutgoingRequest {
    pub(crate) addr: String,
    pub(crate) id: String,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) deadline: UnixMs,
    /// The largest accepted answer, in bytes.
    pub(crate) answer_limit: usize,
    /// The number of live daemons, which share the target's connections.
    pub(crate) members: usize,
}

impl OutgoingRequest {
    fn request(&self) -> hyper::http::Result<Request<Full<Bytes>>> {
        let mut request = Request::post("/")
            .header("host", &self.addr)
            .header(REQUEST_ID_HEADER, &self.id)
            .body(Full::new(self.body.clone()))?;
        request.headers_mut().extend(self.headers.clone());
        Ok(request)
    }
}

/// Reads a complete answer and checks that it belongs to the request.
async fn read_answer(answer: Response<Incoming>, outgoing: &OutgoingRequest) -> SendResult {
    let (parts, body) = answer.into_parts();
    let header = |name: &str| parts.headers.get(name).and_then(|v| v.to_str().ok());
    let own_answer = header(REQUEST_ID_HEADER) == Some(outgoing.id.as_str());
    // Without a length a truncated answer can't be told from a complete one.
    let has_length = body.is_end_stream()
        || parts.headers.contains_key(CONTENT_LENGTH)
        || parts.headers.contains_key(TRANSFER_ENCODING);
    if !own_answer || !has_length {
        return SendResult::without_answer(SendOutcome::Bad);
    }
    let leaving = header(LEAVING_HEADER) == Some("true");
    let not_run = parts.status == 503 && header(RUN_HEADER) == Some("no");
    let read = Limited::new(body, outgoing.answer_limit).collect();
    let body = match tokio::time::timeout(clock::until(outgoing.deadline), read).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.downcast_ref::<LengthLimitError>().is_some() => {
            return SendResult::without_answer(SendOutcome::Oversize);
        }
        Ok(Err(_)) => return SendResult::without_answer(SendOutcome::Bad),
        Err(_) => return SendResult::without_answer(SendOutcome::Late),
    };
    let outcome = match parts.status.as_u16() {
        _ if not_run => SendOutcome::Busy,
        500..600 => SendOutcome::ServerError,
        _ => SendOutcome::Answered,
    };
    SendResult {
        outcome,
        answer: Some(Response::from_parts(parts, body)),
        leaving,
        completion: None,
    }
}
