//! The operators' view of a data centre's accelerators: [`Planner::view`] returns what each
//! workspace holds and what is free.

use serde::{Deserialize, Serialize};

use crate::api::WORKER_ACCELS;
use crate::planner::Planner;

/// What a workspace holds in a data centre. All numbers are accelerators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceRow {
    /// The data centre.
    pub dc: String,
    /// The workspace's name.
    pub workspace: String,
    /// The workspace's guarantee.
    pub guarantee: u32,
    /// The accelerators that the workspace's gangs hold.
    pub used: u32,
    /// The part of the guarantee that the live workers have no capacity for; zero when the
    /// guarantee is in force.
    pub missing: u32,
    /// The most that the workspace may hold; zero is no bound.
    pub quota: u32,
}

/// What is free in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreeRow {
    /// The data centre.
    pub dc: String,
    /// The number of live workers.
    pub workers: u32,
    /// The free accelerators of the live workers.
    pub accels: u32,
    /// The number of live workers whose accelerators are all free.
    pub whole: u32,
    /// The greatest number, over the racks, of live workers whose accelerators are all free.
    pub adjacent: u32,
}

/// The use of a data centre's accelerators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// One row for each workspace.
    pub workspaces: Vec<WorkspaceRow>,
    /// The free accelerators.
    pub free: FreeRow,
}

impl Planner {
    /// Returns what each workspace holds and what is free.
    #[must_use]
    pub fn view(&self) -> Fleet {
        let row = |s: &crate::planner::WorkspaceState| WorkspaceRow {
            dc: self.dc.clone(),
            workspace: s.name.clone(),
            guarantee: s.guarantee,
            used: s.used,
            missing: s.missing,
            quota: s.quota,
        };
        Fleet {
            workspaces: self.workspaces.iter().map(row).collect(),
            free: self.free(),
        }
    }

    fn free(&self) -> FreeRow {
        let live: Vec<_> = self.fleet.slots.iter().filter(|s| s.live).collect();
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let is_whole = |free: u8| free == WORKER_ACCELS;
        let whole = live.iter().filter(|s| is_whole(s.free()));
        let in_rack = |rack: &Vec<_>| {
            let slots = rack.iter().map(|w| self.fleet.slot(*w));
            count(slots.filter(|s| s.live && is_whole(s.free())).count())
        };
        FreeRow {
            dc: self.dc.clone(),
            workers: count(live.len()),
            accels: live.iter().map(|s| u32::from(s.free())).sum(),
            whole: count(whole.count()),
            adjacent: self.fleet.racks.iter().map(in_rack).max().unwrap_or(0),
        }
    }
}
