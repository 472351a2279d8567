//! Requests that callers write back to back on one connection (HTTP pipelining, RFC 9112, section 9.3.2).
//!
//! The HTTP library reads them together and drops those behind an answer that closes the connection. A
//! [`Pipeline`] counts the requests that have come, so that only the answer to the last one closes it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Sleep;

/// The most bytes of a header that are kept, to find the length of a body.
const KEPT_BYTES: usize = 64;
/// How long the rest of what a caller sends is read after the last answer, in milliseconds.
const LINGER_MS: u64 = 2_000;
/// How many bytes are read at a time then.
const DISCARD_BYTES: usize = 4 << 10;

/// How many requests on a connection began to arrive, how many came whole, and how many were answered.
#[derive(Clone, Copy, Default)]
struct Counts {
    begun: u64,
    received: u64,
    answered: u64,
}

/// The requests of one connection.
#[derive(Clone)]
pub(crate) struct Pipeline(Arc<watch::Sender<Counts>>);

impl Pipeline {
    /// Creates the pipeline of a connection, and the stream that keeps it up to date.
    pub(crate) fn new(stream: TcpStream) -> (Self, CountedStream) {
        let pipeline = Self(Arc::default());
        let counted = CountedStream {
            stream,
            framing: Framing::new(),
            pipeline: pipeline.clone(),
            linger: None,
            has_discarded: false,
        };
        (pipeline, counted)
    }

    /// Counts a request as answered; returns whether a further one has begun to arrive. Its rest may wait in the
    /// kernel, since the HTTP library doesn't read while it has bytes of a further request.
    pub(crate) fn answer(&self) -> bool {
        self.0.send_modify(|c| c.answered += 1);
        let counts = *self.0.borrow();
        counts.begun > counts.answered
    }

    /// Waits until every request that came whole was answered.
    pub(crate) async fn wait_answered(&self) {
        let mut counts = self.0.subscribe();
        let _ = counts.wait_for(|c| c.received <= c.answered).await;
    }

    fn set_received(&self, begun: u64, received: u64) {
        self.0.send_if_modified(|c| {
            let changed = (c.begun, c.received) != (begun, received);
            (c.begun, c.received) = (begun, received);
            changed
        });
    }
}

/// Where the next byte of a connection belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// Before a request line; empty lines are skipped.
    Start,
    Head,
    /// In a body of which this many bytes are still to come.
    Body(u64),
    /// In a request whose end can't be told by its head; nothing is counted from there on.
    Unknown,
}

/// Finds the ends of requests in the bytes of a connection.
struct Framing {
    place: Place,
    /// The beginning of the present line.
    line: Vec<u8>,
    /// The length of the body of the present request.
    length: Option<u64>,
    /// The number of requests that have begun, and of those that have ended.
    begun: u64,
    ended: u64,
}

impl Framing {
    fn new() -> Self {
        Self {
            place: Place::Start,
            line: Vec::new(),
            length: Some(0),
            begun: 0,
            ended: 0,
        }
    }

    /// Takes the next bytes.
    fn take(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.place != Place::Unknown {
            if let Place::Body(left) = self.place {
                let taken = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                bytes = &bytes[taken..];
                self.place = Place::Body(left - taken as u64);
            } else {
                let end = bytes.iter().position(|b| *b == b'\n');
                let part = &bytes[..end.unwrap_or(bytes.len())];
                if self.place == Place::Start && !part.trim_ascii().is_empty() {
                    self.place = Place::Head;
                    self.length = Some(0);
                    self.begun += 1;
                }
                let room = KEPT_BYTES - self.line.len();
                self.line.extend_from_slice(&part[..part.len().min(room)]);
                bytes = &bytes[end.map_or(bytes.len(), |at| at + 1)..];
                if end.is_some() {
                    self.end_line();
                }
            }
            if self.place == Place::Body(0) {
                self.place = Place::Start;
                self.ended += 1;
            }
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let line = line.trim_ascii();
        match self.place {
            Place::Head if line.is_empty() => {
                self.place = self.length.map_or(Place::Unknown, Place::Body);
            }
            Place::Head => self.read_header(line),
            Place::Start | Place::Body(_) | Place::Unknown => {}
        }
    }

    fn read_header(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|b| *b == b':') else {
            return;
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.length = None;
        } else if name.eq_ignore_ascii_case(b"content-length") && self.length.is_some() {
            let value = std::str::from_utf8(value).ok();
            self.length = value.and_then(|v| v.parse().ok());
        }
    }
}

/// A connection whose requests are counted as they are read.
pub(crate) struct CountedStream {
    stream: TcpStream,
    framing: Framing,
    pipeline: Pipeline,
    /// Ends the reads after the last answer; `None` before that.
    linger: Option<Pin<Box<Sleep>>>,
    /// Whether something was read after the last answer.
    has_discarded: bool,
}

impl CountedStream {
    /// Reads and drops what the caller still sends, until it closes the connection; ends at once if nothing
    /// waits to be read. Bytes that are left unread make the kernel reset the connection, by which the
    /// caller may lose answers (RFC 9112, section 9.6).
    fn poll_discard(&mut self, linger: Pin<&mut Sleep>, cx: &mut Context<'_>) -> Poll<()> {
        if linger.poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut buf = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
            if read.is_err() || buf.filled().is_empty() {
                return Poll::Ready(());
            }
            self.has_discarded = true;
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let this = &mut *self;
        this.framing.take(&buf.filled()[before..]);
        this.pipeline
            .set_received(this.framing.begun, this.framing.ended);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let mut linger = match this.linger.take() {
            Some(linger) => linger,
            None => {
                ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
                Box::pin(tokio::time::sleep(Duration::from_millis(LINGER_MS)))
            }
        };
        let ended = this.poll_discard(linger.as_mut(), cx).is_ready();
        this.linger = Some(linger);
        if ended || !this.has_discarded {
            Poll::Ready(Ok(()))
        } else {
            Poll::Pending
        }
    }
}
