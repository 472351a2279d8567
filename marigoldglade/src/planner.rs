//! The planner: placement decisions of one data centre.
//!
//! [`Planner::step`] takes an [`Event`] and returns [`Action`]s. After every step, each unused
//! block of a workspace's guarantee can be freed by stopping only gangs that borrow accelerators;
//! see [`crate::guarantee`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::api::Shape;
use crate::blocks::{BlockKey, Blocks, WorkspaceKey};
use crate::config::Config;
use crate::drain::Drain;
use crate::fleet::{Fleet, Hold, SetKey};
use crate::guarantee;
use crate::intake::yield_rank;
use crate::job::{Assignment, Jobs, Stage, needs};
use crate::order::{ClassKey, Queue, QueueOrder};
use crate::place::{Fit, Level};
use crate::plan::{Action, Event, JobKey, JobRequest, Reason};
use crate::quarantine::Quarantine;
use crate::reclaim::VictimOrder;
use crate::reserve::Reserve;
use crate::store::Revision;
use crate::time::UnixMs;

/// The planner's algorithms. The default is used in production; benchmarks compare the others with
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Which of several possible placements is chosen.
    pub fit: Fit,
    /// The order of waiting jobs.
    pub order: QueueOrder,
    /// The order in which gangs are preempted.
    pub victim_order: VictimOrder,
    /// Whether workers are drained for a large gang that waits.
    pub drain: bool,
    /// Whether accelerators are kept free for urgent work.
    pub reserve: bool,
    /// Whether gangs that stop for urgent work are throttled at once.
    pub throttle: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            fit: Fit::Best,
            order: QueueOrder::Fair,
            victim_order: VictimOrder::LeastLost,
            drain: true,
            reserve: true,
            throttle: true,
        }
    }
}

/// The planner's state of one workspace.
pub(crate) struct WorkspaceState {
    pub name: String,
    /// The blocks of the guarantee, largest first.
    pub blocks: Vec<BlockKey>,
    /// The sum of the sizes of all blocks, in accelerators.
    pub guarantee: u32,
    /// The most accelerators that the workspace may hold; zero means no limit.
    pub quota: u32,
    /// The accelerators that the workspace's gangs hold.
    pub used: u32,
    /// The missing accelerators of the guarantee, as last reported.
    pub missing: u32,
}

/// Places the jobs of one data centre.
pub struct Planner {
    pub(crate) dc: String,
    pub(crate) policy: Policy,
    pub(crate) config: Arc<Config>,
    pub(crate) revision: Revision,
    pub(crate) fleet: Fleet,
    pub(crate) blocks: Blocks,
    pub(crate) workspaces: Vec<WorkspaceState>,
    workspace_keys: BTreeMap<String, WorkspaceKey>,
    pub(crate) jobs: Jobs,
    /// Jobs that are placed and wait for other gangs to stop there, in the order of their
    /// placement.
    pub(crate) pending: Vec<JobKey>,
    pub(crate) queue: Queue,
    pub(crate) drain: Option<Drain>,
    pub(crate) quarantine: Quarantine,
    pub(crate) reserve: Reserve,
    /// Whether urgent work has used reserved accelerators since the reserve was last updated.
    pub(crate) refill_due: bool,
    /// Classes that have changed since they were last tried.
    pub(crate) changed_classes: BTreeSet<ClassKey>,
    /// Whether the next round has to try every class.
    pub(crate) retry_all: bool,
    /// Whether blocks may have to be moved or completed.
    pub(crate) repair_due: bool,
    /// Whether some block isn't fully covered.
    degraded: bool,
    /// The levels computed so far, by worker set, tasks and accelerators per task, each with the
    /// fleet version that it is valid for.
    pub(crate) level_cache: BTreeMap<(SetKey, u16, u8), (u64, Option<Level>)>,
}

impl Planner {
    /// Creates a planner with the default policy.
    #[must_use]
    pub fn new(dc: &str, seed: u64) -> Self {
        Self::with_policy(dc, seed, Policy::default())
    }

    /// Creates a planner with this policy.
    #[must_use]
    pub fn with_policy(dc: &str, seed: u64, policy: Policy) -> Self {
        Self {
            dc: dc.to_owned(),
            policy,
            config: Arc::default(),
            revision: Revision::default(),
            fleet: Fleet::default(),
            blocks: Blocks::default(),
            workspaces: Vec::new(),
            workspace_keys: BTreeMap::new(),
            jobs: Jobs::new(),
            pending: Vec::new(),
            queue: Queue::default(),
            drain: None,
            quarantine: Quarantine::new(seed),
            reserve: Reserve::default(),
            refill_due: false,
            changed_classes: BTreeSet::new(),
            retry_all: false,
            repair_due: false,
            degraded: false,
            level_cache: BTreeMap::new(),
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: UnixMs, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Config(config, revision) => self.configure(&config, revision),
            Event::Worker(vm) => self.update_worker(now, vm, out),
            Event::WorkerGone(name) => self.remove_worker(&name),
            Event::Waiting(request) => self.enqueue(now, request, out),
            Event::AlreadyPlaced(request, vms) => self.insert_placed(now, request, &vms),
            Event::Running(job) => self.set_running(job),
            Event::Ended(job) => self.remove_job(job),
            Event::StartFailed(job, vm) => {
                self.record_outcome(now, job, &vm, false, out);
                self.requeue(job);
            }
            Event::TaskFailed(job, vm) => self.record_outcome(now, job, &vm, false, out),
            Event::TaskDone(job, vm) => self.record_outcome(now, job, &vm, true, out),
            Event::Tick => self.tick(now, out),
        }
        if self.repair_due {
            self.repair_guarantees(out);
        }
        self.decide(now, out);
        self.refill(now, out);
    }

    /// Returns whether the live workers, if they were empty, could hold the gang and, for a job
    /// that isn't preemptible, whether its workspace's guarantee could.
    #[must_use]
    pub fn could_ever_hold(&mut self, request: &JobRequest) -> bool {
        let set = self.fleet.compile(&request.allowed);
        let workspace = self.workspace_key(&request.workspace);
        let level = self.level(set, request.shape);
        level.is_some_and(|l| {
            request.preemptible || self.guarantee_holds(workspace, request.shape, l)
        })
    }

    /// Returns whether the job runs inside its workspace's guarantee.
    #[must_use]
    pub fn in_guarantee(&self, job: JobKey) -> bool {
        self.jobs.get(&job).is_some_and(|j| !j.charges.is_empty())
    }

    /// Returns the number of waiting jobs.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.classes.values().map(|c| c.jobs.len()).sum()
    }

    /// Returns the key of the workspace with this name, adding it if it is new.
    pub(crate) fn workspace_key(&mut self, name: &str) -> WorkspaceKey {
        if let Some(key) = self.workspace_keys.get(name) {
            return *key;
        }
        let key = WorkspaceKey(u16::try_from(self.workspaces.len()).unwrap_or(u16::MAX));
        self.workspaces.push(WorkspaceState {
            name: name.to_owned(),
            blocks: Vec::new(),
            guarantee: 0,
            quota: 0,
            used: 0,
            missing: 0,
        });
        self.workspace_keys.insert(name.to_owned(), key);
        key
    }

    pub(crate) fn workspace(&self, key: WorkspaceKey) -> &WorkspaceState {
        &self.workspaces[usize::from(key.0)]
    }

    /// Returns the level of a gang, cached until the fleet changes.
    pub(crate) fn level(&mut self, set: SetKey, shape: Shape) -> Option<Level> {
        let key = (set, shape.tasks, shape.accels);
        let version = self.fleet.version;
        if let Some((seen, level)) = self.level_cache.get(&key)
            && *seen == version
        {
            return *level;
        }
        self.level_cache.retain(|_, (seen, _)| *seen == version);
        let level = crate::place::level(&self.fleet, set, shape);
        self.level_cache.insert(key, (version, level));
        level
    }

    fn configure(&mut self, config: &Arc<Config>, revision: Revision) {
        for job in self.pending.clone() {
            self.requeue(job);
        }
        self.config = config.clone();
        self.revision = revision;
        self.fleet.set_marks(&config.vms);
        for workspace in &mut self.workspaces {
            workspace.blocks.clear();
            workspace.guarantee = 0;
            workspace.quota = 0;
        }
        for key in self.blocks.keys() {
            self.blocks.set_cells(&mut self.fleet, key, Vec::new());
        }
        let dc = self.dc.clone();
        let mut list = Vec::new();
        for settings in &config.workspaces {
            let workspace = self.workspace_key(&settings.name);
            self.workspaces[usize::from(workspace.0)].quota = settings.quota;
            let made = guarantee::blocks(settings, &dc, workspace, &mut self.fleet);
            list.extend(made);
        }
        self.blocks.list = list;
        for key in self.blocks.keys() {
            let block = self.blocks.get(key);
            let workspace = &mut self.workspaces[usize::from(block.workspace.0)];
            workspace.blocks.push(key);
            workspace.guarantee += u32::from(block.size);
        }
        self.update_yield_ranks();
        self.recharge_all();
        self.repair_due = true;
        self.retry_all = true;
    }

    fn update_yield_ranks(&mut self) {
        let config = self.config.clone();
        for job in self.jobs.values_mut() {
            job.yield_rank = yield_rank(&config, &job.request);
        }
    }

    fn tick(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        self.review_quarantine(now, out);
        self.update_reserve(now, out);
        self.retry_all |= self.drain.as_ref().is_some_and(|d| d.deadline.passed(now));
    }

    pub(crate) fn set_running(&mut self, job: JobKey) {
        if let Some(entry) = self.jobs.get_mut(&job)
            && entry.stage == Stage::Starting
        {
            entry.stage = Stage::Running;
        }
    }

    pub(crate) fn remove_job(&mut self, job: JobKey) {
        self.release(job);
        if let Some(entry) = self.jobs.remove(&job) {
            self.queue.remove(entry.class(), entry.position());
            self.queue.release_caller(entry.caller);
        }
    }

    /// Releases what a job holds and lets it wait again.
    pub(crate) fn requeue(&mut self, job: JobKey) {
        self.release(job);
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.stage = Stage::Waiting;
            self.queue.push(entry.class(), entry.position());
            self.changed_classes.insert(entry.class());
        }
    }

    /// Places a job on workers and counts its accelerators there.
    pub(crate) fn allocate(&mut self, job: JobKey, assignments: Vec<Assignment>, stage: Stage) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        for (worker, accels) in needs(&assignments, entry.request.shape.accels) {
            let slot = self.fleet.slot_mut(worker);
            if stage == Stage::Pending {
                slot.pending += accels;
            } else {
                slot.used += accels;
            }
            self.fleet.holds[usize::from(worker.0)].push(Hold {
                job,
                accels,
                urgency: entry.request.urgency,
                preemptible: entry.request.preemptible,
            });
        }
        self.workspaces[usize::from(entry.workspace.0)].used += entry.request.shape.total();
        entry.assignments = assignments;
        entry.stage = stage;
    }

    /// Releases the accelerators and guarantee charges of a job.
    pub(crate) fn release(&mut self, job: JobKey) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        if entry.stage == Stage::Waiting {
            return;
        }
        let (stage, pinned) = (entry.stage, std::mem::take(&mut entry.pinned));
        let charges = std::mem::take(&mut entry.charges);
        let needs = entry.needs();
        entry.assignments.clear();
        entry.stage = Stage::Waiting;
        entry.reason = None;
        self.workspaces[usize::from(entry.workspace.0)].used -= entry.request.shape.total();
        for charge in charges {
            let (block, worker) = (charge.block, charge.worker);
            self.blocks
                .discharge(&mut self.fleet, block, worker, charge.accels);
            self.repair_due |= self.degraded || self.blocks.get(block).missing() > 0;
        }
        for (worker, accels) in needs {
            let slot = self.fleet.slot_mut(worker);
            match stage {
                Stage::Pending => slot.pending -= accels,
                _ => slot.used -= accels,
            }
            if stage == Stage::Stopping {
                slot.stopping -= accels;
            }
            if pinned {
                slot.pinned -= accels;
            }
            self.fleet.holds[usize::from(worker.0)].retain(|h| h.job != job);
            self.fleet.reclaim_slot(worker);
        }
        self.pending.retain(|j| *j != job);
        self.repair_due |= pinned && self.degraded;
        self.retry_all = true;
    }

    /// Stops a gang. A pending one only goes back to the queue.
    pub(crate) fn stop(
        &mut self,
        now: UnixMs,
        job: JobKey,
        reason: &Reason,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        match entry.stage {
            Stage::Pending => self.requeue(job),
            Stage::Starting | Stage::Running => {
                entry.stage = Stage::Stopping;
                for (worker, accels) in entry.needs() {
                    self.fleet.slot_mut(worker).stopping += accels;
                }
                out.push(Action::Stop {
                    job,
                    end: now.after(entry.request.grace_ms),
                    reason: reason.clone(),
                });
            }
            Stage::Waiting | Stage::Stopping => {}
        }
    }

    /// Repairs the guarantees and reports those whose missing accelerators have changed.
    fn repair_guarantees(&mut self, out: &mut Vec<Action>) {
        let pinned: Vec<_> = self.jobs.values().filter(|j| j.pinned).collect();
        for job in pinned.iter().map(|j| j.request.job).collect::<Vec<_>>() {
            self.charge_in_place(job);
        }
        self.blocks.repair(&mut self.fleet);
        self.repair_due = false;
        self.degraded = self.blocks.missing() > 0;
        for worker in self.fleet.keys() {
            self.fleet.reclaim_slot(worker);
        }
        for workspace in &mut self.workspaces {
            let missing = workspace
                .blocks
                .iter()
                .map(|b| self.blocks.get(*b).missing());
            let missing = missing.sum();
            if missing != workspace.missing {
                workspace.missing = missing;
                out.push(Action::Guarantee(workspace.name.clone(), missing));
            }
        }
    }
}
