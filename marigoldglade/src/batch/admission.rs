//! Admission control: refuses jobs that can't be done while they are still useful.

/// The work ahead of a new job, and the capacity that works it off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// Unfinished work of the same or a higher priority, in core-milliseconds.
    pub work: u64,
    /// Cores of all workers in the queue's pool; each accelerator counts as several cores.
    pub cores: u64,
    /// How long after its submission the job's result is still useful, in milliseconds.
    pub useful_ms: u64,
}

/// The shortest retry time given to a refused caller, in milliseconds.
const RETRY_MIN_MS: u64 = 1_000;

/// Returns after how many milliseconds to retry if the backlog takes longer than the job is useful;
/// `None` admits the job.
#[must_use]
pub fn retry_after_ms(backlog: &Backlog) -> Option<u64> {
    let wait_ms = backlog.work / backlog.cores.max(1);
    let over = wait_ms.checked_sub(backlog.useful_ms)?;
    (over > 0 && backlog.cores > 0).then_some(over.max(RETRY_MIN_MS))
}
