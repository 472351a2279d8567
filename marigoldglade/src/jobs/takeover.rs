//! Taking over from a former owner: reads the records from the store and the tasks from workers.
//!
//! The planner gets a worker only once it has reported under this owner's epoch, and once no gang
//! of a former owner whose state is unresolved may hold accelerators on it.

use crate::api::State;
use crate::error::{Error, Kind};
use crate::gang::{self, CLOCK_MARGIN_MS, Gang};
use crate::plan::{self, JobKey, Reason};
use crate::record::{self, JobId, Record};
use crate::store::{Body, Call, Fault, Key, Pair, Reply};
use crate::time::UnixMs;
use crate::wire::{Order, Report, Role, TaskState, TaskStatus, Vm};
use crate::worker_link::WorkerLink;
use crate::writer::{WriteKind, Writer};

use super::{Action, OUTAGE_LEASE_MS, Owner, Stage};

/// The most records that one call reads.
const PAGE_RECORDS: u32 = 100;
/// The time to wait after a page that couldn't be read, in milliseconds.
const PAGE_RETRY_MS: u64 = 500;

/// The progress of reading the records page by page.
pub(super) struct RecordScan {
    /// The number of the call under way; zero when there is none.
    number: u64,
    /// The key of the last record that was read.
    after: Key,
    /// The earliest time of the next call.
    next_call: UnixMs,
    done: bool,
}

impl RecordScan {
    pub(super) const fn new() -> Self {
        Self {
            number: 0,
            after: String::new(),
            next_call: UnixMs(0),
            done: false,
        }
    }

    pub(super) const fn is_done(&self) -> bool {
        self.done
    }

    pub(super) const fn awaits(&self, number: u64) -> bool {
        !self.done && self.number == number
    }

    /// Returns the call for the next page when it is due.
    pub(super) fn call(&mut self, now: UnixMs, dc: &str, writer: &mut Writer) -> Option<Action> {
        if self.done || self.number != 0 || !self.next_call.passed(now) {
            return None;
        }
        self.number = writer.next_number();
        let call = Call::Range {
            prefix: record::prefix(dc),
            after: self.after.clone(),
            limit: PAGE_RECORDS,
        };
        Some(Action::Store(self.number, WriteKind::Change, call))
    }
}

impl Owner {
    pub(super) fn handle_page(
        &mut self,
        now: UnixMs,
        reply: &std::result::Result<Reply, Fault>,
        out: &mut Vec<Action>,
    ) {
        self.scan.number = 0;
        let Ok(Reply {
            body: Body::Range { pairs, more },
            ..
        }) = reply
        else {
            self.scan.next_call = now.after(PAGE_RETRY_MS);
            return;
        };
        for pair in pairs {
            self.scan.after.clone_from(&pair.key);
            if let Err(e) = self.load_record(now, pair) {
                log::error!("record {} isn't loaded: {e}", pair.key);
            }
        }
        if !more {
            self.scan.done = true;
            self.resume(now, out);
        }
    }

    fn load_record(&mut self, now: UnixMs, pair: &Pair) -> crate::error::Result<()> {
        let text = pair.key.strip_prefix("/mg/job/").unwrap_or_default();
        let id = JobId::parse(text)?;
        let record = Record::decode(&pair.value)?;
        if id.record_key() != pair.key {
            return Err(Error::new(
                Kind::Internal,
                "the key isn't the record key of its job id",
            ));
        }
        let stage = match record.state {
            state if state.ended() => Stage::Ended,
            State::Waiting => Stage::Waiting,
            _ => Stage::Placed,
        };
        let attempt = record.attempt;
        let vms = record.vms.clone();
        let key = self.add(id, record, stage);
        if stage == Stage::Ended {
            return Ok(());
        }
        self.add_reason(now, key, Reason::OwnerChanged(self.epoch));
        if stage == Stage::Placed {
            let expires_at = now.after(OUTAGE_LEASE_MS + CLOCK_MARGIN_MS);
            let job = self.job(key);
            let id = job.id.to_string();
            job.gang = Some(Gang::recover(now, &id, attempt, &vms, expires_at));
            job.start_mark = 1;
            job.recovering = true;
        }
        Ok(())
    }

    /// Takes up the jobs once all records are read: waiting jobs go to the planner, and cancelled
    /// ones end.
    fn resume(&mut self, now: UnixMs, out: &mut Vec<Action>) {
        let live: Vec<JobKey> = self.live.iter().copied().collect();
        for key in live {
            let job = self.job(key);
            match (job.stage, job.record.cancel_requested) {
                (Stage::Waiting, true) => {
                    self.finish_and_write(now, key, State::Cancelled, Reason::Cancelled, out);
                }
                (Stage::Waiting, false) => self.enqueue(key, out),
                (Stage::Placed, _) => {
                    // A VM that is no longer listed can't report.
                    let missing: Vec<String> = self.missing_vms(key);
                    for vm in missing {
                        self.step_gang(now, key, gang::Event::WorkerRemoved(vm), out);
                    }
                }
                _ => {}
            }
        }
    }

    fn missing_vms(&self, key: JobKey) -> Vec<String> {
        if self.links.is_empty() {
            return Vec::new();
        }
        let gang = self.jobs[key.0 as usize].gang.as_ref();
        let vms = gang.into_iter().flat_map(Gang::vms);
        let missing = vms.filter(|vm| !self.links.contains_key(*vm));
        missing.map(str::to_owned).collect()
    }

    pub(super) fn update_worker(&mut self, vm: Vm, out: &mut Vec<Action>) {
        if vm.role != Role::Worker || vm.dc != self.dc {
            return;
        }
        let name = vm.name.clone();
        match self.links.get_mut(&name) {
            Some(link) if link.vm == vm => return,
            Some(link) => link.vm = vm,
            None => {
                self.links.insert(name.clone(), WorkerLink::new(vm));
            }
        }
        self.offer_worker(&name, true, out);
    }

    pub(super) fn handle_report(&mut self, now: UnixMs, report: Report, out: &mut Vec<Action>) {
        let Some(link) = self.links.get_mut(&report.name) else {
            return;
        };
        if !link.finish_exchange() {
            return;
        }
        if report.epoch > self.epoch {
            return self.depose(out);
        }
        link.record_report();
        let left = report.leaving && !link.vm.leaving;
        link.vm.leaving |= report.leaving;
        self.mark_absent(now, &report, out);
        for status in report.tasks {
            self.handle_task(now, &report.name, status, out);
        }
        self.offer_worker(&report.name, left, out);
    }

    /// Marks the tasks as absent that the worker must know and doesn't report. The order for a task
    /// that was never confirmed may still be on its way.
    fn mark_absent(&mut self, now: UnixMs, report: &Report, out: &mut Vec<Action>) {
        let live: Vec<JobKey> = self.live.iter().copied().collect();
        for key in live {
            let Some(gang) = &self.job(key).gang else {
                continue;
            };
            let reported = |i: u16| {
                let task = gang.task(i);
                report.tasks.iter().any(|t| t.task == task)
            };
            let absent: Vec<u16> = gang
                .tasks_on(&report.name)
                .filter(|&i| gang.expects(i) && !reported(i))
                .collect();
            for i in absent {
                let event = gang::Event::TaskState(i, TaskState::Absent, String::new());
                self.step_gang(now, key, event, out);
            }
        }
    }

    /// Handles one task of a report. A task of no present start is aborted, stopped or forgotten.
    fn handle_task(&mut self, now: UnixMs, vm: &str, status: TaskStatus, out: &mut Vec<Action>) {
        if let Some(key) = self.find_job(&status) {
            let event = gang::Event::TaskState(status.task.index, status.state, status.result);
            return self.step_gang(now, key, event, out);
        }
        let task = status.task;
        let order = match status.state {
            TaskState::Prepared | TaskState::Committed => Order::Abort { task },
            TaskState::Running | TaskState::Stopping => Order::Stop {
                task,
                deadline: now,
            },
            _ => Order::Forget { task },
        };
        self.send(vm, order);
    }

    /// Passes a worker to the planner once it may be used, and again when it has changed.
    fn offer_worker(&mut self, name: &str, changed: bool, out: &mut Vec<Action>) {
        let live = self.live.iter().map(|k| &self.jobs[k.0 as usize]);
        let mut recovering = live.filter(|j| j.recovering);
        let held = recovering.any(|j| j.gang.as_ref().is_some_and(|g| g.may_hold(name)));
        let Some(link) = self.links.get_mut(name) else {
            return;
        };
        let fresh = link.reported && !link.in_planner && !held;
        if fresh || (link.in_planner && changed) {
            link.in_planner = true;
            out.push(Action::Plan(plan::Event::Worker(link.vm.clone())));
        }
    }

    /// Passes the workers of a former owner's gang to the planner as soon as no such gang may hold
    /// accelerators on them, and the gang itself once it runs as a whole.
    pub(super) fn settle_recovered(&mut self, key: JobKey, out: &mut Vec<Action>) {
        let job = self.job(key);
        let Some(gang) = &job.gang else {
            return;
        };
        let vms: Vec<String> = gang.vms().map(str::to_owned).collect();
        let settled = matches!(gang.stage(), gang::Stage::Running);
        job.recovering = !settled;
        for vm in &vms {
            self.offer_worker(vm, false, out);
        }
        if settled {
            let request = self.request(key);
            out.push(Action::Plan(plan::Event::AlreadyPlaced(request, vms)));
        }
    }
}
