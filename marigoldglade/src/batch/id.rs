//! Ids of jobs and tasks.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of digits of a job's id.
const ID_DIGITS: usize = 16;

/// A job's id: 16 hexadecimal digits chosen by the caller; their case is kept.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId([u8; ID_DIGITS]);

impl JobId {
    /// Parses an id; `None` when it isn't 16 hexadecimal digits.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let digits: [u8; ID_DIGITS] = text.as_bytes().try_into().ok()?;
        digits
            .iter()
            .all(u8::is_ascii_hexdigit)
            .then_some(Self(digits))
    }

    /// Returns the id as the caller wrote it.
    #[must_use]
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl TryFrom<String> for JobId {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        Self::parse(&text).ok_or_else(|| format!("expected 16 hexadecimal digits, got {text:?}"))
    }
}

impl From<JobId> for String {
    fn from(id: JobId) -> Self {
        id.as_str().to_owned()
    }
}

/// A task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The round of a repeated job, from zero.
    pub round: u32,
    /// The step's index in the job, from zero.
    pub step: u16,
    /// The task's index in the step, from zero.
    pub index: u32,
}

impl TaskId {
    /// Parses `job.round.step.index`, the form that [`fmt::Display`] writes.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let job = JobId::parse(parts.next()?)?;
        let round = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        parts.next().is_none().then_some(Self {
            job,
            round,
            step,
            index,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.round, self.step, self.index
        )
    }
}
