//! The daemon's HTTP client.
//!
//! It keeps connections and reuses them. When a request fails, its connection is closed together
//! with the idle connections to the same address, since they may be broken too. Closing a connection resets
//! it, so that what the peer hasn't received of a request is lost once the request has been given up.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use marigoldglade::time::UnixMs;
use platform::{Request, Response};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};

use crate::clock;

/// The longest time that connecting may take, in milliseconds. TCP sends a lost opening packet again
/// only after a longer time, so a new attempt is quicker.
const CONNECT_TIMEOUT_MS: u64 = 600;
/// The largest response body, in bytes; a page of the store is smaller.
const RESPONSE_LIMIT_BYTES: usize = 8 << 20;
/// The most idle connections that are kept to one address.
const IDLE_LIMIT: usize = 4;

/// How a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// The request certainly didn't reach the peer.
    NotSent,
    /// The request may have reached the peer.
    Unknown,
    /// The response is larger than a response may be.
    TooLarge,
}

struct Conn {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// An HTTP client for any number of addresses.
#[derive(Default)]
pub(super) struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<Conn>>>,
}

impl Client {
    /// Sends a request and waits for its whole response until `deadline`.
    pub(super) async fn send(
        &self,
        addr: SocketAddr,
        request: Request,
        deadline: UnixMs,
    ) -> Result<Response, Failure> {
        self.send_if(addr, request, deadline, || true).await
    }

    /// Sends a request as [`Client::send`] does, but only if `may_send` holds once there is a
    /// connection.
    pub(super) async fn send_if(
        &self,
        addr: SocketAddr,
        request: Request,
        deadline: UnixMs,
        may_send: impl Fn() -> bool,
    ) -> Result<Response, Failure> {
        let exchange = self.exchange(addr, request, may_send);
        let outcome = tokio::time::timeout(clock::until(deadline), exchange).await;
        let outcome = outcome.unwrap_or(Err(Failure::Unknown));
        if outcome.is_err() {
            self.idle.borrow_mut().remove(&addr);
        }
        outcome
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        request: Request,
        may_send: impl Fn() -> bool,
    ) -> Result<Response, Failure> {
        let request = request.map(Full::new);
        let mut conn = match self.take_idle(addr) {
            Some(conn) => conn,
            None => connect(addr).await?,
        };
        if !may_send() {
            return Err(Failure::NotSent);
        }
        let response = match conn.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut e) => {
                // The peer had closed the kept connection; the request comes back unsent.
                let request = e.take_message().ok_or(Failure::Unknown)?;
                conn = connect(addr).await?;
                if !may_send() {
                    return Err(Failure::NotSent);
                }
                let sent = conn.sender.send_request(request).await;
                sent.map_err(|_| Failure::Unknown)?
            }
        };
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), RESPONSE_LIMIT_BYTES)
            .collect()
            .await;
        let body = body.map_err(|e| {
            if e.is::<LengthLimitError>() {
                Failure::TooLarge
            } else {
                Failure::Unknown
            }
        })?;
        let body = body.to_bytes();
        self.keep_idle(addr, conn);
        Ok(Response { status, body })
    }

    /// Closes the idle connections to an address.
    pub(super) fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&addr)?;
        loop {
            let conn = conns.pop()?;
            if !conn.sender.is_closed() {
                return Some(conn);
            }
        }
    }

    fn keep_idle(&self, addr: SocketAddr, conn: Conn) {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(addr).or_default();
        if conns.len() < IDLE_LIMIT && !conn.sender.is_closed() {
            conns.push(conn);
        }
    }
}

async fn connect(addr: SocketAddr) -> Result<Conn, Failure> {
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = tokio::time::timeout(limit, TcpStream::connect(addr)).await;
    let stream = stream
        .map_err(|_| Failure::NotSent)?
        .map_err(|_| Failure::NotSent)?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_zero_linger();
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| Failure::NotSent)?;
    let driver = spawn_local(async move {
        let _ = connection.await;
    });
    Ok(Conn { sender, driver })
}
