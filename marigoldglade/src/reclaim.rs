//! Preemption: which gangs have to stop when a claim needs their accelerators, and what that costs.

use crate::blocks::WorkspaceKey;
use crate::fleet::{Fleet, Hold, Slot};
use crate::job::{Assignment, Job, Jobs, Stage, needs};
use crate::place::{GangSpec, Level};
use crate::plan::{JobKey, WorkerKey};
use crate::reserve::URGENT;
use crate::time::UnixMs;

/// The last criterion for choosing victims, after the yield selectors and the urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VictimOrder {
    /// The gang that loses the least work.
    LeastLost,
    /// The gang that was started last.
    Youngest,
    /// The job that this owner registered first, by its key.
    Selector,
}

/// The reason for a preemption, which decides who may be preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// A workspace claims its guarantee: all preemptible gangs that borrow may be preempted.
    Guarantee,
    /// Work of this urgency: gangs that borrow and are less urgent may be preempted.
    Urgent(u8),
    /// A large gang that has waited long: smaller gangs that aren't more urgent may be preempted if
    /// they borrow or belong to its workspace.
    Large {
        /// The urgency of the large gang.
        urgency: u8,
        /// The number of accelerators of the large gang.
        total: u32,
        /// The workspace of the large gang.
        workspace: WorkspaceKey,
    },
}

/// The cost of a set of victims, the lowest being best; `None` means that nobody is preempted.
///
/// The parts are the highest yield rank, the highest importance (9 minus the urgency) and the total
/// work lost.
pub(crate) type Cost = Option<(u16, u8, u64)>;

/// The gangs to preempt and their cost.
#[derive(Clone, Debug, Default)]
pub(crate) struct Victims {
    pub jobs: Vec<JobKey>,
    pub cost: Cost,
}

impl Claim {
    /// Returns whether this claim may preempt the job.
    pub fn preempts(self, job: &Job) -> bool {
        let holds = matches!(job.stage, Stage::Pending | Stage::Starting | Stage::Running);
        let borrows = job.charges.is_empty();
        let yields = match self {
            Self::Guarantee => borrows,
            Self::Urgent(urgency) => borrows && job.request.urgency > urgency,
            Self::Large {
                urgency,
                total,
                workspace,
            } => {
                let smaller = job.request.urgency >= urgency && job.request.shape.total() < total;
                smaller && (borrows || job.workspace == workspace)
            }
        };
        holds && job.request.preemptible && yields
    }

    /// Returns whether this claim might preempt the job, judging only by its hold on a worker.
    fn might_preempt(self, hold: &Hold) -> bool {
        let yields = match self {
            Self::Guarantee => true,
            Self::Urgent(urgency) => hold.urgency > urgency,
            Self::Large { urgency, .. } => hold.urgency >= urgency,
        };
        hold.preemptible && yields
    }

    /// Returns an upper bound of the accelerators that this claim could get on a worker.
    fn max_free(self, fleet: &Fleet, worker: WorkerKey) -> u8 {
        let holds = fleet.holds(worker).iter().filter(|h| self.might_preempt(h));
        self.free_after_stops(fleet.slot(worker)) + holds.map(|h| h.accels).sum::<u8>()
    }

    /// Returns the accelerators of a worker that this claim could use without preemption once the
    /// stopping gangs are gone.
    fn free_after_stops(self, slot: Slot) -> u8 {
        match self {
            Self::Guarantee | Self::Urgent(URGENT) => slot.free_after_stops(),
            _ => slot.free_after_stops().saturating_sub(slot.reserved),
        }
    }
}

/// Returns the cost of preempting a job, with the parts of [`Cost`].
fn preemption_cost(job: &Job, order: VictimOrder, now: UnixMs) -> (u16, u8, u64) {
    let age = now.since(job.started_at);
    let total = u64::from(job.request.shape.total());
    let lost = match order {
        VictimOrder::LeastLost if job.request.checkpoint => job.request.grace_ms.min(age) * total,
        VictimOrder::LeastLost => age * total,
        VictimOrder::Youngest => age,
        VictimOrder::Selector => 0,
    };
    (
        job.yield_rank,
        9_u8.saturating_sub(job.request.urgency),
        lost,
    )
}

/// Returns the gangs to preempt so that the claim gets the accelerators it needs on each worker, or
/// `None` if that is impossible.
pub(crate) fn find_victims(
    fleet: &Fleet,
    jobs: &Jobs,
    needs: &[(WorkerKey, u8)],
    claim: Claim,
    order: VictimOrder,
    now: UnixMs,
) -> Option<Victims> {
    let mut found = Victims::default();
    for (worker, need) in needs {
        let slot = fleet.slot(*worker);
        let mut free = claim.free_after_stops(slot);
        if claim == Claim::Guarantee
            && slot.free_after_stops().saturating_sub(slot.reserved) < *need
        {
            // Using reserved accelerators costs more than using free ones and less than any
            // preemption.
            found.cost = found.cost.or(Some((0, 0, 0)));
        }
        if free >= *need {
            continue;
        }
        if claim.max_free(fleet, *worker) < *need {
            return None;
        }
        let mut candidates: Vec<_> = fleet
            .holds(*worker)
            .iter()
            .filter(|h| claim.might_preempt(h))
            .filter_map(|h| jobs.get(&h.job).map(|j| (h, j)))
            .filter(|(_, j)| claim.preempts(j))
            .map(|(h, j)| {
                (
                    found.jobs.contains(&h.job),
                    preemption_cost(j, order, now),
                    h,
                )
            })
            .collect();
        candidates.sort_by_key(|(chosen, cost, hold)| (!*chosen, *cost, hold.job));
        for (chosen, cost, hold) in candidates {
            if free >= *need && !chosen {
                break;
            }
            free += hold.accels;
            if !chosen {
                found.jobs.push(hold.job);
                found.cost = Some(add_cost(found.cost, cost));
            }
        }
        if free < *need {
            return None;
        }
    }
    Some(found)
}

/// Returns the cost of a set of victims with one more victim.
fn add_cost(total: Cost, cost: (u16, u8, u64)) -> (u16, u8, u64) {
    let (yield_rank, importance, lost) = total.unwrap_or_default();
    (
        yield_rank.max(cost.0),
        importance.max(cost.1),
        lost.saturating_add(cost.2),
    )
}

/// Returns the placement that costs the least preemption, and the victims.
///
/// `avoid_draining` excludes workers that are drained for a large gang.
pub(crate) fn cheapest_placement(
    fleet: &Fleet,
    jobs: &Jobs,
    spec: GangSpec,
    claim: Claim,
    order: VictimOrder,
    now: UnixMs,
    avoid_draining: bool,
) -> Option<(Vec<Assignment>, Victims)> {
    let usable = |w: &WorkerKey| {
        let slot = fleet.slot(*w);
        slot.schedulable() && !(slot.draining && avoid_draining) && fleet.allows(spec.set, *w)
    };
    let cost = |assignments: Vec<Assignment>| {
        let needs = needs(&assignments, spec.accels);
        let victims = find_victims(fleet, jobs, &needs, claim, order, now)?;
        Some((assignments, victims))
    };
    let tasks = spec.tasks;
    let placements: Vec<Vec<Assignment>> = match spec.level {
        Level::Worker => {
            let need = u8::try_from(spec.block()).unwrap_or(u8::MAX);
            let workers = fleet.keys().filter(usable);
            let workers = workers.filter(|w| claim.max_free(fleet, *w) >= need);
            workers
                .map(|worker| vec![Assignment { worker, tasks }])
                .collect()
        }
        Level::Rack => {
            let racks = fleet.racks.iter();
            let members = racks.map(|r| r.iter().copied().filter(|w| usable(w)).collect());
            members
                .filter_map(|m| spread_claimable(fleet, jobs, spec, claim, m))
                .collect()
        }
        Level::Centre => {
            let all = fleet.racks.iter().flatten().copied().filter(|w| usable(w));
            spread_claimable(fleet, jobs, spec, claim, all.collect())
                .into_iter()
                .collect()
        }
    };
    placements
        .into_iter()
        .filter_map(cost)
        .min_by_key(|(_, v)| v.cost)
}

/// Spreads a gang over workers, counting all accelerators that the claim could preempt as free.
fn spread_claimable(
    fleet: &Fleet,
    jobs: &Jobs,
    spec: GangSpec,
    claim: Claim,
    workers: Vec<WorkerKey>,
) -> Option<Vec<Assignment>> {
    let free = |w: WorkerKey| {
        let holds = fleet.holds(w).iter();
        let holds = holds.filter(|h| claim.might_preempt(h));
        let preempted = holds.filter(|h| jobs.get(&h.job).is_some_and(|j| claim.preempts(j)));
        let claimed: u8 = preempted.map(|h| h.accels).sum();
        claim.free_after_stops(fleet.slot(w)) + claimed
    };
    let caps = workers
        .into_iter()
        .map(|w| (u16::from(free(w) / spec.accels), w));
    let mut caps: Vec<_> = caps.collect();
    // Among equal capacities, prefer workers with more accelerators free without preemption.
    caps.sort_by_key(|(cap, w)| {
        (
            std::cmp::Reverse(*cap),
            std::cmp::Reverse(fleet.slot(*w).free_after_stops()),
            *w,
        )
    });
    let mut left = spec.tasks;
    let mut assignments = Vec::new();
    for (cap, worker) in caps {
        let tasks = cap.min(left);
        if tasks > 0 {
            assignments.push(Assignment { worker, tasks });
        }
        left -= tasks;
    }
    (left == 0).then_some(assignments)
}
