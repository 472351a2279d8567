//! A planner that takes the first workers with room; just enough to drive an owner.

use std::collections::BTreeMap;

use marigoldglade::plan::{Action, Ask, Event, JobKey};

#[derive(Default)]
pub struct FirstFit {
    free: BTreeMap<String, u8>,
    waiting: Vec<Ask>,
    held: BTreeMap<JobKey, (Ask, Vec<String>)>,
}

impl FirstFit {
    pub fn step(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Worker(vm) if vm.leaving => {
                self.free.remove(&vm.name);
            }
            Event::Worker(vm) => {
                self.free.entry(vm.name).or_insert(vm.accels);
            }
            Event::Gone(name) => {
                self.free.remove(&name);
            }
            Event::Wait(ask) => {
                self.release(ask.job);
                self.waiting.push(ask);
            }
            Event::Holds(ask, vms) => self.hold(ask, vms),
            Event::StartFailed(job, _) => {
                let ask = self.held.get(&job).map(|(ask, _)| ask.clone());
                self.release(job);
                self.waiting.extend(ask);
            }
            Event::Ended(job) => {
                self.release(job);
                self.waiting.retain(|a| a.job != job);
            }
            Event::Config(..)
            | Event::Running(_)
            | Event::TaskFailed(..)
            | Event::TaskDone(..)
            | Event::Tick => {}
        }
        self.place(out);
    }

    fn place(&mut self, out: &mut Vec<Action>) {
        for ask in std::mem::take(&mut self.waiting) {
            match self.fit(&ask) {
                Some(vms) => {
                    out.push(Action::Start(ask.job, vms.clone()));
                    self.hold(ask, vms);
                }
                None => self.waiting.push(ask),
            }
        }
    }

    fn fit(&self, ask: &Ask) -> Option<Vec<String>> {
        let mut free = self.free.clone();
        let pick = |_| {
            let (name, left) = free.iter_mut().find(|(_, f)| **f >= ask.shape.accels)?;
            *left -= ask.shape.accels;
            Some(name.clone())
        };
        (0..ask.shape.tasks).map(pick).collect()
    }

    fn hold(&mut self, ask: Ask, vms: Vec<String>) {
        for vm in &vms {
            if let Some(free) = self.free.get_mut(vm) {
                *free = free.saturating_sub(ask.shape.accels);
            }
        }
        self.held.insert(ask.job, (ask, vms));
    }

    fn release(&mut self, job: JobKey) {
        let Some((ask, vms)) = self.held.remove(&job) else {
            return;
        };
        for vm in vms {
            if let Some(free) = self.free.get_mut(&vm) {
                *free += ask.shape.accels;
            }
        }
    }
}
