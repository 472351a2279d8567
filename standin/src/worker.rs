//! Stand-in for a worker: sets accelerators aside, runs tasks under leases, and obeys only the
//! newest owner it has seen.
//!
//! `POST /v1/orders` takes [`Orders`] and answers with a list of [`Told`]; `GET /v1/tasks?epoch=N`
//! answers with a [`Report`] and fences owners older than `N`. A task's body may say
//! `run_ms=N`, how long it runs, and `fail`, that it ends badly.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use marigoldglade::time::UnixMs;
use marigoldglade::wire::{Order, Orders, Report, Stand, TaskId, Told};
use tiny_http::{Method, Request};

use crate::http::{Served, answer, answer_json, now, read_body, serve};

struct Task {
    accels: u8,
    body: String,
    stand: Stand,
    /// When the preparation or the lease lapses.
    end: UnixMs,
    /// When the task is done, or is cut if it is stopping.
    finish: UnixMs,
}

/// A worker's whole state, without its socket.
pub struct Worker {
    name: String,
    accels: u8,
    epoch: u64,
    leaving: bool,
    tasks: BTreeMap<TaskId, Task>,
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
            tasks: BTreeMap::new(),
            starts: Vec::new(),
        }
    }

    /// Obeys orders, or returns `None` when they come from a fenced owner.
    pub fn obey(&mut self, now: UnixMs, orders: &Orders) -> Option<Vec<Told>> {
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

    /// Lets time act: preparations and leases lapse, tasks end.
    fn settle(&mut self, now: UnixMs) {
        self.tasks
            .retain(|_, t| t.stand != Stand::Prepared || !t.end.passed(now));
        for task in self.tasks.values_mut() {
            match task.stand {
                Stand::Running if task.finish.passed(now) && task.finish <= task.end => {
                    let failed = task.body.split_whitespace().any(|w| w == "fail");
                    task.stand = if failed { Stand::Failed } else { Stand::Done };
                }
                Stand::Running | Stand::Stopping if task.end.passed(now) => {
                    task.stand = Stand::Lapsed;
                }
                Stand::Stopping if task.finish.passed(now) => task.stand = Stand::Stopped,
                _ => {}
            }
        }
    }

    fn free(&self) -> u8 {
        let holds =
            |t: &&Task| matches!(t.stand, Stand::Prepared | Stand::Running | Stand::Stopping);
        let held: u8 = self.tasks.values().filter(holds).map(|t| t.accels).sum();
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
        let id = match order {
            Order::Prepare { task, .. }
            | Order::Commit { task, .. }
            | Order::Abort { task }
            | Order::Renew { task, .. }
            | Order::Throttle { task, .. }
            | Order::Stop { task, .. }
            | Order::Forget { task } => task,
        };
        if let Order::Prepare {
            accels, body, end, ..
        } = order
        {
            return self.prepare(now, id, *accels, body, *end);
        }
        if let Some(task) = self.tasks.get_mut(id) {
            match (order, task.stand) {
                (Order::Commit { end, .. }, Stand::Prepared) => {
                    task.stand = Stand::Running;
                    task.end = *end;
                    task.finish = now.after(run_ms(&task.body));
                    self.starts.push(id.clone());
                }
                (Order::Renew { end, .. }, Stand::Running | Stand::Stopping) => task.end = *end,
                (Order::Stop { end, .. }, Stand::Running) => {
                    task.stand = Stand::Stopping;
                    task.finish = *end;
                }
                (Order::Abort { .. }, Stand::Prepared) => {
                    self.tasks.remove(id);
                }
                (Order::Forget { .. }, stand)
                    if !matches!(stand, Stand::Prepared | Stand::Running | Stand::Stopping) =>
                {
                    self.tasks.remove(id);
                }
                _ => {}
            }
        }
        self.told(id)
    }

    fn prepare(&mut self, now: UnixMs, id: &TaskId, accels: u8, body: &str, end: UnixMs) -> Told {
        if self.tasks.contains_key(id) {
            return self.told(id);
        }
        if self.leaving || accels > self.free() || end.passed(now) {
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
            end,
            finish: UnixMs::MAX,
        };
        self.tasks.insert(id.clone(), task);
        self.told(id)
    }
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
pub fn start(addr: SocketAddr, worker: Worker) -> std::io::Result<Served> {
    let worker = Arc::new(Mutex::new(worker));
    serve(addr, move |request| handle(&worker, request))
}

fn handle(worker: &Mutex<Worker>, mut request: Request) {
    let lock = || worker.lock().unwrap_or_else(PoisonError::into_inner);
    let url = request.url().to_owned();
    if *request.method() == Method::Post && url == "/v1/orders" {
        let orders = read_body(&mut request).and_then(|b| serde_json::from_slice(&b).ok());
        let Some(orders) = orders else {
            return answer(request, 400, &[], Vec::new());
        };
        let told = lock().obey(now(), &orders);
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
