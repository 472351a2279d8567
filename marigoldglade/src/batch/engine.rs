//! The owner of a pool's jobs, as a state machine without input or output.
//!
//! Calls, reports of workers and outcomes of commits flow in as [`Event`]s; orders, commits and
//! answers flow out as [`Action`]s. What callers are told and what workers forget is on record
//! before: answers and acknowledgements wait for the commit that covers them.

mod advise;
mod calls;
mod capacity;
mod commit;
mod completions;
mod job;
mod orders;
mod pacing;
mod plan;
mod reports;
mod runs;
mod workers;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use crate::batch::advice::{Advice, AdviceResponse};
use crate::batch::id::{JobId, TaskId};
use crate::batch::messages::{Call, Reply};
use crate::batch::pack::RackKey;
use crate::batch::policy::{Policy, Queue};
use crate::batch::record::Record;
use crate::batch::worker::{Order, OrderResponse, Target};
use crate::time::UnixMs;

use advise::AdviserQuery;
use commit::PendingCommit;
use job::Job;
pub use workers::UNCONFIRMED_LIMIT_MS;
use workers::Worker;

/// A job within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub u32);

/// A worker within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerKey(pub u16);

/// Names a call until it is answered.
pub type CallId = u64;

/// Bounds of the platform that the engine keeps.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The longest lease that a worker grants, in milliseconds.
    pub lease_limit_ms: u64,
    /// How long the state of an ended job must stay known, in milliseconds.
    pub retention_ms: u64,
}

/// A submission or cancel that another daemon stored.
#[derive(Clone, Debug)]
pub struct InboxItem {
    /// Its key in the store.
    pub key: String,
    /// What it asks.
    pub body: InboxBody,
}

/// What an [`InboxItem`] asks.
#[derive(Clone, Debug)]
pub enum InboxBody {
    /// A job that was accepted.
    Submit(Box<Record>),
    /// A job whose cancel was acknowledged.
    Cancel(JobId),
}

/// What came of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It is durable.
    Committed,
    /// It provably has no effect, now or later.
    NotCommitted,
    /// A newer owner has written.
    Fenced,
}

/// What flows in.
#[derive(Clone, Debug)]
pub enum Event {
    /// The configuration in force.
    Policy(Arc<Policy>),
    /// All workers in the registry.
    Registry(Vec<Target>),
    /// A call that passed the entry daemon's checks.
    Call(CallId, Call),
    /// What other daemons stored.
    Inbox(Vec<InboxItem>),
    /// What came of an order.
    Answer(WorkerKey, Order, OrderResponse),
    /// What came of the commit of this number.
    CommitOutcome(u64, CommitOutcome),
    /// All earlier owners have certainly ended.
    PredecessorsEnded,
    /// The placement adviser's answer; `None` when there was none.
    Advised(Option<AdviceResponse>),
    /// Time passed.
    Tick,
}

/// Changes that take effect together.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Its number in this term, from one.
    pub number: u64,
    /// Records to write.
    pub puts: Vec<Record>,
    /// Records to delete.
    pub deletes: Vec<JobId>,
    /// Keys of the inbox to delete.
    pub handled: Vec<String>,
    /// The workers that may run something, when they changed.
    pub workers: Option<Vec<Target>>,
}

/// What flows out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an order to a worker; its outcome comes back as [`Event::Answer`].
    Order(WorkerKey, Arc<Target>, Order),
    /// Make changes durable; the outcome comes back as [`Event::CommitOutcome`].
    Commit(Batch),
    /// Answer a call.
    Reply(CallId, Reply),
    /// Ask the placement adviser which workers may run the step of a task; the answer comes back as
    /// [`Event::Advised`], at the latest at `deadline`.
    Advise {
        /// A task of the step.
        step: TaskId,
        /// The workers' names.
        workers: Vec<String>,
        /// When the answer is given up.
        deadline: UnixMs,
    },
    /// A newer owner exists: do nothing more.
    StepDown,
}

/// What an owner begins with.
#[derive(Clone, Debug)]
pub struct InitialState {
    /// Its term.
    pub term: u64,
    /// All records.
    pub records: Vec<Record>,
    /// Workers that may run something of an earlier term.
    pub workers: Vec<Target>,
    /// Whether there was an earlier term.
    pub has_predecessors: bool,
    /// Whether all earlier owners have certainly ended, so that none extends leases any more.
    pub predecessors_ended: bool,
}

/// Counts for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Runs that were started.
    pub starts: u64,
    /// Runs that were stopped for more urgent work.
    pub preempted: u64,
    /// Starts refused for want of room.
    pub full: u64,
    /// Ends that failed.
    pub failed: u64,
    /// Orders without an answer.
    pub lost: u64,
    /// Jobs accepted.
    pub accepted: u64,
    /// Jobs refused.
    pub refused: u64,
}

/// The owner's state.
pub struct Engine {
    term: u64,
    bounds: Bounds,
    policy: Arc<Policy>,
    jobs: BTreeMap<JobKey, Job>,
    job_ids: HashMap<JobId, JobKey>,
    last_job: u32,
    workers: Vec<Worker>,
    worker_names: HashMap<String, WorkerKey>,
    racks: HashMap<(String, String), RackKey>,
    /// Jobs whose record is behind.
    dirty_jobs: BTreeSet<JobKey>,
    /// Records to delete.
    deletes: Vec<JobId>,
    /// Keys of the inbox to delete.
    handled: BTreeSet<String>,
    /// Whether the list of workers in the store is behind.
    workers_dirty: bool,
    pending: Option<PendingCommit>,
    last_commit: u64,
    /// When the next commit may begin.
    commit_after: UnixMs,
    /// Until when submissions are refused, since the store refused a commit.
    closed_until: UnixMs,
    /// Whether the plan may be out of date.
    replan: bool,
    plan_after: UnixMs,
    /// Whether some run may need an order.
    runs_due: bool,
    /// Racks kept free for gangs that wait.
    rack_reservations: Vec<plan::RackReservation>,
    /// Room kept for work while runs there stop.
    reservations: Vec<plan::Reservation>,
    /// What the placement adviser said of steps.
    advice: HashMap<plan::StepKey, Advice>,
    /// The question to it that is under way, and when the next may be sent.
    query: Option<AdviserQuery>,
    query_after: UnixMs,
    /// Jobs that their workspaces' guarantees cover, as of the last plan.
    guaranteed_jobs: HashSet<JobKey>,
    counts: Counts,
    now: UnixMs,
    /// The time of day in milliseconds since the Unix epoch; it may jump.
    wall_ms: u64,
}

/// The time between two plans at least, in milliseconds; source: bounds the owner's processor time.
const PLAN_GAP_MS: u64 = 10;
/// Workers for each millisecond of that time in larger fleets.
const WORKERS_PER_GAP_MS: u64 = 8;
/// The time after which a plan is made even when nothing happened, in milliseconds: rounds come due,
/// and waits for a near worker end.
const PLAN_LIMIT_MS: u64 = 200;
/// The time between two ticks at most, in milliseconds.
const TICK_MS: u64 = 50;

impl Engine {
    /// Makes the engine of a new owner.
    #[must_use]
    pub fn new(
        bounds: Bounds,
        policy: Arc<Policy>,
        initial: InitialState,
        now: UnixMs,
        wall_ms: u64,
    ) -> Self {
        let mut engine = Self {
            term: initial.term,
            bounds,
            policy,
            jobs: BTreeMap::new(),
            job_ids: HashMap::new(),
            last_job: 0,
            workers: Vec::new(),
            worker_names: HashMap::new(),
            racks: HashMap::new(),
            dirty_jobs: BTreeSet::new(),
            deletes: Vec::new(),
            handled: BTreeSet::new(),
            workers_dirty: true,
            pending: None,
            last_commit: 0,
            commit_after: now,
            closed_until: now,
            replan: true,
            plan_after: now,
            runs_due: true,
            rack_reservations: Vec::new(),
            reservations: Vec::new(),
            advice: HashMap::new(),
            query: None,
            query_after: now,
            guaranteed_jobs: HashSet::new(),
            counts: Counts::default(),
            now,
            wall_ms,
        };
        for target in initial.workers {
            engine.inherit_worker(target, initial.predecessors_ended);
        }
        for record in initial.records {
            engine.load_record(record, initial.has_predecessors);
        }
        engine
    }

    /// Takes one event; actions are appended to `out`.
    pub fn step(&mut self, now: UnixMs, wall_ms: u64, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.wall_ms = wall_ms;
        match event {
            Event::Policy(policy) => self.set_policy(policy),
            Event::Registry(targets) => self.update_registry(targets),
            Event::Call(call_id, call) => self.handle_call(call_id, call, out),
            Event::Inbox(items) => self.apply_inbox(items),
            Event::Answer(worker, order, answer) => self.handle_answer(worker, &order, answer, out),
            Event::CommitOutcome(number, outcome) => self.finish_commit(number, outcome, out),
            Event::PredecessorsEnded => self.limit_inherited_leases(),
            Event::Advised(answer) => self.handle_advice(answer),
            Event::Tick => self.tick(),
        }
        if self.replan && self.plan_after.passed(self.now) {
            self.replan = false;
            let workers = u64::try_from(self.workers.len()).unwrap_or(u64::MAX);
            self.plan_after = self
                .now
                .after(PLAN_GAP_MS.max(workers / WORKERS_PER_GAP_MS));
            self.plan(out);
        }
        if self.runs_due {
            self.runs_due = false;
            self.check_runs(out);
        }
        self.start_commit(out);
        self.send_holds(out);
    }

    /// Returns when the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> UnixMs {
        let mut next = self.now.after(TICK_MS);
        if self.replan {
            next = next.min(self.plan_after);
        }
        if self.pending.is_none() && self.has_changes() {
            next = next.min(self.commit_after);
        }
        next
    }

    /// Returns the counts for metrics.
    #[must_use]
    pub const fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns whether nothing waits for a commit.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.pending.is_none() && !self.has_changes()
    }

    /// Returns the jobs that haven't ended.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs.values().filter(|j| j.is_open()).count()
    }

    /// Puts a configuration in force; jobs whose queue it has follow it.
    fn set_policy(&mut self, policy: Arc<Policy>) {
        let queues: HashMap<&str, &Queue> =
            policy.queues.iter().map(|q| (q.name.as_str(), q)).collect();
        for job in self.jobs.values_mut() {
            if let Some(queue) = queues.get(job.record.queue.name.as_str()) {
                job.record.queue = (*queue).clone();
            }
        }
        self.policy = policy;
        self.replan = true;
    }

    fn worker(&self, key: WorkerKey) -> &Worker {
        &self.workers[usize::from(key.0)]
    }

    fn worker_mut(&mut self, key: WorkerKey) -> &mut Worker {
        &mut self.workers[usize::from(key.0)]
    }

    fn worker_keys(&self) -> impl Iterator<Item = WorkerKey> + use<> {
        (0..u16::try_from(self.workers.len()).unwrap_or(u16::MAX)).map(WorkerKey)
    }

    fn job_mut(&mut self, id: JobId) -> Option<(JobKey, &mut Job)> {
        let key = *self.job_ids.get(&id)?;
        Some((key, self.jobs.get_mut(&key)?))
    }
}
