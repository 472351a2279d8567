//! Messages between the daemon and the platform's VM list and workers.
//!
//! All of them are JSON over HTTP. Messages between daemons are in [`crate::mesh`].

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::label::Labels;
use crate::time::UnixMs;

/// What a VM is used for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Answers short requests.
    Runner,
    /// Runs gang tasks.
    Worker,
    /// Runs a marigoldglade daemon.
    Entry,
}

/// A VM, as an entry of the platform's VM list (`GET /v1/vms`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name, which is unique and never reused.
    pub name: String,
    /// The IP address and port, such as `127.0.0.1:8080`.
    pub addr: String,
    /// What the VM is used for.
    pub role: Role,
    /// The data centre that the VM is in.
    pub dc: String,
    /// The rack that the VM is in; empty if it has none.
    #[serde(default)]
    pub rack: String,
    /// The number of accelerators.
    #[serde(default)]
    pub accels: u8,
    /// The number of requests that the VM answers at the same time.
    #[serde(default)]
    pub slots: u16,
    /// Labels from the platform.
    #[serde(default)]
    pub labels: Labels,
    /// Whether the VM is about to be removed.
    #[serde(default)]
    pub leaving: bool,
}

impl Vm {
    /// Returns the labels that selectors match: the VM's own, and `name`, `dc`, `rack` and `role`.
    #[must_use]
    pub fn selector_labels(&self) -> Labels {
        let mut labels = self.labels.clone();
        labels.insert("name".to_owned(), self.name.clone());
        labels.insert("dc".to_owned(), self.dc.clone());
        labels.insert("rack".to_owned(), self.rack.clone());
        labels.insert("role".to_owned(), self.role.to_string());
        labels
    }
}

/// Identifies a task in one attempt to run a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The job's id.
    pub job: String,
    /// The number of the attempt.
    pub attempt: u32,
    /// The index of the task in its gang.
    pub index: u16,
}

/// An order to a worker.
///
/// `POST /v1/orders` carries [`Orders`]; the worker answers with a list of [`TaskStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "order")]
pub enum Order {
    /// Reserve accelerators for a task until `expires_at`; nothing runs yet.
    Prepare {
        /// The task.
        task: TaskId,
        /// The number of accelerators to reserve.
        accels: u8,
        /// What the task does; only the worker reads it.
        body: String,
        /// When the preparation expires.
        #[serde(rename = "end")]
        expires_at: UnixMs,
    },
    /// Commit a prepared task until `expires_at`; its body doesn't start yet.
    Commit {
        /// The task.
        task: TaskId,
        /// When the commit expires.
        #[serde(rename = "end")]
        expires_at: UnixMs,
    },
    /// Start the body of a committed task under a lease.
    ///
    /// It is sent only after every worker of the gang confirmed its commit.
    Run {
        /// The task.
        task: TaskId,
        /// When the task's lease expires.
        #[serde(rename = "end")]
        expires_at: UnixMs,
    },
    /// Free the accelerators of a prepared or committed task.
    Abort {
        /// The task.
        task: TaskId,
    },
    /// Extend the lease of a running task.
    Renew {
        /// The task.
        task: TaskId,
        /// When the task's lease expires.
        #[serde(rename = "end")]
        expires_at: UnixMs,
    },
    /// Slow a task down to a share of its speed.
    Throttle {
        /// The task.
        task: TaskId,
        /// The share of its full speed, in percent.
        percent: u8,
    },
    /// Checkpoint and stop, by the deadline at the latest.
    Stop {
        /// The task.
        task: TaskId,
        /// When the task must have stopped; until then it may checkpoint.
        #[serde(rename = "end")]
        deadline: UnixMs,
    },
    /// Forget an ended task, whose completion is stored.
    Forget {
        /// The task.
        task: TaskId,
    },
}

impl Order {
    /// Returns the task that the order concerns.
    #[must_use]
    pub const fn task(&self) -> &TaskId {
        match self {
            Self::Prepare { task, .. }
            | Self::Commit { task, .. }
            | Self::Run { task, .. }
            | Self::Abort { task }
            | Self::Renew { task, .. }
            | Self::Throttle { task, .. }
            | Self::Stop { task, .. }
            | Self::Forget { task } => task,
        }
    }
}

/// Orders of one owner. A worker refuses them if it has seen a newer epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// The owner's epoch.
    pub epoch: u64,
    /// The orders, which the worker executes in turn.
    pub orders: Vec<Order>,
}

/// The state of a task at its worker.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Its accelerators are reserved.
    Prepared,
    /// It is committed; its body hasn't started.
    Committed,
    /// It runs.
    Running,
    /// It was told to stop and may still checkpoint.
    Stopping,
    /// It was stopped, with a checkpoint if it can make one.
    Stopped,
    /// It succeeded.
    Done,
    /// It failed.
    Failed,
    /// Its lease expired and the worker ended it.
    Lapsed,
    /// The worker doesn't know it.
    Absent,
    /// The worker refused it: it has too few free accelerators, or is about to be removed.
    Refused,
}

/// What a worker reports of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task that the status is about.
    pub task: TaskId,
    /// The task's state.
    #[serde(rename = "stand")]
    pub state: TaskState,
    /// The result, if the task succeeded.
    #[serde(default)]
    pub result: String,
}

/// All tasks that a worker runs or remembers (`GET /v1/tasks?epoch=N`).
///
/// The request also fences owners of epochs older than `N`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The worker's name.
    pub name: String,
    /// The newest epoch that the worker has seen.
    pub epoch: u64,
    /// Whether the worker is about to be removed.
    pub leaving: bool,
    /// The tasks that it runs or remembers.
    pub tasks: Vec<TaskStatus>,
}
