//! How the daemon that received a caller's call makes it: through the owner, or directly in the store
//! when the owner can't be reached.

use std::rc::Rc;

use marigoldglade::batch::admission::outage_retry_ms;
use marigoldglade::batch::id::JobId;
use marigoldglade::batch::messages::{Call, JobStatus, Message, Reply, Submission};
use marigoldglade::batch::record::{Record, State};
use marigoldglade::prelude::*;
use marigoldglade::store::{self, Body, Compare, Fault, Op, Txn};

use crate::batch::store::pause;
use crate::batch::{Node, clock, wall_ms};

/// The longest time that the owner may take to answer, in milliseconds: many times what a commit
/// takes, and a third of the time that callers usually wait.
const OWNER_TIMEOUT_MS: u64 = 900;
/// The longest time that a peer may take for a call that it makes on this daemon's behalf, in
/// milliseconds.
pub(super) const RELAY_TIMEOUT_MS: u64 = 1_200;
/// How long a call whose outcome isn't known is retried, in milliseconds: about half of the time that
/// callers usually wait.
const UNSURE_LIMIT_MS: u64 = 1_600;
/// The time after which a refused caller should try again, in milliseconds.
pub(super) const RETRY_AFTER_MS: u64 = 1_000;

/// The prefix of the keys of job records.
pub(super) const JOB_PREFIX: &str = "mg/jobs/";
/// The prefix of the owner's inbox, in which daemons leave submissions and cancels.
pub(super) const INBOX_PREFIX: &str = "mg/in/";
/// The prefix of the submissions in the owner's inbox.
pub(super) const SUBMIT_PREFIX: &str = "mg/in/s/";
/// The prefix of the cancels in the owner's inbox.
pub(super) const CANCEL_PREFIX: &str = "mg/in/c/";

/// Returns the key of a job's record.
pub(super) fn job_key(id: JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

fn submit_key(id: JobId) -> String {
    format!("{SUBMIT_PREFIX}{id}")
}

/// The result of one attempt at a call.
enum Attempt {
    /// The call was answered.
    Answered(Reply),
    /// The attempt certainly had no effect.
    NoEffect,
    /// The attempt may have had an effect.
    Unsure,
}

impl Node {
    /// Makes a call for a caller, who waits for the reply until `deadline`.
    pub(super) async fn make_call(self: &Rc<Self>, call: Call, deadline: UnixMs) -> Reply {
        // A caller that learns early that the outcome isn't known can try another daemon.
        let deadline = deadline.min(clock::now().after(UNSURE_LIMIT_MS));
        let mut sure = true;
        loop {
            match self.try_call(&call, deadline, true).await {
                Attempt::Answered(reply) => return reply,
                Attempt::NoEffect => {}
                Attempt::Unsure => sure = false,
            }
            // A read has no effect, and a write that certainly had none can be refused at once.
            let write = matches!(call, Call::Submit(_) | Call::Cancel(_));
            if sure || !write {
                return Reply::Refused(outage_retry_ms(self.store.lost_ms(), rand::random()));
            }
            if clock::now() >= deadline {
                return Reply::Unsure;
            }
            pause().await;
        }
    }

    /// Makes a call on behalf of a peer that can't reach the store.
    pub(super) async fn make_relayed_call(self: &Rc<Self>, call: Call, deadline: UnixMs) -> Reply {
        match self.try_call(&call, deadline, false).await {
            Attempt::Answered(reply) => reply,
            Attempt::NoEffect => Reply::NotOwner,
            Attempt::Unsure => Reply::Unsure,
        }
    }

    /// Makes one attempt at a call: through the owner, then in the store, and with `relay` through a
    /// peer when the store is lost.
    async fn try_call(self: &Rc<Self>, call: &Call, deadline: UnixMs, relay: bool) -> Attempt {
        let mut sure = true;
        match self.call_owner(call, deadline).await {
            Ok(Reply::NotOwner) => {}
            Ok(Reply::Unsure) => sure = false,
            // Only the store knows for sure that a job doesn't exist.
            Ok(Reply::Unknown) => {}
            Ok(reply) => return Attempt::Answered(reply),
            Err(e) => sure = e.kind == Kind::NoTarget,
        }
        let write = matches!(call, Call::Submit(_) | Call::Cancel(_));
        let direct = match call {
            // Another task probes whether the store is back; a call would only time out.
            _ if self.store.is_lost() => Err(Fault::NotSent),
            // A write without an answer leaves the caller in doubt. An owner that refuses writes has
            // often met an outage that this daemon hasn't noticed yet, so a read goes first.
            _ if write && !self.store.probe().await => Err(Fault::NotSent),
            Call::Submit(submission) => self.submit_to_inbox(submission).await,
            Call::Status(id) => self.read_status(*id).await,
            Call::Cancel(id) => self.cancel_in_inbox(*id).await,
            Call::Pending(_) => return Attempt::NoEffect,
        };
        match direct {
            Ok(reply) => return Attempt::Answered(reply),
            Err(Fault::Unknown) => sure = false,
            Err(Fault::NotSent | Fault::Refused) => {}
        }
        if relay && self.store.is_lost() {
            match self.call_peer(call, deadline).await {
                Ok(Reply::NotOwner) => {}
                Ok(Reply::Unsure) => sure = false,
                Ok(reply) => return Attempt::Answered(reply),
                Err(e) => sure &= e.kind == Kind::NoTarget,
            }
        }
        if sure {
            Attempt::NoEffect
        } else {
            Attempt::Unsure
        }
    }

    async fn call_owner(self: &Rc<Self>, call: &Call, deadline: UnixMs) -> Result<Reply> {
        if self.term.get().is_some() {
            return Ok(self.answer_as_owner(call.clone()).await);
        }
        let owner = self.view.borrow().owner.clone();
        let Some(known) = owner.filter(|k| k.owner.name != self.name) else {
            return Ok(Reply::NotOwner);
        };
        let deadline = deadline.min(clock::now().after(OWNER_TIMEOUT_MS));
        let request = Message::Call(call.clone());
        match self
            .peers
            .request(known.owner.addr, request, deadline)
            .await?
        {
            Message::Reply(reply) => Ok(reply),
            _ => Err(Error::new(
                Kind::Unknown,
                "the owner's response isn't a reply to the call",
            )),
        }
    }

    /// Has a peer make the call on behalf of this daemon.
    async fn call_peer(&self, call: &Call, deadline: UnixMs) -> Result<Reply> {
        let addrs = self.peer_addrs();
        if addrs.is_empty() {
            return Ok(Reply::NotOwner);
        }
        let pick = usize::try_from(clock::now().0).unwrap_or(0) % addrs.len();
        let deadline = deadline.min(clock::now().after(RELAY_TIMEOUT_MS));
        let request = Message::Relay(call.clone());
        match self.peers.request(addrs[pick], request, deadline).await? {
            Message::Reply(reply) => Ok(reply),
            _ => Err(Error::new(
                Kind::Unknown,
                "the peer's response isn't a reply to the call",
            )),
        }
    }

    /// Leaves a submission in the owner's inbox, unless the job is already on record.
    async fn submit_to_inbox(&self, submission: &Submission) -> std::result::Result<Reply, Fault> {
        let id = &submission.id;
        let record = submission.clone().into_record(wall_ms());
        let value = record.encode().map_err(|e| {
            log::error!(job = id.as_str(), error:% = e; "can't encode a job record");
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

    /// Reads a job's record from the owner's inbox or from the job's own key.
    async fn find_record(&self, id: JobId) -> std::result::Result<Option<Record>, Fault> {
        // The owner moves a record from the first key to the second, so reading them in this order
        // can't miss it.
        for key in [submit_key(id), job_key(id)] {
            if let Some(pair) = self.store.get(&key).await? {
                let record = Record::decode(&pair.value);
                return record.map(Some).map_err(|e| {
                    log::error!(key = key.as_str(), error:% = e; "can't decode a job record");
                    Fault::Unknown
                });
            }
        }
        Ok(None)
    }

    async fn read_status(&self, id: JobId) -> std::result::Result<Reply, Fault> {
        let Some(record) = self.find_record(id).await? else {
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

    /// Leaves a cancel in the owner's inbox, unless the job has ended.
    async fn cancel_in_inbox(&self, id: JobId) -> std::result::Result<Reply, Fault> {
        let Some(record) = self.find_record(id).await? else {
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
