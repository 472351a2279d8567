//! What runs show of run times, if the settings switch learning on.

use crate::batch::engine::runs::{Run, Stage};
use crate::batch::engine::{Engine, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::record::Record;
use crate::batch::run_times::{RunTimes, Sample, StepId, WorkKind};
use crate::batch::spec::Step;
use crate::batch::worker::{ActiveRun, Completion, Outcome};

impl Engine {
    /// Returns what has been learned of run times.
    #[must_use]
    pub const fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    /// Returns how long a task should take on a worker, in milliseconds; zero if run times aren't learned or the
    /// task has no end.
    pub(super) fn expected_ms(&self, key: WorkerKey, id: &TaskId) -> u64 {
        if !self.bounds.learn_run_times {
            return 0;
        }
        let job = self.job_ids.get(&id.job).and_then(|k| self.jobs.get(k));
        let Some((job, step)) = job.and_then(|j| Some((j, j.step(id)?))) else {
            return 0;
        };
        if step.endless || step.filler {
            return 0;
        }
        let ordinary_ms = self.run_times.step_ms(StepId::from(id));
        let ordinary_ms = ordinary_ms.unwrap_or_else(|| {
            let kind = kind_of(&job.record, step);
            self.run_times.expected(&kind, step.estimate_ms).median_ms
        });
        self.run_times.stretch(key).apply(ordinary_ms)
    }

    /// Learns from the progress of a run that a report lists.
    pub(super) fn learn_progress(&mut self, key: WorkerKey, row: &ActiveRun) {
        // A member of a gang that is done waits for the others.
        if row.percent < 100 {
            self.learn(key, &row.task, row.run, row.percent);
        }
    }

    /// Learns from the end of a run; it must still be among the worker's runs.
    pub(super) fn learn_completion(&mut self, key: WorkerKey, completion: &Completion) {
        if completion.outcome == Outcome::Done {
            self.learn(key, &completion.task, completion.run, 100);
        }
    }

    /// Learns from a run that has done `percent` of its work; 100 stands for its end.
    fn learn(&mut self, key: WorkerKey, id: &TaskId, number: u64, percent: u32) {
        if !self.bounds.learn_run_times {
            return;
        }
        let (now, worker) = (self.now, self.worker(key));
        let Some(run) = worker.runs.get(id).filter(|r| r.run == number) else {
            return;
        };
        let Some(job) = self.jobs.get(&run.job) else {
            return;
        };
        let Some(step) = job.step(id) else {
            return;
        };
        let far = !step.near_rack.is_empty() && step.near_rack != worker.target.rack();
        if step.endless || step.filler || far || !is_telling(run) {
            return;
        }
        let (estimate_ms, gang, step_id) = (step.estimate_ms, step.gang, StepId::from(id));
        let sample = Sample {
            index: id.index,
            worker: key,
            ran_ms: now.since(run.started_at),
            percent,
        };
        let ended = percent >= 100;
        let first = job.find(id).is_some_and(|t| !t.done);
        // The members of a gang end together, whichever of them is the slowest.
        if !(ended && gang) {
            let kind = || kind_of(&job.record, step);
            self.run_times
                .observe(now, step_id, estimate_ms, &sample, kind);
        }
        match (ended, gang) {
            (true, false) => {
                self.run_times
                    .finish(step_id, estimate_ms, key, sample.ran_ms);
            }
            (true, true) if first => self.run_times.finish_gang(step_id, estimate_ms),
            _ => {}
        }
    }
}

fn kind_of(record: &Record, step: &Step) -> WorkKind {
    WorkKind {
        queue: record.queue.name.clone(),
        workspace: record.workspace.clone(),
        demand: step.resources,
        gang: step.gang,
    }
}

/// Returns whether the time since a run's start was sent says how long its work takes: it began then, from the
/// beginning, and nothing slows it on purpose.
fn is_telling(run: &Run) -> bool {
    let paced = run
        .pace
        .is_none_or(|p| p < crate::batch::pace::FULL_PERCENT);
    run.fresh && run.sends <= 1 && !run.restarted && !paced && run.stage == Stage::Running
}
