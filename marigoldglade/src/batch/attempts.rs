//! The attempts at submissions that a daemon has made and that may take effect, or have done so.
//!
//! A caller without an answer repeats its submission at another daemon. When that one can't reach the
//! store, only the daemons that made earlier attempts know whether it may refuse the submission.

use std::collections::{BTreeSet, VecDeque};

use crate::batch::id::JobId;
use crate::time::UnixMs;

/// How long an attempt is remembered, in milliseconds: three times the time after which a caller without
/// an answer usually repeats the submission, and as long as a daemon's key outlives the daemon.
pub const ATTEMPT_MS: u64 = 10_000;

/// Identifies an attempt within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey(u64);

/// The attempts of the last seconds that weren't certainly without an effect.
#[derive(Debug, Default)]
pub struct Attempts {
    open: BTreeSet<(JobId, AttemptKey)>,
    /// When each attempt is forgotten, the earliest first.
    expiries: VecDeque<(UnixMs, JobId, AttemptKey)>,
    last: u64,
}

impl Attempts {
    /// Notes the beginning of an attempt.
    pub fn begin(&mut self, now: UnixMs, id: JobId) -> AttemptKey {
        while let Some((at, id, key)) = self.expiries.front().copied()
            && at.passed(now)
        {
            self.open.remove(&(id, key));
            self.expiries.pop_front();
        }
        self.last += 1;
        let key = AttemptKey(self.last);
        self.open.insert((id, key));
        self.expiries.push_back((now.after(ATTEMPT_MS), id, key));
        key
    }

    /// Forgets an attempt that certainly has no effect.
    pub fn forget(&mut self, id: JobId, key: AttemptKey) {
        self.open.remove(&(id, key));
    }

    /// Returns whether an attempt at a submission other than `own` may take effect, or has.
    #[must_use]
    pub fn may_take_effect(&self, id: JobId, own: Option<AttemptKey>) -> bool {
        let all = (id, AttemptKey(0))..=(id, AttemptKey(u64::MAX));
        self.open.range(all).any(|(_, key)| Some(*key) != own)
    }
}
