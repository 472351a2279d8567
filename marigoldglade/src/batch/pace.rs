//! Speed limit of filler tasks on a worker that also runs tasks serving users.
//!
//! The pace is controlled by the tail latency of the serving tasks: additive increase,
//! multiplicative decrease (Chiu and Jain 1989). Halving it lets latencies recover within a few
//! readings.

use crate::time::UnixMs;

/// The pace of a run that isn't slowed, in percent.
pub const FULL_PERCENT: u32 = 100;
/// The lowest pace above zero, in percent; a lower one becomes zero.
const MIN_PERCENT: u32 = 10;
/// How much the pace rises in one step, in percent.
const RAISE_PERCENT: u32 = 10;
/// The tail latency, in percent of its bound, above which fillers are slowed: below 100, since a
/// reading is up to half a second old.
const HIGH_PERCENT: u64 = 85;
/// The tail latency, in percent of its bound, below which fillers may speed up.
const LOW_PERCENT: u64 = 60;
/// The shortest time between two reductions, in milliseconds. A reading covers half a second: one taken
/// sooner would include latencies from before the last reduction.
const REDUCE_INTERVAL_MS: u64 = 600;
/// The shortest time between a change and the next increase, in milliseconds.
const RAISE_INTERVAL_MS: u64 = 1_000;

/// The pace of one worker's fillers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// The share of their full speed, in percent.
    pub percent: u32,
    /// When the pace may be reduced next.
    reduce_after: UnixMs,
    /// When the pace may be raised next.
    raise_after: UnixMs,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            percent: FULL_PERCENT,
            reduce_after: UnixMs(0),
            raise_after: UnixMs(0),
        }
    }
}

impl Pace {
    /// Adjusts the pace to the worst tail latency on the worker, in percent of its bound; returns
    /// whether the pace changed.
    pub fn update(&mut self, tail_percent: u64, now: UnixMs) -> bool {
        let old = self.percent;
        if tail_percent > HIGH_PERCENT && self.reduce_after.passed(now) {
            let half = self.percent / 2;
            self.percent = if half < MIN_PERCENT { 0 } else { half };
            self.reduce_after = now.after(REDUCE_INTERVAL_MS);
            self.raise_after = now.after(RAISE_INTERVAL_MS);
        } else if tail_percent < LOW_PERCENT && self.raise_after.passed(now) {
            self.percent = (self.percent + RAISE_PERCENT).min(FULL_PERCENT);
            self.raise_after = now.after(RAISE_INTERVAL_MS);
        }
        self.percent != old
    }
}
