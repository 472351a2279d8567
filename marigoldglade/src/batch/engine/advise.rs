//! Requests to the placement adviser: one at a time, for the most urgent step first.

use std::cmp::Reverse;

use crate::batch::advice::{Advice, AdviceResponse};
use crate::batch::engine::plan::StepKey;
use crate::batch::engine::{Action, Engine, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::pack::{Bin, Demand};
use crate::time::UnixMs;

/// The pause after a request that got no usable response, in milliseconds.
const RETRY_MS: u64 = 200;

/// A request to the placement adviser that is under way.
pub(super) struct AdviceRequest {
    step_key: StepKey,
    /// The workers asked about, and the start times of their processes.
    asked: Vec<(WorkerKey, u64)>,
    sent_at: UnixMs,
}

impl Engine {
    /// Returns the adviser's ticket for running a step on a worker; `None` if there is no valid
    /// one.
    pub(super) fn adviser_ticket(&self, step_key: StepKey, key: WorkerKey) -> Option<&str> {
        let advice = self.advice.get(&step_key)?;
        advice.ticket(key, self.worker(key).target.started_at, self.now)
    }

    /// Asks the adviser which of some workers may run a step, unless a request is under way.
    ///
    /// `bins` are the candidate workers; those with enough free capacity now are asked about first.
    pub(super) fn request_advice(
        &mut self,
        step_key: StepKey,
        bins: &[Bin],
        demand: &Demand,
        out: &mut Vec<Action>,
    ) {
        if self.advice_request.is_some() || !self.ask_after.passed(self.now) {
            return;
        }
        let Some(job) = self.jobs.get(&step_key.job) else {
            return;
        };
        let Some(latency) = job.record.queue.advice else {
            return;
        };
        let id = job.record.id;
        let mut bins = bins.to_vec();
        bins.sort_by_key(|b| {
            let far = demand.near_rack.is_some_and(|rack| rack != b.rack);
            (
                !b.fits(&demand.resources),
                far,
                b.grade,
                Reverse(b.free().accels),
            )
        });
        let incarnation = |b: &Bin| (b.worker, self.worker(b.worker).target.started_at);
        let candidates: Vec<(WorkerKey, u64)> = bins.iter().map(incarnation).collect();
        let count = usize::try_from(demand.count).unwrap_or(usize::MAX);
        let advice = self.advice.entry(step_key).or_default();
        let asked = advice.workers_to_ask(&candidates, count, self.now);
        if asked.is_empty() {
            return;
        }
        let names = asked
            .iter()
            .map(|(key, _)| self.worker(*key).target.name.clone());
        let workers: Vec<String> = names.collect();
        log::info!(job = id.as_str(), round = step_key.round, step = step_key.step, workers = workers.len(); "asking the placement adviser");
        let timeout_ms = latency.timeout_ms(workers.len());
        self.advice_request = Some(AdviceRequest {
            step_key,
            asked,
            sent_at: self.now,
        });
        out.push(Action::Advise {
            step: TaskId {
                job: id,
                round: step_key.round,
                step: step_key.step,
                index: 0,
            },
            workers,
            deadline: self.now.after(timeout_ms),
        });
    }

    /// Processes the adviser's response; `None` means that no usable one came in time.
    pub(super) fn handle_advice(&mut self, response: Option<AdviceResponse>) {
        let Some(request) = self.advice_request.take() else {
            return;
        };
        self.replan = true;
        let Some(response) = response else {
            log::warn!("the placement adviser didn't answer");
            self.ask_after = self.now.after(RETRY_MS);
            return;
        };
        let valid_ms = response.valid_ms;
        let allowed = response
            .allowed
            .into_iter()
            .filter_map(|t| Some((*self.worker_names.get(&t.worker)?, t.ticket)));
        let allowed: Vec<(WorkerKey, String)> = allowed.collect();
        let job = self.jobs.get(&request.step_key.job);
        log::info!(
            job = job.map_or("", |j| j.record.id.as_str()), step = request.step_key.step,
            asked = request.asked.len(), allowed = allowed.len(), valid_ms,
            took_ms = self.now.since(request.sent_at);
            "the placement adviser answered"
        );
        let advice: &mut Advice = self.advice.entry(request.step_key).or_default();
        // A ticket's validity starts when the adviser issues it, at the earliest when the request is
        // sent.
        advice.record_response(&request.asked, &allowed, request.sent_at.after(valid_ms));
    }
}
