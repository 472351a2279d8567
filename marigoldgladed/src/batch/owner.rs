//! Ownership of the jobs: claims it, renews it, and runs the engine while it lasts.

mod driver;
mod evacuations;
mod inputs;
mod predecessors;
mod relays;

use std::cell::Cell;
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marigoldglade::batch::engine::{Bounds, Engine, Event, InitialState, UNCONFIRMED_LIMIT_MS};
use marigoldglade::batch::evacuations::Evacuations;
use marigoldglade::batch::links::WORKERS_PER_RELAY;
use marigoldglade::batch::messages::{Call, Owner, RelayedResponse, Reply};
use marigoldglade::batch::record::Record;
use marigoldglade::batch::succession::{
    ORDER_MARGIN_MS, OWNER_LEASE_S, active_predecessors, starts_end,
};
use marigoldglade::batch::worker::{Order, Target};
use marigoldglade::batch::worker_list;
use marigoldglade::store::{
    self, Body, Compare, Fault, Op, Outcome, Pair, Revision, Txn, TxnResult,
};
use marigoldglade::time::{SECOND_MS, UnixMs};
use strum::IntoStaticStr;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, spawn_local};

use crate::batch::calls::{INBOX_PREFIX, JOB_PREFIX};
use crate::batch::live::{OWNER_KEY, decode, decode_or_default, encode};
use crate::batch::{Node, boot_ms, clock, wall_ms};

/// The time between renewals of the owner's lease, in milliseconds: a third of the lease.
const OWNER_RENEWAL_MS: u64 = 300;
/// The time after its last confirmed renewal at which an owner steps down, in milliseconds. A new owner
/// waits for [`UNCONFIRMED_LIMIT_MS`]; the difference is the time for which an order may be under way.
const STEP_DOWN_AFTER_MS: u64 = UNCONFIRMED_LIMIT_MS - ORDER_MARGIN_MS;
/// The time between two checks whether the ownership has ended, in milliseconds; a newer owner and the
/// daemon's stop are noticed at once.
const ENDED_CHECK_MS: u64 = 100;
/// The delay before a claim for each daemon that is preferred to this one as the owner, in
/// milliseconds.
const RANK_DELAY_MS: u64 = 40;
/// The time between a failed claim and the next attempt, in milliseconds.
const CLAIM_RETRY_MS: u64 = 250;
/// How long no further daemon must have announced itself before the first owner starts, in
/// milliseconds, and the longest wait for that.
const DAEMONS_QUIET_MS: u64 = 300;
const DAEMONS_LIMIT_MS: u64 = 2_000;
/// How long a daemon on a small VM stays the owner before it hands over to one on a larger VM, in
/// milliseconds; the larger ones had reasons not to claim, such as an outage.
const HANDOVER_AFTER_MS: u64 = 3_000;
/// The shortest time between two such handovers by one daemon, in milliseconds: the larger daemons
/// may be unable to claim.
const HANDOVER_GAP_MS: u64 = 30_000;
/// The age up to which a job that an owner loads is logged, in milliseconds, and the most such jobs.
const RECENT_MS: u64 = 5_000;
const RECENT_LIMIT: usize = 64;
/// The key of the last commit's term and number. Each commit requires that it is unchanged, so that
/// an owner which has been replaced can't write.
const SEQ_KEY: &str = "mg/seq";
/// The key of the record of learned run times.
const LEARNED_KEY: &str = "mg/learned";
/// The key of the list of owners, the newest last. Only the newest owner and those that may still act
/// are kept.
const OWNERS_KEY: &str = "mg/owners";
/// The maximum number of entries in one commit: the store takes 32 in a transaction, of which the
/// condition and the commit number take two, and the list of workers up to six.
const COMMIT_ENTRIES: usize = 24;

/// An input of the engine's task.
pub(super) enum Input {
    Event(Event),
    Call(Call, oneshot::Sender<Reply>),
    /// Responses of workers that a relay sent, and whether it stops.
    Relayed(SocketAddr, Vec<RelayedResponse>, bool),
    /// The link with this number to a relay broke or couldn't be opened.
    RelayFailed(SocketAddr, u64),
}

/// The term and number of the last commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct Seq {
    term: u64,
    number: u64,
}

/// How an ownership ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// The owner gives it up; callers that wait for a commit still get their answer.
    Planned,
    /// Another daemon is, or may be, the owner.
    Lost,
}

/// Why an ownership ends.
#[derive(Clone, Copy, Debug, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum EndReason {
    /// The daemon stops.
    Planned,
    /// A daemon on a larger VM is to be the owner.
    Handover,
    /// The store hasn't confirmed it for too long.
    Unconfirmed,
    /// The store says that the lease has expired.
    LeaseExpired,
    /// A newer owner is known.
    Replaced,
    /// A worker, or a commit, has seen a newer owner.
    Fenced,
}

/// The ownership of the jobs in one term.
struct Ownership {
    term: u64,
    lease: i64,
    /// The revision of this owner's last change of [`SEQ_KEY`].
    seq_revision: Cell<Revision>,
    /// The number of parts of the list of workers in the store.
    worker_parts: Cell<usize>,
    /// The revision at which this owner wrote [`OWNER_KEY`].
    key_revision: Revision,
    /// When the last grant or renewal that the store has confirmed was sent, by [`boot_ms`]; `None`
    /// once the lease has expired.
    confirmed: Cell<Option<u64>>,
    /// The earlier owners that may still act.
    predecessors: Vec<Owner>,
    /// Why it ends, and how long ago the store had last confirmed it then; only the log uses it.
    end: Cell<Option<(EndReason, u64)>>,
}

impl Ownership {
    /// Notes why the ownership ends; the first reason counts.
    fn note_end(&self, why: EndReason) {
        if self.end.get().is_none() {
            let confirmed = self.confirmed.get().unwrap_or_default();
            self.end
                .set(Some((why, boot_ms().saturating_sub(confirmed))));
        }
    }

    /// Logs the end of the ownership, when the engine knew this many runs.
    fn log_end(&self, runs: usize) {
        if let Some((why, confirmed_ms)) = self.end.get() {
            let level = match why {
                EndReason::Planned | EndReason::Handover => log::Level::Info,
                _ => log::Level::Warn,
            };
            let why: &'static str = why.into();
            log::log!(level, why, term = self.term, confirmed_ms, runs; "the ownership ends");
        }
    }

    /// Returns the latest time to send a start, by [`boot_ms`].
    fn starts_end(&self) -> u64 {
        starts_end(self.confirmed.get().unwrap_or(0))
    }

    /// Returns the latest time to send an order that is given after a check of the ownership at `checked_at`,
    /// by [`boot_ms`].
    fn send_by(&self, order: &Order, checked_at: u64) -> u64 {
        let limit = checked_at + ORDER_MARGIN_MS;
        match order {
            Order::Start(_) => limit.min(self.starts_end()),
            Order::Stop(_) | Order::Renew(_) | Order::SetPace(_) => limit,
        }
    }

    /// Returns a time by which the store has confirmed that there was no newer owner, on the engine's clock.
    /// Unlike [`boot_ms`], that doesn't count suspends; the time is then earlier than needed.
    fn confirmed_at(&self) -> UnixMs {
        // A freeze between the two readings makes the time earlier.
        let now = clock::now();
        let confirmed = self.confirmed.get();
        let age_ms = confirmed.map_or(u64::MAX, |at| boot_ms().saturating_sub(at));
        now.before(age_ms)
    }
}

/// Returns the condition that a key is as it was when it was read.
pub(super) fn unchanged(key: &str, pair: Option<&Pair>) -> Compare {
    match pair {
        Some(pair) => Compare::Changed(key.to_owned(), pair.changed),
        None => Compare::Absent(key.to_owned()),
    }
}

impl Node {
    /// Answers a call when this daemon is the owner.
    pub(super) async fn answer_as_owner(&self, call: Call) -> Reply {
        let engine = self.engine.borrow().clone();
        let Some(engine) = engine else {
            return Reply::NotOwner;
        };
        let (answer, answered) = oneshot::channel();
        if engine.send(Input::Call(call, answer)).is_err() {
            return Reply::NotOwner;
        }
        // Without an answer, the engine's task may have ended after it committed the call.
        answered.await.unwrap_or(Reply::Unsure)
    }

    /// Claims the ownership whenever there is no owner, until the daemon stops.
    pub(super) async fn seek_ownership(self: Rc<Self>) {
        let mut policy = self.policy.subscribe();
        let _ = policy.wait_for(Option::is_some).await;
        let mut view = self.view.subscribe();
        loop {
            let name = self.name.clone();
            let vacant = view.wait_for(|v| {
                let held_by_self = v
                    .owner
                    .as_ref()
                    .is_some_and(|k| k.owner.name == name && k.changed.is_some());
                v.vacant || held_by_self
            });
            if vacant.await.is_err() || self.stop.is_stopping() {
                return;
            }
            let delay = u64::try_from(self.count_preferred()).unwrap_or(0) * RANK_DELAY_MS;
            tokio::time::sleep(Duration::from_millis(delay)).await;
            match self.claim().await {
                Some(ownership) => self.act_as_owner(ownership).await,
                None => {
                    self.term.set(None);
                    tokio::time::sleep(Duration::from_millis(CLAIM_RETRY_MS)).await;
                }
            }
            if self.stop.is_stopping() {
                return;
            }
        }
    }

    /// Tries to become the owner; returns the ownership when the claim has succeeded. The daemon's term
    /// is set once the claim is sent, whatever its outcome.
    async fn claim(&self) -> Option<Ownership> {
        let (former, seq, owners) = tokio::join!(
            self.store.get(OWNER_KEY),
            self.store.get(SEQ_KEY),
            self.store.get(OWNERS_KEY),
        );
        let (former, seq, owners) = (former.ok()?, seq.ok()?, owners.ok()?);
        if let Some(pair) = &former {
            let owner: Owner = decode(pair)?;
            // A key that still exists is only taken over from an earlier process of this daemon,
            // which certainly no longer runs.
            if owner.name != self.name || owner.incarnation == self.incarnation {
                // The key may have been deleted since it was read.
                self.view
                    .send_modify(|v| v.vacant &= pair.changed <= v.vacant_revision);
                return None;
            }
        }
        let confirmed = boot_ms();
        let lease = self.grant_lease(OWNER_LEASE_S).await?;
        let last: Seq = decode_or_default(seq.as_ref())
            .inspect_err(|e| log::error!(error:% = e; "can't decode the last commit's number"))
            .ok()?;
        let history: Vec<Owner> = decode_or_default(owners.as_ref())
            .inspect_err(|e| log::error!(error:% = e; "can't decode the list of owners"))
            .ok()?;
        let predecessors = active_predecessors(&history, &self.name, wall_ms());
        let term = last.term + 1;
        let owner = Owner {
            name: self.name.clone(),
            incarnation: self.incarnation,
            addr: self.settings.borrow().mesh,
            term,
            since: wall_ms(),
        };
        let listed: Vec<&Owner> = predecessors.iter().chain([&owner]).collect();
        let txn = Txn {
            // The three reads aren't a snapshot; without the last condition, an owner that came and went
            // between them would be missing from the list.
            when: vec![
                unchanged(OWNER_KEY, former.as_ref()),
                unchanged(SEQ_KEY, seq.as_ref()),
                unchanged(OWNERS_KEY, owners.as_ref()),
            ],
            then: vec![
                Op::Put(OWNER_KEY.to_owned(), encode(&owner), lease),
                Op::Put(SEQ_KEY.to_owned(), encode(&Seq { term, number: 0 }), 0),
                Op::Put(OWNERS_KEY.to_owned(), encode(&listed), 0),
            ],
            other: Vec::new(),
        };
        // Until the outcome is known, this daemon may become the owner, and a later one mustn't be told
        // that it has ended.
        self.term.set(Some(term));
        let revision = match self.store.call(&store::Call::Txn(txn)).await {
            Ok(reply) => match reply.body {
                Body::Txn(TxnResult { held: true, .. }) => reply.revision,
                _ => {
                    log::info!(term; "another daemon was first to become the owner");
                    return None;
                }
            },
            Err(Fault::Unknown) => self.confirm_claim(&owner).await?,
            Err(_) => return None,
        };
        let former = history.last();
        log::info!(
            term, daemon = self.name.as_str(), former = former.map_or("", |o| o.name.as_str()),
            former_term = former.map_or(0, |o| o.term), predecessors = predecessors.len();
            "this daemon is the owner"
        );
        Some(Ownership {
            term,
            lease,
            seq_revision: Cell::new(revision),
            worker_parts: Cell::new(0),
            key_revision: revision,
            confirmed: Cell::new(Some(confirmed)),
            predecessors,
            end: Cell::default(),
        })
    }

    /// Checks whether a claim whose outcome isn't known has succeeded.
    async fn confirm_claim(&self, owner: &Owner) -> Option<Revision> {
        let pair = self.store.get(OWNER_KEY).await.ok()??;
        (decode::<Owner>(&pair)? == *owner).then_some(pair.changed)
    }

    /// Acts as the owner until the ownership ends.
    async fn act_as_owner(self: &Rc<Self>, ownership: Ownership) {
        self.run_ownership(&Rc::new(ownership)).await;
        self.term.set(None);
        self.metrics.term.set(0);
        self.metrics.evacuated.set(0);
    }

    /// Loads the stored state, runs the engine until the ownership ends, and then releases it. An
    /// ownership that ends while the state is loaded isn't released; its lease expires.
    async fn run_ownership(self: &Rc<Self>, ownership: &Rc<Ownership>) {
        let began = clock::now();
        let renewal = spawn_local(Rc::clone(self).renew(Rc::clone(ownership)));
        let renewal = AbortOnDrop(renewal);
        let load = async {
            let (records, _) = self.store.list(JOB_PREFIX).await;
            let (workers, _) = self.store.list(worker_list::PREFIX).await;
            let learned = async {
                let (pairs, _) = self.store.list(LEARNED_KEY).await;
                pairs.into_iter().find(|p| p.key == LEARNED_KEY)
            };
            let learned = self.platform.learn_run_times.then_some(learned);
            let (learned, (inbox, inbox_since)) =
                tokio::join!(async { learned?.await }, self.store.list(INBOX_PREFIX),);
            let mut evacuations = Evacuations::default();
            let read_after = clock::now();
            let (evacuations_since, (entries, entries_since)) = tokio::join!(
                self.list_evacuations(&mut evacuations),
                self.store.list(platform::registry::PREFIX),
            );
            // A small fleet needs no relays.
            if ownership.term == 1 && entries.len() >= WORKERS_PER_RELAY {
                self.wait_daemons().await;
            }
            let entries = (entries, entries_since, read_after);
            let evacuations = (evacuations, evacuations_since);
            (
                records,
                workers,
                learned,
                inbox,
                inbox_since,
                entries,
                evacuations,
            )
        };
        let loaded = tokio::select! {
            loaded = load => loaded,
            _ = self.wait_ended(ownership) => {
                ownership.log_end(0);
                return;
            }
        };
        let (records, workers, learned, inbox, inbox_since, entries, evacuations) = loaded;
        let (entries, entries_since, read_after) = entries;
        let (evacuations, evacuations_since) = evacuations;
        ownership.worker_parts.set(workers.len());
        let initial = InitialState {
            term: ownership.term,
            records: inputs::read_records(&records),
            workers: workers
                .iter()
                .flat_map(|p| decode::<Vec<Target>>(p).unwrap_or_default())
                .collect(),
            evacuated: evacuations.dcs().clone(),
            has_predecessors: ownership.term > 1,
            predecessors_ended: ownership.predecessors.is_empty(),
            learned: learned.map(|pair| pair.value),
        };
        let Some(policy) = self.policy() else {
            return;
        };
        log::info!(
            term = ownership.term, jobs = initial.records.len(), workers = initial.workers.len(),
            entries = entries.len(), evacuated = initial.evacuated.len(), took_ms = clock::now().since(began),
            long_leases = initial.workers.iter().filter(|w| w.long_leases).count();
            "state loaded"
        );
        log_recent(ownership.term, &initial.records);
        let former = initial.workers.clone();
        let engine = Engine::new(self.bounds(), policy, initial, clock::now(), wall_ms());
        let (inputs, queue) = mpsc::unbounded_channel();
        let watches = [
            spawn_local(Rc::clone(self).follow_registry(
                entries,
                entries_since,
                read_after,
                former,
                inputs.clone(),
            )),
            spawn_local(Rc::clone(self).follow_inbox(inbox, inbox_since, inputs.clone())),
            spawn_local(Rc::clone(self).forward_policies(inputs.clone())),
            spawn_local(Rc::clone(self).follow_evacuations(
                evacuations,
                evacuations_since,
                inputs.clone(),
            )),
        ]
        .map(AbortOnDrop);
        let predecessors = (!ownership.predecessors.is_empty()).then(|| {
            let owners = ownership.predecessors.clone();
            AbortOnDrop(spawn_local(
                Rc::clone(self).wait_predecessors(owners, inputs.clone()),
            ))
        });
        *self.engine.borrow_mut() = Some(inputs.clone());
        self.metrics
            .term
            .set(i64::try_from(ownership.term).unwrap_or(i64::MAX));
        self.drive(engine, ownership, inputs, queue).await;
        *self.engine.borrow_mut() = None;
        self.term.set(None);
        drop((watches, renewal, predecessors));
        self.release(ownership).await;
    }

    /// Waits until no further daemons announce themselves, for a bounded time. When all start at the
    /// same time, the first owner otherwise connects to every worker itself.
    async fn wait_daemons(&self) {
        let deadline = clock::now().after(DAEMONS_LIMIT_MS);
        let mut view = self.view.subscribe();
        let mut known = 0;
        while !deadline.passed(clock::now()) {
            let quiet = Duration::from_millis(DAEMONS_QUIET_MS);
            let more = tokio::time::timeout(quiet, view.wait_for(|v| v.daemons.len() > known));
            match more.await {
                Ok(Ok(view)) => known = view.daemons.len(),
                Ok(Err(_)) | Err(_) => return,
            }
        }
    }

    fn bounds(&self) -> Bounds {
        let p = &self.platform;
        let ms = |s: f64| {
            Duration::try_from_secs_f64(s).map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0))
        };
        Bounds {
            lease_limit_ms: p.lease_limit_ms,
            retention_ms: ms(p.status_s) + 30 * SECOND_MS,
            commit_entries: COMMIT_ENTRIES,
            learn_run_times: p.learn_run_times,
        }
    }

    /// Returns whether another daemon is, or may be, the owner: the lease has expired, ownership hasn't
    /// been confirmed for too long, or a newer owner is known.
    fn has_lost(&self, ownership: &Ownership) -> bool {
        let Some(confirmed) = ownership.confirmed.get() else {
            ownership.note_end(EndReason::LeaseExpired);
            return true;
        };
        let unconfirmed_ms = boot_ms().saturating_sub(confirmed);
        if unconfirmed_ms > STEP_DOWN_AFTER_MS {
            ownership.note_end(EndReason::Unconfirmed);
            return true;
        }
        if self.known_term() > ownership.term {
            ownership.note_end(EndReason::Replaced);
            return true;
        }
        false
    }

    /// Waits until the daemon stops, the ownership is lost, or it is better given to a daemon on a
    /// larger VM.
    async fn wait_ended(&self, ownership: &Ownership) -> Ending {
        let settled_at = clock::now().after(HANDOVER_AFTER_MS);
        let mut view = self.view.subscribe();
        loop {
            if self.stop.is_stopping() {
                ownership.note_end(EndReason::Planned);
                return Ending::Planned;
            }
            if self.has_lost(ownership) {
                return Ending::Lost;
            }
            let now = clock::now();
            if settled_at.passed(now)
                && self.handover_after.get().passed(now)
                && self.has_larger_daemon()
                && self.store.lost_ms() == 0
            {
                ownership.note_end(EndReason::Handover);
                self.handover_after.set(now.after(HANDOVER_GAP_MS));
                return Ending::Planned;
            }
            tokio::select! {
                () = self.stop.wait_begun() => {}
                _ = view.changed() => {}
                () = tokio::time::sleep(Duration::from_millis(ENDED_CHECK_MS)) => {}
            }
        }
    }

    /// Renews the owner's lease until the store says that it has expired.
    ///
    /// A renewal doesn't wait for the previous one, whose answer may be slow or lost.
    async fn renew(self: Rc<Self>, ownership: Rc<Ownership>) {
        while ownership.confirmed.get().is_some() {
            tokio::time::sleep(Duration::from_millis(OWNER_RENEWAL_MS)).await;
            spawn_local(Rc::clone(&self).renew_once(Rc::clone(&ownership)));
        }
    }

    /// Sends one renewal and notes whether the store confirms the lease.
    async fn renew_once(self: Rc<Self>, ownership: Rc<Ownership>) {
        let sent = boot_ms();
        let call = store::Call::Renew {
            lease: ownership.lease,
        };
        match self.store.call(&call).await.map(|r| r.body) {
            Ok(Body::Lease { ttl_s: 0, .. }) => {
                ownership.note_end(EndReason::LeaseExpired);
                ownership.confirmed.set(None);
            }
            Ok(_) => {
                let confirmed = ownership.confirmed.get().map(|c| c.max(sent));
                ownership.confirmed.set(confirmed);
            }
            Err(fault) => log::debug!(fault:? = fault; "can't renew the owner's lease"),
        }
    }

    /// Deletes the owner's key, so that another daemon can become the owner at once.
    async fn release(&self, ownership: &Ownership) {
        let txn = Txn {
            when: vec![Compare::Changed(
                OWNER_KEY.to_owned(),
                ownership.key_revision,
            )],
            then: vec![Op::Delete(OWNER_KEY.to_owned())],
            other: Vec::new(),
        };
        let outcome = self.store.call(&store::Call::Txn(txn)).await;
        let released = matches!(outcome.map(|r| r.body), Ok(Body::Txn(d)) if d.held);
        log::info!(term = ownership.term, given = released; "this daemon is no longer the owner");
    }
}

/// Logs the jobs that were accepted shortly before an owner loaded them, the newest first: the daemon that
/// accepted them may have ended before it wrote its own lines.
fn log_recent(term: u64, records: &[Record]) {
    let age_ms = |r: &Record| wall_ms().saturating_sub(r.accepted_at);
    let mut recent: Vec<&Record> = records.iter().filter(|r| age_ms(r) < RECENT_MS).collect();
    recent.sort_by_key(|r| Reverse(r.accepted_at));
    for record in recent.into_iter().take(RECENT_LIMIT) {
        log::info!(job = record.id.as_str(), term, age_ms = age_ms(record); "job loaded");
    }
}

/// Aborts a task when it is dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn first_pair(done: TxnResult) -> Option<Pair> {
    done.outcomes.into_iter().find_map(|o| match o {
        Outcome::Pairs(pairs) => pairs.into_iter().next(),
        Outcome::Done | Outcome::Txn(_) => None,
    })
}
