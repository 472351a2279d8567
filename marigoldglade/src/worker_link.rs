//! What an owner knows of one worker, and the one exchange with it that is under way.
//!
//! Orders flow in, at most one [`Send`] at a time flows out. A worker that didn't answer is asked
//! for a report before it gets further orders.

use crate::time::UnixMs;
use crate::wire::{Order, Vm};

/// The most orders in one message.
pub const ORDERS_LIMIT: usize = 256;
/// How long an exchange may take before the next one, in milliseconds.
pub const EXCHANGE_MS: u64 = 3_000;
/// The wait after a worker that didn't answer, in milliseconds.
pub const SILENT_GAP_MS: u64 = 500;

/// What is to be sent to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Send {
    /// Ask for all that it runs.
    Ask,
    /// Send these orders.
    Orders(Vec<Order>),
}

/// The link to one worker.
#[derive(Clone, Debug)]
pub struct Link {
    /// The worker as the VM list shows it.
    pub vm: Vm,
    /// Whether it has reported to this owner, and so obeys no former one.
    pub reported: bool,
    /// Whether the planner knows it.
    pub shown: bool,
    /// Whether a report is wanted.
    ask: bool,
    orders: Vec<Order>,
    /// When the exchange under way is given up; `None` when there is none.
    busy: Option<UnixMs>,
    /// The earliest time of the next exchange.
    next: UnixMs,
}

impl Link {
    /// Makes the link to a worker that hasn't reported yet.
    #[must_use]
    pub fn new(vm: Vm) -> Self {
        Self {
            vm,
            reported: false,
            shown: false,
            ask: true,
            orders: Vec::new(),
            busy: None,
            next: UnixMs(0),
        }
    }

    /// Queues an order; an older one of the same sort for the same task is replaced.
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

    /// Returns what to send now, if anything.
    pub fn flush(&mut self, now: UnixMs) -> Option<Send> {
        let waiting = self.busy.is_some_and(|end| !end.passed(now));
        if waiting || !self.next.passed(now) || (!self.ask && self.orders.is_empty()) {
            return None;
        }
        self.busy = Some(now.after(EXCHANGE_MS));
        if self.ask {
            return Some(Send::Ask);
        }
        let count = self.orders.len().min(ORDERS_LIMIT);
        Some(Send::Orders(self.orders.drain(..count).collect()))
    }

    /// Ends the exchange under way with an answer; returns whether there was one.
    pub fn answered(&mut self) -> bool {
        self.busy.take().is_some()
    }

    /// Takes in that the worker reported.
    pub fn report_came(&mut self) {
        self.reported = true;
        self.ask = false;
    }

    /// Ends the exchange under way without an answer.
    pub fn failed(&mut self, now: UnixMs) {
        self.busy = None;
        self.ask = true;
        self.orders.clear();
        self.next = now.after(SILENT_GAP_MS);
    }
}
