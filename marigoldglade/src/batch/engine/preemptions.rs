//! Preemption of running work: what stopping each run costs, and the reservation of the room that comes
//! free.
//!
//! Room that comes free by itself before the waiting work has used up its slack is reserved in place of
//! stopping runs that are nearly done.

use std::collections::{BTreeMap, HashMap};

use crate::batch::engine::plan::{Pass, Reservation, StepKey};
use crate::batch::engine::runs::{Run, Stage};
use crate::batch::engine::{Engine, JobKey, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::pack::{Bin, Demand};
use crate::batch::preempt::{RunProgress, Victim, plan_preemption};
use crate::batch::spec::Step;
use crate::time::UnixMs;

/// How long preempted capacity is reserved for the step that preempted it, in milliseconds: twice
/// the platform's longest stop.
const RESERVATION_MS: u64 = 2_000;
/// The longest wait for runs that end by themselves, in milliseconds: about as long as a stop takes.
const WAIT_LIMIT_MS: u64 = 700;
/// The part of its slack that work may spend on such a wait is one in this many: callers' estimates are off
/// by up to half either way, and so is the slack.
const SLACK_DIVISOR: u64 = 4;
/// Until how long after its acceptance guaranteed work may wait for such runs, in milliseconds: it must start
/// within the platform's shortest bound of 2,700 ms, and a stop after a vain wait takes up to 900 ms.
const WAIT_AGE_MS: u64 = 1_000;
/// How much longer room is reserved than the runs on it are expected to last, in milliseconds: until their
/// ends are reported.
const REPORT_MARGIN_MS: u64 = 300;
/// The progress at which an endless task has started up, in percent, as the platform reports it.
const STARTED_UP_PERCENT: u32 = 100;

/// A run that may be stopped, with the group that it is stopped with.
struct Candidate {
    group: u32,
    worker: WorkerKey,
    task: TaskId,
    /// When it is expected to end by itself.
    ends_at: Option<UnixMs>,
}

impl Engine {
    /// Preempts less urgent runs to free capacity for tasks of a step, if the cost is within a limit;
    /// returns whether it did, or whether it reserved room that comes free in time by itself.
    pub(super) fn preempt(
        &mut self,
        step_key: StepKey,
        bins: &[Bin],
        demand: &Demand,
        limit: u64,
        pass: &mut Pass,
    ) -> bool {
        if !self.jobs.contains_key(&step_key.job) {
            return false;
        }
        let (mut victims, candidates) = self.find_victims(step_key);
        let wait_until = self.wait_limit(step_key);
        let mut totals: BTreeMap<u32, u64> = BTreeMap::new();
        for v in &victims {
            let total = totals.entry(v.group).or_default();
            *total = total.saturating_add(v.cost);
        }
        let mut ends: BTreeMap<u32, Option<UnixMs>> = BTreeMap::new();
        for c in &candidates {
            let end = ends.entry(c.group).or_insert(c.ends_at);
            *end = end.zip(c.ends_at).map(|(a, b)| a.max(b));
        }
        // A group that ends in time costs only the wait.
        ends.retain(|_, end| end.is_some_and(|end| end <= wait_until));
        for v in &mut victims {
            v.cost = match ends.get(&v.group) {
                Some(Some(end)) => end.since(self.now),
                _ => totals.get(&v.group).copied().unwrap_or(v.cost),
            };
        }
        let Some(plan) = plan_preemption(bins, &victims, demand).filter(|p| p.cost <= limit) else {
            return false;
        };
        let awaited = plan.groups.iter().filter_map(|g| *ends.get(g)?).max();
        let stops = |c: &&Candidate| plan.groups.contains(&c.group) && !ends.contains_key(&c.group);
        let stopped: Vec<&Candidate> = candidates.iter().filter(stops).collect();
        let job = self.jobs[&step_key.job].record.id;
        let guaranteed = self.guaranteed_jobs.contains(&step_key.job);
        for c in &stopped {
            log::info!(
                task:% = c.task, worker = self.worker(c.worker).target.name.as_str(),
                job = job.as_str(), cost = plan.cost, guaranteed;
                "run preempted for more urgent work"
            );
        }
        if let Some(end) = awaited {
            log::info!(
                job = job.as_str(), wait_ms = end.since(self.now), stopped = stopped.len(), guaranteed;
                "room reserved until running work ends"
            );
            self.counts.awaited += 1;
        }
        self.counts.preempted += u64::try_from(stopped.len()).unwrap_or(u64::MAX);
        for Candidate { worker, task, .. } in stopped {
            self.stop_run(*worker, task);
        }
        let expires_at = match awaited {
            Some(end) => end.after(REPORT_MARGIN_MS),
            None => self.now.after(RESERVATION_MS),
        };
        pass.reserve(Reservation {
            step_key,
            resources: demand.resources,
            workers: plan.workers,
            expires_at,
        });
        true
    }

    /// Returns until when a step may wait for runs to end by themselves: its job's slack, within limits.
    fn wait_limit(&self, step_key: StepKey) -> UnixMs {
        let job = &self.jobs[&step_key.job];
        let round = usize::try_from(step_key.round).unwrap_or(0);
        let inputs = self.rank_inputs(step_key.job, job, round);
        let latest_start = inputs.finish_by.before(inputs.remaining_ms);
        let slack_ms = latest_start.since(self.now) / SLACK_DIVISOR;
        let limit = self.now.after(slack_ms.min(WAIT_LIMIT_MS));
        if inputs.guaranteed {
            limit.min(inputs.waiting_since.after(WAIT_AGE_MS))
        } else {
            limit
        }
    }

    /// Returns the runs that a step may preempt, each with the cost of its own stop.
    fn find_victims(&self, step_key: StepKey) -> (Vec<Victim>, Vec<Candidate>) {
        let guaranteed = self.guaranteed_jobs.contains(&step_key.job);
        let priority = self.jobs[&step_key.job].record.queue.priority;
        let mut groups: BTreeMap<(JobKey, u32, u16, u32), u32> = BTreeMap::new();
        let mut budgets: HashMap<StepKey, u32> = HashMap::new();
        let mut slacks: HashMap<(JobKey, u32, u16), u64> = HashMap::new();
        let (mut victims, mut candidates) = (Vec::new(), Vec::new());
        for key in self.worker_keys() {
            for (id, run) in &self.worker(key).runs {
                let Some(job) = self.jobs.get(&run.job) else {
                    continue;
                };
                let run_priority = job.record.queue.priority;
                let preemptible = run_priority > priority
                    || (run_priority == priority
                        && guaranteed
                        && !self.guaranteed_jobs.contains(&run.job));
                if !preemptible || run.stage != Stage::Running {
                    continue;
                }
                let Some(step) = job.step(id) else {
                    continue;
                };
                let run_step = StepKey {
                    job: run.job,
                    round: id.round,
                    step: id.step,
                };
                if step.max_unavailable > 0 {
                    let left = budgets
                        .entry(run_step)
                        .or_insert_with(|| self.preemption_budget(run_step, step));
                    let Some(rest) = left.checked_sub(1) else {
                        continue;
                    };
                    *left = rest;
                }
                let member = if step.gang { u32::MAX } else { id.index };
                let next = u32::try_from(groups.len()).unwrap_or(u32::MAX);
                let group = *groups
                    .entry((run.job, id.round, id.step, member))
                    .or_insert(next);
                let slack_ms = *slacks
                    .entry((run.job, id.round, id.step))
                    .or_insert_with(|| self.slack_ms(run_step, step));
                let progress = self.run_progress(id, run, step);
                victims.push(Victim {
                    worker: key,
                    group,
                    resources: run.resources,
                    cost: run
                        .resources
                        .weighted_cores()
                        .max(1)
                        .saturating_mul(progress.stop_cost_ms(slack_ms)),
                });
                let rest_ms = progress.rest_ms().filter(|_| !step.endless);
                candidates.push(Candidate {
                    group,
                    worker: key,
                    task: *id,
                    ends_at: rest_ms.map(|ms| self.now.after(ms)),
                });
            }
        }
        (victims, candidates)
    }

    /// Returns how long the runs of a step may take from now on for its job to meet its objective, in
    /// milliseconds.
    fn slack_ms(&self, step_key: StepKey, step: &Step) -> u64 {
        let job = &self.jobs[&step_key.job];
        let round = usize::try_from(step_key.round).unwrap_or(0);
        let inputs = self.rank_inputs(step_key.job, job, round);
        let later_ms = inputs.remaining_ms.saturating_sub(step.estimate_ms);
        inputs.finish_by.before(later_ms).since(self.now)
    }

    fn run_progress(&self, id: &TaskId, run: &Run, step: &Step) -> RunProgress {
        let task = self.jobs.get(&run.job).and_then(|j| j.find(id));
        // Part of the progress of an adopted run was made before this owner knew of it.
        let adopted = run.sends == 0;
        RunProgress {
            elapsed_ms: self.now.since(run.started_at),
            percent: run.percent,
            reported_ms: run.progress_at.since(run.started_at),
            estimate_ms: step.estimate_ms,
            saves: step.checkpoints,
            resumed: adopted || task.is_some_and(|t| !t.checkpoint.is_empty()),
        }
    }

    /// Returns how many more tasks of a step may be preempted, given how many aren't running or
    /// haven't started up.
    fn preemption_budget(&self, step_key: StepKey, step: &Step) -> u32 {
        let started_up = |(id, run): &(&TaskId, &Run)| {
            run.job == step_key.job
                && (id.round, id.step) == (step_key.round, step_key.step)
                && run.stage == Stage::Running
                && run.percent >= STARTED_UP_PERCENT
        };
        let runs = self.workers.iter().flat_map(|w| &w.runs);
        let here = u32::try_from(runs.filter(started_up).count()).unwrap_or(u32::MAX);
        step.max_unavailable
            .saturating_sub(step.count.saturating_sub(here))
    }
}
