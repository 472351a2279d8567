//! Polls the platform's VM list and keeps the newest copy.

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
const MIN_READ_INTERVAL_MS: u64 = SECOND_MS;
/// The most time between two reads of the VM list, in milliseconds, so that a target gets no
/// new work later than 5 s after the platform lists it as leaving.
const MAX_READ_INTERVAL_MS: u64 = 4 * SECOND_MS;
/// The size of one VM in the list, in bytes.
const VM_BYTES: u64 = 150;
/// The rate at which the list may be read, in bytes per second; a longer list is read less often.
const READ_BYTES_PER_S: u64 = 6_000;
/// The time limit for one read of the VM list, in milliseconds.
const READ_TIMEOUT_MS: u64 = 2 * SECOND_MS;

/// A VM as shown to operators: the platform's entry with the configured labels and drain mark.
#[derive(Serialize)]
struct VmView<'a> {
    #[serde(flatten)]
    vm: &'a Vm,
    drain: bool,
}

/// The newest copy of the VM list.
pub(crate) struct Targets {
    /// The newest copy; `None` until the list has been read once.
    list: RwLock<Option<Arc<Vec<Vm>>>>,
}

impl Targets {
    /// Creates a list that hasn't been read yet.
    pub(crate) fn new() -> Self {
        Self {
            list: RwLock::default(),
        }
    }

    /// Returns the newest copy of the list; empty until it has been read once.
    pub(crate) fn list(&self) -> Arc<Vec<Vm>> {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        list.clone().unwrap_or_default()
    }

    /// Returns whether the list has been read at least once.
    pub(crate) fn is_loaded(&self) -> bool {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        list.is_some()
    }

    /// Stores a list, unless it equals the current one: readers compare the pointers to detect a
    /// change.
    fn replace(&self, vms: Vec<Vm>) {
        let mut list = self.list.write().unwrap_or_else(PoisonError::into_inner);
        if list.as_deref() != Some(&vms) {
            *list = Some(Arc::new(vms));
        }
    }
}

impl App {
    /// Answers with the VMs, including the configured labels and drains.
    pub(crate) fn show_vms(&self) -> Result<Answer> {
        let config = self.configs.current().map(|v| v.config);
        let mut vms = Vec::clone(&self.targets.list());
        let mut drains = Vec::new();
        for vm in &mut vms {
            let overrides = config.as_deref().map_or(&[][..], |c| &c.vms);
            let setting = overrides.iter().find(|m| m.name == vm.name);
            vm.labels
                .extend(setting.map(|m| m.labels.clone()).unwrap_or_default());
            drains.push(setting.is_some_and(|m| m.drain));
        }
        let rows = vms.iter().zip(drains);
        let rows: Vec<VmView<'_>> = rows.map(|(vm, drain)| VmView { vm, drain }).collect();
        front::json(StatusCode::OK, &rows)
    }

    /// Polls the VM list until the task is aborted.
    pub(crate) async fn poll_vm_list(self: Arc<Self>) {
        let addr = self.settings.vm_list.to_string();
        loop {
            let deadline = clock::now().after(READ_TIMEOUT_MS);
            let read: Result<Vec<Vm>> =
                send::exchange_json(&addr, "GET", "/v1/vms", &(), deadline).await;
            match read {
                Ok(vms) => self.targets.replace(vms),
                Err(e) => log::warn!("the VM list can't be read: {e}"),
            }
            let interval_ms = read_interval_ms(self.targets.list().len());
            clock::sleep_until(clock::now().after(interval_ms)).await;
        }
    }
}

/// Returns the time until the next read of a list with `count` VMs, in milliseconds.
fn read_interval_ms(count: usize) -> u64 {
    let bytes = VM_BYTES.saturating_mul(count as u64);
    let ms = bytes.saturating_mul(SECOND_MS) / READ_BYTES_PER_S;
    ms.clamp(MIN_READ_INTERVAL_MS, MAX_READ_INTERVAL_MS)
}
