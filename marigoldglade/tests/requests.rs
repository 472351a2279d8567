//! Tests of the request path, among them one that checks its invariants under random faults.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use marigoldglade::config::{Class, Config, Service, Workspace};
use marigoldglade::error::Executed;
use marigoldglade::prelude::*;
use marigoldglade::queue::{Bounds, RequestKey};
use marigoldglade::requests::{Action, Arrival, Event, Gossip, Requests, SendOutcome};
use marigoldglade::retry::{BURST, SENDS_PER_RETRY};
use marigoldglade::route::TargetKey;
use marigoldglade::share::Sketch;
use marigoldglade::slots;
use marigoldglade::wire::{Role, Vm};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CALLERS: [&str; 3] = ["gate", "crew", "sweep"];
const BOUNDS: Bounds = Bounds {
    len: 12,
    bytes: 4_000,
};

fn class(name: &str, urgency: u8) -> Class {
    Class {
        name: name.to_owned(),
        matches: Selector::parse(&format!("tier = {name}")).expect("a selector"),
        urgency,
        r#where: Selector::default(),
        answer_ms: 1_000,
        grace_ms: 0,
    }
}

fn config() -> Arc<Config> {
    Arc::new(Config {
        classes: vec![class("gate", 0), class("sweep", 7)],
        workspaces: vec![Workspace {
            name: "norden".to_owned(),
            labels: Labels::new(),
            r#where: Selector::default(),
            guarantee: Vec::new(),
            quota: 0,
        }],
        services: vec![Service {
            name: "expiry".to_owned(),
            r#where: Selector::default(),
        }],
        ..Config::default()
    })
}

fn vm(i: usize, slots: u16) -> Vm {
    Vm {
        name: format!("runner-{i}"),
        addr: format!("127.0.0.1:{}", 9_000 + i),
        role: Role::Runner,
        dc: "kista".to_owned(),
        rack: String::new(),
        accels: 0,
        slots,
        labels: Labels::new(),
        leaving: false,
    }
}

fn arrival(caller: &str, tier: &str) -> Arrival {
    Arrival {
        caller: caller.to_owned(),
        workspace: "norden".to_owned(),
        service: "expiry".to_owned(),
        labels: Labels::from([("tier".to_owned(), tier.to_owned())]),
        deadline: None,
        idempotent: false,
        claim: false,
        bytes: 100,
    }
}

/// The request path of one daemon and a record of its actions. Each step checks the invariants.
struct Simulation {
    path: Requests,
    now: UnixMs,
    next: u64,
    arrivals: HashMap<RequestKey, Arrival>,
    in_flight: Vec<(RequestKey, TargetKey)>,
    late: Vec<TargetKey>,
    claiming: Vec<RequestKey>,
    claimed: HashSet<RequestKey>,
    possible_runs: HashMap<RequestKey, u32>,
    answers: HashMap<RequestKey, Result<()>>,
    settled: HashMap<RequestKey, Option<Kind>>,
    sent_once: HashSet<RequestKey>,
    leaving: HashSet<String>,
    // For each send in order, whether it was the first one of its request.
    sends: Vec<bool>,
    gossip: Vec<Gossip>,
}

impl Simulation {
    fn new(runners: usize, slots: u16) -> Self {
        let now = UnixMs(1_000_000);
        let mut sim = Self {
            path: Requests::new("entry-1", BOUNDS, 7, now),
            now,
            next: 0,
            arrivals: HashMap::new(),
            in_flight: Vec::new(),
            late: Vec::new(),
            claiming: Vec::new(),
            claimed: HashSet::new(),
            possible_runs: HashMap::new(),
            answers: HashMap::new(),
            settled: HashMap::new(),
            sent_once: HashSet::new(),
            leaving: HashSet::new(),
            sends: Vec::new(),
            gossip: Vec::new(),
        };
        sim.step(Event::Config(config()));
        sim.step(Event::Vms((0..runners).map(|i| vm(i, slots)).collect()));
        sim
    }

    fn step(&mut self, event: Event) {
        let mut out = Vec::new();
        self.path.step(self.now, event, &mut out);
        for action in out {
            self.handle(action);
        }
        assert!(
            self.path.queue().len() <= BOUNDS.len,
            "{} requests wait",
            self.path.queue().len()
        );
        assert!(self.path.queue().bytes() <= BOUNDS.bytes);
    }

    fn handle(&mut self, action: Action) {
        match action {
            Action::Send(request, target, deadline) => self.check_send(request, target, deadline),
            Action::Claim(request, _) => self.claiming.push(request),
            Action::Settle(request, kind) => {
                assert!(self.claimed.contains(&request));
                assert!(self.settled.insert(request, kind).is_none());
            }
            Action::Answer(request, verdict) => self.check_answer(request, verdict),
            Action::Gossip(gossip) => self.gossip.push(gossip),
            Action::CloseIdle(_) => {}
        }
    }

    fn check_send(&mut self, request: RequestKey, target: TargetKey, deadline: UnixMs) {
        assert!(deadline > self.now, "sent after its deadline");
        assert!(
            !self.answers.contains_key(&request),
            "sent after its answer"
        );
        let arrival = &self.arrivals[&request];
        assert!(!arrival.claim || self.claimed.contains(&request));
        let possible_runs = self
            .possible_runs
            .get(&request)
            .copied()
            .unwrap_or_default();
        assert!(
            arrival.idempotent || possible_runs == 0,
            "sent again after a possible run"
        );
        let vm = self
            .path
            .routes()
            .vm(target)
            .expect("a target that was picked");
        assert!(!self.leaving.contains(&vm.name), "sent to a leaving target");
        self.sends.push(self.sent_once.insert(request));
        self.in_flight.push((request, target));
        let here = self.in_flight.iter().filter(|f| f.1 == target).count();
        let late = self.late.iter().filter(|t| **t == target).count();
        assert!(
            here + late <= 8,
            "more requests at the target than it has slots"
        );
    }

    fn check_answer(&mut self, request: RequestKey, verdict: Result<()>) {
        let possible_runs = self
            .possible_runs
            .get(&request)
            .copied()
            .unwrap_or_default();
        if let Err(e) = &verdict {
            let no = e.kind.properties().run == Executed::No;
            assert!(
                !no || possible_runs == 0,
                "the error says that the request didn't run, but it may have: {e}"
            );
        }
        if self.claimed.contains(&request) {
            let kind = verdict.as_ref().err().map(|e| e.kind);
            assert_eq!(self.settled.get(&request), Some(&kind));
        }
        assert!(
            self.answers.insert(request, verdict).is_none(),
            "answered twice"
        );
    }

    fn submit(&mut self, arrival: Arrival) -> RequestKey {
        let request = RequestKey(self.next);
        self.next += 1;
        self.arrivals.insert(request, arrival.clone());
        self.step(Event::Arrived(request, Box::new(arrival)));
        request
    }

    fn end_send(&mut self, at: usize, outcome: SendOutcome, leaving: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let (request, target) = self.in_flight.remove(at % self.in_flight.len());
        if !matches!(
            outcome,
            SendOutcome::Refused | SendOutcome::NotSent | SendOutcome::Busy
        ) {
            *self.possible_runs.entry(request).or_default() += 1;
        }
        if outcome == SendOutcome::Late {
            self.late.push(target);
        }
        if leaving {
            let vm = self
                .path
                .routes()
                .vm(target)
                .expect("a target that was picked");
            self.leaving.insert(vm.name.clone());
        }
        self.step(Event::SendEnded(request, outcome, leaving));
    }

    /// Advances the clock and ticks the request path.
    fn advance(&mut self, ms: u64) {
        self.now = self.now.after(ms);
        self.step(Event::Tick);
    }

    fn finish_all(&mut self) {
        for _ in 0..2_000 {
            while let Some(request) = self.claiming.pop() {
                self.claimed.insert(request);
                self.step(Event::Claimed(request, Ok(())));
            }
            while !self.in_flight.is_empty() {
                self.end_send(0, SendOutcome::Answered, false);
            }
            self.advance(5);
        }
    }

    fn errors(&self, kind: Kind) -> usize {
        let is = |v: &&Result<()>| v.as_ref().is_err_and(|e| e.kind == kind);
        self.answers.values().filter(is).count()
    }
}

#[derive(Clone, Debug)]
enum Op {
    Submit(usize, bool, bool, bool, u32),
    EndSend(usize, SendOutcome, bool),
    Claim(bool),
    FreeSlot,
    Abandon(u64),
    VmUpdate(usize),
    Members(usize),
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let outcome = prop_oneof![
        6 => Just(SendOutcome::Answered),
        1 => Just(SendOutcome::ServerError),
        1 => Just(SendOutcome::Refused),
        1 => Just(SendOutcome::NotSent),
        2 => Just(SendOutcome::Busy),
        2 => Just(SendOutcome::Broken),
        1 => Just(SendOutcome::Bad),
        1 => Just(SendOutcome::Oversize),
        1 => Just(SendOutcome::Late),
    ];
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    prop_oneof![
        8 => (0..3_usize, flags, 1..900_u32)
            .prop_map(|(c, (gate, idem, claim), b)| Op::Submit(c, gate, idem, claim, b)),
        8 => (0..64_usize, outcome, prop::bool::weighted(0.03))
            .prop_map(|(at, outcome, leaving)| Op::EndSend(at, outcome, leaving)),
        2 => any::<bool>().prop_map(Op::Claim),
        1 => Just(Op::FreeSlot),
        1 => (0..200_u64).prop_map(Op::Abandon),
        1 => (0..20_usize).prop_map(Op::VmUpdate),
        1 => (1..8_usize).prop_map(Op::Members),
        3 => (1..120_u64).prop_map(Op::Advance),
    ]
}

fn run(sim: &mut Simulation, op: Op) {
    match op {
        Op::Submit(caller, gate, idempotent, claim, bytes) => {
            let tier = if gate { "gate" } else { "sweep" };
            let mut a = arrival(CALLERS[caller], tier);
            (a.idempotent, a.claim, a.bytes) = (idempotent, claim && !idempotent, bytes);
            sim.submit(a);
        }
        Op::EndSend(at, outcome, leaving) => sim.end_send(at, outcome, leaving),
        Op::Claim(good) => {
            let Some(request) = sim.claiming.pop() else {
                return;
            };
            let verdict = if good {
                sim.claimed.insert(request);
                Ok(())
            } else {
                Err(Error::new(Kind::StoreDown, "the store is down"))
            };
            sim.step(Event::Claimed(request, verdict));
        }
        Op::FreeSlot => {
            if let Some(target) = sim.late.pop() {
                sim.step(Event::SlotFreed(target));
            }
        }
        Op::Abandon(n) => sim.step(Event::Abandoned(RequestKey(n))),
        Op::VmUpdate(i) if i < 4 => {
            sim.leaving.insert(format!("runner-{i}"));
            let gossip = Gossip::Leaving(format!("runner-{i}"));
            sim.step(Event::Gossip("entry-2".to_owned(), gossip));
        }
        Op::VmUpdate(_) => sim.step(Event::Vms((0..4).map(|i| vm(i, 8)).collect())),
        Op::Members(n) => {
            let names = (1..=n).map(|i| format!("entry-{i}")).collect();
            sim.step(Event::Members(names));
        }
        Op::Advance(ms) => sim.advance(ms),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Under any mix of faults each request is answered exactly once, an answer never denies a
    /// possible run, sends stay within the slots, and retries stay within their budget over any
    /// sequence of sends.
    #[test]
    fn keeps_its_invariants_under_faults(ops in prop::collection::vec(op(), 1..250)) {
        let mut sim = Simulation::new(4, 8);
        for op in ops {
            run(&mut sim, op);
        }
        sim.finish_all();
        prop_assert_eq!(sim.answers.len(), sim.arrivals.len());
        prop_assert!(sim.path.is_empty());
        for from in 0..sim.sends.len() {
            let window = &sim.sends[from..];
            let mut balance = i64::from(BURST * SENDS_PER_RETRY);
            for first in window {
                balance += if *first { 1 } else { -i64::from(SENDS_PER_RETRY) };
                prop_assert!(balance >= 0, "more retries than a tenth of the first sends");
            }
        }
    }
}

#[test]
fn sheds_the_least_urgent_first() {
    let mut sim = Simulation::new(1, 1);
    for i in 0..13 {
        sim.submit(arrival(CALLERS[i % 2], "sweep"));
    }
    assert_eq!(sim.answers.len(), 0);
    let gate = sim.submit(arrival("gate", "gate"));
    assert_eq!(sim.errors(Kind::Shed), 1);
    assert!(!sim.answers.contains_key(&gate));
    let sweep = sim.submit(arrival("crew", "sweep"));
    assert!(sim.answers.contains_key(&sweep));
}

#[test]
fn sheds_the_caller_furthest_above_its_share() {
    let mut sim = Simulation::new(1, 1);
    for _ in 0..13 {
        sim.submit(arrival("sweep", "gate"));
    }
    let small = sim.submit(arrival("gate", "gate"));
    assert!(!sim.answers.contains_key(&small));
    assert_eq!(sim.errors(Kind::Shed), 1);
    let large = sim.submit(arrival("sweep", "gate"));
    assert!(sim.answers[&large].is_err());
    assert_eq!(sim.errors(Kind::OverQuota), 1);
}

#[test]
fn serves_small_callers_in_turn_with_a_large_one() {
    let mut sim = Simulation::new(1, 1);
    for _ in 0..10 {
        sim.submit(arrival("sweep", "gate"));
    }
    let small = sim.submit(arrival("gate", "gate"));
    sim.end_send(0, SendOutcome::Answered, false);
    sim.end_send(0, SendOutcome::Answered, false);
    assert!(sim.in_flight[0].0 == small || sim.answers.contains_key(&small));
}

#[test]
fn refuses_at_once_a_request_that_cannot_meet_its_deadline() {
    let mut sim = Simulation::new(1, 1);
    sim.submit(arrival("gate", "gate"));
    sim.advance(100);
    sim.end_send(0, SendOutcome::Answered, false);
    for _ in 0..3 {
        sim.submit(arrival("gate", "gate"));
    }
    assert_eq!(sim.answers.len(), 1);
    let infeasible = sim.submit(arrival("gate", "gate"));
    assert!(
        sim.answers[&infeasible]
            .as_ref()
            .is_err_and(|e| e.kind == Kind::Shed)
    );
    assert_eq!(sim.path.counts().infeasible, 1);
}

#[test]
fn a_retry_avoids_the_target_that_failed() {
    let mut sim = Simulation::new(2, 8);
    for _ in 0..10 {
        sim.submit(arrival("gate", "gate"));
        sim.end_send(0, SendOutcome::Answered, false);
    }
    sim.submit(arrival("gate", "gate"));
    let failed = sim.in_flight[0].1;
    sim.end_send(0, SendOutcome::NotSent, false);
    while sim.in_flight.is_empty() {
        sim.advance(1);
    }
    assert_ne!(sim.in_flight[0].1, failed);
}

#[test]
fn ejects_at_most_half_of_the_failing_targets_and_probes_them() {
    let mut sim = Simulation::new(4, 8);
    for _ in 0..60 {
        sim.submit(arrival("gate", "gate"));
        sim.end_send(0, SendOutcome::Broken, false);
        let keys = (0..4).map(|i| {
            sim.path
                .routes()
                .find_target(&format!("runner-{i}"))
                .expect("a listed runner")
        });
        let ejected = keys.filter(|k| sim.path.routes().is_ejected(sim.now, *k));
        assert!(ejected.count() <= 2);
    }
    let slots = sim.path.routes().usable_slots();
    assert_eq!(slots, 0, "no target is healthy");
    for _ in 0..100 {
        sim.advance(100);
        sim.submit(arrival("gate", "gate"));
        sim.end_send(0, SendOutcome::Answered, false);
    }
    assert_eq!(sim.path.routes().usable_slots(), 32);
}

#[test]
fn gossips_a_refusal_and_keeps_a_vm_leaving_while_the_list_lags() {
    let mut sim = Simulation::new(2, 8);
    sim.submit(arrival("gate", "gate"));
    let name = sim
        .path
        .routes()
        .vm(sim.in_flight[0].1)
        .expect("a target that was picked")
        .name
        .clone();
    sim.end_send(0, SendOutcome::Refused, false);
    assert!(sim.gossip.contains(&Gossip::Refused(name)));
    sim.advance(50);
    let name = sim
        .path
        .routes()
        .vm(sim.in_flight[0].1)
        .expect("a target that was picked")
        .name
        .clone();
    sim.end_send(0, SendOutcome::Answered, true);
    assert!(sim.gossip.contains(&Gossip::Leaving(name)));
    for _ in 0..30 {
        sim.step(Event::Vms((0..2).map(|i| vm(i, 8)).collect()));
        sim.submit(arrival("gate", "gate"));
        sim.end_send(0, SendOutcome::Answered, false);
        sim.advance(1_000);
    }
}

#[test]
fn borrows_idle_slots_until_the_other_daemon_needs_them() {
    let mut sim = Simulation::new(1, 8);
    let names = ["entry-1", "entry-2"].map(str::to_owned);
    sim.step(Event::Members(names.to_vec()));
    let share = |full| {
        let sketch = Sketch {
            callers: Vec::new(),
            full,
        };
        Event::Gossip("entry-2".to_owned(), Gossip::Share(sketch))
    };
    let own = slots::split("runner-0", &names, "entry-1", 8);
    let fill = |sim: &mut Simulation| {
        for _ in 0..10 {
            sim.submit(arrival("gate", "gate"));
        }
        let sent = sim.in_flight.len();
        while !sim.in_flight.is_empty() {
            sim.end_send(0, SendOutcome::Answered, false);
        }
        sent
    };
    assert_eq!(
        fill(&mut sim),
        usize::from(own),
        "no sketch has arrived yet"
    );
    sim.step(share(false));
    sim.advance(10);
    assert_eq!(fill(&mut sim), 8);
    sim.step(share(true));
    sim.advance(10);
    assert_eq!(fill(&mut sim), usize::from(own));
    sim.step(share(false));
    sim.advance(10);
    sim.submit(arrival("gate", "gate"));
    sim.end_send(0, SendOutcome::Busy, false);
    sim.advance(30);
    assert_eq!(fill(&mut sim), usize::from(own), "the runner was full");
    sim.advance(10_000);
    sim.step(share(false));
    sim.advance(10);
    assert_eq!(fill(&mut sim), 8);
}
