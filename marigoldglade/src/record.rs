//! The durable record of a job, and the keys under which the store holds it.
//!
//! A [`Record`] flows to and from the JSON value of its key. The job's owner writes it when the
//! job is accepted, before each start, and once at the end.

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
/// The largest result that a record keeps, in bytes; longer ones are cut.
pub const RESULT_LIMIT_BYTES: usize = 16 << 10;

/// Stands for `/` within a part of an id; no label word contains it.
const SLASH: &str = "~";

/// Names a job everywhere: the data centre that owns it, the workspace and the key.
///
/// Its text form is `dc/workspace/key`, with `~` for a `/` within a part, so that no two jobs
/// have the same text.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId {
    /// The data centre.
    pub dc: String,
    /// The workspace.
    pub workspace: String,
    /// The caller's idempotency key.
    pub key: String,
}

impl JobId {
    /// Names the job of `spec` in a data centre.
    #[must_use]
    pub fn new(dc: &str, spec: &JobSpec) -> Self {
        Self {
            dc: dc.to_owned(),
            workspace: spec.workspace.clone(),
            key: spec.key.clone(),
        }
    }

    /// Parses the text form.
    ///
    /// # Errors
    ///
    /// [`Kind::BadInput`] when there aren't three parts.
    pub fn parse(text: &str) -> Result<Self> {
        let parts: Vec<&str> = text.split('/').collect();
        let [dc, workspace, key] = parts.as_slice() else {
            return Err(Error::new(
                Kind::BadInput,
                format!("job id '{text}': expected DC/WORKSPACE/KEY"),
            ));
        };
        let part = |p: &str| p.replace(SLASH, "/");
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

    /// Returns the key that makes an idempotency key unique over all data centres.
    #[must_use]
    pub fn unique_key(&self) -> Key {
        let (workspace, key) = (escaped(&self.workspace), escaped(&self.key));
        format!("/mg/key/{workspace}/{key}")
    }
}

fn escaped(part: &str) -> String {
    part.replace('/', SLASH)
}

impl std::fmt::Display for JobId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (dc, workspace) = (escaped(&self.dc), escaped(&self.workspace));
        write!(f, "{dc}/{workspace}/{}", escaped(&self.key))
    }
}

/// Returns the prefix of a data centre's records.
#[must_use]
pub fn prefix(dc: &str) -> Key {
    format!("/mg/job/{}/", escaped(dc))
}

/// Returns the key that a data centre's owner holds by its lease.
#[must_use]
pub fn owner_key(dc: &str) -> Key {
    format!("{}{dc}", crate::owner::PREFIX)
}

/// Returns the key that numbers the owner's writes in a data centre.
#[must_use]
pub fn batch_key(dc: &str) -> Key {
    format!("/mg/batch/{}", escaped(dc))
}

/// A reason with when it arose and under which version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReasonEntry {
    /// When the reason arose.
    pub at: UnixMs,
    /// The version of the configuration in force.
    pub config: Revision,
    /// The reason.
    pub reason: Reason,
}

/// All that must last of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The job as it was submitted.
    pub spec: JobSpec,
    /// Who submitted it.
    pub caller: String,
    /// When it was accepted.
    pub since: UnixMs,
    /// Where it stands.
    pub state: State,
    /// How often it was started; zero is never.
    pub attempt: u32,
    /// The VMs of the last start, one a task.
    pub vms: Vec<String>,
    /// The last reasons, oldest first.
    pub reasons: Vec<ReasonEntry>,
    /// The result of a job that is done.
    #[serde(default)]
    pub result: String,
    /// Whether a cancel was asked for.
    #[serde(default)]
    pub cancel: bool,
    /// How many starts ended by a failed task.
    #[serde(default)]
    pub failures: u32,
    /// Tells this accept from another one under the same key.
    pub nonce: u64,
}

impl Record {
    /// Makes the record of a job that is about to be accepted.
    #[must_use]
    pub fn new(spec: JobSpec, caller: &str, now: UnixMs, nonce: u64) -> Self {
        Self {
            spec,
            caller: caller.to_owned(),
            since: now,
            state: State::Waiting,
            attempt: 0,
            vms: Vec::new(),
            reasons: Vec::new(),
            result: String::new(),
            cancel: false,
            failures: 0,
            nonce,
        }
    }

    /// Reads the value of a record's key.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when it isn't a record.
    pub fn decode(value: &[u8]) -> Result<Self> {
        serde_json::from_slice(value)
            .map_err(|e| Error::new(Kind::Internal, format!("record: {e}")))
    }

    /// Returns the value of the record's key.
    ///
    /// # Errors
    ///
    /// [`Kind::TooLarge`] when it is above [`RECORD_LIMIT_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        let value = serde_json::to_vec(self)
            .map_err(|e| Error::new(Kind::Internal, format!("record: {e}")))?;
        if value.len() > RECORD_LIMIT_BYTES {
            return Err(Error::new(
                Kind::TooLarge,
                format!("a job's record has at most {RECORD_LIMIT_BYTES} bytes"),
            ));
        }
        Ok(value)
    }

    /// Adds a reason unless it is the last one already, and drops the oldest above the limit.
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
