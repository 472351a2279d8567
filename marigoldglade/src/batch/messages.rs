//! Calls of clients about jobs, and the messages between daemons.

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::batch::id::JobId;
use crate::batch::policy::{Policy, Queue};
use crate::batch::record::Record;
use crate::batch::spec::JobSpec;
use crate::batch::worker::{Order, OrderResponse};

/// A job being submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The job's id.
    pub id: JobId,
    /// The queue that it is submitted to.
    pub queue: Queue,
    /// The workspace that it belongs to; empty for none.
    pub workspace: String,
    /// What the caller asks for.
    pub spec: JobSpec,
    /// The number of the last refusal of the job that the attempt began after; zero if none is known.
    #[serde(default)]
    pub refusal: u64,
}

impl Submission {
    /// Returns the record of the job, accepted at `accepted_at` in milliseconds since the Unix epoch.
    #[must_use]
    pub fn into_record(self, accepted_at: u64) -> Record {
        Record::new(self.id, self.queue, self.workspace, self.spec, accepted_at)
    }
}

/// A call that passed the checks of the daemon that received it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Accept a job.
    Submit(Box<Submission>),
    /// Cancel a job.
    Cancel(JobId),
    /// Get a job's state.
    Status(JobId),
    /// Count the jobs of the named queue that wait for their first task to start.
    Pending(String),
}

/// A job's state as shown to callers.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, PartialEq, Eq, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
pub enum JobStatus {
    /// None of its tasks has been started.
    Queued,
    /// At least one of its tasks has been started.
    Running,
    /// All its tasks are done.
    Done,
    /// The job failed.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// The reply to a [`Call`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is durable.
    Accepted,
    /// The job was not accepted and will never run; with the time to wait before a retry, in
    /// milliseconds.
    Refused(u64),
    /// The job's cancellation is durable, or the job had already ended.
    Cancelled,
    /// The state of the job that was asked for.
    State(JobStatus),
    /// The owner knows no such job.
    Unknown,
    /// The number of jobs that [`Call::Pending`] counts.
    Pending(u64),
    /// The daemon isn't the owner or can't write to the store; nothing was done.
    NotOwner,
    /// It isn't known whether the call took effect.
    Unsure,
    /// The call had no effect, but an earlier attempt at the submission may; with the time to wait before
    /// a retry, in milliseconds.
    Doubtful(u64),
    /// The job was refused shortly before, and the call had no effect. An attempt that began after the
    /// refusal is made again with the refusal's number.
    RefusedBefore {
        /// The number of the refusal.
        refusal: u64,
        /// How long ago the refusal was sent, in milliseconds.
        ago_ms: u64,
    },
}

/// The daemon that owns the jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The daemon's name.
    pub name: String,
    /// The daemon's incarnation, a random number for each start of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The daemon's mesh address.
    pub addr: std::net::SocketAddr,
    /// The term of this ownership; a later owner has a larger one.
    pub term: u64,
    /// When it became the owner, in milliseconds since the Unix epoch.
    pub since: u64,
}

/// An order of the owner that another daemon sends to the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedOrder {
    /// Identifies the order on its link.
    pub number: u64,
    /// The worker's name.
    pub worker: String,
    /// The worker's address.
    pub addr: std::net::SocketAddr,
    /// The order.
    pub order: Order,
    /// The latest time to send it, on the relay's clock, where the owner knows that; it comes on top of the
    /// relay's own limit.
    #[serde(default)]
    pub send_by: Option<u64>,
}

/// The response to a [`RelayedOrder`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedResponse {
    /// The number of the order.
    pub number: u64,
    /// The worker's response, or its loss.
    pub response: OrderResponse,
}

/// A message between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A call for the owner.
    Call(Call),
    /// A call that the peer is to make on behalf of the sender, which can't reach the store.
    Relay(Call),
    /// The reply to [`Message::Call`] or [`Message::Relay`].
    Reply(Reply),
    /// Asks for a configuration and an owner that are newer than the ones given.
    #[serde(rename = "Newer")]
    NewerRequest {
        /// The version of the sender's configuration.
        version: u64,
        /// The term of the owner that the sender knows.
        term: u64,
    },
    /// Asks for the daemon's incarnation and the term that it owns.
    #[serde(rename = "Who")]
    IncarnationRequest,
    /// The response to [`Message::IncarnationRequest`].
    #[serde(rename = "Life")]
    IncarnationResponse {
        /// The daemon's incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The term that the daemon owns; `None` if it isn't the owner.
        term: Option<u64>,
    },
    /// The response to [`Message::NewerRequest`].
    #[serde(rename = "Newest")]
    NewerResponse {
        /// The configuration, if newer.
        policy: Option<Box<Policy>>,
        /// The owner, if its term is newer.
        owner: Option<Owner>,
    },
    /// Asks whether an attempt at a submission by the receiver may take effect, or has.
    AttemptRequest(JobId),
    /// The response to [`Message::AttemptRequest`].
    AttemptResponse {
        /// Whether no attempt by the daemon can take effect, or has.
        none: bool,
    },
    /// Orders of the owner that the receiver sends to workers.
    Orders(Vec<RelayedOrder>),
    /// Responses of workers to [`Message::Orders`]; without any, it shows that the sender is alive.
    OrderResponses {
        /// The responses.
        responses: Vec<RelayedResponse>,
        /// Whether the sender stops and takes no new orders.
        stopping: bool,
        /// The sender's clock, in milliseconds since its boot.
        #[serde(default)]
        clock: Option<u64>,
    },
}
