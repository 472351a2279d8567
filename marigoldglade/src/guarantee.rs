//! Guarantees: their division into blocks, and the check that the workers can serve all guarantees
//! of a configuration at once.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::WORKER_ACCELS;
use crate::blocks::{Block, Blocks, WorkspaceKey};
use crate::config::{Block as GuaranteeEntry, Config, Workspace};
use crate::error::{Error, Kind, Result};
use crate::fleet::Fleet;
use crate::label::Selector;
use crate::wire::{Role, Vm};

/// The number of workers of a full rack.
pub const RACK_WORKERS: u16 = 8;

/// Returns the sizes of the blocks of a guarantee in accelerators, largest first.
///
/// All sizes are powers of two; a rack has 64 accelerators. Workers that don't fill a rack are
/// split into powers of two, so that 6 workers are 4 in one rack and 2 in one rack. Accelerators
/// that don't fill a worker are split likewise.
#[must_use]
pub fn sizes(entry: &GuaranteeEntry) -> Vec<u16> {
    let worker = u16::from(WORKER_ACCELS);
    let rack = worker * RACK_WORKERS;
    let mut sizes = vec![rack; usize::from(entry.racks)];
    sizes.extend(powers_of_two(entry.workers, RACK_WORKERS).map(|n| n * worker));
    sizes.extend(powers_of_two(entry.accels, worker));
    sizes.sort_unstable_by_key(|s| std::cmp::Reverse(*s));
    sizes
}

/// Returns powers of two of at most `top` whose sum is `count`.
fn powers_of_two(count: u16, top: u16) -> impl Iterator<Item = u16> {
    let whole = std::iter::repeat_n(top, usize::from(count / top));
    let rest = (0..u16::BITS)
        .map(|i| 1 << i)
        .filter(move |bit: &u16| (count % top) & bit != 0);
    whole.chain(rest)
}

/// Returns the number of accelerators of a guarantee.
#[must_use]
pub fn total(entry: &GuaranteeEntry) -> u32 {
    sizes(entry).into_iter().map(u32::from).sum()
}

/// The part of a workspace's guarantee that the workers can't serve.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shortage {
    /// The data centre of the guarantee.
    pub dc: String,
    /// The name of the workspace.
    pub workspace: String,
    /// The number of missing accelerators.
    pub missing: u32,
}

/// Returns the guarantees that these workers couldn't serve even if they were empty.
///
/// Drained workers count, because a drain is temporary and a guarantee is not.
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

/// Returns the blocks, not yet covered, of one workspace in a data centre, largest first.
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
    reject_shortages(&shortages(config, workers))
}

/// Checks that a new version of the configuration adds no shortage and increases none.
///
/// A shortage that the version before has as well, of at least the same size, is accepted: failed
/// workers must not keep operators from other changes.
///
/// # Errors
///
/// The same as [`check`].
pub fn check_change(before: &Config, after: &Config, workers: &[Vm]) -> Result<()> {
    let old = shortages(before, workers);
    let mut new = shortages(after, workers);
    new.retain(|n| {
        let same = |o: &&Shortage| o.dc == n.dc && o.workspace == n.workspace;
        old.iter().find(same).is_none_or(|o| o.missing < n.missing)
    });
    reject_shortages(&new)
}

fn reject_shortages(shortages: &[Shortage]) -> Result<()> {
    if shortages.is_empty() {
        return Ok(());
    }
    let words = shortages.iter().map(|s| {
        format!(
            "guarantee of workspace '{}' in data centre '{}' exceeds the workers by {} accelerators",
            s.workspace, s.dc, s.missing
        )
    });
    let detail = words.collect::<Vec<_>>().join("; ");
    Err(Error::new(Kind::Impossible, detail))
}
