//! Group commit of one owner's records: one transaction in flight, many jobs in each.
//!
//! [`Write`]s flow in, numbered store calls and confirmations flow out. Each transaction compares
//! the create revision of the owner's key, which fences a former owner, and the revision of a key
//! that every transaction rewrites. The latter makes a transaction safe to repeat when its answer
//! was lost: either it took effect once, and the repeat finds its own mark, or it never can.

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
/// The first and the longest wait after a fault, in milliseconds.
const BACKOFF_MS: (u64, u64) = (100, 5_000);

/// What a write is for; the first goes first.
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
    /// The job.
    pub job: JobKey,
    /// What it is for.
    pub kind: WriteKind,
    /// Grows with each write of the job; a confirmation covers all up to its mark.
    pub mark: u64,
    /// The key of the record.
    pub key: Key,
    /// The record.
    pub value: Vec<u8>,
    /// For a new job, the key that must be absent and its value.
    pub unique: Option<(Key, Vec<u8>)>,
}

/// What the writer tells its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make a store call, as urgent as the most urgent write in it.
    Call(u64, WriteKind, Call),
    /// The write with this mark, and those before it, are durable.
    Written(JobKey, u64),
    /// The idempotency key is taken by the job with this id.
    KeyTaken(JobKey, String),
    /// A new job surely wasn't written and won't be.
    Dropped(JobKey),
    /// Another owner has taken over; nothing is written any more.
    Deposed,
}

struct Flight {
    /// Number of the call that awaits its reply; zero while waiting for the next try.
    number: u64,
    writes: Vec<Write>,
    /// Whether a try may have taken effect.
    sent: bool,
}

/// The writer of one owner.
pub struct Writer {
    dc: String,
    epoch: u64,
    /// The mark that the transaction in flight leaves behind.
    batch: u64,
    batch_changed: Option<Revision>,
    queue: VecDeque<Write>,
    flight: Option<Flight>,
    numbers: u64,
    /// The earliest time of the next call.
    next: UnixMs,
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
            batch_changed: None,
            queue: VecDeque::new(),
            flight: None,
            numbers: 0,
            next: UnixMs(0),
            faults: 0,
            deposed: false,
            rng,
        }
    }

    /// Returns a fresh number for a store call.
    pub fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    /// Returns whether the store failed last and isn't due for another try.
    #[must_use]
    pub fn is_down(&self, now: UnixMs) -> bool {
        self.faults > 0 && (self.flight.is_some() || now < self.next)
    }

    /// Queues a write; a queued write of the same job is replaced.
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
        if self.deposed || now < self.next {
            return;
        }
        if self.flight.is_none() {
            let writes = self.take_batch();
            if writes.is_empty() {
                return;
            }
            self.batch += 1;
            let (number, sent) = (0, false);
            self.flight = Some(Flight {
                number,
                writes,
                sent,
            });
        }
        let number = self.number();
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

    /// Takes in the reply to the call with this number; others are ignored.
    pub fn replied(
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
                body: Body::Txn(done),
                ..
            }) => self.answered(now, flight, done, out),
            Ok(_) | Err(Fault::Unknown) => self.failed(now, flight, true, out),
            Err(Fault::NotSent | Fault::Refused) => self.failed(now, flight, false, out),
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

    fn mark(&self) -> Vec<u8> {
        format!("{} {}", self.epoch, self.batch).into_bytes()
    }

    fn txn(&self) -> Option<Txn> {
        let writes = &self.flight.as_ref()?.writes;
        let (owner, batch) = (owner_key(&self.dc), batch_key(&self.dc));
        let same = match self.batch_changed {
            Some(changed) => Compare::Changed(batch.clone(), changed),
            None => Compare::Absent(batch.clone()),
        };
        let mut then = vec![Op::Put(batch.clone(), self.mark(), 0)];
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

    fn answered(&mut self, now: UnixMs, flight: Flight, done: &TxnResult, out: &mut Vec<Action>) {
        self.faults = 0;
        self.next = now.after(WRITE_GAP_MS);
        let batch_at = if done.held {
            done.outcomes.len().saturating_sub(1)
        } else {
            1
        };
        let Some((changed, mark)) = pair(done, batch_at).map(|p| (p.changed, &p.value)) else {
            return self.unmatched(now, flight, done, out);
        };
        self.batch_changed = Some(changed);
        if done.held {
            let outcomes = done.outcomes.iter().skip(1);
            return confirm(&flight.writes, outcomes.map(taken_now), out);
        }
        if pair(done, 0).is_none_or(|p| p.created != self.epoch) {
            return self.depose(flight, out);
        }
        if *mark != self.mark() {
            return self.retry(flight);
        }
        let mut values = done.outcomes.iter().skip(2);
        let earlier = flight.writes.iter().map(|w| {
            let (_, ours) = w.unique.as_ref()?;
            let value = first_pair(values.next()).map(|p| p.value.clone())?;
            (value != *ours).then_some(value)
        });
        let earlier: Vec<_> = earlier.collect();
        confirm(&flight.writes, earlier.into_iter(), out);
    }

    /// The batch key is absent: the first transaction, or the owner's key is gone.
    fn unmatched(&mut self, now: UnixMs, flight: Flight, done: &TxnResult, out: &mut Vec<Action>) {
        if done.held {
            return self.failed(now, flight, true, out);
        }
        if pair(done, 0).is_none_or(|p| p.created != self.epoch) {
            return self.depose(flight, out);
        }
        self.batch_changed = None;
        self.retry(flight);
    }

    fn depose(&mut self, flight: Flight, out: &mut Vec<Action>) {
        self.deposed = true;
        self.flight = Some(flight);
        out.push(Action::Deposed);
    }

    fn retry(&mut self, mut flight: Flight) {
        flight.number = 0;
        self.flight = Some(flight);
    }

    /// Nothing is known of a call that may have been sent, so the same is tried again. New jobs
    /// that surely weren't sent are dropped, so that their callers hear "not run" soon.
    fn failed(&mut self, now: UnixMs, mut flight: Flight, sent: bool, out: &mut Vec<Action>) {
        self.next = now.after(self.backoff());
        self.faults = self.faults.saturating_add(1);
        flight.sent |= sent;
        self.queue.retain(|w| keeps(w, out));
        if !flight.sent {
            flight.writes.retain(|w| keeps(w, out));
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

/// Drops a new job, and keeps every other write.
fn keeps(write: &Write, out: &mut Vec<Action>) -> bool {
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
            Some(value) => Action::KeyTaken(write.job, taken_by(&value)),
        });
    }
}

/// Returns the value of a unique key that was there before this transaction.
fn taken_now(outcome: &Outcome) -> Option<Vec<u8>> {
    match outcome {
        Outcome::Txn(done) if !done.held => pair(done, 0).map(|p| p.value.clone()),
        _ => None,
    }
}

/// Returns the value of a unique key: the job's id and the accept's nonce.
#[must_use]
pub fn unique_value(id: &str, nonce: u64) -> Vec<u8> {
    format!("{id} {nonce}").into_bytes()
}

fn taken_by(value: &[u8]) -> String {
    let text = String::from_utf8_lossy(value);
    text.split(' ').next().unwrap_or_default().to_owned()
}

fn first_pair(outcome: Option<&Outcome>) -> Option<&crate::store::Pair> {
    match outcome? {
        Outcome::Pairs(pairs) => pairs.first(),
        Outcome::Done | Outcome::Txn(_) => None,
    }
}

fn pair(done: &TxnResult, at: usize) -> Option<&crate::store::Pair> {
    first_pair(done.outcomes.get(at))
}
