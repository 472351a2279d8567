//! The operators' configuration: queues, workspaces and bounds on calls.

use serde::{Deserialize, Serialize};

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The host name in calls to the queue.
    pub host: String,
    /// The path prefix of calls to the queue.
    pub prefix: String,
    /// The pool of workers that run its tasks.
    pub pool: String,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The number of failed runs of a task that makes its job fail.
    pub attempts: u32,
    /// The factor by which a job's estimated run time is multiplied in its objective.
    pub slack: f64,
    /// The time added to a job's objective, in milliseconds.
    pub target_ms: u64,
    /// Whether calls need no key.
    pub open: bool,
    /// The latency of the placement adviser if the queue's tasks need tickets; `None` if they don't.
    #[serde(default)]
    pub advice: Option<AdviceLatency>,
}

/// How long the placement adviser takes for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceLatency {
    /// The time for any request, in milliseconds.
    pub base_ms: u64,
    /// The time added for each worker in the request, in milliseconds.
    pub worker_ms: u64,
}

/// The time that a request may take beyond the adviser's own, in milliseconds: many times a round
/// trip.
const ADVICE_MARGIN_MS: u64 = 500;

impl AdviceLatency {
    /// Returns the timeout of a request about this number of workers, in milliseconds.
    #[must_use]
    pub fn timeout_ms(&self, workers: usize) -> u64 {
        let workers = u64::try_from(workers).unwrap_or(u64::MAX);
        let variable = self.worker_ms.saturating_mul(workers);
        self.base_ms
            .saturating_add(variable)
            .saturating_add(ADVICE_MARGIN_MS)
    }
}

impl Queue {
    /// Returns the time in which a job should be done, given the estimated run time of its longest
    /// chain of steps, in milliseconds.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "milliseconds of a job are far below 2^52 and not negative"
    )]
    pub fn objective_ms(&self, chain_ms: u64) -> u64 {
        ((self.slack.max(0.0) * chain_ms as f64) as u64).saturating_add(self.target_ms)
    }
}

/// A workspace: a group of callers that share keys and a guarantee.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// The workspace's name.
    pub name: String,
    /// The keys that its callers authenticate with.
    pub keys: Vec<String>,
    /// The number of accelerators guaranteed to its most urgent jobs.
    pub guarantee: u64,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// The pool's name.
    pub name: String,
    /// Whether its workers refuse starts that don't fit into their capacity.
    pub enforces_capacity: bool,
}

/// Bounds on calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The time in which the head must arrive, in milliseconds.
    pub head_ms: u64,
    /// How long a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    // These values apply until the first configuration is loaded.
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
    /// The version, which only increases.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All workspaces.
    pub workspaces: Vec<Workspace>,
    /// All pools of workers.
    #[serde(default)]
    pub pools: Vec<Pool>,
    /// Bounds on calls.
    pub limits: Limits,
}

/// Who makes a call to a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller<'a> {
    /// A caller with a key of the workspace.
    Workspace(&'a Workspace),
    /// A caller without a known key, on a queue that needs none.
    Anyone,
    /// A caller without a known key, on a queue that needs one.
    Unknown,
}

impl Policy {
    /// Returns the queue of a call and its path after the queue's prefix; the longest matching prefix
    /// wins.
    #[must_use]
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|b| b.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        let matches = |q: &&Queue| q.host.eq_ignore_ascii_case(host) && path.starts_with(&q.prefix);
        let queue = self
            .queues
            .iter()
            .filter(matches)
            .max_by_key(|q| q.prefix.len())?;
        Some((queue, &path[queue.prefix.len()..]))
    }

    /// Returns the queue of this name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| q.name == name)
    }

    /// Returns the caller that uses the key on a queue.
    #[must_use]
    pub fn caller(&self, queue: &Queue, key: Option<&str>) -> Caller<'_> {
        let holds = |w: &&Workspace| key.is_some_and(|key| w.keys.iter().any(|k| k == key));
        match self.workspaces.iter().find(holds) {
            Some(workspace) => Caller::Workspace(workspace),
            None if queue.open => Caller::Anyone,
            None => Caller::Unknown,
        }
    }

    /// Returns whether the workers of a pool refuse what doesn't fit; a pool that isn't configured
    /// counts as one that does.
    #[must_use]
    pub fn enforces_capacity(&self, pool: &str) -> bool {
        let known = self.pools.iter().find(|p| p.name == pool);
        known.is_none_or(|p| p.enforces_capacity)
    }

    /// Returns the accelerators guaranteed to a workspace.
    #[must_use]
    pub fn guarantee(&self, workspace: &str) -> u64 {
        let known = self.workspaces.iter().find(|w| w.name == workspace);
        known.map_or(0, |w| w.guarantee)
    }
}
