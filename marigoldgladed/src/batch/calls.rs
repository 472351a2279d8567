//! How the daemon that received a caller's call makes it: through the owner, or directly in the store
//! when the owner can't be reached.

use std::rc::Rc;

use marigoldglade::batch::admission::outage_retry_ms;
use marigoldglade::batch::attempts::AttemptKey;
use marigoldglade::batch::id::JobId;
use marigoldglade::batch::messages::{Call, JobStatus, Message, Reply, Submission};
use marigoldglade::batch::record::{Record, RecordKey, State};
use marigoldglade::batch::refused::RefusedJobs;
use marigoldglade::prelude::*;
use marigoldglade::store::{self, Body, Compare, Fault, Op, Pair, Txn};
use tokio::task::JoinSet;

use crate::batch::live::decode;
use crate::batch::owner::unchanged;
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
/// The longest time that a peer may take to say whether it has made an attempt at a submission, in
/// milliseconds.
const ATTEMPT_TIMEOUT_MS: u64 = 150;
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

/// The key of the list of refused jobs. It has the inbox's prefix, so that the owner's watch shows its
/// changes in the order of those of the inbox.
pub(super) const REFUSED_KEY: &str = "mg/in/refused";

/// Returns the key of a job's record.
pub(super) fn job_key(id: JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the key of a value that holds a part of a job's record.
pub(super) fn record_key(key: RecordKey) -> String {
    match key.part {
        0 => job_key(key.job),
        part => format!("{JOB_PREFIX}{}/{part}", key.job),
    }
}

fn submit_key(id: JobId) -> String {
    format!("{SUBMIT_PREFIX}{id}")
}

/// The outcome of one try at a call.
enum Outcome {
    /// The call was answered.
    Answered(Reply),
    /// The try certainly had no effect.
    NoEffect,
    /// The try may have had an effect, or may have one later.
    Unsure,
}

/// An attempt at a call.
struct CallAttempt {
    call: Call,
    began: UnixMs,
    /// The attempt's key if the call is a submission.
    key: Option<AttemptKey>,
}

impl CallAttempt {
    /// Returns the job's id and the attempt's key if the call is a submission.
    fn submission(&self) -> Option<(JobId, AttemptKey)> {
        match &self.call {
            Call::Submit(submission) => self.key.map(|key| (submission.id, key)),
            Call::Cancel(_) | Call::Status(_) | Call::Pending(_) => None,
        }
    }
}

impl Node {
    /// Makes a call for a caller, who waits for the reply until `deadline`.
    pub(super) async fn make_call(self: &Rc<Self>, call: Call, deadline: UnixMs) -> Reply {
        // A caller that learns early that the outcome isn't known can try another daemon.
        let deadline = deadline.min(clock::now().after(UNSURE_LIMIT_MS));
        let mut attempt = self.begin_attempt(call);
        let reply = self.repeat_call(&mut attempt, deadline).await;
        if matches!(reply, Reply::Refused(_) | Reply::Doubtful(_)) {
            self.forget_attempt(&attempt);
        }
        reply
    }

    /// Makes a call on behalf of a peer that can't reach the store.
    pub(super) async fn make_relayed_call(self: &Rc<Self>, call: Call, deadline: UnixMs) -> Reply {
        let attempt = self.begin_attempt(call);
        let reply = match self.try_call(&attempt.call, deadline, false).await {
            Outcome::Answered(reply) => reply,
            Outcome::NoEffect => Reply::NotOwner,
            Outcome::Unsure => Reply::Unsure,
        };
        if matches!(
            reply,
            Reply::Refused(_) | Reply::NotOwner | Reply::RefusedBefore { .. }
        ) {
            self.forget_attempt(&attempt);
        }
        reply
    }

    fn begin_attempt(&self, call: Call) -> CallAttempt {
        let began = clock::now();
        let key = match &call {
            Call::Submit(s) => Some(self.attempts.borrow_mut().begin(began, s.id)),
            Call::Cancel(_) | Call::Status(_) | Call::Pending(_) => None,
        };
        CallAttempt { call, began, key }
    }

    /// Forgets an attempt that certainly has no effect.
    fn forget_attempt(&self, attempt: &CallAttempt) {
        if let Some((id, key)) = attempt.submission() {
            self.attempts.borrow_mut().forget(id, key);
        }
    }

    /// Repeats a call until it is answered, certainly has no effect, or `deadline` has passed.
    async fn repeat_call(self: &Rc<Self>, attempt: &mut CallAttempt, deadline: UnixMs) -> Reply {
        let mut sure = true;
        loop {
            match self.try_call(&attempt.call, deadline, true).await {
                Outcome::Answered(Reply::RefusedBefore { refusal, ago_ms }) => {
                    // The owner's refusal holds for all attempts that began before it.
                    if clock::now().since(attempt.began) >= ago_ms {
                        return Reply::Refused(RETRY_AFTER_MS);
                    }
                    if let Call::Submit(submission) = &mut attempt.call
                        && submission.refusal < refusal
                    {
                        submission.refusal = refusal;
                        continue;
                    }
                }
                Outcome::Answered(reply) => return reply,
                Outcome::NoEffect => {}
                Outcome::Unsure => sure = false,
            }
            let may_refuse = match &attempt.call {
                Call::Submit(_) => sure && self.is_only_attempt(attempt).await,
                Call::Cancel(_) => sure,
                // A read has no effect.
                Call::Status(_) | Call::Pending(_) => true,
            };
            // A caller that learns early when to return is served more often than one that waits.
            let retry_ms = outage_retry_ms(self.store.lost_ms(), rand::random());
            if may_refuse {
                return Reply::Refused(retry_ms);
            }
            if sure {
                return Reply::Doubtful(retry_ms);
            }
            if clock::now() >= deadline {
                return Reply::Unsure;
            }
            pause().await;
        }
    }

    /// Returns whether no attempt at a submission besides `own` may take effect, or has, as far as this
    /// daemon knows.
    pub(super) fn has_no_attempt(&self, id: JobId, own: Option<AttemptKey>) -> bool {
        self.unsure_until.passed(clock::now()) && !self.attempts.borrow().may_take_effect(id, own)
    }

    /// Returns whether no daemon has made another attempt at a submission that may take effect, or has.
    ///
    /// Without the store only the daemons themselves know. One that doesn't answer may have made one.
    async fn is_only_attempt(self: &Rc<Self>, attempt: &CallAttempt) -> bool {
        let Some((id, key)) = attempt.submission() else {
            return true;
        };
        if !self.has_no_attempt(id, Some(key)) {
            return false;
        }
        let deadline = clock::now().after(ATTEMPT_TIMEOUT_MS);
        let mut requests = JoinSet::new();
        for addr in self.announced_addrs() {
            let node = Rc::clone(self);
            requests.spawn_local(async move {
                let request = Message::AttemptRequest(id);
                let response = node.peers.request(addr, request, deadline).await;
                matches!(response, Ok(Message::AttemptResponse { none: true }))
            });
        }
        while let Some(none) = requests.join_next().await {
            if !none.unwrap_or(false) {
                log::info!(job = id.as_str(); "submission not refused yet: another daemon may have made an attempt");
                return false;
            }
        }
        true
    }

    /// Makes one try at a call: through the owner, then in the store, and with `relay` through a
    /// peer when the store is lost.
    async fn try_call(self: &Rc<Self>, call: &Call, deadline: UnixMs, relay: bool) -> Outcome {
        let mut sure = true;
        match self.call_owner(call, deadline).await {
            Ok(Reply::NotOwner) => {}
            Ok(Reply::Unsure) => sure = false,
            // Only the store knows for sure that a job doesn't exist.
            Ok(Reply::Unknown) => {}
            Ok(reply) => return Outcome::Answered(reply),
            Err(e) => sure = e.kind == Kind::NoTarget,
        }
        let direct = match call {
            // Another task probes whether the store is back; a call would only time out.
            _ if self.store.is_lost() => Err(Fault::NotSent),
            Call::Submit(submission) => self.submit_to_inbox(submission, deadline).await,
            Call::Status(id) => self.read_status(*id).await,
            // A write without an answer leaves the caller in doubt. An owner that refuses writes has
            // often met an outage that this daemon hasn't noticed yet, so a read goes first.
            Call::Cancel(_) if !self.store.probe().await => Err(Fault::NotSent),
            Call::Cancel(id) => self.cancel_in_inbox(*id).await,
            Call::Pending(_) => return Outcome::NoEffect,
        };
        match direct {
            Ok(reply) => return Outcome::Answered(reply),
            Err(Fault::Unknown) => sure = false,
            Err(Fault::NotSent | Fault::Refused | Fault::Invalid) => {}
        }
        if relay && self.store.is_lost() {
            match self.call_peer(call, deadline).await {
                Ok(Reply::NotOwner) => {}
                Ok(Reply::Unsure) => sure = false,
                Ok(reply) => return Outcome::Answered(reply),
                Err(e) => sure &= e.kind == Kind::NoTarget,
            }
        }
        if sure {
            Outcome::NoEffect
        } else {
            Outcome::Unsure
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
    ///
    /// The write depends on the list of refused jobs, which is read first, so that a refusal after the
    /// read makes the write void even if it is carried out late. A job on the list isn't written: its
    /// refusal may be newer than the attempt.
    async fn submit_to_inbox(
        &self,
        submission: &Submission,
        deadline: UnixMs,
    ) -> std::result::Result<Reply, Fault> {
        let id = &submission.id;
        let record = submission.clone().into_record(wall_ms());
        let value = record.encode().map_err(|e| {
            log::error!(job = id.as_str(), error:% = e; "can't encode a job record");
            Fault::NotSent
        })?;
        while clock::now() < deadline {
            let list = self.store.probe_key(REFUSED_KEY).await?;
            let refused = list.as_ref().map(decode::<RefusedJobs>);
            if refused.is_some_and(|r| r.is_none_or(|r| r.may_contain(*id))) {
                log::info!(job = id.as_str(); "submission not left to the owner: the job was refused shortly before");
                return Err(Fault::NotSent);
            }
            let txn = Txn {
                when: vec![
                    Compare::Absent(job_key(*id)),
                    Compare::Absent(submit_key(*id)),
                    unchanged(REFUSED_KEY, list.as_ref()),
                ],
                then: vec![Op::Put(submit_key(*id), value.clone(), 0)],
                other: Vec::new(),
            };
            let reply = self.store.call(&store::Call::Txn(txn)).await;
            let reply = reply.inspect_err(
                |e| log::info!(job = id.as_str(), why:? = e; "submission not left to the owner"),
            )?;
            let Body::Txn(done) = reply.body else {
                return Err(Fault::Unknown);
            };
            let is_job = |p: &Pair| p.key != REFUSED_KEY && p.changed > 0;
            let known = done.outcomes.iter().any(|o| match o {
                store::Outcome::Pairs(pairs) => pairs.iter().any(is_job),
                store::Outcome::Done | store::Outcome::Txn(_) => false,
            });
            if done.held || known {
                log::info!(job = id.as_str(), fresh = done.held, revision = reply.revision, term = self.known_term(); "job accepted without the owner");
                return Ok(Reply::Accepted);
            }
        }
        Err(Fault::NotSent)
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
            log::info!(job = id.as_str(), term = self.known_term(); "the store has no record of the job");
            return Ok(Reply::Unknown);
        };
        Ok(Reply::State(match record.state {
            State::Done => JobStatus::Done,
            State::Failed => JobStatus::Failed,
            State::Cancelled => JobStatus::Cancelled,
            State::Open if record.tasks.is_empty() && !record.has_parts => JobStatus::Queued,
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
