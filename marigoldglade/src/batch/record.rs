//! What is kept of a job: the record in the store, from which an owner can take the job on.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::batch::id::JobId;
use crate::batch::policy::Queue;
use crate::batch::spec::JobSpec;
use crate::error::{Error, Kind, Result};

/// Where a job stands.
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
    /// Not ended.
    #[default]
    Open,
    /// All its tasks are done.
    Done,
    /// A task failed as often as the queue allows.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// What is known of a task beyond its spec; tasks without news have none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// The occurrence.
    pub round: u32,
    /// The step.
    pub step: u16,
    /// The task's index.
    pub index: u32,
    /// Whether it is done.
    pub done: bool,
    /// The runs that failed.
    #[serde(rename = "failed")]
    pub failed_runs: Vec<u64>,
    /// The newest checkpoint; empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: String,
}

/// A job as the store keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The id.
    pub id: JobId,
    /// The queue as it was when the job was accepted.
    pub queue: Queue,
    /// The workspace; empty for none.
    pub workspace: String,
    /// What the caller asked for.
    pub spec: JobSpec,
    /// When it was accepted, in milliseconds since the Unix epoch.
    #[serde(rename = "accepted")]
    pub accepted_at: u64,
    /// Where it stands.
    pub state: State,
    /// When it ended, in milliseconds since the Unix epoch; zero while open.
    #[serde(rename = "ended")]
    pub ended_at: u64,
    /// The tasks that have news.
    pub tasks: Vec<TaskProgress>,
}

impl Record {
    /// Makes the record of a job that is being accepted.
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
    /// [`Kind::Internal`] when it has no CBOR form.
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
    /// [`Kind::BadInput`] when the bytes aren't a record.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        ciborium::from_reader(bytes).map_err(|e| Error::new(Kind::BadInput, e.to_string()))
    }
}
