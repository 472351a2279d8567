//! How fast each worker is, from what runs on it showed against the other runs of their steps.

use crate::batch::engine::WorkerKey;
use crate::batch::run_times::estimate::{Value, robust_mean, weighted_median};
use crate::batch::run_times::{StepId, Stretch};

/// The variance of workers' speeds before anything is known: workers of 0.67 to 1.5 times the ordinary time
/// are usual.
pub(super) const PRIOR_VARIANCE: f64 = 0.16;
/// The variance up to which a worker's speed counts as known: it is then right to about 20 %.
const KNOWN_VARIANCE: f64 = 0.045;
/// How many steps are remembered for each worker.
const MEMORY: usize = 8;
/// How far from the ordinary a step may show a worker before it counts for less, as a logarithm: one run in some
/// thirty takes several times as long on any worker.
const UNCONFIRMED_LIMIT: f64 = 0.9;
/// What the precision of such a value is divided by.
const UNCONFIRMED_DIVISOR: f64 = 6.0;
/// How many of the newest steps in a row must contradict the earlier ones before these are dropped.
const CONTRADICTIONS: usize = 3;
/// From how far apart values contradict each other, as a logarithm.
const CONTRADICTION: f64 = 0.3;
/// The most that an earlier owner's knowledge of a worker weighs: about one run in a wide step, and enough to
/// count as known.
const INHERITED_PRECISION: f64 = 30.0;
/// The fewest known workers from which a fleet's spread is judged.
const FLEET_MIN: usize = 12;
/// The fewest workers seen in two steps from which it is judged how much steps disagree.
const PAIRS_MIN: usize = 6;
/// The least spread of speeds that placement should go by, as a standard deviation of logarithms.
const UNEVEN_DEVIATION: f64 = 0.09;
/// How many times the noise the spread must exceed: the noise itself is known from few workers only.
const NOISE_MARGIN: f64 = 2.0;
/// The bounds of a stretch, in percent.
const STRETCH_MIN: f64 = 10.0;
const STRETCH_MAX: f64 = 1_000.0;

/// What one step showed of a worker.
#[derive(Clone, Copy, Debug)]
struct Showing {
    step: StepId,
    value: Value,
}

/// What is known of one worker.
#[derive(Clone, Debug)]
struct Speed {
    /// What steps showed, in the order in which they first did.
    showings: Vec<Showing>,
    /// What an earlier owner knew.
    inherited: Option<Value>,
    stretch: Stretch,
    /// The logarithm of the stretch.
    value: Value,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            showings: Vec::new(),
            inherited: None,
            stretch: Stretch::UNKNOWN,
            value: prior(),
        }
    }
}

/// The speeds of all workers.
#[derive(Clone, Debug, Default)]
pub(super) struct Speeds {
    workers: Vec<Speed>,
    uneven: bool,
}

fn prior() -> Value {
    Value::new(0.0, PRIOR_VARIANCE)
}

impl Speed {
    /// Returns what is known of the worker without what a step showed.
    fn without(&self, step: Option<StepId>) -> Value {
        let showings = self.showings.iter().filter(|s| Some(s.step) != step);
        let mut values: Vec<Value> = showings.map(|s| s.value).collect();
        values.extend(self.inherited);
        let prior = prior();
        let Some(shown) = robust_mean(&mut values) else {
            return prior;
        };
        let precision = prior.precision + shown.precision;
        Value {
            ln: (prior.ln * prior.precision + shown.ln * shown.precision) / precision,
            precision,
        }
    }

    /// Drops what came before the newest steps if all of these contradict it: the worker has changed.
    fn drop_contradicted(&mut self) {
        let Some(from) = self.showings.len().checked_sub(CONTRADICTIONS) else {
            return;
        };
        let earlier = self.showings[..from].iter().map(|s| s.value);
        let mut earlier: Vec<Value> = earlier.chain(self.inherited).collect();
        let Some(middle) = weighted_median(&mut earlier) else {
            return;
        };
        let newest = || self.showings[from..].iter().map(|s| s.value.ln - middle);
        if newest().all(|d| d > CONTRADICTION) || newest().all(|d| d < -CONTRADICTION) {
            self.showings.drain(..from);
            self.inherited = None;
        }
    }

    fn update(&mut self) {
        let value = self.without(None);
        self.value = value;
        let percent = (value.ln.exp() * 100.0).clamp(STRETCH_MIN, STRETCH_MAX);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "it lies between the bounds of a stretch"
        )]
        let percent = percent.round() as u32;
        self.stretch = Stretch {
            percent,
            known: value.variance() <= KNOWN_VARIANCE,
        };
    }
}

impl Speeds {
    fn speed_mut(&mut self, worker: WorkerKey) -> &mut Speed {
        let index = usize::from(worker.0);
        if index >= self.workers.len() {
            self.workers.resize_with(index + 1, Speed::default);
        }
        &mut self.workers[index]
    }

    pub fn stretch(&self, worker: WorkerKey) -> Stretch {
        self.workers
            .get(usize::from(worker.0))
            .map_or(Stretch::UNKNOWN, |w| w.stretch)
    }

    /// Takes over an earlier owner's judgement.
    pub const fn set_uneven(&mut self, uneven: bool) {
        self.uneven = uneven;
    }

    pub const fn is_uneven(&self) -> bool {
        self.uneven
    }

    /// Takes in what an earlier owner knew of a worker. It counts like one step, so that the worker is relearned
    /// quickly if it has changed since.
    pub fn inherit(&mut self, worker: WorkerKey, percent: u32, precision: u32) {
        let percent = f64::from(percent.max(1)).clamp(STRETCH_MIN, STRETCH_MAX);
        let precision = f64::from(precision).clamp(1.0, INHERITED_PRECISION);
        let speed = self.speed_mut(worker);
        speed.inherited = Some(Value {
            ln: (percent / 100.0).ln(),
            precision,
        });
        speed.update();
    }

    /// Returns the known workers with their stretch in percent and its precision.
    pub fn rows(&self) -> impl Iterator<Item = (WorkerKey, u32, u32)> {
        let known = (0..).zip(&self.workers).filter(|(_, w)| w.stretch.known);
        known.map(|(key, w)| {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a precision is positive, and any above the bound is the same"
            )]
            let precision = w.value.precision as u32;
            (WorkerKey(key), w.stretch.percent, precision)
        })
    }

    /// Returns the logarithm of a worker's stretch as other steps show it.
    pub fn without(&self, worker: WorkerKey, step: StepId) -> Value {
        let speed = self.workers.get(usize::from(worker.0));
        speed.map_or_else(prior, |s| s.without(Some(step)))
    }

    /// Takes in what a step shows of a worker now; it replaces what the step showed before.
    pub fn show(&mut self, worker: WorkerKey, step: StepId, mut value: Value) {
        if value.ln.abs() > UNCONFIRMED_LIMIT {
            value.precision /= UNCONFIRMED_DIVISOR;
        }
        let speed = self.speed_mut(worker);
        match speed.showings.iter_mut().find(|s| s.step == step) {
            Some(showing) => showing.value = value,
            None => {
                if speed.showings.len() >= MEMORY {
                    speed.showings.remove(0);
                }
                speed.showings.push(Showing { step, value });
            }
        }
        speed.drop_contradicted();
        speed.update();
    }

    /// Judges from the known workers whether the fleet is uneven: whether they differ by more than the noise
    /// that different steps show on one worker.
    pub fn judge(&mut self) {
        let known = || self.workers.iter().filter(|w| w.stretch.known);
        let count = known().count();
        // Until enough workers were seen in two steps, nothing tells speeds from tasks that differ.
        let (true, Some(disagreement)) = (count >= FLEET_MIN, disagreement(known())) else {
            return;
        };
        let mut lns: Vec<Value> = known().map(|w| Value::new(w.value.ln, 1.0)).collect();
        let middle = weighted_median(&mut lns).unwrap_or(0.0);
        #[expect(clippy::cast_precision_loss, reason = "a count of workers is small")]
        let size = count as f64;
        let squares = |f: &dyn Fn(&Speed) -> f64| known().map(f).sum::<f64>() / size;
        let spread = squares(&|w| (w.value.ln - middle).clamp(-1.0, 1.0).powi(2));
        // The variance of the values by their precision, or as the steps disagree if that is more.
        let noise = squares(&|w| w.value.variance());
        let noise = noise * disagreement.max(1.0);
        let floor = if self.uneven { 0.5 } else { 1.0 };
        self.uneven = spread - noise * NOISE_MARGIN > UNEVEN_DEVIATION.powi(2) * floor;
    }

    /// Returns how many workers are known, and the stretches that a tenth and nine tenths of them don't exceed,
    /// in percent.
    pub fn spread(&self) -> (usize, u32, u32) {
        let known = self.workers.iter().filter(|w| w.stretch.known);
        let mut percents: Vec<u32> = known.map(|w| w.stretch.percent).collect();
        percents.sort_unstable();
        let at = |tenths: usize| {
            let index = (percents.len() * tenths / 10).min(percents.len().saturating_sub(1));
            percents
                .get(index)
                .copied()
                .unwrap_or(Stretch::ORDINARY_PERCENT)
        };
        (percents.len(), at(1), at(9))
    }
}

/// Returns how much more steps disagree on a worker than their precision says, as a factor of the variance;
/// `None` if too few workers were seen in two steps. Half of the pairs of normal values are at most 0.674 deviations
/// apart, so the median isn't moved by outliers.
fn disagreement<'a>(workers: impl Iterator<Item = &'a Speed>) -> Option<f64> {
    let mut ratios: Vec<Value> = workers
        .filter_map(|w| {
            let [.., a, b] = w.showings.as_slice() else {
                return None;
            };
            let variance = a.value.variance() + b.value.variance();
            let ratio = (a.value.ln - b.value.ln).powi(2) / variance;
            Some(Value::new(ratio, 1.0))
        })
        .collect();
    if ratios.len() < PAIRS_MIN {
        return None;
    }
    Some(weighted_median(&mut ratios)? / 0.674_f64.powi(2))
}
