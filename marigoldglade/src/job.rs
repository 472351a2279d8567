//! A job as the planner keeps it.

use std::collections::BTreeMap;

use crate::blocks::{BlockKey, WorkspaceKey};
use crate::fleet::SetKey;
use crate::order::{CallerKey, ClassKey, Position, position};
use crate::plan::{JobKey, JobRequest, Reason, WorkerKey};
use crate::time::UnixMs;

/// All jobs of a data centre that haven't ended.
pub(crate) type Jobs = BTreeMap<JobKey, Job>;

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It waits for a place.
    Waiting,
    /// It has a place and waits for others to stop there.
    Pending,
    /// Its start was told.
    Starting,
    /// The whole gang runs.
    Running,
    /// Its stop was told.
    Stopping,
}

/// Accelerators that a gang uses in a block of its workspace's guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Charge {
    pub block: BlockKey,
    pub worker: WorkerKey,
    pub accels: u8,
}

/// Tasks of a gang on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Assignment {
    pub worker: WorkerKey,
    pub tasks: u16,
}

/// A job that hasn't ended.
pub(crate) struct Job {
    pub request: JobRequest,
    pub workspace: WorkspaceKey,
    pub caller: CallerKey,
    pub set: SetKey,
    pub stage: Stage,
    pub assignments: Vec<Assignment>,
    pub charges: Vec<Charge>,
    /// Whether it can't be stopped and lies outside its guarantee.
    pub pinned: bool,
    /// When it was started last.
    pub started_at: UnixMs,
    /// The index of the first yield selector that matches it.
    pub yield_rank: u16,
    /// Why it waits, as told last.
    pub reason: Option<Reason>,
}

impl Job {
    /// Returns its class in the queue.
    pub fn class(&self) -> ClassKey {
        ClassKey {
            urgency: self.request.urgency,
            workspace: self.workspace,
            caller: self.caller,
            set: self.set,
            tasks: self.request.shape.tasks,
            accels: self.request.shape.accels,
            preemptible: self.request.preemptible,
        }
    }

    /// Returns its place in its class.
    pub fn position(&self) -> Position {
        position(
            self.request.deadline,
            self.request.accepted_at,
            self.request.job,
        )
    }

    /// Returns the accelerators it holds, worker by worker.
    pub fn needs(&self) -> Vec<(WorkerKey, u8)> {
        needs(&self.assignments, self.request.shape.accels)
    }
}

/// Returns the accelerators of tasks of `accels` each, worker by worker.
pub(crate) fn needs(assignments: &[Assignment], accels: u8) -> Vec<(WorkerKey, u8)> {
    let need = |s: &Assignment| {
        let tasks = u8::try_from(s.tasks).unwrap_or(u8::MAX);
        (s.worker, tasks.saturating_mul(accels))
    };
    assignments.iter().map(need).collect()
}
