//! The shell of the request path: the sockets, store calls and mesh messages of short requests.
//!
//! [`requests::Requests`] and [`claim::Claims`] make every decision; this module carries out their
//! actions and feeds the results back to them as events.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Response};
use marigoldglade::api::{
    CALLER_HEADER, DEADLINE_HEADER, IDEMPOTENT_HEADER, KEY_HEADER, LABELS_HEADER, WORKSPACE_HEADER,
};
use marigoldglade::claim::{self, CallKey, Claims};
use marigoldglade::label::is_word;
use marigoldglade::mesh::Payload;
use marigoldglade::prelude::*;
use marigoldglade::queue::{Bounds, RequestKey};
use marigoldglade::requests::{self, Action, Arrival, Event, Gossip};
use marigoldglade::route::TargetKey;
use marigoldglade::settings::Settings;
use marigoldglade::store::{Call, Revision};
use marigoldglade::wire::Vm;
use opentelemetry::Context;
use opentelemetry::context::FutureExt as _;
use opentelemetry::trace::SpanKind;
use tokio::sync::oneshot;

use crate::app::App;
use crate::front::{self, Answer};
use crate::pool::{OutgoingRequest, Pool, SendResult};
use crate::store_client::Rank;
use crate::{clock, spans};

/// The time between two ticks of the request path, in milliseconds.
const TICK_MS: u64 = 10;
/// The memory counted for a waiting request in addition to its body, in bytes.
const REQUEST_OVERHEAD_BYTES: usize = 1_024;

/// The request path of a daemon.
pub(crate) struct Requests {
    state: Mutex<State>,
    pool: Pool,
    next: AtomicU64,
    incarnation: u32,
}

struct State {
    path: requests::Requests,
    claims: Claims,
    waiting: HashMap<RequestKey, WaitingCaller>,
    members: Vec<String>,
    vms: Arc<Vec<Vm>>,
    version: Option<Revision>,
}

/// A caller that waits for an answer, with its request.
struct WaitingCaller {
    parsed: ParsedRequest,
    headers: HeaderMap,
    body: Bytes,
    context: Context,
    /// The target's answer, if it came completely.
    answer: Option<Response<Bytes>>,
    reply: oneshot::Sender<Result<Answer>>,
}

/// A request as parsed from its headers.
struct ParsedRequest {
    arrival: Arrival,
    /// The name under which the request is claimed.
    claim_name: String,
}

impl Requests {
    /// Creates a request path without configuration, targets and requests.
    pub(crate) fn new(settings: &Settings) -> Self {
        let bounds = Bounds {
            len: settings.limits.queue as usize,
            bytes: settings.limits.queue_bytes,
        };
        let now = clock::now();
        let state = State {
            path: requests::Requests::new(&settings.name, bounds, rand::random(), now),
            claims: Claims::new(&settings.name, rand::random()),
            waiting: HashMap::new(),
            members: Vec::new(),
            vms: Arc::default(),
            version: None,
        };
        Self {
            state: Mutex::new(state),
            pool: Pool::default(),
            next: AtomicU64::new(0),
            incarnation: rand::random(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An event for one of the two state machines.
enum Step {
    Path(Event),
    Claims(claim::Event),
}

/// On drop, tells the request path that the caller hung up; this has no effect on a request that
/// was answered.
struct HangUpGuard<'a>(&'a Arc<App>, RequestKey);

impl Drop for HangUpGuard<'_> {
    fn drop(&mut self) {
        self.0.step_requests(Step::Path(Event::Abandoned(self.1)));
    }
}

impl App {
    /// Answers one short request and counts its outcome.
    pub(crate) async fn handle_request(
        self: &Arc<Self>,
        service: &str,
        parts: &Parts,
        body: Bytes,
    ) -> Result<Answer> {
        let result = self.forward_request(service, parts, body).await;
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

    async fn forward_request(
        self: &Arc<Self>,
        service: &str,
        parts: &Parts,
        body: Bytes,
    ) -> Result<Answer> {
        if self.stop.is_stopping() {
            return Err(Error::new(Kind::Stopping, "the daemon is stopping"));
        }
        let parsed = ParsedRequest::parse(service, parts, body.len())?;
        let request = RequestKey(self.requests.next.fetch_add(1, Ordering::Relaxed));
        let (reply, answered) = oneshot::channel();
        let arrived = Event::Arrived(request, Box::new(parsed.arrival.clone()));
        let waiting = WaitingCaller {
            parsed,
            headers: forwarded_headers(parts),
            body,
            context: Context::current(),
            answer: None,
            reply,
        };
        self.requests.lock().waiting.insert(request, waiting);
        let guard = HangUpGuard(self, request);
        self.step_requests(Step::Path(arrived));
        let dropped = || Error::new(Kind::Internal, "the request was dropped unanswered");
        let result = answered.await.unwrap_or_else(|_| Err(dropped()));
        drop(guard);
        result
    }

    /// Handles gossip about requests from another daemon.
    pub(crate) fn receive_gossip(self: &Arc<Self>, from: &str, gossip: Gossip) {
        self.step_requests(Step::Path(Event::Gossip(from.to_owned(), gossip)));
    }

    fn step_requests(self: &Arc<Self>, first: Step) {
        let mut state = self.requests.lock();
        let mut steps = VecDeque::from([first]);
        while let Some(step) = steps.pop_front() {
            match step {
                Step::Path(event) => {
                    let mut out = Vec::new();
                    state.path.step(clock::now(), event, &mut out);
                    for action in out {
                        self.execute(&mut state, action, &mut steps);
                    }
                }
                Step::Claims(event) => {
                    let mut out = Vec::new();
                    state.claims.step(clock::now(), event, &mut out);
                    for action in out {
                        self.execute_claim(action, &mut steps);
                    }
                }
            }
        }
    }

    fn execute(self: &Arc<Self>, state: &mut State, action: Action, steps: &mut VecDeque<Step>) {
        match action {
            Action::Claim(request, deadline) => {
                if let Some(waiting) = state.waiting.get(&request) {
                    let name = waiting.parsed.claim_name.clone();
                    let event = claim::Event::Claim(request, name, deadline);
                    steps.push_back(Step::Claims(event));
                }
            }
            Action::Send(request, target, deadline) => {
                self.begin_send(state, request, target, deadline);
            }
            Action::Answer(request, verdict) => {
                if let Some(waiting) = state.waiting.remove(&request) {
                    waiting.reply(verdict);
                }
            }
            Action::Settle(request, kind) => {
                steps.push_back(Step::Claims(claim::Event::Settle(request, kind)));
            }
            Action::CloseIdle(target) => {
                if let Some(vm) = state.path.routes().vm(target) {
                    self.requests.pool.close(&vm.addr);
                }
            }
            Action::Gossip(gossip) => self.broadcast(&gossip),
        }
    }

    fn execute_claim(self: &Arc<Self>, action: claim::Action, steps: &mut VecDeque<Step>) {
        match action {
            claim::Action::Call(key, call, deadline) => {
                tokio::spawn(Arc::clone(self).call_store(key, call, deadline));
            }
            claim::Action::Verdict(request, verdict) => {
                steps.push_back(Step::Path(Event::Claimed(request, verdict)));
            }
        }
    }

    async fn call_store(self: Arc<Self>, key: CallKey, call: Call, deadline: UnixMs) {
        let result = self.store.call(Rank::Claim, call, deadline).await;
        let replied = claim::Event::Replied(key, result);
        self.step_requests(Step::Claims(replied));
    }

    fn broadcast(self: &Arc<Self>, gossip: &Gossip) {
        for peer in self.mesh.peers() {
            if peer.name != self.settings.name {
                self.notify(peer.addr, Payload::Request(gossip.clone()));
            }
        }
    }

    fn begin_send(
        self: &Arc<Self>,
        state: &State,
        request: RequestKey,
        target: TargetKey,
        deadline: UnixMs,
    ) {
        let vm = state.path.routes().vm(target);
        let (Some(vm), Some(waiting)) = (vm, state.waiting.get(&request)) else {
            // The target or the caller is gone, so nothing is sent.
            let app = Arc::clone(self);
            tokio::spawn(async move { app.end_send(request, target, not_sent()).await });
            return;
        };
        let (name, incarnation) = (&self.settings.name, self.requests.incarnation);
        let outgoing = OutgoingRequest {
            addr: vm.addr.clone(),
            id: format!("{name}-{incarnation:08x}-{}", request.0),
            headers: waiting.headers.clone(),
            body: waiting.body.clone(),
            deadline,
            answer_limit: usize::try_from(self.settings.limits.body_bytes).unwrap_or(usize::MAX),
            members: state.members.len(),
        };
        let context = waiting.context.clone();
        let send = Arc::clone(self).send(request, target, outgoing);
        tokio::spawn(send.with_context(context));
    }

    async fn send(
        self: Arc<Self>,
        request: RequestKey,
        target: TargetKey,
        mut outgoing: OutgoingRequest,
    ) {
        let addr = outgoing.addr.clone();
        let work = async {
            spans::inject(&mut outgoing.headers);
            let sent = self.requests.pool.send(&outgoing).await;
            match sent.answer {
                Some(_) => Ok(sent),
                None => Err(FailedSend(sent)),
            }
        };
        let result = spans::in_span("send", SpanKind::Client, addr, work).await;
        let sent = result.unwrap_or_else(|FailedSend(sent)| sent);
        self.end_send(request, target, sent).await;
    }

    async fn end_send(self: Arc<Self>, request: RequestKey, target: TargetKey, sent: SendResult) {
        if let Some(waiting) = self.requests.lock().waiting.get_mut(&request) {
            waiting.answer = sent.answer;
        }
        let ended = Event::SendEnded(request, sent.outcome, sent.leaving);
        self.step_requests(Step::Path(ended));
        if sent.outcome == requests::SendOutcome::Late {
            if let Some(completion) = sent.completion {
                completion.await;
            }
            self.step_requests(Step::Path(Event::SlotFreed(target)));
        }
    }

    /// Runs the regular ticks of the request path until the task is aborted.
    pub(crate) async fn drive_requests(self: Arc<Self>) {
        loop {
            self.forward_changes();
            self.step_requests(Step::Path(Event::Tick));
            self.step_requests(Step::Claims(claim::Event::Tick));
            clock::sleep_until(clock::now().after(TICK_MS)).await;
        }
    }

    /// Passes changes of the configuration, the VM list and the live daemons to the request path.
    fn forward_changes(self: &Arc<Self>) {
        let mut names: Vec<String> = self.mesh.peers().into_iter().map(|p| p.name).collect();
        names.sort_unstable();
        let vms = self.targets.list();
        let version = self.configs.require().ok();
        let mut events = Vec::new();
        let mut state = self.requests.lock();
        if let Some(version) = version.filter(|v| Some(v.number) != state.version) {
            state.version = Some(version.number);
            events.push(Event::Config(version.config));
        }
        if state.members != names {
            state.members.clone_from(&names);
            events.push(Event::Members(names));
        }
        if !Arc::ptr_eq(&state.vms, &vms) {
            state.vms = Arc::clone(&vms);
            events.push(Event::Vms(vms.to_vec()));
        }
        drop(state);
        for event in events {
            self.step_requests(Step::Path(event));
        }
    }
}

/// A send without a complete answer; its `Debug` text goes into the span.
struct FailedSend(SendResult);

impl std::fmt::Debug for FailedSend {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}", self.0.outcome)
    }
}

fn not_sent() -> SendResult {
    SendResult {
        outcome: requests::SendOutcome::NotSent,
        answer: None,
        leaving: false,
        completion: None,
    }
}

impl WaitingCaller {
    /// Sends the answer or the error to the caller.
    fn reply(self, verdict: Result<()>) {
        let answer = verdict.and_then(|()| {
            let received = self
                .answer
                .ok_or_else(|| Error::new(Kind::Internal, "the answer of the target is missing"))?;
            let mut answer = Response::new(Full::new(received.body().clone()));
            *answer.status_mut() = received.status();
            if let Some(value) = received.headers().get(CONTENT_TYPE) {
                answer.headers_mut().insert(CONTENT_TYPE, value.clone());
            }
            Ok(answer)
        });
        // The caller may have hung up.
        let _ = self.reply.send(answer);
    }
}

impl ParsedRequest {
    fn parse(service: &str, parts: &Parts, body: usize) -> Result<Self> {
        let text = |name| Ok(front::header(parts, name)?.unwrap_or_default().to_owned());
        let caller: String = text(CALLER_HEADER)?;
        let key: String = text(KEY_HEADER)?;
        for (name, value) in [(CALLER_HEADER, &caller), (KEY_HEADER, &key)] {
            if !value.is_empty() && !is_word(value) {
                return Err(bad_header(name, "1 to 128 word characters"));
            }
        }
        let header = front::header(parts, IDEMPOTENT_HEADER)?;
        if !matches!(header, None | Some("true" | "false")) {
            return Err(bad_header(IDEMPOTENT_HEADER, "true or false"));
        }
        let idempotent = header == Some("true");
        let claim = header == Some("false") || !idempotent && !key.is_empty();
        if claim && (caller.is_empty() || key.is_empty()) {
            let names = format!("{CALLER_HEADER} and {KEY_HEADER}");
            return Err(bad_header(&names, "both for a non-idempotent request"));
        }
        // Both may contain slashes; the length of the caller's name makes the claim name unambiguous.
        let claim_name = format!("{}/{caller}/{key}", caller.len());
        let arrival = Arrival {
            caller,
            workspace: text(WORKSPACE_HEADER)?,
            service: service.to_owned(),
            labels: parse_labels(front::header(parts, LABELS_HEADER)?.unwrap_or_default())?,
            deadline: parse_deadline(parts)?,
            idempotent,
            claim,
            bytes: u32::try_from(body + REQUEST_OVERHEAD_BYTES).unwrap_or(u32::MAX),
        };
        Ok(Self {
            arrival,
            claim_name,
        })
    }
}

fn bad_header(field: &str, expected: &str) -> Error {
    Error::new(Kind::BadInput, format!("{field}: expected {expected}"))
}

fn parse_labels(text: &str) -> Result<Labels> {
    let mut labels = Labels::new();
    for pair in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
        let pair = pair.split_once('=').map(|(k, v)| (k.trim(), v.trim()));
        let Some((key, value)) = pair.filter(|(k, v)| is_word(k) && is_word(v)) else {
            return Err(bad_header(LABELS_HEADER, "key=value, key=value"));
        };
        labels.insert(key.to_owned(), value.to_owned());
    }
    Ok(labels)
}

fn parse_deadline(parts: &Parts) -> Result<Option<UnixMs>> {
    let text = front::header(parts, DEADLINE_HEADER)?;
    let parse = |text: &str| text.parse().map(UnixMs);
    let deadline = text.map(parse).transpose();
    deadline.map_err(|_| bad_header(DEADLINE_HEADER, "milliseconds since the Unix epoch"))
}

/// Returns the caller's headers that are forwarded to the target.
fn forwarded_headers(parts: &Parts) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    if let Some(value) = parts.headers.get(CONTENT_TYPE) {
        forwarded.insert(CONTENT_TYPE, value.clone());
    }
    forwarded
}
