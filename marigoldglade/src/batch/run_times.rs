//! Run times learned from finished and running tasks: how long a kind of work takes against its callers'
//! estimates, and how fast each worker is.

use crate::batch::engine::WorkerKey;

/// How long tasks take on a worker, in percent of an ordinary worker's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stretch {
    /// The time in percent; 100 for an ordinary worker and for one that isn't known.
    pub percent: u32,
    /// Whether runs on the worker have shown it.
    pub known: bool,
}

impl Stretch {
    /// The stretch of an ordinary worker.
    pub const ORDINARY_PERCENT: u32 = 100;

    /// The stretch of a worker of which nothing is known.
    pub const UNKNOWN: Self = Self {
        percent: Self::ORDINARY_PERCENT,
        known: false,
    };

    /// Returns the time on this worker of work that takes `ordinary_ms` on an ordinary one, in milliseconds.
    #[must_use]
    pub fn apply(self, ordinary_ms: u64) -> u64 {
        ordinary_ms.saturating_mul(u64::from(self.percent)) / u64::from(Self::ORDINARY_PERCENT)
    }
}

impl Default for Stretch {
    fn default() -> Self {
        Self::UNKNOWN
    }
}

/// The expected run time of a task on an ordinary worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Half of the runs take at most this long, in milliseconds.
    pub median_ms: u64,
    /// Nine tenths of the runs take at most this long, in milliseconds.
    pub high_ms: u64,
}

/// What has been learned.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {}

impl RunTimes {
    /// Returns how long tasks take on a worker.
    #[must_use]
    pub fn stretch(&self, _worker: WorkerKey) -> Stretch {
        Stretch::UNKNOWN
    }

    /// Returns whether the workers differ enough in speed that placement should go by it.
    #[must_use]
    pub fn is_uneven(&self) -> bool {
        false
    }
}
