//! Admission control: refuses jobs that can't be done while they are still useful, and tells refused
//! callers when to return.

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

/// The bounds of the time after which callers return that were refused during an outage, in
/// milliseconds. Few outages are shorter, and later a job is often no longer useful.
const OUTAGE_RETRY_MIN_MS: u64 = 1_000;
const OUTAGE_RETRY_MAX_MS: u64 = 3_000;
/// By how much such a time varies from caller to caller, in percent.
const OUTAGE_RETRY_SPREAD: u64 = 25;

/// Returns after how many milliseconds a caller should retry that was refused because the store has
/// been out of reach for `lasted_ms`.
///
/// An outage goes on for about as long as it has lasted. A caller retries only a few times, so one
/// that returns too early uses up an attempt. `roll` is a random number that spreads the returns.
#[must_use]
pub fn outage_retry_ms(lasted_ms: u64, roll: u64) -> u64 {
    let rest = lasted_ms.clamp(OUTAGE_RETRY_MIN_MS, OUTAGE_RETRY_MAX_MS);
    let percent = 100 - OUTAGE_RETRY_SPREAD + roll % (2 * OUTAGE_RETRY_SPREAD + 1);
    rest * percent / 100
}
