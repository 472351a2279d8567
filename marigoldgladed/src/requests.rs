//! The request path: a caller's request flows in, a target's whole answer flows out.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use marigoldglade::api::{
    CALLER_HEADER, DEADLINE_HEADER, IDEMPOTENT_HEADER, KEY_HEADER, REQUEST_ID_HEADER, RUN_HEADER,
    TRACE_HEADER,
};
use marigoldglade::prelude::*;
use marigoldglade::store::{Body, Call, Compare, Fault, Op, Txn};
use marigoldglade::wire::{Role, Vm};

use crate::app::App;
use crate::front::{self, Answer};
use crate::keeper::Rank;
use crate::{clock, send};

/// The time a request has when neither its caller nor its class says, in milliseconds.
const ANSWER_MS: u64 = 2_000;

/// State of the request path.
pub(crate) struct Requests {
    turn: AtomicUsize,
}

impl Requests {
    /// Makes an idle request path.
    pub(crate) fn new() -> Self {
        Self {
            turn: AtomicUsize::new(0),
        }
    }
}

impl App {
    /// Answers one request of a caller.
    pub(crate) async fn request(
        &self,
        service: &str,
        parts: &Parts,
        body: Bytes,
    ) -> Result<Answer> {
        let result = self.route_request(service, parts, body).await;
        let outcome = match &result {
            Ok(_) => "ok".to_owned(),
            Err(e) => e.kind.to_string(),
        };
        self.admin
            .requests
            .get_or_create(&vec![("outcome", outcome)])
            .inc();
        result
    }

    async fn route_request(&self, service: &str, parts: &Parts, body: Bytes) -> Result<Answer> {
        if self.stop.stopping() {
            return Err(Error::new(Kind::Stopping, "the daemon is stopping"));
        }
        let version = self.configs.need()?;
        let found = version.config.services.iter().find(|s| s.name == service);
        let Some(found) = found else {
            return Err(Error::new(Kind::NotFound, format!("no service {service}")));
        };
        let end = deadline(parts)?;
        let vms = self.targets.list();
        let fit: Vec<&Vm> = vms
            .iter()
            .filter(|v| v.role == Role::Runner && !v.leaving)
            .filter(|v| found.r#where.matches(&v.seen_labels()))
            .collect();
        if fit.is_empty() {
            return Err(Error::new(Kind::NoTarget, "no live runner"));
        }
        let turn = self.requests.turn.fetch_add(1, Ordering::Relaxed);
        let target = fit[turn % fit.len()];
        if front::header(parts, IDEMPOTENT_HEADER)? == Some("false") {
            self.claim(parts, end).await?;
        }
        let id = format!("{}-{turn}", self.settings.name);
        self.send_request(target, &id, parts, body, end).await
    }

    async fn send_request(
        &self,
        target: &Vm,
        id: &str,
        parts: &Parts,
        body: Bytes,
        end: UnixMs,
    ) -> Result<Answer> {
        let mut request = Request::post("/")
            .header("host", &target.addr)
            .header(REQUEST_ID_HEADER, id);
        if let Some(trace) = parts.headers.get(TRACE_HEADER) {
            request = request.header(TRACE_HEADER, trace);
        }
        let request = request
            .body(Full::new(body))
            .map_err(|e| Error::new(Kind::Internal, e.to_string()))?;
        let answer = send::exchange(&target.addr, request, end).await?;
        let told = |name: &str| answer.headers().get(name).and_then(|v| v.to_str().ok());
        if told(REQUEST_ID_HEADER) != Some(id) {
            return Err(Error::new(Kind::BadAnswer, "the answer has another id"));
        }
        if answer.status() == 503 && told(RUN_HEADER) == Some("no") {
            return Err(Error::new(Kind::NoTarget, "the target is busy"));
        }
        let status = answer.status();
        let mut whole = Response::new(Full::new(answer.into_body()));
        *whole.status_mut() = status;
        Ok(whole)
    }

    /// Claims a non-idempotent request, so that it is sent at most once.
    async fn claim(&self, parts: &Parts, end: UnixMs) -> Result<()> {
        let (Some(caller), Some(key)) = (
            front::header(parts, CALLER_HEADER)?,
            front::header(parts, KEY_HEADER)?,
        ) else {
            return Err(Error::new(
                Kind::BadInput,
                format!("a non-idempotent request needs {CALLER_HEADER} and {KEY_HEADER}"),
            ));
        };
        let claim = format!("/mg/claim/{caller}/{key}");
        let txn = Txn {
            when: vec![Compare::Absent(claim.clone())],
            then: vec![Op::Put(claim, self.settings.name.clone().into_bytes(), 0)],
            other: Vec::new(),
        };
        match self.keeper.call(Rank::Claim, Call::Txn(txn), end).await {
            Ok(reply) if matches!(&reply.body, Body::Txn(done) if done.held) => Ok(()),
            Ok(_) => Err(Error::new(Kind::Duplicate, "the key was used before")),
            Err(Fault::NotSent | Fault::Refused | Fault::Unknown) => {
                Err(Error::new(Kind::StoreDown, "the claim can't be written"))
            }
        }
    }
}

fn deadline(parts: &Parts) -> Result<UnixMs> {
    let now = clock::now();
    let Some(text) = front::header(parts, DEADLINE_HEADER)? else {
        return Ok(now.after(ANSWER_MS));
    };
    let end = text
        .parse()
        .map(UnixMs)
        .map_err(|_| Error::new(Kind::BadInput, format!("{DEADLINE_HEADER}: not a number")))?;
    if end.passed(now) {
        return Err(Error::new(Kind::Expired, "the deadline has passed"));
    }
    Ok(end)
}
