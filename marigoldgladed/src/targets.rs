//! The platform's VM list: it flows in now and then, the newest copy flows out.

use std::sync::{Arc, PoisonError, RwLock};

use hyper::StatusCode;
use marigoldglade::prelude::*;
use marigoldglade::time::SECOND_MS;
use marigoldglade::wire::Vm;
use serde::Serialize;

use crate::app::App;
use crate::front::{self, Answer};
use crate::{clock, send};

/// The least time between two reads of the VM list, in milliseconds.
const READ_INTERVAL_MS: u64 = SECOND_MS;
/// The most time between two reads, in milliseconds: a leaving target gets no new work 5 s on.
const READ_INTERVAL_MAX_MS: u64 = 4 * SECOND_MS;
/// What a VM takes in the list, in bytes.
const VM_BYTES: u64 = 150;
/// What reading the list may take, in bytes a second; a longer list is read less often.
const READ_BYTES_PER_S: u64 = 6_000;
/// The time that reading the VM list may take, in milliseconds.
const READ_LIMIT_MS: u64 = 2 * SECOND_MS;

/// A VM as operators see it: the platform's list with their own labels and drains.
#[derive(Serialize)]
struct Seen<'a> {
    #[serde(flatten)]
    vm: &'a Vm,
    drain: bool,
}

/// The VMs as the list showed them last.
pub(crate) struct Targets {
    /// `None` until the list was read once.
    list: RwLock<Option<Arc<Vec<Vm>>>>,
}

impl Targets {
    /// Makes an empty list.
    pub(crate) fn new() -> Self {
        Self {
            list: RwLock::default(),
        }
    }

    /// Returns the newest list, which is empty until it was read once.
    pub(crate) fn list(&self) -> Arc<Vec<Vm>> {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        list.clone().unwrap_or_default()
    }

    /// Returns whether the list was read.
    pub(crate) fn is_loaded(&self) -> bool {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        list.is_some()
    }

    /// Takes a list; one that says nothing new stays the same for those who compare pointers.
    fn replace(&self, vms: Vec<Vm>) {
        let mut list = self.list.write().unwrap_or_else(PoisonError::into_inner);
        if list.as_deref() != Some(&vms) {
            *list = Some(Arc::new(vms));
        }
    }
}

impl App {
    /// Shows the VMs with the operators' labels and drains.
    pub(crate) fn show_vms(&self) -> Result<Answer> {
        let config = self.configs.current().map(|v| v.config);
        let mut vms = Vec::clone(&self.targets.list());
        let mut drains = Vec::new();
        for vm in &mut vms {
            let marks = config.as_deref().map_or(&[][..], |c| &c.vms);
            let mark = marks.iter().find(|m| m.name == vm.name);
            vm.labels
                .extend(mark.map(|m| m.labels.clone()).unwrap_or_default());
            drains.push(mark.is_some_and(|m| m.drain));
        }
        let seen = vms.iter().zip(drains);
        let seen: Vec<Seen<'_>> = seen.map(|(vm, drain)| Seen { vm, drain }).collect();
        front::json(StatusCode::OK, &seen)
    }

    /// Keeps the VM list current until the daemon ends.
    pub(crate) async fn poll_vm_list(self: Arc<Self>) {
        let addr = self.settings.vm_list.to_string();
        loop {
            let end = clock::now().after(READ_LIMIT_MS);
            let read: Result<Vec<Vm>> =
                send::exchange_json(&addr, "GET", "/v1/vms", &(), end).await;
            match read {
                Ok(vms) => self.targets.replace(vms),
                Err(e) => log::warn!("the VM list can't be read: {e}"),
            }
            let next = read_after(self.targets.list().len());
            clock::sleep_until(clock::now().after(next)).await;
        }
    }
}

/// Returns how long after a read of `count` VMs the next one comes, in milliseconds.
fn read_after(count: usize) -> u64 {
    let bytes = VM_BYTES.saturating_mul(count as u64);
    let ms = bytes.saturating_mul(SECOND_MS) / READ_BYTES_PER_S;
    ms.clamp(READ_INTERVAL_MS, READ_INTERVAL_MAX_MS)
}
