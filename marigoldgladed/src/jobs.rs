//! Calls about jobs at any daemon: a call is answered here if this daemon owns the job's data
//! centre, and is otherwise forwarded to the daemon that does.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use hyper::StatusCode;
use hyper::http::request::Parts;
use marigoldglade::api::{CALLER_HEADER, DEADLINE_HEADER, JobSpec};
use marigoldglade::job_call::{Call, Reply};
use marigoldglade::mesh::Payload;
use marigoldglade::prelude::*;
use marigoldglade::record::JobId;
use marigoldglade::store::Revision;
use marigoldglade::time::SECOND_MS;
use tokio::sync::{mpsc, oneshot};

use crate::app::App;
use crate::centre::{CallOutcome, Centre, Input};
use crate::clock;
use crate::front::{self, Answer};

/// The time between two checks for newly owned data centres, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;
/// The time after which a call fails, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 10 * SECOND_MS;
/// The longest wait for a job's end, in milliseconds.
const MAX_WAIT_MS: u64 = 60 * SECOND_MS;
/// The time between two tries to reach an owner, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;
/// The label by which a caller chooses the data centre of a job.
const DC_LABEL: &str = "dc";

/// A running [`Centre`] and where its inputs go.
struct Handle {
    epoch: Revision,
    inputs: mpsc::UnboundedSender<Input>,
}

/// The data centres whose jobs this daemon owns.
#[derive(Default)]
pub(crate) struct Jobs {
    centres: Mutex<BTreeMap<String, Handle>>,
}

impl Jobs {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Handle>> {
        self.centres.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn inputs(&self, dc: &str) -> Option<mpsc::UnboundedSender<Input>> {
        self.lock().get(dc).map(|h| h.inputs.clone())
    }

    /// Removes a data centre whose ownership in this epoch has ended.
    pub(crate) fn remove_centre(&self, dc: &str, epoch: Revision) {
        let mut centres = self.lock();
        if centres.get(dc).is_some_and(|h| h.epoch == epoch) {
            centres.remove(dc);
        }
    }
}

impl App {
    /// Starts a [`Centre`] for each data centre that this daemon comes to own.
    pub(crate) async fn start_centres(self: Arc<Self>) {
        loop {
            // Decisions need the VM list and the configuration.
            let ready = self.configs.current().is_some() && self.targets.is_loaded();
            let held = self.roles.holders().into_iter().filter(|_| ready);
            for dc in held.map(|h| h.dc) {
                if let Some((epoch, expires_at)) = self.roles.held(&dc) {
                    self.start_centre(&dc, epoch, expires_at);
                }
            }
            clock::sleep_until(clock::now().after(CHECK_INTERVAL_MS)).await;
        }
    }

    fn start_centre(self: &Arc<Self>, dc: &str, epoch: Revision, expires_at: UnixMs) {
        let mut centres = self.jobs.lock();
        if centres.get(dc).is_none_or(|h| h.epoch < epoch) {
            let inputs = Centre::start(self, dc, epoch, expires_at);
            centres.insert(dc.to_owned(), Handle { epoch, inputs });
        }
    }

    /// Submits a job. The answer says that the job is accepted only once its record is durable.
    pub(crate) async fn submit(self: &Arc<Self>, parts: &Parts, body: &Bytes) -> Result<Answer> {
        if self.stop.is_stopping() {
            return Err(Error::new(Kind::Stopping, "the daemon is stopping"));
        }
        let text = std::str::from_utf8(body)
            .map_err(|_| Error::new(Kind::BadInput, "the job: expected UTF-8 text"))?;
        let spec = JobSpec::parse("job", text)?;
        spec.check(clock::now())?;
        let caller = front::header(parts, CALLER_HEADER)?.unwrap_or(&spec.workspace);
        let dc = self.choose_centre(&spec)?;
        let call = Call::Submit(caller.to_owned(), spec);
        let deadline = clock::now().after(CALL_TIMEOUT_MS);
        match self.call_owner(&dc, call, deadline).await? {
            Reply::Accepted(view) => front::json(StatusCode::CREATED, &view),
            reply => respond(StatusCode::OK, reply),
        }
    }

    /// Returns the data centre that the job's label names, or this daemon's own if there is none.
    fn choose_centre(&self, spec: &JobSpec) -> Result<String> {
        let version = self.configs.require()?;
        let own = &self.settings.dc;
        let Some(dc) = spec.labels.get(DC_LABEL) else {
            return Ok(own.clone());
        };
        let known = dc == own || version.config.centres.iter().any(|c| c.name == *dc);
        if !known {
            let detail = format!("labels.dc: data centre '{dc}' isn't configured");
            return Err(Error::new(Kind::NotFound, detail));
        }
        Ok(dc.clone())
    }

    /// Lists the newest jobs of all data centres with a known owner.
    pub(crate) async fn list_jobs(self: &Arc<Self>) -> Result<Answer> {
        let mut views = Vec::new();
        for holder in self.roles.holders() {
            let deadline = clock::now().after(CALL_TIMEOUT_MS);
            if let Reply::Views(more) = self.call_owner(&holder.dc, Call::List, deadline).await? {
                views.extend(more);
            }
        }
        front::json(StatusCode::OK, &views)
    }

    /// Shows the held and free accelerators of all data centres with a known owner.
    pub(crate) async fn show_fleet(self: &Arc<Self>) -> Result<Answer> {
        let mut fleets = Vec::new();
        for holder in self.roles.holders() {
            let deadline = clock::now().after(CALL_TIMEOUT_MS);
            if let Reply::Fleet(fleet) = self.call_owner(&holder.dc, Call::Fleet, deadline).await? {
                fleets.push(fleet);
            }
        }
        front::json(StatusCode::OK, &fleets)
    }

    /// Shows one job, after its end if the query asks to wait for that.
    pub(crate) async fn show_job(self: &Arc<Self>, id: &str, parts: &Parts) -> Result<Answer> {
        let now = clock::now();
        let waits = parts.uri.query().is_some_and(|q| q == "wait=true");
        let (call, deadline) = if waits {
            let deadline = read_deadline(parts)?.unwrap_or(UnixMs::MAX);
            let deadline = deadline.min(now.after(MAX_WAIT_MS));
            (
                Call::Wait(id.to_owned(), deadline),
                deadline.after(CALL_TIMEOUT_MS),
            )
        } else {
            (Call::Query(id.to_owned()), now.after(CALL_TIMEOUT_MS))
        };
        let reply = self
            .call_owner(&JobId::parse(id)?.dc, call, deadline)
            .await?;
        respond(StatusCode::OK, reply)
    }

    /// Cancels a job. A job that has ended keeps its state.
    pub(crate) async fn cancel(self: &Arc<Self>, id: &str) -> Result<Answer> {
        let deadline = clock::now().after(CALL_TIMEOUT_MS);
        let call = Call::Cancel(id.to_owned());
        let reply = self
            .call_owner(&JobId::parse(id)?.dc, call, deadline)
            .await?;
        respond(StatusCode::OK, reply)
    }

    /// Explains the state of a job.
    pub(crate) async fn explain_job(self: &Arc<Self>, id: &str) -> Result<Answer> {
        let deadline = clock::now().after(CALL_TIMEOUT_MS);
        let call = Call::Explain(id.to_owned());
        let reply = self
            .call_owner(&JobId::parse(id)?.dc, call, deadline)
            .await?;
        respond(StatusCode::OK, reply)
    }

    /// Makes a call to the data centre's owner. Every call may be repeated, so one that found no
    /// owner is made again until the deadline.
    async fn call_owner(self: &Arc<Self>, dc: &str, call: Call, deadline: UnixMs) -> Result<Reply> {
        loop {
            let result = match self.jobs.inputs(dc) {
                Some(inputs) => self.answer_here(&inputs, call.clone(), deadline).await,
                None => self.ask_owner(dc, call.clone(), deadline).await,
            };
            let absent = |e: &Error| matches!(e.kind, Kind::NotReady | Kind::NoTarget);
            let next = clock::now().after(RETRY_DELAY_MS);
            if !result.as_ref().is_err_and(absent) || deadline.passed(next) {
                return result;
            }
            clock::sleep_until(next).await;
        }
    }

    async fn answer_here(
        self: &Arc<Self>,
        inputs: &mpsc::UnboundedSender<Input>,
        call: Call,
        deadline: UnixMs,
    ) -> Result<Reply> {
        let (answer, answered) = oneshot::channel();
        if inputs.send(Input::Call(call, answer)).is_err() {
            return Err(Error::new(
                Kind::NotReady,
                "the data centre's owner is changing",
            ));
        }
        let outcome = tokio::time::timeout(clock::until(deadline), answered).await;
        match outcome {
            Ok(Ok(CallOutcome::Reply(reply))) => reply,
            Ok(Ok(CallOutcome::Redirect(id))) => {
                let dc = JobId::parse(&id)?.dc;
                Box::pin(self.call_owner(&dc, Call::Query(id), deadline)).await
            }
            Ok(Err(_)) => Err(Error::new(
                Kind::Unknown,
                "the owner changed before it answered",
            )),
            Err(_) => Err(Error::new(Kind::Timeout, "the owner didn't answer in time")),
        }
    }

    async fn ask_owner(self: &Arc<Self>, dc: &str, call: Call, deadline: UnixMs) -> Result<Reply> {
        let holder = self.roles.holder(dc);
        let holder = holder.filter(|h| h.name != self.settings.name);
        let Some(holder) = holder else {
            return Err(Error::new(
                Kind::NotReady,
                format!("data centre {dc} has no known owner"),
            ));
        };
        let payload = Payload::Job(dc.to_owned(), call);
        match self.request(holder.addr, payload, deadline).await? {
            Payload::JobReply(reply) => Ok(reply),
            _ => Err(Error::new(
                Kind::BadPeer,
                "expected a reply about jobs from the peer, found another message",
            )),
        }
    }

    /// Answers a call that another daemon forwarded, if this one owns the data centre.
    pub(crate) async fn answer_peer(self: &Arc<Self>, dc: &str, call: Call) -> Payload {
        let deadline = clock::now().after(MAX_WAIT_MS + CALL_TIMEOUT_MS);
        let result = match self.jobs.inputs(dc) {
            Some(inputs) => self.answer_here(&inputs, call, deadline).await,
            None => Err(Error::new(
                Kind::NotReady,
                format!("the daemon doesn't own data centre {dc}"),
            )),
        };
        result.map_or_else(Payload::Refused, Payload::JobReply)
    }
}

fn respond(status: StatusCode, reply: Reply) -> Result<Answer> {
    match reply {
        Reply::Accepted(view) | Reply::View(view) => front::json(status, &view),
        Reply::Explained(explanation) => front::json(status, &explanation),
        Reply::Views(views) => front::json(status, &views),
        Reply::Fleet(fleet) => front::json(status, &fleet),
    }
}

fn read_deadline(parts: &Parts) -> Result<Option<UnixMs>> {
    let Some(text) = front::header(parts, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let ms = text.parse().map_err(|_| {
        Error::new(
            Kind::BadInput,
            format!("{DEADLINE_HEADER}: expected milliseconds since the Unix epoch"),
        )
    })?;
    Ok(Some(UnixMs(ms)))
}
