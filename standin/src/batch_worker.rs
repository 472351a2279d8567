//! Stand-in for a worker that runs tasks of steps: leases, fencing, blocked_runs runs and ends.
//!
//! Orders and the time flow in, answers and events of what happened flow out; it owns no clock.

use std::collections::BTreeMap;

use marigoldglade::batch::id::TaskId;
use marigoldglade::batch::worker::{
    ActiveRun, Completion, Order, OrderResponse, Outcome, Refusal, Renewal, Report, Resources,
    SetPace, Start, Stop, Target,
};

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct SimRun {
    /// Which start of the task.
    pub run: u64,
    /// The room that it takes.
    pub resources: Resources,
    /// When it began, on the caller's clock.
    pub started_at: u64,
    /// How long it takes, in milliseconds.
    pub work_ms: u64,
    /// Whether it fails at its end.
    pub fails: bool,
    /// When a stop takes effect, on the world's clock.
    pub stop_at: Option<u64>,
    /// Its speed in percent.
    pub pace: u32,
    /// The response times of a run that serves users: alone, and added by each filler at full speed,
    /// in milliseconds.
    pub tail: Option<(u64, u64)>,
}

/// What happened on a worker, for the world's checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// A run began.
    Started(TaskId, u64),
    /// A run ended; the end's number, or zero when it is listed nowhere.
    Ended(u64, TaskId, u64, Outcome),
    /// Ends up to this number were acknowledged.
    Acknowledged(u64),
}

/// A simulated worker.
pub struct SimWorker {
    /// Its registry entry.
    pub target: Target,
    /// When its process started, on the caller's clock.
    pub started_at: u64,
    /// The newest term that it has seen.
    pub term: u64,
    /// When its leases lapse, on its own clock.
    pub lease_expires_at: u64,
    /// What runs.
    pub runs: BTreeMap<TaskId, SimRun>,
    /// Ends that weren't acknowledged.
    pub completions: Vec<Completion>,
    /// The number of the last end.
    pub last_completion: u64,
    /// The highest run of each task that ended or was blocked_runs.
    pub blocked_runs: BTreeMap<TaskId, u64>,
    /// Whether nothing reaches it or comes from it.
    pub unreachable: bool,
    /// Whether its process is gone for good.
    pub exited: bool,
    /// Whether all that it runs fails.
    pub fails_all: bool,
    /// Whether what it runs stands still.
    pub hung: bool,
    /// What happened since the last look.
    pub events: Vec<WorkerEvent>,
}

/// Reads `tail_ms=ALONE+ADDED` from the text of a task that serves users.
fn read_tail(text: &str) -> Option<(u64, u64)> {
    let mut words = text.split_whitespace();
    let (alone, added) = words.find_map(|w| w.strip_prefix("tail_ms=")?.split_once('+'))?;
    Some((alone.parse().ok()?, added.parse().ok()?))
}

/// The worker's steady clock is a little slow.
fn slow(ms: u64) -> u64 {
    ms - ms / 50
}

impl SimWorker {
    /// Makes an idle worker.
    #[must_use]
    pub fn new(target: Target, now: u64) -> Self {
        Self {
            target,
            started_at: now,
            term: 0,
            lease_expires_at: 0,
            runs: BTreeMap::new(),
            completions: Vec::new(),
            last_completion: 0,
            blocked_runs: BTreeMap::new(),
            unreachable: false,
            exited: false,
            fails_all: false,
            hung: false,
            events: Vec::new(),
        }
    }

    /// Returns its steady clock.
    #[must_use]
    pub fn clock(&self, now: u64) -> u64 {
        slow(now - self.started_at) + 1
    }

    /// Returns the room that nothing takes.
    #[must_use]
    pub fn free(&self) -> Resources {
        let used = self
            .runs
            .values()
            .fold(Resources::default(), |sum, r| sum.plus(&r.resources));
        self.target.capacity.minus(&used)
    }

    /// A new life at the same address.
    pub fn restart(&mut self, now: u64) {
        for (id, run) in std::mem::take(&mut self.runs) {
            self.events
                .push(WorkerEvent::Ended(0, id, run.run, Outcome::Lapsed));
        }
        let mut target = self.target.clone();
        target.started_at += 1_000;
        let events = std::mem::take(&mut self.events);
        *self = Self::new(target, now);
        self.events = events;
    }

    /// Its process ends for good.
    pub fn exit(&mut self) {
        for (id, run) in std::mem::take(&mut self.runs) {
            self.events
                .push(WorkerEvent::Ended(0, id, run.run, Outcome::Lapsed));
        }
        self.exited = true;
    }

    fn complete(&mut self, id: TaskId, outcome: Outcome) {
        if let Some(run) = self.runs.remove(&id) {
            self.last_completion += 1;
            let checkpoint = if outcome == Outcome::Done {
                String::new()
            } else {
                format!("cp{}", run.run)
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

    /// Lets time act.
    pub fn advance(&mut self, now: u64) {
        if self.clock(now) > self.lease_expires_at {
            let all: Vec<TaskId> = self.runs.keys().copied().collect();
            for id in all {
                self.complete(id, Outcome::Lapsed);
            }
            return;
        }
        let due: Vec<(TaskId, Outcome)> = self
            .runs
            .iter()
            .filter_map(|(id, r)| {
                if r.stop_at.is_some_and(|at| at <= now) {
                    Some((*id, Outcome::Stopped))
                } else if !self.hung && now >= r.started_at + r.work_ms {
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

    /// Carries an order out; `work` says how long a run takes and whether it fails.
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
            Order::Renew(h) => h.term,
            Order::SetPace(p) => p.term,
        };
        if term < self.term {
            return OrderResponse::Refused(Refusal::Fenced, Some(clock));
        }
        self.term = term;
        match order {
            Order::Start(s) => self.start(now, clock, s, work),
            Order::Stop(s) => self.stop(now, clock, s),
            Order::Renew(h) => self.renew(now, clock, h),
            Order::SetPace(p) => self.set_pace(clock, p),
        }
    }

    fn start(
        &mut self,
        now: u64,
        clock: u64,
        s: &Start,
        work: impl FnOnce(&Start) -> (u64, Resources, bool),
    ) -> OrderResponse {
        if self.runs.get(&s.task).is_some_and(|r| r.run == s.run) {
            self.lease_expires_at = self.lease_expires_at.max(s.deadline);
            return OrderResponse::Accepted(clock);
        }
        let bar = self.blocked_runs.get(&s.task).copied().unwrap_or(0);
        if s.run <= bar || self.runs.contains_key(&s.task) {
            return OrderResponse::Refused(Refusal::Superseded, Some(clock));
        }
        if s.deadline <= clock {
            return OrderResponse::Refused(Refusal::Late, Some(clock));
        }
        let (work_ms, resources, fails) = work(s);
        if !self.free().covers(&resources) {
            return OrderResponse::Refused(Refusal::Full, Some(clock));
        }
        self.lease_expires_at = self.lease_expires_at.max(s.deadline);
        let run = SimRun {
            run: s.run,
            resources,
            started_at: now,
            work_ms,
            fails,
            stop_at: None,
            pace: 100,
            tail: read_tail(&s.text),
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
                let bar = self.blocked_runs.entry(s.task).or_default();
                *bar = (*bar).max(s.run);
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

    /// Returns the tail of a run that serves users, in milliseconds.
    #[must_use]
    pub fn tail(&self, run: &SimRun) -> Option<u64> {
        let (alone, added) = run.tail?;
        let fillers = self.runs.values().filter(|r| r.tail.is_none());
        let speed: u64 = fillers.map(|r| u64::from(r.pace)).sum();
        Some(alone + added * speed / 100)
    }

    fn renew(&mut self, now: u64, clock: u64, h: &Renewal) -> OrderResponse {
        self.lease_expires_at = self.lease_expires_at.max(h.expires_at);
        let before = self.completions.len();
        self.completions.retain(|e| e.number > h.acked);
        if self.completions.len() < before {
            self.events.push(WorkerEvent::Acknowledged(h.acked));
        }
        let percent = |r: &SimRun| {
            if self.hung {
                return 0;
            }
            // What serves users is at work at once.
            if r.tail.is_some() {
                return 100;
            }
            u32::try_from((now - r.started_at) * 100 / r.work_ms.max(1))
                .unwrap_or(100)
                .min(99)
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
            completions: self.completions.clone(),
        })
    }
}
