//! Why the last run of a task counts as gone; only the log uses it.

use strum::IntoStaticStr;

use crate::batch::engine::{Engine, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::worker::Outcome;
use crate::time::UnixMs;

/// Why a run counts as gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Gone {
    /// Its worker was silent until its leases had expired.
    Lease,
    /// Its worker's process had restarted.
    Restart,
    /// Another process answers at its worker's address.
    Address,
    /// Two reports of its worker lacked it.
    Missing,
    /// Its worker refused the start.
    Refused,
    /// Its start wasn't sent: its worker sent no report first.
    Unsent,
    /// Its start got no response, or was stopped, and can't be carried out any more.
    LostStart,
    /// An earlier owner gave it, and this one doesn't know its end.
    Takeover,
    /// Its worker reported its end.
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone,
}

impl Gone {
    /// Returns whether the run may go on if the owner is wrong about its worker.
    fn is_inferred(self) -> bool {
        use Gone::{Address, Lease, LostStart, Missing, Restart, Takeover};
        matches!(
            self,
            Lease | Restart | Address | Missing | LostStart | Takeover
        )
    }
}

impl From<Outcome> for Gone {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Done => Self::Done,
            Outcome::Failed => Self::Failed,
            Outcome::Stopped => Self::Stopped,
            Outcome::Lapsed => Self::Lapsed,
            Outcome::Broken => Self::Broken,
            Outcome::Alone => Self::Alone,
        }
    }
}

/// The last run of a task that counts as gone.
#[derive(Clone, Copy, Debug)]
pub(super) struct GoneRun {
    pub worker: WorkerKey,
    pub why: Gone,
    /// When the worker had last sent a report; `None` if it had sent this owner none.
    pub heard_at: Option<UnixMs>,
}

impl Engine {
    /// Describes a run that is removed from a worker.
    pub(super) fn gone_run(&self, worker: WorkerKey, why: Gone) -> GoneRun {
        let heard_at = self.worker(worker).heard_at;
        GoneRun {
            worker,
            why,
            heard_at,
        }
    }

    /// Logs that a run is given up though no end of it has been reported.
    pub(super) fn log_given_up(&self, key: WorkerKey, id: &TaskId, why: Gone) {
        let worker = self.worker(key);
        let Some(run) = worker.runs.get(id) else {
            return;
        };
        let name: &'static str = why.into();
        let message = match why {
            Gone::Lease => "run given up with a silent worker",
            Gone::Missing => "run missing from the worker's report",
            _ => "run given up",
        };
        log::warn!(
            task:% = id, run = run.run, why = name, worker = worker.target.name.as_str(),
            heard_ms = worker.heard_at.map(|at| self.now.since(at)), listed = run.listed,
            ran_ms = self.now.since(run.started_at);
            "{message}"
        );
    }

    /// Logs that a task is given another run, and why the one `before` counts as gone.
    pub(super) fn log_next_run(
        &self,
        key: WorkerKey,
        id: &TaskId,
        run: u64,
        before: u64,
        gone: Option<GoneRun>,
    ) {
        let why = gone.map_or(Gone::Takeover, |g| g.why);
        let name: &'static str = why.into();
        let level = if why.is_inferred() {
            log::Level::Warn
        } else {
            log::Level::Info
        };
        let from = gone.map_or("", |g| self.worker(g.worker).target.name.as_str());
        log::log!(
            level, task:% = id, run, before, why = name, from,
            heard_ms = gone.and_then(|g| g.heard_at).map(|at| self.now.since(at)),
            worker = self.worker(key).target.name.as_str(),
            confirmed_ms = self.now.since(self.confirmed_at);
            "task starts again"
        );
    }
}
