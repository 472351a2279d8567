//! The owner's links to the daemons that relay its orders.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use marigoldglade::batch::messages::{Message, RelayedOrder};
use marigoldglade::batch::succession::{ORDER_MARGIN_MS, PeerClock, RELAY_SEND_MS};
use marigoldglade::batch::worker::Order;
use marigoldglade::mesh::{Frame, FrameKind, Payload};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::batch::relay::split;
use crate::batch::{Node, boot_ms, clock};
use crate::link::{FrameReader, FrameWriter};

use super::{AbortOnDrop, Input};

/// How long opening a link to a relay may take, in milliseconds; shorter than an order's limit.
const OPEN_TIMEOUT_MS: u64 = 400;

/// How long orders may wait to be sent to a relay, in milliseconds: the part of the orders' margin that
/// the relay doesn't have.
const SEND_LIMIT_MS: u64 = ORDER_MARGIN_MS - RELAY_SEND_MS;

/// Orders that wait to be sent to a relay.
pub(super) struct WaitingOrders {
    orders: Vec<RelayedOrder>,
    /// The latest time to send them to the relay, by [`boot_ms`].
    send_by: u64,
    /// The latest time at which the relay may send those that are starts, by [`boot_ms`].
    starts_by: u64,
}

impl WaitingOrders {
    /// Creates the state of orders that were given after a check of the ownership at `checked_at`, by
    /// [`boot_ms`].
    pub(super) const fn new(orders: Vec<RelayedOrder>, checked_at: u64, starts_by: u64) -> Self {
        Self {
            orders,
            send_by: checked_at + SEND_LIMIT_MS,
            starts_by,
        }
    }

    /// Takes the orders for one message to a relay; without a reading of its clock, only its own limit
    /// applies to starts.
    fn take(&mut self, relay_clock: Option<PeerClock>) -> Vec<RelayedOrder> {
        let mut orders = split(&mut self.orders);
        let starts = orders
            .iter_mut()
            .filter(|o| matches!(o.order, Order::Start(_)));
        for start in starts {
            start.send_by = relay_clock.map(|c| c.convert(self.starts_by));
        }
        orders
    }
}

/// An open or opening link, which is closed when it is dropped.
struct RelayLink {
    number: u64,
    orders: mpsc::UnboundedSender<WaitingOrders>,
    _task: AbortOnDrop,
}

/// The links to relays, by their addresses.
pub(super) struct RelayLinks {
    links: HashMap<SocketAddr, RelayLink>,
    last_number: u64,
    inputs: mpsc::UnboundedSender<Input>,
}

impl RelayLinks {
    /// Creates the state without links; what happens on them goes to `inputs`.
    pub(super) fn new(inputs: mpsc::UnboundedSender<Input>) -> Self {
        Self {
            links: HashMap::new(),
            last_number: 0,
            inputs,
        }
    }

    /// Sends orders to a relay, over a new link if there is none.
    pub(super) fn send(&mut self, node: &Rc<Node>, addr: SocketAddr, waiting: WaitingOrders) {
        let link = self.links.entry(addr).or_insert_with(|| {
            self.last_number += 1;
            let (sender, queue) = mpsc::unbounded_channel();
            let (node, inputs, number) = (Rc::clone(node), self.inputs.clone(), self.last_number);
            let task = spawn_local(async move {
                run_link(&node, addr, queue, &inputs).await;
                // A closed queue means that this daemon's ownership has ended.
                let _ = inputs.send(Input::RelayFailed(addr, number));
            });
            RelayLink {
                number,
                orders: sender,
                _task: AbortOnDrop(task),
            }
        });
        // A closed link reports its failure, which also covers these orders.
        let _ = link.orders.send(waiting);
    }

    /// Closes the link to a relay; orders that still wait aren't sent.
    pub(super) fn close(&mut self, addr: SocketAddr) {
        self.links.remove(&addr);
    }

    /// Returns whether the link with this number is the one in use.
    pub(super) fn is_current(&self, addr: SocketAddr, number: u64) -> bool {
        self.links.get(&addr).is_some_and(|l| l.number == number)
    }
}

/// Opens a link and exchanges messages on it until it breaks.
async fn run_link(
    node: &Rc<Node>,
    addr: SocketAddr,
    queue: mpsc::UnboundedReceiver<WaitingOrders>,
    inputs: &mpsc::UnboundedSender<Input>,
) {
    let deadline = clock::now().after(OPEN_TIMEOUT_MS);
    match node.peers.dial(addr, deadline).await {
        Ok(link) => {
            let relay_clock = Cell::default();
            tokio::select! {
                () = send_orders(addr, link.writer, queue, &relay_clock) => {}
                () = receive_responses(link.reader, addr, inputs, &relay_clock) => {}
            }
        }
        Err(e) => log::warn!(relay:% = addr, error:% = e; "can't open the link to a relay"),
    }
}

async fn send_orders(
    relay: SocketAddr,
    mut writer: FrameWriter,
    mut queue: mpsc::UnboundedReceiver<WaitingOrders>,
    relay_clock: &Cell<Option<PeerClock>>,
) {
    while let Some(mut waiting) = queue.recv().await {
        // Orders that are dropped here count as lost once their responses are overdue.
        while !waiting.orders.is_empty() && boot_ms() <= waiting.send_by {
            let frame = Frame {
                kind: FrameKind::Notification,
                payload: Payload::Batch(Box::new(Message::Orders(waiting.take(relay_clock.get())))),
            };
            if writer.send(&frame).await.is_err() {
                return;
            }
        }
        let dropped = waiting.orders.len();
        if dropped > 0 {
            log::info!(relay:% = relay, dropped; "orders to a relay dropped: their time had passed");
        }
    }
}

async fn receive_responses(
    mut reader: FrameReader,
    addr: SocketAddr,
    inputs: &mpsc::UnboundedSender<Input>,
    relay_clock: &Cell<Option<PeerClock>>,
) {
    while let Ok((frame, _)) = reader.receive().await {
        let Payload::Batch(message) = frame.payload else {
            continue;
        };
        if let Message::OrderResponses {
            responses,
            stopping,
            clock,
        } = *message
        {
            if let Some(clock) = clock {
                let read_at = boot_ms();
                relay_clock.set(Some(PeerClock { clock, read_at }));
            }
            let _ = inputs.send(Input::Relayed(addr, responses, stopping));
        }
    }
}
