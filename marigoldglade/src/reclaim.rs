//! Which gangs yield when somebody else's claim needs their accelerators.
//!
//! A claim on some workers flows in; the gangs to stop and their cost flow out.

use crate::blocks::SpaceKey;
use crate::fleet::{Fleet, Hold, Slot};
use crate::job::{Job, Jobs, Spot, Stage, needs};
use crate::place::{Level, Wish};
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
    Own,
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
        space: SpaceKey,
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
    pub fn takes(self, job: &Job) -> bool {
        let holds = matches!(job.stage, Stage::Pending | Stage::Starting | Stage::Running);
        let borrows = job.charges.is_empty();
        let yields = match self {
            Self::Own => borrows,
            Self::Urgent(urgency) => borrows && job.request.urgency > urgency,
            Self::Large {
                urgency,
                total,
                space,
            } => {
                let smaller = job.request.urgency >= urgency && job.request.shape.total() < total;
                smaller && (borrows || job.space == space)
            }
        };
        holds && job.request.preemptible && yields
    }

    /// Returns whether a gang could yield to this claim, by what its hold tells.
    fn may_take(self, hold: &Hold) -> bool {
        let yields = match self {
            Self::Own => true,
            Self::Urgent(urgency) => hold.urgency > urgency,
            Self::Large { urgency, .. } => hold.urgency >= urgency,
        };
        hold.preemptible && yields
    }

    /// Returns the most that the claim could have on a worker.
    fn reach(self, fleet: &Fleet, worker: WorkerKey) -> u8 {
        let holds = fleet.holds(worker).iter().filter(|h| self.may_take(h));
        self.room(fleet.slot(worker)) + holds.map(|h| h.accels).sum::<u8>()
    }

    /// Returns what the claim finds free on a worker once the stopping gangs are gone.
    fn room(self, slot: Slot) -> u8 {
        match self {
            Self::Own | Self::Urgent(URGENT) => slot.room(),
            _ => slot.room().saturating_sub(slot.warm),
        }
    }
}

/// Returns a gang's place in the order of yielding.
fn weight(job: &Job, order: VictimOrder, now: UnixMs) -> (u16, u8, u64) {
    let age = now.since(job.start);
    let total = u64::from(job.request.shape.total());
    let lost = match order {
        VictimOrder::LeastLost if job.request.checkpoint => job.request.grace_ms.min(age) * total,
        VictimOrder::LeastLost => age * total,
        VictimOrder::Youngest => age,
        VictimOrder::Selector => 0,
    };
    (job.yields, 9_u8.saturating_sub(job.request.urgency), lost)
}

/// Returns the gangs whose stop gives the claim what it needs on each worker, if there are such.
pub(crate) fn victims(
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
        let mut room = claim.room(slot);
        if claim == Claim::Own && slot.room().saturating_sub(slot.warm) < *need {
            // Room that is kept free is taken last.
            found.cost = found.cost.or(Some((0, 0, 0)));
        }
        if room >= *need {
            continue;
        }
        if claim.reach(fleet, *worker) < *need {
            return None;
        }
        let mut there: Vec<_> = fleet
            .holds(*worker)
            .iter()
            .filter(|h| claim.may_take(h))
            .filter_map(|h| jobs.get(&h.job).map(|j| (h, j)))
            .filter(|(_, j)| claim.takes(j))
            .map(|(h, j)| (found.jobs.contains(&h.job), weight(j, order, now), h))
            .collect();
        there.sort_by_key(|(chosen, weight, hold)| (!*chosen, *weight, hold.job));
        for (chosen, weight, hold) in there {
            if room >= *need && !chosen {
                break;
            }
            room += hold.accels;
            if !chosen {
                found.jobs.push(hold.job);
                found.cost = Some(add(found.cost, weight));
            }
        }
        if room < *need {
            return None;
        }
    }
    Some(found)
}

fn add(cost: Cost, weight: (u16, u8, u64)) -> (u16, u8, u64) {
    let (yields, urgent, lost) = cost.unwrap_or_default();
    (
        yields.max(weight.0),
        urgent.max(weight.1),
        lost.saturating_add(weight.2),
    )
}

/// Returns the place that costs the least to claim, and who has to yield there.
///
/// `away` keeps it off the workers that are drained for a large gang.
pub(crate) fn cheapest(
    fleet: &Fleet,
    jobs: &Jobs,
    wish: Wish,
    claim: Claim,
    order: VictimOrder,
    now: UnixMs,
    away: bool,
) -> Option<(Vec<Spot>, Victims)> {
    let usable = |w: &WorkerKey| {
        let slot = fleet.slot(*w);
        slot.open() && !(slot.drain && away) && fleet.allows(wish.set, *w)
    };
    let cost = |spots: Vec<Spot>| {
        let needs = needs(&spots, wish.accels);
        let victims = victims(fleet, jobs, &needs, claim, order, now)?;
        Some((spots, victims))
    };
    let tasks = wish.tasks;
    let places: Vec<Vec<Spot>> = match wish.level {
        Level::Worker => {
            let need = u8::try_from(wish.block()).unwrap_or(u8::MAX);
            let workers = fleet.keys().filter(usable);
            let workers = workers.filter(|w| claim.reach(fleet, *w) >= need);
            workers.map(|worker| vec![Spot { worker, tasks }]).collect()
        }
        Level::Rack => {
            let racks = fleet.racks.iter();
            let members = racks.map(|r| r.iter().copied().filter(|w| usable(w)).collect());
            members
                .filter_map(|m| claimable(fleet, jobs, wish, claim, m))
                .collect()
        }
        Level::Centre => {
            let all = fleet.racks.iter().flatten().copied().filter(|w| usable(w));
            claimable(fleet, jobs, wish, claim, all.collect())
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
fn claimable(
    fleet: &Fleet,
    jobs: &Jobs,
    wish: Wish,
    claim: Claim,
    workers: Vec<WorkerKey>,
) -> Option<Vec<Spot>> {
    let room = |w: WorkerKey| {
        let holds = fleet.holds(w).iter();
        let holds = holds.filter(|h| claim.may_take(h));
        let takes = holds.filter(|h| jobs.get(&h.job).is_some_and(|j| claim.takes(j)));
        let claimed: u8 = takes.map(|h| h.accels).sum();
        claim.room(fleet.slot(w)) + claimed
    };
    let caps = workers
        .into_iter()
        .map(|w| (u16::from(room(w) / wish.accels), w));
    let mut caps: Vec<_> = caps.collect();
    // Workers with more free now come first among equals.
    caps.sort_by_key(|(cap, w)| {
        (
            std::cmp::Reverse(*cap),
            std::cmp::Reverse(fleet.slot(*w).room()),
            *w,
        )
    });
    let mut left = wish.tasks;
    let mut spots = Vec::new();
    for (cap, worker) in caps {
        let tasks = cap.min(left);
        if tasks > 0 {
            spots.push(Spot { worker, tasks });
        }
        left -= tasks;
    }
    (left == 0).then_some(spots)
}
