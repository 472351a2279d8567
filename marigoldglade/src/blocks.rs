//! Blocks of adjacent accelerators that guarantees promise, and where they lie.
//!
//! Each block of a guarantee is covered by cells on workers: one cell for a block of up to a
//! worker, a cell of a whole worker each for a larger one, all in one rack. A block that no gang
//! of its workspace uses may move at any time; one in use is bound to where it lies, as in HiveD
//! (Zhao et al., OSDI 2020). Cells never overlap and only work of the block's own workspace, or
//! work that can be stopped, lies in them, so every unused block can be had by stopping borrowers.
//!
//! Sizes are powers of two. Since each divides the next, placing the larger blocks first is
//! exact where all workers are allowed: a block of size `s` takes `s / t` places of each smaller
//! size `t` away wherever it goes.

use crate::api::WORKER_ACCELS;
use crate::fleet::{Fleet, SetKey};
use crate::plan::WorkerKey;

/// A block within one planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BlockKey(pub u32);

/// A workspace within one planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkspaceKey(pub u16);

/// The part of a block on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Cell {
    pub worker: WorkerKey,
    pub size: u8,
    /// Accelerators in use by gangs of the block's own workspace.
    pub used: u8,
}

/// One block of a guarantee.
#[derive(Clone, Debug)]
pub(crate) struct Block {
    pub workspace: WorkspaceKey,
    /// The accelerators promised, a power of two.
    pub size: u16,
    /// Where the workspace's work may run.
    pub set: SetKey,
    pub cells: Vec<Cell>,
}

impl Block {
    /// Returns whether a gang of its workspace uses it.
    pub fn in_use(&self) -> bool {
        self.cells.iter().any(|c| c.used > 0)
    }

    /// Returns the accelerators that the block promises and doesn't cover.
    pub fn missing(&self) -> u32 {
        let covered: u32 = self.cells.iter().map(|c| u32::from(c.size)).sum();
        u32::from(self.size).saturating_sub(covered)
    }

    /// Returns the size of each of its cells.
    pub fn cell_size(&self) -> u8 {
        u8::try_from(self.size).map_or(WORKER_ACCELS, |s| s.min(WORKER_ACCELS))
    }

    /// Returns the number of cells when it is whole.
    pub fn cell_count(&self) -> usize {
        usize::from(self.size.div_ceil(u16::from(WORKER_ACCELS)))
    }
}

/// All blocks of a data centre.
#[derive(Clone, Debug, Default)]
pub(crate) struct Blocks {
    pub list: Vec<Block>,
    /// Displacements that may still be tried in this repair.
    tries: u32,
    /// Blocks that a displacement under way has placed, which must not move again.
    placed: Vec<BlockKey>,
}

/// What a try changed, to be undone when it fails.
type Undo = Vec<(BlockKey, Vec<Cell>)>;

/// The most displacements in a row when a block makes room for another.
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

    /// Replaces the cells of a block and counts them at the workers.
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

    /// Counts `accels` more in use in the block's cell on `worker`.
    pub fn charge(&mut self, key: BlockKey, worker: WorkerKey, accels: u8) {
        let block = &mut self.list[key.0 as usize];
        if let Some(cell) = block.cells.iter_mut().find(|c| c.worker == worker) {
            cell.used += accels;
        }
    }

    /// Counts `accels` fewer in use; a cell on a worker that takes no work shrinks with it.
    pub fn discharge(&mut self, fleet: &mut Fleet, key: BlockKey, worker: WorkerKey, accels: u8) {
        let block = &mut self.list[key.0 as usize];
        if let Some(cell) = block.cells.iter_mut().find(|c| c.worker == worker) {
            cell.used -= accels.min(cell.used);
        }
        self.shrink(fleet, key);
    }

    /// Cuts the cells on workers that take no new work down to what is in use there, and those
    /// that overlap with pinned gangs to what is left.
    pub fn shrink(&mut self, fleet: &mut Fleet, key: BlockKey) {
        let block = self.get(key);
        let fits =
            |c: &Cell| fleet.slot(c.worker).schedulable() && fleet.allows(block.set, c.worker);
        let over = |c: &Cell| {
            let slot = fleet.slot(c.worker);
            (slot.guaranteed + slot.pinned).saturating_sub(slot.accels)
        };
        if block.cells.iter().all(|c| fits(c) && over(c) == 0) {
            return;
        }
        let cells = block.cells.iter().map(|c| Cell {
            size: match fits(c) {
                true => c.size.saturating_sub(over(c)).max(c.used),
                false => c.used,
            },
            ..*c
        });
        let cells = cells.filter(|c| c.size > 0).collect();
        self.set_cells(fleet, key, cells);
    }

    /// Returns where an uncovered block of this size can lie, tightest first.
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

    /// Returns the largest share of a block that one rack can cover now.
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

    fn roll_back(&mut self, fleet: &mut Fleet, undo: &mut Undo, mark: usize) {
        while undo.len() > mark {
            if let Some((key, cells)) = undo.pop() {
                self.set_cells(fleet, key, cells);
            }
        }
    }

    /// Moves an unused block onto these workers; others that are unused make room.
    pub fn relocate(&mut self, fleet: &mut Fleet, key: BlockKey, workers: &[WorkerKey]) -> bool {
        self.tries = DISPLACE_TRIES;
        self.displace(fleet, key, workers, DISPLACE_DEPTH, &mut Undo::new())
    }

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
        let mark = undo.len();
        self.assign_cells(fleet, key, &[], undo);
        let size = self.get(key).cell_size();
        let mut moved = Vec::new();
        for worker in workers {
            if !fleet.allows(self.get(key).set, *worker) {
                self.roll_back(fleet, undo, mark);
                return false;
            }
            while fleet.slot(*worker).uncovered() < size {
                let Some(other) = self.displaceable(key, *worker) else {
                    self.roll_back(fleet, undo, mark);
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
            self.roll_back(fleet, undo, mark);
        }
        covered
    }

    /// Returns an unused block on the worker, the smallest first.
    fn displaceable(&self, key: BlockKey, worker: WorkerKey) -> Option<BlockKey> {
        self.keys()
            .filter(|b| *b != key && !self.get(*b).in_use() && !self.placed.contains(b))
            .filter(|b| self.get(*b).cells.iter().any(|c| c.worker == worker))
            .min_by_key(|b| (self.get(*b).size, *b))
    }

    /// Covers a block whole, displacing unused ones when `depth` allows it.
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

    /// Returns the places that a block could take if unused ones went away.
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
        let mut places = Vec::new();
        for rack in &fleet.racks {
            let mut workers: Vec<_> = rack.iter().copied().filter(|w| fits(w)).collect();
            workers.sort_by_key(|w| (fleet.slot(*w).guaranteed, *w));
            if workers.len() >= count {
                workers.truncate(count);
                places.push(workers);
            }
        }
        places
    }

    fn cells_in_use(&self, fleet: &Fleet) -> Vec<u8> {
        let mut in_use = vec![0; fleet.slots.len()];
        for block in self.list.iter().filter(|b| b.in_use()) {
            for cell in &block.cells {
                in_use[usize::from(cell.worker.0)] += cell.size;
            }
        }
        in_use
    }

    /// Covers what is missing after workers came, went or gangs ended.
    ///
    /// Keeps the cover there is when no better one is found.
    pub fn repair(&mut self, fleet: &mut Fleet) {
        // Unused blocks make way first.
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

    /// Returns the accelerators that all blocks promise and don't cover.
    pub fn missing(&self) -> u32 {
        self.list.iter().map(Block::missing).sum()
    }

    /// Covers the blocks that aren't whole and leaves the others where they lie.
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

    /// Lays all unused blocks anew, the largest first.
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

    /// Covers as much as one rack has of each block that can't be whole.
    fn cover_parts(&mut self, fleet: &mut Fleet) {
        for key in self.largest_first(fleet) {
            if !self.get(key).in_use() && self.get(key).missing() > 0 {
                let workers = self.find_partial(fleet, key);
                self.assign_cells(fleet, key, &workers, &mut Undo::new());
            }
        }
    }

    /// Returns all blocks, the largest and least movable first.
    fn largest_first(&self, fleet: &Fleet) -> Vec<BlockKey> {
        let mut sizes = std::collections::BTreeMap::new();
        for block in &self.list {
            sizes
                .entry(block.set)
                .or_insert_with(|| fleet.keys().filter(|w| fleet.allows(block.set, *w)).count());
        }
        let mut order: Vec<_> = self.keys().collect();
        order.sort_by_key(|k| {
            let block = self.get(*k);
            (
                std::cmp::Reverse(block.size),
                sizes.get(&block.set).copied(),
                *k,
            )
        });
        order
    }

    /// Completes a block in use with what lies next to it.
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
            let there = cells.iter().any(|c| c.worker == worker);
            let fits = fleet.slot(worker).uncovered() >= block.cell_size();
            if cells.len() < block.cell_count() && !there && fits && fleet.allows(block.set, worker)
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
