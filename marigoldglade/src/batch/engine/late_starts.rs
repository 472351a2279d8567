//! Starts that may be carried out late, and the workers to which they bind their tasks.
//!
//! A start without a response may be carried out seconds later. The process that it was meant for then
//! refuses it as late, but the worker's next process, whose clock starts anew, doesn't. Until that is
//! ruled out the task runs on this worker or nowhere: a run on an earlier process of it has ended before
//! the next one carries out anything.
//!
//! An order is carried out at most once. So once a report lists the run of a start that was sent only once,
//! nothing of it can come later. Therefore the owner asks for a report before it sends a start again.

use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;

use crate::batch::engine::job::Task;
use crate::batch::engine::orders::{LATE_ORDER_MS, LOST_START_MS};
use crate::batch::engine::runs::LostStart;
use crate::batch::engine::{Engine, JobKey, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::record::LateStart;
use crate::batch::worker::{ActiveRun, OrderResponse, Report, Start, Target};
use crate::time::UnixMs;

/// By how much the record of a binding may be out of date, in milliseconds.
const RECORD_STEP_MS: u64 = 1_000;

/// The binding of a task to a worker that may still carry out starts of it.
#[derive(Clone, Debug)]
pub(super) struct Binding {
    /// The worker that the starts were sent to.
    pub start: LateStart,
    /// The number of starts under way.
    pub unanswered: u32,
    /// How many starts have been sent since the task was bound.
    sends: u32,
    /// For how long the record says that a run may last which a lost start began, in milliseconds; the longest time
    /// if it doesn't say.
    recorded_ms: u64,
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
            sends: 0,
            recorded_ms: u64::MAX,
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
            // Its owner doesn't record how many there were.
            sends: u32::MAX,
            ..Self::new(start)
        }
    }

    /// Returns whether the only start that was sent has been carried out, as a report lists its run.
    fn is_carried_out(&self, id: &TaskId, report: &Report) -> bool {
        self.sends == 1 && self.unanswered == 0 && report.lists(id, self.start.run)
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
    pub fn late_start(&self, now: UnixMs) -> Option<LateStart> {
        let binding = self.binding.as_ref().filter(|b| b.lost)?;
        Some(LateStart {
            left_ms: self.left_ms(now),
            ..binding.start.clone()
        })
    }

    /// Returns for how much longer a run may last that lost starts began, in milliseconds; `None` while another
    /// start may be sent, since its loss may not be on record when the next owner reads this.
    fn left_ms(&self, now: UnixMs) -> Option<u64> {
        let binding = self.binding.as_ref().filter(|b| b.lost)?;
        let over = binding.unanswered == 0 && binding.retry_until.passed(now);
        (over && self.worker.is_none()).then(|| binding.expires_at.since(now))
    }

    /// Returns whether there is a start that got no response, so that the next owner must know of it.
    pub fn has_late_start(&self) -> bool {
        self.binding.as_ref().is_some_and(|b| b.lost)
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
            left_ms: None,
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
        binding.sends = binding.sends.saturating_add(1);
    }

    /// Notes the response to a start, or that there was none.
    pub(super) fn settle_start(&mut self, key: WorkerKey, start: &Start, response: &OrderResponse) {
        let lost = matches!(response, OrderResponse::Lost);
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
        if matches!(response, OrderResponse::Unsent) {
            binding.sends = binding.sends.saturating_sub(1);
        }
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
        // The loss of a start that was sent before the record said how long to wait.
        let longer = binding.expires_at.since(now) > binding.recorded_ms;
        if longer {
            binding.recorded_ms = binding.expires_at.since(now);
        }
        self.bound_tasks.insert(start.task);
        if newly_lost {
            log::info!(task:% = start.task, run = start.run, worker = worker.as_str(); "start without a response; its task is bound to the worker");
        }
        if newly_lost || longer {
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
        let (now, lease_ms) = (self.now, self.foreign_lease_ms());
        let longest_ms = LATE_ORDER_MS + lease_ms;
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
                    let recorded_ms = binding.start.left_ms;
                    let left_ms = recorded_ms.unwrap_or(longest_ms);
                    binding.late_until = now.after(left_ms.saturating_sub(lease_ms));
                    binding.expires_at = now.after(left_ms);
                    // No owner has sent another start since the record said how long to wait.
                    binding.retry_until = recorded_ms.map_or(binding.late_until, |_| now);
                    binding.recorded_ms = recorded_ms.unwrap_or(u64::MAX);
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
        self.record_waits();
    }

    /// Sends no further starts of bound tasks to workers that leave or have left, and has the records of jobs
    /// written whose bindings last much shorter than recorded: the next owner can't tell how long ago a record was
    /// written, and waits for what it says.
    fn record_waits(&mut self) {
        if self.bound_tasks.is_empty() || !self.workers.iter().any(|w| w.listed) {
            return;
        }
        let now = self.now;
        let staying = self
            .workers
            .iter()
            .filter(|w| w.listed && !w.target.draining);
        let staying: HashSet<String> = staying.map(|w| w.target.name.clone()).collect();
        let mut outdated = BTreeSet::new();
        let bound = std::mem::take(&mut self.bound_tasks);
        for id in &bound {
            let Some((job_key, job)) = self.job_mut(id.job) else {
                continue;
            };
            let Some(task) = job.task(id) else {
                continue;
            };
            if let Some(binding) = &mut task.binding
                && !staying.contains(&binding.start.worker)
            {
                binding.retry_until = binding.retry_until.min(now);
            }
            if let Some(left_ms) = task.left_ms(now)
                && let Some(binding) = &mut task.binding
                && left_ms + RECORD_STEP_MS <= binding.recorded_ms
            {
                binding.recorded_ms = left_ms;
                outdated.insert(job_key);
            }
        }
        self.bound_tasks = bound;
        for job_key in outdated {
            self.record_binding(job_key);
        }
    }

    /// Ends the bindings to a worker that reports, when the starts can't be carried out any more: they have all
    /// been, or their time has passed and none has begun a run. A process that has answered after the one that
    /// they were sent to must have refused the latter first, however long ago they were sent.
    pub(super) fn unbind_reported(&mut self, key: WorkerKey, report: &Report) {
        if self.bound_tasks.is_empty() {
            return;
        }
        let name = self.worker(key).target.name.clone();
        self.unbind_carried_out(key, &name, report);
        if report.is_partial() {
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

    /// Ends the bindings to a worker whose only start a report shows to have been carried out.
    fn unbind_carried_out(&mut self, key: WorkerKey, name: &str, report: &Report) {
        let carried_out =
            |id: &TaskId, b: &Binding| b.start.worker == name && b.is_carried_out(id, report);
        let run = |id: &TaskId| {
            let job = self.jobs.get(self.job_ids.get(&id.job)?)?;
            let binding = job.find(id)?.binding.as_ref()?;
            carried_out(id, binding).then_some((*id, binding.start.run))
        };
        let runs: Vec<(TaskId, u64)> = self.bound_tasks.iter().filter_map(run).collect();
        if runs.is_empty() {
            return;
        }
        self.end_bindings(carried_out);
        let worker = self.worker_mut(key);
        worker
            .lost_starts
            .retain(|s| !runs.contains(&(s.task, s.run)));
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
