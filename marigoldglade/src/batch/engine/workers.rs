//! Workers in the owner's memory: who they are, what they run, and until when they may.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use crate::batch::engine::{Engine, JobKey, WorkerKey};
use crate::batch::health::Health;
use crate::batch::id::TaskId;
use crate::batch::pace::Pace;
use crate::batch::pack::RackKey;
use crate::batch::worker::{Report, Resources, Target};
use crate::time::UnixMs;

/// The lease that holds extend to, in milliseconds; source: outlasts a takeover (the owner's lease
/// and a load of all records), and is far below the platform's longest lease.
pub const LEASE_MS: u64 = 5_000;
/// How long an owner may go on without its ownership confirmed, in milliseconds; source: bridges
/// an outage of the store; after it, a new owner needn't reckon with new leases of the old one.
pub const UNCONFIRMED_LIMIT_MS: u64 = 10_000;
/// How much slower than ours a worker's clock may run, in percent; source: the platform's bound.
const CLOCK_DRIFT_PERCENT: u64 = 2;
/// Added to each computed lapse for answers under way, in milliseconds.
const EXPIRY_SLACK_MS: u64 = 300;

/// How long a start may be on its way to a worker, in milliseconds; source: twice an order's timeout.
const START_TRANSIT_MS: u64 = 1_000;

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    /// What the worker's clock showed, in milliseconds.
    pub clock: u64,
    /// When the answer came.
    pub at: UnixMs,
}

/// Where a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its start was sent and isn't answered.
    Starting,
    /// It runs, as far as is known.
    Running,
    /// It is to be stopped; the order is sent again until the end is listed.
    Stopping,
    /// Its start was given up: it may run, or may begin before its deadline.
    Abandoned,
}

/// A run that is, or may be, on a worker.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub job: JobKey,
    pub run: u64,
    pub room: Resources,
    pub stage: Stage,
    /// When it was started.
    pub started_at: UnixMs,
    /// Sends of its start or stop.
    pub sends: u32,
    /// When its order is sent again.
    pub resend_at: UnixMs,
    /// The worker's clock when it last confirmed the run or its stop.
    pub confirmed_clock: u64,
    /// The start's deadline on the worker's clock.
    pub deadline: u64,
    /// Progress in percent, and when it last rose.
    pub percent: u32,
    pub progress_at: UnixMs,
    /// Whether its stop was obeyed, so that it can't begin any more.
    pub cannot_start: bool,
    /// The pace that it was told, in percent; `None` when an earlier owner may have told it one.
    pub pace: Option<u32>,
}

/// A worker.
pub(super) struct Worker {
    pub target: Arc<Target>,
    pub rack: RackKey,
    /// Whether the registry lists it.
    pub listed: bool,
    /// Whether the durable list of workers has it in this life.
    pub recorded: bool,
    /// Whether this life of it has answered this owner.
    pub answered: bool,
    /// Whether only an earlier owner has used this life of it.
    pub inherited: bool,
    /// Until when runs of an earlier owner may be there; it ends early with an answer.
    pub uncertain_until: UnixMs,
    pub clock_reading: Option<ClockReading>,
    /// The latest end of a lease that was sent, on the worker's clock.
    pub lease_end: u64,
    /// The last end that was applied, the last that is durable, and the last told to the worker.
    pub last_applied: u64,
    pub last_durable: u64,
    pub last_acked: u64,
    pub runs: BTreeMap<TaskId, Run>,
    pub used: Resources,
    /// Whether a hold is under way.
    pub hold_pending: bool,
    /// When the next hold may be sent, and when it must be to renew the leases.
    pub hold_after: UnixMs,
    pub renew_at: UnixMs,
    /// Holds without an answer, in a row.
    pub unanswered: u32,
    /// When it may get work again after it was found full or unhealthy.
    pub paused_until: UnixMs,
    pub health: Health,
    /// The pace of its fillers.
    pub pace: Pace,
    /// Starts without an answer, and until when they may still be carried out.
    pub lost_starts: Vec<(TaskId, u64, UnixMs)>,
    /// Runs that this life must not begin: their starts were meant for an earlier one, whose clock
    /// their deadlines were on.
    pub stale_starts: Vec<(TaskId, u64)>,
    /// When bars are sent again.
    pub stale_after: UnixMs,
}

impl Worker {
    fn new(target: Target, rack: RackKey, now: UnixMs) -> Self {
        Self {
            target: Arc::new(target),
            rack,
            listed: false,
            recorded: false,
            answered: false,
            inherited: false,
            uncertain_until: now,
            clock_reading: None,
            lease_end: 0,
            last_applied: 0,
            last_durable: 0,
            last_acked: 0,
            runs: BTreeMap::new(),
            used: Resources::default(),
            hold_pending: false,
            hold_after: now,
            renew_at: now,
            unanswered: 0,
            paused_until: now,
            health: Health::default(),
            pace: Pace::default(),
            lost_starts: Vec::new(),
            stale_starts: Vec::new(),
            stale_after: now,
        }
    }

    /// Returns the worker's clock at `now`, at the earliest.
    pub fn clock(&self, now: UnixMs) -> Option<u64> {
        let reading = self.clock_reading?;
        let passed = now.since(reading.at);
        Some(reading.clock + passed - passed * CLOCK_DRIFT_PERCENT / 100)
    }

    /// Returns when all its leases have lapsed for certain.
    pub fn leases_expire_at(&self) -> UnixMs {
        let Some(reading) = self.clock_reading else {
            return self.uncertain_until;
        };
        let left = self.lease_end.saturating_sub(reading.clock);
        reading.at.after(
            left + left * CLOCK_DRIFT_PERCENT / (100 - CLOCK_DRIFT_PERCENT) + EXPIRY_SLACK_MS,
        )
    }

    /// Returns the room that no run takes.
    pub fn free(&self) -> Resources {
        self.target.capacity.minus(&self.used)
    }

    /// Returns whether it can be given work.
    pub fn is_usable(&self, now: UnixMs) -> bool {
        self.listed
            && self.answered
            && self.recorded
            && !self.target.draining
            && self.unanswered == 0
            && self.paused_until.passed(now)
    }

    /// Adds a run.
    pub fn insert(&mut self, task: TaskId, run: Run) {
        self.used = self.used.plus(&run.room);
        if let Some(old) = self.runs.insert(task, run) {
            self.used = self.used.minus(&old.room);
        }
    }

    /// Removes a run.
    pub fn remove(&mut self, task: &TaskId) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.used = self.used.minus(&run.room);
        Some(run)
    }

    /// Forgets all that belonged to an earlier life.
    pub fn reset_incarnation(&mut self, clock: u64) {
        for run in self.runs.values_mut() {
            // Both were on the earlier life's clock.
            (run.confirmed_clock, run.deadline) = (clock, 0);
        }
        self.clock_reading = None;
        self.answered = false;
        self.inherited = false;
        self.recorded = false;
        (
            self.lease_end,
            self.last_applied,
            self.last_durable,
            self.last_acked,
        ) = (0, 0, 0, 0);
        self.unanswered = 0;
        self.health = Health::default();
        self.pace = Pace::default();
        self.stale_starts = self
            .lost_starts
            .drain(..)
            .map(|(task, run, _)| (task, run))
            .collect();
    }
}

impl Engine {
    /// Takes a worker on that may run something of an earlier owner.
    pub(super) fn inherit_worker(&mut self, target: Target, alone: bool) {
        let blind = if alone { 0 } else { UNCONFIRMED_LIMIT_MS };
        let uncertain_until = self.now.after(blind + self.inherited_lease_ms());
        let key = self.add_worker(target);
        let worker = self.worker_mut(key);
        worker.inherited = true;
        worker.uncertain_until = uncertain_until;
    }

    /// How long leases last at most that an earlier owner sent just now, by this process's clock.
    fn inherited_lease_ms(&self) -> u64 {
        let limit = self.bounds.lease_limit_ms.min(LEASE_MS);
        limit + limit * CLOCK_DRIFT_PERCENT / (100 - CLOCK_DRIFT_PERCENT) + EXPIRY_SLACK_MS
    }

    /// No earlier owner extends leases any more.
    pub(super) fn limit_inherited_leases(&mut self) {
        let end = self.now.after(self.inherited_lease_ms());
        let mut silent = 0;
        for worker in &mut self.workers {
            if worker.inherited && !worker.answered {
                worker.uncertain_until = worker.uncertain_until.min(end);
                silent += 1;
            }
        }
        log::info!(term = self.term, silent; "earlier owners have ended; their leases lapse");
    }

    fn add_worker(&mut self, target: Target) -> WorkerKey {
        let next = u16::try_from(self.racks.len()).unwrap_or(u16::MAX);
        let place = (target.dc.clone(), target.rack().to_owned());
        let rack = *self.racks.entry(place).or_insert(RackKey(next));
        let key = WorkerKey(u16::try_from(self.workers.len()).unwrap_or(u16::MAX));
        self.worker_names.insert(target.name.clone(), key);
        self.workers.push(Worker::new(target, rack, self.now));
        key
    }

    /// Takes the registry's list of workers.
    pub(super) fn update_registry(&mut self, targets: Vec<Target>) {
        let mut listed = HashSet::new();
        for target in targets {
            let key = match self.worker_names.get(&target.name) {
                Some(key) => *key,
                None => self.add_worker(target.clone()),
            };
            listed.insert(key);
            self.update_worker(key, target);
        }
        for key in self.worker_keys() {
            let worker = self.worker_mut(key);
            if worker.listed && !listed.contains(&key) {
                log::info!(worker = worker.target.name.as_str(), runs = worker.runs.len(); "worker left the registry");
                worker.listed = false;
                // A new owner needn't wait for a worker on which nothing can run.
                let idle = worker.runs.is_empty();
                self.workers_dirty |= idle;
            }
        }
        self.replan = true;
    }

    fn update_worker(&mut self, key: WorkerKey, target: Target) {
        let now = self.now;
        let worker = self.worker_mut(key);
        if target.started_at > worker.target.started_at && worker.target.started_at > 0 {
            // Only its own report tells which runs belong to the new life.
            let lives = (worker.target.started_at, target.started_at);
            log::warn!(worker = target.name.as_str(), runs = worker.runs.len(), old = lives.0, new = lives.1; "the registry shows a restarted worker");
            worker.target = Arc::new(Target {
                started_at: lives.0,
                ..target
            });
            worker.answered = false;
            worker.recorded = false;
            worker.hold_pending = false;
            worker.hold_after = now;
            return;
        }
        let worker = self.worker_mut(key);
        // An entry of an earlier life says nothing about this one.
        if target.started_at < worker.target.started_at {
            return;
        }
        if !worker.listed {
            log::info!(worker = target.name.as_str(), pool = target.pool.as_str(); "worker joined the registry");
            worker.listed = true;
        }
        if target.draining && !worker.target.draining {
            log::info!(worker = target.name.as_str(), runs = worker.runs.len(); "worker drains");
        }
        if *worker.target != target {
            let moved =
                worker.target.addr != target.addr || worker.target.capacity != target.capacity;
            worker.target = Arc::new(target);
            if moved {
                worker.recorded = false;
            }
        }
        if !worker.recorded {
            self.workers_dirty = true;
        }
    }

    /// A new life of a worker, or none: of what was started there only that is left which the new
    /// life reports, and what may have reached it after its report.
    pub(super) fn handle_restart(
        &mut self,
        key: WorkerKey,
        born: u64,
        report: Option<&Report>,
        why: &str,
    ) {
        let now = self.now;
        let lease = self.bounds.lease_limit_ms;
        let worker = self.worker_mut(key);
        log::warn!(worker = worker.target.name.as_str(), runs = worker.runs.len(), why = why; "worker restarted");
        let gone = |(task, run): &(&TaskId, &Run)| {
            let Some(report) = report else {
                return true;
            };
            let fresh =
                run.stage == Stage::Starting || now.since(run.started_at) < START_TRANSIT_MS;
            !fresh && !report.lists(task, run.run)
        };
        let tasks: Vec<TaskId> = worker.runs.iter().filter(gone).map(|(t, _)| *t).collect();
        worker.lost_starts.retain(|(_, _, end)| !end.passed(now));
        let mut target = (*worker.target).clone();
        target.started_at = born;
        worker.target = Arc::new(target);
        worker.reset_incarnation(report.map_or(0, |r| r.clock));
        worker.hold_after = now;
        for task in tasks {
            self.remove_run(key, &task);
        }
        let worker = self.worker_mut(key);
        // The deadlines of starts that cross lives are cut to the longest lease.
        let left = if worker.runs.is_empty() {
            0
        } else {
            lease + lease * CLOCK_DRIFT_PERCENT / 100
        };
        worker.uncertain_until = now.after(left);
        self.workers_dirty = true;
        self.replan = true;
    }

    /// Gives a worker up at whose address another process answers.
    pub(super) fn handle_address_reuse(&mut self, key: WorkerKey) {
        let worker = self.worker_mut(key);
        let born = worker.target.started_at;
        worker.listed = false;
        self.handle_restart(key, born, None, "another process answers at its address");
    }

    /// Returns whether a run of an earlier owner may be on a worker that hasn't answered.
    pub(super) fn has_unknown_runs(&self) -> bool {
        let doubtful = |w: &Worker| !w.answered && !w.uncertain_until.passed(self.now);
        self.workers.iter().any(doubtful)
    }
}
