//! Calls to the key-value service: a [`Call`] flows in, a [`Reply`] or a [`Fault`] flows out.

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::sync::Arc;

use marigoldglade::etcd;
use marigoldglade::prelude::*;
use marigoldglade::store::{Body, Call, Fault, Reply};
use strum::{Display, IntoStaticStr};

use crate::admin::Counts;
use crate::clock;

/// Which calls go first when the budget is short.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum Rank {
    /// Ownership leases.
    Lease,
    /// Terminal records.
    Terminal,
    /// Accepted jobs.
    Accept,
    /// Claims of non-idempotent requests.
    Claim,
    /// The operators' configuration.
    Config,
    /// Everything else.
    Read,
}

/// The daemon's one client of the key-value service.
#[derive(Clone)]
pub(crate) struct Keeper {
    addrs: Arc<Vec<SocketAddr>>,
    agent: ureq::Agent,
    calls: Counts,
}

impl Keeper {
    /// Makes a client of the service at these addresses.
    pub(crate) fn new(addrs: Vec<SocketAddr>, calls: Counts) -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        Self {
            addrs: Arc::new(addrs),
            agent,
            calls,
        }
    }

    /// Makes a call and waits for its reply until `end`.
    pub(crate) async fn call(
        &self,
        rank: Rank,
        call: Call,
        end: UnixMs,
    ) -> std::result::Result<Reply, Fault> {
        let keeper = self.clone();
        let done = tokio::task::spawn_blocking(move || keeper.call_now(&call, end)).await;
        let result = done.unwrap_or(Err(Fault::Unknown));
        let outcome = match &result {
            Ok(_) => "ok".to_owned(),
            Err(fault) => format!("{fault:?}").to_lowercase(),
        };
        let labels = vec![("rank", rank.to_string()), ("outcome", outcome)];
        self.calls.get_or_create(&labels).inc();
        result
    }

    fn call_now(&self, call: &Call, end: UnixMs) -> std::result::Result<Reply, Fault> {
        let (path, body) = etcd::encode(call);
        let addr = self.addrs.first().ok_or(Fault::NotSent)?;
        let sent = self
            .agent
            .post(format!("http://{addr}{path}"))
            .config()
            .timeout_global(Some(clock::until(end)))
            .build()
            .send_json(&body);
        let mut answer = sent.map_err(|e| match e {
            ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => Fault::NotSent,
            ureq::Error::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                Fault::NotSent
            }
            _ => Fault::Unknown,
        })?;
        match answer.status().as_u16() {
            200 => {}
            400..500 => return Err(Fault::Refused),
            _ => return Err(Fault::Unknown),
        }
        let mut lines = BufReader::new(answer.body_mut().as_reader()).lines();
        while let Some(Ok(line)) = lines.next() {
            let value = serde_json::from_str(&line).map_err(|_| Fault::Unknown)?;
            let reply = etcd::decode(call, &value).ok_or(Fault::Unknown)?;
            // A watch tells its progress until something changes.
            if !matches!(&reply.body, Body::Changes(changes) if changes.is_empty()) {
                return Ok(reply);
            }
        }
        Err(Fault::Unknown)
    }
}
