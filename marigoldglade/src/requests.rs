//! The path of short requests through one daemon: classify, admit, queue, route, send, retry,
//! answer.
//!
//! [`Requests::step`] takes an [`Event`] and returns [`Action`]s; it does no I/O itself. The stages
//! are the modules [`classify`](mod@crate::classify), [`admit`](mod@crate::admit),
//! [`queue`](mod@crate::queue), [`route`](mod@crate::route) and [`retry`](mod@crate::retry); this
//! module combines them and keeps the unanswered requests.

mod dispatch;
mod finish;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::admit::{self, Load, ServiceTime};
use crate::classify::{Assignment, ClassKey, Classifier};
use crate::config::Config;
use crate::prelude::*;
use crate::queue::{Bounds, Entry, Queue, RequestKey};
use crate::retry::Budget;
use crate::route::{Routes, TargetKey};
use crate::share::{CallerKey, Meter, SKETCH_INTERVAL_MS, Sketch};
use crate::slots;
use crate::wire::Vm;

/// The number of ticks that the moving average of `waiting_share` spans.
const WAITING_TICKS: f64 = 16.0;

/// A request that came in from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The caller's name.
    pub caller: String,
    /// The workspace that the request is counted for.
    pub workspace: String,
    /// The service that the request is for.
    pub service: String,
    /// The request's labels, which the classes' selectors match.
    pub labels: Labels,
    /// The deadline; without one the class sets it.
    pub deadline: Option<UnixMs>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request has to be claimed by its idempotency key before it is sent.
    pub claim: bool,
    /// The memory that the request holds, in bytes.
    pub bytes: u32,
}

/// How sending a request to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The complete answer to this request came, with a status other than 5xx.
    Answered,
    /// The target refused the connection; nothing was sent.
    Refused,
    /// Nothing was sent, for another reason.
    NotSent,
    /// The complete answer to this request came, with a 5xx status.
    ServerError,
    /// The target answered that it didn't run the request.
    Busy,
    /// The connection failed after the first byte was sent and before a valid answer began.
    Broken,
    /// The answer was incomplete or belonged to another request.
    Bad,
    /// The answer was larger than the limit.
    Oversize,
    /// The deadline passed after the first byte was sent; [`Event::SlotFreed`] frees the slot.
    Late,
}

/// What daemons tell each other about requests and their targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Gossip {
    /// The heaviest callers at the sender.
    Share(Sketch),
    /// The named VM said that it is leaving.
    Leaving(String),
    /// The named VM refused a connection.
    Refused(String),
}

/// An input of the request path.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new version of the configuration applies.
    Config(Arc<Config>),
    /// The set of live daemons changed to these names.
    Members(Vec<String>),
    /// The VM list changed to this one.
    Vms(Vec<Vm>),
    /// A request came in from a caller.
    Arrived(RequestKey, Box<Arrival>),
    /// The request is claimed, or the claim failed with this error, which the caller gets.
    Claimed(RequestKey, Result<()>),
    /// A send ended. The flag says whether the target announced that it is leaving.
    SendEnded(RequestKey, SendOutcome, bool),
    /// The target no longer works on a request that ended as [`SendOutcome::Late`].
    SlotFreed(TargetKey),
    /// The caller hung up.
    Abandoned(RequestKey),
    /// Gossip came from the named daemon.
    Gossip(String, Gossip),
    /// The shell's regular tick, which runs the timers.
    Tick,
}

/// An output of the request path, for the shell to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Claim the request until the deadline; it is sent after [`Event::Claimed`] only.
    Claim(RequestKey, UnixMs),
    /// Send the request to the target and wait for the answer until the deadline.
    Send(RequestKey, TargetKey, UnixMs),
    /// Answer the caller with the target's answer or with an error.
    Answer(RequestKey, Result<()>),
    /// Settle the claim of a request that was answered, or that failed with this kind. The claim of
    /// a request that provably didn't run is released.
    Settle(RequestKey, Option<Kind>),
    /// Close the idle connections to this target.
    CloseIdle(TargetKey),
    /// Send this to all other daemons.
    Gossip(Gossip),
}

/// The stage of an unanswered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Queued,
    /// The request holds a slot of the target and waits for its claim.
    Claiming(TargetKey),
    /// The request was sent to the target at this time.
    Sent(TargetKey, UnixMs),
    /// The request is queued again at this time.
    Backoff(UnixMs),
}

/// An unanswered request.
struct Pending {
    assignment: Assignment,
    caller: CallerKey,
    bytes: u32,
    deadline: UnixMs,
    idempotent: bool,
    claim: bool,
    claimed: bool,
    // Whether a target may have run the request.
    maybe_ran: bool,
    tries: u8,
    avoid: Option<TargetKey>,
    stage: Stage,
}

/// Counters since the start of the process, for metrics and benchmarks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// How many requests were sent at least once.
    pub sent: u64,
    /// How many sends were retries.
    pub retried: u64,
    /// How many requests were refused because they couldn't meet their deadline.
    pub infeasible: u64,
    /// How many requests were refused or removed because the queue was full.
    pub shed: u64,
    /// How many requests expired while they waited to be sent.
    pub expired: u64,
}

/// The policies of the request path, which benchmarks vary.
#[derive(Clone, Copy)]
pub struct Policies {
    /// How a runner's slots are split among the daemons.
    pub slots: slots::Policy,
    /// Whether slots that other daemons leave idle are borrowed.
    pub borrow_slots: bool,
    /// Which requests are accepted into the queue.
    pub admit: admit::Policy,
    /// Whether the callers of a lane are served in turn, each from its own queue.
    pub fair_callers: bool,
    /// Whether more urgent classes are served first.
    pub use_urgency: bool,
    /// Whether a caller's use of other daemons reduces its weight here.
    pub global_usage: bool,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            slots: slots::split,
            borrow_slots: true,
            admit: admit::by_deadline,
            fair_callers: true,
            use_urgency: true,
            global_usage: true,
        }
    }
}

/// The request path of one daemon.
pub struct Requests {
    policies: Policies,
    classifier: Classifier,
    ready: bool,
    queue: Queue,
    routes: Routes,
    budget: Budget,
    meter: Meter,
    // By class.
    service_times: Vec<ServiceTime>,
    // How many slots of targets the requests of each class hold.
    in_flight: Vec<u32>,
    pending: HashMap<RequestKey, Pending>,
    timers: BTreeSet<(UnixMs, RequestKey)>,
    gossip_at: UnixMs,
    // The moving average of the share of ticks with waiting requests, from 0 to 1.
    waiting_share: f64,
    // The offset by which lanes of equal urgency take turns.
    rotation: usize,
    counts: Counts,
}

impl Requests {
    /// Creates the request path of the daemon `me`, without a configuration and targets.
    #[must_use]
    pub fn new(me: &str, bounds: Bounds, seed: u64, now: UnixMs) -> Self {
        Self::with_policies(me, bounds, seed, now, Policies::default())
    }

    /// Creates a request path with other policies than the default ones.
    #[must_use]
    pub fn with_policies(
        me: &str,
        bounds: Bounds,
        seed: u64,
        now: UnixMs,
        policies: Policies,
    ) -> Self {
        Self {
            policies,
            classifier: Classifier::new(),
            ready: false,
            queue: Queue::new(bounds),
            routes: Routes::new(me, policies.slots, seed),
            budget: Budget::new(seed ^ 1),
            meter: Meter::new(now),
            service_times: Vec::new(),
            in_flight: Vec::new(),
            pending: HashMap::new(),
            timers: BTreeSet::new(),
            gossip_at: now.after(SKETCH_INTERVAL_MS),
            waiting_share: 0.0,
            rotation: 0,
            counts: Counts::default(),
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: UnixMs, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Config(config) => self.load_config(config),
            Event::Members(names) => self.routes.set_members(&names),
            Event::Vms(vms) => self.set_vms(vms, out),
            Event::Arrived(request, arrival) => self.accept(now, request, &arrival, out),
            Event::Claimed(request, verdict) => self.handle_claim(now, request, verdict, out),
            Event::SendEnded(request, outcome, leaving) => {
                self.handle_send_end(now, request, outcome, leaving, out);
            }
            Event::SlotFreed(target) => self.routes.release_slot(target),
            Event::Abandoned(request) => self.abandon(request, out),
            Event::Gossip(from, gossip) => self.receive_gossip(now, &from, gossip, out),
            Event::Tick => self.tick(now, out),
        }
        self.dispatch(now, out);
    }

    /// Returns the routes, which hold the targets.
    #[must_use]
    pub fn routes(&self) -> &Routes {
        &self.routes
    }

    /// Returns the queue of waiting requests.
    #[must_use]
    pub fn queue(&self) -> &Queue {
        &self.queue
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns how many requests are unanswered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no request is unanswered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    fn load_config(&mut self, config: Arc<Config>) {
        self.classifier.load(config);
        self.ready = true;
    }

    fn set_vms(&mut self, vms: Vec<Vm>, out: &mut Vec<Action>) {
        let listed: Vec<String> = self.routes.listed_vms().map(str::to_owned).collect();
        for name in listed {
            if !vms.iter().any(|vm| vm.name == name) {
                self.routes.remove_vm(&name);
            }
        }
        for vm in vms {
            let (name, leaving) = (vm.name.clone(), vm.leaving);
            self.routes.set_vm(vm);
            if leaving {
                self.mark_leaving(&name, out);
            }
        }
    }

    fn mark_leaving(&mut self, name: &str, out: &mut Vec<Action>) {
        if self.routes.mark_leaving(name) {
            out.push(Action::Gossip(Gossip::Leaving(name.to_owned())));
            out.extend(self.routes.find_target(name).map(Action::CloseIdle));
        }
    }

    fn receive_gossip(&mut self, now: UnixMs, from: &str, gossip: Gossip, out: &mut Vec<Action>) {
        match gossip {
            Gossip::Share(mut sketch) => {
                if !self.policies.global_usage {
                    sketch.callers.clear();
                }
                self.meter.receive(now, from, sketch);
            }
            Gossip::Leaving(name) => {
                if self.routes.mark_leaving(&name) {
                    out.extend(self.routes.find_target(&name).map(Action::CloseIdle));
                }
            }
            Gossip::Refused(name) => {
                if let Some(target) = self.routes.find_target(&name) {
                    self.routes
                        .update_health(now, target, crate::route::HealthSignal::Refused);
                    out.push(Action::CloseIdle(target));
                }
            }
        }
    }

    fn accept(
        &mut self,
        now: UnixMs,
        request: RequestKey,
        arrival: &Arrival,
        out: &mut Vec<Action>,
    ) {
        let admitted = self.validate(now, arrival).and_then(|pending| {
            self.admit(now, &pending, out)?;
            Ok(pending)
        });
        match admitted {
            Ok(pending) => {
                self.timers.insert((pending.deadline, request));
                self.enqueue(request, &pending, false);
                self.pending.insert(request, pending);
            }
            Err(e) => out.push(Action::Answer(request, Err(e))),
        }
    }

    fn enqueue(&mut self, request: RequestKey, pending: &Pending, at_front: bool) {
        let entry = Entry {
            request,
            bytes: pending.bytes,
        };
        self.queue
            .push(pending.assignment.lane, pending.caller, entry, at_front);
    }

    fn validate(&mut self, now: UnixMs, arrival: &Arrival) -> Result<Pending> {
        if !self.ready {
            return Err(Error::new(Kind::NotReady, "no configuration yet"));
        }
        let assignment =
            self.classifier
                .assign(&arrival.workspace, &arrival.service, &arrival.labels)?;
        let class = self.classifier.class(assignment.class);
        let answer_ms = class.map_or(0, |c| c.answer_ms);
        let deadline = arrival.deadline.unwrap_or(now.after(answer_ms));
        if deadline.passed(now) {
            return Err(Error::new(Kind::Expired, "the deadline has passed"));
        }
        let caller = if self.policies.fair_callers {
            CallerKey::new(&arrival.workspace, &arrival.caller)
        } else {
            CallerKey(0)
        };
        Ok(Pending {
            assignment,
            caller,
            bytes: arrival.bytes,
            deadline,
            idempotent: arrival.idempotent,
            claim: arrival.claim,
            claimed: false,
            maybe_ran: false,
            tries: 0,
            avoid: None,
            stage: Stage::Queued,
        })
    }

    fn admit(&mut self, now: UnixMs, pending: &Pending, out: &mut Vec<Action>) -> Result<()> {
        let lane = &self.classifier.lanes()[usize::from(pending.assignment.lane.0)];
        if !self.routes.has_target(pending.assignment.lane, lane) {
            return Err(Error::new(
                Kind::NoTarget,
                "no target matches, or all that match are leaving",
            ));
        }
        if !(self.policies.admit)(&self.measure_load(now, pending)) {
            self.counts.infeasible += 1;
            return Err(Error::new(Kind::Shed, "the deadline can't be met"));
        }
        if !self.queue.can_ever_fit(pending.bytes) {
            return Err(Error::new(
                Kind::TooLarge,
                "the request is larger than the whole queue",
            ));
        }
        while !self.queue.fits(pending.bytes) {
            self.make_queue_space(pending, out)?;
        }
        Ok(())
    }

    fn measure_load(&mut self, now: UnixMs, pending: &Pending) -> Load {
        let assignment = pending.assignment;
        let lane = &self.classifier.lanes()[usize::from(assignment.lane.0)];
        // Without a free slot even the first request in the queue waits, so it counts as one more.
        let ahead = match self.routes.pick(now, assignment.lane, lane, None) {
            Some(_) => 0,
            None => self.queue.ahead(assignment.lane, pending.caller) + 1,
        };
        Load {
            now,
            deadline: pending.deadline,
            ahead,
            queued: self.queue.len(),
            slots: self.class_slots(pending.assignment.class),
            service_ms: self.service_time(pending.assignment.class).estimate_ms(now),
        }
    }

    fn service_time(&mut self, class: ClassKey) -> &mut ServiceTime {
        let at = usize::from(class.0);
        if self.service_times.len() <= at {
            self.service_times.resize(at + 1, ServiceTime::default());
        }
        &mut self.service_times[at]
    }

    fn in_flight_mut(&mut self, class: ClassKey) -> &mut u32 {
        let at = usize::from(class.0);
        if self.in_flight.len() <= at {
            self.in_flight.resize(at + 1, 0);
        }
        &mut self.in_flight[at]
    }

    fn urgency(&self, class: ClassKey) -> u8 {
        let class = self.classifier.class(class);
        class
            .filter(|_| self.policies.use_urgency)
            .map_or(0, |c| c.urgency)
    }

    fn weights(&self) -> impl Fn(CallerKey) -> u32 + use<'_> {
        |caller| self.meter.weight(caller)
    }

    fn tick(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        self.meter.tick(now);
        let waits = if self.queue.is_empty() { 0.0 } else { 1.0 };
        self.waiting_share += (waits - self.waiting_share) / WAITING_TICKS;
        if self.policies.borrow_slots {
            self.routes.set_lenders(self.meter.count_lenders());
        }
        if self.gossip_at.passed(now) {
            self.gossip_at = now.after(SKETCH_INTERVAL_MS);
            let mut sketch = self.meter.sketch();
            sketch.full = self.waiting_share > 0.5;
            out.push(Action::Gossip(Gossip::Share(sketch)));
        }
        self.run_timers(now, out);
    }
}
