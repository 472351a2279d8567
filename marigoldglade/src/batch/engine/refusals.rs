//! Refusals of submissions, which are sent only once no earlier attempt of the same submission can take
//! effect.
//!
//! A refusal is announced by a commit that changes [`RefusedJobs`] in the store, which makes all
//! earlier writes to the inbox void. It is sent when the inbox shows the announcement: the inbox is
//! shown in the order of its changes, so any entry that was written before has been seen then, and its
//! job is accepted instead.

use std::collections::HashMap;

use crate::batch::engine::{Action, CallId, Engine};
use crate::batch::id::JobId;
use crate::batch::messages::{Reply, Submission};
use crate::batch::refused::{LIST_LIMIT, LISTED_MS, RefusedJobs};
use crate::time::UnixMs;

/// The longest time that a refusal waits for its announcement, in milliseconds; then the submission is
/// left to the daemon that has the call.
const WAIT_LIMIT_MS: u64 = 600;
/// How long a refusal is remembered, in milliseconds: longer than a broken link delivers what was sent
/// on it before.
const REMEMBERED_MS: u64 = 120_000;
/// The bits of a refusal's number that hold the commit's number; those above hold the term.
const COMMIT_BITS: u32 = 32;

/// A refusal that waits for its announcement.
struct Waiting {
    call: CallId,
    id: JobId,
    retry_ms: u64,
    /// The commit that announces it; `None` if it hasn't started.
    commit: Option<u64>,
    expires_at: UnixMs,
}

/// The newest refusal of a job.
struct Past {
    /// The refusal's number, which rises over all terms.
    number: u64,
    /// When it was announced, or sent if that is later.
    at: UnixMs,
    /// Whether it was sent.
    sent: bool,
}

/// The refusals that wait, and those of the last minutes.
#[derive(Default)]
pub(super) struct Refusals {
    waiting: Vec<Waiting>,
    past: HashMap<JobId, Past>,
}

impl Refusals {
    /// Returns whether refusals wait that no commit announces.
    pub fn has_new(&self) -> bool {
        self.waiting.iter().any(|w| w.commit.is_none())
    }

    /// Adds a refusal.
    pub fn add(&mut self, now: UnixMs, call: CallId, id: JobId, retry_ms: u64) {
        self.waiting.push(Waiting {
            call,
            id,
            retry_ms,
            commit: None,
            expires_at: now.after(WAIT_LIMIT_MS),
        });
    }

    /// Forgets refusals that no late attempt can follow any more.
    fn tidy(&mut self, now: UnixMs) {
        self.past
            .retain(|_, p| !p.at.after(REMEMBERED_MS).passed(now));
    }
}

const fn refusal_number(term: u64, commit: u64) -> u64 {
    (term << COMMIT_BITS) | commit
}

impl Engine {
    /// Returns the list with which a commit announces the refusals that wait; `None` if none do.
    pub(super) fn announce_refusals(&mut self, commit: u64) -> Option<RefusedJobs> {
        if !self.refusals.has_new() {
            return None;
        }
        let (now, term) = (self.now, self.term);
        let refusals = &mut self.refusals;
        refusals.tidy(now);
        for waiting in refusals.waiting.iter_mut().filter(|w| w.commit.is_none()) {
            waiting.commit = Some(commit);
            let past = Past {
                number: refusal_number(term, commit),
                at: now,
                sent: false,
            };
            refusals.past.insert(waiting.id, past);
        }
        let listed = |p: &Past| !p.at.after(LISTED_MS).passed(now);
        let mut ids: Vec<JobId> = refusals
            .past
            .iter()
            .filter(|(_, p)| listed(p))
            .map(|(id, _)| *id)
            .collect();
        ids.sort_unstable();
        let full = ids.len() > LIST_LIMIT;
        ids.truncate(LIST_LIMIT);
        Some(RefusedJobs {
            term,
            commit,
            ids,
            full,
        })
    }

    /// Applies a list of refused jobs that the inbox shows: sends the refusals that it announces, but for
    /// those of jobs that have been accepted since.
    pub(super) fn apply_refused_jobs(&mut self, list: &RefusedJobs, out: &mut Vec<Action>) {
        if list.term != self.term {
            self.inherit_refusals(list);
            return;
        }
        let (now, term) = (self.now, self.term);
        let announced = |w: &mut Waiting| w.commit.is_some_and(|c| c <= list.commit);
        let due: Vec<Waiting> = self.refusals.waiting.extract_if(.., announced).collect();
        for waiting in due {
            if let Some((_, job)) = self.job_mut(waiting.id) {
                if job.durable_state.is_some() {
                    out.push(Action::Reply(waiting.call, Reply::Accepted));
                } else {
                    job.submit_calls.push(waiting.call);
                }
                continue;
            }
            let commit = waiting.commit.unwrap_or(list.commit);
            let past = Past {
                number: refusal_number(term, commit),
                at: now,
                sent: true,
            };
            self.refusals.past.insert(waiting.id, past);
            self.counts.refused += 1;
            log::info!(job = waiting.id.as_str(), term, commit; "refusal announced");
            out.push(Action::Reply(
                waiting.call,
                Reply::Refused(waiting.retry_ms),
            ));
        }
    }

    /// Remembers the refusals of an earlier owner.
    fn inherit_refusals(&mut self, list: &RefusedJobs) {
        for id in &list.ids {
            self.refusals.past.entry(*id).or_insert(Past {
                number: refusal_number(self.term, 0),
                at: self.now,
                sent: true,
            });
        }
    }

    /// Returns the reply to a submission that may have begun before its job was refused; `None` if it is
    /// known to have begun later.
    pub(super) fn check_attempt(&self, submission: &Submission) -> Option<Reply> {
        let past = self.refusals.past.get(&submission.id)?;
        (past.sent && submission.refusal < past.number).then(|| Reply::RefusedBefore {
            refusal: past.number,
            ago_ms: self.now.since(past.at),
        })
    }

    /// Leaves submissions to the daemons that have the calls, whose refusals have waited for too long, or
    /// which the store can't announce now.
    pub(super) fn give_up_refusals(&mut self, out: &mut Vec<Action>) {
        let (now, closed) = (self.now, self.store_unavailable());
        let over = |w: &mut Waiting| closed || w.expires_at.passed(now);
        for waiting in self.refusals.waiting.extract_if(.., over) {
            out.push(Action::Reply(waiting.call, Reply::NotOwner));
        }
    }

    /// Announces the refusals of a commit without an effect again.
    pub(super) fn withdraw_announcement(&mut self, commit: u64) {
        for waiting in &mut self.refusals.waiting {
            if waiting.commit == Some(commit) {
                waiting.commit = None;
            }
        }
    }
}
