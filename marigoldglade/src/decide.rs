//! The planner's scheduling round: tries to place the waiting classes in the order of their rank.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crate::fleet::Slot;
use crate::guaranteed::GuaranteedPlacement;
use crate::job::{Assignment, Charge, Stage, needs};
use crate::order::{ClassKey, QueueOrder, Rank};
use crate::place::GangSpec;
use crate::plan::{Action, JobKey, Reason, WorkerKey};
use crate::planner::Planner;
use crate::reclaim::{Claim, Victims, cheapest_placement};
use crate::time::UnixMs;

/// The most classes that are tried in one step; the remaining ones wait for the next step.
const TRIES_LIMIT: u32 = 1_024;
/// The most workspaces that [`Reason::NoBlock`] names.
const HOLDERS_LIMIT: usize = 3;
/// The speed of a gang that stops for urgent work, in percent.
const THROTTLE_PERCENT: u8 = 10;

/// A placement that was found for a gang.
pub(crate) enum Found {
    /// Inside the guarantee of the gang's workspace.
    InGuarantee(GuaranteedPlacement),
    /// On borrowed accelerators, once these gangs have stopped.
    Borrowed(Vec<Assignment>, Victims),
}

impl Planner {
    /// Starts as many waiting jobs as possible.
    pub(crate) fn decide(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        self.start_pending(now, out);
        self.check_drain();
        let classes: Vec<_> = if std::mem::take(&mut self.retry_all) {
            self.queue.classes.keys().copied().collect()
        } else {
            self.changed_classes.iter().copied().collect()
        };
        self.changed_classes.clear();
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
                self.retry_all = true;
                break;
            }
            match self.try_head(now, class, current.job, &mut failed, out) {
                None => heap.extend(self.rank(class).map(|r| Reverse((r, class)))),
                Some(reason) => {
                    self.report_class(class, current.job, reason, out);
                    if self.policy.order == QueueOrder::Fifo {
                        break;
                    }
                }
            }
        }
    }

    /// Restores the reserve after urgent work has used some of it.
    pub(crate) fn refill(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.refill_due) {
            self.update_reserve(now, out);
        }
    }

    /// Returns the rank of the first job of a class.
    fn rank(&self, class: ClassKey) -> Option<Rank> {
        let (deadline_span, accepted_at, job) = self.queue.head(class)?;
        if self.policy.order == QueueOrder::Fifo {
            let (urgency, deadline_span, share, served) = (0, 0, 0, 0);
            return Some(Rank {
                urgency,
                deadline_span,
                share,
                served,
                accepted_at,
                job,
            });
        }
        let workspace = self.workspace(class.workspace);
        let share = u64::from(workspace.used) * 1_024 / u64::from(workspace.guarantee.max(1));
        Some(Rank {
            urgency: class.urgency,
            deadline_span,
            share,
            served: self.queue.served(class.caller),
            accepted_at,
            job,
        })
    }

    /// Places the first job of a class and stops the gangs in its way. Returns why the job waits if
    /// it can't be placed.
    fn try_head(
        &mut self,
        now: UnixMs,
        class: ClassKey,
        job: JobKey,
        failed: &mut BTreeSet<(GangSpec, u8)>,
        out: &mut Vec<Action>,
    ) -> Option<Reason> {
        let shape = class.shape();
        let workspace = self.workspace(class.workspace);
        if workspace.quota > 0 && workspace.used + shape.total() > workspace.quota {
            return Some(Reason::AtQuota);
        }
        let Some(level) = self.level(class.set, shape) else {
            return Some(Reason::Parked);
        };
        if !class.preemptible && !self.guarantee_holds(class.workspace, shape, level) {
            return Some(Reason::Parked);
        }
        let spec = GangSpec {
            tasks: class.tasks,
            accels: class.accels,
            set: class.set,
            level,
        };
        let Some(found) = self.find_placement(now, class, job, spec, failed) else {
            let drained = self.drain_for(now, class, job, spec, out);
            return drained.or_else(|| Some(self.wait_reason(class, job, spec)));
        };
        self.commit(now, class, job, found, out);
        None
    }

    /// Finds a placement: inside the guarantee without preemption, else on free accelerators, else
    /// inside the guarantee with preemption, else by preempting borrowers. Jobs that aren't
    /// preemptible are placed only inside the guarantee.
    fn find_placement(
        &mut self,
        now: UnixMs,
        class: ClassKey,
        job: JobKey,
        spec: GangSpec,
        failed: &mut BTreeSet<(GangSpec, u8)>,
    ) -> Option<Found> {
        let avoid_draining = self.avoids_draining(class, job);
        let placement = self.place_in_guarantee(now, job, spec, avoid_draining);
        if let Some(placement) = placement.as_ref()
            && (placement.victims.cost.is_none() || !class.preemptible)
        {
            return Some(Found::InGuarantee(placement.clone()));
        }
        if !class.preemptible {
            return None;
        }
        if !failed.contains(&(spec, class.urgency))
            && let Some(assignments) = self.place_free(now, class, job, spec, avoid_draining)
        {
            return Some(Found::Borrowed(assignments, Victims::default()));
        }
        if let Some(placement) = placement {
            return Some(Found::InGuarantee(placement));
        }
        if self.drains_guarantee(job) || !failed.insert((spec, class.urgency)) {
            return None;
        }
        let claim = Claim::Urgent(class.urgency);
        let (assignments, victims) = cheapest_placement(
            &self.fleet,
            &self.jobs,
            spec,
            claim,
            self.policy.victim_order,
            now,
            avoid_draining,
        )?;
        Some(Found::Borrowed(assignments, victims))
    }

    /// Returns a placement on free accelerators outside the guarantee. Workers on which a task
    /// failed recently, or on which this job failed, are used only if the others don't suffice.
    fn place_free(
        &self,
        now: UnixMs,
        class: ClassKey,
        job: JobKey,
        spec: GangSpec,
        avoid_draining: bool,
    ) -> Option<Vec<Assignment>> {
        if let Some(assignments) = self.probe_placement(class, job, spec) {
            return Some(assignments);
        }
        let urgent = Self::may_use_reserve(class);
        let free = |slot: Slot| match slot {
            Slot { draining: true, .. } if avoid_draining => 0,
            _ if urgent => slot.free(),
            _ => slot.free().saturating_sub(slot.reserved),
        };
        let quarantine = &self.quarantine;
        let avoided = |w| quarantine.is_avoided(now, w) || quarantine.failed_on(job, w);
        self.place_outside(spec, |w, slot| if avoided(w) { 0 } else { free(slot) })
            .or_else(|| self.place_outside(spec, |_, slot| free(slot)))
    }

    /// Places a job, stops the victims, and starts the job if its accelerators are free already.
    fn commit(
        &mut self,
        now: UnixMs,
        class: ClassKey,
        job: JobKey,
        found: Found,
        out: &mut Vec<Action>,
    ) {
        let (assignments, charges, victims): (_, Vec<Charge>, _) = match found {
            Found::InGuarantee(placement) => {
                (placement.assignments, placement.charges, placement.victims)
            }
            Found::Borrowed(assignments, victims) => (assignments, Vec::new(), victims),
        };
        for victim in &victims.jobs {
            self.preempt(now, *victim, class, out);
        }
        let position = self.jobs.get(&job).map(|j| j.position());
        if let Some(position) = position {
            self.queue.remove(class, position);
        }
        self.queue.record_start(class.caller, class.shape().total());
        let needs = needs(&assignments, class.accels);
        let ready = needs.iter().all(|(w, n)| self.fleet.slot(*w).free() >= *n);
        self.charge(job, charges);
        self.refill_due |= Self::may_use_reserve(class);
        if ready {
            self.start(now, job, assignments, out);
        } else {
            self.allocate(job, assignments, Stage::Pending);
            self.pending.push(job);
            self.report(job, Reason::Reclaiming, out);
        }
    }

    /// Stops a gang for a job of class `by`, and throttles it if that job is urgent.
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
        let selector = self.config.yields.get(usize::from(entry.yield_rank));
        let selector = selector.map(ToString::to_string).unwrap_or_default();
        let reason = Reason::Preempted(self.workspace(by.workspace).name.clone(), selector);
        let runs = matches!(entry.stage, Stage::Starting | Stage::Running);
        self.stop(now, victim, &reason, out);
        if runs && by.urgency == 0 && self.policy.throttle {
            out.push(Action::Throttle(victim, THROTTLE_PERCENT));
        }
    }

    fn start(
        &mut self,
        now: UnixMs,
        job: JobKey,
        assignments: Vec<Assignment>,
        out: &mut Vec<Action>,
    ) {
        let name = |w: WorkerKey| self.fleet.name(w).to_owned();
        let vms = assignments
            .iter()
            .flat_map(|s| std::iter::repeat_n(name(s.worker), usize::from(s.tasks)))
            .collect();
        self.allocate(job, assignments, Stage::Starting);
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.started_at = now;
            entry.reason = None;
        }
        out.push(Action::Start(job, vms));
    }

    /// Starts the pending gangs whose accelerators have become free, except where an earlier
    /// pending gang waits for the same accelerators.
    fn start_pending(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let mut awaited: BTreeMap<WorkerKey, u8> = BTreeMap::new();
        for job in self.pending.clone() {
            let Some(entry) = self.jobs.get(&job) else {
                continue;
            };
            let fits = |(w, n): &(WorkerKey, u8)| {
                let slot = self.fleet.slot(*w);
                slot.used + awaited.get(w).copied().unwrap_or(0) + n <= slot.accels
            };
            if !entry.needs().iter().all(fits) {
                for (worker, accels) in entry.needs() {
                    *awaited.entry(worker).or_default() += accels;
                }
                continue;
            }
            let assignments = entry.assignments.clone();
            for (worker, accels) in entry.needs() {
                self.fleet.slot_mut(worker).pending -= accels;
                self.fleet.holds[usize::from(worker.0)].retain(|h| h.job != job);
            }
            let (workspace, total) = (entry.workspace, entry.request.shape.total());
            self.workspaces[usize::from(workspace.0)].used -= total;
            self.pending.retain(|j| *j != job);
            self.start(now, job, assignments, out);
        }
    }

    /// Returns why a gang for which no placement was found waits.
    fn wait_reason(&self, class: ClassKey, job: JobKey, spec: GangSpec) -> Reason {
        let fits = || self.place_outside(spec, |_, slot| slot.free()).is_some();
        if class.preemptible && self.avoids_draining(class, job) && fits() {
            return Reason::Reserved;
        }
        // Keep the holders that were found at an earlier try of this job: finding them again at each
        // try would make a long queue expensive.
        match self.jobs.get(&job).and_then(|j| j.reason.clone()) {
            Some(Reason::NoBlock(size, names)) if size == spec.block() => {
                Reason::NoBlock(size, names)
            }
            _ => self.no_block(spec),
        }
    }

    /// Returns [`Reason::NoBlock`] with the workspaces that hold the most accelerators.
    fn no_block(&self, spec: GangSpec) -> Reason {
        let mut holders: Vec<_> = self.workspaces.iter().filter(|s| s.used > 0).collect();
        holders.sort_by_key(|s| Reverse(s.used));
        let names = holders.iter().take(HOLDERS_LIMIT).map(|s| s.name.clone());
        Reason::NoBlock(spec.block(), names.collect())
    }

    /// Reports why the first job of a class waits and stores the reason for jobs that join the
    /// class.
    fn report_class(
        &mut self,
        class: ClassKey,
        job: JobKey,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        if let Some(entry) = self.queue.classes.get_mut(&class) {
            entry.reason = Some(reason.clone());
        }
        self.report(job, reason, out);
    }

    /// Reports why a job waits if that has changed. A change of the holders in [`Reason::NoBlock`]
    /// alone isn't reported.
    fn report(&mut self, job: JobKey, reason: Reason, out: &mut Vec<Action>) {
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
