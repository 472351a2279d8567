//! How far the completions of one worker process are applied, durable and acknowledged.
//!
//! A worker forgets a completion once it is acknowledged, so only a durable one may be: a new owner
//! would otherwise start the task again. The fields are private, and the number to acknowledge can
//! only rise through a [`CommitMark`] taken when a commit that covers all applied completions began.

/// The completions that a commit makes durable.
#[derive(Clone, Copy, Debug)]
pub(super) struct CommitMark(u64);

/// The progress of the completions that a worker process has reported.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Acks {
    /// The number of the last completion that was applied.
    applied: u64,
    /// The number of the last completion that is durable.
    durable: u64,
    /// The number of the last completion that the worker knows to be acknowledged.
    acked: u64,
}

impl Acks {
    /// Notes that a completion is being applied; returns false for one that was applied before.
    pub const fn apply(&mut self, number: u64) -> bool {
        let new = number > self.applied;
        if new {
            self.applied = number;
        }
        new
    }

    /// Returns whether applied completions aren't durable.
    pub const fn is_pending(&self) -> bool {
        self.applied > self.durable
    }

    /// Returns what a commit makes durable that writes all changes so far; `None` if nothing waits.
    pub fn mark(&self) -> Option<CommitMark> {
        self.is_pending().then_some(CommitMark(self.applied))
    }

    /// Notes that a commit has become durable.
    pub fn settle(&mut self, mark: CommitMark) {
        self.durable = self.durable.max(mark.0);
    }

    /// Returns the number up to which completions may be acknowledged.
    pub const fn ackable(&self) -> u64 {
        self.durable
    }

    /// Returns whether the worker isn't known to have been told of all durable completions.
    pub const fn is_unacked(&self) -> bool {
        self.durable > self.acked
    }

    /// Notes that the worker answered an acknowledgement. A number that isn't durable was meant for an
    /// earlier process.
    pub fn acknowledge(&mut self, number: u64) {
        if number <= self.durable {
            self.acked = self.acked.max(number);
        }
    }
}
