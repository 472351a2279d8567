//! A simulation of the platform around the engine: workers, a store, and orders that are delayed,
//! lost or carried out late. It checks the engine's guarantees whenever a run starts, a completion
//! is acknowledged or a commit reaches the store.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::ops::Range;
use std::sync::Arc;

use marigoldglade::batch::advice::{self, AdviceResponse};
use marigoldglade::batch::engine::{
    Action, Batch, Bounds, CallId, CommitOutcome, Engine, Event, Heartbeat, InboxBody, InboxItem,
    InitialState, WorkerKey,
};
use marigoldglade::batch::id::{JobId, TaskId};
use marigoldglade::batch::messages::{Call, JobStatus, Reply, Submission};
use marigoldglade::batch::policy::{AdviceLatency, Policy, Pool, Queue, Workspace};
use marigoldglade::batch::record::{self, Record, RecordKey, RecordPart, State, VALUE_LIMIT_BYTES};
use marigoldglade::batch::spec::{JobSpec, Step};
use marigoldglade::batch::worker::{
    Order, OrderResponse, Outcome, Refusal, Renewal, Report, Resources, Start, Target,
};
use marigoldglade::time::UnixMs;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use standin::batch_worker::{LEASE_LIMIT_MS, SimWorker, WorkerEvent};

/// The ended runs of one incarnation of a worker: the completion's number, the task and the
/// outcome.
type EndedRuns = Vec<(u64, TaskId, Outcome)>;

/// Something that is scheduled to happen at a point in time; the first field, if any, is the owner's
/// index.
enum Scheduled {
    /// An order reaches a worker; the response is lost if the flag is false.
    Order(usize, WorkerKey, Box<Target>, Order, bool),
    /// An order reaches a worker, without a response, unless the process with this start time has ended.
    Late(Box<Target>, Order, u64),
    /// A worker answers a renewal that it has delayed; its next process doesn't. The last field is
    /// the start time of the process that got the renewal.
    Delayed(usize, WorkerKey, Box<Target>, Order, u64),
    /// A worker that has begun a report reads its clock, and lists its runs in progress if the flag is set.
    Report(usize, WorkerKey, Box<Target>, Order, Report, bool),
    /// An event reaches an owner's engine.
    Event(usize, Box<Event>),
    /// A commit reaches the store.
    Commit(usize, Box<Batch>),
    /// The registry reaches all owners.
    Announce,
    /// Entries of the inbox reach an owner.
    Inbox(usize),
    /// A daemon that has claimed a term has loaded the stored state.
    Loaded,
}

/// Faults of the platform, each a share of orders in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Orders that are carried out seconds later, without a response.
    pub late: u32,
    /// Orders that are carried out and whose response is lost.
    pub unanswered: u32,
    /// Renewals that are carried out seconds later, without a response.
    pub late_renewals: u32,
}

/// An owner and its engine.
pub struct Owner {
    pub engine: Engine,
    /// Whether the owner still gets events.
    pub alive: bool,
    /// The store's commit counter after the owner's last commit.
    seq: u64,
    /// The entries of the inbox that its watch hasn't shown, and when it will.
    unseen: VecDeque<(u64, InboxItem)>,
}

/// The simulated platform.
pub struct Simulation {
    pub now: u64,
    pub rng: ChaCha8Rng,
    pub faults: Faults,
    /// How much later than its lists the clock of a report is read, in milliseconds.
    pub report_ms: Range<u64>,
    /// Whether a report lists the runs in progress only when its clock is read.
    pub torn_reports: bool,
    /// How late a late order is carried out, in milliseconds.
    pub late_ms: Range<u64>,
    /// Workers that no renewals reach.
    pub lost_renewals: BTreeSet<String>,
    /// Workers that no orders besides renewals reach.
    pub lost_orders: BTreeSet<String>,
    /// Workers to which no connection can be opened for an order.
    pub closed: BTreeSet<String>,
    /// Workers whose responses are lost, though orders reach them.
    pub lost_responses: BTreeSet<String>,
    /// Pairs of an owner and a worker that it can't reach, though others can.
    pub cut_paths: BTreeSet<(usize, String)>,
    /// Workers to which the path is silent, and until when. It holds the orders and hands them over
    /// within `resend_ms` of its return.
    pub held_until: BTreeMap<String, u64>,
    /// How long after its return a silent path hands over an order, in milliseconds.
    pub resend_ms: Range<u64>,
    /// Whether late and held orders are lost with the process that they were sent to, as the bytes of a
    /// connection are.
    pub connected: bool,
    /// How much longer than usual responses are under way, in milliseconds.
    pub response_ms: Range<u64>,
    /// Whether a restarted worker keeps its id and obeys orders meant for its earlier process.
    pub reuse_ids: bool,
    /// Whether a crashed worker comes back under another name at the same address.
    pub new_names: bool,
    /// Workers at whose address another process answers.
    replaced: BTreeSet<String>,
    /// The limits that owners elected from now on observe.
    pub bounds: Bounds,
    /// Whether new owners know that earlier ones have ended.
    pub predecessors_ended: bool,
    pub policy: Arc<Policy>,
    pub workers: BTreeMap<String, SimWorker>,
    /// Workers that the registry lists.
    pub listed: BTreeSet<String>,
    /// Since when each evacuated data centre is so.
    evacuations: BTreeMap<String, u64>,
    /// How long after a change the owners learn of the evacuated data centres, in milliseconds.
    pub evacuation_ms: u64,
    /// Whether workers write their registry entries in time; otherwise the entries show them as they
    /// are at each [`Simulation::send_registry`].
    pub heartbeats: bool,
    /// The workers as their registry entries show them.
    entries: BTreeMap<String, Target>,
    /// When workers that have announced it leave at the earliest.
    pub departures: BTreeMap<String, u64>,
    /// Workers that can't write their registry entries.
    pub lost_heartbeats: BTreeSet<String>,
    /// Whether no owner can read the registry.
    pub registry_lost: bool,
    /// Whether an entry has changed that no owner has read.
    unread: bool,
    /// How much longer than usual orders are under way, in milliseconds.
    pub order_ms: u64,
    /// How much longer than usual starts to a worker are under way, in milliseconds: they wait for a
    /// connection.
    pub start_ms: BTreeMap<String, u64>,
    /// Workers that no stops reach.
    pub lost_stops: BTreeSet<String>,
    /// Earlier capacities of workers, and until when they were in force.
    old_capacities: HashMap<String, Vec<(u64, Resources)>>,
    /// All owners so far, the newest last.
    pub owners: Vec<Owner>,
    /// The commit counter in the store.
    pub seq: u64,
    pub term: u64,
    pub records: BTreeMap<JobId, Record>,
    /// The further values of the records.
    pub parts: BTreeMap<RecordKey, RecordPart>,
    /// The workers that a new owner must hear from.
    pub stored_workers: Vec<Target>,
    /// The stored record of learned run times.
    pub learned: Option<Vec<u8>>,
    pub inbox: Vec<InboxItem>,
    /// How long after it is stored each owner sees an entry of the inbox, in milliseconds. If empty, the
    /// newest owner sees it at once, and the others don't.
    pub inbox_ms: Range<u64>,
    /// How often the list of refused jobs has changed.
    pub refused_changes: u32,
    /// When the entries of the inbox were stored.
    stored_at: HashMap<String, u64>,
    pub store_down: bool,
    /// The owners that the store turns away: their commits are refused, and they see no new entries of the
    /// inbox.
    pub turned_away: BTreeSet<usize>,
    /// Jobs whose records the store refuses for their content.
    pub refused_records: BTreeSet<JobId>,
    /// The age of the store's last confirmation of an ownership, in milliseconds.
    pub confirm_ms: u64,
    /// Whether the store leaves commits without an answer; it carries them out when it is back.
    pub store_silent: bool,
    /// How much longer than usual the store takes for a commit, in milliseconds.
    pub store_ms: u64,
    /// The commits that a silent store holds.
    held_commits: Vec<(usize, Batch)>,
    /// The workers that the adviser allows.
    pub allowed: BTreeSet<String>,
    /// How long the adviser's tickets are valid, in milliseconds.
    pub valid_ms: u64,
    /// The adviser's tickets: the worker, its process's start time, the step and the expiry.
    issued_tickets: HashMap<String, (String, u64, TaskId, u64)>,
    /// How many requests the adviser got.
    pub adviser_requests: u32,
    /// How many starts were refused because of their tickets.
    pub refused_tickets: u32,
    /// The times and numbers of scheduled items, the earliest first.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: HashMap<u64, Scheduled>,
    last_scheduled: u64,
    pub replies: BTreeMap<CallId, Reply>,
    last_call: CallId,
    /// By job, how long each task runs and how many of its first runs fail.
    pub work: HashMap<JobId, (u64, u32)>,
    /// Tasks that crash each worker that starts them.
    pub deadly: BTreeSet<TaskId>,
    /// How often each deadly task was started.
    pub deadly_starts: BTreeMap<TaskId, u32>,
    /// How many workers' processes ended under a run of each task.
    pub crashes: BTreeMap<TaskId, u32>,
    /// How long a crashed worker is away, in milliseconds: the bounds.
    pub away_ms: (u64, u64),
    /// The runs of each task that haven't ended: the worker and the run number.
    live_runs: HashMap<TaskId, Vec<(String, u64)>>,
    /// How many runs of each task were successful.
    pub done: BTreeMap<TaskId, u32>,
    /// Tasks with a successful run that was acknowledged to the worker.
    acked_tasks: BTreeSet<TaskId>,
    /// Successful runs that aren't acknowledged and whose workers' leases have lasted since: by the
    /// worker, its process's start time and the completion's number, the task and whether it was
    /// started again.
    held_ends: BTreeMap<(String, u64, u64), (TaskId, bool)>,
    /// How many runs of each task failed.
    pub failed: BTreeMap<TaskId, u32>,
    /// When the first run of each job started.
    pub started_at: HashMap<JobId, u64>,
    /// When the last successful run of each job ended.
    pub last_done: HashMap<JobId, u64>,
    /// When the cancel of each job was acknowledged.
    cancelled: BTreeMap<JobId, u64>,
    /// How many runs were started.
    pub starts: u32,
    /// Whether a run doesn't count whose worker stands still beyond the end of its leases.
    pub forgives_pauses: bool,
    /// How many runs were started beside such a run of their task.
    pub starts_beside_pauses: u32,
    /// How many stops reached a worker.
    pub stops: u32,
    /// How many renewals were sent.
    pub renewals: u32,
    /// The ended runs by the worker's name and its process's start time.
    ended_runs: HashMap<(String, u64), EndedRuns>,
}

pub const POOL: &str = "pool";
/// The key of the list of refused jobs.
const REFUSED_KEY: &str = "in/refused";

/// The time between two heartbeats of a worker, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;
/// How long after it shrinks a worker's old capacity still counts, in milliseconds: the shortest time
/// in touch of the platform, and a heartbeat.
const SHRINK_DELAY_MS: u64 = 3_000 + HEARTBEAT_MS;

pub fn queue(name: &str, priority: u32, slack: f64, target_ms: u64) -> Queue {
    Queue {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{name}/"),
        pool: POOL.to_owned(),
        priority,
        attempts: 2,
        slack,
        target_ms,
        open: false,
        advice: None,
    }
}

pub fn policy() -> Policy {
    Policy {
        version: 1,
        queues: vec![
            queue("urgent", 0, 1.5, 250),
            queue("sweep", 1, 3.0, 1_000),
            queue("survey", 2, 3.0, 3_000),
            Queue {
                advice: Some(AdviceLatency {
                    base_ms: 20,
                    worker_ms: 1,
                }),
                ..queue("judged", 1, 3.0, 1_000)
            },
        ],
        workspaces: (0..4)
            .map(|i| Workspace {
                name: format!("w{i}"),
                keys: vec![format!("k{i}")],
                guarantee: 60,
            })
            .collect(),
        ..Policy::default()
    }
}

pub const BOUNDS: Bounds = Bounds {
    lease_limit_ms: LEASE_LIMIT_MS,
    retention_ms: 600_000,
    commit_entries: 28,
    learn_run_times: false,
};

pub fn job_id(n: u64) -> JobId {
    JobId::parse(&format!("{n:016x}")).expect("16 digits")
}

pub fn step(count: u32, accels: u64, estimate_ms: u64) -> Step {
    Step {
        count,
        resources: Resources {
            cpu: 2_000,
            mem: 8_000,
            accels,
        },
        estimate_ms,
        ..Step::default()
    }
}

pub fn spec(steps: Vec<Step>) -> JobSpec {
    JobSpec {
        text: "text".to_owned(),
        steps,
        ..JobSpec::default()
    }
}

impl Simulation {
    pub fn new(seed: u64, racks: u32, per_rack: u32) -> Self {
        let mut simulation = Self {
            now: 1_000_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults: Faults::default(),
            report_ms: 0..0,
            torn_reports: false,
            late_ms: 2_000..12_000,
            lost_renewals: BTreeSet::new(),
            lost_orders: BTreeSet::new(),
            closed: BTreeSet::new(),
            lost_responses: BTreeSet::new(),
            cut_paths: BTreeSet::new(),
            held_until: BTreeMap::new(),
            resend_ms: 0..1,
            connected: false,
            response_ms: 0..1,
            reuse_ids: false,
            new_names: false,
            replaced: BTreeSet::new(),
            bounds: BOUNDS,
            predecessors_ended: false,
            policy: Arc::new(policy()),
            workers: BTreeMap::new(),
            listed: BTreeSet::new(),
            evacuations: BTreeMap::new(),
            evacuation_ms: 50,
            heartbeats: false,
            entries: BTreeMap::new(),
            departures: BTreeMap::new(),
            lost_heartbeats: BTreeSet::new(),
            registry_lost: false,
            unread: false,
            order_ms: 0,
            start_ms: BTreeMap::new(),
            lost_stops: BTreeSet::new(),
            old_capacities: HashMap::new(),
            owners: Vec::new(),
            seq: 0,
            term: 0,
            records: BTreeMap::new(),
            parts: BTreeMap::new(),
            stored_workers: Vec::new(),
            learned: None,
            inbox: Vec::new(),
            inbox_ms: 0..0,
            refused_changes: 0,
            stored_at: HashMap::new(),
            store_down: false,
            turned_away: BTreeSet::new(),
            refused_records: BTreeSet::new(),
            confirm_ms: 0,
            store_silent: false,
            store_ms: 0,
            held_commits: Vec::new(),
            allowed: BTreeSet::new(),
            valid_ms: 3_000,
            issued_tickets: HashMap::new(),
            adviser_requests: 0,
            refused_tickets: 0,
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            last_scheduled: 0,
            replies: BTreeMap::new(),
            last_call: 0,
            work: HashMap::new(),
            deadly: BTreeSet::new(),
            deadly_starts: BTreeMap::new(),
            crashes: BTreeMap::new(),
            away_ms: (2_000, 6_000),
            live_runs: HashMap::new(),
            done: BTreeMap::new(),
            acked_tasks: BTreeSet::new(),
            held_ends: BTreeMap::new(),
            failed: BTreeMap::new(),
            started_at: HashMap::new(),
            last_done: HashMap::new(),
            cancelled: BTreeMap::new(),
            starts: 0,
            forgives_pauses: false,
            starts_beside_pauses: 0,
            stops: 0,
            renewals: 0,
            ended_runs: HashMap::new(),
        };
        let mut port = 9_000;
        for rack in 0..racks {
            for i in 0..per_rack {
                port += 1;
                let name = format!("worker-{rack}-{i}");
                let target = Target {
                    name: name.clone(),
                    addr: ([127, 0, 0, 1], port).into(),
                    pool: POOL.to_owned(),
                    dc: format!("dc{}", rack % 3),
                    labels: vec!["a".to_owned(), format!("r{rack}")],
                    capacity: Resources {
                        cpu: 32_000,
                        mem: 131_072,
                        accels: 8,
                    },
                    draining: false,
                    started_at: 1_000,
                    long_leases: false,
                };
                simulation.workers.insert(
                    name.clone(),
                    SimWorker::new(target, simulation.now - 10_000),
                );
                simulation.listed.insert(name);
            }
        }
        simulation.elect();
        simulation
    }

    fn schedule(&mut self, time: u64, item: Scheduled) {
        self.last_scheduled += 1;
        self.queue.push(Reverse((time, self.last_scheduled)));
        self.scheduled.insert(self.last_scheduled, item);
    }

    /// Returns the stored records with what their further values hold.
    pub fn load_records(&self) -> Vec<Record> {
        let mut records: Vec<Record> = self.records.values().cloned().collect();
        record::join(&mut records, self.parts.values().cloned().collect());
        records
    }

    /// Adds a new owner; earlier ones that are alive continue until something fences them.
    pub fn elect(&mut self) -> usize {
        self.term += 1;
        self.seq += 1;
        let initial = InitialState {
            term: self.term,
            records: self.load_records(),
            workers: self.stored_workers.clone(),
            evacuated: self.evacuations.keys().cloned().collect(),
            has_predecessors: self.term > 1,
            predecessors_ended: self.predecessors_ended,
            learned: self.learned.clone(),
        };
        let engine = Engine::new(
            self.bounds,
            Arc::clone(&self.policy),
            initial,
            UnixMs(self.now),
            self.now,
        );
        self.owners.push(Owner {
            engine,
            alive: true,
            seq: self.seq,
            unseen: VecDeque::new(),
        });
        let owner = self.owners.len() - 1;
        self.send_registry(owner);
        if !self.inbox_ms.is_empty() {
            for item in self.inbox.clone() {
                self.show_later(owner, item);
            }
        } else if !self.inbox.is_empty() {
            self.deliver(owner, Event::Inbox(self.inbox.clone()));
        }
        owner
    }

    /// Has a daemon claim the next term, which fences the commits of all owners so far, and become the
    /// owner once it has loaded the stored state.
    pub fn claim(&mut self, load_ms: u64) {
        self.seq += 1;
        self.schedule(self.now + load_ms, Scheduled::Loaded);
    }

    /// Shows an entry of the inbox to an owner at its time, after those that were stored before.
    fn show_later(&mut self, owner: usize, item: InboxItem) {
        let delay = self.rng.random_range(self.inbox_ms.clone());
        let stored_at = self.stored_at.get(&item.key).copied().unwrap_or(self.now);
        let unseen = &mut self.owners[owner].unseen;
        let earlier = unseen.back().map_or(0, |(at, _)| *at);
        let at = (stored_at + delay).max(earlier).max(self.now);
        unseen.push_back((at, item));
        self.schedule(at, Scheduled::Inbox(owner));
    }

    /// Shows an owner the entries of the inbox whose time has come, unless the store turns it away.
    fn show_inbox(&mut self, owner: usize) {
        if self.turned_away.contains(&owner) {
            return;
        }
        let now = self.now;
        let unseen = &mut self.owners[owner].unseen;
        let due = unseen.iter().take_while(|(at, _)| *at <= now).count();
        let items: Vec<InboxItem> = unseen.drain(..due).map(|(_, item)| item).collect();
        if !items.is_empty() {
            self.deliver(owner, Event::Inbox(items));
        }
    }

    /// Has the store serve all owners again.
    pub fn serve_all(&mut self) {
        self.turned_away.clear();
        for owner in 0..self.owners.len() {
            self.show_inbox(owner);
        }
    }

    /// Writes an entry into the inbox and shows it to the owners.
    fn store(&mut self, item: InboxItem) {
        self.inbox.push(item.clone());
        if self.inbox_ms.is_empty() {
            let owner = self.newest_owner();
            self.deliver(owner, Event::Inbox(vec![item]));
            return;
        }
        self.stored_at.insert(item.key.clone(), self.now);
        for owner in 0..self.owners.len() {
            self.show_later(owner, item.clone());
        }
    }

    /// Returns the index of the newest owner.
    pub fn newest_owner(&self) -> usize {
        self.owners.len() - 1
    }

    pub fn kill_newest_owner(&mut self) {
        let owner = self.newest_owner();
        self.owners[owner].alive = false;
    }

    /// Has the operators evacuate these data centres, and no others; the owners that live learn of it.
    pub fn evacuate(&mut self, dcs: &[&str]) {
        let now = self.now;
        self.evacuations.retain(|dc, _| dcs.contains(&dc.as_str()));
        for dc in dcs {
            self.evacuations.entry((*dc).to_owned()).or_insert(now);
        }
        for owner in 0..self.owners.len() {
            let dcs = self.evacuations.keys().cloned().collect();
            let event = Event::Evacuations(dcs);
            self.schedule(
                now + self.evacuation_ms,
                Scheduled::Event(owner, Box::new(event)),
            );
        }
    }

    /// Returns how many runs are in a data centre.
    pub fn count_runs_in(&self, dc: &str) -> usize {
        let here = |(name, _): &&(String, u64)| self.workers[name].target.dc == dc;
        self.live_runs.values().flatten().filter(here).count()
    }

    pub fn send_registry(&mut self, owner: usize) {
        for name in &self.listed {
            if !self.heartbeats || !self.entries.contains_key(name) {
                let target = self.workers[name].target.clone();
                self.entries.insert(name.clone(), target);
            }
        }
        let targets = self.listed.iter().map(|n| self.entries[n].clone());
        let targets = targets.collect();
        self.deliver(owner, Event::Registry(targets));
    }

    /// Has no worker enforce its capacity, and the configuration say so.
    pub fn stop_enforcing(&mut self) {
        let mut policy = (*self.policy).clone();
        policy.version += 1;
        policy.pools = vec![Pool {
            name: POOL.to_owned(),
            enforces_capacity: false,
        }];
        self.policy = Arc::new(policy);
        self.heartbeats = true;
        for worker in self.workers.values_mut() {
            worker.enforces_capacity = false;
        }
        for owner in 0..self.owners.len() {
            self.deliver(owner, Event::Policy(Arc::clone(&self.policy)));
        }
    }

    /// Changes a worker's capacity, which its registry entry shows with the next heartbeat.
    pub fn resize(&mut self, name: &str, accels: u64) {
        let worker = self.workers.get_mut(name).expect("known worker");
        let old = worker.target.capacity;
        worker.target.capacity = Resources {
            cpu: 4_000 * accels,
            mem: 16_384 * accels,
            accels,
        };
        let old_capacities = self.old_capacities.entry(name.to_owned()).or_default();
        old_capacities.push((self.now, old));
    }

    /// Has the workers write their registry entries whose turn has come since `before`.
    fn send_heartbeats(&mut self, before: u64) {
        let mut written = Vec::new();
        for (i, name) in (0u64..).zip(&self.listed) {
            let turns = |time: u64| (time + i * 370) / HEARTBEAT_MS;
            let due = turns(self.now) > turns(before);
            let worker = &self.workers[name];
            let writes = !worker.exited && worker.paused_until(self.now).is_none();
            if due && writes && !self.lost_heartbeats.contains(name) {
                written.push(name.clone());
            }
        }
        for name in written {
            let target = self.workers[&name].target.clone();
            self.unread |= self.entries.get(&name) != Some(&target);
            self.entries.insert(name.clone(), target.clone());
            if self.registry_lost {
                continue;
            }
            let changed = std::mem::take(&mut self.unread);
            let heartbeat = Heartbeat {
                worker: name.clone(),
                started_at: target.started_at,
                written_after: UnixMs(self.now),
                departs_at: self.departures.get(&name).map(|at| UnixMs(*at)),
            };
            for owner in 0..self.owners.len() {
                if changed {
                    self.send_registry(owner);
                }
                let heartbeats = Event::Heartbeats(vec![heartbeat.clone()]);
                self.deliver(owner, heartbeats);
            }
        }
    }

    /// Returns the capacity that a worker's runs must not exceed: one that has shrunk counts after a
    /// delay.
    fn binding_capacity(&self, name: &str) -> Resources {
        let now = self.now;
        let capacity = self.workers[name].target.capacity;
        let old = self.old_capacities.get(name).into_iter().flatten();
        let recent = old.filter(|(until, _)| now < until + SHRINK_DELAY_MS);
        recent.fold(capacity, |sum, (_, c)| Resources {
            cpu: sum.cpu.max(c.cpu),
            mem: sum.mem.max(c.mem),
            accels: sum.accels.max(c.accels),
        })
    }

    pub fn deliver(&mut self, owner: usize, event: Event) {
        if !self.owners[owner].alive {
            return;
        }
        let mut out = Vec::new();
        let now = self.now;
        self.owners[owner]
            .engine
            .step(UnixMs(now), now, event, &mut out);
        for action in out {
            self.perform(owner, action);
        }
    }

    fn perform(&mut self, owner: usize, action: Action) {
        match action {
            Action::Order(worker, target, order) => self.send(owner, worker, &target, order),
            Action::Commit(batch) => {
                let delay = self.store_ms + self.rng.random_range(3..12);
                self.schedule(self.now + delay, Scheduled::Commit(owner, Box::new(batch)));
            }
            Action::Reply(call_id, reply) => {
                self.replies.insert(call_id, reply);
            }
            Action::Advise { step, workers, .. } => self.advise(owner, step, &workers),
            Action::StepDown => self.owners[owner].alive = false,
        }
    }

    /// Answers a request to the adviser, and remembers the tickets.
    fn advise(&mut self, owner: usize, step: TaskId, workers: &[String]) {
        self.adviser_requests += 1;
        let mut rows = Vec::new();
        for name in workers.iter().filter(|w| self.allowed.contains(*w)) {
            let ticket = format!("ticket-{}", self.issued_tickets.len());
            let started_at = self.workers[name].target.started_at;
            let end = self.now + self.valid_ms;
            self.issued_tickets
                .insert(ticket.clone(), (name.clone(), started_at, step, end));
            let worker = name.clone();
            rows.push(advice::Ticket { worker, ticket });
        }
        let delay_ms = 20 + u64::try_from(workers.len()).expect("few workers");
        let event = Event::Advised(Some(AdviceResponse {
            allowed: rows,
            valid_ms: self.valid_ms,
        }));
        self.schedule(
            self.now + delay_ms,
            Scheduled::Event(owner, Box::new(event)),
        );
    }

    /// Returns whether a start has the adviser's ticket that its queue demands.
    fn has_valid_ticket(&self, name: &str, start: &Start) -> bool {
        let record = self.records.get(&start.task.job);
        if record.is_none_or(|r| r.queue.advice.is_none()) {
            return true;
        }
        let step = TaskId {
            index: 0,
            ..start.task
        };
        let started_at = self.workers[name].target.started_at;
        self.issued_tickets
            .get(&start.ticket)
            .is_some_and(|(w, b, s, end)| {
                (w.as_str(), *b, *s) == (name, started_at, step) && self.now <= *end
            })
    }

    fn send(&mut self, owner: usize, worker: WorkerKey, target: &Target, order: Order) {
        let roll = self.rng.random_range(0..100);
        let mut delay = self.order_ms + self.rng.random_range(1..4);
        if matches!(order, Order::Start(_)) {
            let since = self.evacuations.get(&target.dc);
            let lasted_ms = since.map_or(0, |at| self.now - at);
            assert!(
                lasted_ms <= self.evacuation_ms,
                "a start was sent to {} {lasted_ms} ms after its evacuation",
                target.name
            );
            delay += self.start_ms.get(&target.name).copied().unwrap_or(0);
        }
        self.renewals += u32::from(matches!(order, Order::Renew(_)));
        let cut = match &order {
            Order::Renew(_) => self.lost_renewals.contains(&target.name),
            Order::Stop(_) if self.lost_stops.contains(&target.name) => true,
            Order::Start(_) | Order::Stop(_) | Order::SetPace(_) => {
                self.lost_orders.contains(&target.name)
            }
        };
        let cut = cut || self.cut_paths.contains(&(owner, target.name.clone()));
        if self.closed.contains(&target.name) && !matches!(order, Order::Renew(_)) {
            let event = Event::OrderResponse(worker, order, OrderResponse::Unsent);
            self.schedule(self.now + delay, Scheduled::Event(owner, Box::new(event)));
            return;
        }
        let late_renewal = matches!(order, Order::Renew(_)) && roll < self.faults.late_renewals;
        let held = self.held_until.get(&target.name).copied();
        let held = held.filter(|until| *until > self.now);
        let late = late_renewal || roll < self.faults.late || held.is_some();
        let unanswered = roll < self.faults.late + self.faults.unanswered
            || self.lost_responses.contains(&target.name);
        let lost = cut || late || unanswered;
        let at = if let Some(until) = held {
            until + self.rng.random_range(self.resend_ms.clone())
        } else if late {
            self.now + self.rng.random_range(self.late_ms.clone())
        } else {
            self.now + delay
        };
        if lost {
            let limit = response_limit(&order);
            let event = Event::OrderResponse(worker, order.clone(), OrderResponse::Lost);
            self.schedule(self.now + limit, Scheduled::Event(owner, Box::new(event)));
        }
        if cut {
            return;
        }
        if late && self.connected {
            let process = self.workers[&target.name].target.started_at;
            let late = Scheduled::Late(Box::new(target.clone()), order, process);
            self.schedule(at, late);
            return;
        }
        self.schedule(
            at,
            Scheduled::Order(owner, worker, Box::new(target.clone()), order, !lost),
        );
    }

    /// Runs the simulation for some milliseconds.
    pub fn run_for(&mut self, ms: u64) {
        self.run_to(self.now + ms);
    }

    /// Runs the simulation until a point in time.
    pub fn run_to(&mut self, end: u64) {
        while self.now < end {
            let before = self.now;
            let tick = (before + 10).min(end);
            while let Some(Reverse((time, number))) = self.queue.peek().copied() {
                if time > tick {
                    break;
                }
                self.queue.pop();
                self.now = self.now.max(time);
                if let Some(item) = self.scheduled.remove(&number) {
                    self.handle(item);
                }
            }
            self.now = tick;
            if !self.store_silent {
                for (owner, batch) in std::mem::take(&mut self.held_commits) {
                    self.commit(owner, batch);
                }
            }
            self.advance_workers();
            if self.heartbeats {
                self.send_heartbeats(before);
            }
            for owner in 0..self.owners.len() {
                if self.is_confirmed(owner) {
                    let at = UnixMs(self.now - self.confirm_ms);
                    self.deliver(owner, Event::Confirmed(at));
                }
                self.deliver(owner, Event::Tick);
            }
        }
    }

    /// Returns whether the store confirms to an owner that there is no newer one.
    fn is_confirmed(&self, owner: usize) -> bool {
        let answers = !self.store_down && !self.store_silent && !self.turned_away.contains(&owner);
        answers && self.owners[owner].seq == self.seq
    }

    fn advance_workers(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.advance_worker(&name);
        }
    }

    fn advance_worker(&mut self, name: &str) {
        let now = self.now;
        let worker = self.workers.get_mut(name).expect("known worker");
        let process = worker.target.started_at;
        if !worker.exited {
            worker.advance(now);
        }
        if worker.target.started_at != process {
            if self.new_names {
                self.rename_worker(name);
            }
            self.announce_later();
        }
        self.process_worker_events(name);
        // A worker that stands still hasn't noticed that its leases have expired; when it goes on, its ends
        // may come before that.
        let worker = &self.workers[name];
        if worker.pause.is_none() && worker.clock(now) > worker.lease_expires_at {
            self.held_ends.retain(|(n, ..), _| n != name);
        }
    }

    /// Gives a restarted worker another name; its old one answers no more.
    fn rename_worker(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).expect("known worker");
        let mut target = worker.target.clone();
        worker.exited = true;
        target.name.push('+');
        self.replaced.insert(name.to_owned());
        self.listed.remove(name);
        self.listed.insert(target.name.clone());
        let successor = SimWorker::new(target, self.now);
        self.workers
            .insert(successor.target.name.clone(), successor);
    }

    /// Sends the registry to all owners after the time that a worker takes to register.
    fn announce_later(&mut self) {
        let at = self.now + self.rng.random_range(100..1_200);
        self.schedule(at, Scheduled::Announce);
    }

    fn handle(&mut self, item: Scheduled) {
        match item {
            Scheduled::Announce => {
                for owner in 0..self.owners.len() {
                    self.send_registry(owner);
                }
            }
            Scheduled::Inbox(owner) => self.show_inbox(owner),
            Scheduled::Loaded => {
                self.elect();
            }
            Scheduled::Report(owner, worker, target, order, report, late_runs) => {
                let renewal = Renewal {
                    expires_at: 0,
                    acked: 0,
                    ..renewal_of(&order)
                };
                let response = match self.execute(&target, &Order::Renew(renewal)) {
                    // The connections of a process end with it.
                    Some(OrderResponse::Report(later)) if later.started_at == report.started_at => {
                        OrderResponse::Report(Report {
                            clock: later.clock,
                            running: if late_runs {
                                later.running
                            } else {
                                report.running
                            },
                            ..report
                        })
                    }
                    _ => OrderResponse::Lost,
                };
                let event = Event::OrderResponse(worker, order, response);
                self.schedule(self.now + 2, Scheduled::Event(owner, Box::new(event)));
            }
            Scheduled::Event(owner, event) => self.deliver(owner, *event),
            Scheduled::Commit(owner, batch) => self.commit(owner, *batch),
            Scheduled::Delayed(owner, worker, target, order, started_at) => {
                let restarted = self.workers[&target.name].target.started_at != started_at;
                if !restarted || !self.reuse_ids {
                    self.handle(Scheduled::Order(owner, worker, target, order, true));
                } else {
                    let event = Event::OrderResponse(worker, order, OrderResponse::Lost);
                    self.deliver(owner, event);
                }
            }
            Scheduled::Late(target, order, process) => {
                if let Some(until) = self.workers[&target.name].paused_until(self.now) {
                    self.schedule(until, Scheduled::Late(target, order, process));
                    return;
                }
                if self.workers[&target.name].target.started_at == process {
                    self.execute(&target, &order);
                }
            }
            Scheduled::Order(owner, worker, target, order, responds) => {
                if let Some(until) = self.workers[&target.name].paused_until(self.now) {
                    // The order waits in the worker's socket; the owner gives it up in time.
                    let given_up_at = self.now + response_limit(&order);
                    let in_time = until < given_up_at;
                    if responds && !in_time {
                        let event =
                            Event::OrderResponse(worker, order.clone(), OrderResponse::Lost);
                        self.schedule(given_up_at, Scheduled::Event(owner, Box::new(event)));
                    }
                    let responds = responds && in_time;
                    let item = Scheduled::Order(owner, worker, target, order, responds);
                    self.schedule(until, item);
                    return;
                }
                if self.workers[&target.name].pause.is_some() {
                    self.advance_worker(&target.name);
                }
                let response = self.execute(&target, &order);
                if !responds {
                    return;
                }
                let event = Event::OrderResponse(
                    worker,
                    order.clone(),
                    response.clone().unwrap_or(OrderResponse::Lost),
                );
                if let Some(OrderResponse::Report(report)) = &response
                    && !self.report_ms.is_empty()
                    && (renewal_of(&order).wait_ms == 0 || !report.completions.is_empty())
                {
                    let at = self.now + self.rng.random_range(self.report_ms.clone());
                    let late_runs = self.torn_reports;
                    let item =
                        Scheduled::Report(owner, worker, target, order, report.clone(), late_runs);
                    self.schedule(at, item);
                    return;
                }
                let wait = match (&order, &response) {
                    (_, None) => response_limit(&order),
                    // Without a completion to report, the worker delays its response.
                    (Order::Renew(renewal), Some(OrderResponse::Report(report)))
                        if report.completions.is_empty() =>
                    {
                        renewal.wait_ms.min(300)
                    }
                    _ => 2,
                };
                if matches!((&order, &response), (Order::Renew(renewal), Some(OrderResponse::Report(report))) if renewal.wait_ms > 0 && report.completions.is_empty())
                {
                    // The worker makes its report when the delay is over.
                    let at_once = Order::Renew(Renewal {
                        wait_ms: 0,
                        ..renewal_of(&order)
                    });
                    let started_at = self.workers[&target.name].target.started_at;
                    self.schedule(
                        self.now + wait,
                        Scheduled::Delayed(owner, worker, target, at_once, started_at),
                    );
                    return;
                }
                let transit = if self.response_ms.end > 1 {
                    self.rng.random_range(self.response_ms.clone())
                } else {
                    0
                };
                self.schedule(
                    self.now + wait + transit,
                    Scheduled::Event(owner, Box::new(event)),
                );
            }
        }
    }

    /// Returns the specifications of all stored jobs, including those in the inbox.
    fn specs(&self) -> HashMap<JobId, JobSpec> {
        let in_inbox = self.inbox.iter().filter_map(|i| match &i.body {
            InboxBody::Submit(record) => Some((record.id, record.spec.clone())),
            InboxBody::Cancel(_) | InboxBody::Refused(_) => None,
        });
        let recorded = self.records.values().map(|r| (r.id, r.spec.clone()));
        in_inbox.chain(recorded).collect()
    }

    /// Has a worker carry out an order; `None` if it can't be reached.
    fn execute(&mut self, target: &Target, order: &Order) -> Option<OrderResponse> {
        let now = self.now;
        let name = target.name.as_str();
        let work = &self.work;
        let specs = self.specs();
        let has_ticket = match order {
            Order::Start(start) => self.has_valid_ticket(name, start),
            _ => true,
        };
        if self.replaced.contains(name) {
            return Some(OrderResponse::Refused(Refusal::Reborn, None));
        }
        let worker = self.workers.get_mut(name).expect("known worker");
        if worker.unreachable || worker.exited || worker.back_at.is_some() {
            return None;
        }
        if worker.target.started_at != target.started_at && !self.reuse_ids {
            return Some(OrderResponse::Refused(Refusal::Reborn, None));
        }
        if matches!(order, Order::Stop(_)) {
            self.stops += 1;
        }
        if !has_ticket {
            self.refused_tickets += 1;
            return Some(OrderResponse::Refused(
                Refusal::Ticket,
                Some(worker.clock(now)),
            ));
        }
        let failed = &self.failed;
        let response = worker.handle(now, order, |start| {
            let (ms, fails) = work.get(&start.task.job).copied().unwrap_or((1_000, 0));
            let step = &specs[&start.task.job].steps[usize::from(start.task.step)];
            let failed = failed.get(&start.task).copied().unwrap_or(0);
            (ms, step.charge(), failed < fails)
        });
        let deadly =
            |e: &WorkerEvent| matches!(e, WorkerEvent::Started(id, _) if self.deadly.contains(id));
        if worker.events.iter().any(deadly) {
            let (shortest, longest) = self.away_ms;
            worker.crash(now + self.rng.random_range(shortest..=longest));
            self.process_worker_events(name);
            return None;
        }
        self.process_worker_events(name);
        Some(response)
    }

    fn process_worker_events(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).expect("known worker");
        let started_at = worker.target.started_at;
        let events = std::mem::take(&mut worker.events);
        for event in events {
            match event {
                WorkerEvent::Started(id, run) => self.check_start(name, id, run),
                WorkerEvent::Ended(number, id, run, how) => {
                    if number == 0 {
                        *self.crashes.entry(id).or_default() += 1;
                    }
                    self.ended_runs
                        .entry((name.to_owned(), started_at))
                        .or_default()
                        .push((number, id, how));
                    if let Some(live) = self.live_runs.get_mut(&id) {
                        live.retain(|(n, r)| n != name || *r != run);
                    }
                    if how == Outcome::Done {
                        *self.done.entry(id).or_default() += 1;
                        self.held_ends
                            .insert((name.to_owned(), started_at, number), (id, false));
                        self.last_done.insert(id.job, self.now);
                    }
                    if how == Outcome::Failed {
                        *self.failed.entry(id).or_default() += 1;
                    }
                }
                WorkerEvent::Acknowledged(acked) => {
                    let ends = self
                        .ended_runs
                        .get(&(name.to_owned(), started_at))
                        .cloned()
                        .unwrap_or_default();
                    for (number, id, how) in ends.iter().filter(|(n, ..)| *n <= acked) {
                        if *how == Outcome::Done {
                            let end = (name.to_owned(), started_at, *number);
                            assert_ne!(
                                self.held_ends.remove(&end),
                                Some((*id, true)),
                                "{id} was started again before its completion was acknowledged"
                            );
                            self.acked_tasks.insert(*id);
                            let parts = self.parts.values().filter(|p| p.key.job == id.job);
                            let mut tasks = parts
                                .flat_map(|p| &p.tasks)
                                .chain(&self.records[&id.job].tasks);
                            let kept = tasks.any(|t| {
                                t.done
                                    && (t.round, t.step, t.index) == (id.round, id.step, id.index)
                            });
                            assert!(
                                kept,
                                "a completion of {id} was acknowledged before it was durable"
                            );
                        }
                    }
                }
            }
        }
    }

    /// Checks the guarantees that must hold when a run starts.
    fn check_start(&mut self, name: &str, id: TaskId, run: u64) {
        self.starts += 1;
        if self.deadly.contains(&id) {
            let starts = self.deadly_starts.entry(id).or_default();
            *starts += 1;
            assert!(
                *starts <= 5,
                "{id}, which crashes its workers, was started three times more after three crashes"
            );
        }
        self.started_at.entry(id.job).or_insert(self.now);
        for (_, repeated) in self.held_ends.values_mut().filter(|(task, _)| *task == id) {
            *repeated = true;
        }
        let specs = self.specs();
        let spec = specs.get(&id.job).expect("a started job is stored");
        let live = self.live_runs.entry(id).or_default();
        let worker = &self.workers[name];
        let now = self.now;
        let is_overdue = |w: &SimWorker| w.pause.is_some() && w.clock(now) > w.lease_expires_at;
        let overdue = live.iter().any(|(n, _)| is_overdue(&self.workers[n]));
        self.starts_beside_pauses += u32::from(overdue);
        let others: Vec<&(String, u64)> = live
            .iter()
            .filter(|(n, _)| !self.workers[n].exited)
            .filter(|(n, _)| !self.forgives_pauses || !is_overdue(&self.workers[n]))
            .collect();
        assert!(
            others.is_empty(),
            "{id} started run {run} on {name} while {others:?} is running"
        );
        assert!(
            !self.acked_tasks.contains(&id),
            "{id} was started again after its completion was acknowledged"
        );
        for before in &spec.steps[usize::from(id.step)].depends_on {
            let count = spec.steps[usize::from(*before)].count;
            for index in 0..count {
                let earlier = TaskId {
                    step: *before,
                    index,
                    ..id
                };
                assert!(
                    self.done.contains_key(&earlier),
                    "{id} was started before {earlier} was done"
                );
            }
        }
        if let Some(at) = self.cancelled.get(&id.job) {
            assert!(
                self.now < at + 3_000,
                "{id} was started {} ms after its cancel",
                self.now - at
            );
        }
        live.push((name.to_owned(), run));
        let (used, capacity) = (worker.used(), self.binding_capacity(name));
        assert!(
            worker.enforces_capacity || capacity.covers(&used),
            "the start of run {run} of {id} brought {name} to {used}, over its capacity {capacity}"
        );
    }

    /// Applies a commit to the store unless the store is down or a newer owner has written.
    fn commit(&mut self, owner: usize, batch: Batch) {
        let number = batch.number;
        if self.store_silent {
            self.held_commits.push((owner, batch));
            return;
        }
        if self.store_down || self.turned_away.contains(&owner) {
            self.schedule(
                self.now + 5,
                Scheduled::Event(
                    owner,
                    Box::new(Event::CommitOutcome(number, CommitOutcome::NotCommitted)),
                ),
            );
            return;
        }
        if self.owners[owner].seq != self.seq {
            self.schedule(
                self.now + 3,
                Scheduled::Event(
                    owner,
                    Box::new(Event::CommitOutcome(number, CommitOutcome::Fenced)),
                ),
            );
            return;
        }
        self.seq += 1;
        self.owners[owner].seq = self.seq;
        let refused = batch
            .puts
            .iter()
            .any(|r| self.refused_records.contains(&r.id));
        if refused || largest_value(&batch) > VALUE_LIMIT_BYTES {
            self.schedule(
                self.now + 5,
                Scheduled::Event(
                    owner,
                    Box::new(Event::CommitOutcome(number, CommitOutcome::Invalid)),
                ),
            );
            return;
        }
        let entries = batch.puts.len() + batch.parts.len();
        assert!(
            entries <= self.bounds.commit_entries,
            "{entries} records in a commit"
        );
        for record in batch.puts {
            if record.state == State::Done {
                for (s, step) in record.spec.steps.iter().enumerate() {
                    for index in 0..step.count {
                        let id = TaskId {
                            job: record.id,
                            round: 0,
                            step: u16::try_from(s).expect("few steps"),
                            index,
                        };
                        assert!(
                            self.done.contains_key(&id) || step.gang,
                            "{} is recorded as done, but {id} isn't done",
                            record.id
                        );
                    }
                }
            }
            if record.state == State::Failed {
                assert!(
                    self.may_have_failed(&record),
                    "{} is recorded as failed, but no task of it failed as often as its queue allows \
                     or had two workers crash under it",
                    record.id
                );
            }
            let bytes = record.encode().expect("a record can be encoded");
            self.records.insert(
                record.id,
                Record::decode(&bytes).expect("an encoded record can be decoded"),
            );
        }
        for part in batch.parts {
            let bytes = part.encode().expect("a part can be encoded");
            let part = RecordPart::decode(&bytes).expect("an encoded part can be decoded");
            self.parts.insert(part.key, part);
        }
        for key in batch.deletes {
            if key.part > 0 {
                self.parts.remove(&key);
            } else {
                self.records.remove(&key.job);
            }
        }
        self.inbox.retain(|i| !batch.handled.contains(&i.key));
        if let Some(workers) = batch.workers {
            self.stored_workers = workers;
        }
        self.learned = batch.learned.or(self.learned.take());
        if let Some(refused) = batch.refused {
            self.inbox.retain(|i| i.key != REFUSED_KEY);
            self.refused_changes += 1;
            self.store(InboxItem {
                key: REFUSED_KEY.to_owned(),
                body: InboxBody::Refused(refused),
            });
        }
        self.schedule(
            self.now + 3,
            Scheduled::Event(
                owner,
                Box::new(Event::CommitOutcome(number, CommitOutcome::Committed)),
            ),
        );
    }

    /// Returns whether a task or a gang of a job failed as often as its queue allows, or two workers
    /// crashed under a task of it.
    fn may_have_failed(&self, record: &Record) -> bool {
        let crashed = |(id, n): (&TaskId, &u32)| id.job == record.id && *n >= 2;
        if self.crashes.iter().any(crashed) {
            return true;
        }
        let mut fails: BTreeMap<(u32, u16, u32), u32> = BTreeMap::new();
        for (id, n) in self.failed.iter().filter(|(id, _)| id.job == record.id) {
            let gang = record.spec.steps[usize::from(id.step)].gang;
            let index = if gang { 0 } else { id.index };
            *fails.entry((id.round, id.step, index)).or_default() += *n;
        }
        fails.values().any(|n| *n >= record.queue.attempts)
    }

    fn call(&mut self, call: Call) -> CallId {
        self.call_at(self.newest_owner(), call)
    }

    fn call_at(&mut self, owner: usize, call: Call) -> CallId {
        self.last_call += 1;
        let call_id = self.last_call;
        if self.owners[owner].alive {
            self.deliver(owner, Event::Call(call_id, call));
        } else {
            self.replies.insert(call_id, Reply::NotOwner);
        }
        call_id
    }

    /// Submits a job whose tasks run `work_ms` each.
    pub fn submit(
        &mut self,
        n: u64,
        queue_name: &str,
        workspace: &str,
        spec: JobSpec,
        work_ms: u64,
    ) -> CallId {
        let owner = self.newest_owner();
        self.submit_at(owner, n, queue_name, workspace, spec, work_ms)
    }

    /// Submits a job by an attempt that began after the refusal with this number.
    pub fn submit_after(&mut self, refusal: u64, n: u64, spec: JobSpec) -> CallId {
        let submission = Submission {
            id: job_id(n),
            queue: self.policy.queue("sweep").expect("known queue").clone(),
            workspace: "w0".to_owned(),
            spec,
            refusal,
        };
        self.call(Call::Submit(Box::new(submission)))
    }

    /// Submits a job to one of the owners, which may have been replaced.
    pub fn submit_at(
        &mut self,
        owner: usize,
        n: u64,
        queue_name: &str,
        workspace: &str,
        spec: JobSpec,
        work_ms: u64,
    ) -> CallId {
        let id = job_id(n);
        self.work.entry(id).or_insert((work_ms, 0));
        let queue = self.policy.queue(queue_name).expect("known queue").clone();
        let submission = Submission {
            id,
            queue,
            workspace: workspace.to_owned(),
            spec,
            refusal: 0,
        };
        self.call_at(owner, Call::Submit(Box::new(submission)))
    }

    pub fn cancel(&mut self, n: u64) -> CallId {
        self.cancel_at(self.newest_owner(), n)
    }

    /// Cancels a job at one of the owners, which may have been replaced.
    pub fn cancel_at(&mut self, owner: usize, n: u64) -> CallId {
        self.call_at(owner, Call::Cancel(job_id(n)))
    }

    /// Returns whether a job is open in the store, on record or in the inbox.
    pub fn is_stored_open(&self, n: u64) -> bool {
        let id = job_id(n);
        let submits = |i: &InboxItem| matches!(&i.body, InboxBody::Submit(r) if r.id == id);
        match self.records.get(&id) {
            Some(record) => record.state == State::Open,
            None => self.inbox.iter().any(submits),
        }
    }

    /// Records that a job's cancel was acknowledged, so that later starts of it are reported.
    pub fn record_cancel(&mut self, n: u64) {
        self.cancelled.insert(job_id(n), self.now);
    }

    pub fn status(&mut self, n: u64) -> Option<JobStatus> {
        let call_id = self.call(Call::Status(job_id(n)));
        match self.replies.get(&call_id) {
            Some(Reply::State(status)) => Some(*status),
            _ => None,
        }
    }

    /// Returns the entry that a daemon leaves in the inbox for a submission.
    pub fn inbox_entry(
        &mut self,
        n: u64,
        queue_name: &str,
        spec: JobSpec,
        work_ms: u64,
    ) -> InboxItem {
        let id = job_id(n);
        self.work.entry(id).or_insert((work_ms, 0));
        let queue = self.policy.queue(queue_name).expect("known queue").clone();
        let record = Record::new(id, queue, "w0".to_owned(), spec, self.now);
        InboxItem {
            key: format!("in/{id}"),
            body: InboxBody::Submit(Box::new(record)),
        }
    }

    /// Stores a submission in the inbox, as a daemon does that can't reach the owner.
    pub fn store_submission(&mut self, n: u64, queue_name: &str, spec: JobSpec, work_ms: u64) {
        let item = self.inbox_entry(n, queue_name, spec, work_ms);
        self.store(item);
    }

    /// Returns the jobs on the stored list of refused jobs.
    pub fn refused_jobs(&self) -> Vec<JobId> {
        let list = self.inbox.iter().find_map(|i| match &i.body {
            InboxBody::Refused(list) => Some(list.ids.clone()),
            InboxBody::Submit(_) | InboxBody::Cancel(_) => None,
        });
        list.unwrap_or_default()
    }

    /// Carries out a write to the inbox that a daemon began when the list of refused jobs had changed
    /// `refused_changes` times, unless it has changed since.
    pub fn store_late(&mut self, item: InboxItem, refused_changes: u32) {
        if self.refused_changes == refused_changes {
            self.store(item);
        }
    }

    /// Stores a cancel in the inbox, as a daemon does that can't reach the owner.
    pub fn store_cancel(&mut self, n: u64) {
        let id = job_id(n);
        let item = InboxItem {
            key: format!("in/cancel/{id}"),
            body: InboxBody::Cancel(id),
        };
        self.store(item);
    }

    pub fn all_done(&mut self, jobs: impl IntoIterator<Item = u64>) -> bool {
        let jobs: Vec<u64> = jobs.into_iter().collect();
        jobs.into_iter()
            .all(|n| self.status(n) == Some(JobStatus::Done))
    }
}

/// Returns the size of the largest value in a commit, in bytes.
fn largest_value(batch: &Batch) -> usize {
    let records = batch.puts.iter().map(Record::encode);
    let parts = batch.parts.iter().map(RecordPart::encode);
    let sizes = records
        .chain(parts)
        .map(|v| v.expect("it can be encoded").len());
    sizes.max().unwrap_or(0)
}

/// Returns how long an owner waits for the response to an order, in milliseconds.
fn response_limit(order: &Order) -> u64 {
    match order {
        Order::Renew(r) => r.wait_ms + 600,
        Order::Start(_) | Order::Stop(_) | Order::SetPace(_) => 500,
    }
}

fn renewal_of(order: &Order) -> Renewal {
    match order {
        Order::Renew(r) => *r,
        Order::Start(_) | Order::Stop(_) | Order::SetPace(_) => unreachable!("not a renewal"),
    }
}
