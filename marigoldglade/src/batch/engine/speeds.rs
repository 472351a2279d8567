//! The speeds of workers in the planning pass: which workers a step should get, and which stay open to
//! work that isn't urgent.

use crate::batch::engine::job::Job;
use crate::batch::engine::plan::{Shape, StepKey};
use crate::batch::engine::waits::HOLD_LIMIT_MS;
use crate::batch::engine::{Engine, JobKey};
use crate::batch::finish::{Speed, SpeedRange, SpeedRule, could_hold};
use crate::batch::pack::{Bin, Demand, fits_one_rack, racks};
use crate::batch::rank::RankInputs;
use crate::batch::spec::Step;

impl Engine {
    /// Returns the range of the workers' speeds; `None` if they don't differ enough to matter.
    pub(super) fn speed_range(&self) -> Option<SpeedRange> {
        if !self.run_times.is_uneven() {
            return None;
        }
        let (_, fastest, slowest) = self.run_times.spread();
        (fastest < slowest).then_some(SpeedRange { fastest, slowest })
    }

    /// Returns which workers are suitable for a step by their speed.
    pub(super) fn speed_rule(&self, step_key: StepKey, step: &Step) -> SpeedRule {
        let Some(range) = self.speeds.filter(|_| !step.endless) else {
            return SpeedRule::default();
        };
        let job = &self.jobs[&step_key.job];
        let round = usize::try_from(step_key.round).unwrap_or(0);
        let inputs = self.rank_inputs(step_key.job, job, round);
        let rule = SpeedRule::new(&inputs, range, self.now);
        let guaranteed = self.guaranteed_jobs.contains(&step_key.job);
        let held = job.idle_since.after(HOLD_LIMIT_MS).passed(self.now);
        SpeedRule {
            may_wait: rule.may_wait && !guaranteed && !held,
            ..rule
        }
    }

    /// Returns what decides the rank of a round of a job, by its time on the worker that it would be
    /// placed on.
    pub(super) fn speed_inputs(&self, key: JobKey, job: &Job, round: usize) -> RankInputs {
        let inputs = self.rank_inputs(key, job, round);
        self.speeds.map_or(inputs, |range| {
            SpeedRule::rank_inputs(inputs, range, self.now)
        })
    }

    /// Returns the workers on which runs may be stopped for a request: none if it would be late there
    /// anyway, unless a guarantee covers it, which says when it starts.
    pub(super) fn preemption_bins(&self, bins: &[Bin], demand: &Demand, shape: &Shape) -> Vec<Bin> {
        let rule = &shape.speed;
        // Workers on which the work would be late are open to guaranteed work only.
        let others = if shape.guaranteed { bins } else { &[] };
        if rule.yields {
            return others.to_vec();
        }
        let admitted = rule.admitted(bins);
        if admitted.len() == bins.len() {
            return admitted;
        }
        let one_rack = demand.one_rack && fits_one_rack(bins, demand);
        if !could_hold(&admitted, demand, one_rack) {
            return others.to_vec();
        }
        admitted
    }

    /// Removes the workers on the last racks: one in `divisor` of the racks of all `bins`. If the workers
    /// differ in speed, the slow ones stay, as urgent work avoids them.
    pub(super) fn exclude_last_racks(&self, bins: &mut Vec<Bin>, divisor: usize) {
        let racks = racks(bins);
        let first = &racks[..racks.len() - racks.len() / divisor];
        let slow = |b: &Bin| self.speeds.is_some() && b.stretch.speed() == Speed::Slow;
        bins.retain(|b| first.contains(&b.rack) || slow(b));
    }
}
