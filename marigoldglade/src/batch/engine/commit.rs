//! Group commits, one at a time, and the replies and acknowledgements that wait for each.

use std::collections::HashSet;

use crate::batch::commit_order::{self, Change, Reason};
use crate::batch::engine::acks::CommitMark;
use crate::batch::engine::{Action, Batch, CommitOutcome, Engine, JobKey, WorkerKey};
use crate::batch::messages::Reply;
use crate::batch::record::{RecordKey, State};
use crate::time::UnixMs;

/// The size at which a commit takes no further records, in bytes: a fraction of the store's largest
/// value, so that a commit stays quick.
const BYTE_LIMIT: usize = 512 << 10;
/// The minimum time between the starts of two commits, in milliseconds; it bounds the owner's share
/// of the store's writes.
const COMMIT_GAP_MS: u64 = 20;
/// How long a record that the store can't take isn't written again, in milliseconds.
const REFUSED_MS: u64 = 5_000;
/// How long commits have one record each after the store refused one for its content, in milliseconds: time
/// for all the jobs of that commit.
const SINGLE_MS: u64 = 5_000;
/// How long submissions get [`Reply::NotOwner`] after the store refused a commit, in milliseconds.
const CLOSED_MS: u64 = 500;

/// A commit under way.
pub(super) struct PendingCommit {
    pub number: u64,
    pub started_at: UnixMs,
    /// The jobs whose records it writes, with the number of changes and the state that it makes
    /// durable.
    jobs: Vec<(JobKey, u64, State)>,
    /// The further values of these records that it writes: their numbers and digests.
    parts: Vec<(JobKey, u32, u64)>,
    /// The workers whose completions it makes durable: the start time of the worker's process, and
    /// how far.
    completions: Vec<(WorkerKey, u64, CommitMark)>,
    handled: Vec<String>,
    deletes: Vec<RecordKey>,
    /// The workers on the list that it writes, with the start times of their processes; `None` if it
    /// writes no list.
    workers: Option<Vec<(WorkerKey, u64)>>,
}

impl Engine {
    /// Returns whether there are changes that aren't durable.
    pub(super) fn has_changes(&self) -> bool {
        self.workers_dirty
            || !self.dirty_jobs.is_empty()
            || !self.deletes.is_empty()
            || !self.handled.is_empty()
            || self.refusals.has_new()
            || self.workers.iter().any(|w| w.acks.is_pending())
    }

    /// Returns why the record of a job is to be written.
    fn change(&self, key: JobKey) -> Option<Change> {
        let job = self.jobs.get(&key)?;
        let may_be_gone = |(worker, started_at): &(WorkerKey, u64)| {
            let worker = self.worker(*worker);
            worker.target.started_at != *started_at || worker.may_be_gone()
        };
        let reason = if job.reporters.iter().any(may_be_gone) {
            Reason::OnlyCopy
        } else if !job.submit_calls.is_empty() || !job.cancel_calls.is_empty() || !job.is_recorded()
        {
            Reason::Caller
        } else if job.is_open() {
            Reason::Progress
        } else {
            Reason::End
        };
        Some(Change {
            reason,
            priority: job.record.queue.priority,
            job: key,
        })
    }

    /// Starts a commit when one is due.
    pub(super) fn start_commit(&mut self, out: &mut Vec<Action>) {
        if self.pending.is_some() || !self.commit_after.passed(self.now) || !self.has_changes() {
            return;
        }
        self.last_commit += 1;
        let mut batch = Batch {
            number: self.last_commit,
            ..Batch::default()
        };
        let mut pending = PendingCommit {
            number: self.last_commit,
            started_at: self.now,
            jobs: Vec::new(),
            parts: Vec::new(),
            completions: Vec::new(),
            handled: Vec::new(),
            deletes: Vec::new(),
            workers: None,
        };
        batch.refused = self.announce_refusals(self.last_commit);
        let learned = usize::from(self.is_record_due());
        let entry_limit =
            self.bounds.commit_entries - usize::from(batch.refused.is_some()) - learned;
        let covers_all = self.add_records(entry_limit, &mut batch, &mut pending);
        // Completions become durable only once every record that they changed is written.
        if covers_all {
            let held = self.held_completions();
            for key in self.worker_keys() {
                let worker = self.worker(key);
                let started_at = worker.target.started_at;
                if let Some(mark) = worker.acks.mark()
                    && !held.contains(&(key, started_at))
                {
                    pending.completions.push((key, started_at, mark));
                }
            }
        }
        let entries = batch.puts.len() + batch.parts.len();
        let entries_left = entry_limit.saturating_sub(entries);
        batch.handled = self
            .handled
            .iter()
            .take(if covers_all { entries_left } else { 0 })
            .cloned()
            .collect();
        pending.handled.clone_from(&batch.handled);
        let entries_left = entries_left.saturating_sub(batch.handled.len());
        batch.deletes = self.deletes.iter().take(entries_left).copied().collect();
        pending.deletes.clone_from(&batch.deletes);
        if self.workers_dirty {
            self.workers_dirty = false;
            let (now, confirmed_at) = (self.now, self.confirmed_at);
            let kept: Vec<(WorkerKey, u64)> = self
                .worker_keys()
                .filter(|k| self.worker(*k).concerns_successor(now, confirmed_at))
                .map(|k| (k, self.worker(k).target.started_at))
                .collect();
            // A worker that isn't on the list mustn't get work until a later list has it.
            for key in self.worker_keys() {
                let worker = self.worker_mut(key);
                worker.recorded &= worker.concerns_successor(now, confirmed_at);
                worker.listed_long = worker.has_long_leases(now);
            }
            let targets = kept.iter().map(|(k, _)| {
                let worker = self.worker(*k);
                let mut target = (*worker.target).clone();
                target.long_leases = worker.listed_long;
                target
            });
            batch.workers = Some(targets.collect());
            pending.workers = Some(kept);
        }
        let nothing_to_write = batch.puts.is_empty()
            && batch.handled.is_empty()
            && batch.deletes.is_empty()
            && batch.workers.is_none()
            && batch.refused.is_none();
        self.commit_after = self.now.after(COMMIT_GAP_MS);
        self.pending = Some(pending);
        if nothing_to_write {
            // The only changes are completions that affect no record.
            let number = self.last_commit;
            self.finish_commit(number, CommitOutcome::Committed, out);
            return;
        }
        batch.learned = self.take_learned();
        out.push(Action::Commit(batch));
    }

    /// Adds the records of the jobs with changes to a commit, as far as they fit. Returns whether the commit covers
    /// all changes, but for those of records that the store can't take.
    fn add_records(
        &mut self,
        entry_limit: usize,
        batch: &mut Batch,
        pending: &mut PendingCommit,
    ) -> bool {
        let now = self.now;
        let writable = |key: &&JobKey| {
            let job = self.jobs.get(key);
            job.is_some_and(|j| j.refused_until.passed(now))
        };
        let dirty = self.dirty_jobs.iter().filter(writable);
        let changes: Vec<Change> = dirty.filter_map(|k| self.change(*k)).collect();
        let single = !self.single_until.passed(now);
        let job_limit = if single {
            entry_limit.min(1)
        } else {
            entry_limit
        };
        let count = changes.len();
        let mut covers_all = count <= job_limit;
        let first = self.deferred.take();
        let first = first.filter(|key| changes.iter().any(|c| c.job == *key));
        let selected = commit_order::select(changes, job_limit);
        let others = selected.into_iter().filter(|key| Some(*key) != first);
        let mut bytes = 0;
        let mut entries = 0;
        for key in first.into_iter().chain(others).take(job_limit) {
            if bytes >= BYTE_LIMIT {
                covers_all = false;
                break;
            }
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            let values = match job.to_values(now) {
                Ok(values) => values,
                Err(size) => {
                    log::error!(job = job.record.id.as_str(), term = self.term, size; "a job's record is too large for the store; its changes aren't recorded");
                    job.refused_until = now.after(REFUSED_MS);
                    continue;
                }
            };
            let more = 1 + values.parts.len();
            let alone = job.is_suspect;
            if entries > 0 && (alone || entries + more > entry_limit) {
                self.deferred = Some(key);
                covers_all = false;
                break;
            }
            entries += more;
            bytes += values.bytes;
            pending.jobs.push((key, job.changes, values.record.state));
            let parts = values.digests.into_iter();
            pending
                .parts
                .extend(parts.map(|(part, digest)| (key, part, digest)));
            batch.puts.push(values.record);
            batch.parts.extend(values.parts);
            if alone {
                covers_all &= count == 1;
                break;
            }
        }
        covers_all
    }

    /// Returns the processes of workers whose completions have changed records that the store can't take: they
    /// aren't durable.
    fn held_completions(&self) -> HashSet<(WorkerKey, u64)> {
        let dirty = self.dirty_jobs.iter().filter_map(|key| self.jobs.get(key));
        let refused = dirty.filter(|j| !j.refused_until.passed(self.now));
        refused.flat_map(|j| j.reporters.iter().copied()).collect()
    }

    /// Processes the outcome of a commit.
    pub(super) fn finish_commit(
        &mut self,
        number: u64,
        outcome: CommitOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.take_if(|p| p.number == number) else {
            return;
        };
        match outcome {
            CommitOutcome::Committed => self.apply_commit(&pending, out),
            CommitOutcome::NotCommitted => self.handle_failed_commit(&pending, out),
            CommitOutcome::Invalid => self.set_aside(&pending, out),
            CommitOutcome::Fenced => {
                log::warn!(term = self.term; "a newer owner has written to the store");
                out.push(Action::StepDown);
            }
        }
    }

    /// Marks the changes of a commit as durable, and sends the replies that waited for it.
    fn apply_commit(&mut self, pending: &PendingCommit, out: &mut Vec<Action>) {
        let mut ended = Vec::new();
        for (key, changes, state) in &pending.jobs {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if *state != State::Open {
                ended.push(*key);
            }
            if job.durable_state.is_none() {
                self.counts.accepted += 1;
                log::info!(
                    job = job.record.id.as_str(),
                    term = self.term,
                    commit = pending.number,
                    queue = job.record.queue.name.as_str(),
                    workspace = job.record.workspace.as_str(),
                    waited_ms = self.now.since(job.accepted_at);
                    "job accepted"
                );
            } else if !job.is_recorded() {
                log::info!(job = job.record.id.as_str(), term = self.term, commit = pending.number; "submission from the inbox recorded");
            }
            if job.durable_state != Some(*state) && *state != State::Open {
                let name: &'static str = (*state).into();
                log::info!(job = job.record.id.as_str(), state = name, commit = pending.number, age_ms = self.now.since(job.accepted_at); "job ended");
            }
            job.durable_changes = *changes;
            job.is_suspect = false;
            job.durable_state = Some(*state);
            for call_id in job.submit_calls.drain(..) {
                out.push(Action::Reply(call_id, Reply::Accepted));
            }
            if *state != State::Open {
                for call_id in job.cancel_calls.drain(..) {
                    out.push(Action::Reply(call_id, Reply::Cancelled));
                }
            }
            let parts = pending.parts.iter().filter(|(owner, ..)| owner == key);
            job.part_digests
                .extend(parts.map(|(_, part, digest)| (*part, *digest)));
            if job.durable_changes == job.changes {
                self.dirty_jobs.remove(key);
                job.reporters.clear();
            }
        }
        for key in ended {
            self.stop_job(key);
        }
        for (key, started_at, mark) in &pending.completions {
            let (now, confirmed_at) = (self.now, self.confirmed_at);
            let worker = self.worker_mut(*key);
            if worker.target.started_at == *started_at {
                worker.acks.settle(*mark);
                worker.renewal_after = worker.renewal_after.min(now);
            }
            let leaves = !worker.concerns_successor(now, confirmed_at);
            self.workers_dirty |= leaves;
        }
        for key in &pending.handled {
            self.handled.remove(key);
        }
        self.deletes.retain(|id| !pending.deletes.contains(id));
        for (key, started_at) in pending.workers.iter().flatten() {
            let worker = self.worker_mut(*key);
            worker.recorded = worker.target.started_at == *started_at;
        }
        self.replan = true;
    }

    /// Refuses the submissions that wait behind a commit which the store leaves without an answer:
    /// they certainly aren't stored, and their callers needn't wait for the outcome.
    pub(super) fn refuse_unsent(&mut self, out: &mut Vec<Action>) {
        if !self.store_unavailable() {
            return;
        }
        let sent: Vec<JobKey> = self
            .pending
            .iter()
            .flat_map(|p| p.jobs.iter().map(|(key, ..)| *key))
            .collect();
        let unsent = |key: &JobKey| {
            let job = self.jobs.get(key);
            job.is_some_and(|j| j.durable_state.is_none()) && !sent.contains(key)
        };
        let keys: Vec<JobKey> = self.dirty_jobs.iter().copied().filter(unsent).collect();
        for key in keys {
            self.refuse_unstored(key, "commit-unanswered", out);
        }
    }

    /// Removes a job whose acceptance isn't stored and can't be any more, and tells its callers.
    fn refuse_unstored(&mut self, key: JobKey, why: &str, out: &mut Vec<Action>) {
        let Some(mut job) = self.jobs.remove(&key) else {
            return;
        };
        log::info!(job = job.record.id.as_str(), why, term = self.term, calls = job.submit_calls.len(); "submission not recorded");
        for call_id in job.submit_calls.drain(..).chain(job.cancel_calls.drain(..)) {
            out.push(Action::Reply(call_id, Reply::NotOwner));
        }
        self.job_ids.remove(&job.record.id);
        self.dirty_jobs.remove(&key);
    }

    /// Finds the record that the store refuses for its content, so that it holds back no other change.
    fn set_aside(&mut self, pending: &PendingCommit, out: &mut Vec<Action>) {
        let (now, term) = (self.now, self.term);
        log::error!(commit = pending.number, term, records = pending.jobs.len(); "the store refuses a commit for its content");
        let [(key, ..)] = pending.jobs.as_slice() else {
            if pending.jobs.is_empty() {
                return self.handle_failed_commit(pending, out);
            }
            self.single_until = now.after(SINGLE_MS);
            self.repeat_lists(pending);
            return;
        };
        self.repeat_lists(pending);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.durable_state.is_none() {
            return self.refuse_unstored(*key, "record-refused", out);
        }
        log::error!(job = job.record.id.as_str(), term; "the store refuses a job's record; its changes aren't recorded");
        (job.is_suspect, job.refused_until) = (true, now.after(REFUSED_MS));
    }

    /// Has the lists that a failed commit would have written be written again.
    fn repeat_lists(&mut self, pending: &PendingCommit) {
        self.workers_dirty |= pending.workers.is_some();
        self.withdraw_announcement(pending.number);
    }

    /// Removes the jobs whose acceptance failed; the other changes go into the next commit.
    fn handle_failed_commit(&mut self, pending: &PendingCommit, out: &mut Vec<Action>) {
        log::warn!(commit = pending.number, term = self.term; "the store refused a commit");
        self.closed_until = self.now.after(CLOSED_MS);
        self.commit_after = self.now.after(CLOSED_MS / 4);
        self.repeat_lists(pending);
        for (key, ..) in &pending.jobs {
            let unstored = |j: &super::job::Job| j.durable_state.is_none();
            if self.jobs.get(key).is_some_and(unstored) {
                self.refuse_unstored(*key, "commit-refused", out);
            }
        }
    }
}
