//! Placement of gangs inside the guarantee of their own workspace.
//!
//! A gang that runs inside the guarantee is charged to blocks of the workspace. An unused block may
//! be moved to workers where the gang costs less preemption.

use crate::api::{Shape, WORKER_ACCELS};
use crate::blocks::{BlockKey, WorkspaceKey};
use crate::fleet::Slot;
use crate::job::{Assignment, Charge, Stage, needs};
use crate::place::{GangSpec, Level, search};
use crate::plan::{JobKey, WorkerKey};
use crate::planner::Planner;
use crate::reclaim::{Claim, Cost, Victims, find_victims};
use crate::time::UnixMs;

/// The most sets of workers that a block is tried on when it is moved for a gang.
const MOVE_TRIES: usize = 4;

/// A placement inside a guarantee and the gangs that have to stop for it.
#[derive(Clone, Debug)]
pub(crate) struct GuaranteedPlacement {
    pub assignments: Vec<Assignment>,
    pub charges: Vec<Charge>,
    pub victims: Victims,
}

impl Planner {
    /// Returns whether the blocks of the workspace, when all are fully covered and unused, could
    /// hold the gang.
    pub(crate) fn guarantee_holds(
        &self,
        workspace: WorkspaceKey,
        shape: Shape,
        level: Level,
    ) -> bool {
        let each = |b: &BlockKey| {
            let block = self.blocks.get(*b);
            usize::from(block.cell_size() / shape.accels.max(1)) * block.cell_count()
        };
        let blocks = self.workspace(workspace).blocks.iter();
        let tasks = usize::from(shape.tasks);
        match level {
            Level::Worker | Level::Rack => blocks.map(each).any(|n| n >= tasks),
            Level::Centre => blocks.map(each).sum::<usize>() >= tasks,
        }
    }

    /// Returns the placement of a waiting gang inside its workspace's guarantee that needs the
    /// least preemption.
    ///
    /// `avoid_draining` excludes workers that are drained for another gang of the workspace.
    pub(crate) fn place_in_guarantee(
        &mut self,
        now: UnixMs,
        job: JobKey,
        spec: GangSpec,
        avoid_draining: bool,
    ) -> Option<GuaranteedPlacement> {
        let workspace = self.jobs.get(&job)?.workspace;
        let avoid_draining = avoid_draining
            && self
                .drain
                .as_ref()
                .is_some_and(|d| d.class.workspace == workspace);
        let here = self.place_in_blocks(now, workspace, spec, avoid_draining);
        if here
            .as_ref()
            .is_some_and(|placement| placement.victims.cost.is_none())
            || spec.level == Level::Centre
        {
            return here;
        }
        let Some(block) = self.unused_block(workspace, spec) else {
            return here;
        };
        let cost = here.as_ref().and_then(|placement| placement.victims.cost);
        let cost_limit = here.is_some().then_some(cost);
        self.relocate_cheaper(now, block, spec, cost_limit, avoid_draining)
            .or(here)
    }

    /// Returns the placement with the least preemption if no block is moved.
    fn place_in_blocks(
        &self,
        now: UnixMs,
        workspace: WorkspaceKey,
        spec: GangSpec,
        avoid_draining: bool,
    ) -> Option<GuaranteedPlacement> {
        let blocks = &self.workspace(workspace).blocks;
        if spec.level == Level::Centre {
            return self.place_in_cells(now, blocks, spec, avoid_draining);
        }
        let options = blocks.iter().filter_map(|key| {
            let placement = self.place_in_cells(now, &[*key], spec, avoid_draining)?;
            let block = self.blocks.get(*key);
            Some((
                (placement.victims.cost, !block.in_use(), block.size, *key),
                placement,
            ))
        });
        options
            .min_by_key(|(rank, _)| *rank)
            .map(|(_, placement)| placement)
    }

    /// Returns the placement of a gang in the free cells of these blocks.
    fn place_in_cells(
        &self,
        now: UnixMs,
        blocks: &[BlockKey],
        spec: GangSpec,
        avoid_draining: bool,
    ) -> Option<GuaranteedPlacement> {
        let mut caps = Vec::new();
        for key in blocks {
            for cell in &self.blocks.get(*key).cells {
                let slot = self.fleet.slot(cell.worker);
                let draining = slot.draining && avoid_draining;
                let fits =
                    slot.schedulable() && !draining && self.fleet.allows(spec.set, cell.worker);
                let tasks = u16::from((cell.size - cell.used) / spec.accels);
                if fits && tasks > 0 {
                    caps.push((tasks, cell.worker, *key));
                }
            }
        }
        let spread = spread(spec, caps)?;
        let charge = |(assignment, block): &(Assignment, BlockKey)| Charge {
            block: *block,
            worker: assignment.worker,
            accels: u8::try_from(assignment.tasks * u16::from(spec.accels)).unwrap_or(u8::MAX),
        };
        let charges = spread.iter().map(charge).collect();
        let assignments = merge(spread.into_iter().map(|(assignment, _)| assignment));
        let needs = needs(&assignments, spec.accels);
        let order = self.policy.victim_order;
        let victims = find_victims(
            &self.fleet,
            &self.jobs,
            &needs,
            Claim::Guarantee,
            order,
            now,
        )?;
        Some(GuaranteedPlacement {
            assignments,
            charges,
            victims,
        })
    }

    /// Returns the smallest unused block that could hold the gang.
    fn unused_block(&self, workspace: WorkspaceKey, spec: GangSpec) -> Option<BlockKey> {
        let holds = |key: &BlockKey| {
            let block = self.blocks.get(*key);
            let tasks = u16::from(block.cell_size() / spec.accels);
            let cells = u16::try_from(block.cell_count()).unwrap_or(u16::MAX);
            !block.in_use() && tasks * cells >= spec.tasks
        };
        let blocks = self.workspace(workspace).blocks.iter().copied();
        blocks
            .filter(holds)
            .min_by_key(|k| (self.blocks.get(*k).size, *k))
    }

    /// Moves an unused block to workers where the gang costs less than `cost_limit`, if there are
    /// any, and returns the placement there.
    fn relocate_cheaper(
        &mut self,
        now: UnixMs,
        block: BlockKey,
        spec: GangSpec,
        cost_limit: Option<Cost>,
        avoid_draining: bool,
    ) -> Option<GuaranteedPlacement> {
        let mut options = self.relocation_options(now, block, spec);
        let draining = |w: &WorkerKey| avoid_draining && self.fleet.slot(*w).draining;
        options
            .retain(|(cost, ws)| cost_limit.is_none_or(|b| *cost < b) && !ws.iter().any(draining));
        options.sort();
        for (_, workers) in options.into_iter().take(MOVE_TRIES) {
            if self.blocks.relocate(&mut self.fleet, block, &workers) {
                return self.place_in_cells(now, &[block], spec, avoid_draining);
            }
        }
        None
    }

    /// Returns the sets of workers that a block could be moved to, each with the cost of placing
    /// the gang there.
    fn relocation_options(
        &self,
        now: UnixMs,
        block: BlockKey,
        spec: GangSpec,
    ) -> Vec<(Cost, Vec<WorkerKey>)> {
        let block = self.blocks.get(block);
        let count = block.cell_count();
        let usable = |w: &WorkerKey| {
            let slot = self.fleet.slot(*w);
            slot.schedulable()
                && slot.accels >= block.cell_size()
                && self.fleet.allows(block.set, *w)
                && self.fleet.allows(spec.set, *w)
        };
        let each = u8::try_from(u16::from(block.cell_size() / spec.accels).min(spec.tasks));
        let need = each.unwrap_or(u8::MAX).saturating_mul(spec.accels);
        let cost = |w: WorkerKey| {
            let order = self.policy.victim_order;
            let needs = [(w, need)];
            find_victims(
                &self.fleet,
                &self.jobs,
                &needs,
                Claim::Guarantee,
                order,
                now,
            )
            .map(|v| v.cost)
        };
        if count == 1 {
            let workers = self.fleet.keys().filter(usable);
            return workers.filter_map(|w| Some((cost(w)?, vec![w]))).collect();
        }
        let mut options = Vec::new();
        for rack in &self.fleet.racks {
            let workers = rack.iter().copied().filter(usable);
            let mut costs: Vec<_> = workers.filter_map(|w| Some((cost(w)?, w))).collect();
            costs.sort();
            costs.truncate(count);
            if costs.len() == count {
                let most = costs.last().and_then(|c| c.0);
                options.push((most, costs.into_iter().map(|(_, w)| w).collect()));
            }
        }
        options
    }

    /// Charges a gang's accelerators to blocks.
    pub(crate) fn charge(&mut self, job: JobKey, charges: Vec<Charge>) {
        for charge in &charges {
            self.blocks
                .charge(charge.block, charge.worker, charge.accels);
        }
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.charges = charges;
        }
    }

    /// Recomputes the charges of gangs that were charged before or aren't preemptible. Those that
    /// aren't preemptible come first, and larger gangs before smaller ones.
    pub(crate) fn recharge_all(&mut self) {
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
            self.charge_in_place(job);
        }
    }

    /// Charges a gang to its workspace's guarantee on the workers that it already uses.
    ///
    /// If no block can cover it there, a gang that isn't preemptible is pinned; a preemptible one
    /// borrows.
    pub(crate) fn charge_in_place(&mut self, job: JobKey) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        let (workspace, needs, preemptible) =
            (entry.workspace, entry.needs(), entry.request.preemptible);
        self.set_pinned(job, false);
        let mut charges = Vec::new();
        for (worker, accels) in &needs {
            let Some(block) = self.covering_block(workspace, *worker, *accels, &needs) else {
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
        self.set_pinned(job, !preemptible);
    }

    /// Sets whether a job is pinned and counts its accelerators at its workers.
    fn set_pinned(&mut self, job: JobKey, pinned: bool) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let before = std::mem::replace(&mut entry.pinned, pinned);
        if before == pinned {
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
        self.repair_due = true;
    }

    /// Returns a block with a cell on this worker that has `accels` unused; an unused block may be
    /// moved there.
    fn covering_block(
        &mut self,
        workspace: WorkspaceKey,
        worker: WorkerKey,
        accels: u8,
        gang: &[(WorkerKey, u8)],
    ) -> Option<BlockKey> {
        let mut blocks = self.workspace(workspace).blocks.clone();
        let covers = |k: &BlockKey| {
            let cells = self.blocks.get(*k).cells.iter();
            let mut cells = cells.filter(|c| c.worker == worker);
            cells.any(|c| c.size - c.used >= accels) && self.blocks.get(*k).in_use()
        };
        if let Some(key) = blocks.iter().copied().find(covers) {
            return Some(key);
        }
        let rack = self.fleet.slot(worker).rack;
        let near = |w: &WorkerKey| self.fleet.slot(*w).rack == rack;
        let gang: Vec<_> = gang.iter().map(|(w, _)| *w).filter(near).collect();
        blocks.retain(|k| {
            let block = self.blocks.get(*k);
            !block.in_use() && block.cell_size() >= accels
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
        blocks
            .into_iter()
            .find(|k| self.relocate_to(*k, worker, &gang))
    }

    /// Moves an unused block onto this worker and others of its rack, preferring those of the gang.
    fn relocate_to(&mut self, key: BlockKey, worker: WorkerKey, gang: &[WorkerKey]) -> bool {
        let count = self.blocks.get(key).cell_count();
        let size = self.blocks.get(key).cell_size();
        let set = self.blocks.get(key).set;
        let rack = self.fleet.slot(worker).rack;
        let Some(members) = self.fleet.racks.get(usize::from(rack.0)) else {
            return false;
        };
        let fits = |w: &WorkerKey| {
            let slot: Slot = self.fleet.slot(*w);
            slot.schedulable()
                && slot.accels - slot.pinned.min(slot.accels) >= size
                && self.fleet.allows(set, *w)
        };
        let mut workers: Vec<_> = members.iter().copied().filter(fits).collect();
        workers.sort_by_key(|w| {
            let slot = self.fleet.slot(*w);
            (*w != worker, !gang.contains(w), slot.guaranteed, *w)
        });
        workers.truncate(count);
        workers.len() == count
            && workers.contains(&worker)
            && self.blocks.relocate(&mut self.fleet, key, &workers)
    }

    /// Returns a placement outside the guarantee, given the free accelerators of each worker.
    pub(crate) fn place_outside(
        &self,
        spec: GangSpec,
        free: impl Fn(WorkerKey, Slot) -> u8,
    ) -> Option<Vec<Assignment>> {
        search(&self.fleet, spec, self.policy.fit, free)
    }
}

/// Spreads a gang over cells, given the tasks that each can hold. A gang that fits one worker gets
/// the cell with the least space left over; a larger one gets the largest cells first.
fn spread(
    spec: GangSpec,
    mut caps: Vec<(u16, WorkerKey, BlockKey)>,
) -> Option<Vec<(Assignment, BlockKey)>> {
    let single = spec.block() <= u32::from(WORKER_ACCELS) && spec.level == Level::Worker;
    if single {
        let fits = caps.into_iter().filter(|(cap, ..)| *cap >= spec.tasks);
        let (_, worker, block) = fits.min()?;
        let tasks = spec.tasks;
        return Some(vec![(Assignment { worker, tasks }, block)]);
    }
    caps.sort_by_key(|(cap, worker, block)| (std::cmp::Reverse(*cap), *worker, *block));
    let mut left = spec.tasks;
    let mut assignments = Vec::new();
    for (cap, worker, block) in caps {
        let tasks = cap.min(left);
        if tasks > 0 {
            assignments.push((Assignment { worker, tasks }, block));
        }
        left -= tasks;
    }
    (left == 0).then_some(assignments)
}

/// Merges the assignments to the same worker.
fn merge(assignments: impl Iterator<Item = Assignment>) -> Vec<Assignment> {
    let mut merged: Vec<Assignment> = Vec::new();
    for assignment in assignments {
        match merged.iter_mut().find(|s| s.worker == assignment.worker) {
            Some(same) => same.tasks += assignment.tasks,
            None => merged.push(assignment),
        }
    }
    merged
}
