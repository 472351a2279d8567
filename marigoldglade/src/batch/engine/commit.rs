//! Group commits: one at a time, and what waits for each.

use crate::batch::engine::{Action, Batch, CommitOutcome, Engine, JobKey, WorkerKey};
use crate::batch::record::State;
use crate::batch::talk::Reply;
use crate::time::UnixMs;

/// The records of one commit at most; source: the store takes 32 entries a transaction, of which
/// the condition and the commit number take two, and the list of workers one.
const RECORD_LIMIT: usize = 28;
/// The bytes of records in one commit at most; source: a fraction of the store's largest value, so
/// that a commit stays quick.
const BYTE_LIMIT: usize = 512 << 10;
/// The time between the starts of two commits at least, in milliseconds; source: bounds the
/// owner's share of the store's writes.
const COMMIT_GAP_MS: u64 = 20;
/// How long submissions are turned away after the store refused a commit, in milliseconds.
const CLOSED_MS: u64 = 500;

/// A commit under way.
pub(super) struct Flight {
    pub number: u64,
    pub since: UnixMs,
    /// The changes of each job that it covers.
    jobs: Vec<(JobKey, u64, State)>,
    /// The ends of each worker that it covers, by the worker's life.
    ends: Vec<(WorkerKey, u64, u64)>,
    handled: Vec<String>,
    deletes: Vec<crate::batch::id::JobId>,
    /// The workers on the list it writes, by life.
    workers: Vec<(WorkerKey, u64)>,
}

impl Engine {
    /// Returns whether anything waits to become durable.
    pub(super) fn has_changes(&self) -> bool {
        self.workers_dirty
            || !self.dirty.is_empty()
            || !self.deletes.is_empty()
            || !self.handled.is_empty()
            || self.workers.iter().any(|w| w.seen > w.acked)
    }

    /// Starts a commit when one is due.
    pub(super) fn commit(&mut self, out: &mut Vec<Action>) {
        if self.flight.is_some() || !self.commit_after.passed(self.now) || !self.has_changes() {
            return;
        }
        self.commits += 1;
        let mut batch = Batch {
            number: self.commits,
            ..Batch::default()
        };
        let mut flight = Flight {
            number: self.commits,
            since: self.now,
            jobs: Vec::new(),
            ends: Vec::new(),
            handled: Vec::new(),
            deletes: Vec::new(),
            workers: Vec::new(),
        };
        let mut bytes = 0;
        let mut whole = true;
        for key in &self.dirty {
            if batch.puts.len() >= RECORD_LIMIT || bytes >= BYTE_LIMIT {
                whole = false;
                break;
            }
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            let record = job.to_record();
            bytes += record.spec.text.len() + 64 * record.tasks.len();
            flight.jobs.push((*key, job.changed, record.state));
            batch.puts.push(record);
        }
        // Ends count as covered only when every record that they changed is written.
        if whole {
            for key in self.worker_keys() {
                let worker = self.worker(key);
                if worker.seen > worker.acked {
                    flight.ends.push((key, worker.target.born, worker.seen));
                }
            }
        }
        let room = RECORD_LIMIT - batch.puts.len();
        batch.handled = self
            .handled
            .iter()
            .take(if whole { room } else { 0 })
            .cloned()
            .collect();
        flight.handled.clone_from(&batch.handled);
        let room = room.saturating_sub(batch.handled.len());
        batch.deletes = self.deletes.iter().take(room).copied().collect();
        flight.deletes.clone_from(&batch.deletes);
        if self.workers_dirty {
            self.workers_dirty = false;
            let keep =
                |w: &super::Worker| w.listed || !w.runs.is_empty() || !w.doubt_end.passed(self.now);
            let kept = self.worker_keys().filter(|k| keep(self.worker(*k)));
            flight.workers = kept.map(|k| (k, self.worker(k).target.born)).collect();
            let targets = flight
                .workers
                .iter()
                .map(|(k, _)| (*self.worker(*k).target).clone());
            batch.workers = Some(targets.collect());
        }
        let nothing_to_write = batch.puts.is_empty()
            && batch.handled.is_empty()
            && batch.deletes.is_empty()
            && batch.workers.is_none();
        self.commit_after = self.now.after(COMMIT_GAP_MS);
        self.flight = Some(flight);
        if nothing_to_write {
            // Only ends without effect on any record: there is nothing to make durable.
            let number = self.commits;
            self.stored(number, CommitOutcome::Committed, out);
            return;
        }
        out.push(Action::Commit(batch));
    }

    /// Takes the outcome of a commit.
    pub(super) fn stored(&mut self, number: u64, stored: CommitOutcome, out: &mut Vec<Action>) {
        let Some(flight) = self.flight.take_if(|f| f.number == number) else {
            return;
        };
        match stored {
            CommitOutcome::Committed => self.committed(&flight, out),
            CommitOutcome::NotCommitted => self.not_committed(&flight, out),
            CommitOutcome::Fenced => {
                log::warn!(term = self.term; "a newer owner has written to the store");
                out.push(Action::StepDown);
            }
        }
    }

    fn committed(&mut self, flight: &Flight, out: &mut Vec<Action>) {
        let mut over = Vec::new();
        for (key, changed, state) in &flight.jobs {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if *state != State::Open {
                over.push(*key);
            }
            if job.durable.is_none() {
                self.counts.accepted += 1;
                log::info!(
                    job = job.record.id.as_str(),
                    queue = job.record.queue.name.as_str(),
                    workspace = job.record.workspace.as_str(),
                    commit = flight.number,
                    waited_ms = self.now.since(job.since);
                    "job accepted"
                );
            }
            if job.durable != Some(*state) && *state != State::Open {
                let name: &'static str = (*state).into();
                log::info!(job = job.record.id.as_str(), state = name, commit = flight.number, age_ms = self.now.since(job.since); "job ended");
            }
            job.saved = *changed;
            job.durable = Some(*state);
            for ticket in job.submits.drain(..) {
                out.push(Action::Reply(ticket, Reply::Accepted));
            }
            if *state != State::Open {
                for ticket in job.cancels.drain(..) {
                    out.push(Action::Reply(ticket, Reply::Cancelled));
                }
            }
            if job.saved == job.changed {
                self.dirty.remove(key);
            }
        }
        for key in over {
            self.stop_job(key);
        }
        for (key, born, seen) in &flight.ends {
            let now = self.now;
            let worker = self.worker_mut(*key);
            if worker.target.born == *born {
                worker.acked = worker.acked.max(*seen);
                worker.hold_after = worker.hold_after.min(now);
            }
        }
        for key in &flight.handled {
            self.handled.remove(key);
        }
        self.deletes.retain(|id| !flight.deletes.contains(id));
        for (key, born) in &flight.workers {
            let worker = self.worker_mut(*key);
            worker.recorded = worker.target.born == *born;
        }
        self.replan = true;
    }

    /// Takes back acceptances that have no effect, and tries the rest again later.
    fn not_committed(&mut self, flight: &Flight, out: &mut Vec<Action>) {
        log::warn!(commit = flight.number, term = self.term; "the store refused a commit");
        self.closed_until = self.now.after(CLOSED_MS);
        self.commit_after = self.now.after(CLOSED_MS / 4);
        self.workers_dirty |= !flight.workers.is_empty();
        for (key, ..) in &flight.jobs {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if job.durable.is_some() {
                continue;
            }
            for ticket in job.submits.drain(..).chain(job.cancels.drain(..)) {
                out.push(Action::Reply(ticket, Reply::NotOwner));
            }
            self.ids.remove(&job.record.id);
            self.dirty.remove(key);
            self.jobs.remove(key);
        }
    }
}
