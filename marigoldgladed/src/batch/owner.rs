//! Ownership of the jobs: claiming it, and driving the engine while it lasts.

mod driver;
mod feeds;
mod predecessors;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use marigoldglade::batch::engine::{Bounds, Engine, Event, InitialState, UNCONFIRMED_LIMIT_MS};
use marigoldglade::batch::messages::{Call, Owner, Reply};
use marigoldglade::batch::succession::active_predecessors;
use marigoldglade::store::{self, Body, Compare, Done, Fault, Op, Outcome, Pair, Revision, Txn};
use marigoldglade::time::SECOND_MS;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, spawn_local};

use crate::batch::calls::{INBOX_PREFIX, JOB_PREFIX};
use crate::batch::live::{OWNER_KEY, decode, decode_or_default, encode};
use crate::batch::{Node, boot_ms, clock, wall_ms};

/// The lease of the owner's key, in seconds; source: the platform's shortest lease, since urgent
/// work is late after a second without an owner.
const OWNER_LEASE_S: u32 = 1;
/// The time between its renewals, in milliseconds; source: a third of the lease.
const OWNER_RENEW_MS: u64 = 300;
/// How long an owner goes on without its ownership confirmed, in milliseconds; source: what new
/// owners reckon with, less the time of an order.
const UNCONFIRMED_MS: u64 = UNCONFIRMED_LIMIT_MS - ORDER_MARGIN_MS;
/// The time of an order under way, in milliseconds; source: twice its timeout.
const ORDER_MARGIN_MS: u64 = 1_000;
/// The pause that each place among the daemons adds before a claim, in milliseconds.
const PLACE_MS: u64 = 40;
/// The time before a claim that failed is tried again, in milliseconds.
const AGAIN_MS: u64 = 250;
/// The commit number and term, which each commit is conditioned on.
const SEQ_KEY: &str = "mg/seq";
/// The owners, the newest last, of which only the newest and those lately before it are kept.
const OWNERS_KEY: &str = "mg/owners";
/// The workers that may run something.
const WORKERS_KEY: &str = "mg/workers";

/// What flows to the engine's task.
pub(super) enum Input {
    Event(Event),
    Call(Call, oneshot::Sender<Reply>),
}

/// The term and number of the last commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct Seq {
    term: u64,
    number: u64,
}

/// Ownership of one term.
struct Tenure {
    term: u64,
    lease: i64,
    /// The last change of [`SEQ_KEY`] by this owner.
    seq: Cell<Revision>,
    /// The last change of the owner's key.
    key: Revision,
    /// When ownership was confirmed last, on the clock that counts suspends; `None` once its lease is
    /// gone.
    confirmed: Cell<Option<u64>>,
    /// Earlier owners that may still act.
    predecessors: Vec<Owner>,
}

fn compare(key: &str, pair: Option<&Pair>) -> Compare {
    match pair {
        Some(pair) => Compare::Changed(key.to_owned(), pair.changed),
        None => Compare::Absent(key.to_owned()),
    }
}

impl Node {
    /// Answers a call as the owner.
    pub(super) async fn owner_call(&self, call: Call) -> Reply {
        let engine = self.engine.borrow().clone();
        let Some(engine) = engine else {
            return Reply::NotOwner;
        };
        let (answer, answered) = oneshot::channel();
        if engine.send(Input::Call(call, answer)).is_err() {
            return Reply::NotOwner;
        }
        // The engine's task ended between a commit and its answer.
        answered.await.unwrap_or(Reply::Unsure)
    }

    /// Becomes the owner whenever there is none, until the daemon stops.
    pub(super) async fn seek_ownership(self: Rc<Self>) {
        let mut policy = self.policy.subscribe();
        let _ = policy.wait_for(Option::is_some).await;
        let mut view = self.view.subscribe();
        loop {
            let name = self.name.clone();
            let open = view.wait_for(|v| {
                let former_self = v
                    .owner
                    .as_ref()
                    .is_some_and(|k| k.owner.name == name && k.changed.is_some());
                v.vacant || former_self
            });
            if open.await.is_err() || self.stop.is_stopping() {
                return;
            }
            let wait = u64::try_from(self.place()).unwrap_or(0) * PLACE_MS;
            tokio::time::sleep(Duration::from_millis(wait)).await;
            match self.claim().await {
                Some(tenure) => self.own(tenure).await,
                None => tokio::time::sleep(Duration::from_millis(AGAIN_MS)).await,
            }
            if self.stop.is_stopping() {
                return;
            }
        }
    }

    /// Tries to become the owner.
    async fn claim(&self) -> Option<Tenure> {
        let (former, seq, owners) = tokio::join!(
            self.store.get(OWNER_KEY),
            self.store.get(SEQ_KEY),
            self.store.get(OWNERS_KEY),
        );
        let (former, seq, owners) = (former.ok()?, seq.ok()?, owners.ok()?);
        if let Some(pair) = &former {
            let owner: Owner = decode(pair)?;
            // Only an earlier life of this daemon is certainly gone.
            if owner.name != self.name || owner.incarnation == self.life {
                self.view.send_modify(|v| v.vacant = false);
                return None;
            }
        }
        let confirmed = boot_ms();
        let lease = self.grant(OWNER_LEASE_S).await?;
        let last: Seq = decode_or_default(seq.as_ref())
            .inspect_err(|e| log::error!(error:% = e; "the last commit's number can't be read"))
            .ok()?;
        let owners: Vec<Owner> = decode_or_default(owners.as_ref())
            .inspect_err(|e| log::error!(error:% = e; "the list of owners can't be read"))
            .ok()?;
        let predecessors = active_predecessors(&owners, &self.name, wall_ms());
        let term = last.term + 1;
        let owner = Owner {
            name: self.name.clone(),
            incarnation: self.life,
            addr: self.settings.borrow().mesh,
            term,
            since: wall_ms(),
        };
        let line: Vec<&Owner> = predecessors.iter().chain([&owner]).collect();
        let txn = Txn {
            when: vec![
                compare(OWNER_KEY, former.as_ref()),
                compare(SEQ_KEY, seq.as_ref()),
            ],
            then: vec![
                Op::Put(OWNER_KEY.to_owned(), encode(&owner), lease),
                Op::Put(SEQ_KEY.to_owned(), encode(&Seq { term, number: 0 }), 0),
                Op::Put(OWNERS_KEY.to_owned(), encode(&line), 0),
            ],
            other: Vec::new(),
        };
        let revision = match self.store.call(&store::Call::Txn(txn)).await {
            Ok(reply) => match reply.body {
                Body::Txn(Done { held: true, .. }) => reply.revision,
                _ => {
                    log::info!(term; "another daemon was first to become the owner");
                    return None;
                }
            },
            Err(Fault::Unknown) => self.read_claim(&owner).await?,
            Err(_) => return None,
        };
        log::info!(term, daemon = self.name.as_str(); "this daemon is the owner");
        Some(Tenure {
            term,
            lease,
            seq: Cell::new(revision),
            key: revision,
            confirmed: Cell::new(Some(confirmed)),
            predecessors,
        })
    }

    /// Looks whether a claim without an answer took effect.
    async fn read_claim(&self, owner: &Owner) -> Option<Revision> {
        let pair = self.store.get(OWNER_KEY).await.ok()??;
        (decode::<Owner>(&pair)? == *owner).then_some(pair.changed)
    }

    /// Owns the jobs until the tenure ends.
    async fn own(self: &Rc<Self>, tenure: Tenure) {
        // Successors are told of the term from its claim to the last order.
        self.term.set(Some(tenure.term));
        self.serve_tenure(&Rc::new(tenure)).await;
        self.term.set(None);
        self.metrics.term.set(0);
    }

    async fn serve_tenure(self: &Rc<Self>, tenure: &Rc<Tenure>) {
        let began = clock::now();
        let renewal = spawn_local(Rc::clone(self).renew(Rc::clone(tenure)));
        let renewal = Abort(renewal);
        let load = async {
            let (records, _) = self.store.list(JOB_PREFIX).await;
            let workers = self.store.insist(&get_call(WORKERS_KEY)).await;
            let (inbox, inbox_since) = self.store.list(INBOX_PREFIX).await;
            let (entries, entries_since) = self.store.list(platform::registry::PREFIX).await;
            (records, workers, inbox, inbox_since, entries, entries_since)
        };
        let loaded = tokio::select! {
            loaded = load => loaded,
            () = self.ended(tenure) => return,
        };
        let (records, workers, inbox, inbox_since, entries, entries_since) = loaded;
        let workers = match workers.body {
            Body::Txn(done) => first_pair(done),
            _ => None,
        };
        let initial = InitialState {
            term: tenure.term,
            records: records.iter().filter_map(feeds::read_record).collect(),
            workers: decode_or_default(workers.as_ref()).unwrap_or_else(|e| {
                log::error!(error:% = e; "the list of workers can't be read");
                Vec::new()
            }),
            has_predecessors: tenure.term > 1,
            predecessors_ended: tenure.predecessors.is_empty(),
        };
        let Some(policy) = self.policy() else {
            return;
        };
        log::info!(
            term = tenure.term, jobs = initial.records.len(), workers = initial.workers.len(),
            entries = entries.len(), took_ms = clock::now().since(began);
            "state loaded"
        );
        let engine = Engine::new(self.bounds(), policy, initial, clock::now(), wall_ms());
        let (inputs, queue) = mpsc::unbounded_channel();
        let watches = [
            spawn_local(Rc::clone(self).follow_registry(entries, entries_since, inputs.clone())),
            spawn_local(Rc::clone(self).follow_inbox(inbox, inbox_since, inputs.clone())),
            spawn_local(Rc::clone(self).pass_policies(inputs.clone())),
        ]
        .map(Abort);
        let asking = (!tenure.predecessors.is_empty()).then(|| {
            let owners = tenure.predecessors.clone();
            Abort(spawn_local(
                Rc::clone(self).await_predecessors(owners, inputs.clone()),
            ))
        });
        *self.engine.borrow_mut() = Some(inputs.clone());
        self.metrics
            .term
            .set(i64::try_from(tenure.term).unwrap_or(i64::MAX));
        self.drive(engine, tenure, inputs, queue).await;
        *self.engine.borrow_mut() = None;
        drop((watches, renewal, asking));
        self.hand_over(tenure).await;
    }

    fn bounds(&self) -> Bounds {
        let p = &self.platform;
        let ms = |s: f64| {
            Duration::try_from_secs_f64(s).map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0))
        };
        Bounds {
            lease_limit_ms: p.lease_limit_ms,
            retention_ms: ms(p.status_s) + 30 * SECOND_MS,
        }
    }

    /// Waits until the tenure can't be counted on any more, or the daemon stops.
    async fn ended(&self, tenure: &Tenure) {
        loop {
            if self.stop.is_stopping() {
                return;
            }
            let Some(confirmed) = tenure.confirmed.get() else {
                return;
            };
            let blind = boot_ms().saturating_sub(confirmed);
            if blind > UNCONFIRMED_MS {
                log::warn!(term = tenure.term, blind_ms = blind; "ownership couldn't be confirmed for too long");
                return;
            }
            if self.known_term() > tenure.term {
                log::warn!(term = tenure.term; "another daemon has become the owner");
                return;
            }
            tokio::select! {
                () = self.stop.wait_begun() => {}
                () = tokio::time::sleep(Duration::from_millis(100)) => {}
            }
        }
    }

    /// Renews the owner's lease; the tenure is over when the store says that it is gone.
    ///
    /// A renewal doesn't wait for the one before, whose answer may be slow or lost.
    async fn renew(self: Rc<Self>, tenure: Rc<Tenure>) {
        while tenure.confirmed.get().is_some() {
            tokio::time::sleep(Duration::from_millis(OWNER_RENEW_MS)).await;
            spawn_local(Rc::clone(&self).renew_once(Rc::clone(&tenure)));
        }
    }

    async fn renew_once(self: Rc<Self>, tenure: Rc<Tenure>) {
        let sent = boot_ms();
        let call = store::Call::Renew {
            lease: tenure.lease,
        };
        match self.store.call(&call).await.map(|r| r.body) {
            Ok(Body::Lease { ttl_s: 0, .. }) => {
                if tenure.confirmed.take().is_some() {
                    log::warn!(term = tenure.term; "the owner's lease is gone");
                }
            }
            Ok(_) => {
                let confirmed = tenure.confirmed.get().map(|c| c.max(sent));
                tenure.confirmed.set(confirmed);
            }
            Err(fault) => log::debug!(fault:? = fault; "the owner's lease wasn't renewed"),
        }
    }

    /// Gives the owner's key up, so that another daemon takes over at once.
    async fn hand_over(&self, tenure: &Tenure) {
        let txn = Txn {
            when: vec![Compare::Changed(OWNER_KEY.to_owned(), tenure.key)],
            then: vec![Op::Delete(OWNER_KEY.to_owned())],
            other: Vec::new(),
        };
        let outcome = self.store.call(&store::Call::Txn(txn)).await;
        let given = matches!(outcome.map(|r| r.body), Ok(Body::Txn(d)) if d.held);
        log::info!(term = tenure.term, given; "this daemon is no longer the owner");
    }
}

/// Aborts a task when it is dropped.
struct Abort(JoinHandle<()>);

impl Drop for Abort {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn get_call(key: &str) -> store::Call {
    store::Call::Txn(Txn {
        then: vec![Op::Get(key.to_owned())],
        ..Txn::default()
    })
}

fn first_pair(done: Done) -> Option<Pair> {
    done.outcomes.into_iter().find_map(|o| match o {
        Outcome::Pairs(pairs) => pairs.into_iter().next(),
        Outcome::Done | Outcome::Txn(_) => None,
    })
}
