//! Which gangs yield when somebody else's claim needs their accelerators.
//!
//! A claim on some workers flows in; the gangs to stop and their cost flow out.

use crate::blocks::WorkspaceKey;
use crate::fleet::{Fleet, Hold, Slot};
use crate::job::{Assignment, Job, Jobs, Stage, needs};
use crate::place::{GangSpec, Level};
use crate::plan::{JobKey, WorkerKey};
use crate::reserve::URGENT;
use crate::time::UnixMs;

/// In what order gangs that nothing else tells apart yield.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VictimOrder {
    /// The operators' selectors, then the least work lost.
    LeastLost,
    /// The operators' selectors, then the youngest gang.
    Youngest,
    /// The operators' selectors alone, then the order of submission.
    Selector,
}

/// Whose accelerators may be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// A workspace claims its guarantee: all borrowers yield.
    Guarantee,
    /// Urgent work: borrowers that are less urgent than this yield.
    Urgent(u8),
    /// A large gang that waited long: smaller borrowers that aren't more urgent yield, and so do
    /// smaller gangs inside the guarantee of its own workspace.
    Large {
        /// The large gang's urgency.
        urgency: u8,
        /// Its accelerators.
        total: u32,
        /// Its workspace.
        workspace: WorkspaceKey,
    },
}

/// The cost of a set of victims; none is the least.
///
/// The highest place in the yield order, the most urgent (as 9 less its urgency), the work lost.
pub(crate) type Cost = Option<(u16, u8, u64)>;

/// Gangs to stop.
#[derive(Clone, Debug, Default)]
pub(crate) struct Victims {
    pub jobs: Vec<JobKey>,
    pub cost: Cost,
}

impl Claim {
    /// Returns whether the gang yields to this claim.
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

    /// Returns whether a gang could yield to this claim, by what its hold tells.
    fn might_preempt(self, hold: &Hold) -> bool {
        let yields = match self {
            Self::Guarantee => true,
            Self::Urgent(urgency) => hold.urgency > urgency,
            Self::Large { urgency, .. } => hold.urgency >= urgency,
        };
        hold.preemptible && yields
    }

    /// Returns the most that the claim could have on a worker.
    fn max_free(self, fleet: &Fleet, worker: WorkerKey) -> u8 {
        let holds = fleet.holds(worker).iter().filter(|h| self.might_preempt(h));
        self.free_after_stops(fleet.slot(worker)) + holds.map(|h| h.accels).sum::<u8>()
    }

    /// Returns what the claim finds free on a worker once the stopping gangs are gone.
    fn free_after_stops(self, slot: Slot) -> u8 {
        match self {
            Self::Guarantee | Self::Urgent(URGENT) => slot.free_after_stops(),
            _ => slot.free_after_stops().saturating_sub(slot.reserved),
        }
    }
}

/// Returns a gang's place in the order of yielding.
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

/// Returns the gangs whose stop gives the claim what it needs on each worker, if there are such.
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
            // Room that is kept free is taken last.
            found.cost = found.cost.or(Some((0, 0, 0)));
        }
        if free >= *need {
            continue;
        }
        if claim.max_free(fleet, *worker) < *need {
            return None;
        }
        let mut there: Vec<_> = fleet
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
        there.sort_by_key(|(chosen, cost, hold)| (!*chosen, *cost, hold.job));
        for (chosen, cost, hold) in there {
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

fn add_cost(total: Cost, cost: (u16, u8, u64)) -> (u16, u8, u64) {
    let (yield_rank, urgent, lost) = total.unwrap_or_default();
    (
        yield_rank.max(cost.0),
        urgent.max(cost.1),
        lost.saturating_add(cost.2),
    )
}

/// Returns the place that costs the least to claim, and who has to yield there.
///
/// `avoid_draining` keeps it off the workers that are drained for a large gang.
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
    let places: Vec<Vec<Assignment>> = match spec.level {
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
    places
        .into_iter()
        .filter_map(cost)
        .min_by_key(|(_, v)| v.cost)
}

/// Spreads a gang over workers by what each would have if all that may be claimed were gone.
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
        let takes = holds.filter(|h| jobs.get(&h.job).is_some_and(|j| claim.preempts(j)));
        let claimed: u8 = takes.map(|h| h.accels).sum();
        claim.free_after_stops(fleet.slot(w)) + claimed
    };
    let caps = workers
        .into_iter()
        .map(|w| (u16::from(free(w) / spec.accels), w));
    let mut caps: Vec<_> = caps.collect();
    // Workers with more free now come first among equals.
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
