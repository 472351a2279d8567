//! The planning pass: it takes the steps that are ready in order of rank, places their tasks on
//! workers, and preempts other runs or reserves capacity where there is none free.

use std::collections::{HashMap, HashSet};

use crate::batch::engine::capacity::RACK_RESERVATION_MS;
use crate::batch::engine::job::Job;
use crate::batch::engine::waits::REPORT_INTERVAL_MS;
use crate::batch::engine::{Action, Engine, JobKey, WorkerKey};
use crate::batch::finish::{SpeedOrder, SpeedRule, place_gang_by_speed, place_some_by_speed};
use crate::batch::id::TaskId;
use crate::batch::pack::{Bin, Demand, RackKey, count_fitting};
use crate::batch::rank::{Outlook, Rank, RankInputs, outlook, rank};
use crate::batch::spec::Step;
use crate::batch::worker::Resources;
use crate::time::UnixMs;

/// How long work waits for a worker near its data before it takes any other, in percent of its
/// objective; less if it is overdue.
const NEAR_PERCENT: u64 = 15;
/// The fixed part of the limit on the work that one step may destroy by preemption, in
/// core-milliseconds. The limit applies to steps of the most urgent priority that the guarantee of
/// their workspace doesn't cover; without it more work is destroyed and no more gets done.
const URGENT_PREEMPT_COST: u64 = 300_000;
/// The variable part of that limit, in percent of the step's own work.
const URGENT_PREEMPT_PERCENT: u64 = 150;
/// How long a gang that isn't urgent waits before a rack is kept free for it, in milliseconds.
const RACK_RESERVATION_AFTER_MS: u64 = 1_500;

/// Identifies a step of a round of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct StepKey {
    pub job: JobKey,
    pub round: u32,
    pub step: u16,
}

/// A rack that is kept free for a gang.
#[derive(Clone, Copy, Debug)]
pub(super) struct RackReservation {
    pub step_key: StepKey,
    pub rack: RackKey,
    pub expires_at: UnixMs,
}

/// Capacity reserved for tasks of a step while the runs that they preempt are stopping.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub step_key: StepKey,
    pub resources: Resources,
    pub workers: Vec<WorkerKey>,
    pub expires_at: UnixMs,
}

/// The state of a planning pass.
pub(super) struct Pass {
    /// The capacity taken by worker.
    pub used: Vec<Resources>,
    /// The most urgent priority of all active jobs.
    pub top_priority: u32,
    /// Shapes of requests that couldn't be placed in this pass: another request of the same shape
    /// can't be placed either.
    pub unplaceable: HashSet<Shape>,
    pub reservations: Vec<Reservation>,
    /// The reserved capacity by worker.
    pub reserved: Vec<Resources>,
    /// Tasks with a run that isn't wanted: they wait for its end.
    pub stopping: HashSet<TaskId>,
    /// What is taken of each pool, and its capacity.
    pub pools: HashMap<String, (Resources, Resources)>,
}

impl Pass {
    /// Adds a reservation, whose capacity other steps can't take in this pass.
    pub fn reserve(&mut self, reservation: Reservation) {
        for worker in &reservation.workers {
            let reserved = &mut self.reserved[usize::from(worker.0)];
            *reserved = reserved.plus(&reservation.resources);
        }
        self.reservations.push(reservation);
    }

    /// Returns the state as it would be without reservations.
    pub fn without_reservations(&self) -> Self {
        Self {
            used: self.used.clone(),
            top_priority: self.top_priority,
            unplaceable: HashSet::new(),
            reservations: Vec::new(),
            reserved: vec![Resources::default(); self.reserved.len()],
            stopping: self.stopping.clone(),
            pools: self.pools.clone(),
        }
    }

    /// Removes the reservation of a step and returns it; `None` if the step has none.
    fn release(&mut self, step_key: StepKey) -> Option<Reservation> {
        let i = self
            .reservations
            .iter()
            .position(|r| r.step_key == step_key)?;
        let reservation = self.reservations.remove(i);
        for worker in &reservation.workers {
            let reserved = &mut self.reserved[usize::from(worker.0)];
            *reserved = reserved.minus(&reservation.resources);
        }
        Some(reservation)
    }
}

/// Returns how much work a step may destroy by preemption, in core-milliseconds; `None` when it may
/// preempt nothing.
fn cost_limit(shape: &Shape, work: u64) -> Option<u64> {
    match (shape.guaranteed, shape.priority) {
        (true, _) => Some(u64::MAX),
        (false, 0) => Some(
            URGENT_PREEMPT_COST.saturating_add(work.saturating_mul(URGENT_PREEMPT_PERCENT) / 100),
        ),
        (false, _) => None,
    }
}

/// Tasks of a step that are placed together.
#[derive(Debug, Default)]
pub(super) struct TaskGroup {
    indices: Vec<u32>,
    /// How often the task that failed most has failed.
    fails: usize,
    /// Workers to avoid because tasks of the group failed or stalled there.
    avoid: Vec<WorkerKey>,
    /// Whether a task of the group may crash workers.
    isolated: bool,
    /// Tasks of the group that may only be started on one worker, by their positions in the group.
    bound: Vec<(usize, WorkerKey)>,
}

/// A request to place a gang or some single tasks of a step.
pub(super) struct PlacementRequest {
    pub demand: Demand,
    pub shape: Shape,
    /// Workers to avoid because tasks of the request failed or stalled there.
    pub avoid: Vec<WorkerKey>,
    /// Tasks that may only be started on one worker, by their positions.
    pub bound: Vec<(usize, WorkerKey)>,
    /// How long the job has waited since it was accepted, in milliseconds.
    pub waited_ms: u64,
}

/// The properties of a request that decide whether it can be placed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Shape {
    pub pool: String,
    pub resources: Resources,
    pub count: u32,
    pub label: String,
    /// The rack near the step's data.
    pub near_rack: Option<RackKey>,
    pub gang: bool,
    pub one_rack: bool,
    /// The queue's priority, on which preemption depends; zero is the most urgent.
    pub priority: u32,
    /// Whether the job is covered by its workspace's guarantee.
    pub guaranteed: bool,
    /// Whether workers in good health are preferred to all others, as this is the last attempt.
    pub prefer_healthy: bool,
    /// The step, if the placement adviser decides which workers may run it.
    pub advised: Option<StepKey>,
    /// Whether only workers near the step's data are considered for now.
    pub near_only: bool,
    /// Whether capacity that is kept free for other work may be taken, as the step has been held back for
    /// too long.
    pub overdue: bool,
    /// Whether the step is an overdue gang that may be spread over racks.
    pub spread: bool,
    /// Whether the tasks may crash workers, so that they start only where no other run is new.
    pub isolated: bool,
    /// The only worker that the task may be started on.
    pub bound: Option<WorkerKey>,
    /// Which workers are suitable by their speed.
    pub speed: SpeedRule,
}

/// Returns workers among some for a whole gang, or for as many single tasks as fit.
pub(super) fn place(
    step: &Step,
    request: &PlacementRequest,
    bins: &[Bin],
) -> Option<Vec<WorkerKey>> {
    let PlacementRequest {
        demand,
        bound,
        shape,
        ..
    } = request;
    if step.gang {
        return place_gang_by_speed(bins, demand, bound, &shape.speed);
    }
    let workers = place_some_by_speed(bins, demand, &shape.speed);
    Some(workers).filter(|workers| !workers.is_empty())
}

impl Engine {
    /// Returns the key of the step that a task belongs to.
    pub(super) fn step_key(&self, id: &TaskId) -> Option<StepKey> {
        Some(StepKey {
            job: *self.job_ids.get(&id.job)?,
            round: id.round,
            step: id.step,
        })
    }

    /// Runs a planning pass: starts the tasks that fit, and preempts or reserves capacity for
    /// others.
    pub(super) fn plan(&mut self, out: &mut Vec<Action>) {
        self.update_idle_times();
        self.speeds = self.speed_range();
        let mut steps = self.ready_steps();
        steps.sort_unstable();
        let now = self.now;
        let ready: HashSet<StepKey> = steps.iter().map(|(_, key)| *key).collect();
        self.renew_rack_reservations(&ready);
        let used = self.workers.iter().map(super::workers::Worker::taken);
        let active = self.jobs.values().filter(|j| j.is_active());
        let mut pass = Pass {
            used: used.collect(),
            top_priority: active
                .map(|j| j.record.queue.priority)
                .min()
                .unwrap_or(u32::MAX),
            unplaceable: HashSet::new(),
            reservations: Vec::new(),
            reserved: vec![Resources::default(); self.workers.len()],
            stopping: self.stopping_tasks(),
            pools: self.measure_pools(),
        };
        for reservation in std::mem::take(&mut self.reservations) {
            if !reservation.expires_at.passed(now) && ready.contains(&reservation.step_key) {
                pass.reserve(reservation);
            }
        }
        if self.may_start() {
            for (_, step_key) in steps {
                self.place_step(step_key, &mut pass, out);
            }
        }
        if self.report_after.passed(now) {
            self.report_after = now.after(REPORT_INTERVAL_MS);
            self.report_waits(&pass);
        }
        self.reservations = pass.reservations;
    }

    /// Returns the jobs that their workspaces' guarantees cover: those of the most urgent priority,
    /// in order of arrival, whose accelerators fit into what is left of the guarantee.
    fn find_guaranteed_jobs(&self) -> HashSet<JobKey> {
        let mut left: HashMap<&str, u64> = HashMap::new();
        let mut covered = HashSet::new();
        for (key, job) in &self.jobs {
            let workspace = job.record.workspace.as_str();
            if !job.is_active() || job.record.queue.priority > 0 || workspace.is_empty() {
                continue;
            }
            let steps = job.record.spec.steps.iter();
            let demand = steps
                .map(|s| s.resources.accels.saturating_mul(u64::from(s.count)))
                .max()
                .unwrap_or(0);
            let left = left
                .entry(workspace)
                .or_insert_with(|| self.policy.guarantee(workspace));
            if let Some(rest) = left.checked_sub(demand) {
                *left = rest;
                covered.insert(*key);
            }
        }
        covered
    }

    /// Returns what decides the rank of a round of a job.
    pub(super) fn rank_inputs(&self, key: JobKey, job: &Job, round: usize) -> RankInputs {
        let queue = &job.record.queue;
        let since = match job.rounds[round].due {
            Some(due) => UnixMs(self.now.0.saturating_sub(self.wall_ms.saturating_sub(due))),
            None => job.accepted_at,
        };
        let chain = job.record.spec.critical_path_ms();
        RankInputs {
            priority: queue.priority,
            guaranteed: self.guaranteed_jobs.contains(&key),
            waiting_since: since,
            finish_by: since.after(queue.objective_ms(chain)),
            remaining_ms: job.remaining_ms(),
            remaining_work: job.remaining_work(),
        }
    }

    /// Returns all steps with tasks that may start now, with their ranks.
    fn ready_steps(&mut self) -> Vec<(Rank, StepKey)> {
        self.guaranteed_jobs = self.find_guaranteed_jobs();
        let unknown_runs = self.count_unknown() > 0;
        let mut steps = Vec::new();
        for (key, job) in &self.jobs {
            let starts = job.is_active() && job.is_recorded();
            if !starts || (job.inherited && unknown_runs) {
                continue;
            }
            for (r, round) in job.rounds.iter().enumerate() {
                if round.due.is_some_and(|due| due > self.wall_ms) {
                    continue;
                }
                let mut rank_of = None;
                for (s, state) in round.steps.iter().enumerate() {
                    let step = &job.record.spec.steps[s];
                    if state.done == step.count || !job.is_ready(round, s) {
                        continue;
                    }
                    let mut tasks = state.tasks.iter();
                    let ready = if step.gang {
                        tasks.all(|t| job.is_idle(t, self.now))
                    } else {
                        tasks.any(|t| job.is_idle(t, self.now))
                    };
                    if !ready {
                        continue;
                    }
                    let step_key = StepKey {
                        job: *key,
                        round: u32::try_from(r).unwrap_or(u32::MAX),
                        step: u16::try_from(s).unwrap_or(u16::MAX),
                    };
                    let rank = *rank_of
                        .get_or_insert_with(|| rank(&self.speed_inputs(*key, job, r), self.now));
                    steps.push((rank, step_key));
                }
            }
        }
        steps
    }

    /// Starts a step's gang, or as many of its single tasks as fit.
    fn place_step(&mut self, step_key: StepKey, pass: &mut Pass, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&step_key.job) else {
            return;
        };
        let step = job.record.spec.steps[usize::from(step_key.step)].clone();
        for group in self.group_tasks(step_key, &step, pass) {
            let request = self.make_request(step_key, &step, &group, pass);
            let indices = group.indices;
            if let Some(workers) = self.find_workers(step_key, &step, &request, pass, out) {
                let assignments = indices.into_iter().zip(workers).collect();
                self.start_step(step_key, assignments, &request.demand, pass, out);
            }
        }
    }

    /// Returns the tasks of a step that may be started now, in groups that are placed together.
    pub(super) fn group_tasks(
        &self,
        step_key: StepKey,
        step: &Step,
        pass: &Pass,
    ) -> Vec<TaskGroup> {
        let Some(job) = self.jobs.get(&step_key.job) else {
            return Vec::new();
        };
        let round = &job.rounds[usize::try_from(step_key.round).unwrap_or(0)];
        let tasks = &round.steps[usize::from(step_key.step)].tasks;
        let now = self.now;
        let id = |index: u32| TaskId {
            job: job.record.id,
            round: step_key.round,
            step: step_key.step,
            index,
        };
        let stopping = |index: u32| !pass.stopping.is_empty() && pass.stopping.contains(&id(index));
        let mut groups: Vec<TaskGroup> = Vec::new();
        if step.gang {
            if (0..step.count).any(stopping) {
                return groups;
            }
            let Ok(bound) = (0u32..)
                .zip(tasks)
                .map(|(i, t)| self.bound_worker(t, &id(i)))
                .collect::<Result<Vec<_>, _>>()
            else {
                return groups;
            };
            let bound = bound.into_iter().enumerate();
            groups.push(TaskGroup {
                bound: bound.filter_map(|(i, key)| Some((i, key?))).collect(),
                indices: (0..step.count).collect(),
                fails: tasks.iter().map(|t| t.failed_runs.len()).max().unwrap_or(0),
                avoid: tasks.iter().flat_map(|t| t.avoid.iter().copied()).collect(),
                isolated: tasks.iter().any(|t| t.is_isolated(now)),
            });
        } else {
            // Tasks that failed or stalled have workers to avoid, those that may crash workers are
            // isolated and others are bound to a worker, so each is placed by itself.
            let (single, others): (Vec<_>, Vec<_>) = (0u32..)
                .zip(tasks)
                .filter(|(i, t)| job.is_idle(t, now) && !stopping(*i))
                .partition(|(_, t)| {
                    !t.avoid.is_empty()
                        || t.is_isolated(now)
                        || t.binding(self.confirmed_at).is_some()
                });
            for (index, task) in single {
                let Ok(bound) = self.bound_worker(task, &id(index)) else {
                    continue;
                };
                groups.push(TaskGroup {
                    indices: vec![index],
                    fails: task.failed_runs.len(),
                    avoid: task.avoid.clone(),
                    isolated: task.is_isolated(now),
                    bound: bound.map(|key| (0, key)).into_iter().collect(),
                });
            }
            if !others.is_empty() {
                groups.push(TaskGroup {
                    indices: others.iter().map(|(i, _)| *i).collect(),
                    ..TaskGroup::default()
                });
            }
        }
        groups
    }

    /// Returns the request to place tasks of a step.
    pub(super) fn make_request(
        &self,
        step_key: StepKey,
        step: &Step,
        group: &TaskGroup,
        pass: &Pass,
    ) -> PlacementRequest {
        let count = u32::try_from(group.indices.len()).unwrap_or(u32::MAX);
        let fails = group.fails;
        let job = &self.jobs[&step_key.job];
        let queue = &job.record.queue;
        let waited_ms = self.now.since(job.accepted_at);
        let near_wait_ms = queue
            .objective_ms(job.record.spec.critical_path_ms())
            .saturating_mul(NEAR_PERCENT)
            / 100;
        let near = Some(&step.near_rack).filter(|name| !name.is_empty());
        let near = near.and_then(|name| self.rack_of(name));
        let demand = Demand {
            resources: step.charge(),
            count,
            one_rack: step.gang && step.one_rack,
            near_rack: near,
            order: SpeedOrder::Any,
        };
        let overdue = self.is_overdue(step_key, step, pass);
        let attempts = usize::try_from(queue.attempts).unwrap_or(usize::MAX);
        let shape = Shape {
            pool: queue.pool.clone(),
            resources: demand.resources,
            count: if step.gang { count } else { 1 },
            label: step.label.clone(),
            near_rack: near,
            gang: step.gang,
            one_rack: demand.one_rack,
            priority: queue.priority,
            guaranteed: self.guaranteed_jobs.contains(&step_key.job),
            prefer_healthy: fails > 0 && fails + 1 >= attempts,
            overdue,
            spread: overdue && demand.one_rack && self.may_spread(step_key),
            near_only: near.is_some()
                && waited_ms < near_wait_ms
                && group.bound.is_empty()
                && !overdue,
            advised: queue.advice.map(|_| step_key),
            isolated: group.isolated,
            bound: group
                .bound
                .first()
                .map(|(_, key)| *key)
                .filter(|_| !step.gang),
            speed: self.speed_rule(step_key, step),
        };
        PlacementRequest {
            demand,
            shape,
            avoid: group.avoid.clone(),
            bound: group.bound.clone(),
            waited_ms,
        }
    }

    /// Returns workers for a whole gang, or for as many single tasks as fit, in the order of the
    /// tasks.
    ///
    /// If there are none, it preempts other runs or reserves a rack, if the request may do so.
    fn find_workers(
        &mut self,
        step_key: StepKey,
        step: &Step,
        request: &PlacementRequest,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) -> Option<Vec<WorkerKey>> {
        let PlacementRequest { demand, shape, .. } = request;
        let no_reservation = shape.priority == 0 || request.waited_ms <= RACK_RESERVATION_AFTER_MS;
        let may_reserve = step.gang
            && !no_reservation
            && self.may_reserve_rack(step_key, &shape.pool, &shape.label);
        // What is reserved for the step may hold it though others of this shape found no room.
        let has_reservation =
            self.has_rack(step_key) || pass.reservations.iter().any(|r| r.step_key == step_key);
        if pass.unplaceable.contains(shape) && !has_reservation {
            if may_reserve {
                let bins = self.candidate_bins(&step_key, shape, &request.avoid, pass);
                self.reserve_rack(step_key, &bins, demand);
            }
            return None;
        }
        let released = pass.release(step_key);
        let mut all = self.candidate_bins(&step_key, shape, &request.avoid, pass);
        if shape.advised.is_some() {
            all = self.allowed_bins(step_key, all, demand, out);
        }
        let unreserved = self.unreserved_bins(step_key, step, shape, &all, pass);
        let bound_gang = step.gang && !request.bound.is_empty();
        let mut workers = place(step, request, &unreserved);
        if workers.is_none() && shape.overdue {
            (all, workers) = self.find_open_workers(step_key, step, request, pass, out);
        }
        if workers.is_some() {
            return workers;
        }
        if let Some(reservation) = released {
            // The preempted runs are still stopping.
            pass.reserve(reservation);
            return None;
        }
        if bound_gang {
            return None;
        }
        let work = demand
            .resources
            .weighted_cores()
            .max(1)
            .saturating_mul(step.estimate_ms)
            .saturating_mul(u64::from(shape.count));
        let limit = cost_limit(shape, work);
        if let Some(limit) = limit.filter(|_| !shape.near_only) {
            // Preemption frees capacity for a gang, or for one single task at a time.
            let demand = Demand {
                count: shape.count,
                ..*demand
            };
            let bins = self.preemption_bins(&all, &demand, shape);
            let preempted = !bins.is_empty() && self.preempt(step_key, &bins, &demand, limit, pass)
                || shape.guaranteed
                    && bins.len() < all.len()
                    && self.preempt(step_key, &all, &demand, limit, pass);
            if preempted {
                return None;
            }
        }
        if may_reserve {
            self.reserve_rack(step_key, &all, demand);
        }
        // The shape says everything about a request without workers to avoid and without a limit of
        // tasks per worker, so others of this shape would fail as well.
        if step.per_worker == 0 && request.avoid.is_empty() {
            pass.unplaceable.insert(shape.clone());
        }
        None
    }

    /// Returns whether an overdue gang has waited long enough for room on one rack: it can't meet its
    /// objective any more, or a rack would have been free by now if one had been kept for it.
    fn may_spread(&self, step_key: StepKey) -> bool {
        let job = &self.jobs[&step_key.job];
        let round = usize::try_from(step_key.round).unwrap_or(0);
        let inputs = self.speed_inputs(step_key.job, job, round);
        outlook(&inputs, self.now) != Outlook::InTime
            || job.idle_since.after(RACK_RESERVATION_MS).passed(self.now)
    }

    /// Returns workers for an overdue request, whatever capacity is kept free for other work, with the
    /// workers considered.
    fn find_open_workers(
        &mut self,
        step_key: StepKey,
        step: &Step,
        request: &PlacementRequest,
        pass: &Pass,
        out: &mut Vec<Action>,
    ) -> (Vec<Bin>, Option<Vec<WorkerKey>>) {
        let PlacementRequest { demand, shape, .. } = request;
        let mut bins = Vec::new();
        for avoid in [&request.avoid[..], &[]] {
            bins = self.open_bins(&step_key, shape, avoid, pass);
            let room = count_fitting(&bins, demand, |b| b.used);
            // With room for less than twice the request, the kept capacity stays reserved for gangs.
            if !step.endless && room < shape.count.saturating_mul(2) {
                continue;
            }
            if shape.advised.is_some() {
                bins = self.allowed_bins(step_key, bins, demand, out);
            }
            let mut workers = place(step, request, &bins);
            // A gang runs slower on several racks, but mustn't wait without end beside free workers.
            if workers.is_none() && shape.spread {
                let demand = Demand {
                    one_rack: false,
                    ..*demand
                };
                workers = place_gang_by_speed(&bins, &demand, &request.bound, &shape.speed);
            }
            if workers.is_some() {
                return (bins, workers);
            }
        }
        (bins, None)
    }

    /// Returns the workers that the placement adviser allows, and asks it about the others if the
    /// allowed ones can't take all tasks.
    fn allowed_bins(
        &mut self,
        step_key: StepKey,
        bins: Vec<Bin>,
        demand: &Demand,
        out: &mut Vec<Action>,
    ) -> Vec<Bin> {
        let (allowed, others): (Vec<_>, Vec<_>) = bins
            .into_iter()
            .partition(|b| self.adviser_ticket(step_key, b.worker).is_some());
        if count_fitting(&allowed, demand, |b| b.used) < demand.count {
            self.request_advice(step_key, &others, demand, out);
        }
        allowed
    }

    /// Starts tasks of a step, given by their indices, on the workers assigned to them.
    fn start_step(
        &mut self,
        step_key: StepKey,
        assignments: Vec<(u32, WorkerKey)>,
        demand: &Demand,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) {
        let job = &self.jobs[&step_key.job];
        let gang = job.record.spec.steps[usize::from(step_key.step)].gang;
        let id = TaskId {
            job: job.record.id,
            round: step_key.round,
            step: step_key.step,
            index: 0,
        };
        let round = &job.rounds[usize::try_from(step_key.round).unwrap_or(0)];
        let tasks = &round.steps[usize::from(step_key.step)].tasks;
        let last = |index: u32| tasks[usize::try_from(index).unwrap_or(0)].last_run;
        // Members of a gang share a run number.
        let highest = assignments.iter().map(|(i, _)| last(*i)).max().unwrap_or(0);
        let run_of =
            |(i, _): &(u32, WorkerKey)| self.next_run(if gang { highest } else { last(*i) });
        let runs: Vec<u64> = assignments.iter().map(run_of).collect();
        log::info!(
            job = id.job.as_str(), round = step_key.round, step = step_key.step,
            run = runs.first().copied().unwrap_or(0), first = assignments.first().map_or(0, |(i, _)| *i),
            tasks = assignments.len(), waited_ms = self.now.since(job.accepted_at), policy = self.policy.version,
            priority = job.record.queue.priority, guaranteed = self.guaranteed_jobs.contains(&step_key.job),
            unanswered = self.count_unknown();
            "work placed"
        );
        if gang {
            self.equalize_checkpoints(step_key);
        }
        self.rack_reservations.retain(|r| r.step_key != step_key);
        for ((index, key), run) in assignments.into_iter().zip(runs) {
            let used = &mut pass.used[usize::from(key.0)];
            *used = used.plus(&demand.resources);
            if let Some((taken, _)) = pass.pools.get_mut(&self.worker(key).target.pool) {
                *taken = taken.plus(&demand.resources);
            }
            self.start_task(key, TaskId { index, ..id }, run, out);
        }
    }

    /// Gives all members of a gang the same checkpoint, since workers demand it.
    fn equalize_checkpoints(&mut self, step_key: StepKey) {
        let Some(job) = self.jobs.get_mut(&step_key.job) else {
            return;
        };
        let round = &mut job.rounds[usize::try_from(step_key.round).unwrap_or(0)];
        let tasks = &mut round.steps[usize::from(step_key.step)].tasks;
        let newest = tasks
            .iter()
            .max_by_key(|t| (t.last_run, !t.checkpoint.is_empty()));
        let checkpoint = newest.map(|t| t.checkpoint.clone()).unwrap_or_default();
        for task in tasks {
            task.checkpoint.clone_from(&checkpoint);
        }
    }
}
