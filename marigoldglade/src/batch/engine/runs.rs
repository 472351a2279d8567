//! Runs on workers: starting, stopping and removing them, and detecting stalled ones.

use std::sync::Arc;

use crate::batch::engine::crashes::{TRIAL_WAIT_MS, Trial};
use crate::batch::engine::gone::Gone;
use crate::batch::engine::{Action, Engine, JobKey, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::pace::FULL_PERCENT;
use crate::batch::worker::{Order, Resources, Start, Stop};
use crate::time::UnixMs;

/// How long a start is valid, in milliseconds: less than two seconds, the shortest delay with which
/// a lost order may still be carried out.
const START_VALID_MS: u64 = 1_700;
/// The pause before a stop is sent again while the run goes on, in milliseconds; by the platform's
/// limits a stop takes at most 900 ms.
const STOP_RESEND_MS: u64 = 500;
/// How long a run may make no progress before it counts as stalled, in percent of its estimated run
/// time; the slowest sound runs of the deployments show progress within it.
const STALL_PERCENT: u64 = 60;
/// The bounds of that time, in milliseconds.
const STALL_MIN_MS: u64 = 1_300;
const STALL_MAX_MS: u64 = 3_000;
/// How many run numbers of a task are set aside for each term.
const RUNS_PER_TERM: u64 = 1 << 16;

/// A start without a response, which may be carried out late.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostStart {
    pub task: TaskId,
    pub run: u64,
    pub resources: Resources,
    /// Until when the worker itself may hold it up.
    pub late_until: UnixMs,
    /// Until when it is remembered, so that a next process of the worker refuses it.
    pub expires_at: UnixMs,
    /// When the worker's next process had obeyed the stop of the run; the run may have begun before.
    pub stopped_at: Option<UnixMs>,
}

/// A run on a worker that the owner doesn't want.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnwantedRun {
    pub task: TaskId,
    /// What it takes of the worker's capacity.
    pub resources: Resources,
    /// When the owner last learned that it is there.
    pub known_at: UnixMs,
    /// Whether the last report listed it neither as in progress nor as completed.
    pub absent: bool,
}

/// The stage of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The start was sent and isn't answered.
    Starting,
    /// The run goes on, as far as is known.
    Running,
    /// The run is to be stopped; the stop is sent again until the worker reports the completion.
    Stopping,
    /// The start was given up, but the run may go on, or may still begin before the start's
    /// deadline.
    Abandoned,
}

/// A run that is, or may be, on a worker.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub job: JobKey,
    /// The number of the run.
    pub run: u64,
    pub resources: Resources,
    pub stage: Stage,
    /// When the start was first sent, or the run was adopted.
    pub started_at: UnixMs,
    /// When the worker's process started to which the start was last sent; zero when unknown.
    pub sent_to: u64,
    /// How often the current order, a start or a stop, has been sent.
    pub sends: u32,
    /// When the current order is sent again.
    pub resend_at: UnixMs,
    /// When the owner last learned that the worker has the run or can't begin it any more, or that a report
    /// lacks it. Only a report that was asked for after that shows that the run is gone.
    pub confirmed_at: UnixMs,
    /// The start's deadline on the worker's clock.
    pub deadline: u64,
    /// The progress in percent.
    pub percent: u32,
    /// When the progress last rose.
    pub progress_at: UnixMs,
    /// Whether a report of the worker has listed the run.
    pub listed: bool,
    /// Whether a report that was asked for a while after the start listed the run.
    pub proven: bool,
    /// Whether the run is a trial of a task that may crash its workers.
    pub trial: Trial,
    /// Whether it may crash its worker, so that nothing else starts there until a report lists it.
    pub isolated: bool,
    /// Whether the worker has restarted since the start was sent, and may have the run or not.
    pub restarted: bool,
    /// Whether the run can't begin any more: the worker obeyed a stop, refused the start as
    /// superseded, or its clock has passed the start's deadline.
    pub cannot_start: bool,
    /// Whether the last report lacked the run though it should have listed it.
    pub absent: bool,
    /// The pace that the worker last accepted for the run, in percent; `None` if an earlier owner
    /// may have changed it.
    pub pace: Option<u32>,
    /// Whether this owner started it, and without a checkpoint.
    pub fresh: bool,
    /// How long it should take, as far as was known at its start, in milliseconds; zero if that isn't learned.
    pub expected_ms: u64,
}

impl Engine {
    /// Starts a task on a worker; the task must be idle.
    pub(super) fn start_task(
        &mut self,
        key: WorkerKey,
        id: TaskId,
        run: u64,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some((job_key, job)) = self.job_mut(id.job) else {
            return;
        };
        let Some(resources) = job.step(&id).map(|s| s.charge()) else {
            return;
        };
        let mut isolated = false;
        let mut fresh = false;
        let (mut before, mut gone) = (0, None);
        if let Some(task) = job.task(&id) {
            fresh = task.checkpoint.is_empty();
            (before, gone) = (task.last_run, task.gone);
            task.worker = Some(key);
            task.last_run = run;
            isolated = task.is_isolated(now);
        }
        if before > 0 {
            self.log_next_run(key, &id, run, before, gone);
        }
        let run = Run {
            job: job_key,
            run,
            resources,
            stage: Stage::Starting,
            started_at: now,
            sent_to: 0,
            sends: 0,
            resend_at: if isolated {
                now.after(TRIAL_WAIT_MS)
            } else {
                now
            },
            confirmed_at: UnixMs(0),
            deadline: 0,
            percent: 0,
            progress_at: now,
            listed: false,
            proven: false,
            trial: if isolated { Trial::Awaited } else { Trial::No },
            isolated,
            restarted: false,
            cannot_start: false,
            absent: false,
            pace: Some(FULL_PERCENT),
            fresh,
            expected_ms: self.expected_ms(key, &id),
        };
        let worker = self.worker_mut(key);
        worker.insert(id, run);
        if isolated {
            worker.renewal_after = now;
        } else {
            self.send_start(key, &id, out);
        }
    }

    /// Returns the number of the next run of a task.
    pub(super) fn next_run(&self, last: u64) -> u64 {
        (last + 1).max((self.term.saturating_sub(1)) * RUNS_PER_TERM + 1)
    }

    /// Sends the start of a run, unless it must wait for a confirmation of the ownership.
    pub(super) fn send_start(&mut self, key: WorkerKey, id: &TaskId, out: &mut Vec<Action>) {
        if !self.may_start() {
            return;
        }
        let (now, term) = (self.now, self.term);
        let Some((_, job)) = self.job_mut(id.job) else {
            return;
        };
        let text = job.record.spec.text.clone();
        let checkpoints = job.step(id).is_some_and(|s| s.checkpoints);
        let saved = job
            .task(id)
            .map(|t| t.checkpoint.clone())
            .filter(|_| checkpoints);
        let ticket = self
            .step_key(id)
            .and_then(|step_key| self.adviser_ticket(step_key, key))
            .unwrap_or_default()
            .to_owned();
        let worker = self.worker_mut(key);
        let Some(clock) = worker.clock(now) else {
            return;
        };
        let end = clock.saturating_add(worker.start_valid_ms(now, START_VALID_MS));
        worker.lease_expires_at = worker.lease_expires_at.max(end);
        let target = Arc::clone(&worker.target);
        let Some(run) = worker.runs.get_mut(id) else {
            return;
        };
        run.sends += 1;
        run.sent_to = target.started_at;
        run.deadline = run.deadline.max(end);
        // The response, or its loss, comes before and sets the time of the next send.
        run.resend_at = now.after(START_VALID_MS * 2);
        let number = run.run;
        let start = Start {
            task: *id,
            run: number,
            text,
            checkpoint: saved.unwrap_or_default(),
            ticket,
            deadline: end,
            term,
        };
        out.push(Action::Order(key, target, Order::Start(start)));
        self.bind_task(key, id, number);
    }

    /// Sends the starts and stops that are due, and removes the runs of silent workers whose leases
    /// have expired.
    pub(super) fn check_runs(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        self.forget_bindings();
        for key in self.worker_keys() {
            self.stop_stale_starts(key, out);
            let worker = self.worker(key);
            if worker.runs.is_empty() {
                continue;
            }
            if worker.has_lapsed(self.confirmed_at) {
                self.expire_leases(key);
                continue;
            }
            let due: Vec<(TaskId, Stage, Trial, bool)> = worker
                .runs
                .iter()
                .filter(|(_, r)| r.stage != Stage::Running && r.resend_at.passed(now))
                .map(|(id, r)| (*id, r.stage, r.trial, r.isolated && r.restarted))
                .collect();
            for (id, stage, trial, was_elsewhere) in due {
                match stage {
                    Stage::Starting if trial == Trial::Awaited => self.drop_trial(key, &id),
                    // Another start in the next process would be another trial.
                    Stage::Starting if was_elsewhere => self.abandon_start(key, &id),
                    Stage::Starting if !self.worker(key).may_resend(now) => {
                        self.abandon_start(key, &id);
                    }
                    Stage::Starting => self.send_start(key, &id, out),
                    Stage::Stopping | Stage::Abandoned => self.send_stop(key, &id, out),
                    Stage::Running => {}
                }
            }
        }
    }

    /// Gives up a start without a response, and the rest of a gang.
    pub(super) fn abandon_start(&mut self, key: WorkerKey, id: &TaskId) {
        let now = self.now;
        let worker = self.worker_mut(key);
        let Some(run) = worker.runs.get_mut(id) else {
            return;
        };
        let sends = std::mem::take(&mut run.sends);
        run.stage = Stage::Abandoned;
        run.resend_at = now;
        let (number, deadline, sent_to) = (run.run, run.deadline, run.sent_to);
        log::warn!(
            task:% = id, run = number, worker = worker.target.name.as_str(), sends, sent_to, deadline,
            clock = worker.clock(now), taken:% = worker.taken(), capacity:% = worker.target.capacity;
            "start given up without a response"
        );
        self.runs_due = true;
        self.break_gang(id, number);
    }

    /// Stops runs whose starts were sent to an earlier incarnation of a worker and may still
    /// arrive.
    fn stop_stale_starts(&mut self, key: WorkerKey, out: &mut Vec<Action>) {
        let (now, term) = (self.now, self.term);
        let worker = self.worker_mut(key);
        worker.lost_starts.retain(|s| !s.expires_at.passed(now));
        worker.stale_starts.retain(|s| !s.expires_at.passed(now));
        if worker.stale_starts.is_empty() || !worker.stale_resend_at.passed(now) {
            return;
        }
        worker.stale_resend_at = now.after(STOP_RESEND_MS);
        let unstopped = |s: &&LostStart| s.stopped_at.is_none();
        for start in worker.stale_starts.iter().filter(unstopped) {
            let stop = Stop {
                task: start.task,
                run: start.run,
                term,
            };
            out.push(Action::Order(
                key,
                Arc::clone(&worker.target),
                Order::Stop(stop),
            ));
        }
    }

    fn send_stop(&mut self, key: WorkerKey, id: &TaskId, out: &mut Vec<Action>) {
        let (now, term) = (self.now, self.term);
        let worker = self.worker_mut(key);
        let target = Arc::clone(&worker.target);
        let Some(run) = worker.runs.get_mut(id) else {
            return;
        };
        run.sends += 1;
        run.resend_at = now.after(STOP_RESEND_MS * u64::from(run.sends.min(4)));
        let stop = Stop {
            task: *id,
            run: run.run,
            term,
        };
        out.push(Action::Order(key, target, Order::Stop(stop)));
    }

    /// Marks a run to be stopped; the stop is sent with the next check of the runs.
    pub(super) fn stop_run(&mut self, key: WorkerKey, id: &TaskId) {
        let now = self.now;
        self.runs_due = true;
        if let Some(run) = self.worker_mut(key).runs.get_mut(id)
            && matches!(run.stage, Stage::Running | Stage::Starting)
        {
            // The start is under way and may arrive after the stop.
            run.stage = if run.stage == Stage::Running {
                Stage::Stopping
            } else {
                Stage::Abandoned
            };
            run.sends = 0;
            run.resend_at = now;
        }
    }

    /// Stops all runs of a job.
    pub(super) fn stop_job(&mut self, job: JobKey) {
        for key in self.worker_keys() {
            let worker = self.worker(key);
            let runs = worker.runs.iter().filter(|(_, r)| r.job == job);
            let tasks: Vec<TaskId> = runs.map(|(id, _)| *id).collect();
            for id in tasks {
                self.stop_run(key, &id);
            }
        }
    }

    /// Stops all members of a gang's run when one of them can't take part.
    pub(super) fn break_gang(&mut self, id: &TaskId, run: u64) {
        let Some((_, job)) = self.job_mut(id.job) else {
            return;
        };
        if !job.step(id).is_some_and(|s| s.gang) {
            return;
        }
        let Some(step) = job.step_state(id) else {
            return;
        };
        let members = (0u32..).zip(&step.tasks);
        let placed: Vec<(u32, WorkerKey)> = members
            .filter(|(_, t)| t.last_run == run)
            .filter_map(|(i, t)| Some((i, t.worker?)))
            .collect();
        for (index, key) in placed {
            self.stop_run(key, &TaskId { index, ..*id });
        }
    }

    /// Removes a run from a worker, which makes its task idle; the log says `why` when the task is started
    /// again.
    pub(super) fn remove_run(&mut self, key: WorkerKey, id: &TaskId, why: Gone) -> Option<Run> {
        let gone = self.gone_run(key, why);
        let worker = self.worker_mut(key);
        let run = worker.remove(id)?;
        let unlisted_idle = !worker.listed && worker.runs.is_empty();
        self.workers_dirty |= unlisted_idle;
        if let Some((_, job)) = self.job_mut(id.job)
            && let Some(task) = job.task(id)
            && task.worker == Some(key)
        {
            task.worker = None;
            task.gone = Some(gone);
        }
        self.replan = true;
        Some(run)
    }

    /// Removes all runs of a silent worker whose leases have expired.
    fn expire_leases(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        let reading = worker.clock_reading;
        log::warn!(
            worker = worker.target.name.as_str(), started_at = worker.target.started_at, runs = worker.runs.len(),
            lost = worker.failed_renewals, term = self.term, inherited = worker.inherited,
            lease_expires_at = worker.lease_expires_at, clock = reading.map_or(0, |r| r.clock),
            heard_ms = worker.heard_at.map(|at| self.now.since(at)),
            confirmed_ms = self.now.since(self.confirmed_at), clock_age_ms = reading.map_or(0, |r| self.now.since(r.at));
            "leases of a silent worker have expired"
        );
        let tasks: Vec<TaskId> = worker.runs.keys().copied().collect();
        self.remember_silent_runs(key);
        for id in tasks {
            self.log_given_up(key, &id, Gone::Lease);
            self.remove_run(key, &id, Gone::Lease);
        }
        self.worker_mut(key).answered = false;
    }

    /// Stops runs that make no progress, so that they are tried on other workers.
    pub(super) fn check_stalls(&mut self, key: WorkerKey) {
        let now = self.now;
        let worker = self.worker(key);
        if worker.failed_renewals > 0 {
            return;
        }
        let limit_ms = |id: &TaskId, r: &Run| {
            let step = self.jobs.get(&r.job).and_then(|j| j.step(id));
            let estimate = step.map_or(STALL_MAX_MS, |s| s.estimate_ms);
            (estimate.saturating_mul(STALL_PERCENT) / 100).clamp(STALL_MIN_MS, STALL_MAX_MS)
        };
        let stalled = |id: &TaskId, r: &Run| {
            r.stage == Stage::Running && now.since(r.progress_at) > limit_ms(id, r)
        };
        let tasks: Vec<(TaskId, JobKey, u64)> = worker
            .runs
            .iter()
            .filter(|(id, r)| stalled(id, r))
            .map(|(id, r)| (*id, r.job, r.run))
            .collect();
        for (id, job, run) in tasks {
            let step = self.jobs.get(&job).and_then(|j| j.step(&id));
            let (gang, endless) = step.map_or((false, false), |s| (s.gang, s.endless));
            let percent = self.worker(key).runs.get(&id).map_or(0, |r| r.percent);
            if endless || percent >= 100 {
                continue;
            }
            let worker = self.worker_mut(key);
            let target = Arc::clone(&worker.target);
            log::warn!(task:% = id, run, percent, worker = target.name.as_str(); "run stalled; trying the task on another worker");
            // One stalled member holds up its whole gang, so a stall isn't evidence against the
            // worker.
            if !gang {
                worker.health.record_stall(now);
            }
            self.stop_run(key, &id);
            if let Some((_, job)) = self.job_mut(id.job)
                && let Some(task) = job.task(&id)
            {
                task.avoid(key);
            }
            if gang {
                self.break_gang(&id, run);
            }
        }
    }
}
