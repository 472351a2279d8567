//! The driver of the engine: passes events to it and carries out its actions.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use marigoldglade::batch::advice::AdviceResponse;
use marigoldglade::batch::engine::{
    Action, Batch, CallId, CommitOutcome, Engine, Event, WorkerKey,
};
use marigoldglade::batch::id::TaskId;
use marigoldglade::batch::messages::Reply;
use marigoldglade::batch::worker::{Order, OrderResponse, Target};
use marigoldglade::prelude::*;
use marigoldglade::store::{self, Body, Compare, Fault, Op, Pair, Txn, TxnResult};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::spawn_local;

use crate::batch::calls::job_key;
use crate::batch::client::Failure;
use crate::batch::live::{decode, encode};
use crate::batch::owner::{Input, Ownership, SEQ_KEY, Seq, WORKERS_KEY, first_pair};
use crate::batch::store::pause;
use crate::batch::{Node, clock, wall_ms};

/// The longest time that a worker may take to respond to a start, a stop or a change of pace, in
/// milliseconds: many times what it usually takes. Three such times fit into the time that gangs wait
/// for members.
const ORDER_TIMEOUT_MS: u64 = 500;
/// How much longer than its wait a renewal of worker leases may take, in milliseconds.
const RENEWAL_MARGIN_MS: u64 = 600;
/// The most orders under way to one worker, besides a renewal. Each one takes a connection.
const ORDERS_PER_WORKER: usize = 2;

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
            inputs,
            callers: HashMap::new(),
            last_call: 0,
            order_slots: HashMap::new(),
        };
        let mut ended = std::pin::pin!(self.wait_ended(ownership));
        let mut releasing = false;
        loop {
            let input = tokio::select! {
                input = queue.recv() => input,
                () = clock::sleep_until(engine.next_tick()) => Some(Input::Event(Event::Tick)),
                () = &mut ended, if !releasing => {
                    releasing = true;
                    *self.engine.borrow_mut() = None;
                    // At a planned stop, callers that wait for a commit still get their answer.
                    if !self.stop.is_stopping() {
                        return;
                    }
                    continue;
                }
            };
            let mut out = Vec::new();
            let mut next = input;
            while let Some(input) = next {
                let event = driver.convert(input);
                engine.step(clock::now(), wall_ms(), event, &mut out);
                next = queue.try_recv().ok();
            }
            if !driver.perform(out) {
                return;
            }
            self.metrics
                .update_engine(engine.counts(), engine.open_jobs());
            if releasing && (engine.is_settled() || driver.callers.is_empty()) {
                return;
            }
        }
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
    /// Limits the orders under way to each worker.
    order_slots: HashMap<WorkerKey, Rc<Semaphore>>,
}

impl Driver {
    /// Turns an input into an event, and assigns an id to a call.
    fn convert(&mut self, input: Input) -> Event {
        match input {
            Input::Event(event) => event,
            Input::Call(call, answer) => {
                self.last_call += 1;
                self.callers.insert(self.last_call, answer);
                Event::Call(self.last_call, call)
            }
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
        true
    }

    fn start_order(&mut self, worker: WorkerKey, target: Arc<Target>, order: Order) {
        let slots = self
            .order_slots
            .entry(worker)
            .or_insert_with(|| Rc::new(Semaphore::new(ORDERS_PER_WORKER)));
        let slots = Rc::clone(slots);
        let (node, inputs) = (Rc::clone(&self.node), self.inputs.clone());
        spawn_local(async move {
            let _slot = match order {
                Order::Renew(_) => None,
                Order::Start(_) | Order::Stop(_) | Order::SetPace(_) => slots.acquire().await.ok(),
            };
            let answer = send_order(&node, &target, &order).await;
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

async fn send_order(node: &Node, target: &Target, order: &Order) -> OrderResponse {
    let limit = match order {
        Order::Renew(renewal) => renewal.wait_ms + RENEWAL_MARGIN_MS,
        Order::Start(_) | Order::Stop(_) | Order::SetPace(_) => ORDER_TIMEOUT_MS,
    };
    let request = match platform::worker::encode(order, &target.name, &target.addr.to_string()) {
        Ok(request) => request,
        Err(e) => {
            log::error!(worker = target.name.as_str(), error:% = e; "can't encode an order");
            return OrderResponse::Lost;
        }
    };
    let began = clock::now();
    let sent = node
        .client
        .send(target.addr, request, began.after(limit))
        .await;
    match sent {
        Ok(response) => {
            node.metrics.record_order(order, clock::now().since(began));
            platform::worker::decode(order, &response)
        }
        Err(Failure::NotSent | Failure::Unknown) => OrderResponse::Lost,
    }
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
    then.extend(batch.deletes.iter().map(|id| Op::Delete(job_key(*id))));
    then.extend(batch.handled.iter().map(|key| Op::Delete(key.clone())));
    if let Some(workers) = &batch.workers {
        then.push(Op::Put(WORKERS_KEY.to_owned(), encode(workers), 0));
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
