//! One round over the waiting classes in their order.
//!
//! The planner's state flows in; starts, stops and reasons flow out.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crate::fleet::Slot;
use crate::job::{Charge, Spot, Stage, needs};
use crate::order::{ClassKey, QueueOrder, Rank};
use crate::own::Own;
use crate::place::Wish;
use crate::plan::{Action, JobKey, Reason, WorkerKey};
use crate::planner::Planner;
use crate::reclaim::{Claim, Victims, cheapest};
use crate::time::UnixMs;

/// The most classes that are tried in one step; the rest waits for the next.
const TRIES_LIMIT: u32 = 1_024;
/// The most workspaces that a reason names.
const HOLDERS_LIMIT: usize = 3;
/// The speed of a gang that stops for urgent work, in percent.
const THROTTLE_PERCENT: u8 = 10;

/// Where a gang goes.
pub(crate) enum Found {
    /// Inside its workspace's guarantee.
    Inside(Own),
    /// On borrowed accelerators, once these gangs are gone.
    Outside(Vec<Spot>, Victims),
}

impl Planner {
    /// Starts what can be started.
    pub(crate) fn decide(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        self.start_pending(now, out);
        self.check_drain();
        let classes: Vec<_> = if std::mem::take(&mut self.stale) {
            self.queue.classes.keys().copied().collect()
        } else {
            self.fresh.iter().copied().collect()
        };
        self.fresh.clear();
        let ranks = classes.into_iter().filter_map(|c| Some((self.rank(c)?, c)));
        let mut heap: BinaryHeap<_> = ranks.map(Reverse).collect();
        let mut tries = 0;
        let mut failed = BTreeSet::new();
        while let Some(Reverse((rank, class))) = heap.pop() {
            let Some(current) = self.rank(class) else {
                continue;
            };
            if current > rank {
                heap.push(Reverse((current, class)));
                continue;
            }
            tries += 1;
            if tries > TRIES_LIMIT {
                self.stale = true;
                break;
            }
            match self.try_head(now, class, current.job, &mut failed, out) {
                None => heap.extend(self.rank(class).map(|r| Reverse((r, class)))),
                Some(reason) => {
                    self.tell_wait(class, current.job, reason, out);
                    if self.policy.order == QueueOrder::Fifo {
                        break;
                    }
                }
            }
        }
    }

    /// Fills up what urgent work took.
    pub(crate) fn refill(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.reserve_torn) {
            self.keep_reserve(now, out);
        }
    }

    /// Returns the rank of a class's head.
    fn rank(&self, class: ClassKey) -> Option<Rank> {
        let (span, since, job) = self.queue.head(class)?;
        if self.policy.order == QueueOrder::Fifo {
            let (urgency, span, share, served) = (0, 0, 0, 0);
            return Some(Rank {
                urgency,
                span,
                share,
                served,
                since,
                job,
            });
        }
        let space = self.space_of(class.space);
        let share = u64::from(space.used) * 1_024 / u64::from(space.guarantee.max(1));
        Some(Rank {
            urgency: class.urgency,
            span,
            share,
            served: self.queue.served(class.caller),
            since,
            job,
        })
    }

    /// Tries to start or make room for a job; returns why it waits when that failed.
    fn try_head(
        &mut self,
        now: UnixMs,
        class: ClassKey,
        job: JobKey,
        failed: &mut BTreeSet<(Wish, u8)>,
        out: &mut Vec<Action>,
    ) -> Option<Reason> {
        let shape = class.shape();
        let space = self.space_of(class.space);
        if space.quota > 0 && space.used + shape.total() > space.quota {
            return Some(Reason::AtQuota);
        }
        let Some(level) = self.level(class.set, shape) else {
            return Some(Reason::Parked);
        };
        if !class.preemptible && !self.promised(class.space, shape, level) {
            return Some(Reason::Parked);
        }
        let wish = Wish {
            tasks: class.tasks,
            accels: class.accels,
            set: class.set,
            level,
        };
        let Some(found) = self.find(now, class, job, wish, failed) else {
            let drained = self.drain_for(now, class, job, wish, out);
            return drained.or_else(|| Some(self.blocked(class, job, wish)));
        };
        self.commit(now, class, job, found, out);
        None
    }

    /// Finds a place: without a stop inside, without a stop outside, then with stops.
    fn find(
        &mut self,
        now: UnixMs,
        class: ClassKey,
        job: JobKey,
        wish: Wish,
        failed: &mut BTreeSet<(Wish, u8)>,
    ) -> Option<Found> {
        let away = self.keeps_away(class, job);
        let own = self.own_place(now, job, wish, away);
        if let Some(own) = own.as_ref()
            && (own.victims.cost.is_none() || !class.preemptible)
        {
            return Some(Found::Inside(own.clone()));
        }
        if !class.preemptible {
            return None;
        }
        if !failed.contains(&(wish, class.urgency))
            && let Some(spots) = self.borrow_free(now, class, job, wish, away)
        {
            return Some(Found::Outside(spots, Victims::default()));
        }
        if let Some(own) = own {
            return Some(Found::Inside(own));
        }
        if self.drains_inside(job) || !failed.insert((wish, class.urgency)) {
            return None;
        }
        let claim = Claim::Urgent(class.urgency);
        let (spots, victims) = cheapest(
            &self.fleet,
            &self.jobs,
            wish,
            claim,
            self.policy.victim_order,
            now,
            away,
        )?;
        Some(Found::Outside(spots, victims))
    }

    /// Returns a free place outside the guarantee; workers that failed of late come last.
    fn borrow_free(
        &self,
        now: UnixMs,
        class: ClassKey,
        job: JobKey,
        wish: Wish,
        away: bool,
    ) -> Option<Vec<Spot>> {
        if let Some(spots) = self.probe_place(class, job, wish) {
            return Some(spots);
        }
        let urgent = Self::takes_reserve(class);
        let free = |slot: Slot| match slot {
            Slot { drain: true, .. } if away => 0,
            _ if urgent => slot.free(),
            _ => slot.free().saturating_sub(slot.warm),
        };
        let quarantine = &self.quarantine;
        let shuns = |w| quarantine.is_cool(now, w) || quarantine.avoids(job, w);
        self.borrow_place(wish, |w, slot| if shuns(w) { 0 } else { free(slot) })
            .or_else(|| self.borrow_place(wish, |_, slot| free(slot)))
    }

    /// Takes a place for a job, stops who has to yield and starts the job when it can.
    fn commit(
        &mut self,
        now: UnixMs,
        class: ClassKey,
        job: JobKey,
        found: Found,
        out: &mut Vec<Action>,
    ) {
        let (spots, charges, victims): (_, Vec<Charge>, _) = match found {
            Found::Inside(own) => (own.spots, own.charges, own.victims),
            Found::Outside(spots, victims) => (spots, Vec::new(), victims),
        };
        for victim in &victims.jobs {
            self.preempt(now, *victim, class, out);
        }
        let place = self.jobs.get(&job).map(|j| j.place());
        if let Some(place) = place {
            self.queue.remove(class, place);
        }
        self.queue.serve(class.caller, class.shape().total());
        let needs = needs(&spots, class.accels);
        let ready = needs.iter().all(|(w, n)| self.fleet.slot(*w).free() >= *n);
        self.charge(job, charges);
        self.reserve_torn |= Self::takes_reserve(class);
        if ready {
            self.start(now, job, spots, out);
        } else {
            self.take(job, spots, Stage::Pending);
            self.pending.push(job);
            self.tell(job, Reason::Reclaiming, out);
        }
    }

    pub(crate) fn preempt(
        &mut self,
        now: UnixMs,
        victim: JobKey,
        by: ClassKey,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.jobs.get(&victim) else {
            return;
        };
        let selector = self.config.yields.get(usize::from(entry.yields));
        let selector = selector.map(ToString::to_string).unwrap_or_default();
        let reason = Reason::Preempted(self.space_of(by.space).name.clone(), selector);
        let runs = matches!(entry.stage, Stage::Starting | Stage::Running);
        self.stop(now, victim, &reason, out);
        if runs && by.urgency == 0 && self.policy.throttle {
            out.push(Action::Throttle(victim, THROTTLE_PERCENT));
        }
    }

    fn start(&mut self, now: UnixMs, job: JobKey, spots: Vec<Spot>, out: &mut Vec<Action>) {
        let name = |w: WorkerKey| self.fleet.name(w).to_owned();
        let vms = spots
            .iter()
            .flat_map(|s| std::iter::repeat_n(name(s.worker), usize::from(s.tasks)))
            .collect();
        self.take(job, spots, Stage::Starting);
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.start = now;
            entry.reason = None;
        }
        out.push(Action::Start(job, vms));
    }

    /// Starts gangs whose room has become free; what an earlier one waits for isn't taken.
    fn start_pending(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let mut promised: BTreeMap<WorkerKey, u8> = BTreeMap::new();
        for job in self.pending.clone() {
            let Some(entry) = self.jobs.get(&job) else {
                continue;
            };
            let fits = |(w, n): &(WorkerKey, u8)| {
                let slot = self.fleet.slot(*w);
                slot.used + promised.get(w).copied().unwrap_or(0) + n <= slot.accels
            };
            if !entry.needs().iter().all(fits) {
                for (worker, accels) in entry.needs() {
                    *promised.entry(worker).or_default() += accels;
                }
                continue;
            }
            let spots = entry.spots.clone();
            for (worker, accels) in entry.needs() {
                self.fleet.slot_mut(worker).held -= accels;
                self.fleet.holds[usize::from(worker.0)].retain(|h| h.job != job);
            }
            let (space, total) = (entry.space, entry.request.shape.total());
            self.spaces[usize::from(space.0)].used -= total;
            self.pending.retain(|j| *j != job);
            self.start(now, job, spots, out);
        }
    }

    /// Returns why a gang that found no place waits.
    fn blocked(&self, class: ClassKey, job: JobKey, wish: Wish) -> Reason {
        let fits = || self.borrow_place(wish, |_, slot| slot.free()).is_some();
        if class.preemptible && self.keeps_away(class, job) && fits() {
            return Reason::Reserved;
        }
        // Who holds most is told once, so that a long queue costs no more than its tries.
        match self.jobs.get(&job).and_then(|j| j.reason.clone()) {
            Some(Reason::NoBlock(size, names)) if size == wish.block() => {
                Reason::NoBlock(size, names)
            }
            _ => self.no_block(wish),
        }
    }

    /// Returns the reason of a gang for which there is no block.
    fn no_block(&self, wish: Wish) -> Reason {
        let mut holders: Vec<_> = self.spaces.iter().filter(|s| s.used > 0).collect();
        holders.sort_by_key(|s| Reverse(s.used));
        let names = holders.iter().take(HOLDERS_LIMIT).map(|s| s.name.clone());
        Reason::NoBlock(wish.block(), names.collect())
    }

    fn tell_wait(&mut self, class: ClassKey, job: JobKey, reason: Reason, out: &mut Vec<Action>) {
        if let Some(entry) = self.queue.classes.get_mut(&class) {
            entry.reason = Some(reason.clone());
        }
        self.tell(job, reason, out);
    }

    /// Tells why a job waits when that changed; who holds a block may change untold.
    fn tell(&mut self, job: JobKey, reason: Reason, out: &mut Vec<Action>) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let same = match (&entry.reason, &reason) {
            (Some(Reason::NoBlock(old, _)), Reason::NoBlock(new, _)) => old == new,
            (old, new) => old.as_ref() == Some(new),
        };
        if !same {
            entry.reason = Some(reason.clone());
            out.push(Action::Waits(job, reason));
        }
    }
}
