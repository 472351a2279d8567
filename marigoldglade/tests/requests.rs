//! The request path under random faults: what must hold after each step.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use marigoldglade::config::{Class, Config, Service, Workspace};
use marigoldglade::error::Run;
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

/// One daemon with what the outside has seen of it.
struct World {
    path: Requests,
    now: UnixMs,
    next: u64,
    asked: HashMap<RequestKey, Arrival>,
    flying: Vec<(RequestKey, TargetKey)>,
    late: Vec<TargetKey>,
    claiming: Vec<RequestKey>,
    claimed: HashSet<RequestKey>,
    reached: HashMap<RequestKey, u32>,
    answers: HashMap<RequestKey, Result<()>>,
    settled: HashMap<RequestKey, Option<Kind>>,
    tried: HashSet<RequestKey>,
    left: HashSet<String>,
    // Whether each send was the first of its request, in order.
    sends: Vec<bool>,
    told: Vec<Gossip>,
}

impl World {
    fn new(runners: usize, slots: u16) -> Self {
        let now = UnixMs(1_000_000);
        let mut world = Self {
            path: Requests::new("entry-1", BOUNDS, 7, now),
            now,
            next: 0,
            asked: HashMap::new(),
            flying: Vec::new(),
            late: Vec::new(),
            claiming: Vec::new(),
            claimed: HashSet::new(),
            reached: HashMap::new(),
            answers: HashMap::new(),
            settled: HashMap::new(),
            tried: HashSet::new(),
            left: HashSet::new(),
            sends: Vec::new(),
            told: Vec::new(),
        };
        world.step(Event::Config(config()));
        world.step(Event::Vms((0..runners).map(|i| vm(i, slots)).collect()));
        world
    }

    fn step(&mut self, event: Event) {
        let mut out = Vec::new();
        self.path.step(self.now, event, &mut out);
        for action in out {
            self.take(action);
        }
        assert!(
            self.path.queue().len() <= BOUNDS.len,
            "{} wait",
            self.path.queue().len()
        );
        assert!(self.path.queue().bytes() <= BOUNDS.bytes);
    }

    fn take(&mut self, action: Action) {
        match action {
            Action::Send(request, target, end) => self.sent(request, target, end),
            Action::Claim(request, _) => self.claiming.push(request),
            Action::Settle(request, kind) => {
                assert!(self.claimed.contains(&request));
                assert!(self.settled.insert(request, kind).is_none());
            }
            Action::Answer(request, verdict) => self.answered(request, verdict),
            Action::Gossip(gossip) => self.told.push(gossip),
            Action::CloseIdle(_) => {}
        }
    }

    fn sent(&mut self, request: RequestKey, target: TargetKey, end: UnixMs) {
        assert!(end > self.now, "sent after its deadline");
        assert!(
            !self.answers.contains_key(&request),
            "sent after its answer"
        );
        let asked = &self.asked[&request];
        assert!(!asked.claim || self.claimed.contains(&request));
        let reached = self.reached.get(&request).copied().unwrap_or_default();
        assert!(asked.idempotent || reached == 0, "sent twice");
        let vm = self
            .path
            .routes()
            .vm(target)
            .expect("a target that was picked");
        assert!(!self.left.contains(&vm.name), "sent to a leaving target");
        self.sends.push(self.tried.insert(request));
        self.flying.push((request, target));
        let here = self.flying.iter().filter(|f| f.1 == target).count();
        let late = self.late.iter().filter(|t| **t == target).count();
        assert!(here + late <= 8, "more than its slots");
    }

    fn answered(&mut self, request: RequestKey, verdict: Result<()>) {
        let reached = self.reached.get(&request).copied().unwrap_or_default();
        if let Err(e) = &verdict {
            let no = e.kind.answer().run == Run::No;
            assert!(!no || reached == 0, "told run: no after it was sent: {e}");
        }
        if self.claimed.contains(&request) {
            let kind = verdict.as_ref().err().map(|e| e.kind);
            assert_eq!(self.settled.get(&request), Some(&kind));
        }
        assert!(
            self.answers.insert(request, verdict).is_none(),
            "two answers"
        );
    }

    fn ask(&mut self, arrival: Arrival) -> RequestKey {
        let request = RequestKey(self.next);
        self.next += 1;
        self.asked.insert(request, arrival.clone());
        self.step(Event::Arrived(request, Box::new(arrival)));
        request
    }

    fn end(&mut self, at: usize, end: SendOutcome, leaving: bool) {
        if self.flying.is_empty() {
            return;
        }
        let (request, target) = self.flying.remove(at % self.flying.len());
        if !matches!(
            end,
            SendOutcome::Refused | SendOutcome::NotSent | SendOutcome::Busy
        ) {
            *self.reached.entry(request).or_default() += 1;
        }
        if end == SendOutcome::Late {
            self.late.push(target);
        }
        if leaving {
            let vm = self
                .path
                .routes()
                .vm(target)
                .expect("a target that was picked");
            self.left.insert(vm.name.clone());
        }
        self.step(Event::SendEnded(request, end, leaving));
    }

    /// Lets time pass, with the shell's duty to end each send by its deadline.
    fn pass(&mut self, ms: u64) {
        self.now = self.now.after(ms);
        self.step(Event::Tick);
    }

    fn drain(&mut self) {
        for _ in 0..2_000 {
            while let Some(request) = self.claiming.pop() {
                self.claimed.insert(request);
                self.step(Event::Claimed(request, Ok(())));
            }
            while !self.flying.is_empty() {
                self.end(0, SendOutcome::Answered, false);
            }
            self.pass(5);
        }
    }

    fn errors(&self, kind: Kind) -> usize {
        let is = |v: &&Result<()>| v.as_ref().is_err_and(|e| e.kind == kind);
        self.answers.values().filter(is).count()
    }
}

#[derive(Clone, Debug)]
enum Op {
    Ask(usize, bool, bool, bool, u32),
    End(usize, SendOutcome, bool),
    Claim(bool),
    Free,
    GiveUp(u64),
    Left(usize),
    Members(usize),
    Pass(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let end = prop_oneof![
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
            .prop_map(|(c, (gate, idem, claim), b)| Op::Ask(c, gate, idem, claim, b)),
        8 => (0..64_usize, end, prop::bool::weighted(0.03))
            .prop_map(|(at, end, leaving)| Op::End(at, end, leaving)),
        2 => any::<bool>().prop_map(Op::Claim),
        1 => Just(Op::Free),
        1 => (0..200_u64).prop_map(Op::GiveUp),
        1 => (0..20_usize).prop_map(Op::Left),
        1 => (1..8_usize).prop_map(Op::Members),
        3 => (1..120_u64).prop_map(Op::Pass),
    ]
}

fn run(world: &mut World, op: Op) {
    match op {
        Op::Ask(caller, gate, idempotent, claim, bytes) => {
            let tier = if gate { "gate" } else { "sweep" };
            let mut a = arrival(CALLERS[caller], tier);
            (a.idempotent, a.claim, a.bytes) = (idempotent, claim && !idempotent, bytes);
            world.ask(a);
        }
        Op::End(at, end, leaving) => world.end(at, end, leaving),
        Op::Claim(good) => {
            let Some(request) = world.claiming.pop() else {
                return;
            };
            let verdict = if good {
                world.claimed.insert(request);
                Ok(())
            } else {
                Err(Error::new(Kind::StoreDown, "the store is down"))
            };
            world.step(Event::Claimed(request, verdict));
        }
        Op::Free => {
            if let Some(target) = world.late.pop() {
                world.step(Event::SlotFreed(target));
            }
        }
        Op::GiveUp(n) => world.step(Event::Abandoned(RequestKey(n))),
        Op::Left(i) if i < 4 => {
            world.left.insert(format!("runner-{i}"));
            let gossip = Gossip::Leaving(format!("runner-{i}"));
            world.step(Event::Gossip("entry-2".to_owned(), gossip));
        }
        Op::Left(_) => world.step(Event::Vms((0..4).map(|i| vm(i, 8)).collect())),
        Op::Members(n) => {
            let names = (1..=n).map(|i| format!("entry-{i}")).collect();
            world.step(Event::Members(names));
        }
        Op::Pass(ms) => world.pass(ms),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Under any mix of faults each request is answered once and truthfully, is sent within the
    /// limits, and retries stay in their budget over any window.
    #[test]
    fn holds_under_faults(ops in prop::collection::vec(op(), 1..250)) {
        let mut world = World::new(4, 8);
        for op in ops {
            run(&mut world, op);
        }
        world.drain();
        prop_assert_eq!(world.answers.len(), world.asked.len());
        prop_assert!(world.path.is_empty());
        for from in 0..world.sends.len() {
            let window = &world.sends[from..];
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
    let mut world = World::new(1, 1);
    for i in 0..13 {
        world.ask(arrival(CALLERS[i % 2], "sweep"));
    }
    assert_eq!(world.answers.len(), 0);
    let gate = world.ask(arrival("gate", "gate"));
    assert_eq!(world.errors(Kind::Shed), 1);
    assert!(!world.answers.contains_key(&gate));
    let sweep = world.ask(arrival("crew", "sweep"));
    assert!(world.answers.contains_key(&sweep));
}

#[test]
fn sheds_the_caller_furthest_above_its_share() {
    let mut world = World::new(1, 1);
    for _ in 0..13 {
        world.ask(arrival("sweep", "gate"));
    }
    let small = world.ask(arrival("gate", "gate"));
    assert!(!world.answers.contains_key(&small));
    assert_eq!(world.errors(Kind::Shed), 1);
    let large = world.ask(arrival("sweep", "gate"));
    assert!(world.answers[&large].is_err());
    assert_eq!(world.errors(Kind::OverQuota), 1);
}

#[test]
fn serves_small_callers_in_turn_with_a_large_one() {
    let mut world = World::new(1, 1);
    for _ in 0..10 {
        world.ask(arrival("sweep", "gate"));
    }
    let small = world.ask(arrival("gate", "gate"));
    world.end(0, SendOutcome::Answered, false);
    world.end(0, SendOutcome::Answered, false);
    assert!(world.flying[0].0 == small || world.answers.contains_key(&small));
}

#[test]
fn refuses_at_once_what_cannot_meet_its_deadline() {
    let mut world = World::new(1, 1);
    world.ask(arrival("gate", "gate"));
    world.pass(100);
    world.end(0, SendOutcome::Answered, false);
    for _ in 0..3 {
        world.ask(arrival("gate", "gate"));
    }
    assert_eq!(world.answers.len(), 1);
    let hopeless = world.ask(arrival("gate", "gate"));
    assert!(
        world.answers[&hopeless]
            .as_ref()
            .is_err_and(|e| e.kind == Kind::Shed)
    );
    assert_eq!(world.path.counts().infeasible, 1);
}

#[test]
fn a_retry_avoids_the_target_that_failed() {
    let mut world = World::new(2, 8);
    for _ in 0..10 {
        world.ask(arrival("gate", "gate"));
        world.end(0, SendOutcome::Answered, false);
    }
    world.ask(arrival("gate", "gate"));
    let failed = world.flying[0].1;
    world.end(0, SendOutcome::NotSent, false);
    while world.flying.is_empty() {
        world.pass(1);
    }
    assert_ne!(world.flying[0].1, failed);
}

#[test]
fn ejects_at_most_half_on_suspicion_and_probes_back() {
    let mut world = World::new(4, 8);
    for _ in 0..60 {
        world.ask(arrival("gate", "gate"));
        world.end(0, SendOutcome::Broken, false);
        let keys = (0..4).map(|i| {
            world
                .path
                .routes()
                .find_target(&format!("runner-{i}"))
                .expect("a listed runner")
        });
        let ejected = keys.filter(|k| world.path.routes().is_ejected(world.now, *k));
        assert!(ejected.count() <= 2);
    }
    let slots = world.path.routes().usable_slots();
    assert_eq!(slots, 0, "the suspects keep one slot each, no more");
    for _ in 0..100 {
        world.pass(100);
        world.ask(arrival("gate", "gate"));
        world.end(0, SendOutcome::Answered, false);
    }
    assert_eq!(world.path.routes().usable_slots(), 32);
}

#[test]
fn a_refusal_is_told_and_a_leaving_vm_stays_so_while_the_list_lags() {
    let mut world = World::new(2, 8);
    world.ask(arrival("gate", "gate"));
    let name = world
        .path
        .routes()
        .vm(world.flying[0].1)
        .expect("it is there")
        .name
        .clone();
    world.end(0, SendOutcome::Refused, false);
    assert!(world.told.contains(&Gossip::Refused(name)));
    world.pass(50);
    let name = world
        .path
        .routes()
        .vm(world.flying[0].1)
        .expect("it is there")
        .name
        .clone();
    world.end(0, SendOutcome::Answered, true);
    assert!(world.told.contains(&Gossip::Leaving(name)));
    for _ in 0..30 {
        world.step(Event::Vms((0..2).map(|i| vm(i, 8)).collect()));
        world.ask(arrival("gate", "gate"));
        world.end(0, SendOutcome::Answered, false);
        world.pass(1_000);
    }
}

#[test]
fn idle_slots_of_others_are_used_until_they_are_needed() {
    let mut world = World::new(1, 8);
    let names = ["entry-1", "entry-2"].map(str::to_owned);
    world.step(Event::Members(names.to_vec()));
    let told = |full| {
        let sketch = Sketch {
            callers: Vec::new(),
            full,
        };
        Event::Gossip("entry-2".to_owned(), Gossip::Share(sketch))
    };
    let own = slots::split("runner-0", &names, "entry-1", 8);
    let fill = |world: &mut World| {
        for _ in 0..10 {
            world.ask(arrival("gate", "gate"));
        }
        let sent = world.flying.len();
        while !world.flying.is_empty() {
            world.end(0, SendOutcome::Answered, false);
        }
        sent
    };
    assert_eq!(fill(&mut world), usize::from(own), "nothing was told");
    world.step(told(false));
    world.pass(10);
    assert_eq!(fill(&mut world), 8);
    world.step(told(true));
    world.pass(10);
    assert_eq!(fill(&mut world), usize::from(own));
    world.step(told(false));
    world.pass(10);
    world.ask(arrival("gate", "gate"));
    world.end(0, SendOutcome::Busy, false);
    world.pass(30);
    assert_eq!(fill(&mut world), usize::from(own), "the runner was full");
    world.pass(10_000);
    world.step(told(false));
    world.pass(10);
    assert_eq!(fill(&mut world), 8);
}
