//! The task that runs the owner and the planner of one data centre's jobs.
//!
//! [`Centre::start`] spawns the task and returns the sender of its [`Input`]s: calls, and events
//! such as the store's replies and the workers' answers. The task carries out the owner's
//! [`Action`]s, which call the store, send orders to workers and answer callers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use marigoldglade::events;
use marigoldglade::job_call::{Call, Reply};
use marigoldglade::jobs::{Action, Event, Owner, Ticket};
use marigoldglade::plan;
use marigoldglade::planner::Planner;
use marigoldglade::prelude::*;
use marigoldglade::store::{self, Revision};
use marigoldglade::time::SECOND_MS;
use marigoldglade::wire::{Orders, Report, Role, TaskStatus, Vm};
use marigoldglade::writer;
use tokio::sync::{mpsc, oneshot};

use crate::app::App;
use crate::store_client::Rank;
use crate::{clock, send};

/// The time between steps, in milliseconds.
const TICK_MS: u64 = 25;
/// The time after which a call to the store fails, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 2 * SECOND_MS;
/// The time after which an exchange with a worker fails, in milliseconds.
const WORKER_TIMEOUT_MS: u64 = SECOND_MS;

/// The outcome of a call.
pub(crate) enum CallOutcome {
    /// The owner answered the call.
    Reply(Result<Reply>),
    /// The job with this id belongs to the owner of another data centre, which must answer.
    Redirect(String),
}

/// An input of a data centre's task.
pub(crate) enum Input {
    /// An event for the owner.
    Event(Box<Event>),
    /// A call and where its outcome goes.
    Call(Call, oneshot::Sender<CallOutcome>),
}

/// A data centre that this daemon owns.
pub(crate) struct Centre {
    app: Arc<App>,
    dc: String,
    owner: Owner,
    /// When the ownership expires.
    expires_at: UnixMs,
    planner: Planner,
    inputs: mpsc::UnboundedSender<Input>,
    tickets: BTreeMap<Ticket, oneshot::Sender<CallOutcome>>,
    last_ticket: u64,
    /// The version of the configuration that was passed to the owner last.
    version: Revision,
    vms: Arc<Vec<Vm>>,
    /// Whether the owner was deposed, which ends the task.
    deposed: bool,
}

impl Centre {
    /// Starts the task of a data centre that this daemon owns in this epoch; returns the sender of
    /// its inputs.
    pub(crate) fn start(
        app: &Arc<App>,
        dc: &str,
        epoch: Revision,
        expires_at: UnixMs,
    ) -> mpsc::UnboundedSender<Input> {
        let (inputs, queue) = mpsc::unbounded_channel();
        let centre = Self {
            app: Arc::clone(app),
            dc: dc.to_owned(),
            owner: Owner::new(dc, epoch, expires_at, rand::random()),
            expires_at,
            planner: Planner::new(dc, rand::random()),
            inputs: inputs.clone(),
            tickets: BTreeMap::new(),
            last_ticket: 0,
            version: 0,
            vms: Arc::default(),
            deposed: false,
        };
        tokio::spawn(centre.run(queue));
        inputs
    }

    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Input>) {
        let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.deposed {
            tokio::select! {
                Some(input) = queue.recv() => self.handle_input(input),
                _ = ticks.tick() => self.tick(),
            }
        }
        self.app.jobs.remove_centre(&self.dc, self.owner.epoch());
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.step(*event),
            Input::Call(call, answer) => self.handle_call(call, answer),
        }
    }

    fn tick(&mut self) {
        self.follow_ownership();
        self.follow_config();
        self.follow_vms();
        self.step(Event::Tick);
        self.step_planner(plan::Event::Tick);
    }

    /// Passes renewals of the ownership to the owner. If the ownership expired because the store is
    /// down, the owner goes on answering until a newer one is known. If it was released, the owner
    /// is deposed at once.
    fn follow_ownership(&mut self) {
        let epoch = self.owner.epoch();
        let newer = self.app.roles.holder(&self.dc);
        if newer.is_some_and(|h| h.epoch > epoch) {
            return self.step(Event::Deposed);
        }
        match self.app.roles.held(&self.dc) {
            Some((held, expires_at)) if held == epoch && expires_at > self.expires_at => {
                self.expires_at = expires_at;
                self.step(Event::Renewed(expires_at));
            }
            Some((held, _)) if held == epoch => {}
            Some(_) => self.step(Event::Deposed),
            None if !self.expires_at.passed(clock::now()) => self.step(Event::Deposed),
            None => {}
        }
    }

    fn follow_config(&mut self) {
        let current = self.app.configs.current();
        if let Some(current) = current.filter(|c| c.number > self.version) {
            self.version = current.number;
            self.step(Event::Config(current.config, current.number));
        }
    }

    fn follow_vms(&mut self) {
        let list = self.app.targets.list();
        if Arc::ptr_eq(&list, &self.vms) {
            return;
        }
        let old = std::mem::replace(&mut self.vms, Arc::clone(&list));
        let names: BTreeSet<&str> = list.iter().map(|v| v.name.as_str()).collect();
        let gone = old.iter().filter(|v| !names.contains(v.name.as_str()));
        for vm in gone {
            self.step(Event::WorkerRemoved(vm.name.clone()));
        }
        for vm in list.iter().filter(|v| v.role == Role::Worker) {
            self.step(Event::WorkerListed(vm.clone()));
        }
    }

    fn handle_call(&mut self, call: Call, answer: oneshot::Sender<CallOutcome>) {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        if let Call::Submit(caller, spec) = &call
            && let Some(request) = self.owner.candidate(clock::now(), caller, spec)
            && !self.planner.could_ever_hold(&request)
        {
            let e = Error::new(
                Kind::Impossible,
                "no set of workers in the data centre could hold the gang",
            );
            let _ = answer.send(CallOutcome::Reply(Err(e)));
            return;
        }
        if call == Call::Fleet {
            let _ = answer.send(CallOutcome::Reply(Ok(Reply::Fleet(self.planner.view()))));
            return;
        }
        self.tickets.insert(ticket, answer);
        self.step(match call {
            Call::Submit(caller, spec) => Event::Submit(ticket, caller, spec),
            Call::Cancel(id) => Event::Cancel(ticket, id),
            Call::Query(id) => Event::Query(ticket, id),
            Call::Wait(id, deadline) => Event::Wait(ticket, id, deadline),
            Call::Explain(id) => Event::Explain(ticket, id),
            Call::List | Call::Fleet => Event::List(ticket),
        });
    }

    fn step_planner(&mut self, event: plan::Event) {
        let mut actions = Vec::new();
        self.planner.step(clock::now(), event, &mut actions);
        for action in actions {
            log::debug!("{}: planner: {action:?}", self.dc);
            self.note_decision(&action);
            self.step(Event::Plan(action));
        }
    }

    fn note_decision(&self, action: &plan::Action) {
        if let Some(event) = events::Event::from_plan(action) {
            self.app.record_event(event);
        }
    }

    /// Passes an event to the owner, and events between owner and planner, until none is left.
    fn step(&mut self, event: Event) {
        let mut inputs = VecDeque::from([event]);
        while let Some(event) = inputs.pop_front() {
            let mut actions = Vec::new();
            self.owner.step(clock::now(), event, &mut actions);
            for action in actions {
                if let Action::Plan(event) = action {
                    let mut decided = Vec::new();
                    self.planner.step(clock::now(), event, &mut decided);
                    decided.iter().for_each(|action| self.note_decision(action));
                    inputs.extend(decided.into_iter().map(Event::Plan));
                } else {
                    self.act(action);
                }
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Store(number, kind, call) => self.call_store(number, kind, call),
            Action::Orders(vm, orders, until) => self.send_orders(vm, orders, until),
            Action::RequestReport(vm, epoch) => self.request_report(vm, epoch),
            Action::Accepted(ticket, view) => self.answer(ticket, Ok(Reply::Accepted(view))),
            Action::Answer(ticket, result) => self.answer(ticket, result.map(Reply::View)),
            Action::Explained(ticket, result) => {
                self.answer(ticket, result.map(Reply::Explained));
            }
            Action::Listed(ticket, views) => self.answer(ticket, Ok(Reply::Views(views))),
            Action::Redirect(ticket, id) => {
                if let Some(answer) = self.tickets.remove(&ticket) {
                    let _ = answer.send(CallOutcome::Redirect(id));
                }
            }
            Action::JobEnded(state) => {
                let label = vec![("state", state.to_string())];
                self.app.admin.jobs.get_or_create(&label).inc();
            }
            Action::Deposed => self.deposed = true,
            // `step` passes these to the planner.
            Action::Plan(_) => {}
        }
    }

    /// Answers a call. An error of the send is ignored, since the caller may be gone.
    fn answer(&mut self, ticket: Ticket, result: Result<Reply>) {
        if let Some(answer) = self.tickets.remove(&ticket) {
            let _ = answer.send(CallOutcome::Reply(result));
        }
    }

    fn call_store(&self, number: u64, kind: writer::WriteKind, call: store::Call) {
        let (app, inputs) = (Arc::clone(&self.app), self.inputs.clone());
        let rank = match kind {
            writer::WriteKind::End => Rank::Terminal,
            writer::WriteKind::Change | writer::WriteKind::Accept => Rank::Accept,
        };
        tokio::spawn(async move {
            let deadline = clock::now().after(STORE_TIMEOUT_MS);
            let reply = app.store.call(rank, call, deadline).await;
            let _ = inputs.send(Input::Event(Box::new(Event::Store(number, reply))));
        });
    }

    fn addr(&self, vm: &str) -> String {
        let found = self.vms.iter().find(|v| v.name == vm);
        found.map_or_else(String::new, |v| v.addr.clone())
    }

    fn send_orders(&self, vm: String, orders: Orders, until: UnixMs) {
        let (addr, inputs) = (self.addr(&vm), self.inputs.clone());
        tokio::spawn(async move {
            let now = clock::now();
            let answer: Result<Vec<TaskStatus>> = if until.passed(now) {
                Err(Error::new(Kind::Expired, "the ownership may have expired"))
            } else {
                let deadline = now.after(WORKER_TIMEOUT_MS);
                send::exchange_json(&addr, "POST", "/v1/orders", &orders, deadline).await
            };
            let event = match answer {
                Ok(answer) => Event::OrdersAnswered(vm, answer),
                Err(e) => no_answer(vm, &e),
            };
            let _ = inputs.send(Input::Event(Box::new(event)));
        });
    }

    fn request_report(&self, vm: String, epoch: Revision) {
        let (addr, inputs) = (self.addr(&vm), self.inputs.clone());
        tokio::spawn(async move {
            let deadline = clock::now().after(WORKER_TIMEOUT_MS);
            let path = format!("/v1/tasks?epoch={epoch}");
            let report: Result<Report> =
                send::exchange_json(&addr, "GET", &path, &(), deadline).await;
            let event = match report {
                Ok(report) if report.name == vm => Event::Report(report),
                Ok(report) => {
                    let detail = format!("expected worker {vm}, found worker {}", report.name);
                    no_answer(vm, &Error::new(Kind::BadAnswer, detail))
                }
                Err(e) => no_answer(vm, &e),
            };
            let _ = inputs.send(Input::Event(Box::new(event)));
        });
    }
}

fn no_answer(vm: String, e: &Error) -> Event {
    log::debug!("no answer from worker {vm}: {e}");
    Event::NoAnswer(vm)
}
