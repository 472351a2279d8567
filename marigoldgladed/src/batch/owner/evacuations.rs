//! Follows the operators' requests to evacuate data centres, while this daemon is the owner.

use std::collections::BTreeSet;
use std::rc::Rc;

use marigoldglade::batch::engine::Event;
use marigoldglade::batch::evacuations::Evacuations;
use marigoldglade::store::{Change, Revision};
use tokio::sync::mpsc;

use crate::batch::Node;
use crate::batch::owner::Input;

impl Node {
    /// Reads the evacuated data centres into `known`; returns the revision from which to watch them.
    pub(super) async fn list_evacuations(&self, known: &mut Evacuations) -> Revision {
        let (pairs, since) = self.store.list(platform::evacuation::PREFIX).await;
        let dcs: BTreeSet<String> = pairs
            .iter()
            .filter_map(|p| decode(&p.key))
            .map(str::to_owned)
            .collect();
        known.replace(dcs, since);
        since
    }

    /// Passes the evacuated data centres to the engine after each change. As long as the store doesn't
    /// answer, what is known holds.
    pub(super) async fn follow_evacuations(
        self: Rc<Self>,
        mut known: Evacuations,
        mut since: Revision,
        inputs: mpsc::UnboundedSender<Input>,
    ) {
        let prefix = platform::evacuation::PREFIX;
        loop {
            while let Some(mut changes) = self.store.watch(prefix, &mut since).await {
                // An older change of one data centre mustn't be dropped for a newer one of another.
                changes.sort_by_key(revision);
                let mut changed = false;
                for change in &changes {
                    changed |= apply(&mut known, change);
                }
                if changed {
                    send(&known, &inputs);
                }
            }
            log::info!("the store has dropped the history of the evacuations; reading them again");
            since = self.list_evacuations(&mut known).await;
            send(&known, &inputs);
        }
    }
}

fn send(known: &Evacuations, inputs: &mpsc::UnboundedSender<Input>) {
    // A closed queue means that this daemon's ownership has ended.
    let _ = inputs.send(Input::Event(Event::Evacuations(known.dcs().clone())));
}

fn revision(change: &Change) -> Revision {
    match change {
        Change::Put(pair) => pair.changed,
        Change::Deleted(_, revision) => *revision,
    }
}

/// Applies a change of the requests; returns whether it changed anything.
fn apply(known: &mut Evacuations, change: &Change) -> bool {
    let (key, requested) = match change {
        Change::Put(pair) => (&pair.key, true),
        Change::Deleted(key, _) => (key, false),
    };
    decode(key).is_some_and(|dc| known.set(dc, requested, revision(change)))
}

/// Decodes the key of a request; one that can't be decoded is logged and left out.
fn decode(key: &str) -> Option<&str> {
    let dc = platform::evacuation::decode(key);
    dc.inspect_err(|e| log::warn!(error:% = e; "a request to evacuate a data centre can't be read; it has no effect"))
        .ok()
}
