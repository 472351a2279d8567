//! The blocks of adjacent accelerators that make up guarantees, and the workers that cover them.
//!
//! Each block is covered by cells on workers: a block of at most one worker by one cell, a larger
//! one by cells of whole workers in one rack. A block that no gang of its workspace uses may be
//! moved at any time; one in use stays where it is, as in HiveD (Zhao et al., OSDI 2020). Cells
//! never overlap, and only gangs of the block's own workspace or preemptible gangs run in them. So
//! every unused block can be freed by stopping borrowers.
//!
//! Sizes are powers of two, so each divides the next. Where all workers are allowed, it is
//! therefore exact to place larger blocks first: wherever a block of size `s` goes, it takes away
//! `s / t` positions for blocks of each smaller size `t`.

use crate::api::WORKER_ACCELS;
use crate::fleet::{Fleet, SetKey};
use crate::plan::WorkerKey;

/// Identifies a block within one planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BlockKey(pub u32);

/// Identifies a workspace within one planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkspaceKey(pub u16);

/// The part of a block on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Cell {
    pub worker: WorkerKey,
    pub size: u8,
    /// The accelerators that gangs of the block's own workspace use.
    pub used: u8,
}

/// A block of a guarantee.
#[derive(Clone, Debug)]
pub(crate) struct Block {
    pub workspace: WorkspaceKey,
    /// The number of accelerators of the block, a power of two.
    pub size: u16,
    /// The workers on which the workspace's jobs may run.
    pub set: SetKey,
    pub cells: Vec<Cell>,
}

impl Block {
    /// Returns whether a gang of the block's workspace uses it.
    pub fn in_use(&self) -> bool {
        self.cells.iter().any(|c| c.used > 0)
    }

    /// Returns the number of accelerators of the block that no cell covers.
    pub fn missing(&self) -> u32 {
        let covered: u32 = self.cells.iter().map(|c| u32::from(c.size)).sum();
        u32::from(self.size).saturating_sub(covered)
    }

    /// Returns the size of each cell in accelerators.
    pub fn cell_size(&self) -> u8 {
        u8::try_from(self.size).map_or(WORKER_ACCELS, |s| s.min(WORKER_ACCELS))
    }

    /// Returns the number of cells of the block when it is fully covered.
    pub fn cell_count(&self) -> usize {
        usize::from(self.size.div_ceil(u16::from(WORKER_ACCELS)))
    }
}

/// All blocks of a data centre.
#[derive(Clone, Debug, Default)]
pub(crate) struct Blocks {
    pub list: Vec<Block>,
    /// The displacements that may still be tried in this repair.
    tries: u32,
    /// The blocks that the current displacement has placed. They must not be moved again.
    placed: Vec<BlockKey>,
}

/// The cells that an attempt replaced, to restore them if it fails.
type Undo = Vec<(BlockKey, Vec<Cell>)>;

/// The longest chain of blocks that displace each other.
const DISPLACE_DEPTH: u8 = 3;
/// The most displacements that are tried in one repair.
const DISPLACE_TRIES: u32 = 256;

impl Blocks {
    /// Returns the block.
    pub fn get(&self, key: BlockKey) -> &Block {
        &self.list[key.0 as usize]
    }

    /// Returns the keys of all blocks.
    pub fn keys(&self) -> impl Iterator<Item = BlockKey> + use<> {
        (0..self.list.len()).filter_map(|i| u32::try_from(i).ok().map(BlockKey))
    }

    /// Replaces the cells of a block, updates the workers' counts, and returns the old cells.
    pub fn set_cells(&mut self, fleet: &mut Fleet, key: BlockKey, cells: Vec<Cell>) -> Vec<Cell> {
        let block = &mut self.list[key.0 as usize];
        for cell in &block.cells {
            fleet.slot_mut(cell.worker).guaranteed -= cell.size;
        }
        for cell in &cells {
            fleet.slot_mut(cell.worker).guaranteed += cell.size;
        }
        std::mem::replace(&mut block.cells, cells)
    }

    /// Adds `accels` to the use of the block's cell on `worker`.
    pub fn charge(&mut self, key: BlockKey, worker: WorkerKey, accels: u8) {
        let block = &mut self.list[key.0 as usize];
        if let Some(cell) = block.cells.iter_mut().find(|c| c.worker == worker) {
            cell.used += accels;
        }
    }

    /// Subtracts `accels` from the use of the block's cell on `worker`. A cell on a worker that
    /// takes no new work shrinks to what is still used.
    pub fn discharge(&mut self, fleet: &mut Fleet, key: BlockKey, worker: WorkerKey, accels: u8) {
        let block = &mut self.list[key.0 as usize];
        if let Some(cell) = block.cells.iter_mut().find(|c| c.worker == worker) {
            cell.used -= accels.min(cell.used);
        }
        self.shrink(fleet, key);
    }

    /// Shrinks the cells on workers that take no new work to what is used there, and cells that
    /// overlap with pinned gangs to what is left.
    pub fn shrink(&mut self, fleet: &mut Fleet, key: BlockKey) {
        let block = self.get(key);
        let fits =
            |c: &Cell| fleet.slot(c.worker).schedulable() && fleet.allows(block.set, c.worker);
        let overlap = |c: &Cell| {
            let slot = fleet.slot(c.worker);
            (slot.guaranteed + slot.pinned).saturating_sub(slot.accels)
        };
        if block.cells.iter().all(|c| fits(c) && overlap(c) == 0) {
            return;
        }
        let cells = block.cells.iter().map(|c| Cell {
            size: match fits(c) {
                true => c.size.saturating_sub(overlap(c)).max(c.used),
                false => c.used,
            },
            ..*c
        });
        let cells = cells.filter(|c| c.size > 0).collect();
        self.set_cells(fleet, key, cells);
    }

    /// Returns uncovered workers for the whole block, if there are any: the worker, or workers of
    /// the rack, that fit the block most tightly.
    fn find_workers(&self, fleet: &Fleet, key: BlockKey) -> Option<Vec<WorkerKey>> {
        let block = self.get(key);
        let (size, count) = (block.cell_size(), block.cell_count());
        let fits =
            |w: &WorkerKey| fleet.slot(*w).uncovered() >= size && fleet.allows(block.set, *w);
        if count == 1 {
            let best = fleet
                .keys()
                .filter(fits)
                .min_by_key(|w| (fleet.slot(*w).uncovered(), fleet.slot(*w).used, *w));
            return best.map(|w| vec![w]);
        }
        let rack = fleet
            .racks
            .iter()
            .map(|r| r.iter().filter(|w| fits(w)).count())
            .enumerate()
            .filter(|(_, n)| *n >= count)
            .min_by_key(|(i, n)| (*n, *i))?
            .0;
        let mut workers: Vec<_> = fleet.racks[rack]
            .iter()
            .copied()
            .filter(|w| fits(w))
            .collect();
        workers.sort_by_key(|w| (fleet.slot(*w).used, *w));
        workers.truncate(count);
        Some(workers)
    }

    /// Returns the workers of the rack that can cover the largest part of the block.
    fn find_partial(&self, fleet: &Fleet, key: BlockKey) -> Vec<WorkerKey> {
        let block = self.get(key);
        let fits = |w: &&WorkerKey| {
            fleet.slot(**w).uncovered() >= block.cell_size() && fleet.allows(block.set, **w)
        };
        let racks = fleet.racks.iter();
        let best = racks.max_by_key(|r| r.iter().filter(fits).count());
        best.map(|r| r.iter().filter(fits).copied().take(block.cell_count()))
            .map(Iterator::collect)
            .unwrap_or_default()
    }

    /// Replaces the cells of a block by unused ones on these workers and records the old ones in
    /// `undo`.
    fn assign_cells(
        &mut self,
        fleet: &mut Fleet,
        key: BlockKey,
        workers: &[WorkerKey],
        undo: &mut Undo,
    ) {
        let size = self.get(key).cell_size();
        let cells = workers.iter().map(|w| Cell {
            worker: *w,
            size,
            used: 0,
        });
        let old = self.set_cells(fleet, key, cells.collect());
        undo.push((key, old));
    }

    /// Restores the cells that were replaced since `undo` had the length `start`.
    fn roll_back(&mut self, fleet: &mut Fleet, undo: &mut Undo, start: usize) {
        while undo.len() > start {
            if let Some((key, cells)) = undo.pop() {
                self.set_cells(fleet, key, cells);
            }
        }
    }

    /// Moves an unused block onto these workers, displacing other unused blocks. Returns whether
    /// that succeeded.
    pub fn relocate(&mut self, fleet: &mut Fleet, key: BlockKey, workers: &[WorkerKey]) -> bool {
        self.tries = DISPLACE_TRIES;
        self.displace(fleet, key, workers, DISPLACE_DEPTH, &mut Undo::new())
    }

    /// Covers a block on these workers and moves the unused blocks that are in the way elsewhere.
    /// Restores everything and returns false if one of them finds no other workers.
    fn displace(
        &mut self,
        fleet: &mut Fleet,
        key: BlockKey,
        workers: &[WorkerKey],
        depth: u8,
        undo: &mut Undo,
    ) -> bool {
        if self.tries == 0 {
            return false;
        }
        self.tries -= 1;
        let start = undo.len();
        self.assign_cells(fleet, key, &[], undo);
        let size = self.get(key).cell_size();
        let mut moved = Vec::new();
        for worker in workers {
            if !fleet.allows(self.get(key).set, *worker) {
                self.roll_back(fleet, undo, start);
                return false;
            }
            while fleet.slot(*worker).uncovered() < size {
                let Some(other) = self.displaceable(key, *worker) else {
                    self.roll_back(fleet, undo, start);
                    return false;
                };
                self.assign_cells(fleet, other, &[], undo);
                moved.push(other);
            }
        }
        self.assign_cells(fleet, key, workers, undo);
        moved.sort_by_key(|b| std::cmp::Reverse(self.get(*b).size));
        self.placed.push(key);
        let covered = moved
            .iter()
            .all(|b| self.cover(fleet, *b, depth.saturating_sub(1), undo));
        self.placed.pop();
        if !covered {
            self.roll_back(fleet, undo, start);
        }
        covered
    }

    /// Returns the smallest unused block with a cell on this worker.
    fn displaceable(&self, key: BlockKey, worker: WorkerKey) -> Option<BlockKey> {
        self.keys()
            .filter(|b| *b != key && !self.get(*b).in_use() && !self.placed.contains(b))
            .filter(|b| self.get(*b).cells.iter().any(|c| c.worker == worker))
            .min_by_key(|b| (self.get(*b).size, *b))
    }

    /// Covers the whole block, displacing unused blocks if `depth` allows it.
    fn cover(&mut self, fleet: &mut Fleet, key: BlockKey, depth: u8, undo: &mut Undo) -> bool {
        if let Some(workers) = self.find_workers(fleet, key) {
            self.assign_cells(fleet, key, &workers, undo);
            return true;
        }
        if depth == 0 {
            return false;
        }
        for workers in self.candidates(fleet, key) {
            if self.displace(fleet, key, &workers, depth - 1, undo) {
                return true;
            }
        }
        false
    }

    /// Returns the sets of workers that could cover a block if all unused blocks were gone.
    fn candidates(&self, fleet: &Fleet, key: BlockKey) -> Vec<Vec<WorkerKey>> {
        let block = self.get(key);
        let (size, count) = (block.cell_size(), block.cell_count());
        let in_use: Vec<u8> = self.cells_in_use(fleet);
        let fits = |w: &WorkerKey| {
            let slot = fleet.slot(*w);
            let free = slot
                .accels
                .saturating_sub(slot.pinned + in_use[usize::from(w.0)]);
            slot.schedulable() && free >= size && fleet.allows(block.set, *w)
        };
        if count == 1 {
            return fleet.keys().filter(fits).map(|w| vec![w]).collect();
        }
        let mut options = Vec::new();
        for rack in &fleet.racks {
            let mut workers: Vec<_> = rack.iter().copied().filter(|w| fits(w)).collect();
            workers.sort_by_key(|w| (fleet.slot(*w).guaranteed, *w));
            if workers.len() >= count {
                workers.truncate(count);
                options.push(workers);
            }
        }
        options
    }

    /// Returns the accelerators of each worker that are covered by blocks in use.
    fn cells_in_use(&self, fleet: &Fleet) -> Vec<u8> {
        let mut in_use = vec![0; fleet.slots.len()];
        for block in self.list.iter().filter(|b| b.in_use()) {
            for cell in &block.cells {
                in_use[usize::from(cell.worker.0)] += cell.size;
            }
        }
        in_use
    }

    /// Covers what is missing after workers were added or removed or gangs ended.
    ///
    /// If some blocks stay incomplete, covers all unused blocks again from scratch, and undoes that
    /// if it leaves more accelerators uncovered.
    pub fn repair(&mut self, fleet: &mut Fleet) {
        // Shrink unused blocks first, so that blocks in use keep their cells.
        let (in_use, unused): (Vec<_>, Vec<_>) = self.keys().partition(|k| self.get(*k).in_use());
        for key in unused.into_iter().chain(in_use) {
            self.shrink(fleet, key);
        }
        if self.missing() == 0 {
            return;
        }
        self.tries = DISPLACE_TRIES;
        self.repair_missing(fleet);
        let left = self.missing();
        if left == 0 {
            return;
        }
        let before: Vec<_> = self.list.iter().map(|b| b.cells.clone()).collect();
        self.rebuild_unused(fleet);
        if self.missing() > left {
            for (key, cells) in self.keys().zip(before) {
                self.set_cells(fleet, key, cells);
            }
        }
    }

    /// Returns the number of accelerators of all blocks that no cell covers.
    pub fn missing(&self) -> u32 {
        self.list.iter().map(Block::missing).sum()
    }

    /// Covers the incomplete blocks. Complete ones stay unless they are displaced.
    fn repair_missing(&mut self, fleet: &mut Fleet) {
        for key in self.largest_first(fleet) {
            if self.get(key).missing() == 0 {
                continue;
            }
            if self.get(key).in_use() {
                self.complete(fleet, key);
                continue;
            }
            self.set_cells(fleet, key, Vec::new());
            self.cover(fleet, key, DISPLACE_DEPTH, &mut Undo::new());
        }
        self.cover_parts(fleet);
    }

    /// Covers all unused blocks again from scratch, largest first.
    fn rebuild_unused(&mut self, fleet: &mut Fleet) {
        let order = self.largest_first(fleet);
        for key in &order {
            if !self.get(*key).in_use() {
                self.set_cells(fleet, *key, Vec::new());
            }
        }
        for key in &order {
            if self.get(*key).in_use() {
                self.complete(fleet, *key);
            }
        }
        for key in &order {
            if !self.get(*key).in_use() {
                self.cover(fleet, *key, DISPLACE_DEPTH, &mut Undo::new());
            }
        }
        self.cover_parts(fleet);
    }

    /// Covers incomplete unused blocks as far as one rack can.
    fn cover_parts(&mut self, fleet: &mut Fleet) {
        for key in self.largest_first(fleet) {
            if !self.get(key).in_use() && self.get(key).missing() > 0 {
                let workers = self.find_partial(fleet, key);
                self.assign_cells(fleet, key, &workers, &mut Undo::new());
            }
        }
    }

    /// Returns all blocks, the largest first and among those the ones with the fewest allowed
    /// workers.
    fn largest_first(&self, fleet: &Fleet) -> Vec<BlockKey> {
        let mut allowed = std::collections::BTreeMap::new();
        for block in &self.list {
            allowed
                .entry(block.set)
                .or_insert_with(|| fleet.keys().filter(|w| fleet.allows(block.set, *w)).count());
        }
        let mut order: Vec<_> = self.keys().collect();
        order.sort_by_key(|k| {
            let block = self.get(*k);
            (
                std::cmp::Reverse(block.size),
                allowed.get(&block.set).copied(),
                *k,
            )
        });
        order
    }

    /// Completes a block in use with workers of the same rack.
    fn complete(&mut self, fleet: &mut Fleet, key: BlockKey) {
        let block = self.get(key).clone();
        let Some(first) = block.cells.first() else {
            return;
        };
        let rack = fleet.slot(first.worker).rack;
        let mut cells = block.cells.clone();
        for cell in &mut cells {
            let slot = fleet.slot(cell.worker);
            if slot.uncovered() >= block.cell_size() - cell.size
                && fleet.allows(block.set, cell.worker)
            {
                cell.size = block.cell_size();
            }
        }
        for worker in fleet.racks[usize::from(rack.0)].clone() {
            let present = cells.iter().any(|c| c.worker == worker);
            let fits = fleet.slot(worker).uncovered() >= block.cell_size();
            if cells.len() < block.cell_count()
                && !present
                && fits
                && fleet.allows(block.set, worker)
            {
                cells.push(Cell {
                    worker,
                    size: block.cell_size(),
                    used: 0,
                });
            }
        }
        self.set_cells(fleet, key, cells);
    }
}
