//! Which changed records go into the next commit when it can't hold all.
//!
//! A slow store takes few commits a second, fewer than are needed to write every change of every job.
//! Records with completions that a new owner couldn't ask for go first. Records that callers wait for
//! come next, so that new work isn't accepted only after the progress of all older work is written; a
//! part of each commit is kept for the others.

use crate::batch::engine::JobKey;

/// Why a record is written, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// A task has ended on a worker that may be gone, so only the owner knows of it.
    OnlyCopy,
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

/// The share of a commit that completions known only to the owner may take before others, in
/// percent; the rest of them compete with progress and ends.
const COPIES_PERCENT: usize = 50;
/// The share of the rest that is kept for progress and ends while callers wait, in percent.
const OTHERS_PERCENT: usize = 25;

/// Returns the records of the next commit, at most `limit`, in the order in which they are written.
#[must_use]
pub fn select(mut changes: Vec<Change>, limit: usize) -> Vec<JobKey> {
    if changes.len() > limit {
        changes.sort_unstable();
        let copies = changes.partition_point(|c| c.reason == Reason::OnlyCopy);
        let rest = changes.split_off(copies.min((limit * COPIES_PERCENT / 100).max(1)));
        let left = limit - changes.len();
        let (mut callers, others): (Vec<Change>, Vec<Change>) =
            rest.into_iter().partition(|c| c.reason == Reason::Caller);
        let kept = others.len().min(left * OTHERS_PERCENT / 100);
        callers.truncate(left - kept);
        changes.extend(callers.into_iter().chain(others));
        changes.truncate(limit);
    }
    changes.into_iter().map(|c| c.job).collect()
}
