//! Relays the owner's orders to workers, and returns the responses in batches.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use marigoldglade::batch::messages::{Message, RelayedOrder, RelayedResponse};
use marigoldglade::batch::succession::{Permit, RELAY_SEND_MS};
use marigoldglade::batch::worker::{Order, OrderResponse, Refusal};
use marigoldglade::mesh::{Frame, FrameKind, Payload};
use marigoldglade::time::UnixMs;
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;

use crate::batch::orders::send_order;
use crate::batch::{Node, boot_ms, clock};

/// How long a report without completions waits for further responses, in milliseconds.
const BATCH_MS: u64 = 40;
/// How long other responses wait for those that come at the same time, in milliseconds.
const GATHER_MS: u64 = 1;
/// The longest time without a message while orders are under way, in milliseconds; it shows the owner
/// that the relay is alive.
const ALIVE_MS: u64 = 300;
/// The most responses in one message; a report has at most some 500 rows of about a hundred bytes.
const MESSAGE_LIMIT: usize = 16;
/// The most orders in one message; an order has at most some five kilobytes.
const ORDERS_LIMIT: usize = 64;

/// The responses that wait to be sent on one link.
pub(super) struct Outbox {
    responses: RefCell<Vec<RelayedResponse>>,
    /// When the waiting responses are sent at the latest.
    send_at: Cell<UnixMs>,
    /// The number of orders under way.
    under_way: Cell<usize>,
    changed: Notify,
}

impl Outbox {
    /// Creates the outbox of a link, whose messages go to `frames`.
    pub(super) fn new(node: &Rc<Node>, frames: mpsc::Sender<Frame>) -> Rc<Self> {
        let outbox = Rc::new(Self {
            responses: RefCell::default(),
            send_at: Cell::new(UnixMs::MAX),
            under_way: Cell::new(0),
            changed: Notify::new(),
        });
        spawn_local(send_responses(Rc::clone(node), Rc::clone(&outbox), frames));
        outbox
    }

    fn add(&self, response: RelayedResponse) {
        let delay_ms = match &response.response {
            OrderResponse::Report(report) if report.completions.is_empty() => BATCH_MS,
            _ => GATHER_MS,
        };
        let send_at = clock::now().after(delay_ms);
        self.responses.borrow_mut().push(response);
        if send_at < self.send_at.get() {
            self.send_at.set(send_at);
            self.changed.notify_one();
        }
    }
}

impl Node {
    /// Sends orders of the owner to their workers; the responses go to the link's outbox.
    pub(super) fn relay_orders(self: &Rc<Self>, orders: Vec<RelayedOrder>, outbox: &Rc<Outbox>) {
        outbox.under_way.set(outbox.under_way.get() + orders.len());
        outbox.changed.notify_one();
        self.metrics
            .relayed
            .inc_by(u64::try_from(orders.len()).unwrap_or(0));
        let limit = boot_ms() + RELAY_SEND_MS;
        for relayed in orders {
            let (node, outbox) = (Rc::clone(self), Rc::clone(outbox));
            spawn_local(async move {
                let RelayedOrder {
                    number,
                    worker,
                    addr,
                    order,
                    send_by,
                } = relayed;
                let permit = Permit {
                    term: order.term(),
                    relayed: true,
                    send_by: send_by.map_or(limit, |at| at.min(limit)),
                };
                let response = send_order(&node, &worker, addr, &order, permit).await;
                if let (Order::Start(start), OrderResponse::Refused(Refusal::Late, clock)) =
                    (&order, &response)
                {
                    log::info!(task:% = start.task, run = start.run, worker = worker.as_str(), deadline = start.deadline, clock = *clock; "relayed start came after its deadline");
                }
                // An owner of an earlier build doesn't know the distinction, nor the limit.
                let response = match response {
                    OrderResponse::Unsent if send_by.is_none() => OrderResponse::Lost,
                    response => response,
                };
                outbox.under_way.set(outbox.under_way.get() - 1);
                outbox.add(RelayedResponse { number, response });
            });
        }
    }
}

/// Sends the responses of an outbox until the link breaks.
async fn send_responses(node: Rc<Node>, outbox: Rc<Outbox>, frames: mpsc::Sender<Frame>) {
    // The first message tells the owner this daemon's clock.
    let mut alive_at = clock::now();
    let mut announced = false;
    loop {
        if outbox.under_way.get() > 0 {
            alive_at = alive_at.min(clock::now().after(ALIVE_MS));
        }
        let due = outbox.send_at.get().min(alive_at);
        tokio::select! {
            () = outbox.changed.notified() => {}
            () = clock::sleep_until(due), if due < UnixMs::MAX => {}
            () = node.stop.wait_begun(), if !announced => {}
            () = frames.closed() => return,
        }
        let stopping = node.stop.is_stopping();
        let due = outbox.send_at.get().min(alive_at).passed(clock::now());
        if !due && stopping == announced {
            continue;
        }
        announced = stopping;
        alive_at = UnixMs::MAX;
        outbox.send_at.set(UnixMs::MAX);
        let responses = outbox.responses.take();
        let mut rest = responses.into_iter().peekable();
        loop {
            let message = Message::OrderResponses {
                responses: rest.by_ref().take(MESSAGE_LIMIT).collect(),
                stopping,
                clock: Some(boot_ms()),
            };
            let frame = Frame {
                kind: FrameKind::Notification,
                payload: Payload::Batch(Box::new(message)),
            };
            if frames.send(frame).await.is_err() {
                return;
            }
            if rest.peek().is_none() {
                break;
            }
        }
    }
}

/// Returns the part of a batch of orders that goes into one message.
pub(super) fn split(orders: &mut Vec<RelayedOrder>) -> Vec<RelayedOrder> {
    let rest = orders.split_off(orders.len().min(ORDERS_LIMIT));
    std::mem::replace(orders, rest)
}
