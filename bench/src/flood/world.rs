//! Daemons and runners under a fake clock: a trace flows in, counts by group flow out.
//!
//! The daemons are the shipping filters; runners and the network are fakes.

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

use super::trace::{Arrive, Scenario};

/// Runners.
pub(super) const RUNNERS: usize = 50;
/// Slots of a runner.
pub(super) const RUNNER_SLOTS: u16 = 8;
/// Daemons.
pub(super) const DAEMONS: usize = 6;
/// One way through the network, in milliseconds.
const WAY_MS: u64 = 1;
/// The time between steps of a daemon, in milliseconds.
const TICK_MS: u64 = 10;
/// The time before requests are counted, in milliseconds.
pub(super) const WARM_MS: u64 = 2_500;
/// The time after the last counted arrival in which the load goes on, in milliseconds.
pub(super) const TAIL_MS: u64 = 1_500;
/// The start of the fake clock.
const START: UnixMs = UnixMs(1_000_000);

/// What became of the requests of one group.
pub(super) struct Tally {
    pub(super) asked: u64,
    pub(super) answered: u64,
    pub(super) refused: BTreeMap<Kind, u64>,
    pub(super) times: Histogram<u64>,
}

/// What a run gave.
pub(super) struct Outcome {
    pub(super) groups: BTreeMap<&'static str, Tally>,
    pub(super) sent: u64,
    pub(super) retried: u64,
    /// Busy answers of runners.
    pub(super) busy: u64,
    /// The most requests in one runner's slots.
    pub(super) most: u16,
}

enum Happening {
    Arrive(usize),
    Reach(usize, RequestKey, TargetKey),
    Done(usize, RequestKey, TargetKey),
    Late(usize, RequestKey),
    Heard(usize, usize, Gossip),
    Tick(usize),
}

struct World<'a> {
    scenario: &'a Scenario,
    trace: &'a [Arrive],
    counted: std::ops::Range<u64>,
    now_ms: u64,
    order: u64,
    coming: BinaryHeap<Reverse<(u64, u64, usize)>>,
    happenings: Vec<Option<Happening>>,
    daemons: Vec<Requests>,
    used: HashMap<String, u16>,
    open: HashMap<(usize, RequestKey), bool>,
    outcome: Outcome,
}

/// Runs one scenario under one set of policies.
pub(super) fn run(
    scenario: &Scenario,
    trace: &[Arrive],
    policies: Policies,
    bounds: Bounds,
    length_ms: u64,
) -> Outcome {
    let tallies = scenario.sources.iter().map(|s| (s.group, Tally::new()));
    let mut world = World {
        scenario,
        trace,
        counted: WARM_MS..length_ms,
        now_ms: 0,
        order: 0,
        coming: BinaryHeap::new(),
        happenings: Vec::new(),
        daemons: daemons(policies, bounds),
        used: HashMap::new(),
        open: HashMap::new(),
        outcome: Outcome {
            groups: tallies.collect(),
            sent: 0,
            retried: 0,
            busy: 0,
            most: 0,
        },
    };
    for (i, arrive) in trace.iter().enumerate() {
        world.plan(arrive.at_ms, Happening::Arrive(i));
    }
    for daemon in 0..DAEMONS {
        world.plan(daemon as u64, Happening::Tick(daemon));
    }
    while let Some(Reverse((at, _, i))) = world.coming.pop() {
        if at > length_ms + TAIL_MS {
            break;
        }
        world.now_ms = at;
        if let Some(happening) = world.happenings[i].take() {
            world.happen(happening);
        }
    }
    for daemon in &world.daemons {
        world.outcome.sent += daemon.counts().sent;
        world.outcome.retried += daemon.counts().retried;
    }
    world.outcome
}

impl Tally {
    fn new() -> Self {
        Self {
            asked: 0,
            answered: 0,
            refused: BTreeMap::new(),
            times: Histogram::new_with_bounds(1, 60_000, 3).unwrap_or_else(|e| panic!("{e}")),
        }
    }
}

impl World<'_> {
    fn now(&self) -> UnixMs {
        START.after(self.now_ms)
    }

    fn plan(&mut self, at_ms: u64, happening: Happening) {
        self.order += 1;
        self.happenings.push(Some(happening));
        let entry = (at_ms, self.order, self.happenings.len() - 1);
        self.coming.push(Reverse(entry));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(i) => self.arrive(i),
            Happening::Reach(daemon, request, target) => self.reach(daemon, request, target),
            Happening::Done(daemon, request, target) => self.done(daemon, request, target),
            Happening::Late(daemon, request) => {
                if let Some(late) = self.open.get_mut(&(daemon, request)) {
                    *late = true;
                    self.step(daemon, Event::SendEnded(request, SendOutcome::Late, false));
                }
            }
            Happening::Heard(daemon, from, gossip) => {
                self.step(daemon, Event::Gossip(format!("entry-{from}"), gossip));
            }
            Happening::Tick(daemon) => {
                self.step(daemon, Event::Tick);
                self.plan(self.now_ms + TICK_MS, Happening::Tick(daemon));
            }
        }
    }

    fn arrive(&mut self, i: usize) {
        let arrive = self.trace[i];
        let source = self.scenario.sources[arrive.source];
        if self.counted.contains(&arrive.at_ms) {
            self.tally(i).asked += 1;
        }
        let arrival = Arrival {
            caller: format!("{}-{}", source.group, arrive.caller),
            workspace: String::new(),
            service: "expiry".to_owned(),
            labels: Labels::from([("tier".to_owned(), source.tier.to_owned())]),
            deadline: None,
            idempotent: true,
            claim: false,
            bytes: 1_024,
        };
        let arrived = Event::Arrived(RequestKey(i as u64), Box::new(arrival));
        self.step(arrive.daemon, arrived);
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
                Action::Send(request, target, end) => {
                    self.open.insert((daemon, request), false);
                    let reach = Happening::Reach(daemon, request, target);
                    self.plan(self.now_ms + WAY_MS, reach);
                    self.plan(end.since(START), Happening::Late(daemon, request));
                }
                Action::Answer(request, verdict) => self.answered(request, verdict),
                Action::Gossip(gossip) => {
                    for other in (0..DAEMONS).filter(|d| *d != daemon) {
                        let at = self.now_ms + WAY_MS;
                        self.plan(at, Happening::Heard(other, daemon, gossip.clone()));
                    }
                }
                Action::Claim(..) | Action::Settle(..) | Action::CloseIdle(_) => {}
            }
        }
    }

    fn reach(&mut self, daemon: usize, request: RequestKey, target: TargetKey) {
        let vm = self.daemons[daemon].routes().vm(target);
        let name = vm.map(|vm| vm.name.clone()).unwrap_or_default();
        let used = self.used.entry(name).or_default();
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
        self.outcome.most = self.outcome.most.max(*used);
        let service_ms = self.trace[request.0 as usize].service_ms;
        let at = self.now_ms + service_ms + WAY_MS;
        self.plan(at, Happening::Done(daemon, request, target));
    }

    fn done(&mut self, daemon: usize, request: RequestKey, target: TargetKey) {
        let vm = self.daemons[daemon].routes().vm(target);
        if let Some(used) = vm.and_then(|vm| self.used.get_mut(&vm.name)) {
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

    fn answered(&mut self, request: RequestKey, verdict: Result<()>) {
        let i = request.0 as usize;
        let at_ms = self.trace[i].at_ms;
        let took_ms = self.now_ms - at_ms;
        if !self.counted.contains(&at_ms) {
            return;
        }
        let tally = self.tally(i);
        match verdict {
            Ok(()) => {
                tally.answered += 1;
                tally.times.saturating_record(took_ms.max(1));
            }
            Err(e) => *tally.refused.entry(e.kind).or_default() += 1,
        }
    }
}

fn daemons(policies: Policies, bounds: Bounds) -> Vec<Requests> {
    let names: Vec<String> = (0..DAEMONS).map(|i| format!("entry-{i}")).collect();
    let config = Arc::new(config());
    let vms: Vec<Vm> = (0..RUNNERS).map(runner).collect();
    let make = |(i, name): (usize, &String)| {
        let mut path = Requests::with_policies(name, bounds, i as u64, START, policies);
        let mut out = Vec::new();
        path.step(START, Event::Config(config.clone()), &mut out);
        path.step(START, Event::Members(names.clone()), &mut out);
        path.step(START, Event::Vms(vms.clone()), &mut out);
        path
    };
    names.iter().enumerate().map(make).collect()
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
