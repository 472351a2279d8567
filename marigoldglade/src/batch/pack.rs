//! Placement of tasks on workers: best fit over accelerators, processor and memory.
//!
//! Small tasks go to workers and racks that are already in use, so that whole ones stay free for wide
//! gangs.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::batch::engine::WorkerKey;
use crate::batch::finish::{Speed, SpeedOrder};
use crate::batch::health::Grade;
use crate::batch::run_times::Stretch;
use crate::batch::worker::Resources;

/// Identifies a rack within the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RackKey(pub u16);

/// A worker that the tasks may be placed on.
#[derive(Clone, Copy, Debug)]
pub struct Bin {
    /// The key of the worker in the engine.
    pub worker: WorkerKey,
    /// The worker's rack.
    pub rack: RackKey,
    /// The resources that are taken; they exceed the capacity where that has shrunk.
    pub used: Resources,
    /// The resources that the worker has in total.
    pub capacity: Resources,
    /// How much the worker is trusted.
    pub grade: Grade,
    /// The largest number of the tasks that may be placed on it, however much it has free.
    pub max_tasks: u32,
    /// How long tasks take on it.
    pub stretch: Stretch,
}

impl Bin {
    /// Returns whether one more task fits.
    #[must_use]
    pub const fn fits(&self, need: &Resources) -> bool {
        self.capacity.covers(&self.used.plus(need))
    }

    /// Returns the resources that are left.
    #[must_use]
    pub const fn free(&self) -> Resources {
        self.capacity.minus(&self.used)
    }
}

/// Identical tasks to place.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The resources that each task takes.
    pub resources: Resources,
    /// The number of tasks.
    pub count: u32,
    /// Whether a gang should run within one rack.
    pub one_rack: bool,
    /// The rack near the tasks' data.
    pub near_rack: Option<RackKey>,
    /// The order in which workers are considered by their speed.
    pub order: SpeedOrder,
}

/// Returns the index of the best bin for one task, or `None` if it fits into none.
///
/// A bin in the rack near the data comes first, then the most trusted, then the first by its speed,
/// then the one in the first rack, then the one with the least left over.
#[must_use]
pub fn place_one(bins: &[Bin], need: &Demand) -> Option<usize> {
    let fits = |b: &Bin| b.max_tasks > 0 && b.fits(&need.resources);
    let score = |b: &Bin| {
        let left = b.free().minus(&need.resources);
        let far = need.near_rack.is_some_and(|rack| rack != b.rack);
        // Small tasks fill the first racks, so that the last ones stay free for gangs.
        (
            far,
            b.grade,
            need.order.position(b),
            b.rack,
            left.accels,
            left.dominant_share(&b.capacity),
        )
    };
    let candidates = bins.iter().enumerate().filter(|(_, b)| fits(b));
    candidates.min_by_key(|(_, b)| score(b)).map(|(i, _)| i)
}

/// Places as many of the tasks as fit and returns the worker of each; their resources are taken from
/// the bins.
#[must_use]
pub fn place_some(bins: &mut [Bin], need: &Demand) -> Vec<WorkerKey> {
    let mut workers = Vec::new();
    for _ in 0..need.count {
        let Some(i) = place_one(bins, need) else {
            break;
        };
        let bin = &mut bins[i];
        bin.used = bin.used.plus(&need.resources);
        bin.max_tasks -= 1;
        workers.push(bin.worker);
    }
    workers
}

/// Returns a worker for each task, or `None` if they don't all fit.
#[must_use]
pub fn place_all(bins: &[Bin], need: &Demand) -> Option<Vec<WorkerKey>> {
    if count_fitting(bins, need, |b| b.used) < need.count {
        return None;
    }
    let workers = place_some(&mut bins.to_vec(), need);
    (workers.len() == usize::try_from(need.count).ok()?).then_some(workers)
}

/// Returns how many such tasks fit on the workers if the resources `used` of each are taken; it may
/// exceed `need.count`.
#[must_use]
pub fn count_fitting(bins: &[Bin], need: &Demand, used: impl Fn(&Bin) -> Resources) -> u32 {
    let fitting = |b: &Bin| {
        let used = used(b);
        if !b.capacity.covers(&used) {
            return 0;
        }
        let free = b.capacity.minus(&used);
        free.max_tasks(&need.resources, b.max_tasks)
    };
    bins.iter().map(fitting).fold(0, u32::saturating_add)
}

/// Returns the racks of the bins, sorted.
#[must_use]
pub fn racks(bins: &[Bin]) -> Vec<RackKey> {
    let mut racks: Vec<RackKey> = bins.iter().map(|b| b.rack).collect();
    racks.sort_unstable();
    racks.dedup();
    racks
}

/// Returns the bins in a rack.
#[must_use]
pub fn in_rack(bins: &[Bin], rack: RackKey) -> Vec<Bin> {
    bins.iter().filter(|b| b.rack == rack).copied().collect()
}

/// Returns a worker for each task of a gang, or `None` if they don't all fit.
///
/// Of the racks that can hold a gang which should run within one rack, the one near the data comes
/// first, then the one with the most trusted workers, then the one that spends the fewest fast
/// workers if the slow ones come first, then the one with the least left over. Such a gang is spread
/// over racks only if no rack could hold it even when empty.
#[must_use]
pub fn place_gang(bins: &[Bin], need: &Demand) -> Option<Vec<WorkerKey>> {
    if !need.one_rack || !fits_one_rack(bins, need) {
        return place_all(bins, need);
    }
    let mut members_of: BTreeMap<RackKey, Vec<Bin>> = BTreeMap::new();
    for bin in bins {
        members_of.entry(bin.rack).or_default().push(*bin);
    }
    let options = members_of.into_iter().filter_map(|(rack, members)| {
        let workers = place_all(&members, need)?;
        let spare = count_fitting(&members, need, |b| b.used);
        let chosen = members.iter().filter(|b| workers.contains(&b.worker));
        let grade = chosen.map(|b| b.grade).max().unwrap_or_default();
        let fast = count_fast(&members, &workers, need.order);
        let far = need.near_rack.is_some_and(|near| near != rack);
        Some(((far, grade, fast, spare, Reverse(rack)), workers))
    });
    let best = options.min_by_key(|(score, _)| *score);
    best.map(|(_, workers)| workers)
}

/// Returns how many of the chosen workers are fast, if the order spares them.
fn count_fast(bins: &[Bin], workers: &[WorkerKey], order: SpeedOrder) -> usize {
    if order != SpeedOrder::SlowFirst {
        return 0;
    }
    let fast = bins.iter().filter(|b| b.stretch.speed() == Speed::Fast);
    fast.filter(|b| workers.contains(&b.worker)).count()
}

/// Returns a worker for each task of a gang, some of which, given by their positions, may only run on
/// one worker; `None` if they don't all fit.
#[must_use]
pub fn place_bound_gang(
    bins: &[Bin],
    need: &Demand,
    bound: &[(usize, WorkerKey)],
) -> Option<Vec<WorkerKey>> {
    let mut bins = bins.to_vec();
    let rack_of = |key: WorkerKey| bins.iter().find(|b| b.worker == key).map(|b| b.rack);
    let rack = rack_of(bound.first()?.1)?;
    if need.one_rack && fits_one_rack(&bins, need) {
        bins = in_rack(&bins, rack);
    }
    for (_, key) in bound {
        let bin = bins.iter_mut().find(|b| b.worker == *key)?;
        if bin.max_tasks == 0 || !bin.fits(&need.resources) {
            return None;
        }
        bin.used = bin.used.plus(&need.resources);
        bin.max_tasks -= 1;
    }
    let count = usize::try_from(need.count).ok()?;
    let others = Demand {
        count: need.count - u32::try_from(bound.len()).ok()?,
        ..*need
    };
    let mut others = place_all(&bins, &others)?.into_iter();
    let worker_of = |i: usize| {
        let only = bound.iter().find(|(position, _)| *position == i);
        only.map(|(_, key)| *key).or_else(|| others.next())
    };
    (0..count).map(worker_of).collect()
}

/// Returns whether some rack could hold all tasks if it were empty.
#[must_use]
pub fn fits_one_rack(bins: &[Bin], need: &Demand) -> bool {
    // The keys of racks are dense.
    let mut room: Vec<u32> = Vec::new();
    bins.iter().any(|bin| {
        let rack = usize::from(bin.rack.0);
        if rack >= room.len() {
            room.resize(rack + 1, 0);
        }
        let fitting = bin.capacity.max_tasks(&need.resources, bin.max_tasks);
        room[rack] = room[rack].saturating_add(fitting);
        room[rack] >= need.count
    })
}
