//! The reserve: accelerators that are kept free for urgent work.
//!
//! Stopping a gang takes its grace period, so the accelerators that urgent work may need within one
//! grace period have to be free before it arrives. The size of the reserve follows from the urgent
//! gangs that arrived within [`HISTORY_MS`]. Less urgent gangs that borrow are stopped if there are
//! not enough free accelerators.

use std::collections::VecDeque;

use crate::api::WORKER_ACCELS;
use crate::order::ClassKey;
use crate::plan::{Action, JobRequest, WorkerKey};
use crate::planner::Planner;
use crate::reclaim::{Claim, Cost, find_victims};
use crate::time::UnixMs;

/// The urgency of work that may use the reserve. Less urgent work may not.
pub const URGENT: u8 = 0;
/// How long an urgent gang counts for the size of the reserve, in milliseconds.
pub const HISTORY_MS: u64 = 600_000;
/// The time in which a stop frees accelerators to refill the reserve, in milliseconds.
pub const REFILL_MS: u64 = 20_000;
/// At most one in this many accelerators of the data centre is reserved.
pub const FLEET_DIVISOR: u32 = 8;
/// The limit on the number of urgent gangs in the history.
const HISTORY_LIMIT: usize = 1_024;

/// The recent urgent gangs and the workers with reserved accelerators.
#[derive(Default)]
pub(crate) struct Reserve {
    recent: VecDeque<(UnixMs, u8)>,
    /// The workers with reserved accelerators.
    pub workers: Vec<WorkerKey>,
}

impl Reserve {
    /// Adds an urgent gang that fits one worker to the history.
    fn record(&mut self, now: UnixMs, accels: u8) {
        if self.recent.len() >= HISTORY_LIMIT {
            self.recent.pop_front();
        }
        self.recent.push_back((now, accels));
    }

    /// Returns for how many urgent gangs to reserve accelerators, and how many accelerators for
    /// each.
    ///
    /// The number of gangs is one more than the largest number that arrived within [`REFILL_MS`].
    /// The accelerators are those of the largest gang in the history.
    fn needed_gangs(&mut self, now: UnixMs) -> (u32, u8) {
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| now.since(*at) > HISTORY_MS)
        {
            self.recent.pop_front();
        }
        let size = self.recent.iter().map(|(_, a)| *a).max().unwrap_or(0);
        let mut most = 0;
        let mut from = 0;
        for (i, (at, _)) in self.recent.iter().enumerate() {
            while at.since(self.recent[from].0) > REFILL_MS {
                from += 1;
            }
            most = most.max(i + 1 - from);
        }
        let count = if size == 0 { 0 } else { most + 1 };
        (u32::try_from(count).unwrap_or(u32::MAX), size)
    }
}

impl Planner {
    /// Adds the job to the history if it is urgent and fits one worker.
    pub(crate) fn record_urgent(&mut self, now: UnixMs, request: &JobRequest) {
        let total = u8::try_from(request.shape.total()).unwrap_or(u8::MAX);
        if self.policy.reserve && request.urgency == URGENT && total <= WORKER_ACCELS {
            self.reserve.record(now, total.next_power_of_two());
        }
    }

    /// Chooses again which accelerators are reserved and stops gangs that use them.
    pub(crate) fn update_reserve(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if !self.policy.reserve {
            return;
        }
        let (count, size) = self.reserve.needed_gangs(now);
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

    /// Reserves accelerators that are free already, on the workers with the fewest guaranteed ones
    /// first. Returns for how many gangs accelerators are still missing.
    fn reserve_free(&mut self, mut left: u32, size: u8) -> u32 {
        let schedulable = self
            .fleet
            .keys()
            .filter(|w| self.fleet.slot(*w).schedulable());
        let free =
            schedulable.map(|w| (self.fleet.slot(w).guaranteed, self.fleet.slot(w).free(), w));
        let mut free: Vec<_> = free.filter(|(_, f, _)| *f >= size).collect();
        free.sort_unstable();
        for (_, free, worker) in free {
            let gangs = left.min(u32::from(free / size));
            if gangs == 0 {
                break;
            }
            left -= gangs;
            let accels = u8::try_from(gangs).unwrap_or(u8::MAX) * size;
            self.set_reserved(worker, accels);
        }
        left
    }

    /// Reserves accelerators for `left` more gangs where the least preemption is needed.
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

    /// Sets the number of accelerators that are reserved on a worker.
    fn set_reserved(&mut self, worker: WorkerKey, accels: u8) {
        self.fleet.slot_mut(worker).reserved = accels;
        self.reserve.workers.retain(|w| *w != worker);
        self.reserve.workers.push(worker);
    }

    /// Returns the cost, on each worker, of reserving accelerators for one more gang: the
    /// preemption, then the guaranteed accelerators, then the free ones.
    fn reserve_costs(&self, now: UnixMs, size: u8) -> Vec<((Cost, u8, u8), WorkerKey)> {
        let cost = |w: WorkerKey| {
            let order = self.policy.victim_order;
            let claim = Claim::Urgent(URGENT);
            let slot = self.fleet.slot(w);
            let needs = [(w, slot.reserved + size)];
            let v = find_victims(&self.fleet, &self.jobs, &needs, claim, order, now)?;
            Some(((v.cost, slot.guaranteed, slot.free_after_stops()), w))
        };
        let schedulable = self
            .fleet
            .keys()
            .filter(|w| self.fleet.slot(*w).schedulable());
        schedulable.filter_map(cost).collect()
    }

    /// Reserves `accels` of a worker and stops the gangs in the way. Returns false if they can't be
    /// freed.
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

    /// Returns whether jobs of a class may use reserved accelerators.
    pub(crate) fn may_use_reserve(class: ClassKey) -> bool {
        class.urgency == URGENT
    }
}
