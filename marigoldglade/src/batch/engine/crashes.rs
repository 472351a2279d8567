//! Tasks that crash the workers that start them.
//!
//! A run that ends with its worker's process counts against its task, and a task that crashes one
//! worker after another is given up. A crashed worker is silent for seconds, so its runs have usually
//! been given up with its leases before its restart shows what happened. Until then they are kept as
//! [`SilentRun`]s.

use std::net::SocketAddr;

use crate::batch::engine::job::Task;
use crate::batch::engine::runs::{Run, Stage};
use crate::batch::engine::workers::Worker;
use crate::batch::engine::{Engine, JobKey, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::record::{Crash, LostRun, State};
use crate::batch::worker::Target;
use crate::time::UnixMs;

/// The weight of crashes at which a task is given up.
const CRASH_LIMIT: u32 = 4;
/// The number of crashes that a task is given up for at least, of workers that certainly had its run.
const CERTAIN_CRASHES: usize = 2;
/// The weight of a crash that the task's start has almost certainly caused.
const CERTAIN_WEIGHT: u32 = 2;
/// The weight of a crash that another run may have caused.
const POSSIBLE_WEIGHT: u32 = 1;
/// How long a task that would be given up if its lost runs had crashed their workers waits for these
/// workers to answer, in milliseconds.
const ANSWER_WAIT_MS: u64 = 10_000;
/// How long a lost run is remembered, in milliseconds; a worker that stays away longer is gone.
const LOST_RUN_LIMIT_MS: u64 = 60_000;
/// How long after a crash a task is started only where no other run is new, in milliseconds. Without a
/// limit it might never find such a worker in a busy fleet.
const ISOLATION_MS: u64 = 15_000;

/// A run that was given up with a silent worker, which may have crashed.
#[derive(Clone, Debug)]
pub(super) struct SilentRun {
    pub task: TaskId,
    pub lost: LostRun,
    /// Whether a report had listed the run.
    pub listed: bool,
    /// When the run is forgotten.
    pub expires_at: UnixMs,
}

impl Task {
    /// Returns the weight of the crashes under its runs.
    fn crash_weight(&self) -> u32 {
        self.crashes.iter().map(|c| c.weight).sum()
    }

    /// Returns whether the task waits until a worker that fell silent under it answers.
    pub fn awaits_answer(&self, now: UnixMs) -> bool {
        let lost = u32::try_from(self.lost_runs.len()).unwrap_or(u32::MAX);
        !self.answer_by.passed(now)
            && self.crash_weight() + lost.saturating_mul(CERTAIN_WEIGHT) >= CRASH_LIMIT
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

    /// Returns the runs that a crash of the worker's process may be blamed on later.
    fn silent_runs(&self, now: UnixMs) -> Vec<SilentRun> {
        if self.target.draining || self.target.started_at == 0 {
            return Vec::new();
        }
        let new_runs = self.runs.values().filter(|r| !r.listed).count();
        // A start without an answer may have been sent to a process that had already ended.
        let accepted = |run: &Run| matches!(run.stage, Stage::Running | Stage::Stopping);
        let weight = |run: &Run| {
            if !run.listed && (run.isolated || (accepted(run) && new_runs == 1)) {
                CERTAIN_WEIGHT
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
                certain: run.listed || run.isolated || accepted(run),
            },
            listed: run.listed,
            expires_at: now.after(LOST_RUN_LIMIT_MS),
        };
        self.runs.iter().map(silent_run).collect()
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
        for run in runs.iter().filter(|r| !r.listed) {
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
                            listed: false,
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
        for run in alive.iter().filter(|r| !r.listed) {
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
        for run in forgotten.iter().filter(|r| !r.listed) {
            self.drop_lost_run(run);
        }
    }

    /// Returns the runs of a worker that ended with its process.
    pub(super) fn ended_with_process(&self, key: WorkerKey, tasks: &[TaskId]) -> Vec<SilentRun> {
        let mut runs = self.worker(key).silent_runs(self.now);
        runs.retain(|r| tasks.contains(&r.task));
        runs
    }

    /// Counts a crash of a worker against the tasks that it ran: against those that had just been started
    /// there, or else against all of them.
    pub(super) fn blame(&mut self, runs: &[SilentRun]) {
        let now = self.now;
        let Some(first) = runs.first() else {
            return;
        };
        // Runs whose starts may have reached the new process are looked at later.
        let undecided = self
            .worker_names
            .get(&first.lost.worker)
            .is_some_and(|key| {
                let mut runs = self.worker(*key).runs.values();
                runs.any(|r| r.restarted && !r.listed)
            });
        let any_early = undecided || runs.iter().any(|r| !r.listed);
        for run in runs {
            self.counts.crashed += 1;
            log::warn!(
                task:% = run.task, run = run.lost.run, listed = run.listed,
                worker = run.lost.worker.as_str(), started_at = run.lost.started_at;
                "run ended with its worker's process"
            );
            let crash = Crash {
                run: run.lost.run,
                worker: run.lost.worker.clone(),
                weight: run.lost.weight,
                certain: run.lost.certain,
                early: !run.listed,
            };
            // Over its life an endless task sees any number of workers end for other reasons.
            let counts = crash.early || !(any_early || self.is_endless(&run.task));
            self.change_task(&run.task, |task| {
                task.lost_runs.retain(|l| l.run != crash.run);
                if counts {
                    task.crashes.push(crash);
                    task.suspect(now);
                }
            });
            if counts {
                self.give_up_crashing(&run.task);
            }
        }
    }

    /// Notes that a worker lists a new run of a task, so that an earlier crash may have had another cause.
    pub(super) fn clear_early_crashes(&mut self, id: &TaskId) {
        let endless = self.is_endless(id);
        let Some((_, job)) = self.job_mut(id.job) else {
            return;
        };
        let early = |t: &mut Task| t.crashes.iter().any(|c| c.early);
        if !job.task(id).is_some_and(early) {
            return;
        }
        self.change_task(id, |task| {
            for crash in &mut task.crashes {
                (crash.early, crash.weight) = (false, POSSIBLE_WEIGHT);
            }
            task.crashes.retain(|_| !endless);
        });
    }

    fn is_endless(&self, id: &TaskId) -> bool {
        let job = self.step_key(id).and_then(|k| self.jobs.get(&k.job));
        job.and_then(|j| j.step(id)).is_some_and(|s| s.endless)
    }

    /// Fails the job of a task under which too many workers have crashed.
    fn give_up_crashing(&mut self, id: &TaskId) {
        let wall_ms = self.wall_ms;
        let Some((job_key, job)) = self.job_mut(id.job) else {
            return;
        };
        if !job.is_open() {
            return;
        }
        let Some(task) = job.task(id) else {
            return;
        };
        let certain = task.crashes.iter().filter(|c| c.certain).count();
        if task.crash_weight() < CRASH_LIMIT || certain < CERTAIN_CRASHES {
            return;
        }
        let runs: Vec<u64> = task.crashes.iter().map(|c| c.run).collect();
        let workers: Vec<&str> = task.crashes.iter().map(|c| c.worker.as_str()).collect();
        log::warn!(task:% = id, runs:? = runs, workers:? = workers; "job failed: workers crashed under a task of it");
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
