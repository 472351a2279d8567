//! What operators see of a data centre's accelerators: a planner flows in, rows flow out.

use serde::{Deserialize, Serialize};

use crate::api::WORKER_ACCELS;
use crate::planner::Planner;

/// What a workspace holds in a data centre. All numbers are accelerators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceRow {
    /// The data centre.
    pub dc: String,
    /// The workspace.
    pub workspace: String,
    /// Its guarantee.
    pub guarantee: u32,
    /// What its gangs hold.
    pub used: u32,
    /// The part of its guarantee that the live fleet can't hold; zero when it is in force.
    pub missing: u32,
    /// The most it may hold; zero is no bound.
    pub quota: u32,
}

/// What is free in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreeRow {
    /// The data centre.
    pub dc: String,
    /// Live workers.
    pub workers: u32,
    /// Their free accelerators.
    pub accels: u32,
    /// Workers that are free as a whole.
    pub whole: u32,
    /// The most workers of one rack that are free as a whole.
    pub adjacent: u32,
}

/// A data centre's rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// A row a workspace.
    pub workspaces: Vec<WorkspaceRow>,
    /// The free accelerators.
    pub free: FreeRow,
}

impl Planner {
    /// Returns what operators see.
    #[must_use]
    pub fn view(&self) -> Fleet {
        let space = |s: &crate::planner::WorkspaceState| WorkspaceRow {
            dc: self.dc.clone(),
            workspace: s.name.clone(),
            guarantee: s.guarantee,
            used: s.used,
            missing: s.missing,
            quota: s.quota,
        };
        Fleet {
            workspaces: self.workspaces.iter().map(space).collect(),
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
