//! Takes the ends of sends: answers, tries again, or gives up.

use super::{Action, Gossip, Live, Requests, SendOutcome, Stage};
use crate::error::Run;
use crate::prelude::*;
use crate::queue::RequestKey;
use crate::retry::TRIES;
use crate::route::{Sign, TargetKey};

/// A target that holds a request so many times the expected service time is stalled.
const STALL_FACTOR: f64 = 8.0;
/// The shortest service time that is expected when a target is judged as stalled.
const STALL_MIN_MS: f64 = 10.0;

impl SendOutcome {
    /// Returns whether the target provably didn't run the request.
    #[must_use]
    pub const fn not_run(self) -> bool {
        matches!(self, Self::Refused | Self::NotSent | Self::Busy)
    }

    /// Returns what the end says about the target, if anything. Callers choose deadlines and what
    /// they ask for, so that a short deadline or a large answer alone says nothing.
    const fn sign(self, stalled: bool) -> Option<Sign> {
        match self {
            Self::Answered => Some(Sign::Good),
            Self::Refused => Some(Sign::Refused),
            Self::Busy => Some(Sign::Busy),
            Self::ServerError | Self::NotSent | Self::Broken | Self::Bad => Some(Sign::Bad),
            Self::Late if stalled => Some(Sign::Bad),
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
    pub(super) fn ended(
        &mut self,
        now: UnixMs,
        request: RequestKey,
        end: SendOutcome,
        leaving: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(live) = self.live.get_mut(&request) else {
            return;
        };
        let Stage::Sent(target, since) = live.stage else {
            return;
        };
        live.maybe |= !end.not_run();
        live.avoid = Some(target);
        let (class, caller) = (live.place.class, live.caller);
        let held_ms = now.since(since).max(1);
        self.release(request, target);
        if end == SendOutcome::Late {
            // The target may still be at it.
            self.routes.start(now, target);
        }
        self.meter.used(caller, held_ms);
        if end == SendOutcome::Answered {
            self.service(class).sample(now, held_ms);
        }
        let expect_ms = self.service(class).expect(now);
        let stalled = held_ms as f64 >= STALL_FACTOR * expect_ms.max(STALL_MIN_MS);
        if let Some(sign) = end.sign(stalled) {
            self.routes.judge(now, target, sign);
        }
        self.spread(target, end, leaving, out);
        match end {
            SendOutcome::Answered | SendOutcome::ServerError => self.finish(request, Ok(()), out),
            _ => self.failed(now, request, end, out),
        }
    }

    /// Tells the other daemons what the end of a send says about its target.
    fn spread(
        &mut self,
        target: TargetKey,
        end: SendOutcome,
        leaving: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(name) = self.routes.vm(target).map(|vm| vm.name.clone()) else {
            return;
        };
        if leaving {
            self.leave(&name, out);
        }
        if end == SendOutcome::Refused {
            out.push(Action::CloseIdle(target));
            out.push(Action::Gossip(Gossip::Refused(name)));
        }
    }

    fn failed(
        &mut self,
        now: UnixMs,
        request: RequestKey,
        end: SendOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(live) = self.live.get_mut(&request) else {
            return;
        };
        let again = (end.not_run() || live.idempotent)
            && live.tries < TRIES
            && !live.deadline.passed(now)
            && self.queue.fits(live.bytes);
        if !again {
            let e = Error::new(end.kind(), "the target failed");
            self.finish(request, Err(e), out);
            return;
        }
        self.hold_back(now, request);
    }

    /// Lets a request wait for its next try.
    pub(super) fn hold_back(&mut self, now: UnixMs, request: RequestKey) {
        if let Some(live) = self.live.get_mut(&request) {
            let due = self.budget.due(now, live.tries);
            live.stage = Stage::Backoff(due);
            self.queue.hold(live.bytes);
            self.timers.insert((due, request));
        }
    }

    pub(super) fn run_timers(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        while let Some((due, request)) = self.timers.first().copied()
            && due.passed(now)
        {
            self.timers.pop_first();
            let Some(live) = self.live.get(&request) else {
                continue;
            };
            match live.stage {
                Stage::Sent(..) | Stage::Claiming(_) => {}
                Stage::Queued | Stage::Backoff(_) if live.deadline.passed(now) => {
                    self.counts.expired += 1;
                    self.unqueue(request);
                    let e = Error::new(Kind::Expired, "the deadline passed");
                    self.finish(request, Err(e), out);
                }
                Stage::Backoff(at) if at == due => self.again(request),
                Stage::Queued | Stage::Backoff(_) => {}
            }
        }
    }

    /// Queues a request again whose backoff is over.
    fn again(&mut self, request: RequestKey) {
        if let Some(mut live) = self.live.remove(&request) {
            live.stage = Stage::Queued;
            self.queue.unhold(live.bytes);
            self.enqueue(request, &live, true);
            self.live.insert(request, live);
        }
    }

    /// Takes a request out that waits in the queue or for its next try.
    fn unqueue(&mut self, request: RequestKey) {
        if let Some(live) = self.live.get(&request) {
            let (lane, caller) = (live.place.lane, live.caller);
            match live.stage {
                Stage::Backoff(_) => self.queue.unhold(live.bytes),
                _ => {
                    self.queue.remove(lane, caller, request);
                }
            }
        }
    }

    pub(super) fn give_up(&mut self, request: RequestKey, out: &mut Vec<Action>) {
        let Some(live) = self.live.get(&request) else {
            return;
        };
        if matches!(live.stage, Stage::Queued | Stage::Backoff(_)) {
            self.unqueue(request);
            let e = Error::new(Kind::Expired, "the caller hung up");
            self.finish(request, Err(e), out);
        }
    }

    /// Ends a request that neither waits nor holds a slot.
    pub(super) fn finish(
        &mut self,
        request: RequestKey,
        verdict: Result<()>,
        out: &mut Vec<Action>,
    ) {
        let Some(live) = self.live.remove(&request) else {
            return;
        };
        self.timers.remove(&(live.deadline, request));
        let verdict = verdict.map_err(|e| truthful(&live, e));
        if live.claimed {
            let kind = verdict.as_ref().err().map(|e| e.kind);
            out.push(Action::Settle(request, kind));
        }
        out.push(Action::Answer(request, verdict));
    }
}

/// Turns an error that says "not run" into one that doesn't when a try may have run.
fn truthful(live: &Live, e: Error) -> Error {
    if !live.maybe || e.kind.answer().run == Run::Maybe {
        return e;
    }
    let kind = match e.kind {
        Kind::Expired => Kind::Timeout,
        _ => Kind::TargetFailed,
    };
    Error::new(kind, e.detail)
}
