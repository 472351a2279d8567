//! The pace of fillers that run beside tasks with a bound on their tail latency; it follows the
//! tail latencies that workers report.

use std::sync::Arc;

use crate::batch::engine::runs::{Run, Stage};
use crate::batch::engine::{Action, Engine, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::pace::FULL_PERCENT;
use crate::batch::spec::Step;
use crate::batch::worker::{Order, OrderResponse, Report, SetPace};

impl Engine {
    fn step_of(&self, id: &TaskId, run: &Run) -> Option<&Step> {
        self.jobs.get(&run.job)?.step(id)
    }

    /// Returns whether a worker has a run of a step that matches.
    fn any_run(&self, key: WorkerKey, matches: impl Fn(&Step) -> bool) -> bool {
        let mut runs = self.worker(key).runs.iter();
        runs.any(|(id, run)| self.step_of(id, run).is_some_and(&matches))
    }

    /// Returns whether a worker must report its tail latencies often: fillers run beside tasks with a
    /// bound on their tail latency, or are slowed.
    pub(super) fn needs_tail_reports(&self, key: WorkerKey) -> bool {
        let slowed = self.worker(key).pace.percent < FULL_PERCENT;
        self.any_run(key, |s| s.filler) && (slowed || self.any_run(key, |s| s.tail_ms > 0))
    }

    /// Adjusts the pace of a worker's fillers to the tail latencies in its report.
    pub(super) fn update_pace(&mut self, key: WorkerKey, report: &Report, out: &mut Vec<Action>) {
        if !self.any_run(key, |s| s.filler) {
            return;
        }
        let worker = self.worker(key);
        let tail_percents = report.running.iter().filter_map(|row| {
            let run = worker.runs.get(&row.task).filter(|r| r.run == row.run)?;
            let bound = self.step_of(&row.task, run)?.tail_ms;
            row.load?.saturating_mul(100).checked_div(bound)
        });
        let worst = match tail_percents.max() {
            Some(worst) => worst,
            None if self.any_run(key, |s| s.tail_ms > 0) => return,
            // No task with a bound on its tail latency is left.
            None => 0,
        };
        let now = self.now;
        let worker = self.worker_mut(key);
        if worker.pace.update(worst, now) {
            log::info!(
                worker = worker.target.name.as_str(), tail_percent = worst,
                pace = worker.pace.percent;
                "pace of fillers changed"
            );
        }
        self.pace_fillers(key, out);
    }

    /// Sends the current pace to each filler that isn't known to run at it.
    fn pace_fillers(&mut self, key: WorkerKey, out: &mut Vec<Action>) {
        let percent = self.worker(key).pace.percent;
        let outdated = |(id, run): &(&TaskId, &Run)| {
            run.stage == Stage::Running
                && run.pace != Some(percent)
                && self.step_of(id, run).is_some_and(|s| s.filler)
        };
        let worker = self.worker(key);
        let fillers = worker.runs.iter().filter(outdated);
        let orders: Vec<SetPace> = fillers
            .map(|(id, run)| SetPace {
                task: *id,
                run: run.run,
                percent,
                term: self.term,
            })
            .collect();
        for order in orders {
            let target = Arc::clone(&self.worker(key).target);
            out.push(Action::Order(key, target, Order::SetPace(order)));
        }
    }

    /// Processes the response to a change of pace; a change that failed is sent again after the
    /// next report.
    pub(super) fn handle_pace_response(
        &mut self,
        key: WorkerKey,
        order: &SetPace,
        response: &OrderResponse,
    ) {
        match response {
            OrderResponse::Accepted(clock) => {
                self.record_clock(key, Some(*clock));
                let run = self.worker_mut(key).runs.get_mut(&order.task);
                if let Some(run) = run.filter(|r| r.run == order.run) {
                    run.pace = Some(order.percent);
                }
            }
            OrderResponse::Refused(_, clock) => self.record_clock(key, *clock),
            OrderResponse::Report(_) | OrderResponse::Lost | OrderResponse::Unsent => {}
        }
    }
}
