//! Events of self-repair: failures that the system detects and recovers from by itself.
//!
//! [`Recent`] keeps a bounded list of the latest [`Event`]s and a count of each kind.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

use crate::owner::Cause;
use crate::plan;
use crate::store::Revision;
use crate::time::UnixMs;

/// The most events that a daemon keeps.
pub const EVENT_LIMIT: usize = 512;

/// A change that self-repair detected or made. Logs, metrics and `GET /v1/events` show these events
/// and no others.
#[derive(Clone, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Event {
    /// A data centre has a new owner.
    OwnerChanged {
        /// The data centre.
        dc: String,
        /// The new owner.
        name: String,
        /// The epoch of its ownership.
        epoch: Revision,
    },
    /// This daemon's ownership of a data centre ended.
    OwnerStopped {
        /// The data centre.
        dc: String,
        /// Why it ended.
        cause: Cause,
    },
    /// A daemon joined, or came back.
    MemberJoined {
        /// The daemon.
        name: String,
    },
    /// A daemon announced that it leaves.
    MemberLeft {
        /// The daemon.
        name: String,
    },
    /// A daemon was declared dead: it answered no probe and didn't refute the suspicion.
    MemberDied {
        /// The daemon.
        name: String,
    },
    /// Other daemons suspected this one to be dead, and it refuted them.
    SuspicionRefuted,
    /// A worker is suspected to be faulty and gets no new work.
    WorkerQuarantined {
        /// The worker.
        name: String,
        /// When the quarantine ends.
        #[serde(rename = "end")]
        until: UnixMs,
    },
    /// A worker's quarantine ended; it gets new work again.
    WorkerTrusted {
        /// The worker.
        name: String,
    },
    /// A workspace's guarantee can't be met.
    GuaranteeDegraded {
        /// The workspace.
        workspace: String,
        /// How many accelerators are missing.
        missing: u32,
    },
    /// A workspace's guarantee can be met again.
    GuaranteeRestored {
        /// The workspace.
        workspace: String,
    },
    /// This daemon took a version of the configuration from a peer, or skipped versions.
    ConfigCaughtUp {
        /// The number of the version that is now in force.
        revision: Revision,
        /// The number of the version that was in force before; zero if there was none.
        from: Revision,
    },
    /// A target is suspected to be faulty and gets no requests.
    TargetEjected {
        /// The target.
        name: String,
        /// Why it is suspected.
        cause: String,
    },
    /// A target gets requests again.
    TargetRestored {
        /// The target.
        name: String,
    },
    /// The key-value service can't be reached.
    StoreDown {
        /// Why it can't be reached.
        cause: String,
    },
    /// The key-value service answers again.
    StoreUp,
}

/// The kind of an [`Event`], which metrics use as a label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumCount, EnumIter, IntoStaticStr, Hash)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// [`Event::OwnerChanged`].
    OwnerChanged,
    /// [`Event::OwnerStopped`].
    OwnerStopped,
    /// [`Event::MemberJoined`].
    MemberJoined,
    /// [`Event::MemberLeft`].
    MemberLeft,
    /// [`Event::MemberDied`].
    MemberDied,
    /// [`Event::SuspicionRefuted`].
    SuspicionRefuted,
    /// [`Event::WorkerQuarantined`].
    WorkerQuarantined,
    /// [`Event::WorkerTrusted`].
    WorkerTrusted,
    /// [`Event::GuaranteeDegraded`].
    GuaranteeDegraded,
    /// [`Event::GuaranteeRestored`].
    GuaranteeRestored,
    /// [`Event::ConfigCaughtUp`].
    ConfigCaughtUp,
    /// [`Event::TargetEjected`].
    TargetEjected,
    /// [`Event::TargetRestored`].
    TargetRestored,
    /// [`Event::StoreDown`].
    StoreDown,
    /// [`Event::StoreUp`].
    StoreUp,
}

impl Event {
    /// Returns the kind of this event.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::OwnerChanged { .. } => Kind::OwnerChanged,
            Self::OwnerStopped { .. } => Kind::OwnerStopped,
            Self::MemberJoined { .. } => Kind::MemberJoined,
            Self::MemberLeft { .. } => Kind::MemberLeft,
            Self::MemberDied { .. } => Kind::MemberDied,
            Self::SuspicionRefuted => Kind::SuspicionRefuted,
            Self::WorkerQuarantined { .. } => Kind::WorkerQuarantined,
            Self::WorkerTrusted { .. } => Kind::WorkerTrusted,
            Self::GuaranteeDegraded { .. } => Kind::GuaranteeDegraded,
            Self::GuaranteeRestored { .. } => Kind::GuaranteeRestored,
            Self::ConfigCaughtUp { .. } => Kind::ConfigCaughtUp,
            Self::TargetEjected { .. } => Kind::TargetEjected,
            Self::TargetRestored { .. } => Kind::TargetRestored,
            Self::StoreDown { .. } => Kind::StoreDown,
            Self::StoreUp => Kind::StoreUp,
        }
    }
}

impl Event {
    /// Returns the event that reports a planner's action; `None` if the action isn't part of
    /// self-repair.
    #[must_use]
    pub fn from_plan(action: &plan::Action) -> Option<Self> {
        match action {
            plan::Action::Quarantine(name, end) => Some(Self::WorkerQuarantined {
                name: name.clone(),
                until: *end,
            }),
            plan::Action::Trust(name) => Some(Self::WorkerTrusted { name: name.clone() }),
            plan::Action::Guarantee(workspace, 0) => Some(Self::GuaranteeRestored {
                workspace: workspace.clone(),
            }),
            plan::Action::Guarantee(workspace, missing) => Some(Self::GuaranteeDegraded {
                workspace: workspace.clone(),
                missing: *missing,
            }),
            plan::Action::Start(..)
            | plan::Action::Stop { .. }
            | plan::Action::Throttle(..)
            | plan::Action::Waits(..) => None,
        }
    }
}

/// An event and when it happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The event's number, one above that of the event before; a gap means that older events were
    /// dropped.
    pub seq: u64,
    /// When it happened.
    pub at: UnixMs,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// The recent events of one daemon.
#[derive(Debug)]
pub struct Recent {
    entries: VecDeque<Entry>,
    counts: [u64; Kind::COUNT],
    seq: u64,
}

impl Default for Recent {
    fn default() -> Self {
        Self::new()
    }
}

impl Recent {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self {
            entries: VecDeque::new(),
            counts: [0; Kind::COUNT],
            seq: 0,
        }
    }

    /// Adds an event, and drops the oldest one above [`EVENT_LIMIT`].
    pub fn push(&mut self, at: UnixMs, event: Event) {
        self.seq += 1;
        self.counts[event.kind() as usize] += 1;
        if self.entries.len() == EVENT_LIMIT {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry {
            seq: self.seq,
            at,
            event,
        });
    }

    /// Returns up to `limit` of the latest events, the newest first.
    pub fn newest(&self, limit: usize) -> impl Iterator<Item = &Entry> {
        self.entries.iter().rev().take(limit)
    }

    /// Returns how many events of each kind were added since the start.
    pub fn counts(&self) -> impl Iterator<Item = (Kind, u64)> {
        Kind::iter().zip(self.counts)
    }
}
