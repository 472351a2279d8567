//! Inputs of the engine that come from the store: the registry, the inbox and the configuration.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use marigoldglade::batch::engine::{Event, Heartbeat, InboxBody, InboxItem};
use marigoldglade::batch::id::JobId;
use marigoldglade::batch::record::{self, Record, RecordPart};
use marigoldglade::batch::roster::Roster;
use marigoldglade::batch::worker::Target;
use marigoldglade::store::{Change, Pair, Revision};
use marigoldglade::time::UnixMs;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::batch::calls::{CANCEL_PREFIX, INBOX_PREFIX, JOB_PREFIX, REFUSED_KEY, SUBMIT_PREFIX};
use crate::batch::live::decode;
use crate::batch::owner::Input;
use crate::batch::{Node, clock};

/// The time between a change of the registry and the next watch, in milliseconds. Every heartbeat of
/// a worker changes its entry, and one call can report many of them.
const REGISTRY_GAP_MS: u64 = 100;
/// How old an entry of a live worker may be when it is read, in milliseconds: above the time between two
/// heartbeats.
const ENTRY_AGE_MS: u64 = 2_000;

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

    /// Passes the registry's workers to the engine, at first and after each change, and the heartbeats
    /// that it needs.
    ///
    /// The entries were read after `read_after`; `former` are the workers that the earlier owner used.
    pub(super) async fn follow_registry(
        self: Rc<Self>,
        mut pairs: Vec<Pair>,
        mut since: Revision,
        mut read_after: UnixMs,
        mut former: Vec<Target>,
        inputs: mpsc::UnboundedSender<Input>,
    ) {
        let prefix = platform::registry::PREFIX;
        let feed = Rc::new(RosterFeed {
            roster: RefCell::default(),
            inputs,
            review_at: Cell::default(),
        });
        loop {
            // What the list doesn't contain was written after the list was asked for.
            let mut written_after = read_after;
            let entries = pairs.iter().filter_map(read_entry).collect();
            let settled_at = self.store.settled_at();
            feed.roster.borrow_mut().replace(entries, settled_at);
            for target in former.drain(..) {
                let name = format!("{prefix}{}", target.name);
                feed.roster
                    .borrow_mut()
                    .add_absent(name, target, settled_at);
            }
            feed.send();
            let departures = pairs.iter().filter_map(|p| read_departure(p, read_after));
            feed.send_heartbeats(departures.collect());
            loop {
                let sent_at = clock::now();
                let Some(changes) = self.store.watch(prefix, &mut since).await else {
                    break;
                };
                if changes.is_empty() {
                    continue;
                }
                let mut changed = false;
                let mut heartbeats = Vec::new();
                for change in changes {
                    if let Some(heartbeat) = self.needed_heartbeat(&change, written_after) {
                        heartbeats.push(heartbeat);
                    }
                    let settled_at = self.store.settled_at();
                    changed |= apply_entry(&mut feed.roster.borrow_mut(), change, settled_at);
                }
                if changed {
                    feed.send();
                }
                feed.send_heartbeats(heartbeats);
                // The next watch reports changes that this one didn't.
                written_after = sent_at;
                clock::sleep_until(clock::now().after(REGISTRY_GAP_MS)).await;
            }
            log::info!("the store has dropped the history of the registry; reading it again");
            read_after = clock::now();
            (pairs, since) = self.store.list(prefix).await;
        }
    }

    /// Returns the heartbeat that a change of the registry shows, if the worker doesn't enforce its
    /// capacity or has announced its departure.
    fn needed_heartbeat(&self, change: &Change, written_after: UnixMs) -> Option<Heartbeat> {
        let policy = self.policy()?;
        let Change::Put(pair) = change else {
            return None;
        };
        let remaining_ms = platform::registry::decode_remaining_ms(pair);
        if remaining_ms.is_none() && policy.pools.iter().all(|p| p.enforces_capacity) {
            return None;
        }
        let target = platform::registry::decode(pair).ok()?;
        let needed = remaining_ms.is_some() || !policy.enforces_capacity(&target.pool);
        needed.then_some(Heartbeat {
            worker: target.name,
            started_at: target.started_at,
            written_after,
            departs_at: remaining_ms.map(|ms| written_after.after(ms)),
        })
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

/// The roster, and where its workers are sent.
struct RosterFeed {
    roster: RefCell<Roster>,
    inputs: mpsc::UnboundedSender<Input>,
    /// When missing workers are next looked at.
    review_at: Cell<UnixMs>,
}

impl RosterFeed {
    /// Passes heartbeats to the engine, after the workers that they came with.
    fn send_heartbeats(&self, heartbeats: Vec<Heartbeat>) {
        if !heartbeats.is_empty() {
            let _ = self
                .inputs
                .send(Input::Event(Event::Heartbeats(heartbeats)));
        }
    }

    /// Passes the workers on the roster to the engine, and again when missing ones count as gone.
    fn send(self: &Rc<Self>) {
        let present = self.roster.borrow_mut().present(clock::now());
        // A closed queue means that this daemon's ownership has ended.
        let sent = self.inputs.send(Input::Event(Event::Registry(present)));
        let gone_at = self.roster.borrow().next_gone();
        if let Some(at) = gone_at.filter(|at| sent.is_ok() && *at != self.review_at.get()) {
            self.review_at.set(at);
            let feed = Rc::clone(self);
            spawn_local(async move {
                clock::sleep_until(at).await;
                feed.send();
            });
        }
    }
}

/// Applies a change of the registry; returns whether the roster has changed.
fn apply_entry(roster: &mut Roster, change: Change, settled_at: UnixMs) -> bool {
    match change {
        Change::Put(pair) => match read_entry(&pair) {
            Some((name, target)) => roster.put(name, target),
            None => roster.discard(&pair.key),
        },
        Change::Deleted(key, _) => roster.remove(&key, settled_at),
    }
}

/// Decodes a registry entry; one that can't be decoded is logged and left out.
fn read_entry(pair: &Pair) -> Option<(String, Target)> {
    match platform::registry::decode(pair) {
        Ok(target) => Some((pair.key.clone(), target)),
        Err(e) => {
            log::warn!(key = pair.key.as_str(), error:% = e; "a registry entry can't be read; its worker isn't used");
            None
        }
    }
}

/// Returns the departure that a listed entry announces. Nothing tells when the entry was written.
fn read_departure(pair: &Pair, read_after: UnixMs) -> Option<Heartbeat> {
    let remaining_ms = platform::registry::decode_remaining_ms(pair)?;
    let target = platform::registry::decode(pair).ok()?;
    Some(Heartbeat {
        worker: target.name,
        started_at: target.started_at,
        written_after: UnixMs(0),
        departs_at: Some(read_after.before(ENTRY_AGE_MS).after(remaining_ms)),
    })
}

fn read_item(pair: &Pair) -> Option<InboxItem> {
    let body = if pair.key == REFUSED_KEY {
        InboxBody::Refused(decode(pair)?)
    } else if pair.key.starts_with(SUBMIT_PREFIX) {
        InboxBody::Submit(Box::new(read_record(pair)?))
    } else {
        InboxBody::Cancel(JobId::parse(pair.key.strip_prefix(CANCEL_PREFIX)?)?)
    };
    Some(InboxItem {
        key: pair.key.clone(),
        body,
    })
}

/// Decodes the records of all jobs, with what further values hold of them.
pub(super) fn read_records(pairs: &[Pair]) -> Vec<Record> {
    let is_part = |p: &&Pair| {
        p.key
            .strip_prefix(JOB_PREFIX)
            .is_some_and(|k| k.contains('/'))
    };
    let (parts, heads): (Vec<&Pair>, Vec<&Pair>) = pairs.iter().partition(is_part);
    let mut records: Vec<Record> = heads.into_iter().filter_map(read_record).collect();
    let parts = parts.into_iter().filter_map(|pair| {
        let part = RecordPart::decode(&pair.value);
        part.inspect_err(
            |e| log::error!(key = pair.key.as_str(), error:% = e; "can't decode a part of a job record"),
        )
        .ok()
    });
    record::join(&mut records, parts.collect());
    records
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
