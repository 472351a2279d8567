//! The ends of starts, and the one terminal record of each job.

use crate::api::State;
use crate::gang::{self, Cause, Outcome};
use crate::plan::{self, JobKey, Reason};
use crate::record::RESULT_LIMIT_BYTES;
use crate::time::UnixMs;
use crate::writer::WriteKind;

use super::{Action, FAILURES_LIMIT, Owner, Stage};

impl Owner {
    pub(super) fn handle_gang_end(
        &mut self,
        now: UnixMs,
        key: JobKey,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        match outcome {
            Outcome::Done(result) => self.finish_done(now, key, result, out),
            Outcome::NotRun(cause) => self.handle_not_run(now, key, cause, out),
            Outcome::Interrupted(cause) => self.handle_interrupted(now, key, cause, out),
        }
    }

    fn finish_done(&mut self, now: UnixMs, key: JobKey, result: String, out: &mut Vec<Action>) {
        let vms = self.job(key).record.vms.clone();
        for vm in vms {
            out.push(Action::Plan(plan::Event::TaskDone(key, vm)));
        }
        self.finish(now, key, State::Done, Reason::Done, out);
        let mut result = result;
        let cut = result.floor_char_boundary(RESULT_LIMIT_BYTES);
        result.truncate(cut);
        if let Some(last) = &mut self.job(key).final_record {
            last.result = result;
        }
        self.write_end(key);
    }

    /// Handles a start of which no body ran: even a job that may run only once waits again.
    fn handle_not_run(&mut self, now: UnixMs, key: JobKey, cause: Cause, out: &mut Vec<Action>) {
        if self.end_if_unwanted(now, key, out) {
            return;
        }
        let recorded = self.job(key).start_mark > 0;
        match cause {
            Cause::Lost(vm) | Cause::Failed(vm) if !self.job(key).recovering => {
                self.add_reason(now, key, Reason::StartFailed(vm.clone()));
                self.back_to_waiting(key, recorded);
                out.push(Action::Plan(plan::Event::StartFailed(key, vm)));
            }
            _ => {
                self.back_to_waiting(key, recorded);
                self.enqueue(key, out);
            }
        }
    }

    /// Handles a start of which bodies may have run. An idempotent job waits again, unless it
    /// failed too often; any other job ends.
    fn handle_interrupted(
        &mut self,
        now: UnixMs,
        key: JobKey,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        if let Cause::Failed(vm) = &cause {
            self.job(key).record.failures += 1;
            out.push(Action::Plan(plan::Event::TaskFailed(key, vm.clone())));
        }
        if self.end_if_unwanted(now, key, out) {
            return;
        }
        let record = &self.job(key).record;
        let again = record.spec.idempotent && record.failures < FAILURES_LIMIT;
        let (state, reason) = match cause {
            Cause::Failed(vm) => (State::Failed, Some(Reason::TaskFailed(vm))),
            Cause::Lost(vm) => (State::Unknown, Some(Reason::WorkerLost(vm))),
            Cause::Requested => (State::Unknown, None),
        };
        if let Some(reason) = reason {
            self.add_reason(now, key, reason);
        }
        if again {
            self.forget_tasks(key);
            self.back_to_waiting(key, true);
            return self.enqueue(key, out);
        }
        if state == State::Unknown {
            return self.finish_and_write(now, key, state, Reason::Unknown, out);
        }
        self.finish_as_recorded(key, state, out);
    }

    /// Ends a job that was cancelled or is past its deadline; returns whether it was. None of its
    /// tasks may run.
    fn end_if_unwanted(&mut self, now: UnixMs, key: JobKey, out: &mut Vec<Action>) -> bool {
        let record = &self.job(key).record;
        if record.cancel_requested {
            self.finish_and_write(now, key, State::Cancelled, Reason::Cancelled, out);
            return true;
        }
        if record.spec.deadline.passed(now) {
            self.finish_and_write(now, key, State::Expired, Reason::Expired, out);
            return true;
        }
        false
    }

    fn back_to_waiting(&mut self, key: JobKey, recorded: bool) {
        let job = self.job(key);
        job.stage = Stage::Waiting;
        job.gang = None;
        job.recovering = false;
        job.start_mark = 0;
        job.record.state = State::Waiting;
        if recorded {
            self.queue_write(key, WriteKind::Change);
        }
    }

    pub(super) fn expire(&mut self, now: UnixMs, key: JobKey, out: &mut Vec<Action>) {
        self.finish_and_write(now, key, State::Expired, Reason::Expired, out);
    }

    pub(super) fn finish_and_write(
        &mut self,
        now: UnixMs,
        key: JobKey,
        state: State,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        self.finish(now, key, state, reason, out);
        self.write_end(key);
    }

    /// Ends a job whose reason was added to its record before.
    fn finish_as_recorded(&mut self, key: JobKey, state: State, out: &mut Vec<Action>) {
        self.set_final_record(key, state, out);
        self.write_end(key);
    }

    /// Sets the terminal record with its reason. Callers see it once it is durable.
    fn finish(
        &mut self,
        now: UnixMs,
        key: JobKey,
        state: State,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        self.set_final_record(key, state, out);
        let version = self.version();
        if let Some(last) = &mut self.job(key).final_record {
            last.note(now, version, reason);
        }
    }

    /// Sets the terminal record and removes the job from the planner.
    fn set_final_record(&mut self, key: JobKey, state: State, out: &mut Vec<Action>) {
        let job = self.job(key);
        let mut last = job.record.clone();
        last.state = state;
        job.final_record = Some(last);
        job.stage = Stage::Ending;
        out.push(Action::Plan(plan::Event::Ended(key)));
    }

    fn write_end(&mut self, key: JobKey) {
        let mark = self.queue_write(key, WriteKind::End);
        self.job(key).end_mark = mark;
    }

    /// Handles that all writes of a job up to a number are durable.
    pub(super) fn handle_durable(
        &mut self,
        now: UnixMs,
        key: JobKey,
        mark: u64,
        out: &mut Vec<Action>,
    ) {
        let job = self.job(key);
        if job.stage == Stage::Accepting {
            self.handle_accepted(now, key, out);
        } else if job.stage == Stage::Ending && mark >= job.end_mark {
            self.handle_ended(key, out);
        } else if job.start_mark > 0 && mark >= job.start_mark {
            self.step_gang(now, key, gang::Event::Recorded, out);
        }
        self.acknowledge(key, mark, out);
    }

    fn handle_accepted(&mut self, now: UnixMs, key: JobKey, out: &mut Vec<Action>) {
        let job = self.job(key);
        job.stage = Stage::Waiting;
        if !job.acks.is_empty() {
            // The first request is the submit that created the job.
            let (ticket, _) = job.acks.remove(0);
            out.push(Action::Accepted(ticket, job.view()));
        }
        if job.record.cancel_requested {
            return self.finish_and_write(now, key, State::Cancelled, Reason::Cancelled, out);
        }
        self.enqueue(key, out);
    }

    fn handle_ended(&mut self, key: JobKey, out: &mut Vec<Action>) {
        self.forget_tasks(key);
        let job = self.job(key);
        job.stage = Stage::Ended;
        job.gang = None;
        if let Some(last) = job.final_record.take() {
            job.record = last;
        }
        let view = job.view();
        out.push(Action::JobEnded(view.state));
        for (ticket, _) in std::mem::take(&mut job.waiters) {
            out.push(Action::Answer(ticket, Ok(view.clone())));
        }
        self.live.remove(&key);
    }

    /// Answers the requests that wait for the writes up to this number.
    fn acknowledge(&mut self, key: JobKey, mark: u64, out: &mut Vec<Action>) {
        let job = self.job(key);
        let view = job.view();
        job.acks.retain(|(ticket, wanted)| {
            let due = *wanted <= mark;
            if due {
                out.push(Action::Answer(*ticket, Ok(view.clone())));
            }
            !due
        });
    }

    /// Orders the workers to forget the tasks of the job's last start.
    fn forget_tasks(&mut self, key: JobKey) {
        let orders: Vec<_> = match &self.job(key).gang {
            Some(gang) => gang.forget_orders().collect(),
            None => Vec::new(),
        };
        for (vm, order) in orders {
            self.send(&vm, order);
        }
    }
}
