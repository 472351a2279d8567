//! What the engine is fed with: the registry, the inbox and the configuration.

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
    pub(super) async fn pass_policies(self: Rc<Self>, inputs: mpsc::UnboundedSender<Input>) {
        let mut policies = self.policy.subscribe();
        while policies.changed().await.is_ok() {
            let policy = policies.borrow_and_update().clone();
            if let Some(policy) = policy {
                let _ = inputs.send(Input::Event(Event::Policy(policy)));
            }
        }
    }

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
                take_entry(&mut entries, pair);
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
                        Change::Put(pair) => take_entry(&mut entries, &pair),
                        Change::Gone(key, _) => {
                            entries.remove(&key);
                        }
                    }
                }
                let _ = inputs.send(Input::Event(Event::Registry(
                    entries.values().cloned().collect(),
                )));
            }
            log::info!("history of the registry was dropped; reading it anew");
            (pairs, since) = self.store.list(prefix).await;
        }
    }

    pub(super) async fn follow_inbox(
        self: Rc<Self>,
        mut pairs: Vec<Pair>,
        mut since: Revision,
        inputs: mpsc::UnboundedSender<Input>,
    ) {
        loop {
            let _ = inputs.send(Input::Event(Event::Inbox(
                pairs.iter().filter_map(inbox_item).collect(),
            )));
            while let Some(changes) = self.store.watch(INBOX_PREFIX, &mut since).await {
                let items = changes.into_iter().filter_map(|c| match c {
                    Change::Put(pair) => inbox_item(&pair),
                    Change::Gone(..) => None,
                });
                let items: Vec<InboxItem> = items.collect();
                if !items.is_empty() {
                    let _ = inputs.send(Input::Event(Event::Inbox(items)));
                }
            }
            log::info!("history of the inbox was dropped; reading it anew");
            (pairs, since) = self.store.list(INBOX_PREFIX).await;
        }
    }
}

fn take_entry(entries: &mut BTreeMap<String, Target>, pair: &Pair) {
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

fn inbox_item(pair: &Pair) -> Option<InboxItem> {
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

/// Reads a record; a broken one is logged and left out.
pub(super) fn read_record(pair: &Pair) -> Option<Record> {
    let record = Record::decode(&pair.value);
    record
        .inspect_err(
            |e| log::error!(key = pair.key.as_str(), error:% = e; "a record can't be read"),
        )
        .ok()
}
