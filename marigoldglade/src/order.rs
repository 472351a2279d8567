//! The queue of waiting jobs and their order.
//!
//! Waiting jobs flow in; heads of classes flow out by rank. Jobs that differ in nothing that
//! placement sees share a class, so that one failed try stands for all of them.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::Shape;
use crate::blocks::WorkspaceKey;
use crate::fleet::SetKey;
use crate::plan::{JobKey, Reason};
use crate::time::UnixMs;

/// Deadlines within the same span are equal in rank, in milliseconds.
pub const DEADLINE_SPAN_MS: u64 = 60_000;

/// How waiting jobs are ranked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// Urgency, deadline, the workspace's use against its guarantee, the caller's use.
    Fair,
    /// The time of acceptance alone; a job that can't start holds all others up.
    Fifo,
}

/// A caller within one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallerKey(pub u32);

/// What the jobs of a class share.
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
    /// Returns the gang.
    pub fn shape(self) -> Shape {
        Shape {
            tasks: self.tasks,
            accels: self.accels,
        }
    }
}

/// Where a job stands within its class: span of its deadline, then time of acceptance.
pub(crate) type Position = (u64, UnixMs, JobKey);

/// Returns a job's place in its class.
pub(crate) fn position(end: UnixMs, since: UnixMs, job: JobKey) -> Position {
    (end.0 / DEADLINE_SPAN_MS, since, job)
}

/// The rank of a class's head; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub urgency: u8,
    pub deadline_span: u64,
    pub share: u64,
    pub served: u64,
    pub since: UnixMs,
    pub job: JobKey,
}

/// The jobs of a class.
#[derive(Default)]
pub(crate) struct Class {
    pub jobs: BTreeSet<Position>,
    /// Why its head couldn't start when that was tried last.
    pub reason: Option<Reason>,
}

struct Caller {
    name: (WorkspaceKey, String),
    jobs: u32,
    /// Accelerators started, never less than the workspace's virtual time when it came.
    served: u64,
}

/// All waiting jobs.
#[derive(Default)]
pub(crate) struct Queue {
    pub classes: BTreeMap<ClassKey, Class>,
    callers: Vec<Caller>,
    by_name: BTreeMap<(WorkspaceKey, String), CallerKey>,
    free_keys: Vec<CallerKey>,
    virtual_times: BTreeMap<WorkspaceKey, u64>,
}

impl Queue {
    /// Returns a caller's key and counts one more job of it.
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

    /// Counts one job of a caller less.
    pub fn release_caller(&mut self, key: CallerKey) {
        let caller = &mut self.callers[key.0 as usize];
        caller.jobs = caller.jobs.saturating_sub(1);
        if caller.jobs == 0 {
            self.by_name.remove(&caller.name);
            self.free_keys.push(key);
        }
    }

    /// Counts what a caller was given.
    pub fn record_start(&mut self, key: CallerKey, accels: u32) {
        let caller = &mut self.callers[key.0 as usize];
        let clock = self.virtual_times.entry(caller.name.0).or_default();
        *clock = caller.served.max(*clock);
        caller.served += u64::from(accels);
    }

    /// Returns what a caller was given, by its virtual time.
    pub fn served(&self, key: CallerKey) -> u64 {
        self.callers[key.0 as usize].served
    }

    /// Adds a waiting job.
    pub fn push(&mut self, class: ClassKey, position: Position) {
        self.classes.entry(class).or_default().jobs.insert(position);
    }

    /// Removes a job that waits no more.
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
