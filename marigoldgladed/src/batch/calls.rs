//! The way of a call through an entry daemon: to the owner, or to the store when there is none.

use std::rc::Rc;

use marigoldglade::batch::id::JobId;
use marigoldglade::batch::messages::{Call, JobStatus, Message, Reply, Submission};
use marigoldglade::batch::record::{Record, State};
use marigoldglade::prelude::*;
use marigoldglade::store::{self, Body, Compare, Fault, Op, Txn};

use crate::batch::store::pause;
use crate::batch::{Node, clock, wall_ms};

/// The time that the owner has to answer, in milliseconds; source: many times a commit's, and a
/// third of the callers' usual patience.
const OWNER_MS: u64 = 900;
/// The time that a peer has for a call in this daemon's place, in milliseconds.
pub(super) const RELAY_MS: u64 = 1_200;
/// How long a call whose outcome isn't known is tried again, in milliseconds; source: half of the
/// callers' usual patience.
const UNSURE_MS: u64 = 1_600;
/// When a caller that was refused is to come back, in milliseconds.
pub(super) const RETRY_MS: u64 = 1_000;

/// Under which keys jobs are kept.
pub(super) const JOB_PREFIX: &str = "mg/jobs/";
/// Under which keys daemons leave work for the owner.
pub(super) const INBOX_PREFIX: &str = "mg/in/";
/// Jobs left for the owner.
pub(super) const SUBMIT_PREFIX: &str = "mg/in/s/";
/// Cancels left for the owner.
pub(super) const CANCEL_PREFIX: &str = "mg/in/c/";

/// Returns the key of a job's record.
pub(super) fn job_key(id: JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

fn submit_key(id: JobId) -> String {
    format!("{SUBMIT_PREFIX}{id}")
}

/// What a try at a call came to.
enum Tried {
    Answered(Reply),
    /// Nothing was done.
    Nothing,
    /// Something may have been done.
    Unsure,
}

impl Node {
    /// Makes a call of a caller, who waits until `end`.
    pub(super) async fn make_call(self: &Rc<Self>, call: Call, end: UnixMs) -> Reply {
        // A caller that is told early that the outcome isn't known can ask another daemon.
        let end = end.min(clock::now().after(UNSURE_MS));
        let mut sure = true;
        loop {
            match self.try_call(&call, end, true).await {
                Tried::Answered(reply) => return reply,
                Tried::Nothing => {}
                Tried::Unsure => sure = false,
            }
            // Reads are harmless; and a submission that provably has no effect is refused at once.
            let write = matches!(call, Call::Submit(_) | Call::Cancel(_));
            if sure || !write {
                return Reply::Refused(RETRY_MS);
            }
            if clock::now() >= end {
                return Reply::Unsure;
            }
            pause().await;
        }
    }

    /// Makes a call in the place of a peer that the store turns away.
    pub(super) async fn relayed(self: &Rc<Self>, call: Call, end: UnixMs) -> Reply {
        match self.try_call(&call, end, false).await {
            Tried::Answered(reply) => reply,
            Tried::Nothing => Reply::NotOwner,
            Tried::Unsure => Reply::Unsure,
        }
    }

    async fn try_call(self: &Rc<Self>, call: &Call, end: UnixMs, relay: bool) -> Tried {
        let mut sure = true;
        match self.ask_owner(call, end).await {
            Ok(Reply::NotOwner) => {}
            Ok(Reply::Unsure) => sure = false,
            // Only the store can say that there is no such job.
            Ok(Reply::Unknown) => {}
            Ok(reply) => return Tried::Answered(reply),
            Err(e) => sure = e.kind == Kind::NoTarget,
        }
        let direct = match call {
            // Others watch for its return; a call would only wait for its timeout.
            _ if self.store.is_lost() => Err(Fault::NotSent),
            Call::Submit(submission) => self.submit_direct(submission).await,
            Call::Status(id) => self.status_direct(*id).await,
            Call::Cancel(id) => self.cancel_direct(*id).await,
            Call::Pending(_) => return Tried::Nothing,
        };
        match direct {
            Ok(reply) => return Tried::Answered(reply),
            Err(Fault::Unknown) => sure = false,
            Err(Fault::NotSent | Fault::Refused) => {}
        }
        if relay && self.store.is_lost() {
            match self.relay(call, end).await {
                Ok(Reply::NotOwner) => {}
                Ok(Reply::Unsure) => sure = false,
                Ok(reply) => return Tried::Answered(reply),
                Err(e) => sure &= e.kind == Kind::NoTarget,
            }
        }
        if sure { Tried::Nothing } else { Tried::Unsure }
    }

    async fn ask_owner(self: &Rc<Self>, call: &Call, end: UnixMs) -> Result<Reply> {
        if self.term.get().is_some() {
            return Ok(self.owner_call(call.clone()).await);
        }
        let owner = self.view.borrow().owner.clone();
        let Some(known) = owner.filter(|k| k.owner.name != self.name) else {
            return Ok(Reply::NotOwner);
        };
        let end = end.min(clock::now().after(OWNER_MS));
        let question = Message::Call(call.clone());
        match self.peers.ask(known.owner.addr, question, end).await? {
            Message::Reply(reply) => Ok(reply),
            _ => Err(Error::new(
                Kind::Unknown,
                "the owner answered something else",
            )),
        }
    }

    async fn relay(&self, call: &Call, end: UnixMs) -> Result<Reply> {
        let addrs = self.peer_addrs();
        if addrs.is_empty() {
            return Ok(Reply::NotOwner);
        }
        let pick = usize::try_from(clock::now().0).unwrap_or(0) % addrs.len();
        let end = end.min(clock::now().after(RELAY_MS));
        let question = Message::Relay(call.clone());
        match self.peers.ask(addrs[pick], question, end).await? {
            Message::Reply(reply) => Ok(reply),
            _ => Err(Error::new(
                Kind::Unknown,
                "the peer answered something else",
            )),
        }
    }

    async fn submit_direct(&self, submission: &Submission) -> std::result::Result<Reply, Fault> {
        let id = &submission.id;
        let record = submission.clone().into_record(wall_ms());
        let value = record.encode().map_err(|e| {
            log::error!(job = id.as_str(), error:% = e; "a record can't be encoded");
            Fault::NotSent
        })?;
        let txn = Txn {
            when: vec![
                Compare::Absent(job_key(*id)),
                Compare::Absent(submit_key(*id)),
            ],
            then: vec![Op::Put(submit_key(*id), value, 0)],
            other: Vec::new(),
        };
        match self.store.call(&store::Call::Txn(txn)).await?.body {
            Body::Txn(done) => {
                log::info!(job = id.as_str(), fresh = done.held; "job accepted without the owner");
                Ok(Reply::Accepted)
            }
            _ => Err(Fault::Unknown),
        }
    }

    /// Reads a job's record, or what was left for the owner of it.
    async fn find(&self, id: JobId) -> std::result::Result<Option<Record>, Fault> {
        // In this order, since the owner moves records from the first key to the second.
        for key in [submit_key(id), job_key(id)] {
            if let Some(pair) = self.store.get(&key).await? {
                let record = Record::decode(&pair.value);
                return record.map(Some).map_err(|e| {
                    log::error!(key = key.as_str(), error:% = e; "a record can't be read");
                    Fault::Unknown
                });
            }
        }
        Ok(None)
    }

    async fn status_direct(&self, id: JobId) -> std::result::Result<Reply, Fault> {
        let Some(record) = self.find(id).await? else {
            return Ok(Reply::Unknown);
        };
        Ok(Reply::State(match record.state {
            State::Done => JobStatus::Done,
            State::Failed => JobStatus::Failed,
            State::Cancelled => JobStatus::Cancelled,
            State::Open if record.tasks.is_empty() => JobStatus::Queued,
            State::Open => JobStatus::Running,
        }))
    }

    async fn cancel_direct(&self, id: JobId) -> std::result::Result<Reply, Fault> {
        let Some(record) = self.find(id).await? else {
            return Ok(Reply::Unknown);
        };
        if record.state != State::Open {
            return Ok(Reply::Cancelled);
        }
        let txn = Txn {
            then: vec![Op::Put(format!("{CANCEL_PREFIX}{id}"), Vec::new(), 0)],
            ..Txn::default()
        };
        self.store.call(&store::Call::Txn(txn)).await?;
        log::info!(job = id.as_str(); "cancel accepted without the owner");
        Ok(Reply::Cancelled)
    }
}
