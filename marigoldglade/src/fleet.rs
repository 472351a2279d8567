//! The workers of one data centre: their accelerator counts, and which of them match each pair of
//! selectors.

use std::collections::BTreeMap;

use crate::api::WORKER_ACCELS;
use crate::config::VmMark;
use crate::label::Selector;
use crate::plan::{JobKey, WorkerKey};
use crate::wire::Vm;

/// Identifies the set of workers that match a pair of selectors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SetKey(u32);

/// Identifies a rack within one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RackKey(pub u16);

/// The state of a worker that placement depends on. The counts are accelerators.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Slot {
    /// The worker's rack.
    pub rack: RackKey,
    /// All accelerators of the worker.
    pub accels: u8,
    /// Accelerators held by gangs that are starting, running or stopping.
    pub used: u8,
    /// The part of `used` that stopping gangs will release.
    pub stopping: u8,
    /// Accelerators assigned to gangs that wait for others to stop.
    pub pending: u8,
    /// Accelerators reserved for urgent work.
    pub reserved: u8,
    /// Accelerators covered by blocks of guarantees.
    pub guaranteed: u8,
    /// Accelerators held by gangs that aren't preemptible and run outside their workspace's
    /// guarantee.
    pub pinned: u8,
    /// Whether the worker is in the VM list.
    pub live: bool,
    /// Whether operators have drained the worker or the platform is about to remove it.
    pub closed: bool,
    /// Whether the worker is quarantined because tasks failed on it.
    pub quarantined: bool,
    /// Whether the quarantined worker may be tried with one task.
    pub probe: bool,
    /// Whether the worker is kept free of new work for a large gang.
    pub draining: bool,
}

impl Slot {
    /// Returns whether new work may be placed on the worker.
    pub fn schedulable(self) -> bool {
        self.live && !self.closed && !self.quarantined
    }

    /// Returns whether the worker takes new work, or will once its quarantine ends.
    pub fn in_service(self) -> bool {
        self.live && !self.closed
    }

    /// Returns the accelerators that no gang holds and no pending gang is assigned to.
    pub fn free(self) -> u8 {
        self.accels.saturating_sub(self.used + self.pending)
    }

    /// Returns the accelerators that will be free once the stopping gangs are gone.
    pub fn free_after_stops(self) -> u8 {
        (self.accels + self.stopping).saturating_sub(self.used + self.pending)
    }

    /// Returns the accelerators that blocks of guarantees can still cover.
    pub fn uncovered(self) -> u8 {
        if self.schedulable() {
            self.accels.saturating_sub(self.guaranteed + self.pinned)
        } else {
            0
        }
    }
}

/// The accelerators of a worker that one gang holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hold {
    pub job: JobKey,
    pub accels: u8,
    /// The gang's urgency, kept here so that most claims can rule the gang out without looking it
    /// up.
    pub urgency: u8,
    /// Whether the gang may be preempted.
    pub preemptible: bool,
}

/// The workers that match a pair of selectors, as a bit set.
struct WorkerSet {
    selectors: [Selector; 2],
    bits: Vec<u64>,
}

/// The workers of one data centre.
#[derive(Default)]
pub(crate) struct Fleet {
    pub slots: Vec<Slot>,
    /// The gangs on each worker.
    pub holds: Vec<Vec<Hold>>,
    /// The workers of each rack.
    pub racks: Vec<Vec<WorkerKey>>,
    /// Incremented with each change of the workers, their labels or their marks.
    pub version: u64,
    vms: Vec<Vm>,
    by_name: BTreeMap<String, WorkerKey>,
    by_rack: BTreeMap<String, RackKey>,
    /// Keys of removed workers, for reuse.
    free_keys: Vec<WorkerKey>,
    marks: Vec<VmMark>,
    sets: Vec<WorkerSet>,
    /// The sets by the texts of their selectors.
    by_text: BTreeMap<[String; 2], SetKey>,
}

impl Fleet {
    /// Returns the state of a worker.
    pub fn slot(&self, worker: WorkerKey) -> Slot {
        self.slots[usize::from(worker.0)]
    }

    /// Returns the state of a worker for modification.
    pub fn slot_mut(&mut self, worker: WorkerKey) -> &mut Slot {
        &mut self.slots[usize::from(worker.0)]
    }

    /// Returns the gangs that hold accelerators of a worker.
    pub fn holds(&self, worker: WorkerKey) -> &[Hold] {
        &self.holds[usize::from(worker.0)]
    }

    /// Returns the name of a worker's VM.
    pub fn name(&self, worker: WorkerKey) -> &str {
        &self.vms[usize::from(worker.0)].name
    }

    /// Returns the worker with this name.
    pub fn find(&self, name: &str) -> Option<WorkerKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the keys of all workers, including those that were removed.
    pub fn keys(&self) -> impl Iterator<Item = WorkerKey> + use<> {
        (0..self.slots.len()).filter_map(|i| u16::try_from(i).ok().map(WorkerKey))
    }

    /// Returns the worker with this name, adding it as not live if it is new. Returns `None` if
    /// there are too many workers.
    pub fn intern(&mut self, name: &str) -> Option<WorkerKey> {
        if let Some(worker) = self.find(name) {
            return Some(worker);
        }
        let vm = Vm {
            name: name.to_owned(),
            addr: String::new(),
            role: crate::wire::Role::Worker,
            dc: String::new(),
            rack: String::new(),
            accels: 0,
            slots: 0,
            labels: BTreeMap::new(),
            leaving: false,
        };
        let worker = match self.free_keys.pop() {
            Some(worker) => worker,
            None => {
                let worker = WorkerKey(u16::try_from(self.slots.len()).ok()?);
                self.slots.push(Slot::default());
                self.holds.push(Vec::new());
                self.vms.push(vm.clone());
                worker
            }
        };
        self.slots[usize::from(worker.0)] = Slot::default();
        self.vms[usize::from(worker.0)] = vm;
        self.by_name.insert(name.to_owned(), worker);
        Some(worker)
    }

    /// Adds or updates the worker of a listed VM. Returns its key, or `None` if there are too many
    /// workers.
    pub fn update(&mut self, vm: Vm) -> Option<WorkerKey> {
        let worker = self.intern(&vm.name)?;
        let rack = self.rack_of(&vm);
        let slot = &mut self.slots[usize::from(worker.0)];
        slot.accels = vm.accels.min(WORKER_ACCELS);
        slot.live = true;
        if slot.rack != rack || !self.racks[usize::from(rack.0)].contains(&worker) {
            for members in &mut self.racks {
                members.retain(|w| *w != worker);
            }
            slot.rack = rack;
            self.racks[usize::from(rack.0)].push(worker);
            self.racks[usize::from(rack.0)].sort_unstable();
        }
        self.vms[usize::from(worker.0)] = vm;
        self.refresh(worker);
        Some(worker)
    }

    /// Sets the operators' marks on VMs.
    pub fn set_marks(&mut self, marks: &[VmMark]) {
        self.marks = marks.to_vec();
        for worker in self.keys() {
            self.refresh(worker);
        }
    }

    /// Recomputes what depends on a worker's labels and marks.
    fn refresh(&mut self, worker: WorkerKey) {
        let index = usize::from(worker.0);
        let vm = &self.vms[index];
        let mark = self.marks.iter().find(|m| m.name == vm.name);
        let mut labels = vm.selector_labels();
        if let Some(mark) = mark {
            labels.extend(mark.labels.clone());
        }
        self.slots[index].closed = vm.leaving || mark.is_some_and(|m| m.drain);
        for set in &mut self.sets {
            let matches = set.selectors.iter().all(|s| s.matches(&labels));
            set_bit(&mut set.bits, worker, matches);
        }
        self.version += 1;
    }

    /// Returns whether the platform is about to remove the worker.
    pub fn is_leaving(&self, worker: WorkerKey) -> bool {
        self.vms[usize::from(worker.0)].leaving
    }

    /// Marks a worker as gone. Its slot is reused once nothing holds it.
    pub fn remove(&mut self, worker: WorkerKey) {
        self.slot_mut(worker).live = false;
        self.version += 1;
        self.reclaim_slot(worker);
    }

    /// Frees the slot of a worker that is gone, once nothing holds it.
    pub fn reclaim_slot(&mut self, worker: WorkerKey) {
        let slot = self.slot(worker);
        let name = self.name(worker).to_owned();
        let named = self.find(&name) == Some(worker);
        if slot.live || slot.used + slot.pending + slot.guaranteed > 0 || !named {
            return;
        }
        self.by_name.remove(&name);
        for members in &mut self.racks {
            members.retain(|w| *w != worker);
        }
        *self.slot_mut(worker) = Slot::default();
        self.free_keys.push(worker);
    }

    fn rack_of(&mut self, vm: &Vm) -> RackKey {
        // A worker without a rack forms a rack of its own.
        let name = if vm.rack.is_empty() {
            format!("/{}", vm.name)
        } else {
            vm.rack.clone()
        };
        let racks = &mut self.racks;
        *self.by_rack.entry(name).or_insert_with(|| {
            racks.push(Vec::new());
            RackKey(u16::try_from(racks.len() - 1).unwrap_or(u16::MAX))
        })
    }

    /// Returns the set of workers that match both selectors.
    pub fn compile(&mut self, selectors: &[Selector; 2]) -> SetKey {
        let text = [selectors[0].to_string(), selectors[1].to_string()];
        if let Some(key) = self.by_text.get(&text) {
            return *key;
        }
        let key = SetKey(u32::try_from(self.sets.len()).unwrap_or(u32::MAX));
        self.sets.push(WorkerSet {
            selectors: selectors.clone(),
            bits: Vec::new(),
        });
        self.by_text.insert(text, key);
        for worker in self.keys() {
            let index = usize::from(worker.0);
            let vm = &self.vms[index];
            let mut labels = vm.selector_labels();
            if let Some(mark) = self.marks.iter().find(|m| m.name == vm.name) {
                labels.extend(mark.labels.clone());
            }
            let matches = selectors.iter().all(|s| s.matches(&labels));
            if let Some(set) = self.sets.last_mut() {
                set_bit(&mut set.bits, worker, matches);
            }
        }
        key
    }

    /// Returns whether the worker is in the set.
    pub fn allows(&self, set: SetKey, worker: WorkerKey) -> bool {
        let (word, bit) = (usize::from(worker.0) / 64, worker.0 % 64);
        self.sets[set.0 as usize]
            .bits
            .get(word)
            .is_some_and(|w| w >> bit & 1 == 1)
    }
}

fn set_bit(bits: &mut Vec<u64>, worker: WorkerKey, value: bool) {
    let (word, bit) = (usize::from(worker.0) / 64, worker.0 % 64);
    if bits.len() <= word {
        bits.resize(word + 1, 0);
    }
    bits[word] = bits[word] & !(1 << bit) | u64::from(value) << bit;
}
