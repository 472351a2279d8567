//! Asks earlier owners whether they may still act.

use std::rc::Rc;

use marigoldglade::batch::engine::{Event, UNCONFIRMED_LIMIT_MS};
use marigoldglade::batch::messages::{Message, Owner};
use marigoldglade::batch::succession::ORDER_MARGIN_MS;
use marigoldglade::time::UnixMs;
use tokio::sync::mpsc;

use crate::batch::owner::Input;
use crate::batch::{Node, clock};

/// The longest time that an earlier owner may take to respond, in milliseconds: many round trips.
const RESPONSE_TIMEOUT_MS: u64 = 400;
/// The pause before an earlier owner is asked again, in milliseconds.
const RETRY_MS: u64 = 300;

/// Whether an earlier owner may still act, by its response.
enum OwnerState {
    /// The owner's process is gone; another process of the same daemon runs.
    Gone,
    /// The owner's process still runs, but has released the ownership.
    Released,
    /// The owner may still act.
    Unknown,
}

impl Node {
    /// Asks earlier owners until none of them can act any more, and then tells the engine. Gives up
    /// after [`UNCONFIRMED_LIMIT_MS`], when no earlier owner acts any more in any case.
    pub(super) async fn wait_predecessors(
        self: Rc<Self>,
        owners: Vec<Owner>,
        inputs: mpsc::UnboundedSender<Input>,
    ) {
        let deadline = clock::now().after(UNCONFIRMED_LIMIT_MS);
        for owner in owners {
            loop {
                if deadline.passed(clock::now()) {
                    return;
                }
                match self.query_owner(&owner).await {
                    OwnerState::Gone => break,
                    OwnerState::Released => {
                        // The owner's last orders may still be under way.
                        clock::sleep_until(clock::now().after(ORDER_MARGIN_MS)).await;
                        break;
                    }
                    OwnerState::Unknown => clock::sleep_until(clock::now().after(RETRY_MS)).await,
                }
            }
            log::info!(owner = owner.name.as_str(), term = owner.term; "an earlier owner has certainly ended");
        }
        // A closed queue means that this daemon's ownership has ended.
        let _ = inputs.send(Input::Event(Event::PredecessorsEnded));
    }

    /// Asks an earlier owner for its process and its term.
    async fn query_owner(&self, owner: &Owner) -> OwnerState {
        let deadline: UnixMs = clock::now().after(RESPONSE_TIMEOUT_MS);
        match self
            .peers
            .request(owner.addr, Message::IncarnationRequest, deadline)
            .await
        {
            Ok(Message::IncarnationResponse { incarnation, .. })
                if incarnation != owner.incarnation =>
            {
                OwnerState::Gone
            }
            Ok(Message::IncarnationResponse { term, .. }) if term != Some(owner.term) => {
                OwnerState::Released
            }
            Ok(_) | Err(_) => OwnerState::Unknown,
        }
    }
}
