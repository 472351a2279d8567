//! One start of one gang: prepare on all workers, record the start, commit on all, run on all.
//!
//! What workers tell flows in, orders and the outcome flow out. A body starts only by
//! [`Order::Run`], and that is sent only after every worker confirmed its commit; so a refusal, a
//! late answer or a death up to there leaves nothing running. Everything that a worker was asked
//! to hold carries a deadline, at which the worker lets go by itself.

use crate::time::UnixMs;
use crate::wire::{Order, Stand, TaskId};

/// How long a gang waits for all workers to confirm a preparation, in milliseconds.
pub const PREPARE_TIMEOUT_MS: u64 = 800;
/// How long a preparation lasts at the worker, in milliseconds.
pub const PREPARE_LEASE_MS: u64 = 3_000;
/// How long a commit lasts at the worker, in milliseconds.
pub const COMMIT_LEASE_MS: u64 = 3_000;
/// The first lease of a started task, in milliseconds; it bounds how long a part may run when
/// the rest of the gang couldn't be started.
pub const START_LEASE_MS: u64 = 5_000;
/// The lease of a running task, in milliseconds.
pub const TASK_LEASE_MS: u64 = 30_000;
/// How long a worker may be silent before its part counts as lost, in milliseconds.
pub const SILENCE_TIMEOUT_MS: u64 = 20_000;
/// How long a new owner waits for the workers of a gang that it found, in milliseconds.
pub const RECOVER_TIMEOUT_MS: u64 = 10_000;
/// How far two clocks may be apart, in milliseconds.
pub const CLOCK_MARGIN_MS: u64 = 500;
/// The gap between two tries of an order that wasn't confirmed, in milliseconds.
pub const RESEND_INTERVAL_MS: u64 = 250;

/// Why a start is being taken back or stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The job's owner asked for it.
    Requested,
    /// This worker refused, was late or lost its part.
    Lost(String),
    /// A task failed on this worker.
    Failed(String),
}

/// How a start ended. Whatever it was, nothing of it runs any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No body was started.
    NotRun(Cause),
    /// All tasks are done; the result of the first task.
    Done(String),
    /// Bodies may have started, and the start was cut short.
    Interrupted(Cause),
}

/// What a gang is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A worker told how a task stands, with its result when it is done.
    TaskState(u16, Stand, String),
    /// A worker is gone with all it ran.
    WorkerRemoved(String),
    /// The start is on record.
    Recorded,
    /// Stop gracefully until the deadline.
    Stop(UnixMs),
    /// Extend the leases of running tasks until the deadline.
    Renew(UnixMs),
    /// Time passed.
    Tick,
}

/// What a gang wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an order to the worker of a task.
    Send(String, Order),
    /// Write the start to the job's record, then tell [`Event::Recorded`].
    Record,
    /// The whole gang runs.
    Started,
    /// The start is over.
    Ended(Outcome),
}

/// Where a start stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Workers are asked to set accelerators aside.
    Prepare,
    /// All are prepared; the start is being recorded.
    Record,
    /// Workers are asked to bind their tasks.
    Commit,
    /// All are bound; bodies are being started.
    Run,
    /// The whole gang runs.
    Running,
    /// A new owner gathers what the workers know.
    Recover,
    /// Nothing was started; preparations are being given back.
    Abort(Cause),
    /// Tasks are being stopped.
    Stop(Cause),
    /// It is over.
    Ended,
}

/// One task on its worker.
#[derive(Clone, Debug)]
struct Part {
    vm: String,
    /// What the worker told last; `None` before it told anything.
    stand: Option<Stand>,
    /// When everything that the worker was given has lapsed.
    end: UnixMs,
    /// When the worker last told of it.
    heard: UnixMs,
}

/// One start of one gang.
#[derive(Clone, Debug)]
pub struct Gang {
    job: String,
    attempt: u32,
    accels: u8,
    body: String,
    parts: Vec<Part>,
    stage: Stage,
    /// When the stage gives up.
    end: UnixMs,
    /// When unconfirmed orders are sent again.
    resend: UnixMs,
    /// When the grace of a stop ends.
    grace: UnixMs,
    result: String,
}

impl Gang {
    /// Begins a start: tells `out` to prepare a task on each of `vms`.
    #[must_use]
    pub fn new(
        now: UnixMs,
        job: &str,
        attempt: u32,
        (accels, body): (u8, &str),
        vms: &[String],
        out: &mut Vec<Action>,
    ) -> Self {
        let mut gang = Self::with_stage(now, job, attempt, vms, Stage::Prepare);
        gang.accels = accels;
        gang.body = body.to_owned();
        gang.end = now.after(PREPARE_TIMEOUT_MS);
        gang.lasts_until(now.after(PREPARE_LEASE_MS));
        gang.send_all(now, out);
        gang
    }

    /// Takes over a start of a former owner, all of whose leases have lapsed at `lapse`.
    #[must_use]
    pub fn recover(now: UnixMs, job: &str, attempt: u32, vms: &[String], lapse: UnixMs) -> Self {
        let mut gang = Self::with_stage(now, job, attempt, vms, Stage::Recover);
        gang.end = now.after(RECOVER_TIMEOUT_MS);
        gang.lasts_until(lapse);
        gang
    }

    fn with_stage(now: UnixMs, job: &str, attempt: u32, vms: &[String], stage: Stage) -> Self {
        let part = |vm: &String| Part {
            vm: vm.clone(),
            stand: None,
            end: now,
            heard: now,
        };
        Self {
            job: job.to_owned(),
            attempt,
            accels: 0,
            body: String::new(),
            parts: vms.iter().map(part).collect(),
            stage,
            end: now,
            resend: now.after(RESEND_INTERVAL_MS),
            grace: now,
            result: String::new(),
        }
    }

    /// Returns where the start stands.
    #[must_use]
    pub const fn stage(&self) -> &Stage {
        &self.stage
    }

    /// Returns which start of the job this is.
    #[must_use]
    pub const fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the VMs, one a task.
    pub fn vms(&self) -> impl Iterator<Item = &str> {
        self.parts.iter().map(|p| p.vm.as_str())
    }

    /// Returns the tasks on a worker.
    pub fn tasks_on<'a>(&'a self, vm: &'a str) -> impl Iterator<Item = u16> + 'a {
        (0..)
            .zip(&self.parts)
            .filter(move |(_, p)| p.vm == vm)
            .map(|(i, _)| i)
    }

    /// Returns the tasks, each with its worker.
    pub fn tasks(&self) -> impl Iterator<Item = (&str, TaskId)> {
        let parts = (0..).zip(&self.parts);
        parts.map(|(i, p)| (p.vm.as_str(), self.task(i)))
    }

    /// Returns whether the worker should know of a task: it confirmed it, or a former owner
    /// may have started it.
    #[must_use]
    pub fn expects(&self, index: u16) -> bool {
        let part = self.parts.get(usize::from(index));
        let known = part.is_some_and(|p| p.stand.is_some());
        known || self.stage == Stage::Recover
    }

    /// Returns whether a task on this worker may still hold accelerators.
    #[must_use]
    pub fn holds(&self, vm: &str) -> bool {
        let held = |p: &Part| p.vm == vm && !p.stand.is_some_and(ended);
        self.stage != Stage::Ended && self.parts.iter().any(held)
    }

    /// Returns the orders that let workers forget the start's tasks.
    pub fn forget(&self) -> impl Iterator<Item = (String, Order)> {
        (0..).zip(&self.parts).map(|(i, p)| {
            let task = self.task(i);
            (p.vm.clone(), Order::Forget { task })
        })
    }

    /// Takes in one event.
    pub fn step(&mut self, now: UnixMs, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::TaskState(index, stand, result) => self.told(now, index, stand, result),
            Event::WorkerRemoved(vm) => self.gone(now, &vm),
            Event::Recorded => self.recorded(now, out),
            Event::Stop(grace) => self.stop(now, grace, out),
            Event::Renew(end) => self.renew(now, end, out),
            Event::Tick => {}
        }
        self.advance(now, out);
        if self.resend.passed(now) {
            self.send_all(now, out);
        }
    }

    /// Names a task of this start.
    #[must_use]
    pub fn task(&self, index: u16) -> TaskId {
        TaskId {
            job: self.job.clone(),
            attempt: self.attempt,
            index,
        }
    }

    fn lasts_until(&mut self, end: UnixMs) {
        for part in &mut self.parts {
            part.end = part.end.max(end);
        }
    }

    /// Stands only move forward, so that a delayed answer changes nothing.
    fn told(&mut self, now: UnixMs, index: u16, stand: Stand, result: String) {
        let Some(part) = self.parts.get_mut(usize::from(index)) else {
            return;
        };
        part.heard = now;
        if part.stand.is_some_and(|s| rank(s) >= rank(stand)) {
            return;
        }
        part.stand = Some(stand);
        if index == 0 && stand == Stand::Done {
            self.result = result;
        }
    }

    fn gone(&mut self, now: UnixMs, vm: &str) {
        for part in self.parts.iter_mut().filter(|p| p.vm == vm) {
            part.end = now.before(CLOCK_MARGIN_MS);
            if !part.stand.is_some_and(ended) {
                part.stand = Some(Stand::Absent);
            }
        }
    }

    fn recorded(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if self.stage != Stage::Record || self.end.passed(now) {
            return;
        }
        self.enter(now, Stage::Commit, now.after(COMMIT_LEASE_MS), out);
    }

    fn stop(&mut self, now: UnixMs, grace: UnixMs, out: &mut Vec<Action>) {
        match self.stage {
            Stage::Prepare | Stage::Record | Stage::Commit => {
                self.give_up(now, Cause::Requested, out);
            }
            Stage::Run | Stage::Running | Stage::Recover => {
                self.grace = grace;
                self.enter(now, Stage::Stop(Cause::Requested), UnixMs::MAX, out);
            }
            Stage::Stop(_) if grace < self.grace => {
                self.grace = grace;
                self.send_all(now, out);
            }
            Stage::Stop(_) | Stage::Abort(_) | Stage::Ended => {}
        }
    }

    /// A part that is silent isn't renewed in a stop, so that it lapses. While it isn't known
    /// whether the whole gang was started, no part gets a long lease.
    fn renew(&mut self, now: UnixMs, end: UnixMs, out: &mut Vec<Action>) {
        let stopping = matches!(self.stage, Stage::Stop(_));
        let end = match self.stage {
            Stage::Running | Stage::Stop(_) => end,
            Stage::Recover => end.min(self.end.after(START_LEASE_MS)),
            _ => return,
        };
        for i in 0..self.parts.len() {
            let part = &mut self.parts[i];
            let runs = matches!(part.stand, Some(Stand::Running | Stand::Stopping));
            if !runs || (stopping && part.heard.after(SILENCE_TIMEOUT_MS).passed(now)) {
                continue;
            }
            part.end = part.end.max(end);
            let (vm, task) = (part.vm.clone(), self.task(index(i)));
            out.push(Action::Send(vm, Order::Renew { task, end }));
        }
    }

    fn enter(&mut self, now: UnixMs, stage: Stage, lapse: UnixMs, out: &mut Vec<Action>) {
        self.stage = stage;
        self.end = lapse.before(CLOCK_MARGIN_MS);
        if lapse != UnixMs::MAX {
            self.lasts_until(lapse);
        }
        self.send_all(now, out);
    }

    /// Takes back what was prepared or committed; no body was started.
    fn give_up(&mut self, now: UnixMs, cause: Cause, out: &mut Vec<Action>) {
        self.enter(now, Stage::Abort(cause), UnixMs::MAX, out);
    }

    /// Stops what runs at once, since the rest of the gang doesn't.
    fn cut(&mut self, now: UnixMs, cause: Cause, out: &mut Vec<Action>) {
        self.grace = now;
        self.enter(now, Stage::Stop(cause), UnixMs::MAX, out);
    }

    fn advance(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        match self.stage {
            Stage::Prepare => self.advance_prepare(now, out),
            Stage::Record => self.advance_record(now, out),
            Stage::Commit => self.advance_commit(now, out),
            Stage::Run => self.advance_run(now, out),
            Stage::Running => self.advance_running(now, out),
            Stage::Recover => self.advance_recover(now, out),
            Stage::Abort(_) | Stage::Stop(_) => self.advance_end(now, out),
            Stage::Ended => {}
        }
    }

    fn advance_prepare(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if let Some(cause) = self.lost_part() {
            return self.give_up(now, cause, out);
        }
        if self.all(|s| s == Stand::Prepared) {
            self.stage = Stage::Record;
            let lapse = self.parts.iter().map(|p| p.end).min();
            self.end = lapse.unwrap_or(now).before(CLOCK_MARGIN_MS);
            return out.push(Action::Record);
        }
        if self.end.passed(now) {
            let cause = self.silent_part(|s| s == Stand::Prepared);
            self.give_up(now, cause, out);
        }
    }

    fn advance_record(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if let Some(cause) = self.lost_part() {
            self.give_up(now, cause, out);
        } else if self.end.passed(now) {
            self.give_up(now, Cause::Requested, out);
        }
    }

    fn advance_commit(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if let Some(cause) = self.lost_part() {
            self.give_up(now, cause, out);
        } else if self.end.passed(now) {
            let cause = self.silent_part(|s| s == Stand::Committed);
            self.give_up(now, cause, out);
        } else if self.all(|s| s == Stand::Committed) {
            self.enter(now, Stage::Run, now.after(START_LEASE_MS), out);
        }
    }

    fn advance_run(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if let Some(cause) = self.lost_part() {
            self.cut(now, cause, out);
        } else if self.all(|s| matches!(s, Stand::Running | Stand::Done)) {
            self.stage = Stage::Running;
            out.push(Action::Started);
            self.renew(now, now.after(TASK_LEASE_MS), out);
            self.advance_running(now, out);
        } else if self.end.passed(now) {
            let cause = self.silent_part(|s| matches!(s, Stand::Running | Stand::Done));
            self.cut(now, cause, out);
        }
    }

    fn advance_running(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if let Some(cause) = self.lost_part() {
            return self.cut(now, cause, out);
        }
        if self.all(|s| s == Stand::Done) {
            return self.over(out);
        }
        let silent =
            |p: &&Part| p.stand != Some(Stand::Done) && p.heard.after(SILENCE_TIMEOUT_MS) <= now;
        if let Some(part) = self.parts.iter().find(silent) {
            let cause = Cause::Lost(part.vm.clone());
            self.cut(now, cause, out);
        }
    }

    /// The former owner may have sent [`Order::Run`] only if every worker had confirmed its
    /// commit. So one part that is merely prepared proves that no body was started, and so do
    /// parts that are all prepared or committed.
    fn advance_recover(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let bound = |s| matches!(s, Stand::Prepared | Stand::Committed);
        let prepared = |p: &Part| p.stand == Some(Stand::Prepared);
        if self.parts.iter().any(prepared) || self.all(bound) {
            return self.give_up(now, Cause::Requested, out);
        }
        if self.all(|s| matches!(s, Stand::Committed | Stand::Running | Stand::Done)) {
            return self.enter(now, Stage::Run, now.after(START_LEASE_MS), out);
        }
        let unknown = self.parts.iter().any(|p| p.stand.is_none());
        if !unknown || self.end.passed(now) {
            let cause = self.lost_part();
            let cause = cause.unwrap_or_else(|| self.silent_part(|_| true));
            self.cut(now, cause, out);
        }
    }

    fn advance_end(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let free =
            |p: &Part| p.stand.is_some_and(ended) || p.end.after(CLOCK_MARGIN_MS).passed(now);
        if self.parts.iter().all(free) {
            self.over(out);
        }
    }

    fn over(&mut self, out: &mut Vec<Action>) {
        let stage = std::mem::replace(&mut self.stage, Stage::Ended);
        let outcome = match stage {
            Stage::Abort(cause) => Outcome::NotRun(cause),
            _ if self.all(|s| s == Stand::Done) => Outcome::Done(std::mem::take(&mut self.result)),
            Stage::Stop(cause) => Outcome::Interrupted(cause),
            _ => Outcome::Interrupted(Cause::Requested),
        };
        out.push(Action::Ended(outcome));
    }

    fn all(&self, holds: impl Fn(Stand) -> bool) -> bool {
        self.parts.iter().all(|p| p.stand.is_some_and(&holds))
    }

    /// Returns the first part that ended other than well; a failed task goes before a lost one.
    fn lost_part(&self) -> Option<Cause> {
        let mut parts = self.parts.iter();
        if let Some(part) = parts.find(|p| p.stand == Some(Stand::Failed)) {
            return Some(Cause::Failed(part.vm.clone()));
        }
        let lost = |p: &&Part| p.stand.is_some_and(|s| ended(s) && s != Stand::Done);
        let part = self.parts.iter().find(lost)?;
        Some(Cause::Lost(part.vm.clone()))
    }

    fn silent_part(&self, confirmed: impl Fn(Stand) -> bool) -> Cause {
        let silent = |p: &&Part| !p.stand.is_some_and(&confirmed);
        let part = self.parts.iter().find(silent);
        part.map_or(Cause::Requested, |p| Cause::Lost(p.vm.clone()))
    }

    /// Sends each part the order of the stage that it hasn't confirmed.
    fn send_all(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        self.resend = now.after(RESEND_INTERVAL_MS);
        for (i, part) in self.parts.iter().enumerate() {
            if let Some(order) = self.wanted(index(i), part) {
                out.push(Action::Send(part.vm.clone(), order));
            }
        }
    }

    fn wanted(&self, index: u16, part: &Part) -> Option<Order> {
        let task = self.task(index);
        let end = part.end;
        match (&self.stage, part.stand) {
            (_, Some(stand)) if ended(stand) => None,
            (Stage::Prepare, None) => Some(Order::Prepare {
                task,
                accels: self.accels,
                body: self.body.clone(),
                end,
            }),
            (Stage::Commit, Some(Stand::Prepared)) => Some(Order::Commit { task, end }),
            (Stage::Run, Some(Stand::Committed)) => Some(Order::Run { task, end }),
            (Stage::Abort(_), _) => Some(Order::Abort { task }),
            (Stage::Stop(_), stand)
                if stand != Some(Stand::Stopping) || self.grace < part.heard =>
            {
                let end = self.grace;
                Some(Order::Stop { task, end })
            }
            _ => None,
        }
    }
}

fn index(i: usize) -> u16 {
    u16::try_from(i).unwrap_or(u16::MAX)
}

/// Returns whether a task that stands so holds nothing any more.
const fn ended(stand: Stand) -> bool {
    rank(stand) >= rank(Stand::Done)
}

const fn rank(stand: Stand) -> u8 {
    match stand {
        Stand::Prepared => 0,
        Stand::Committed => 1,
        Stand::Running => 2,
        Stand::Stopping => 3,
        Stand::Stopped | Stand::Done | Stand::Failed => 4,
        Stand::Lapsed | Stand::Absent | Stand::Refused => 4,
    }
}
