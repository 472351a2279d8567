//! The operators' configuration of queues and workspaces, as calls are judged by it.

use serde::{Deserialize, Serialize};

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// What its paths begin with.
    pub prefix: String,
    /// The pool of workers that runs its tasks.
    pub pool: String,
    /// From 0, the most urgent.
    pub priority: u32,
    /// The runs of a task that may fail before its job has failed.
    pub attempts: u32,
    /// The factor on a job's run time within which it should be done.
    pub slack: f64,
    /// The time on top of that, in milliseconds.
    pub target_ms: u64,
    /// Whether callers need no key.
    pub open: bool,
    /// What an answer of the placement adviser takes, when its tasks need tickets.
    #[serde(default)]
    pub advice: Option<AdviceLatency>,
}

/// How long the placement adviser takes for a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceLatency {
    /// For any question, in milliseconds.
    pub base_ms: u64,
    /// For each worker in it, in milliseconds.
    pub worker_ms: u64,
}

/// What a question may take beyond the adviser's own time, in milliseconds; source: many times a round
/// trip.
const ADVICE_MARGIN_MS: u64 = 500;

impl AdviceLatency {
    /// Returns how long to wait for the answer about some workers, in milliseconds.
    #[must_use]
    pub fn timeout_ms(&self, workers: usize) -> u64 {
        let workers = u64::try_from(workers).unwrap_or(u64::MAX);
        let takes = self.worker_ms.saturating_mul(workers);
        self.base_ms
            .saturating_add(takes)
            .saturating_add(ADVICE_MARGIN_MS)
    }
}

impl Queue {
    /// Returns the time in which a job of this chain of work should be done, in milliseconds.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "milliseconds of a job are far below 2^52 and not negative"
    )]
    pub fn objective_ms(&self, chain_ms: u64) -> u64 {
        (self.slack.max(0.0) * chain_ms as f64) as u64 + self.target_ms
    }
}

/// A workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// The name.
    pub name: String,
    /// The keys of its callers.
    pub keys: Vec<String>,
    /// Accelerators that its most urgent jobs can always have.
    pub guarantee: u64,
}

/// Bounds on what a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The time for the head, in milliseconds.
    pub head_ms: u64,
    /// The time a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    // The values that apply until the first configuration is there.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 256 << 10,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// The version; it only rises.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The workspaces.
    pub workspaces: Vec<Workspace>,
    /// Bounds on calls.
    pub limits: Limits,
}

/// Who calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller<'a> {
    /// A workspace.
    Workspace(&'a Workspace),
    /// Nobody known, on a queue that needs no key.
    Anyone,
    /// Nobody known, on a queue that needs a key.
    Unknown,
}

impl Policy {
    /// Returns the queue of a call, and the rest of its path.
    #[must_use]
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|b| b.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        let fits = |q: &&Queue| q.host.eq_ignore_ascii_case(host) && path.starts_with(&q.prefix);
        let queue = self
            .queues
            .iter()
            .filter(fits)
            .max_by_key(|q| q.prefix.len())?;
        Some((queue, &path[queue.prefix.len()..]))
    }

    /// Returns the queue of this name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| q.name == name)
    }

    /// Returns who calls a queue with a key.
    #[must_use]
    pub fn caller(&self, queue: &Queue, key: Option<&str>) -> Caller<'_> {
        let holds = |w: &&Workspace| key.is_some_and(|key| w.keys.iter().any(|k| k == key));
        match self.workspaces.iter().find(holds) {
            Some(workspace) => Caller::Workspace(workspace),
            None if queue.open => Caller::Anyone,
            None => Caller::Unknown,
        }
    }

    /// Returns the accelerators guaranteed to a workspace.
    #[must_use]
    pub fn guarantee(&self, workspace: &str) -> u64 {
        let known = self.workspaces.iter().find(|w| w.name == workspace);
        known.map_or(0, |w| w.guarantee)
    }
}
