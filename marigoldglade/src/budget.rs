//! A daemon's share of the store's call rate: ranks flow in, tokens flow out.
//!
//! Each daemon takes the fleet's rate divided by the number of daemons, so that the sum over all
//! of them stays inside the store's rates without any word between them.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, IntoStaticStr};

use crate::time::UnixMs;

/// Writes a second that all daemons together may make.
pub const FLEET_WRITES_S: u64 = 300;
/// Reads a second that all daemons together may make, a new watch being one.
pub const FLEET_READS_S: u64 = 2_000;
/// How long a larger number of daemons is believed after a smaller one was told, in milliseconds;
/// a daemon that is cut off from half the others must not double its share.
pub const SHRINK_MS: u64 = 600_000;
/// The share of its rate that a daemon may save up for a burst, in percent.
const BURST_PERCENT: u64 = 20;
/// Units of the bucket in a token; a rate in thousandths a second times milliseconds gives them.
const TOKEN: u64 = 1_000_000;

/// Which calls go first when the budget is short.
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
    /// Ownership leases.
    Lease,
    /// Terminal records.
    Terminal,
    /// Accepted jobs.
    Accept,
    /// Claims of non-idempotent requests.
    Claim,
    /// The operators' configuration.
    Config,
    /// Everything else.
    Read,
}

/// What a call costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cost {
    /// One write.
    Write,
    /// One read.
    Read,
}

/// Tokens that flow in at a rate, up to a burst.
struct Bucket {
    /// Tokens there are, in units.
    level: u64,
    /// The most there can be, in units.
    burst: u64,
    /// Thousandths of a token a second.
    rate: u64,
    /// When the level was true.
    at: UnixMs,
}

impl Bucket {
    /// Makes a full bucket; in any second it gives at most `share` thousandths of a token, or one
    /// token when that is more.
    const fn new(share: u64, now: UnixMs) -> Self {
        let part = share * BURST_PERCENT / 100 * 1_000;
        // A burst below one token would never give one.
        let burst = if part > TOKEN { part } else { TOKEN };
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

    /// Changes the share without giving tokens away.
    fn resize(&mut self, share: u64, now: UnixMs) {
        self.refill(now);
        let level = self.level;
        *self = Self::new(share, now);
        self.level = level.min(self.burst);
    }

    /// Takes a token unless that would leave less than the rank must leave to higher ones.
    fn take(&mut self, now: UnixMs, rank: Rank) -> bool {
        self.refill(now);
        let ranks = Rank::COUNT as u64;
        let kept = (self.burst - TOKEN) / ranks * rank as u64;
        let enough = self.level >= TOKEN + kept;
        if enough {
            self.level -= TOKEN;
        }
        enough
    }
}

/// The tokens of one daemon.
pub struct Budget {
    writes: Bucket,
    reads: Bucket,
    members: u64,
    /// A smaller number of daemons that was told, and when it counts.
    fewer: Option<(u64, UnixMs)>,
}

impl Budget {
    /// Makes the budget of one of `members` daemons.
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

    /// Takes how many daemons there are; more counts at once, fewer only after [`SHRINK_MS`].
    pub fn set_members(&mut self, now: UnixMs, members: u64) {
        let members = members.max(1);
        if members >= self.members {
            self.fewer = None;
            return self.resize(now, members);
        }
        let (least, end) = self.fewer.unwrap_or((0, now.after(SHRINK_MS)));
        self.fewer = Some((least.max(members), end));
        if end.passed(now) {
            self.resize(now, least.max(members));
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

    /// Takes a token for a call; false when there is none for its rank now.
    pub fn take(&mut self, now: UnixMs, cost: Cost, rank: Rank) -> bool {
        match cost {
            Cost::Write => self.writes.take(now, rank),
            Cost::Read => self.reads.take(now, rank),
        }
    }
}
