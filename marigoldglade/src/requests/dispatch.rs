//! Matches waiting requests with free slots, and makes room in a full queue.

use super::{Action, Live, Requests, Stage};
use crate::classify::{ClassKey, LaneKey, Place};
use crate::prelude::*;
use crate::queue::{Entry, RequestKey};
use crate::route::TargetKey;

impl Requests {
    /// Returns the classes with requests that wait or are sent.
    fn active(&self) -> usize {
        let lanes = self.classifier.lanes();
        let waits = |class: usize| {
            let mut waiting = self.queue.waiting();
            waiting.any(|l| usize::from(lanes[usize::from(l.0)].class.0) == class)
        };
        let flying = |class: usize| self.flying.get(class).is_some_and(|n| *n > 0);
        let classes = 0..usize::from(u16::MAX);
        let classes = classes.take_while(|c| self.classifier.class(ClassKey(*c as u16)).is_some());
        classes.filter(|c| flying(*c) || waits(*c)).count()
    }

    /// Returns the slots that a class has a right to while others want them too.
    fn fair_slots(&self) -> f64 {
        f64::from(self.routes.slots()) / self.active().max(1) as f64
    }

    /// Returns the slots that a class can count on: its share, or what the others leave. A less
    /// urgent class yields what it holds above its share.
    pub(super) fn class_slots(&self, class: ClassKey) -> f64 {
        let total = f64::from(self.routes.slots());
        let share = total / self.active().max(1) as f64;
        let urgency = self.urgency(class);
        let held = |(i, n): (usize, &u32)| {
            let n = f64::from(*n);
            let yields = self.urgency(ClassKey(i as u16)) > urgency;
            if yields { n.min(share) } else { n }
        };
        let others = self.flying.iter().enumerate();
        let others = others.filter(|(i, _)| *i != usize::from(class.0));
        let taken: f64 = others.map(held).sum();
        share.max(total - taken).max(1.0)
    }

    /// Returns the waiting lanes, the next to be served first: classes within their share go
    /// before those above it, then urgency counts, then turns.
    fn order(&self) -> Vec<LaneKey> {
        let share = self.fair_slots();
        let lanes = self.classifier.lanes();
        let mut order: Vec<LaneKey> = self.queue.waiting().collect();
        order.sort_by_cached_key(|lane| {
            let class = lanes[usize::from(lane.0)].class;
            let held = self.flying.get(usize::from(class.0)).copied();
            let above = self.policies.use_urgency && f64::from(held.unwrap_or_default()) >= share;
            let turn = (usize::from(lane.0) + self.turn) % lanes.len().max(1);
            (above, self.urgency(class), turn)
        });
        order
    }

    pub(super) fn dispatch(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        'next: while !self.queue.is_empty() {
            for lane in self.order() {
                if self.serve(now, lane, out) {
                    self.turn = self.turn.wrapping_add(1);
                    continue 'next;
                }
            }
            break;
        }
    }

    /// Takes the next request of the lane; returns whether anything changed.
    fn serve(&mut self, now: UnixMs, lane: LaneKey, out: &mut Vec<Action>) -> bool {
        let rule = &self.classifier.lanes()[usize::from(lane.0)];
        if self.routes.pick(now, lane, rule, None).is_none() {
            return false;
        }
        let meter = &self.meter;
        let Some(entry) = self.queue.pop(lane, |c| meter.weight(c)) else {
            return false;
        };
        let Some(live) = self.live.get(&entry.request) else {
            return true;
        };
        let (place, end, avoid, tries) = (live.place, live.deadline, live.avoid, live.tries);
        let service_ms = self.service(place.class).expect(now);
        if (end.since(now) as f64) < service_ms {
            self.counts.expired += 1;
            let e = Error::new(Kind::Expired, "too little time is left");
            self.finish(entry.request, Err(e), out);
            return true;
        }
        let rule = &self.classifier.lanes()[usize::from(lane.0)];
        let Some(target) = self.routes.pick(now, lane, rule, avoid) else {
            return self.put_back(entry, place);
        };
        // A retry is paid for when it is sent, so that the budget holds over any window.
        if tries > 0 && !self.budget.take() {
            self.hold_back(now, entry.request);
            return true;
        }
        self.routes.start(now, target);
        *self.flying_of(place.class) += 1;
        self.launch(now, entry.request, target, out);
        true
    }

    /// Returns a request that has to avoid the only free target; the lane waits for another.
    fn put_back(&mut self, entry: Entry, place: Place) -> bool {
        if let Some(live) = self.live.get(&entry.request) {
            let caller = live.caller;
            self.queue.push(place.lane, caller, entry, true);
        }
        false
    }

    fn launch(
        &mut self,
        now: UnixMs,
        request: RequestKey,
        target: TargetKey,
        out: &mut Vec<Action>,
    ) {
        let Some(live) = self.live.get_mut(&request) else {
            return;
        };
        if live.claim && !live.claimed {
            live.stage = Stage::Claiming(target);
            out.push(Action::Claim(request, live.deadline));
            return;
        }
        live.stage = Stage::Sent(target, now);
        live.tries += 1;
        if live.tries == 1 {
            self.counts.sent += 1;
            self.budget.sent();
        } else {
            self.counts.retried += 1;
        }
        out.push(Action::Send(request, target, live.deadline));
    }

    pub(super) fn claimed(
        &mut self,
        now: UnixMs,
        request: RequestKey,
        verdict: Result<()>,
        out: &mut Vec<Action>,
    ) {
        let Some(live) = self.live.get_mut(&request) else {
            return;
        };
        let Stage::Claiming(target) = live.stage else {
            return;
        };
        live.claimed = verdict.is_ok();
        let late = live.deadline.passed(now);
        let expired = || Error::new(Kind::Expired, "the deadline passed while it was claimed");
        match verdict {
            Ok(()) if !late && self.routes.is_open(now, target) => {
                self.launch(now, request, target, out);
            }
            Ok(()) if !late => self.requeue(request, target, out),
            Ok(()) => {
                self.release(request, target);
                self.finish(request, Err(expired()), out);
            }
            Err(e) => {
                self.release(request, target);
                self.finish(request, Err(e), out);
            }
        }
    }

    /// Queues a claimed request again whose target left in the meantime.
    fn requeue(&mut self, request: RequestKey, target: TargetKey, out: &mut Vec<Action>) {
        self.release(request, target);
        let bytes = self.live.get(&request).map_or(0, |live| live.bytes);
        if !self.queue.fits(bytes) {
            let e = Error::new(Kind::NoTarget, "the target left and the queue is full");
            return self.finish(request, Err(e), out);
        }
        if let Some(mut live) = self.live.remove(&request) {
            live.stage = Stage::Queued;
            self.enqueue(request, &live, true);
            self.live.insert(request, live);
        }
    }

    /// Gives back the slot of a request.
    pub(super) fn release(&mut self, request: RequestKey, target: TargetKey) {
        self.routes.free(target);
        if let Some(live) = self.live.get(&request) {
            let class = live.place.class;
            let flying = self.flying_of(class);
            *flying = flying.saturating_sub(1);
        }
    }

    /// Sheds one waiting request for `live`, or refuses `live` when it is the one to go: the
    /// least urgent class first, then the caller with the longest line for its weight.
    pub(super) fn make_room(&mut self, live: &Live, out: &mut Vec<Action>) -> Result<()> {
        let lanes = self.classifier.lanes();
        let rank = |lane: LaneKey| {
            let class = lanes[usize::from(lane.0)].class;
            (self.urgency(class), self.queue.lane_len(lane), lane)
        };
        let own = (
            self.urgency(live.place.class),
            1 + self.queue.lane_len(live.place.lane),
        );
        let worst = self.queue.waiting().max_by_key(|l| rank(*l));
        let shed = || Error::new(Kind::Shed, "the queue is full");
        let worst = worst.filter(|l| {
            let rank = rank(*l);
            *l == live.place.lane || (rank.0, rank.1) > own
        });
        let Some(lane) = worst else {
            self.counts.overflowed += 1;
            return Err(shed());
        };
        let extra = (lane == live.place.lane).then_some(live.caller);
        let victim = self.queue.heaviest(lane, extra, self.weight());
        self.counts.overflowed += 1;
        let Some((caller, request)) = victim else {
            return Err(shed());
        };
        if extra == Some(caller) {
            return Err(Error::new(Kind::OverQuota, "the caller is above its share"));
        }
        self.queue.remove(lane, caller, request);
        self.finish(request, Err(shed()), out);
        Ok(())
    }
}
