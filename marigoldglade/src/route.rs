//! Knows the targets of requests, and picks one with a free slot.
//!
//! VMs, signs of leaving and the ends of sends flow in, a [`TargetKey`] flows out. A target that
//! fails again and again is ejected for a while and let back by one probing request; at most half
//! of the targets are ejected on such a suspicion, the rest of the suspects keep one slot.

use std::collections::{HashMap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::classify::{Lane, LaneKey};
use crate::slots::{Policy, connection_limit};
use crate::time::UnixMs;
use crate::wire::{Role, Vm};

/// Failures in a row that make a target suspect.
const FAILS_LIMIT: u8 = 3;
/// The first ejection, in milliseconds; it doubles with each failed probe.
const EJECT_MS: u64 = 500;
/// The longest ejection, in milliseconds.
const EJECT_LIMIT_MS: u64 = 8_000;
/// How long a target that said it was full is left alone, at most, in milliseconds.
const BUSY_MS: u64 = 20;
/// How long no slots beyond the own part are used after a target said that it was full, in
/// milliseconds; it doubles each time.
const LEND_PAUSE_MS: u64 = 100;
/// The most that this pause is doubled.
const LEND_ROUNDS: u8 = 5;
/// Names of leaving VMs that are kept.
const LEFT_LIMIT: usize = 1_024;

/// A target within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(pub u16);

/// How a send ended, as far as its target's health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It answered well.
    Good,
    /// It failed.
    Bad,
    /// Nobody listens there.
    Refused,
    /// It said that it is full.
    Busy,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Good { fails: u8 },
    Suspect,
    Ejected { end: UnixMs, round: u8 },
    Probing { round: u8 },
}

/// How far other daemons' slots may be used.
#[derive(Clone, Copy)]
struct Loan {
    lenders: usize,
    others: usize,
    most: u16,
}

#[derive(Clone, Debug)]
struct Target {
    vm: Vm,
    limit: u16,
    flying: u16,
    listed: bool,
    health: Health,
    pause_end: UnixMs,
    // Until when only the own part of its slots is used, and how often that came in a row.
    lend_due: UnixMs,
    lend_round: u8,
}

impl Target {
    /// Returns how many more requests it may be sent now.
    fn free(&self, now: UnixMs, loan: Loan) -> u16 {
        if !self.listed || self.vm.leaving || !self.pause_end.passed(now) {
            return 0;
        }
        let limit = match self.health {
            Health::Good { .. } => self.limit + self.lent(now, loan),
            Health::Suspect | Health::Probing { .. } => self.limit.min(1),
            Health::Ejected { end, .. } if end.passed(now) => self.limit.min(1),
            Health::Ejected { .. } => 0,
        };
        limit.saturating_sub(self.flying)
    }

    /// Returns how many of the others' slots may be used while those leave them idle.
    fn lent(&self, now: UnixMs, loan: Loan) -> u16 {
        if !self.lend_due.passed(now) {
            return 0;
        }
        let theirs = self.vm.slots.saturating_sub(self.limit);
        let lent = usize::from(theirs) * loan.lenders / loan.others.max(1);
        (lent as u16).min(loan.most.saturating_sub(self.limit))
    }

    fn usable(&self) -> bool {
        self.listed && !self.vm.leaving
    }
}

/// The targets that one daemon sends requests to.
pub struct Routes {
    me: String,
    members: Vec<String>,
    policy: Policy,
    lenders: usize,
    targets: Vec<Target>,
    names: HashMap<String, TargetKey>,
    left: VecDeque<String>,
    lanes: Vec<Option<Vec<TargetKey>>>,
    rng: ChaCha8Rng,
}

impl Routes {
    /// Makes routes without targets for the daemon `me`.
    #[must_use]
    pub fn new(me: &str, policy: Policy, seed: u64) -> Self {
        Self {
            me: me.to_owned(),
            members: vec![me.to_owned()],
            policy,
            lenders: 0,
            targets: Vec::new(),
            names: HashMap::new(),
            left: VecDeque::new(),
            lanes: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes the names of the live daemons; the own name belongs to them in any case.
    pub fn set_members(&mut self, members: &[String]) {
        self.members = members.to_vec();
        self.members.push(self.me.clone());
        self.members.sort_unstable();
        self.members.dedup();
        for i in 0..self.targets.len() {
            self.targets[i].limit = self.limit(&self.targets[i].vm);
        }
    }

    /// Takes how many of the other daemons leave slots idle; each lends its part of them.
    pub fn set_lenders(&mut self, lenders: usize) {
        self.lenders = lenders;
    }

    fn limit(&self, vm: &Vm) -> u16 {
        (self.policy)(&vm.name, &self.members, &self.me, vm.slots)
            .min(connection_limit(self.members.len()))
    }

    /// Takes a VM as the VM list shows it. A VM that was once leaving stays so.
    pub fn set(&mut self, mut vm: Vm) {
        if vm.role != Role::Runner {
            return;
        }
        vm.leaving |= self.left.contains(&vm.name);
        let limit = self.limit(&vm);
        if let Some(key) = self.names.get(&vm.name).copied() {
            let target = &mut self.targets[usize::from(key.0)];
            vm.leaving |= target.vm.leaving;
            if target.vm != vm {
                self.lanes.clear();
            }
            (target.vm, target.limit, target.listed) = (vm, limit, true);
            return;
        }
        self.lanes.clear();
        let name = vm.name.clone();
        let target = Target {
            vm,
            limit,
            flying: 0,
            listed: true,
            health: Health::Good { fails: 0 },
            pause_end: UnixMs(0),
            lend_due: UnixMs(0),
            lend_round: 0,
        };
        let key = self.place(target);
        self.names.insert(name, key);
    }

    /// Puts a target where none is any more, or at the end.
    fn place(&mut self, target: Target) -> TargetKey {
        let free = |t: &Target| !t.listed && t.flying == 0;
        let at = self.targets.iter().position(free);
        if let Some(at) = at {
            self.names.remove(&self.targets[at].vm.name);
            self.targets[at] = target;
            return TargetKey(at as u16);
        }
        self.targets.push(target);
        TargetKey((self.targets.len() - 1) as u16)
    }

    /// Takes a VM out that the VM list no longer shows.
    pub fn remove(&mut self, name: &str) {
        if let Some(key) = self.names.get(name) {
            self.targets[usize::from(key.0)].listed = false;
            self.lanes.clear();
        }
    }

    /// Marks a VM as leaving for good. Returns whether that is news.
    pub fn leave(&mut self, name: &str) -> bool {
        let news = !self.left.iter().any(|n| n == name);
        if news {
            self.left.push_back(name.to_owned());
            if self.left.len() > LEFT_LIMIT {
                self.left.pop_front();
            }
        }
        if let Some(key) = self.names.get(name) {
            self.targets[usize::from(key.0)].vm.leaving = true;
        }
        news
    }

    /// Returns the VM behind a key.
    #[must_use]
    pub fn vm(&self, key: TargetKey) -> Option<&Vm> {
        self.targets.get(usize::from(key.0)).map(|t| &t.vm)
    }

    /// Returns the key of a VM.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<TargetKey> {
        self.names.get(name).copied()
    }

    /// Returns the names of the VMs that the VM list showed last.
    pub fn listed(&self) -> impl Iterator<Item = &str> {
        let listed = self.targets.iter().filter(|t| t.listed);
        listed.map(|t| t.vm.name.as_str())
    }

    /// Returns the slots that this daemon can count on: its part of those of all targets that
    /// aren't ejected, and what it holds above it.
    #[must_use]
    pub fn slots(&self) -> u32 {
        let sound = |t: &&Target| t.usable() && matches!(t.health, Health::Good { .. });
        let limits = self
            .targets
            .iter()
            .filter(sound)
            .map(|t| u32::from(t.limit));
        limits.sum()
    }

    /// Returns how many requests the target is at.
    #[must_use]
    pub fn flying(&self, key: TargetKey) -> u16 {
        self.targets[usize::from(key.0)].flying
    }

    fn matching(&mut self, key: LaneKey, lane: &Lane) -> &[TargetKey] {
        let at = usize::from(key.0);
        if self.lanes.len() <= at {
            self.lanes.resize(at + 1, None);
        }
        let targets = &self.targets;
        self.lanes[at].get_or_insert_with(|| {
            let fits = |t: &Target| {
                let labels = t.vm.seen_labels();
                t.listed && lane.allowed.iter().all(|s| s.matches(&labels))
            };
            let all = targets.iter().enumerate().filter(|(_, t)| fits(t));
            all.map(|(i, _)| TargetKey(i as u16)).collect()
        })
    }

    /// Returns whether any target of the lane is there and not leaving.
    pub fn serves(&mut self, key: LaneKey, lane: &Lane) -> bool {
        let keys = self.matching(key, lane).to_vec();
        let usable = |k: &TargetKey| self.targets[usize::from(k.0)].usable();
        keys.iter().any(usable)
    }

    /// Picks the least loaded target of the lane with a free slot, other than `avoid` unless
    /// that is the only one in use.
    pub fn pick(
        &mut self,
        now: UnixMs,
        key: LaneKey,
        lane: &Lane,
        avoid: Option<TargetKey>,
    ) -> Option<TargetKey> {
        let keys = self.matching(key, lane).to_vec();
        let usable = |k: &TargetKey| self.targets[usize::from(k.0)].usable();
        let alone = keys.iter().filter(|k| usable(k)).count() == 1;
        let loan = Loan {
            lenders: self.lenders.min(self.members.len() - 1),
            others: self.members.len() - 1,
            most: connection_limit(self.members.len()),
        };
        let free = |k: &TargetKey| self.targets[usize::from(k.0)].free(now, loan);
        let open = |k: &TargetKey| free(k) > 0 && (alone || Some(*k) != avoid);
        let open: Vec<TargetKey> = keys.into_iter().filter(open).collect();
        let load = |k: &TargetKey| {
            let target = &self.targets[usize::from(k.0)];
            u32::from(target.flying) * 1_000 / u32::from(target.limit.max(1))
        };
        let least = open.iter().map(load).min()?;
        let best: Vec<TargetKey> = open.into_iter().filter(|k| load(k) == least).collect();
        let turn = self.rng.random_range(0..best.len());
        best.get(turn).copied()
    }

    /// Returns whether new work may still go to a target that was picked before.
    #[must_use]
    pub fn is_open(&self, now: UnixMs, key: TargetKey) -> bool {
        self.targets[usize::from(key.0)].usable() && !self.is_ejected(now, key)
    }

    /// Counts a request as sent to the target.
    pub fn start(&mut self, now: UnixMs, key: TargetKey) {
        let target = &mut self.targets[usize::from(key.0)];
        target.flying += 1;
        if let Health::Ejected { end, round } = target.health
            && end.passed(now)
        {
            target.health = Health::Probing { round };
        }
    }

    /// Gives the slot of one request back.
    pub fn free(&mut self, key: TargetKey) {
        let target = &mut self.targets[usize::from(key.0)];
        target.flying = target.flying.saturating_sub(1);
    }

    /// Takes what the end of a send says about its target.
    pub fn judge(&mut self, now: UnixMs, key: TargetKey, sign: Sign) {
        let health = self.targets[usize::from(key.0)].health;
        let next = match (sign, health) {
            (Sign::Good, _) => Health::Good { fails: 0 },
            (Sign::Busy, Health::Probing { .. }) => Health::Good { fails: 0 },
            (Sign::Busy, health) => health,
            (Sign::Refused, Health::Probing { round }) => self.ejected(now, round + 1),
            (Sign::Refused, Health::Ejected { .. }) => health,
            (Sign::Refused, _) => self.ejected(now, 0),
            (Sign::Bad, Health::Good { fails }) if fails + 1 < FAILS_LIMIT => {
                Health::Good { fails: fails + 1 }
            }
            (Sign::Bad, Health::Probing { round }) => self.ejected(now, round + 1),
            (Sign::Bad, Health::Ejected { .. }) => health,
            (Sign::Bad, _) if self.may_eject() => self.ejected(now, 0),
            (Sign::Bad, _) => Health::Suspect,
        };
        let pause_ms = self.rng.random_range(1..=BUSY_MS);
        let target = &mut self.targets[usize::from(key.0)];
        target.health = next;
        if sign == Sign::Busy {
            target.pause_end = now.after(pause_ms);
            target.lend_due = now.after(LEND_PAUSE_MS << target.lend_round);
            target.lend_round = (target.lend_round + 1).min(LEND_ROUNDS);
        } else if sign == Sign::Good && target.flying >= target.limit {
            target.lend_round = 0;
        }
    }

    /// Returns whether one more may be ejected on suspicion, out of those that are there.
    fn may_eject(&self) -> bool {
        let all = self.targets.iter().filter(|t| t.usable());
        let sound = |t: &&Target| matches!(t.health, Health::Good { .. } | Health::Suspect);
        let left = all.clone().filter(sound).count();
        left > 1 && (left - 1) * 2 >= all.count()
    }

    fn ejected(&mut self, now: UnixMs, round: u8) -> Health {
        let most = (EJECT_MS << round.min(8)).min(EJECT_LIMIT_MS);
        let ms = self.rng.random_range(most / 2..=most);
        Health::Ejected {
            end: now.after(ms),
            round: round.min(16),
        }
    }

    /// Returns whether the target is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: UnixMs, key: TargetKey) -> bool {
        let health = self.targets[usize::from(key.0)].health;
        matches!(health, Health::Ejected { end, .. } if !end.passed(now))
    }
}
