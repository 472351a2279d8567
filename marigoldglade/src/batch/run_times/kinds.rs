//! How long kinds of work take against their callers' estimates.

use std::collections::HashMap;

use hdrhistogram::Histogram;

use crate::batch::run_times::{Expected, WorkKind};

/// The largest number of kinds that are remembered.
const KIND_LIMIT: usize = 10_000;
/// How many runs a histogram counts before it gives way to a new one, so that changes show.
const GENERATION: u64 = 500;
/// How many runs the estimate itself weighs: a kind is believed half once it has shown so many.
const PRIOR_RUNS: u64 = 8;
/// The bounds of a ratio of run time to estimate, in percent.
const RATIO_MAX: u64 = 10_000;
/// The ratio below which nine tenths of the runs are, before any is known, in percent: estimates are off by
/// up to half.
const PRIOR_HIGH: u64 = 150;

/// Identifies a kind in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct KindKey(u64);

/// What is known of one kind.
#[derive(Clone, Debug)]
struct Ratios {
    /// Run times on an ordinary worker in percent of the estimate, newer and older ones.
    newer: Histogram<u16>,
    older: Option<Histogram<u16>>,
    used_at: u64,
}

/// The kinds that were seen last.
#[derive(Clone, Debug, Default)]
pub(super) struct Kinds {
    keys: HashMap<WorkKind, KindKey>,
    kinds: HashMap<KindKey, Ratios>,
    uses: u64,
}

/// Creates a histogram; `None` can't come of these bounds.
fn histogram() -> Option<Histogram<u16>> {
    Histogram::new_with_bounds(1, RATIO_MAX, 1).ok()
}

impl Ratios {
    fn count(&self) -> u64 {
        self.newer.len() + self.older.as_ref().map_or(0, Histogram::len)
    }

    /// Returns the ratio that a share of the runs doesn't exceed, in percent; `prior` counts as some runs.
    fn quantile(&self, share: f64, prior: u64) -> u64 {
        let count = self.count();
        if count == 0 {
            return prior;
        }
        let newer = self.newer.value_at_quantile(share);
        let (newest, old) = (self.newer.len(), self.older.as_ref());
        let older = old.map_or(0, |h| h.value_at_quantile(share) * h.len());
        (prior * PRIOR_RUNS + newer * newest + older) / (PRIOR_RUNS + count)
    }
}

impl Kinds {
    /// Returns the key of a kind, and adds it. The least recently used ones are dropped when there are too many.
    pub fn key(&mut self, kind: WorkKind) -> Option<KindKey> {
        self.uses += 1;
        let uses = self.uses;
        if let Some(key) = self.keys.get(&kind) {
            if let Some(ratios) = self.kinds.get_mut(key) {
                ratios.used_at = uses;
            }
            return Some(*key);
        }
        if self.keys.len() >= KIND_LIMIT {
            let mut all: Vec<u64> = self.kinds.values().map(|k| k.used_at).collect();
            all.sort_unstable();
            let limit = all[all.len() / 10];
            self.kinds.retain(|_, k| k.used_at > limit);
            let kinds = &self.kinds;
            self.keys.retain(|_, key| kinds.contains_key(key));
        }
        let ratios = Ratios {
            newer: histogram()?,
            older: None,
            used_at: uses,
        };
        let key = KindKey(uses);
        self.keys.insert(kind, key);
        self.kinds.insert(key, ratios);
        Some(key)
    }

    /// Counts a run that took `ordinary_ms`, brought to an ordinary worker, where the caller estimated
    /// `estimate_ms`.
    pub fn record(&mut self, key: KindKey, ordinary_ms: u64, estimate_ms: u64) {
        let Some(ratios) = self.kinds.get_mut(&key) else {
            return;
        };
        let percent = ordinary_ms.saturating_mul(100) / estimate_ms.max(1);
        if ratios.newer.len() >= GENERATION
            && let Some(new) = histogram()
        {
            ratios.older = Some(std::mem::replace(&mut ratios.newer, new));
        }
        ratios.newer.saturating_record(percent.clamp(1, RATIO_MAX));
    }

    /// Returns how long tasks of a kind take on an ordinary worker.
    pub fn expected(&self, kind: &WorkKind, estimate_ms: u64) -> Expected {
        let key = self.keys.get(kind);
        let ratios = key.and_then(|k| self.kinds.get(k));
        let at = |share, prior| {
            let percent = ratios.map_or(prior, |r| r.quantile(share, prior));
            estimate_ms.saturating_mul(percent) / 100
        };
        let median_ms = at(0.5, 100);
        Expected {
            median_ms,
            high_ms: at(0.9, PRIOR_HIGH).max(median_ms),
        }
    }

    pub fn len(&self) -> usize {
        self.kinds.len()
    }
}
