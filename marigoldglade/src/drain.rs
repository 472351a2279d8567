//! Draining of workers for a large gang, so that a stream of small jobs can't starve it.
//!
//! When a large gang finds no placement, workers are chosen for it and get no new work unless it is
//! more urgent. After [`DRAIN_MS`], smaller gangs that still run there are stopped. The run times
//! that callers declare are not used.

use crate::job::Stage;
use crate::order::ClassKey;
use crate::place::{GangSpec, Level};
use crate::plan::{Action, JobKey, Reason, WorkerKey};
use crate::planner::Planner;
use crate::reclaim::{Claim, cheapest_placement};
use crate::time::UnixMs;

/// How long smaller gangs on drained workers may run on before they are stopped, in milliseconds.
pub const DRAIN_MS: u64 = 60_000;

/// The workers that are drained for a large gang.
pub(crate) struct Drain {
    pub job: JobKey,
    pub class: ClassKey,
    pub workers: Vec<WorkerKey>,
    /// Whether the workers are covered by blocks of the gang's own workspace.
    pub in_guarantee: bool,
    /// When the smaller gangs that are left on the workers are stopped.
    pub deadline: UnixMs,
}

impl Planner {
    /// Returns whether jobs of a class have to avoid the drained workers.
    pub(crate) fn avoids_draining(&self, class: ClassKey, job: JobKey) -> bool {
        self.drain
            .as_ref()
            .is_some_and(|d| d.job != job && class.urgency >= d.class.urgency)
    }

    /// Returns whether blocks of the job's own workspace are drained for it.
    pub(crate) fn drains_guarantee(&self, job: JobKey) -> bool {
        self.drain
            .as_ref()
            .is_some_and(|d| d.job == job && d.in_guarantee)
    }

    /// Ends the drain when its gang doesn't wait any longer.
    pub(crate) fn check_drain(&mut self) {
        let Some(drain) = &self.drain else {
            return;
        };
        let job = self.jobs.get(&drain.job);
        if job.is_none_or(|j| j.stage != Stage::Waiting || j.class() != drain.class) {
            self.clear_drain();
        }
    }

    fn clear_drain(&mut self) {
        for worker in self.drain.take().into_iter().flat_map(|d| d.workers) {
            self.fleet.slot_mut(worker).draining = false;
        }
        self.retry_all = true;
    }

    /// Starts or continues a drain for a gang that found no placement, and enforces it after the
    /// deadline. Returns why the gang waits if the drain is for it.
    ///
    /// A more urgent gang takes the drain over.
    pub(crate) fn drain_for(
        &mut self,
        now: UnixMs,
        class: ClassKey,
        job: JobKey,
        spec: GangSpec,
        out: &mut Vec<Action>,
    ) -> Option<Reason> {
        if !self.policy.drain || spec.level == Level::Worker {
            return None;
        }
        let urgent = |d: &Drain| class.urgency < d.class.urgency;
        if self.drain.as_ref().is_some_and(urgent) {
            self.clear_drain();
        }
        match &self.drain {
            None => self.start_drain(now, class, job, spec)?,
            Some(drain) if drain.job != job => return None,
            Some(drain) if drain.deadline.passed(now) => self.enforce_drain(now, class, spec, out),
            Some(_) => {}
        }
        Some(Reason::Reclaiming)
    }

    fn start_drain(
        &mut self,
        now: UnixMs,
        class: ClassKey,
        job: JobKey,
        spec: GangSpec,
    ) -> Option<()> {
        let in_guarantee = self.guarantee_holds(class.workspace, class.shape(), spec.level);
        let workers = if in_guarantee {
            self.guarantee_workers(class, spec)
        } else {
            self.cheapest_workers(now, class, spec)?
        };
        for worker in &workers {
            self.fleet.slot_mut(*worker).draining = true;
        }
        self.drain = Some(Drain {
            job,
            class,
            workers,
            in_guarantee,
            deadline: now.after(DRAIN_MS),
        });
        Some(())
    }

    /// Stops the smaller gangs on the drained workers. If none is left and none is stopping, drains
    /// other workers.
    fn enforce_drain(
        &mut self,
        now: UnixMs,
        class: ClassKey,
        spec: GangSpec,
        out: &mut Vec<Action>,
    ) {
        let Some(drain) = &self.drain else {
            return;
        };
        let (job, workers) = (drain.job, drain.workers.clone());
        let claim = large_claim(class, spec);
        let holds = workers.iter().flat_map(|w| self.fleet.holds(*w));
        let preempted = holds.filter(|h| self.jobs.get(&h.job).is_some_and(|j| claim.preempts(j)));
        let mut victims: Vec<_> = preempted.map(|h| h.job).collect();
        victims.sort_unstable();
        victims.dedup();
        for victim in &victims {
            self.preempt(now, *victim, class, out);
        }
        let stopping = |w: &WorkerKey| self.fleet.slot(*w).stopping > 0;
        if victims.is_empty() && !workers.iter().any(stopping) {
            self.clear_drain();
            // The gang has waited for DRAIN_MS already, so smaller gangs on the new workers are
            // stopped without that delay.
            if self.start_drain(now, class, job, spec).is_some()
                && let Some(drain) = &mut self.drain
            {
                drain.deadline = now;
            }
        }
    }

    /// Returns the workers outside the guarantee that need the least preemption for a gang.
    fn cheapest_workers(
        &self,
        now: UnixMs,
        class: ClassKey,
        spec: GangSpec,
    ) -> Option<Vec<WorkerKey>> {
        if !class.preemptible {
            return None;
        }
        let claim = large_claim(class, spec);
        let order = self.policy.victim_order;
        let (assignments, _) =
            cheapest_placement(&self.fleet, &self.jobs, spec, claim, order, now, false)?;
        Some(assignments.into_iter().map(|s| s.worker).collect())
    }

    /// Returns the workers of the workspace's own blocks, least used first, that could hold a gang.
    fn guarantee_workers(&self, class: ClassKey, spec: GangSpec) -> Vec<WorkerKey> {
        let each = |key| {
            let block = self.blocks.get(key);
            let tasks = usize::from(block.cell_size() / spec.accels) * block.cells.len();
            let used: u32 = block.cells.iter().map(|c| u32::from(c.used)).sum();
            (tasks, used, key)
        };
        let blocks = self
            .workspace(class.workspace)
            .blocks
            .iter()
            .map(|k| each(*k));
        let mut blocks: Vec<_> = blocks.collect();
        let tasks = usize::from(spec.tasks);
        if spec.level == Level::Centre {
            blocks.sort_by_key(|(n, used, k)| (std::cmp::Reverse(*n), *used, *k));
        } else {
            blocks.retain(|(n, ..)| *n >= tasks);
            blocks.sort_by_key(|(n, used, k)| (*used, *n, *k));
        }
        let mut left = tasks;
        let mut workers = Vec::new();
        for (n, _, key) in blocks {
            if left == 0 {
                break;
            }
            left = left.saturating_sub(n);
            workers.extend(self.blocks.get(key).cells.iter().map(|c| c.worker));
        }
        workers
    }
}

fn large_claim(class: ClassKey, spec: GangSpec) -> Claim {
    Claim::Large {
        urgency: class.urgency,
        total: u32::from(spec.tasks) * u32::from(spec.accels),
        workspace: class.workspace,
    }
}
