//! One start of one gang: prepare on all workers, record the start, commit on all, run on all.
//!
//! [`Gang::step`] takes an [`Event`], such as a task state that a worker reported, and appends the
//! resulting [`Action`]s: orders to workers, the recording of the start and its outcome. A task's
//! body starts only by [`Order::Run`], which is sent only after every worker has confirmed its
//! commit. A refusal, a late answer or a dead worker before that point therefore leaves nothing
//! running. Every order by which a worker holds something carries a time at which the worker
//! releases it by itself.

use crate::time::UnixMs;
use crate::wire::{Order, TaskId, TaskState};

/// How long a gang waits for all workers to confirm a preparation, in milliseconds.
pub const PREPARE_TIMEOUT_MS: u64 = 800;
/// How long a worker keeps a preparation, in milliseconds.
pub const PREPARE_LEASE_MS: u64 = 3_000;
/// How long a worker keeps a commit, in milliseconds.
pub const COMMIT_LEASE_MS: u64 = 3_000;
/// The first lease of a started task, in milliseconds. It bounds how long a task runs when the
/// rest of its gang couldn't be started.
pub const START_LEASE_MS: u64 = 5_000;
/// The lease of a running task, in milliseconds.
pub const TASK_LEASE_MS: u64 = 30_000;
/// How long a worker may send no state of a task before the task counts as lost, in milliseconds.
pub const SILENCE_TIMEOUT_MS: u64 = 20_000;
/// How long a new owner waits for the workers of a gang that a former owner started, in
/// milliseconds.
pub const RECOVER_TIMEOUT_MS: u64 = 10_000;
/// The greatest difference between two clocks that is allowed for, in milliseconds.
pub const CLOCK_MARGIN_MS: u64 = 500;
/// The time after which an unconfirmed order is sent again, in milliseconds.
pub const RESEND_INTERVAL_MS: u64 = 250;

/// Why a start is aborted or stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The job's owner requested it, or no single worker is the reason.
    Requested,
    /// This worker refused, was late or lost its task.
    Lost(String),
    /// A task failed on this worker.
    Failed(String),
}

/// How a start ended. In each case none of its tasks runs any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No body was started.
    NotRun(Cause),
    /// All tasks are done; holds the result of the first task.
    Done(String),
    /// The start was stopped after bodies may have started.
    Interrupted(Cause),
}

/// What happens to a gang.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A worker reported the state of the task with this index, with its result when it is done.
    TaskState(u16, TaskState, String),
    /// A worker was removed, and everything it ran has ended.
    WorkerRemoved(String),
    /// The start is in the job's durable record.
    Recorded,
    /// Stop gracefully until the deadline.
    Stop(UnixMs),
    /// Renew the leases of running tasks so that they expire at this time.
    Renew(UnixMs),
    /// Time passed.
    Tick,
}

/// What the job's owner does for a gang.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an order to the worker of a task.
    Send(String, Order),
    /// Write the start to the job's record, then pass in [`Event::Recorded`].
    Record,
    /// All tasks of the gang run.
    Started,
    /// The start has ended.
    Ended(Outcome),
}

/// The stage of a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Workers are asked to set accelerators aside.
    Prepare,
    /// All tasks are prepared; the start is being recorded.
    Record,
    /// Workers are asked to bind their tasks.
    Commit,
    /// All tasks are bound; their bodies are being started.
    Run,
    /// All tasks of the gang run or are done.
    Running,
    /// A new owner collects the task states from the workers.
    Recover,
    /// No body was started; preparations and commits are being released.
    Abort(Cause),
    /// Tasks are being stopped.
    Stop(Cause),
    /// The start has ended.
    Ended,
}

/// One task of the gang and its worker.
#[derive(Clone, Debug)]
struct Member {
    vm: String,
    /// The furthest state that the worker reported; `None` before the first report.
    state: Option<TaskState>,
    /// When the last preparation, commit or lease given to the worker expires.
    expires_at: UnixMs,
    /// When the worker last reported the task.
    heard_at: UnixMs,
}

/// One start of one gang.
#[derive(Clone, Debug)]
pub struct Gang {
    job: String,
    attempt: u32,
    accels: u8,
    body: String,
    members: Vec<Member>,
    stage: Stage,
    /// When the stage is given up.
    deadline: UnixMs,
    /// When unconfirmed orders are sent again.
    resend_at: UnixMs,
    /// When the grace period of a stop ends.
    grace_end: UnixMs,
    result: String,
}

impl Gang {
    /// Begins a start: pushes the order to prepare a task on each of `vms` to `out`.
    #[must_use]
    pub fn new(
        now: UnixMs,
        job: &str,
        attempt: u32,
        (accels, body): (u8, &str),
        vms: &[String],
        out: &mut Vec<Action>,
    ) -> Self {
        let mut gang = Self::in_stage(now, job, attempt, vms, Stage::Prepare);
        gang.accels = accels;
        gang.body = body.to_owned();
        gang.deadline = now.after(PREPARE_TIMEOUT_MS);
        gang.extend_expiry(now.after(PREPARE_LEASE_MS));
        gang.send_all(now, out);
        gang
    }

    /// Takes over a start of a former owner. All leases that it gave expire by `expires_at`.
    #[must_use]
    pub fn recover(
        now: UnixMs,
        job: &str,
        attempt: u32,
        vms: &[String],
        expires_at: UnixMs,
    ) -> Self {
        let mut gang = Self::in_stage(now, job, attempt, vms, Stage::Recover);
        gang.deadline = now.after(RECOVER_TIMEOUT_MS);
        gang.extend_expiry(expires_at);
        gang
    }

    fn in_stage(now: UnixMs, job: &str, attempt: u32, vms: &[String], stage: Stage) -> Self {
        let member = |vm: &String| Member {
            vm: vm.clone(),
            state: None,
            expires_at: now,
            heard_at: now,
        };
        Self {
            job: job.to_owned(),
            attempt,
            accels: 0,
            body: String::new(),
            members: vms.iter().map(member).collect(),
            stage,
            deadline: now,
            resend_at: now.after(RESEND_INTERVAL_MS),
            grace_end: now,
            result: String::new(),
        }
    }

    /// Returns the stage of the start.
    #[must_use]
    pub const fn stage(&self) -> &Stage {
        &self.stage
    }

    /// Returns the number of this start within the job.
    #[must_use]
    pub const fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the VM of each task, in the order of the tasks.
    pub fn vms(&self) -> impl Iterator<Item = &str> {
        self.members.iter().map(|m| m.vm.as_str())
    }

    /// Returns the indexes of the tasks on a worker.
    pub fn tasks_on<'a>(&'a self, vm: &'a str) -> impl Iterator<Item = u16> + 'a {
        (0..)
            .zip(&self.members)
            .filter(move |(_, m)| m.vm == vm)
            .map(|(i, _)| i)
    }

    /// Returns the tasks, each with its worker.
    pub fn tasks(&self) -> impl Iterator<Item = (&str, TaskId)> {
        let members = (0..).zip(&self.members);
        members.map(|(i, m)| (m.vm.as_str(), self.task(i)))
    }

    /// Returns whether the worker must know the task: it has confirmed the task, or a former
    /// owner may have started it.
    #[must_use]
    pub fn expects(&self, index: u16) -> bool {
        let member = self.members.get(usize::from(index));
        let known = member.is_some_and(|m| m.state.is_some());
        known || self.stage == Stage::Recover
    }

    /// Returns whether a task on this worker may still hold accelerators.
    #[must_use]
    pub fn may_hold(&self, vm: &str) -> bool {
        let held = |m: &Member| m.vm == vm && !m.state.is_some_and(is_over);
        self.stage != Stage::Ended && self.members.iter().any(held)
    }

    /// Returns the orders that make workers forget the tasks of this start.
    pub fn forget_orders(&self) -> impl Iterator<Item = (String, Order)> {
        (0..).zip(&self.members).map(|(i, m)| {
            let task = self.task(i);
            (m.vm.clone(), Order::Forget { task })
        })
    }

    /// Handles one event.
    pub fn step(&mut self, now: UnixMs, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::TaskState(index, state, result) => self.set_state(now, index, state, result),
            Event::WorkerRemoved(vm) => self.remove_worker(now, &vm),
            Event::Recorded => self.handle_recorded(now, out),
            Event::Stop(grace) => self.stop(now, grace, out),
            Event::Renew(expires_at) => self.renew(now, expires_at, out),
            Event::Tick => {}
        }
        self.advance(now, out);
        if self.resend_at.passed(now) {
            self.send_all(now, out);
        }
    }

    /// Returns the id of a task of this start.
    #[must_use]
    pub fn task(&self, index: u16) -> TaskId {
        TaskId {
            job: self.job.clone(),
            attempt: self.attempt,
            index,
        }
    }

    fn extend_expiry(&mut self, expires_at: UnixMs) {
        for member in &mut self.members {
            member.expires_at = member.expires_at.max(expires_at);
        }
    }

    /// Records a task's state. A state never moves backward, so a delayed answer changes nothing.
    fn set_state(&mut self, now: UnixMs, index: u16, state: TaskState, result: String) {
        let Some(member) = self.members.get_mut(usize::from(index)) else {
            return;
        };
        member.heard_at = now;
        if member.state.is_some_and(|s| progress(s) >= progress(state)) {
            return;
        }
        member.state = Some(state);
        if index == 0 && state == TaskState::Done {
            self.result = result;
        }
    }

    fn remove_worker(&mut self, now: UnixMs, vm: &str) {
        for member in self.members.iter_mut().filter(|m| m.vm == vm) {
            member.expires_at = now.before(CLOCK_MARGIN_MS);
            if !member.state.is_some_and(is_over) {
                member.state = Some(TaskState::Absent);
            }
        }
    }

    fn handle_recorded(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if self.stage != Stage::Record || self.deadline.passed(now) {
            return;
        }
        self.enter(now, Stage::Commit, now.after(COMMIT_LEASE_MS), out);
    }

    fn stop(&mut self, now: UnixMs, grace: UnixMs, out: &mut Vec<Action>) {
        match self.stage {
            Stage::Prepare | Stage::Record | Stage::Commit => {
                self.abort(now, Cause::Requested, out);
            }
            Stage::Run | Stage::Running | Stage::Recover => {
                self.grace_end = grace;
                self.enter(now, Stage::Stop(Cause::Requested), UnixMs::MAX, out);
            }
            Stage::Stop(_) if grace < self.grace_end => {
                self.grace_end = grace;
                self.send_all(now, out);
            }
            Stage::Stop(_) | Stage::Abort(_) | Stage::Ended => {}
        }
    }

    /// Renews the leases of running tasks. During a stop a silent task isn't renewed, so that its
    /// lease expires. During recovery no task gets a long lease, since the gang may not have been
    /// started as a whole.
    fn renew(&mut self, now: UnixMs, expires_at: UnixMs, out: &mut Vec<Action>) {
        let stopping = matches!(self.stage, Stage::Stop(_));
        let expires_at = match self.stage {
            Stage::Running | Stage::Stop(_) => expires_at,
            Stage::Recover => expires_at.min(self.deadline.after(START_LEASE_MS)),
            _ => return,
        };
        for i in 0..self.members.len() {
            let member = &mut self.members[i];
            let runs = matches!(member.state, Some(TaskState::Running | TaskState::Stopping));
            if !runs || (stopping && member.heard_at.after(SILENCE_TIMEOUT_MS).passed(now)) {
                continue;
            }
            member.expires_at = member.expires_at.max(expires_at);
            let (vm, task) = (member.vm.clone(), self.task(task_index(i)));
            out.push(Action::Send(vm, Order::Renew { task, expires_at }));
        }
    }

    /// Enters a stage and sends its orders. The stage is given up shortly before `expires_at`, when
    /// the workers release their tasks.
    fn enter(&mut self, now: UnixMs, stage: Stage, expires_at: UnixMs, out: &mut Vec<Action>) {
        self.stage = stage;
        self.deadline = expires_at.before(CLOCK_MARGIN_MS);
        if expires_at != UnixMs::MAX {
            self.extend_expiry(expires_at);
        }
        self.send_all(now, out);
    }

    /// Releases what was prepared or committed; no body was started.
    fn abort(&mut self, now: UnixMs, cause: Cause, out: &mut Vec<Action>) {
        self.enter(now, Stage::Abort(cause), UnixMs::MAX, out);
    }

    /// Stops the running tasks without grace, since the rest of the gang doesn't run.
    fn interrupt(&mut self, now: UnixMs, cause: Cause, out: &mut Vec<Action>) {
        self.grace_end = now;
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
            Stage::Abort(_) | Stage::Stop(_) => self.advance_ending(now, out),
            Stage::Ended => {}
        }
    }

    fn advance_prepare(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if let Some(cause) = self.find_lost() {
            return self.abort(now, cause, out);
        }
        if self.all_in(|s| s == TaskState::Prepared) {
            self.stage = Stage::Record;
            let first = self.members.iter().map(|m| m.expires_at).min();
            self.deadline = first.unwrap_or(now).before(CLOCK_MARGIN_MS);
            return out.push(Action::Record);
        }
        if self.deadline.passed(now) {
            let cause = self.find_silent(|s| s == TaskState::Prepared);
            self.abort(now, cause, out);
        }
    }

    fn advance_record(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if let Some(cause) = self.find_lost() {
            self.abort(now, cause, out);
        } else if self.deadline.passed(now) {
            self.abort(now, Cause::Requested, out);
        }
    }

    fn advance_commit(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if let Some(cause) = self.find_lost() {
            self.abort(now, cause, out);
        } else if self.deadline.passed(now) {
            let cause = self.find_silent(|s| s == TaskState::Committed);
            self.abort(now, cause, out);
        } else if self.all_in(|s| s == TaskState::Committed) {
            self.enter(now, Stage::Run, now.after(START_LEASE_MS), out);
        }
    }

    fn advance_run(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if let Some(cause) = self.find_lost() {
            self.interrupt(now, cause, out);
        } else if self.all_in(|s| matches!(s, TaskState::Running | TaskState::Done)) {
            self.stage = Stage::Running;
            out.push(Action::Started);
            self.renew(now, now.after(TASK_LEASE_MS), out);
            self.advance_running(now, out);
        } else if self.deadline.passed(now) {
            let cause = self.find_silent(|s| matches!(s, TaskState::Running | TaskState::Done));
            self.interrupt(now, cause, out);
        }
    }

    fn advance_running(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        if let Some(cause) = self.find_lost() {
            return self.interrupt(now, cause, out);
        }
        if self.all_in(|s| s == TaskState::Done) {
            return self.finish(out);
        }
        let silent = |m: &&Member| {
            m.state != Some(TaskState::Done) && m.heard_at.after(SILENCE_TIMEOUT_MS) <= now
        };
        if let Some(member) = self.members.iter().find(silent) {
            let cause = Cause::Lost(member.vm.clone());
            self.interrupt(now, cause, out);
        }
    }

    /// Decides how to go on with a former owner's start. That owner sent [`Order::Run`] only if
    /// every worker had confirmed its commit. So no body was started if one task is only prepared,
    /// or if all tasks are prepared or committed.
    fn advance_recover(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let bound = |s| matches!(s, TaskState::Prepared | TaskState::Committed);
        let prepared = |m: &Member| m.state == Some(TaskState::Prepared);
        if self.members.iter().any(prepared) || self.all_in(bound) {
            return self.abort(now, Cause::Requested, out);
        }
        if self.all_in(|s| {
            matches!(
                s,
                TaskState::Committed | TaskState::Running | TaskState::Done
            )
        }) {
            return self.enter(now, Stage::Run, now.after(START_LEASE_MS), out);
        }
        let unknown = self.members.iter().any(|m| m.state.is_none());
        if !unknown || self.deadline.passed(now) {
            let cause = self.find_lost();
            let cause = cause.unwrap_or_else(|| self.find_silent(|_| true));
            self.interrupt(now, cause, out);
        }
    }

    fn advance_ending(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let free = |m: &Member| {
            m.state.is_some_and(is_over) || m.expires_at.after(CLOCK_MARGIN_MS).passed(now)
        };
        if self.members.iter().all(free) {
            self.finish(out);
        }
    }

    fn finish(&mut self, out: &mut Vec<Action>) {
        let stage = std::mem::replace(&mut self.stage, Stage::Ended);
        let outcome = match stage {
            Stage::Abort(cause) => Outcome::NotRun(cause),
            _ if self.all_in(|s| s == TaskState::Done) => {
                Outcome::Done(std::mem::take(&mut self.result))
            }
            Stage::Stop(cause) => Outcome::Interrupted(cause),
            _ => Outcome::Interrupted(Cause::Requested),
        };
        out.push(Action::Ended(outcome));
    }

    fn all_in(&self, holds: impl Fn(TaskState) -> bool) -> bool {
        self.members.iter().all(|m| m.state.is_some_and(&holds))
    }

    /// Returns why the gang can't go on: the first failed task, or else the first one that ended
    /// without being done.
    fn find_lost(&self) -> Option<Cause> {
        let mut members = self.members.iter();
        if let Some(member) = members.find(|m| m.state == Some(TaskState::Failed)) {
            return Some(Cause::Failed(member.vm.clone()));
        }
        let lost = |m: &&Member| m.state.is_some_and(|s| is_over(s) && s != TaskState::Done);
        let member = self.members.iter().find(lost)?;
        Some(Cause::Lost(member.vm.clone()))
    }

    /// Returns as the cause the first worker whose task isn't in a confirmed state.
    fn find_silent(&self, confirmed: impl Fn(TaskState) -> bool) -> Cause {
        let silent = |m: &&Member| !m.state.is_some_and(&confirmed);
        let member = self.members.iter().find(silent);
        member.map_or(Cause::Requested, |m| Cause::Lost(m.vm.clone()))
    }

    /// Sends each task the order of this stage unless its worker has confirmed it.
    fn send_all(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        self.resend_at = now.after(RESEND_INTERVAL_MS);
        for (i, member) in self.members.iter().enumerate() {
            if let Some(order) = self.next_order(task_index(i), member) {
                out.push(Action::Send(member.vm.clone(), order));
            }
        }
    }

    fn next_order(&self, index: u16, member: &Member) -> Option<Order> {
        let task = self.task(index);
        let expires_at = member.expires_at;
        match (&self.stage, member.state) {
            (_, Some(state)) if is_over(state) => None,
            (Stage::Prepare, None) => Some(Order::Prepare {
                task,
                accels: self.accels,
                body: self.body.clone(),
                expires_at,
            }),
            (Stage::Commit, Some(TaskState::Prepared)) => Some(Order::Commit { task, expires_at }),
            (Stage::Run, Some(TaskState::Committed)) => Some(Order::Run { task, expires_at }),
            (Stage::Abort(_), _) => Some(Order::Abort { task }),
            (Stage::Stop(_), state)
                if state != Some(TaskState::Stopping) || self.grace_end < member.heard_at =>
            {
                let deadline = self.grace_end;
                Some(Order::Stop { task, deadline })
            }
            _ => None,
        }
    }
}

fn task_index(i: usize) -> u16 {
    u16::try_from(i).unwrap_or(u16::MAX)
}

/// Returns whether a task in this state holds no accelerators any more.
const fn is_over(state: TaskState) -> bool {
    progress(state) >= progress(TaskState::Done)
}

/// Orders the states; those that end a task are equal.
const fn progress(state: TaskState) -> u8 {
    match state {
        TaskState::Prepared => 0,
        TaskState::Committed => 1,
        TaskState::Running => 2,
        TaskState::Stopping => 3,
        TaskState::Stopped | TaskState::Done | TaskState::Failed => 4,
        TaskState::Lapsed | TaskState::Absent | TaskState::Refused => 4,
    }
}
