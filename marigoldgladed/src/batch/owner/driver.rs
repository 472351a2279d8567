//! Driving the engine: events flow to it, its orders, commits and answers are carried out.

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
use marigoldglade::store::{self, Body, Compare, Done, Fault, Op, Pair, Txn};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::spawn_local;

use crate::batch::calls::job_key;
use crate::batch::client::Failure;
use crate::batch::live::{decode, encode};
use crate::batch::owner::{Input, SEQ_KEY, Seq, Tenure, WORKERS_KEY, first_pair};
use crate::batch::store::pause;
use crate::batch::{Node, clock, wall_ms};

/// The time that a worker has to answer a start or a stop, in milliseconds; source: many times its
/// usual answer; three of them are within the time that gangs wait for members.
const ORDER_MS: u64 = 500;
/// What a hold may take beyond its wait, in milliseconds.
const HOLD_MARGIN_MS: u64 = 600;
/// Orders under way to one worker, besides its hold; source: each takes a connection.
const ORDERS_AT_ONCE: usize = 2;

impl Node {
    /// Feeds the engine and carries out its actions until the tenure ends.
    pub(super) async fn drive(
        self: &Rc<Self>,
        mut engine: Engine,
        tenure: &Rc<Tenure>,
        inputs: mpsc::UnboundedSender<Input>,
        mut queue: mpsc::UnboundedReceiver<Input>,
    ) {
        let mut driver = Driver {
            node: Rc::clone(self),
            tenure: Rc::clone(tenure),
            inputs,
            waiting: HashMap::new(),
            last: 0,
            lanes: HashMap::new(),
        };
        let mut over = std::pin::pin!(self.ended(tenure));
        let mut handing_over = false;
        loop {
            let input = tokio::select! {
                input = queue.recv() => input,
                () = clock::sleep_until(engine.next_tick()) => Some(Input::Event(Event::Tick)),
                () = &mut over, if !handing_over => {
                    handing_over = true;
                    *self.engine.borrow_mut() = None;
                    // What waits for a commit is still answered at a planned stop.
                    if !self.stop.is_stopping() {
                        return;
                    }
                    continue;
                }
            };
            let mut out = Vec::new();
            let mut next = input;
            while let Some(input) = next {
                let event = driver.event(input);
                engine.step(clock::now(), wall_ms(), event, &mut out);
                next = queue.try_recv().ok();
            }
            if !driver.perform(out) {
                return;
            }
            self.metrics.engine(engine.counts(), engine.open_jobs());
            if handing_over && (engine.is_settled() || driver.waiting.is_empty()) {
                return;
            }
        }
    }
}

/// Carries out the engine's actions.
struct Driver {
    node: Rc<Node>,
    tenure: Rc<Tenure>,
    inputs: mpsc::UnboundedSender<Input>,
    waiting: HashMap<CallId, oneshot::Sender<Reply>>,
    last: CallId,
    lanes: HashMap<WorkerKey, Rc<Semaphore>>,
}

impl Driver {
    fn event(&mut self, input: Input) -> Event {
        match input {
            Input::Event(event) => event,
            Input::Call(call, answer) => {
                self.last += 1;
                self.waiting.insert(self.last, answer);
                Event::Call(self.last, call)
            }
        }
    }

    /// Returns false when the tenure is over.
    fn perform(&mut self, actions: Vec<Action>) -> bool {
        for action in actions {
            match action {
                Action::Order(worker, target, order) => self.order(worker, target, order),
                Action::Commit(batch) => self.commit(batch),
                Action::Reply(ticket, reply) => {
                    if let Some(answer) = self.waiting.remove(&ticket) {
                        let _ = answer.send(reply);
                    }
                }
                Action::Advise {
                    step,
                    workers,
                    deadline,
                } => self.advise(step, workers, deadline),
                Action::StepDown => return false,
            }
        }
        true
    }

    fn order(&mut self, worker: WorkerKey, target: Arc<Target>, order: Order) {
        let lane = self
            .lanes
            .entry(worker)
            .or_insert_with(|| Rc::new(Semaphore::new(ORDERS_AT_ONCE)));
        let lane = Rc::clone(lane);
        let (node, inputs) = (Rc::clone(&self.node), self.inputs.clone());
        spawn_local(async move {
            let _turn = match order {
                Order::Renew(_) => None,
                Order::Start(_) | Order::Stop(_) | Order::SetPace(_) => lane.acquire().await.ok(),
            };
            let answer = send_order(&node, &target, &order).await;
            let _ = inputs.send(Input::Event(Event::OrderResponse(worker, order, answer)));
        });
    }

    fn advise(&mut self, step: TaskId, workers: Vec<String>, end: UnixMs) {
        let (node, inputs) = (Rc::clone(&self.node), self.inputs.clone());
        spawn_local(async move {
            let answer = ask_adviser(&node, &step, &workers, end).await;
            let answer = answer.inspect_err(
                |e| log::warn!(job = step.job.as_str(), error:% = e; "no advice on a step's workers"),
            );
            let _ = inputs.send(Input::Event(Event::Advised(answer.ok())));
        });
    }

    fn commit(&mut self, batch: Batch) {
        let (node, tenure, inputs) = (
            Rc::clone(&self.node),
            Rc::clone(&self.tenure),
            self.inputs.clone(),
        );
        spawn_local(async move {
            let number = batch.number;
            let began = clock::now();
            let stored = write(&node, &tenure, batch).await;
            node.metrics.commit(clock::now().since(began));
            let _ = inputs.send(Input::Event(Event::CommitOutcome(number, stored)));
        });
    }
}

async fn send_order(node: &Node, target: &Target, order: &Order) -> OrderResponse {
    let limit = match order {
        Order::Renew(hold) => hold.wait_ms + HOLD_MARGIN_MS,
        Order::Start(_) | Order::Stop(_) | Order::SetPace(_) => ORDER_MS,
    };
    let request = match platform::worker::encode(order, &target.name, &target.addr.to_string()) {
        Ok(request) => request,
        Err(e) => {
            log::error!(worker = target.name.as_str(), error:% = e; "an order can't be encoded");
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
            node.metrics.order(order, clock::now().since(began));
            platform::worker::decode(order, &response)
        }
        Err(Failure::NotSent | Failure::Lost) => OrderResponse::Lost,
    }
}

async fn ask_adviser(
    node: &Node,
    step: &TaskId,
    workers: &[String],
    end: UnixMs,
) -> Result<AdviceResponse> {
    let adviser = node.platform.adviser;
    let addr =
        adviser.ok_or_else(|| Error::new(Kind::NoTarget, "there is no placement adviser"))?;
    let request = platform::advice::encode(step, workers, &addr.to_string())?;
    let sent = node.client.send(addr, request, end).await;
    let response = sent.map_err(|_| Error::new(Kind::NoTarget, "the adviser can't be reached"))?;
    platform::advice::decode(&response)
}

/// Writes one commit; returns only once its outcome is certain.
async fn write(node: &Node, tenure: &Tenure, batch: Batch) -> CommitOutcome {
    let seq = Seq {
        term: tenure.term,
        number: batch.number,
    };
    let mut then = vec![Op::Put(SEQ_KEY.to_owned(), encode(&seq), 0)];
    for record in &batch.puts {
        match record.encode() {
            Ok(value) => then.push(Op::Put(job_key(record.id), value, 0)),
            Err(e) => {
                log::error!(job = record.id.as_str(), error:% = e; "a record can't be encoded");
            }
        }
    }
    then.extend(batch.deletes.iter().map(|id| Op::Delete(job_key(*id))));
    then.extend(batch.handled.iter().map(|key| Op::Delete(key.clone())));
    if let Some(workers) = &batch.workers {
        then.push(Op::Put(WORKERS_KEY.to_owned(), encode(workers), 0));
    }
    let txn = Txn {
        when: vec![Compare::Changed(SEQ_KEY.to_owned(), tenure.seq.get())],
        then,
        other: Vec::new(),
    };
    let call = store::Call::Txn(txn);
    let mut unsure = false;
    loop {
        match node.store.call(&call).await {
            Ok(reply) => match reply.body {
                Body::Txn(Done { held: true, .. }) => {
                    tenure.seq.set(reply.revision);
                    return CommitOutcome::Committed;
                }
                Body::Txn(done) => return read_back(tenure, seq, first_pair(done)),
                _ => unsure = true,
            },
            // An earlier copy may still take effect as long as its condition holds.
            Err(Fault::Refused | Fault::NotSent) if !unsure => return CommitOutcome::NotCommitted,
            Err(Fault::Refused | Fault::NotSent) => {}
            Err(Fault::Unknown) => unsure = true,
        }
        pause().await;
    }
}

/// The condition of a commit doesn't hold: an earlier copy of it, or a newer owner, was first.
fn read_back(tenure: &Tenure, seq: Seq, pair: Option<Pair>) -> CommitOutcome {
    let Some(pair) = pair else {
        return CommitOutcome::Fenced;
    };
    if decode::<Seq>(&pair) == Some(seq) {
        tenure.seq.set(pair.changed);
        return CommitOutcome::Committed;
    }
    CommitOutcome::Fenced
}
