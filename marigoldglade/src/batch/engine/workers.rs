//! Workers as the owner keeps them in memory: their registry entries, runs and leases.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use crate::batch::engine::acks::Acks;
use crate::batch::engine::{Engine, JobKey, WorkerKey};
use crate::batch::health::Health;
use crate::batch::id::TaskId;
use crate::batch::pace::Pace;
use crate::batch::pack::RackKey;
use crate::batch::worker::{Report, Resources, Target};
use crate::time::UnixMs;

/// The length of a renewed lease, in milliseconds. It outlasts a takeover (the owner's lease and
/// the loading of all records) and is far below the platform's longest lease.
pub const LEASE_MS: u64 = 5_000;
/// How long an owner may continue while the store doesn't confirm its ownership, in milliseconds.
/// It bridges an outage of the store. A new owner relies on the old one to renew no leases after it.
pub const UNCONFIRMED_LIMIT_MS: u64 = 10_000;
/// How much slower than this process's clock a worker's clock may run, in percent; the platform
/// guarantees this bound.
const CLOCK_DRIFT_PERCENT: u64 = 2;
/// A margin added to each computed expiry for responses under way, in milliseconds.
const EXPIRY_SLACK_MS: u64 = 300;

/// How long a start may be under way to a worker, in milliseconds: twice an order's timeout.
const START_TRANSIT_MS: u64 = 1_000;

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    /// The time on the worker's clock, in milliseconds.
    pub clock: u64,
    /// When the response with it arrived.
    pub at: UnixMs,
}

/// The stage of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The start was sent and isn't answered.
    Starting,
    /// The run goes on, as far as is known.
    Running,
    /// The run is to be stopped; the stop is sent again until the worker reports the completion.
    Stopping,
    /// The start was given up, but the run may go on, or may still begin before the start's
    /// deadline.
    Abandoned,
}

/// A run that is, or may be, on a worker.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub job: JobKey,
    /// The number of the run.
    pub run: u64,
    pub resources: Resources,
    pub stage: Stage,
    /// When the start was first sent, or the run was adopted.
    pub started_at: UnixMs,
    /// How often the current order, a start or a stop, has been sent.
    pub sends: u32,
    /// When the current order is sent again.
    pub resend_at: UnixMs,
    /// The worker's clock when the worker last confirmed the run or its stop.
    pub confirmed_clock: u64,
    /// The start's deadline on the worker's clock.
    pub deadline: u64,
    /// The progress in percent.
    pub percent: u32,
    /// When the progress last rose.
    pub progress_at: UnixMs,
    /// Whether a report of the worker has listed the run.
    pub listed: bool,
    /// Whether it may crash its worker, so that nothing else starts there until a report lists it.
    pub isolated: bool,
    /// Whether the worker has restarted since the start was sent, and may have the run or not.
    pub restarted: bool,
    /// Whether the run can't begin any more: the worker obeyed a stop, or refused the start as
    /// superseded.
    pub cannot_start: bool,
    /// The pace that the worker last accepted for the run, in percent; `None` if an earlier owner
    /// may have changed it.
    pub pace: Option<u32>,
}

/// A worker and what the owner knows of it.
pub(super) struct Worker {
    pub target: Arc<Target>,
    pub rack: RackKey,
    /// Whether the registry lists the worker.
    pub listed: bool,
    /// Whether the durable list of workers contains this incarnation.
    pub recorded: bool,
    /// Whether this incarnation has answered this owner.
    pub answered: bool,
    /// Whether the worker comes from an earlier owner's list and hasn't restarted since.
    pub inherited: bool,
    /// Until when the worker may have runs that this owner doesn't know of, unless it answers
    /// before.
    pub uncertain_until: UnixMs,
    pub clock_reading: Option<ClockReading>,
    /// The latest expiry of a lease or start deadline that was sent, on the worker's clock.
    pub lease_expires_at: u64,
    /// How far the worker's completions are applied, durable and acknowledged.
    pub acks: Acks,
    pub runs: BTreeMap<TaskId, Run>,
    /// What the runs take of the worker's capacity.
    pub used: Resources,
    /// Whether a renewal is under way.
    pub renewal_pending: bool,
    /// When the next renewal may be sent.
    pub renewal_after: UnixMs,
    /// When a renewal must be sent to extend the leases, even if completions wait for their commit.
    pub renew_at: UnixMs,
    /// How many renewals in a row failed.
    pub failed_renewals: u32,
    /// Until when the worker gets no work because it was found full or unhealthy.
    pub paused_until: UnixMs,
    pub health: Health,
    /// The pace of the fillers on the worker.
    pub pace: Pace,
    /// Starts that got no response: the task, the run, and until when they may still be carried
    /// out.
    pub lost_starts: Vec<(TaskId, u64, UnixMs)>,
    /// Runs that this incarnation must not begin: their starts were sent to an earlier incarnation,
    /// and their deadlines are on its clock.
    pub stale_starts: Vec<(TaskId, u64)>,
    /// When the stops for stale starts are sent again.
    pub stale_resend_at: UnixMs,
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
            lease_expires_at: 0,
            acks: Acks::default(),
            runs: BTreeMap::new(),
            used: Resources::default(),
            renewal_pending: false,
            renewal_after: now,
            renew_at: now,
            failed_renewals: 0,
            paused_until: now,
            health: Health::default(),
            pace: Pace::default(),
            lost_starts: Vec::new(),
            stale_starts: Vec::new(),
            stale_resend_at: now,
        }
    }

    /// Returns a lower bound of the worker's clock at `now`.
    pub fn clock(&self, now: UnixMs) -> Option<u64> {
        let reading = self.clock_reading?;
        let passed = now.since(reading.at);
        Some(reading.clock + passed - passed * CLOCK_DRIFT_PERCENT / 100)
    }

    /// Returns when all leases of the worker have certainly expired.
    pub fn all_leases_expired_at(&self) -> UnixMs {
        let Some(reading) = self.clock_reading else {
            return self.uncertain_until;
        };
        let left = self.lease_expires_at.saturating_sub(reading.clock);
        reading.at.after(
            left + left * CLOCK_DRIFT_PERCENT / (100 - CLOCK_DRIFT_PERCENT) + EXPIRY_SLACK_MS,
        )
    }

    /// Returns the capacity that no run takes.
    pub fn free(&self) -> Resources {
        self.target.capacity.minus(&self.used)
    }

    /// Returns whether the worker can be given work.
    pub fn is_usable(&self, now: UnixMs) -> bool {
        self.listed
            && self.answered
            && self.recorded
            && !self.target.draining
            && self.failed_renewals == 0
            && self.paused_until.passed(now)
    }

    /// Returns whether a new owner must hear from the worker before it may start tasks again: the
    /// worker may run something, or holds completions that aren't durable.
    pub fn concerns_successor(&self, now: UnixMs) -> bool {
        self.listed
            || !self.runs.is_empty()
            || self.acks.is_pending()
            || !self.uncertain_until.passed(now)
    }

    /// Adds a run.
    pub fn insert(&mut self, task: TaskId, run: Run) {
        self.used = self.used.plus(&run.resources);
        if let Some(old) = self.runs.insert(task, run) {
            self.used = self.used.minus(&old.resources);
        }
    }

    /// Removes a run.
    pub fn remove(&mut self, task: &TaskId) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.used = self.used.minus(&run.resources);
        Some(run)
    }

    /// Resets everything that belonged to the previous incarnation.
    pub fn reset_incarnation(&mut self, clock: u64) {
        for run in self.runs.values_mut() {
            // Both were on the previous incarnation's clock.
            (run.confirmed_clock, run.deadline) = (clock, 0);
            run.restarted = true;
        }
        self.clock_reading = None;
        self.answered = false;
        self.inherited = false;
        self.recorded = false;
        self.lease_expires_at = 0;
        self.acks = Acks::default();
        self.failed_renewals = 0;
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
    /// Adds a worker that may run tasks of an earlier owner.
    pub(super) fn inherit_worker(&mut self, target: Target, predecessors_ended: bool) {
        let unconfirmed_ms = if predecessors_ended {
            0
        } else {
            UNCONFIRMED_LIMIT_MS
        };
        let uncertain_until = self.now.after(unconfirmed_ms + self.inherited_lease_ms());
        let key = self.add_worker(target);
        let worker = self.worker_mut(key);
        worker.inherited = true;
        worker.uncertain_until = uncertain_until;
    }

    /// Returns how long a lease that an earlier owner renews now can last, on this process's clock.
    fn inherited_lease_ms(&self) -> u64 {
        let limit = self.bounds.lease_limit_ms.min(LEASE_MS);
        limit + limit * CLOCK_DRIFT_PERCENT / (100 - CLOCK_DRIFT_PERCENT) + EXPIRY_SLACK_MS
    }

    /// Shortens the wait for silent workers now that no earlier owner renews leases any more.
    pub(super) fn limit_inherited_leases(&mut self) {
        let end = self.now.after(self.inherited_lease_ms());
        let mut silent = 0;
        for worker in &mut self.workers {
            if worker.inherited && !worker.answered {
                worker.uncertain_until = worker.uncertain_until.min(end);
                silent += 1;
            }
        }
        log::info!(term = self.term, silent; "earlier owners have ended; their leases expire");
    }

    fn add_worker(&mut self, target: Target) -> WorkerKey {
        let next = u16::try_from(self.racks.len()).unwrap_or(u16::MAX);
        let rack_name = (target.dc.clone(), target.rack().to_owned());
        let rack = *self.racks.entry(rack_name).or_insert(RackKey(next));
        let key = WorkerKey(u16::try_from(self.workers.len()).unwrap_or(u16::MAX));
        self.worker_names.insert(target.name.clone(), key);
        self.workers.push(Worker::new(target, rack, self.now));
        key
    }

    /// Applies the registry's list of workers.
    pub(super) fn update_registry(&mut self, targets: Vec<Target>) {
        let now = self.now;
        let mut listed = HashSet::new();
        for target in targets {
            let key = match self.worker_names.get(&target.name) {
                Some(key) => *key,
                None => self.add_worker(target.clone()),
            };
            listed.insert(key);
            self.settle_silent_runs(&target, false);
            self.update_worker(key, target);
        }
        for key in self.worker_keys() {
            let worker = self.worker_mut(key);
            if worker.listed && !listed.contains(&key) {
                log::info!(worker = worker.target.name.as_str(), runs = worker.runs.len(); "worker left the registry");
                worker.listed = false;
                // A worker without runs or completions leaves the stored list, so that a new owner
                // doesn't wait for it.
                let leaves = !worker.concerns_successor(now);
                self.workers_dirty |= leaves;
            }
        }
        self.replan = true;
    }

    /// Applies a worker's registry entry.
    fn update_worker(&mut self, key: WorkerKey, target: Target) {
        let now = self.now;
        let worker = self.worker_mut(key);
        if target.started_at > worker.target.started_at && worker.target.started_at > 0 {
            // Only the worker's own report tells which runs belong to the new incarnation.
            let incarnations = (worker.target.started_at, target.started_at);
            log::warn!(worker = target.name.as_str(), runs = worker.runs.len(), old = incarnations.0, new = incarnations.1; "the registry shows a restarted worker");
            worker.target = Arc::new(Target {
                started_at: incarnations.0,
                ..target
            });
            worker.answered = false;
            worker.recorded = false;
            worker.renewal_pending = false;
            worker.renewal_after = now;
            return;
        }
        let worker = self.worker_mut(key);
        // The entry belongs to an earlier incarnation.
        if target.started_at < worker.target.started_at {
            return;
        }
        if !worker.listed {
            log::info!(worker = target.name.as_str(), pool = target.pool.as_str(); "worker joined the registry");
            worker.listed = true;
        }
        if target.draining && !worker.target.draining {
            log::info!(worker = target.name.as_str(), runs = worker.runs.len(); "worker is draining");
            // A new owner that finds no entry of the worker mustn't give it work.
            worker.recorded = false;
        }
        if *worker.target != target {
            let changed =
                worker.target.addr != target.addr || worker.target.capacity != target.capacity;
            worker.target = Arc::new(target);
            if changed {
                worker.recorded = false;
            }
        }
        if !worker.recorded {
            self.workers_dirty = true;
        }
    }

    /// Handles the restart of a worker, or its disappearance if there is no report.
    ///
    /// Keeps only the runs that the new incarnation reports, and those whose start may have reached it
    /// after the report.
    pub(super) fn handle_restart(
        &mut self,
        key: WorkerKey,
        started_at: u64,
        report: Option<&Report>,
        why: &str,
    ) {
        let now = self.now;
        let lease = self.bounds.lease_limit_ms;
        let worker = self.worker_mut(key);
        log::warn!(worker = worker.target.name.as_str(), runs = worker.runs.len(), why = why; "worker restarted");
        let lost = |(task, run): &(&TaskId, &Run)| {
            let Some(report) = report else {
                return true;
            };
            let fresh =
                run.stage == Stage::Starting || now.since(run.started_at) < START_TRANSIT_MS;
            !fresh && !report.lists(task, run.run)
        };
        let tasks: Vec<TaskId> = worker.runs.iter().filter(lost).map(|(t, _)| *t).collect();
        let ended = self.ended_with_process(key, &tasks);
        let worker = self.worker_mut(key);
        worker.lost_starts.retain(|(_, _, end)| !end.passed(now));
        let mut target = (*worker.target).clone();
        target.started_at = started_at;
        worker.target = Arc::new(target);
        worker.reset_incarnation(report.map_or(0, |r| r.clock));
        worker.renewal_after = now;
        for task in tasks {
            self.remove_run(key, &task);
        }
        self.blame(&ended);
        let worker = self.worker_mut(key);
        // A worker cuts the deadline of a start meant for another incarnation to the longest lease.
        let left = if worker.runs.is_empty() {
            0
        } else {
            lease + lease * CLOCK_DRIFT_PERCENT / 100
        };
        worker.uncertain_until = now.after(left);
        self.workers_dirty = true;
        self.replan = true;
    }

    /// Gives up a worker at whose address another process answers.
    pub(super) fn handle_address_reuse(&mut self, key: WorkerKey) {
        let worker = self.worker_mut(key);
        let started_at = worker.target.started_at;
        worker.listed = false;
        self.handle_restart(
            key,
            started_at,
            None,
            "another process answers at its address",
        );
        let target = Arc::clone(&self.worker(key).target);
        self.blame_silent_runs(target.addr, &target.name);
    }

    /// Returns whether an unknown run may be on a worker that hasn't answered.
    pub(super) fn has_unknown_runs(&self) -> bool {
        let unknown = |w: &Worker| !w.answered && !w.uncertain_until.passed(self.now);
        self.workers.iter().any(unknown)
    }
}
