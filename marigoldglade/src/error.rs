//! The closed list of error kinds, with the HTTP status, exit code and retry rule of each.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A result whose error carries a [`Kind`].
pub type Result<T> = std::result::Result<T, Error>;

/// What went wrong, as callers and operators see it.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    EnumIter,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The input can't be parsed, or a value in it is invalid.
    BadInput,
    /// The input is larger than its bound.
    TooLarge,
    /// The peer took too long to send its input.
    SlowInput,
    /// No such route, job, workspace, service or VM.
    NotFound,
    /// The method isn't offered on this route.
    BadMethod,
    /// The deadline has passed before anything was sent.
    Expired,
    /// The queue is full or the deadline can't be met; the work was shed.
    Shed,
    /// The caller or workspace is above its share or quota.
    OverQuota,
    /// No target can take the work now.
    NoTarget,
    /// No target could ever run the work.
    Impossible,
    /// The daemon is stopping and takes no new work.
    Stopping,
    /// The daemon isn't ready: it has no configuration yet.
    NotReady,
    /// The key-value service can't be reached and the work needs it.
    StoreDown,
    /// The idempotency key was used before, for the same work or for other work.
    Duplicate,
    /// Another writer was first; nothing was changed.
    Conflict,
    /// The target failed after the work may have started.
    TargetFailed,
    /// The deadline passed after the work was sent.
    Timeout,
    /// The target's answer was malformed, duplicated, too large or meant for another request.
    BadAnswer,
    /// The outcome can't be known.
    Unknown,
    /// The job was cancelled.
    Cancelled,
    /// The peer can't be authenticated, speaks another protocol version or sent invalid messages.
    BadPeer,
    /// An internal fault of marigoldglade.
    Internal,
}

/// Whether the work may have run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// It provably didn't run.
    No,
    /// It may have run.
    Maybe,
}

/// How an error of a [`Kind`] is reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Properties {
    /// The HTTP status.
    pub status: u16,
    /// Whether the work may have run.
    pub run: Executed,
    /// Whether the same call may succeed later.
    pub retryable: bool,
    /// How long to wait before the next try, in milliseconds; zero when not retryable.
    pub retry_ms: u64,
    /// The exit code of the command line.
    pub exit_code: u8,
}

impl Kind {
    /// Returns the properties of this kind.
    #[must_use]
    pub const fn properties(self) -> Properties {
        let (status, run, retry_ms, exit_code) = match self {
            Self::BadInput => (400, Executed::No, 0, 2),
            Self::TooLarge => (413, Executed::No, 0, 2),
            Self::SlowInput => (408, Executed::No, 1_000, 3),
            Self::NotFound => (404, Executed::No, 0, 4),
            Self::BadMethod => (405, Executed::No, 0, 2),
            Self::Expired => (504, Executed::No, 0, 5),
            Self::Shed => (503, Executed::No, 1_000, 6),
            Self::OverQuota => (429, Executed::No, 1_000, 6),
            Self::NoTarget => (503, Executed::No, 500, 6),
            Self::Impossible => (422, Executed::No, 0, 7),
            Self::Stopping => (503, Executed::No, 100, 6),
            Self::NotReady => (503, Executed::No, 1_000, 6),
            Self::StoreDown => (503, Executed::No, 2_000, 8),
            Self::Duplicate => (409, Executed::Maybe, 0, 9),
            Self::Conflict => (409, Executed::No, 0, 9),
            Self::TargetFailed => (502, Executed::Maybe, 0, 10),
            Self::Timeout => (504, Executed::Maybe, 0, 10),
            Self::BadAnswer => (502, Executed::Maybe, 0, 10),
            Self::Unknown => (502, Executed::Maybe, 0, 10),
            Self::Cancelled => (410, Executed::Maybe, 0, 11),
            Self::BadPeer => (403, Executed::No, 0, 12),
            Self::Internal => (500, Executed::Maybe, 0, 70),
        };
        Properties {
            status,
            run,
            retryable: retry_ms > 0,
            retry_ms,
            exit_code,
        }
    }
}

/// An error: its [`Kind`] and a description.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// The kind of error.
    pub kind: Kind,
    /// A description for people.
    pub detail: String,
}

impl Error {
    /// Creates an error of `kind` with a description.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.kind, self.detail)
    }
}

impl std::error::Error for Error {}
