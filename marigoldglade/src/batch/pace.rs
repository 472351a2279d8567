//! How fast filler tasks may work beside tasks that serve users.
//!
//! The tail of response times against its bound flows in, the fillers' pace flows out. It falls by
//! halves and rises by small steps (additive increase, multiplicative decrease, Chiu and Jain 1989),
//! so that a disturbed worker recovers within a few readings.

use crate::time::UnixMs;

/// The pace of work that nothing holds back, in percent.
pub const FULL_PERCENT: u32 = 100;
/// A pace below it is none, in percent.
const LEAST_PERCENT: u32 = 10;
/// How much the pace rises at a time, in percent.
const RISE_PERCENT: u32 = 10;
/// The share of its bound above which a tail makes fillers slower, in percent; source: leaves room
/// for the age of a reading, half a second.
const HIGH_PERCENT: u64 = 85;
/// The share below which fillers may be faster, in percent.
const LOW_PERCENT: u64 = 60;
/// The time before the next fall, in milliseconds; source: a reading covers the last half second.
const FALL_GAP_MS: u64 = 600;
/// The time before the next rise, in milliseconds.
const RISE_GAP_MS: u64 = 1_000;

/// The pace of one worker's fillers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// In percent of their full speed.
    pub percent: u32,
    /// When it may fall and rise again.
    lower_after: UnixMs,
    raise_after: UnixMs,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            percent: FULL_PERCENT,
            lower_after: UnixMs(0),
            raise_after: UnixMs(0),
        }
    }
}

impl Pace {
    /// Takes the worst tail on the worker, in percent of its bound; returns whether the pace changed.
    pub fn update(&mut self, tail_percent: u64, now: UnixMs) -> bool {
        let old = self.percent;
        if tail_percent > HIGH_PERCENT && self.lower_after.passed(now) {
            let half = self.percent / 2;
            self.percent = if half < LEAST_PERCENT { 0 } else { half };
            self.lower_after = now.after(FALL_GAP_MS);
            self.raise_after = now.after(RISE_GAP_MS);
        } else if tail_percent < LOW_PERCENT && self.raise_after.passed(now) {
            self.percent = (self.percent + RISE_PERCENT).min(FULL_PERCENT);
            self.raise_after = now.after(RISE_GAP_MS);
        }
        self.percent != old
    }
}
