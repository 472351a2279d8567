//! A simulation of daemons, a store and workers on one clock. Its network drops, delays,
//! duplicates and reorders messages. Every invariant is checked after each event.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use marigoldglade::api::{JobSpec, JobView};
use marigoldglade::config::{Class, Config, Workspace};
use marigoldglade::error::{Executed, Kind};
use marigoldglade::gang::{CLOCK_MARGIN_MS, RECOVER_TIMEOUT_MS, START_LEASE_MS};
use marigoldglade::jobs::{Action, Event, Owner, Ticket};

use marigoldglade::prelude::*;
use marigoldglade::record::{JobId, Record, owner_key};
use marigoldglade::store::{Call, Fault, Reply};
use marigoldglade::wire::{Orders, Report, Role, TaskId, TaskStatus, Vm};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use standin::worker::Worker;

use crate::first_fit::FirstFit;
use crate::store::FakeStore;

pub const DC: &str = "kista";
/// The time after which an owner's key without a renewal expires, in milliseconds.
const TTL_MS: u64 = 6_000;
const RENEW_MS: u64 = 1_500;
const TICK_MS: u64 = 50;
/// The time after which a daemon gives up an exchange or a store call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// The longest time that a part of a gang may run whose other tasks never started: the first lease,
/// and what a new owner adds while it recovers the gang, in milliseconds.
pub const MAX_PARTIAL_MS: u64 =
    START_LEASE_MS + RECOVER_TIMEOUT_MS + START_LEASE_MS + CLOCK_MARGIN_MS;

enum Message {
    Tick(usize),
    Renew(usize),
    Store(usize, u64, Call),
    Replied(usize, u64, std::result::Result<Reply, Fault>),
    Orders(usize, u64, String, Orders),
    ReportRequest(usize, u64, String, u64),
    OrdersAnswered(usize, u64, String, Option<Vec<TaskStatus>>),
    Report(usize, u64, Report),
    ExchangeTimeout(usize, u64, String),
}

impl Message {
    /// Returns the daemon that the message is for, if it is for one.
    fn node(&self) -> Option<usize> {
        match self {
            Self::Tick(n) | Self::Renew(n) | Self::Replied(n, ..) => Some(*n),
            Self::OrdersAnswered(n, ..) | Self::Report(n, ..) | Self::ExchangeTimeout(n, ..) => {
                Some(*n)
            }
            Self::Store(..) | Self::Orders(..) | Self::ReportRequest(..) => None,
        }
    }
}

#[derive(Default)]
struct Node {
    owner: Option<Owner>,
    planner: FirstFit,
    frozen_until: UnixMs,
    /// The number of the exchange under way with each worker.
    exchanges: BTreeMap<String, u64>,
    /// The store calls under way, each with the owner's epoch and its number.
    calls: BTreeSet<(u64, u64)>,
}

/// A fault or a caller's request.
#[derive(Clone, Debug)]
pub enum Step {
    Submit(JobSpec),
    Cancel(usize),
    /// The process dies with all it knew, and a fresh one starts.
    Kill(usize),
    /// The process pauses for so many milliseconds.
    Freeze(usize, u64),
    /// The store takes no call for so many milliseconds.
    StoreDown(u64),
    /// The worker's process dies with all it knew, and a fresh one starts.
    Restart(usize),
    /// The VM is replaced by another one.
    Replace(usize),
    /// The worker refuses every preparation for so many milliseconds.
    Refuse(usize, u64),
    /// This worker receives no message for so many milliseconds.
    Cut(usize, u64),
}

pub struct Simulation {
    pub now: UnixMs,
    rng: ChaCha8Rng,
    queue: BTreeMap<(UnixMs, u64), Message>,
    seq: u64,
    nodes: Vec<Node>,
    pub store: FakeStore,
    owner_expires_at: UnixMs,
    store_up_at: UnixMs,
    pub workers: BTreeMap<String, Worker>,
    slots: Vec<String>,
    cuts: BTreeMap<String, UnixMs>,
    refusals: BTreeMap<String, UnixMs>,
    /// The share of messages that the network may drop, duplicate or delay, in percent.
    pub faulty: u32,
    tickets: BTreeMap<Ticket, String>,
    pub specs: BTreeMap<String, JobSpec>,
    pub order: Vec<String>,
    pub accepted: BTreeSet<String>,
    pub answers: Vec<(String, Result<JobView>)>,
    refused: BTreeSet<String>,
    starts: BTreeMap<TaskId, u32>,
    partial_since: BTreeMap<(String, u32), UnixMs>,
    started_whole: BTreeSet<(String, u32)>,
    next_seed: u64,
}

impl Simulation {
    pub fn new(seed: u64, daemons: usize, workers: usize, faulty: u32) -> Self {
        let mut sim = Self {
            now: UnixMs(1_000_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            seq: 0,
            nodes: (0..daemons).map(|_| Node::default()).collect(),
            store: FakeStore::default(),
            owner_expires_at: UnixMs(0),
            store_up_at: UnixMs(0),
            workers: BTreeMap::new(),
            slots: Vec::new(),
            cuts: BTreeMap::new(),
            refusals: BTreeMap::new(),
            faulty,
            tickets: BTreeMap::new(),
            specs: BTreeMap::new(),
            order: Vec::new(),
            accepted: BTreeSet::new(),
            answers: Vec::new(),
            refused: BTreeSet::new(),
            starts: BTreeMap::new(),
            partial_since: BTreeMap::new(),
            started_whole: BTreeSet::new(),
            next_seed: seed,
        };
        for i in 0..workers {
            let name = format!("w{i}");
            sim.workers.insert(name.clone(), Worker::new(&name, 8));
            sim.slots.push(name);
        }
        for node in 0..daemons {
            sim.schedule(node as u64, Message::Tick(node));
            sim.schedule(node as u64, Message::Renew(node));
        }
        sim
    }

    fn schedule(&mut self, delay_ms: u64, msg: Message) {
        self.seq += 1;
        self.queue.insert((self.now.after(delay_ms), self.seq), msg);
    }

    /// Sends a message over the network; `make` is called once for each copy.
    fn send(&mut self, make: impl Fn() -> Message) {
        let fault = self.rng.random_range(0..100) < self.faulty;
        let copies = match fault.then(|| self.rng.random_range(0..3)) {
            Some(0) => 0,
            Some(1) => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = if fault { 4_000 } else { 3 };
            let delay = self.rng.random_range(1..=late);
            self.schedule(delay, make());
        }
    }

    /// Runs until `end`, checking after each event.
    pub fn run(&mut self, end: UnixMs) {
        while let Some((&(at, seq), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let Some(msg) = self.queue.remove(&(at, seq)) else {
                break;
            };
            self.now = self.now.max(at);
            self.expire();
            match msg.node().map(|n| self.nodes[n].frozen_until) {
                Some(frozen) if frozen > self.now => {
                    self.queue.insert((frozen, seq), msg);
                }
                _ => self.handle(msg),
            }
            self.check();
        }
        self.now = self.now.max(end);
    }

    fn expire(&mut self) {
        if self.owner_expires_at.passed(self.now)
            && self.store.pairs.remove(&owner_key(DC)).is_some()
        {
            self.store.revision += 1;
        }
        let now = self.now;
        for (name, end) in &self.refusals {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.set_refusing(!end.passed(now));
            }
        }
    }

    fn handle(&mut self, msg: Message) {
        let now = self.now;
        match msg {
            Message::Tick(node) => {
                self.step(node, Event::Tick);
                self.schedule(TICK_MS, Message::Tick(node));
            }
            Message::Renew(node) => {
                self.renew(node);
                self.schedule(RENEW_MS, Message::Renew(node));
            }
            Message::Store(node, number, call) => self.store_call(node, number, &call),
            Message::Replied(node, number, reply) => {
                let epoch = self.epoch(node);
                if self.nodes[node].calls.remove(&(epoch, number)) {
                    self.step(node, Event::Store(number, reply));
                }
            }
            Message::Orders(node, exchange, vm, orders) => {
                if let Some(worker) = self.reachable(&vm) {
                    let statuses = worker.execute(now, &orders);
                    self.send(|| {
                        Message::OrdersAnswered(node, exchange, vm.clone(), statuses.clone())
                    });
                }
            }
            Message::ReportRequest(node, exchange, vm, epoch) => {
                if let Some(worker) = self.reachable(&vm) {
                    let report = worker.report(now, epoch);
                    self.send(|| Message::Report(node, exchange, report.clone()));
                }
            }
            Message::OrdersAnswered(node, exchange, vm, statuses) => {
                if self.end_exchange(node, exchange, &vm) {
                    let event = match statuses {
                        Some(statuses) => Event::OrdersAnswered(vm, statuses),
                        None => Event::Deposed,
                    };
                    self.step(node, event);
                }
            }
            Message::Report(node, exchange, report) => {
                if self.end_exchange(node, exchange, &report.name) {
                    self.step(node, Event::Report(report));
                }
            }
            Message::ExchangeTimeout(node, exchange, vm) => {
                if self.end_exchange(node, exchange, &vm) {
                    self.step(node, Event::NoAnswer(vm));
                }
            }
        }
    }

    fn reachable(&mut self, vm: &str) -> Option<&mut Worker> {
        let cut = self.cuts.get(vm).is_some_and(|end| !end.passed(self.now));
        if cut { None } else { self.workers.get_mut(vm) }
    }

    fn end_exchange(&mut self, node: usize, exchange: u64, vm: &str) -> bool {
        let exchanges = &mut self.nodes[node].exchanges;
        let ends = exchanges.get(vm) == Some(&exchange);
        if ends {
            exchanges.remove(vm);
        }
        ends
    }

    fn epoch(&self, node: usize) -> u64 {
        self.nodes[node].owner.as_ref().map_or(0, Owner::epoch)
    }

    fn store_call(&mut self, node: usize, number: u64, call: &Call) {
        let reply = if self.store_up_at > self.now {
            Err(Fault::NotSent)
        } else {
            Ok(self.store.call(call))
        };
        self.send(|| Message::Replied(node, number, reply.clone()));
    }

    /// Renews the owner's key, or takes it when it is free.
    fn renew(&mut self, node: usize) {
        if self.store_up_at > self.now {
            return;
        }
        let key = owner_key(DC);
        let end = self.now.after(TTL_MS);
        let epoch = self.epoch(node);
        match self.store.pairs.get(&key).map(|p| p.created) {
            Some(created) if created == epoch => {
                self.owner_expires_at = end;
                self.step(node, Event::Renewed(end));
            }
            Some(_) if epoch != 0 => self.step(node, Event::Deposed),
            Some(_) => {}
            None => {
                self.step(node, Event::Deposed);
                self.store.put(&key, b"", 1);
                self.store.revision += 1;
                self.owner_expires_at = end;
                self.next_seed += 1;
                let owner = Owner::new(DC, self.store.revision, end, self.next_seed);
                self.nodes[node] = Node {
                    owner: Some(owner),
                    ..Node::default()
                };
                self.step(node, Event::Config(Arc::new(config()), 1));
                self.list_vms(node);
            }
        }
    }

    fn list_vms(&mut self, node: usize) {
        for name in self.slots.clone() {
            self.step(node, Event::WorkerListed(vm(&name)));
        }
    }

    fn step(&mut self, node: usize, event: Event) {
        let mut out = Vec::new();
        if let Some(owner) = &mut self.nodes[node].owner {
            owner.step(self.now, event, &mut out);
        }
        for action in out {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Store(number, _, call) => {
                let epoch = self.epoch(node);
                self.nodes[node].calls.insert((epoch, number));
                self.send(|| Message::Store(node, number, call.clone()));
                self.schedule(
                    CALL_TIMEOUT_MS,
                    Message::Replied(node, number, Err(Fault::Unknown)),
                );
            }
            Action::Orders(vm, orders, until) => {
                assert!(!until.passed(self.now), "orders after the ownership's end");
                let exchange = self.begin_exchange(node, &vm);
                self.send(|| Message::Orders(node, exchange, vm.clone(), orders.clone()));
            }
            Action::RequestReport(vm, epoch) => {
                let exchange = self.begin_exchange(node, &vm);
                self.send(|| Message::ReportRequest(node, exchange, vm.clone(), epoch));
            }
            Action::Accepted(ticket, view) => self.handle_answer(ticket, Ok(view)),
            Action::Answer(ticket, result) => self.handle_answer(ticket, result),
            Action::Plan(event) => {
                let mut out = Vec::new();
                self.nodes[node].planner.step(event, &mut out);
                for action in out {
                    self.step(node, Event::Plan(action));
                }
            }
            Action::Deposed => self.nodes[node].owner = None,
            Action::Explained(..)
            | Action::Listed(..)
            | Action::Redirect(..)
            | Action::JobEnded(_) => {}
        }
    }

    fn begin_exchange(&mut self, node: usize, vm: &str) -> u64 {
        self.seq += 1;
        let exchange = self.seq;
        self.nodes[node].exchanges.insert(vm.to_owned(), exchange);
        self.schedule(
            CALL_TIMEOUT_MS,
            Message::ExchangeTimeout(node, exchange, vm.to_owned()),
        );
        exchange
    }

    fn handle_answer(&mut self, ticket: Ticket, result: Result<JobView>) {
        let Some(id) = self.tickets.remove(&ticket) else {
            panic!("{ticket:?} was answered twice");
        };
        match &result {
            Ok(view) => {
                let pair = self.store.pairs.get(&format!("/mg/job/{id}"));
                let value = &pair.expect("an accepted job has a record").value;
                let record = Record::decode(value).expect("a record");
                if view.state.ended() {
                    assert_eq!(
                        view.state, record.state,
                        "{id}: the answer has another end than the record"
                    );
                }
                self.accepted.insert(id.clone());
            }
            Err(e) if e.kind.properties().run == Executed::No && e.kind != Kind::NotFound => {
                self.refused.insert(id.clone());
            }
            Err(_) => {}
        }
        self.answers.push((id, result));
    }

    /// Sends a request to the first daemon that takes itself for the owner, if there is one.
    pub fn call(&mut self, id: &str, event: impl FnOnce(Ticket) -> Event) {
        self.seq += 1;
        let ticket = Ticket(self.seq);
        let thawed = |n: &&usize| self.nodes[**n].frozen_until <= self.now;
        let nodes: Vec<usize> = (0..self.nodes.len()).collect();
        let owner = nodes
            .iter()
            .filter(thawed)
            .find(|n| self.nodes[**n].owner.is_some());
        if let Some(&node) = owner {
            self.tickets.insert(ticket, id.to_owned());
            self.step(node, event(ticket));
        }
    }

    pub fn submit(&mut self, spec: JobSpec) {
        let id = JobId::new(DC, &spec).to_string();
        self.specs.insert(id.clone(), spec.clone());
        self.order.push(id.clone());
        self.call(&id, |t| Event::Submit(t, "foreman".to_owned(), spec));
    }

    pub fn cancel(&mut self, id: &str) {
        self.call(id, |t| Event::Cancel(t, id.to_owned()));
    }

    pub fn apply(&mut self, act: Step) {
        let now = self.now;
        match act {
            Step::Submit(spec) => self.submit(spec),
            Step::Cancel(i) => {
                if let Some(id) = self.order.get(i % self.order.len().max(1)).cloned() {
                    self.cancel(&id);
                }
            }
            Step::Kill(n) => self.nodes[n] = Node::default(),
            Step::Freeze(n, ms) => self.nodes[n].frozen_until = now.after(ms),
            Step::StoreDown(ms) => self.store_up_at = now.after(ms),
            Step::Restart(i) => {
                let name = self.slots[i].clone();
                let worker = Worker::new(&name, 8);
                self.workers.insert(name, worker);
            }
            Step::Replace(i) => self.replace(i),
            Step::Refuse(i, ms) => {
                self.refusals.insert(self.slots[i].clone(), now.after(ms));
            }
            Step::Cut(i, ms) => {
                self.cuts.insert(self.slots[i].clone(), now.after(ms));
            }
        }
    }

    fn replace(&mut self, i: usize) {
        self.seq += 1;
        let name = format!("w{i}-{}", self.seq);
        let old = std::mem::replace(&mut self.slots[i], name.clone());
        self.workers.remove(&old);
        self.workers.insert(name.clone(), Worker::new(&name, 8));
        for node in 0..self.nodes.len() {
            self.step(node, Event::WorkerRemoved(old.clone()));
            self.step(node, Event::WorkerListed(vm(&name)));
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.faulty = 0;
        self.store_up_at = self.now;
        self.cuts.clear();
        for end in self.refusals.values_mut() {
            *end = self.now;
        }
        for node in &mut self.nodes {
            node.frozen_until = node.frozen_until.min(self.now);
        }
    }

    fn check(&mut self) {
        let mut running: BTreeMap<(String, u32), BTreeSet<u16>> = BTreeMap::new();
        for worker in self.workers.values_mut() {
            for task in worker.take_starts() {
                let starts = self.starts.entry(task.clone()).or_default();
                *starts += 1;
                assert_eq!(*starts, 1, "{task:?} was started again");
                let spec = &self.specs[&task.job];
                let of = |t: &&TaskId| t.job == task.job && t.index == task.index;
                let bodies = self.starts.keys().filter(of).count();
                assert!(spec.idempotent || bodies == 1, "{task:?} ran twice");
            }
            for task in worker.running(self.now) {
                let gang = running.entry((task.job, task.attempt)).or_default();
                gang.insert(task.index);
            }
        }
        self.partial_since
            .retain(|gang, _| running.contains_key(gang));
        for (gang, _) in running {
            self.check_gang(gang);
        }
    }

    /// Checks that a gang that was never started as a whole runs in part for a bounded time only.
    fn check_gang(&mut self, gang: (String, u32)) {
        let tasks = self.specs[&gang.0].shape.tasks;
        let started = (0..tasks).filter(|&index| {
            let (job, attempt) = gang.clone();
            let task = TaskId {
                job,
                attempt,
                index,
            };
            self.starts.contains_key(&task)
        });
        if started.count() == usize::from(tasks) {
            self.started_whole.insert(gang);
            return;
        }
        let since = *self.partial_since.entry(gang.clone()).or_insert(self.now);
        let alone = self.now.since(since);
        assert!(
            alone <= MAX_PARTIAL_MS,
            "a part of {gang:?} ran alone for {alone} ms"
        );
    }

    /// Checks that each accepted job has ended, that refused jobs left no record, and that workers
    /// hold and remember no task.
    pub fn check_settled(&mut self) {
        let records: BTreeMap<String, _> = self
            .store
            .records()
            .map(|(i, r)| (i.to_owned(), r))
            .collect();
        for id in &self.accepted {
            let record = records.get(id).expect("an accepted job has a record");
            assert!(record.state.ended(), "{id} is still {}", record.state);
        }
        for (id, record) in &records {
            assert!(record.state.ended(), "{id} is still {}", record.state);
        }
        for id in self.refused.difference(&self.accepted) {
            let submits = self.order.iter().filter(|o| *o == id).count();
            let answers = self.answers.iter().filter(|(i, _)| i == id).count();
            let clear = submits == 1 && answers == 1;
            assert!(
                !clear || !records.contains_key(id),
                "{id} was refused and recorded"
            );
        }
        for (name, worker) in &mut self.workers {
            assert_eq!(worker.free_accels(self.now), 8, "{name} holds accelerators");
            assert_eq!(
                worker.report(self.now, 0).tasks,
                vec![],
                "{name} remembers tasks"
            );
        }
    }
}

pub fn vm(name: &str) -> Vm {
    Vm {
        name: name.to_owned(),
        addr: "127.0.0.1:1".to_owned(),
        role: Role::Worker,
        dc: DC.to_owned(),
        rack: "r1".to_owned(),
        accels: 8,
        slots: 0,
        labels: Labels::new(),
        leaving: false,
    }
}

fn config() -> Config {
    let workspace = Workspace {
        name: "register".to_owned(),
        labels: Labels::new(),
        r#where: Selector::default(),
        guarantee: Vec::new(),
        quota: 0,
    };
    let class = Class {
        name: "sweep".to_owned(),
        matches: Selector::default(),
        urgency: 5,
        r#where: Selector::default(),
        answer_ms: 2_000,
        grace_ms: 1_000,
    };
    Config {
        workspaces: vec![workspace],
        classes: vec![class],
        ..Config::default()
    }
}
