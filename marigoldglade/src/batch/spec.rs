//! The specification of a job: steps of tasks, validated before the job is accepted.

use serde::{Deserialize, Serialize};

use crate::batch::worker::Resources;
use crate::error::{Error, Kind, Result};

/// The longest text of a job, in bytes, by the platform's job interface.
pub const TEXT_LIMIT_BYTES: usize = 4_000;
/// The largest number of steps in a job; it keeps a record far below the store's value limit.
pub const STEP_LIMIT: usize = 256;
/// The largest number of tasks in all rounds of a job: all values of its record must fit in one transaction.
pub const TASK_LIMIT: u64 = 16_384;
/// The largest size of a job's text and steps in its record, in bytes: half of the store's largest value.
pub const SPEC_LIMIT_BYTES: usize = 512 << 10;
/// What a step takes in the record besides its texts, in bytes.
const STEP_BYTES: usize = 400;

/// A job as the caller specified it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The text handed to each task.
    pub text: String,
    /// The steps; a step runs once all steps that it depends on are done.
    pub steps: Vec<Step>,
    /// When the first round is due, in milliseconds since the Unix epoch.
    pub first_due: u64,
    /// The time from one round to the next, in milliseconds.
    pub period_ms: u64,
    /// The number of rounds; zero for a single one that is due at once.
    pub rounds: u32,
}

/// A set of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// The caller's rough estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Indices of earlier steps that must be done first.
    #[serde(rename = "after")]
    pub depends_on: Vec<u16>,
    /// Whether a stopped task can resume from its checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks form a gang, which only runs with all of its members at the same time.
    pub gang: bool,
    /// Whether a gang should run within one rack, because it is slow across racks.
    pub one_rack: bool,
    /// A label that the worker must have; empty for any worker.
    pub label: String,
    /// The rack near the data; empty for no preference.
    pub near_rack: String,
    /// The largest number of a round's tasks on one worker; zero for no bound.
    pub per_worker: u32,
    /// Whether several copies of a task may run at the same time.
    #[serde(rename = "copies")]
    pub allow_copies: bool,
    /// Whether tasks run until the job is cancelled.
    pub endless: bool,
    /// The image that the tasks run; tasks of one image behave alike.
    pub image: String,
    /// The bound on the tail latency of endless tasks, in milliseconds; zero for none.
    pub tail_ms: u64,
    /// Whether the tasks are fillers: they only use processor time that other tasks leave idle.
    pub filler: bool,
    /// How many endless tasks may be missing at the same time because the scheduler stopped them.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
}

impl Step {
    /// Returns the resources that a task takes from a worker's capacity: a filler takes no processor.
    #[must_use]
    pub fn charge(&self) -> Resources {
        Resources {
            cpu: if self.filler { 0 } else { self.resources.cpu },
            ..self.resources
        }
    }
}

impl JobSpec {
    /// Returns an upper bound of the encoded size, in bytes.
    #[must_use]
    pub fn text_bytes(&self) -> usize {
        let step = |s: &Step| {
            let numbers = s.depends_on.len() * 3;
            STEP_BYTES + s.label.len() + s.near_rack.len() + s.image.len() + numbers
        };
        self.text.len() + self.steps.iter().map(step).sum::<usize>()
    }

    /// Returns the number of a task, counted from zero through the steps of all rounds.
    #[must_use]
    pub fn task_number(&self, round: u32, step: u16, index: u32) -> u32 {
        let count = |steps: &[Step]| steps.iter().fold(0u32, |n, s| n.saturating_add(s.count));
        let before = self.steps.get(..usize::from(step)).unwrap_or(&self.steps);
        let rounds = round.saturating_mul(count(&self.steps));
        rounds.saturating_add(count(before)).saturating_add(index)
    }

    /// Returns the number of rounds, at least one.
    #[must_use]
    pub fn round_count(&self) -> u32 {
        self.rounds.max(1)
    }

    /// Returns when a round is due, in milliseconds since the Unix epoch; `None` if at once.
    #[must_use]
    pub fn due_at(&self, round: u32) -> Option<u64> {
        let offset = self.period_ms.saturating_mul(u64::from(round));
        (self.rounds > 0).then(|| self.first_due.saturating_add(offset))
    }

    /// Returns the estimated run time of the longest chain of steps, in milliseconds.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let dependencies = step.depends_on.iter().map(|i| ends[usize::from(*i)]);
            ends.push(
                dependencies
                    .max()
                    .unwrap_or(0)
                    .saturating_add(step.estimate_ms),
            );
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Checks the bounds and the dependencies between steps.
    ///
    /// # Errors
    ///
    /// [`Kind::BadInput`], with the invalid field.
    pub fn validate(&self) -> Result<()> {
        let bad = |detail: String| Err(Error::new(Kind::BadInput, detail));
        if self.text.len() > TEXT_LIMIT_BYTES {
            return bad(format!("spec: expected at most {TEXT_LIMIT_BYTES} bytes"));
        }
        if self.steps.is_empty() || self.steps.len() > STEP_LIMIT {
            return bad(format!("steps: expected 1 to {STEP_LIMIT}"));
        }
        if self.text_bytes() > SPEC_LIMIT_BYTES {
            return bad(format!(
                "steps: expected at most {SPEC_LIMIT_BYTES} bytes in all texts and steps"
            ));
        }
        if self.rounds > 1 && self.period_ms == 0 {
            return bad("the interval between rounds must be above 0".to_owned());
        }
        let mut tasks = 0u64;
        for (i, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return bad(format!("steps[{i}]: expected at least one task"));
            }
            if step.depends_on.iter().any(|a| usize::from(*a) >= i) {
                return bad(format!("steps[{i}].after: expected only earlier steps"));
            }
            if step.endless && step.gang {
                return bad(format!("steps[{i}]: long-running tasks can't form a gang"));
            }
            tasks += u64::from(step.count);
        }
        if tasks.saturating_mul(u64::from(self.round_count())) > TASK_LIMIT {
            return bad(format!(
                "steps: expected at most {TASK_LIMIT} tasks in all rounds"
            ));
        }
        Ok(())
    }
}
