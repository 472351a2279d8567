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
pub struct Want {
    /// From 0, the most urgent.
    pub priority: u32,
    /// Whether its workspace's guarantee covers it.
    pub guaranteed: bool,
    /// When its job was accepted.
    pub since: UnixMs,
    /// When its job should be done.
    pub goal: UnixMs,
    /// The estimated run time that its job still needs, in milliseconds.
    pub left_ms: u64,
    /// The estimated work that its job still needs, in core-milliseconds.
    pub work: u64,
}

/// How well a job can still do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outlook {
    /// It can be done within its objective.
    InTime,
    /// It can only be done late.
    Late,
    /// It is too late to be of use.
    Hopeless,
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
pub fn outlook(want: &Want, now: UnixMs) -> Outlook {
    let end = now.after(want.left_ms);
    let objective = want.goal.since(want.since);
    if end <= want.goal {
        Outlook::InTime
    } else if end <= want.since.after(objective * LATE_FACTOR) {
        Outlook::Late
    } else {
        Outlook::Hopeless
    }
}

/// Returns the place of a piece of work.
///
/// Jobs that can be in time go by the latest moment at which they must start, those that can't by
/// the work they need, the least first: that serves the most callers.
#[must_use]
pub fn rank(want: &Want, now: UnixMs) -> Rank {
    let outlook = outlook(want, now);
    let urgency = match outlook {
        Outlook::InTime => want.goal.before(want.left_ms).0,
        Outlook::Late | Outlook::Hopeless => want.work,
    };
    Rank {
        priority: want.priority,
        guaranteed: Reverse(want.guaranteed),
        outlook,
        urgency,
    }
}
