//! Which changed records go into the next commit when it can't hold all.
//!
//! A slow store takes few commits a second, fewer than are needed to write every change of every job.
//! Records that callers wait for go first, so that new work isn't accepted only after the progress of
//! all older work is written; a part of each commit is kept for the others.

use crate::batch::engine::JobKey;

/// Why a record is written, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// A caller waits until its submission or cancel is durable.
    Caller,
    /// The job has ended, which callers learn once it is durable.
    End,
    /// Tasks have made progress.
    Progress,
}

/// A record with changes that aren't durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Change {
    /// Why it is written.
    pub reason: Reason,
    /// The queue's priority; zero is the most urgent.
    pub priority: u32,
    /// The job; a lower key is older.
    pub job: JobKey,
}

/// The share of a commit that is kept for progress and ends while callers wait, in percent.
const OTHERS_PERCENT: usize = 25;

/// Returns the records of the next commit, at most `limit`, in the order in which they are written.
#[must_use]
pub fn select(mut changes: Vec<Change>, limit: usize) -> Vec<JobKey> {
    if changes.len() > limit {
        changes.sort_unstable();
        let callers = changes.partition_point(|c| c.reason == Reason::Caller);
        let others = changes.len() - callers;
        let kept = others.min(limit * OTHERS_PERCENT / 100);
        let taken = callers.min(limit - kept);
        changes.drain(taken..callers);
        changes.truncate(limit);
    }
    changes.into_iter().map(|c| c.job).collect()
}
