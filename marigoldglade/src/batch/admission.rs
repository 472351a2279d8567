//! Which jobs are refused at once because they can't be served in time.
//!
//! The backlog flows in, when to come back flows out; `None` takes the job.

/// What waits before a new job, and how fast it is worked off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// Work of the same or a higher priority that hasn't ended, in core-milliseconds.
    pub work: u64,
    /// Cores of all workers that take work, accelerators included.
    pub cores: u64,
    /// The time in which the job is still of use, in milliseconds.
    pub useful_ms: u64,
}

/// Shortest time after which a refused caller is asked back, in milliseconds.
const RETRY_MIN_MS: u64 = 1_000;

/// Returns when to come back if the backlog outlasts the time in which the job is of use.
#[must_use]
pub fn retry_after_ms(backlog: &Backlog) -> Option<u64> {
    let wait_ms = backlog.work / backlog.cores.max(1);
    let over = wait_ms.checked_sub(backlog.useful_ms)?;
    (over > 0 && backlog.cores > 0).then_some(over.max(RETRY_MIN_MS))
}
