//! Guarantees as blocks, and the check that a configuration promises no more than there is.
//!
//! A configuration and the list of workers flow in; the workspaces that can't be served flow out.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::WORKER_ACCELS;
use crate::blocks::{Block, Blocks, WorkspaceKey};
use crate::config::{Block as GuaranteeEntry, Config, Workspace};
use crate::error::{Error, Kind, Result};
use crate::fleet::Fleet;
use crate::label::Selector;
use crate::wire::{Role, Vm};

/// Workers of a whole rack.
pub const RACK_WORKERS: u16 = 8;

/// Returns the blocks of a promise as powers of two in accelerators, the largest first.
///
/// A rack is 64. Workers that fill no rack are split by their binary digits, so that 6 workers are
/// 4 in one rack and 2 in one rack; the same goes for accelerators that fill no worker.
#[must_use]
pub fn sizes(entry: &GuaranteeEntry) -> Vec<u16> {
    let worker = u16::from(WORKER_ACCELS);
    let rack = worker * RACK_WORKERS;
    let mut sizes = vec![rack; usize::from(entry.racks)];
    sizes.extend(digits(entry.workers, RACK_WORKERS).map(|n| n * worker));
    sizes.extend(digits(entry.accels, worker));
    sizes.sort_unstable_by_key(|s| std::cmp::Reverse(*s));
    sizes
}

/// Returns powers of two of at most `top` that sum up to `count`.
fn digits(count: u16, top: u16) -> impl Iterator<Item = u16> {
    let whole = std::iter::repeat_n(top, usize::from(count / top));
    let rest = (0..u16::BITS)
        .map(|i| 1 << i)
        .filter(move |bit: &u16| (count % top) & bit != 0);
    whole.chain(rest)
}

/// Returns the accelerators of a entry.
#[must_use]
pub fn total(entry: &GuaranteeEntry) -> u32 {
    sizes(entry).into_iter().map(u32::from).sum()
}

/// Accelerators that a workspace was promised and the fleet doesn't have.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shortage {
    /// The data centre.
    pub dc: String,
    /// The workspace.
    pub workspace: String,
    /// The accelerators that are missing.
    pub missing: u32,
}

/// Returns what an empty fleet of these workers could not give.
///
/// Drained workers count: a drain is for a time, a promise is not.
#[must_use]
pub fn shortages(config: &Config, workers: &[Vm]) -> Vec<Shortage> {
    let entries = config.workspaces.iter().flat_map(|w| &w.guarantee);
    let centres: BTreeSet<_> = entries.map(|b| b.dc.as_str()).collect();
    centres
        .into_iter()
        .flat_map(|dc| centre_shortages(config, workers, dc))
        .collect()
}

fn centre_shortages(config: &Config, workers: &[Vm], dc: &str) -> Vec<Shortage> {
    let mut fleet = Fleet::default();
    let here = |vm: &&Vm| vm.role == Role::Worker && vm.dc == dc;
    for vm in workers.iter().filter(here) {
        let mut vm = vm.clone();
        vm.leaving = false;
        fleet.update(vm);
    }
    fleet.set_marks(&config.vms);
    for worker in fleet.keys() {
        fleet.slot_mut(worker).closed = false;
    }
    let mut blocks = Blocks::default();
    for (i, settings) in config.workspaces.iter().enumerate() {
        let workspace = WorkspaceKey(u16::try_from(i).unwrap_or(u16::MAX));
        let made = self::blocks(settings, dc, workspace, &mut fleet);
        blocks.list.extend(made);
    }
    blocks.repair(&mut fleet);
    let mut missing = BTreeMap::new();
    for block in blocks.list.iter().filter(|b| b.missing() > 0) {
        *missing.entry(block.workspace).or_insert(0) += block.missing();
    }
    let shortage = |(workspace, missing): (WorkspaceKey, u32)| Shortage {
        dc: dc.to_owned(),
        workspace: config.workspaces[usize::from(workspace.0)].name.clone(),
        missing,
    };
    missing.into_iter().map(shortage).collect()
}

/// Makes the uncovered blocks of one workspace in a data centre, the largest first.
pub(crate) fn blocks(
    settings: &Workspace,
    dc: &str,
    workspace: WorkspaceKey,
    fleet: &mut Fleet,
) -> Vec<Block> {
    let set = fleet.compile(&[settings.r#where.clone(), Selector::default()]);
    let here = settings.guarantee.iter().filter(|p| p.dc == dc);
    let mut sizes: Vec<_> = here.flat_map(sizes).collect();
    sizes.sort_unstable_by_key(|s| std::cmp::Reverse(*s));
    let block = |size| Block {
        workspace,
        size,
        set,
        cells: Vec::new(),
    };
    sizes.into_iter().map(block).collect()
}

/// Checks that the workers can serve all guarantees at once.
///
/// # Errors
///
/// [`Kind::Impossible`] naming each workspace and data centre that falls short, and by how much.
pub fn check(config: &Config, workers: &[Vm]) -> Result<()> {
    refuse(&shortages(config, workers))
}

/// Checks that a change promises no workspace more than there is.
///
/// What was short under the version before, by as much, isn't refused: failures must not keep
/// operators from changing something else.
///
/// # Errors
///
/// As [`check`].
pub fn check_change(before: &Config, after: &Config, workers: &[Vm]) -> Result<()> {
    let old = shortages(before, workers);
    let mut new = shortages(after, workers);
    new.retain(|n| {
        let same = |o: &&Shortage| o.dc == n.dc && o.workspace == n.workspace;
        old.iter().find(same).is_none_or(|o| o.missing < n.missing)
    });
    refuse(&new)
}

fn refuse(shortages: &[Shortage]) -> Result<()> {
    if shortages.is_empty() {
        return Ok(());
    }
    let words = shortages.iter().map(|s| {
        format!(
            "workspace '{}' in data centre '{}' is promised {} accelerators more than fit",
            s.workspace, s.dc, s.missing
        )
    });
    let detail = words.collect::<Vec<_>>().join("; ");
    Err(Error::new(Kind::Impossible, detail))
}
