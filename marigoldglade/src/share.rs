//! Measures how much each caller uses, here and at the other daemons, and derives its weight in
//! the queue from that.
//!
//! Each daemon sends the others a [`Sketch`] of bounded size with its heaviest callers. A caller's
//! weight at a daemon is the fraction of its total use that falls on this daemon. The counters are
//! those of Space-Saving (Metwally et al., 2005) with decay.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::time::UnixMs;

/// The most callers that a daemon counts.
const COUNTERS: usize = 512;
/// The most callers in a sketch.
pub const SKETCH_CALLERS: usize = 32;
/// The time between two sketches of a daemon, in milliseconds.
pub const SKETCH_INTERVAL_MS: u64 = 1_000;
/// The least time between two decays of the counters, in milliseconds.
const DECAY_MS: u64 = 100;
/// How long a received sketch is used, in milliseconds.
const SKETCH_TTL_MS: u64 = 3 * SKETCH_INTERVAL_MS;
/// The time in which a counter without new use decays to a half, in milliseconds.
const HALF_LIFE_MS: u64 = 1_000;
/// The smallest weight, in thousandths.
const MIN_WEIGHT: u32 = 62;
/// The weight of a caller that uses only this daemon, in thousandths.
pub const FULL_WEIGHT: u32 = 1_000;

/// A hash that identifies a caller of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallerKey(pub u64);

impl CallerKey {
    /// Computes the key of a caller of a workspace.
    #[must_use]
    pub fn new(workspace: &str, caller: &str) -> Self {
        Self(xxh3_64(workspace.as_bytes()).rotate_left(1) ^ xxh3_64(caller.as_bytes()))
    }
}

/// The heaviest callers of a daemon, sent to all other daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sketch {
    /// At most [`SKETCH_CALLERS`] callers, the heaviest first, each with the slots that it uses at
    /// this daemon, in thousandths.
    pub callers: Vec<(CallerKey, u32)>,
    /// Whether requests wait at this daemon most of the time, so that it lends no slots.
    pub full: bool,
}

/// The use of callers at this daemon and at the others.
pub struct Meter {
    counts: HashMap<CallerKey, f64>,
    decayed_at: UnixMs,
    received: HashMap<String, (Sketch, UnixMs)>,
    remote: HashMap<CallerKey, u32>,
}

impl Meter {
    /// Creates a meter without any recorded use.
    #[must_use]
    pub fn new(now: UnixMs) -> Self {
        Self {
            counts: HashMap::new(),
            decayed_at: now,
            received: HashMap::new(),
            remote: HashMap::new(),
        }
    }

    /// Records that a caller held a slot for `ms` milliseconds.
    pub fn record_use(&mut self, caller: CallerKey, ms: u64) {
        if let Some(count) = self.counts.get_mut(&caller) {
            *count += ms as f64;
            return;
        }
        let mut floor = 0.0;
        if self.counts.len() >= COUNTERS {
            let least = self.counts.iter().min_by(|a, b| a.1.total_cmp(b.1));
            if let Some((key, count)) = least.map(|(k, c)| (*k, *c)) {
                self.counts.remove(&key);
                floor = count;
            }
        }
        self.counts.insert(caller, floor + ms as f64);
    }

    /// Decays the counters and drops sketches that have expired.
    pub fn tick(&mut self, now: UnixMs) {
        let elapsed_ms = now.since(self.decayed_at);
        if elapsed_ms < DECAY_MS {
            return;
        }
        let keep = 0.5_f64.powf(elapsed_ms as f64 / HALF_LIFE_MS as f64);
        self.counts.retain(|_, count| {
            *count *= keep;
            *count >= 0.5
        });
        self.decayed_at = now;
        let before = self.received.len();
        self.received
            .retain(|_, (_, expires_at)| !expires_at.passed(now));
        if self.received.len() != before {
            self.sum_remote();
        }
    }

    /// Returns the sketch for the other daemons: callers with at least twice the mean use, the
    /// heaviest first. Small callers are left out, so that they keep their full weight everywhere.
    #[must_use]
    pub fn sketch(&self) -> Sketch {
        let total: f64 = self.counts.values().sum();
        let mean = total / self.counts.len().max(1) as f64;
        let mut callers: Vec<(CallerKey, u32)> = self
            .counts
            .iter()
            .filter(|(_, count)| **count >= 2.0 * mean)
            .map(|(key, count)| (*key, slots_permille(*count)))
            .collect();
        callers.sort_by_key(|(key, used)| (std::cmp::Reverse(*used), *key));
        callers.truncate(SKETCH_CALLERS);
        Sketch {
            callers,
            full: false,
        }
    }

    /// Stores the sketch of another daemon.
    pub fn receive(&mut self, now: UnixMs, from: &str, mut sketch: Sketch) {
        sketch.callers.truncate(SKETCH_CALLERS);
        self.received
            .insert(from.to_owned(), (sketch, now.after(SKETCH_TTL_MS)));
        self.sum_remote();
    }

    /// Counts the other daemons whose latest sketch says that they don't need all their slots.
    #[must_use]
    pub fn count_lenders(&self) -> usize {
        self.received.values().filter(|(s, _)| !s.full).count()
    }

    fn sum_remote(&mut self) {
        self.remote.clear();
        for (sketch, _) in self.received.values() {
            for (caller, used) in &sketch.callers {
                let sum = self.remote.entry(*caller).or_default();
                *sum = sum.saturating_add(*used);
            }
        }
    }

    /// Returns a caller's weight at this daemon, in thousandths: its use here divided by its use
    /// at all daemons.
    #[must_use]
    pub fn weight(&self, caller: CallerKey) -> u32 {
        let Some(remote) = self.remote.get(&caller) else {
            return FULL_WEIGHT;
        };
        let local = slots_permille(self.counts.get(&caller).copied().unwrap_or_default());
        let all = u64::from(local) + u64::from(*remote);
        let weight = u64::from(local) * u64::from(FULL_WEIGHT) / all.max(1);
        (weight as u32).clamp(MIN_WEIGHT, FULL_WEIGHT)
    }
}

/// Converts a decayed sum of milliseconds to the average number of slots held, in thousandths.
fn slots_permille(count: f64) -> u32 {
    let window_ms = HALF_LIFE_MS as f64 / std::f64::consts::LN_2;
    (count / window_ms * 1_000.0) as u32
}
