//! Callers' requests to submit, cancel, query, wait for, explain and list jobs, and their answers.

use rand::RngExt as _;

use crate::api::{JobSpec, JobView, State};
use crate::config::{Class, Config, Workspace};
use crate::error::{Error, Kind, Result};
use crate::explain;
use crate::gang;
use crate::label::{Labels, Selector};
use crate::plan::{self, JobKey, JobRequest, Reason};
use crate::record::{JobId, Record};
use crate::time::UnixMs;
use crate::writer::WriteKind;

use super::{Action, Event, Job, Owner, Stage, Ticket};

/// The most jobs in a list.
const LIST_LIMIT: usize = 1_000;
/// The urgency of a job that no class matches.
const DEFAULT_URGENCY: u8 = 5;
/// The grace period of a job that no class matches, in milliseconds.
const DEFAULT_GRACE_MS: u64 = 10_000;

impl Owner {
    pub(super) fn submit(
        &mut self,
        now: UnixMs,
        ticket: Ticket,
        caller: &str,
        spec: JobSpec,
        out: &mut Vec<Action>,
    ) {
        let id = JobId::new(&self.dc, &spec);
        if let Some(&key) = self.by_id.get(&id.to_string()) {
            return self.resubmit(ticket, key, &spec, out);
        }
        if let Err(e) = self.check_submit(now, &spec) {
            return out.push(Action::Answer(ticket, Err(e)));
        }
        let nonce = self.rng.random();
        let mut record = Record::new(spec, caller, now, nonce);
        record.note(now, self.version(), Reason::Accepted);
        if let Err(e) = record.encode() {
            return out.push(Action::Answer(ticket, Err(e)));
        }
        let key = self.add(id, record, Stage::Accepting);
        let mark = self.queue_write(key, WriteKind::Accept);
        self.job(key).acks.push((ticket, mark));
    }

    fn check_submit(&self, now: UnixMs, spec: &JobSpec) -> Result<()> {
        let Some((config, _)) = &self.config else {
            return Err(not_ready());
        };
        if !self.is_ready() {
            return Err(not_ready());
        }
        spec.check(now)?;
        if !config.workspaces.iter().any(|w| w.name == spec.workspace) {
            let detail = format!("workspace '{}' isn't configured", spec.workspace);
            return Err(Error::new(Kind::NotFound, detail));
        }
        if self.writer.is_down(now) || !self.may_act(now) {
            return Err(Error::new(
                Kind::StoreDown,
                "the job's record can't be written to the store now",
            ));
        }
        Ok(())
    }

    /// Handles a submit under a key that is in use, for the same job or another one.
    fn resubmit(&mut self, ticket: Ticket, key: JobKey, spec: &JobSpec, out: &mut Vec<Action>) {
        let job = self.job(key);
        if job.record.spec != *spec {
            let detail = format!(
                "the key is already used by job {}, whose specification differs",
                job.id
            );
            return out.push(Action::Answer(
                ticket,
                Err(Error::new(Kind::Duplicate, detail)),
            ));
        }
        if job.stage == Stage::Accepting {
            let mark = job.mark;
            return job.acks.push((ticket, mark));
        }
        out.push(Action::Answer(ticket, Ok(job.view())));
    }

    pub(super) fn add(&mut self, id: JobId, record: Record, stage: Stage) -> JobKey {
        let key = JobKey(u32::try_from(self.jobs.len()).unwrap_or(u32::MAX));
        self.by_id.insert(id.to_string(), key);
        if stage != Stage::Ended {
            self.live.insert(key);
        }
        let last_attempt = record.attempt;
        self.jobs.push(Job {
            id,
            record,
            stage,
            gang: None,
            final_record: None,
            mark: 0,
            start_mark: 0,
            end_mark: 0,
            acks: Vec::new(),
            waiters: Vec::new(),
            recovering: false,
            last_attempt,
        });
        key
    }

    /// Discards a new job whose idempotency key belongs to a job that this owner doesn't hold.
    pub(super) fn handle_key_taken(&mut self, key: JobKey, id: &str, out: &mut Vec<Action>) {
        for (ticket, _) in self.discard(key) {
            out.push(Action::Redirect(ticket, id.to_owned()));
        }
    }

    /// Discards a new job whose record wasn't written and won't be.
    pub(super) fn handle_dropped(&mut self, key: JobKey, out: &mut Vec<Action>) {
        for (ticket, _) in self.discard(key) {
            let e = Error::new(
                Kind::StoreDown,
                "the job's record wasn't written: the call to the store failed",
            );
            out.push(Action::Answer(ticket, Err(e)));
        }
    }

    /// Removes a job that was never recorded; returns the requests to answer.
    fn discard(&mut self, key: JobKey) -> Vec<(Ticket, u64)> {
        let job = self.job(key);
        job.stage = Stage::Discarded;
        let acks = std::mem::take(&mut job.acks);
        let waits = std::mem::take(&mut job.waiters);
        let id = job.id.to_string();
        self.by_id.remove(&id);
        self.live.remove(&key);
        acks.into_iter()
            .chain(waits.into_iter().map(|(t, _)| (t, 0)))
            .collect()
    }

    fn find(&self, id: &str) -> Result<JobKey> {
        if let Some(&key) = self.by_id.get(id) {
            return Ok(key);
        }
        if !self.scan.is_done() {
            return Err(not_ready());
        }
        Err(Error::new(
            Kind::NotFound,
            format!("job {id} doesn't exist"),
        ))
    }

    pub(super) fn cancel(&mut self, now: UnixMs, ticket: Ticket, id: &str, out: &mut Vec<Action>) {
        let key = match self.find(id) {
            Ok(key) => key,
            Err(e) => return out.push(Action::Answer(ticket, Err(e))),
        };
        let job = self.job(key);
        match job.stage {
            Stage::Accepting => {
                job.record.cancel_requested = true;
                let mark = job.mark;
                job.acks.push((ticket, mark));
            }
            Stage::Waiting => {
                job.record.cancel_requested = true;
                self.finish_and_write(now, key, State::Cancelled, Reason::Cancelled, out);
                let mark = self.job(key).mark;
                self.job(key).acks.push((ticket, mark));
            }
            Stage::Placed => {
                if !job.record.cancel_requested {
                    job.record.cancel_requested = true;
                    self.queue_write(key, WriteKind::Change);
                }
                let mark = self.job(key).mark;
                self.job(key).acks.push((ticket, mark));
                let grace = self.grace_end(now, key);
                self.step_gang(now, key, gang::Event::Stop(grace), out);
            }
            Stage::Ending => {
                let mark = job.mark;
                job.acks.push((ticket, mark));
            }
            Stage::Ended | Stage::Discarded => out.push(Action::Answer(ticket, Ok(job.view()))),
        }
    }

    pub(super) fn query(&mut self, ticket: Ticket, id: &str, out: &mut Vec<Action>) {
        let view = self.find(id).map(|key| self.job(key).view());
        out.push(Action::Answer(ticket, view));
    }

    pub(super) fn wait(
        &mut self,
        ticket: Ticket,
        id: &str,
        deadline: UnixMs,
        out: &mut Vec<Action>,
    ) {
        match self.find(id) {
            Ok(key) if self.job(key).stage != Stage::Ended => {
                self.job(key).waiters.push((ticket, deadline));
            }
            _ => self.query(ticket, id, out),
        }
    }

    pub(super) fn explain(&mut self, ticket: Ticket, id: &str, out: &mut Vec<Action>) {
        let explained = self.find(id).map(|key| {
            let job = self.job(key);
            explain::explain(&job.id, &job.record)
        });
        out.push(Action::Explained(ticket, explained));
    }

    pub(super) fn list(&self, ticket: Ticket, out: &mut Vec<Action>) {
        let kept = self
            .jobs
            .iter()
            .rev()
            .filter(|j| j.stage != Stage::Discarded);
        let views = kept.take(LIST_LIMIT).map(Job::view).collect();
        out.push(Action::Listed(ticket, views));
    }

    /// Answers the waiting requests whose deadline has passed with the present state.
    pub(super) fn answer_overdue(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        for key in &self.live {
            let job = &mut self.jobs[key.0 as usize];
            if job.waiters.is_empty() {
                continue;
            }
            let view = job.view();
            job.waiters.retain(|(ticket, deadline)| {
                let over = deadline.passed(now);
                if over {
                    out.push(Action::Answer(*ticket, Ok(view.clone())));
                }
                !over
            });
        }
    }

    /// Answers all open requests of a deposed owner with errors. The error for a submit says that
    /// its record may have been written; the caller finds out by submitting the same job again.
    pub(super) fn refuse_open(&mut self, out: &mut Vec<Action>) {
        for job in &mut self.jobs {
            let e = match job.stage {
                Stage::Accepting => Error::new(
                    Kind::Unknown,
                    "the owner changed before the job's record was confirmed",
                ),
                _ => not_ready(),
            };
            let acks = std::mem::take(&mut job.acks);
            let waits = std::mem::take(&mut job.waiters);
            let tickets = acks.into_iter().map(|(t, _)| t);
            for ticket in tickets.chain(waits.into_iter().map(|(t, _)| t)) {
                out.push(Action::Answer(ticket, Err(e.clone())));
            }
        }
    }

    /// Refuses a request that reaches a deposed owner; other events are ignored.
    pub(super) fn refuse_event(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Submit(ticket, ..)
            | Event::Cancel(ticket, _)
            | Event::Query(ticket, _)
            | Event::Wait(ticket, ..) => out.push(Action::Answer(ticket, Err(not_ready()))),
            Event::Explain(ticket, _) => out.push(Action::Explained(ticket, Err(not_ready()))),
            Event::List(ticket) => out.push(Action::Listed(ticket, Vec::new())),
            _ => {}
        }
    }

    /// Returns the planner's view of a job that isn't accepted yet. Returns `None` until the
    /// planner knows every listed worker, and for a job that exists already.
    #[must_use]
    pub fn candidate(&self, now: UnixMs, caller: &str, spec: &JobSpec) -> Option<JobRequest> {
        let known = self
            .by_id
            .contains_key(&JobId::new(&self.dc, spec).to_string());
        let shown = !self.links.is_empty() && self.links.values().all(|l| l.in_planner);
        if known || !shown || !self.is_ready() {
            return None;
        }
        Some(self.build_request(JobKey(u32::MAX), spec, caller, now))
    }

    /// Returns the planner's view of a job.
    pub(super) fn request(&self, key: JobKey) -> JobRequest {
        let record = &self.jobs[key.0 as usize].record;
        self.build_request(key, &record.spec, &record.caller, record.accepted_at)
    }

    fn build_request(
        &self,
        job: JobKey,
        spec: &JobSpec,
        caller: &str,
        accepted_at: UnixMs,
    ) -> JobRequest {
        let config = self.config.as_ref().map(|(c, _)| c.as_ref());
        let workspace = config.and_then(|c| workspace(c, spec));
        let class = config.and_then(|c| class(c, spec));
        JobRequest {
            job,
            workspace: spec.workspace.clone(),
            caller: caller.to_owned(),
            labels: spec.labels.clone(),
            urgency: class.map_or(DEFAULT_URGENCY, |c| c.urgency),
            allowed: [
                class.map_or_else(Selector::default, |c| c.r#where.clone()),
                workspace.map_or_else(Selector::default, |w| w.r#where.clone()),
            ],
            shape: spec.shape,
            checkpoint: spec.checkpoint,
            preemptible: spec.idempotent,
            grace_ms: class.map_or(DEFAULT_GRACE_MS, |c| c.grace_ms),
            run_ms: spec.run_ms,
            accepted_at,
            deadline: spec.deadline,
        }
    }

    /// Returns when the grace period of a stop that begins now ends.
    pub(super) fn grace_end(&self, now: UnixMs, key: JobKey) -> UnixMs {
        let spec = &self.jobs[key.0 as usize].record.spec;
        let config = self.config.as_ref().map(|(c, _)| c.as_ref());
        let class = config.and_then(|c| class(c, spec));
        now.after(class.map_or(DEFAULT_GRACE_MS, |c| c.grace_ms))
    }

    /// Passes the job to the planner to be placed.
    pub(super) fn enqueue(&mut self, key: JobKey, out: &mut Vec<Action>) {
        let request = self.request(key);
        out.push(Action::Plan(plan::Event::Waiting(request)));
    }
}

impl Job {
    pub(super) fn view(&self) -> JobView {
        self.record.view(&self.id)
    }
}

fn workspace<'a>(config: &'a Config, spec: &JobSpec) -> Option<&'a Workspace> {
    config.workspaces.iter().find(|w| w.name == spec.workspace)
}

/// Returns the first class that matches the job's labels and those of its workspace.
fn class<'a>(config: &'a Config, spec: &JobSpec) -> Option<&'a Class> {
    let mut labels: Labels = workspace(config, spec).map_or_else(Labels::new, |w| w.labels.clone());
    labels.extend(spec.labels.clone());
    labels.insert("workspace".to_owned(), spec.workspace.clone());
    config.classes.iter().find(|c| c.matches.matches(&labels))
}

fn not_ready() -> Error {
    Error::new(
        Kind::NotReady,
        "the data centre's owner isn't ready: it is starting or was replaced",
    )
}
