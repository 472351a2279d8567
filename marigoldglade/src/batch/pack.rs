//! Where tasks go: best fit over accelerators, cores and memory.
//!
//! Free rooms and a need flow in, one worker a task flows out, or `None` when it doesn't fit.
//! Small work fills workers and racks that are in use already, so that whole ones stay free for
//! wide gangs.

use std::cmp::Reverse;

use crate::batch::engine::WorkerKey;
use crate::batch::health::Grade;
use crate::batch::worker::Resources;

/// A rack, as an index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RackKey(pub u16);

/// A worker that may take the tasks.
#[derive(Clone, Copy, Debug)]
pub struct Bin {
    /// The worker.
    pub worker: WorkerKey,
    /// Its rack.
    pub rack: RackKey,
    /// Its free room.
    pub free: Resources,
    /// Its whole room.
    pub capacity: Resources,
    /// How much it is trusted.
    pub grade: Grade,
    /// How many more of these tasks it may take.
    pub max_tasks: u32,
}

/// Tasks that need a place.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The room of each.
    pub resources: Resources,
    /// How many.
    pub count: u32,
    /// Whether they should share a rack.
    pub one_rack: bool,
    /// The rack near their data.
    pub near_rack: Option<RackKey>,
}

/// Returns a place for a task: the worker with the least left over.
#[must_use]
pub fn place_one(bins: &[Bin], need: &Demand) -> Option<usize> {
    let fits = |b: &Bin| b.max_tasks > 0 && b.free.covers(&need.resources);
    let score = |b: &Bin| {
        let left = b.free.minus(&need.resources);
        let far = need.near_rack.is_some_and(|rack| rack != b.rack);
        // Small work fills the first racks, so that the last ones stay whole for gangs.
        (
            far,
            b.grade,
            b.rack,
            left.accels,
            left.dominant_share(&b.capacity),
        )
    };
    let candidates = bins.iter().enumerate().filter(|(_, b)| fits(b));
    candidates.min_by_key(|(_, b)| score(b)).map(|(i, _)| i)
}

/// Returns the worker of each of the first tasks that fit; their room is taken from the bins.
#[must_use]
pub fn place_some(bins: &mut [Bin], need: &Demand) -> Vec<WorkerKey> {
    let mut places = Vec::new();
    for _ in 0..need.count {
        let Some(i) = place_one(bins, need) else {
            break;
        };
        let bin = &mut bins[i];
        bin.free = bin.free.minus(&need.resources);
        bin.max_tasks -= 1;
        places.push(bin.worker);
    }
    places
}

/// Returns the worker of each task, or `None` when they don't all fit.
#[must_use]
pub fn place_all(bins: &[Bin], need: &Demand) -> Option<Vec<WorkerKey>> {
    if count_fitting(bins, need, |b| b.free) < need.count {
        return None;
    }
    let places = place_some(&mut bins.to_vec(), need);
    (places.len() == usize::try_from(need.count).ok()?).then_some(places)
}

/// Returns how many of the tasks a set of workers could take if all `rooms` were free.
#[must_use]
pub fn count_fitting(bins: &[Bin], need: &Demand, available: impl Fn(&Bin) -> Resources) -> u32 {
    let fitting = |b: &Bin| available(b).max_tasks(&need.resources, b.max_tasks);
    bins.iter().map(fitting).fold(0, u32::saturating_add)
}

/// Returns the racks of the bins, in order.
#[must_use]
pub fn racks(bins: &[Bin]) -> Vec<RackKey> {
    let mut racks: Vec<RackKey> = bins.iter().map(|b| b.rack).collect();
    racks.sort_unstable();
    racks.dedup();
    racks
}

/// Returns the bins of one rack.
#[must_use]
pub fn in_rack(bins: &[Bin], rack: RackKey) -> Vec<Bin> {
    bins.iter().filter(|b| b.rack == rack).copied().collect()
}

/// Returns the worker of each task of a gang.
///
/// A gang that should share a rack goes to the rack with the least left over; only one that no
/// rack could ever hold is spread.
#[must_use]
pub fn place_gang(bins: &[Bin], need: &Demand) -> Option<Vec<WorkerKey>> {
    if !need.one_rack || !fits_one_rack(bins, need) {
        return place_all(bins, need);
    }
    let options = racks(bins).into_iter().filter_map(|rack| {
        let members = in_rack(bins, rack);
        let places = place_all(&members, need)?;
        let spare = count_fitting(&members, need, |b| b.free);
        let chosen = members.iter().filter(|b| places.contains(&b.worker));
        let grade = chosen.map(|b| b.grade).max().unwrap_or_default();
        let far = need.near_rack.is_some_and(|near| near != rack);
        Some(((far, grade, spare, Reverse(rack)), places))
    });
    let best = options.min_by_key(|(score, _)| *score);
    best.map(|(_, places)| places)
}

/// Returns whether some rack could hold all the tasks if it were empty.
#[must_use]
pub fn fits_one_rack(bins: &[Bin], need: &Demand) -> bool {
    let whole = |rack| count_fitting(&in_rack(bins, rack), need, |b| b.capacity) >= need.count;
    racks(bins).into_iter().any(whole)
}
