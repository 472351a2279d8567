//! The owner's links to the daemons that relay its orders.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use marigoldglade::batch::messages::{Message, RelayedOrder};
use marigoldglade::mesh::{Frame, FrameKind, Payload};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::batch::relay::split;
use crate::batch::{Node, clock};
use crate::link::{FrameReader, FrameWriter};

use super::Input;

/// How long opening a link to a relay may take, in milliseconds; shorter than an order's limit.
const OPEN_TIMEOUT_MS: u64 = 400;

/// An open or opening link.
struct RelayLink {
    number: u64,
    orders: mpsc::UnboundedSender<Vec<RelayedOrder>>,
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
    pub(super) fn send(&mut self, node: &Rc<Node>, addr: SocketAddr, orders: Vec<RelayedOrder>) {
        let link = self.links.entry(addr).or_insert_with(|| {
            self.last_number += 1;
            let (sender, queue) = mpsc::unbounded_channel();
            let (node, inputs, number) = (Rc::clone(node), self.inputs.clone(), self.last_number);
            spawn_local(async move {
                run_link(&node, addr, queue, &inputs).await;
                // A closed queue means that this daemon's ownership has ended.
                let _ = inputs.send(Input::RelayFailed(addr, number));
            });
            RelayLink {
                number,
                orders: sender,
            }
        });
        // A closed link reports its failure, which also covers these orders.
        let _ = link.orders.send(orders);
    }

    /// Closes the link to a relay.
    pub(super) fn close(&mut self, addr: SocketAddr) {
        self.links.remove(&addr);
    }

    /// Returns whether the link with this number is the one in use.
    pub(super) fn is_current(&self, addr: SocketAddr, number: u64) -> bool {
        self.links.get(&addr).is_some_and(|l| l.number == number)
    }
}

/// Opens a link and exchanges messages on it until it breaks or the owner closes it.
async fn run_link(
    node: &Rc<Node>,
    addr: SocketAddr,
    queue: mpsc::UnboundedReceiver<Vec<RelayedOrder>>,
    inputs: &mpsc::UnboundedSender<Input>,
) {
    let deadline = clock::now().after(OPEN_TIMEOUT_MS);
    match node.peers.dial(addr, deadline).await {
        Ok(link) => {
            tokio::select! {
                () = send_orders(link.writer, queue) => {}
                () = receive_responses(link.reader, addr, inputs) => {}
            }
        }
        Err(e) => log::warn!(relay:% = addr, error:% = e; "can't open the link to a relay"),
    }
}

async fn send_orders(
    mut writer: FrameWriter,
    mut queue: mpsc::UnboundedReceiver<Vec<RelayedOrder>>,
) {
    while let Some(mut orders) = queue.recv().await {
        while let Ok(more) = queue.try_recv() {
            orders.extend(more);
        }
        while !orders.is_empty() {
            let frame = Frame {
                kind: FrameKind::Notification,
                payload: Payload::Batch(Box::new(Message::Orders(split(&mut orders)))),
            };
            if writer.send(&frame).await.is_err() {
                return;
            }
        }
    }
}

async fn receive_responses(
    mut reader: FrameReader,
    addr: SocketAddr,
    inputs: &mpsc::UnboundedSender<Input>,
) {
    while let Ok((frame, _)) = reader.receive().await {
        let Payload::Batch(message) = frame.payload else {
            continue;
        };
        if let Message::OrderResponses {
            responses,
            stopping,
        } = *message
        {
            let _ = inputs.send(Input::Relayed(addr, responses, stopping));
        }
    }
}
