//! Which runs make way for more urgent work.
//!
//! Workers with what runs on them and a need flow in, the cheapest set of runs to stop flows out.

use std::collections::BTreeSet;

use crate::batch::engine::WorkerKey;
use crate::batch::pack::{Bin, Demand, fits_one_rack, in_rack, racks};
use crate::batch::worker::Resources;

/// A run that may be stopped.
#[derive(Clone, Copy, Debug)]
pub struct Victim {
    /// Where it runs.
    pub worker: WorkerKey,
    /// Runs of one group end together.
    pub group: u32,
    /// The room that it frees.
    pub resources: Resources,
    /// The work that stopping the whole group throws away, in core-milliseconds.
    pub cost: u64,
}

/// Groups to stop, and where the tasks go then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The groups.
    pub groups: BTreeSet<u32>,
    /// The worker of each task.
    pub workers: Vec<WorkerKey>,
    /// The work thrown away, in core-milliseconds.
    pub cost: u64,
}

/// Returns the cheapest way found to make room for all tasks of a need.
#[must_use]
pub fn plan_preemption(bins: &[Bin], victims: &[Victim], need: &Demand) -> Option<Plan> {
    if !need.one_rack || !fits_one_rack(bins, need) {
        return plan_in(bins, victims, need);
    }
    let near = |rack| need.near_rack.is_some_and(|near| near != rack);
    let plans = racks(bins).into_iter().filter_map(|rack| {
        let plan = plan_in(&in_rack(bins, rack), victims, need)?;
        Some(((near(rack), plan.cost), plan))
    });
    plans.min_by_key(|(score, _)| *score).map(|(_, plan)| plan)
}

/// The groups to stop on one worker for one more task, and what that costs.
fn victims_on(
    bin: &Bin,
    victims: &[Victim],
    stopped: &BTreeSet<u32>,
    room: &Resources,
) -> Option<(u64, Vec<u32>)> {
    let mut free = bin.free;
    let mut chosen: Vec<&Victim> = Vec::new();
    let mut here: Vec<&Victim> = victims
        .iter()
        .filter(|v| v.worker == bin.worker && !stopped.contains(&v.group))
        .collect();
    here.sort_by_key(|v| (v.cost / v.resources.weighted_cores().max(1), v.group));
    for victim in here {
        if free.covers(room) {
            break;
        }
        free = free.plus(&victim.resources);
        chosen.push(victim);
    }
    if !free.covers(room) {
        return None;
    }
    // What was taken early may be needless once larger runs were added.
    for i in (0..chosen.len()).rev() {
        let without = free.minus(&chosen[i].resources);
        if without.covers(room) {
            free = without;
            chosen.remove(i);
        }
    }
    let mut groups: Vec<u32> = chosen.iter().map(|v| v.group).collect();
    groups.sort_unstable();
    groups.dedup();
    let cost = |group: &u32| {
        chosen
            .iter()
            .find(|v| v.group == *group)
            .map_or(0, |v| v.cost)
    };
    Some((groups.iter().map(cost).sum(), groups))
}

fn plan_in(bins: &[Bin], victims: &[Victim], need: &Demand) -> Option<Plan> {
    let mut bins = bins.to_vec();
    let mut plan = Plan {
        groups: BTreeSet::new(),
        workers: Vec::new(),
        cost: 0,
    };
    for _ in 0..need.count {
        let options = bins.iter().enumerate().filter(|(_, b)| b.max_tasks > 0);
        let (i, cost, groups) = options
            .filter_map(|(i, b)| {
                let (cost, groups) = victims_on(b, victims, &plan.groups, &need.resources)?;
                Some((i, cost, groups))
            })
            .min_by_key(|(i, cost, _)| (*cost, bins[*i].grade, bins[*i].free.accels))?;
        for victim in victims.iter().filter(|v| groups.contains(&v.group)) {
            if let Some(bin) = bins.iter_mut().find(|b| b.worker == victim.worker) {
                bin.free = bin.free.plus(&victim.resources);
            }
        }
        plan.groups.extend(groups);
        plan.cost += cost;
        let bin = &mut bins[i];
        bin.free = bin.free.minus(&need.resources);
        bin.max_tasks -= 1;
        plan.workers.push(bin.worker);
    }
    Some(plan)
}
