//! Completions of runs and their effect on the task, its job and the worker.

use crate::batch::engine::gone::Gone;
use crate::batch::engine::{Engine, JobKey, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::record::State;
use crate::batch::worker::{Completion, Outcome};
use crate::time::UnixMs;

/// The pause before a failed task is started again, in milliseconds.
const RETRY_MS: u64 = 50;

/// How many failed runs of an endless task are remembered.
const ENDLESS_FAILS: usize = 8;

impl Engine {
    /// Applies a completion that a worker reports.
    pub(super) fn apply_completion(&mut self, key: WorkerKey, completion: &Completion) {
        let now = self.now;
        let worker = self.worker(key);
        let current = worker
            .runs
            .get(&completion.task)
            .is_some_and(|r| r.run == completion.run);
        let how: &'static str = completion.outcome.into();
        let run = worker.runs.get(&completion.task).filter(|_| current);
        let since = run.map_or(now, |r| r.started_at);
        let expected_ms = run.map(|r| r.expected_ms).filter(|ms| *ms > 0);
        let stretch = self.run_times.stretch(key);
        let stretch = stretch.known.then_some(stretch.percent);
        log::info!(
            task:% = completion.task, run = completion.run, how = how, number = completion.number,
            worker = worker.target.name.as_str(), ran_ms = now.since(since), expected_ms, stretch, wanted = current;
            "run ended"
        );
        let stopping = current && self.is_stopping(key, &completion.task);
        if current {
            self.learn_completion(key, completion);
            self.remove_run(key, &completion.task, Gone::from(completion.outcome));
        }
        self.update_health(key, completion);
        let gone = self.gone_run(key, Gone::from(completion.outcome));
        let Some((job_key, job)) = self.job_mut(completion.task.job) else {
            return;
        };
        let (Some(step), state) = (job.step(&completion.task).cloned(), job.record.state) else {
            return;
        };
        let attempts = usize::try_from(job.record.queue.attempts.max(1)).unwrap_or(usize::MAX);
        let Some(task) = job.task(&completion.task) else {
            return;
        };
        if task.worker.is_none() && completion.run > task.last_run {
            task.gone = Some(gone);
        }
        task.last_run = task.last_run.max(completion.run);
        if !completion.checkpoint.is_empty() && (current || task.checkpoint.is_empty()) {
            task.checkpoint.clone_from(&completion.checkpoint);
        }
        job.started = true;
        match completion.outcome {
            Outcome::Done if step.endless => {}
            Outcome::Done => self.mark_task_done(job_key, &completion.task, step.gang),
            Outcome::Failed => {
                self.counts.failed += 1;
                self.record_task_failure(job_key, key, completion, &step, attempts);
            }
            Outcome::Stopped | Outcome::Lapsed | Outcome::Broken | Outcome::Alone => {
                if step.gang && !stopping {
                    self.break_gang(&completion.task, completion.run);
                }
            }
        }
        if state == State::Open {
            self.finish_job(job_key);
        }
        let reporter = (key, self.worker(key).target.started_at);
        if let Some(job) = self.jobs.get_mut(&job_key) {
            job.changes += 1;
            if !job.reporters.contains(&reporter) {
                job.reporters.push(reporter);
            }
            self.dirty_jobs.insert(job_key);
        }
        self.replan = true;
    }

    fn is_stopping(&self, key: WorkerKey, id: &TaskId) -> bool {
        use crate::batch::engine::runs::Stage;
        let run = self.worker(key).runs.get(id);
        run.is_some_and(|r| matches!(r.stage, Stage::Stopping | Stage::Abandoned))
    }

    /// Updates the health of a worker after a run on it ended.
    fn update_health(&mut self, key: WorkerKey, completion: &Completion) {
        let now = self.now;
        let worker = self.worker_mut(key);
        let quarantined = match completion.outcome {
            Outcome::Done => {
                worker.health.record_success();
                false
            }
            Outcome::Failed => worker.health.record_failure(completion.task.job, now),
            _ => false,
        };
        if quarantined {
            log::warn!(worker = worker.target.name.as_str(); "worker in quarantine: runs of different jobs failed there");
        }
    }

    /// Marks a task as done, or all tasks of its gang.
    fn mark_task_done(&mut self, job_key: JobKey, id: &TaskId, gang: bool) {
        let Some(job) = self.jobs.get_mut(&job_key) else {
            return;
        };
        let Some(step) = job.step_state(id) else {
            return;
        };
        let mut newly_done = 0;
        let mut other_runs: Vec<(TaskId, WorkerKey)> = Vec::new();
        for (index, task) in (0u32..).zip(&mut step.tasks) {
            if (gang || index == id.index) && !task.done {
                task.done = true;
                newly_done += 1;
                // Another run of this task is stopped; the members of a gang end by themselves.
                if let (false, Some(worker)) = (gang, task.worker) {
                    other_runs.push((TaskId { index, ..*id }, worker));
                }
            }
        }
        step.done += newly_done;
        job.tasks_left -= newly_done;
        for (id, worker) in other_runs {
            self.stop_run(worker, &id);
        }
    }

    /// Records a failed run, and fails the job once a task has used up its attempts.
    fn record_task_failure(
        &mut self,
        job_key: JobKey,
        key: WorkerKey,
        completion: &Completion,
        step: &crate::batch::spec::Step,
        attempts: usize,
    ) {
        let retry_at = self.now.after(RETRY_MS);
        let wall_ms = self.wall_ms;
        let Some(job) = self.jobs.get_mut(&job_key) else {
            return;
        };
        if let Some(task) = job.task(&completion.task) {
            if !task.failed_runs.contains(&completion.run) {
                task.failed_runs.push(completion.run);
            }
            // Nothing counts all of them, and the record must not grow without end.
            if step.endless && task.failed_runs.len() > ENDLESS_FAILS {
                task.failed_runs.remove(0);
            }
            task.avoid(key);
            task.retry_at = retry_at;
        }
        if step.endless {
            return;
        }
        let fails = if step.gang {
            let runs = job.step_state(&completion.task).map(|s| {
                let mut runs: Vec<u64> =
                    s.tasks.iter().flat_map(|t| t.failed_runs.clone()).collect();
                runs.sort_unstable();
                runs.dedup();
                runs.len()
            });
            runs.unwrap_or(0)
        } else {
            job.task(&completion.task)
                .map_or(0, |t| t.failed_runs.len())
        };
        if fails >= attempts && job.is_open() {
            log::warn!(task:% = completion.task, fails, attempts; "job failed: a task failed as often as its queue allows");
            job.record.state = State::Failed;
            job.record.ended_at = wall_ms;
            self.stop_job(job_key);
        } else if step.gang {
            self.break_gang(&completion.task, completion.run);
        }
    }

    /// Marks a job as done if all its tasks are.
    fn finish_job(&mut self, job_key: JobKey) {
        let (now, wall_ms): (UnixMs, u64) = (self.now, self.wall_ms);
        let Some(job) = self.jobs.get_mut(&job_key) else {
            return;
        };
        if job.tasks_left == 0 && job.is_open() {
            job.record.state = State::Done;
            job.record.ended_at = wall_ms;
            let goal = job
                .record
                .queue
                .objective_ms(job.record.spec.critical_path_ms());
            log::info!(
                job = job.record.id.as_str(), queue = job.record.queue.name.as_str(),
                took_ms = now.since(job.accepted_at), goal_ms = goal;
                "all tasks of a job are done"
            );
        }
    }
}
