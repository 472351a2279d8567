//! The search for free accelerators for a gang: on one worker, in one rack, or across racks.
//!
//! The callers pass a closure that returns the free accelerators of each worker.

use strum::{Display, EnumIter, EnumString};

use crate::api::{Shape, WORKER_ACCELS};
use crate::fleet::{Fleet, SetKey, Slot};
use crate::job::Assignment;
use crate::plan::WorkerKey;

/// Which of several possible placements is chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Fit {
    /// The one that leaves the fewest accelerators free.
    Best,
    /// The first one found.
    First,
    /// The one that leaves the most accelerators free.
    Worst,
}

/// The smallest part of the topology that holds the whole gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Level {
    /// One worker.
    Worker,
    /// One rack.
    Rack,
    /// As few racks of the data centre as possible.
    Centre,
}

/// The shape of a gang, the workers it may use, and the level at which it is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GangSpec {
    pub tasks: u16,
    pub accels: u8,
    pub set: SetKey,
    pub level: Level,
}

impl GangSpec {
    /// Returns the number of adjacent accelerators that the gang needs.
    pub fn block(self) -> u32 {
        let total = u32::from(self.tasks) * u32::from(self.accels);
        match self.level {
            Level::Worker => total,
            _ => self.workers() * u32::from(WORKER_ACCELS),
        }
    }

    /// Returns the number of empty workers that the gang needs.
    pub fn workers(self) -> u32 {
        let each = u32::from(WORKER_ACCELS / self.accels.clamp(1, WORKER_ACCELS));
        u32::from(self.tasks).div_ceil(each)
    }
}

/// Returns the level of a gang, which is the lowest at which the live workers could hold it if they
/// were empty, or `None` if they couldn't. A gang that needs no more accelerators than one worker
/// has isn't spread.
pub(crate) fn level(fleet: &Fleet, set: SetKey, shape: Shape) -> Option<Level> {
    let cap = |w: &WorkerKey| {
        let slot = fleet.slot(*w);
        let serves = slot.in_service() && fleet.allows(set, *w);
        if serves {
            slot.accels / shape.accels.max(1)
        } else {
            0
        }
    };
    let tasks = usize::from(shape.tasks);
    if shape.total() <= u32::from(WORKER_ACCELS) {
        let fits = fleet.keys().any(|w| usize::from(cap(&w)) >= tasks);
        return fits.then_some(Level::Worker);
    }
    let racks = fleet.racks.iter();
    let caps = racks.map(|r| r.iter().map(|w| usize::from(cap(w))).sum::<usize>());
    let (most, all) = caps.fold((0, 0), |(most, all), cap| (cap.max(most), all + cap));
    if most >= tasks {
        Some(Level::Rack)
    } else {
        (all >= tasks).then_some(Level::Centre)
    }
}

/// Returns a placement of a gang, where `free` returns the accelerators that it may use on a
/// schedulable worker.
pub(crate) fn search(
    fleet: &Fleet,
    spec: GangSpec,
    fit: Fit,
    free: impl Fn(WorkerKey, Slot) -> u8,
) -> Option<Vec<Assignment>> {
    let usable = |w: WorkerKey| {
        let slot = fleet.slot(w);
        if slot.schedulable() && fleet.allows(spec.set, w) {
            free(w, slot)
        } else {
            0
        }
    };
    match spec.level {
        Level::Worker => search_worker(fleet, spec, fit, usable),
        Level::Rack => search_rack(fleet, spec, fit, usable),
        Level::Centre => search_centre(fleet, spec, usable),
    }
}

fn search_worker(
    fleet: &Fleet,
    spec: GangSpec,
    fit: Fit,
    free: impl Fn(WorkerKey) -> u8,
) -> Option<Vec<Assignment>> {
    let need = u8::try_from(spec.block()).ok()?;
    let fits = fleet
        .keys()
        .map(|w| (free(w), w))
        .filter(|(n, _)| *n >= need);
    let (_, worker) = pick(fits, fit)?;
    Some(vec![Assignment {
        worker,
        tasks: spec.tasks,
    }])
}

fn search_rack(
    fleet: &Fleet,
    spec: GangSpec,
    fit: Fit,
    free: impl Fn(WorkerKey) -> u8,
) -> Option<Vec<Assignment>> {
    let cap = |w: &WorkerKey| u16::from(free(*w) / spec.accels.max(1));
    let racks = fleet.racks.iter().enumerate();
    let caps = racks.map(|(i, r)| (r.iter().map(&cap).sum::<u16>(), i));
    let (_, rack) = pick(caps.filter(|(c, _)| *c >= spec.tasks), fit)?;
    let caps = fleet.racks[rack].iter().map(|w| (cap(w), *w));
    fill(spec.tasks, caps.collect())
}

fn search_centre(
    fleet: &Fleet,
    spec: GangSpec,
    free: impl Fn(WorkerKey) -> u8,
) -> Option<Vec<Assignment>> {
    let cap = |w: &WorkerKey| u16::from(free(*w) / spec.accels.max(1));
    let mut racks: Vec<_> = (0..fleet.racks.len())
        .map(|i| (fleet.racks[i].iter().map(&cap).sum::<u16>(), i))
        .collect();
    racks.sort_by_key(|(c, i)| (std::cmp::Reverse(*c), *i));
    let mut left = spec.tasks;
    let mut assignments = Vec::new();
    for (sum, rack) in racks {
        let take = sum.min(left);
        if take == 0 {
            break;
        }
        let caps = fleet.racks[rack].iter().map(|w| (cap(w), *w));
        assignments.extend(fill(take, caps.collect())?);
        left -= take;
    }
    (left == 0).then_some(assignments)
}

/// Returns the option that `fit` prefers, each given as its free capacity and its key.
fn pick<K: Ord + Copy, N: Ord + Copy>(
    options: impl Iterator<Item = (N, K)>,
    fit: Fit,
) -> Option<(N, K)> {
    let mut options = options;
    match fit {
        Fit::Best => options.min(),
        Fit::First => options.next(),
        Fit::Worst => options.max_by_key(|(n, k)| (*n, std::cmp::Reverse(*k))),
    }
}

/// Spreads tasks over as few workers as possible, given the tasks that each can hold. The last
/// worker is the smallest one that holds the rest.
pub(crate) fn fill(tasks: u16, mut caps: Vec<(u16, WorkerKey)>) -> Option<Vec<Assignment>> {
    caps.sort_by_key(|(c, w)| (std::cmp::Reverse(*c), *w));
    let mut left = tasks;
    let mut assignments = Vec::new();
    let mut from = 0;
    while left > 0 {
        let rest = &caps[from..];
        let (cap, worker) = rest
            .iter()
            .rev()
            .find(|(c, _)| *c >= left)
            .or(rest.first())?;
        if *cap == 0 {
            return None;
        }
        assignments.push(Assignment {
            worker: *worker,
            tasks: left.min(*cap),
        });
        left -= left.min(*cap);
        from += 1;
    }
    Some(assignments)
}
