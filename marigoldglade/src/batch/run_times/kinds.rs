//! How long kinds of work take against their callers' estimates.

use std::collections::HashMap;

use hdrhistogram::Histogram;

use crate::batch::run_times::record::KindRow;
use crate::batch::run_times::{Expected, WorkKind};
use crate::batch::worker::Resources;

/// The largest number of kinds that are remembered.
const KIND_LIMIT: usize = 10_000;
/// How many runs a histogram counts before it gives way to a new one, so that changes show.
const GENERATION: u64 = 500;
/// How many runs the prior weighs: a kind is believed half once it has shown so many.
const PRIOR_RUNS: u64 = 8;
/// The most runs that an earlier owner's knowledge of a kind weighs.
const INHERITED_RUNS: u64 = 100;
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
    /// What an earlier owner knew.
    inherited: Option<Quantiles>,
    /// The kind of all work of the queue, which is the prior for this one.
    queue: Option<KindKey>,
    used_at: u64,
}

/// Ratios of run time to estimate, in percent.
#[derive(Clone, Copy, Debug)]
struct Quantiles {
    median: u64,
    high: u64,
    /// How many runs they count for.
    runs: u64,
}

/// What is expected of work of which nothing is known.
const PRIOR: Quantiles = Quantiles {
    median: 100,
    high: PRIOR_HIGH,
    runs: PRIOR_RUNS,
};

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

    /// Returns the quantiles, with `prior` counted as some runs.
    fn quantiles(&self, prior: Quantiles) -> Quantiles {
        let prior = self.inherited.map_or(prior, |own| {
            let runs = PRIOR_RUNS + own.runs;
            let mix = |prior: u64, own_ratio| (prior * PRIOR_RUNS + own_ratio * own.runs) / runs;
            Quantiles {
                median: mix(prior.median, own.median),
                high: mix(prior.high, own.high),
                runs,
            }
        });
        let runs = prior.runs + self.count();
        let at = |share: f64, prior_ratio: u64| {
            let sum = |h: &Histogram<u16>| h.value_at_quantile(share) * h.len();
            let shown = sum(&self.newer) + self.older.as_ref().map_or(0, sum);
            (prior_ratio * prior.runs + shown) / runs
        };
        Quantiles {
            median: at(0.5, prior.median),
            high: at(0.9, prior.high),
            runs,
        }
    }

    fn record(&mut self, percent: u64) {
        if self.newer.len() >= GENERATION
            && let Some(new) = histogram()
        {
            self.older = Some(std::mem::replace(&mut self.newer, new));
            self.inherited = None;
        }
        self.newer.saturating_record(percent.clamp(1, RATIO_MAX));
    }
}

/// Returns the kind of all work of a queue that is done alike.
fn queue_kind(kind: &WorkKind) -> WorkKind {
    WorkKind {
        queue: kind.queue.clone(),
        workspace: String::new(),
        demand: Resources::default(),
        gang: kind.gang,
    }
}

impl Kinds {
    /// Returns the key of a kind, and adds it. The least recently used ones are dropped when there are too many.
    pub fn key(&mut self, kind: WorkKind) -> Option<KindKey> {
        let general = queue_kind(&kind);
        let queue = if general == kind {
            None
        } else {
            self.add(general, None)
        };
        self.add(kind, queue)
    }

    fn add(&mut self, kind: WorkKind, queue: Option<KindKey>) -> Option<KindKey> {
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
            inherited: None,
            queue,
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
        let percent = ordinary_ms.saturating_mul(100) / estimate_ms.max(1);
        let queue = self.kinds.get(&key).and_then(|k| k.queue);
        for key in [Some(key), queue].into_iter().flatten() {
            if let Some(ratios) = self.kinds.get_mut(&key) {
                ratios.record(percent);
            }
        }
    }

    /// Returns how long tasks of a kind take on an ordinary worker.
    pub fn expected(&self, kind: &WorkKind, estimate_ms: u64) -> Expected {
        let get = |kind| self.keys.get(kind).and_then(|key| self.kinds.get(key));
        let general = queue_kind(kind);
        let queue = get(&general).map_or(PRIOR, |k| Quantiles {
            runs: PRIOR_RUNS,
            ..k.quantiles(PRIOR)
        });
        let ratios = get(kind).map_or(queue, |k| k.quantiles(queue));
        let at = |percent| estimate_ms.saturating_mul(percent) / 100;
        Expected {
            median_ms: at(ratios.median),
            high_ms: at(ratios.high.max(ratios.median)),
        }
    }

    /// Takes in what an earlier owner knew of a kind.
    pub fn inherit(&mut self, row: KindRow) {
        let Some(key) = self.key(row.kind) else {
            return;
        };
        if let Some(ratios) = self.kinds.get_mut(&key) {
            ratios.inherited = Some(Quantiles {
                median: row.median.clamp(1, RATIO_MAX),
                high: row.high.clamp(1, RATIO_MAX),
                runs: row.runs.clamp(1, INHERITED_RUNS),
            });
        }
    }

    /// Returns what is known of the kinds that were used last, at most `limit` of them.
    pub fn rows(&self, limit: usize) -> Vec<KindRow> {
        let get = |(kind, key)| Some((kind, self.kinds.get(key)?));
        let mut kinds: Vec<(&WorkKind, &Ratios)> = self.keys.iter().filter_map(get).collect();
        kinds.retain(|(_, k)| k.count() > 0 || k.inherited.is_some());
        kinds.sort_unstable_by_key(|(_, k)| std::cmp::Reverse(k.used_at));
        let rows = kinds.into_iter().take(limit).map(|(kind, ratios)| {
            let quantiles = ratios.quantiles(PRIOR);
            KindRow {
                kind: kind.clone(),
                median: quantiles.median,
                high: quantiles.high,
                runs: quantiles.runs - PRIOR_RUNS,
            }
        });
        rows.collect()
    }

    pub fn len(&self) -> usize {
        self.kinds.len()
    }
}
