//! What a caller asks for: a job of steps, checked before it is accepted.

use serde::{Deserialize, Serialize};

use crate::batch::worker::Resources;
use crate::error::{Error, Kind, Result};

/// The longest text handed to each task, in bytes; source: the platform's job interface.
pub const TEXT_LIMIT_BYTES: usize = 4_000;
/// The most steps of a job; source: keeps a record far below the store's value limit.
pub const STEP_LIMIT: usize = 256;
/// The most tasks of a job over all its rounds; source: a record must fit in a value of 1 MB.
pub const TASK_LIMIT: u64 = 16_384;

/// A job as its caller wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// What each task is given.
    pub text: String,
    /// The steps; a step runs when all that it follows are done.
    pub steps: Vec<Step>,
    /// When the first round is due, in milliseconds since the Unix epoch; zero for at once.
    pub first_due: u64,
    /// The distance of rounds in milliseconds.
    pub period_ms: u64,
    /// How many rounds are run; zero for one that is due at once.
    pub rounds: u32,
}

/// Tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// How many tasks.
    pub count: u32,
    /// What each task needs.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// The caller's rough estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    #[serde(rename = "after")]
    pub depends_on: Vec<u16>,
    /// Whether a stopped task can resume from its checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks only work together.
    pub gang: bool,
    /// Whether a gang is slow across racks.
    pub one_rack: bool,
    /// A label that the worker must bear; empty for any.
    pub label: String,
    /// The rack near the data; empty for any.
    pub near_rack: String,
    /// The most tasks of a round on one worker; zero for no bound.
    pub per_worker: u32,
    /// Whether copies of a task may run at once.
    #[serde(rename = "copies")]
    pub allow_copies: bool,
    /// Whether tasks run until the job is cancelled.
    pub endless: bool,
    /// Names what the tasks run; tasks of one image behave alike.
    pub image: String,
    /// For endless tasks: the bound on their response times, in milliseconds; zero for none.
    pub tail_ms: u64,
    /// Whether the tasks only use processor time that others leave.
    pub filler: bool,
    /// For endless tasks: how many may be away at a time by the scheduler's own doing.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
}

impl Step {
    /// Returns the room that a task takes from a worker's capacity.
    #[must_use]
    pub fn charge(&self) -> Resources {
        Resources {
            cpu: if self.filler { 0 } else { self.resources.cpu },
            ..self.resources
        }
    }
}

impl JobSpec {
    /// Returns how many rounds the job has, at least one.
    #[must_use]
    pub fn round_count(&self) -> u32 {
        self.rounds.max(1)
    }

    /// Returns when a round is due, in milliseconds since the Unix epoch; `None` for at once.
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
            let before = step.depends_on.iter().map(|i| ends[usize::from(*i)]);
            ends.push(before.max().unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Checks what the caller wrote.
    ///
    /// # Errors
    ///
    /// [`Kind::BadInput`] with the field at fault.
    pub fn validate(&self) -> Result<()> {
        let bad = |detail: String| Err(Error::new(Kind::BadInput, detail));
        if self.text.len() > TEXT_LIMIT_BYTES {
            return bad(format!("spec: above {TEXT_LIMIT_BYTES} bytes"));
        }
        if self.steps.is_empty() || self.steps.len() > STEP_LIMIT {
            return bad(format!("steps: expected 1 to {STEP_LIMIT}"));
        }
        if self.rounds > 1 && self.period_ms == 0 {
            return bad("a repeated job needs an interval".to_owned());
        }
        let mut tasks = 0u64;
        for (i, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return bad(format!("steps[{i}]: expected at least one task"));
            }
            if step.depends_on.iter().any(|a| usize::from(*a) >= i) {
                return bad(format!("steps[{i}]: follows a step that isn't earlier"));
            }
            if step.endless && step.gang {
                return bad(format!("steps[{i}]: endless tasks can't form a gang"));
            }
            tasks += u64::from(step.count);
        }
        if tasks.saturating_mul(u64::from(self.round_count())) > TASK_LIMIT {
            return bad(format!("steps: above {TASK_LIMIT} tasks"));
        }
        Ok(())
    }
}
