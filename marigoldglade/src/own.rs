//! Placing a gang inside its own workspace's guarantee.
//!
//! A waiting or running gang flows in; the blocks it is charged to flow out.

use crate::api::{Shape, WORKER_ACCELS};
use crate::blocks::{BlockKey, SpaceKey};
use crate::fleet::Slot;
use crate::job::{Charge, Spot, Stage, needs};
use crate::place::{Level, Wish, search};
use crate::plan::{JobKey, WorkerKey};
use crate::planner::Planner;
use crate::reclaim::{Claim, Cost, Victims, victims};
use crate::time::UnixMs;

/// The most places that a block in search of a cheaper one is tried at.
const MOVE_TRIES: usize = 4;

/// A place inside a guarantee.
#[derive(Clone, Debug)]
pub(crate) struct Own {
    pub spots: Vec<Spot>,
    pub charges: Vec<Charge>,
    pub victims: Victims,
}

impl Planner {
    /// Returns whether the workspace's whole blocks could hold the gang.
    pub(crate) fn promised(&self, space: SpaceKey, shape: Shape, level: Level) -> bool {
        let each = |b: &BlockKey| {
            let block = self.blocks.get(*b);
            usize::from(block.cell_size() / shape.accels.max(1)) * block.cell_count()
        };
        let blocks = self.space_of(space).blocks.iter();
        let tasks = usize::from(shape.tasks);
        match level {
            Level::Worker | Level::Rack => blocks.map(each).any(|n| n >= tasks),
            Level::Centre => blocks.map(each).sum::<usize>() >= tasks,
        }
    }

    /// Returns the cheapest place for a waiting gang inside its workspace's guarantee.
    ///
    /// `away` keeps it off the workers that are drained for another gang of its workspace.
    pub(crate) fn own_place(
        &mut self,
        now: UnixMs,
        job: JobKey,
        wish: Wish,
        away: bool,
    ) -> Option<Own> {
        let space = self.jobs.get(&job)?.space;
        let away = away && self.drain.as_ref().is_some_and(|d| d.class.space == space);
        let here = self.own_here(now, space, wish, away);
        if here.as_ref().is_some_and(|own| own.victims.cost.is_none())
            || wish.level == Level::Centre
        {
            return here;
        }
        let Some(block) = self.spare_block(space, wish) else {
            return here;
        };
        let cost = here.as_ref().and_then(|own| own.victims.cost);
        let bar = here.is_some().then_some(cost);
        self.move_cheaper(now, block, wish, bar, away).or(here)
    }

    /// Returns the cheapest place where the blocks lie now.
    fn own_here(&self, now: UnixMs, space: SpaceKey, wish: Wish, away: bool) -> Option<Own> {
        let blocks = &self.space_of(space).blocks;
        if wish.level == Level::Centre {
            return self.own_in(now, blocks, wish, away);
        }
        let options = blocks.iter().filter_map(|key| {
            let own = self.own_in(now, &[*key], wish, away)?;
            let block = self.blocks.get(*key);
            Some(((own.victims.cost, !block.bound(), block.size, *key), own))
        });
        options.min_by_key(|(rank, _)| *rank).map(|(_, own)| own)
    }

    /// Returns the place for a gang in the free cells of some blocks.
    fn own_in(&self, now: UnixMs, blocks: &[BlockKey], wish: Wish, away: bool) -> Option<Own> {
        let mut caps = Vec::new();
        for key in blocks {
            for cell in &self.blocks.get(*key).cells {
                let slot = self.fleet.slot(cell.worker);
                let kept = slot.drain && away;
                let fits = slot.open() && !kept && self.fleet.allows(wish.set, cell.worker);
                let tasks = u16::from((cell.size - cell.used) / wish.accels);
                if fits && tasks > 0 {
                    caps.push((tasks, cell.worker, *key));
                }
            }
        }
        let spread = spread(wish, caps)?;
        let charge = |(spot, block): &(Spot, BlockKey)| Charge {
            block: *block,
            worker: spot.worker,
            accels: u8::try_from(spot.tasks * u16::from(wish.accels)).unwrap_or(u8::MAX),
        };
        let charges = spread.iter().map(charge).collect();
        let spots = merge(spread.into_iter().map(|(spot, _)| spot));
        let needs = needs(&spots, wish.accels);
        let order = self.policy.victim_order;
        let victims = victims(&self.fleet, &self.jobs, &needs, Claim::Own, order, now)?;
        Some(Own {
            spots,
            charges,
            victims,
        })
    }

    /// Returns the smallest unused block that holds the gang.
    fn spare_block(&self, space: SpaceKey, wish: Wish) -> Option<BlockKey> {
        let holds = |key: &BlockKey| {
            let block = self.blocks.get(*key);
            let tasks = u16::from(block.cell_size() / wish.accels);
            let cells = u16::try_from(block.cell_count()).unwrap_or(u16::MAX);
            !block.bound() && tasks * cells >= wish.tasks
        };
        let blocks = self.space_of(space).blocks.iter().copied();
        blocks
            .filter(holds)
            .min_by_key(|k| (self.blocks.get(*k).size, *k))
    }

    /// Moves an unused block to where the gang costs less than `bar`, if there is such a place.
    fn move_cheaper(
        &mut self,
        now: UnixMs,
        block: BlockKey,
        wish: Wish,
        bar: Option<Cost>,
        away: bool,
    ) -> Option<Own> {
        let mut places = self.places(now, block, wish);
        let kept = |w: &WorkerKey| away && self.fleet.slot(*w).drain;
        places.retain(|(cost, ws)| bar.is_none_or(|b| *cost < b) && !ws.iter().any(kept));
        places.sort();
        for (_, workers) in places.into_iter().take(MOVE_TRIES) {
            if self.blocks.relocate(&mut self.fleet, block, &workers) {
                return self.own_in(now, &[block], wish, away);
            }
        }
        None
    }

    /// Returns the places that a block could lie at and what the gang would cost there.
    fn places(&self, now: UnixMs, block: BlockKey, wish: Wish) -> Vec<(Cost, Vec<WorkerKey>)> {
        let promise = self.blocks.get(block);
        let count = promise.cell_count();
        let open = |w: &WorkerKey| {
            let slot = self.fleet.slot(*w);
            slot.open()
                && slot.accels >= promise.cell_size()
                && self.fleet.allows(promise.set, *w)
                && self.fleet.allows(wish.set, *w)
        };
        let each = u8::try_from(u16::from(promise.cell_size() / wish.accels).min(wish.tasks));
        let need = each.unwrap_or(u8::MAX).saturating_mul(wish.accels);
        let cost = |w: WorkerKey| {
            let order = self.policy.victim_order;
            let needs = [(w, need)];
            victims(&self.fleet, &self.jobs, &needs, Claim::Own, order, now).map(|v| v.cost)
        };
        if count == 1 {
            let workers = self.fleet.keys().filter(open);
            return workers.filter_map(|w| Some((cost(w)?, vec![w]))).collect();
        }
        let mut places = Vec::new();
        for rack in &self.fleet.racks {
            let workers = rack.iter().copied().filter(open);
            let mut costs: Vec<_> = workers.filter_map(|w| Some((cost(w)?, w))).collect();
            costs.sort();
            costs.truncate(count);
            if costs.len() == count {
                let most = costs.last().and_then(|c| c.0);
                places.push((most, costs.into_iter().map(|(_, w)| w).collect()));
            }
        }
        places
    }

    /// Charges a gang to blocks.
    pub(crate) fn charge(&mut self, job: JobKey, charges: Vec<Charge>) {
        for charge in &charges {
            self.blocks
                .charge(charge.block, charge.worker, charge.accels);
        }
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.charges = charges;
        }
    }

    /// Charges the gangs that hold accelerators anew, those that can't be stopped first.
    pub(crate) fn adopt_all(&mut self) {
        let mut holding = Vec::new();
        for job in self.jobs.values_mut().filter(|j| j.stage != Stage::Waiting) {
            let charged = !job.charges.is_empty();
            job.charges.clear();
            if charged || !job.request.preemptible {
                let total = std::cmp::Reverse(job.request.shape.total());
                holding.push((job.request.preemptible, total, job.request.job));
            }
        }
        holding.sort_unstable();
        for (_, _, job) in holding {
            self.adopt(job);
        }
    }

    /// Charges a gang to its workspace's guarantee where it holds accelerators already.
    ///
    /// When that can't be, a gang that can't be stopped is pinned and others borrow.
    pub(crate) fn adopt(&mut self, job: JobKey) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        let (space, needs, preemptible) = (entry.space, entry.needs(), entry.request.preemptible);
        self.pin(job, false);
        let mut charges = Vec::new();
        for (worker, accels) in &needs {
            let Some(block) = self.cover(space, *worker, *accels, &needs) else {
                break;
            };
            self.blocks.charge(block, *worker, *accels);
            charges.push(Charge {
                block,
                worker: *worker,
                accels: *accels,
            });
        }
        if charges.len() == needs.len() {
            if let Some(entry) = self.jobs.get_mut(&job) {
                entry.charges = charges;
            }
            return;
        }
        for charge in charges {
            let (block, worker) = (charge.block, charge.worker);
            self.blocks
                .discharge(&mut self.fleet, block, worker, charge.accels);
        }
        self.pin(job, !preemptible);
    }

    fn pin(&mut self, job: JobKey, pinned: bool) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let was = std::mem::replace(&mut entry.pinned, pinned);
        if was == pinned {
            return;
        }
        for (worker, accels) in entry.needs() {
            let slot = self.fleet.slot_mut(worker);
            slot.pinned = if pinned {
                slot.pinned + accels
            } else {
                slot.pinned - accels
            };
        }
        self.torn = true;
    }

    /// Returns a block that covers accelerators of a worker, moved there when it is unused.
    fn cover(
        &mut self,
        space: SpaceKey,
        worker: WorkerKey,
        accels: u8,
        gang: &[(WorkerKey, u8)],
    ) -> Option<BlockKey> {
        let mut blocks = self.space_of(space).blocks.clone();
        let here = |k: &BlockKey| {
            let cells = self.blocks.get(*k).cells.iter();
            let mut cells = cells.filter(|c| c.worker == worker);
            cells.any(|c| c.size - c.used >= accels) && self.blocks.get(*k).bound()
        };
        if let Some(key) = blocks.iter().copied().find(here) {
            return Some(key);
        }
        let rack = self.fleet.slot(worker).rack;
        let near = |w: &WorkerKey| self.fleet.slot(*w).rack == rack;
        let gang: Vec<_> = gang.iter().map(|(w, _)| *w).filter(near).collect();
        blocks.retain(|k| {
            let block = self.blocks.get(*k);
            !block.bound() && block.cell_size() >= accels
        });
        blocks.sort_by_key(|k| {
            let count = self.blocks.get(*k).cell_count();
            (
                count < gang.len(),
                count.abs_diff(gang.len()),
                self.blocks.get(*k).size,
                *k,
            )
        });
        blocks.into_iter().find(|k| self.bring(*k, worker, &gang))
    }

    /// Moves an unused block onto a worker and its neighbours.
    fn bring(&mut self, key: BlockKey, worker: WorkerKey, gang: &[WorkerKey]) -> bool {
        let count = self.blocks.get(key).cell_count();
        let size = self.blocks.get(key).cell_size();
        let set = self.blocks.get(key).set;
        let rack = self.fleet.slot(worker).rack;
        let Some(members) = self.fleet.racks.get(usize::from(rack.0)) else {
            return false;
        };
        let fits = |w: &WorkerKey| {
            let slot: Slot = self.fleet.slot(*w);
            slot.open()
                && slot.accels - slot.pinned.min(slot.accels) >= size
                && self.fleet.allows(set, *w)
        };
        let mut workers: Vec<_> = members.iter().copied().filter(fits).collect();
        workers.sort_by_key(|w| {
            let slot = self.fleet.slot(*w);
            (*w != worker, !gang.contains(w), slot.cells, *w)
        });
        workers.truncate(count);
        workers.len() == count
            && workers.contains(&worker)
            && self.blocks.relocate(&mut self.fleet, key, &workers)
    }

    /// Returns a free place outside the guarantee.
    pub(crate) fn borrow_place(
        &self,
        wish: Wish,
        room: impl Fn(WorkerKey, Slot) -> u8,
    ) -> Option<Vec<Spot>> {
        search(&self.fleet, wish, self.policy.fit, room)
    }
}

/// Spreads a gang over the cells, the fullest of those that do first for one worker's gang.
fn spread(wish: Wish, mut caps: Vec<(u16, WorkerKey, BlockKey)>) -> Option<Vec<(Spot, BlockKey)>> {
    let one = wish.block() <= u32::from(WORKER_ACCELS) && wish.level == Level::Worker;
    if one {
        let fits = caps.into_iter().filter(|(cap, ..)| *cap >= wish.tasks);
        let (_, worker, block) = fits.min()?;
        let tasks = wish.tasks;
        return Some(vec![(Spot { worker, tasks }, block)]);
    }
    caps.sort_by_key(|(cap, worker, block)| (std::cmp::Reverse(*cap), *worker, *block));
    let mut left = wish.tasks;
    let mut spots = Vec::new();
    for (cap, worker, block) in caps {
        let tasks = cap.min(left);
        if tasks > 0 {
            spots.push((Spot { worker, tasks }, block));
        }
        left -= tasks;
    }
    (left == 0).then_some(spots)
}

/// Joins the tasks of each worker.
fn merge(spots: impl Iterator<Item = Spot>) -> Vec<Spot> {
    let mut merged: Vec<Spot> = Vec::new();
    for spot in spots {
        match merged.iter_mut().find(|s| s.worker == spot.worker) {
            Some(same) => same.tasks += spot.tasks,
            None => merged.push(spot),
        }
    }
    merged
}
