//! The difference between two configurations, and a three-way merge of changes that don't conflict.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::config::Config;

/// A section of the configuration.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Section {
    /// The data centres.
    Centres,
    /// The workspaces.
    Workspaces,
    /// The classes of work.
    Classes,
    /// The selectors that set the order of preemption; they change as one item.
    Yields,
    /// The groups of runners.
    Services,
    /// The labels and drains of VMs.
    Vms,
}

/// What happened to an item.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Edit {
    /// It was added.
    Added,
    /// It was removed.
    Removed,
    /// Its fields differ.
    Changed,
    /// The items that both versions have are in another order.
    Moved,
}

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Change {
    /// The section that changed.
    pub section: Section,
    /// The name of the item that changed; empty if the change concerns the whole section.
    pub name: String,
    /// What happened to the item.
    pub edit: Edit,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.name.is_empty() {
            return write!(f, "{}: {}", self.section, self.edit);
        }
        write!(f, "{}.{}: {}", self.section, self.name, self.edit)
    }
}

/// Returns what changed from `old` to `new`, by section and name.
#[must_use]
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    for section in SECTIONS {
        changes.extend((section.diff)(old, new));
    }
    if old.yields != new.yields {
        changes.push(yields_changed());
    }
    changes.sort();
    changes
}

/// Applies to `theirs` the changes that lead from `base` to `ours`.
///
/// # Errors
///
/// The changes of `theirs` that conflict with changes of `ours`. The merged configuration must
/// still be checked: two changes that don't conflict can leave a reference to an item that is gone.
pub fn rebase(base: &Config, ours: &Config, theirs: &Config) -> Result<Config, Vec<Change>> {
    let mut merged = theirs.clone();
    let mut conflicts = Vec::new();
    for section in SECTIONS {
        conflicts.extend((section.rebase)(base, ours, theirs, &mut merged));
    }
    if ours.yields != base.yields {
        if theirs.yields != base.yields && theirs.yields != ours.yields {
            conflicts.push(yields_changed());
        }
        merged.yields.clone_from(&ours.yields);
    }
    if conflicts.is_empty() {
        return Ok(merged);
    }
    Err(conflicts)
}

fn yields_changed() -> Change {
    Change {
        section: Section::Yields,
        name: String::new(),
        edit: Edit::Changed,
    }
}

/// How a section of named items is compared and merged.
struct SectionOps {
    diff: fn(&Config, &Config) -> Vec<Change>,
    rebase: fn(&Config, &Config, &Config, &mut Config) -> Vec<Change>,
}

macro_rules! section {
    ($section:ident, $field:ident) => {
        SectionOps {
            diff: |old, new| diff_items(Section::$section, &old.$field, &new.$field, |i| &i.name),
            rebase: |base, ours, theirs, merged| {
                let versions = [&base.$field[..], &ours.$field[..], &theirs.$field[..]];
                rebase_items(Section::$section, versions, &mut merged.$field, |i| &i.name)
            },
        }
    };
}

const SECTIONS: [SectionOps; 5] = [
    section!(Centres, centres),
    section!(Workspaces, workspaces),
    section!(Classes, classes),
    section!(Services, services),
    section!(Vms, vms),
];

fn by_name<T>(items: &[T], name: fn(&T) -> &String) -> BTreeMap<&str, &T> {
    items.iter().map(|i| (name(i).as_str(), i)).collect()
}

/// Returns the names that are in both lists, in the order of `items`.
fn common_names<'a, T>(items: &'a [T], others: &[T], name: fn(&T) -> &String) -> Vec<&'a str> {
    let others: BTreeSet<&str> = others.iter().map(|i| name(i).as_str()).collect();
    let names = items.iter().map(|i| name(i).as_str());
    names.filter(|n| others.contains(n)).collect()
}

fn moved<T>(old: &[T], new: &[T], name: fn(&T) -> &String) -> bool {
    common_names(old, new, name) != common_names(new, old, name)
}

fn diff_items<T: PartialEq>(
    section: Section,
    old: &[T],
    new: &[T],
    name: fn(&T) -> &String,
) -> Vec<Change> {
    let (before, after) = (by_name(old, name), by_name(new, name));
    let mut changes = Vec::new();
    let mut add = |name: &str, edit| {
        let name = name.to_owned();
        changes.push(Change {
            section,
            name,
            edit,
        });
    };
    for (name, item) in &before {
        match after.get(name) {
            None => add(name, Edit::Removed),
            Some(now) if now != item => add(name, Edit::Changed),
            Some(_) => {}
        }
    }
    for name in after.keys().filter(|n| !before.contains_key(*n)) {
        add(name, Edit::Added);
    }
    if moved(old, new, name) {
        add("", Edit::Moved);
    }
    changes
}

/// Merges the changes of `ours` in one section into `merged`, which starts as a copy of `theirs`.
/// Returns the changes of `theirs` that conflict with them.
fn rebase_items<T: Clone + PartialEq>(
    section: Section,
    [base, ours, theirs]: [&[T]; 3],
    merged: &mut Vec<T>,
    name: fn(&T) -> &String,
) -> Vec<Change> {
    let our_changes = diff_items(section, base, ours, name);
    let mut conflicts = diff_items(section, base, theirs, name);
    let (our_items, their_items) = (by_name(ours, name), by_name(theirs, name));
    conflicts.retain(|t| {
        let both = our_changes.iter().any(|m| m.name == t.name);
        let same = our_items.get(t.name.as_str()) == their_items.get(t.name.as_str());
        both && (t.name.is_empty() && ours != theirs || !same)
    });
    for change in &our_changes {
        let index = merged.iter().position(|i| *name(i) == change.name);
        let item = our_items.get(change.name.as_str()).map(|i| (*i).clone());
        match (index, item) {
            (Some(at), Some(item)) => merged[at] = item,
            (Some(at), None) => drop(merged.remove(at)),
            (None, Some(item)) => insert_after(merged, item, ours, name),
            (None, None) => {}
        }
    }
    if our_changes.iter().any(|c| c.edit == Edit::Moved) {
        reorder(merged, ours, name);
    }
    conflicts
}

/// Inserts an item of `ours` after the nearest item before it in `ours` that `merged` has, or else
/// at the front.
fn insert_after<T: Clone>(merged: &mut Vec<T>, item: T, ours: &[T], name: fn(&T) -> &String) {
    let at = ours.iter().position(|i| name(i) == name(&item));
    let before = ours[..at.unwrap_or(0)].iter().rev();
    let previous = before
        .filter_map(|b| merged.iter().position(|j| name(j) == name(b)))
        .next();
    merged.insert(previous.map_or(0, |p| p + 1), item);
}

/// Puts the items that `ours` also has in the order of `ours`; the others keep their positions.
fn reorder<T: Clone>(merged: &mut [T], ours: &[T], name: fn(&T) -> &String) {
    let slots: Vec<usize> = (0..merged.len())
        .filter(|at| ours.iter().any(|o| name(o) == name(&merged[*at])))
        .collect();
    let items: Vec<T> = ours
        .iter()
        .filter_map(|o| merged.iter().find(|j| name(j) == name(o)).cloned())
        .collect();
    for (slot, item) in slots.into_iter().zip(items) {
        merged[slot] = item;
    }
}
