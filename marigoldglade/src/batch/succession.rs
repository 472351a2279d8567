//! How one owner follows another: which earlier owners may still act, and how long their orders may be
//! sent.

use crate::batch::messages::Owner;

/// How long after an owner's claim its predecessors may still act, in milliseconds: longer than the
/// sum of [`UNCONFIRMED_LIMIT_MS`](crate::batch::engine::UNCONFIRMED_LIMIT_MS), the longest lease and
/// a jump of the wall clock.
pub const MAX_ACTIVE_MS: u64 = 20_000;

/// The lease of the owner's key, in seconds: the shortest lease that the platform grants, since urgent
/// work is late after a second without an owner.
pub const OWNER_LEASE_S: u32 = 1;
/// The lease of the owner's key, in milliseconds.
pub const OWNER_LEASE_MS: u64 = OWNER_LEASE_S as u64 * 1_000;

/// The longest time between the engine's step that gives an order and its sending to the worker, in
/// milliseconds: twice an order's timeout. Later owners wait for it.
pub const ORDER_MARGIN_MS: u64 = 1_000;
/// The part of [`ORDER_MARGIN_MS`] for a relay, counted from its receipt of the order, in milliseconds.
pub const RELAY_SEND_MS: u64 = 600;

/// Returns the latest time to send a start, in milliseconds since boot, when the request that last
/// confirmed the ownership was sent at `confirmed`: no successor can have claimed the ownership by then.
///
/// A worker's process refuses a replaced owner only if its successor has called that process.
#[must_use]
pub const fn starts_end(confirmed: u64) -> u64 {
    confirmed.saturating_add(OWNER_LEASE_MS)
}

/// A reading of another daemon's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerClock {
    /// The time on the other daemon's clock, in milliseconds since its boot.
    pub clock: u64,
    /// When the message with it arrived, in milliseconds since this machine's boot.
    pub read_at: u64,
}

impl PeerClock {
    /// Returns a time on the other daemon's clock that is no later than `at` on this one's; it is earlier by
    /// the time that the message was under way.
    #[must_use]
    pub const fn convert(&self, at: u64) -> u64 {
        (self.clock + at.saturating_sub(self.read_at))
            .saturating_sub(self.read_at.saturating_sub(at))
    }
}

/// Whose order may be sent, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The term of the owner that gave the order.
    pub term: u64,
    /// Whether this daemon sends the order for another one.
    pub relayed: bool,
    /// The latest time to send it, in milliseconds since boot.
    pub send_by: u64,
}

impl Permit {
    /// Returns whether the order may be sent at `now` by a daemon that owns the term `own_term` and
    /// knows an owner of `known_term`.
    #[must_use]
    pub fn allows(&self, now: u64, own_term: Option<u64>, known_term: u64) -> bool {
        let owned = self.relayed || own_term == Some(self.term);
        owned && known_term <= self.term && now <= self.send_by
    }
}

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
