//! Starts that may be carried out late, and the workers to which they bind their tasks.
//!
//! A start without a response may be carried out seconds later. The process that it was meant for then
//! refuses it as late, but the worker's next process, whose clock starts anew, doesn't. Until that is
//! ruled out the task runs on this worker or nowhere: a run on an earlier process of it has ended before
//! the next one carries out anything.

use std::collections::HashSet;
use std::net::SocketAddr;

use crate::batch::engine::job::Task;
use crate::batch::engine::orders::{LATE_ORDER_MS, LOST_START_MS};
use crate::batch::engine::runs::LostStart;
use crate::batch::engine::{Engine, JobKey, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::record::LateStart;
use crate::batch::worker::{ActiveRun, Report, Start, Target};
use crate::time::UnixMs;

/// The binding of a task to a worker that may still carry out starts of it.
#[derive(Clone, Debug)]
pub(super) struct Binding {
    /// The worker that the starts were sent to.
    pub start: LateStart,
    /// The number of starts under way.
    pub unanswered: u32,
    /// Whether a start got no response, so that the next owner must know of it.
    pub lost: bool,
    /// Until when the starts that got no response may be carried out.
    pub late_until: UnixMs,
    /// Until when a run that began so may last on a worker that doesn't answer.
    pub expires_at: UnixMs,
    /// Until when the task is tried again on the worker: one that loses all starts would bind it for
    /// good.
    pub retry_until: UnixMs,
}

impl Binding {
    fn new(start: LateStart) -> Self {
        Self {
            start,
            unanswered: 0,
            lost: false,
            late_until: UnixMs(0),
            expires_at: UnixMs(0),
            retry_until: UnixMs::MAX,
        }
    }

    /// Creates the binding that an earlier owner recorded.
    pub fn inherit(start: LateStart) -> Self {
        Self {
            lost: true,
            ..Self::new(start)
        }
    }

    /// Returns whether nothing that the starts began can have lasted longer than `confirmed_at`, up to which
    /// the worker certainly had no other owner.
    fn is_over(&self, confirmed_at: UnixMs) -> bool {
        self.unanswered == 0 && self.expires_at.passed(confirmed_at)
    }
}

impl Task {
    /// Returns the binding that restricts where the task may be started.
    pub fn binding(&self, confirmed_at: UnixMs) -> Option<&Binding> {
        self.binding.as_ref().filter(|b| !b.is_over(confirmed_at))
    }

    /// Returns what the record says about starts that may be carried out late.
    pub fn late_start(&self) -> Option<LateStart> {
        let binding = self.binding.as_ref().filter(|b| b.lost)?;
        Some(binding.start.clone())
    }
}

impl Engine {
    /// Binds a task to the worker that a start of it is sent to.
    pub(super) fn bind_task(&mut self, key: WorkerKey, id: &TaskId, run: u64) {
        let confirmed_at = self.confirmed_at;
        let target = &self.worker(key).target;
        let start = LateStart {
            worker: target.name.clone(),
            addr: target.addr,
            run,
        };
        let Some((_, job)) = self.job_mut(id.job) else {
            return;
        };
        let Some(task) = job.task(id) else {
            return;
        };
        let old = task.binding.take();
        let old = old.filter(|b| b.start.worker == start.worker && !b.is_over(confirmed_at));
        let binding = task
            .binding
            .insert(old.unwrap_or_else(|| Binding::new(start.clone())));
        binding.start = start;
        binding.unanswered += 1;
    }

    /// Notes the response to a start, or its loss.
    pub(super) fn settle_start(&mut self, key: WorkerKey, start: &Start, lost: bool) {
        let (now, confirmed_at) = (self.now, self.confirmed_at);
        let lease_ms = self.foreign_lease_ms();
        let worker = self.worker(key).target.name.clone();
        let Some((job_key, job)) = self.job_mut(start.task.job) else {
            return;
        };
        let Some(task) = job.task(&start.task) else {
            return;
        };
        let bound = task.binding.as_mut();
        let Some(binding) = bound.filter(|b| b.start.worker == worker) else {
            return;
        };
        binding.unanswered = binding.unanswered.saturating_sub(1);
        if !lost {
            if binding.is_over(confirmed_at) && !binding.lost {
                task.binding = None;
            }
            return;
        }
        binding.late_until = now.after(LATE_ORDER_MS);
        binding.expires_at = binding.late_until.after(lease_ms);
        binding.retry_until = binding.retry_until.min(binding.late_until);
        let newly_lost = !std::mem::replace(&mut binding.lost, true);
        self.bound_tasks.insert(start.task);
        if newly_lost {
            log::info!(task:% = start.task, run = start.run, worker = worker.as_str(); "start without a response; its task is bound to the worker");
            self.record_binding(job_key);
        }
    }

    /// Has the record of a job written after the binding of a task has changed.
    fn record_binding(&mut self, job_key: JobKey) {
        let Some(job) = self.jobs.get_mut(&job_key) else {
            return;
        };
        job.changes += 1;
        self.dirty_jobs.insert(job_key);
    }

    /// Keeps the bindings that an earlier owner recorded.
    pub(super) fn inherit_bindings(&mut self, job_key: JobKey) {
        let late_until = self.now.after(LATE_ORDER_MS);
        let expires_at = late_until.after(self.foreign_lease_ms());
        let Some(job) = self.jobs.get_mut(&job_key) else {
            return;
        };
        let id = job.record.id;
        for (round, r) in (0u32..).zip(&mut job.rounds) {
            for (step, s) in (0u16..).zip(&mut r.steps) {
                for (index, task) in (0u32..).zip(&mut s.tasks) {
                    let Some(binding) = &mut task.binding else {
                        continue;
                    };
                    (binding.late_until, binding.retry_until) = (late_until, late_until);
                    binding.expires_at = expires_at;
                    self.bound_tasks.insert(TaskId {
                        job: id,
                        round,
                        step,
                        index,
                    });
                }
            }
        }
    }

    /// Has a worker that answers for the first time refuse the lost starts of an earlier owner, but for
    /// those whose runs go on there: it may have restarted since.
    pub(super) fn inherit_lost_starts(&mut self, key: WorkerKey) {
        let now = self.now;
        let worker = self.worker(key);
        let (name, capacity) = (worker.target.name.as_str(), worker.target.capacity);
        let known = |id: &TaskId| worker.lost_starts.iter().any(|s| s.task == *id);
        let lost_start = |id: &TaskId| {
            let job = self.jobs.get(self.job_ids.get(&id.job)?)?;
            let binding = job.find(id)?.binding(self.confirmed_at)?;
            let here = binding.start.worker == name && !known(id);
            here.then(|| LostStart {
                task: *id,
                run: binding.start.run,
                resources: self.charge(id).unwrap_or(capacity),
                late_until: binding.late_until,
                expires_at: now.after(LOST_START_MS),
                stopped_at: None,
            })
        };
        let starts: Vec<LostStart> = self.bound_tasks.iter().filter_map(lost_start).collect();
        let worker = self.worker_mut(key);
        let stale = |s: &&LostStart| !worker.runs.contains_key(&s.task);
        let stale: Vec<LostStart> = starts.iter().filter(stale).copied().collect();
        worker.stale_starts.extend(stale);
        worker.lost_starts.extend(starts);
    }

    /// Ends the bindings whose starts can't be carried out any more.
    pub(super) fn forget_bindings(&mut self) {
        let confirmed_at = self.confirmed_at;
        self.end_bindings(|_, b| b.is_over(confirmed_at));
    }

    /// Ends the bindings to a worker that reports, when the starts can't be carried out any more and none
    /// has begun a run. A process that has answered after the one that they were sent to must have refused
    /// them first, however long ago they were sent.
    pub(super) fn unbind_reported(&mut self, key: WorkerKey, report: &Report) {
        if self.bound_tasks.is_empty() || report.is_partial() {
            return;
        }
        let worker = self.worker(key);
        let (name, asked_at) = (worker.target.name.clone(), worker.asked_at);
        let runs = &worker.runs;
        let wanted = |r: &ActiveRun| runs.get(&r.task).is_some_and(|run| run.run == r.run);
        let unwanted = report.running.iter().filter(|r| !wanted(r));
        let stale = worker.stale_starts.iter().map(|s| s.task);
        let held: HashSet<TaskId> = unwanted.map(|r| r.task).chain(stale).collect();
        self.end_bindings(|id, b| {
            b.start.worker == name
                && b.unanswered == 0
                && b.late_until < asked_at
                && !held.contains(id)
        });
    }

    /// Returns the workers that must report before bindings to them can end, or at whose addresses
    /// another worker may run.
    pub(super) fn awaited_workers(&self) -> HashSet<WorkerKey> {
        let awaited = |id: &TaskId| {
            let job = self.jobs.get(self.job_ids.get(&id.job)?)?;
            let binding = job.find(id)?.binding(self.confirmed_at)?;
            let key = *self.worker_names.get(&binding.start.worker)?;
            let worker = self.worker(key);
            let silent = !worker.answered || worker.failed_renewals > 0;
            (silent || binding.late_until.passed(self.now)).then_some(key)
        };
        self.bound_tasks.iter().filter_map(awaited).collect()
    }

    /// Ends the bindings to a worker at whose address another one runs.
    pub(super) fn unbind_replaced(&mut self, addr: SocketAddr, worker: &str) {
        self.end_bindings(|_, b| b.start.addr == addr && b.start.worker == worker);
    }

    /// Ends the bindings to workers at whose addresses the registry lists newer ones.
    pub(super) fn unbind_moved(&mut self, targets: &[Target]) {
        if self.bound_tasks.is_empty() {
            return;
        }
        let started_at = |name: &str| {
            let key = self.worker_names.get(name)?;
            Some(self.worker(*key).target.started_at)
        };
        let mut replaced: Vec<(SocketAddr, String)> = Vec::new();
        for id in &self.bound_tasks {
            let job = self.job_ids.get(&id.job).and_then(|k| self.jobs.get(k));
            let Some(binding) = job.and_then(|j| j.find(id)?.binding.as_ref()) else {
                continue;
            };
            let (addr, name) = (binding.start.addr, &binding.start.worker);
            let newer = |t: &Target| {
                t.addr == addr
                    && t.name != *name
                    && started_at(name).is_some_and(|at| at > 0 && t.started_at > at)
            };
            if targets.iter().any(newer) {
                replaced.push((addr, name.clone()));
            }
        }
        for (addr, name) in replaced {
            self.unbind_replaced(addr, &name);
        }
    }

    fn end_bindings(&mut self, ends: impl Fn(&TaskId, &Binding) -> bool) {
        if self.bound_tasks.is_empty() {
            return;
        }
        let mut ended = Vec::new();
        let mut bound = std::mem::take(&mut self.bound_tasks);
        bound.retain(|id| {
            let Some((job_key, job)) = self.job_mut(id.job) else {
                return false;
            };
            let Some(task) = job.task(id) else {
                return false;
            };
            let Some(binding) = &task.binding else {
                return false;
            };
            if !ends(id, binding) {
                return true;
            }
            let recorded = binding.lost;
            task.binding = None;
            if recorded {
                ended.push(job_key);
            }
            false
        });
        self.bound_tasks = bound;
        for job_key in ended {
            self.record_binding(job_key);
            self.replan = true;
        }
    }

    /// Returns the worker on which alone a task may be started now; `Err` if it must wait, `Ok(None)` if
    /// it isn't bound.
    pub(super) fn bound_worker(
        &self,
        task: &Task,
        id: &TaskId,
    ) -> Result<Option<WorkerKey>, MustWait> {
        let now = self.now;
        let Some(binding) = task.binding(self.confirmed_at) else {
            return Ok(None);
        };
        let key = self.worker_names.get(&binding.start.worker);
        let key = *key.ok_or(MustWait)?;
        let worker = self.worker(key);
        let ruled_out = worker.stale_starts.iter().all(|s| s.task != *id);
        let usable = worker.is_usable(now) && !binding.retry_until.passed(now);
        if ruled_out && usable {
            Ok(Some(key))
        } else {
            Err(MustWait)
        }
    }
}

/// A task can't be started anywhere for now.
#[derive(Clone, Copy, Debug)]
pub(super) struct MustWait;
