//! Calls for jobs, and what daemons say to each other about them.

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::batch::id::JobId;
use crate::batch::policy::{Policy, Queue};
use crate::batch::record::Record;
use crate::batch::spec::JobSpec;

/// A job that is handed in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The job's id.
    pub id: JobId,
    /// Its queue.
    pub queue: Queue,
    /// Its workspace; empty for none.
    pub workspace: String,
    /// What it asks for.
    pub spec: JobSpec,
}

impl Submission {
    /// Returns the record of the job when it is accepted at a time of day.
    #[must_use]
    pub fn into_record(self, accepted_at: u64) -> Record {
        Record::new(self.id, self.queue, self.workspace, self.spec, accepted_at)
    }
}

/// A call of a caller that has passed the entry daemon's checks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Accept a job.
    Submit(Box<Submission>),
    /// Cancel a job.
    Cancel(JobId),
    /// Tell where a job stands.
    Status(JobId),
    /// Count a queue's jobs that haven't begun.
    Pending(String),
}

/// A job's state as callers see it.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, PartialEq, Eq, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
pub enum JobStatus {
    /// Nothing of it has run.
    Queued,
    /// It has begun.
    Running,
    /// All its tasks are done.
    Done,
    /// It has failed.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// The answer to a [`Call`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is on record.
    Accepted,
    /// The job was not accepted and will never run; when to try again, in milliseconds.
    Refused(u64),
    /// The job's cancel is on record, or it had ended before.
    Cancelled,
    /// The job's state.
    State(JobStatus),
    /// The owner knows no such job.
    Unknown,
    /// The count of [`Call::Pending`].
    Pending(u64),
    /// The daemon isn't the owner, or can't write; nothing was done.
    NotOwner,
    /// The outcome isn't known.
    Unsure,
}

/// Who owns the jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The daemon's name.
    pub name: String,
    /// The life of the daemon's process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Its mesh address.
    pub addr: std::net::SocketAddr,
    /// The term; a later owner has a larger one.
    pub term: u64,
    /// When it became the owner, in milliseconds since the Unix epoch.
    pub since: u64,
}

/// What daemons say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A call for the owner.
    Call(Call),
    /// A call that the peer is to make in this daemon's place, which the store turns away.
    Relay(Call),
    /// The answer to both.
    Reply(Reply),
    /// "I know this version of the configuration and this term; do you know later ones?"
    #[serde(rename = "Newer")]
    NewerRequest {
        /// The version.
        version: u64,
        /// The term.
        term: u64,
    },
    /// "Which process are you, and which term do you own?"
    #[serde(rename = "Who")]
    IncarnationRequest,
    /// The answer to it.
    #[serde(rename = "Life")]
    IncarnationResponse {
        /// The life of the daemon's process.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The term in which it is the owner.
        term: Option<u64>,
    },
    /// The answer to [`Message::NewerRequest`], with what is newer.
    #[serde(rename = "Newest")]
    NewerResponse {
        /// The configuration when it is newer.
        policy: Option<Box<Policy>>,
        /// The owner when its term is newer.
        owner: Option<Owner>,
    },
}
