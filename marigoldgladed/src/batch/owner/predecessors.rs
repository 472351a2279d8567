//! Owners before this one: whether they may still act, as they themselves tell.

use std::rc::Rc;

use marigoldglade::batch::engine::{Event, UNCONFIRMED_LIMIT_MS};
use marigoldglade::batch::messages::{Message, Owner};
use marigoldglade::time::UnixMs;
use tokio::sync::mpsc;

use crate::batch::owner::{Input, ORDER_MARGIN_MS};
use crate::batch::{Node, clock};

/// The time that an earlier owner has to answer, in milliseconds; source: many times a round trip.
const ASK_MS: u64 = 400;
/// The pause before it is asked again, in milliseconds.
const AGAIN_MS: u64 = 300;

/// Whether an earlier owner may still act.
enum Activity {
    /// Another process runs in its place.
    Gone,
    /// Its process has given the ownership up.
    Retired,
    /// It may still act.
    Unknown,
}

impl Node {
    /// Asks earlier owners until all have certainly ended, and tells the engine.
    pub(super) async fn await_predecessors(
        self: Rc<Self>,
        owners: Vec<Owner>,
        inputs: mpsc::UnboundedSender<Input>,
    ) {
        let end = clock::now().after(UNCONFIRMED_LIMIT_MS);
        for owner in owners {
            loop {
                if end.passed(clock::now()) {
                    return;
                }
                match self.activity(&owner).await {
                    Activity::Gone => break,
                    Activity::Retired => {
                        // Its last orders may be under way.
                        clock::sleep_until(clock::now().after(ORDER_MARGIN_MS)).await;
                        break;
                    }
                    Activity::Unknown => clock::sleep_until(clock::now().after(AGAIN_MS)).await,
                }
            }
            log::info!(owner = owner.name.as_str(), term = owner.term; "an earlier owner has certainly ended");
        }
        // A closed queue means that the tenure is over.
        let _ = inputs.send(Input::Event(Event::PredecessorsEnded));
    }

    async fn activity(&self, owner: &Owner) -> Activity {
        let limit: UnixMs = clock::now().after(ASK_MS);
        match self
            .peers
            .ask(owner.addr, Message::IncarnationRequest, limit)
            .await
        {
            Ok(Message::IncarnationResponse { incarnation, .. })
                if incarnation != owner.incarnation =>
            {
                Activity::Gone
            }
            Ok(Message::IncarnationResponse { term, .. }) if term != Some(owner.term) => {
                Activity::Retired
            }
            Ok(_) | Err(_) => Activity::Unknown,
        }
    }
}
