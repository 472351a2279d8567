//! Runs on workers that have announced when they leave.
//!
//! A worker that leaves ends what it runs, and a report that is under way then is lost with its connection. An
//! end that the worker has listed there would stay unknown, and its task would run again. So the runs are
//! stopped in time for their ends, and the checkpoints that they save, to be reported before.

use crate::batch::engine::runs::Stage;
use crate::batch::engine::workers::Worker;
use crate::batch::engine::{Engine, WorkerKey};
use crate::batch::id::TaskId;
use crate::time::UnixMs;

/// How long before the departure runs are stopped, in milliseconds: a stop takes 900 ms at most by the
/// platform's limits, a run may become done until then, and the report of its end is given the rest.
const STOP_MARGIN_MS: u64 = 1_200;

impl Worker {
    /// Returns whether the worker leaves so soon that what runs there is stopped.
    pub fn leaves_soon(&self, now: UnixMs) -> bool {
        self.departs_at
            .is_some_and(|at| at <= now.after(STOP_MARGIN_MS))
    }
}

impl Engine {
    /// Stops the runs that can't end before their workers leave.
    pub(super) fn check_departures(&mut self) {
        for key in self.worker_keys() {
            let worker = self.worker(key);
            let leaves = worker.target.draining && worker.leaves_soon(self.now);
            if leaves && !worker.runs.is_empty() {
                self.stop_runs(key);
            }
        }
    }

    fn stop_runs(&mut self, key: WorkerKey) {
        let due: Vec<(TaskId, u64)> = self
            .worker(key)
            .runs
            .iter()
            .filter(|(_, run)| run.stage == Stage::Running)
            .map(|(id, run)| (*id, run.run))
            .collect();
        for (id, run) in due {
            log::info!(task:% = id, run, worker = self.worker(key).target.name.as_str(); "run stopped before its worker leaves");
            self.stop_run(key, &id);
            self.break_gang(&id, run);
            self.counts.departed += 1;
        }
    }
}
