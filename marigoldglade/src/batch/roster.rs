//! The workers that the registry lists, and those whose entries an outage of the store removed.
//!
//! Entries of live workers expire while the store is away and are back soon after its return. Until
//! then their workers stay on the roster; one whose entry is still missing afterwards has left.

use std::collections::BTreeMap;

use crate::batch::worker::Target;
use crate::time::UnixMs;

/// How long after the store's return entries may still be missing, in milliseconds; the platform
/// guarantees about two seconds.
pub const REJOIN_MS: u64 = 2_000;

/// A worker whose entry is missing.
#[derive(Clone, Debug)]
struct Absentee {
    target: Target,
    /// When the worker counts as gone unless its entry is back.
    gone_at: UnixMs,
}

/// The workers by their names in the registry.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    listed: BTreeMap<String, Target>,
    absent: BTreeMap<String, Absentee>,
}

impl Roster {
    /// Replaces all entries by a complete reading of the registry. Workers without an entry stay
    /// until `settled_at`, when all entries of live workers are back.
    pub fn replace(&mut self, entries: BTreeMap<String, Target>, settled_at: UnixMs) {
        let old = std::mem::replace(&mut self.listed, entries);
        for (name, target) in old {
            self.add_absent(name, target, settled_at);
        }
        let listed = &self.listed;
        self.absent.retain(|name, _| !listed.contains_key(name));
    }

    /// Adds a worker that an earlier owner used, unless its entry is there.
    pub fn add_absent(&mut self, name: String, target: Target, settled_at: UnixMs) {
        if !self.listed.contains_key(&name) {
            let gone_at = settled_at;
            self.absent.insert(name, Absentee { target, gone_at });
        }
    }

    /// Applies a new or changed entry; returns whether it says anything new about the worker. A
    /// heartbeat doesn't.
    pub fn put(&mut self, name: String, target: Target) -> bool {
        if self.listed.get(&name) == Some(&target) {
            return false;
        }
        self.absent.remove(&name);
        self.listed.insert(name, target);
        true
    }

    /// Applies the removal of an entry; returns whether there was one.
    pub fn remove(&mut self, name: &str, settled_at: UnixMs) -> bool {
        let Some((name, target)) = self.listed.remove_entry(name) else {
            return false;
        };
        self.add_absent(name, target, settled_at);
        true
    }

    /// Removes a worker at once, since its entry can't be read; returns whether it was present.
    pub fn discard(&mut self, name: &str) -> bool {
        let listed = self.listed.remove(name).is_some();
        self.absent.remove(name).is_some() || listed
    }

    /// Returns the workers that count as present, without those that are gone by `now`.
    pub fn present(&mut self, now: UnixMs) -> Vec<Target> {
        self.absent.retain(|_, a| !a.gone_at.passed(now));
        let absent = self.absent.values().map(|a| &a.target);
        self.listed.values().chain(absent).cloned().collect()
    }

    /// Returns when the next missing worker counts as gone.
    #[must_use]
    pub fn next_gone(&self) -> Option<UnixMs> {
        self.absent.values().map(|a| a.gone_at).min()
    }
}
