//! The planning pass: ready work in order, each piece to its place, and what makes way for it.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::batch::engine::fleet::Stage;
use crate::batch::engine::job::Job;
use crate::batch::engine::{Action, Engine, JobKey, WorkerKey};
use crate::batch::health::Grade;
use crate::batch::id::TaskId;
use crate::batch::pack::{Bin, Need, RackKey, fits_a_rack, in_rack, place_gang, place_one, racks};
use crate::batch::preempt::{Victim, make_room};
use crate::batch::rank::{Rank, Want, rank};
use crate::batch::worker::Room;
use crate::time::UnixMs;

/// How long room that was made is kept for the work it was made for, in milliseconds; source: twice
/// the longest stop of the platform.
const CLAIM_MS: u64 = 2_000;
/// The share of its objective that work waits for a worker near its data before it goes elsewhere,
/// in percent.
const NEAR_PERCENT: u64 = 15;
/// The cost of any stop, for the restart and the delay of its job, in milliseconds of its run time.
const STOP_COST_MS: u64 = 500;
/// What a stop of a run with checkpoints throws away at most, in milliseconds.
const CHECKPOINT_COST_MS: u64 = 600;
/// The work that an urgent unit beyond its guarantee may throw away, in core-milliseconds, and on top
/// of that in percent of its own; source: docs/design/preemption.md.
const URGENT_COST: u64 = 300_000;
const URGENT_COST_PERCENT: u64 = 150;
/// One in so many racks takes no single tasks of the least urgent work; source:
/// docs/design/placement-of-steps.md.
const KEPT_RACKS_DIVISOR: usize = 3;
/// How long a wide gang waits before a rack is kept free for it, in milliseconds.
const RESERVE_AFTER_MS: u64 = 1_500;
/// How long a rack is kept free for one gang at most, in milliseconds; source: about the longest
/// task of the deployments.
const RESERVE_MS: u64 = 9_000;

/// A gang, or one task, that is ready to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Unit {
    job: JobKey,
    round: u32,
    step: u16,
    /// The task; `None` for a whole gang.
    index: Option<u32>,
}

/// A rack kept free for a gang.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reservation {
    unit: Unit,
    rack: RackKey,
    end: UnixMs,
}

/// Room kept for a unit while runs there stop.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    unit: Unit,
    room: Room,
    places: Vec<WorkerKey>,
    end: UnixMs,
}

/// What a pass works on.
struct Pass {
    free: Vec<Room>,
    /// Needs that found no place in this pass; work behind them finds none either.
    failed: HashSet<Shape>,
    guaranteed: HashSet<JobKey>,
    claims: Vec<Claim>,
}

/// What decides whether a place can be found.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Shape {
    pool: String,
    room: Room,
    count: u32,
    label: String,
    near: Option<RackKey>,
    one_rack: bool,
    /// Whether places of others may be taken.
    priority: u32,
    guaranteed: bool,
    strict: bool,
}

impl Engine {
    /// Starts what can start, and makes room for what must.
    pub(super) fn plan(&mut self, out: &mut Vec<Action>) {
        let mut units = self.ready_units();
        if units.is_empty() {
            self.claims.clear();
            self.reserved = None;
            return;
        }
        units.sort_by_key(|(rank, unit)| (*rank, unit.job, unit.round, unit.step, unit.index));
        let now = self.now;
        let mut claims = std::mem::take(&mut self.claims);
        let ready: HashSet<Unit> = units.iter().map(|(_, u)| *u).collect();
        claims.retain(|c| !c.end.passed(now) && ready.contains(&c.unit));
        if self
            .reserved
            .is_some_and(|r| r.end.passed(now) || !ready.contains(&r.unit))
        {
            self.reserved = None;
        }
        let mut pass = Pass {
            free: self
                .workers
                .iter()
                .map(super::fleet::Worker::free)
                .collect(),
            failed: HashSet::new(),
            guaranteed: self.guaranteed_jobs(),
            claims,
        };
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
        let queue = self
            .policy
            .queue(&job.record.queue.name)
            .unwrap_or(&job.record.queue);
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
                    let idle = |t: &super::job::Task| {
                        !t.done && t.on.is_none() && t.retry_at.passed(self.now)
                    };
                    let unit = |index| Unit {
                        job: *key,
                        round: u32::try_from(r).unwrap_or(u32::MAX),
                        step: u16::try_from(s).unwrap_or(u16::MAX),
                        index,
                    };
                    let rank =
                        *rank_of.get_or_insert_with(|| rank(&self.want(*key, job, r), self.now));
                    if step.gang {
                        if run.tasks.iter().all(idle) {
                            units.push((rank, unit(None)));
                        }
                    } else {
                        let tasks = (0u32..).zip(&run.tasks).filter(|(_, t)| idle(t));
                        units.extend(tasks.map(|(i, _)| (rank, unit(Some(i)))));
                    }
                }
            }
        }
        units
    }

    fn place_unit(&mut self, unit: Unit, pass: &mut Pass, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&unit.job) else {
            return;
        };
        let step = job.record.spec.steps[usize::from(unit.step)].clone();
        let tasks = &job.rounds[usize::try_from(unit.round).unwrap_or(0)].steps
            [usize::from(unit.step)]
        .tasks;
        let queue = self
            .policy
            .queue(&job.record.queue.name)
            .unwrap_or(&job.record.queue);
        let count = if step.gang { step.count } else { 1 };
        let waited = self.now.since(job.since);
        let patience = queue.objective_ms(job.record.spec.chain_ms()) * NEAR_PERCENT / 100;
        let near = self
            .rack_of(&step.near_rack)
            .filter(|_| !step.near_rack.is_empty());
        let avoid: Vec<WorkerKey> = match unit.index {
            Some(i) => tasks[usize::try_from(i).unwrap_or(0)].avoid.clone(),
            None => tasks.iter().flat_map(|t| t.avoid.iter().copied()).collect(),
        };
        let fails = tasks.iter().map(|t| t.failed.len()).max().unwrap_or(0);
        let last_try =
            fails > 0 && fails + 1 >= usize::try_from(queue.attempts).unwrap_or(usize::MAX);
        let shape = Shape {
            pool: queue.pool.clone(),
            room: step.charge(),
            count,
            label: step.label.clone(),
            near,
            one_rack: step.gang && step.one_rack,
            priority: queue.priority,
            guaranteed: pass.guaranteed.contains(&unit.job),
            strict: last_try,
        };
        if pass.failed.contains(&shape) && step.per_worker == 0 {
            return;
        }
        let need = Need {
            room: shape.room,
            count,
            one_rack: shape.one_rack,
            near,
        };
        let claimed = pass
            .claims
            .iter()
            .position(|c| c.unit == unit)
            .map(|i| pass.claims.remove(i));
        let mut bins = self.bins(&unit, &shape, &avoid, pass);
        let all = bins.clone();
        if let Some(reserved) = self
            .reserved
            .filter(|r| r.unit != unit && shape.priority > 0)
        {
            bins.retain(|b| b.rack != reserved.rack);
        }
        let more_urgent = |j: &Job| j.is_active() && j.record.queue.priority < shape.priority;
        if shape.priority > 1 && !step.gang && self.jobs.values().any(more_urgent) {
            let kept = racks(&bins).len() / KEPT_RACKS_DIVISOR;
            let last = racks(&bins)
                .into_iter()
                .rev()
                .take(kept)
                .collect::<Vec<_>>();
            bins.retain(|b| !last.contains(&b.rack));
        }
        let wait_near = need.near.is_some() && waited < patience;
        let places = self.find(&bins, &need, step.gang, wait_near);
        if let Some(places) = places {
            self.start_unit(unit, &places, &need, pass, out);
            return;
        }
        if let Some(claim) = claimed {
            // Its room is on the way.
            pass.claims.push(claim);
            return;
        }
        let work = need.room.cores().max(1) * step.estimate_ms * u64::from(count);
        let limit = match (shape.guaranteed, shape.priority) {
            (true, _) => Some(u64::MAX),
            (false, 0) => Some(URGENT_COST + work * URGENT_COST_PERCENT / 100),
            (false, _) => None,
        };
        if let Some(limit) = limit.filter(|_| !wait_near)
            && self.preempt(unit, &all, &need, limit, pass)
        {
            return;
        }
        if step.gang && shape.priority > 0 && self.reserved.is_none() && waited > RESERVE_AFTER_MS {
            self.reserve(unit, &all, &need);
        }
        if !wait_near {
            pass.failed.insert(shape);
        }
    }

    fn rack_of(&self, name: &str) -> Option<RackKey> {
        self.racks
            .iter()
            .find(|((_, rack), _)| rack == name)
            .map(|(_, key)| *key)
    }

    fn find(
        &self,
        bins: &[Bin],
        need: &Need,
        gang: bool,
        wait_near: bool,
    ) -> Option<Vec<WorkerKey>> {
        let near_only: Vec<Bin>;
        let bins = match need.near {
            Some(near) if wait_near => {
                near_only = in_rack(bins, near);
                &near_only
            }
            _ => bins,
        };
        if gang {
            place_gang(bins, need)
        } else {
            place_one(bins, need).map(|i| vec![bins[i].worker])
        }
    }

    /// Returns the workers that may take a unit, with the room that isn't claimed by others.
    fn bins(&self, unit: &Unit, shape: &Shape, avoid: &[WorkerKey], pass: &Pass) -> Vec<Bin> {
        let now = self.now;
        let mut bins = Vec::with_capacity(self.workers.len());
        for key in self.worker_keys() {
            let worker = self.worker(key);
            let target = &worker.target;
            let fits = target.pool == shape.pool
                && (shape.label.is_empty() || target.labels.contains(&shape.label));
            if !fits || !worker.is_usable(now) || avoid.contains(&key) {
                continue;
            }
            let grade = worker.health.grade(now);
            if grade == Grade::Quarantined || (shape.strict && grade == Grade::Suspect) {
                continue;
            }
            let claimed = pass.claims.iter().flat_map(|c| {
                let here = c.places.iter().filter(|p| **p == key).count();
                (here > 0).then(|| c.room.times(u64::try_from(here).unwrap_or(u64::MAX)))
            });
            let free = claimed.fold(pass.free[usize::from(key.0)], |free, room| {
                free.minus(&room)
            });
            bins.push(Bin {
                worker: key,
                rack: worker.rack,
                free,
                whole: target.room,
                grade,
                most: self.room_for_step(unit, key),
            });
        }
        bins
    }

    /// Returns how many more tasks of a unit's step a worker may take.
    fn room_for_step(&self, unit: &Unit, key: WorkerKey) -> u32 {
        let limit = self.jobs.get(&unit.job).map_or(0, |j| {
            j.record.spec.steps[usize::from(unit.step)].per_worker
        });
        if limit == 0 {
            return u32::MAX;
        }
        let same = |(id, run): &(&TaskId, &super::fleet::Run)| {
            run.job == unit.job && id.round == unit.round && id.step == unit.step
        };
        let here = self.worker(key).runs.iter().filter(same).count();
        limit.saturating_sub(u32::try_from(here).unwrap_or(u32::MAX))
    }

    fn start_unit(
        &mut self,
        unit: Unit,
        places: &[WorkerKey],
        need: &Need,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get(&unit.job) else {
            return;
        };
        let id = TaskId {
            job: job.record.id,
            round: unit.round,
            step: unit.step,
            index: unit.index.unwrap_or(0),
        };
        let round = &job.rounds[usize::try_from(unit.round).unwrap_or(0)];
        let tasks = &round.steps[usize::from(unit.step)].tasks;
        let last = match unit.index {
            Some(i) => tasks[usize::try_from(i).unwrap_or(0)].run,
            None => tasks.iter().map(|t| t.run).max().unwrap_or(0),
        };
        let run = self.next_run(last);
        log::info!(
            job = id.job.as_str(), round = unit.round, step = unit.step, run,
            tasks = places.len(), waited_ms = self.now.since(job.since), policy = self.policy.version,
            priority = job.record.queue.priority, guaranteed = pass.guaranteed.contains(&unit.job);
            "work placed"
        );
        if unit.index.is_none() {
            self.equalize_checkpoints(unit);
        }
        if self.reserved.is_some_and(|r| r.unit == unit) {
            self.reserved = None;
        }
        for (index, key) in (id.index..).zip(places) {
            let free = &mut pass.free[usize::from(key.0)];
            *free = free.minus(&need.room);
            self.start(*key, TaskId { index, ..id }, run, out);
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

    /// Stops less urgent runs so that a unit finds room; returns whether room is on the way.
    fn preempt(
        &mut self,
        unit: Unit,
        bins: &[Bin],
        need: &Need,
        limit: u64,
        pass: &mut Pass,
    ) -> bool {
        let guaranteed = pass.guaranteed.contains(&unit.job);
        let Some(priority) = self.jobs.get(&unit.job).map(|j| j.record.queue.priority) else {
            return false;
        };
        let mut groups: BTreeMap<(JobKey, u32, u16, u32), u32> = BTreeMap::new();
        let mut victims: Vec<Victim> = Vec::new();
        let mut members: Vec<(u32, WorkerKey, TaskId)> = Vec::new();
        for key in self.worker_keys() {
            for (id, run) in &self.worker(key).runs {
                let Some(job) = self.jobs.get(&run.job) else {
                    continue;
                };
                let theirs = job.record.queue.priority;
                let yields = theirs > priority
                    || (theirs == priority && guaranteed && !pass.guaranteed.contains(&run.job));
                if !yields || run.stage != Stage::Running {
                    continue;
                }
                let Some(step) = job.step(id) else {
                    continue;
                };
                let member = if step.gang { u32::MAX } else { id.index };
                let next = u32::try_from(groups.len()).unwrap_or(u32::MAX);
                let group = *groups
                    .entry((run.job, id.round, id.step, member))
                    .or_insert(next);
                let elapsed = self.now.since(run.since);
                let lost = if step.checkpoints {
                    elapsed.min(CHECKPOINT_COST_MS)
                } else {
                    elapsed
                };
                victims.push(Victim {
                    worker: key,
                    group,
                    room: run.room,
                    cost: run.room.cores().max(1) * (lost + STOP_COST_MS),
                });
                members.push((group, key, *id));
            }
        }
        let mut totals: HashMap<u32, u64> = HashMap::new();
        for v in &victims {
            *totals.entry(v.group).or_default() += v.cost;
        }
        for v in &mut victims {
            v.cost = totals.get(&v.group).copied().unwrap_or(v.cost);
        }
        let Some(plan) = make_room(bins, &victims, need).filter(|p| p.cost <= limit) else {
            return false;
        };
        for (group, key, id) in members {
            if plan.groups.contains(&group) {
                log::info!(
                    task:% = id, worker = self.worker(key).target.name.as_str(),
                    job = self.jobs.get(&unit.job).map_or("", |j| j.record.id.as_str()),
                    cost = plan.cost, guaranteed;
                    "run makes way for more urgent work"
                );
                self.stop(key, &id);
                self.counts.preempted += 1;
            }
        }
        pass.claims.push(Claim {
            unit,
            room: need.room,
            places: plan.places,
            end: self.now.after(CLAIM_MS),
        });
        true
    }

    /// Keeps the rack free that will soonest hold a gang that found no place.
    fn reserve(&mut self, unit: Unit, bins: &[Bin], need: &Need) {
        if !need.one_rack || !fits_a_rack(bins, need) {
            return;
        }
        let whole = |rack| crate::batch::pack::capacity(&in_rack(bins, rack), need, |b| b.whole);
        let free = |rack| crate::batch::pack::capacity(&in_rack(bins, rack), need, |b| b.free);
        let able = racks(bins).into_iter().filter(|r| whole(*r) >= need.count);
        let Some(rack) = able.max_by_key(|r| (need.near == Some(*r), free(*r))) else {
            return;
        };
        log::info!(job = self.jobs.get(&unit.job).map_or("", |j| j.record.id.as_str()), rack = rack.0, tasks = need.count; "rack kept free for a wide gang");
        self.reserved = Some(Reservation {
            unit,
            rack,
            end: self.now.after(RESERVE_MS),
        });
    }
}
