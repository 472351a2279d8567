//! The queue of waiting jobs and their order.
//!
//! Jobs that are equal in everything that placement depends on share a class, so that one failed
//! try counts for all of them. The queue is scheduled by the ranks of the first jobs of its
//! classes.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::Shape;
use crate::blocks::WorkspaceKey;
use crate::fleet::SetKey;
use crate::plan::{JobKey, Reason};
use crate::time::UnixMs;

/// The length of a deadline span in milliseconds. Deadlines within the same span have equal rank.
pub const DEADLINE_SPAN_MS: u64 = 60_000;

/// The order of waiting jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// By urgency, deadline span, the workspace's use relative to its guarantee, and the caller's
    /// use.
    Fair,
    /// By time of acceptance alone; a job that can't start blocks all later ones.
    Fifo,
}

/// Identifies a caller within one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallerKey(pub u32);

/// The properties that all jobs of a class have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClassKey {
    pub urgency: u8,
    pub workspace: WorkspaceKey,
    pub caller: CallerKey,
    pub set: SetKey,
    pub tasks: u16,
    pub accels: u8,
    pub preemptible: bool,
}

impl ClassKey {
    /// Returns the shape of the class's gangs.
    pub fn shape(self) -> Shape {
        Shape {
            tasks: self.tasks,
            accels: self.accels,
        }
    }
}

/// The position of a job within its class: its deadline span, time of acceptance and key.
pub(crate) type Position = (u64, UnixMs, JobKey);

/// Returns a job's position in its class.
pub(crate) fn position(deadline: UnixMs, accepted_at: UnixMs, job: JobKey) -> Position {
    (deadline.0 / DEADLINE_SPAN_MS, accepted_at, job)
}

/// The rank of the first job of a class; the lowest rank is tried first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub urgency: u8,
    pub deadline_span: u64,
    /// The accelerators that the workspace uses, in 1/1024 of its guarantee.
    pub share: u64,
    /// The caller's use in virtual time; see [`Queue::served`].
    pub served: u64,
    pub accepted_at: UnixMs,
    pub job: JobKey,
}

/// The waiting jobs of a class.
#[derive(Default)]
pub(crate) struct Class {
    pub jobs: BTreeSet<Position>,
    /// Why the first job couldn't be placed when it was last tried.
    pub reason: Option<Reason>,
}

struct Caller {
    name: (WorkspaceKey, String),
    jobs: u32,
    /// The accelerators started for this caller, counted from the workspace's virtual time at the
    /// caller's first job.
    served: u64,
}

/// All waiting jobs.
#[derive(Default)]
pub(crate) struct Queue {
    pub classes: BTreeMap<ClassKey, Class>,
    callers: Vec<Caller>,
    by_name: BTreeMap<(WorkspaceKey, String), CallerKey>,
    free_keys: Vec<CallerKey>,
    /// The virtual time of each workspace: the highest use that a caller had at the start of one of
    /// its jobs. A new caller begins with it, so that it gets no precedence for the time
    /// before its first job.
    virtual_times: BTreeMap<WorkspaceKey, u64>,
}

impl Queue {
    /// Returns a caller's key and adds one to its job count.
    pub fn add_caller(&mut self, workspace: WorkspaceKey, name: &str) -> CallerKey {
        let name = (workspace, name.to_owned());
        if let Some(key) = self.by_name.get(&name) {
            self.callers[key.0 as usize].jobs += 1;
            return *key;
        }
        let served = self.virtual_times.get(&workspace).copied().unwrap_or(0);
        let caller = Caller {
            name: name.clone(),
            jobs: 1,
            served,
        };
        let key = match self.free_keys.pop() {
            Some(key) => {
                self.callers[key.0 as usize] = caller;
                key
            }
            None => {
                self.callers.push(caller);
                CallerKey(u32::try_from(self.callers.len() - 1).unwrap_or(u32::MAX))
            }
        };
        self.by_name.insert(name, key);
        key
    }

    /// Subtracts one from a caller's job count and drops the caller at zero.
    pub fn release_caller(&mut self, key: CallerKey) {
        let caller = &mut self.callers[key.0 as usize];
        caller.jobs = caller.jobs.saturating_sub(1);
        if caller.jobs == 0 {
            self.by_name.remove(&caller.name);
            self.free_keys.push(key);
        }
    }

    /// Adds accelerators that were started to a caller's use, and advances the workspace's virtual
    /// time.
    pub fn record_start(&mut self, key: CallerKey, accels: u32) {
        let caller = &mut self.callers[key.0 as usize];
        let clock = self.virtual_times.entry(caller.name.0).or_default();
        *clock = caller.served.max(*clock);
        caller.served += u64::from(accels);
    }

    /// Returns the caller's use in virtual time.
    pub fn served(&self, key: CallerKey) -> u64 {
        self.callers[key.0 as usize].served
    }

    /// Adds a waiting job.
    pub fn push(&mut self, class: ClassKey, position: Position) {
        self.classes.entry(class).or_default().jobs.insert(position);
    }

    /// Removes a job from the queue.
    pub fn remove(&mut self, class: ClassKey, position: Position) {
        if let Some(entry) = self.classes.get_mut(&class) {
            entry.jobs.remove(&position);
            if entry.jobs.is_empty() {
                self.classes.remove(&class);
            }
        }
    }

    /// Returns the first job of a class.
    pub fn head(&self, class: ClassKey) -> Option<Position> {
        self.classes.get(&class)?.jobs.first().copied()
    }
}
