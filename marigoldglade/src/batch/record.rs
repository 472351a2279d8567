//! The stored record of a job, from which a new owner continues it.
//!
//! The store limits a value's size, so the progress of a job's tasks is split: the value under the job's own key
//! holds that of the first tasks, and further values hold that of the others. All values of a record that have
//! changed are written in one transaction.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::batch::id::JobId;
use crate::batch::policy::Queue;
use crate::batch::spec::JobSpec;
use crate::error::{Error, Kind, Result};

/// The most tasks whose progress one value holds. All values of a job with the largest number of tasks fit into
/// one transaction.
pub const PART_TASKS: u32 = 1_024;
/// The size up to which checkpoints are recorded in one value, in bytes.
pub const PART_BYTES: usize = 768 << 10;
/// The largest value that the store takes, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1 << 20;
/// What the progress of a task takes besides its lists and its checkpoint, in bytes.
const TASK_BYTES: usize = 96;
/// What a failed run takes, in bytes.
const RUN_BYTES: usize = 9;
/// What an entry of another list takes besides its text, in bytes.
const ENTRY_BYTES: usize = 160;

/// Identifies one of the values that hold a job's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordKey {
    /// The job.
    pub job: JobId,
    /// The value's number; that of the job's own key is zero.
    pub part: u32,
}

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
    /// For how long, from the writing of the record on, a run may last that the start began, in milliseconds:
    /// daemons have no clock in common. `None` while another start may be sent, and for owners of earlier builds.
    #[serde(rename = "left", default, skip_serializing_if = "Option::is_none")]
    pub left_ms: Option<u64>,
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

impl TaskProgress {
    /// Returns an upper bound of the encoded size, in bytes.
    fn bytes(&self) -> usize {
        let crashes = self.crashes.iter().map(|c| c.worker.len());
        let lost = self.lost_runs.iter().map(|l| l.worker.len());
        let late = self.late_start.iter().map(|l| l.worker.len());
        let entries = crashes.chain(lost).chain(late).map(|n| n + ENTRY_BYTES);
        let lists = self.failed_runs.len() * RUN_BYTES + entries.sum::<usize>();
        TASK_BYTES + lists + self.checkpoint.len()
    }
}

/// Leaves out the largest checkpoints of some tasks, so that the others fit into `limit` bytes; a new owner starts
/// these tasks from the beginning. Returns how many were left out.
pub fn limit_checkpoints(tasks: &mut [TaskProgress], limit: usize) -> usize {
    let mut bytes: usize = tasks.iter().map(TaskProgress::bytes).sum();
    if bytes <= limit {
        return 0;
    }
    let mut largest: Vec<&mut TaskProgress> = tasks.iter_mut().collect();
    largest.sort_by_key(|t| std::cmp::Reverse(t.checkpoint.len()));
    let mut left_out = 0;
    for task in largest {
        if bytes <= limit || task.checkpoint.is_empty() {
            break;
        }
        bytes -= task.checkpoint.len();
        task.checkpoint = String::new();
        left_out += 1;
    }
    left_out
}

/// A value with the progress of some of a job's tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPart {
    /// The value's key.
    pub key: RecordKey,
    /// When the job was accepted, in milliseconds since the Unix epoch, which tells it from an earlier job with its
    /// id.
    #[serde(rename = "accepted")]
    pub accepted_at: u64,
    /// The progress of those tasks that have made any.
    pub tasks: Vec<TaskProgress>,
}

impl RecordPart {
    /// Encodes the part as CBOR (RFC 8949).
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when it can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode(self)
    }

    /// Decodes a part.
    ///
    /// # Errors
    ///
    /// [`Kind::BadInput`] when the bytes aren't an encoded part.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }
}

/// Adds the progress in further parts to the records that they belong to.
pub fn join(records: &mut [Record], parts: Vec<RecordPart>) {
    let mut by_id: HashMap<JobId, &mut Record> = records.iter_mut().map(|r| (r.id, r)).collect();
    for part in parts {
        let Some(record) = by_id.get_mut(&part.key.job) else {
            continue;
        };
        record.stored_parts.push(part.key.part);
        if record.accepted_at == part.accepted_at {
            record.tasks.extend(part.tasks);
        }
    }
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>> {
    let mut bytes = Vec::with_capacity(512);
    ciborium::into_writer(value, &mut bytes)
        .map_err(|e| Error::new(Kind::Internal, e.to_string()))?;
    Ok(bytes)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    ciborium::from_reader(bytes).map_err(|e| Error::new(Kind::BadInput, e.to_string()))
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
    /// Whether further values hold the progress of other tasks.
    #[serde(rename = "more", default, skip_serializing_if = "std::ops::Not::not")]
    pub has_parts: bool,
    /// The numbers of the further values in the store, once they have been read.
    #[serde(skip)]
    pub stored_parts: Vec<u32>,
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
            has_parts: false,
            stored_parts: Vec::new(),
            tasks: Vec::new(),
        }
    }

    /// Encodes the record as CBOR (RFC 8949).
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when it can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode(self)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// [`Kind::BadInput`] when the bytes aren't an encoded record.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }

    /// Returns an upper bound of the encoded size, but for the queue's and the workspace's names, in bytes.
    #[must_use]
    pub fn size_bound(&self) -> usize {
        self.spec.text_bytes() + self.tasks.iter().map(TaskProgress::bytes).sum::<usize>()
    }

    /// Moves the progress of all but the first tasks into further parts, and leaves out the checkpoints that don't
    /// fit.
    #[must_use]
    pub fn split(&mut self) -> Vec<RecordPart> {
        let tasks = std::mem::take(&mut self.tasks);
        let mut by_part: BTreeMap<u32, Vec<TaskProgress>> = BTreeMap::new();
        for task in tasks {
            let number = self.spec.task_number(task.round, task.step, task.index);
            let part = number / PART_TASKS;
            by_part.entry(part).or_default().push(task);
        }
        self.tasks = by_part.remove(&0).unwrap_or_default();
        let limit = PART_BYTES.saturating_sub(self.spec.text_bytes());
        let mut left_out = limit_checkpoints(&mut self.tasks, limit);
        self.has_parts = !by_part.is_empty();
        let part = |(part, mut tasks): (u32, Vec<TaskProgress>)| {
            left_out += limit_checkpoints(&mut tasks, PART_BYTES);
            RecordPart {
                key: RecordKey { job: self.id, part },
                accepted_at: self.accepted_at,
                tasks,
            }
        };
        let parts = by_part.into_iter().map(part).collect();
        if left_out > 0 {
            log::debug!(job = self.id.as_str(), left_out; "checkpoints left out of a job's record: they don't fit");
        }
        parts
    }
}
