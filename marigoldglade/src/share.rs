//! Measures what each caller uses and shares the heavy ones' use between daemons.
//!
//! Service times flow in, a fixed-size [`Sketch`] flows out to the other daemons, and theirs
//! flow in. Out of both comes a caller's weight at this daemon: its local part of its use of all
//! daemons. The counters are those of Space-Saving (Metwally et al., 2005) with decay.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::time::UnixMs;

/// Callers that a daemon counts.
const COUNTERS: usize = 512;
/// Heavy callers that a daemon tells.
pub const SKETCH_CALLERS: usize = 32;
/// How often a sketch is told.
pub const SKETCH_INTERVAL_MS: u64 = 1_000;
/// How often old use decays.
const DECAY_MS: u64 = 100;
/// How long a sketch that was heard counts.
const FRESH_MS: u64 = 3 * SKETCH_INTERVAL_MS;
/// The time in which a use without follow-up decays to a half.
const HALF_LIFE_MS: u64 = 1_000;
/// The smallest weight, in thousandths.
const WEIGHT_MIN: u32 = 62;
/// The weight of a caller that uses only this daemon, in thousandths.
pub const WEIGHT_FULL: u32 = 1_000;

/// A caller of a workspace, by hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallerKey(pub u64);

impl CallerKey {
    /// Makes the key of a caller of a workspace.
    #[must_use]
    pub fn new(workspace: &str, caller: &str) -> Self {
        Self(xxh3_64(workspace.as_bytes()).rotate_left(1) ^ xxh3_64(caller.as_bytes()))
    }
}

/// The heaviest callers of a daemon and the slots each uses there, in thousandths.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sketch {
    /// At most [`SKETCH_CALLERS`] callers, the heaviest first.
    pub callers: Vec<(CallerKey, u32)>,
    /// Whether requests wait there most of the time, so that it needs all its slots itself.
    pub full: bool,
}

/// The use of callers, here and elsewhere.
pub struct Meter {
    counts: HashMap<CallerKey, f64>,
    decayed: UnixMs,
    heard: HashMap<String, (Sketch, UnixMs)>,
    remote: HashMap<CallerKey, u32>,
}

impl Meter {
    /// Makes a meter that has seen nothing.
    #[must_use]
    pub fn new(now: UnixMs) -> Self {
        Self {
            counts: HashMap::new(),
            decayed: now,
            heard: HashMap::new(),
            remote: HashMap::new(),
        }
    }

    /// Counts that a caller held a slot for `ms` milliseconds.
    pub fn used(&mut self, caller: CallerKey, ms: u64) {
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

    /// Lets old use decay and forgets sketches that are no longer fresh.
    pub fn tick(&mut self, now: UnixMs) {
        let past_ms = now.since(self.decayed);
        if past_ms < DECAY_MS {
            return;
        }
        let keep = 0.5_f64.powf(past_ms as f64 / HALF_LIFE_MS as f64);
        self.counts.retain(|_, count| {
            *count *= keep;
            *count >= 0.5
        });
        self.decayed = now;
        let before = self.heard.len();
        self.heard.retain(|_, (_, end)| !end.passed(now));
        if self.heard.len() != before {
            self.sum();
        }
    }

    /// Returns the sketch to tell: callers above the mean use, the heaviest first. Small callers
    /// are left out, so that they keep their full weight at every daemon.
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

    /// Takes another daemon's sketch.
    pub fn hear(&mut self, now: UnixMs, from: &str, mut sketch: Sketch) {
        sketch.callers.truncate(SKETCH_CALLERS);
        self.heard
            .insert(from.to_owned(), (sketch, now.after(FRESH_MS)));
        self.sum();
    }

    /// Returns how many other daemons told lately that they don't need all their slots.
    #[must_use]
    pub fn lenders(&self) -> usize {
        self.heard.values().filter(|(s, _)| !s.full).count()
    }

    fn sum(&mut self) {
        self.remote.clear();
        for (sketch, _) in self.heard.values() {
            for (caller, used) in &sketch.callers {
                let sum = self.remote.entry(*caller).or_default();
                *sum = sum.saturating_add(*used);
            }
        }
    }

    /// Returns a caller's weight at this daemon, in thousandths: its use here over its use of
    /// all daemons.
    #[must_use]
    pub fn weight(&self, caller: CallerKey) -> u32 {
        let Some(remote) = self.remote.get(&caller) else {
            return WEIGHT_FULL;
        };
        let local = slots_permille(self.counts.get(&caller).copied().unwrap_or_default());
        let all = u64::from(local) + u64::from(*remote);
        let weight = u64::from(local) * u64::from(WEIGHT_FULL) / all.max(1);
        (weight as u32).clamp(WEIGHT_MIN, WEIGHT_FULL)
    }
}

/// Turns a decayed sum of milliseconds into slots held on average, in thousandths.
fn slots_permille(count: f64) -> u32 {
    let window_ms = HALF_LIFE_MS as f64 / std::f64::consts::LN_2;
    (count / window_ms * 1_000.0) as u32
}
