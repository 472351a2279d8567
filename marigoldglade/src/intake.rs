//! The planner's handling of worker and job events.

use std::collections::BTreeMap;

use crate::api::WORKER_ACCELS;
use crate::config::Config;
use crate::job::{Assignment, Job, Stage};
use crate::label::Selector;
use crate::plan::{Action, JobKey, JobRequest, Reason, WorkerKey};
use crate::planner::Planner;
use crate::time::UnixMs;
use crate::wire::{Role, Vm};

impl Planner {
    pub(crate) fn update_worker(&mut self, now: UnixMs, vm: Vm, out: &mut Vec<Action>) {
        if vm.role != Role::Worker || vm.dc != self.dc {
            return;
        }
        let Some(worker) = self.fleet.update(vm) else {
            return;
        };
        self.repair_due = true;
        self.retry_all = true;
        if self.fleet.slot(worker).closed {
            self.requeue_pending(worker);
        }
        if self.fleet.is_leaving(worker) {
            self.evacuate(now, worker, out);
        }
    }

    pub(crate) fn remove_worker(&mut self, name: &str) {
        let Some(worker) = self.fleet.find(name) else {
            return;
        };
        self.requeue_pending(worker);
        self.quarantine.forget(worker);
        self.fleet.remove(worker);
        self.repair_due = true;
        self.retry_all = true;
    }

    /// Requeues the pending jobs that are placed on a worker.
    pub(crate) fn requeue_pending(&mut self, worker: WorkerKey) {
        let holds = self.fleet.holds(worker).to_vec();
        for hold in holds {
            let pending = self.jobs.get(&hold.job);
            if pending.is_some_and(|j| j.stage == Stage::Pending) {
                self.requeue(hold.job);
            }
        }
    }

    /// Stops the preemptible gangs on a worker that is about to leave.
    pub(crate) fn evacuate(&mut self, now: UnixMs, worker: WorkerKey, out: &mut Vec<Action>) {
        let reason = Reason::WorkerLost(self.fleet.name(worker).to_owned());
        for hold in self.fleet.holds(worker).to_vec() {
            if self
                .jobs
                .get(&hold.job)
                .is_some_and(|j| j.request.preemptible)
            {
                self.stop(now, hold.job, &reason, out);
            }
        }
    }

    /// Adds a waiting job to the queue, or replaces it if its request has changed.
    pub(crate) fn enqueue(&mut self, now: UnixMs, request: JobRequest, out: &mut Vec<Action>) {
        let job = request.job;
        if self
            .jobs
            .get(&job)
            .is_some_and(|j| j.stage == Stage::Waiting && j.request == request)
        {
            return;
        }
        if !self.jobs.contains_key(&job) {
            self.record_urgent(now, &request);
        }
        self.remove_job(job);
        self.insert_job(request);
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let (class, position) = (entry.class(), entry.position());
        let reason = self
            .queue
            .classes
            .get(&class)
            .and_then(|c| c.reason.clone());
        self.queue.push(class, position);
        match reason {
            Some(reason) => {
                entry.reason = Some(reason.clone());
                out.push(Action::Waits(job, reason));
            }
            None => {
                self.changed_classes.insert(class);
            }
        }
        if self.queue.head(class) == Some(position) {
            self.changed_classes.insert(class);
        }
    }

    pub(crate) fn insert_job(&mut self, request: JobRequest) {
        let workspace = self.workspace_key(&request.workspace);
        let set = self.fleet.compile(&request.allowed);
        let caller = self.queue.add_caller(workspace, &request.caller);
        let yield_rank = yield_rank(&self.config, &request);
        let job = Job {
            workspace,
            caller,
            set,
            stage: Stage::Waiting,
            assignments: Vec::new(),
            charges: Vec::new(),
            pinned: false,
            started_at: UnixMs::default(),
            yield_rank,
            reason: None,
            request,
        };
        self.jobs.insert(job.request.job, job);
    }

    /// Adds a job that an earlier owner has placed on these VMs.
    pub(crate) fn insert_placed(&mut self, now: UnixMs, request: JobRequest, vms: &[String]) {
        let job = request.job;
        self.remove_job(job);
        let mut tasks: BTreeMap<WorkerKey, u16> = BTreeMap::new();
        for vm in vms {
            if let Some(worker) = self.fleet.intern(vm) {
                *tasks.entry(worker).or_default() += 1;
            }
        }
        self.insert_job(request);
        let mut assignments: Vec<_> = tasks
            .into_iter()
            .map(|(worker, tasks)| Assignment { worker, tasks })
            .collect();
        assignments.retain(|s| self.is_plausible(*s, job));
        self.allocate(job, assignments, Stage::Running);
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.started_at = now;
        }
        self.charge_in_place(job);
        self.repair_due = true;
    }

    /// Returns whether the job's tasks on a worker are counted. A stored record may name any VMs,
    /// so one job may use at most a worker's accelerators there, and all jobs together at most
    /// twice as many.
    pub(crate) fn is_plausible(&self, assignment: Assignment, job: JobKey) -> bool {
        let accels = self.jobs.get(&job).map_or(0, |j| j.request.shape.accels);
        let need = u32::from(assignment.tasks) * u32::from(accels);
        let used = u32::from(self.fleet.slot(assignment.worker).used);
        need <= u32::from(WORKER_ACCELS) && used + need <= 2 * u32::from(WORKER_ACCELS)
    }
}

/// Returns the index of the first yield selector that matches a job, or the number of selectors if
/// none does.
pub(crate) fn yield_rank(config: &Config, request: &JobRequest) -> u16 {
    let by_name = |w: &&crate::config::Workspace| w.name == request.workspace;
    let mut labels = match config.workspaces.iter().find(by_name) {
        Some(workspace) => workspace.labels.clone(),
        None => BTreeMap::new(),
    };
    labels.extend(request.labels.clone());
    labels.insert("workspace".to_owned(), request.workspace.clone());
    let matches = |s: &Selector| s.matches(&labels);
    let at = config.yields.iter().position(matches);
    u16::try_from(at.unwrap_or(config.yields.len())).unwrap_or(u16::MAX)
}
