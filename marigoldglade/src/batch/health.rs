//! Evidence about one worker: which of the failures on it are likely its own fault.
//!
//! Ends and stalls of runs flow in, a [`Grade`] flows out. A task may fail by its own fault, so one
//! failure only makes a worker second choice; failures of different jobs without a success between
//! them put it in quarantine.

use crate::batch::id::JobId;
use crate::time::UnixMs;

/// Failed jobs, without a success between them, that put a worker in quarantine.
const FAILED_JOBS: usize = 2;
/// The first quarantine, in milliseconds; each that follows without a success is twice as long.
const QUARANTINE_MS: u64 = 4_000;
/// Doublings of the quarantine at most.
const DOUBLINGS_LIMIT: u32 = 2;
/// How long a failure makes a worker second choice, in milliseconds.
const SUSPECT_MS: u64 = 10_000;

/// How much a worker is trusted with new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Grade {
    /// Nothing is known against it.
    #[default]
    Good,
    /// Something failed there lately.
    Suspect,
    /// It gets no work.
    Quarantined,
}

/// What is known of one worker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failed_jobs: Vec<JobId>,
    suspect_until: UnixMs,
    quarantined_until: UnixMs,
    quarantines: u32,
}

impl Health {
    /// Notes that a run was done.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes that a run of a job failed; returns whether that began a quarantine.
    pub fn record_failure(&mut self, job: JobId, now: UnixMs) -> bool {
        self.suspect_until = now.after(SUSPECT_MS);
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let enough = self.failed_jobs.len() >= FAILED_JOBS || self.quarantines > 0;
        enough && self.quarantine(now)
    }

    /// Notes that a run made no progress; returns whether that began a quarantine.
    pub fn record_stall(&mut self, now: UnixMs) -> bool {
        self.suspect_until = now.after(SUSPECT_MS);
        self.quarantine(now)
    }

    fn quarantine(&mut self, now: UnixMs) -> bool {
        let fresh = self.quarantined_until.passed(now);
        if fresh {
            let ms = QUARANTINE_MS << self.quarantines.min(DOUBLINGS_LIMIT);
            self.quarantined_until = now.after(ms);
            self.quarantines += 1;
            self.failed_jobs.clear();
        }
        fresh
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
