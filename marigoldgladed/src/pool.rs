//! Connections to runners: a request flows in, its whole own answer or how the send ended flows
//! out.
//!
//! Each connection counts the bytes that left, which proves that a target got nothing. A
//! connection on which anything went wrong is closed and never used again.

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

/// How long a target may still be at a request whose deadline passed, in milliseconds.
const REST_MS: u64 = 30_000;
/// How long connecting may take, in milliseconds.
const CONNECT_MS: u64 = 1_000;

/// How a send ended, with the answer when it came whole.
pub(crate) struct Sent {
    pub(crate) end: SendOutcome,
    pub(crate) answer: Option<Response<Bytes>>,
    /// Whether the target said that it is leaving.
    pub(crate) leaving: bool,
    /// Ends when the target is done with a request whose deadline passed.
    pub(crate) rest: Option<Rest>,
}

/// The wait for a target that is still at a request.
pub(crate) type Rest = Pin<Box<dyn Future<Output = ()> + Send>>;

impl Sent {
    fn ended(end: SendOutcome) -> Self {
        Self {
            end,
            answer: None,
            leaving: false,
            rest: None,
        }
    }

    /// The deadline passed after something left: waits on, then closes the connection.
    fn late(conn: Conn, answer: impl Future + Send + 'static) -> Self {
        let rest = async move {
            let _ = tokio::time::timeout(Duration::from_millis(REST_MS), answer).await;
            drop(conn);
        };
        Self {
            rest: Some(Box::pin(rest)),
            ..Self::ended(SendOutcome::Late)
        }
    }
}

/// A connection that is closed when it is dropped.
pub(crate) struct Conn {
    sender: SendRequest<Full<Bytes>>,
    left: Arc<AtomicU64>,
    driver: JoinHandle<()>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Conn {
    /// Connects to a target.
    async fn open(addr: &str, end: UnixMs) -> Result<Self, SendOutcome> {
        let end = end.min(clock::now().after(CONNECT_MS));
        let connect = tokio::time::timeout(clock::until(end), TcpStream::connect(addr)).await;
        let stream = match connect {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(SendOutcome::Refused);
            }
            Ok(Err(_)) | Err(_) => return Err(SendOutcome::NotSent),
        };
        let _ = stream.set_nodelay(true);
        let left = Arc::new(AtomicU64::new(0));
        let counted = Counted {
            stream,
            left: Arc::clone(&left),
        };
        let handshake = http1::handshake(TokioIo::new(counted)).await;
        let (sender, connection) = handshake.map_err(|_| SendOutcome::NotSent)?;
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            left,
            driver,
        })
    }

    /// Returns how many bytes have left.
    pub(crate) fn left(&self) -> u64 {
        self.left.load(Ordering::Acquire)
    }

    /// Closes the connection and returns how many bytes have left for good.
    async fn close(&mut self) -> u64 {
        self.driver.abort();
        let _ = (&mut self.driver).await;
        self.left()
    }
}

/// A stream that counts the bytes that the kernel took.
struct Counted {
    stream: TcpStream,
    left: Arc<AtomicU64>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = &written {
            self.left.fetch_add(*n as u64, Ordering::AcqRel);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Idle connections by address.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<String, Vec<Conn>>>,
}

impl Pool {
    fn with<T>(&self, work: impl FnOnce(&mut HashMap<String, Vec<Conn>>) -> T) -> T {
        work(&mut self.idle.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn take(&self, addr: &str) -> Option<Conn> {
        self.with(|idle| {
            let conns = idle.get_mut(addr)?;
            while let Some(conn) = conns.pop() {
                if conn.sender.is_ready() && !conn.driver.is_finished() {
                    return Some(conn);
                }
            }
            None
        })
    }

    fn give(&self, addr: &str, conn: Conn, members: usize) {
        let most = usize::from(slots::connection_limit(members));
        self.with(|idle| {
            let conns = idle.entry(addr.to_owned()).or_default();
            if conns.len() < most {
                conns.push(conn);
            }
        });
    }

    /// Closes the idle connections to an address.
    pub(crate) fn close(&self, addr: &str) {
        self.with(|idle| idle.remove(addr));
    }

    /// Sends one request and waits for its whole answer until its deadline.
    pub(crate) async fn send(&self, job: &Job) -> Sent {
        if let Some(conn) = self.take(&job.addr) {
            // An idle connection may have been closed meanwhile; nothing left, so try a new one.
            match self.send_on(conn, job).await {
                Sent {
                    end: SendOutcome::NotSent,
                    ..
                } => {}
                sent => return sent,
            }
        }
        match Conn::open(&job.addr, job.end).await {
            Ok(conn) => self.send_on(conn, job).await,
            Err(end) => Sent::ended(end),
        }
    }

    async fn send_on(&self, mut conn: Conn, job: &Job) -> Sent {
        let before = conn.left();
        let Ok(request) = job.request() else {
            return Sent::ended(SendOutcome::NotSent);
        };
        let mut answer = Box::pin(conn.sender.try_send_request(request));
        let watched = tokio::time::timeout(clock::until(job.end), &mut answer).await;
        let answer = match watched {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => return Sent::ended(broken(conn.close().await == before)),
            Err(_) if conn.left() == before && conn.close().await == before => {
                return Sent::ended(SendOutcome::NotSent);
            }
            Err(_) => return Sent::late(conn, answer),
        };
        let sent = collect(answer, job).await;
        if matches!(
            sent.end,
            SendOutcome::Answered | SendOutcome::ServerError | SendOutcome::Busy
        ) && !sent.leaving
        {
            self.give(&job.addr, conn, job.members);
        }
        sent
    }
}

fn broken(unsent: bool) -> SendOutcome {
    if unsent {
        SendOutcome::NotSent
    } else {
        SendOutcome::Broken
    }
}

/// One request on its way to one target.
pub(crate) struct Job {
    pub(crate) addr: String,
    pub(crate) id: String,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) end: UnixMs,
    /// The largest answer, in bytes.
    pub(crate) limit: usize,
    /// Live daemons, which share the target's connections.
    pub(crate) members: usize,
}

impl Job {
    fn request(&self) -> hyper::http::Result<Request<Full<Bytes>>> {
        let mut request = Request::post("/")
            .header("host", &self.addr)
            .header(REQUEST_ID_HEADER, &self.id)
            .body(Full::new(self.body.clone()))?;
        request.headers_mut().extend(self.headers.clone());
        Ok(request)
    }
}

/// Reads an answer whole and checks that it is the request's own.
async fn collect(answer: Response<Incoming>, job: &Job) -> Sent {
    let (parts, body) = answer.into_parts();
    let told = |name: &str| parts.headers.get(name).and_then(|v| v.to_str().ok());
    let own = told(REQUEST_ID_HEADER) == Some(job.id.as_str());
    // Without a length a cut answer looks like a whole one.
    let bounded = body.is_end_stream()
        || parts.headers.contains_key(CONTENT_LENGTH)
        || parts.headers.contains_key(TRANSFER_ENCODING);
    if !own || !bounded {
        return Sent::ended(SendOutcome::Bad);
    }
    let leaving = told(LEAVING_HEADER) == Some("true");
    let not_run = parts.status == 503 && told(RUN_HEADER) == Some("no");
    let whole = Limited::new(body, job.limit).collect();
    let body = match tokio::time::timeout(clock::until(job.end), whole).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.downcast_ref::<LengthLimitError>().is_some() => {
            return Sent::ended(SendOutcome::Oversize);
        }
        Ok(Err(_)) => return Sent::ended(SendOutcome::Bad),
        Err(_) => return Sent::ended(SendOutcome::Late),
    };
    let end = match parts.status.as_u16() {
        _ if not_run => SendOutcome::Busy,
        500..600 => SendOutcome::ServerError,
        _ => SendOutcome::Answered,
    };
    Sent {
        end,
        answer: Some(Response::from_parts(parts, body)),
        leaving,
        rest: None,
    }
}
