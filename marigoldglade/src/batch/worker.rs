//! Workers, the orders sent to them and their responses.

use std::fmt;
use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::batch::id::{JobId, TaskId};
use crate::error::{Error, Kind, Result};
use crate::time::UnixMs;

/// The number of cores that one accelerator counts for in amounts of work, by the platform's prices.
pub const CORES_PER_ACCEL: u64 = 8;
const MILLI: u64 = 1_000;
/// The most of any resource that a worker can have: far above any machine, and low enough that sums over
/// the largest fleet stay exact.
const CAPACITY_LIMIT: u64 = 1 << 32;

/// An amount of processor, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub mem: u64,
    /// The number of accelerators.
    pub accels: u64,
}

impl Resources {
    /// Returns whether there is at least `need` of each resource.
    #[must_use]
    pub const fn covers(&self, need: &Self) -> bool {
        self.cpu >= need.cpu && self.mem >= need.mem && self.accels >= need.accels
    }

    /// Returns how many tasks that each take `need` fit, at most `limit`.
    #[must_use]
    pub fn max_tasks(&self, need: &Self, limit: u32) -> u32 {
        let fitting = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        let tasks = fitting(self.cpu, need.cpu)
            .min(fitting(self.mem, need.mem))
            .min(fitting(self.accels, need.accels));
        u32::try_from(tasks).unwrap_or(u32::MAX).min(limit)
    }

    /// Returns the difference, at least zero of each resource.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            accels: self.accels.saturating_sub(other.accels),
        }
    }

    /// Returns the sum of each resource.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            mem: self.mem.saturating_add(other.mem),
            accels: self.accels.saturating_add(other.accels),
        }
    }

    /// Returns the lesser amount of each resource.
    #[must_use]
    pub fn at_most(&self, limit: &Self) -> Self {
        Self {
            cpu: self.cpu.min(limit.cpu),
            mem: self.mem.min(limit.mem),
            accels: self.accels.min(limit.accels),
        }
    }

    /// Returns the number of whole cores, with [`CORES_PER_ACCEL`] for each accelerator.
    #[must_use]
    pub const fn weighted_cores(&self) -> u64 {
        (self.cpu / MILLI).saturating_add(self.accels.saturating_mul(CORES_PER_ACCEL))
    }

    /// Returns the largest share of `total` that `self` takes of any resource, in thousandths.
    #[must_use]
    pub fn dominant_share(&self, total: &Self) -> u64 {
        let share = |a: u64, b: u64| a.saturating_mul(MILLI).checked_div(b).unwrap_or(0);
        share(self.cpu, total.cpu)
            .max(share(self.mem, total.mem))
            .max(share(self.accels, total.accels))
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.cpu, self.mem, self.accels)
    }
}

/// The most bytes that the texts of a worker take together: several times those of any fleet, and few
/// enough that any worker fits on the stored list.
pub const TEXT_LIMIT_BYTES: usize = 1 << 10;
/// What a label takes besides its text, in bytes.
const LABEL_BYTES: usize = 2;

/// A worker as it appears in the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The worker's name.
    pub name: String,
    /// The address that orders are sent to.
    pub addr: SocketAddr,
    /// The pool of workers that it belongs to.
    pub pool: String,
    /// The data centre that it is in.
    pub dc: String,
    /// Labels that jobs may require; the last one names the rack.
    pub labels: Vec<String>,
    /// The resources that it has in total.
    #[serde(rename = "room")]
    pub capacity: Resources,
    /// Whether it is draining and takes no new tasks.
    pub draining: bool,
    /// When its process started, in milliseconds since the Unix epoch; zero when unknown.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// Whether orders that were meant for an earlier process may have given it leases as long as the platform
    /// allows; only the stored list of workers says so.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub long_leases: bool,
}

impl Target {
    /// Returns the rack's name, which is the last label.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }

    /// Returns how many bytes the texts take.
    #[must_use]
    pub fn text_bytes(&self) -> usize {
        let labels = self.labels.iter().map(|l| l.len() + LABEL_BYTES);
        self.name.len() + self.pool.len() + self.dc.len() + labels.sum::<usize>()
    }

    /// Checks what other writers of the registry may have got wrong.
    ///
    /// # Errors
    ///
    /// [`Kind::BadInput`], with the invalid field.
    pub fn check(&self) -> Result<()> {
        let bad = |detail: String| Err(Error::new(Kind::BadInput, detail));
        if !is_reachable(self.addr) {
            return bad(format!("address: no process listens on {}", self.addr));
        }
        if self.text_bytes() > TEXT_LIMIT_BYTES {
            return bad(format!("expected at most {TEXT_LIMIT_BYTES} bytes of text"));
        }
        let Resources { cpu, mem, accels } = self.capacity;
        if cpu.max(mem).max(accels) > CAPACITY_LIMIT {
            return bad(format!("capacity: expected at most {CAPACITY_LIMIT}"));
        }
        if self.pool.is_empty() {
            return bad("pool: expected a name".to_owned());
        }
        Ok(())
    }
}

/// Returns whether one process can listen on an address and others connect to it.
fn is_reachable(addr: SocketAddr) -> bool {
    let ip = addr.ip().to_canonical();
    let broadcast = matches!(ip, IpAddr::V4(v4) if v4.is_broadcast());
    addr.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !broadcast
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, PartialEq, Eq, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
pub enum Outcome {
    /// The run completed its task.
    Done,
    /// The run failed, through the task's own fault or the worker's.
    Failed,
    /// An order stopped the run.
    Stopped,
    /// The worker ended the run because its lease had expired.
    Lapsed,
    /// The run was ended because another member of its gang had ended.
    Broken,
    /// The run was ended because the other members of its gang hadn't started in time.
    Alone,
}

/// A run in progress, as listed in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "ActiveRunRow", into = "ActiveRunRow")]
pub struct ActiveRun {
    /// The task that is run.
    pub task: TaskId,
    /// The number of the run; each start of a task has a higher one.
    pub run: u64,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress, in percent.
    pub percent: u32,
    /// The load over the last half second: for a task that serves users, its tail latency in
    /// milliseconds; for others, the processor time used, in thousandths of a core.
    pub load: Option<u64>,
}

/// The fields of [`ActiveRun`] in order. Reports between daemons carry rows, which are a fraction of
/// the size of maps.
type ActiveRunRow = (TaskRow, u64, String, u32, Option<u64>);

/// The fields of a [`TaskId`] in order.
type TaskRow = (JobId, u32, u16, u32);

const fn task_row(task: TaskId) -> TaskRow {
    (task.job, task.round, task.step, task.index)
}

const fn task_of((job, round, step, index): TaskRow) -> TaskId {
    TaskId {
        job,
        round,
        step,
        index,
    }
}

impl From<ActiveRun> for ActiveRunRow {
    fn from(r: ActiveRun) -> Self {
        (task_row(r.task), r.run, r.checkpoint, r.percent, r.load)
    }
}

impl From<ActiveRunRow> for ActiveRun {
    fn from((task, run, checkpoint, percent, load): ActiveRunRow) -> Self {
        Self {
            task: task_of(task),
            run,
            checkpoint,
            percent,
            load,
        }
    }
}

/// The fields of [`Completion`] in order.
type CompletionRow = (u64, TaskRow, u64, Outcome, String);

impl From<Completion> for CompletionRow {
    fn from(c: Completion) -> Self {
        (c.number, task_row(c.task), c.run, c.outcome, c.checkpoint)
    }
}

impl From<CompletionRow> for Completion {
    fn from((number, task, run, outcome, checkpoint): CompletionRow) -> Self {
        Self {
            number,
            task: task_of(task),
            run,
            outcome,
            checkpoint,
        }
    }
}

/// The end of a run, as listed in a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "CompletionRow", into = "CompletionRow")]
pub struct Completion {
    /// The completion's number, from one in each incarnation of the worker.
    pub number: u64,
    /// The task that was run.
    pub task: TaskId,
    /// The number of the run that ended.
    pub run: u64,
    /// How the run ended.
    pub outcome: Outcome,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// The most completions that a report lists; later ones follow once these are acknowledged.
pub const REPORTED_COMPLETIONS: usize = 500;

/// A worker's response to a [`Renewal`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The worker's monotonic clock, in milliseconds.
    pub clock: u64,
    /// When its process started, in milliseconds since the Unix epoch; zero when unknown.
    pub started_at: u64,
    /// The runs in progress.
    pub running: Vec<ActiveRun>,
    /// Completions that haven't been acknowledged, the earliest first.
    pub completions: Vec<Completion>,
}

impl Report {
    /// Returns whether there may be completions that the report doesn't list.
    #[must_use]
    pub const fn is_partial(&self) -> bool {
        self.completions.len() >= REPORTED_COMPLETIONS
    }

    /// Returns whether a run is listed, in progress or completed.
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

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, PartialEq, Eq, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
pub enum Refusal {
    /// The worker has had orders of a newer owner.
    Fenced,
    /// The same or a later run of the task was stopped or has ended there.
    Superseded,
    /// The start's deadline has passed.
    Late,
    /// The worker has too few free resources.
    Full,
    /// The start's ticket isn't valid.
    Ticket,
    /// The order can't be decoded or makes no sense.
    Invalid,
    /// The worker is unhealthy and didn't carry out the order.
    Unhealthy,
    /// Another process than the one that the order was meant for answered at the address.
    Reborn,
}

/// The result of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OrderResponse {
    /// The order was carried out; with the worker's clock.
    Accepted(u64),
    /// The order was refused; with the worker's clock if the response has it.
    Refused(Refusal, Option<u64>),
    /// The report that answers a renewal.
    Report(Report),
    /// No usable response came: the order may have been carried out, or may be carried out later.
    Lost,
    /// The order certainly didn't leave the daemon that was to send it.
    Unsent,
}

impl OrderResponse {
    /// Returns the worker's clock in the response to an order other than a renewal, if it has one.
    pub const fn clock(&self) -> Option<u64> {
        match self {
            Self::Accepted(clock) => Some(*clock),
            Self::Refused(_, clock) => *clock,
            Self::Report(_) | Self::Lost | Self::Unsent => None,
        }
    }
}

/// An order to start a run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The task to run.
    pub task: TaskId,
    /// The number of the run; each start of a task has a higher one.
    pub run: u64,
    /// The job's text, which is handed to the task.
    pub text: String,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// The placement adviser's ticket; empty for none.
    pub ticket: String,
    /// The latest time to carry out the start, on the worker's clock; all leases of the worker are
    /// extended to it.
    pub deadline: u64,
    /// The owner's term.
    pub term: u64,
}

/// An order to stop a run, or to never start it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The task whose run is stopped.
    pub task: TaskId,
    /// The number of the run to stop.
    pub run: u64,
    /// The owner's term.
    pub term: u64,
}

/// An order to change the speed of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetPace {
    /// The task whose run changes its speed.
    pub task: TaskId,
    /// The number of the run.
    pub run: u64,
    /// The new speed, in percent of full speed.
    pub percent: u32,
    /// The owner's term.
    pub term: u64,
}

/// An order that renews all leases of a worker, acknowledges completions and asks for a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// When the worker's leases expire, on its own clock; zero to renew none.
    pub expires_at: u64,
    /// The number of the last completion that the owner has made durable; it and earlier ones are
    /// acknowledged.
    pub acked: u64,
    /// How long the worker may hold back the report until a run ends, in milliseconds.
    pub wait_ms: u64,
    /// The owner's term.
    pub term: u64,
    /// When the owner gave the order; only the owner itself needs it.
    #[serde(skip)]
    pub sent_at: UnixMs,
    /// Whether it only asks for a report beside another renewal under way; only the owner itself needs it.
    #[serde(skip)]
    pub is_extra: bool,
}

/// An order to a worker.
#[derive(Clone, Debug, IntoStaticStr, PartialEq, Eq, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
pub enum Order {
    /// Start a run.
    Start(Start),
    /// Stop a run.
    Stop(Stop),
    /// Renew leases and report.
    Renew(Renewal),
    /// Change a run's speed.
    SetPace(SetPace),
}

impl Order {
    /// Returns when the leases expire that the order extends, on the worker's clock; zero if it extends
    /// none.
    #[must_use]
    pub const fn lease_expiry(&self) -> u64 {
        match self {
            Self::Start(start) => start.deadline,
            Self::Renew(renewal) => renewal.expires_at,
            Self::Stop(_) | Self::SetPace(_) => 0,
        }
    }

    /// Returns the task and the number of the run that the order is about; `None` for a renewal.
    #[must_use]
    pub const fn run(&self) -> Option<(&TaskId, u64)> {
        match self {
            Self::Start(start) => Some((&start.task, start.run)),
            Self::Stop(stop) => Some((&stop.task, stop.run)),
            Self::SetPace(pace) => Some((&pace.task, pace.run)),
            Self::Renew(_) => None,
        }
    }

    /// Returns the term of the owner that gives the order.
    #[must_use]
    pub const fn term(&self) -> u64 {
        match self {
            Self::Start(start) => start.term,
            Self::Stop(stop) => stop.term,
            Self::Renew(renewal) => renewal.term,
            Self::SetPace(pace) => pace.term,
        }
    }
}
