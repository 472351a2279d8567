//! Tests of claims under faults of the store: an idempotency key is used at most once.

use std::collections::{BTreeMap, HashMap};

use marigoldglade::claim::{Action, CallKey, Claims, Event, Record, State};
use marigoldglade::prelude::*;
use marigoldglade::queue::RequestKey;
use marigoldglade::store::{Body, Call, Compare, Fault, Op, Outcome, Pair, Reply, Txn, TxnResult};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// An in-memory store with transactions and leases only.
#[derive(Default)]
struct FakeStore {
    pairs: BTreeMap<String, Pair>,
    revision: u64,
}

impl FakeStore {
    fn call(&mut self, call: &Call) -> Reply {
        self.revision += 1;
        let body = match call {
            Call::Txn(txn) => Body::Txn(self.txn(txn)),
            Call::Grant { ttl_s } => Body::Lease {
                lease: 9,
                ttl_s: *ttl_s,
            },
            _ => panic!("expected a transaction or a lease grant, got {call:?}"),
        };
        Reply {
            revision: self.revision,
            body,
        }
    }

    fn txn(&mut self, txn: &Txn) -> TxnResult {
        let held = txn.when.iter().all(|c| match c {
            Compare::Absent(key) => !self.pairs.contains_key(key),
            Compare::Created(key, at) => self.pairs.get(key).is_some_and(|p| p.created == *at),
            Compare::Changed(key, at) => self.pairs.get(key).is_some_and(|p| p.changed == *at),
        });
        let ops = if held { &txn.then } else { &txn.other };
        let outcomes = ops.iter().map(|op| self.op(op)).collect();
        TxnResult { held, outcomes }
    }

    fn op(&mut self, op: &Op) -> Outcome {
        match op {
            Op::Get(key) => Outcome::Pairs(self.pairs.get(key).cloned().into_iter().collect()),
            Op::Put(key, value, lease) => {
                let changed = self.revision;
                let created = self.pairs.get(key).map_or(changed, |p| p.created);
                let pair = Pair {
                    key: key.clone(),
                    value: value.clone(),
                    created,
                    changed,
                    lease: *lease,
                };
                self.pairs.insert(key.clone(), pair);
                Outcome::Done
            }
            Op::Delete(key) => {
                self.pairs.remove(key);
                Outcome::Done
            }
            Op::Txn(txn) => Outcome::Txn(self.txn(txn)),
            Op::List(_) => panic!("claims never list keys"),
        }
    }

    fn state(&self, name: &str) -> Option<State> {
        let pair = self.pairs.get(&format!("/mg/claim/{name}"))?;
        Record::parse(&pair.value).map(|r| r.state)
    }
}

/// Several daemons that claim the same names, and their store calls in flight.
struct Simulation {
    store: FakeStore,
    now: UnixMs,
    daemons: Vec<Claims>,
    calls: Vec<(usize, CallKey, Call)>,
    // Calls that ended as unknown and that the store has yet to apply.
    delayed: Vec<Call>,
    names: HashMap<RequestKey, String>,
    claimed: Vec<(usize, RequestKey)>,
    verdicts: HashMap<RequestKey, Result<()>>,
    ran: HashMap<String, u32>,
    next: u64,
}

impl Simulation {
    fn new(daemons: u64) -> Self {
        Self {
            store: FakeStore::default(),
            now: UnixMs(1_000_000),
            daemons: (0..daemons)
                .map(|i| Claims::new(&format!("entry-{i}"), i))
                .collect(),
            calls: Vec::new(),
            delayed: Vec::new(),
            names: HashMap::new(),
            claimed: Vec::new(),
            verdicts: HashMap::new(),
            ran: HashMap::new(),
            next: 0,
        }
    }

    fn step(&mut self, daemon: usize, event: Event) {
        let mut out = Vec::new();
        self.daemons[daemon].step(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Call(key, call, _) => self.calls.push((daemon, key, call)),
                Action::Verdict(request, verdict) => {
                    if verdict.is_ok() {
                        self.claimed.push((daemon, request));
                    }
                    assert!(self.verdicts.insert(request, verdict).is_none());
                }
            }
        }
    }

    fn claim(&mut self, daemon: usize, name: &str, ms: u64) -> RequestKey {
        let request = RequestKey(self.next);
        self.next += 1;
        self.names.insert(request, name.to_owned());
        let deadline = self.now.after(ms);
        self.step(daemon, Event::Claim(request, name.to_owned(), deadline));
        request
    }

    /// Ends a call with a reply, or with a fault before or after the store applied it.
    fn reply(&mut self, at: usize, fate: CallFate) {
        if self.calls.is_empty() {
            return;
        }
        let (daemon, key, call) = self.calls.remove(at % self.calls.len());
        let result = match fate {
            CallFate::Applied => Ok(self.store.call(&call)),
            CallFate::NotSent => Err(Fault::NotSent),
            CallFate::Refused => Err(Fault::Refused),
            CallFate::Unknown => Err(Fault::Unknown),
            CallFate::AppliedUnknown => {
                self.store.call(&call);
                Err(Fault::Unknown)
            }
            CallFate::Delayed => {
                self.delayed.push(call);
                Err(Fault::Unknown)
            }
        };
        self.step(daemon, Event::Replied(key, result));
    }

    /// Ends a claimed request; one that ends as `NoTarget` wasn't sent and didn't run.
    fn use_claim(&mut self, at: usize, kind: Option<Kind>) {
        if self.claimed.is_empty() {
            return;
        }
        let (daemon, request) = self.claimed.remove(at % self.claimed.len());
        if kind != Some(Kind::NoTarget) {
            let runs = self.ran.entry(self.names[&request].clone()).or_default();
            *runs += 1;
            assert_eq!(*runs, 1, "a key was used twice");
        }
        self.step(daemon, Event::Settle(request, kind));
    }

    fn finish_calls(&mut self) {
        for _ in 0..100 {
            self.now = self.now.after(600);
            for daemon in 0..self.daemons.len() {
                self.step(daemon, Event::Tick);
            }
            while !self.calls.is_empty() {
                self.reply(0, CallFate::Applied);
            }
        }
    }

    fn kind(&self, request: RequestKey) -> Option<Kind> {
        let verdict = self.verdicts.get(&request)?;
        verdict.as_ref().err().map(|e| e.kind)
    }
}

#[derive(Clone, Copy, Debug)]
enum CallFate {
    Applied,
    NotSent,
    Refused,
    Unknown,
    AppliedUnknown,
    Delayed,
}

#[derive(Clone, Debug)]
enum Step {
    Claim(usize, usize, u64),
    Reply(usize, CallFate),
    Use(usize, Option<Kind>),
    ApplyDelayed,
    Crash(usize),
    Tick(usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    let fate = prop_oneof![
        4 => Just(CallFate::Applied),
        1 => Just(CallFate::NotSent),
        1 => Just(CallFate::Refused),
        1 => Just(CallFate::Unknown),
        2 => Just(CallFate::AppliedUnknown),
        2 => Just(CallFate::Delayed),
    ];
    let end = prop_oneof![
        Just(None),
        Just(Some(Kind::NoTarget)),
        Just(Some(Kind::Timeout)),
    ];
    prop_oneof![
        6 => (0..3_usize, 0..4_usize, 1..3_000_u64).prop_map(|(d, n, ms)| Step::Claim(d, n, ms)),
        8 => (0..8_usize, fate).prop_map(|(at, f)| Step::Reply(at, f)),
        4 => (0..8_usize, end).prop_map(|(at, k)| Step::Use(at, k)),
        2 => Just(Step::ApplyDelayed),
        1 => (0..3_usize).prop_map(Step::Crash),
        3 => (0..3_usize, 1..900_u64).prop_map(|(d, ms)| Step::Tick(d, ms)),
    ]
}

fn run(sim: &mut Simulation, step: Step) {
    match step {
        Step::Claim(daemon, name, ms) => {
            sim.claim(daemon, &format!("gate/key-{name}"), ms);
        }
        Step::Reply(at, fate) => sim.reply(at, fate),
        Step::Use(at, kind) => sim.use_claim(at, kind),
        Step::ApplyDelayed => {
            if let Some(call) = sim.delayed.pop() {
                sim.store.call(&call);
            }
        }
        Step::Crash(daemon) => {
            sim.next += 1;
            sim.daemons[daemon] = Claims::new("entry-new", 1_000 + sim.next);
            sim.calls.retain(|c| c.0 != daemon);
            sim.claimed.retain(|w| w.0 != daemon);
        }
        Step::Tick(daemon, ms) => {
            sim.now = sim.now.after(ms);
            sim.step(daemon, Event::Tick);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No fault of a call or daemon lets a key be used twice. A late `Use` step stands for a daemon
    /// that is frozen between the claim and the send.
    #[test]
    fn uses_a_key_at_most_once(steps in prop::collection::vec(step(), 1..200)) {
        let mut sim = Simulation::new(3);
        for step in steps {
            run(&mut sim, step);
        }
        sim.finish_calls();
        while !sim.claimed.is_empty() {
            sim.use_claim(0, None);
        }
    }
}

#[test]
fn reads_a_claim_back_after_a_lost_reply() {
    let mut sim = Simulation::new(2);
    let first = sim.claim(0, "gate/a", 5_000);
    sim.reply(0, CallFate::Applied);
    sim.reply(0, CallFate::AppliedUnknown);
    assert_eq!(sim.verdicts.get(&first), None);
    sim.reply(0, CallFate::Applied);
    assert_eq!(sim.verdicts[&first], Ok(()));
    let again = sim.claim(1, "gate/a", 5_000);
    sim.finish_calls();
    assert_eq!(sim.kind(again), Some(Kind::Duplicate));
}

#[test]
fn refuses_at_once_while_the_store_is_down() {
    let mut sim = Simulation::new(1);
    let first = sim.claim(0, "gate/a", 60_000);
    sim.reply(0, CallFate::NotSent);
    assert_eq!(sim.kind(first), Some(Kind::StoreDown));
    let next = sim.claim(0, "gate/b", 60_000);
    assert_eq!(sim.kind(next), Some(Kind::StoreDown));
    assert!(sim.calls.is_empty());
    sim.now = sim.now.after(1_000);
    let later = sim.claim(0, "gate/c", 60_000);
    sim.finish_calls();
    assert_eq!(sim.verdicts[&later], Ok(()));
}

#[test]
fn releases_an_unused_claim_and_reports_how_a_used_one_ended() {
    let mut sim = Simulation::new(2);
    sim.claim(0, "gate/a", 60_000);
    sim.finish_calls();
    sim.use_claim(0, Some(Kind::NoTarget));
    sim.finish_calls();
    assert_eq!(sim.store.state("gate/a"), None);
    sim.claim(1, "gate/a", 600_000);
    sim.finish_calls();
    assert_eq!(sim.store.state("gate/a"), Some(State::Open));
    sim.use_claim(0, Some(Kind::Timeout));
    sim.finish_calls();
    let again = sim.claim(0, "gate/a", 600_000);
    sim.finish_calls();
    assert_eq!(sim.kind(again), Some(Kind::Duplicate));
    let detail = &sim.verdicts[&again].as_ref().expect_err("a repeat").detail;
    assert!(detail.contains("timeout"), "{detail}");
}

#[test]
fn releases_a_claim_made_after_its_deadline() {
    let mut sim = Simulation::new(1);
    let late = sim.claim(0, "gate/a", 100);
    sim.reply(0, CallFate::Applied);
    sim.now = sim.now.after(200);
    sim.step(0, Event::Tick);
    assert_eq!(sim.kind(late), Some(Kind::Expired));
    sim.finish_calls();
    assert_eq!(sim.store.state("gate/a"), None);
}

#[test]
fn a_delayed_delete_keeps_the_claim_of_another_daemon() {
    let mut sim = Simulation::new(2);
    sim.claim(0, "gate/a", 60_000);
    sim.finish_calls();
    sim.use_claim(0, Some(Kind::NoTarget));
    sim.reply(0, CallFate::Delayed);
    sim.finish_calls();
    sim.claim(1, "gate/a", 600_000);
    sim.finish_calls();
    sim.use_claim(0, None);
    let deletion = sim.delayed.pop().expect("the deletion");
    sim.store.call(&deletion);
    sim.claim(0, "gate/a", 600_000);
    sim.finish_calls();
    sim.use_claim(0, None);
    assert_eq!(sim.ran["gate/a"], 1);
}
