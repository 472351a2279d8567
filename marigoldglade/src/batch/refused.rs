//! The jobs that the owner refused shortly before, as daemons read them from the store.
//!
//! An attempt at a submission may take effect late: a write to the owner's inbox that got no answer is
//! carried out seconds later. A daemon makes such a write on the condition that the key of
//! [`RefusedJobs`] hasn't changed since the attempt read it, and the owner changes that key before it
//! refuses a submission. So an attempt that began before the refusal has no effect after it.

use serde::{Deserialize, Serialize};

use crate::batch::id::JobId;

/// For how long a refused job stays listed, in milliseconds: several times the longest time between the
/// start of an attempt and its read of the list.
pub const LISTED_MS: u64 = 5_000;
/// The most jobs on the list: far above what one owner refuses in that time, and a small part of the
/// store's largest value.
pub const LIST_LIMIT: usize = 4_000;

/// The jobs that were refused within [`LISTED_MS`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedJobs {
    /// The term of the owner that wrote the list.
    pub term: u64,
    /// The number of the commit that wrote it.
    pub commit: u64,
    /// The jobs.
    pub ids: Vec<JobId>,
    /// Whether the list has no space for further jobs, so that any job may have been refused.
    pub full: bool,
}

impl RefusedJobs {
    /// Returns whether a job may have been refused within [`LISTED_MS`].
    #[must_use]
    pub fn may_contain(&self, id: JobId) -> bool {
        self.full || self.ids.contains(&id)
    }
}
