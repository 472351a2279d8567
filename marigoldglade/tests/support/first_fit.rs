//! A minimal planner for tests of the owner, which places tasks on the first workers with enough
//! free accelerators.

use std::collections::BTreeMap;

use marigoldglade::plan::{Action, Event, JobKey, JobRequest};

#[derive(Default)]
pub struct FirstFit {
    free: BTreeMap<String, u8>,
    waiting: Vec<JobRequest>,
    held: BTreeMap<JobKey, (JobRequest, Vec<String>)>,
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
            Event::WorkerGone(name) => {
                self.free.remove(&name);
            }
            Event::Waiting(request) => {
                self.release(request.job);
                self.waiting.push(request);
            }
            Event::AlreadyPlaced(request, vms) => self.hold(request, vms),
            Event::StartFailed(job, _) => {
                let request = self.held.get(&job).map(|(request, _)| request.clone());
                self.release(job);
                self.waiting.extend(request);
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
        for request in std::mem::take(&mut self.waiting) {
            match self.fit(&request) {
                Some(vms) => {
                    out.push(Action::Start(request.job, vms.clone()));
                    self.hold(request, vms);
                }
                None => self.waiting.push(request),
            }
        }
    }

    fn fit(&self, request: &JobRequest) -> Option<Vec<String>> {
        let mut free = self.free.clone();
        let pick = |_| {
            let (name, left) = free.iter_mut().find(|(_, f)| **f >= request.shape.accels)?;
            *left -= request.shape.accels;
            Some(name.clone())
        };
        (0..request.shape.tasks).map(pick).collect()
    }

    fn hold(&mut self, request: JobRequest, vms: Vec<String>) {
        for vm in &vms {
            if let Some(free) = self.free.get_mut(vm) {
                *free = free.saturating_sub(request.shape.accels);
            }
        }
        self.held.insert(request.job, (request, vms));
    }

    fn release(&mut self, job: JobKey) {
        let Some((request, vms)) = self.held.remove(&job) else {
            return;
        };
        for vm in vms {
            if let Some(free) = self.free.get_mut(&vm) {
                *free += request.shape.accels;
            }
        }
    }
}
