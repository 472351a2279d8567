//! Tasks that crash the workers that start them.
//!
//! A worker's process also ends for reasons of its own, and a worker that is cut off and restarts loses
//! starts without having begun them. So the end of a process under a new run only makes its task a
//! suspect. A suspect's next runs are trials: each is the only new run on its worker, and its start is
//! sent right after a report of the worker. A task is given up once several workers have fallen silent
//! at trials of it and turned out to have restarted.
//!
//! A crashed worker is silent for seconds, so its runs have usually been given up with its leases before
//! its restart shows what happened. Until then they are kept as [`SilentRun`]s.

use std::net::SocketAddr;

use crate::batch::engine::gone::Gone;
use crate::batch::engine::job::Task;
use crate::batch::engine::runs::{Run, Stage};
use crate::batch::engine::workers::Worker;
use crate::batch::engine::{Action, Engine, JobKey, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::record::{Crash, LostRun, State};
use crate::batch::worker::Target;
use crate::time::UnixMs;

/// The number of crashes under trials for which a task is given up while workers hardly restart by themselves.
const CRASH_LIMIT: usize = 2;
/// How long the restart of a worker counts that no run has caused, in milliseconds.
const RESTART_WINDOW_MS: u64 = 10_000;
/// How long after its start a run that a report lists has certainly not crashed its worker by being started, and
/// after which a report is asked for, in milliseconds.
pub(super) const PROOF_MS: u64 = 100;
/// How long the start of a trial waits for a report, in milliseconds: as long as a worker may hold it back,
/// and an order's timeout.
pub(super) const TRIAL_WAIT_MS: u64 = 2_000;
/// How many crashes under a task are remembered: more than it is given up for. Those under trials are kept
/// longest.
const CRASHES_KEPT: usize = 16;
/// The weight of a crash under the only new run on its worker.
const ONLY_WEIGHT: u32 = 2;
/// The weight of a crash that another run may have caused.
const POSSIBLE_WEIGHT: u32 = 1;
/// How long a task that would be given up if its lost runs had crashed their workers waits for these
/// workers to answer, in milliseconds.
const ANSWER_WAIT_MS: u64 = 10_000;
/// How long a lost run is remembered, in milliseconds; a worker that stays away longer is gone.
const LOST_RUN_LIMIT_MS: u64 = 60_000;
/// How long after a crash a task is started only as a trial, in milliseconds. Without a limit it might never
/// find a worker without new runs in a busy fleet.
const ISOLATION_MS: u64 = 15_000;

/// How far a trial of a task is that may crash its workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trial {
    /// The run is no trial, or its worker has answered later and not listed it.
    No,
    /// The start is sent with the next report of the worker.
    Awaited,
    /// The start was sent right after a report, at this time.
    Sent(UnixMs),
}

/// A run that was given up with a silent worker, which may have crashed.
#[derive(Clone, Debug)]
pub(super) struct SilentRun {
    pub task: TaskId,
    pub lost: LostRun,
    /// Whether the run had been going on for a while.
    pub proven: bool,
    /// When the run is forgotten.
    pub expires_at: UnixMs,
}

impl Task {
    /// Returns the number of crashes under its trials.
    fn trial_crashes(&self) -> usize {
        self.crashes.iter().filter(|c| c.certain).count()
    }

    /// Returns whether the task waits until a worker that fell silent at a trial of it answers.
    pub fn awaits_answer(&self, now: UnixMs) -> bool {
        let lost = self.lost_runs.iter().filter(|l| l.certain).count();
        !self.answer_by.passed(now) && lost > 0 && self.trial_crashes() + lost >= CRASH_LIMIT
    }

    /// Returns whether the task may crash workers, so that a new run of it must be the only new one on
    /// its worker.
    pub fn is_isolated(&self, now: UnixMs) -> bool {
        !self.isolated_until.passed(now)
    }

    /// Isolates the task's next runs, and limits its wait for silent workers, if it may crash workers.
    pub fn suspect(&mut self, now: UnixMs) {
        if !self.lost_runs.is_empty() || self.crashes.iter().any(|c| c.early) {
            self.isolated_until = now.after(ISOLATION_MS);
            self.answer_by = now.after(ANSWER_WAIT_MS);
        }
    }
}

impl Worker {
    /// Returns whether a new run of a task may start here: none that a report hasn't listed yet is
    /// isolated, and none at all is new if the task itself is.
    pub fn may_start_beside(&self, isolated: bool) -> bool {
        let in_the_way = |r: &Run| !r.listed && (isolated || r.isolated);
        !self.runs.values().any(in_the_way)
    }

    /// Returns whether the next report decides about a trial here.
    pub fn has_trials(&self) -> bool {
        let undecided = |r: &Run| r.isolated && !r.proven && r.stage != Stage::Abandoned;
        self.runs.values().any(undecided)
    }

    /// Returns the runs that a crash of the worker's process may be blamed on later.
    fn silent_runs(&self, now: UnixMs) -> Vec<SilentRun> {
        if self.target.draining || self.target.started_at == 0 {
            return Vec::new();
        }
        let trial = |run: &Run| matches!(run.trial, Trial::Sent(_)) && !run.proven;
        let new_runs = self.runs.values().filter(|r| !r.proven).count();
        let weight = |run: &Run| {
            if !run.proven && new_runs == 1 {
                ONLY_WEIGHT
            } else {
                POSSIBLE_WEIGHT
            }
        };
        let silent_run = |(task, run): (&TaskId, &Run)| SilentRun {
            task: *task,
            lost: LostRun {
                run: run.run,
                worker: self.target.name.clone(),
                addr: self.target.addr,
                started_at: self.target.started_at,
                weight: weight(run),
                certain: trial(run),
            },
            proven: run.proven,
            expires_at: now.after(LOST_RUN_LIMIT_MS),
        };
        let sent = |(_, run): &(&TaskId, &Run)| run.trial != Trial::Awaited;
        self.runs.iter().filter(sent).map(silent_run).collect()
    }
}

impl Engine {
    /// Remembers the runs of a worker that has fallen silent until its restart shows that it crashed.
    pub(super) fn remember_silent_runs(&mut self, key: WorkerKey) {
        let now = self.now;
        let worker = self.worker(key);
        let (addr, runs) = (worker.target.addr, worker.silent_runs(now));
        if runs.is_empty() {
            return;
        }
        for run in runs.iter().filter(|r| !r.proven) {
            let lost = run.lost.clone();
            self.change_task(&run.task, |task| {
                task.lost_runs.push(lost);
                task.suspect(now);
            });
        }
        self.silent_runs.entry(addr).or_default().extend(runs);
    }

    /// Remembers the lost runs and the bindings of a job that an earlier owner recorded.
    pub(super) fn inherit_lost_runs(&mut self, job_key: JobKey) {
        self.inherit_bindings(job_key);
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&job_key) else {
            return;
        };
        let id = job.record.id;
        for (round, r) in (0u32..).zip(&mut job.rounds) {
            for (step, s) in (0u16..).zip(&mut r.steps) {
                for (index, task) in (0u32..).zip(&mut s.tasks) {
                    task.suspect(now);
                    for lost in &task.lost_runs {
                        let run = SilentRun {
                            task: TaskId {
                                job: id,
                                round,
                                step,
                                index,
                            },
                            lost: lost.clone(),
                            proven: false,
                            expires_at: now.after(LOST_RUN_LIMIT_MS),
                        };
                        self.silent_runs.entry(lost.addr).or_default().push(run);
                    }
                }
            }
        }
    }

    /// Decides what became of the silent runs at a worker's address, now that the worker answers or
    /// registers.
    ///
    /// A newer process at the address shows that the earlier one has ended. That it lives on is shown by
    /// an answer only, as a registry entry may be old.
    pub(super) fn settle_silent_runs(&mut self, target: &Target, answered: bool) {
        if target.started_at == 0 {
            return;
        }
        let Some(runs) = self.silent_runs.remove(&target.addr) else {
            return;
        };
        let (crashed, others): (Vec<_>, Vec<_>) = runs
            .into_iter()
            .partition(|r| r.lost.started_at < target.started_at);
        let (alive, silent): (Vec<_>, Vec<_>) = others
            .into_iter()
            .partition(|r| answered && r.lost.worker == target.name);
        if !silent.is_empty() {
            self.silent_runs.insert(target.addr, silent);
        }
        for run in alive.iter().filter(|r| !r.proven) {
            self.drop_lost_run(run);
        }
        self.blame(&crashed);
    }

    /// Blames the silent runs of a worker at whose address another process answers.
    pub(super) fn blame_silent_runs(&mut self, addr: SocketAddr, worker: &str) {
        let runs = self.silent_runs.remove(&addr).unwrap_or_default();
        let (crashed, silent): (Vec<_>, Vec<_>) =
            runs.into_iter().partition(|r| r.lost.worker == worker);
        if !silent.is_empty() {
            self.silent_runs.insert(addr, silent);
        }
        self.blame(&crashed);
    }

    fn drop_lost_run(&mut self, run: &SilentRun) {
        self.change_task(&run.task, |task| {
            task.lost_runs.retain(|l| l.run != run.lost.run);
        });
    }

    /// Forgets the silent runs of workers that are gone.
    pub(super) fn forget_silent_runs(&mut self) {
        let now = self.now;
        let mut runs = self.silent_runs.values().flatten();
        if !runs.any(|r| r.expires_at.passed(now)) {
            return;
        }
        let mut forgotten = Vec::new();
        self.silent_runs.retain(|_, runs| {
            let (old, kept): (Vec<_>, Vec<_>) = std::mem::take(runs)
                .into_iter()
                .partition(|r| r.expires_at.passed(now));
            forgotten.extend(old);
            *runs = kept;
            !runs.is_empty()
        });
        for run in forgotten.iter().filter(|r| !r.proven) {
            self.drop_lost_run(run);
        }
    }

    /// Returns the runs of a worker that ended with its process.
    pub(super) fn ended_with_process(&self, key: WorkerKey, tasks: &[TaskId]) -> Vec<SilentRun> {
        let mut runs = self.worker(key).silent_runs(self.now);
        runs.retain(|r| tasks.contains(&r.task));
        runs
    }

    /// Notes that a worker's process has ended, unless one of its new runs may be the cause.
    pub(super) fn note_restart(&mut self, key: WorkerKey) {
        let now = self.now;
        let worker = self.worker(key);
        let new_run = worker.runs.values().any(|r| !r.proven);
        let silent = self.silent_runs.get(&worker.target.addr);
        let silent_run = silent.is_some_and(|runs| runs.iter().any(|r| !r.proven));
        // A process that this owner hasn't heard from may have ended under a run of an earlier owner.
        if worker.fenced && !new_run && !silent_run {
            self.restarts.push_back(now.after(RESTART_WINDOW_MS));
        }
    }

    /// Returns the number of crashes under trials for which a task is given up: the more often workers restart
    /// by themselves, the more trials may meet that by chance.
    fn crash_limit(&mut self) -> usize {
        let now = self.now;
        while self.restarts.front().is_some_and(|end| end.passed(now)) {
            self.restarts.pop_front();
        }
        let restarts = self.restarts.len();
        let workers = self.workers.iter().filter(|w| w.listed).count();
        let often = usize::from(restarts * 8 >= workers);
        let very_often = usize::from(restarts >= workers);
        CRASH_LIMIT + often + very_often
    }

    /// Sends the starts of the trials that waited for a worker's report, or gives them up if the worker can't
    /// be given work any more.
    pub(super) fn send_trials(&mut self, key: WorkerKey, out: &mut Vec<Action>) {
        let (now, may_start) = (self.now, self.may_start());
        let awaited = |r: &Run| r.trial == Trial::Awaited && r.stage == Stage::Starting;
        let worker = self.worker_mut(key);
        let usable = may_start && worker.is_usable(now) && worker.may_resend(now);
        let trials = worker.runs.iter().filter(|(_, r)| awaited(r));
        let tasks: Vec<TaskId> = trials.map(|(id, _)| *id).collect();
        for id in tasks {
            if !usable {
                self.drop_trial(key, &id);
                continue;
            }
            if let Some(run) = self.worker_mut(key).runs.get_mut(&id) {
                (run.trial, run.started_at) = (Trial::Sent(now), now);
            }
            self.send_start(key, &id, out);
        }
    }

    /// Gives up a trial whose start hasn't been sent, and the rest of a gang.
    pub(super) fn drop_trial(&mut self, key: WorkerKey, id: &TaskId) {
        if let Some(run) = self.remove_run(key, id, Gone::Unsent) {
            self.break_gang(id, run.run);
        }
    }

    /// Updates the trials on a worker after a report: one that still isn't listed hasn't crashed the process.
    pub(super) fn check_trials(&mut self, key: WorkerKey) {
        let worker = self.worker_mut(key);
        let asked_at = worker.asked_at;
        for run in worker.runs.values_mut().filter(|r| !r.restarted) {
            if let Trial::Sent(at) = run.trial
                && at.after(PROOF_MS) <= asked_at
            {
                run.trial = Trial::No;
            }
        }
    }

    /// Counts the end of a worker's process against the tasks that it had just been given.
    pub(super) fn blame(&mut self, runs: &[SilentRun]) {
        let now = self.now;
        for run in runs {
            self.counts.crashed += 1;
            log::warn!(
                task:% = run.task, run = run.lost.run, proven = run.proven, trial = run.lost.certain,
                worker = run.lost.worker.as_str(), started_at = run.lost.started_at;
                "run ended with its worker's process"
            );
            if run.proven {
                continue;
            }
            let crash = Crash {
                run: run.lost.run,
                worker: run.lost.worker.clone(),
                weight: run.lost.weight,
                certain: run.lost.certain,
                early: true,
            };
            self.change_task(&run.task, |task| {
                task.lost_runs.retain(|l| l.run != crash.run);
                task.crashes.push(crash);
                if task.crashes.len() > CRASHES_KEPT {
                    let other = task.crashes.iter().position(|c| !c.certain);
                    task.crashes.remove(other.unwrap_or(0));
                }
                task.suspect(now);
            });
            self.give_up_crashing(&run.task);
        }
    }

    /// Notes that a run of a task has been going on for a while, so that earlier crashes had other causes.
    pub(super) fn clear_crashes(&mut self, id: &TaskId) {
        let Some((_, job)) = self.job_mut(id.job) else {
            return;
        };
        let Some(task) = job.task(id).filter(|t| !t.crashes.is_empty()) else {
            return;
        };
        let alone = task.crashes.iter().filter(|c| c.weight >= ONLY_WEIGHT);
        let restarts = alone.count();
        self.change_task(id, |task| task.crashes.clear());
        let end = self.now.after(RESTART_WINDOW_MS);
        self.restarts.extend(std::iter::repeat_n(end, restarts));
    }

    /// Fails the job of a task under whose trials too many workers have crashed.
    fn give_up_crashing(&mut self, id: &TaskId) {
        let wall_ms = self.wall_ms;
        let limit = self.crash_limit();
        let restarts = self.restarts.len();
        let Some((job_key, job)) = self.job_mut(id.job) else {
            return;
        };
        if !job.is_open() {
            return;
        }
        let Some(task) = job.task(id) else {
            return;
        };
        if task.trial_crashes() < limit {
            return;
        }
        let runs: Vec<u64> = task.crashes.iter().map(|c| c.run).collect();
        let workers: Vec<&str> = task.crashes.iter().map(|c| c.worker.as_str()).collect();
        log::warn!(task:% = id, runs:? = runs, workers:? = workers, restarts; "job failed: workers crashed under trials of a task of it");
        job.record.state = State::Failed;
        job.record.ended_at = wall_ms;
        self.stop_job(job_key);
    }

    /// Changes what the record of an open job says about a task that isn't done; the task isn't started
    /// again before the record is durable, so that the next owner knows of the crash as well.
    fn change_task(&mut self, id: &TaskId, change: impl FnOnce(&mut Task)) {
        let Some((job_key, job)) = self.job_mut(id.job) else {
            return;
        };
        if !job.is_open() {
            return;
        }
        let changes = job.changes + 1;
        let Some(task) = job.task(id).filter(|t| !t.done) else {
            return;
        };
        change(task);
        task.start_after = changes;
        job.changes = changes;
        self.dirty_jobs.insert(job_key);
        self.replan = true;
    }
}
