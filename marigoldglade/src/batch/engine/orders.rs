//! Responses to starts and stops.

use std::sync::Arc;

use crate::batch::engine::gone::Gone;
use crate::batch::engine::runs::{LostStart, Stage, UnwantedRun};
use crate::batch::engine::{Engine, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::worker::{OrderResponse, Refusal, Start, Stop};

/// How long a worker gets no work after it refused a start as full or didn't respond to any send of
/// it, in milliseconds.
const FULL_PAUSE_MS: u64 = 300;
/// How long a worker gets no work after it refused a start as unhealthy or refused a renewal, and how
/// long a task waits after its start was refused as invalid or for its ticket, in milliseconds.
pub(super) const UNHEALTHY_PAUSE_MS: u64 = 1_000;
/// How often a start is sent before it is given up; all sends fit into the time that a gang waits
/// for its members.
const START_SEND_LIMIT: u32 = 3;
/// How long a start that got no response isn't sent again, while a report is asked for that may list its run, in
/// milliseconds.
const REPORT_LIMIT_MS: u64 = 250;
/// How late an order that got no response may be carried out, in milliseconds: the platform delays
/// such orders by 2 to 12 seconds.
pub(super) const LATE_ORDER_MS: u64 = 13_000;
/// How long a start that got no response is remembered, in milliseconds: when a silent path recovers, a proxy
/// on it or the worker's host may still deliver what had left this host before.
pub(super) const LOST_START_MS: u64 = 120_000;

impl Engine {
    /// Processes the response to a start, or its loss.
    pub(super) fn handle_start_response(
        &mut self,
        key: WorkerKey,
        start: &Start,
        response: &OrderResponse,
    ) {
        let now = self.now;
        self.runs_due |= !matches!(response, OrderResponse::Accepted(_));
        self.settle_start(key, start, response);
        self.record_clock(key, response.clock());
        if matches!(response, OrderResponse::Lost) {
            let charge = self.charge(&start.task);
            let worker = self.worker_mut(key);
            worker.note_lost_send(now, start);
            let lost = LostStart {
                task: start.task,
                run: start.run,
                resources: charge.unwrap_or(worker.target.capacity),
                late_until: now.after(LATE_ORDER_MS),
                expires_at: now.after(LOST_START_MS),
                stopped_at: None,
            };
            let other = |s: &LostStart| (s.task, s.run) != (start.task, start.run);
            worker.lost_starts.retain(other);
            worker.lost_starts.push(lost);
            let run = worker.runs.get(&start.task).filter(|r| r.run == start.run);
            // The present process doesn't know of a start that was meant for an earlier one.
            let stale = run.is_none_or(|r| r.sent_to < worker.target.started_at);
            if stale && worker.stale_starts.iter().all(other) {
                worker.stale_starts.push(lost);
            }
        }
        let worker = self.worker_mut(key);
        let target = Arc::clone(&worker.target);
        let awaits_report = !worker.answered;
        let Some(run) = worker
            .runs
            .get_mut(&start.task)
            .filter(|r| r.run == start.run)
        else {
            if matches!(response, OrderResponse::Accepted(_)) {
                self.keep_given_up(key, start);
            }
            return;
        };
        let restarted = awaits_report || run.sent_to < target.started_at;
        match response {
            OrderResponse::Accepted(_) => {
                (run.confirmed_at, run.absent) = (now, false);
                if matches!(run.stage, Stage::Starting | Stage::Abandoned) {
                    run.stage = if run.stage == Stage::Abandoned {
                        Stage::Stopping
                    } else {
                        Stage::Running
                    };
                    run.sends = 0;
                    run.resend_at = now;
                    run.progress_at = now;
                    let job = run.job;
                    log::info!(
                        task:% = start.task, run = start.run, worker = target.name.as_str(),
                        took_ms = now.since(run.started_at);
                        "task started"
                    );
                    if restarted {
                        log::warn!(
                            task:% = start.task, run = start.run, worker = target.name.as_str(), clock = response.clock(),
                            deadline = start.deadline, sent_to = run.sent_to, started_at = target.started_at;
                            "start carried out by a later process of its worker"
                        );
                    }
                    if let Some(job) = self.jobs.get_mut(&job) {
                        job.started = true;
                    }
                    self.counts.starts += 1;
                }
            }
            OrderResponse::Refused(why, _) => {
                let stage = run.stage;
                let (why, refusal): (&'static str, Refusal) = (why.into(), *why);
                log::info!(
                    task:% = start.task, run = start.run, worker = target.name.as_str(), why = why;
                    "start refused"
                );
                match refusal {
                    Refusal::Late if stage == Stage::Starting && run.sends < START_SEND_LIMIT => {
                        run.resend_at = now;
                        return;
                    }
                    // The run was on the worker before: its completion is, or will be, reported.
                    Refusal::Superseded => {
                        run.stage = Stage::Abandoned;
                        run.cannot_start = true;
                        run.confirmed_at = now;
                        run.resend_at = now;
                        return;
                    }
                    // An earlier copy of this start may still arrive.
                    _ if run.sends > 1 => {
                        run.stage = Stage::Abandoned;
                        run.resend_at = now;
                    }
                    _ => {
                        self.remove_run(key, &start.task, Gone::Refused);
                    }
                }
                self.handle_refusal(key, &start.task, refusal);
            }
            // No other send of the start may be under way, so the run can't begin.
            OrderResponse::Unsent if run.stage == Stage::Starting && run.sends == 1 => {
                worker.paused_until = now.after(FULL_PAUSE_MS);
                self.remove_run(key, &start.task, Gone::Unsent);
                self.break_gang(&start.task, start.run);
            }
            OrderResponse::Lost | OrderResponse::Report(_) | OrderResponse::Unsent => {
                if run.stage != Stage::Starting {
                    return;
                }
                let first = run.sends == 1 && !restarted;
                if first && worker.failed_renewals == 0 {
                    run.resend_at = now.after(REPORT_LIMIT_MS);
                    worker.report_due = true;
                } else if run.sends < START_SEND_LIMIT {
                    run.resend_at = now;
                } else {
                    worker.paused_until = now.after(FULL_PAUSE_MS);
                    self.abandon_start(key, &start.task);
                }
            }
        }
    }

    /// Notes that a worker has accepted a start after its run was given up, so that the task starts nowhere
    /// until the worker's reports show that the run has ended.
    fn keep_given_up(&mut self, key: WorkerKey, start: &Start) {
        let (now, charge) = (self.now, self.charge(&start.task));
        let worker = self.worker_mut(key);
        log::warn!(
            task:% = start.task, run = start.run, worker = worker.target.name.as_str();
            "start accepted after its run was given up"
        );
        worker.unwanted.retain(|u| u.task != start.task);
        worker.unwanted.push(UnwantedRun {
            task: start.task,
            resources: charge.unwrap_or(worker.target.capacity),
            known_at: now,
            absent: false,
        });
    }

    /// Reacts to the refusal of a start: the worker or the task waits, and the rest of a gang is
    /// stopped.
    fn handle_refusal(&mut self, key: WorkerKey, task: &TaskId, why: Refusal) {
        let now = self.now;
        let worker = self.worker_mut(key);
        match why {
            Refusal::Unhealthy => {
                worker.paused_until = now.after(UNHEALTHY_PAUSE_MS);
                worker.health.record_stall(now);
            }
            Refusal::Full => {
                worker.paused_until = now.after(FULL_PAUSE_MS);
                worker.renew_at = now;
                self.counts.full += 1;
            }
            Refusal::Reborn => self.handle_address_reuse(key),
            _ => {}
        }
        if why == Refusal::Ticket
            && let Some(step_key) = self.step_key(task)
            && let Some(advice) = self.advice.get_mut(&step_key)
        {
            advice.remove_ticket(key);
        }
        if matches!(why, Refusal::Invalid | Refusal::Ticket)
            && let Some((_, job)) = self.job_mut(task.job)
            && let Some(task) = job.task(task)
        {
            task.retry_at = now.after(UNHEALTHY_PAUSE_MS);
        }
        let run = self
            .job_mut(task.job)
            .and_then(|(_, job)| Some(job.task(task)?.last_run));
        if let Some(run) = run {
            self.break_gang(task, run);
        }
        self.replan = true;
    }

    /// Processes the response to a stop, or its loss.
    pub(super) fn handle_stop_response(
        &mut self,
        key: WorkerKey,
        stop: &Stop,
        response: &OrderResponse,
    ) {
        let accepted = matches!(response, OrderResponse::Accepted(_)).then_some(self.now);
        self.record_clock(key, response.clock());
        let worker = self.worker_mut(key);
        let same = |s: &&mut LostStart| (s.task, s.run) == (stop.task, stop.run);
        for start in worker.stale_starts.iter_mut().filter(same) {
            start.stopped_at = start.stopped_at.or(accepted);
        }
        let Some(run) = worker
            .runs
            .get_mut(&stop.task)
            .filter(|r| r.run == stop.run)
        else {
            return;
        };
        if let Some(now) = accepted.filter(|_| !run.cannot_start) {
            run.cannot_start = true;
            run.confirmed_at = now;
        }
    }
}
