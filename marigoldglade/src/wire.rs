//! Messages between the daemon and the platform's VM list and workers.
//!
//! All of them travel as JSON over HTTP. Those between daemons are in the mesh's own module.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::label::Labels;
use crate::time::UnixMs;

/// What a target is for.
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

/// A VM as the platform's VM list shows it (`GET /v1/vms`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name, unique and never used again.
    pub name: String,
    /// The IP number and port, as `127.0.0.1:8080`.
    pub addr: String,
    /// What it is for.
    pub role: Role,
    /// The data centre.
    pub dc: String,
    /// The rack; empty when it has none.
    #[serde(default)]
    pub rack: String,
    /// Accelerators.
    #[serde(default)]
    pub accels: u8,
    /// Slots for requests.
    #[serde(default)]
    pub slots: u16,
    /// Labels from the platform.
    #[serde(default)]
    pub labels: Labels,
    /// Whether it is about to go.
    #[serde(default)]
    pub leaving: bool,
}

impl Vm {
    /// Returns the labels that selectors see: its own, and `name`, `dc`, `rack` and `role`.
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

/// Names one start of one task of one job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The job's id.
    pub job: String,
    /// Which start of the job.
    pub attempt: u32,
    /// Which task of the gang.
    pub index: u16,
}

/// An order to a worker (`POST /v1/orders`, a list of them; the answer is a list of [`TaskStatus`]).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "order")]
pub enum Order {
    /// Set accelerators aside for a task until `end`; nothing runs yet.
    Prepare {
        /// The task.
        task: TaskId,
        /// Accelerators to set aside.
        accels: u8,
        /// What the task is to do.
        body: String,
        /// When the preparation lapses.
        #[serde(rename = "end")]
        expires_at: UnixMs,
    },
    /// Bind a prepared task until `end`; its body doesn't start yet.
    Commit {
        /// The task.
        task: TaskId,
        /// When the binding lapses.
        #[serde(rename = "end")]
        expires_at: UnixMs,
    },
    /// Start the body of a committed task under a lease until `end`.
    ///
    /// It is sent only after every worker of the gang confirmed its commit.
    Run {
        /// The task.
        task: TaskId,
        /// When the task's lease lapses.
        #[serde(rename = "end")]
        expires_at: UnixMs,
    },
    /// Give a prepared or committed task's accelerators back.
    Abort {
        /// The task.
        task: TaskId,
    },
    /// Extend the lease of a running task.
    Renew {
        /// The task.
        task: TaskId,
        /// When the task's lease lapses.
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
    /// Checkpoint and stop; at `end` the task is cut.
    Stop {
        /// The task.
        task: TaskId,
        /// When the grace ends.
        #[serde(rename = "end")]
        deadline: UnixMs,
    },
    /// Forget an ended task, whose end is on record.
    Forget {
        /// The task.
        task: TaskId,
    },
}

impl Order {
    /// Returns the task that the order is about.
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

/// Orders of one owner, which workers obey only from the newest epoch they have seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// The owner's epoch.
    pub epoch: u64,
    /// The orders, obeyed in turn.
    pub orders: Vec<Order>,
}

/// Where a task stands at its worker.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Accelerators are set aside.
    Prepared,
    /// It is bound and ready; its body hasn't started.
    Committed,
    /// It runs.
    Running,
    /// It is stopping within its grace.
    Stopping,
    /// It was stopped, with a checkpoint if it can make one.
    Stopped,
    /// It ended well.
    Done,
    /// It ended badly.
    Failed,
    /// Its lease lapsed and the worker cut it.
    Lapsed,
    /// The worker doesn't know it.
    Absent,
    /// The worker can't take it: too few accelerators, or it is leaving.
    Refused,
}

/// What a worker tells of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// Where it stands.
    #[serde(rename = "stand")]
    pub state: TaskState,
    /// The result, when it is done.
    #[serde(default)]
    pub result: String,
}

/// All that a worker runs or remembers (`GET /v1/tasks?epoch=N`, which also fences older epochs).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The worker's name.
    pub name: String,
    /// The newest epoch it has seen.
    pub epoch: u64,
    /// Whether it is about to go.
    pub leaving: bool,
    /// Its tasks.
    pub tasks: Vec<TaskStatus>,
}
