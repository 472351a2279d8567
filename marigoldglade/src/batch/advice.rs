//! Which workers may run a step, where a placement adviser decides that.
//!
//! Lists of allowed workers with their tickets flow in; the worker's ticket, and which workers to ask
//! about next, flow out.

use std::collections::{BTreeMap, BTreeSet};

use crate::batch::engine::WorkerKey;
use crate::time::UnixMs;

/// The workers of one question; source: the platform counts a question about 30 workers as part of
/// each job's objective.
pub const ASK_LIMIT: usize = 30;
/// The workers of one question for a wide step; source: the adviser takes a hundred.
pub const WIDE_ASK_LIMIT: usize = 100;
/// What a ticket must still be valid for when it is used, in milliseconds; source: above the time
/// that a start takes, with its answer lost once.
const TICKET_MARGIN_MS: u64 = 1_200;

/// A ticket for a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The worker's name.
    pub worker: String,
    /// What its starts carry.
    pub ticket: String,
}

/// The adviser's answer to a question.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdviceResponse {
    /// The allowed workers.
    pub allowed: Vec<Ticket>,
    /// How long the tickets hold, in milliseconds.
    pub valid_ms: u64,
}

/// A worker's permission to run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Grant {
    ticket: String,
    /// The worker's incarnation for which it holds.
    incarnation: u64,
    expires_at: UnixMs,
}

/// What is known of one step.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    grants: BTreeMap<WorkerKey, Grant>,
    /// Lives of workers that may not run the step, which never changes.
    denied: BTreeSet<(WorkerKey, u64)>,
}

impl Advice {
    /// Returns the ticket of a worker's incarnation for the step.
    #[must_use]
    pub fn ticket(&self, worker: WorkerKey, incarnation: u64, now: UnixMs) -> Option<&str> {
        let grant = self.grants.get(&worker)?;
        let holds = grant.incarnation == incarnation
            && !grant.expires_at.passed(now.after(TICKET_MARGIN_MS));
        holds.then_some(grant.ticket.as_str())
    }

    /// Takes the answer to a question about lives of workers: the allowed among them, with tickets
    /// that hold until `expires_at`.
    pub fn record_answer(
        &mut self,
        asked: &[(WorkerKey, u64)],
        allowed: &[(WorkerKey, String)],
        expires_at: UnixMs,
    ) {
        for (worker, incarnation) in asked {
            match allowed.iter().find(|(w, _)| w == worker) {
                Some((_, ticket)) => {
                    let (ticket, incarnation) = (ticket.clone(), *incarnation);
                    self.grants.insert(
                        *worker,
                        Grant {
                            ticket,
                            incarnation,
                            expires_at,
                        },
                    );
                }
                None => {
                    self.denied.insert((*worker, *incarnation));
                }
            }
        }
    }

    /// Forgets a ticket that a worker refused.
    pub fn remove_ticket(&mut self, worker: WorkerKey) {
        self.grants.remove(&worker);
    }

    /// Returns which of the candidates, the best first, to ask about for `count` tasks.
    #[must_use]
    pub fn workers_to_ask(
        &self,
        candidates: &[(WorkerKey, u64)],
        count: usize,
        now: UnixMs,
    ) -> Vec<(WorkerKey, u64)> {
        let open = |(worker, incarnation): &&(WorkerKey, u64)| {
            !self.denied.contains(&(*worker, *incarnation))
                && self.ticket(*worker, *incarnation, now).is_none()
        };
        let most = (2 * count).clamp(ASK_LIMIT, WIDE_ASK_LIMIT);
        candidates.iter().filter(open).take(most).copied().collect()
    }
}
