//! The planner's decisions and the workers' answers: gangs start, run and stop.

use crate::api::State;
use crate::gang::{self, Gang};
use crate::plan::{self, JobKey, Reason};
use crate::time::UnixMs;
use crate::wire::{Order, TaskStatus};
use crate::writer::WriteKind;

use super::{Action, Owner, Stage};

impl Owner {
    pub(super) fn planned(&mut self, now: UnixMs, action: plan::Action, out: &mut Vec<Action>) {
        match action {
            plan::Action::Start(key, vms) => self.start(now, key, &vms, out),
            plan::Action::Stop { job, end, reason } => self.yields(now, job, end, reason, out),
            plan::Action::Throttle(key, percent) => self.throttle(key, percent),
            plan::Action::Waits(key, reason) => self.note(now, key, reason),
            plan::Action::Quarantine(..) | plan::Action::Trust(_) | plan::Action::Guarantee(..) => {
            }
        }
    }

    fn start(&mut self, now: UnixMs, key: JobKey, vms: &[String], out: &mut Vec<Action>) {
        let job = self.job(key);
        if job.stage != Stage::Waiting {
            return out.push(Action::Plan(plan::Event::Ended(key)));
        }
        job.tries += 1;
        job.stage = Stage::Placed;
        job.record.state = State::Starting;
        let id = job.id.to_string();
        let spec = &job.record.spec;
        let task = (spec.shape.accels, spec.body.as_str());
        let mut actions = Vec::new();
        job.gang = Some(Gang::new(now, &id, job.tries, task, vms, &mut actions));
        self.note(now, key, Reason::Placed(self.version()));
        self.gang_acts(now, key, actions, out);
    }

    /// Stops a gang that the planner wants out of the way. One that can't be started again is
    /// left alone once its bodies may run.
    fn yields(
        &mut self,
        now: UnixMs,
        key: JobKey,
        end: UnixMs,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        let job = self.job(key);
        let stage = job.gang.as_ref().map(Gang::stage);
        let runs = matches!(stage, Some(gang::Stage::Run | gang::Stage::Running));
        if job.stage != Stage::Placed || (runs && !job.record.spec.idempotent) {
            return;
        }
        self.note(now, key, reason);
        if runs {
            self.job(key).record.state = State::Stopping;
        }
        self.gang_step(now, key, gang::Event::Stop(end), out);
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

    /// Gives an event to the job's gang and acts on what it wants.
    pub(super) fn gang_step(
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
        self.gang_acts(now, key, actions, out);
    }

    fn gang_acts(
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
                gang::Action::Started => self.started(key, out),
                gang::Action::Ended(outcome) => self.gang_over(now, key, outcome, out),
            }
        }
        if self.job(key).found {
            self.show_found(key, out);
        }
    }

    /// The start is written before any commit is sent, so that a later owner knows of it.
    fn record_start(&mut self, key: JobKey) {
        let job = self.job(key);
        if let Some(gang) = &job.gang {
            job.record.attempt = gang.attempt();
            job.record.vms = gang.vms().map(str::to_owned).collect();
        }
        let mark = self.write(key, WriteKind::Change);
        self.job(key).start_mark = mark;
    }

    fn started(&mut self, key: JobKey, out: &mut Vec<Action>) {
        let job = self.job(key);
        job.record.state = State::Running;
        if !job.found {
            out.push(Action::Plan(plan::Event::Running(key)));
        }
    }

    /// A late answer to an exchange that was given up is ignored.
    pub(super) fn told(
        &mut self,
        now: UnixMs,
        vm: &str,
        told: Vec<TaskStatus>,
        out: &mut Vec<Action>,
    ) {
        if !self.links.get_mut(vm).is_some_and(|l| l.finish_exchange()) {
            return;
        }
        for one in told {
            if let Some(key) = self.job_of(&one) {
                let event = gang::Event::TaskState(one.task.index, one.state, one.result);
                self.gang_step(now, key, event, out);
            }
        }
    }

    /// Returns the job whose present gang the task belongs to.
    pub(super) fn job_of(&self, told: &TaskStatus) -> Option<JobKey> {
        let key = *self.by_id.get(&told.task.job)?;
        let gang = self.jobs[key.0 as usize].gang.as_ref()?;
        (gang.attempt() == told.task.attempt).then_some(key)
    }

    pub(super) fn silent(&mut self, now: UnixMs, vm: &str) {
        if let Some(link) = self.links.get_mut(vm) {
            link.fail_exchange(now);
        }
    }

    pub(super) fn gone(&mut self, now: UnixMs, vm: &str, out: &mut Vec<Action>) {
        let Some(link) = self.links.remove(vm) else {
            return;
        };
        let live: Vec<JobKey> = self.live.iter().copied().collect();
        for key in live {
            self.gang_step(now, key, gang::Event::WorkerRemoved(vm.to_owned()), out);
        }
        if link.in_planner {
            out.push(Action::Plan(plan::Event::WorkerGone(vm.to_owned())));
        }
    }
}
