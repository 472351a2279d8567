//! What workers are, what they are told and what they say.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::batch::id::TaskId;

/// The cores that one accelerator stands for when work is weighed; source: the platform's prices.
pub const CORES_PER_ACCEL: u64 = 8;
const MILLI: u64 = 1_000;

/// Capacity of a worker, or what a task needs of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory in megabytes.
    pub mem: u64,
    /// Accelerators.
    pub accels: u64,
}

impl Resources {
    /// Returns whether `self` has room for `need`.
    #[must_use]
    pub const fn covers(&self, need: &Self) -> bool {
        self.cpu >= need.cpu && self.mem >= need.mem && self.accels >= need.accels
    }

    /// Returns how many tasks of `need` have room, at most `most`.
    #[must_use]
    pub fn max_tasks(&self, need: &Self, most: u32) -> u32 {
        let part = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        let holds = part(self.cpu, need.cpu)
            .min(part(self.mem, need.mem))
            .min(part(self.accels, need.accels));
        u32::try_from(holds).unwrap_or(u32::MAX).min(most)
    }

    /// Returns what is left without `other`, at least zero of each.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            accels: self.accels.saturating_sub(other.accels),
        }
    }

    /// Returns the sum with `other`.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            mem: self.mem.saturating_add(other.mem),
            accels: self.accels.saturating_add(other.accels),
        }
    }

    /// Returns the cores that this room is worth, accelerators included.
    #[must_use]
    pub const fn weighted_cores(&self) -> u64 {
        self.cpu / MILLI + self.accels * CORES_PER_ACCEL
    }

    /// Returns the largest of the shares that `self` takes of `whole`, in thousandths.
    #[must_use]
    pub fn dominant_share(&self, whole: &Self) -> u64 {
        let part = |a: u64, b: u64| (a * MILLI).checked_div(b).unwrap_or(0);
        part(self.cpu, whole.cpu)
            .max(part(self.mem, whole.mem))
            .max(part(self.accels, whole.accels))
    }
}

/// A worker as its registry entry shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The name.
    pub name: String,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// The group of workers it belongs to.
    pub pool: String,
    /// The data centre.
    pub dc: String,
    /// Labels that jobs may ask for; one of them names the rack.
    pub labels: Vec<String>,
    /// Its capacity.
    #[serde(rename = "room")]
    pub capacity: Resources,
    /// Whether it is about to go.
    pub draining: bool,
    /// When its process started, in milliseconds since the Unix epoch; zero when it isn't told.
    #[serde(rename = "born")]
    pub started_at: u64,
}

impl Target {
    /// Returns the rack: the last label.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "lowercase")]
pub enum Outcome {
    /// The task is done.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The rest of its gang didn't come in time.
    Alone,
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: u64,
    /// Its newest checkpoint; empty for none.
    pub checkpoint: String,
    /// How much of its work is done, in percent.
    pub percent: u32,
    /// What it did in the last half second: for a task that serves users, the tail of its response
    /// times in milliseconds; for others, the processor time in thousandths of a core.
    pub load: Option<u64>,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The end's number in this life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Its newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// What a worker answers to a hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The worker's steady clock, in milliseconds.
    pub clock: u64,
    /// When its process started, in milliseconds since the Unix epoch; zero when it isn't told.
    pub started_at: u64,
    /// What runs.
    pub running: Vec<ActiveRun>,
    /// Ends that weren't acknowledged, the earliest first.
    pub completions: Vec<Completion>,
}

impl Report {
    /// Returns whether a run is listed, as running or ended.
    #[must_use]
    pub fn lists(&self, task: &TaskId, run: u64) -> bool {
        let running = self.running.iter().any(|r| r.task == *task && r.run == run);
        running
            || self
                .completions
                .iter()
                .any(|e| e.task == *task && e.run == run)
    }
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "lowercase")]
pub enum Refusal {
    /// A newer owner has called it.
    Fenced,
    /// A run of the task that isn't lower was stopped or has ended there.
    Superseded,
    /// The start's deadline had passed.
    Late,
    /// There is no room.
    Full,
    /// The start's ticket doesn't hold.
    Ticket,
    /// The order can't be read or is impossible.
    Invalid,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// Another life of the worker answered.
    Reborn,
}

/// What came of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderResponse {
    /// It was obeyed; the worker's clock.
    Accepted(u64),
    /// It was refused, and the worker's clock when it was told.
    Refused(Refusal, Option<u64>),
    /// A hold's report.
    Report(Report),
    /// There was no answer: the order may have been carried out, or may be later.
    Lost,
}

/// A start of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: u64,
    /// What it is given.
    pub text: String,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// The placement adviser's ticket; empty for none.
    pub ticket: String,
    /// When the start lapses, on the worker's clock.
    pub deadline: u64,
    /// The owner's term.
    pub term: u64,
}

/// A stop of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: u64,
    /// The owner's term.
    pub term: u64,
}

/// A change of the speed at which a run works, and disturbs others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SetPace {
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: u64,
    /// The share of its full speed, in percent.
    pub percent: u32,
    /// The owner's term.
    pub term: u64,
}

/// A renewal of all leases of a worker, which also acknowledges ends and asks for news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// Until when everything there may run, on the worker's clock; zero to only look.
    pub expires_at: u64,
    /// The last end that is on record.
    pub acked: u64,
    /// How long the answer may wait for an end, in milliseconds.
    pub wait_ms: u64,
    /// The owner's term.
    pub term: u64,
}

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start a task.
    Start(Start),
    /// Stop a run.
    Stop(Stop),
    /// Extend leases and report.
    Renew(Renewal),
    /// Change a run's speed.
    SetPace(SetPace),
}
