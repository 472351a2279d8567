//! Work that waits: since when a job has had nothing running, and what holds it back.
//!
//! A planning pass only finds that a request can't be placed now. The log names the reason, for the job
//! that has waited longest for each.

use std::collections::{BTreeMap, HashMap};

use strum::{Display, IntoStaticStr};

use crate::batch::engine::job::Round;
use crate::batch::engine::plan::{Pass, PlacementRequest, Shape, StepKey, place};
use crate::batch::engine::{Engine, JobKey, WorkerKey};
use crate::batch::finish::SpeedRule;
use crate::batch::health::Grade;
use crate::batch::pack::{Bin, count_fitting};
use crate::batch::spec::Step;
use crate::batch::worker::Resources;
use crate::time::UnixMs;

/// How long work may be held back by capacity that is kept free for other work, in milliseconds: half of
/// the platform's bound for work that could run.
pub(super) const HOLD_LIMIT_MS: u64 = 1_500;
/// The share of a pool from which that limit doesn't apply, in thousandths: half, by the platform's rule.
const BUSY_SHARE: u64 = 500;
/// How long a job has nothing running before the log names it, in milliseconds.
const LOGGED_AFTER_MS: u64 = 1_000;
/// The time between two reports in the log, in milliseconds.
pub(super) const REPORT_INTERVAL_MS: u64 = 2_000;

/// What holds back work whose turn has come: the first of these that applies.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, PartialEq, Eq, PartialOrd, Ord)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Hold {
    /// Its acceptance isn't durable yet.
    Commit,
    /// The store hasn't confirmed the ownership lately, so a newer owner may exist.
    Unconfirmed,
    /// Workers haven't told this owner what runs there.
    Takeover,
    /// No task of it may be started yet: it is tried again later, its last change isn't durable, or
    /// workers may still answer.
    Retry,
    /// A run that isn't wanted is still stopping, or a lost start binds the task to a worker without an
    /// answer.
    EarlierRun,
    /// No listed worker has room for it.
    Room,
    /// The workers have room for the gang, but no rack has.
    OneRack,
    /// The workers with room are in data centres that the operators have evacuated.
    Evacuated,
    /// The workers with room are silent, paused or quarantined.
    Workers,
    /// The workers with room are avoided, have other new runs, or have as many of its tasks as they may.
    Avoided,
    /// The room is reserved for work that preempts other runs.
    Preemption,
    /// The room is on racks for urgent work, or on workers in worse health than others.
    UrgentRacks,
    /// The placement adviser hasn't allowed the workers with room.
    Advice,
    /// The room is far from its data.
    NearData,
    /// The room is on racks that are kept free for gangs.
    ReservedRacks,
    /// The room is on racks that take no single tasks of the least urgent work.
    GangRacks,
    /// The room is on workers on which it would be late, and faster ones may have room in time.
    Speed,
    /// The pass took it for a request of the same shape that couldn't be placed.
    Shape,
    /// None of these.
    Unknown,
}

/// The job that has waited longest for a reason.
#[derive(Clone, Copy)]
struct LongestWait {
    since: UnixMs,
    step_key: StepKey,
    /// How many of the tasks that are placed together fit on the listed workers.
    fitting: u32,
    count: u32,
}

impl Pass {
    /// Returns the share of a pool that is taken, in thousandths of its weighted cores.
    fn pool_share(&self, pool: &str) -> u64 {
        let Some((taken, capacity)) = self.pools.get(pool) else {
            return 0;
        };
        let share = taken.weighted_cores().saturating_mul(1_000);
        share.checked_div(capacity.weighted_cores()).unwrap_or(0)
    }
}

impl Engine {
    /// Updates since when each job has had nothing running although a task's turn has come.
    pub(super) fn update_idle_times(&mut self) {
        let (now, wall_ms) = (self.now, self.wall_ms);
        for job in self.jobs.values_mut().filter(|j| j.is_active()) {
            let due = |r: &&Round| r.due.is_none_or(|due| due <= wall_ms);
            let mut rounds = job.rounds.iter().filter(due);
            let waits = !job.has_runs() && rounds.any(|r| job.has_turn(r));
            if !waits {
                job.idle_since = now;
            }
            job.update_endless_tasks(now, wall_ms);
        }
    }

    /// Returns whether a step has been held back for too long, so that capacity that is kept free for other
    /// work is open to it. Unless its tasks are endless, that takes a pool that isn't busy, since kept
    /// capacity is meant for floods.
    pub(super) fn is_overdue(&self, step_key: StepKey, step: &Step, pass: &Pass) -> bool {
        let job = &self.jobs[&step_key.job];
        let limit_passed = |since: UnixMs| since.after(HOLD_LIMIT_MS).passed(self.now);
        if step.endless {
            let round = &job.rounds[usize::try_from(step_key.round).unwrap_or(0)];
            let tasks = &round.steps[usize::from(step_key.step)].tasks;
            return tasks
                .iter()
                .any(|t| job.is_idle(t, self.now) && limit_passed(t.idle_since));
        }
        limit_passed(job.idle_since) && pass.pool_share(&job.record.queue.pool) < BUSY_SHARE
    }

    /// Returns what is taken of each pool, and its capacity: that of all workers that are there and stay,
    /// whether or not they can be given work now. Those in evacuated data centres stay.
    pub(super) fn measure_pools(&self) -> HashMap<String, (Resources, Resources)> {
        let mut pools: HashMap<String, (Resources, Resources)> = HashMap::new();
        for worker in &self.workers {
            let target = &worker.target;
            if worker.listed && !target.draining {
                let (taken, capacity) = pools.entry(target.pool.clone()).or_default();
                *taken = taken.plus(&worker.taken());
                *capacity = capacity.plus(&target.capacity);
            }
        }
        pools
    }

    /// Logs, for each reason, the job that has waited longest with nothing running.
    pub(super) fn report_waits(&self, pass: &Pass) {
        let mut longest: BTreeMap<(Hold, bool), LongestWait> = BTreeMap::new();
        let mut waiting = 0;
        for (key, job) in &self.jobs {
            let since = job.idle_since;
            let waits = since.after(LOGGED_AFTER_MS).passed(self.now) && !job.has_runs();
            if !job.is_active() || !waits {
                continue;
            }
            waiting += 1;
            let Some((step_key, step)) = self.waiting_step(*key) else {
                continue;
            };
            let (hold, fitting) = self.find_hold(step_key, step, pass);
            let wait = LongestWait {
                since,
                step_key,
                fitting,
                count: if step.gang { step.count } else { 1 },
            };
            let entry = longest.entry((hold, step.gang));
            let current = entry.or_insert(wait);
            if since < current.since {
                *current = wait;
            }
        }
        for ((hold, gang), wait) in longest {
            let job = &self.jobs[&wait.step_key.job];
            let need = &job.record.spec.steps[usize::from(wait.step_key.step)].resources;
            let queue = &job.record.queue;
            log::info!(
                job = job.record.id.as_str(), why:% = hold, idle_ms = self.now.since(wait.since),
                fitting = wait.fitting, count = wait.count, gang, priority = queue.priority,
                used = pass.pool_share(&queue.pool), kept = self.rack_reservations.len(),
                need:% = need, step = wait.step_key.step, jobs = waiting;
                "work waits"
            );
        }
    }

    /// Returns the first step of a job whose turn has come.
    fn waiting_step(&self, key: JobKey) -> Option<(StepKey, &Step)> {
        let job = self.jobs.get(&key)?;
        let steps = &job.record.spec.steps;
        for (r, round) in (0u32..).zip(&job.rounds) {
            if round.due.is_some_and(|due| due > self.wall_ms) {
                continue;
            }
            for (s, step) in (0u16..).zip(steps) {
                let i = usize::from(s);
                if round.steps[i].done < step.count && job.is_ready(round, i) {
                    let step_key = StepKey {
                        job: key,
                        round: r,
                        step: s,
                    };
                    return Some((step_key, step));
                }
            }
        }
        None
    }

    /// Returns what holds back a step whose turn has come, and how many of its tasks fit on the listed
    /// workers.
    fn find_hold(&self, step_key: StepKey, step: &Step, pass: &Pass) -> (Hold, u32) {
        let job = &self.jobs[&step_key.job];
        if !job.is_recorded() {
            return (Hold::Commit, 0);
        }
        if !self.may_start() {
            return (Hold::Unconfirmed, 0);
        }
        if job.inherited && self.count_unknown() > 0 {
            return (Hold::Takeover, 0);
        }
        let round = &job.rounds[usize::try_from(step_key.round).unwrap_or(0)];
        let tasks = &round.steps[usize::from(step_key.step)].tasks;
        let idle = tasks.iter().filter(|t| job.is_idle(t, self.now)).count();
        if idle == 0 || (step.gang && idle < tasks.len()) {
            return (Hold::Retry, 0);
        }
        let groups = self.group_tasks(step_key, step, pass);
        let holds = groups.iter().map(|group| {
            let request = self.make_request(step_key, step, group, pass);
            self.find_group_hold(step_key, step, &request, pass)
        });
        // The group that is closest to a start says what the job waits for.
        holds.max().unwrap_or((Hold::EarlierRun, 0))
    }

    fn find_group_hold(
        &self,
        step_key: StepKey,
        step: &Step,
        request: &PlacementRequest,
        pass: &Pass,
    ) -> (Hold, u32) {
        let PlacementRequest { demand, shape, .. } = request;
        let fits = |bins: &[Bin]| has_room(step, request, bins);
        let bin = |key: WorkerKey| {
            let worker = self.worker(key);
            Bin {
                worker: key,
                rack: worker.rack,
                used: pass.used[usize::from(key.0)],
                capacity: worker.target.capacity,
                grade: worker.health.grade(self.now),
                max_tasks: u32::MAX,
                stretch: self.run_times.stretch(key),
            }
        };
        let listed = |key: &WorkerKey| {
            let worker = self.worker(*key);
            worker.listed && !worker.target.draining && worker.matches(&shape.pool, &shape.label)
        };
        let mut bins: Vec<Bin> = self.worker_keys().filter(listed).map(bin).collect();
        let fitting = count_fitting(&bins, demand, |b| b.used);
        if !fits(&bins) {
            let spread = step.gang && fitting >= demand.count;
            return (if spread { Hold::OneRack } else { Hold::Room }, fitting);
        }
        bins.retain(|b| !self.worker(b.worker).evacuated);
        if !fits(&bins) {
            return (Hold::Evacuated, fitting);
        }
        bins.retain(|b| self.worker(b.worker).is_usable(self.now) && b.grade <= Grade::Suspect);
        if !fits(&bins) {
            return (Hold::Workers, fitting);
        }
        let without_reservations = pass.without_reservations();
        let mut bins = self.collect_bins(
            &step_key,
            shape,
            &request.avoid,
            Grade::Suspect,
            &without_reservations,
        );
        if !fits(&bins) {
            return (Hold::Avoided, fitting);
        }
        bins = self.collect_bins(&step_key, shape, &request.avoid, Grade::Suspect, pass);
        if !fits(&bins) {
            return (Hold::Preemption, fitting);
        }
        bins = self.candidate_bins(&step_key, shape, &request.avoid, pass);
        if !fits(&bins) {
            return (Hold::UrgentRacks, fitting);
        }
        if shape.advised.is_some() {
            bins.retain(|b| self.adviser_ticket(step_key, b.worker).is_some());
            if !fits(&bins) {
                return (Hold::Advice, fitting);
            }
        }
        if shape.near_only {
            bins.retain(|b| Some(b.rack) == shape.near_rack);
            if !fits(&bins) {
                return (Hold::NearData, fitting);
            }
        }
        self.exclude_reserved_racks(step_key, shape, &mut bins);
        if !fits(&bins) {
            return (Hold::ReservedRacks, fitting);
        }
        bins = self.unreserved_bins(step_key, step, shape, &bins, pass);
        if !fits(&bins) {
            return (Hold::GangRacks, fitting);
        }
        if step.gang && place(step, request, &bins).is_none() {
            return (Hold::Speed, fitting);
        }
        if pass.unplaceable.contains(shape) {
            return (Hold::Shape, fitting);
        }
        (Hold::Unknown, fitting)
    }
}

/// Returns whether some workers have room for a request, whatever their speed.
fn has_room(step: &Step, request: &PlacementRequest, bins: &[Bin]) -> bool {
    if !step.gang {
        let need = &request.demand.resources;
        return bins.iter().any(|b| b.max_tasks > 0 && b.fits(need));
    }
    let request = PlacementRequest {
        shape: Shape {
            speed: SpeedRule::default(),
            ..request.shape.clone()
        },
        avoid: Vec::new(),
        bound: request.bound.clone(),
        ..*request
    };
    place(step, &request, bins).is_some()
}
