//! How far predictions and callers' estimates were off, by queue.

use std::collections::BTreeMap;

/// The most queues that are counted.
const QUEUE_LIMIT: usize = 256;

/// How far off the run times of a queue were expected. An error is the logarithm of the ratio, so that twice
/// and half as long count the same.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Accuracy {
    /// The number of runs; a gang counts as one.
    pub runs: u64,
    /// The sum of the errors of what was expected at their starts.
    pub expected_error: f64,
    /// The sum of the errors of the callers' estimates.
    pub estimate_error: f64,
}

impl Accuracy {
    /// Returns the mean errors in percent, of what was expected and of the callers' estimates.
    #[must_use]
    pub fn percents(&self) -> (f64, f64) {
        #[expect(clippy::cast_precision_loss, reason = "a count of runs is below 2^52")]
        let runs = self.runs.max(1) as f64;
        let percent = |sum: f64| ((sum / runs).exp() - 1.0) * 100.0;
        (percent(self.expected_error), percent(self.estimate_error))
    }
}

/// The accuracy by queue.
#[derive(Clone, Debug, Default)]
pub(super) struct Accuracies {
    pub queues: BTreeMap<String, Accuracy>,
}

impl Accuracies {
    /// Counts a run; times are in milliseconds.
    pub fn record(&mut self, queue: &str, ran_ms: u64, expected_ms: u64, estimate_ms: u64) {
        if !self.queues.contains_key(queue) {
            if self.queues.len() >= QUEUE_LIMIT {
                return;
            }
            self.queues.insert(queue.to_owned(), Accuracy::default());
        }
        #[expect(clippy::cast_precision_loss, reason = "no run takes 2^52 ms")]
        let ln = |ms: u64| (ms.max(1) as f64).ln();
        if let Some(accuracy) = self.queues.get_mut(queue) {
            accuracy.runs += 1;
            accuracy.expected_error += (ln(ran_ms) - ln(expected_ms)).abs();
            accuracy.estimate_error += (ln(ran_ms) - ln(estimate_ms)).abs();
        }
    }
}
