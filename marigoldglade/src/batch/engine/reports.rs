//! Holds and the answers of workers: leases, acknowledgements, and what a worker says it runs.

use std::sync::Arc;

use crate::batch::engine::orders::UNHEALTHY_PAUSE_MS;
use crate::batch::engine::workers::{ClockReading, LEASE_MS, Run, Stage};
use crate::batch::engine::{Action, Engine, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::worker::{ActiveRun, Order, OrderResponse, Refusal, Renewal, Report, Stop};

/// How long a hold of a busy worker waits for an end, in milliseconds; source: a quarter of the
/// lease, so that a lost hold costs no lease.
pub const HOLD_WAIT_MS: u64 = 1_250;
/// The same for a worker with urgent runs, whose stalls must show sooner, in milliseconds.
const URGENT_WAIT_MS: u64 = 600;
/// The same where tails must be watched, in milliseconds; source: workers' readings cover half a
/// second.
const TAIL_WAIT_MS: u64 = 400;
/// The time before a hold without an answer is sent again, in milliseconds.
const HOLD_RETRY_MS: u64 = 250;
/// The time before an idle worker without an answer is asked again, in milliseconds.
const IDLE_RETRY_MS: u64 = 2_000;
/// How far answers of one life may overtake each other, in milliseconds; source: above the time that
/// any order is waited for.
const REORDER_LIMIT_MS: u64 = 5_000;
/// How often leases are renewed while ends wait for their commit, in milliseconds.
const RENEW_MS: u64 = 1_250;

impl Engine {
    /// Sends holds to workers that need one.
    pub(super) fn send_holds(&mut self, out: &mut Vec<Action>) {
        let (now, term) = (self.now, self.term);
        let lease_ms = LEASE_MS.min(self.bounds.lease_limit_ms);
        for key in self.worker_keys() {
            let worker = self.worker(key);
            if worker.hold_pending || !worker.hold_after.passed(now) {
                continue;
            }
            let unheard =
                !worker.answered && (worker.listed || !worker.uncertain_until.passed(now));
            let behind = worker.last_durable > worker.last_acked;
            let busy = !worker.runs.is_empty();
            // Unacknowledged ends would end a long poll at once.
            let uncommitted = worker.last_applied > worker.last_durable;
            let wanted =
                unheard || behind || (busy && (!uncommitted || worker.renew_at.passed(now)));
            if !wanted {
                continue;
            }
            let urgent = busy && self.has_urgent_runs(key);
            let disturbed = busy && self.needs_tail_reports(key);
            let worker = self.worker_mut(key);
            // A silent worker is only looked at: otherwise its leases would never be known to lapse.
            let renews = busy && worker.answered && worker.unanswered == 0;
            let end = worker
                .clock(now)
                .filter(|_| renews)
                .map_or(0, |c| c + lease_ms);
            worker.lease_end = worker.lease_end.max(end);
            worker.hold_pending = true;
            worker.renew_at = now.after(RENEW_MS);
            let wait_ms = if !renews || uncommitted {
                0
            } else if disturbed {
                TAIL_WAIT_MS
            } else if urgent {
                URGENT_WAIT_MS
            } else {
                HOLD_WAIT_MS
            };
            let hold = Renewal {
                expires_at: end,
                acked: worker.last_durable,
                wait_ms,
                term,
            };
            out.push(Action::Order(
                key,
                Arc::clone(&worker.target),
                Order::Renew(hold),
            ));
        }
    }

    fn has_urgent_runs(&self, key: WorkerKey) -> bool {
        let urgent = |run: &Run| {
            let job = self.jobs.get(&run.job);
            job.is_some_and(|j| j.record.queue.priority == 0)
        };
        self.worker(key).runs.values().any(urgent)
    }

    /// Takes the outcome of an order.
    pub(super) fn handle_answer(
        &mut self,
        key: WorkerKey,
        order: &Order,
        answer: OrderResponse,
        out: &mut Vec<Action>,
    ) {
        if usize::from(key.0) >= self.workers.len() {
            return;
        }
        if let OrderResponse::Refused(Refusal::Fenced, _) = answer {
            log::warn!(worker = self.worker(key).target.name.as_str(), term = self.term; "a worker has seen a newer owner");
            out.push(Action::StepDown);
            return;
        }
        if matches!(answer, OrderResponse::Lost) {
            self.counts.lost += 1;
        }
        match order {
            Order::Renew(hold) => self.handle_hold_answer(key, hold, answer, out),
            Order::Start(start) => self.handle_start_answer(key, start, &answer),
            Order::Stop(stop) => self.handle_stop_answer(key, stop, &answer),
            Order::SetPace(pace) => self.handle_pace_answer(key, pace, &answer),
        }
    }

    pub(super) fn record_clock(&mut self, key: WorkerKey, clock: Option<u64>) {
        let now = self.now;
        let worker = self.worker_mut(key);
        let Some(clock) = clock.filter(|c| *c > 0) else {
            return;
        };
        if worker.clock_reading.is_none_or(|r| clock > r.clock) {
            worker.clock_reading = Some(ClockReading { clock, at: now });
        }
    }

    fn handle_hold_answer(
        &mut self,
        key: WorkerKey,
        hold: &Renewal,
        answer: OrderResponse,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let worker = self.worker_mut(key);
        worker.hold_pending = false;
        match answer {
            OrderResponse::Report(report) => {
                if worker.unanswered > 0 {
                    log::info!(worker = worker.target.name.as_str(), lost = worker.unanswered; "worker answers again");
                }
                worker.unanswered = 0;
                worker.last_acked = worker.last_acked.max(hold.acked);
                worker.hold_after = now;
                self.apply_report(key, report, out);
            }
            OrderResponse::Refused(Refusal::Reborn, _) => {
                self.handle_address_reuse(key);
            }
            OrderResponse::Refused(why, clock) => {
                worker.unanswered += 1;
                worker.hold_after = now.after(HOLD_RETRY_MS);
                worker.paused_until = now.after(UNHEALTHY_PAUSE_MS);
                let why: &'static str = why.into();
                log::warn!(worker = worker.target.name.as_str(), why = why; "worker refused a hold");
                self.record_clock(key, clock);
            }
            OrderResponse::Lost | OrderResponse::Accepted(_) => {
                worker.unanswered += 1;
                let busy = !worker.runs.is_empty();
                let pause = if busy || worker.unanswered < 3 {
                    HOLD_RETRY_MS
                } else {
                    IDLE_RETRY_MS
                };
                worker.hold_after = now.after(pause);
                if worker.unanswered == 1 {
                    log::warn!(worker = worker.target.name.as_str(), runs = worker.runs.len(); "worker doesn't answer holds");
                }
                self.replan = true;
            }
        }
    }

    /// Compares what a worker says with what is known.
    fn apply_report(&mut self, key: WorkerKey, report: Report, out: &mut Vec<Action>) {
        let worker = self.worker(key);
        let known = worker.target.started_at;
        if report.started_at > 0 && known > 0 && report.started_at < known {
            return;
        }
        if report.started_at > known && known > 0 {
            self.handle_restart(
                key,
                report.started_at,
                Some(&report),
                "its report shows a new process",
            );
        }
        let worker = self.worker_mut(key);
        let reading = worker.clock_reading.map_or(0, |r| r.clock);
        if report.clock + REORDER_LIMIT_MS < reading {
            // An answer of an earlier life came after the restart was known.
            log::warn!(worker = worker.target.name.as_str(), clock = report.clock, reading; "a reading of the worker's clock was wrong");
            worker.clock_reading = None;
        } else if report.clock < reading && worker.answered {
            // A newer answer came before this one; ends are listed again.
            return;
        }
        self.record_clock(key, Some(report.clock));
        for end in &report.completions {
            if end.number > self.worker(key).last_applied {
                self.worker_mut(key).last_applied = end.number;
                self.apply_completion(key, end);
            }
        }
        for row in &report.running {
            self.apply_running(key, row, report.clock, out);
        }
        self.remove_missing(key, &report);
        self.check_stalls(key);
        self.update_pace(key, &report, out);
        let worker = self.worker_mut(key);
        if !worker.answered {
            worker.answered = true;
            log::info!(worker = worker.target.name.as_str(), runs = worker.runs.len(), clock = report.clock; "worker answered the owner");
            self.replan = true;
        }
    }

    /// A run that the worker lists as running.
    fn apply_running(
        &mut self,
        key: WorkerKey,
        row: &ActiveRun,
        clock: u64,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let worker = self.worker_mut(key);
        if let Some(run) = worker.runs.get_mut(&row.task).filter(|r| r.run == row.run) {
            run.confirmed_clock = run.confirmed_clock.max(clock);
            match run.stage {
                Stage::Starting => {
                    run.stage = Stage::Running;
                    run.progress_at = now;
                    let job = run.job;
                    self.counts.starts += 1;
                    log::info!(task:% = row.task, run = row.run, worker = self.worker(key).target.name.as_str(); "task started; its answer was lost");
                    if let Some(job) = self.jobs.get_mut(&job) {
                        job.started = true;
                    }
                }
                // A start that was given up took effect after all.
                Stage::Abandoned => {
                    run.stage = Stage::Stopping;
                    run.resend_at = now;
                    self.runs_due = true;
                }
                Stage::Running | Stage::Stopping => {}
            }
            let worker = self.worker_mut(key);
            if let Some(run) = worker.runs.get_mut(&row.task)
                && row.percent > run.percent
            {
                run.percent = row.percent;
                run.progress_at = now;
            }
            return;
        }
        if !self.adopt(key, row, clock) {
            log::warn!(task:% = row.task, run = row.run, worker = self.worker(key).target.name.as_str(); "stopping a run that isn't wanted");
            let stop = Stop {
                task: row.task,
                run: row.run,
                term: self.term,
            };
            let target = Arc::clone(&self.worker(key).target);
            out.push(Action::Order(key, target, Order::Stop(stop)));
        }
    }

    /// Takes a run of an earlier owner on; returns false when it isn't wanted.
    fn adopt(&mut self, key: WorkerKey, row: &ActiveRun, clock: u64) -> bool {
        let now = self.now;
        let Some((job_key, job)) = self.job_mut(row.task.job) else {
            return false;
        };
        if !job.is_active() || !job.inherited {
            return false;
        }
        let Some(room) = job.step(&row.task).map(|s| s.charge()) else {
            return false;
        };
        let Some(task) = job.task(&row.task) else {
            return false;
        };
        if task.done || task.worker.is_some() || task.last_run > row.run {
            return false;
        }
        task.worker = Some(key);
        task.last_run = row.run;
        job.started = true;
        let run = Run {
            job: job_key,
            run: row.run,
            room,
            stage: Stage::Running,
            started_at: now,
            sends: 0,
            resend_at: now,
            confirmed_clock: clock,
            deadline: 0,
            percent: row.percent,
            progress_at: now,
            cannot_start: false,
            pace: None,
        };
        self.worker_mut(key).insert(row.task, run);
        log::info!(task:% = row.task, run = row.run, worker = self.worker(key).target.name.as_str(); "run taken on from an earlier owner");
        true
    }

    /// Runs that a report should show and doesn't.
    fn remove_missing(&mut self, key: WorkerKey, report: &Report) {
        let listed = |task: &TaskId, run: u64| {
            report
                .running
                .iter()
                .any(|r| r.task == *task && r.run == run)
        };
        let gone = |task: &TaskId, run: &Run| {
            if listed(task, run.run) {
                return false;
            }
            match run.stage {
                Stage::Starting => false,
                // Once barred or past its deadline it can't begin any more.
                Stage::Abandoned => {
                    (run.cannot_start && report.clock >= run.confirmed_clock)
                        || report.clock > run.deadline
                }
                Stage::Running | Stage::Stopping => run.confirmed_clock < report.clock,
            }
        };
        let worker = self.worker(key);
        let tasks: Vec<(TaskId, Stage)> = worker
            .runs
            .iter()
            .filter(|(task, run)| gone(task, run))
            .map(|(task, run)| (*task, run.stage))
            .collect();
        for (task, stage) in tasks {
            if stage != Stage::Abandoned {
                log::warn!(task:% = task, worker = self.worker(key).target.name.as_str(); "a run vanished without an end");
            }
            self.remove_run(key, &task);
        }
    }
}
