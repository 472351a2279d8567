//! Stand-in for a worker, which reserves accelerators, runs tasks under leases and executes orders
//! only from the newest owner that it has seen.
//!
//! `POST /v1/orders` takes [`Orders`] and answers with a list of [`TaskStatus`].
//! `GET /v1/tasks?epoch=N` answers with a [`Report`] and fences owners older than `N`. In the body
//! of a task, `run_ms=N` sets its run time and `fail` makes it fail.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use hyper::Method;
use marigoldglade::time::UnixMs;
use marigoldglade::wire::{Order, Orders, Report, TaskId, TaskState, TaskStatus};

use crate::http::{Request, Server, answer, answer_json, now, serve};

/// A task that was prepared and not yet dropped.
struct Task {
    accels: u8,
    body: String,
    state: TaskState,
    /// When the preparation expires.
    prepare_expiry: UnixMs,
    /// When the preparation, the commit or the lease expires, depending on the state.
    expires_at: UnixMs,
    /// When the task's run time is over.
    ends_at: UnixMs,
    /// When an ordered stop takes effect.
    stops_at: UnixMs,
}

impl Task {
    /// Ends the task if its run time, its stop or its lease is over; the first of them decides the
    /// state, and on a tie in this order.
    fn update(&mut self, now: UnixMs) {
        if !matches!(self.state, TaskState::Running | TaskState::Stopping) {
            return;
        }
        let (expires_at, stops_at) = (self.expires_at, self.stops_at);
        if self.ends_at.passed(now) && self.ends_at <= expires_at.min(stops_at) {
            let failed = self.body.split_whitespace().any(|w| w == "fail");
            self.state = if failed {
                TaskState::Failed
            } else {
                TaskState::Done
            };
        } else if stops_at.passed(now) && stops_at <= expires_at {
            self.state = TaskState::Stopped;
        } else if expires_at.passed(now) {
            self.state = TaskState::Lapsed;
        }
    }
}

/// The state of a worker, without its server.
pub struct Worker {
    name: String,
    accels: u8,
    epoch: u64,
    leaving: bool,
    refusing: bool,
    tasks: BTreeMap<TaskId, Task>,
    /// Dropped tasks with the expiry of their preparation. Until then they are refused, so that a
    /// delayed copy of the order doesn't prepare them again.
    dropped: BTreeMap<TaskId, UnixMs>,
    /// The starts of tasks, in order.
    starts: Vec<TaskId>,
}

impl Worker {
    /// Creates an idle worker.
    #[must_use]
    pub fn new(name: &str, accels: u8) -> Self {
        Self {
            name: name.to_owned(),
            accels,
            epoch: 0,
            leaving: false,
            refusing: false,
            tasks: BTreeMap::new(),
            dropped: BTreeMap::new(),
            starts: Vec::new(),
        }
    }

    /// Executes orders and returns the state of each task; `None` if the owner is fenced.
    pub fn execute(&mut self, now: UnixMs, orders: &Orders) -> Option<Vec<TaskStatus>> {
        if orders.epoch < self.epoch {
            return None;
        }
        self.epoch = orders.epoch;
        self.update(now);
        Some(
            orders
                .orders
                .iter()
                .map(|o| self.execute_order(now, o))
                .collect(),
        )
    }

    /// Returns the state of all tasks, and fences owners older than `epoch`.
    pub fn report(&mut self, now: UnixMs, epoch: u64) -> Report {
        self.epoch = self.epoch.max(epoch);
        self.update(now);
        Report {
            name: self.name.clone(),
            epoch: self.epoch,
            leaving: self.leaving,
            tasks: self.tasks.keys().map(|id| self.status(id)).collect(),
        }
    }

    /// Returns the starts since the last [`Worker::take_starts`], in order.
    #[must_use]
    pub fn starts(&self) -> &[TaskId] {
        &self.starts
    }

    /// Returns the starts since the last call and clears them.
    pub fn take_starts(&mut self) -> Vec<TaskId> {
        std::mem::take(&mut self.starts)
    }

    /// Returns the tasks that are running or stopping.
    pub fn running(&mut self, now: UnixMs) -> Vec<TaskId> {
        self.update(now);
        let runs = |t: &&Task| matches!(t.state, TaskState::Running | TaskState::Stopping);
        let tasks = self.tasks.iter().filter(|(_, t)| runs(t));
        tasks.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the number of free accelerators.
    pub fn free_accels(&mut self, now: UnixMs) -> u8 {
        self.update(now);
        self.free()
    }

    /// Sets whether the worker refuses every preparation.
    pub fn set_refusing(&mut self, refusing: bool) {
        self.refusing = refusing;
    }

    /// Applies the passage of time: preparations, commits and leases expire, and tasks end.
    fn update(&mut self, now: UnixMs) {
        self.dropped.retain(|_, expires_at| !expires_at.passed(now));
        let reserved = |t: &Task| matches!(t.state, TaskState::Prepared | TaskState::Committed);
        self.tasks
            .retain(|_, t| !reserved(t) || !t.expires_at.passed(now));
        for task in self.tasks.values_mut() {
            task.update(now);
        }
    }

    fn free(&self) -> u8 {
        let held = self.tasks.values().filter(|t| holds_accels(t.state));
        let held: u8 = held.map(|t| t.accels).sum();
        self.accels.saturating_sub(held)
    }

    fn status(&self, id: &TaskId) -> TaskStatus {
        let task = self.tasks.get(id);
        let current = task.map_or(TaskState::Absent, |t| t.state);
        let done = current == TaskState::Done;
        TaskStatus {
            task: id.clone(),
            state: current,
            result: if done {
                format!("done by {}", self.name)
            } else {
                String::new()
            },
        }
    }

    fn execute_order(&mut self, now: UnixMs, order: &Order) -> TaskStatus {
        let id = order.task();
        if let Order::Prepare {
            accels,
            body,
            expires_at: end,
            ..
        } = order
        {
            return self.prepare(now, id, *accels, body, *end);
        }
        let Some(task) = self.tasks.get_mut(id) else {
            return self.status(id);
        };
        match (order, task.state) {
            (
                Order::Commit {
                    expires_at: end, ..
                },
                TaskState::Prepared,
            ) if !end.passed(now) => {
                task.state = TaskState::Committed;
                task.expires_at = *end;
            }
            (
                Order::Run {
                    expires_at: end, ..
                },
                TaskState::Committed,
            ) if !end.passed(now) => {
                task.state = TaskState::Running;
                task.expires_at = *end;
                task.ends_at = now.after(run_ms(&task.body));
                self.starts.push(id.clone());
            }
            (
                Order::Renew {
                    expires_at: end, ..
                },
                TaskState::Running | TaskState::Stopping,
            ) => task.expires_at = *end,
            (Order::Stop { deadline: end, .. }, TaskState::Running | TaskState::Stopping) => {
                task.state = TaskState::Stopping;
                task.stops_at = task.stops_at.min(*end);
            }
            (
                Order::Abort { .. } | Order::Stop { .. },
                TaskState::Prepared | TaskState::Committed,
            ) => {
                self.drop_task(id);
            }
            (Order::Forget { .. }, state) if !holds_accels(state) => self.drop_task(id),
            _ => {}
        }
        self.update(now);
        self.status(id)
    }

    fn drop_task(&mut self, id: &TaskId) {
        if let Some(task) = self.tasks.remove(id) {
            self.dropped.insert(id.clone(), task.prepare_expiry);
        }
    }

    fn prepare(
        &mut self,
        now: UnixMs,
        id: &TaskId,
        accels: u8,
        body: &str,
        expires_at: UnixMs,
    ) -> TaskStatus {
        if self.tasks.contains_key(id) {
            return self.status(id);
        }
        let unable = self.leaving || self.refusing || accels > self.free();
        if unable || expires_at.passed(now) || self.dropped.contains_key(id) {
            return TaskStatus {
                task: id.clone(),
                state: TaskState::Refused,
                result: String::new(),
            };
        }
        let task = Task {
            accels,
            body: body.to_owned(),
            state: TaskState::Prepared,
            prepare_expiry: expires_at,
            expires_at,
            ends_at: UnixMs::MAX,
            stops_at: UnixMs::MAX,
        };
        self.tasks.insert(id.clone(), task);
        self.status(id)
    }
}

/// Returns whether a task in this state holds accelerators.
const fn holds_accels(state: TaskState) -> bool {
    matches!(
        state,
        TaskState::Prepared | TaskState::Committed | TaskState::Running | TaskState::Stopping
    )
}

/// Returns the run time of a task with this body, in milliseconds.
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
        let statuses = lock().execute(now(), &orders);
        return match statuses {
            Some(statuses) => answer_json(request, 200, &statuses),
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
