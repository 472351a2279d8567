//! The HTTP interface of callers and operators: headers, jobs and error bodies.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::error::{Error, Executed, Kind, Result};
use crate::label::{Labels, is_word};
use crate::time::UnixMs;
use crate::yaml;

/// The header that names the caller.
pub const CALLER_HEADER: &str = "mg-caller";
/// The header that names the workspace.
pub const WORKSPACE_HEADER: &str = "mg-workspace";
/// The header with labels, as `key=value, key=value`.
pub const LABELS_HEADER: &str = "mg-labels";
/// The header with the deadline, in milliseconds since the Unix epoch.
pub const DEADLINE_HEADER: &str = "mg-deadline";
/// The header that says `true` when a request may run more than once.
pub const IDEMPOTENT_HEADER: &str = "mg-idempotent";
/// The header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// The header with the request's id, which a target repeats in its answer.
pub const REQUEST_ID_HEADER: &str = "mg-request-id";
/// The header in which a target says `no` when it didn't run the request.
pub const RUN_HEADER: &str = "mg-run";
/// The header in which a target says `true` when it is leaving.
pub const LEAVING_HEADER: &str = "mg-leaving";
/// The header that carries the trace (W3C Trace Context).
pub const TRACE_HEADER: &str = "traceparent";

/// The largest gang, in tasks.
pub const GANG_LIMIT: u16 = 128;
/// The number of accelerators of a worker.
pub const WORKER_ACCELS: u8 = 8;

/// The size of a gang: `tasks` tasks, each with `accels` accelerators of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// The number of tasks, from 1 to [`GANG_LIMIT`].
    pub tasks: u16,
    /// The accelerators of each task, from 1 to [`WORKER_ACCELS`].
    pub accels: u8,
}

impl Shape {
    /// Returns the accelerators of the whole gang.
    #[must_use]
    pub const fn total(self) -> u32 {
        self.tasks as u32 * self.accels as u32
    }
}

/// A job as its caller submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The workspace that the job belongs to.
    pub workspace: String,
    /// The caller's idempotency key, unique in the workspace.
    pub key: String,
    /// Labels that selectors see.
    #[serde(default)]
    pub labels: Labels,
    /// The size of the gang.
    pub shape: Shape,
    /// Whether a stopped task can resume from a checkpoint.
    #[serde(default)]
    pub checkpoint: bool,
    /// Whether the job may be started again after a failure.
    #[serde(default)]
    pub idempotent: bool,
    /// The run time that the caller expects, in milliseconds; a hint only.
    #[serde(default)]
    pub run_ms: u64,
    /// The deadline, after which the result is of no use.
    #[serde(default = "no_deadline")]
    #[serde(rename = "end")]
    pub deadline: UnixMs,
    /// What the tasks do; only the workers read it.
    #[serde(default)]
    pub body: String,
}

const fn no_deadline() -> UnixMs {
    UnixMs::MAX
}

impl JobSpec {
    /// Parses a job from JSON or YAML; `file` names the text in errors.
    ///
    /// # Errors
    ///
    /// [`Kind::BadInput`] with line, column and what was expected.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        yaml::read(file, text)
    }

    /// Checks everything that can be checked without the configuration.
    ///
    /// # Errors
    ///
    /// [`Kind::BadInput`] with the field and what was expected, [`Kind::Expired`] if the deadline
    /// has passed.
    pub fn check(&self, now: UnixMs) -> Result<()> {
        for (field, text) in [("workspace", &self.workspace), ("key", &self.key)] {
            if !is_word(text) {
                return Err(bad_input(format!(
                    "{field}: expected 1 to 128 word characters"
                )));
            }
        }
        for (key, value) in &self.labels {
            if !is_word(key) || !is_word(value) {
                return Err(bad_input(format!(
                    "labels: expected 1 to 128 word characters in '{key}' and in its value"
                )));
            }
        }
        if !(1..=GANG_LIMIT).contains(&self.shape.tasks) {
            return Err(bad_input(format!(
                "shape.tasks: expected 1 to {GANG_LIMIT}"
            )));
        }
        if !(1..=WORKER_ACCELS).contains(&self.shape.accels) {
            return Err(bad_input(format!(
                "shape.accels: expected 1 to {WORKER_ACCELS}"
            )));
        }
        if self.deadline.passed(now) {
            return Err(Error::new(Kind::Expired, "end: the deadline has passed"));
        }
        Ok(())
    }
}

fn bad_input(detail: String) -> Error {
    Error::new(Kind::BadInput, detail)
}

/// The state of a job.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    Hash,
    EnumIter,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It is accepted and waits until it can be placed.
    Waiting,
    /// It is placed; the gang is being prepared or started.
    Starting,
    /// The whole gang runs.
    Running,
    /// The gang is being stopped.
    Stopping,
    /// All its tasks succeeded.
    Done,
    /// A task failed.
    Failed,
    /// Its caller or an operator cancelled it.
    Cancelled,
    /// Its deadline passed.
    Expired,
    /// It ended, but whether it ran is unknown.
    Unknown,
}

impl State {
    /// Returns whether a job in this state has ended.
    #[must_use]
    pub const fn ended(self) -> bool {
        matches!(
            self,
            Self::Done | Self::Failed | Self::Cancelled | Self::Expired | Self::Unknown
        )
    }
}

/// A job as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job's id: the data centre that owns it, the workspace and the key.
    pub id: String,
    /// The job's state.
    pub state: State,
    /// How many times the job was started.
    pub attempt: u32,
    /// The VMs on which its tasks were last placed.
    pub vms: Vec<String>,
    /// Why the job is in this state, for people.
    pub reason: String,
    /// The result of a job that is done, which its first task reported.
    #[serde(default)]
    pub result: String,
}

/// The body of an HTTP response that reports an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The kind of error.
    pub kind: Kind,
    /// A description for people.
    pub detail: String,
    /// Whether the work may have run.
    pub run: Executed,
    /// Whether the same call may succeed later.
    pub retryable: bool,
}

impl From<&Error> for Problem {
    fn from(e: &Error) -> Self {
        let properties = e.kind.properties();
        Self {
            kind: e.kind,
            detail: e.detail.clone(),
            run: properties.run,
            retryable: properties.retryable,
        }
    }
}
