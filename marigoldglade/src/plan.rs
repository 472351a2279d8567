//! The planner's interface: the [`Event`]s it receives and the [`Action`]s it returns, for one data
//! centre.
//!
//! The owner of the data centre (see [`crate::jobs`]) keeps records, gangs and leases. It tells the
//! planner about waiting jobs, workers and completions; the planner tells it where to start a gang,
//! which gangs to stop, and why a job waits.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::api::Shape;
use crate::config::Config;
use crate::label::{Labels, Selector};
use crate::store::Revision;
use crate::time::UnixMs;
use crate::wire::Vm;

/// Identifies a job within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub u32);

/// Identifies a worker within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerKey(pub u16);

/// The properties of a job that placement depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRequest {
    /// The job's key.
    pub job: JobKey,
    /// The workspace that the job belongs to.
    pub workspace: String,
    /// The caller that submitted the job.
    pub caller: String,
    /// The job's labels, which the operators' yield selectors match.
    pub labels: Labels,
    /// The urgency of the job's class, from 0 (most urgent) to 9.
    pub urgency: u8,
    /// The selectors over VM labels of the job's class and of its workspace; a worker must match
    /// both.
    pub allowed: [Selector; 2],
    /// The number of tasks and the accelerators of each.
    pub shape: Shape,
    /// Whether the job resumes from a checkpoint, so that a stop loses no more than the work since
    /// the last one.
    pub checkpoint: bool,
    /// Whether the job may be stopped and started again. One that may not runs only inside its own
    /// workspace's guarantee.
    pub preemptible: bool,
    /// How long the tasks may take to checkpoint when the job is stopped, in milliseconds.
    pub grace_ms: u64,
    /// The run time that the caller expects, in milliseconds. Only a hint.
    pub run_ms: u64,
    /// When the job was accepted.
    pub accepted_at: UnixMs,
    /// When the job expires.
    pub deadline: UnixMs,
}

/// An input of the planner.
#[derive(Clone, Debug)]
pub enum Event {
    /// This version of the configuration applies.
    Config(Arc<Config>, Revision),
    /// A worker was added, or its labels or its `leaving` mark changed.
    Worker(Vm),
    /// A worker and everything that ran on it is gone. The owner reports the jobs that ran there
    /// separately.
    WorkerGone(String),
    /// A job waits to be placed.
    Waiting(JobRequest),
    /// A job that an earlier owner placed already; it holds accelerators on these VMs, one name for
    /// each task.
    AlreadyPlaced(JobRequest, Vec<String>),
    /// All tasks of the job's gang run.
    Running(JobKey),
    /// The job is over: it holds no accelerators and doesn't wait.
    Ended(JobKey),
    /// A task of the job failed on this VM. The end of the job is reported separately.
    TaskFailed(JobKey, String),
    /// A task of the job succeeded on this VM.
    TaskDone(JobKey, String),
    /// This VM refused the gang or didn't answer while it was being prepared. The gang holds no
    /// accelerators.
    StartFailed(JobKey, String),
    /// Time has passed; sent at regular intervals.
    Tick,
}

/// A decision of the planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start the job's gang on these VMs, one name for each task.
    Start(JobKey, Vec<String>),
    /// Stop a starting or running gang gracefully. The job then waits again ([`Event::Waiting`]).
    Stop {
        /// The job to stop.
        job: JobKey,
        /// The end of the grace period.
        end: UnixMs,
        /// Why the job is stopped.
        reason: Reason,
    },
    /// Limit the gang to this percentage of its speed until it has stopped.
    Throttle(JobKey, u8),
    /// The reason for which a job waits has changed.
    Waits(JobKey, Reason),
    /// This worker is quarantined until this time: it gets no new work.
    Quarantine(String, UnixMs),
    /// The quarantine of this worker is over.
    Trust(String),
    /// The number of accelerators missing from a workspace's guarantee has changed; zero means that
    /// the guarantee is whole again.
    Guarantee(String, u32),
}

/// Why a job is in its current state. `explain`, logs and metrics use no other reasons.
#[derive(Clone, Debug, Display, PartialEq, Eq, EnumIter, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The job was accepted.
    Accepted,
    /// The job was placed under this version of the configuration.
    Placed(Revision),
    /// The job waits for a block of this many adjacent accelerators. The workspaces named here hold
    /// the most accelerators.
    NoBlock(u32, Vec<String>),
    /// The job waits for accelerators that are reserved for another gang, or was stopped to reserve
    /// them.
    Reserved,
    /// The job waits for other gangs to stop or finish on the workers that it will use.
    Reclaiming,
    /// The workspace is at its quota.
    AtQuota,
    /// The live workers couldn't hold the job even if they were empty, or the job isn't preemptible
    /// and its workspace's guarantee can't hold it. Other jobs don't wait for it.
    Parked,
    /// The job was stopped for work of this workspace, chosen by this yield selector (empty if none
    /// matched).
    Preempted(String, String),
    /// This worker refused or failed to start the job.
    StartFailed(String),
    /// This worker, which ran the job, is gone.
    WorkerLost(String),
    /// A task of the job failed on this worker.
    TaskFailed(String),
    /// The caller or an operator cancelled the job.
    Cancelled,
    /// The job's deadline passed.
    Expired,
    /// A new owner with this epoch took the job over.
    OwnerChanged(u64),
    /// All tasks succeeded.
    Done,
    /// It isn't known whether the job ran.
    Unknown,
}
