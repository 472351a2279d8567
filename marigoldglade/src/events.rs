//! What the system repaired by itself, and why.
//!
//! [`Event`]s flow in, a bounded list of recent ones and a count of each kind flow out.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

use crate::owner::Cause;
use crate::plan;
use crate::store::Revision;
use crate::time::UnixMs;

/// The most events that are kept.
pub const EVENT_LIMIT: usize = 512;

/// What changed. Closed: logs, metrics and `GET /v1/events` use these alone.
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
        /// Its epoch.
        epoch: Revision,
    },
    /// This daemon's ownership of a data centre ended.
    OwnerStopped {
        /// The data centre.
        dc: String,
        /// Why.
        cause: Cause,
    },
    /// A daemon joined, or came back.
    MemberJoined {
        /// The daemon.
        name: String,
    },
    /// A daemon said that it goes.
    MemberLeft {
        /// The daemon.
        name: String,
    },
    /// A daemon answered nobody and didn't refute.
    MemberDied {
        /// The daemon.
        name: String,
    },
    /// Others held this daemon for dead, and it refuted.
    SuspicionRefuted,
    /// A worker gets no new work on suspicion.
    WorkerQuarantined {
        /// The worker.
        name: String,
        /// Until when.
        #[serde(rename = "end")]
        until: UnixMs,
    },
    /// A worker is trusted again.
    WorkerTrusted {
        /// The worker.
        name: String,
    },
    /// A workspace's guarantee can't be met.
    GuaranteeDegraded {
        /// The workspace.
        workspace: String,
        /// The accelerators that are missing.
        missing: u32,
    },
    /// A workspace's guarantee can be met again.
    GuaranteeRestored {
        /// The workspace.
        workspace: String,
    },
    /// This daemon took over a version of the configuration from a peer or after an outage.
    ConfigCaughtUp {
        /// The version.
        revision: Revision,
        /// The version before.
        from: Revision,
    },
    /// A target gets no requests on suspicion.
    TargetEjected {
        /// The target.
        name: String,
        /// Why.
        cause: String,
    },
    /// A target gets requests again.
    TargetRestored {
        /// The target.
        name: String,
    },
    /// The key-value service can't be reached.
    StoreDown {
        /// The last fault.
        cause: String,
    },
    /// The key-value service answers again.
    StoreUp,
}

/// The kinds of [`Event`], in its order, as metrics label them.
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
    /// Returns the kind.
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
    /// Returns what a planner's decision repairs or gives up, if it does.
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
    /// Grows by one an event; a gap says that older ones were dropped.
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
    /// Starts empty.
    #[must_use]
    pub fn new() -> Self {
        Self {
            entries: VecDeque::new(),
            counts: [0; Kind::COUNT],
            seq: 0,
        }
    }

    /// Notes an event; the oldest is dropped above [`EVENT_LIMIT`].
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

    /// Returns the newest events, the newest first.
    pub fn newest(&self, limit: usize) -> impl Iterator<Item = &Entry> {
        self.entries.iter().rev().take(limit)
    }

    /// Returns how often each kind was noted since the start.
    pub fn counts(&self) -> impl Iterator<Item = (Kind, u64)> {
        Kind::iter().zip(self.counts)
    }
}
