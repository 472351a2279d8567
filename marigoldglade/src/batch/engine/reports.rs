//! Renewals and the reports that answer them: leases, acknowledgements, and the runs on each
//! worker.

use std::collections::HashSet;
use std::sync::Arc;

use crate::batch::engine::crashes::{PROOF_MS, Trial};
use crate::batch::engine::gone::Gone;
use crate::batch::engine::leases::{ClockReading, LEASE_MS};
use crate::batch::engine::orders::UNHEALTHY_PAUSE_MS;
use crate::batch::engine::runs::{LostStart, Run, Stage, UnwantedRun};
use crate::batch::engine::workers::SILENT_THRESHOLD;
use crate::batch::engine::{Action, Engine, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::worker::{
    ActiveRun, Order, OrderResponse, Refusal, Renewal, Report, Resources, Stop,
};

/// How long a busy worker may delay its response to a renewal until a run ends, in milliseconds: a
/// quarter of the lease, so that no lease expires when a renewal is lost.
pub const RENEWAL_WAIT_MS: u64 = 1_250;
/// The delay for a worker with urgent runs, whose stalls must be noticed sooner, in milliseconds.
const URGENT_WAIT_MS: u64 = 600;
/// The delay for a worker whose tail latencies are watched, in milliseconds: each of its readings
/// covers half a second.
const TAIL_WAIT_MS: u64 = 400;
/// The pause before a failed renewal is sent again, in milliseconds.
const RENEWAL_RETRY_MS: u64 = 250;
/// The pause before a renewal is sent again to an idle worker after three in a row got no response,
/// in milliseconds.
const IDLE_RETRY_MS: u64 = 2_000;
/// How late a response may arrive after a newer one of the same incarnation, in milliseconds:
/// longer than any order waits for its response.
pub(super) const REORDER_LIMIT_MS: u64 = 5_000;
/// How long a report shows which process of a worker there is, in milliseconds.
const ACK_WINDOW_MS: u64 = 250;
/// How much two readings of a worker's clock may differ by rounding, in milliseconds.
const CLOCK_ROUNDING_MS: u64 = 2;
/// The pause before the report that decides whether missing runs are gone, in milliseconds: it must be asked
/// for later than the one that didn't list them.
const RECHECK_GAP_MS: u64 = 10;
/// How often leases are renewed while completions wait for their commit, in milliseconds.
const RENEW_MS: u64 = 1_250;

impl Engine {
    /// Sends renewals to the workers that need one: to extend leases, to acknowledge completions,
    /// or to hear from a worker that hasn't answered yet.
    pub(super) fn send_renewals(&mut self, out: &mut Vec<Action>) {
        let (now, term) = (self.now, self.term);
        let lease_ms = LEASE_MS.min(self.bounds.lease_limit_ms);
        let awaited = self.awaited_workers();
        for key in self.worker_keys() {
            if std::mem::take(&mut self.worker_mut(key).report_due) {
                self.request_report(key, out);
            }
            let worker = self.worker(key);
            if worker.renewal_pending || !worker.renewal_after.passed(now) {
                continue;
            }
            // The loss of a renewal to an earlier process may come after the new one's answer.
            let unheard = !worker.answered || worker.failed_renewals > 0;
            let silent =
                unheard && (worker.listed || !worker.uncertain_until.passed(self.confirmed_at));
            let unacked = worker.acks.is_unacked();
            let busy = !worker.runs.is_empty();
            // An unwanted run is stopped again unless the next report shows its end, and only a report
            // shows whether one began before its stop.
            let stopping = worker.answered
                && !(worker.unwanted.is_empty() && worker.stale_starts.is_empty())
                && (worker.listed || worker.failed_renewals == 0);
            // A worker with unacknowledged completions answers at once instead of waiting, so until
            // they are durable its renewals are spaced by `renew_at`.
            let uncommitted = worker.acks.is_pending();
            let waiting = (busy || stopping)
                && (!uncommitted
                    || worker.renew_at.passed(now)
                    || worker.leaves_soon(now)
                    || worker.has_trials());
            let needed = silent || unacked || waiting || awaited.contains(&key);
            if !needed {
                continue;
            }
            let urgent = stopping || (busy && self.has_urgent_runs(key));
            let urgent = urgent || (busy && self.wants_progress(key));
            let watched = busy && self.needs_tail_reports(key);
            let worker = self.worker_mut(key);
            // The leases of a silent worker aren't extended: otherwise the owner could never tell
            // that they have expired.
            let responsive = worker.answered && worker.failed_renewals == 0;
            let confirmed = responsive && !worker.confirmed_until.passed(now);
            let renews = busy && responsive;
            let end = worker
                .clock(now)
                .filter(|_| renews)
                .map_or(0, |c| c.saturating_add(lease_ms));
            worker.lease_expires_at = worker.lease_expires_at.max(end);
            worker.renewal_pending = true;
            worker.renew_at = now.after(RENEW_MS);
            let may_wait = renews || (stopping && responsive);
            let rechecks = worker.has_missing_runs() || worker.has_trials();
            let wait_ms = if !may_wait || rechecks || uncommitted || (unacked && !confirmed) {
                0
            } else if watched {
                TAIL_WAIT_MS
            } else if urgent {
                URGENT_WAIT_MS
            } else {
                RENEWAL_WAIT_MS
            };
            let renewal = Renewal {
                expires_at: end,
                // A worker's next process counts its completions from one again, and would forget
                // those that nobody knows. So a number that the worker knows isn't repeated, and none is
                // sent without a recent report of the process that it is meant for.
                acked: if unacked && confirmed {
                    worker.acks.ackable()
                } else {
                    0
                },
                wait_ms,
                term,
                sent_at: now,
                is_extra: false,
            };
            out.push(Action::Order(
                key,
                Arc::clone(&worker.target),
                Order::Renew(renewal),
            ));
        }
    }

    /// Asks a worker for a report, whether or not a renewal is under way.
    fn request_report(&mut self, key: WorkerKey, out: &mut Vec<Action>) {
        let request = Renewal {
            expires_at: 0,
            acked: 0,
            wait_ms: 0,
            term: self.term,
            sent_at: self.now,
            is_extra: true,
        };
        let target = Arc::clone(&self.worker(key).target);
        out.push(Action::Order(key, target, Order::Renew(request)));
    }

    /// Processes the response to a request for a report beside a renewal: starts that it doesn't list are sent
    /// again.
    fn handle_requested_report(
        &mut self,
        key: WorkerKey,
        request: &Renewal,
        response: OrderResponse,
        out: &mut Vec<Action>,
    ) {
        let OrderResponse::Report(report) = response else {
            return;
        };
        let now = self.now;
        self.worker_mut(key).asked_at = request.sent_at;
        self.apply_report(key, report, out);
        for run in self.worker_mut(key).runs.values_mut() {
            if run.stage == Stage::Starting && run.sends == 1 && run.started_at < request.sent_at {
                run.resend_at = now;
            }
        }
        self.runs_due = true;
    }

    fn has_urgent_runs(&self, key: WorkerKey) -> bool {
        let urgent = |run: &Run| {
            let job = self.jobs.get(&run.job);
            job.is_some_and(|j| j.record.queue.priority == 0)
        };
        self.worker(key).runs.values().any(urgent)
    }

    /// Processes the response to an order.
    pub(super) fn handle_response(
        &mut self,
        key: WorkerKey,
        order: &Order,
        response: OrderResponse,
        out: &mut Vec<Action>,
    ) {
        if usize::from(key.0) >= self.workers.len() {
            return;
        }
        if let OrderResponse::Refused(Refusal::Fenced, _) = response {
            log::warn!(worker = self.worker(key).target.name.as_str(), term = self.term; "a worker has seen a newer owner");
            out.push(Action::StepDown);
            return;
        }
        let response = if self.is_foreign(key, &response) {
            OrderResponse::Lost
        } else {
            response
        };
        let lost = matches!(response, OrderResponse::Lost);
        let unsent = matches!(response, OrderResponse::Unsent);
        self.counts.lost += u64::from(lost);
        if self.shows_restart(key, order, &response) {
            let now = self.now;
            let worker = self.worker_mut(key);
            log::warn!(worker = worker.target.name.as_str(), runs = worker.runs.len(); "a response shows a restarted worker");
            worker.await_report(now);
        }
        let started = matches!(
            (order, &response),
            (Order::Start(_), OrderResponse::Accepted(_))
        );
        if started && !self.worker(key).answered {
            // The next process may hold the longest lease, and be silent before its first report.
            let (now, lease_limit_ms) = (self.now, self.bounds.lease_limit_ms);
            let worker = self.worker_mut(key);
            worker.expect_late_orders(now, lease_limit_ms);
        }
        match order {
            Order::Renew(request) if request.is_extra => {
                self.handle_requested_report(key, request, response, out);
            }
            Order::Renew(renewal) => self.handle_renewal_response(key, renewal, response, out),
            Order::Start(start) => self.handle_start_response(key, start, &response),
            Order::Stop(stop) => self.handle_stop_response(key, stop, &response),
            Order::SetPace(pace) => self.handle_pace_response(key, pace, &response),
        }
        // The response may have shown a restart, so this comes after it.
        let (now, lease_limit_ms) = (self.now, self.bounds.lease_limit_ms);
        let expires_at = order.lease_expiry();
        let worker = self.worker_mut(key);
        if !unsent {
            worker.note_expiry(now, expires_at, lost, lease_limit_ms);
        }
        if let (true, Order::Renew(renewal)) = (lost, order) {
            worker.note_lost_ack(now, renewal.acked);
        }
    }

    /// Returns whether a response comes from an earlier process of a worker, or from another one at an
    /// address that the worker has left.
    fn is_foreign(&self, key: WorkerKey, response: &OrderResponse) -> bool {
        let worker = self.worker(key);
        let clock = response.clock();
        // A process started later than each earlier one, so its clock reads less than theirs would.
        let ahead = worker.clock_reading.is_some_and(|r| {
            let passed = self.now.since(r.at);
            clock > Some(r.clock.saturating_add(passed + REORDER_LIMIT_MS))
        });
        let reborn = matches!(response, OrderResponse::Refused(Refusal::Reborn, _));
        let moved = reborn && !worker.moved_until.passed(self.now);
        if ahead || moved {
            log::warn!(worker = worker.target.name.as_str(), clock, moved; "response dropped: it comes from an earlier process or address of a worker");
        }
        ahead || moved
    }

    /// Returns whether a response comes from a process of the worker that was started after the one whose
    /// clock was read last: its clock reads less than that one's could when it carried out the order.
    fn shows_restart(&self, key: WorkerKey, order: &Order, response: &OrderResponse) -> bool {
        let worker = self.worker(key);
        let clock = response.clock().filter(|c| *c > 0);
        let (Some(clock), Some(reading)) = (clock, worker.clock_reading) else {
            return false;
        };
        let sent_at = match order {
            Order::Start(start) => {
                let run = worker.runs.get(&start.task);
                run.filter(|r| r.run == start.run).map(|r| r.started_at)
            }
            _ => None,
        };
        let passed = sent_at.map(|at| reading.at.since(at) + CLOCK_ROUNDING_MS);
        let delay_ms = passed.map_or(REORDER_LIMIT_MS, |p| p.min(REORDER_LIMIT_MS));
        worker.answered && clock.saturating_add(delay_ms) < reading.clock
    }

    /// Records a reading of a worker's clock unless it is older than the last one.
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

    fn handle_renewal_response(
        &mut self,
        key: WorkerKey,
        renewal: &Renewal,
        response: OrderResponse,
        out: &mut Vec<Action>,
    ) {
        let (now, confirmed_at) = (self.now, self.confirmed_at);
        let worker = self.worker_mut(key);
        worker.renewal_pending = false;
        match response {
            OrderResponse::Report(report) => {
                if worker.failed_renewals > 0 {
                    log::info!(worker = worker.target.name.as_str(), lost = worker.failed_renewals; "worker answers again");
                }
                worker.failed_renewals = 0;
                worker.acks.acknowledge(renewal.acked);
                worker.renewal_after = now;
                worker.asked_at = renewal.sent_at;
                self.apply_report(key, report, out);
                let worker = self.worker_mut(key);
                if worker.has_missing_runs() {
                    worker.renewal_after = now.after(RECHECK_GAP_MS);
                } else if worker.has_trials() || worker.leaves_soon(now) {
                    worker.renewal_after = now.after(PROOF_MS);
                }
            }
            OrderResponse::Refused(Refusal::Reborn, _) => {
                self.handle_address_reuse(key);
            }
            OrderResponse::Refused(why, clock) => {
                worker.failed_renewals += 1;
                worker.renewal_after = now.after(RENEWAL_RETRY_MS);
                worker.paused_until = now.after(UNHEALTHY_PAUSE_MS);
                let why: &'static str = why.into();
                log::warn!(worker = worker.target.name.as_str(), why = why; "worker refused a renewal");
                self.record_clock(key, clock);
            }
            OrderResponse::Lost | OrderResponse::Unsent | OrderResponse::Accepted(_) => {
                worker.failed_renewals += 1;
                let busy = !worker.runs.is_empty();
                let leaves = worker.recorded && !worker.concerns_successor(now, confirmed_at);
                let pause = if busy || worker.failed_renewals < SILENT_THRESHOLD {
                    RENEWAL_RETRY_MS
                } else {
                    IDLE_RETRY_MS
                };
                worker.renewal_after = now.after(pause);
                if worker.failed_renewals == 1 {
                    log::warn!(
                        worker = worker.target.name.as_str(), runs = worker.runs.len(),
                        heard_ms = worker.heard_at.map(|at| now.since(at)), expires_at = renewal.expires_at, lease_expires_at = worker.lease_expires_at;
                        "worker doesn't answer renewals"
                    );
                }
                self.workers_dirty |= leaves;
                self.replan = true;
            }
        }
    }

    /// Applies a report: completions, runs, and the restart of the worker.
    fn apply_report(&mut self, key: WorkerKey, report: Report, out: &mut Vec<Action>) {
        let worker = self.worker(key);
        let known = worker.target.started_at;
        if report.started_at > 0 && known > 0 && report.started_at < known {
            self.worker_mut(key).renewal_after = self.now.after(RENEWAL_RETRY_MS);
            return;
        }
        if report.started_at > known && known > 0 {
            self.handle_restart(key, report.started_at, Some(&report), Gone::Restart);
        }
        self.worker_mut(key).heard_at = Some(self.now);
        let target = Arc::clone(&self.worker(key).target);
        self.settle_silent_runs(&target, true);
        let worker = self.worker_mut(key);
        let reading = worker.clock_reading.map_or(0, |r| r.clock);
        if report.clock.saturating_add(REORDER_LIMIT_MS) < reading {
            // The reading came from a response of an earlier incarnation that arrived after the
            // restart was known.
            log::warn!(worker = worker.target.name.as_str(), clock = report.clock, reading; "reading of the worker's clock dropped: it belongs to an earlier process");
            worker.clock_reading = None;
        } else if report.clock < reading && worker.answered {
            // A newer report was applied before; completions are reported again.
            return;
        }
        self.record_clock(key, Some(report.clock));
        self.worker_mut(key).confirmed_until = self.now.after(ACK_WINDOW_MS);
        for completion in &report.completions {
            if self.worker_mut(key).acks.apply(completion.number) {
                self.apply_completion(key, completion);
            }
        }
        let worker = self.worker_mut(key);
        worker.partial = report.is_partial();
        let unwanted = std::mem::take(&mut worker.unwanted);
        self.replan |= !unwanted.is_empty();
        for row in &report.running {
            self.apply_running(key, row, report.clock, out);
        }
        self.keep_unwanted(key, unwanted, &report);
        if !report.is_partial() {
            self.remove_missing(key, &report);
        }
        let worker = self.worker_mut(key);
        let asked_at = worker.asked_at;
        let ruled_out = |s: &LostStart| s.stopped_at.is_some_and(|at| at < asked_at);
        worker.stale_starts.retain(|s| !ruled_out(s));
        self.unbind_reported(key, &report);
        self.check_stalls(key);
        self.check_trials(key);
        self.update_pace(key, &report, out);
        let now = self.now;
        let foreign_ms = self.has_predecessors.then(|| self.foreign_lease_ms());
        let worker = self.worker_mut(key);
        // A run of an earlier owner that ended while the worker made its first report is on neither list.
        let decided = !worker.inherited || std::mem::replace(&mut worker.heard, true);
        if !worker.answered && decided {
            worker.answered = true;
            worker.fence(now, foreign_ms);
            let missing = !worker.recorded;
            log::debug!(worker = worker.target.name.as_str(), runs = worker.runs.len(), clock = report.clock; "worker answered the owner");
            self.workers_dirty |= missing;
            self.replan = true;
            self.log_first_answers(key);
            self.inherit_lost_starts(key);
        }
        self.send_trials(key, out);
    }

    /// Logs that an inherited worker has answered, if it is the last one, in one line for all of them: a
    /// takeover would fill the log otherwise.
    fn log_first_answers(&self, key: WorkerKey) {
        if !self.worker(key).inherited {
            return;
        }
        let inherited = || self.workers.iter().filter(|w| w.inherited);
        if inherited().all(|w| w.answered) {
            let runs: usize = inherited().map(|w| w.runs.len()).sum();
            log::info!(term = self.term, workers = inherited().count(), runs, last = self.worker(key).target.name.as_str(); "all workers of the earlier owner have answered");
        }
    }

    /// Applies one run that a worker reports as running; an unwanted run is stopped.
    fn apply_running(
        &mut self,
        key: WorkerKey,
        row: &ActiveRun,
        clock: u64,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let worker = self.worker_mut(key);
        let asked_at = worker.asked_at;
        if let Some(run) = worker.runs.get_mut(&row.task).filter(|r| r.run == row.run) {
            run.confirmed_at = now;
            run.absent = false;
            run.listed = true;
            let proven = asked_at >= run.started_at.after(PROOF_MS);
            let first_proven = proven && !std::mem::replace(&mut run.proven, true);
            match run.stage {
                Stage::Starting => {
                    run.stage = Stage::Running;
                    run.progress_at = now;
                    let job = run.job;
                    self.counts.starts += 1;
                    log::info!(task:% = row.task, run = row.run, worker = self.worker(key).target.name.as_str(); "task started; the answer to its start was lost");
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
            self.learn_progress(key, row);
            if first_proven {
                self.clear_crashes(&row.task);
            }
            return;
        }
        if let Err(why) = self.adopt(key, row) {
            self.log_unwanted(key, row, clock, why);
            let stop = Stop {
                task: row.task,
                run: row.run,
                term: self.term,
            };
            let target = Arc::clone(&self.worker(key).target);
            let resources = self.charge(&row.task).unwrap_or(target.capacity);
            self.worker_mut(key).unwanted.push(UnwantedRun {
                task: row.task,
                resources,
                known_at: now,
                absent: false,
            });
            out.push(Action::Order(key, target, Order::Stop(stop)));
        }
    }

    /// Keeps unwanted runs that a report lists nowhere until the next one: they may have ended while the
    /// worker made it.
    fn keep_unwanted(&mut self, key: WorkerKey, unwanted: Vec<UnwantedRun>, report: &Report) {
        let worker = self.worker_mut(key);
        for run in unwanted {
            let same = |u: &UnwantedRun| u.task == run.task;
            let completed = report.completions.iter().any(|c| c.task == run.task);
            if !run.absent && !completed && !worker.unwanted.iter().any(same) {
                worker.unwanted.push(UnwantedRun {
                    absent: true,
                    ..run
                });
            }
        }
    }

    /// Logs a run that isn't wanted, with the sends of its start that this owner has given up and with what
    /// it knows of the task's other runs.
    fn log_unwanted(&self, key: WorkerKey, row: &ActiveRun, clock: u64, why: &str) {
        let worker = self.worker(key);
        let lost = worker.find_lost_sends(&row.task, row.run);
        let job = self
            .job_ids
            .get(&row.task.job)
            .and_then(|k| self.jobs.get(k));
        let task = job.and_then(|j| j.find(&row.task));
        let other = task.and_then(|t| t.worker).map(|k| self.worker(k));
        log::warn!(
            task:% = row.task, run = row.run, worker = worker.target.name.as_str(), why, clock,
            first_report = !worker.answered, started_at = worker.target.started_at,
            lost_sends = lost.map_or(0, |s| s.count), sent_to = lost.map(|s| s.started_at),
            deadline = lost.map(|s| s.deadline), lost_ms_ago = lost.map(|s| self.now.since(s.lost_at)),
            last_run = task.map(|t| t.last_run), other = other.map(|w| w.target.name.as_str());
            "stopping a run that isn't wanted"
        );
    }

    /// Returns what a run of a task takes of a worker's capacity; `None` if the task isn't known.
    pub(super) fn charge(&self, id: &TaskId) -> Option<Resources> {
        let job = self.jobs.get(self.job_ids.get(&id.job)?)?;
        Some(job.step(id)?.charge())
    }

    /// Adopts a run of an earlier owner.
    ///
    /// # Errors
    ///
    /// Why the run isn't wanted.
    fn adopt(&mut self, key: WorkerKey, row: &ActiveRun) -> Result<(), &'static str> {
        let now = self.now;
        let Some((job_key, job)) = self.job_mut(row.task.job) else {
            return Err("unknown job");
        };
        if !job.is_open() {
            return Err("ended job");
        }
        if !job.is_active() || !job.inherited {
            return Err("no earlier owner has had the job");
        }
        let Some(resources) = job.step(&row.task).map(|s| s.charge()) else {
            return Err("unknown step");
        };
        let Some(task) = job.task(&row.task) else {
            return Err("unknown task");
        };
        if task.done {
            return Err("done task");
        }
        if task.worker.is_some() {
            return Err("another run of the task");
        }
        if task.last_run > row.run {
            return Err("later run of the task");
        }
        task.worker = Some(key);
        task.last_run = row.run;
        job.started = true;
        let run = Run {
            job: job_key,
            run: row.run,
            resources,
            stage: Stage::Running,
            started_at: now,
            sent_to: 0,
            sends: 0,
            resend_at: now,
            confirmed_at: now,
            deadline: 0,
            percent: row.percent,
            progress_at: now,
            listed: true,
            proven: true,
            trial: Trial::No,
            isolated: false,
            restarted: false,
            cannot_start: false,
            absent: false,
            pace: None,
            fresh: false,
            expected_ms: 0,
        };
        self.worker_mut(key).insert(row.task, run);
        log::debug!(task:% = row.task, run = row.run, worker = self.worker(key).target.name.as_str(); "run of an earlier owner adopted");
        Ok(())
    }

    /// Removes the runs that two reports in a row should contain but don't. Both were asked for once the
    /// owner knew that the run was there or couldn't begin any more. A worker may list a run that ends
    /// meanwhile neither as in progress nor as completed, so one report isn't enough.
    fn remove_missing(&mut self, key: WorkerKey, report: &Report) {
        let now = self.now;
        let listed: HashSet<(TaskId, u64)> =
            report.running.iter().map(|r| (r.task, r.run)).collect();
        let worker = self.worker_mut(key);
        let asked_at = worker.asked_at;
        let mut tasks: Vec<(TaskId, Stage)> = Vec::new();
        for (task, run) in &mut worker.runs {
            if run.stage == Stage::Starting || listed.contains(&(*task, run.run)) {
                continue;
            }
            if run.stage == Stage::Abandoned && !run.cannot_start {
                if report.clock > run.deadline {
                    (run.cannot_start, run.absent) = (true, false);
                    run.confirmed_at = now;
                }
            } else if run.confirmed_at < asked_at {
                if run.absent {
                    tasks.push((*task, run.stage));
                }
                (run.absent, run.confirmed_at) = (true, now);
            }
        }
        for (task, stage) in tasks {
            let why = if stage == Stage::Abandoned {
                Gone::LostStart
            } else {
                Gone::Missing
            };
            self.log_given_up(key, &task, why);
            let restarted = |r: &Run| r.restarted && !r.listed;
            if self.worker(key).runs.get(&task).is_some_and(restarted) {
                let runs = self.ended_with_process(key, &[task]);
                self.blame(&runs);
            }
            self.remove_run(key, &task, why);
        }
    }
}
