//! Stand-in for a worker: sets accelerators aside, runs tasks under leases, and obeys only the
//! newest owner it has seen.
//!
//! `POST /v1/orders` takes [`Orders`] and answers with a list of [`Told`]; `GET /v1/tasks?epoch=N`
//! answers with a [`Report`] and fences owners older than `N`. A task's body may say
//! `run_ms=N`, how long it runs, and `fail`, that it ends badly.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use hyper::Method;
use marigoldglade::time::UnixMs;
use marigoldglade::wire::{Order, Orders, Report, Stand, TaskId, Told};

use crate::http::{Request, Server, answer, answer_json, now, serve};

struct Task {
    accels: u8,
    body: String,
    stand: Stand,
    /// When the preparation lapses.
    prepared: UnixMs,
    /// When the preparation, the commit or the lease lapses.
    end: UnixMs,
    /// When the task is done by itself.
    finish: UnixMs,
    /// When a stop cuts it.
    cut: UnixMs,
}

impl Task {
    /// A task that is done before its lease lapses and before a stop cuts it ends by itself.
    fn settle(&mut self, now: UnixMs) {
        if !matches!(self.stand, Stand::Running | Stand::Stopping) {
            return;
        }
        let (lapse, cut) = (self.end, self.cut);
        if self.finish.passed(now) && self.finish <= lapse.min(cut) {
            let failed = self.body.split_whitespace().any(|w| w == "fail");
            self.stand = if failed { Stand::Failed } else { Stand::Done };
        } else if cut.passed(now) && cut <= lapse {
            self.stand = Stand::Stopped;
        } else if lapse.passed(now) {
            self.stand = Stand::Lapsed;
        }
    }
}

/// A worker's whole state, without its socket.
pub struct Worker {
    name: String,
    accels: u8,
    epoch: u64,
    leaving: bool,
    refuses: bool,
    tasks: BTreeMap<TaskId, Task>,
    /// Tasks given back, until their preparation would have lapsed: a delayed copy of it must
    /// not set them up again.
    past: BTreeMap<TaskId, UnixMs>,
    /// Every start of a task, in order.
    starts: Vec<TaskId>,
}

impl Worker {
    /// Makes an idle worker.
    #[must_use]
    pub fn new(name: &str, accels: u8) -> Self {
        Self {
            name: name.to_owned(),
            accels,
            epoch: 0,
            leaving: false,
            refuses: false,
            tasks: BTreeMap::new(),
            past: BTreeMap::new(),
            starts: Vec::new(),
        }
    }

    /// Obeys orders, or returns `None` when they come from a fenced owner.
    pub fn execute(&mut self, now: UnixMs, orders: &Orders) -> Option<Vec<Told>> {
        if orders.epoch < self.epoch {
            return None;
        }
        self.epoch = orders.epoch;
        self.settle(now);
        Some(orders.orders.iter().map(|o| self.order(now, o)).collect())
    }

    /// Returns all that it runs, and fences owners older than `epoch`.
    pub fn report(&mut self, now: UnixMs, epoch: u64) -> Report {
        self.epoch = self.epoch.max(epoch);
        self.settle(now);
        Report {
            name: self.name.clone(),
            epoch: self.epoch,
            leaving: self.leaving,
            tasks: self.tasks.keys().map(|id| self.told(id)).collect(),
        }
    }

    /// Returns every start of a task, in order.
    #[must_use]
    pub fn starts(&self) -> &[TaskId] {
        &self.starts
    }

    /// Returns the starts since the last call.
    pub fn take_starts(&mut self) -> Vec<TaskId> {
        std::mem::take(&mut self.starts)
    }

    /// Returns the tasks that run now.
    pub fn running(&mut self, now: UnixMs) -> Vec<TaskId> {
        self.settle(now);
        let runs = |t: &&Task| matches!(t.stand, Stand::Running | Stand::Stopping);
        let tasks = self.tasks.iter().filter(|(_, t)| runs(t));
        tasks.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the accelerators that are free now.
    pub fn free_accels(&mut self, now: UnixMs) -> u8 {
        self.settle(now);
        self.free()
    }

    /// Makes the worker refuse every preparation, or take them again.
    pub fn set_refusing(&mut self, refuses: bool) {
        self.refuses = refuses;
    }

    /// Lets time act: preparations, commits and leases lapse, tasks end.
    fn settle(&mut self, now: UnixMs) {
        self.past.retain(|_, end| !end.passed(now));
        let idle = |t: &Task| matches!(t.stand, Stand::Prepared | Stand::Committed);
        self.tasks.retain(|_, t| !idle(t) || !t.end.passed(now));
        for task in self.tasks.values_mut() {
            task.settle(now);
        }
    }

    fn free(&self) -> u8 {
        let held = self.tasks.values().filter(|t| holds(t.stand));
        let held: u8 = held.map(|t| t.accels).sum();
        self.accels.saturating_sub(held)
    }

    fn told(&self, id: &TaskId) -> Told {
        let task = self.tasks.get(id);
        let stand = task.map_or(Stand::Absent, |t| t.stand);
        let done = stand == Stand::Done;
        Told {
            task: id.clone(),
            stand,
            result: if done {
                format!("done by {}", self.name)
            } else {
                String::new()
            },
        }
    }

    fn order(&mut self, now: UnixMs, order: &Order) -> Told {
        let id = order.task();
        if let Order::Prepare {
            accels, body, end, ..
        } = order
        {
            return self.prepare(now, id, *accels, body, *end);
        }
        let Some(task) = self.tasks.get_mut(id) else {
            return self.told(id);
        };
        match (order, task.stand) {
            (Order::Commit { end, .. }, Stand::Prepared) if !end.passed(now) => {
                task.stand = Stand::Committed;
                task.end = *end;
            }
            (Order::Run { end, .. }, Stand::Committed) if !end.passed(now) => {
                task.stand = Stand::Running;
                task.end = *end;
                task.finish = now.after(run_ms(&task.body));
                self.starts.push(id.clone());
            }
            (Order::Renew { end, .. }, Stand::Running | Stand::Stopping) => task.end = *end,
            (Order::Stop { end, .. }, Stand::Running | Stand::Stopping) => {
                task.stand = Stand::Stopping;
                task.cut = task.cut.min(*end);
            }
            (Order::Abort { .. } | Order::Stop { .. }, Stand::Prepared | Stand::Committed) => {
                self.drop_task(id);
            }
            (Order::Forget { .. }, stand) if !holds(stand) => self.drop_task(id),
            _ => {}
        }
        self.settle(now);
        self.told(id)
    }

    fn drop_task(&mut self, id: &TaskId) {
        if let Some(task) = self.tasks.remove(id) {
            self.past.insert(id.clone(), task.prepared);
        }
    }

    fn prepare(&mut self, now: UnixMs, id: &TaskId, accels: u8, body: &str, end: UnixMs) -> Told {
        if self.tasks.contains_key(id) {
            return self.told(id);
        }
        let unfit = self.leaving || self.refuses || accels > self.free();
        if unfit || end.passed(now) || self.past.contains_key(id) {
            return Told {
                task: id.clone(),
                stand: Stand::Refused,
                result: String::new(),
            };
        }
        let task = Task {
            accels,
            body: body.to_owned(),
            stand: Stand::Prepared,
            prepared: end,
            end,
            finish: UnixMs::MAX,
            cut: UnixMs::MAX,
        };
        self.tasks.insert(id.clone(), task);
        self.told(id)
    }
}

/// Returns whether a task that stands so holds accelerators.
const fn holds(stand: Stand) -> bool {
    matches!(
        stand,
        Stand::Prepared | Stand::Committed | Stand::Running | Stand::Stopping
    )
}

/// Returns how long a task with this body runs, in milliseconds.
fn run_ms(body: &str) -> u64 {
    body.split_whitespace()
        .find_map(|w| w.strip_prefix("run_ms="))
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// Starts a worker on `addr`.
///
/// # Errors
///
/// When the address can't be bound.
pub fn start(addr: SocketAddr, worker: Worker) -> std::io::Result<Server> {
    let worker = Arc::new(Mutex::new(worker));
    serve(addr, move |request| handle(&worker, request))
}

fn handle(worker: &Mutex<Worker>, request: Request) {
    let lock = || worker.lock().unwrap_or_else(PoisonError::into_inner);
    let url = request.url().to_owned();
    if *request.method() == Method::POST && url == "/v1/orders" {
        let orders = serde_json::from_slice(request.body()).ok();
        let Some(orders) = orders else {
            return answer(request, 400, &[], Vec::new());
        };
        let told = lock().execute(now(), &orders);
        return match told {
            Some(told) => answer_json(request, 200, &told),
            None => answer(request, 409, &[], Vec::new()),
        };
    }
    if let Some(query) = url.strip_prefix("/v1/tasks") {
        let epoch = query
            .strip_prefix("?epoch=")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let report = lock().report(now(), epoch);
        return answer_json(request, 200, &report);
    }
    if url == "/starts" {
        let starts = lock().starts().to_vec();
        return answer_json(request, 200, &starts);
    }
    answer(request, 404, &[], Vec::new());
}
