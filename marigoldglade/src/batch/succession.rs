//! Earlier owners that may still act when a daemon becomes the owner.

use crate::batch::messages::Owner;

/// How long after an owner's claim its predecessors may still act, in milliseconds: longer than the
/// sum of [`UNCONFIRMED_LIMIT_MS`](crate::batch::engine::UNCONFIRMED_LIMIT_MS), the longest lease and
/// a jump of the wall clock.
pub const MAX_ACTIVE_MS: u64 = 20_000;

/// Returns the owners that may still act when the daemon `name` claims the ownership at the wall-clock
/// time `wall`, in milliseconds since the Unix epoch.
///
/// `history` ends with the newest owner. An owner acts for a bounded time after its successor's
/// claim; an earlier process of the claiming daemon has certainly ended.
#[must_use]
pub fn active_predecessors(history: &[Owner], name: &str, wall: u64) -> Vec<Owner> {
    let successors = history.iter().skip(1).map(|o| Some(o.since)).chain([None]);
    let inactive = |since: u64| wall.saturating_sub(since) > MAX_ACTIVE_MS;
    let kept = history
        .iter()
        .zip(successors)
        .filter(|(owner, next)| owner.name != name && !next.is_some_and(inactive));
    kept.map(|(owner, _)| owner.clone()).collect()
}
