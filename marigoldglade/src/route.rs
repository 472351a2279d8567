//! Tracks the targets of requests and picks one with a free slot.
//!
//! The input is the VM list, notices that a VM is leaving, and the outcomes of sends; the output
//! is a [`TargetKey`]. A target that fails several times in a row is ejected for a while, and one
//! probe request decides whether it comes back. Such failures eject at most half of the targets;
//! the other suspects keep one slot each.

use std::collections::{HashMap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::classify::{Lane, LaneKey};
use crate::slots::{Policy, connection_limit};
use crate::time::UnixMs;
use crate::wire::{Role, Vm};

/// Failures in a row that make a target suspect.
const FAILS_LIMIT: u8 = 3;
/// The longest first ejection, in milliseconds; it doubles with each failed probe.
const EJECT_MS: u64 = 500;
/// The longest ejection, in milliseconds.
const MAX_EJECT_MS: u64 = 8_000;
/// The longest pause before a target that said it was full gets another request, in milliseconds.
const BUSY_PAUSE_MS: u64 = 20;
/// How long this daemon borrows no slots at a target that said it was full, in milliseconds; it
/// doubles each time.
const BORROW_PAUSE_MS: u64 = 100;
/// The most times that the pause in borrowing is doubled.
const BORROW_PAUSES_LIMIT: u8 = 5;
/// The most names of leaving VMs that are remembered.
const LEAVING_LIMIT: usize = 1_024;

/// The index of a target, valid within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(pub u16);

/// What the outcome of a send says about the health of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// It answered without an error.
    Good,
    /// It failed.
    Bad,
    /// It refused the connection.
    Refused,
    /// It said that it is full.
    Busy,
}

/// The health of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    /// The target works; `fails` counts its failures in a row.
    Healthy { fails: u8 },
    /// The target keeps one slot because no more targets may be ejected.
    Suspect,
    /// The target gets no requests before `probe_at`.
    Ejected { probe_at: UnixMs, failed_probes: u8 },
    /// One request is sent to find out whether the target works again.
    Probing { failed_probes: u8 },
}

/// Limits on using other daemons' slots of a target.
#[derive(Clone, Copy)]
struct Borrowing {
    // How many of the other daemons have idle slots to lend.
    lenders: usize,
    // How many other daemons there are.
    others: usize,
    // The most slots of a target that this daemon may use, its own included.
    limit: u16,
}

#[derive(Clone, Debug)]
struct Target {
    vm: Vm,
    own_slots: u16,
    in_flight: u16,
    listed: bool,
    health: Health,
    // When a target that said it was full may get requests again.
    resume_at: UnixMs,
    // When this daemon may borrow slots again, and how often borrowing was paused in a row.
    borrow_at: UnixMs,
    borrow_pauses: u8,
}

impl Target {
    /// Returns how many more requests may be sent to the target now.
    fn free_slots(&self, now: UnixMs, borrowing: Borrowing) -> u16 {
        if !self.listed || self.vm.leaving || !self.resume_at.passed(now) {
            return 0;
        }
        let limit = match self.health {
            Health::Healthy { .. } => self.own_slots + self.borrowable(now, borrowing),
            Health::Suspect | Health::Probing { .. } => self.own_slots.min(1),
            Health::Ejected { probe_at, .. } if probe_at.passed(now) => self.own_slots.min(1),
            Health::Ejected { .. } => 0,
        };
        limit.saturating_sub(self.in_flight)
    }

    /// Returns how many of the slots that other daemons leave idle may be used.
    fn borrowable(&self, now: UnixMs, borrowing: Borrowing) -> u16 {
        if !self.borrow_at.passed(now) {
            return 0;
        }
        let theirs = self.vm.slots.saturating_sub(self.own_slots);
        let lent = usize::from(theirs) * borrowing.lenders / borrowing.others.max(1);
        (lent as u16).min(borrowing.limit.saturating_sub(self.own_slots))
    }

    fn usable(&self) -> bool {
        self.listed && !self.vm.leaving
    }
}

/// The targets that one daemon sends requests to.
pub struct Routes {
    me: String,
    members: Vec<String>,
    split: Policy,
    lenders: usize,
    targets: Vec<Target>,
    by_name: HashMap<String, TargetKey>,
    // The names of leaving VMs, the oldest first.
    leaving: VecDeque<String>,
    // The targets that match each lane; cleared when the VM list changes.
    lane_targets: Vec<Option<Vec<TargetKey>>>,
    rng: ChaCha8Rng,
}

impl Routes {
    /// Creates the routes of the daemon `me`, without targets.
    #[must_use]
    pub fn new(me: &str, split: Policy, seed: u64) -> Self {
        Self {
            me: me.to_owned(),
            members: vec![me.to_owned()],
            split,
            lenders: 0,
            targets: Vec::new(),
            by_name: HashMap::new(),
            leaving: VecDeque::new(),
            lane_targets: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets the names of the live daemons; this daemon's own name is added if it is missing.
    pub fn set_members(&mut self, members: &[String]) {
        self.members = members.to_vec();
        self.members.push(self.me.clone());
        self.members.sort_unstable();
        self.members.dedup();
        for i in 0..self.targets.len() {
            self.targets[i].own_slots = self.own_slots(&self.targets[i].vm);
        }
    }

    /// Sets how many of the other daemons have idle slots; each lends its part of every target.
    pub fn set_lenders(&mut self, lenders: usize) {
        self.lenders = lenders;
    }

    fn own_slots(&self, vm: &Vm) -> u16 {
        (self.split)(&vm.name, &self.members, &self.me, vm.slots)
            .min(connection_limit(self.members.len()))
    }

    /// Adds or updates a VM from the VM list. A VM that was marked as leaving stays so.
    pub fn set_vm(&mut self, mut vm: Vm) {
        if vm.role != Role::Runner {
            return;
        }
        vm.leaving |= self.leaving.contains(&vm.name);
        let own_slots = self.own_slots(&vm);
        if let Some(key) = self.by_name.get(&vm.name).copied() {
            let target = &mut self.targets[usize::from(key.0)];
            vm.leaving |= target.vm.leaving;
            if target.vm != vm {
                self.lane_targets.clear();
            }
            (target.vm, target.own_slots, target.listed) = (vm, own_slots, true);
            return;
        }
        self.lane_targets.clear();
        let name = vm.name.clone();
        let target = Target {
            vm,
            own_slots,
            in_flight: 0,
            listed: true,
            health: Health::Healthy { fails: 0 },
            resume_at: UnixMs(0),
            borrow_at: UnixMs(0),
            borrow_pauses: 0,
        };
        let key = self.insert(target);
        self.by_name.insert(name, key);
    }

    /// Stores a target in the place of a removed one without requests, or at the end.
    fn insert(&mut self, target: Target) -> TargetKey {
        let free = |t: &Target| !t.listed && t.in_flight == 0;
        let at = self.targets.iter().position(free);
        if let Some(at) = at {
            self.by_name.remove(&self.targets[at].vm.name);
            self.targets[at] = target;
            return TargetKey(at as u16);
        }
        self.targets.push(target);
        TargetKey((self.targets.len() - 1) as u16)
    }

    /// Removes a VM that the VM list no longer shows.
    pub fn remove_vm(&mut self, name: &str) {
        if let Some(key) = self.by_name.get(name) {
            self.targets[usize::from(key.0)].listed = false;
            self.lane_targets.clear();
        }
    }

    /// Marks a VM as leaving for good. Returns whether it wasn't marked before.
    pub fn mark_leaving(&mut self, name: &str) -> bool {
        let newly_marked = !self.leaving.iter().any(|n| n == name);
        if newly_marked {
            self.leaving.push_back(name.to_owned());
            if self.leaving.len() > LEAVING_LIMIT {
                self.leaving.pop_front();
            }
        }
        if let Some(key) = self.by_name.get(name) {
            self.targets[usize::from(key.0)].vm.leaving = true;
        }
        newly_marked
    }

    /// Returns the VM of a target.
    #[must_use]
    pub fn vm(&self, key: TargetKey) -> Option<&Vm> {
        self.targets.get(usize::from(key.0)).map(|t| &t.vm)
    }

    /// Returns the key of the target with this VM name.
    #[must_use]
    pub fn find_target(&self, name: &str) -> Option<TargetKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the names of the runners in the newest VM list.
    pub fn listed_vms(&self) -> impl Iterator<Item = &str> {
        let listed = self.targets.iter().filter(|t| t.listed);
        listed.map(|t| t.vm.name.as_str())
    }

    /// Returns the slots that this daemon can count on: its own part of every healthy target that
    /// isn't leaving.
    #[must_use]
    pub fn usable_slots(&self) -> u32 {
        let healthy = |t: &&Target| t.usable() && matches!(t.health, Health::Healthy { .. });
        let own_slots = self
            .targets
            .iter()
            .filter(healthy)
            .map(|t| u32::from(t.own_slots));
        own_slots.sum()
    }

    /// Returns how many requests of this daemon occupy a slot of the target.
    #[must_use]
    pub fn in_flight(&self, key: TargetKey) -> u16 {
        self.targets[usize::from(key.0)].in_flight
    }

    fn matching_targets(&mut self, key: LaneKey, lane: &Lane) -> &[TargetKey] {
        let at = usize::from(key.0);
        if self.lane_targets.len() <= at {
            self.lane_targets.resize(at + 1, None);
        }
        let targets = &self.targets;
        self.lane_targets[at].get_or_insert_with(|| {
            let eligible = |t: &Target| {
                let labels = t.vm.selector_labels();
                t.listed && lane.allowed.iter().all(|s| s.matches(&labels))
            };
            let all = targets.iter().enumerate().filter(|(_, t)| eligible(t));
            all.map(|(i, _)| TargetKey(i as u16)).collect()
        })
    }

    /// Returns whether the lane has a listed target that isn't leaving.
    pub fn has_target(&mut self, key: LaneKey, lane: &Lane) -> bool {
        let keys = self.matching_targets(key, lane).to_vec();
        let usable = |k: &TargetKey| self.targets[usize::from(k.0)].usable();
        keys.iter().any(usable)
    }

    /// Picks the least loaded target of the lane with a free slot. It skips `avoid`, unless that
    /// is the lane's only usable target.
    pub fn pick(
        &mut self,
        now: UnixMs,
        key: LaneKey,
        lane: &Lane,
        avoid: Option<TargetKey>,
    ) -> Option<TargetKey> {
        let keys = self.matching_targets(key, lane).to_vec();
        let usable = |k: &TargetKey| self.targets[usize::from(k.0)].usable();
        let only_one = keys.iter().filter(|k| usable(k)).count() == 1;
        let borrowing = Borrowing {
            lenders: self.lenders.min(self.members.len() - 1),
            others: self.members.len() - 1,
            limit: connection_limit(self.members.len()),
        };
        let free_slots = |k: &TargetKey| self.targets[usize::from(k.0)].free_slots(now, borrowing);
        let open = |k: &TargetKey| free_slots(k) > 0 && (only_one || Some(*k) != avoid);
        let open: Vec<TargetKey> = keys.into_iter().filter(open).collect();
        let load = |k: &TargetKey| {
            let target = &self.targets[usize::from(k.0)];
            u32::from(target.in_flight) * 1_000 / u32::from(target.own_slots.max(1))
        };
        let least = open.iter().map(load).min()?;
        let best: Vec<TargetKey> = open.into_iter().filter(|k| load(k) == least).collect();
        let choice = self.rng.random_range(0..best.len());
        best.get(choice).copied()
    }

    /// Returns whether a target that was picked before may still be sent a request.
    #[must_use]
    pub fn accepts_work(&self, now: UnixMs, key: TargetKey) -> bool {
        self.targets[usize::from(key.0)].usable() && !self.is_ejected(now, key)
    }

    /// Occupies a slot of the target. At the end of an ejection this request is the probe.
    pub fn occupy_slot(&mut self, now: UnixMs, key: TargetKey) {
        let target = &mut self.targets[usize::from(key.0)];
        target.in_flight += 1;
        if let Health::Ejected {
            probe_at,
            failed_probes,
        } = target.health
            && probe_at.passed(now)
        {
            target.health = Health::Probing { failed_probes };
        }
    }

    /// Frees a slot of the target.
    pub fn release_slot(&mut self, key: TargetKey) {
        let target = &mut self.targets[usize::from(key.0)];
        target.in_flight = target.in_flight.saturating_sub(1);
    }

    /// Updates the health of a target by the outcome of a send.
    pub fn update_health(&mut self, now: UnixMs, key: TargetKey, signal: HealthSignal) {
        let health = self.targets[usize::from(key.0)].health;
        let next = match (signal, health) {
            (HealthSignal::Good, _) => Health::Healthy { fails: 0 },
            (HealthSignal::Busy, Health::Probing { .. }) => Health::Healthy { fails: 0 },
            (HealthSignal::Busy, health) => health,
            (HealthSignal::Refused, Health::Probing { failed_probes }) => {
                self.eject(now, failed_probes + 1)
            }
            (HealthSignal::Refused, Health::Ejected { .. }) => health,
            (HealthSignal::Refused, _) => self.eject(now, 0),
            (HealthSignal::Bad, Health::Healthy { fails }) if fails + 1 < FAILS_LIMIT => {
                Health::Healthy { fails: fails + 1 }
            }
            (HealthSignal::Bad, Health::Probing { failed_probes }) => {
                self.eject(now, failed_probes + 1)
            }
            (HealthSignal::Bad, Health::Ejected { .. }) => health,
            (HealthSignal::Bad, _) if self.may_eject() => self.eject(now, 0),
            (HealthSignal::Bad, _) => Health::Suspect,
        };
        let pause_ms = self.rng.random_range(1..=BUSY_PAUSE_MS);
        let target = &mut self.targets[usize::from(key.0)];
        target.health = next;
        if signal == HealthSignal::Busy {
            target.resume_at = now.after(pause_ms);
            target.borrow_at = now.after(BORROW_PAUSE_MS << target.borrow_pauses);
            target.borrow_pauses = (target.borrow_pauses + 1).min(BORROW_PAUSES_LIMIT);
        } else if signal == HealthSignal::Good && target.in_flight >= target.own_slots {
            target.borrow_pauses = 0;
        }
    }

    /// Returns whether one more target may be ejected for repeated failures: at least half of the
    /// usable targets, and at least one, have to stay in service.
    fn may_eject(&self) -> bool {
        let all = self.targets.iter().filter(|t| t.usable());
        let in_service = |t: &&Target| matches!(t.health, Health::Healthy { .. } | Health::Suspect);
        let left = all.clone().filter(in_service).count();
        left > 1 && (left - 1) * 2 >= all.count()
    }

    fn eject(&mut self, now: UnixMs, failed_probes: u8) -> Health {
        let longest_ms = (EJECT_MS << failed_probes.min(8)).min(MAX_EJECT_MS);
        let ms = self.rng.random_range(longest_ms / 2..=longest_ms);
        Health::Ejected {
            probe_at: now.after(ms),
            failed_probes: failed_probes.min(16),
        }
    }

    /// Returns whether the target is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: UnixMs, key: TargetKey) -> bool {
        let health = self.targets[usize::from(key.0)].health;
        matches!(health, Health::Ejected { probe_at, .. } if !probe_at.passed(now))
    }
}
