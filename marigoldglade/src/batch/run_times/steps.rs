//! How long the tasks of each open step take, from their ends and from their progress.

use std::collections::HashMap;

use crate::batch::engine::WorkerKey;
use crate::batch::run_times::estimate::{Value, weighted_median};
use crate::batch::run_times::kinds::KindKey;
use crate::batch::run_times::speeds::Speeds;
use crate::batch::run_times::{Sample, StepId};

/// The largest number of steps that are remembered.
const STEP_LIMIT: usize = 1_024;
/// The largest number of tasks of a step that are remembered; the workers of earlier ones keep what these
/// have shown.
const TASK_LIMIT: usize = 64;
/// The variance of an estimate that nothing else backs: it is off by half either way at most times.
const ESTIMATE_VARIANCE: f64 = 0.12;
/// The variance of run times within a step on one worker.
const TASK_VARIANCE: f64 = 0.022;
/// The same for the members of a gang, which do the same work side by side.
const MEMBER_VARIANCE: f64 = 0.006;

/// By how much the end of a run may exceed what its progress promised, as a logarithm.
const LATE_END: f64 = 0.2;

/// The newest sample of one task.
#[derive(Clone, Copy, Debug)]
struct TaskTime {
    index: u32,
    worker: WorkerKey,
    ln: f64,
    /// The variance of what the sample was taken from.
    variance: f64,
}

/// What is known of one step.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub kind: KindKey,
    /// The logarithm of the estimate corrected by the step's kind.
    pub prior: f64,
    gang: bool,
    tasks: Vec<TaskTime>,
    /// The logarithm of the tasks' time on an ordinary worker, as of the last comparison.
    pub ordinary: Option<f64>,
    dirty: bool,
    used_at: u64,
}

/// The steps that were seen last.
#[derive(Clone, Debug, Default)]
pub(super) struct Steps {
    steps: HashMap<StepId, Step>,
    dirty: Vec<StepId>,
    uses: u64,
}

impl Steps {
    pub fn get(&self, id: StepId) -> Option<&Step> {
        self.steps.get(&id)
    }

    pub fn set_ordinary(&mut self, id: StepId, ln: f64) {
        if let Some(step) = self.steps.get_mut(&id) {
            step.ordinary = Some(ln);
        }
    }

    /// Adds a step. The least recently used ones are dropped when there are too many.
    pub fn add(&mut self, id: StepId, kind: KindKey, prior: f64, gang: bool) {
        if self.steps.len() >= STEP_LIMIT {
            let mut uses: Vec<u64> = self.steps.values().map(|s| s.used_at).collect();
            uses.sort_unstable();
            let limit = uses[uses.len() / 4];
            self.steps.retain(|_, s| s.used_at > limit);
            self.dirty.retain(|id| self.steps.contains_key(id));
        }
        let step = Step {
            kind,
            prior,
            gang,
            tasks: Vec::new(),
            ordinary: None,
            dirty: false,
            used_at: self.uses,
        };
        self.steps.insert(id, step);
    }

    /// Takes in a sample of a task; it replaces an earlier one of the task.
    pub fn record(&mut self, id: StepId, sample: &Sample) {
        self.uses += 1;
        let Some(step) = self.steps.get_mut(&id) else {
            return;
        };
        step.used_at = self.uses;
        let time = TaskTime {
            index: sample.index,
            worker: sample.worker,
            ln: sample.ln_ms(),
            variance: sample.variance(),
        };
        match step.tasks.iter_mut().find(|t| t.index == sample.index) {
            // The end of a run is heard late if the worker couldn't be reached, its progress before wasn't.
            Some(t)
                if sample.percent >= 100
                    && t.worker == time.worker
                    && time.ln - t.ln > LATE_END => {}
            Some(task) => *task = time,
            None => {
                // What the earliest one showed of its worker is kept with the worker.
                if step.tasks.len() >= TASK_LIMIT {
                    step.tasks.remove(0);
                }
                step.tasks.push(time);
            }
        }
        if !std::mem::replace(&mut step.dirty, true) {
            self.dirty.push(id);
        }
    }

    /// Takes the steps with new samples.
    pub fn take_dirty(&mut self) -> Vec<StepId> {
        for id in &self.dirty {
            if let Some(step) = self.steps.get_mut(id) {
                step.dirty = false;
            }
        }
        std::mem::take(&mut self.dirty)
    }
}

/// What a step shows: the time of its tasks on an ordinary worker, and each worker's speed against it.
pub(super) struct Shown {
    /// The logarithm of the time in milliseconds.
    pub ordinary: f64,
    pub workers: Vec<(WorkerKey, Value)>,
}

impl Step {
    /// Compares the tasks of the step with one another. What one worker shows is held against the others'
    /// tasks and the estimate only, and each of the others is corrected by its speed as other steps show it, so
    /// that nothing confirms itself.
    pub fn compare(&self, id: StepId, speeds: &Speeds) -> Shown {
        let noise = if self.gang {
            MEMBER_VARIANCE
        } else {
            TASK_VARIANCE
        };
        let prior = Value::new(self.prior, ESTIMATE_VARIANCE);
        let mut tasks = self.tasks.clone();
        tasks.sort_by_key(|t| t.worker);
        // A worker's tasks share its speed, so they count as one value.
        let mut workers: Vec<(WorkerKey, Value, Value)> = Vec::new();
        for group in tasks.chunk_by(|a, b| a.worker == b.worker) {
            let values = group.iter().map(|t| Value::new(t.ln, noise + t.variance));
            let mut values: Vec<Value> = values.collect();
            let Some(ln) = weighted_median(&mut values) else {
                continue;
            };
            let precision = if self.gang {
                values[0].precision
            } else {
                values.iter().map(|v| v.precision).sum()
            };
            let shown = Value { ln, precision };
            let worker = group[0].worker;
            let speed = speeds.without(worker, id);
            let ordinary = Value::new(shown.ln - speed.ln, shown.variance() + speed.variance());
            workers.push((worker, shown, ordinary));
        }
        let mut all: Vec<Value> = workers.iter().map(|(_, _, o)| *o).collect();
        all.push(prior);
        let middle = weighted_median(&mut all).unwrap_or(self.prior);
        let sum = |f: &dyn Fn(&Value) -> f64| all.iter().map(f).sum::<f64>();
        let precision = sum(&|v| v.precision);
        let pulled = sum(&|v| v.pulled(middle) * v.precision);
        let shown = workers.iter().map(|(worker, shown, ordinary)| {
            let rest = precision - ordinary.precision;
            let others = (pulled - ordinary.pulled(middle) * ordinary.precision) / rest;
            let variance = shown.variance() + 1.0 / rest;
            (*worker, Value::new(shown.ln - others, variance))
        });
        Shown {
            ordinary: pulled / precision,
            workers: shown.collect(),
        }
    }
}
