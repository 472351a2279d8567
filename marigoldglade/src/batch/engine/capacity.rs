//! Room for work that is planned: which workers are open to it, what makes way, what is kept free.

use std::collections::{BTreeMap, HashMap};

use crate::batch::engine::plan::{Claim, Pass, Reservation, Shape, Unit};
use crate::batch::engine::workers::{Run, Stage};
use crate::batch::engine::{Engine, JobKey, WorkerKey};
use crate::batch::health::Grade;
use crate::batch::id::TaskId;
use crate::batch::pack::{Bin, Need, RackKey, capacity, in_rack, racks};
use crate::batch::preempt::{Victim, make_room};
use crate::batch::spec::Step;

/// How long room that was made is kept for the work it was made for, in milliseconds; source: twice
/// the longest stop of the platform.
const CLAIM_MS: u64 = 2_000;
/// The cost of any stop, for the restart and the delay of its job, in milliseconds of its run time.
const STOP_COST_MS: u64 = 500;
/// What a stop of a run with checkpoints throws away at most, in milliseconds.
const CHECKPOINT_COST_MS: u64 = 600;
/// The progress at which an endless task has started up, in percent; source: the platform's reports.
const AT_WORK_PERCENT: u32 = 100;
/// How long a rack is kept free for one gang at most, in milliseconds; source: about the longest
/// task of the deployments.
const RESERVE_MS: u64 = 9_000;
/// One in so many racks at most is kept free for gangs that wait; source:
/// docs/design/placement-of-steps.md.
const RESERVED_RACKS_DIVISOR: usize = 2;
/// One in so many racks takes only the most urgent work while there is any; source:
/// docs/design/placement-of-steps.md.
const URGENT_RACKS_DIVISOR: usize = 6;
/// One in so many racks takes no single tasks of the least urgent work; source:
/// docs/design/placement-of-steps.md.
const KEPT_RACKS_DIVISOR: usize = 3;

impl Engine {
    pub(super) fn rack_of(&self, name: &str) -> Option<RackKey> {
        self.racks
            .iter()
            .find(|((_, rack), _)| rack == name)
            .map(|(_, key)| *key)
    }

    /// Returns the workers that may take a unit, with the room that isn't claimed by others.
    ///
    /// Workers to avoid, and suspect ones where only good ones are wanted, are taken when there are no
    /// others.
    pub(super) fn bins(
        &self,
        unit: &Unit,
        shape: &Shape,
        avoid: &[WorkerKey],
        pass: &Pass,
    ) -> Vec<Bin> {
        let worst = if shape.strict {
            Grade::Good
        } else {
            Grade::Suspect
        };
        for (avoid, worst) in [
            (avoid, worst),
            (avoid, Grade::Suspect),
            (&[], Grade::Suspect),
        ] {
            let mut bins = self.bins_without(unit, shape, avoid, worst, pass);
            if !bins.is_empty() {
                // Urgent gangs find whole workers there without waiting for stops.
                if shape.priority > 0 && pass.top == 0 {
                    keep_last_racks(&mut bins, URGENT_RACKS_DIVISOR);
                }
                return bins;
            }
        }
        Vec::new()
    }

    fn bins_without(
        &self,
        unit: &Unit,
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
            let fits = target.pool == shape.pool
                && (shape.label.is_empty() || target.labels.contains(&shape.label));
            if !fits || !worker.is_usable(now) || avoid.contains(&key) {
                continue;
            }
            let grade = worker.health.grade(now);
            if grade > worst {
                continue;
            }
            let i = usize::from(key.0);
            let free = pass.free[i].minus(&pass.claimed[i]);
            bins.push(Bin {
                worker: key,
                rack: worker.rack,
                free,
                whole: target.room,
                grade,
                most: self.room_for_step(unit, key),
            });
        }
        bins
    }

    /// Returns how many more tasks of a unit's step a worker may take.
    fn room_for_step(&self, unit: &Unit, key: WorkerKey) -> u32 {
        let limit = self.jobs.get(&unit.job).map_or(0, |j| {
            j.record.spec.steps[usize::from(unit.step)].per_worker
        });
        if limit == 0 {
            return u32::MAX;
        }
        let same = |(id, run): &(&TaskId, &Run)| {
            run.job == unit.job && id.round == unit.round && id.step == unit.step
        };
        let here = self.worker(key).runs.iter().filter(same).count();
        limit.saturating_sub(u32::try_from(here).unwrap_or(u32::MAX))
    }

    /// Returns the workers that aren't kept for others.
    pub(super) fn open_bins(
        &self,
        unit: Unit,
        step: &Step,
        shape: &Shape,
        all: &[Bin],
        pass: &Pass,
    ) -> Vec<Bin> {
        let mut bins = all.to_vec();
        if shape.priority > 0 {
            let kept = |rack| {
                self.reserved
                    .iter()
                    .any(|r| r.rack == rack && r.unit != unit)
            };
            bins.retain(|b| !kept(b.rack));
        }
        if shape.priority > 1 && !step.gang && pass.top < shape.priority {
            keep_last_racks(&mut bins, KEPT_RACKS_DIVISOR);
        }
        if shape.wait_near {
            bins.retain(|b| Some(b.rack) == shape.near);
        }
        bins
    }

    /// Stops less urgent runs so that a unit finds room; returns whether room is on the way.
    pub(super) fn preempt(
        &mut self,
        unit: Unit,
        bins: &[Bin],
        need: &Need,
        limit: u64,
        pass: &mut Pass,
    ) -> bool {
        let guaranteed = self.covered.contains(&unit.job);
        let Some(priority) = self.jobs.get(&unit.job).map(|j| j.record.queue.priority) else {
            return false;
        };
        let mut groups: BTreeMap<(JobKey, u32, u16, u32), u32> = BTreeMap::new();
        let mut budgets: HashMap<Unit, u32> = HashMap::new();
        let mut victims: Vec<Victim> = Vec::new();
        let mut members: Vec<(u32, WorkerKey, TaskId)> = Vec::new();
        for key in self.worker_keys() {
            for (id, run) in &self.worker(key).runs {
                let Some(job) = self.jobs.get(&run.job) else {
                    continue;
                };
                let theirs = job.record.queue.priority;
                let yields = theirs > priority
                    || (theirs == priority && guaranteed && !self.covered.contains(&run.job));
                if !yields || run.stage != Stage::Running {
                    continue;
                }
                let Some(step) = job.step(id) else {
                    continue;
                };
                if step.may_miss > 0 {
                    let theirs = Unit {
                        job: run.job,
                        round: id.round,
                        step: id.step,
                    };
                    let left = budgets
                        .entry(theirs)
                        .or_insert_with(|| self.budget_left(theirs, step));
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
                let elapsed = self.now.since(run.since);
                let lost = if step.checkpoints {
                    elapsed.min(CHECKPOINT_COST_MS)
                } else {
                    elapsed
                };
                victims.push(Victim {
                    worker: key,
                    group,
                    room: run.room,
                    cost: run.room.cores().max(1) * (lost + STOP_COST_MS),
                });
                members.push((group, key, *id));
            }
        }
        let mut totals: HashMap<u32, u64> = HashMap::new();
        for v in &victims {
            *totals.entry(v.group).or_default() += v.cost;
        }
        for v in &mut victims {
            v.cost = totals.get(&v.group).copied().unwrap_or(v.cost);
        }
        let Some(plan) = make_room(bins, &victims, need).filter(|p| p.cost <= limit) else {
            return false;
        };
        for (group, key, id) in members {
            if plan.groups.contains(&group) {
                log::info!(
                    task:% = id, worker = self.worker(key).target.name.as_str(),
                    job = self.jobs.get(&unit.job).map_or("", |j| j.record.id.as_str()),
                    cost = plan.cost, guaranteed;
                    "run makes way for more urgent work"
                );
                self.stop(key, &id);
                self.counts.preempted += 1;
            }
        }
        pass.claim(Claim {
            unit,
            room: need.room,
            places: plan.places,
            end: self.now.after(CLAIM_MS),
        });
        true
    }

    /// Returns how many more tasks of a step may be away by the scheduler's doing.
    fn budget_left(&self, unit: Unit, step: &Step) -> u32 {
        let at_work = |(id, run): &(&TaskId, &Run)| {
            run.job == unit.job
                && (id.round, id.step) == (unit.round, unit.step)
                && run.stage == Stage::Running
                && run.percent >= AT_WORK_PERCENT
        };
        let runs = self.workers.iter().flat_map(|w| &w.runs);
        let here = u32::try_from(runs.filter(at_work).count()).unwrap_or(u32::MAX);
        step.may_miss
            .saturating_sub(step.count.saturating_sub(here))
    }

    /// Returns whether one more rack may be kept free, and the unit has none yet.
    pub(super) fn may_reserve(&self, unit: Unit) -> bool {
        let limit = self.racks.len() / RESERVED_RACKS_DIVISOR;
        self.reserved.len() < limit.max(1) && self.reserved.iter().all(|r| r.unit != unit)
    }

    /// Keeps the rack free that will soonest hold a gang that found no place.
    pub(super) fn reserve(&mut self, unit: Unit, bins: &[Bin], need: &Need) {
        let whole = |rack| capacity(&in_rack(bins, rack), need, |b| b.whole);
        let free = |rack| capacity(&in_rack(bins, rack), need, |b| b.free);
        let kept = |rack| self.reserved.iter().any(|r| r.rack == rack);
        let able = racks(bins)
            .into_iter()
            .filter(|r| whole(*r) >= need.count && !kept(*r));
        let Some(rack) = able.max_by_key(|r| (need.near == Some(*r), free(*r))) else {
            return;
        };
        log::info!(job = self.jobs.get(&unit.job).map_or("", |j| j.record.id.as_str()), rack = rack.0, tasks = need.count; "rack kept free for a gang");
        let end = self.now.after(RESERVE_MS);
        self.reserved.push(Reservation { unit, rack, end });
    }
}

/// Takes the workers of the last racks out, one in `divisor` of those that the bins are on.
fn keep_last_racks(bins: &mut Vec<Bin>, divisor: usize) {
    let racks = racks(bins);
    let first = &racks[..racks.len() - racks.len() / divisor];
    bins.retain(|b| first.contains(&b.rack));
}
