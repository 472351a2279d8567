//! Ownership of the jobs: claiming it, and driving the engine while it lasts.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use marigoldglade::batch::engine::{
    Action, Batch, Bounds, Engine, Estate, Event, InboxBody, InboxItem, Stored, Ticket, WorkerKey,
};
use marigoldglade::batch::id::JobId;
use marigoldglade::batch::record::Record;
use marigoldglade::batch::talk::{Call, Owner, Reply};
use marigoldglade::batch::worker::{Answer, Order, Target};
use marigoldglade::store::{
    self, Body, Change, Compare, Done, Fault, Op, Outcome, Pair, Revision, Txn,
};
use marigoldglade::time::SECOND_MS;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::{JoinHandle, spawn_local};

use crate::batch::calls::{CANCEL_PREFIX, INBOX_PREFIX, JOB_PREFIX, SUBMIT_PREFIX, job_key};
use crate::batch::client::Failure;
use crate::batch::live::{OWNER_KEY, decode, decode_or_default, encode};
use crate::batch::store::pause;
use crate::batch::{Node, boot_ms, clock, wall_ms};

/// The lease of the owner's key, in seconds; source: bounds the time without an owner after a crash,
/// and outlasts the store's slowest answers several times.
const OWNER_LEASE_S: u32 = 2;
/// The time between its renewals, in milliseconds.
const OWNER_RENEW_MS: u64 = 600;
/// How long an owner goes on without its ownership confirmed, in milliseconds; source: what new
/// owners reckon with, less the time of an order.
const BLIND_MS: u64 = 9_000;
/// The tenure after which no owner before it acts any more, in milliseconds; source: above the sum of
/// [`BLIND_MS`], the longest lease and a jump of the time of day.
const SETTLED_MS: u64 = 20_000;
/// The pause that each place among the daemons adds before a claim, in milliseconds.
const PLACE_MS: u64 = 40;
/// The time before a claim that failed is tried again, in milliseconds.
const AGAIN_MS: u64 = 250;
/// The time that a worker has to answer a start or a stop, in milliseconds; source: many times its
/// usual answer; three of them are within the time that gangs wait for members.
const ORDER_MS: u64 = 500;
/// What a hold may take beyond its wait, in milliseconds.
const HOLD_MARGIN_MS: u64 = 600;
/// Orders under way to one worker, besides its hold; source: each takes a connection.
const ORDERS_AT_ONCE: usize = 2;
/// The commit number and term, which each commit is conditioned on.
const SEQ_KEY: &str = "mg/seq";
/// The workers that may run something.
const WORKERS_KEY: &str = "mg/workers";

/// What flows to the engine's task.
pub(super) enum Input {
    Event(Event),
    Call(Call, oneshot::Sender<Reply>),
}

/// The term and number of the last commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct Seq {
    term: u64,
    number: u64,
}

/// Ownership of one term.
struct Tenure {
    term: u64,
    lease: i64,
    /// The last change of [`SEQ_KEY`] by this owner.
    seq: Cell<Revision>,
    /// The last change of the owner's key.
    key: Revision,
    /// When ownership was confirmed last, on the clock that counts suspends.
    confirmed: Cell<u64>,
    /// Whether all earlier owners have certainly ended.
    alone: bool,
}

fn compare(key: &str, pair: Option<&Pair>) -> Compare {
    match pair {
        Some(pair) => Compare::Changed(key.to_owned(), pair.changed),
        None => Compare::Absent(key.to_owned()),
    }
}

impl Node {
    /// Answers a call as the owner.
    pub(super) async fn owner_call(&self, call: Call) -> Reply {
        let engine = self.engine.borrow().clone();
        let Some(engine) = engine else {
            return Reply::NotOwner;
        };
        let (answer, answered) = oneshot::channel();
        if engine.send(Input::Call(call, answer)).is_err() {
            return Reply::NotOwner;
        }
        // The engine's task ended between a commit and its answer.
        answered.await.unwrap_or(Reply::Unsure)
    }

    /// Becomes the owner whenever there is none, until the daemon stops.
    pub(super) async fn seek_ownership(self: Rc<Self>) {
        let mut policy = self.policy.subscribe();
        let _ = policy.wait_for(Option::is_some).await;
        let mut view = self.view.subscribe();
        loop {
            let name = self.name.clone();
            let open = view.wait_for(|v| {
                let former_self = v
                    .owner
                    .as_ref()
                    .is_some_and(|k| k.owner.name == name && k.changed.is_some());
                v.vacant || former_self
            });
            if open.await.is_err() || self.stop.stopping() {
                return;
            }
            let wait = u64::try_from(self.place()).unwrap_or(0) * PLACE_MS;
            tokio::time::sleep(Duration::from_millis(wait)).await;
            match self.claim().await {
                Some(tenure) => self.own(tenure).await,
                None => tokio::time::sleep(Duration::from_millis(AGAIN_MS)).await,
            }
            if self.stop.stopping() {
                return;
            }
        }
    }

    /// Tries to become the owner.
    async fn claim(&self) -> Option<Tenure> {
        let former = self.store.get(OWNER_KEY).await.ok()?;
        let mut alone = false;
        if let Some(pair) = &former {
            let owner: Owner = decode(pair)?;
            // Only an earlier life of this daemon is certainly gone.
            if owner.name != self.name || owner.life == self.life {
                self.view.send_modify(|v| v.vacant = false);
                return None;
            }
            // Owners before it have given up by then.
            alone = wall_ms().saturating_sub(owner.since) > SETTLED_MS;
        }
        let confirmed = boot_ms();
        let lease = self.grant(OWNER_LEASE_S).await?;
        let seq = self.store.get(SEQ_KEY).await.ok()?;
        let last: Seq = decode_or_default(seq.as_ref())
            .inspect_err(|e| log::error!(error:% = e; "the last commit's number can't be read"))
            .ok()?;
        let term = last.term + 1;
        let owner = Owner {
            name: self.name.clone(),
            life: self.life,
            addr: self.settings.borrow().mesh,
            term,
            since: wall_ms(),
        };
        let txn = Txn {
            when: vec![
                compare(OWNER_KEY, former.as_ref()),
                compare(SEQ_KEY, seq.as_ref()),
            ],
            then: vec![
                Op::Put(OWNER_KEY.to_owned(), encode(&owner), lease),
                Op::Put(SEQ_KEY.to_owned(), encode(&Seq { term, number: 0 }), 0),
            ],
            other: Vec::new(),
        };
        let revision = match self.store.call(&store::Call::Txn(txn)).await {
            Ok(reply) => match reply.body {
                Body::Txn(Done { held: true, .. }) => reply.revision,
                _ => {
                    log::info!(term; "another daemon was first to become the owner");
                    return None;
                }
            },
            Err(Fault::Unknown) => self.read_claim(&owner).await?,
            Err(_) => return None,
        };
        log::info!(term, daemon = self.name.as_str(); "this daemon is the owner");
        Some(Tenure {
            term,
            lease,
            seq: Cell::new(revision),
            key: revision,
            confirmed: Cell::new(confirmed),
            alone,
        })
    }

    /// Looks whether a claim without an answer took effect.
    async fn read_claim(&self, owner: &Owner) -> Option<Revision> {
        let pair = self.store.get(OWNER_KEY).await.ok()??;
        (decode::<Owner>(&pair)? == *owner).then_some(pair.changed)
    }

    /// Owns the jobs until the tenure ends.
    async fn own(self: &Rc<Self>, tenure: Tenure) {
        let tenure = Rc::new(tenure);
        let began = clock::now();
        let renewal = spawn_local(Rc::clone(self).renew(Rc::clone(&tenure)));
        let renewal = Abort(renewal);
        let load = async {
            let (records, _) = self.store.list(JOB_PREFIX).await;
            let workers = self.store.insist(&get_call(WORKERS_KEY)).await;
            let (inbox, inbox_since) = self.store.list(INBOX_PREFIX).await;
            let (entries, entries_since) = self.store.list(platform::registry::PREFIX).await;
            (records, workers, inbox, inbox_since, entries, entries_since)
        };
        let loaded = tokio::select! {
            loaded = load => loaded,
            () = self.ended(&tenure) => return,
        };
        let (records, workers, inbox, inbox_since, entries, entries_since) = loaded;
        let workers = match workers.body {
            Body::Txn(done) => first_pair(done),
            _ => None,
        };
        let estate = Estate {
            term: tenure.term,
            records: records.iter().filter_map(read_record).collect(),
            workers: decode_or_default(workers.as_ref()).unwrap_or_else(|e| {
                log::error!(error:% = e; "the list of workers can't be read");
                Vec::new()
            }),
            inherited: tenure.term > 1,
            alone: tenure.alone,
        };
        let Some(policy) = self.policy() else {
            return;
        };
        log::info!(
            term = tenure.term, jobs = estate.records.len(), workers = estate.workers.len(),
            entries = entries.len(), took_ms = clock::now().since(began);
            "state loaded"
        );
        let engine = Engine::new(self.bounds(), policy, estate, clock::now(), wall_ms());
        let (inputs, queue) = mpsc::unbounded_channel();
        let watches = [
            spawn_local(Rc::clone(self).follow_registry(entries, entries_since, inputs.clone())),
            spawn_local(Rc::clone(self).follow_inbox(inbox, inbox_since, inputs.clone())),
            spawn_local(Rc::clone(self).pass_policies(inputs.clone())),
        ]
        .map(Abort);
        *self.engine.borrow_mut() = Some(inputs.clone());
        self.term.set(Some(tenure.term));
        self.metrics
            .term
            .set(i64::try_from(tenure.term).unwrap_or(i64::MAX));
        self.drive(engine, &tenure, inputs, queue).await;
        self.term.set(None);
        self.metrics.term.set(0);
        *self.engine.borrow_mut() = None;
        drop((watches, renewal));
        self.hand_over(&tenure).await;
    }

    fn bounds(&self) -> Bounds {
        let p = &self.platform;
        let ms = |s: f64| {
            Duration::try_from_secs_f64(s).map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0))
        };
        Bounds {
            lease_limit_ms: p.lease_limit_ms,
            status_ms: ms(p.status_s) + 30 * SECOND_MS,
        }
    }

    /// Waits until the tenure can't be counted on any more, or the daemon stops.
    async fn ended(&self, tenure: &Tenure) {
        loop {
            if self.stop.stopping() {
                return;
            }
            let blind = boot_ms().saturating_sub(tenure.confirmed.get());
            if blind > BLIND_MS {
                log::warn!(term = tenure.term, blind_ms = blind; "ownership couldn't be confirmed for too long");
                return;
            }
            let newer = self
                .view
                .borrow()
                .owner
                .as_ref()
                .is_some_and(|k| k.owner.term > tenure.term);
            if newer {
                log::warn!(term = tenure.term; "another daemon has become the owner");
                return;
            }
            tokio::select! {
                () = self.stop.begun() => {}
                () = tokio::time::sleep(Duration::from_millis(100)) => {}
            }
        }
    }

    /// Renews the owner's lease; the tenure is over when the store says that it is gone.
    async fn renew(self: Rc<Self>, tenure: Rc<Tenure>) {
        loop {
            tokio::time::sleep(Duration::from_millis(OWNER_RENEW_MS)).await;
            let sent = boot_ms();
            let call = store::Call::Renew {
                lease: tenure.lease,
            };
            match self.store.call(&call).await.map(|r| r.body) {
                Ok(Body::Lease { ttl_s: 0, .. }) => {
                    log::warn!(term = tenure.term; "the owner's lease is gone");
                    tenure.confirmed.set(0);
                    return;
                }
                Ok(_) => tenure.confirmed.set(sent),
                Err(fault) => log::debug!(fault:? = fault; "the owner's lease wasn't renewed"),
            }
        }
    }

    /// Gives the owner's key up, so that another daemon takes over at once.
    async fn hand_over(&self, tenure: &Tenure) {
        let txn = Txn {
            when: vec![Compare::Changed(OWNER_KEY.to_owned(), tenure.key)],
            then: vec![Op::Delete(OWNER_KEY.to_owned())],
            other: Vec::new(),
        };
        let outcome = self.store.call(&store::Call::Txn(txn)).await;
        let given = matches!(outcome.map(|r| r.body), Ok(Body::Txn(d)) if d.held);
        log::info!(term = tenure.term, given; "this daemon is no longer the owner");
    }

    async fn pass_policies(self: Rc<Self>, inputs: mpsc::UnboundedSender<Input>) {
        let mut policies = self.policy.subscribe();
        while policies.changed().await.is_ok() {
            let policy = policies.borrow_and_update().clone();
            if let Some(policy) = policy {
                let _ = inputs.send(Input::Event(Event::Policy(policy)));
            }
        }
    }

    async fn follow_registry(
        self: Rc<Self>,
        mut pairs: Vec<Pair>,
        mut since: Revision,
        inputs: mpsc::UnboundedSender<Input>,
    ) {
        let prefix = platform::registry::PREFIX;
        loop {
            let mut entries: BTreeMap<String, Target> = BTreeMap::new();
            for pair in &pairs {
                take_entry(&mut entries, pair);
            }
            let _ = inputs.send(Input::Event(Event::Registry(
                entries.values().cloned().collect(),
            )));
            while let Some(changes) = self.store.watch(prefix, &mut since).await {
                if changes.is_empty() {
                    continue;
                }
                for change in changes {
                    match change {
                        Change::Put(pair) => take_entry(&mut entries, &pair),
                        Change::Gone(key, _) => {
                            entries.remove(&key);
                        }
                    }
                }
                let _ = inputs.send(Input::Event(Event::Registry(
                    entries.values().cloned().collect(),
                )));
            }
            log::info!("history of the registry was dropped; reading it anew");
            (pairs, since) = self.store.list(prefix).await;
        }
    }

    async fn follow_inbox(
        self: Rc<Self>,
        mut pairs: Vec<Pair>,
        mut since: Revision,
        inputs: mpsc::UnboundedSender<Input>,
    ) {
        loop {
            let _ = inputs.send(Input::Event(Event::Inbox(
                pairs.iter().filter_map(inbox_item).collect(),
            )));
            while let Some(changes) = self.store.watch(INBOX_PREFIX, &mut since).await {
                let items = changes.into_iter().filter_map(|c| match c {
                    Change::Put(pair) => inbox_item(&pair),
                    Change::Gone(..) => None,
                });
                let items: Vec<InboxItem> = items.collect();
                if !items.is_empty() {
                    let _ = inputs.send(Input::Event(Event::Inbox(items)));
                }
            }
            log::info!("history of the inbox was dropped; reading it anew");
            (pairs, since) = self.store.list(INBOX_PREFIX).await;
        }
    }

    /// Feeds the engine and carries out its actions until the tenure ends.
    async fn drive(
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
                () = clock::sleep_until(engine.wake()) => Some(Input::Event(Event::Tick)),
                () = &mut over, if !handing_over => {
                    handing_over = true;
                    *self.engine.borrow_mut() = None;
                    // What waits for a commit is still answered at a planned stop.
                    if !self.stop.stopping() {
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
            if handing_over && (engine.settled() || driver.waiting.is_empty()) {
                return;
            }
        }
    }
}

/// Aborts a task when it is dropped.
struct Abort(JoinHandle<()>);

impl Drop for Abort {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn get_call(key: &str) -> store::Call {
    store::Call::Txn(Txn {
        then: vec![Op::Get(key.to_owned())],
        ..Txn::default()
    })
}

fn first_pair(done: Done) -> Option<Pair> {
    done.outcomes.into_iter().find_map(|o| match o {
        Outcome::Pairs(pairs) => pairs.into_iter().next(),
        Outcome::Done | Outcome::Txn(_) => None,
    })
}

fn read_record(pair: &Pair) -> Option<Record> {
    let record = Record::decode(&pair.value);
    record
        .inspect_err(
            |e| log::error!(key = pair.key.as_str(), error:% = e; "a record can't be read"),
        )
        .ok()
}

fn take_entry(entries: &mut BTreeMap<String, Target>, pair: &Pair) {
    match platform::registry::decode(pair) {
        Ok(target) => {
            entries.insert(pair.key.clone(), target);
        }
        Err(e) => {
            log::warn!(key = pair.key.as_str(), error:% = e; "a registry entry can't be read; its worker isn't used");
            entries.remove(&pair.key);
        }
    }
}

fn inbox_item(pair: &Pair) -> Option<InboxItem> {
    let body = if pair.key.starts_with(SUBMIT_PREFIX) {
        InboxBody::Submit(Box::new(read_record(pair)?))
    } else {
        InboxBody::Cancel(JobId::parse(pair.key.strip_prefix(CANCEL_PREFIX)?)?)
    };
    Some(InboxItem {
        key: pair.key.clone(),
        body,
    })
}

/// Carries out the engine's actions.
struct Driver {
    node: Rc<Node>,
    tenure: Rc<Tenure>,
    inputs: mpsc::UnboundedSender<Input>,
    waiting: HashMap<Ticket, oneshot::Sender<Reply>>,
    last: Ticket,
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
                Order::Hold(_) => None,
                Order::Start(_) | Order::Stop(_) => lane.acquire().await.ok(),
            };
            let answer = send_order(&node, &target, &order).await;
            let _ = inputs.send(Input::Event(Event::Answer(worker, order, answer)));
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
            let _ = inputs.send(Input::Event(Event::Stored(number, stored)));
        });
    }
}

async fn send_order(node: &Node, target: &Target, order: &Order) -> Answer {
    let limit = match order {
        Order::Hold(hold) => hold.wait_ms + HOLD_MARGIN_MS,
        Order::Start(_) | Order::Stop(_) => ORDER_MS,
    };
    let request = match platform::worker::encode(order, &target.name, &target.addr.to_string()) {
        Ok(request) => request,
        Err(e) => {
            log::error!(worker = target.name.as_str(), error:% = e; "an order can't be encoded");
            return Answer::Lost;
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
        Err(Failure::NotSent | Failure::Lost) => Answer::Lost,
    }
}

/// Writes one commit; returns only once its outcome is certain.
async fn write(node: &Node, tenure: &Tenure, batch: Batch) -> Stored {
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
    then.extend(batch.drops.iter().map(|id| Op::Delete(job_key(*id))));
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
                    return Stored::Done;
                }
                Body::Txn(done) => return read_back(tenure, seq, first_pair(done)),
                _ => unsure = true,
            },
            // An earlier copy may still take effect as long as its condition holds.
            Err(Fault::Refused | Fault::NotSent) if !unsure => return Stored::Nothing,
            Err(Fault::Refused | Fault::NotSent) => {}
            Err(Fault::Unknown) => unsure = true,
        }
        pause().await;
    }
}

/// The condition of a commit doesn't hold: an earlier copy of it, or a newer owner, was first.
fn read_back(tenure: &Tenure, seq: Seq, pair: Option<Pair>) -> Stored {
    let Some(pair) = pair else {
        return Stored::Fenced;
    };
    if decode::<Seq>(&pair) == Some(seq) {
        tenure.seq.set(pair.changed);
        return Stored::Done;
    }
    Stored::Fenced
}
