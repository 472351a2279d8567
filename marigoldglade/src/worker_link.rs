//! An owner's link to one worker: queued orders and the one exchange that may be under way.
//!
//! [`WorkerLink::push`] queues an order, and [`WorkerLink::next_message`] returns the [`Message`]
//! to send now, unless an exchange is under way. A worker that didn't answer must report before it
//! gets further orders.

use crate::time::UnixMs;
use crate::wire::{Order, Vm};

/// The most orders in one message.
pub const MAX_ORDERS: usize = 256;
/// The time after which an exchange without an answer is given up, in milliseconds.
pub const EXCHANGE_TIMEOUT_MS: u64 = 3_000;
/// The time to wait after an exchange that failed, in milliseconds.
pub const RETRY_DELAY_MS: u64 = 500;

/// A message to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Request a report of all the worker's tasks.
    RequestReport,
    /// Send these orders.
    Orders(Vec<Order>),
}

/// The link to one worker.
#[derive(Clone, Debug)]
pub struct WorkerLink {
    /// The worker as the VM list shows it.
    pub vm: Vm,
    /// Whether the worker has reported to this owner; from then on it refuses former owners.
    pub reported: bool,
    /// Whether the planner knows the worker.
    pub in_planner: bool,
    /// Whether the worker must report before it gets orders.
    needs_report: bool,
    orders: Vec<Order>,
    /// When the exchange under way is given up; `None` when there is none.
    exchange_deadline: Option<UnixMs>,
    /// The earliest start of the next exchange.
    next_exchange: UnixMs,
}

impl WorkerLink {
    /// Makes the link to a worker that hasn't reported yet.
    #[must_use]
    pub fn new(vm: Vm) -> Self {
        Self {
            vm,
            reported: false,
            in_planner: false,
            needs_report: true,
            orders: Vec::new(),
            exchange_deadline: None,
            next_exchange: UnixMs(0),
        }
    }

    /// Queues an order. It replaces a queued order of the same kind for the same task.
    pub fn push(&mut self, order: Order) {
        let same = |o: &&mut Order| {
            std::mem::discriminant(&**o) == std::mem::discriminant(&order)
                && o.task() == order.task()
        };
        match self.orders.iter_mut().find(same) {
            Some(old) => *old = order,
            None => self.orders.push(order),
        }
    }

    /// Returns the message to send now, if there is one, and begins its exchange.
    pub fn next_message(&mut self, now: UnixMs) -> Option<Message> {
        let waiting = self
            .exchange_deadline
            .is_some_and(|deadline| !deadline.passed(now));
        if waiting
            || !self.next_exchange.passed(now)
            || (!self.needs_report && self.orders.is_empty())
        {
            return None;
        }
        self.exchange_deadline = Some(now.after(EXCHANGE_TIMEOUT_MS));
        if self.needs_report {
            return Some(Message::RequestReport);
        }
        let count = self.orders.len().min(MAX_ORDERS);
        Some(Message::Orders(self.orders.drain(..count).collect()))
    }

    /// Ends the exchange under way with an answer; returns whether one was under way.
    pub fn finish_exchange(&mut self) -> bool {
        self.exchange_deadline.take().is_some()
    }

    /// Notes that the worker has reported.
    pub fn record_report(&mut self) {
        self.reported = true;
        self.needs_report = false;
    }

    /// Ends the exchange without an answer. Queued orders are dropped, since the report that is
    /// requested next may make them void.
    pub fn fail_exchange(&mut self, now: UnixMs) {
        self.exchange_deadline = None;
        self.needs_report = true;
        self.orders.clear();
        self.next_exchange = now.after(RETRY_DELAY_MS);
    }
}
