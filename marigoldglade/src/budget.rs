//! A daemon's share of the call rate of the store, as token buckets for writes and reads.
//!
//! Each daemon takes the rate of the fleet divided by the number of daemons, so that all of them
//! together stay within the store's limits without coordination.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, IntoStaticStr};

use crate::time::UnixMs;

/// The most writes per second of all daemons together.
pub const FLEET_WRITES_S: u64 = 300;
/// The most reads per second of all daemons together; a new watch counts as a read.
pub const FLEET_READS_S: u64 = 2_000;
/// The time for which a smaller number of daemons must be reported before it takes effect, in
/// milliseconds. A daemon that is cut off from half the others must not double its share.
pub const SHRINK_MS: u64 = 600_000;
/// The part of a daemon's rate that it may save for a burst, in percent.
const BURST_PERCENT: u64 = 20;
/// The units of a bucket's level in one token: a rate in thousandths of a token per second, times
/// milliseconds, gives millionths of a token.
const TOKEN: u64 = 1_000_000;

/// The priority of a call when the budget is short, highest first.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    EnumCount,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "lowercase")]
pub enum Rank {
    /// Leases of owners.
    Lease,
    /// Records of jobs that have ended.
    Terminal,
    /// Records of accepted jobs.
    Accept,
    /// Claims of non-idempotent requests.
    Claim,
    /// The operators' configuration.
    Config,
    /// Everything else.
    Read,
}

/// Which of the two budgets a call is charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cost {
    /// The call counts as a write.
    Write,
    /// The call counts as a read.
    Read,
}

/// A token bucket.
struct Bucket {
    /// The tokens in the bucket at `at`, in units.
    level: u64,
    /// The most tokens the bucket can hold, in units.
    burst: u64,
    /// The rate of refill, in thousandths of a token per second.
    rate: u64,
    /// When the level was last computed.
    at: UnixMs,
}

impl Bucket {
    /// Creates a full bucket that gives at most `share` thousandths of a token in any second, or one
    /// token if that is more.
    const fn new(share: u64, now: UnixMs) -> Self {
        let saved = share * BURST_PERCENT / 100 * 1_000;
        // A bucket that can't hold one token would never give one.
        let burst = if saved > TOKEN { saved } else { TOKEN };
        let rest = share.saturating_sub(burst / 1_000);
        let least = share / 2;
        Self {
            level: burst,
            burst,
            rate: if rest > least { rest } else { least },
            at: now,
        }
    }

    fn refill(&mut self, now: UnixMs) {
        let gained = self.rate.saturating_mul(now.since(self.at));
        self.level = self.level.saturating_add(gained).min(self.burst);
        self.at = self.at.max(now);
    }

    /// Changes the share without adding tokens.
    fn resize(&mut self, share: u64, now: UnixMs) {
        self.refill(now);
        let level = self.level;
        *self = Self::new(share, now);
        self.level = level.min(self.burst);
    }

    /// Takes a token, unless that would leave less than the part reserved for higher ranks.
    fn take(&mut self, now: UnixMs, rank: Rank) -> bool {
        self.refill(now);
        let ranks = Rank::COUNT as u64;
        let reserved = (self.burst - TOKEN) / ranks * rank as u64;
        let enough = self.level >= TOKEN + reserved;
        if enough {
            self.level -= TOKEN;
        }
        enough
    }
}

/// The budget of one daemon.
pub struct Budget {
    writes: Bucket,
    reads: Bucket,
    members: u64,
    /// The largest of the smaller numbers of daemons reported lately, and when it takes effect.
    fewer: Option<(u64, UnixMs)>,
}

impl Budget {
    /// Creates the budget of one of `members` daemons.
    #[must_use]
    pub fn new(now: UnixMs, members: u64) -> Self {
        let members = members.max(1);
        Self {
            writes: Bucket::new(FLEET_WRITES_S * 1_000 / members, now),
            reads: Bucket::new(FLEET_READS_S * 1_000 / members, now),
            members,
            fewer: None,
        }
    }

    /// Sets the number of daemons. A larger number takes effect at once, a smaller one only after
    /// [`SHRINK_MS`].
    pub fn set_members(&mut self, now: UnixMs, members: u64) {
        let members = members.max(1);
        if members >= self.members {
            self.fewer = None;
            return self.resize(now, members);
        }
        let (largest, effective_at) = self.fewer.unwrap_or((0, now.after(SHRINK_MS)));
        self.fewer = Some((largest.max(members), effective_at));
        if effective_at.passed(now) {
            self.resize(now, largest.max(members));
            self.fewer = None;
        }
    }

    fn resize(&mut self, now: UnixMs, members: u64) {
        if members == self.members {
            return;
        }
        self.members = members;
        self.writes.resize(FLEET_WRITES_S * 1_000 / members, now);
        self.reads.resize(FLEET_READS_S * 1_000 / members, now);
    }

    /// Takes a token for a call, and returns whether there was one for its rank.
    pub fn take(&mut self, now: UnixMs, cost: Cost, rank: Rank) -> bool {
        match cost {
            Cost::Write => self.writes.take(now, rank),
            Cost::Read => self.reads.take(now, rank),
        }
    }
}
