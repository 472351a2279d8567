//! The owner's scheduling state machine, which performs no input or output itself.
//!
//! The caller feeds it [`Event`]s (calls, responses of workers, outcomes of commits) and carries
//! out the [`Action`]s that it returns (orders to workers, commits, replies). A reply to a caller
//! and the acknowledgement of a completion to a worker are sent only after the commit that makes
//! the change durable.

mod acks;
mod advise;
mod calls;
mod capacity;
mod commit;
mod completions;
mod crashes;
mod departures;
mod evacuations;
mod gone;
mod job;
mod late_starts;
mod learning;
mod leases;
mod lost_sends;
mod orders;
mod pacing;
mod plan;
mod refusals;
mod reports;
mod runs;
mod speeds;
mod waits;
mod workers;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::batch::advice::{Advice, AdviceResponse};
use crate::batch::finish::SpeedRange;
use crate::batch::id::{JobId, TaskId};
use crate::batch::messages::{Call, Reply};
use crate::batch::pack::RackKey;
use crate::batch::policy::{Policy, Queue};
use crate::batch::record::{Record, RecordKey, RecordPart};
use crate::batch::refused::RefusedJobs;
use crate::batch::run_times::RunTimes;
use crate::batch::succession::OWNER_LEASE_MS;
use crate::batch::worker::{Order, OrderResponse, Target};
use crate::time::UnixMs;

use advise::AdviceRequest;
use commit::PendingCommit;
use job::Job;
pub use leases::UNCONFIRMED_LIMIT_MS;
use refusals::Refusals;
use workers::Worker;

/// Identifies a job within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub u32);

/// Identifies a worker within this process: its index in the engine's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerKey(pub u16);

/// Identifies a call until it is answered.
pub type CallId = u64;

/// Limits of the platform that the engine observes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The longest lease that a worker accepts, in milliseconds.
    pub lease_limit_ms: u64,
    /// How long the record of an ended job is kept, in milliseconds.
    pub retention_ms: u64,
    /// The maximum number of records, deletions and handled inbox entries in one commit.
    pub commit_entries: usize,
    /// Whether run times and the speeds of workers are learned.
    pub learn_run_times: bool,
}

/// A submission or cancel that another daemon left in the store for the owner.
#[derive(Clone, Debug)]
pub struct InboxItem {
    /// The entry's key in the store.
    pub key: String,
    /// What the other daemon left for the owner.
    pub body: InboxBody,
}

/// A registry entry that a worker has written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The worker's name.
    pub worker: String,
    /// When the worker's process started, as the entry says.
    pub started_at: u64,
    /// A time after which the entry was written.
    pub written_after: UnixMs,
    /// When the worker leaves at the earliest, if it has announced that.
    pub departs_at: Option<UnixMs>,
}

/// The content of an [`InboxItem`].
#[derive(Clone, Debug)]
pub enum InboxBody {
    /// A job that the other daemon accepted.
    Submit(Box<Record>),
    /// A job whose cancel the other daemon acknowledged.
    Cancel(JobId),
    /// The jobs that an owner refused shortly before; this entry stays in the inbox.
    Refused(RefusedJobs),
}

/// The outcome of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The changes are durable.
    Committed,
    /// The commit has no effect and can't take effect later.
    NotCommitted,
    /// The store refuses the commit for what it contains, and would do so again.
    Invalid,
    /// A newer owner has written to the store, so this one must step down.
    Fenced,
}

/// An input of the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new configuration is in force.
    Policy(Arc<Policy>),
    /// The complete list of data centres that the operators have evacuated.
    Evacuations(BTreeSet<String>),
    /// The complete list of workers in the registry.
    Registry(Vec<Target>),
    /// Heartbeats of workers that don't enforce their capacity or that have announced their departure; the
    /// list of workers that contains their entries has come before.
    Heartbeats(Vec<Heartbeat>),
    /// A call that has passed the checks of the daemon that received it.
    Call(CallId, Call),
    /// Submissions and cancels that other daemons left in the store, and the owner's lists of refused
    /// jobs, in the order in which they were written.
    Inbox(Vec<InboxItem>),
    /// The response of a worker to an order, or the loss of the response.
    OrderResponse(WorkerKey, Order, OrderResponse),
    /// The outcome of the commit with this number.
    CommitOutcome(u64, CommitOutcome),
    /// All earlier owners have certainly ended, so none of them renews leases any more.
    PredecessorsEnded,
    /// The store has confirmed that no newer owner had claimed the ownership by then.
    Confirmed(UnixMs),
    /// The placement adviser's response; `None` when no usable one came in time.
    Advised(Option<AdviceResponse>),
    /// Time has passed.
    Tick,
}

/// Changes that the store applies in one transaction.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// The commit's number in this term, counted from one.
    pub number: u64,
    /// Job records to write.
    pub puts: Vec<Record>,
    /// Further values of job records to write.
    pub parts: Vec<RecordPart>,
    /// Values of job records that are deleted.
    pub deletes: Vec<RecordKey>,
    /// Keys of the inbox entries that have been applied and are deleted.
    pub handled: Vec<String>,
    /// The workers that may run something, if the list changed.
    pub workers: Option<Vec<Target>>,
    /// The jobs that were refused shortly before, if the commit announces refusals.
    pub refused: Option<RefusedJobs>,
    /// The record of learned run times, if it is due.
    pub learned: Option<Vec<u8>>,
}

/// An output of the engine, which the caller carries out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an order to a worker; its response comes back as [`Event::OrderResponse`].
    Order(WorkerKey, Arc<Target>, Order),
    /// Make changes durable; the outcome comes back as [`Event::CommitOutcome`].
    Commit(Batch),
    /// Answer a call.
    Reply(CallId, Reply),
    /// Ask the placement adviser which workers may run a step; the response comes back as
    /// [`Event::Advised`], at the latest at `deadline`.
    Advise {
        /// The step, given as its first task.
        step: TaskId,
        /// The names of the workers to ask about.
        workers: Vec<String>,
        /// When to stop waiting for the response.
        deadline: UnixMs,
    },
    /// A newer owner exists: stop driving this engine.
    StepDown,
}

/// The state that a new owner starts from, as read from the store.
#[derive(Clone, Debug)]
pub struct InitialState {
    /// The new owner's term.
    pub term: u64,
    /// The records of all jobs.
    pub records: Vec<Record>,
    /// Workers that may still run tasks started in an earlier term.
    pub workers: Vec<Target>,
    /// The data centres that the operators have evacuated.
    pub evacuated: BTreeSet<String>,
    /// Whether there was an owner before this one.
    pub has_predecessors: bool,
    /// Whether all earlier owners have certainly ended, so that none renews leases any more.
    pub predecessors_ended: bool,
    /// The record of learned run times, if there is one.
    pub learned: Option<Vec<u8>>,
}

/// Event counts for metrics, since the engine was created.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Runs that started.
    pub starts: u64,
    /// Runs that were preempted by more urgent work.
    pub preempted: u64,
    /// Starts that a worker refused because it had too little free capacity.
    pub full: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that ended with their worker's process.
    pub crashed: u64,
    /// Runs that were stopped because their worker had announced its departure.
    pub departed: u64,
    /// Orders that got no response.
    pub lost: u64,
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Submissions that were refused because of overload.
    pub refused: u64,
}

/// The state of the owner's scheduler.
pub struct Engine {
    term: u64,
    /// Whether there was an owner before this one.
    has_predecessors: bool,
    /// The latest time by which certainly no newer owner had claimed the ownership. One that claims it
    /// renews leases that this owner doesn't know of, so only what had ended by then has ended for sure.
    confirmed_at: UnixMs,
    bounds: Bounds,
    policy: Arc<Policy>,
    jobs: BTreeMap<JobKey, Job>,
    job_ids: HashMap<JobId, JobKey>,
    last_job: u32,
    workers: Vec<Worker>,
    worker_names: HashMap<String, WorkerKey>,
    racks: HashMap<(String, String), RackKey>,
    /// The data centres in which nothing new starts.
    evacuated: BTreeSet<String>,
    /// Jobs with changes that aren't durable.
    dirty_jobs: BTreeSet<JobKey>,
    /// Values of job records that are still to be deleted from the store, those of a job's own keys last.
    deletes: Vec<RecordKey>,
    /// The job whose record didn't fit into the last commit, and goes into the next one first.
    deferred: Option<JobKey>,
    /// Until when a commit has only one job record, to find the one that the store refuses.
    single_until: UnixMs,
    /// Keys of inbox entries that have been applied and are still to be deleted from the store.
    handled: BTreeSet<String>,
    /// Submissions that are refused, or were in the last minutes.
    refusals: Refusals,
    /// Runs given up with silent workers that haven't answered since, by the worker's address.
    silent_runs: HashMap<SocketAddr, Vec<crashes::SilentRun>>,
    /// Until when each restart of a worker counts that no run has caused, the earliest first.
    restarts: VecDeque<UnixMs>,
    /// The tasks that starts without a response bind to workers.
    bound_tasks: BTreeSet<TaskId>,
    /// Whether the list of workers in the store is out of date.
    workers_dirty: bool,
    /// The commit under way.
    pending: Option<PendingCommit>,
    /// The number of the newest commit.
    last_commit: u64,
    /// When the next commit may start.
    commit_after: UnixMs,
    /// Until when submissions get [`Reply::NotOwner`] because the store refused a commit.
    closed_until: UnixMs,
    /// When the next tick is due, whatever other events come before it.
    tick_at: UnixMs,
    /// Whether something changed since the last planning pass.
    replan: bool,
    /// When the next planning pass may run.
    plan_after: UnixMs,
    /// Whether some run may need a start or a stop to be sent.
    runs_due: bool,
    /// Racks kept free for waiting gangs.
    rack_reservations: Vec<plan::RackReservation>,
    /// Capacity reserved for work while the runs that it preempts are stopping.
    reservations: Vec<plan::Reservation>,
    /// When the log next says what holds back work that waits.
    report_after: UnixMs,
    /// What the placement adviser allows, by step.
    advice: HashMap<plan::StepKey, Advice>,
    /// The request to the adviser that is under way.
    advice_request: Option<AdviceRequest>,
    /// When the next request to the adviser may be sent.
    ask_after: UnixMs,
    /// Jobs covered by their workspaces' guarantees, as of the last planning pass.
    guaranteed_jobs: HashSet<JobKey>,
    /// What the runs of this and earlier owners have shown.
    run_times: RunTimes,
    /// The range of the workers' speeds as of the last planning pass; `None` if they hardly differ.
    speeds: Option<SpeedRange>,
    /// When the record of learned run times is next due.
    learned_after: UnixMs,
    /// When the log next says what has been learned.
    learned_log: UnixMs,
    counts: Counts,
    now: UnixMs,
    /// The wall clock in milliseconds since the Unix epoch; it may jump.
    wall_ms: u64,
}

/// The minimum time between two planning passes, in milliseconds; it bounds the owner's processor
/// time.
const PLAN_GAP_MS: u64 = 10;
/// In a large fleet the minimum time between two planning passes is one millisecond for every so
/// many workers.
const WORKERS_PER_GAP_MS: u64 = 8;
/// The time after which a planning pass runs even if nothing happened, in milliseconds: a round may
/// have come due, or work may have waited long enough for a worker near its data.
const PLAN_LIMIT_MS: u64 = 200;
/// The part of the owner's lease that is left for sending a start, in milliseconds.
const START_MARGIN_MS: u64 = 250;
/// The maximum time between two ticks, in milliseconds.
const TICK_MS: u64 = 50;

impl Engine {
    /// Creates the engine of a new owner.
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
            has_predecessors: initial.has_predecessors,
            confirmed_at: UnixMs(0),
            bounds,
            policy,
            jobs: BTreeMap::new(),
            job_ids: HashMap::new(),
            last_job: 0,
            workers: Vec::new(),
            worker_names: HashMap::new(),
            racks: HashMap::new(),
            evacuated: BTreeSet::new(),
            dirty_jobs: BTreeSet::new(),
            deletes: Vec::new(),
            deferred: None,
            single_until: now,
            handled: BTreeSet::new(),
            refusals: Refusals::default(),
            silent_runs: HashMap::new(),
            restarts: VecDeque::new(),
            bound_tasks: BTreeSet::new(),
            workers_dirty: true,
            pending: None,
            last_commit: 0,
            commit_after: now,
            closed_until: now,
            tick_at: now,
            replan: true,
            plan_after: now,
            runs_due: true,
            rack_reservations: Vec::new(),
            reservations: Vec::new(),
            report_after: now,
            advice: HashMap::new(),
            advice_request: None,
            ask_after: now,
            guaranteed_jobs: HashSet::new(),
            speeds: None,
            run_times: learning::load(&bounds, initial.learned.as_deref()),
            learned_after: now.after(learning::RECORD_GAP_MS),
            learned_log: now.after(learning::LOG_INTERVAL_MS),
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
        engine.set_evacuations(initial.evacuated);
        engine
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: UnixMs, wall_ms: u64, event: Event, out: &mut Vec<Action>) {
        self.step_all(now, wall_ms, [event], out);
    }

    /// Processes events that came together, and appends the resulting actions to `out`.
    ///
    /// What isn't bound to one event (planning, commits, renewals) is done once for all of them.
    pub fn step_all(
        &mut self,
        now: UnixMs,
        wall_ms: u64,
        events: impl IntoIterator<Item = Event>,
        out: &mut Vec<Action>,
    ) {
        self.now = self.now.max(now);
        self.wall_ms = wall_ms;
        for event in events {
            self.apply(event, out);
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
        self.send_renewals(out);
    }

    fn apply(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Policy(policy) => self.set_policy(policy),
            Event::Evacuations(dcs) => self.set_evacuations(dcs),
            Event::Registry(targets) => self.update_registry(targets),
            Event::Heartbeats(heartbeats) => self.apply_heartbeats(&heartbeats),
            Event::Call(call_id, call) => self.handle_call(call_id, call, out),
            Event::Inbox(items) => self.apply_inbox(items, out),
            Event::OrderResponse(key, order, r) => self.handle_response(key, &order, r, out),
            Event::CommitOutcome(number, outcome) => self.finish_commit(number, outcome, out),
            Event::PredecessorsEnded => self.limit_inherited_leases(),
            Event::Confirmed(at) => self.confirm(at),
            Event::Advised(response) => self.handle_advice(response),
            Event::Tick => {
                self.tick_at = self.now.after(TICK_MS);
                self.tick();
                self.log_learned();
                self.refuse_unsent(out);
                self.give_up_refusals(out);
            }
        }
    }

    /// Notes that no newer owner had claimed the ownership by `at`.
    fn confirm(&mut self, at: UnixMs) {
        let resumes = !self.may_start();
        self.confirmed_at = self.confirmed_at.max(at.min(self.now));
        if resumes && self.may_start() {
            self.replan = true;
            self.runs_due = true;
        }
    }

    /// Returns whether tasks may be started now, as no newer owner can exist before the starts are sent.
    ///
    /// A newer owner may run the tasks elsewhere, and a worker that has restarted since that owner called it
    /// obeys this one.
    fn may_start(&self) -> bool {
        let end = self.confirmed_at.after(OWNER_LEASE_MS - START_MARGIN_MS);
        self.now < end
    }

    /// Returns when the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> UnixMs {
        let mut next = self.tick_at;
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

    /// Returns whether all changes are durable and no commit is under way.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.pending.is_none() && !self.has_changes()
    }

    /// Returns the number of jobs that haven't ended.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs.values().filter(|j| j.is_open()).count()
    }

    /// Returns the number of runs that are, or may be, on workers.
    #[must_use]
    pub fn count_runs(&self) -> usize {
        self.workers.iter().map(|w| w.runs.len()).sum()
    }

    /// Applies a new configuration, also to the jobs of the queues that it contains.
    fn set_policy(&mut self, policy: Arc<Policy>) {
        let queues: HashMap<&str, &Queue> =
            policy.queues.iter().map(|q| (q.name.as_str(), q)).collect();
        for job in self.jobs.values_mut() {
            if let Some(queue) = queues.get(job.record.queue.name.as_str()) {
                job.record.queue = (*queue).clone();
            }
        }
        for worker in &mut self.workers {
            worker.enforces_capacity = policy.enforces_capacity(&worker.target.pool);
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
