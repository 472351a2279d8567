//! Workers as the owner keeps them in memory: their registry entries, runs and leases.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use crate::batch::engine::acks::Acks;
use crate::batch::engine::gone::Gone;
use crate::batch::engine::leases::{CLOCK_DRIFT_PERCENT, ClockReading};
use crate::batch::engine::lost_sends::LostSends;
use crate::batch::engine::reports::REORDER_LIMIT_MS;
use crate::batch::engine::runs::{LostStart, Run, Stage, UnwantedRun};
use crate::batch::engine::{Engine, Heartbeat, WorkerKey};
use crate::batch::health::Health;
use crate::batch::id::TaskId;
use crate::batch::pace::Pace;
use crate::batch::pack::RackKey;
use crate::batch::worker::{Report, Resources, Target};
use crate::time::UnixMs;

/// How long after it shrinks a worker's old capacity may still be used, in milliseconds: the shortest
/// time in touch of the platform, and a heartbeat.
const SHRINK_DELAY_MS: u64 = 4_500;
/// For how much longer a worker's capacity must count when a start is sent, in milliseconds.
const CAPACITY_MARGIN_MS: u64 = 500;
/// The number of failed renewals in a row after which a worker that hasn't answered counts as silent.
pub(super) const SILENT_THRESHOLD: u32 = 3;

/// How long a start may be under way to a worker, in milliseconds: twice an order's timeout.
const START_TRANSIT_MS: u64 = 1_000;

/// A worker and what the owner knows of it.
pub(super) struct Worker {
    pub target: Arc<Target>,
    pub rack: RackKey,
    /// Whether the worker refuses starts that don't fit into its capacity.
    pub enforces_capacity: bool,
    /// The newest heartbeat that has been read: the start time of the process that it came from, and
    /// a time after which it was written.
    pub heartbeat: Option<(u64, UnixMs)>,
    /// When this incarnation leaves at the earliest, if it has announced that.
    pub departs_at: Option<UnixMs>,
    /// Whether the registry lists the worker.
    pub listed: bool,
    /// Whether the operators have evacuated its data centre.
    pub evacuated: bool,
    /// Whether the durable list of workers contains this incarnation.
    pub recorded: bool,
    /// Whether this incarnation has answered this owner.
    pub answered: bool,
    /// Whether this incarnation has ever answered this owner, and so refuses earlier owners.
    pub fenced: bool,
    /// Whether the worker comes from an earlier owner's list and hasn't restarted since.
    pub inherited: bool,
    /// Whether the worker has sent this owner a report, which its next one may correct.
    pub heard: bool,
    /// When its last report came; only the log uses it.
    pub heard_at: Option<UnixMs>,
    /// Until when the worker may have runs that this owner doesn't know of, unless it answers
    /// before.
    pub uncertain_until: UnixMs,
    /// Whether the log has said that the wait for the worker is over; only the log uses it.
    pub wait_logged: bool,
    pub clock_reading: Option<ClockReading>,
    /// When the last report was asked for. What the owner has learned since may be missing from it, even if
    /// its clock says otherwise: a worker may list its runs before it reads its clock.
    pub asked_at: UnixMs,
    /// Until when responses may come from an address that the worker had before.
    pub moved_until: UnixMs,
    /// The latest expiry of a lease or start deadline that was sent, on the worker's clock.
    pub lease_expires_at: u64,
    /// Until when leases may last that `lease_expires_at` doesn't cover: those that orders which were meant
    /// for an earlier process have extended, or may extend.
    pub foreign_until: UnixMs,
    /// Until when leases may last that an earlier owner renewed.
    pub inherited_until: UnixMs,
    /// Whether the leases of an earlier owner may be as long as the platform allows.
    pub long_leases: bool,
    /// Whether the stored list says that leases may be as long as the platform allows.
    pub listed_long: bool,
    /// Until when an order that got no response and extends leases may still be carried out.
    pub late_until: UnixMs,
    /// Until when the last report shows which process of the worker there is.
    pub confirmed_until: UnixMs,
    /// How far the worker's completions are applied, durable and acknowledged.
    pub acks: Acks,
    /// Until when an acknowledgement that got no response may still be carried out.
    pub late_ack_until: UnixMs,
    /// Until when the worker gets no work because an acknowledgement that was sent to an earlier
    /// process may reach this one, which would forget completions that no owner knows.
    pub idle_until: UnixMs,
    pub runs: BTreeMap<TaskId, Run>,
    /// What the runs take of the worker's capacity.
    pub used: Resources,
    /// The runs that the last report lists and that aren't wanted: they are being stopped.
    pub unwanted: Vec<UnwantedRun>,
    /// Whether the last report left completions out.
    pub partial: bool,
    /// Whether a renewal is under way.
    pub renewal_pending: bool,
    /// Whether a report is to be asked for at once, beside a renewal under way.
    pub report_due: bool,
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
    /// Starts that got no response.
    pub lost_starts: Vec<LostStart>,
    /// The sends of starts that got no response, by run; only the log uses them.
    pub lost_sends: Vec<LostSends>,
    /// Runs that this incarnation must not begin: their starts were sent to an earlier incarnation,
    /// and their deadlines are on its clock.
    pub stale_starts: Vec<LostStart>,
    /// When the stops for stale starts are sent again.
    pub stale_resend_at: UnixMs,
}

impl Worker {
    fn new(target: Target, rack: RackKey, now: UnixMs) -> Self {
        Self {
            target: Arc::new(target),
            rack,
            enforces_capacity: true,
            heartbeat: None,
            departs_at: None,
            listed: false,
            evacuated: false,
            recorded: false,
            answered: false,
            fenced: false,
            inherited: false,
            heard: false,
            heard_at: None,
            uncertain_until: UnixMs(0),
            wait_logged: false,
            clock_reading: None,
            asked_at: UnixMs(0),
            moved_until: now,
            lease_expires_at: 0,
            foreign_until: UnixMs(0),
            inherited_until: UnixMs(0),
            long_leases: false,
            listed_long: false,
            late_until: now,
            confirmed_until: now,
            acks: Acks::default(),
            late_ack_until: now,
            idle_until: now,
            runs: BTreeMap::new(),
            used: Resources::default(),
            unwanted: Vec::new(),
            partial: false,
            renewal_pending: false,
            report_due: false,
            renewal_after: now,
            renew_at: now,
            failed_renewals: 0,
            paused_until: now,
            health: Health::default(),
            pace: Pace::default(),
            lost_starts: Vec::new(),
            lost_sends: Vec::new(),
            stale_starts: Vec::new(),
            stale_resend_at: now,
        }
    }

    /// Returns what is taken of the worker's capacity by all that runs, or may begin, there.
    pub fn taken(&self) -> Resources {
        let stale = self.stale_starts.iter().map(|s| &s.resources);
        let unwanted = self.unwanted.iter().map(|u| &u.resources);
        let others = unwanted.chain(stale);
        others.fold(self.used, |sum, r| sum.plus(r))
    }

    /// Returns until when starts may be based on the capacity that the registry shows; `None` if it
    /// isn't known for this incarnation.
    fn capacity_expires_at(&self) -> Option<UnixMs> {
        if self.enforces_capacity {
            return Some(UnixMs::MAX);
        }
        let (started_at, at) = self.heartbeat?;
        (started_at == self.target.started_at).then(|| at.after(SHRINK_DELAY_MS))
    }

    /// Returns for how long a start may be valid on the worker's clock, at most `limit_ms`; zero if
    /// none may be sent.
    pub fn start_valid_ms(&self, now: UnixMs, limit_ms: u64) -> u64 {
        let end = self.capacity_expires_at().unwrap_or(now);
        let left = end.since(now);
        if left < CAPACITY_MARGIN_MS {
            return 0;
        }
        limit_ms.min(left - left / 100 * CLOCK_DRIFT_PERCENT)
    }

    /// Returns whether a start that is under way may be sent again: the worker's data centre isn't
    /// evacuated, and it refuses what doesn't fit, or its capacity still holds all that runs there and
    /// the run itself.
    pub fn may_resend(&self, now: UnixMs) -> bool {
        let fits = || self.start_valid_ms(now, 1) > 0 && self.target.capacity.covers(&self.taken());
        !self.evacuated && (self.enforces_capacity || fits())
    }

    /// Returns whether the worker can be given work.
    pub fn is_usable(&self, now: UnixMs) -> bool {
        self.takes_work()
            && self.answered
            && self.recorded
            && self.failed_renewals == 0
            && self.paused_until.passed(now)
            && self.idle_until.passed(now)
            && self.start_valid_ms(now, 1) > 0
    }

    /// Returns whether the worker is of a pool and has a label; an empty label stands for none.
    pub fn matches(&self, pool: &str, label: &str) -> bool {
        let has_label = || self.target.labels.iter().any(|l| l == label);
        self.target.pool == pool && (label.is_empty() || has_label())
    }

    /// Returns whether the worker may not be there for a new owner to ask.
    pub fn may_be_gone(&self) -> bool {
        !self.listed || !self.answered || self.target.draining || self.failed_renewals > 0
    }

    /// Returns whether the worker has never answered this owner although it was asked several times, and can
    /// have no order of it: there may be no such worker.
    pub fn is_silent(&self, now: UnixMs) -> bool {
        let mut starts = self.lost_starts.iter().chain(&self.stale_starts);
        !self.answered
            && self.failed_renewals >= SILENT_THRESHOLD
            && self.runs.is_empty()
            && starts.all(|s| s.late_until.passed(now))
    }

    /// Returns whether the last report lacked runs, so that the next one decides whether they are gone.
    pub fn has_missing_runs(&self) -> bool {
        let undecided = |r: &Run| match r.stage {
            Stage::Starting => false,
            Stage::Abandoned => r.absent || r.cannot_start,
            Stage::Running | Stage::Stopping => r.absent,
        };
        self.runs.values().any(undecided) || self.unwanted.iter().any(|u| u.absent)
    }

    /// Returns whether a new owner must hear from the worker before it may start tasks again: the
    /// worker may run something, or holds completions that aren't durable.
    pub fn concerns_successor(&self, now: UnixMs, confirmed_at: UnixMs) -> bool {
        (self.listed && !self.is_silent(now))
            || !self.runs.is_empty()
            || self.acks.is_pending()
            || !self.uncertain_until.passed(confirmed_at)
    }

    /// Returns whether the worker is silent and its leases had expired by `confirmed_at`, so that nothing
    /// runs there unless a newer owner has started it.
    pub fn has_lapsed(&self, confirmed_at: UnixMs) -> bool {
        self.failed_renewals > 0 && self.all_leases_expired_at().passed(confirmed_at)
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

    /// Notes until when the worker certainly stays, which later entries may only extend.
    fn note_departure(&mut self, departs_at: Option<UnixMs>, now: UnixMs) {
        if let (Some(at), None) = (departs_at, self.departs_at) {
            log::info!(worker = self.target.name.as_str(), runs = self.runs.len(), left_ms = at.since(now); "worker has announced its departure");
        }
        self.departs_at = self.departs_at.max(departs_at);
    }

    /// Notes that the worker may have restarted, which its next report decides. Until then it gets no work,
    /// and no completions are acknowledged.
    pub fn await_report(&mut self, now: UnixMs) {
        self.answered = false;
        self.recorded = false;
        self.renewal_pending = false;
        self.renewal_after = now;
    }

    /// Resets everything that belonged to the previous incarnation.
    pub fn reset_incarnation(&mut self, now: UnixMs) {
        for run in self.runs.values_mut() {
            // The deadline was on the previous incarnation's clock.
            (run.confirmed_at, run.deadline) = (now, 0);
            // The report that shows the restart clears this for the runs that it lists.
            (run.cannot_start, run.absent) = (false, true);
            run.restarted = true;
        }
        self.clock_reading = None;
        self.departs_at = None;
        self.answered = false;
        self.fenced = false;
        self.inherited = false;
        self.recorded = false;
        self.lease_expires_at = 0;
        self.acks = Acks::default();
        // What the next process has accepted may be missing from the report that shows the restart.
        let asked_at = self.asked_at;
        self.unwanted.retain(|u| u.known_at >= asked_at);
        self.partial = false;
        self.failed_renewals = 0;
        self.health = Health::default();
        self.pace = Pace::default();
        // They stay lost: the next incarnation must not begin them either.
        self.stale_starts.clone_from(&self.lost_starts);
    }
}

impl Engine {
    pub(super) fn add_worker(&mut self, target: Target) -> WorkerKey {
        let next = u16::try_from(self.racks.len()).unwrap_or(u16::MAX);
        let rack_name = (target.dc.clone(), target.rack().to_owned());
        let rack = *self.racks.entry(rack_name).or_insert(RackKey(next));
        let key = WorkerKey(u16::try_from(self.workers.len()).unwrap_or(u16::MAX));
        self.worker_names.insert(target.name.clone(), key);
        self.run_times.add_worker(key, &target.name);
        let mut worker = Worker::new(target, rack, self.now);
        worker.enforces_capacity = self.policy.enforces_capacity(&worker.target.pool);
        worker.evacuated = self.evacuated.contains(&worker.target.dc);
        self.workers.push(worker);
        key
    }

    /// Applies the registry's list of workers.
    pub(super) fn update_registry(&mut self, targets: Vec<Target>) {
        let (now, confirmed_at) = (self.now, self.confirmed_at);
        let first = !self.workers.iter().any(|w| w.listed);
        if first {
            log::info!(workers = targets.len(), inherited = self.workers.len(), term = self.term; "workers read from the registry");
        }
        let mut listed = HashSet::new();
        self.unbind_moved(&targets);
        for target in targets {
            let key = match self.worker_names.get(&target.name) {
                Some(key) => *key,
                None => self.add_worker(target.clone()),
            };
            listed.insert(key);
            self.settle_silent_runs(&target, false);
            self.update_worker(key, target, first);
        }
        for key in self.worker_keys() {
            let worker = self.worker_mut(key);
            if worker.listed && !listed.contains(&key) {
                log::info!(worker = worker.target.name.as_str(), runs = worker.runs.len(); "worker left the registry");
                worker.listed = false;
                // A worker without runs or completions leaves the stored list, so that a new owner
                // doesn't wait for it.
                let leaves = !worker.concerns_successor(now, confirmed_at);
                self.workers_dirty |= leaves;
            }
        }
        self.mark_evacuated();
        self.replan = true;
    }

    /// Applies heartbeats; the capacities that came with them have been applied before.
    pub(super) fn apply_heartbeats(&mut self, heartbeats: &[Heartbeat]) {
        let now = self.now;
        for heartbeat in heartbeats {
            let Some(key) = self.worker_names.get(&heartbeat.worker).copied() else {
                continue;
            };
            let worker = self.worker_mut(key);
            let newest = (heartbeat.started_at, heartbeat.written_after);
            let was_usable = worker.start_valid_ms(now, 1) > 0;
            worker.heartbeat = worker.heartbeat.max(Some(newest));
            if heartbeat.started_at == worker.target.started_at && worker.target.draining {
                worker.note_departure(heartbeat.departs_at, now);
            }
            let becomes_usable = !was_usable && worker.start_valid_ms(now, 1) > 0;
            self.replan |= becomes_usable;
        }
    }

    /// Applies a worker's registry entry.
    ///
    /// The workers of the `first` list are logged together.
    fn update_worker(&mut self, key: WorkerKey, target: Target, first: bool) {
        let (now, confirmed_at) = (self.now, self.confirmed_at);
        let enforces_capacity = self.policy.enforces_capacity(&target.pool);
        let worker = self.worker_mut(key);
        if target.addr != worker.target.addr {
            worker.moved_until = now.after(REORDER_LIMIT_MS);
        }
        if target.started_at > worker.target.started_at && worker.target.started_at > 0 {
            worker.enforces_capacity = enforces_capacity;
            // Only the worker's own report tells which runs belong to the new incarnation.
            let incarnations = (worker.target.started_at, target.started_at);
            log::warn!(worker = target.name.as_str(), runs = worker.runs.len(), old = incarnations.0, new = incarnations.1; "the registry shows a restarted worker");
            worker.target = Arc::new(Target {
                started_at: incarnations.0,
                ..target
            });
            worker.listed = true;
            let unheard = worker.inherited && !worker.answered;
            worker.await_report(now);
            if unheard {
                self.expect_long_leases(key);
            }
            return;
        }
        let worker = self.worker_mut(key);
        // The entry belongs to an earlier incarnation, unless no report has confirmed the later one.
        if target.started_at < worker.target.started_at && worker.answered {
            return;
        }
        if !worker.listed {
            let level = if first {
                log::Level::Debug
            } else {
                log::Level::Info
            };
            log::log!(level, worker = target.name.as_str(), pool = target.pool.as_str(); "worker joined the registry");
            worker.listed = true;
        }
        if target.draining && !worker.target.draining {
            log::info!(worker = target.name.as_str(), runs = worker.runs.len(); "worker is draining");
            // A new owner that finds no entry of the worker mustn't give it work.
            worker.recorded = false;
        }
        if *worker.target != target {
            let (old, new) = (worker.target.capacity, target.capacity);
            if old != new {
                log::info!(
                    worker = target.name.as_str(), runs = worker.runs.len(), old:% = old, new:% = new,
                    taken:% = worker.taken(), over = !new.covers(&worker.taken());
                    "capacity of a worker has changed"
                );
            }
            let changed = worker.target.addr != target.addr
                || old != new
                || worker.target.started_at != target.started_at;
            worker.enforces_capacity = enforces_capacity;
            if !target.draining {
                worker.departs_at = None;
            }
            worker.target = Arc::new(target);
            if changed {
                worker.recorded = false;
            }
        }
        if !worker.recorded && worker.concerns_successor(now, confirmed_at) {
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
        why: Gone,
    ) {
        let now = self.now;
        let lease = self.bounds.lease_limit_ms;
        let worker = self.worker_mut(key);
        let name: &'static str = why.into();
        log::warn!(
            why = name, worker = worker.target.name.as_str(), runs = worker.runs.len(),
            heard_ms = worker.heard_at.map(|at| now.since(at));
            "worker restarted"
        );
        let asked_at = worker.asked_at;
        let lost = |(task, run): &(&TaskId, &Run)| {
            let Some(report) = report else {
                return true;
            };
            let fresh = run.stage == Stage::Starting
                || now.since(run.started_at) < START_TRANSIT_MS
                || run.confirmed_at > asked_at;
            !fresh && !report.lists(task, run.run)
        };
        let tasks: Vec<TaskId> = worker.runs.iter().filter(lost).map(|(t, _)| *t).collect();
        self.note_restart(key);
        let ended = self.ended_with_process(key, &tasks);
        for task in &tasks {
            self.log_given_up(key, task, why);
        }
        let worker = self.worker_mut(key);
        worker.lost_starts.retain(|s| !s.expires_at.passed(now));
        let mut target = (*worker.target).clone();
        target.started_at = started_at;
        worker.target = Arc::new(target);
        worker.reset_incarnation(now);
        worker.renewal_after = now;
        for task in tasks {
            self.remove_run(key, &task, why);
        }
        self.blame(&ended);
        let worker = self.worker_mut(key);
        worker.expect_late_orders(now, lease);
        // A worker cuts the deadline of a start meant for another incarnation to the longest lease.
        worker.uncertain_until = if worker.runs.is_empty() {
            UnixMs(0)
        } else {
            now.after(lease + lease * CLOCK_DRIFT_PERCENT / 100)
        };
        self.workers_dirty = true;
        self.replan = true;
    }

    /// Gives up a worker at whose address another process answers.
    pub(super) fn handle_address_reuse(&mut self, key: WorkerKey) {
        let worker = self.worker_mut(key);
        let started_at = worker.target.started_at;
        worker.listed = false;
        worker.unwanted.clear();
        self.handle_restart(key, started_at, None, Gone::Address);
        let target = Arc::clone(&self.worker(key).target);
        self.blame_silent_runs(target.addr, &target.name);
        self.unbind_replaced(target.addr, &target.name);
    }

    /// Returns how many workers may have runs or completions that this owner doesn't know.
    pub(super) fn count_unknown(&self) -> usize {
        let confirmed_at = self.confirmed_at;
        let unknown = |w: &&Worker| {
            if w.answered {
                w.partial && !w.has_lapsed(confirmed_at)
            } else {
                !w.uncertain_until.passed(confirmed_at)
            }
        };
        self.workers.iter().filter(unknown).count()
    }

    /// Returns the tasks of runs that aren't wanted and may go on.
    pub(super) fn stopping_tasks(&self) -> HashSet<TaskId> {
        let workers = self.workers.iter();
        let workers = workers.filter(|w| !w.has_lapsed(self.confirmed_at));
        workers.flat_map(|w| &w.unwanted).map(|u| u.task).collect()
    }
}
