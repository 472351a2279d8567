//! The job path: a submitted job flows in, a gang on workers and one terminal record flow out.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use hyper::StatusCode;
use hyper::http::request::Parts;
use marigoldglade::api::{JobSpec, JobView, State};
use marigoldglade::prelude::*;
use marigoldglade::store::{Body, Call, Compare, Op, Txn};
use marigoldglade::time::SECOND_MS;
use marigoldglade::wire::{Order, Orders, Role, Stand, TaskId, Told, Vm};

use crate::app::App;
use crate::front::{self, Answer};
use crate::keeper::Rank;
use crate::{clock, send};

/// The time a call to the store may take, in milliseconds.
const STORE_MS: u64 = 2 * SECOND_MS;
/// The time a gang has to be prepared, in milliseconds.
const PREPARE_MS: u64 = SECOND_MS;
/// The lease of a task, in milliseconds.
const LEASE_MS: u64 = 30 * SECOND_MS;
/// How often running jobs are looked at, in milliseconds.
const LOOK_INTERVAL_MS: u64 = 100;

struct Job {
    spec: JobSpec,
    view: JobView,
    cancel: bool,
}

/// The jobs that this daemon owns.
pub(crate) struct Jobs {
    dc: String,
    state: Mutex<BTreeMap<String, Job>>,
}

impl Jobs {
    /// Makes an empty list for one data centre.
    pub(crate) fn new(dc: &str) -> Self {
        Self {
            dc: dc.to_owned(),
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Job>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn view(&self, id: &str) -> Option<JobView> {
        self.lock().get(id).map(|j| j.view.clone())
    }

    fn set(&self, id: &str, state: State, reason: &str) {
        if let Some(job) = self.lock().get_mut(id) {
            job.view.state = state;
            reason.clone_into(&mut job.view.reason);
        }
    }
}

fn no_job(id: &str) -> Error {
    Error::new(Kind::NotFound, format!("no job {id}"))
}

impl App {
    /// Takes a job: its record is durable before the answer says so.
    pub(crate) async fn submit(self: &Arc<Self>, body: Bytes) -> Result<Answer> {
        if self.stop.stopping() {
            return Err(Error::new(Kind::Stopping, "the daemon is stopping"));
        }
        let text = std::str::from_utf8(&body)
            .map_err(|_| Error::new(Kind::BadInput, "the job isn't UTF-8"))?;
        let spec = JobSpec::parse("job", text)?;
        spec.check(clock::now())?;
        let version = self.configs.need()?;
        let known = |name: &str| version.config.workspaces.iter().any(|w| w.name == name);
        if !known(&spec.workspace) {
            let detail = format!("no workspace {}", spec.workspace);
            return Err(Error::new(Kind::NotFound, detail));
        }
        let id = format!("{}/{}/{}", self.jobs.dc, spec.workspace, spec.key);
        if let Some(view) = self.jobs.view(&id) {
            return front::json(StatusCode::OK, &view);
        }
        self.record_accept(&spec, &id).await?;
        let view = JobView {
            id: id.clone(),
            state: State::Waiting,
            attempt: 0,
            vms: Vec::new(),
            reason: "accepted".to_owned(),
            result: String::new(),
        };
        let job = Job {
            spec,
            view: view.clone(),
            cancel: false,
        };
        self.jobs.lock().insert(id, job);
        front::json(StatusCode::CREATED, &view)
    }

    async fn record_accept(&self, spec: &JobSpec, id: &str) -> Result<()> {
        let value =
            serde_json::to_vec(spec).map_err(|e| Error::new(Kind::Internal, e.to_string()))?;
        let key = format!("/mg/job/{id}");
        let txn = Txn {
            when: vec![Compare::Absent(key.clone())],
            then: vec![Op::Put(key, value, 0)],
            other: Vec::new(),
        };
        let end = clock::now().after(STORE_MS);
        match self.keeper.call(Rank::Accept, Call::Txn(txn), end).await {
            Ok(reply) if matches!(&reply.body, Body::Txn(done) if done.held) => Ok(()),
            Ok(_) => Err(Error::new(Kind::Duplicate, "the key was used before")),
            Err(_) => Err(Error::new(Kind::StoreDown, "the job can't be recorded")),
        }
    }

    /// Lists all jobs.
    pub(crate) fn list_jobs(&self) -> Result<Answer> {
        let views: Vec<JobView> = self.jobs.lock().values().map(|j| j.view.clone()).collect();
        front::json(StatusCode::OK, &views)
    }

    /// Shows one job.
    pub(crate) async fn job_status(&self, id: &str, _parts: &Parts) -> Result<Answer> {
        let view = self.jobs.view(id).ok_or_else(|| no_job(id))?;
        front::json(StatusCode::OK, &view)
    }

    /// Cancels a job; one that has ended keeps its end.
    pub(crate) async fn cancel(&self, id: &str) -> Result<Answer> {
        let view = {
            let mut jobs = self.jobs.lock();
            let job = jobs.get_mut(id).ok_or_else(|| no_job(id))?;
            job.cancel = true;
            job.view.clone()
        };
        front::json(StatusCode::ACCEPTED, &view)
    }

    /// Places, watches and ends jobs until the daemon ends.
    pub(crate) async fn own_jobs(self: Arc<Self>) {
        loop {
            let live: Vec<String> = {
                let jobs = self.jobs.lock();
                let live = jobs.iter().filter(|(_, j)| !j.view.state.ended());
                live.map(|(id, _)| id.clone()).collect()
            };
            for id in live {
                if let Err(e) = self.look(&id).await {
                    log::warn!("job {id}: {e}");
                }
            }
            clock::sleep_until(clock::now().after(LOOK_INTERVAL_MS)).await;
        }
    }

    async fn look(&self, id: &str) -> Result<()> {
        let (state, cancel) = {
            let jobs = self.jobs.lock();
            let Some(job) = jobs.get(id) else {
                return Ok(());
            };
            (job.view.state, job.cancel)
        };
        match state {
            State::Waiting if cancel => self.end_job(id, State::Cancelled, "cancelled").await,
            State::Waiting => self.start_gang(id).await,
            State::Running => self.watch_gang(id, cancel).await,
            _ => Ok(()),
        }
    }

    async fn start_gang(&self, id: &str) -> Result<()> {
        let Some(spec) = self.jobs.lock().get(id).map(|j| j.spec.clone()) else {
            return Ok(());
        };
        let vms = self.targets.list();
        let workers: Vec<&Vm> = vms.iter().filter(|v| v.role == Role::Worker).collect();
        let mut taken = Vec::new();
        let mut index = 0;
        for worker in workers {
            if index == spec.shape.tasks {
                break;
            }
            let task = task_id(id, index);
            let prepare = Order::Prepare {
                task,
                accels: spec.shape.accels,
                body: spec.body.clone(),
                end: clock::now().after(PREPARE_MS),
            };
            let told = self.order(worker, prepare).await;
            if told.is_ok_and(|t| t.stand == Stand::Prepared) {
                taken.push(worker);
                index += 1;
            }
        }
        let whole = taken.len() == usize::from(spec.shape.tasks);
        for (index, worker) in (0..).zip(&taken) {
            let task = task_id(id, index);
            let end = clock::now().after(LEASE_MS);
            let order = if whole {
                Order::Commit { task, end }
            } else {
                Order::Abort { task }
            };
            self.order(worker, order).await?;
        }
        if whole {
            for (index, worker) in (0..).zip(&taken) {
                let (task, end) = (task_id(id, index), clock::now().after(LEASE_MS));
                self.order(worker, Order::Run { task, end }).await?;
            }
            let names = taken.iter().map(|w| w.name.clone()).collect();
            if let Some(job) = self.jobs.lock().get_mut(id) {
                job.view.vms = names;
                job.view.attempt = 1;
            }
            self.jobs.set(id, State::Running, "placed");
        } else {
            self.jobs.set(id, State::Waiting, "no room");
        }
        Ok(())
    }

    async fn watch_gang(&self, id: &str, cancel: bool) -> Result<()> {
        let names = self.jobs.view(id).map(|v| v.vms).unwrap_or_default();
        let vms = self.targets.list();
        let mut stands = Vec::new();
        for (index, name) in (0..).zip(&names) {
            let Some(worker) = vms.iter().find(|v| v.name == *name) else {
                return self.end_job(id, State::Unknown, "a worker is gone").await;
            };
            let task = task_id(id, index);
            let end = clock::now().after(LEASE_MS);
            let order = if cancel {
                Order::Stop {
                    task,
                    end: clock::now(),
                }
            } else {
                Order::Renew { task, end }
            };
            stands.push(self.order(worker, order).await?);
        }
        let all = |stand| stands.iter().all(|t: &Told| t.stand == stand);
        if all(Stand::Done) {
            if let Some(job) = self.jobs.lock().get_mut(id) {
                job.view.result.clone_from(&stands[0].result);
            }
            return self.end_job(id, State::Done, "all tasks are done").await;
        }
        if all(Stand::Stopped) {
            return self.end_job(id, State::Cancelled, "cancelled").await;
        }
        if stands.iter().any(|t| t.stand == Stand::Failed) {
            return self.end_job(id, State::Failed, "a task failed").await;
        }
        Ok(())
    }

    async fn end_job(&self, id: &str, state: State, reason: &str) -> Result<()> {
        let key = format!("/mg/end/{id}");
        let txn = Txn {
            when: vec![Compare::Absent(key.clone())],
            then: vec![Op::Put(key, state.to_string().into_bytes(), 0)],
            other: Vec::new(),
        };
        let end = clock::now().after(STORE_MS);
        self.keeper
            .call(Rank::Terminal, Call::Txn(txn), end)
            .await
            .map_err(|_| Error::new(Kind::StoreDown, "the end can't be recorded"))?;
        self.jobs.set(id, state, reason);
        let label = vec![("state", state.to_string())];
        self.admin.jobs.get_or_create(&label).inc();
        Ok(())
    }

    async fn order(&self, worker: &Vm, order: Order) -> Result<Told> {
        let orders = Orders {
            epoch: 1,
            orders: vec![order],
        };
        let end = clock::now().after(SECOND_MS);
        let told: Vec<Told> = send::json(&worker.addr, "POST", "/v1/orders", &orders, end).await?;
        told.into_iter()
            .next()
            .ok_or_else(|| Error::new(Kind::BadAnswer, "the worker told nothing"))
    }
}

fn task_id(id: &str, index: u16) -> TaskId {
    TaskId {
        job: id.to_owned(),
        attempt: 1,
        index,
    }
}
