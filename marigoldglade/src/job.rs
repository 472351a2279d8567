//! The planner's state of a job.

use std::collections::BTreeMap;

use crate::blocks::{BlockKey, WorkspaceKey};
use crate::fleet::SetKey;
use crate::order::{CallerKey, ClassKey, Position, position};
use crate::plan::{JobKey, JobRequest, Reason, WorkerKey};
use crate::time::UnixMs;

/// All jobs of a data centre that haven't ended.
pub(crate) type Jobs = BTreeMap<JobKey, Job>;

/// The stage of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The job is in the queue.
    Waiting,
    /// The job is placed and waits for other gangs to stop there.
    Pending,
    /// The gang was told to start.
    Starting,
    /// All tasks of the gang run.
    Running,
    /// The gang was told to stop.
    Stopping,
}

/// Accelerators that a gang uses in a block of its workspace's guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Charge {
    pub block: BlockKey,
    pub worker: WorkerKey,
    pub accels: u8,
}

/// The tasks of a gang that are placed on one worker.
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
    /// Whether the job isn't preemptible and runs outside its workspace's guarantee.
    pub pinned: bool,
    /// When the job was last started.
    pub started_at: UnixMs,
    /// The index of the first yield selector that matches the job; see
    /// [`crate::intake::yield_rank`].
    pub yield_rank: u16,
    /// Why the job waits, as last reported.
    pub reason: Option<Reason>,
}

impl Job {
    /// Returns the job's class in the queue.
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

    /// Returns the job's position in its class.
    pub fn position(&self) -> Position {
        position(
            self.request.deadline,
            self.request.accepted_at,
            self.request.job,
        )
    }

    /// Returns the accelerators that the job holds on each worker.
    pub fn needs(&self) -> Vec<(WorkerKey, u8)> {
        needs(&self.assignments, self.request.shape.accels)
    }
}

/// Returns the accelerators needed on each worker if every task needs `accels`.
pub(crate) fn needs(assignments: &[Assignment], accels: u8) -> Vec<(WorkerKey, u8)> {
    let need = |s: &Assignment| {
        let tasks = u8::try_from(s.tasks).unwrap_or(u8::MAX);
        (s.worker, tasks.saturating_mul(accels))
    };
    assignments.iter().map(need).collect()
}
