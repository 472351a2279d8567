//! A small data centre around a planner: it obeys the actions and checks what must always hold.

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

/// The data centre.
pub struct Site {
    pub planner: Planner,
    pub now: UnixMs,
    pub config: Config,
    pub workers: BTreeMap<String, Vm>,
    pub requests: BTreeMap<JobKey, JobRequest>,
    pub gangs: BTreeMap<JobKey, Gang>,
    pub missing: BTreeMap<String, u32>,
    /// Workers under suspicion.
    pub out: BTreeSet<String>,
    /// All that the planner did, with the time.
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

pub fn promise(racks: u16, workers: u16, accels: u16) -> Block {
    Block {
        dc: DC.to_owned(),
        racks,
        workers,
        accels,
    }
}

pub fn workspace(name: &str, place: &str, guarantee: Vec<Block>) -> Workspace {
    Workspace {
        name: name.to_owned(),
        labels: Labels::new(),
        r#where: Selector::parse(place).expect("the selector parses"),
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

impl Site {
    /// Makes `racks` racks of `size` workers, named `r0w0` and so on.
    pub fn new(planner: Planner, config: Config, racks: usize, size: usize) -> Self {
        let mut site = Self {
            planner,
            now: UnixMs(1_000_000),
            config: Config::default(),
            workers: BTreeMap::new(),
            requests: BTreeMap::new(),
            gangs: BTreeMap::new(),
            missing: BTreeMap::new(),
            out: BTreeSet::new(),
            log: Vec::new(),
            next: 0,
        };
        for rack in 0..racks {
            for i in 0..size {
                let vm = worker(&format!("r{rack}w{i}"), &format!("r{rack}"));
                site.put(vm);
            }
        }
        site.configure(config);
        site
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
                        "{job:?} borrows for good"
                    );
                    assert!(
                        self.gangs.insert(*job, gang).is_none(),
                        "{job:?} started twice"
                    );
                }
                Action::Stop { job, .. } => {
                    assert!(self.requests[job].preemptible, "{job:?} can't be stopped");
                    let gang = self.gangs.get_mut(job).expect("the gang holds something");
                    assert!(!gang.stopping, "{job:?} stopped twice");
                    gang.stopping = true;
                }
                Action::Guarantee(name, missing) => {
                    self.missing.insert(name.clone(), *missing);
                }
                Action::Quarantine(vm, _) => {
                    self.out.insert(vm.clone());
                }
                Action::Trust(vm) => {
                    self.out.remove(vm);
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

    pub fn put(&mut self, vm: Vm) {
        self.workers.insert(vm.name.clone(), vm.clone());
        self.step(Event::Worker(vm));
    }

    /// Loses a worker; the gangs on it wait again.
    pub fn lose(&mut self, name: &str) {
        self.workers.remove(name);
        self.out.remove(name);
        self.step(Event::WorkerGone(name.to_owned()));
        let hit = self
            .gangs
            .iter()
            .filter(|(_, g)| g.vms.iter().any(|v| v == name));
        let hit: Vec<_> = hit.map(|(j, _)| *j).collect();
        for job in hit {
            self.again(job);
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

    /// The gang holds nothing any more and waits again.
    pub fn again(&mut self, job: JobKey) {
        self.gangs.remove(&job);
        let request = self.requests[&job].clone();
        self.step(Event::Waiting(request));
    }

    pub fn end(&mut self, job: JobKey) {
        self.gangs.remove(&job);
        self.requests.remove(&job);
        self.step(Event::Ended(job));
    }

    pub fn run(&mut self, job: JobKey) {
        if let Some(gang) = self.gangs.get_mut(&job) {
            gang.running = true;
            self.step(Event::Running(job));
        }
    }

    /// Ends the stops that are under way.
    pub fn settle(&mut self) {
        loop {
            let stopping = self.gangs.iter().filter(|(_, g)| g.stopping);
            let stopping: Vec<_> = stopping.map(|(j, _)| *j).collect();
            if stopping.is_empty() {
                return;
            }
            for job in stopping {
                self.again(job);
            }
        }
    }

    /// Checks what must hold after each decision.
    pub fn check(&self) {
        self.check_capacity();
        self.check_adjacent();
        if self.missing.values().all(|m| *m == 0) {
            assert!(
                self.packs(),
                "a guarantee can't be had and none is told as degraded"
            );
        }
    }

    pub fn check_capacity(&self) {
        let mut used: BTreeMap<&str, u32> = BTreeMap::new();
        for (job, gang) in &self.gangs {
            for vm in &gang.vms {
                *used.entry(vm).or_default() += u32::from(self.requests[job].shape.accels);
            }
        }
        for (vm, used) in used {
            assert!(used <= 8, "{vm} holds {used}");
        }
    }

    fn check_adjacent(&self) {
        for (job, gang) in &self.gangs {
            if self.requests[job].shape.total() <= 8 {
                assert!(
                    gang.vms.iter().all(|v| *v == gang.vms[0]),
                    "{job:?} is split"
                );
            }
        }
    }

    /// Returns whether all blocks fit the live workers at once, by trying every way, such that
    /// each gang that can't be stopped, and each that the planner charges, lies in its own.
    pub fn packs(&self) -> bool {
        let names: Vec<&String> = self.workers.keys().collect();
        // A worker that takes no new work serves a guarantee only by what runs inside it there.
        let open = |vm: &Vm| if self.closed(vm) { 0 } else { 8_u32 };
        let mut room: Vec<u32> = self.workers.values().map(open).collect();
        let mut need = BTreeMap::new();
        for (job, gang) in &self.gangs {
            let request = &self.requests[job];
            let charged = self.planner.in_guarantee(*job);
            if request.preemptible && !charged {
                continue;
            }
            for vm in &gang.vms {
                let at = names.iter().position(|n| *n == vm);
                let space = self
                    .config
                    .workspaces
                    .iter()
                    .position(|w| w.name == request.workspace);
                match (at, space) {
                    (Some(at), Some(space)) if charged => {
                        if self.closed(&self.workers[vm]) {
                            room[at] += u32::from(request.shape.accels);
                        }
                        *need.entry((space, at)).or_insert(0) += u32::from(request.shape.accels);
                    }
                    // A configuration took the guarantee from under a gang that can't be stopped.
                    (Some(at), _) if !self.closed(&self.workers[vm]) => {
                        room[at] -= u32::from(request.shape.accels);
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
        let mut cover = BTreeMap::new();
        self.pack(&blocks, &mut room, &mut cover, &need)
    }

    /// Returns whether a worker takes no new work.
    fn closed(&self, vm: &Vm) -> bool {
        vm.leaving || self.out.contains(&vm.name)
    }

    fn pack(
        &self,
        blocks: &[(u16, usize)],
        room: &mut Vec<u32>,
        cover: &mut BTreeMap<(usize, usize), u32>,
        need: &BTreeMap<(usize, usize), u32>,
    ) -> bool {
        let Some((&(size, space), rest)) = blocks.split_first() else {
            let covered =
                |(k, n): (&(usize, usize), &u32)| cover.get(k).copied().unwrap_or(0) >= *n;
            return need.iter().all(covered);
        };
        let place = &self.config.workspaces[space].r#where;
        let (each, count) = (u32::from(size.min(8)), usize::from(size.div_ceil(8)));
        let vms: Vec<&Vm> = self.workers.values().collect();
        let fits: Vec<usize> = (0..vms.len())
            .filter(|i| room[*i] >= each && place.matches(&vms[*i].seen_labels()))
            .collect();
        for group in groups(&fits, count) {
            if group.iter().any(|i| vms[*i].rack != vms[group[0]].rack) {
                continue;
            }
            for i in &group {
                room[*i] -= each;
                *cover.entry((space, *i)).or_default() += each;
            }
            let done = self.pack(rest, room, cover, need);
            for i in &group {
                room[*i] += each;
                *cover.entry((space, *i)).or_default() -= each;
            }
            if done {
                return true;
            }
        }
        false
    }
}

/// Returns all ways to choose `count` of `items`.
fn groups(items: &[usize], count: usize) -> Vec<Vec<usize>> {
    if count == 0 {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (i, item) in items.iter().enumerate() {
        for mut rest in groups(&items[i + 1..], count - 1) {
            rest.push(*item);
            all.push(rest);
        }
    }
    all
}
