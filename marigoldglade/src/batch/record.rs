//! The stored record of a job, from which a new owner continues it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::batch::id::JobId;
use crate::batch::policy::Queue;
use crate::batch::spec::JobSpec;
use crate::error::{Error, Kind, Result};

/// The state of a job.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    EnumString,
    IntoStaticStr,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The job hasn't ended.
    #[default]
    Open,
    /// All its tasks are done.
    Done,
    /// A task failed as often as the queue allows, or workers crashed under it.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// The end of a worker's process under a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The number of the run.
    pub run: u64,
    /// The worker's name.
    pub worker: String,
    /// How strongly it counts against the task.
    pub weight: u32,
    /// Whether the run was certainly on the worker.
    #[serde(default)]
    pub certain: bool,
    /// Whether the process ended before any report listed the run.
    pub early: bool,
}

/// A run that was given up with a silent worker before any report listed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRun {
    /// The number of the run.
    pub run: u64,
    /// The worker's name.
    pub worker: String,
    /// The worker's address.
    pub addr: SocketAddr,
    /// When the worker's process started, in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// How strongly the worker's crash would count against the task.
    pub weight: u32,
    /// Whether the run was certainly on the worker.
    #[serde(default)]
    pub certain: bool,
}

/// A worker that may still carry out a start of a task which got no response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateStart {
    /// The worker's name.
    pub worker: String,
    /// The address that the start was sent to.
    pub addr: SocketAddr,
    /// The number of the run.
    pub run: u64,
}

/// The progress of a task: whether it is done, its failed and crashed runs and its checkpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// The round of the task.
    pub round: u32,
    /// The step's index.
    pub step: u16,
    /// The task's index in the step.
    pub index: u32,
    /// Whether the task is done.
    pub done: bool,
    /// The numbers of the runs that failed.
    #[serde(rename = "failed")]
    pub failed_runs: Vec<u64>,
    /// The workers that crashed under the task.
    #[serde(rename = "crashed", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
    /// The runs whose workers may have crashed.
    #[serde(rename = "lost", default, skip_serializing_if = "Vec::is_empty")]
    pub lost_runs: Vec<LostRun>,
    /// The worker that may still carry out a start of the task.
    #[serde(rename = "late", default, skip_serializing_if = "Option::is_none")]
    pub late_start: Option<LateStart>,
    /// The newest checkpoint; empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: String,
}

/// A job as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The job's id.
    pub id: JobId,
    /// The queue as it was when the job was accepted.
    pub queue: Queue,
    /// The workspace that the job belongs to; empty for none.
    pub workspace: String,
    /// What the caller asked for.
    pub spec: JobSpec,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    #[serde(rename = "accepted")]
    pub accepted_at: u64,
    /// The state of the job.
    pub state: State,
    /// When the job ended, in milliseconds since the Unix epoch; zero while open.
    #[serde(rename = "ended")]
    pub ended_at: u64,
    /// The tasks that are done, or have failed, crashed or lost runs, a late start or a
    /// checkpoint.
    pub tasks: Vec<TaskProgress>,
}

impl Record {
    /// Creates the record of a newly accepted job.
    #[must_use]
    pub fn new(
        id: JobId,
        queue: Queue,
        workspace: String,
        spec: JobSpec,
        accepted_at: u64,
    ) -> Self {
        Self {
            id,
            queue,
            workspace,
            spec,
            accepted_at,
            state: State::Open,
            ended_at: 0,
            tasks: Vec::new(),
        }
    }

    /// Encodes the record as CBOR (RFC 8949).
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when it can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = Vec::with_capacity(512);
        ciborium::into_writer(self, &mut bytes)
            .map_err(|e| Error::new(Kind::Internal, e.to_string()))?;
        Ok(bytes)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// [`Kind::BadInput`] when the bytes aren't an encoded record.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        ciborium::from_reader(bytes).map_err(|e| Error::new(Kind::BadInput, e.to_string()))
    }
}
