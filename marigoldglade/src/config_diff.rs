//! What changed between two configurations, and the joining of edits that don't touch.
//!
//! Two or three [`Config`]s flow in, a list of [`Change`]s or a joined [`Config`] flows out.

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
    /// The selectors that say what yields first, changed as one item.
    Yields,
    /// The groups of runners.
    Services,
    /// The marks on VMs.
    Vms,
}

/// What happened to an item.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Edit {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// Its fields differ.
    Changed,
    /// The items that stayed stand in another order.
    Moved,
}

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Change {
    /// Where.
    pub section: Section,
    /// The item's name; empty for the whole section.
    pub name: String,
    /// What happened.
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

/// Puts the edits from `base` to `ours` on top of `theirs`.
///
/// # Errors
///
/// The changes of `theirs` that touch what `ours` changed. The joined configuration must still
/// be checked, since edits that don't touch can break a reference between them.
pub fn rebase(base: &Config, ours: &Config, theirs: &Config) -> Result<Config, Vec<Change>> {
    let mut joined = theirs.clone();
    let mut touching = Vec::new();
    for section in SECTIONS {
        touching.extend((section.rebase)(base, ours, theirs, &mut joined));
    }
    if ours.yields != base.yields {
        if theirs.yields != base.yields && theirs.yields != ours.yields {
            touching.push(yields_changed());
        }
        joined.yields.clone_from(&ours.yields);
    }
    if touching.is_empty() {
        return Ok(joined);
    }
    Err(touching)
}

fn yields_changed() -> Change {
    Change {
        section: Section::Yields,
        name: String::new(),
        edit: Edit::Changed,
    }
}

/// How a section whose items have names is compared and joined.
struct Named {
    diff: fn(&Config, &Config) -> Vec<Change>,
    rebase: fn(&Config, &Config, &Config, &mut Config) -> Vec<Change>,
}

macro_rules! named {
    ($section:ident, $field:ident) => {
        Named {
            diff: |old, new| diff_items(Section::$section, &old.$field, &new.$field, |i| &i.name),
            rebase: |base, ours, theirs, joined| {
                let trio = [&base.$field[..], &ours.$field[..], &theirs.$field[..]];
                rebase_items(Section::$section, trio, &mut joined.$field, |i| &i.name)
            },
        }
    };
}

const SECTIONS: [Named; 5] = [
    named!(Centres, centres),
    named!(Workspaces, workspaces),
    named!(Classes, classes),
    named!(Services, services),
    named!(Vms, vms),
];

fn by_name<T>(items: &[T], name: fn(&T) -> &String) -> BTreeMap<&str, &T> {
    items.iter().map(|i| (name(i).as_str(), i)).collect()
}

/// Returns the names of `items` that `others` has too, in the order of `items`.
fn shared<'a, T>(items: &'a [T], others: &[T], name: fn(&T) -> &String) -> Vec<&'a str> {
    let others: BTreeSet<&str> = others.iter().map(|i| name(i).as_str()).collect();
    let names = items.iter().map(|i| name(i).as_str());
    names.filter(|n| others.contains(n)).collect()
}

fn moved<T>(old: &[T], new: &[T], name: fn(&T) -> &String) -> bool {
    shared(old, new, name) != shared(new, old, name)
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

/// Joins one section into `joined`, which holds their items; returns their changes that touch ours.
fn rebase_items<T: Clone + PartialEq>(
    section: Section,
    [base, ours, theirs]: [&[T]; 3],
    joined: &mut Vec<T>,
    name: fn(&T) -> &String,
) -> Vec<Change> {
    let mine = diff_items(section, base, ours, name);
    let mut touching = diff_items(section, base, theirs, name);
    let (our_items, their_items) = (by_name(ours, name), by_name(theirs, name));
    touching.retain(|t| {
        let both = mine.iter().any(|m| m.name == t.name);
        let same = our_items.get(t.name.as_str()) == their_items.get(t.name.as_str());
        both && (t.name.is_empty() && ours != theirs || !same)
    });
    for change in &mine {
        let place = joined.iter().position(|i| *name(i) == change.name);
        let item = our_items.get(change.name.as_str()).map(|i| (*i).clone());
        match (place, item) {
            (Some(at), Some(item)) => joined[at] = item,
            (Some(at), None) => drop(joined.remove(at)),
            (None, Some(item)) => insert_after(joined, item, ours, name),
            (None, None) => {}
        }
    }
    if mine.iter().any(|c| c.edit == Edit::Moved) {
        reorder(joined, ours, name);
    }
    touching
}

/// Inserts an item of ours behind the one that it follows in our order.
fn insert_after<T: Clone>(joined: &mut Vec<T>, item: T, ours: &[T], name: fn(&T) -> &String) {
    let at = ours.iter().position(|i| name(i) == name(&item));
    let before = ours[..at.unwrap_or(0)].iter().rev();
    let place = before
        .filter_map(|b| joined.iter().position(|j| name(j) == name(b)))
        .next();
    joined.insert(place.map_or(0, |p| p + 1), item);
}

/// Puts the items that `ours` has too in our order; the others keep their places.
fn reorder<T: Clone>(joined: &mut [T], ours: &[T], name: fn(&T) -> &String) {
    let places: Vec<usize> = (0..joined.len())
        .filter(|at| ours.iter().any(|o| name(o) == name(&joined[*at])))
        .collect();
    let items: Vec<T> = ours
        .iter()
        .filter_map(|o| joined.iter().find(|j| name(j) == name(o)).cloned())
        .collect();
    for (place, item) in places.into_iter().zip(items) {
        joined[place] = item;
    }
}
