//! Evacuated data centres: nothing new starts there until the operators take their request back.
//!
//! What runs there goes on, and its workers are asked for reports, and their leases renewed, as before.

use std::collections::BTreeSet;

use crate::batch::engine::Engine;
use crate::batch::engine::workers::Worker;
use crate::batch::pack::RackKey;

impl Worker {
    /// Returns whether new work may go to the worker: it is there, stays, and its data centre isn't
    /// evacuated.
    pub fn takes_work(&self) -> bool {
        self.listed && !self.target.draining && !self.evacuated
    }
}

impl Engine {
    /// Returns the number of evacuated data centres.
    #[must_use]
    pub fn evacuated(&self) -> usize {
        self.evacuated.len()
    }

    /// Applies the complete list of evacuated data centres.
    pub(super) fn set_evacuations(&mut self, dcs: BTreeSet<String>) {
        let old = std::mem::replace(&mut self.evacuated, dcs);
        for dc in self.evacuated.difference(&old) {
            let (workers, runs) = self.count_in(dc);
            log::info!(dc = dc.as_str(), workers, runs; "data centre evacuated: nothing new starts there");
        }
        for dc in old.difference(&self.evacuated) {
            let (workers, runs) = self.count_in(dc);
            log::info!(dc = dc.as_str(), workers, runs; "evacuation of a data centre has ended");
        }
        self.mark_evacuated();
        self.drop_evacuated_reservations();
        // Starts that are under way are given up rather than sent again.
        self.runs_due = true;
        self.replan = true;
    }

    /// Notes on each worker whether its data centre is evacuated.
    pub(super) fn mark_evacuated(&mut self) {
        for worker in &mut self.workers {
            worker.evacuated = self.evacuated.contains(&worker.target.dc);
        }
    }

    /// Returns how many listed workers a data centre has, and how many runs are there.
    fn count_in(&self, dc: &str) -> (usize, usize) {
        let here = || self.workers.iter().filter(|w| w.target.dc == dc);
        let runs = here().map(|w| w.runs.len()).sum();
        (here().filter(|w| w.listed).count(), runs)
    }

    /// Ends the reservations in evacuated data centres, so that their work looks for capacity elsewhere.
    fn drop_evacuated_reservations(&mut self) {
        let here = |((dc, _), key): (&(String, String), &RackKey)| {
            self.evacuated.contains(dc).then_some(*key)
        };
        let racks: BTreeSet<RackKey> = self.racks.iter().filter_map(here).collect();
        self.rack_reservations.retain(|r| !racks.contains(&r.rack));
        let workers = &self.workers;
        self.reservations.retain(|r| {
            let mut targets = r.workers.iter().map(|w| &workers[usize::from(w.0)]);
            targets.all(|w| !w.evacuated)
        });
    }
}
