//! Points in time, as decisions and messages use them.

use serde::{Deserialize, Serialize};

/// Milliseconds in one second.
pub const SECOND_MS: u64 = 1_000;

/// A point in time: milliseconds since the Unix epoch.
///
/// Messages carry deadlines as points in time rather than durations, so that a delayed message
/// doesn't extend them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMs(pub u64);

impl UnixMs {
    /// The latest point in time; it stands for "no deadline".
    pub const MAX: UnixMs = UnixMs(u64::MAX);

    /// Returns the point `ms` milliseconds later, at most [`UnixMs::MAX`].
    #[must_use]
    pub const fn after(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the point `ms` milliseconds earlier, at least the Unix epoch.
    #[must_use]
    pub const fn before(self, ms: u64) -> Self {
        Self(self.0.saturating_sub(ms))
    }

    /// Returns the milliseconds from `earlier` to `self`, or zero when `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns whether this deadline has passed at `now`.
    #[must_use]
    pub fn passed(self, now: Self) -> bool {
        self <= now
    }
}
