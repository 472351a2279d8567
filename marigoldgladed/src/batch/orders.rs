//! Sends orders to workers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use marigoldglade::batch::succession::Permit;
use marigoldglade::batch::worker::{Order, OrderResponse, Refusal};
use marigoldglade::time::UnixMs;
use tokio::sync::Semaphore;

use crate::batch::client::Failure;
use crate::batch::{Node, boot_ms, clock};

/// The longest time that a worker may take to respond to a start, a stop or a change of pace, in
/// milliseconds: many times what it usually takes. Three such times fit into the time that gangs wait
/// for members.
const ORDER_TIMEOUT_MS: u64 = 500;
/// How much longer than its wait a renewal of worker leases may take, in milliseconds.
const RENEWAL_MARGIN_MS: u64 = 600;
/// The most orders under way to one worker, besides a renewal. Each one takes a connection.
const ORDERS_PER_WORKER: usize = 2;

/// Limits the orders under way to each worker, by its address.
#[derive(Default)]
pub(super) struct OrderSlots(RefCell<HashMap<SocketAddr, Rc<Semaphore>>>);

impl OrderSlots {
    fn get(&self, addr: SocketAddr) -> Rc<Semaphore> {
        let mut slots = self.0.borrow_mut();
        let new = || Rc::new(Semaphore::new(ORDERS_PER_WORKER));
        Rc::clone(slots.entry(addr).or_insert_with(new))
    }

    /// Forgets a worker to which nothing is under way.
    fn tidy(&self, addr: SocketAddr) {
        let mut slots = self.0.borrow_mut();
        let unused = |s: &Rc<Semaphore>| Rc::strong_count(s) == 1;
        if slots.get(&addr).is_some_and(unused) {
            slots.remove(&addr);
        }
    }
}

/// Returns how long a worker may take to respond to an order, in milliseconds.
pub(super) const fn response_limit_ms(order: &Order) -> u64 {
    match order {
        Order::Renew(renewal) => renewal.wait_ms + RENEWAL_MARGIN_MS,
        Order::Start(_) | Order::Stop(_) | Order::SetPace(_) => ORDER_TIMEOUT_MS,
    }
}

/// Sends an order to a worker, if it is still permitted then, and waits for its response.
pub(super) async fn send_order(
    node: &Node,
    worker: &str,
    addr: SocketAddr,
    order: &Order,
    permit: Permit,
) -> OrderResponse {
    let given_at = clock::now();
    if matches!(order, Order::Renew(_)) {
        return exchange(node, worker, addr, order, permit, given_at).await;
    }
    let slots = node.slots.get(addr);
    let slot = slots.acquire().await;
    let response = exchange(node, worker, addr, order, permit, given_at).await;
    drop(slot);
    drop(slots);
    node.slots.tidy(addr);
    response
}

async fn exchange(
    node: &Node,
    worker: &str,
    addr: SocketAddr,
    order: &Order,
    permit: Permit,
    given_at: UnixMs,
) -> OrderResponse {
    let began = clock::now();
    let offered_at = Cell::new(None);
    let may_send = || {
        let allowed = permit.allows(boot_ms(), node.term.get(), node.known_term());
        offered_at.set(allowed.then(clock::now));
        allowed
    };
    if !may_send() {
        log_unanswered(
            worker,
            order,
            permit,
            &Attempt {
                given_at,
                began,
                sent_at: None,
            },
        );
        return unsent_response(node, permit);
    }
    offered_at.set(None);
    let request = match platform::worker::encode(order, worker, &addr.to_string()) {
        Ok(request) => request,
        Err(e) => {
            log::error!(worker = worker, error:% = e; "can't encode an order");
            return OrderResponse::Unsent;
        }
    };
    let deadline = began.after(response_limit_ms(order));
    let outcome = node.client.send_if(addr, request, deadline, may_send).await;
    let sent_at = match outcome {
        Err(Failure::NotSent) => None,
        _ => offered_at.get(),
    };
    let attempt = Attempt {
        given_at,
        began,
        sent_at,
    };
    let response = match outcome {
        Ok(response) => {
            node.metrics.record_order(order, clock::now().since(began));
            platform::worker::decode(order, &response)
        }
        Err(Failure::NotSent) => unsent_response(node, permit),
        // The time was up before there was a connection.
        Err(Failure::Unknown) if sent_at.is_none() => unsent_response(node, permit),
        Err(Failure::Unknown | Failure::TooLarge) => OrderResponse::Lost,
    };
    if matches!(response, OrderResponse::Lost | OrderResponse::Unsent) {
        log_unanswered(worker, order, permit, &attempt);
    }
    response
}

/// The course of an attempt to send an order.
struct Attempt {
    /// When this daemon got the order.
    given_at: UnixMs,
    /// When it had a slot.
    began: UnixMs,
    /// When it was handed to a connection; `None` if it certainly wasn't sent.
    sent_at: Option<UnixMs>,
}

/// Logs an order without a usable response. Lost renewals are logged by the engine, once a worker.
fn log_unanswered(worker: &str, order: &Order, permit: Permit, attempt: &Attempt) {
    let level = if matches!(order, Order::Start(_)) {
        log::Level::Info
    } else {
        log::Level::Debug
    };
    let now = clock::now();
    let kind: &'static str = order.into();
    let task = order.run().map(|(task, _)| task.to_string());
    log::log!(
        level, worker, kind, task = task.as_deref(), run = order.run().map(|(_, run)| run), term = permit.term,
        relayed = permit.relayed, sent = attempt.sent_at.is_some(),
        slot_ms = attempt.began.since(attempt.given_at),
        connect_ms = attempt.sent_at.map(|at| at.since(attempt.began)),
        sent_ms_ago = attempt.sent_at.map(|at| now.since(at)),
        overdue_ms = boot_ms().saturating_sub(permit.send_by);
        "order without a response"
    );
}

/// Returns the response to an order that wasn't sent.
fn unsent_response(node: &Node, permit: Permit) -> OrderResponse {
    if permit.term < node.known_term() {
        OrderResponse::Refused(Refusal::Fenced, None)
    } else {
        OrderResponse::Unsent
    }
}
