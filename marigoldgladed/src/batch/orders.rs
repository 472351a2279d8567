//! Sends orders to workers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use marigoldglade::batch::succession::Permit;
use marigoldglade::batch::worker::{Order, OrderResponse, Refusal};
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
    if matches!(order, Order::Renew(_)) {
        return exchange(node, worker, addr, order, permit).await;
    }
    let slots = node.slots.get(addr);
    let slot = slots.acquire().await;
    let response = exchange(node, worker, addr, order, permit).await;
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
) -> OrderResponse {
    let may_send = || permit.allows(boot_ms(), node.term.get(), node.known_term());
    if !may_send() {
        return unsent_response(node, permit);
    }
    let request = match platform::worker::encode(order, worker, &addr.to_string()) {
        Ok(request) => request,
        Err(e) => {
            log::error!(worker = worker, error:% = e; "can't encode an order");
            return OrderResponse::Lost;
        }
    };
    let began = clock::now();
    let deadline = began.after(response_limit_ms(order));
    match node.client.send_if(addr, request, deadline, may_send).await {
        Ok(response) => {
            node.metrics.record_order(order, clock::now().since(began));
            platform::worker::decode(order, &response)
        }
        Err(Failure::NotSent) => unsent_response(node, permit),
        Err(Failure::Unknown | Failure::TooLarge) => OrderResponse::Lost,
    }
}

/// Returns the response to an order that wasn't sent.
fn unsent_response(node: &Node, permit: Permit) -> OrderResponse {
    if permit.term < node.known_term() {
        OrderResponse::Refused(Refusal::Fenced, None)
    } else {
        OrderResponse::Lost
    }
}
