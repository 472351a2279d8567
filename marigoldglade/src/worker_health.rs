//! The planner's side of quarantine: limits on quarantined workers, probes, and the actions that
//! report changes.

use xxhash_rust::xxh3::xxh3_64;

use crate::job::Assignment;
use crate::order::ClassKey;
use crate::place::{GangSpec, Level};
use crate::plan::{Action, JobKey, WorkerKey};
use crate::planner::Planner;
use crate::quarantine::{FLEET_DIVISOR, RACK_DIVISOR, Trust};
use crate::time::UnixMs;

/// Jobs of this urgency or a more urgent one aren't used as probes.
const PROBE_URGENCY: u8 = 3;

impl Planner {
    /// Records the outcome of a task.
    pub(crate) fn record_outcome(
        &mut self,
        now: UnixMs,
        job: JobKey,
        vm: &str,
        succeeded: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(worker) = self.fleet.find(vm) else {
            return;
        };
        let request = self.jobs.get(&job).map(|j| &j.request);
        let name = request.map(|r| format!("{}/{}", r.workspace, r.caller));
        let caller = xxh3_64(name.unwrap_or_default().as_bytes());
        if succeeded {
            if self.quarantine.record_success(worker, job, caller) {
                self.set_quarantined(worker, false, false);
                out.push(Action::Trust(vm.to_owned()));
            }
            return;
        }
        if self.quarantine.record_failure(now, worker, job, caller) {
            self.quarantine_worker(now, worker, out);
        }
    }

    /// Quarantines a worker unless too many are quarantined already.
    fn quarantine_worker(&mut self, now: UnixMs, worker: WorkerKey, out: &mut Vec<Action>) {
        let slot = self.fleet.slot(worker);
        let already = slot.quarantined;
        if matches!(self.quarantine.trust(worker), Trust::Quarantined(_))
            || !(already || self.may_quarantine(worker))
        {
            return;
        }
        let until = self.quarantine.quarantine(now, worker);
        self.set_quarantined(worker, true, false);
        if !already {
            self.requeue_pending(worker);
        }
        out.push(Action::Quarantine(
            self.fleet.name(worker).to_owned(),
            until,
        ));
    }

    /// Returns whether one more worker of this rack and of the data centre may be quarantined.
    fn may_quarantine(&self, worker: WorkerKey) -> bool {
        let rack = self.fleet.slot(worker).rack;
        let below_limit = |workers: &mut dyn Iterator<Item = WorkerKey>, divisor: usize| {
            let slots: Vec<_> = workers
                .map(|w| self.fleet.slot(w))
                .filter(|s| s.live)
                .collect();
            let quarantined = slots.iter().filter(|s| s.quarantined).count();
            quarantined < (slots.len() / divisor).max(1)
        };
        let members = &self.fleet.racks[usize::from(rack.0)];
        below_limit(&mut members.iter().copied(), RACK_DIVISOR)
            && below_limit(&mut self.fleet.keys(), FLEET_DIVISOR)
    }

    fn set_quarantined(&mut self, worker: WorkerKey, quarantined: bool, probe: bool) {
        let slot = self.fleet.slot_mut(worker);
        self.repair_due |= slot.quarantined != quarantined;
        slot.quarantined = quarantined;
        slot.probe = probe;
        self.retry_all = true;
    }

    /// Ends or begins quarantines and probes as time passes, including those that the limits have
    /// delayed.
    pub(crate) fn review_quarantine(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        for worker in self.quarantine.take_cleared() {
            self.set_quarantined(worker, false, false);
            out.push(Action::Trust(self.fleet.name(worker).to_owned()));
        }
        for worker in self.quarantine.start_probes(now) {
            self.set_quarantined(worker, true, true);
        }
        for worker in self.quarantine.over_threshold() {
            self.quarantine_worker(now, worker, out);
        }
    }

    /// Returns a placement on an idle worker that is to be probed, if the job may be the probe.
    pub(crate) fn probe_placement(
        &self,
        class: ClassKey,
        job: JobKey,
        spec: GangSpec,
    ) -> Option<Vec<Assignment>> {
        let serves = class.preemptible
            && spec.level == Level::Worker
            && spec.tasks == 1
            && class.urgency > PROBE_URGENCY
            && !self.quarantine.has_failed(job);
        if !serves {
            return None;
        }
        let idle = |w: &WorkerKey| {
            let slot = self.fleet.slot(*w);
            let idle = slot.probe && slot.in_service() && slot.used + slot.pending == 0;
            idle && slot.accels >= spec.accels && self.fleet.allows(spec.set, *w)
        };
        let worker = self.fleet.keys().find(idle)?;
        Some(vec![Assignment { worker, tasks: 1 }])
    }
}
