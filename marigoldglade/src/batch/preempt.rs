//! Preemption: which runs to stop for more urgent work, at the least cost.

use std::collections::BTreeSet;

use crate::batch::engine::WorkerKey;
use crate::batch::pack::{Bin, Demand, fits_one_rack, in_rack, racks};
use crate::batch::worker::Resources;

/// A run that may be stopped.
#[derive(Clone, Copy, Debug)]
pub struct Victim {
    /// The worker that it runs on.
    pub worker: WorkerKey,
    /// The group of the run: the runs of a group are stopped together.
    pub group: u32,
    /// The resources that stopping the run frees.
    pub resources: Resources,
    /// The work lost by stopping the whole group, in core-milliseconds.
    pub cost: u64,
}

/// The groups to stop, and the workers that the tasks can then run on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreemptionPlan {
    /// The groups to stop.
    pub groups: BTreeSet<u32>,
    /// The worker of each task.
    pub workers: Vec<WorkerKey>,
    /// The work lost by stopping the groups, in core-milliseconds.
    pub cost: u64,
}

/// Returns the cheapest plan found that frees enough resources for all tasks, or `None` if none is
/// found. If the tasks should share a rack, a plan in the rack near their data comes first. The search
/// is greedy, so that a cheaper plan may exist.
#[must_use]
pub fn plan_preemption(bins: &[Bin], victims: &[Victim], need: &Demand) -> Option<PreemptionPlan> {
    let mut victims = victims.to_vec();
    victims.sort_by_key(|v| v.worker);
    let victims = &victims[..];
    if !need.one_rack || !fits_one_rack(bins, need) {
        return plan_in(bins, victims, need);
    }
    let far = |rack| need.near_rack.is_some_and(|near| near != rack);
    let plans = racks(bins).into_iter().filter_map(|rack| {
        let plan = plan_in(&in_rack(bins, rack), victims, need)?;
        Some(((far(rack), plan.cost), plan))
    });
    plans.min_by_key(|(score, _)| *score).map(|(_, plan)| plan)
}

/// Returns the cost and the groups to stop so that one more task fits on a worker; the groups in
/// `stopped` are already part of the plan. The victims are sorted by their workers.
fn victims_on(
    bin: &Bin,
    victims: &[Victim],
    stopped: &BTreeSet<u32>,
    needed: &Resources,
) -> Option<(u64, Vec<u32>)> {
    let mut left = *bin;
    let mut chosen: Vec<&Victim> = Vec::new();
    let first = victims.partition_point(|v| v.worker < bin.worker);
    let mut here: Vec<&Victim> = victims[first..]
        .iter()
        .take_while(|v| v.worker == bin.worker)
        .filter(|v| !stopped.contains(&v.group))
        .collect();
    here.sort_by_key(|v| (v.cost / v.resources.weighted_cores().max(1), v.group));
    for victim in here {
        if left.fits(needed) {
            break;
        }
        left.used = left.used.minus(&victim.resources);
        chosen.push(victim);
    }
    if !left.fits(needed) {
        return None;
    }
    // A victim chosen early may not be needed any more once larger ones were added.
    for i in (0..chosen.len()).rev() {
        let used = left.used.plus(&chosen[i].resources);
        let without = Bin { used, ..left };
        if without.fits(needed) {
            left = without;
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
    Some((groups.iter().map(cost).fold(0, u64::saturating_add), groups))
}

/// Returns the cheapest plan found on the given bins, whatever their racks.
fn plan_in(bins: &[Bin], victims: &[Victim], need: &Demand) -> Option<PreemptionPlan> {
    let mut bins = bins.to_vec();
    let mut plan = PreemptionPlan {
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
            .min_by_key(|(i, cost, _)| (*cost, bins[*i].grade, bins[*i].free().accels))?;
        for victim in victims.iter().filter(|v| groups.contains(&v.group)) {
            if let Some(bin) = bins.iter_mut().find(|b| b.worker == victim.worker) {
                bin.used = bin.used.minus(&victim.resources);
            }
        }
        plan.groups.extend(groups);
        plan.cost = plan.cost.saturating_add(cost);
        let bin = &mut bins[i];
        bin.used = bin.used.plus(&need.resources);
        bin.max_tasks -= 1;
        plan.workers.push(bin.worker);
    }
    Some(plan)
}
