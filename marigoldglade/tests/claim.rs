//! Claims under faults of the store: a key is used at most once.

use std::collections::{BTreeMap, HashMap};

use marigoldglade::claim::{Action, CallKey, Claims, Event, Record, State};
use marigoldglade::prelude::*;
use marigoldglade::queue::RequestKey;
use marigoldglade::store::{Body, Call, Compare, Done, Fault, Op, Outcome, Pair, Reply, Txn};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A store in memory, for transactions and leases only.
#[derive(Default)]
struct Store {
    pairs: BTreeMap<String, Pair>,
    revision: u64,
}

impl Store {
    fn call(&mut self, call: &Call) -> Reply {
        self.revision += 1;
        let body = match call {
            Call::Txn(txn) => Body::Txn(self.txn(txn)),
            Call::Grant { ttl_s } => Body::Lease {
                lease: 9,
                ttl_s: *ttl_s,
            },
            _ => panic!("not a call that claims make: {call:?}"),
        };
        Reply {
            revision: self.revision,
            body,
        }
    }

    fn txn(&mut self, txn: &Txn) -> Done {
        let held = txn.when.iter().all(|c| match c {
            Compare::Absent(key) => !self.pairs.contains_key(key),
            Compare::Created(key, at) => self.pairs.get(key).is_some_and(|p| p.created == *at),
            Compare::Changed(key, at) => self.pairs.get(key).is_some_and(|p| p.changed == *at),
        });
        let ops = if held { &txn.then } else { &txn.other };
        let outcomes = ops.iter().map(|op| self.op(op)).collect();
        Done { held, outcomes }
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
            Op::List(_) => panic!("claims list nothing"),
        }
    }

    fn state(&self, name: &str) -> Option<State> {
        let pair = self.pairs.get(&format!("/mg/claim/{name}"))?;
        Record::parse(&pair.value).map(|r| r.state)
    }
}

/// Daemons that claim the same names, and the calls that are on their way.
struct World {
    store: Store,
    now: UnixMs,
    daemons: Vec<Claims>,
    calls: Vec<(usize, CallKey, Call)>,
    // Calls whose answer was lost and which the store still has to apply.
    delayed: Vec<Call>,
    names: HashMap<RequestKey, String>,
    won: Vec<(usize, RequestKey)>,
    verdicts: HashMap<RequestKey, Result<()>>,
    ran: HashMap<String, u32>,
    next: u64,
}

impl World {
    fn new(daemons: u64) -> Self {
        Self {
            store: Store::default(),
            now: UnixMs(1_000_000),
            daemons: (0..daemons)
                .map(|i| Claims::new(&format!("entry-{i}"), i))
                .collect(),
            calls: Vec::new(),
            delayed: Vec::new(),
            names: HashMap::new(),
            won: Vec::new(),
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
                        self.won.push((daemon, request));
                    }
                    assert!(self.verdicts.insert(request, verdict).is_none());
                }
            }
        }
    }

    fn ask(&mut self, daemon: usize, name: &str, ms: u64) -> RequestKey {
        let request = RequestKey(self.next);
        self.next += 1;
        self.names.insert(request, name.to_owned());
        let end = self.now.after(ms);
        self.step(daemon, Event::Claim(request, name.to_owned(), end));
        request
    }

    /// Ends a call: well, or with a fault before, after or long before its effect.
    fn reply(&mut self, at: usize, fate: Fate) {
        if self.calls.is_empty() {
            return;
        }
        let (daemon, key, call) = self.calls.remove(at % self.calls.len());
        let result = match fate {
            Fate::Well => Ok(self.store.call(&call)),
            Fate::NotSent => Err(Fault::NotSent),
            Fate::Refused => Err(Fault::Refused),
            Fate::Lost => Err(Fault::Unknown),
            Fate::LostAfter => {
                self.store.call(&call);
                Err(Fault::Unknown)
            }
            Fate::Delayed => {
                self.delayed.push(call);
                Err(Fault::Unknown)
            }
        };
        self.step(daemon, Event::Replied(key, result));
    }

    /// A request that was claimed is sent and answered, or not sent at all.
    fn use_claim(&mut self, at: usize, kind: Option<Kind>) {
        if self.won.is_empty() {
            return;
        }
        let (daemon, request) = self.won.remove(at % self.won.len());
        if kind != Some(Kind::NoTarget) {
            let runs = self.ran.entry(self.names[&request].clone()).or_default();
            *runs += 1;
            assert_eq!(*runs, 1, "a key was used twice");
        }
        self.step(daemon, Event::Settle(request, kind));
    }

    fn settle_all(&mut self) {
        for _ in 0..100 {
            self.now = self.now.after(600);
            for daemon in 0..self.daemons.len() {
                self.step(daemon, Event::Tick);
            }
            while !self.calls.is_empty() {
                self.reply(0, Fate::Well);
            }
        }
    }

    fn kind(&self, request: RequestKey) -> Option<Kind> {
        let verdict = self.verdicts.get(&request)?;
        verdict.as_ref().err().map(|e| e.kind)
    }
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Well,
    NotSent,
    Refused,
    Lost,
    LostAfter,
    Delayed,
}

#[derive(Clone, Debug)]
enum Step {
    Ask(usize, usize, u64),
    Reply(usize, Fate),
    Use(usize, Option<Kind>),
    Land,
    Crash(usize),
    Tick(usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    let fate = prop_oneof![
        4 => Just(Fate::Well),
        1 => Just(Fate::NotSent),
        1 => Just(Fate::Refused),
        1 => Just(Fate::Lost),
        2 => Just(Fate::LostAfter),
        2 => Just(Fate::Delayed),
    ];
    let end = prop_oneof![
        Just(None),
        Just(Some(Kind::NoTarget)),
        Just(Some(Kind::Timeout)),
    ];
    prop_oneof![
        6 => (0..3_usize, 0..4_usize, 1..3_000_u64).prop_map(|(d, n, ms)| Step::Ask(d, n, ms)),
        8 => (0..8_usize, fate).prop_map(|(at, f)| Step::Reply(at, f)),
        4 => (0..8_usize, end).prop_map(|(at, k)| Step::Use(at, k)),
        2 => Just(Step::Land),
        1 => (0..3_usize).prop_map(Step::Crash),
        3 => (0..3_usize, 1..900_u64).prop_map(|(d, ms)| Step::Tick(d, ms)),
    ]
}

fn run(world: &mut World, step: Step) {
    match step {
        Step::Ask(daemon, name, ms) => {
            world.ask(daemon, &format!("gate/key-{name}"), ms);
        }
        Step::Reply(at, fate) => world.reply(at, fate),
        Step::Use(at, kind) => world.use_claim(at, kind),
        Step::Land => {
            if let Some(call) = world.delayed.pop() {
                world.store.call(&call);
            }
        }
        Step::Crash(daemon) => {
            world.next += 1;
            world.daemons[daemon] = Claims::new("entry-new", 1_000 + world.next);
            world.calls.retain(|c| c.0 != daemon);
            world.won.retain(|w| w.0 != daemon);
        }
        Step::Tick(daemon, ms) => {
            world.now = world.now.after(ms);
            world.step(daemon, Event::Tick);
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

    /// Whatever becomes of calls and daemons, one key is used at most once. A daemon that is
    /// frozen between claim and use is one whose `Use` comes late.
    #[test]
    fn a_key_is_used_at_most_once(steps in prop::collection::vec(step(), 1..200)) {
        let mut world = World::new(3);
        for step in steps {
            run(&mut world, step);
        }
        world.settle_all();
        while !world.won.is_empty() {
            world.use_claim(0, None);
        }
    }
}

#[test]
fn a_lost_answer_is_read_back() {
    let mut world = World::new(2);
    let first = world.ask(0, "gate/a", 5_000);
    world.reply(0, Fate::Well);
    world.reply(0, Fate::LostAfter);
    assert_eq!(world.verdicts.get(&first), None);
    world.reply(0, Fate::Well);
    assert_eq!(world.verdicts[&first], Ok(()));
    let again = world.ask(1, "gate/a", 5_000);
    world.settle_all();
    assert_eq!(world.kind(again), Some(Kind::Duplicate));
}

#[test]
fn a_store_that_is_down_refuses_at_once() {
    let mut world = World::new(1);
    let first = world.ask(0, "gate/a", 60_000);
    world.reply(0, Fate::NotSent);
    assert_eq!(world.kind(first), Some(Kind::StoreDown));
    let next = world.ask(0, "gate/b", 60_000);
    assert_eq!(world.kind(next), Some(Kind::StoreDown));
    assert!(world.calls.is_empty());
    world.now = world.now.after(1_000);
    let later = world.ask(0, "gate/c", 60_000);
    world.settle_all();
    assert_eq!(world.verdicts[&later], Ok(()));
}

#[test]
fn a_claim_that_was_not_used_is_given_back_and_a_used_one_tells_its_end() {
    let mut world = World::new(2);
    world.ask(0, "gate/a", 60_000);
    world.settle_all();
    world.use_claim(0, Some(Kind::NoTarget));
    world.settle_all();
    assert_eq!(world.store.state("gate/a"), None);
    world.ask(1, "gate/a", 600_000);
    world.settle_all();
    assert_eq!(world.store.state("gate/a"), Some(State::Open));
    world.use_claim(0, Some(Kind::Timeout));
    world.settle_all();
    let again = world.ask(0, "gate/a", 600_000);
    world.settle_all();
    assert_eq!(world.kind(again), Some(Kind::Duplicate));
    let detail = &world.verdicts[&again]
        .as_ref()
        .expect_err("a repeat")
        .detail;
    assert!(detail.contains("timeout"), "{detail}");
}

#[test]
fn a_claim_past_its_deadline_is_refused_and_given_back_when_it_comes() {
    let mut world = World::new(1);
    let late = world.ask(0, "gate/a", 100);
    world.reply(0, Fate::Well);
    world.now = world.now.after(200);
    world.step(0, Event::Tick);
    assert_eq!(world.kind(late), Some(Kind::Expired));
    world.settle_all();
    assert_eq!(world.store.state("gate/a"), None);
}

#[test]
fn a_delayed_deletion_does_not_take_another_claim() {
    let mut world = World::new(2);
    world.ask(0, "gate/a", 60_000);
    world.settle_all();
    world.use_claim(0, Some(Kind::NoTarget));
    world.reply(0, Fate::Delayed);
    world.settle_all();
    world.ask(1, "gate/a", 600_000);
    world.settle_all();
    world.use_claim(0, None);
    let deletion = world.delayed.pop().expect("the deletion");
    world.store.call(&deletion);
    world.ask(0, "gate/a", 600_000);
    world.settle_all();
    world.use_claim(0, None);
    assert_eq!(world.ran["gate/a"], 1);
}
