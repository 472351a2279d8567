//! Group commit of one owner's records: one transaction in flight at a time, with many jobs in it.
//!
//! [`Writer::push`] queues a [`Write`]; [`Writer::flush`] appends the next numbered store call and
//! [`Writer::handle_reply`] the confirmations, both as [`Action`]s. Each transaction compares the
//! create revision of the owner's key, which fences a former owner, and the revision of the batch
//! key, which every transaction rewrites. The second comparison makes a transaction safe to
//! repeat when its answer was lost: if it took effect, the repeat finds the batch number in the
//! batch key, and if it didn't, a late first copy can't take effect after the repeat.

use std::collections::VecDeque;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use crate::plan::JobKey;
use crate::record::{batch_key, owner_key};
use crate::store::{Body, Call, Compare, Fault, Key, Op, Outcome, Reply, Revision, Txn, TxnResult};
use crate::time::UnixMs;

/// The most jobs in one transaction.
pub const BATCH_MAX_JOBS: usize = 60;
/// The most bytes of values in one transaction.
pub const BATCH_MAX_BYTES: usize = 768 << 10;
/// The shortest gap between two transactions, in milliseconds.
pub const WRITE_GAP_MS: u64 = 20;
/// The first and the longest wait after a failed call, in milliseconds.
const BACKOFF_MS: (u64, u64) = (100, 5_000);

/// What a write is for. Kinds that come first here are written first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteKind {
    /// The end of a job.
    End,
    /// A start, or a cancel of a running job.
    Change,
    /// A new job.
    Accept,
}

/// A write of one job's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The job whose record is written.
    pub job: JobKey,
    /// What the write is for.
    pub kind: WriteKind,
    /// The number of this write among the job's writes. A confirmation covers all writes up to its
    /// number.
    pub mark: u64,
    /// The key of the record.
    pub key: Key,
    /// The record.
    pub value: Vec<u8>,
    /// For a new job, the key that must be absent and its value.
    pub unique: Option<(Key, Vec<u8>)>,
}

/// What the writer asks its owner to do, or reports to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make the store call with this number; its kind is that of its most urgent write.
    Call(u64, WriteKind, Call),
    /// The job's writes up to this mark are durable.
    Written(JobKey, u64),
    /// The idempotency key is taken by the job with this id.
    KeyTaken(JobKey, String),
    /// The record of a new job wasn't written and won't be.
    Dropped(JobKey),
    /// Another owner has taken over, so this writer makes no further call.
    Deposed,
}

/// A transaction that isn't confirmed yet.
struct InFlight {
    /// The number of the call that awaits its reply; zero while waiting for the next try.
    number: u64,
    writes: Vec<Write>,
    /// Whether an earlier try may have taken effect.
    maybe_sent: bool,
}

/// The writer of one owner.
pub struct Writer {
    dc: String,
    epoch: u64,
    /// The number of the last transaction, which it writes to the batch key.
    batch: u64,
    /// The revision at which the batch key last changed, if known.
    batch_revision: Option<Revision>,
    queue: VecDeque<Write>,
    flight: Option<InFlight>,
    last_number: u64,
    /// The earliest time of the next call.
    next_call: UnixMs,
    faults: u32,
    deposed: bool,
    rng: ChaCha8Rng,
}

impl Writer {
    /// Makes the writer of the owner with this epoch.
    #[must_use]
    pub fn new(dc: &str, epoch: u64, rng: ChaCha8Rng) -> Self {
        Self {
            dc: dc.to_owned(),
            epoch,
            batch: 0,
            batch_revision: None,
            queue: VecDeque::new(),
            flight: None,
            last_number: 0,
            next_call: UnixMs(0),
            faults: 0,
            deposed: false,
            rng,
        }
    }

    /// Returns a new number for a store call.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns whether the last call failed, and the next try is under way or not yet due.
    #[must_use]
    pub fn is_down(&self, now: UnixMs) -> bool {
        self.faults > 0 && (self.flight.is_some() || now < self.next_call)
    }

    /// Queues a write. It replaces a queued write of the same job, unless that one creates the job.
    pub fn push(&mut self, write: Write) {
        let old = self.queue.iter_mut().find(|w| w.job == write.job);
        match old {
            Some(old) if old.unique.is_none() => {
                old.kind = old.kind.min(write.kind);
                old.mark = write.mark;
                old.value = write.value;
            }
            _ => self.queue.push_back(write),
        }
    }

    /// Makes the next call when one is due.
    pub fn flush(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if self.deposed || now < self.next_call {
            return;
        }
        if self.flight.is_none() {
            let writes = self.take_batch();
            if writes.is_empty() {
                return;
            }
            self.batch += 1;
            let (number, maybe_sent) = (0, false);
            self.flight = Some(InFlight {
                number,
                writes,
                maybe_sent,
            });
        }
        let number = self.next_number();
        let txn = self.txn();
        if let (Some(flight), Some(txn)) = (&mut self.flight, txn)
            && flight.number == 0
        {
            flight.number = number;
            let kind = flight.writes.iter().map(|w| w.kind).min();
            let kind = kind.unwrap_or(WriteKind::Accept);
            out.push(Action::Call(number, kind, Call::Txn(txn)));
        }
    }

    /// Handles the reply to the call with this number; replies to other calls are ignored.
    pub fn handle_reply(
        &mut self,
        now: UnixMs,
        number: u64,
        reply: &std::result::Result<Reply, Fault>,
        out: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flight.take_if(|f| f.number == number) else {
            return;
        };
        match reply {
            Ok(Reply {
                body: Body::Txn(result),
                ..
            }) => self.handle_result(now, flight, result, out),
            Ok(_) | Err(Fault::Unknown) => self.handle_failure(now, flight, true, out),
            Err(Fault::NotSent | Fault::Refused | Fault::Invalid) => {
                self.handle_failure(now, flight, false, out);
            }
        }
    }

    fn take_batch(&mut self) -> Vec<Write> {
        let mut order: Vec<usize> = (0..self.queue.len()).collect();
        order.sort_by_key(|&i| self.queue[i].kind);
        let mut bytes = 0;
        let mut taken: Vec<usize> = Vec::new();
        for i in order.into_iter().take(BATCH_MAX_JOBS) {
            bytes += self.queue[i].value.len();
            if bytes > BATCH_MAX_BYTES && !taken.is_empty() {
                break;
            }
            taken.push(i);
        }
        taken.sort_unstable();
        let take = |i: &usize| self.queue.remove(*i);
        taken.iter().rev().filter_map(take).collect()
    }

    fn batch_value(&self) -> Vec<u8> {
        format!("{} {}", self.epoch, self.batch).into_bytes()
    }

    fn txn(&self) -> Option<Txn> {
        let writes = &self.flight.as_ref()?.writes;
        let (owner, batch) = (owner_key(&self.dc), batch_key(&self.dc));
        let same = match self.batch_revision {
            Some(changed) => Compare::Changed(batch.clone(), changed),
            None => Compare::Absent(batch.clone()),
        };
        let mut then = vec![Op::Put(batch.clone(), self.batch_value(), 0)];
        then.extend(writes.iter().map(write_op));
        then.push(Op::Get(batch.clone()));
        let mut other = vec![Op::Get(owner.clone()), Op::Get(batch)];
        let unique = writes.iter().filter_map(|w| w.unique.as_ref());
        other.extend(unique.map(|(key, _)| Op::Get(key.clone())));
        Some(Txn {
            when: vec![Compare::Created(owner, self.epoch), same],
            then,
            other,
        })
    }

    fn handle_result(
        &mut self,
        now: UnixMs,
        flight: InFlight,
        result: &TxnResult,
        out: &mut Vec<Action>,
    ) {
        self.faults = 0;
        self.next_call = now.after(WRITE_GAP_MS);
        let batch_at = if result.held {
            result.outcomes.len().saturating_sub(1)
        } else {
            1
        };
        let Some((changed, value)) = pair(result, batch_at).map(|p| (p.changed, &p.value)) else {
            return self.handle_no_batch_key(now, flight, result, out);
        };
        self.batch_revision = Some(changed);
        if result.held {
            let outcomes = result.outcomes.iter().skip(1);
            return confirm(&flight.writes, outcomes.map(existing_value), out);
        }
        if pair(result, 0).is_none_or(|p| p.created != self.epoch) {
            return self.depose(flight, out);
        }
        if *value != self.batch_value() {
            return self.retry(flight);
        }
        let mut values = result.outcomes.iter().skip(2);
        let earlier = flight.writes.iter().map(|w| {
            let (_, ours) = w.unique.as_ref()?;
            let value = first_pair(values.next()).map(|p| p.value.clone())?;
            (value != *ours).then_some(value)
        });
        let earlier: Vec<_> = earlier.collect();
        confirm(&flight.writes, earlier.into_iter(), out);
    }

    /// Handles an answer without the batch key: no transaction was made yet, or the owner's key is
    /// gone.
    fn handle_no_batch_key(
        &mut self,
        now: UnixMs,
        flight: InFlight,
        result: &TxnResult,
        out: &mut Vec<Action>,
    ) {
        if result.held {
            return self.handle_failure(now, flight, true, out);
        }
        if pair(result, 0).is_none_or(|p| p.created != self.epoch) {
            return self.depose(flight, out);
        }
        self.batch_revision = None;
        self.retry(flight);
    }

    fn depose(&mut self, flight: InFlight, out: &mut Vec<Action>) {
        self.deposed = true;
        self.flight = Some(flight);
        out.push(Action::Deposed);
    }

    fn retry(&mut self, mut flight: InFlight) {
        flight.number = 0;
        self.flight = Some(flight);
    }

    /// Handles a call without a usable reply. The same transaction is tried again, since it may
    /// have taken effect. New jobs that were never sent are dropped, so that their callers soon get
    /// the answer that the job won't run.
    fn handle_failure(
        &mut self,
        now: UnixMs,
        mut flight: InFlight,
        sent: bool,
        out: &mut Vec<Action>,
    ) {
        self.next_call = now.after(self.backoff());
        self.faults = self.faults.saturating_add(1);
        flight.maybe_sent |= sent;
        self.queue.retain(|w| keep_existing(w, out));
        if !flight.maybe_sent {
            flight.writes.retain(|w| keep_existing(w, out));
        }
        if !flight.writes.is_empty() {
            self.retry(flight);
        }
    }

    fn backoff(&mut self) -> u64 {
        let (first, longest) = BACKOFF_MS;
        let full = first.saturating_mul(1 << self.faults.min(10)).min(longest);
        self.rng.random_range(full / 2..=full)
    }
}

/// Returns whether to keep the write after a failed call; a new job is reported as dropped.
fn keep_existing(write: &Write, out: &mut Vec<Action>) -> bool {
    let new = write.unique.is_some();
    if new {
        out.push(Action::Dropped(write.job));
    }
    !new
}

fn write_op(write: &Write) -> Op {
    let put = Op::Put(write.key.clone(), write.value.clone(), 0);
    let Some((key, value)) = &write.unique else {
        return put;
    };
    Op::Txn(Box::new(Txn {
        when: vec![Compare::Absent(key.clone())],
        then: vec![Op::Put(key.clone(), value.clone(), 0), put],
        other: vec![Op::Get(key.clone())],
    }))
}

fn confirm(writes: &[Write], taken: impl Iterator<Item = Option<Vec<u8>>>, out: &mut Vec<Action>) {
    for (write, taken) in writes.iter().zip(taken) {
        out.push(match taken {
            None => Action::Written(write.job, write.mark),
            Some(value) => Action::KeyTaken(write.job, job_id(&value)),
        });
    }
}

/// Returns the value of a unique key that existed before this transaction.
fn existing_value(outcome: &Outcome) -> Option<Vec<u8>> {
    match outcome {
        Outcome::Txn(result) if !result.held => pair(result, 0).map(|p| p.value.clone()),
        _ => None,
    }
}

/// Returns the value to store at a unique key: the job's id and the nonce of its record.
#[must_use]
pub fn unique_value(id: &str, nonce: u64) -> Vec<u8> {
    format!("{id} {nonce}").into_bytes()
}

/// Returns the job's id in the value of a unique key.
fn job_id(value: &[u8]) -> String {
    let text = String::from_utf8_lossy(value);
    text.split(' ').next().unwrap_or_default().to_owned()
}

fn first_pair(outcome: Option<&Outcome>) -> Option<&crate::store::Pair> {
    match outcome? {
        Outcome::Pairs(pairs) => pairs.first(),
        Outcome::Done | Outcome::Txn(_) => None,
    }
}

fn pair(result: &TxnResult, at: usize) -> Option<&crate::store::Pair> {
    first_pair(result.outcomes.get(at))
}
