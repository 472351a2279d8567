//! The planning pass: ready work in order, each piece to its place, and what makes way for it.

use std::collections::{HashMap, HashSet};

use crate::batch::engine::job::{Job, Task};
use crate::batch::engine::{Action, Engine, JobKey, WorkerKey};
use crate::batch::id::TaskId;
use crate::batch::pack::{Bin, Need, RackKey, capacity, place_gang, place_some};
use crate::batch::rank::{Rank, Want, rank};
use crate::batch::spec::Step;
use crate::batch::worker::Room;
use crate::time::UnixMs;

/// The share of its objective that work waits for a worker near its data before it goes elsewhere,
/// in percent.
const NEAR_PERCENT: u64 = 15;
/// The work that an urgent unit beyond its guarantee may throw away, in core-milliseconds, and on top
/// of that in percent of its own; source: docs/design/preemption.md.
const URGENT_COST: u64 = 300_000;
const URGENT_COST_PERCENT: u64 = 150;
/// How long a gang waits before a rack is kept free for it, in milliseconds.
const RESERVE_AFTER_MS: u64 = 1_500;

/// A step of a round with tasks that are ready to start: a gang, or single tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Unit {
    pub job: JobKey,
    pub round: u32,
    pub step: u16,
}

/// A rack kept free for a gang.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reservation {
    pub unit: Unit,
    pub rack: RackKey,
    pub end: UnixMs,
}

/// Room kept for a unit while runs there stop.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub unit: Unit,
    pub room: Room,
    pub places: Vec<WorkerKey>,
    pub end: UnixMs,
}

/// What a pass works on.
pub(super) struct Pass {
    pub free: Vec<Room>,
    /// The most urgent priority of all active jobs.
    pub top: u32,
    /// Needs that found no place in this pass; work behind them finds none either.
    pub failed: HashSet<Shape>,
    pub claims: Vec<Claim>,
    /// The room of all claims, by worker.
    pub claimed: Vec<Room>,
}

impl Pass {
    pub fn claim(&mut self, claim: Claim) {
        for place in &claim.places {
            let claimed = &mut self.claimed[usize::from(place.0)];
            *claimed = claimed.plus(&claim.room);
        }
        self.claims.push(claim);
    }

    fn unclaim(&mut self, unit: Unit) -> Option<Claim> {
        let i = self.claims.iter().position(|c| c.unit == unit)?;
        let claim = self.claims.remove(i);
        for place in &claim.places {
            let claimed = &mut self.claimed[usize::from(place.0)];
            *claimed = claimed.minus(&claim.room);
        }
        Some(claim)
    }
}

/// Returns the work that a unit may throw away to find room, in core-milliseconds; `None` when it may
/// stop nothing.
fn cost_limit(shape: &Shape, work: u64) -> Option<u64> {
    match (shape.guaranteed, shape.priority) {
        (true, _) => Some(u64::MAX),
        (false, 0) => Some(URGENT_COST + work * URGENT_COST_PERCENT / 100),
        (false, _) => None,
    }
}

/// What is asked for a gang or for single tasks.
struct Ask {
    need: Need,
    shape: Shape,
    avoid: Vec<WorkerKey>,
    /// How long the job has waited, in milliseconds.
    waited: u64,
}

/// What decides whether a place can be found.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Shape {
    pub pool: String,
    pub room: Room,
    pub count: u32,
    pub label: String,
    pub near: Option<RackKey>,
    pub one_rack: bool,
    /// Whether places of others may be taken.
    pub priority: u32,
    pub guaranteed: bool,
    /// Whether only workers that nothing is known against will do.
    pub strict: bool,
    /// The step, where a placement adviser decides for each.
    pub advised: Option<Unit>,
    /// Whether only workers near the data will do.
    pub wait_near: bool,
}

impl Engine {
    /// Returns the step of a round that a task belongs to.
    pub(super) fn unit_of(&self, id: &TaskId) -> Option<Unit> {
        Some(Unit {
            job: *self.ids.get(&id.job)?,
            round: id.round,
            step: id.step,
        })
    }

    /// Starts what can start, and makes room for what must.
    pub(super) fn plan(&mut self, out: &mut Vec<Action>) {
        let mut units = self.ready_units();
        units.sort_unstable();
        let now = self.now;
        let ready: HashSet<Unit> = units.iter().map(|(_, u)| *u).collect();
        self.reserved
            .retain(|r| !r.end.passed(now) && ready.contains(&r.unit));
        let free = self.workers.iter().map(super::workers::Worker::free);
        let active = self.jobs.values().filter(|j| j.is_active());
        let mut pass = Pass {
            free: free.collect(),
            top: active
                .map(|j| j.record.queue.priority)
                .min()
                .unwrap_or(u32::MAX),
            failed: HashSet::new(),
            claims: Vec::new(),
            claimed: vec![Room::default(); self.workers.len()],
        };
        for claim in std::mem::take(&mut self.claims) {
            if !claim.end.passed(now) && ready.contains(&claim.unit) {
                pass.claim(claim);
            }
        }
        for (_, unit) in units {
            self.place_unit(unit, &mut pass, out);
        }
        self.claims = pass.claims;
    }

    /// Returns the jobs that their workspaces' guarantees cover: the earliest, as far as it goes.
    fn guaranteed_jobs(&self) -> HashSet<JobKey> {
        let mut left: HashMap<&str, u64> = HashMap::new();
        let mut covered = HashSet::new();
        for (key, job) in &self.jobs {
            let workspace = job.record.workspace.as_str();
            if !job.is_active() || job.record.queue.priority > 0 || workspace.is_empty() {
                continue;
            }
            let steps = job.record.spec.steps.iter();
            let need = steps
                .map(|s| s.room.accels * u64::from(s.count))
                .max()
                .unwrap_or(0);
            let left = left
                .entry(workspace)
                .or_insert_with(|| self.policy.guarantee(workspace));
            if let Some(rest) = left.checked_sub(need) {
                *left = rest;
                covered.insert(*key);
            }
        }
        covered
    }

    fn want(&self, key: JobKey, job: &Job, round: usize) -> Want {
        let queue = &job.record.queue;
        let since = match job.rounds[round].due {
            Some(due) => UnixMs(self.now.0.saturating_sub(self.wall.saturating_sub(due))),
            None => job.since,
        };
        let chain = job.record.spec.chain_ms();
        Want {
            priority: queue.priority,
            guaranteed: self.covered.contains(&key),
            since,
            goal: since.after(queue.objective_ms(chain)),
            left_ms: job.left_ms(),
            work: job.left_work(),
        }
    }

    /// Returns all work that may start now, with its rank.
    fn ready_units(&mut self) -> Vec<(Rank, Unit)> {
        self.covered = self.guaranteed_jobs();
        let doubts = self.has_doubts();
        let mut units = Vec::new();
        for (key, job) in &self.jobs {
            if !job.is_active() || (job.inherited && doubts) {
                continue;
            }
            for (r, round) in job.rounds.iter().enumerate() {
                if round.due.is_some_and(|due| due > self.wall) {
                    continue;
                }
                let mut rank_of = None;
                for (s, run) in round.steps.iter().enumerate() {
                    let step = &job.record.spec.steps[s];
                    if run.done == step.count || !job.is_ready(round, s) {
                        continue;
                    }
                    let mut tasks = run.tasks.iter();
                    let ready = if step.gang {
                        tasks.all(|t| self.is_idle(t))
                    } else {
                        tasks.any(|t| self.is_idle(t))
                    };
                    if !ready {
                        continue;
                    }
                    let unit = Unit {
                        job: *key,
                        round: u32::try_from(r).unwrap_or(u32::MAX),
                        step: u16::try_from(s).unwrap_or(u16::MAX),
                    };
                    let rank =
                        *rank_of.get_or_insert_with(|| rank(&self.want(*key, job, r), self.now));
                    units.push((rank, unit));
                }
            }
        }
        units
    }

    fn is_idle(&self, task: &Task) -> bool {
        !task.done && task.on.is_none() && task.retry_at.passed(self.now)
    }

    /// Starts a gang, or as many of a step's single tasks as there is room for.
    fn place_unit(&mut self, unit: Unit, pass: &mut Pass, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&unit.job) else {
            return;
        };
        let step = job.record.spec.steps[usize::from(unit.step)].clone();
        let round = &job.rounds[usize::try_from(unit.round).unwrap_or(0)];
        let tasks = &round.steps[usize::from(unit.step)].tasks;
        let idle = |(_, t): &(u32, &Task)| self.is_idle(t);
        let mut sets: Vec<(Vec<u32>, usize, Vec<WorkerKey>)> = Vec::new();
        if step.gang {
            let fails = tasks.iter().map(|t| t.failed.len()).max().unwrap_or(0);
            let avoid = tasks.iter().flat_map(|t| t.avoid.iter().copied()).collect();
            sets.push(((0..step.count).collect(), fails, avoid));
        } else {
            // Tasks that have failed have workers to avoid, so that each is placed by itself.
            let (failed, fresh): (Vec<_>, Vec<_>) = (0u32..)
                .zip(tasks)
                .filter(idle)
                .partition(|(_, t)| !t.avoid.is_empty());
            for (index, task) in failed {
                sets.push((vec![index], task.failed.len(), task.avoid.clone()));
            }
            if !fresh.is_empty() {
                sets.push((fresh.iter().map(|(i, _)| *i).collect(), 0, Vec::new()));
            }
        }
        for (indices, fails, avoid) in sets {
            let count = u32::try_from(indices.len()).unwrap_or(u32::MAX);
            let ask = self.ask(unit, &step, count, fails, avoid);
            if let Some(places) = self.place(unit, &step, &ask, pass, out) {
                let places = indices.into_iter().zip(places).collect();
                self.start_unit(unit, places, &ask.need, pass, out);
            }
        }
    }

    fn ask(&self, unit: Unit, step: &Step, count: u32, fails: usize, avoid: Vec<WorkerKey>) -> Ask {
        let job = &self.jobs[&unit.job];
        let queue = &job.record.queue;
        let waited = self.now.since(job.since);
        let patience = queue.objective_ms(job.record.spec.chain_ms()) * NEAR_PERCENT / 100;
        let near = Some(&step.near_rack).filter(|name| !name.is_empty());
        let near = near.and_then(|name| self.rack_of(name));
        let need = Need {
            room: step.charge(),
            count,
            one_rack: step.gang && step.one_rack,
            near,
        };
        let attempts = usize::try_from(queue.attempts).unwrap_or(usize::MAX);
        let shape = Shape {
            pool: queue.pool.clone(),
            room: need.room,
            count: if step.gang { count } else { 1 },
            label: step.label.clone(),
            near,
            one_rack: need.one_rack,
            priority: queue.priority,
            guaranteed: self.covered.contains(&unit.job),
            strict: fails > 0 && fails + 1 >= attempts,
            wait_near: near.is_some() && waited < patience,
            advised: queue.advice.map(|_| unit),
        };
        Ask {
            need,
            shape,
            avoid,
            waited,
        }
    }

    /// Returns places for a whole gang, or for the first of some single tasks.
    fn place(
        &mut self,
        unit: Unit,
        step: &Step,
        ask: &Ask,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) -> Option<Vec<WorkerKey>> {
        let Ask { need, shape, .. } = ask;
        let patient = shape.priority == 0 || ask.waited <= RESERVE_AFTER_MS;
        let reserves = step.gang && !patient && self.may_reserve(unit);
        if pass.failed.contains(shape) {
            if reserves {
                let bins = self.bins(&unit, shape, &ask.avoid, pass);
                self.reserve(unit, &bins, need);
            }
            return None;
        }
        let claimed = pass.unclaim(unit);
        let mut all = self.bins(&unit, shape, &ask.avoid, pass);
        if shape.advised.is_some() {
            all = self.allowed_bins(unit, all, need, out);
        }
        let mut bins = self.open_bins(unit, step, shape, &all, pass);
        let places = if step.gang {
            place_gang(&bins, need)
        } else {
            Some(place_some(&mut bins, need)).filter(|places| !places.is_empty())
        };
        if places.is_some() {
            return places;
        }
        if let Some(claim) = claimed {
            // Its room is on the way.
            pass.claim(claim);
            return None;
        }
        let work = need.room.cores().max(1) * step.estimate_ms * u64::from(shape.count);
        let limit = cost_limit(shape, work);
        if let Some(limit) = limit.filter(|_| !shape.wait_near) {
            // Single tasks are made room for one by one.
            let need = Need {
                count: shape.count,
                ..*need
            };
            if self.preempt(unit, &all, &need, limit, pass) {
                return None;
            }
        }
        if reserves {
            self.reserve(unit, &all, need);
        }
        // What is asked for without a wish of its own fails for all that ask for as much.
        if step.per_worker == 0 && ask.avoid.is_empty() {
            pass.failed.insert(shape.clone());
        }
        None
    }

    /// Returns those of some workers that the placement adviser allows, and asks about others while
    /// the allowed ones don't hold all tasks.
    fn allowed_bins(
        &mut self,
        unit: Unit,
        bins: Vec<Bin>,
        need: &Need,
        out: &mut Vec<Action>,
    ) -> Vec<Bin> {
        let (allowed, others): (Vec<_>, Vec<_>) = bins
            .into_iter()
            .partition(|b| self.ticket(unit, b.worker).is_some());
        if capacity(&allowed, need, |b| b.free) < need.count {
            self.ask_adviser(unit, &others, need, out);
        }
        allowed
    }

    fn start_unit(
        &mut self,
        unit: Unit,
        places: Vec<(u32, WorkerKey)>,
        need: &Need,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) {
        let job = &self.jobs[&unit.job];
        let gang = job.record.spec.steps[usize::from(unit.step)].gang;
        let id = TaskId {
            job: job.record.id,
            round: unit.round,
            step: unit.step,
            index: 0,
        };
        let round = &job.rounds[usize::try_from(unit.round).unwrap_or(0)];
        let tasks = &round.steps[usize::from(unit.step)].tasks;
        let last = |index: u32| tasks[usize::try_from(index).unwrap_or(0)].run;
        // Members of a gang share a run number.
        let highest = places.iter().map(|(i, _)| last(*i)).max().unwrap_or(0);
        let run_of =
            |(i, _): &(u32, WorkerKey)| self.next_run(if gang { highest } else { last(*i) });
        let runs: Vec<u64> = places.iter().map(run_of).collect();
        log::info!(
            job = id.job.as_str(), round = unit.round, step = unit.step,
            run = runs.first().copied().unwrap_or(0), first = places.first().map_or(0, |(i, _)| *i),
            tasks = places.len(), waited_ms = self.now.since(job.since), policy = self.policy.version,
            priority = job.record.queue.priority, guaranteed = self.covered.contains(&unit.job);
            "work placed"
        );
        if gang {
            self.equalize_checkpoints(unit);
        }
        self.reserved.retain(|r| r.unit != unit);
        for ((index, key), run) in places.into_iter().zip(runs) {
            let free = &mut pass.free[usize::from(key.0)];
            *free = free.minus(&need.room);
            self.start(key, TaskId { index, ..id }, run, out);
        }
    }

    /// Gives all members of a gang the same checkpoint, as workers demand.
    fn equalize_checkpoints(&mut self, unit: Unit) {
        let Some(job) = self.jobs.get_mut(&unit.job) else {
            return;
        };
        let round = &mut job.rounds[usize::try_from(unit.round).unwrap_or(0)];
        let tasks = &mut round.steps[usize::from(unit.step)].tasks;
        let newest = tasks.iter().max_by_key(|t| (t.run, !t.saved.is_empty()));
        let saved = newest.map(|t| t.saved.clone()).unwrap_or_default();
        for task in tasks {
            task.saved.clone_from(&saved);
        }
    }
}
