//! Health of a worker, judged by how its runs end.
//!
//! A failure may be the task's own fault. One failure therefore only makes the worker
//! [`Grade::Suspect`], so that others are preferred. Failures of different jobs without a success
//! between them, or a stalled run, quarantine it. After that a single failure is enough until a run
//! succeeds.

use crate::batch::id::JobId;
use crate::time::UnixMs;

/// The number of jobs that must fail on a worker, without a success between them, to quarantine it.
const FAILED_JOBS: usize = 2;
/// The length of the first quarantine, in milliseconds; each further one without a success between
/// them is twice as long.
const QUARANTINE_MS: u64 = 4_000;
/// The largest number of doublings of the quarantine.
const MAX_DOUBLINGS: u32 = 2;
/// How long a worker stays suspect after a failure, in milliseconds.
const SUSPECT_MS: u64 = 10_000;

/// How much a worker is trusted with new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Grade {
    /// Nothing failed recently.
    #[default]
    Good,
    /// Something failed there recently: other workers are preferred.
    Suspect,
    /// It gets no new work.
    Quarantined,
}

/// The failures of one worker since its last success.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failed_jobs: Vec<JobId>,
    suspect_until: UnixMs,
    quarantined_until: UnixMs,
    quarantines: u32,
}

impl Health {
    /// Records a successful run, which clears all failures.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed run of a job; returns whether a quarantine begins.
    pub fn record_failure(&mut self, job: JobId, now: UnixMs) -> bool {
        self.suspect_until = now.after(SUSPECT_MS);
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let enough = self.failed_jobs.len() >= FAILED_JOBS || self.quarantines > 0;
        enough && self.quarantine(now)
    }

    /// Records a run without progress; returns whether a quarantine begins.
    pub fn record_stall(&mut self, now: UnixMs) -> bool {
        self.suspect_until = now.after(SUSPECT_MS);
        self.quarantine(now)
    }

    fn quarantine(&mut self, now: UnixMs) -> bool {
        let begins = self.quarantined_until.passed(now);
        if begins {
            let ms = QUARANTINE_MS << self.quarantines.min(MAX_DOUBLINGS);
            self.quarantined_until = now.after(ms);
            self.quarantines += 1;
            self.failed_jobs.clear();
        }
        begins
    }

    /// Returns how much the worker is trusted.
    #[must_use]
    pub fn grade(&self, now: UnixMs) -> Grade {
        if !self.quarantined_until.passed(now) {
            Grade::Quarantined
        } else if !self.suspect_until.passed(now) {
            Grade::Suspect
        } else {
            Grade::Good
        }
    }
}
