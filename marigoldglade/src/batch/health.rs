//! Health of a worker, judged by how its runs end and by the starts that it refuses as unhealthy.
//!
//! A failure may be the task's own fault. One failure therefore only makes the worker
//! [`Grade::Suspect`], so that others are preferred. Failures of different jobs without a success
//! between them, a stalled run or a refused start quarantine it. After that a single failure is
//! enough until a run succeeds.

use crate::batch::id::JobId;
use crate::time::UnixMs;

/// The number of jobs that must fail on a worker, without a success between them, to quarantine it.
const FAILED_JOBS_THRESHOLD: usize = 2;
/// The length of the first quarantine, in milliseconds; without a success in between, each further
/// one is twice as long as the one before, up to [`MAX_DOUBLINGS`].
const QUARANTINE_MS: u64 = 4_000;
/// How often the length of the quarantine is doubled at most.
const MAX_DOUBLINGS: u32 = 2;
/// How long a worker stays suspect after a failure or a stall, in milliseconds.
const SUSPECT_MS: u64 = 10_000;

/// How much a worker is trusted with new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Grade {
    /// No run failed or stalled on the worker recently.
    #[default]
    Good,
    /// A run failed or stalled on the worker recently: other workers are preferred.
    Suspect,
    /// The worker gets no new work.
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
        let enough = self.failed_jobs.len() >= FAILED_JOBS_THRESHOLD || self.quarantines > 0;
        enough && self.quarantine(now)
    }

    /// Records a run without progress, or a start that the worker refused as unhealthy; returns
    /// whether a quarantine begins.
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
