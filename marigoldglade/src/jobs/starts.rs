//! Starts and stops gangs as the planner decides, and handles the workers' answers.

use crate::api::State;
use crate::gang::{self, Gang};
use crate::plan::{self, JobKey, Reason};
use crate::time::UnixMs;
use crate::wire::{Order, TaskStatus};
use crate::writer::WriteKind;

use super::{Action, Owner, Stage};

impl Owner {
    pub(super) fn handle_plan(&mut self, now: UnixMs, action: plan::Action, out: &mut Vec<Action>) {
        match action {
            plan::Action::Start(key, vms) => self.start(now, key, &vms, out),
            plan::Action::Stop { job, end, reason } => self.preempt(now, job, end, reason, out),
            plan::Action::Throttle(key, percent) => self.throttle(key, percent),
            plan::Action::Waits(key, reason) => self.add_reason(now, key, reason),
            plan::Action::Quarantine(..) | plan::Action::Trust(_) | plan::Action::Guarantee(..) => {
            }
        }
    }

    fn start(&mut self, now: UnixMs, key: JobKey, vms: &[String], out: &mut Vec<Action>) {
        let job = self.job(key);
        if job.stage != Stage::Waiting {
            return out.push(Action::Plan(plan::Event::Ended(key)));
        }
        job.last_attempt += 1;
        job.stage = Stage::Placed;
        job.record.state = State::Starting;
        let id = job.id.to_string();
        let spec = &job.record.spec;
        let task = (spec.shape.accels, spec.body.as_str());
        let mut actions = Vec::new();
        job.gang = Some(Gang::new(
            now,
            &id,
            job.last_attempt,
            task,
            vms,
            &mut actions,
        ));
        self.add_reason(now, key, Reason::Placed(self.version()));
        self.act_for_gang(now, key, actions, out);
    }

    /// Stops a gang that the planner preempts. A gang of a job that isn't idempotent keeps running
    /// once its bodies may have started.
    fn preempt(
        &mut self,
        now: UnixMs,
        key: JobKey,
        grace_end: UnixMs,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        let job = self.job(key);
        let stage = job.gang.as_ref().map(Gang::stage);
        let runs = matches!(stage, Some(gang::Stage::Run | gang::Stage::Running));
        if job.stage != Stage::Placed || (runs && !job.record.spec.idempotent) {
            return;
        }
        self.add_reason(now, key, reason);
        if runs {
            self.job(key).record.state = State::Stopping;
        }
        self.step_gang(now, key, gang::Event::Stop(grace_end), out);
    }

    fn throttle(&mut self, key: JobKey, percent: u8) {
        let job = self.job(key);
        let Some(gang) = &job.gang else {
            return;
        };
        let orders: Vec<(String, Order)> = gang
            .tasks()
            .map(|(vm, task)| (vm.to_owned(), Order::Throttle { task, percent }))
            .collect();
        for (vm, order) in orders {
            self.send(&vm, order);
        }
    }

    pub(super) fn send(&mut self, vm: &str, order: Order) {
        if let Some(link) = self.links.get_mut(vm) {
            link.push(order);
        }
    }

    /// Passes an event to the job's gang and carries out its actions.
    pub(super) fn step_gang(
        &mut self,
        now: UnixMs,
        key: JobKey,
        event: gang::Event,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        if let Some(gang) = &mut self.job(key).gang {
            gang.step(now, event, &mut actions);
        }
        self.act_for_gang(now, key, actions, out);
    }

    fn act_for_gang(
        &mut self,
        now: UnixMs,
        key: JobKey,
        actions: Vec<gang::Action>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                gang::Action::Send(vm, order) => self.send(&vm, order),
                gang::Action::Record => self.record_start(key),
                gang::Action::Started => self.handle_started(key, out),
                gang::Action::Ended(outcome) => self.handle_gang_end(now, key, outcome, out),
            }
        }
        if self.job(key).recovering {
            self.settle_recovered(key, out);
        }
    }

    /// Queues the write of the start to the job's record. No commit is sent before the record is
    /// durable, so that a later owner knows the start.
    fn record_start(&mut self, key: JobKey) {
        let job = self.job(key);
        if let Some(gang) = &job.gang {
            job.record.attempt = gang.attempt();
            job.record.vms = gang.vms().map(str::to_owned).collect();
        }
        let mark = self.queue_write(key, WriteKind::Change);
        self.job(key).start_mark = mark;
    }

    fn handle_started(&mut self, key: JobKey, out: &mut Vec<Action>) {
        let job = self.job(key);
        job.record.state = State::Running;
        if !job.recovering {
            out.push(Action::Plan(plan::Event::Running(key)));
        }
    }

    /// Handles a worker's answer to orders. An answer to an exchange that was given up is ignored.
    pub(super) fn handle_answer(
        &mut self,
        now: UnixMs,
        vm: &str,
        statuses: Vec<TaskStatus>,
        out: &mut Vec<Action>,
    ) {
        if !self.links.get_mut(vm).is_some_and(|l| l.finish_exchange()) {
            return;
        }
        for status in statuses {
            if let Some(key) = self.find_job(&status) {
                let event = gang::Event::TaskState(status.task.index, status.state, status.result);
                self.step_gang(now, key, event, out);
            }
        }
    }

    /// Returns the job whose current start the task belongs to.
    pub(super) fn find_job(&self, status: &TaskStatus) -> Option<JobKey> {
        let key = *self.by_id.get(&status.task.job)?;
        let gang = self.jobs[key.0 as usize].gang.as_ref()?;
        (gang.attempt() == status.task.attempt).then_some(key)
    }

    pub(super) fn handle_no_answer(&mut self, now: UnixMs, vm: &str) {
        if let Some(link) = self.links.get_mut(vm) {
            link.fail_exchange(now);
        }
    }

    pub(super) fn remove_worker(&mut self, now: UnixMs, vm: &str, out: &mut Vec<Action>) {
        let Some(link) = self.links.remove(vm) else {
            return;
        };
        let live: Vec<JobKey> = self.live.iter().copied().collect();
        for key in live {
            self.step_gang(now, key, gang::Event::WorkerRemoved(vm.to_owned()), out);
        }
        if link.in_planner {
            out.push(Action::Plan(plan::Event::WorkerGone(vm.to_owned())));
        }
    }
}
