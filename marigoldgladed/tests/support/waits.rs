//! Accepted work that could have run and had nothing running, by what callers and workers have recorded.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use marigoldglade::batch::id::{JobId, TaskId};
use marigoldglade::batch::worker::{Outcome, Resources};
use standin::batch_worker::WorkerEvent;

use crate::record::{Event, RECORD_MS};

/// How long a job may have nothing running while it could run, in milliseconds.
const WAIT_LIMIT_MS: u64 = 3_000;
/// How long there must have been no fault before that time counts, in milliseconds.
const CALM_MS: u64 = 4_000;
/// How many times over a job must fit for it to count as one that could run.
const TIMES_FITTING: u64 = 2;

/// A job of one step that a caller has submitted. Times are in milliseconds since the test's start.
#[derive(Clone, Copy, Debug)]
pub struct SubmittedJob {
    pub id: JobId,
    /// When the caller knew that the job was accepted, if it did.
    pub accepted_at: Option<u64>,
    /// From when on it needn't run: its cancelling was sent, or it may have failed.
    pub over_at: u64,
    /// What each of its tasks takes.
    pub need: Resources,
    pub count: u32,
    /// Whether its tasks start together.
    pub gang: bool,
}

impl SubmittedJob {
    pub fn new(id: JobId, need: Resources, count: u32, gang: bool) -> Self {
        Self {
            id,
            accepted_at: None,
            over_at: u64::MAX,
            need,
            count,
            gang,
        }
    }

    fn is_open(&self, at: u64) -> bool {
        self.accepted_at.is_some_and(|from| from <= at) && at < self.over_at
    }
}

/// A time in which a job had nothing running although it could run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    pub job: JobId,
    pub from: u64,
    pub until: u64,
}

impl fmt::Display for Wait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} from {} to {} ms", self.job, self.from, self.until)
    }
}

/// What runs on the workers at a moment.
struct Fleet<'a> {
    capacities: &'a [Resources],
    needs: BTreeMap<JobId, Resources>,
    runs: BTreeSet<(usize, TaskId)>,
    done: BTreeSet<TaskId>,
}

impl Fleet<'_> {
    fn apply(&mut self, worker: usize, event: &WorkerEvent) {
        match event {
            WorkerEvent::Started(task, _) => {
                self.runs.insert((worker, *task));
            }
            WorkerEvent::Ended(_, task, _, outcome) => {
                self.runs.remove(&(worker, *task));
                if *outcome == Outcome::Done {
                    self.done.insert(*task);
                }
            }
            WorkerEvent::Acknowledged(_) => {}
        }
    }

    /// Returns what is free on each worker if less than half of the fleet is in use.
    fn spare_room(&self) -> Option<Vec<Resources>> {
        let mut used = vec![Resources::default(); self.capacities.len()];
        for (worker, task) in &self.runs {
            let need = self.needs.get(&task.job).copied().unwrap_or_default();
            used[*worker] = used[*worker].plus(&need);
        }
        let cores = |all: &[Resources]| all.iter().map(Resources::weighted_cores).sum::<u64>();
        let spare = 2 * cores(&used) < cores(self.capacities);
        let free = self.capacities.iter().zip(&used).map(|(c, u)| c.minus(u));
        spare.then(|| free.collect())
    }

    /// Returns whether a job has nothing running although a task is left and there is room for it. A gang's
    /// tasks end together, so one that is done stands for all.
    fn waits(&self, job: &SubmittedJob, free: &[Resources]) -> bool {
        let done = self.done.iter().filter(|t| t.job == job.id).count();
        let is_done = done == job.count as usize || (job.gang && done > 0);
        let runs = self.runs.iter().any(|(_, t)| t.job == job.id);
        let fitting = |room: &Resources| u64::from(room.max_tasks(&job.need, u32::MAX));
        let together = if job.gang { u64::from(job.count) } else { 1 };
        let room: u64 = free.iter().map(fitting).sum();
        !runs && !is_done && room >= TIMES_FITTING * together
    }
}

/// Returns each job's time of nothing running, if it is too long. `faults` are the moments at which a fault
/// was open; the workers' events end at `end`.
pub fn find_waits(
    capacities: &[Resources],
    jobs: &[SubmittedJob],
    mut events: Vec<Event>,
    faults: &[u64],
    end: u64,
) -> Vec<Wait> {
    events.sort_by_key(|(at, _, _)| *at);
    let faults: BTreeSet<u64> = faults.iter().copied().collect();
    let mut moments: BTreeSet<u64> = events.iter().map(|(at, _, _)| *at).collect();
    moments.extend(jobs.iter().filter_map(|j| j.accepted_at));
    moments.extend(jobs.iter().map(|j| j.over_at));
    moments.extend(faults.iter().flat_map(|at| [*at, at + CALM_MS]));
    moments.retain(|at| *at < end);
    moments.insert(end);
    let mut fleet = Fleet {
        capacities,
        needs: jobs.iter().map(|j| (j.id, j.need)).collect(),
        runs: BTreeSet::new(),
        done: BTreeSet::new(),
    };
    let mut events = events.iter().peekable();
    let mut since: BTreeMap<JobId, u64> = BTreeMap::new();
    let mut waits = Vec::new();
    for now in moments {
        while let Some((_, worker, event)) = events.next_if(|(at, _, _)| *at <= now) {
            fleet.apply(*worker, event);
        }
        let last_fault = faults.range(..=now).next_back();
        let is_calm = now < end && last_fault.is_none_or(|at| at + CALM_MS <= now);
        let free = fleet.spare_room().filter(|_| is_calm);
        for job in jobs {
            let waits_now = |free: &Vec<Resources>| job.is_open(now) && fleet.waits(job, free);
            if free.as_ref().is_some_and(waits_now) {
                since.entry(job.id).or_insert(now);
            } else if let Some(from) = since.remove(&job.id)
                && now - from > WAIT_LIMIT_MS + RECORD_MS
            {
                waits.push(Wait {
                    job: job.id,
                    from,
                    until: now,
                });
            }
        }
    }
    waits
}
