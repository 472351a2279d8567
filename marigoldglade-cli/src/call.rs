//! HTTP calls to daemons.

use std::net::SocketAddr;
use std::time::Duration;

use marigoldglade::api::Problem;
use marigoldglade::error::Executed;
use marigoldglade::prelude::*;
use serde_json::Value;

/// The longest time that a call may take, in seconds. Waiting for a job's end takes several calls.
const CALL_LIMIT_S: u64 = 60;

/// A client that tries several daemons in turn.
pub(crate) struct Client {
    daemons: Vec<SocketAddr>,
    agent: ureq::Agent,
}

impl Client {
    /// Creates a client of these daemons.
    pub(crate) fn new(daemons: Vec<SocketAddr>) -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(CALL_LIMIT_S)))
            .build()
            .into();
        Self { daemons, agent }
    }

    /// Makes a call and returns the answer's body as text.
    ///
    /// The next daemon is tried if the call certainly didn't run and may be retried.
    ///
    /// # Errors
    ///
    /// The error that the daemon returned, [`Kind::NoTarget`] if no daemon could be reached, or
    /// [`Kind::Unknown`] if the call was sent but no complete answer came.
    pub(crate) fn text(
        &self,
        method: &str,
        route: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> Result<String> {
        let mut last = Error::new(Kind::NoTarget, "no valid daemon address was given");
        for daemon in &self.daemons {
            match self.call_one(*daemon, method, route, headers, body) {
                Ok(text) => return Ok(text),
                Err(e) => {
                    let answer = e.kind.properties();
                    let try_next = answer.run == Executed::No && answer.retryable;
                    last = e;
                    if !try_next {
                        break;
                    }
                }
            }
        }
        Err(last)
    }

    /// Makes a call and reads the answer's body as JSON.
    ///
    /// # Errors
    ///
    /// The errors of [`Client::text`], and [`Kind::BadAnswer`] if the body isn't JSON.
    pub(crate) fn json(
        &self,
        method: &str,
        route: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> Result<Value> {
        let text = self.text(method, route, headers, body)?;
        serde_json::from_str(&text).map_err(|e| Error::new(Kind::BadAnswer, e.to_string()))
    }

    /// Makes a call to one daemon.
    fn call_one(
        &self,
        daemon: SocketAddr,
        method: &str,
        route: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> Result<String> {
        let url = format!("http://{daemon}/v1/{route}");
        let mut request = ureq::http::Request::builder().method(method).uri(url);
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request
            .body(body)
            .map_err(|e| Error::new(Kind::BadInput, e.to_string()))?;
        let mut answer = self.agent.run(request).map_err(|e| {
            let kind = if not_sent(&e) {
                Kind::NoTarget
            } else {
                Kind::Unknown
            };
            Error::new(kind, format!("{daemon}: {e}"))
        })?;
        let status = answer.status();
        let text = answer
            .body_mut()
            .read_to_string()
            .map_err(|e| Error::new(Kind::Unknown, format!("{daemon}: {e}")))?;
        if status.is_success() {
            return Ok(text);
        }
        let problem: Problem = serde_json::from_str(&text).map_err(|_| {
            Error::new(
                Kind::TargetFailed,
                format!("expected JSON, found {status}: {text}"),
            )
        })?;
        Err(Error::new(problem.kind, problem.detail))
    }
}

/// Returns whether the call failed before it was sent.
fn not_sent(e: &ureq::Error) -> bool {
    match e {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Io(e) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
