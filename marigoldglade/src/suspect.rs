//! What the planner does about suspicion: caps, probes and places that jobs keep away from.
//!
//! The ends of tasks flow in; [`Action::Quarantine`] and [`Action::Trust`] flow out.

use xxhash_rust::xxh3::xxh3_64;

use crate::job::Spot;
use crate::order::ClassKey;
use crate::place::{Level, Wish};
use crate::plan::{Action, JobKey, WorkerKey};
use crate::planner::Planner;
use crate::quarantine::{FLEET_DIVISOR, RACK_DIVISOR, Trust};
use crate::time::UnixMs;

/// Work at least as urgent as this serves as no probe.
const PROBE_URGENCY: u8 = 3;

impl Planner {
    /// Takes a task's end.
    pub(crate) fn judge(
        &mut self,
        now: UnixMs,
        job: JobKey,
        vm: &str,
        well: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(worker) = self.fleet.find(vm) else {
            return;
        };
        let request = self.jobs.get(&job).map(|j| &j.request);
        let name = request.map(|a| format!("{}/{}", a.workspace, a.caller));
        let caller = xxh3_64(name.unwrap_or_default().as_bytes());
        if well {
            if self.quarantine.done(worker, job, caller) {
                self.set_suspect(worker, false, false);
                out.push(Action::Trust(vm.to_owned()));
            }
            return;
        }
        if self.quarantine.failed(now, worker, job, caller) {
            self.suspect(now, worker, out);
        }
    }

    /// Puts a worker under suspicion unless too many are.
    fn suspect(&mut self, now: UnixMs, worker: WorkerKey, out: &mut Vec<Action>) {
        let slot = self.fleet.slot(worker);
        let was = slot.suspect;
        if matches!(self.quarantine.trust(worker), Trust::Out(_))
            || !(was || self.may_suspect(worker))
        {
            return;
        }
        let end = self.quarantine.suspect(now, worker);
        self.set_suspect(worker, true, false);
        if !was {
            self.unplan(worker);
        }
        out.push(Action::Quarantine(self.fleet.name(worker).to_owned(), end));
    }

    /// Returns whether one more worker of this rack and of the fleet may be out by suspicion.
    fn may_suspect(&self, worker: WorkerKey) -> bool {
        let rack = self.fleet.slot(worker).rack;
        let room = |workers: &mut dyn Iterator<Item = WorkerKey>, share: usize| {
            let slots: Vec<_> = workers
                .map(|w| self.fleet.slot(w))
                .filter(|s| s.live)
                .collect();
            let out = slots.iter().filter(|s| s.suspect).count();
            out < (slots.len() / share).max(1)
        };
        let members = &self.fleet.racks[usize::from(rack.0)];
        room(&mut members.iter().copied(), RACK_DIVISOR)
            && room(&mut self.fleet.keys(), FLEET_DIVISOR)
    }

    fn set_suspect(&mut self, worker: WorkerKey, suspect: bool, probe: bool) {
        let slot = self.fleet.slot_mut(worker);
        self.torn |= slot.suspect != suspect;
        slot.suspect = suspect;
        slot.probe = probe;
        self.stale = true;
    }

    /// Lets time pass: probes those whose time is over, suspects those that the cap held back.
    pub(crate) fn review(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        for worker in self.quarantine.cleared() {
            self.set_suspect(worker, false, false);
            out.push(Action::Trust(self.fleet.name(worker).to_owned()));
        }
        for worker in self.quarantine.release(now) {
            self.set_suspect(worker, true, true);
        }
        for worker in self.quarantine.due() {
            self.suspect(now, worker, out);
        }
    }

    /// Returns an idle worker that is to be probed, if the job can serve as the probe.
    pub(crate) fn probe_place(
        &self,
        class: ClassKey,
        job: JobKey,
        wish: Wish,
    ) -> Option<Vec<Spot>> {
        let serves = class.preemptible
            && wish.level == Level::Worker
            && wish.tasks == 1
            && class.urgency > PROBE_URGENCY
            && !self.quarantine.has_failed(job);
        if !serves {
            return None;
        }
        let idle = |w: &WorkerKey| {
            let slot = self.fleet.slot(*w);
            let idle = slot.probe && slot.hopeful() && slot.used + slot.held == 0;
            idle && slot.accels >= wish.accels && self.fleet.allows(wish.set, *w)
        };
        let worker = self.fleet.keys().find(idle)?;
        Some(vec![Spot { worker, tasks: 1 }])
    }
}
