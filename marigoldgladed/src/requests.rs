//! The request path's shell: callers' requests flow in, targets' whole answers flow out.
//!
//! Every decision is made by [`requests::Requests`] and [`claim::Claims`]; this file carries
//! their actions to sockets, the store and the mesh, and the outcomes back.

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
use crate::keeper::Rank;
use crate::pool::{Job, Pool, Sent};
use crate::{clock, spans};

/// The time between steps of the request path, in milliseconds.
const TICK_MS: u64 = 10;
/// What a waiting request holds besides its body, in bytes.
const OVERHEAD_BYTES: usize = 1_024;

/// State of the request path.
pub(crate) struct Requests {
    core: Mutex<Core>,
    pool: Pool,
    next: AtomicU64,
    start: u32,
}

struct Core {
    path: requests::Requests,
    claims: Claims,
    waiting: HashMap<RequestKey, Waiting>,
    members: Vec<String>,
    vms: Arc<Vec<Vm>>,
    version: Option<Revision>,
}

/// A caller that waits for its answer.
struct Waiting {
    caller: Caller,
    headers: HeaderMap,
    body: Bytes,
    context: Context,
    whole: Option<Response<Bytes>>,
    answer: oneshot::Sender<Result<Answer>>,
}

/// What a caller says about its request.
struct Caller {
    arrival: Arrival,
    /// The name under which it is claimed.
    name: String,
}

impl Requests {
    /// Makes an idle request path.
    pub(crate) fn new(settings: &Settings) -> Self {
        let bounds = Bounds {
            len: settings.limits.queue as usize,
            bytes: settings.limits.queue_bytes,
        };
        let now = clock::now();
        let core = Core {
            path: requests::Requests::new(&settings.name, bounds, rand::random(), now),
            claims: Claims::new(&settings.name, rand::random()),
            waiting: HashMap::new(),
            members: Vec::new(),
            vms: Arc::default(),
            version: None,
        };
        Self {
            core: Mutex::new(core),
            pool: Pool::default(),
            next: AtomicU64::new(0),
            start: rand::random(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Work for one of the two filters.
enum Step {
    Path(Event),
    Claims(claim::Event),
}

/// Tells the path that a caller hung up, unless it was answered.
struct Watch<'a>(&'a Arc<App>, RequestKey);

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        self.0.step_requests(Step::Path(Event::Abandoned(self.1)));
    }
}

impl App {
    /// Answers one request of a caller.
    pub(crate) async fn request(
        self: &Arc<Self>,
        service: &str,
        parts: &Parts,
        body: Bytes,
    ) -> Result<Answer> {
        let result = self.take_request(service, parts, body).await;
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

    async fn take_request(
        self: &Arc<Self>,
        service: &str,
        parts: &Parts,
        body: Bytes,
    ) -> Result<Answer> {
        if self.stop.is_stopping() {
            return Err(Error::new(Kind::Stopping, "the daemon is stopping"));
        }
        let caller = Caller::parse(service, parts, body.len())?;
        let request = RequestKey(self.requests.next.fetch_add(1, Ordering::Relaxed));
        let (answer, answered) = oneshot::channel();
        let arrived = Event::Arrived(request, Box::new(caller.arrival.clone()));
        let waiting = Waiting {
            caller,
            headers: kept_headers(parts),
            body,
            context: Context::current(),
            whole: None,
            answer,
        };
        self.requests.lock().waiting.insert(request, waiting);
        let watch = Watch(self, request);
        self.step_requests(Step::Path(arrived));
        let lost = || Error::new(Kind::Internal, "the request was lost");
        let result = answered.await.unwrap_or_else(|_| Err(lost()));
        drop(watch);
        result
    }

    /// Takes what another daemon told about requests.
    pub(crate) fn receive_gossip(self: &Arc<Self>, from: &str, gossip: Gossip) {
        self.step_requests(Step::Path(Event::Gossip(from.to_owned(), gossip)));
    }

    fn step_requests(self: &Arc<Self>, first: Step) {
        let mut core = self.requests.lock();
        let mut steps = VecDeque::from([first]);
        while let Some(step) = steps.pop_front() {
            match step {
                Step::Path(event) => {
                    let mut out = Vec::new();
                    core.path.step(clock::now(), event, &mut out);
                    for action in out {
                        self.do_action(&mut core, action, &mut steps);
                    }
                }
                Step::Claims(event) => {
                    let mut out = Vec::new();
                    core.claims.step(clock::now(), event, &mut out);
                    for action in out {
                        self.do_claim(action, &mut steps);
                    }
                }
            }
        }
    }

    fn do_action(self: &Arc<Self>, core: &mut Core, action: Action, steps: &mut VecDeque<Step>) {
        match action {
            Action::Claim(request, end) => {
                if let Some(waiting) = core.waiting.get(&request) {
                    let name = waiting.caller.name.clone();
                    let ask = claim::Event::Claim(request, name, end);
                    steps.push_back(Step::Claims(ask));
                }
            }
            Action::Send(request, target, end) => self.begin_send(core, request, target, end),
            Action::Answer(request, verdict) => {
                if let Some(waiting) = core.waiting.remove(&request) {
                    waiting.end(verdict);
                }
            }
            Action::Settle(request, kind) => {
                steps.push_back(Step::Claims(claim::Event::Settle(request, kind)));
            }
            Action::CloseIdle(target) => {
                if let Some(vm) = core.path.routes().vm(target) {
                    self.requests.pool.close(&vm.addr);
                }
            }
            Action::Gossip(gossip) => self.broadcast(&gossip),
        }
    }

    fn do_claim(self: &Arc<Self>, action: claim::Action, steps: &mut VecDeque<Step>) {
        match action {
            claim::Action::Call(key, call, end) => {
                tokio::spawn(Arc::clone(self).call_for_claims(key, call, end));
            }
            claim::Action::Verdict(request, verdict) => {
                steps.push_back(Step::Path(Event::Claimed(request, verdict)));
            }
        }
    }

    async fn call_for_claims(self: Arc<Self>, key: CallKey, call: Call, end: UnixMs) {
        let result = self.keeper.call(Rank::Claim, call, end).await;
        let replied = claim::Event::Replied(key, result);
        self.step_requests(Step::Claims(replied));
    }

    fn broadcast(self: &Arc<Self>, gossip: &Gossip) {
        for peer in self.mesh.peers() {
            if peer.name != self.settings.name {
                self.tell(peer.addr, Payload::Request(gossip.clone()));
            }
        }
    }

    fn begin_send(
        self: &Arc<Self>,
        core: &Core,
        request: RequestKey,
        target: TargetKey,
        end: UnixMs,
    ) {
        let vm = core.path.routes().vm(target);
        let (Some(vm), Some(waiting)) = (vm, core.waiting.get(&request)) else {
            // Nobody waits any more; nothing is sent.
            let app = Arc::clone(self);
            tokio::spawn(async move { app.end_send(request, target, unsent()).await });
            return;
        };
        let (name, start) = (&self.settings.name, self.requests.start);
        let job = Job {
            addr: vm.addr.clone(),
            id: format!("{name}-{start:08x}-{}", request.0),
            headers: waiting.headers.clone(),
            body: waiting.body.clone(),
            end,
            limit: usize::try_from(self.settings.limits.body_bytes).unwrap_or(usize::MAX),
            members: core.members.len(),
        };
        let context = waiting.context.clone();
        let send = Arc::clone(self).send(request, target, job);
        tokio::spawn(send.with_context(context));
    }

    async fn send(self: Arc<Self>, request: RequestKey, target: TargetKey, mut job: Job) {
        let addr = job.addr.clone();
        let work = async {
            spans::inject(&mut job.headers);
            let sent = self.requests.pool.send(&job).await;
            match sent.answer {
                Some(_) => Ok(sent),
                None => Err(Failed(sent)),
            }
        };
        let hop = spans::in_span("send", SpanKind::Client, addr, work).await;
        let sent = hop.unwrap_or_else(|Failed(sent)| sent);
        self.end_send(request, target, sent).await;
    }

    async fn end_send(self: Arc<Self>, request: RequestKey, target: TargetKey, sent: Sent) {
        if let Some(waiting) = self.requests.lock().waiting.get_mut(&request) {
            waiting.whole = sent.answer;
        }
        let ended = Event::SendEnded(request, sent.end, sent.leaving);
        self.step_requests(Step::Path(ended));
        if sent.end == requests::SendOutcome::Late {
            if let Some(rest) = sent.rest {
                rest.await;
            }
            self.step_requests(Step::Path(Event::SlotFreed(target)));
        }
    }

    /// Drives the request path until the daemon ends.
    pub(crate) async fn drive_requests(self: Arc<Self>) {
        loop {
            self.refresh();
            self.step_requests(Step::Path(Event::Tick));
            self.step_requests(Step::Claims(claim::Event::Tick));
            clock::sleep_until(clock::now().after(TICK_MS)).await;
        }
    }

    /// Hands on what changed: the configuration, the VM list and the live daemons.
    fn refresh(self: &Arc<Self>) {
        let mut names: Vec<String> = self.mesh.peers().into_iter().map(|p| p.name).collect();
        names.sort_unstable();
        let vms = self.targets.list();
        let version = self.configs.need().ok();
        let mut events = Vec::new();
        let mut core = self.requests.lock();
        if let Some(version) = version.filter(|v| Some(v.number) != core.version) {
            core.version = Some(version.number);
            events.push(Event::Config(version.config));
        }
        if core.members != names {
            core.members.clone_from(&names);
            events.push(Event::Members(names));
        }
        if !Arc::ptr_eq(&core.vms, &vms) {
            core.vms = Arc::clone(&vms);
            events.push(Event::Vms(vms.to_vec()));
        }
        drop(core);
        for event in events {
            self.step_requests(Step::Path(event));
        }
    }
}

/// A send without a whole answer, as a span shows it.
struct Failed(Sent);

impl std::fmt::Debug for Failed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}", self.0.end)
    }
}

fn unsent() -> Sent {
    Sent {
        end: requests::SendOutcome::NotSent,
        answer: None,
        leaving: false,
        rest: None,
    }
}

impl Waiting {
    /// Answers the caller.
    fn end(self, verdict: Result<()>) {
        let answer = verdict.and_then(|()| {
            let whole = self.whole.ok_or_else(|| {
                Error::new(Kind::Internal, "an answer was promised and isn't there")
            })?;
            let mut answer = Response::new(Full::new(whole.body().clone()));
            *answer.status_mut() = whole.status();
            if let Some(value) = whole.headers().get(CONTENT_TYPE) {
                answer.headers_mut().insert(CONTENT_TYPE, value.clone());
            }
            Ok(answer)
        });
        // The caller may have hung up.
        let _ = self.answer.send(answer);
    }
}

impl Caller {
    fn parse(service: &str, parts: &Parts, body: usize) -> Result<Self> {
        let text = |name| Ok(front::header(parts, name)?.unwrap_or_default().to_owned());
        let caller: String = text(CALLER_HEADER)?;
        let key: String = text(KEY_HEADER)?;
        for (name, value) in [(CALLER_HEADER, &caller), (KEY_HEADER, &key)] {
            if !value.is_empty() && !is_word(value) {
                return Err(bad(name, "1 to 128 word characters"));
            }
        }
        let mark = front::header(parts, IDEMPOTENT_HEADER)?;
        if !matches!(mark, None | Some("true" | "false")) {
            return Err(bad(IDEMPOTENT_HEADER, "true or false"));
        }
        let idempotent = mark == Some("true");
        let claim = mark == Some("false") || !idempotent && !key.is_empty();
        if claim && (caller.is_empty() || key.is_empty()) {
            let names = format!("{CALLER_HEADER} and {KEY_HEADER}");
            return Err(bad(&names, "both for a non-idempotent request"));
        }
        // Words may hold slashes, so that the length keeps caller and key apart.
        let name = format!("{}/{caller}/{key}", caller.len());
        let arrival = Arrival {
            caller,
            workspace: text(WORKSPACE_HEADER)?,
            service: service.to_owned(),
            labels: labels(front::header(parts, LABELS_HEADER)?.unwrap_or_default())?,
            deadline: deadline(parts)?,
            idempotent,
            claim,
            bytes: u32::try_from(body + OVERHEAD_BYTES).unwrap_or(u32::MAX),
        };
        Ok(Self { arrival, name })
    }
}

fn bad(field: &str, expected: &str) -> Error {
    Error::new(Kind::BadInput, format!("{field}: expected {expected}"))
}

fn labels(text: &str) -> Result<Labels> {
    let mut labels = Labels::new();
    for pair in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
        let pair = pair.split_once('=').map(|(k, v)| (k.trim(), v.trim()));
        let Some((key, value)) = pair.filter(|(k, v)| is_word(k) && is_word(v)) else {
            return Err(bad(LABELS_HEADER, "key=value, key=value"));
        };
        labels.insert(key.to_owned(), value.to_owned());
    }
    Ok(labels)
}

fn deadline(parts: &Parts) -> Result<Option<UnixMs>> {
    let text = front::header(parts, DEADLINE_HEADER)?;
    let parse = |text: &str| text.parse().map(UnixMs);
    let end = text.map(parse).transpose();
    end.map_err(|_| bad(DEADLINE_HEADER, "milliseconds since the Unix epoch"))
}

/// Returns the caller's headers that go on to the target.
fn kept_headers(parts: &Parts) -> HeaderMap {
    let mut kept = HeaderMap::new();
    if let Some(value) = parts.headers.get(CONTENT_TYPE) {
        kept.insert(CONTENT_TYPE, value.clone());
    }
    kept
}
