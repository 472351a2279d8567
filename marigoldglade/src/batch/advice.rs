//! Tickets from the placement adviser, which decides for some queues which workers may run a step.
//!
//! [`Advice`] keeps the adviser's responses for one step and selects the workers to ask about next.

use std::collections::{BTreeMap, BTreeSet};

use crate::batch::engine::WorkerKey;
use crate::time::UnixMs;

/// The largest number of workers in a request for a step of up to 15 tasks: the platform's objective
/// for a job includes the time of one request about 30 workers.
pub const ASK_LIMIT: usize = 30;
/// The largest number of workers in any request: the adviser takes at most a hundred.
pub const WIDE_ASK_LIMIT: usize = 100;
/// How long a ticket must still be valid when it is used, in milliseconds: longer than a start takes
/// when its response is lost once.
const TICKET_MARGIN_MS: u64 = 1_200;

/// A ticket that permits a worker to run the step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The worker's name.
    pub worker: String,
    /// The ticket's text, which is sent with the start.
    pub ticket: String,
}

/// The adviser's response to a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdviceResponse {
    /// The workers that may run the step, with their tickets.
    pub allowed: Vec<Ticket>,
    /// How long the tickets are valid, in milliseconds.
    pub valid_ms: u64,
}

/// A worker's permission to run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Grant {
    ticket: String,
    /// The worker's incarnation that the ticket is valid for.
    incarnation: u64,
    expires_at: UnixMs,
}

/// The adviser's responses about one step.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    grants: BTreeMap<WorkerKey, Grant>,
    /// Incarnations of workers that may not run the step; the adviser never changes a refusal.
    denied: BTreeSet<(WorkerKey, u64)>,
}

impl Advice {
    /// Returns the worker's ticket if it is for this incarnation and stays valid for long enough.
    #[must_use]
    pub fn ticket(&self, worker: WorkerKey, incarnation: u64, now: UnixMs) -> Option<&str> {
        let grant = self.grants.get(&worker)?;
        let valid = grant.incarnation == incarnation
            && !grant.expires_at.passed(now.after(TICKET_MARGIN_MS));
        valid.then_some(grant.ticket.as_str())
    }

    /// Records the response to a request about the workers `asked`: those in `allowed` have tickets
    /// that expire at `expires_at`, and the others are denied.
    pub fn record_response(
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

    /// Removes a ticket that a worker refused.
    pub fn remove_ticket(&mut self, worker: WorkerKey) {
        self.grants.remove(&worker);
    }

    /// Returns the candidates to ask about to place `count` tasks: the first ones, in the given order,
    /// that have neither a valid ticket nor a refusal.
    #[must_use]
    pub fn workers_to_ask(
        &self,
        candidates: &[(WorkerKey, u64)],
        count: usize,
        now: UnixMs,
    ) -> Vec<(WorkerKey, u64)> {
        let undecided = |(worker, incarnation): &&(WorkerKey, u64)| {
            !self.denied.contains(&(*worker, *incarnation))
                && self.ticket(*worker, *incarnation, now).is_none()
        };
        let limit = (2 * count).clamp(ASK_LIMIT, WIDE_ASK_LIMIT);
        candidates
            .iter()
            .filter(undecided)
            .take(limit)
            .copied()
            .collect()
    }
}
