//! Simulates a trace and counts the answers and refusals by group.
//!
//! The daemons run the production request path; the clock, the runners and the network are
//! simulated.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;

use hdrhistogram::Histogram;
use marigoldglade::config::{Class, Config, Service};
use marigoldglade::prelude::*;
use marigoldglade::queue::{Bounds, RequestKey};
use marigoldglade::requests::{Action, Arrival, Event, Gossip, Policies, Requests, SendOutcome};
use marigoldglade::route::TargetKey;
use marigoldglade::wire::{Role, Vm};

use super::trace::{Scenario, TraceRequest};

/// The number of runners.
pub(super) const RUNNERS: usize = 50;
/// The number of slots of a runner.
pub(super) const RUNNER_SLOTS: u16 = 8;
/// The number of daemons.
pub(super) const DAEMONS: usize = 6;
/// The one-way delay of the network, in milliseconds.
const ONE_WAY_MS: u64 = 1;
/// The time between ticks of a daemon, in milliseconds.
const TICK_MS: u64 = 10;
/// The time before requests are counted, in milliseconds.
pub(super) const WARM_UP_MS: u64 = 2_500;
/// How long the load goes on after the last counted arrival, in milliseconds.
pub(super) const TAIL_MS: u64 = 1_500;
/// The start of the simulated clock.
const START: UnixMs = UnixMs(1_000_000);

/// The counted requests of one group.
pub(super) struct Tally {
    pub(super) received: u64,
    pub(super) answered: u64,
    pub(super) refused: BTreeMap<Kind, u64>,
    pub(super) latencies: Histogram<u64>,
}

/// The result of a run.
pub(super) struct Outcome {
    pub(super) groups: BTreeMap<&'static str, Tally>,
    pub(super) sent: u64,
    pub(super) retried: u64,
    /// The number of busy answers from runners.
    pub(super) busy: u64,
    /// The most slots that were used on one runner.
    pub(super) max_used: u16,
}

/// An event of the simulation. `Arrived` has an index into the trace; the others start with the
/// daemon's index, and `Gossip` adds the sender's.
enum SimEvent {
    Arrived(usize),
    Delivered(usize, RequestKey, TargetKey),
    Done(usize, RequestKey, TargetKey),
    TimedOut(usize, RequestKey),
    Gossip(usize, usize, Gossip),
    Tick(usize),
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    trace: &'a [TraceRequest],
    /// The arrival times of the requests that are counted, in milliseconds.
    counted_ms: std::ops::Range<u64>,
    now_ms: u64,
    seq: u64,
    /// The scheduled events: the time in milliseconds, the sequence number and the index in
    /// `events`.
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<SimEvent>>,
    daemons: Vec<Requests>,
    /// The used slots of each runner, by its name.
    used_slots: HashMap<String, u16>,
    /// The sent requests, each with whether its daemon has given up waiting for the answer.
    open: HashMap<(usize, RequestKey), bool>,
    outcome: Outcome,
}

/// Runs one scenario under one set of policies.
pub(super) fn run(
    scenario: &Scenario,
    trace: &[TraceRequest],
    policies: Policies,
    bounds: Bounds,
    length_ms: u64,
) -> Outcome {
    let tallies = scenario.sources.iter().map(|s| (s.group, Tally::new()));
    let mut sim = Simulation {
        scenario,
        trace,
        counted_ms: WARM_UP_MS..length_ms,
        now_ms: 0,
        seq: 0,
        queue: BinaryHeap::new(),
        events: Vec::new(),
        daemons: daemons(policies, bounds),
        used_slots: HashMap::new(),
        open: HashMap::new(),
        outcome: Outcome {
            groups: tallies.collect(),
            sent: 0,
            retried: 0,
            busy: 0,
            max_used: 0,
        },
    };
    for (i, request) in trace.iter().enumerate() {
        sim.schedule(request.at_ms, SimEvent::Arrived(i));
    }
    for daemon in 0..DAEMONS {
        sim.schedule(daemon as u64, SimEvent::Tick(daemon));
    }
    while let Some(Reverse((at, _, i))) = sim.queue.pop() {
        if at > length_ms + TAIL_MS {
            break;
        }
        sim.now_ms = at;
        if let Some(event) = sim.events[i].take() {
            sim.handle(event);
        }
    }
    for daemon in &sim.daemons {
        sim.outcome.sent += daemon.counts().sent;
        sim.outcome.retried += daemon.counts().retried;
    }
    sim.outcome
}

impl Tally {
    fn new() -> Self {
        Self {
            received: 0,
            answered: 0,
            refused: BTreeMap::new(),
            latencies: Histogram::new_with_bounds(1, 60_000, 3).unwrap_or_else(|e| panic!("{e}")),
        }
    }
}

impl Simulation<'_> {
    fn now(&self) -> UnixMs {
        START.after(self.now_ms)
    }

    fn schedule(&mut self, at_ms: u64, event: SimEvent) {
        self.seq += 1;
        self.events.push(Some(event));
        let entry = (at_ms, self.seq, self.events.len() - 1);
        self.queue.push(Reverse(entry));
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrived(i) => self.arrive(i),
            SimEvent::Delivered(daemon, request, target) => self.deliver(daemon, request, target),
            SimEvent::Done(daemon, request, target) => self.complete(daemon, request, target),
            SimEvent::TimedOut(daemon, request) => {
                if let Some(late) = self.open.get_mut(&(daemon, request)) {
                    *late = true;
                    self.step(daemon, Event::SendEnded(request, SendOutcome::Late, false));
                }
            }
            SimEvent::Gossip(daemon, from, gossip) => {
                self.step(daemon, Event::Gossip(format!("entry-{from}"), gossip));
            }
            SimEvent::Tick(daemon) => {
                self.step(daemon, Event::Tick);
                self.schedule(self.now_ms + TICK_MS, SimEvent::Tick(daemon));
            }
        }
    }

    fn arrive(&mut self, i: usize) {
        let request = self.trace[i];
        let source = self.scenario.sources[request.source];
        if self.counted_ms.contains(&request.at_ms) {
            self.tally(i).received += 1;
        }
        let arrival = Arrival {
            caller: format!("{}-{}", source.group, request.caller),
            workspace: String::new(),
            service: "expiry".to_owned(),
            labels: Labels::from([("tier".to_owned(), source.tier.to_owned())]),
            deadline: None,
            idempotent: true,
            claim: false,
            bytes: 1_024,
        };
        let arrived = Event::Arrived(RequestKey(i as u64), Box::new(arrival));
        self.step(request.daemon, arrived);
    }

    fn tally(&mut self, i: usize) -> &mut Tally {
        let group = self.scenario.sources[self.trace[i].source].group;
        self.outcome.groups.entry(group).or_insert_with(Tally::new)
    }

    fn step(&mut self, daemon: usize, event: Event) {
        let mut out = Vec::new();
        let now = self.now();
        self.daemons[daemon].step(now, event, &mut out);
        for action in out {
            match action {
                Action::Send(request, target, deadline) => {
                    self.open.insert((daemon, request), false);
                    let delivered = SimEvent::Delivered(daemon, request, target);
                    self.schedule(self.now_ms + ONE_WAY_MS, delivered);
                    self.schedule(deadline.since(START), SimEvent::TimedOut(daemon, request));
                }
                Action::Answer(request, verdict) => self.record_answer(request, verdict),
                Action::Gossip(gossip) => {
                    for other in (0..DAEMONS).filter(|d| *d != daemon) {
                        let at = self.now_ms + ONE_WAY_MS;
                        self.schedule(at, SimEvent::Gossip(other, daemon, gossip.clone()));
                    }
                }
                Action::Claim(..) | Action::Settle(..) | Action::CloseIdle(_) => {}
            }
        }
    }

    fn deliver(&mut self, daemon: usize, request: RequestKey, target: TargetKey) {
        let vm = self.daemons[daemon].routes().vm(target);
        let name = vm.map(|vm| vm.name.clone()).unwrap_or_default();
        let used = self.used_slots.entry(name).or_default();
        if *used >= RUNNER_SLOTS {
            self.outcome.busy += 1;
            if self.open.remove(&(daemon, request)) == Some(false) {
                self.step(daemon, Event::SendEnded(request, SendOutcome::Busy, false));
            } else {
                self.step(daemon, Event::SlotFreed(target));
            }
            return;
        }
        *used += 1;
        self.outcome.max_used = self.outcome.max_used.max(*used);
        let service_ms = self.trace[request.0 as usize].service_ms;
        let at = self.now_ms + service_ms + ONE_WAY_MS;
        self.schedule(at, SimEvent::Done(daemon, request, target));
    }

    fn complete(&mut self, daemon: usize, request: RequestKey, target: TargetKey) {
        let vm = self.daemons[daemon].routes().vm(target);
        if let Some(used) = vm.and_then(|vm| self.used_slots.get_mut(&vm.name)) {
            *used -= 1;
        }
        match self.open.remove(&(daemon, request)) {
            Some(false) => self.step(
                daemon,
                Event::SendEnded(request, SendOutcome::Answered, false),
            ),
            _ => self.step(daemon, Event::SlotFreed(target)),
        }
    }

    fn record_answer(&mut self, request: RequestKey, verdict: Result<()>) {
        let i = request.0 as usize;
        let at_ms = self.trace[i].at_ms;
        let took_ms = self.now_ms - at_ms;
        if !self.counted_ms.contains(&at_ms) {
            return;
        }
        let tally = self.tally(i);
        match verdict {
            Ok(()) => {
                tally.answered += 1;
                tally.latencies.saturating_record(took_ms.max(1));
            }
            Err(e) => *tally.refused.entry(e.kind).or_default() += 1,
        }
    }
}

fn daemons(policies: Policies, bounds: Bounds) -> Vec<Requests> {
    let names: Vec<String> = (0..DAEMONS).map(|i| format!("entry-{i}")).collect();
    let config = Arc::new(config());
    let vms: Vec<Vm> = (0..RUNNERS).map(runner).collect();
    let make_daemon = |(i, name): (usize, &String)| {
        let mut requests = Requests::with_policies(name, bounds, i as u64, START, policies);
        let mut out = Vec::new();
        requests.step(START, Event::Config(config.clone()), &mut out);
        requests.step(START, Event::Members(names.clone()), &mut out);
        requests.step(START, Event::Vms(vms.clone()), &mut out);
        requests
    };
    names.iter().enumerate().map(make_daemon).collect()
}

fn config() -> Config {
    let class = |name: &str, urgency| Class {
        name: name.to_owned(),
        matches: Selector::parse(&format!("tier = {name}")).unwrap_or_default(),
        urgency,
        r#where: Selector::default(),
        answer_ms: 1_000,
        grace_ms: 0,
    };
    Config {
        classes: vec![class("gate", 0), class("crew", 3), class("sweep", 7)],
        services: vec![Service {
            name: "expiry".to_owned(),
            r#where: Selector::default(),
        }],
        ..Config::default()
    }
}

fn runner(i: usize) -> Vm {
    Vm {
        name: format!("runner-{i}"),
        addr: String::new(),
        role: Role::Runner,
        dc: "kista".to_owned(),
        rack: String::new(),
        accels: 0,
        slots: RUNNER_SLOTS,
        labels: Labels::new(),
        leaving: false,
    }
}
