//! What came of starts and stops.

use std::sync::Arc;

use crate::batch::engine::workers::Stage;
use crate::batch::engine::{Engine, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::worker::{Answer, Refusal, Start, Stop};

/// How long a worker that refused a start for want of room gets none, in milliseconds.
const FULL_MS: u64 = 300;
/// How long a worker that calls itself unhealthy gets no work, in milliseconds.
pub(super) const UNHEALTHY_MS: u64 = 1_000;
/// Sends of a start before it is given up; source: within the time that a gang waits for members.
const START_TRIES: u32 = 3;
/// How late an order without an answer may be carried out, in milliseconds; source: the platform's
/// late orders take 2 to 12 seconds.
const LATE_ORDER_MS: u64 = 13_000;

impl Engine {
    pub(super) fn started(&mut self, key: WorkerKey, start: &Start, answer: &Answer) {
        let now = self.now;
        self.look |= !matches!(answer, Answer::Obeyed(_));
        match answer {
            Answer::Obeyed(clock) => self.read_clock(key, Some(*clock)),
            Answer::Refused(_, clock) => self.read_clock(key, *clock),
            Answer::Report(_) => {}
            Answer::Lost => {
                let worker = self.worker_mut(key);
                worker
                    .lost_starts
                    .push((start.task, start.run, now.after(LATE_ORDER_MS)));
            }
        }
        let worker = self.worker_mut(key);
        let name = Arc::clone(&worker.target);
        let Some(run) = worker
            .runs
            .get_mut(&start.task)
            .filter(|r| r.run == start.run)
        else {
            return;
        };
        match answer {
            Answer::Obeyed(clock) => {
                run.confirmed = run.confirmed.max(*clock);
                if matches!(run.stage, Stage::Starting | Stage::Unsure) {
                    run.stage = if run.stage == Stage::Unsure {
                        Stage::Stopping
                    } else {
                        Stage::Running
                    };
                    run.tries = 0;
                    run.next = now;
                    run.moved = now;
                    let job = run.job;
                    log::info!(
                        task:% = start.task, run = start.run, worker = name.name.as_str(),
                        took_ms = now.since(run.since);
                        "task started"
                    );
                    if let Some(job) = self.jobs.get_mut(&job) {
                        job.begun = true;
                    }
                    self.counts.starts += 1;
                }
            }
            Answer::Refused(why, _) => {
                let stage = run.stage;
                let (why, refusal): (&'static str, Refusal) = (why.into(), *why);
                log::info!(
                    task:% = start.task, run = start.run, worker = name.name.as_str(), why = why;
                    "start refused"
                );
                match refusal {
                    Refusal::Late if stage == Stage::Starting && run.tries < START_TRIES => {
                        run.next = now;
                        return;
                    }
                    // The run has been there: its end is, or will be, listed.
                    Refusal::Superseded => {
                        run.stage = Stage::Unsure;
                        run.barred = true;
                        run.next = now;
                        return;
                    }
                    // An earlier copy of this start may still be under way.
                    _ if run.tries > 1 => {
                        run.stage = Stage::Unsure;
                        run.next = now;
                    }
                    _ => {
                        self.release(key, &start.task);
                    }
                }
                self.refused(key, &start.task, refusal);
            }
            Answer::Lost | Answer::Report(_) => {
                if run.stage != Stage::Starting {
                    return;
                }
                if run.tries < START_TRIES {
                    run.next = now;
                } else {
                    log::warn!(task:% = start.task, run = start.run, worker = name.name.as_str(); "start given up without an answer");
                    run.stage = Stage::Unsure;
                    run.tries = 0;
                    run.next = now;
                    worker.full_until = now.after(FULL_MS);
                    self.break_gang(&start.task, start.run);
                }
            }
        }
    }

    /// A start was refused: the worker gets none for a while, and a gang is given up whole.
    fn refused(&mut self, key: WorkerKey, task: &TaskId, why: Refusal) {
        let now = self.now;
        let worker = self.worker_mut(key);
        match why {
            Refusal::Unhealthy => {
                worker.full_until = now.after(UNHEALTHY_MS);
                worker.health.stalled(now);
            }
            Refusal::Full => {
                worker.full_until = now.after(FULL_MS);
                worker.renew_at = now;
                self.counts.full += 1;
            }
            Refusal::Reborn => self.address_reused(key),
            _ => {}
        }
        if why == Refusal::Ticket
            && let Some(unit) = self.unit_of(task)
            && let Some(advice) = self.advice.get_mut(&unit)
        {
            advice.refused(key);
        }
        if matches!(why, Refusal::Invalid | Refusal::Ticket)
            && let Some((_, job)) = self.job_mut(task.job)
            && let Some(task) = job.task(task)
        {
            task.retry_at = now.after(UNHEALTHY_MS);
        }
        let run = self
            .job_mut(task.job)
            .and_then(|(_, job)| Some(job.task(task)?.run));
        if let Some(run) = run {
            self.break_gang(task, run);
        }
        self.replan = true;
    }

    pub(super) fn stop_answered(&mut self, key: WorkerKey, stop: &Stop, answer: &Answer) {
        let clock = match answer {
            Answer::Obeyed(clock) => Some(*clock),
            Answer::Refused(_, clock) => *clock,
            Answer::Report(_) | Answer::Lost => None,
        };
        self.read_clock(key, clock);
        let worker = self.worker_mut(key);
        if clock.is_some() {
            worker
                .bars
                .retain(|(task, run)| (*task, *run) != (stop.task, stop.run));
        }
        let Some(run) = worker
            .runs
            .get_mut(&stop.task)
            .filter(|r| r.run == stop.run)
        else {
            return;
        };
        if let Answer::Obeyed(clock) = answer {
            run.barred = true;
            run.confirmed = run.confirmed.max(*clock);
        }
    }
}
