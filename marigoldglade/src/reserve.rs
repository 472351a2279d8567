//! Accelerators that are kept free for urgent work.
//!
//! Urgent gangs that come flow in; the workers on which others leave room, and the gangs that
//! have to stop for it, flow out. A stop takes its grace, so what urgent work may need within one
//! grace has to be free before it comes.

use std::collections::VecDeque;

use crate::api::WORKER_ACCELS;
use crate::order::ClassKey;
use crate::plan::{Action, JobRequest, WorkerKey};
use crate::planner::Planner;
use crate::reclaim::{Claim, Cost, find_victims};
use crate::time::UnixMs;

/// The least urgent work for which room is kept.
pub const URGENT: u8 = 0;
/// How long an urgent gang is remembered, in milliseconds.
pub const HISTORY_MS: u64 = 600_000;
/// The time within which a stop gives room back, in milliseconds.
pub const REFILL_MS: u64 = 20_000;
/// One in this many accelerators may be kept free at most.
pub const FLEET_DIVISOR: u32 = 8;
/// The most urgent gangs that are remembered.
const HISTORY_LIMIT: usize = 1_024;

/// Urgent gangs that came of late.
#[derive(Default)]
pub(crate) struct Reserve {
    seen: VecDeque<(UnixMs, u8)>,
    /// Workers of which something is kept free.
    pub workers: Vec<WorkerKey>,
}

impl Reserve {
    /// Remembers an urgent gang that fits a worker.
    fn record(&mut self, now: UnixMs, accels: u8) {
        if self.seen.len() >= HISTORY_LIMIT {
            self.seen.pop_front();
        }
        self.seen.push_back((now, accels));
    }

    /// Returns the blocks to keep free, and the size of each.
    ///
    /// The most that came within one refill, and one more.
    fn target(&mut self, now: UnixMs) -> (u32, u8) {
        while self
            .seen
            .front()
            .is_some_and(|(at, _)| now.since(*at) > HISTORY_MS)
        {
            self.seen.pop_front();
        }
        let size = self.seen.iter().map(|(_, a)| *a).max().unwrap_or(0);
        let mut most = 0;
        let mut from = 0;
        for (i, (at, _)) in self.seen.iter().enumerate() {
            while at.since(self.seen[from].0) > REFILL_MS {
                from += 1;
            }
            most = most.max(i + 1 - from);
        }
        let count = if size == 0 { 0 } else { most + 1 };
        (u32::try_from(count).unwrap_or(u32::MAX), size)
    }
}

impl Planner {
    /// Notes an urgent gang that came.
    pub(crate) fn record_urgent(&mut self, now: UnixMs, request: &JobRequest) {
        let total = u8::try_from(request.shape.total()).unwrap_or(u8::MAX);
        if self.policy.reserve && request.urgency == URGENT && total <= WORKER_ACCELS {
            self.reserve.record(now, total.next_power_of_two());
        }
    }

    /// Chooses the workers that are kept free anew and stops what is in the way.
    pub(crate) fn update_reserve(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if !self.policy.reserve {
            return;
        }
        let (count, size) = self.reserve.target(now);
        for worker in std::mem::take(&mut self.reserve.workers) {
            self.fleet.slot_mut(worker).reserved = 0;
        }
        if size == 0 {
            return;
        }
        let limit = self.fleet.slots.iter().filter(|s| s.schedulable());
        let limit: u32 = limit.map(|s| u32::from(s.accels)).sum::<u32>() / FLEET_DIVISOR;
        let left = count.min(limit / u32::from(size));
        let left = self.reserve_free(left, size);
        self.reserve_with_stops(now, left, size, out);
    }

    /// Keeps what is free already, on the workers that are promised least; returns the blocks
    /// that are left to find.
    fn reserve_free(&mut self, mut left: u32, size: u8) -> u32 {
        let open = self
            .fleet
            .keys()
            .filter(|w| self.fleet.slot(*w).schedulable());
        let free = open.map(|w| (self.fleet.slot(w).guaranteed, self.fleet.slot(w).free(), w));
        let mut free: Vec<_> = free.filter(|(_, f, _)| *f >= size).collect();
        free.sort_unstable();
        for (_, free, worker) in free {
            let blocks = left.min(u32::from(free / size));
            if blocks == 0 {
                break;
            }
            left -= blocks;
            let accels = u8::try_from(blocks).unwrap_or(u8::MAX) * size;
            self.set_reserved(worker, accels);
        }
        left
    }

    /// Stops what is cheapest for the blocks that aren't free yet.
    fn reserve_with_stops(&mut self, now: UnixMs, mut left: u32, size: u8, out: &mut Vec<Action>) {
        if left == 0 {
            return;
        }
        let mut costs = self.reserve_costs(now, size);
        costs.sort_unstable();
        for (_, worker) in costs {
            loop {
                let accels = self.fleet.slot(worker).reserved + size;
                if left == 0 || !self.preempt_for_reserve(now, worker, accels, out) {
                    break;
                }
                left -= 1;
            }
        }
    }

    fn set_reserved(&mut self, worker: WorkerKey, accels: u8) {
        self.fleet.slot_mut(worker).reserved = accels;
        self.reserve.workers.retain(|w| *w != worker);
        self.reserve.workers.push(worker);
    }

    /// Returns the workers by what a block there costs, then by how much of them is promised.
    fn reserve_costs(&self, now: UnixMs, size: u8) -> Vec<((Cost, u8, u8), WorkerKey)> {
        let cost = |w: WorkerKey| {
            let order = self.policy.victim_order;
            let claim = Claim::Urgent(URGENT);
            let slot = self.fleet.slot(w);
            let needs = [(w, slot.reserved + size)];
            let v = find_victims(&self.fleet, &self.jobs, &needs, claim, order, now)?;
            Some(((v.cost, slot.guaranteed, slot.free_after_stops()), w))
        };
        let open = self
            .fleet
            .keys()
            .filter(|w| self.fleet.slot(*w).schedulable());
        open.filter_map(cost).collect()
    }

    /// Keeps `accels` of a worker free, if that can be; stops what is there.
    fn preempt_for_reserve(
        &mut self,
        now: UnixMs,
        worker: WorkerKey,
        accels: u8,
        out: &mut Vec<Action>,
    ) -> bool {
        let needs = [(worker, accels)];
        let (claim, order) = (Claim::Urgent(URGENT), self.policy.victim_order);
        let Some(found) = find_victims(&self.fleet, &self.jobs, &needs, claim, order, now) else {
            return false;
        };
        for victim in found.jobs {
            self.stop(now, victim, &crate::plan::Reason::Reserved, out);
        }
        self.set_reserved(worker, accels);
        true
    }

    /// Returns whether work of a class may take what is kept free.
    pub(crate) fn may_use_reserve(class: ClassKey) -> bool {
        class.urgency == URGENT
    }
}
