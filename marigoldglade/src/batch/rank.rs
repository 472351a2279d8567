//! Scheduling order of ready work.

use std::cmp::Reverse;

use crate::time::UnixMs;

/// The multiple of its objective after which a late job is worth nothing, by the platform's credit
/// rules.
pub const LATE_FACTOR: u64 = 3;

/// The properties of a piece of work that its rank depends on.
#[derive(Clone, Copy, Debug)]
pub struct RankInputs {
    /// The queue's priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether the workspace's guarantee covers the job.
    pub guaranteed: bool,
    /// When the job was accepted, or its round came due.
    pub waiting_since: UnixMs,
    /// When the job should be done to meet its objective.
    pub finish_by: UnixMs,
    /// The estimated run time that the job still needs, in milliseconds.
    pub remaining_ms: u64,
    /// The estimated work that the job still needs, in core-milliseconds.
    pub remaining_work: u64,
}

/// Whether a job can still meet its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outlook {
    /// It can meet its objective.
    InTime,
    /// It can only finish late, but is still useful then.
    Late,
    /// It can't finish while it is still useful.
    TooLate,
}

/// A position in the scheduling order; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: u32,
    guaranteed: Reverse<bool>,
    outlook: Outlook,
    urgency: u64,
}

/// Returns whether a job that starts now can meet its objective.
#[must_use]
pub fn outlook(inputs: &RankInputs, now: UnixMs) -> Outlook {
    let finish = now.after(inputs.remaining_ms);
    let objective = inputs.finish_by.since(inputs.waiting_since);
    if finish <= inputs.finish_by {
        Outlook::InTime
    } else if finish
        <= inputs
            .waiting_since
            .after(objective.saturating_mul(LATE_FACTOR))
    {
        Outlook::Late
    } else {
        Outlook::TooLate
    }
}

/// Returns the rank of a piece of work.
///
/// The priority comes first, then whether the guarantee covers the job, then the outlook. Otherwise
/// equal jobs that can finish in time are ordered by their latest possible start. The others are
/// ordered by remaining work, least first, which finishes the most jobs.
#[must_use]
pub fn rank(inputs: &RankInputs, now: UnixMs) -> Rank {
    let outlook = outlook(inputs, now);
    let urgency = match outlook {
        Outlook::InTime => inputs.finish_by.before(inputs.remaining_ms).0,
        Outlook::Late | Outlook::TooLate => inputs.remaining_work,
    };
    Rank {
        priority: inputs.priority,
        guaranteed: Reverse(inputs.guaranteed),
        outlook,
        urgency,
    }
}
