//! Calls, and the requests that other daemons left in the owner's inbox in the store.

use crate::batch::admission::{Backlog, retry_after_ms};
use crate::batch::engine::job::Job;
use crate::batch::engine::{Action, CallId, Engine, InboxBody, InboxItem, JobKey, PLAN_LIMIT_MS};
use crate::batch::id::JobId;
use crate::batch::messages::{Call, Reply, Submission};
use crate::batch::policy::Queue;
use crate::batch::rank::LATE_FACTOR;
use crate::batch::record::{Record, State};
use crate::batch::spec::JobSpec;
use crate::time::UnixMs;

/// The duration after which a commit under way counts as a fault of the store, in milliseconds:
/// many times the store's usual response time.
const COMMIT_STUCK_MS: u64 = 600;

impl Engine {
    /// Processes a call; submissions and cancels are answered once they are durable.
    pub(super) fn handle_call(&mut self, call_id: CallId, call: Call, out: &mut Vec<Action>) {
        let reply = match call {
            Call::Submit(submission) => self.submit(call_id, *submission),
            Call::Cancel(id) => self.cancel(call_id, id),
            Call::Status(id) => Some(self.status(id)),
            Call::Pending(queue) => Some(Reply::Pending(self.count_waiting(&queue))),
        };
        if let Some(reply) = reply {
            out.push(Action::Reply(call_id, reply));
        }
    }

    /// Adds a job, whose reply waits for the commit of its record, or refuses it.
    fn submit(&mut self, call_id: CallId, submission: Submission) -> Option<Reply> {
        let id = submission.id;
        if let Some((_, job)) = self.job_mut(id) {
            if job.durable_state.is_some() {
                return Some(Reply::Accepted);
            }
            job.submit_calls.push(call_id);
            return None;
        }
        if self.store_unavailable() {
            log::info!(job = id.as_str(), closed_ms = self.closed_until.since(self.now); "submission refused: the store takes no commits");
            return Some(Reply::NotOwner);
        }
        if let Some(reply) = self.check_attempt(&submission) {
            return Some(reply);
        }
        if let Some(retry_ms) = self.overload_retry_ms(&submission.queue, &submission.spec) {
            log::info!(job = id.as_str(), queue = submission.queue.name.as_str(), retry_ms; "submission refused: the backlog is too long for its objective");
            self.refusals.add(self.now, call_id, id, retry_ms);
            return None;
        }
        let record = submission.into_record(self.wall_ms);
        let key = self.add_job(Job::new(record, self.now, false));
        let job = self.jobs.get_mut(&key)?;
        job.submit_calls.push(call_id);
        self.dirty_jobs.insert(key);
        None
    }

    /// Returns whether the store refuses commits or leaves them without an answer, so that no job
    /// can be accepted.
    pub(super) fn store_unavailable(&self) -> bool {
        let stuck = |p: &super::PendingCommit| self.now.since(p.started_at) > COMMIT_STUCK_MS;
        !self.closed_until.passed(self.now) || self.pending.as_ref().is_some_and(stuck)
    }

    /// Returns after how long to retry, in milliseconds, if the work ahead of a submission would
    /// keep it waiting for too long.
    fn overload_retry_ms(&self, queue: &Queue, spec: &JobSpec) -> Option<u64> {
        if spec.rounds > 0 || spec.steps.iter().any(|s| s.endless) {
            return None;
        }
        let ahead = |j: &&Job| j.is_open() && j.record.queue.priority <= queue.priority;
        let work = self.jobs.values().filter(ahead).map(Job::remaining_work);
        let listed = self
            .workers
            .iter()
            .filter(|w| w.listed && !w.is_silent(self.now) && w.target.pool == queue.pool);
        let cores = listed.map(|w| w.target.capacity.weighted_cores());
        let objective = queue.objective_ms(spec.critical_path_ms());
        retry_after_ms(&Backlog {
            work: work.fold(0, u64::saturating_add),
            cores: cores.fold(0, u64::saturating_add),
            useful_ms: objective.saturating_mul(LATE_FACTOR),
        })
    }

    pub(super) fn add_job(&mut self, mut job: Job) -> JobKey {
        self.last_job += 1;
        let key = JobKey(self.last_job);
        // The record of an earlier job with the id is overwritten instead.
        let id = job.record.id;
        let old = self.deletes.extract_if(.., |k| k.job == id);
        job.keep_parts(old.map(|k| k.part).filter(|part| *part > 0));
        self.job_ids.insert(job.record.id, key);
        self.jobs.insert(key, job);
        key
    }

    /// Adds a job from its record in the store.
    pub(super) fn load_record(&mut self, record: Record, inherited: bool) {
        if self.job_ids.contains_key(&record.id) {
            return;
        }
        let mut job = self.stored_job(record, inherited);
        job.durable_changes = job.changes;
        let key = self.add_job(job);
        self.inherit_lost_runs(key);
    }

    /// Returns a job whose acceptance is durable.
    fn stored_job(&self, record: Record, inherited: bool) -> Job {
        let age = self.wall_ms.saturating_sub(record.accepted_at);
        let state = record.state;
        let mut job = Job::new(record, UnixMs(self.now.0.saturating_sub(age)), inherited);
        job.durable_state = Some(state);
        job
    }

    /// Cancels a job; the reply waits for the commit of its record.
    fn cancel(&mut self, call_id: CallId, id: JobId) -> Option<Reply> {
        let Some((key, job)) = self.job_mut(id) else {
            return Some(Reply::Unknown);
        };
        match job.durable_state {
            None => {
                // The caller must not see the cancel before the acceptance.
                job.cancel_calls.push(call_id);
                job.record.state = State::Cancelled;
            }
            Some(State::Open) => {
                job.cancel_calls.push(call_id);
                if job.record.state == State::Open {
                    job.record.state = State::Cancelled;
                }
            }
            Some(_) => return Some(Reply::Cancelled),
        }
        let wall_ms = self.wall_ms;
        if let Some(job) = self.jobs.get_mut(&key)
            && job.record.ended_at == 0
        {
            job.record.ended_at = wall_ms;
            job.changes += 1;
        }
        self.dirty_jobs.insert(key);
        None
    }

    fn status(&mut self, id: JobId) -> Reply {
        let status = self.job_mut(id).and_then(|(_, job)| job.status());
        status.map_or(Reply::Unknown, Reply::State)
    }

    /// Returns how many jobs of a queue wait for their first task to start.
    fn count_waiting(&self, queue: &str) -> u64 {
        let waits = |j: &&Job| j.is_active() && !j.started && j.record.queue.name == queue;
        u64::try_from(self.jobs.values().filter(waits).count()).unwrap_or(u64::MAX)
    }

    /// Applies the requests that other daemons stored while they couldn't reach the owner.
    pub(super) fn apply_inbox(&mut self, mut items: Vec<InboxItem>, out: &mut Vec<Action>) {
        // A cancel may be listed before its submission. A list of refused jobs comes after all
        // submissions that were written before it.
        items.sort_by_key(|i| !matches!(i.body, InboxBody::Submit(_)));
        for item in items {
            if self.handled.contains(&item.key) {
                continue;
            }
            match item.body {
                InboxBody::Refused(list) => {
                    self.apply_refused_jobs(&list, out);
                    continue;
                }
                InboxBody::Submit(record) => {
                    let id = record.id;
                    if !self.job_ids.contains_key(&id) {
                        log::info!(job = id.as_str(), term = self.term, unanswered = self.count_unknown(); "submission taken from the inbox");
                        // An earlier owner of an older release may have started the job without
                        // moving it out of the inbox.
                        let job = self.stored_job(*record, self.term > 1);
                        let key = self.add_job(job);
                        self.dirty_jobs.insert(key);
                    } else {
                        self.merge_inbox_submission(id);
                    }
                }
                InboxBody::Cancel(id) => {
                    log::info!(job = id.as_str(); "cancel taken from the inbox");
                    let wall_ms = self.wall_ms;
                    if !self.job_ids.contains_key(&id) {
                        log::warn!(job = id.as_str(); "cancel in the inbox ignored: unknown job");
                        continue;
                    }
                    if let Some((key, job)) = self.job_mut(id)
                        && job.is_open()
                    {
                        job.record.state = State::Cancelled;
                        job.record.ended_at = wall_ms;
                        job.changes += 1;
                        self.dirty_jobs.insert(key);
                    }
                }
            }
            self.handled.insert(item.key);
        }
        self.replan = true;
    }

    /// Takes note that a job which has been submitted here is in the inbox too.
    fn merge_inbox_submission(&mut self, id: JobId) {
        let succeeds = self.term > 1;
        let Some((_, job)) = self.job_mut(id) else {
            return;
        };
        // An earlier owner may have started the job from the inbox.
        job.inherited |= succeeds && !job.started;
        if job.durable_state.is_none() {
            // A submission of the job also waits for a commit here. The entry is durable and is deleted
            // only with the commit of the record, so the job stays even if that submission is refused.
            log::info!(job = id.as_str(); "submission under way is in the inbox too");
            job.durable_state = Some(State::Open);
        }
    }

    /// Deletes the records of jobs that ended long enough ago, and makes the periodic checks due.
    pub(super) fn tick(&mut self) {
        let (wall_ms, retention_ms) = (self.wall_ms, self.bounds.retention_ms);
        let expired = |j: &Job| {
            !j.is_open()
                && j.durable_changes == j.changes
                && wall_ms.saturating_sub(j.record.ended_at) > retention_ms
        };
        let old: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, j)| expired(j))
            .map(|(k, _)| *k)
            .collect();
        for key in old {
            if self.is_running(key) {
                continue;
            }
            self.advice.retain(|step_key, _| step_key.job != key);
            if let Some(job) = self.jobs.remove(&key) {
                log::info!(job = job.record.id.as_str(), term = self.term, ended_ms = wall_ms.saturating_sub(job.record.ended_at); "record of an ended job is deleted");
                self.job_ids.remove(&job.record.id);
                self.deletes.extend(job.record_keys());
            }
        }
        self.forget_silent_runs();
        self.log_expired_waits();
        self.check_listed_leases();
        self.check_departures();
        self.runs_due = true;
        self.replan |= self.plan_after.after(PLAN_LIMIT_MS).passed(self.now);
    }

    /// Returns whether a run of a job is, or may be, on a worker.
    fn is_running(&self, key: JobKey) -> bool {
        self.workers
            .iter()
            .any(|w| w.runs.values().any(|r| r.job == key))
    }
}
