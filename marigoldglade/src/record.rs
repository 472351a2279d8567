//! The durable record of a job, and the keys under which the store holds it.
//!
//! A [`Record`] is stored as JSON. The job's owner writes it when the job is accepted, before each
//! start, when the job waits again or is cancelled, and at its end.

use serde::{Deserialize, Serialize};

use crate::api::{JobSpec, JobView, State};
use crate::error::{Error, Kind, Result};
use crate::plan::Reason;
use crate::store::{Key, Revision};
use crate::time::UnixMs;

/// The most reasons that a record keeps; older ones are dropped.
pub const REASONS_LIMIT: usize = 16;
/// The largest value of a record, in bytes.
pub const RECORD_LIMIT_BYTES: usize = 256 << 10;
/// The largest result that a record keeps, in bytes; longer ones are truncated.
pub const RESULT_LIMIT_BYTES: usize = 16 << 10;

/// Stands for a `/` within a part of an id. No part contains a `~` of its own.
const ESCAPED_SLASH: &str = "~";

/// Identifies a job in all data centres: the data centre that owns it, the workspace and the key.
///
/// Its text form is `dc/workspace/key`, with `~` for a `/` within a part, so that no two jobs
/// have the same text.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId {
    /// The data centre that owns the job.
    pub dc: String,
    /// The job's workspace.
    pub workspace: String,
    /// The caller's idempotency key.
    pub key: String,
}

impl JobId {
    /// Returns the id of the job of `spec` in a data centre.
    #[must_use]
    pub fn new(dc: &str, spec: &JobSpec) -> Self {
        Self {
            dc: dc.to_owned(),
            workspace: spec.workspace.clone(),
            key: spec.key.clone(),
        }
    }

    /// Parses the text form of an id.
    ///
    /// # Errors
    ///
    /// [`Kind::BadInput`] when the text doesn't have three parts.
    pub fn parse(text: &str) -> Result<Self> {
        let parts: Vec<&str> = text.split('/').collect();
        let [dc, workspace, key] = parts.as_slice() else {
            return Err(Error::new(
                Kind::BadInput,
                format!("job id '{text}': expected DC/WORKSPACE/KEY"),
            ));
        };
        let part = |p: &str| p.replace(ESCAPED_SLASH, "/");
        Ok(Self {
            dc: part(dc),
            workspace: part(workspace),
            key: part(key),
        })
    }

    /// Returns the key of the job's record.
    #[must_use]
    pub fn record_key(&self) -> Key {
        format!("/mg/job/{self}")
    }

    /// Returns the store key whose existence makes the idempotency key unique over all data
    /// centres.
    #[must_use]
    pub fn unique_key(&self) -> Key {
        let (workspace, key) = (escape(&self.workspace), escape(&self.key));
        format!("/mg/key/{workspace}/{key}")
    }
}

fn escape(part: &str) -> String {
    part.replace('/', ESCAPED_SLASH)
}

impl std::fmt::Display for JobId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (dc, workspace) = (escape(&self.dc), escape(&self.workspace));
        write!(f, "{dc}/{workspace}/{}", escape(&self.key))
    }
}

/// Returns the prefix of the keys of a data centre's records.
#[must_use]
pub fn prefix(dc: &str) -> Key {
    format!("/mg/job/{}/", escape(dc))
}

/// Returns the key that a data centre's owner holds under its lease.
#[must_use]
pub fn owner_key(dc: &str) -> Key {
    format!("{}{dc}", crate::owner::PREFIX)
}

/// Returns the key that holds the number of the last transaction of a data centre's owner.
#[must_use]
pub fn batch_key(dc: &str) -> Key {
    format!("/mg/batch/{}", escape(dc))
}

/// A reason for the job's state, with its time and the version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReasonEntry {
    /// When the reason arose.
    pub at: UnixMs,
    /// The version of the configuration that was in force.
    pub config: Revision,
    /// The reason.
    pub reason: Reason,
}

/// The durable state of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The job as it was submitted.
    pub spec: JobSpec,
    /// The caller that submitted the job.
    pub caller: String,
    /// When the job was accepted.
    #[serde(rename = "since")]
    pub accepted_at: UnixMs,
    /// The state of the job.
    pub state: State,
    /// The number of the last recorded start; zero before the first.
    pub attempt: u32,
    /// The VM of each task in the last recorded start.
    pub vms: Vec<String>,
    /// The latest reasons for the job's state, oldest first, at most [`REASONS_LIMIT`].
    pub reasons: Vec<ReasonEntry>,
    /// The result of a job that is done.
    #[serde(default)]
    pub result: String,
    /// Whether a caller requested a cancel.
    #[serde(default)]
    #[serde(rename = "cancel")]
    pub cancel_requested: bool,
    /// The number of starts that ended because a task failed.
    #[serde(default)]
    pub failures: u32,
    /// A random number that distinguishes this record from that of another submit under the same
    /// key.
    pub nonce: u64,
}

impl Record {
    /// Makes the record of a new job that is accepted at `now`.
    #[must_use]
    pub fn new(spec: JobSpec, caller: &str, now: UnixMs, nonce: u64) -> Self {
        Self {
            spec,
            caller: caller.to_owned(),
            accepted_at: now,
            state: State::Waiting,
            attempt: 0,
            vms: Vec::new(),
            reasons: Vec::new(),
            result: String::new(),
            cancel_requested: false,
            failures: 0,
            nonce,
        }
    }

    /// Parses the stored value of a record.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when the value isn't a record.
    pub fn decode(value: &[u8]) -> Result<Self> {
        serde_json::from_slice(value)
            .map_err(|e| Error::new(Kind::Internal, format!("invalid job record: {e}")))
    }

    /// Returns the value to store for the record.
    ///
    /// # Errors
    ///
    /// [`Kind::TooLarge`] when the value is larger than [`RECORD_LIMIT_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        let value = serde_json::to_vec(self)
            .map_err(|e| Error::new(Kind::Internal, format!("job record can't be encoded: {e}")))?;
        if value.len() > RECORD_LIMIT_BYTES {
            return Err(Error::new(
                Kind::TooLarge,
                format!("job record is larger than {RECORD_LIMIT_BYTES} bytes"),
            ));
        }
        Ok(value)
    }

    /// Adds a reason unless it equals the last one. At [`REASONS_LIMIT`] reasons, the oldest is
    /// dropped first.
    pub fn note(&mut self, at: UnixMs, config: Revision, reason: Reason) {
        if self.reasons.last().is_some_and(|e| e.reason == reason) {
            return;
        }
        if self.reasons.len() >= REASONS_LIMIT {
            self.reasons.remove(0);
        }
        self.reasons.push(ReasonEntry { at, config, reason });
    }

    /// Returns the job as callers see it.
    #[must_use]
    pub fn view(&self, id: &JobId) -> JobView {
        let last = self.reasons.last();
        JobView {
            id: id.to_string(),
            state: self.state,
            attempt: self.attempt,
            vms: self.vms.clone(),
            reason: last.map_or_else(String::new, |e| crate::explain::describe_reason(&e.reason)),
            result: self.result.clone(),
        }
    }
}
