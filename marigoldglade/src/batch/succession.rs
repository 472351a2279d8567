//! Which earlier owners may still act when a daemon becomes the owner.
//!
//! The line of owners flows in, those to reckon with flow out.

use crate::batch::messages::Owner;

/// The time after an owner's claim when no owner before it acts any more, in milliseconds; source:
/// above the sum of [`UNCONFIRMED_LIMIT_MS`](crate::batch::engine::UNCONFIRMED_LIMIT_MS), the longest lease and a jump of
/// the time of day.
pub const MAX_ACTIVE_MS: u64 = 20_000;

/// Returns the owners that may still act when the daemon `name` claims the ownership at `wall`, a
/// time of day in milliseconds since the Unix epoch.
///
/// `history` has the newest owner last. An owner acts for a bounded time after its successor's claim;
/// an earlier process of the claiming daemon doesn't act at all.
#[must_use]
pub fn active_predecessors(history: &[Owner], name: &str, wall: u64) -> Vec<Owner> {
    let successors = history.iter().skip(1).map(|o| Some(o.since)).chain([None]);
    let settled = |since: u64| wall.saturating_sub(since) > MAX_ACTIVE_MS;
    let kept = history
        .iter()
        .zip(successors)
        .filter(|(owner, next)| owner.name != name && !next.is_some_and(settled));
    kept.map(|(owner, _)| owner.clone()).collect()
}
