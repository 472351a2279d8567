//! The driver of the engine: passes events to it and carries out its actions.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use marigoldglade::batch::advice::AdviceResponse;
use marigoldglade::batch::engine::{
    Action, Batch, CallId, CommitOutcome, Engine, Event, WorkerKey,
};
use marigoldglade::batch::id::TaskId;
use marigoldglade::batch::links::{Links, RelayKey, Route};
use marigoldglade::batch::messages::{RelayedOrder, Reply};
use marigoldglade::batch::succession::Permit;
use marigoldglade::batch::worker::{Order, OrderResponse, Target};
use marigoldglade::batch::worker_list;
use marigoldglade::prelude::*;
use marigoldglade::store::{self, Body, Compare, Fault, Op, Pair, Txn, TxnResult};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

use crate::batch::calls::{REFUSED_KEY, job_key, record_key};
use crate::batch::live::{decode, encode};
use crate::batch::orders::{response_limit_ms, send_order};
use crate::batch::owner::relays::{RelayLinks, WaitingOrders};
use crate::batch::owner::{
    EndReason, Ending, Input, LEARNED_KEY, Ownership, SEQ_KEY, Seq, first_pair,
};
use crate::batch::store::pause;
use crate::batch::{Node, boot_ms, clock, wall_ms};

/// The time between two looks at the daemons that can relay orders, in milliseconds.
const CANDIDATES_MS: u64 = 250;
/// The time between two updates of the metrics of learned run times, in milliseconds.
const METRICS_MS: u64 = 1_000;

impl Node {
    /// Passes inputs to the engine and carries out its actions until the ownership ends.
    pub(super) async fn drive(
        self: &Rc<Self>,
        mut engine: Engine,
        ownership: &Rc<Ownership>,
        inputs: mpsc::UnboundedSender<Input>,
        mut queue: mpsc::UnboundedReceiver<Input>,
    ) {
        let mut driver = Driver {
            node: Rc::clone(self),
            ownership: Rc::clone(ownership),
            inputs: inputs.clone(),
            callers: HashMap::new(),
            last_call: 0,
            links: Links::new(clock::now()),
            relays: RelayLinks::new(inputs),
            outgoing: BTreeMap::new(),
            candidates_at: clock::now(),
            metrics_at: clock::now(),
            checked_at: boot_ms(),
        };
        let mut ended = std::pin::pin!(self.wait_ended(ownership));
        let mut releasing = false;
        loop {
            let input = tokio::select! {
                input = queue.recv() => input,
                () = clock::sleep_until(engine.next_tick()) => Some(Input::Event(Event::Tick)),
                ending = &mut ended, if !releasing => {
                    releasing = true;
                    *self.engine.borrow_mut() = None;
                    if ending == Ending::Lost {
                        break;
                    }
                    continue;
                }
            };
            // The inputs may have been taken before the end of the ownership was noticed, as after a
            // freeze of the process. The engine's step and its actions don't wait for anything, but a freeze
            // may come between, so the time to send orders counts from this check.
            driver.checked_at = boot_ms();
            if self.has_lost(ownership) {
                break;
            }
            let mut events = vec![Event::Confirmed(ownership.confirmed_at())];
            let mut next = input;
            while let Some(input) = next {
                driver.convert(input, &mut events);
                next = queue.try_recv().ok();
            }
            let mut out = Vec::new();
            engine.step_all(clock::now(), wall_ms(), events, &mut out);
            if !driver.perform(out) {
                ownership.note_end(EndReason::Fenced);
                break;
            }
            self.metrics
                .update_engine(engine.counts(), engine.open_jobs(), driver.links.in_use());
            if driver.metrics_at.passed(clock::now()) {
                driver.metrics_at = clock::now().after(METRICS_MS);
                self.metrics.update_run_times(engine.run_times());
            }
            let evacuated = i64::try_from(engine.evacuated()).unwrap_or(i64::MAX);
            self.metrics.evacuated.set(evacuated);
            if releasing && (engine.is_settled() || driver.callers.is_empty()) {
                break;
            }
        }
        ownership.log_end(engine.count_runs());
    }
}

/// Carries out the engine's actions.
struct Driver {
    node: Rc<Node>,
    ownership: Rc<Ownership>,
    inputs: mpsc::UnboundedSender<Input>,
    /// The callers that wait for a reply.
    callers: HashMap<CallId, oneshot::Sender<Reply>>,
    last_call: CallId,
    /// The daemons that relay orders, and the orders under way through them.
    links: Links,
    relays: RelayLinks,
    /// Orders that go to relays once the engine's actions have been carried out.
    outgoing: BTreeMap<RelayKey, Vec<RelayedOrder>>,
    /// When the daemons that can relay orders are looked at again.
    candidates_at: UnixMs,
    /// When the metrics of learned run times are next brought up to date.
    metrics_at: UnixMs,
    /// When the ownership was last checked, by [`boot_ms`].
    checked_at: u64,
}

impl Driver {
    /// Turns an input into events, and assigns an id to a call.
    fn convert(&mut self, input: Input, events: &mut Vec<Event>) {
        let now = clock::now();
        match input {
            Input::Event(event) => {
                match &event {
                    Event::Registry(targets) => {
                        self.update_candidates(now);
                        self.links.set_workers(now, targets.iter());
                    }
                    Event::Tick => self.check_links(now, events),
                    _ => {}
                }
                events.push(event);
            }
            Input::Call(call, answer) => {
                self.last_call += 1;
                self.callers.insert(self.last_call, answer);
                events.push(Event::Call(self.last_call, call));
            }
            Input::Relayed(addr, responses, stopping) => {
                let taken = self.links.receive(now, addr, responses, stopping);
                push_responses(events, taken);
            }
            Input::RelayFailed(addr, number) => {
                if self.relays.is_current(addr, number) {
                    self.relays.close(addr);
                    push_responses(events, self.links.fail(now, addr));
                }
            }
        }
    }

    /// Looks at the daemons that are alive, unless that was done shortly before.
    fn update_candidates(&mut self, now: UnixMs) {
        if self.candidates_at.passed(now) {
            self.candidates_at = now.after(CANDIDATES_MS);
            let candidates = self.node.relay_candidates();
            self.links.set_candidates(now, candidates);
        }
    }

    /// Gives up silent relays, and looks at the daemons that are alive.
    fn check_links(&mut self, now: UnixMs, events: &mut Vec<Event>) {
        self.update_candidates(now);
        let (lost, silent) = self.links.check(now);
        push_responses(events, lost);
        for addr in silent {
            self.relays.close(addr);
        }
    }

    /// Carries out actions; returns false when the engine gives up the ownership.
    fn perform(&mut self, actions: Vec<Action>) -> bool {
        for action in actions {
            match action {
                Action::Order(worker, target, order) => self.start_order(worker, target, order),
                Action::Commit(batch) => self.start_commit(batch),
                Action::Reply(call, reply) => {
                    if let Some(answer) = self.callers.remove(&call) {
                        let _ = answer.send(reply);
                    }
                }
                Action::Advise {
                    step,
                    workers,
                    deadline,
                } => self.start_advice(step, workers, deadline),
                Action::StepDown => return false,
            }
        }
        for (relay, orders) in std::mem::take(&mut self.outgoing) {
            let addr = self.links.addr(relay);
            let starts_by = self.ownership.starts_end();
            let waiting = WaitingOrders::new(orders, self.checked_at, starts_by);
            self.relays.send(&self.node, addr, waiting);
        }
        true
    }

    /// Sends an order to a worker, or adds it to those for the worker's relay.
    fn start_order(&mut self, worker: WorkerKey, target: Arc<Target>, order: Order) {
        if let Route::Relay(relay) = self.links.route(worker, &target) {
            self.node.client.close_idle(target.addr);
            let limit_ms = response_limit_ms(&order);
            let relayed = RelayedOrder {
                number: self
                    .links
                    .send(clock::now(), relay, worker, order.clone(), limit_ms),
                worker: target.name.clone(),
                addr: target.addr,
                order,
                send_by: None,
            };
            self.outgoing.entry(relay).or_default().push(relayed);
            return;
        }
        let (node, inputs) = (Rc::clone(&self.node), self.inputs.clone());
        let permit = Permit {
            term: self.ownership.term,
            relayed: false,
            send_by: self.ownership.send_by(&order, self.checked_at),
        };
        spawn_local(async move {
            let answer = send_order(&node, &target.name, target.addr, &order, permit).await;
            let _ = inputs.send(Input::Event(Event::OrderResponse(worker, order, answer)));
        });
    }

    fn start_advice(&mut self, step: TaskId, workers: Vec<String>, deadline: UnixMs) {
        let (node, inputs) = (Rc::clone(&self.node), self.inputs.clone());
        spawn_local(async move {
            let answer = request_advice(&node, &step, &workers, deadline).await;
            let answer = answer.inspect_err(
                |e| log::warn!(job = step.job.as_str(), error:% = e; "can't get the placement adviser's response for a step"),
            );
            let _ = inputs.send(Input::Event(Event::Advised(answer.ok())));
        });
    }

    fn start_commit(&mut self, batch: Batch) {
        let (node, ownership, inputs) = (
            Rc::clone(&self.node),
            Rc::clone(&self.ownership),
            self.inputs.clone(),
        );
        spawn_local(async move {
            let number = batch.number;
            let began = clock::now();
            let stored = write_commit(&node, &ownership, batch).await;
            node.metrics.record_commit(clock::now().since(began));
            let _ = inputs.send(Input::Event(Event::CommitOutcome(number, stored)));
        });
    }
}

fn push_responses(events: &mut Vec<Event>, responses: Vec<(WorkerKey, Order, OrderResponse)>) {
    let event = |(worker, order, response)| Event::OrderResponse(worker, order, response);
    events.extend(responses.into_iter().map(event));
}

async fn request_advice(
    node: &Node,
    step: &TaskId,
    workers: &[String],
    deadline: UnixMs,
) -> Result<AdviceResponse> {
    let adviser = node.platform.adviser;
    let addr =
        adviser.ok_or_else(|| Error::new(Kind::NoTarget, "no placement adviser is configured"))?;
    let request = platform::advice::encode(step, workers, &addr.to_string())?;
    let sent = node.client.send(addr, request, deadline).await;
    let response =
        sent.map_err(|_| Error::new(Kind::NoTarget, "the placement adviser can't be reached"))?;
    platform::advice::decode(&response)
}

/// Writes one commit; returns only when its outcome is certain.
async fn write_commit(node: &Node, ownership: &Ownership, batch: Batch) -> CommitOutcome {
    let seq = Seq {
        term: ownership.term,
        number: batch.number,
    };
    let mut then = vec![Op::Put(SEQ_KEY.to_owned(), encode(&seq), 0)];
    for record in &batch.puts {
        match record.encode() {
            Ok(value) => then.push(Op::Put(job_key(record.id), value, 0)),
            Err(e) => {
                log::error!(job = record.id.as_str(), error:% = e; "can't encode a job record");
            }
        }
    }
    for part in &batch.parts {
        match part.encode() {
            Ok(value) => then.push(Op::Put(record_key(part.key), value, 0)),
            Err(e) => {
                log::error!(job = part.key.job.as_str(), part = part.key.part, error:% = e; "can't encode a part of a job record");
            }
        }
    }
    then.extend(batch.deletes.iter().map(|key| Op::Delete(record_key(*key))));
    then.extend(batch.handled.iter().map(|key| Op::Delete(key.clone())));
    if let Some(workers) = &batch.workers {
        let parts = worker_list::split(workers);
        let stored = ownership.worker_parts.get();
        let surplus = worker_list::surplus(parts.len(), stored).into_iter();
        // The parts stay counted until a later commit, as this one may fail.
        ownership.worker_parts.set(stored.max(parts.len()));
        let puts = parts.into_iter();
        then.extend(puts.map(|(key, part)| Op::Put(key, encode(&part), 0)));
        then.extend(surplus.map(Op::Delete));
    }
    if let Some(refused) = &batch.refused {
        then.push(Op::Put(REFUSED_KEY.to_owned(), encode(refused), 0));
    }
    if let Some(learned) = batch.learned {
        then.push(Op::Put(LEARNED_KEY.to_owned(), learned, 0));
    }
    let txn = Txn {
        when: vec![Compare::Changed(
            SEQ_KEY.to_owned(),
            ownership.seq_revision.get(),
        )],
        then,
        other: Vec::new(),
    };
    let call = store::Call::Txn(txn);
    let mut unsure = false;
    loop {
        match node.store.call(&call).await {
            Ok(reply) => match reply.body {
                Body::Txn(TxnResult { held: true, .. }) => {
                    ownership.seq_revision.set(reply.revision);
                    return CommitOutcome::Committed;
                }
                Body::Txn(done) => return resolve_failed_commit(ownership, seq, first_pair(done)),
                _ => unsure = true,
            },
            Err(Fault::Invalid) => return CommitOutcome::Invalid,
            // After an attempt with an unknown outcome, that attempt may still take effect as long as
            // its condition holds.
            Err(Fault::Refused | Fault::NotSent) if !unsure => return CommitOutcome::NotCommitted,
            Err(Fault::Refused | Fault::NotSent) => {}
            Err(Fault::Unknown) => unsure = true,
        }
        pause().await;
    }
}

/// Finds out why the condition of a commit doesn't hold: an earlier attempt at the same commit took
/// effect, or a newer owner has written.
fn resolve_failed_commit(ownership: &Ownership, seq: Seq, pair: Option<Pair>) -> CommitOutcome {
    let Some(pair) = pair else {
        return CommitOutcome::Fenced;
    };
    if decode::<Seq>(&pair) == Some(seq) {
        ownership.seq_revision.set(pair.changed);
        return CommitOutcome::Committed;
    }
    CommitOutcome::Fenced
}
