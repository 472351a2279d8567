//! A simulation of a small data centre, which carries out the planner's actions and checks its
//! invariants.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use marigoldglade::api::Shape;
use marigoldglade::config::{Block, Config, Workspace};
use marigoldglade::guarantee;
use marigoldglade::plan::{Action, Event, JobKey, JobRequest};
use marigoldglade::planner::Planner;
use marigoldglade::prelude::*;
use marigoldglade::wire::{Role, Vm};

pub const DC: &str = "kista";

/// A gang that holds accelerators.
#[derive(Clone, Debug)]
pub struct Gang {
    pub vms: Vec<String>,
    pub stopping: bool,
    pub running: bool,
}

/// The simulated data centre.
pub struct Simulation {
    pub planner: Planner,
    pub now: UnixMs,
    pub config: Config,
    pub workers: BTreeMap<String, Vm>,
    pub requests: BTreeMap<JobKey, JobRequest>,
    pub gangs: BTreeMap<JobKey, Gang>,
    pub missing: BTreeMap<String, u32>,
    /// The quarantined workers.
    pub quarantined: BTreeSet<String>,
    /// All actions of the planner, with the time of each.
    pub log: Vec<(UnixMs, Action)>,
    next: u32,
}

pub fn worker(name: &str, rack: &str) -> Vm {
    Vm {
        name: name.to_owned(),
        addr: "127.0.0.1:1".to_owned(),
        role: Role::Worker,
        dc: DC.to_owned(),
        rack: rack.to_owned(),
        accels: 8,
        slots: 0,
        labels: Labels::new(),
        leaving: false,
    }
}

pub fn block(racks: u16, workers: u16, accels: u16) -> Block {
    Block {
        dc: DC.to_owned(),
        racks,
        workers,
        accels,
    }
}

pub fn workspace(name: &str, selector: &str, guarantee: Vec<Block>) -> Workspace {
    Workspace {
        name: name.to_owned(),
        labels: Labels::new(),
        r#where: Selector::parse(selector).expect("the selector parses"),
        guarantee,
        quota: 0,
    }
}

pub fn request(workspace: &str, tasks: u16, accels: u8) -> JobRequest {
    JobRequest {
        job: JobKey(0),
        workspace: workspace.to_owned(),
        caller: "caller".to_owned(),
        labels: Labels::new(),
        urgency: 5,
        allowed: [Selector::default(), Selector::default()],
        shape: Shape { tasks, accels },
        checkpoint: true,
        preemptible: true,
        grace_ms: 10_000,
        run_ms: 60_000,
        accepted_at: UnixMs(0),
        deadline: UnixMs::MAX,
    }
}

impl Simulation {
    /// Creates a data centre with `racks` racks of `size` workers, named `r0w0` and so on.
    pub fn new(planner: Planner, config: Config, racks: usize, size: usize) -> Self {
        let mut sim = Self {
            planner,
            now: UnixMs(1_000_000),
            config: Config::default(),
            workers: BTreeMap::new(),
            requests: BTreeMap::new(),
            gangs: BTreeMap::new(),
            missing: BTreeMap::new(),
            quarantined: BTreeSet::new(),
            log: Vec::new(),
            next: 0,
        };
        for rack in 0..racks {
            for i in 0..size {
                let vm = worker(&format!("r{rack}w{i}"), &format!("r{rack}"));
                sim.update_worker(vm);
            }
        }
        sim.configure(config);
        sim
    }

    pub fn step(&mut self, event: Event) {
        let mut out = Vec::new();
        self.planner.step(self.now, event, &mut out);
        for action in &out {
            match action {
                Action::Start(job, vms) => {
                    let gang = Gang {
                        vms: vms.clone(),
                        stopping: false,
                        running: false,
                    };
                    assert_eq!(vms.len(), usize::from(self.requests[job].shape.tasks));
                    let inside = self.planner.in_guarantee(*job);
                    assert!(
                        inside || self.requests[job].preemptible,
                        "{job:?} isn't preemptible and runs outside its guarantee"
                    );
                    assert!(
                        self.gangs.insert(*job, gang).is_none(),
                        "{job:?} started twice"
                    );
                }
                Action::Stop { job, .. } => {
                    assert!(self.requests[job].preemptible, "{job:?} isn't preemptible");
                    let gang = self
                        .gangs
                        .get_mut(job)
                        .expect("the stopped gang was started");
                    assert!(!gang.stopping, "{job:?} stopped twice");
                    gang.stopping = true;
                }
                Action::Guarantee(name, missing) => {
                    self.missing.insert(name.clone(), *missing);
                }
                Action::Quarantine(vm, _) => {
                    self.quarantined.insert(vm.clone());
                }
                Action::Trust(vm) => {
                    self.quarantined.remove(vm);
                }
                _ => {}
            }
        }
        self.log.extend(out.into_iter().map(|a| (self.now, a)));
    }

    pub fn configure(&mut self, config: Config) {
        self.config = config.clone();
        self.step(Event::Config(Arc::new(config), Default::default()));
    }

    pub fn update_worker(&mut self, vm: Vm) {
        self.workers.insert(vm.name.clone(), vm.clone());
        self.step(Event::Worker(vm));
    }

    /// Removes a worker. The gangs on it go back to the queue.
    pub fn lose_worker(&mut self, name: &str) {
        self.workers.remove(name);
        self.quarantined.remove(name);
        self.step(Event::WorkerGone(name.to_owned()));
        let hit = self
            .gangs
            .iter()
            .filter(|(_, g)| g.vms.iter().any(|v| v == name));
        let hit: Vec<_> = hit.map(|(j, _)| *j).collect();
        for job in hit {
            self.requeue(job);
        }
    }

    pub fn submit(&mut self, request: JobRequest) -> JobKey {
        let job = JobKey(self.next);
        self.next += 1;
        let accepted_at = self.now;
        let request = JobRequest {
            job,
            accepted_at,
            ..request
        };
        self.requests.insert(job, request.clone());
        self.step(Event::Waiting(request));
        job
    }

    /// Releases a gang and puts its job back into the queue.
    pub fn requeue(&mut self, job: JobKey) {
        self.gangs.remove(&job);
        let request = self.requests[&job].clone();
        self.step(Event::Waiting(request));
    }

    pub fn end_job(&mut self, job: JobKey) {
        self.gangs.remove(&job);
        self.requests.remove(&job);
        self.step(Event::Ended(job));
    }

    pub fn mark_running(&mut self, job: JobKey) {
        if let Some(gang) = self.gangs.get_mut(&job) {
            gang.running = true;
            self.step(Event::Running(job));
        }
    }

    /// Completes all stops in progress, including those that follow from them.
    pub fn finish_stops(&mut self) {
        loop {
            let stopping = self.gangs.iter().filter(|(_, g)| g.stopping);
            let stopping: Vec<_> = stopping.map(|(j, _)| *j).collect();
            if stopping.is_empty() {
                return;
            }
            for job in stopping {
                self.requeue(job);
            }
        }
    }

    /// Checks the invariants that hold after each decision.
    pub fn check_invariants(&self) {
        self.check_capacity();
        self.check_adjacent();
        if self.missing.values().all(|m| *m == 0) {
            assert!(
                self.guarantees_fit(),
                "a guarantee can't be served and none is reported as degraded"
            );
        }
    }

    /// Checks that no worker holds more accelerators than it has.
    pub fn check_capacity(&self) {
        let mut used: BTreeMap<&str, u32> = BTreeMap::new();
        for (job, gang) in &self.gangs {
            for vm in &gang.vms {
                *used.entry(vm).or_default() += u32::from(self.requests[job].shape.accels);
            }
        }
        for (vm, used) in used {
            assert!(used <= 8, "{vm} has 8 accelerators and {used} are used");
        }
    }

    /// Checks that each gang that fits one worker runs on one worker.
    fn check_adjacent(&self) {
        for (job, gang) in &self.gangs {
            if self.requests[job].shape.total() <= 8 {
                assert!(
                    gang.vms.iter().all(|v| *v == gang.vms[0]),
                    "{job:?} fits one worker and runs on several"
                );
            }
        }
    }

    /// Returns whether the live workers can hold all blocks at once, found by exhaustive search.
    /// Gangs that the planner charges to a guarantee have to lie in blocks of their workspace;
    /// other gangs that aren't preemptible take their accelerators away from the workers.
    pub fn guarantees_fit(&self) -> bool {
        let names: Vec<&String> = self.workers.keys().collect();
        // A worker that takes no new work serves a guarantee only through the gangs that it runs in
        // it already.
        let open = |vm: &Vm| if self.closed(vm) { 0 } else { 8_u32 };
        let mut free: Vec<u32> = self.workers.values().map(open).collect();
        let mut required = BTreeMap::new();
        for (job, gang) in &self.gangs {
            let request = &self.requests[job];
            let charged = self.planner.in_guarantee(*job);
            if request.preemptible && !charged {
                continue;
            }
            for vm in &gang.vms {
                let at = names.iter().position(|n| *n == vm);
                let workspace = self
                    .config
                    .workspaces
                    .iter()
                    .position(|w| w.name == request.workspace);
                match (at, workspace) {
                    (Some(at), Some(workspace)) if charged => {
                        if self.closed(&self.workers[vm]) {
                            free[at] += u32::from(request.shape.accels);
                        }
                        *required.entry((workspace, at)).or_insert(0) +=
                            u32::from(request.shape.accels);
                    }
                    // The gang isn't preemptible, and a new configuration has removed the guarantee
                    // that it ran in.
                    (Some(at), _) if !self.closed(&self.workers[vm]) => {
                        free[at] -= u32::from(request.shape.accels);
                    }
                    _ => {}
                }
            }
        }
        let mut blocks = Vec::new();
        for (i, workspace) in self.config.workspaces.iter().enumerate() {
            let sizes = workspace.guarantee.iter().flat_map(guarantee::sizes);
            blocks.extend(sizes.map(|s| (s, i)));
        }
        blocks.sort_by(|a, b| b.cmp(a));
        let mut covered = BTreeMap::new();
        self.try_pack(&blocks, &mut free, &mut covered, &required)
    }

    /// Returns whether a worker takes no new work.
    fn closed(&self, vm: &Vm) -> bool {
        vm.leaving || self.quarantined.contains(&vm.name)
    }

    /// Returns whether the remaining blocks fit into `free`. `covered` counts the accelerators of
    /// the blocks placed so far by workspace and worker, and has to reach `required` in the end.
    fn try_pack(
        &self,
        blocks: &[(u16, usize)],
        free: &mut Vec<u32>,
        covered: &mut BTreeMap<(usize, usize), u32>,
        required: &BTreeMap<(usize, usize), u32>,
    ) -> bool {
        let Some((&(size, workspace), rest)) = blocks.split_first() else {
            let enough =
                |(k, n): (&(usize, usize), &u32)| covered.get(k).copied().unwrap_or(0) >= *n;
            return required.iter().all(enough);
        };
        let selector = &self.config.workspaces[workspace].r#where;
        let (each, count) = (u32::from(size.min(8)), usize::from(size.div_ceil(8)));
        let vms: Vec<&Vm> = self.workers.values().collect();
        let fits: Vec<usize> = (0..vms.len())
            .filter(|i| free[*i] >= each && selector.matches(&vms[*i].selector_labels()))
            .collect();
        for group in combinations(&fits, count) {
            if group.iter().any(|i| vms[*i].rack != vms[group[0]].rack) {
                continue;
            }
            for i in &group {
                free[*i] -= each;
                *covered.entry((workspace, *i)).or_default() += each;
            }
            let done = self.try_pack(rest, free, covered, required);
            for i in &group {
                free[*i] += each;
                *covered.entry((workspace, *i)).or_default() -= each;
            }
            if done {
                return true;
            }
        }
        false
    }
}

/// Returns all ways to choose `count` of the items.
fn combinations(items: &[usize], count: usize) -> Vec<Vec<usize>> {
    if count == 0 {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (i, item) in items.iter().enumerate() {
        for mut rest in combinations(&items[i + 1..], count - 1) {
            rest.push(*item);
            all.push(rest);
        }
    }
    all
}
