//! What runs show of run times, if the settings switch learning on.

use crate::batch::engine::job::Job;
use crate::batch::engine::runs::{Run, Stage};
use crate::batch::engine::{Bounds, Engine, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::record::Record;
use crate::batch::run_times::{Accuracy, RunTimes, Sample, StepId, WorkKind};
use crate::batch::spec::Step;
use crate::batch::worker::{ActiveRun, Completion, Outcome};

/// The minimum time between two records of what was learned, in milliseconds: a successor loses no more than
/// what the next few runs show again.
pub(super) const RECORD_GAP_MS: u64 = 5_000;
/// The largest record that is stored, in bytes: half of the store's value limit, so that it never makes a commit
/// fail.
const RECORD_LIMIT_BYTES: usize = 512 << 10;
/// How long after its start a run's progress is asked for soon, in milliseconds.
const YOUNG_MS: u64 = 2_000;
/// How often the log says what has been learned, in milliseconds.
pub(super) const LOG_INTERVAL_MS: u64 = 5_000;

/// Returns what an earlier owner has learned, or nothing if its record can't be used.
pub(super) fn load(bounds: &Bounds, record: Option<&[u8]>) -> RunTimes {
    let Some(record) = record.filter(|_| bounds.learn_run_times) else {
        return RunTimes::default();
    };
    match RunTimes::from_record(record) {
        Ok(run_times) => run_times,
        Err(e) => {
            log::warn!(error:% = e, bytes = record.len(); "the record of learned run times can't be used; learning starts anew");
            RunTimes::default()
        }
    }
}

impl Engine {
    /// Returns whether the next commit takes a record of what was learned with it.
    pub(super) fn is_record_due(&self) -> bool {
        self.bounds.learn_run_times && self.learned_after.passed(self.now)
    }

    /// Returns the record of what was learned if it is due. One that a failed commit loses isn't repeated; the
    /// next one has it all.
    pub(super) fn take_learned(&mut self) -> Option<Vec<u8>> {
        if !self.is_record_due() {
            return None;
        }
        self.learned_after = self.now.after(RECORD_GAP_MS);
        let name = |key| self.worker(key).target.name.clone();
        let record = self.run_times.to_record(name);
        record
            .inspect_err(
                |e| log::error!(error:% = e; "can't encode the record of learned run times"),
            )
            .ok()
            .filter(|r| {
                let fits = r.len() <= RECORD_LIMIT_BYTES;
                if !fits {
                    log::warn!(bytes = r.len(), limit = RECORD_LIMIT_BYTES; "the record of learned run times is too large to store");
                }
                fits
            })
    }

    /// Logs at intervals what has been learned.
    pub(super) fn log_learned(&mut self) {
        if !self.bounds.learn_run_times || !self.learned_log.passed(self.now) {
            return;
        }
        self.learned_log = self.now.after(LOG_INTERVAL_MS);
        let (known, low, high) = self.run_times.spread();
        if known == 0 {
            return;
        }
        let mut total = Accuracy::default();
        for queue in self.run_times.accuracy().values() {
            total.runs += queue.runs;
            total.expected_error += queue.expected_error;
            total.estimate_error += queue.estimate_error;
        }
        let (error, estimate_error) = total.percents();
        #[expect(
            clippy::cast_possible_truncation,
            reason = "a mean error in percent is small"
        )]
        let round = |percent: f64| percent.round() as i64;
        log::info!(
            known, workers = self.workers.len(), low, high, uneven = self.run_times.is_uneven(),
            kinds = self.run_times.kind_count(), runs = total.runs,
            error_percent = round(error), estimate_error_percent = round(estimate_error);
            "run times learned"
        );
    }

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

    /// Returns whether a worker's next report should come soon because its speed isn't known.
    pub(super) fn wants_progress(&self, key: WorkerKey) -> bool {
        if !self.bounds.learn_run_times || self.run_times.stretch(key).known {
            return false;
        }
        let teaches = |id: &TaskId, run: &Run| {
            let step = self.jobs.get(&run.job).and_then(|j| j.step(id));
            step.is_some_and(|s| !s.endless && !s.filler && s.estimate_ms > 0)
        };
        let young = |(id, run): (&TaskId, &Run)| {
            run.fresh && self.now.since(run.started_at) < YOUNG_MS && teaches(id, run)
        };
        self.worker(key).runs.iter().any(young)
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

    /// Returns how long a gang should take: as long as its slowest member, in milliseconds.
    fn gang_expected_ms(&self, job: &Job, id: &TaskId) -> u64 {
        let count = job.step(id).map_or(0, |s| s.count);
        let members = (0..count).map(|index| TaskId { index, ..*id });
        let expected = members.filter_map(|id| {
            let worker = self.worker(job.find(&id)?.worker?);
            Some(worker.runs.get(&id)?.expected_ms)
        });
        expected.max().unwrap_or(0)
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
        let expected_ms = run.expected_ms;
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
        if !ended || !first {
            return;
        }
        let expected_ms = if gang {
            self.gang_expected_ms(job, id)
        } else {
            expected_ms
        };
        let queue = job.record.queue.name.as_str();
        let run_times = &mut self.run_times;
        run_times.record_error(queue, sample.ran_ms, expected_ms, estimate_ms);
        if gang {
            run_times.finish_gang(step_id, estimate_ms);
        } else {
            run_times.finish(step_id, estimate_ms, key, sample.ran_ms);
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
