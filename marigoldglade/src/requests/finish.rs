//! Handles the outcomes of sends and the timers: answers a request, retries it, or fails it.

use super::{Action, Gossip, Pending, Requests, SendOutcome, Stage};
use crate::error::Executed;
use crate::prelude::*;
use crate::queue::RequestKey;
use crate::retry::MAX_TRIES;
use crate::route::{HealthSignal, TargetKey};

/// A target is stalled if it holds a request for this many times the expected service time.
const STALL_FACTOR: f64 = 8.0;
/// The least expected service time in the check for stalled targets, in milliseconds.
const STALL_MIN_MS: f64 = 10.0;

impl SendOutcome {
    /// Returns whether the target provably didn't run the request.
    #[must_use]
    pub const fn not_run(self) -> bool {
        matches!(self, Self::Refused | Self::NotSent | Self::Busy)
    }

    /// Returns what the outcome says about the target's health, if anything. Callers choose the
    /// deadline and the request, so a missed deadline or a large answer alone says nothing.
    const fn signal(self, stalled: bool) -> Option<HealthSignal> {
        match self {
            Self::Answered => Some(HealthSignal::Good),
            Self::Refused => Some(HealthSignal::Refused),
            Self::Busy => Some(HealthSignal::Busy),
            Self::ServerError | Self::NotSent | Self::Broken | Self::Bad => Some(HealthSignal::Bad),
            Self::Late if stalled => Some(HealthSignal::Bad),
            Self::Late | Self::Oversize => None,
        }
    }

    const fn kind(self) -> Kind {
        match self {
            Self::Refused | Self::NotSent | Self::Busy => Kind::NoTarget,
            Self::Broken => Kind::TargetFailed,
            Self::Bad | Self::Oversize => Kind::BadAnswer,
            Self::Late => Kind::Timeout,
            Self::Answered | Self::ServerError => Kind::Internal,
        }
    }
}

impl Requests {
    pub(super) fn handle_send_end(
        &mut self,
        now: UnixMs,
        request: RequestKey,
        outcome: SendOutcome,
        leaving: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let Stage::Sent(target, since) = pending.stage else {
            return;
        };
        pending.maybe_ran |= !outcome.not_run();
        pending.avoid = Some(target);
        let (class, caller) = (pending.assignment.class, pending.caller);
        let held_ms = now.since(since).max(1);
        self.release_slot(request, target);
        if outcome == SendOutcome::Late {
            // The target may still work on the request, so its slot stays occupied.
            self.routes.occupy_slot(now, target);
        }
        self.meter.record_use(caller, held_ms);
        if outcome == SendOutcome::Answered {
            self.service_time(class).record(now, held_ms);
        }
        let expect_ms = self.service_time(class).estimate_ms(now);
        let stalled = held_ms as f64 >= STALL_FACTOR * expect_ms.max(STALL_MIN_MS);
        if let Some(signal) = outcome.signal(stalled) {
            self.routes.update_health(now, target, signal);
        }
        self.gossip_about(target, outcome, leaving, out);
        match outcome {
            SendOutcome::Answered | SendOutcome::ServerError => self.finish(request, Ok(()), out),
            _ => self.retry_or_fail(now, request, outcome, out),
        }
    }

    /// Tells the other daemons that a target is leaving or refused a connection.
    fn gossip_about(
        &mut self,
        target: TargetKey,
        outcome: SendOutcome,
        leaving: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(name) = self.routes.vm(target).map(|vm| vm.name.clone()) else {
            return;
        };
        if leaving {
            self.mark_leaving(&name, out);
        }
        if outcome == SendOutcome::Refused {
            out.push(Action::CloseIdle(target));
            out.push(Action::Gossip(Gossip::Refused(name)));
        }
    }

    fn retry_or_fail(
        &mut self,
        now: UnixMs,
        request: RequestKey,
        outcome: SendOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let again = (outcome.not_run() || pending.idempotent)
            && pending.tries < MAX_TRIES
            && !pending.deadline.passed(now)
            && self.queue.fits(pending.bytes);
        if !again {
            let e = Error::new(outcome.kind(), "the send to the target failed");
            self.finish(request, Err(e), out);
            return;
        }
        self.delay_retry(now, request);
    }

    /// Delays a request until its next try.
    pub(super) fn delay_retry(&mut self, now: UnixMs, request: RequestKey) {
        if let Some(pending) = self.pending.get_mut(&request) {
            let due = self.budget.pick_retry_time(now, pending.tries);
            pending.stage = Stage::Backoff(due);
            self.queue.count_delayed(pending.bytes);
            self.timers.insert((due, request));
        }
    }

    pub(super) fn run_timers(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        while let Some((due, request)) = self.timers.first().copied()
            && due.passed(now)
        {
            self.timers.pop_first();
            let Some(pending) = self.pending.get(&request) else {
                continue;
            };
            match pending.stage {
                Stage::Sent(..) | Stage::Claiming(_) => {}
                Stage::Queued | Stage::Backoff(_) if pending.deadline.passed(now) => {
                    self.counts.expired += 1;
                    self.dequeue(request);
                    let e = Error::new(Kind::Expired, "the deadline passed");
                    self.finish(request, Err(e), out);
                }
                Stage::Backoff(at) if at == due => self.requeue_retry(request),
                Stage::Queued | Stage::Backoff(_) => {}
            }
        }
    }

    /// Queues a request again after its backoff.
    fn requeue_retry(&mut self, request: RequestKey) {
        if let Some(mut pending) = self.pending.remove(&request) {
            pending.stage = Stage::Queued;
            self.queue.uncount_delayed(pending.bytes);
            self.enqueue(request, &pending, true);
            self.pending.insert(request, pending);
        }
    }

    /// Removes a request that waits in the queue or for its next try.
    fn dequeue(&mut self, request: RequestKey) {
        if let Some(pending) = self.pending.get(&request) {
            let (lane, caller) = (pending.assignment.lane, pending.caller);
            match pending.stage {
                Stage::Backoff(_) => self.queue.uncount_delayed(pending.bytes),
                _ => {
                    self.queue.remove(lane, caller, request);
                }
            }
        }
    }

    pub(super) fn abandon(&mut self, request: RequestKey, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        if matches!(pending.stage, Stage::Queued | Stage::Backoff(_)) {
            self.dequeue(request);
            let e = Error::new(Kind::Expired, "the caller hung up");
            self.finish(request, Err(e), out);
        }
    }

    /// Answers a request that neither waits nor holds a slot, and settles its claim.
    pub(super) fn finish(
        &mut self,
        request: RequestKey,
        verdict: Result<()>,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        self.timers.remove(&(pending.deadline, request));
        let verdict = verdict.map_err(|e| reflect_possible_run(&pending, e));
        if pending.claimed {
            let kind = verdict.as_ref().err().map(|e| e.kind);
            out.push(Action::Settle(request, kind));
        }
        out.push(Action::Answer(request, verdict));
    }
}

/// Replaces an error kind that means "not run" if a target may have run the request.
fn reflect_possible_run(pending: &Pending, e: Error) -> Error {
    if !pending.maybe_ran || e.kind.properties().run == Executed::Maybe {
        return e;
    }
    let kind = match e.kind {
        Kind::Expired => Kind::Timeout,
        _ => Kind::TargetFailed,
    };
    Error::new(kind, e.detail)
}
