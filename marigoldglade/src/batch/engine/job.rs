//! Jobs, rounds, steps and tasks as the owner keeps them in memory.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hasher as _};

use crate::batch::engine::gone::GoneRun;
use crate::batch::engine::late_starts::Binding;
use crate::batch::engine::{CallId, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::messages::JobStatus;
use crate::batch::record::{
    Crash, LostRun, Record, RecordKey, RecordPart, State, TaskProgress, VALUE_LIMIT_BYTES,
};
use crate::batch::spec::Step;
use crate::time::UnixMs;

/// The maximum number of workers that a task avoids.
const AVOIDED_LIMIT: usize = 3;

/// The state of a task.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub done: bool,
    /// The numbers of its failed runs.
    pub failed_runs: Vec<u64>,
    /// The workers that crashed under it.
    pub crashes: Vec<Crash>,
    /// Its runs on workers that fell silent before they listed the run, and may have crashed.
    pub lost_runs: Vec<LostRun>,
    /// The worker that may still carry out starts of it.
    pub binding: Option<Binding>,
    /// Until when it waits for an answer of these workers.
    pub answer_by: UnixMs,
    /// Until when each new run of it must be the only new one on its worker.
    pub isolated_until: UnixMs,
    /// The number of the job's changes that must be durable before it is started again.
    pub start_after: u64,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
    /// The highest run number that this owner has given it or seen.
    pub last_run: u64,
    /// How the last run that this owner knew of came to be gone; only the log uses it.
    pub gone: Option<GoneRun>,
    /// The worker where a run of it is, or may be.
    pub worker: Option<WorkerKey>,
    /// The workers where it last failed or stalled.
    pub avoid: Vec<WorkerKey>,
    /// When it may be started again.
    pub retry_at: UnixMs,
    /// Since when it has had no run although its turn has come; kept for endless tasks only.
    pub idle_since: UnixMs,
}

/// The state of one step in one round.
#[derive(Clone, Debug, Default)]
pub(super) struct StepState {
    pub tasks: Vec<Task>,
    /// How many of the tasks are done.
    pub done: u32,
}

/// The state of one round: one repetition of all steps of a job.
#[derive(Clone, Debug)]
pub(super) struct Round {
    /// When the round is due, in milliseconds since the Unix epoch; `None` for at once.
    pub due: Option<u64>,
    pub steps: Vec<StepState>,
}

/// A job and the state of its tasks.
pub(super) struct Job {
    /// The job's record without its tasks' states, which are added for each commit.
    pub record: Record,
    /// When the job was accepted, on this process's clock.
    pub accepted_at: UnixMs,
    pub rounds: Vec<Round>,
    /// The number of tasks that aren't done.
    pub tasks_left: u32,
    /// The number of changes made to the job so far.
    pub changes: u64,
    /// How many of the changes are durable.
    pub durable_changes: u64,
    /// The workers whose completions changed the job, with the start times of their processes, until
    /// all changes are durable.
    pub reporters: Vec<(WorkerKey, u64)>,
    /// The digests of the further values that hold the record, by their numbers; zero if the content isn't known.
    pub part_digests: BTreeMap<u32, u64>,
    /// Whether the store has refused the record for its content, so that it is written with no other one.
    pub is_suspect: bool,
    /// Until when the record isn't written because the store can't take it.
    pub refused_until: UnixMs,
    /// The state on record; `None` until the acceptance is durable.
    pub durable_state: Option<State>,
    /// Since when it has had nothing running although a task's turn has come.
    pub idle_since: UnixMs,
    /// Whether a task of the job has started.
    pub started: bool,
    /// Whether an earlier owner may have started tasks of the job.
    pub inherited: bool,
    /// Submissions of the job that wait for a commit.
    pub submit_calls: Vec<CallId>,
    /// Cancels of the job that wait for a commit.
    pub cancel_calls: Vec<CallId>,
}

/// What is to be written of a job's record.
pub(super) struct RecordValues {
    pub record: Record,
    /// The further values that have changed.
    pub parts: Vec<RecordPart>,
    /// Their numbers and digests.
    pub digests: Vec<(u32, u64)>,
    /// The size of all these values.
    pub bytes: usize,
}

/// Returns a digest of a value, which isn't zero.
fn digest(value: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(value);
    hasher.finish().max(1)
}

impl Task {
    /// Returns whether there is anything to record about the task.
    fn has_progress(&self) -> bool {
        self.done
            || self.has_late_start()
            || !self.failed_runs.is_empty()
            || !self.crashes.is_empty()
            || !self.lost_runs.is_empty()
            || !self.checkpoint.is_empty()
    }

    /// Avoids a worker where the task failed or stalled; only the last few are avoided.
    pub fn avoid(&mut self, worker: WorkerKey) {
        if self.avoid.len() >= AVOIDED_LIMIT {
            self.avoid.remove(0);
        }
        self.avoid.push(worker);
    }
}

impl Job {
    /// Creates a job from its record.
    pub fn new(mut record: Record, accepted_at: UnixMs, inherited: bool) -> Self {
        let progress = std::mem::take(&mut record.tasks);
        let stored_parts = std::mem::take(&mut record.stored_parts);
        let spec = &record.spec;
        let step = |s: &Step| StepState {
            tasks: vec![
                Task {
                    idle_since: accepted_at,
                    ..Task::default()
                };
                usize::try_from(s.count).unwrap_or(0)
            ],
            done: 0,
        };
        let mut rounds: Vec<Round> = (0..spec.round_count())
            .map(|round| Round {
                due: spec.due_at(round),
                steps: spec.steps.iter().map(step).collect(),
            })
            .collect();
        let started = !progress.is_empty();
        for entry in progress {
            if let Some(task) = find_task(&mut rounds, entry.round, entry.step, entry.index) {
                task.done = entry.done;
                task.failed_runs = entry.failed_runs;
                task.crashes = entry.crashes;
                task.lost_runs = entry.lost_runs;
                task.binding = entry.late_start.map(Binding::inherit);
                task.checkpoint = entry.checkpoint;
            }
        }
        let mut tasks_left = 0;
        for step in rounds.iter_mut().flat_map(|r| &mut r.steps) {
            let done = step.tasks.iter().filter(|t| t.done).count();
            step.done = u32::try_from(done).unwrap_or(u32::MAX);
            tasks_left += u32::try_from(step.tasks.len() - done).unwrap_or(u32::MAX);
        }
        Self {
            record,
            accepted_at,
            rounds,
            tasks_left,
            changes: 1,
            durable_changes: 0,
            reporters: Vec::new(),
            part_digests: stored_parts.into_iter().map(|part| (part, 0)).collect(),
            is_suspect: false,
            refused_until: UnixMs(0),
            durable_state: None,
            idle_since: accepted_at,
            started,
            inherited,
            submit_calls: Vec::new(),
            cancel_calls: Vec::new(),
        }
    }

    /// Returns whether the job may still run tasks.
    pub fn is_open(&self) -> bool {
        self.record.state == State::Open
    }

    /// Returns whether the job is open and its acceptance durable.
    pub fn is_active(&self) -> bool {
        self.is_open() && self.durable_state.is_some()
    }

    /// Returns whether an owner's commit contains the job, so that tasks may be started.
    ///
    /// Only the commit proves that no newer owner had loaded the state before: one that doesn't know the job
    /// would start it again. A submission in the inbox is durable, but not recorded.
    pub const fn is_recorded(&self) -> bool {
        self.durable_changes > 0
    }

    /// Returns whether a task can be started now: it isn't done, has no run and needn't wait.
    pub fn is_idle(&self, task: &Task, now: UnixMs) -> bool {
        !task.done
            && task.worker.is_none()
            && task.retry_at.passed(now)
            && task.start_after <= self.durable_changes
            && !task.awaits_answer(now)
    }

    /// Returns the specification of a task's step.
    pub fn step(&self, id: &TaskId) -> Option<&Step> {
        self.record.spec.steps.get(usize::from(id.step))
    }

    /// Returns the state of a task.
    pub fn task(&mut self, id: &TaskId) -> Option<&mut Task> {
        find_task(&mut self.rounds, id.round, id.step, id.index)
    }

    /// Returns the state of a task, to read it.
    pub fn find(&self, id: &TaskId) -> Option<&Task> {
        let round = self.rounds.get(usize::try_from(id.round).ok()?)?;
        let step = round.steps.get(usize::from(id.step))?;
        step.tasks.get(usize::try_from(id.index).ok()?)
    }

    /// Returns the state of a task's step in its round.
    pub fn step_state(&mut self, id: &TaskId) -> Option<&mut StepState> {
        let round = self.rounds.get_mut(usize::try_from(id.round).ok()?)?;
        round.steps.get_mut(usize::from(id.step))
    }

    /// Returns whether the steps that a step depends on are done in a round.
    pub fn is_ready(&self, round: &Round, step: usize) -> bool {
        let done = |i: &u16| {
            let i = usize::from(*i);
            round.steps[i].done == self.record.spec.steps[i].count
        };
        self.record.spec.steps[step].depends_on.iter().all(done)
    }

    /// Returns whether a run of a task that isn't done is, or may be, on a worker.
    pub fn has_runs(&self) -> bool {
        let steps = &self.record.spec.steps;
        let states = self.rounds.iter().flat_map(|r| steps.iter().zip(&r.steps));
        let mut open = states.filter(|(step, state)| state.done < step.count);
        open.any(|(_, state)| state.tasks.iter().any(|t| t.worker.is_some()))
    }

    /// Returns whether a step of a round isn't done and those that it depends on are.
    pub fn has_turn(&self, round: &Round) -> bool {
        let steps = self.record.spec.steps.iter().enumerate();
        let open =
            |(i, step): (usize, &Step)| round.steps[i].done < step.count && self.is_ready(round, i);
        steps.into_iter().any(open)
    }

    /// Updates since when each endless task has had no run although its turn has come.
    pub fn update_endless_tasks(&mut self, now: UnixMs, wall_ms: u64) {
        let steps = &self.record.spec.steps;
        if !steps.iter().any(|s| s.endless) {
            return;
        }
        for r in 0..self.rounds.len() {
            let due = self.rounds[r].due.is_none_or(|due| due <= wall_ms);
            for s in 0..self.record.spec.steps.len() {
                let turn = due && self.is_ready(&self.rounds[r], s);
                let waits = |t: &Task| turn && t.worker.is_none();
                for task in &mut self.rounds[r].steps[s].tasks {
                    if !waits(task) {
                        task.idle_since = now;
                    }
                }
            }
        }
    }

    /// Returns the status that callers are told; `None` while the acceptance isn't durable.
    pub fn status(&self) -> Option<JobStatus> {
        Some(match self.durable_state? {
            State::Done => JobStatus::Done,
            State::Failed => JobStatus::Failed,
            State::Cancelled => JobStatus::Cancelled,
            State::Open if self.started => JobStatus::Running,
            State::Open => JobStatus::Queued,
        })
    }

    /// Notes further values of an earlier record with the id, which are overwritten with the next commit.
    pub fn keep_parts(&mut self, parts: impl Iterator<Item = u32>) {
        self.part_digests.extend(parts.map(|part| (part, 0)));
    }

    /// Returns the keys of all values that hold the record, that of the job itself last: the others mean nothing
    /// without it.
    pub fn record_keys(&self) -> impl Iterator<Item = RecordKey> {
        let job = self.record.id;
        let parts = self.part_digests.keys().copied().chain([0]);
        parts.map(move |part| RecordKey { job, part })
    }

    /// Returns what is to be written of the record: the job's own value, and the further values that have changed.
    ///
    /// # Errors
    ///
    /// The size of the value that is too large for the store.
    pub fn to_values(&self, now: UnixMs) -> Result<RecordValues, usize> {
        let mut record = self.to_record(now);
        let mut parts = record.split();
        let emptied = |part: &u32| parts.iter().all(|p| p.key.part != *part);
        let emptied: Vec<u32> = self.part_digests.keys().copied().filter(emptied).collect();
        parts.extend(emptied.into_iter().map(|part| RecordPart {
            key: RecordKey {
                job: record.id,
                part,
            },
            accepted_at: record.accepted_at,
            tasks: Vec::new(),
        }));
        // The exact size only matters near the limit.
        let mut head = record.size_bound();
        if head > VALUE_LIMIT_BYTES / 2 {
            head = record.encode().map_or(usize::MAX, |bytes| bytes.len());
        }
        let mut values = RecordValues {
            bytes: head,
            record,
            parts: Vec::new(),
            digests: Vec::new(),
        };
        let mut largest = head;
        for part in parts {
            let Ok(value) = part.encode() else {
                return Err(usize::MAX);
            };
            largest = largest.max(value.len());
            let (number, digest) = (part.key.part, digest(&value));
            if self.part_digests.get(&number) != Some(&digest) {
                values.bytes += value.len();
                values.digests.push((number, digest));
                values.parts.push(part);
            }
        }
        if largest > VALUE_LIMIT_BYTES {
            return Err(largest);
        }
        Ok(values)
    }

    /// Returns the record to write, with the states of the tasks.
    fn to_record(&self, now: UnixMs) -> Record {
        let mut record = self.record.clone();
        let rounds = (0u32..).zip(&self.rounds);
        for (round, r) in rounds {
            for (step, s) in (0u16..).zip(&r.steps) {
                for (index, task) in (0u32..).zip(&s.tasks) {
                    if task.has_progress() {
                        record.tasks.push(TaskProgress {
                            round,
                            step,
                            index,
                            done: task.done,
                            failed_runs: task.failed_runs.clone(),
                            crashes: task.crashes.clone(),
                            lost_runs: task.lost_runs.clone(),
                            late_start: task.late_start(now),
                            checkpoint: if task.done {
                                String::new()
                            } else {
                                task.checkpoint.clone()
                            },
                        });
                    }
                }
            }
        }
        record
    }

    /// Returns the estimated time of the longest chain of dependent steps that aren't done, in
    /// milliseconds.
    pub fn remaining_ms(&self) -> u64 {
        let steps = &self.record.spec.steps;
        let mut longest = 0;
        for round in &self.rounds {
            let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
            for (step, state) in steps.iter().zip(&round.steps) {
                let before = step.depends_on.iter().map(|i| ends[usize::from(*i)]).max();
                let own = if state.done == step.count {
                    0
                } else {
                    step.estimate_ms
                };
                ends.push(before.unwrap_or(0).saturating_add(own));
            }
            longest = longest.max(ends.into_iter().max().unwrap_or(0));
        }
        longest
    }

    /// Returns the estimated work of the tasks that aren't done, in core-milliseconds.
    pub fn remaining_work(&self) -> u64 {
        let steps = &self.record.spec.steps;
        let work = |(step, state): (&Step, &StepState)| {
            let each = step
                .resources
                .weighted_cores()
                .max(1)
                .saturating_mul(step.estimate_ms);
            each.saturating_mul(u64::from(step.count - state.done))
        };
        let rounds = self.rounds.iter().flat_map(|r| steps.iter().zip(&r.steps));
        rounds.map(work).fold(0, u64::saturating_add)
    }
}

fn find_task(rounds: &mut [Round], round: u32, step: u16, index: u32) -> Option<&mut Task> {
    let round = rounds.get_mut(usize::try_from(round).ok()?)?;
    let step = round.steps.get_mut(usize::from(step))?;
    step.tasks.get_mut(usize::try_from(index).ok()?)
}
