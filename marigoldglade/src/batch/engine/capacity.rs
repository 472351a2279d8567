//! Capacity for planned work: the workers that may take it, preemption, and reserved racks.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use crate::batch::engine::plan::{Pass, RackReservation, Reservation, Shape, StepKey};
use crate::batch::engine::runs::{Run, Stage};
use crate::batch::engine::{Engine, JobKey, WorkerKey};
use crate::batch::health::Grade;
use crate::batch::id::TaskId;
use crate::batch::pack::{Bin, Demand, RackKey, count_fitting, in_rack, racks};
use crate::batch::preempt::{Victim, plan_preemption};
use crate::batch::spec::Step;
use crate::batch::worker::Resources;

/// How long preempted capacity is reserved for the step that preempted it, in milliseconds: twice
/// the platform's longest stop.
const RESERVATION_MS: u64 = 2_000;
/// The cost of preempting any run, in milliseconds of its run time: its restart and the delay of
/// its job.
const STOP_COST_MS: u64 = 500;
/// The most work that a run with checkpoints loses when it is preempted, in milliseconds.
const CHECKPOINT_COST_MS: u64 = 600;
/// The progress at which an endless task has started up, in percent, as the platform reports it.
const STARTED_UP_PERCENT: u32 = 100;
/// The maximum time that a rack is kept free for one gang, in milliseconds: about the longest task
/// of the deployments.
pub(super) const RACK_RESERVATION_MS: u64 = 9_000;
/// At most one in this many racks with usable workers is kept free for waiting gangs: keeping all of them would starve
/// small work in a fleet with many gangs.
const RESERVED_RACKS_DIVISOR: usize = 2;
/// One in this many racks takes only the most urgent work while there is any: a gang that waits for
/// preempted runs to stop waits longer than the slack of short urgent work.
const URGENT_RACKS_DIVISOR: usize = 6;
/// One in this many racks takes no single tasks of the least urgent work while there is more urgent
/// work, so that whole workers stay free for gangs; half of the racks would idle more in fleets
/// with few gangs.
const GANG_RACKS_DIVISOR: usize = 3;

impl Engine {
    /// Returns a rack of this name, in whichever data centre.
    pub(super) fn rack_of(&self, name: &str) -> Option<RackKey> {
        self.racks
            .iter()
            .find(|((_, rack), _)| rack == name)
            .map(|(_, key)| *key)
    }

    /// Returns the workers that may take tasks of a step; what is reserved for other steps counts as
    /// used.
    ///
    /// If healthy workers are preferred, suspect ones are returned only when no healthy one is left.
    /// Workers to avoid are returned only when there are no others at all.
    pub(super) fn candidate_bins(
        &self,
        step_key: &StepKey,
        shape: &Shape,
        avoid: &[WorkerKey],
        pass: &Pass,
    ) -> Vec<Bin> {
        let worst = if shape.prefer_healthy {
            Grade::Good
        } else {
            Grade::Suspect
        };
        for (avoid, worst) in [
            (avoid, worst),
            (avoid, Grade::Suspect),
            (&[], Grade::Suspect),
        ] {
            let mut bins = self.collect_bins(step_key, shape, avoid, worst, pass);
            if !bins.is_empty() {
                // Urgent gangs find whole workers on these racks without waiting for preempted runs
                // to stop.
                if shape.priority > 0 && pass.top_priority == 0 {
                    exclude_last_racks(&mut bins, URGENT_RACKS_DIVISOR);
                }
                return bins;
            }
        }
        Vec::new()
    }

    /// Returns the workers that may take tasks of an overdue step: no racks are kept from it, and suspect
    /// workers aren't left out for healthy ones without room.
    pub(super) fn open_bins(
        &self,
        step_key: &StepKey,
        shape: &Shape,
        avoid: &[WorkerKey],
        pass: &Pass,
    ) -> Vec<Bin> {
        self.collect_bins(step_key, shape, avoid, Grade::Suspect, pass)
    }

    /// Returns the workers that may take tasks of a step, without those to avoid and those of a
    /// worse health grade than `worst`.
    pub(super) fn collect_bins(
        &self,
        step_key: &StepKey,
        shape: &Shape,
        avoid: &[WorkerKey],
        worst: Grade,
        pass: &Pass,
    ) -> Vec<Bin> {
        let now = self.now;
        let mut bins = Vec::with_capacity(self.workers.len());
        for key in self.worker_keys() {
            let worker = self.worker(key);
            let target = &worker.target;
            if !worker.matches(&shape.pool, &shape.label)
                || !worker.is_usable(now)
                || avoid.contains(&key)
                || shape.bound.is_some_and(|only| only != key)
                || !worker.may_start_beside(shape.isolated)
            {
                continue;
            }
            let grade = worker.health.grade(now);
            if grade > worst {
                continue;
            }
            let i = usize::from(key.0);
            let used = pass.used[i];
            // Part of a reservation is still taken by the runs that are being stopped for it.
            let reserved = pass.reserved[i].at_most(&target.capacity.minus(&used));
            bins.push(Bin {
                worker: key,
                rack: worker.rack,
                used: used.plus(&reserved),
                capacity: target.capacity,
                grade,
                max_tasks: self.step_limit_left(step_key, key),
                stretch: self.run_times.stretch(key),
            });
        }
        bins
    }

    /// Returns how many more tasks of a step a worker may take by the step's limit per worker.
    fn step_limit_left(&self, step_key: &StepKey, key: WorkerKey) -> u32 {
        let limit = self.jobs.get(&step_key.job).map_or(0, |j| {
            j.record.spec.steps[usize::from(step_key.step)].per_worker
        });
        if limit == 0 {
            return u32::MAX;
        }
        let same = |(id, run): &(&TaskId, &Run)| {
            run.job == step_key.job && id.round == step_key.round && id.step == step_key.step
        };
        let here = self.worker(key).runs.iter().filter(same).count();
        limit.saturating_sub(u32::try_from(here).unwrap_or(u32::MAX))
    }

    /// Returns those of some workers that aren't kept free for other work.
    pub(super) fn unreserved_bins(
        &self,
        step_key: StepKey,
        step: &Step,
        shape: &Shape,
        all: &[Bin],
        pass: &Pass,
    ) -> Vec<Bin> {
        let mut bins = all.to_vec();
        self.exclude_reserved_racks(step_key, shape, &mut bins);
        if shape.priority > 1 && !step.gang && pass.top_priority < shape.priority {
            exclude_last_racks(&mut bins, GANG_RACKS_DIVISOR);
        }
        if shape.near_only {
            bins.retain(|b| Some(b.rack) == shape.near_rack);
        }
        bins
    }

    /// Removes the workers on racks that are kept free for other gangs of the pool, unless the work is of
    /// the most urgent priority.
    pub(super) fn exclude_reserved_racks(
        &self,
        step_key: StepKey,
        shape: &Shape,
        bins: &mut Vec<Bin>,
    ) {
        let same_pool = |key: StepKey| {
            let job = self.jobs.get(&key.job);
            job.is_some_and(|j| j.record.queue.pool == shape.pool)
        };
        let mut others = self.rack_reservations.clone();
        others.retain(|r| r.step_key != step_key && same_pool(r.step_key));
        bins.retain(|b| shape.priority == 0 || others.iter().all(|r| r.rack != b.rack));
    }

    /// Preempts less urgent runs to free capacity for tasks of a step, if the cost is within a limit;
    /// returns whether it did.
    pub(super) fn preempt(
        &mut self,
        step_key: StepKey,
        bins: &[Bin],
        demand: &Demand,
        limit: u64,
        pass: &mut Pass,
    ) -> bool {
        let guaranteed = self.guaranteed_jobs.contains(&step_key.job);
        let Some(priority) = self
            .jobs
            .get(&step_key.job)
            .map(|j| j.record.queue.priority)
        else {
            return false;
        };
        let mut groups: BTreeMap<(JobKey, u32, u16, u32), u32> = BTreeMap::new();
        let mut budgets: HashMap<StepKey, u32> = HashMap::new();
        let mut victims: Vec<Victim> = Vec::new();
        let mut members: Vec<(u32, WorkerKey, TaskId)> = Vec::new();
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
                if step.max_unavailable > 0 {
                    let run_step = StepKey {
                        job: run.job,
                        round: id.round,
                        step: id.step,
                    };
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
                let elapsed = self.now.since(run.started_at);
                let lost = if step.checkpoints {
                    elapsed.min(CHECKPOINT_COST_MS)
                } else {
                    elapsed
                };
                victims.push(Victim {
                    worker: key,
                    group,
                    resources: run.resources,
                    cost: run
                        .resources
                        .weighted_cores()
                        .max(1)
                        .saturating_mul(lost + STOP_COST_MS),
                });
                members.push((group, key, *id));
            }
        }
        let mut totals: HashMap<u32, u64> = HashMap::new();
        for v in &victims {
            let total = totals.entry(v.group).or_default();
            *total = total.saturating_add(v.cost);
        }
        for v in &mut victims {
            v.cost = totals.get(&v.group).copied().unwrap_or(v.cost);
        }
        let Some(plan) = plan_preemption(bins, &victims, demand).filter(|p| p.cost <= limit) else {
            return false;
        };
        for (group, key, id) in members {
            if plan.groups.contains(&group) {
                log::info!(
                    task:% = id, worker = self.worker(key).target.name.as_str(),
                    job = self.jobs.get(&step_key.job).map_or("", |j| j.record.id.as_str()),
                    cost = plan.cost, guaranteed;
                    "run preempted for more urgent work"
                );
                self.stop_run(key, &id);
                self.counts.preempted += 1;
            }
        }
        pass.reserve(Reservation {
            step_key,
            resources: demand.resources,
            workers: plan.workers,
            expires_at: self.now.after(RESERVATION_MS),
        });
        true
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

    /// Returns whether one more of the racks that may run a step may be kept free, and the step has none
    /// yet. The limit holds for the racks of its pool, and for those with its label.
    pub(super) fn may_reserve_rack(&self, step_key: StepKey, pool: &str, label: &str) -> bool {
        if self.has_rack(step_key) {
            return false;
        }
        let workers = self.workers.iter();
        let usable = workers.filter(|w| w.matches(pool, "") && w.is_usable(self.now));
        let labelled = usable.clone().filter(|w| w.matches(pool, label));
        let racks_of_pool: BTreeSet<RackKey> = usable.map(|w| w.rack).collect();
        let racks_with_label: BTreeSet<RackKey> = labelled.map(|w| w.rack).collect();
        let below_limit = |racks: &BTreeSet<RackKey>| {
            let reservations = self.rack_reservations.iter();
            let kept = reservations.filter(|r| racks.contains(&r.rack)).count();
            kept < (racks.len() / RESERVED_RACKS_DIVISOR).max(1)
        };
        below_limit(&racks_of_pool) && below_limit(&racks_with_label)
    }

    /// Ends the reservations of racks that have expired or whose gangs are no longer ready, and the newest
    /// ones above the limit, as workers may have become unusable.
    pub(super) fn renew_rack_reservations(&mut self, ready: &HashSet<StepKey>) {
        for r in std::mem::take(&mut self.rack_reservations) {
            let Some(job) = self.jobs.get(&r.step_key.job) else {
                continue;
            };
            let queue = &job.record.queue;
            let label = &job.record.spec.steps[usize::from(r.step_key.step)].label;
            let wanted = !r.expires_at.passed(self.now) && ready.contains(&r.step_key);
            if wanted && self.may_reserve_rack(r.step_key, &queue.pool, label) {
                self.rack_reservations.push(r);
            }
        }
    }

    /// Returns whether a rack is kept free for a step.
    pub(super) fn has_rack(&self, step_key: StepKey) -> bool {
        self.rack_reservations
            .iter()
            .any(|r| r.step_key == step_key)
    }

    /// Keeps a rack free for a gang that can't be placed: the one near its data if it is large
    /// enough, else the one with the most free capacity for its tasks.
    pub(super) fn reserve_rack(&mut self, step_key: StepKey, bins: &[Bin], demand: &Demand) {
        let unused = |_: &Bin| Resources::default();
        let fit_empty = |rack| count_fitting(&in_rack(bins, rack), demand, unused);
        let fit_now = |rack| count_fitting(&in_rack(bins, rack), demand, |b| b.used);
        let kept = |rack| self.rack_reservations.iter().any(|r| r.rack == rack);
        let candidates = racks(bins)
            .into_iter()
            .filter(|r| fit_empty(*r) >= demand.count && !kept(*r));
        let Some(rack) = candidates.max_by_key(|r| (demand.near_rack == Some(*r), fit_now(*r)))
        else {
            return;
        };
        log::info!(job = self.jobs.get(&step_key.job).map_or("", |j| j.record.id.as_str()), rack = rack.0, tasks = demand.count; "rack kept free for a gang");
        let expires_at = self.now.after(RACK_RESERVATION_MS);
        self.rack_reservations.push(RackReservation {
            step_key,
            rack,
            expires_at,
        });
    }
}

/// Removes the workers on the last racks: one in `divisor` of the racks of all `bins`.
fn exclude_last_racks(bins: &mut Vec<Bin>, divisor: usize) {
    let racks = racks(bins);
    let first = &racks[..racks.len() - racks.len() / divisor];
    bins.retain(|b| first.contains(&b.rack));
}
