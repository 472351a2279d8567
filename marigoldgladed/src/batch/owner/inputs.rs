//! Inputs of the engine that come from the store: the registry, the inbox and the configuration.

use std::collections::BTreeMap;
use std::rc::Rc;

use marigoldglade::batch::engine::{Event, InboxBody, InboxItem};
use marigoldglade::batch::id::JobId;
use marigoldglade::batch::record::Record;
use marigoldglade::batch::worker::Target;
use marigoldglade::store::{Change, Pair, Revision};
use tokio::sync::mpsc;

use crate::batch::Node;
use crate::batch::calls::{CANCEL_PREFIX, INBOX_PREFIX, SUBMIT_PREFIX};
use crate::batch::owner::Input;

impl Node {
    /// Passes each new configuration to the engine.
    pub(super) async fn forward_policies(self: Rc<Self>, inputs: mpsc::UnboundedSender<Input>) {
        let mut policies = self.policy.subscribe();
        while policies.changed().await.is_ok() {
            let policy = policies.borrow_and_update().clone();
            if let Some(policy) = policy {
                let _ = inputs.send(Input::Event(Event::Policy(policy)));
            }
        }
    }

    /// Passes the registry's workers to the engine, at first and after each change.
    pub(super) async fn follow_registry(
        self: Rc<Self>,
        mut pairs: Vec<Pair>,
        mut since: Revision,
        inputs: mpsc::UnboundedSender<Input>,
    ) {
        let prefix = platform::registry::PREFIX;
        loop {
            let mut entries: BTreeMap<String, Target> = BTreeMap::new();
            for pair in &pairs {
                apply_entry(&mut entries, pair);
            }
            let _ = inputs.send(Input::Event(Event::Registry(
                entries.values().cloned().collect(),
            )));
            while let Some(changes) = self.store.watch(prefix, &mut since).await {
                if changes.is_empty() {
                    continue;
                }
                for change in changes {
                    match change {
                        Change::Put(pair) => apply_entry(&mut entries, &pair),
                        Change::Deleted(key, _) => {
                            entries.remove(&key);
                        }
                    }
                }
                let _ = inputs.send(Input::Event(Event::Registry(
                    entries.values().cloned().collect(),
                )));
            }
            log::info!("the store has dropped the history of the registry; reading it again");
            (pairs, since) = self.store.list(prefix).await;
        }
    }

    /// Passes the inbox's submissions and cancels to the engine.
    pub(super) async fn follow_inbox(
        self: Rc<Self>,
        mut pairs: Vec<Pair>,
        mut since: Revision,
        inputs: mpsc::UnboundedSender<Input>,
    ) {
        loop {
            let _ = inputs.send(Input::Event(Event::Inbox(
                pairs.iter().filter_map(read_item).collect(),
            )));
            while let Some(changes) = self.store.watch(INBOX_PREFIX, &mut since).await {
                let items = changes.into_iter().filter_map(|c| match c {
                    Change::Put(pair) => read_item(&pair),
                    Change::Deleted(..) => None,
                });
                let items: Vec<InboxItem> = items.collect();
                if !items.is_empty() {
                    let _ = inputs.send(Input::Event(Event::Inbox(items)));
                }
            }
            log::info!("the store has dropped the history of the inbox; reading it again");
            (pairs, since) = self.store.list(INBOX_PREFIX).await;
        }
    }
}

fn apply_entry(entries: &mut BTreeMap<String, Target>, pair: &Pair) {
    match platform::registry::decode(pair) {
        Ok(target) => {
            entries.insert(pair.key.clone(), target);
        }
        Err(e) => {
            log::warn!(key = pair.key.as_str(), error:% = e; "a registry entry can't be read; its worker isn't used");
            entries.remove(&pair.key);
        }
    }
}

fn read_item(pair: &Pair) -> Option<InboxItem> {
    let body = if pair.key.starts_with(SUBMIT_PREFIX) {
        InboxBody::Submit(Box::new(read_record(pair)?))
    } else {
        InboxBody::Cancel(JobId::parse(pair.key.strip_prefix(CANCEL_PREFIX)?)?)
    };
    Some(InboxItem {
        key: pair.key.clone(),
        body,
    })
}

/// Decodes a job record; one that can't be decoded is logged and left out.
pub(super) fn read_record(pair: &Pair) -> Option<Record> {
    let record = Record::decode(&pair.value);
    record
        .inspect_err(
            |e| log::error!(key = pair.key.as_str(), error:% = e; "can't decode a job record"),
        )
        .ok()
}
