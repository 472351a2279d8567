//! Sends waiting requests to targets with free slots, and sheds requests from a full queue.

use super::{Action, Pending, Requests, Stage};
use crate::classify::{Assignment, ClassKey, LaneKey};
use crate::prelude::*;
use crate::queue::{Entry, RequestKey};
use crate::route::TargetKey;

impl Requests {
    /// Counts the classes that have requests in the queue or at targets.
    fn count_active(&self) -> usize {
        let lanes = self.classifier.lanes();
        let waits = |class: usize| {
            let mut waiting = self.queue.waiting_lanes();
            waiting.any(|l| usize::from(lanes[usize::from(l.0)].class.0) == class)
        };
        let in_flight = |class: usize| self.in_flight.get(class).is_some_and(|n| *n > 0);
        let classes = 0..usize::from(u16::MAX);
        let classes = classes.take_while(|c| self.classifier.class(ClassKey(*c as u16)).is_some());
        classes.filter(|c| in_flight(*c) || waits(*c)).count()
    }

    /// Returns the equal share of the slots that each active class is entitled to.
    fn fair_slots(&self) -> f64 {
        f64::from(self.routes.usable_slots()) / self.count_active().max(1) as f64
    }

    /// Returns the slots that a class can count on: its share, or what the others leave free if
    /// that is more. A less urgent class counts as holding at most its share, since it yields the
    /// rest.
    pub(super) fn class_slots(&self, class: ClassKey) -> f64 {
        let total = f64::from(self.routes.usable_slots());
        let share = total / self.count_active().max(1) as f64;
        let urgency = self.urgency(class);
        let held = |(i, n): (usize, &u32)| {
            let n = f64::from(*n);
            let yields = self.urgency(ClassKey(i as u16)) > urgency;
            if yields { n.min(share) } else { n }
        };
        let others = self.in_flight.iter().enumerate();
        let others = others.filter(|(i, _)| *i != usize::from(class.0));
        let taken: f64 = others.map(held).sum();
        share.max(total - taken).max(1.0)
    }

    /// Returns the lanes with waiting requests in the order in which they are served: classes below
    /// their share first, then by urgency, then in rotation.
    fn lane_order(&self) -> Vec<LaneKey> {
        let share = self.fair_slots();
        let lanes = self.classifier.lanes();
        let mut order: Vec<LaneKey> = self.queue.waiting_lanes().collect();
        order.sort_by_cached_key(|lane| {
            let class = lanes[usize::from(lane.0)].class;
            let held = self.in_flight.get(usize::from(class.0)).copied();
            let above = self.policies.use_urgency && f64::from(held.unwrap_or_default()) >= share;
            let turn = (usize::from(lane.0) + self.rotation) % lanes.len().max(1);
            (above, self.urgency(class), turn)
        });
        order
    }

    pub(super) fn dispatch(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        'next: while !self.queue.is_empty() {
            for lane in self.lane_order() {
                if self.serve_lane(now, lane, out) {
                    self.rotation = self.rotation.wrapping_add(1);
                    continue 'next;
                }
            }
            break;
        }
    }

    /// Sends, delays or ends the next request of the lane; returns whether it did so.
    fn serve_lane(&mut self, now: UnixMs, lane: LaneKey, out: &mut Vec<Action>) -> bool {
        let lane_info = &self.classifier.lanes()[usize::from(lane.0)];
        if self.routes.pick(now, lane, lane_info, None).is_none() {
            return false;
        }
        let meter = &self.meter;
        let Some(entry) = self.queue.pop(lane, |c| meter.weight(c)) else {
            return false;
        };
        let Some(pending) = self.pending.get(&entry.request) else {
            return true;
        };
        let (assignment, deadline, avoid, tries) = (
            pending.assignment,
            pending.deadline,
            pending.avoid,
            pending.tries,
        );
        let service_ms = self.service_time(assignment.class).estimate_ms(now);
        if (deadline.since(now) as f64) < service_ms {
            self.counts.expired += 1;
            let e = Error::new(
                Kind::Expired,
                "less time is left than the expected service time",
            );
            self.finish(entry.request, Err(e), out);
            return true;
        }
        let lane_info = &self.classifier.lanes()[usize::from(lane.0)];
        let Some(target) = self.routes.pick(now, lane, lane_info, avoid) else {
            return self.put_back(entry, assignment);
        };
        // A retry is taken from the budget when it is sent, so that the budget holds over any
        // period.
        if tries > 0 && !self.budget.take() {
            self.delay_retry(now, entry.request);
            return true;
        }
        self.routes.occupy_slot(now, target);
        *self.in_flight_mut(assignment.class) += 1;
        self.send_or_claim(now, entry.request, target, out);
        true
    }

    /// Puts a request back at the front of its lane because only the target that it avoids is free.
    fn put_back(&mut self, entry: Entry, assignment: Assignment) -> bool {
        if let Some(pending) = self.pending.get(&entry.request) {
            let caller = pending.caller;
            self.queue.push(assignment.lane, caller, entry, true);
        }
        false
    }

    fn send_or_claim(
        &mut self,
        now: UnixMs,
        request: RequestKey,
        target: TargetKey,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        if pending.claim && !pending.claimed {
            pending.stage = Stage::Claiming(target);
            out.push(Action::Claim(request, pending.deadline));
            return;
        }
        pending.stage = Stage::Sent(target, now);
        pending.tries += 1;
        if pending.tries == 1 {
            self.counts.sent += 1;
            self.budget.record_send();
        } else {
            self.counts.retried += 1;
        }
        out.push(Action::Send(request, target, pending.deadline));
    }

    pub(super) fn handle_claim(
        &mut self,
        now: UnixMs,
        request: RequestKey,
        verdict: Result<()>,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let Stage::Claiming(target) = pending.stage else {
            return;
        };
        pending.claimed = verdict.is_ok();
        let late = pending.deadline.passed(now);
        let expired = || {
            Error::new(
                Kind::Expired,
                "the deadline passed while the request was claimed",
            )
        };
        match verdict {
            Ok(()) if !late && self.routes.accepts_work(now, target) => {
                self.send_or_claim(now, request, target, out);
            }
            Ok(()) if !late => self.requeue(request, target, out),
            Ok(()) => {
                self.release_slot(request, target);
                self.finish(request, Err(expired()), out);
            }
            Err(e) => {
                self.release_slot(request, target);
                self.finish(request, Err(e), out);
            }
        }
    }

    /// Queues a claimed request again because its target can't take it any more.
    fn requeue(&mut self, request: RequestKey, target: TargetKey, out: &mut Vec<Action>) {
        self.release_slot(request, target);
        let bytes = self
            .pending
            .get(&request)
            .map_or(0, |pending| pending.bytes);
        if !self.queue.fits(bytes) {
            let e = Error::new(
                Kind::NoTarget,
                "the target is unavailable and the queue is full",
            );
            return self.finish(request, Err(e), out);
        }
        if let Some(mut pending) = self.pending.remove(&request) {
            pending.stage = Stage::Queued;
            self.enqueue(request, &pending, true);
            self.pending.insert(request, pending);
        }
    }

    /// Frees the slot that a request holds at a target.
    pub(super) fn release_slot(&mut self, request: RequestKey, target: TargetKey) {
        self.routes.release_slot(target);
        if let Some(pending) = self.pending.get(&request) {
            let class = pending.assignment.class;
            let in_flight = self.in_flight_mut(class);
            *in_flight = in_flight.saturating_sub(1);
        }
    }

    /// Sheds one waiting request in favour of `pending`, or returns an error if `pending` itself is
    /// to be shed. The least urgent class is shed first; within it the longest lane, and within the
    /// lane the caller with the most waiting requests for its weight.
    pub(super) fn make_queue_space(
        &mut self,
        pending: &Pending,
        out: &mut Vec<Action>,
    ) -> Result<()> {
        let lanes = self.classifier.lanes();
        let rank = |lane: LaneKey| {
            let class = lanes[usize::from(lane.0)].class;
            (self.urgency(class), self.queue.lane_len(lane), lane)
        };
        let own = (
            self.urgency(pending.assignment.class),
            1 + self.queue.lane_len(pending.assignment.lane),
        );
        let worst = self.queue.waiting_lanes().max_by_key(|l| rank(*l));
        let shed = || Error::new(Kind::Shed, "the queue is full");
        let worst = worst.filter(|l| {
            let rank = rank(*l);
            *l == pending.assignment.lane || (rank.0, rank.1) > own
        });
        let Some(lane) = worst else {
            self.counts.shed += 1;
            return Err(shed());
        };
        let arriving = (lane == pending.assignment.lane).then_some(pending.caller);
        let victim = self.queue.heaviest_caller(lane, arriving, self.weights());
        self.counts.shed += 1;
        let Some((caller, request)) = victim else {
            return Err(shed());
        };
        if arriving == Some(caller) {
            return Err(Error::new(
                Kind::OverQuota,
                "the queue is full and the caller is above its share",
            ));
        }
        self.queue.remove(lane, caller, request);
        self.finish(request, Err(shed()), out);
        Ok(())
    }
}
