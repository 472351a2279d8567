//! Run times learned from finished and running tasks: how long a kind of work takes against its callers'
//! estimates, and how fast each worker is.

mod accuracy;
mod estimate;
mod kinds;
mod record;
mod speeds;
mod steps;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::batch::engine::WorkerKey;
use crate::batch::id::{JobId, TaskId};
use crate::batch::worker::Resources;
use crate::error::Result;
use crate::time::UnixMs;

pub use accuracy::Accuracy;

use accuracy::Accuracies;
use kinds::Kinds;
use record::{Learned, WorkerRow};
use speeds::Speeds;
use steps::Steps;

/// The time between two passes over the steps with new samples, in milliseconds: short against any run, and
/// long enough that the many reports of a moment are worked in together.
const REFRESH_MS: u64 = 100;
/// The shortest run time that says anything about a worker, in milliseconds; it's many times a round trip.
const RUN_MIN_MS: u64 = 250;
/// The least progress of a running task that says anything, in percent.
const PROGRESS_MIN: u32 = 5;
/// How long a start takes to reach its worker and a report to come back, in milliseconds; it blurs what short
/// runs show.
const TRANSIT_MS: f64 = 30.0;

/// How long tasks take on a worker, in percent of an ordinary worker's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stretch {
    /// The time in percent; 100 for an ordinary worker and for one that isn't known.
    pub percent: u32,
    /// Whether runs on the worker have shown it.
    pub known: bool,
}

impl Stretch {
    /// The stretch of an ordinary worker.
    pub const ORDINARY_PERCENT: u32 = 100;

    /// The stretch of a worker of which nothing is known.
    pub const UNKNOWN: Self = Self {
        percent: Self::ORDINARY_PERCENT,
        known: false,
    };

    /// Returns the time on this worker of work that takes `ordinary_ms` on an ordinary one, in milliseconds.
    #[must_use]
    pub fn apply(self, ordinary_ms: u64) -> u64 {
        ordinary_ms.saturating_mul(u64::from(self.percent)) / u64::from(Self::ORDINARY_PERCENT)
    }
}

impl Default for Stretch {
    fn default() -> Self {
        Self::UNKNOWN
    }
}

/// The expected run time of a task on an ordinary worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Half of the runs take at most this long, in milliseconds.
    pub median_ms: u64,
    /// Nine tenths of the runs take at most this long, in milliseconds.
    pub high_ms: u64,
}

/// Identifies a step in one round of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The round, from zero.
    pub round: u32,
    /// The step's index in the job, from zero.
    pub step: u16,
}

impl From<&TaskId> for StepId {
    fn from(id: &TaskId) -> Self {
        Self {
            job: id.job,
            round: id.round,
            step: id.step,
        }
    }
}

/// Work whose run times are alike against the callers' estimates.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkKind {
    /// The queue's name.
    pub queue: String,
    /// The workspace's name.
    pub workspace: String,
    /// What each task needs.
    pub demand: Resources,
    /// Whether the tasks form a gang.
    pub gang: bool,
}

/// What a run shows of its task's run time, by its end or by its progress so far.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// The task's index in its step.
    pub index: u32,
    /// Where it runs.
    pub worker: WorkerKey,
    /// How long the run has taken so far, in milliseconds.
    pub ran_ms: u64,
    /// How much of the work is done, in percent, rounded down; 100 at its end.
    pub percent: u32,
}

impl Sample {
    /// Returns the progress, at the middle of what rounding leaves open.
    fn progress(&self) -> f64 {
        if self.percent >= 100 {
            100.0
        } else {
            f64::from(self.percent) + 0.5
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "no run takes 2^52 ms")]
    fn ran(&self) -> f64 {
        self.ran_ms.max(1) as f64
    }

    /// Returns the logarithm of the whole run time in milliseconds.
    fn ln_ms(&self) -> f64 {
        (self.ran() * 100.0 / self.progress()).ln()
    }

    /// Returns the variance of that logarithm by rounding and by the time that messages take.
    fn variance(&self) -> f64 {
        let rounding = if self.percent >= 100 {
            0.0
        } else {
            0.3 / self.progress()
        };
        rounding.powi(2) + (TRANSIT_MS / self.ran()).powi(2)
    }

    /// Returns whether the run has come far enough to say anything.
    fn is_telling(&self) -> bool {
        self.ran_ms >= RUN_MIN_MS && self.percent >= PROGRESS_MIN
    }
}

/// What has been learned.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    kinds: Kinds,
    steps: Steps,
    speeds: Speeds,
    /// What an earlier owner knew of workers that haven't been added yet, by name.
    inherited: BTreeMap<String, WorkerRow>,
    accuracies: Accuracies,
    /// When the steps with new samples are next compared.
    refresh_at: UnixMs,
}

impl RunTimes {
    /// Continues from the stored record of an earlier owner.
    ///
    /// # Errors
    ///
    /// [`crate::error::Kind::BadInput`] if the record is damaged or of a newer format.
    pub fn from_record(bytes: &[u8]) -> Result<Self> {
        let learned = Learned::decode(bytes)?;
        let workers = learned.workers.into_iter().take(record::WORKER_LIMIT);
        let mut run_times = Self {
            inherited: workers.map(|w| (w.name.clone(), w)).collect(),
            ..Self::default()
        };
        run_times.speeds.set_uneven(learned.uneven);
        // The record begins with the kinds that were used last.
        for row in learned.kinds.into_iter().take(record::KIND_LIMIT).rev() {
            run_times.kinds.inherit(row);
        }
        Ok(run_times)
    }

    /// Returns the record from which another owner can continue. `name` returns a worker's name.
    ///
    /// # Errors
    ///
    /// [`crate::error::Kind::Internal`] if it can't be encoded.
    pub fn to_record(&self, name: impl Fn(WorkerKey) -> String) -> Result<Vec<u8>> {
        let known = self
            .speeds
            .rows()
            .map(|(key, percent, precision)| WorkerRow {
                name: name(key),
                percent,
                precision,
            });
        let workers = known.chain(self.inherited.values().cloned());
        let workers = workers.take(record::WORKER_LIMIT).collect();
        Learned::new(
            self.is_uneven(),
            workers,
            self.kinds.rows(record::KIND_LIMIT),
        )
        .encode()
    }

    /// Adds a worker, of which an earlier owner may have known something.
    pub fn add_worker(&mut self, worker: WorkerKey, name: &str) {
        if let Some(row) = self.inherited.remove(name) {
            self.speeds.inherit(worker, row.percent, row.precision);
        }
    }

    /// Counts how far a run's expected time and its caller's estimate were off; all are in milliseconds.
    pub fn record_error(&mut self, queue: &str, ran_ms: u64, expected_ms: u64, estimate_ms: u64) {
        if expected_ms == 0 || estimate_ms == 0 {
            return;
        }
        let accuracies = &mut self.accuracies;
        accuracies.record(queue, ran_ms, expected_ms, estimate_ms);
    }

    /// Returns how far off run times were expected, by queue.
    #[must_use]
    pub const fn accuracy(&self) -> &BTreeMap<String, Accuracy> {
        &self.accuracies.queues
    }

    /// Takes in what a run of a task shows. `kind` and the estimate are asked for once for each step.
    pub fn observe(
        &mut self,
        now: UnixMs,
        step: StepId,
        estimate_ms: u64,
        sample: &Sample,
        kind: impl FnOnce() -> WorkKind,
    ) {
        if estimate_ms == 0 || !sample.is_telling() {
            return;
        }
        if self.steps.get(step).is_none() {
            let kind = kind();
            let (gang, expected) = (kind.gang, self.kinds.expected(&kind, estimate_ms));
            let Some(key) = self.kinds.key(kind) else {
                return;
            };
            #[expect(clippy::cast_precision_loss, reason = "no run takes 2^52 ms")]
            let prior = (expected.median_ms.max(1) as f64).ln();
            self.steps.add(step, key, prior, gang);
        }
        self.steps.record(step, sample);
        self.refresh(now);
    }

    /// Counts the end of a run in the distribution of its kind.
    pub fn finish(&mut self, step: StepId, estimate_ms: u64, worker: WorkerKey, ran_ms: u64) {
        let percent = self.speeds.stretch(worker).percent;
        if let Some(step) = self.steps.get(step) {
            let ordinary_ms = ran_ms.saturating_mul(100) / u64::from(percent.max(1));
            self.kinds.record(step.kind, ordinary_ms, estimate_ms);
        }
    }

    /// Counts the end of a gang in the distribution of its kind. The gang ended with its slowest member, so its
    /// time on ordinary workers is taken from the progress of all.
    pub fn finish_gang(&mut self, step: StepId, estimate_ms: u64) {
        if let (Some(known), Some(ordinary_ms)) = (self.steps.get(step), self.step_ms(step)) {
            self.kinds.record(known.kind, ordinary_ms, estimate_ms);
        }
    }

    /// Compares the tasks of the steps with new samples, if it is time to.
    pub fn refresh(&mut self, now: UnixMs) {
        if !self.refresh_at.passed(now) {
            return;
        }
        self.refresh_at = now.after(REFRESH_MS);
        let dirty = self.steps.take_dirty();
        if dirty.is_empty() {
            return;
        }
        for id in dirty {
            let Some(step) = self.steps.get(id) else {
                continue;
            };
            let shown = step.compare(id, &self.speeds);
            self.steps.set_ordinary(id, shown.ordinary);
            for (worker, value) in shown.workers {
                self.speeds.show(worker, id, value);
            }
        }
        self.speeds.judge();
    }

    /// Returns how long tasks of a kind take on an ordinary worker where the caller estimated `estimate_ms`
    /// milliseconds.
    #[must_use]
    pub fn expected(&self, kind: &WorkKind, estimate_ms: u64) -> Expected {
        self.kinds.expected(kind, estimate_ms)
    }

    /// Returns how long the tasks of a step take on an ordinary worker, in milliseconds, as its tasks so far and
    /// its kind show; `None` if none of its tasks has shown anything.
    #[must_use]
    pub fn step_ms(&self, step: StepId) -> Option<u64> {
        let ms = self.steps.get(step)?.ordinary?.exp();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a time in milliseconds, below 2^52 and not negative"
        )]
        Some(ms as u64)
    }

    /// Returns how long tasks take on a worker.
    #[must_use]
    pub fn stretch(&self, worker: WorkerKey) -> Stretch {
        self.speeds.stretch(worker)
    }

    /// Returns whether the workers differ enough in speed that placement should go by it.
    #[must_use]
    pub fn is_uneven(&self) -> bool {
        self.speeds.is_uneven()
    }

    /// Returns how many workers' stretches are known, and between which two stretches four fifths of them lie,
    /// in percent.
    #[must_use]
    pub fn spread(&self) -> (usize, u32, u32) {
        self.speeds.spread()
    }

    /// Returns the number of kinds that are remembered.
    #[must_use]
    pub fn kind_count(&self) -> usize {
        self.kinds.len()
    }
}
