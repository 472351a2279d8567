//! Which work goes first.
//!
//! What is known of a piece of work flows in, a [`Rank`] that sorts the first ahead flows out.

use std::cmp::Reverse;

use crate::time::UnixMs;

/// How many times its objective a late job may take before it is worth nothing; source: the
/// platform's credit rules.
pub const LATE_FACTOR: u64 = 3;

/// What the order depends on.
#[derive(Clone, Copy, Debug)]
pub struct RankInputs {
    /// From 0, the most urgent.
    pub priority: u32,
    /// Whether its workspace's guarantee covers it.
    pub guaranteed: bool,
    /// When its job was accepted.
    pub waiting_since: UnixMs,
    /// When its job should be done.
    pub finish_by: UnixMs,
    /// The estimated run time that its job still needs, in milliseconds.
    pub remaining_ms: u64,
    /// The estimated work that its job still needs, in core-milliseconds.
    pub remaining_work: u64,
}

/// How well a job can still do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outlook {
    /// It can be done within its objective.
    InTime,
    /// It can only be done late.
    Late,
    /// It is too late to be of use.
    TooLate,
}

/// A place in the order; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: u32,
    guaranteed: Reverse<bool>,
    outlook: Outlook,
    urgency: u64,
}

/// Returns how well a job can still do.
#[must_use]
pub fn outlook(want: &RankInputs, now: UnixMs) -> Outlook {
    let end = now.after(want.remaining_ms);
    let objective = want.finish_by.since(want.waiting_since);
    if end <= want.finish_by {
        Outlook::InTime
    } else if end <= want.waiting_since.after(objective * LATE_FACTOR) {
        Outlook::Late
    } else {
        Outlook::TooLate
    }
}

/// Returns the place of a piece of work.
///
/// Jobs that can be in time go by the latest moment at which they must start, those that can't by
/// the work they need, the least first: that serves the most callers.
#[must_use]
pub fn rank(want: &RankInputs, now: UnixMs) -> Rank {
    let outlook = outlook(want, now);
    let urgency = match outlook {
        Outlook::InTime => want.finish_by.before(want.remaining_ms).0,
        Outlook::Late | Outlook::TooLate => want.remaining_work,
    };
    Rank {
        priority: want.priority,
        guaranteed: Reverse(want.guaranteed),
        outlook,
        urgency,
    }
}
