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
    failed: Vec<JobId>,
    suspect_end: UnixMs,
    quarantine_end: UnixMs,
    strikes: u32,
}

impl Health {
    /// Notes that a run was done.
    pub fn done(&mut self) {
        *self = Self::default();
    }

    /// Notes that a run of a job failed; returns whether that began a quarantine.
    pub fn failed(&mut self, job: JobId, now: UnixMs) -> bool {
        self.suspect_end = now.after(SUSPECT_MS);
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        let enough = self.failed.len() >= FAILED_JOBS || self.strikes > 0;
        enough && self.quarantine(now)
    }

    /// Notes that a run made no progress; returns whether that began a quarantine.
    pub fn stalled(&mut self, now: UnixMs) -> bool {
        self.suspect_end = now.after(SUSPECT_MS);
        self.quarantine(now)
    }

    fn quarantine(&mut self, now: UnixMs) -> bool {
        let fresh = self.quarantine_end.passed(now);
        if fresh {
            let ms = QUARANTINE_MS << self.strikes.min(DOUBLINGS_LIMIT);
            self.quarantine_end = now.after(ms);
            self.strikes += 1;
            self.failed.clear();
        }
        fresh
    }

    /// Returns how much the worker is trusted.
    #[must_use]
    pub fn grade(&self, now: UnixMs) -> Grade {
        if !self.quarantine_end.passed(now) {
            Grade::Quarantined
        } else if !self.suspect_end.passed(now) {
            Grade::Suspect
        } else {
            Grade::Good
        }
    }
}
