//! Simulated worker of the batch scheduler, with leases, fencing, blocked runs and completions.
//!
//! It has no clock of its own: the caller passes the time to each method, in milliseconds.

use std::collections::BTreeMap;

use marigoldglade::batch::id::TaskId;
use marigoldglade::batch::worker::{
    ActiveRun, Completion, Order, OrderResponse, Outcome, Refusal, Renewal, Report, Resources,
    SetPace, Start, Stop, Target,
};

/// The longest lease that a worker holds, in milliseconds.
pub const LEASE_LIMIT_MS: u64 = 10_000;
/// The most completions in one report.
pub const REPORTED_COMPLETIONS: usize = 500;
/// How long after a pause a worker that reads requests first lets no timer fire, in milliseconds.
const READ_MS: u64 = 40;

/// What a worker does first when it goes on after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum First {
    /// It ends all runs if its leases have expired.
    Lease,
    /// It reports the runs that fell due as ended, and only then looks at its leases.
    Ends,
    /// It reads the requests that wait in its sockets; a renewal among them revives expired leases. The
    /// ends that fell due come next.
    Requests,
}

/// A time in which a worker's process stands still while its clock goes on.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// When the process goes on, on the caller's clock.
    pub until: u64,
    /// What it does first then.
    pub first: First,
}

/// A run on a simulated worker.
#[derive(Clone, Debug)]
pub struct SimRun {
    /// The number of the run.
    pub run: u64,
    /// The resources that it takes.
    pub resources: Resources,
    /// When the run started, on the caller's clock.
    pub started_at: u64,
    /// The time that the run takes, in milliseconds.
    pub work_ms: u64,
    /// How long after its start the run ends, in milliseconds: a member of a gang waits for the others.
    pub end_ms: u64,
    /// Whether the run fails when that time is over.
    pub fails: bool,
    /// When an ordered stop takes effect, on the caller's clock.
    pub stop_at: Option<u64>,
    /// The speed that was ordered, in percent; it doesn't change the run time.
    pub pace: u32,
    /// The tail latency of a run that serves users, in milliseconds: alone, and added by each other run
    /// at full speed.
    pub tail: Option<(u64, u64)>,
}

/// An event on a worker, for the checks of a test.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// A run started.
    Started(TaskId, u64),
    /// A run ended: the number of its completion, or zero if no report lists it, then the task, the run
    /// and the outcome.
    Ended(u64, TaskId, u64, Outcome),
    /// Completions up to this number were acknowledged.
    Acknowledged(u64),
}

/// A simulated worker.
pub struct SimWorker {
    /// The worker's registry entry.
    pub target: Target,
    /// When the worker's process started, on the caller's clock.
    pub started_at: u64,
    /// The newest term that an order has carried.
    pub term: u64,
    /// When the worker's leases expire, on its own clock.
    pub lease_expires_at: u64,
    /// The longest lease; a longer one is shortened to it.
    pub lease_limit_ms: u64,
    /// How long the worker takes to end its runs once its leases have expired, in milliseconds.
    pub lapse_ms: u64,
    /// The runs in progress.
    pub runs: BTreeMap<TaskId, SimRun>,
    /// Completions that weren't acknowledged.
    pub completions: Vec<Completion>,
    /// The number of the last completion.
    pub last_completion: u64,
    /// For each task, the highest run that ended or was stopped before it started. It and lower runs
    /// are refused.
    pub blocked_runs: BTreeMap<TaskId, u64>,
    /// Whether no messages reach the worker or come from it.
    pub unreachable: bool,
    /// Whether the worker's process has exited for good.
    pub exited: bool,
    /// When a crashed process is back, on the caller's clock; `None` while it is up.
    pub back_at: Option<u64>,
    /// The pause of a process that stands still, until the first timer has fired after it.
    pub pause: Option<Pause>,
    /// Whether all of its runs fail.
    pub fails_all: bool,
    /// Whether its runs make no progress.
    pub hung: bool,
    /// How long its runs take, in percent of an ordinary worker's time.
    pub stretch_percent: u64,
    /// The least length of the checkpoints that it reports, in bytes.
    pub checkpoint_bytes: usize,
    /// Whether it refuses starts that don't fit into its capacity.
    pub enforces_capacity: bool,
    /// Events that the test hasn't taken yet.
    pub events: Vec<WorkerEvent>,
    /// When the leases expired while there were completions that weren't acknowledged, or the process
    /// restarted, on the caller's clock.
    pub lapses: Vec<u64>,
    /// The expiry of the leases that the last lapse belongs to.
    lapsed_expiry: u64,
}

/// Parses `tail_ms=ALONE+ADDED` from the text of a task that serves users.
fn parse_tail(text: &str) -> Option<(u64, u64)> {
    let mut words = text.split_whitespace();
    let (alone, added) = words.find_map(|w| w.strip_prefix("tail_ms=")?.split_once('+'))?;
    Some((alone.parse().ok()?, added.parse().ok()?))
}

/// Returns the time on the worker's monotonic clock, which runs 2 % slow.
fn worker_clock(ms: u64) -> u64 {
    ms - ms / 50
}

impl SimWorker {
    /// Creates an idle worker.
    #[must_use]
    pub fn new(target: Target, now: u64) -> Self {
        Self {
            target,
            started_at: now,
            term: 0,
            lease_expires_at: 0,
            lease_limit_ms: LEASE_LIMIT_MS,
            lapse_ms: 0,
            runs: BTreeMap::new(),
            completions: Vec::new(),
            last_completion: 0,
            blocked_runs: BTreeMap::new(),
            unreachable: false,
            exited: false,
            back_at: None,
            pause: None,
            fails_all: false,
            hung: false,
            stretch_percent: 100,
            checkpoint_bytes: 0,
            enforces_capacity: true,
            events: Vec::new(),
            lapses: Vec::new(),
            lapsed_expiry: 0,
        }
    }

    /// Returns the worker's monotonic clock.
    #[must_use]
    pub fn clock(&self, now: u64) -> u64 {
        worker_clock(now - self.started_at) + 1
    }

    /// Returns the resources that its runs take, including those that are being stopped.
    #[must_use]
    pub fn used(&self) -> Resources {
        let runs = self.runs.values();
        runs.fold(Resources::default(), |sum, r| sum.plus(&r.resources))
    }

    /// Ends all runs together with the worker's process; no report lists them.
    fn lose_runs(&mut self) {
        for (id, run) in std::mem::take(&mut self.runs) {
            self.events
                .push(WorkerEvent::Ended(0, id, run.run, Outcome::Lapsed));
        }
    }

    /// Ends the worker's process until it restarts at `back_at`.
    pub fn crash(&mut self, back_at: u64) {
        self.lose_runs();
        self.back_at = Some(back_at);
    }

    /// Restarts the worker's process at the same address; its runs are lost.
    pub fn restart(&mut self, now: u64) {
        self.lose_runs();
        let mut target = self.target.clone();
        target.started_at += 1_000;
        let events = std::mem::take(&mut self.events);
        let mut lapses = std::mem::take(&mut self.lapses);
        lapses.push(now);
        *self = Self {
            lease_limit_ms: self.lease_limit_ms,
            lapse_ms: self.lapse_ms,
            checkpoint_bytes: self.checkpoint_bytes,
            enforces_capacity: self.enforces_capacity,
            ..Self::new(target, now)
        };
        (self.events, self.lapses) = (events, lapses);
    }

    /// Ends the worker's process for good.
    pub fn exit(&mut self) {
        self.lose_runs();
        self.exited = true;
    }

    fn complete(&mut self, id: TaskId, outcome: Outcome) {
        if let Some(run) = self.runs.remove(&id) {
            self.last_completion += 1;
            let checkpoint = if outcome == Outcome::Done {
                String::new()
            } else {
                let width = self.checkpoint_bytes;
                format!("{:-<width$}", format!("cp{}", run.run))
            };
            self.completions.push(Completion {
                number: self.last_completion,
                task: id,
                run: run.run,
                outcome,
                checkpoint,
            });
            self.events.push(WorkerEvent::Ended(
                self.last_completion,
                id,
                run.run,
                outcome,
            ));
            self.blocked_runs.insert(id, run.run);
        }
    }

    /// Returns until when the process stands still, if it does.
    #[must_use]
    pub fn paused_until(&self, now: u64) -> Option<u64> {
        self.pause.map(|p| p.until).filter(|until| now < *until)
    }

    /// Advances the worker to `now`: restarts a crashed process that is due, ends runs that are done or
    /// stopped, and all runs once the leases have expired. After a pause, what fell due in it comes late.
    pub fn advance(&mut self, now: u64) {
        if let Some(pause) = self.pause {
            let reads = pause.first == First::Requests;
            if now < pause.until + if reads { READ_MS } else { 0 } {
                return;
            }
            self.pause = None;
            if pause.first != First::Lease {
                self.end_due_runs(now);
            }
        }
        if let Some(at) = self.back_at {
            if at <= now {
                self.restart(now);
            }
            return;
        }
        if self.clock(now) > self.lease_expires_at + self.lapse_ms {
            let tasks: Vec<TaskId> = self.runs.keys().copied().collect();
            for id in tasks {
                self.complete(id, Outcome::Lapsed);
            }
            if !self.completions.is_empty() && self.lapsed_expiry != self.lease_expires_at {
                self.lapsed_expiry = self.lease_expires_at;
                self.lapses.push(now);
            }
            return;
        }
        self.end_due_runs(now);
    }

    /// Ends the runs that are done or stopped by `now`.
    fn end_due_runs(&mut self, now: u64) {
        let due: Vec<(TaskId, Outcome)> = self
            .runs
            .iter()
            .filter_map(|(id, r)| {
                if r.stop_at.is_some_and(|at| at <= now) {
                    Some((*id, Outcome::Stopped))
                } else if !self.hung && now >= r.started_at + r.end_ms {
                    Some((
                        *id,
                        if r.fails || self.fails_all {
                            Outcome::Failed
                        } else {
                            Outcome::Done
                        },
                    ))
                } else {
                    None
                }
            })
            .collect();
        for (id, outcome) in due {
            self.complete(id, outcome);
        }
    }

    /// Carries out an order. `work` returns how long a run takes, its resources and whether it fails.
    pub fn handle(
        &mut self,
        now: u64,
        order: &Order,
        work: impl FnOnce(&Start) -> (u64, Resources, bool),
    ) -> OrderResponse {
        self.advance(now);
        let clock = self.clock(now);
        let term = match order {
            Order::Start(s) => s.term,
            Order::Stop(s) => s.term,
            Order::Renew(r) => r.term,
            Order::SetPace(p) => p.term,
        };
        if term < self.term {
            return OrderResponse::Refused(Refusal::Fenced, Some(clock));
        }
        self.term = term;
        match order {
            Order::Start(s) => self.start(now, clock, s, work),
            Order::Stop(s) => self.stop(now, clock, s),
            Order::Renew(r) => self.renew(now, clock, r),
            Order::SetPace(p) => self.set_pace(clock, p),
        }
    }

    /// Extends the leases to a time on the worker's clock, by the longest lease at most.
    fn extend_leases(&mut self, clock: u64, expires_at: u64) {
        let end = expires_at.min(clock + self.lease_limit_ms);
        self.lease_expires_at = self.lease_expires_at.max(end);
    }

    fn start(
        &mut self,
        now: u64,
        clock: u64,
        s: &Start,
        work: impl FnOnce(&Start) -> (u64, Resources, bool),
    ) -> OrderResponse {
        if self.runs.get(&s.task).is_some_and(|r| r.run == s.run) {
            self.extend_leases(clock, s.deadline);
            return OrderResponse::Accepted(clock);
        }
        let blocked = self.blocked_runs.get(&s.task).copied().unwrap_or(0);
        if s.run <= blocked || self.runs.contains_key(&s.task) {
            return OrderResponse::Refused(Refusal::Superseded, Some(clock));
        }
        if s.deadline <= clock {
            return OrderResponse::Refused(Refusal::Late, Some(clock));
        }
        let (work_ms, resources, fails) = work(s);
        let fits = self.target.capacity.covers(&self.used().plus(&resources));
        if self.enforces_capacity && !fits {
            return OrderResponse::Refused(Refusal::Full, Some(clock));
        }
        self.extend_leases(clock, s.deadline);
        let run = SimRun {
            run: s.run,
            resources,
            started_at: now,
            work_ms: work_ms * self.stretch_percent / 100,
            end_ms: work_ms * self.stretch_percent / 100,
            fails,
            stop_at: None,
            pace: 100,
            tail: parse_tail(&s.text),
        };
        self.runs.insert(s.task, run);
        self.events.push(WorkerEvent::Started(s.task, s.run));
        OrderResponse::Accepted(clock)
    }

    fn stop(&mut self, now: u64, clock: u64, s: &Stop) -> OrderResponse {
        match self.runs.get_mut(&s.task) {
            Some(run) if run.run <= s.run => {
                run.stop_at.get_or_insert(now + 400);
            }
            _ => {
                let blocked = self.blocked_runs.entry(s.task).or_default();
                *blocked = (*blocked).max(s.run);
            }
        }
        OrderResponse::Accepted(clock)
    }

    fn set_pace(&mut self, clock: u64, p: &SetPace) -> OrderResponse {
        match self.runs.get_mut(&p.task).filter(|r| r.run == p.run) {
            Some(run) => {
                run.pace = p.percent;
                OrderResponse::Accepted(clock)
            }
            None => OrderResponse::Refused(Refusal::Superseded, Some(clock)),
        }
    }

    /// Returns the tail latency of a run that serves users, in milliseconds.
    #[must_use]
    pub fn tail(&self, run: &SimRun) -> Option<u64> {
        let (alone, added) = run.tail?;
        let fillers = self.runs.values().filter(|r| r.tail.is_none());
        let speed: u64 = fillers.map(|r| u64::from(r.pace)).sum();
        Some(alone + added * speed / 100)
    }

    fn renew(&mut self, now: u64, clock: u64, renewal: &Renewal) -> OrderResponse {
        self.extend_leases(clock, renewal.expires_at);
        let before = self.completions.len();
        self.completions.retain(|e| e.number > renewal.acked);
        if self.completions.len() < before {
            self.events.push(WorkerEvent::Acknowledged(renewal.acked));
        }
        let percent = |r: &SimRun| {
            if self.hung {
                return 0;
            }
            // A task that serves users has no progress to make.
            if r.tail.is_some() {
                return 100;
            }
            u32::try_from((now - r.started_at) * 100 / r.work_ms.max(1))
                .unwrap_or(100)
                .min(if r.end_ms > r.work_ms { 100 } else { 99 })
        };
        let running = self.runs.iter().map(|(id, r)| ActiveRun {
            task: *id,
            run: r.run,
            checkpoint: String::new(),
            percent: percent(r),
            load: self.tail(r),
        });
        OrderResponse::Report(Report {
            clock,
            started_at: self.target.started_at,
            running: running.collect(),
            completions: self
                .completions
                .iter()
                .take(REPORTED_COMPLETIONS)
                .cloned()
                .collect(),
        })
    }
}
