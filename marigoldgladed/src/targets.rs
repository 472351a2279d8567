//! The platform's VM list: it flows in now and then, the newest copy flows out.

use std::sync::{Arc, PoisonError, RwLock};

use marigoldglade::prelude::*;
use marigoldglade::time::SECOND_MS;
use marigoldglade::wire::Vm;

use crate::app::App;
use crate::{clock, send};

/// How often the VM list is read, in milliseconds.
const READ_INTERVAL_MS: u64 = SECOND_MS;
/// The time that reading the VM list may take, in milliseconds.
const READ_LIMIT_MS: u64 = 2 * SECOND_MS;

/// The VMs as the list showed them last.
pub(crate) struct Targets {
    list: RwLock<Arc<Vec<Vm>>>,
}

impl Targets {
    /// Makes an empty list.
    pub(crate) fn new() -> Self {
        Self {
            list: RwLock::default(),
        }
    }

    /// Returns the newest list.
    pub(crate) fn list(&self) -> Arc<Vec<Vm>> {
        Arc::clone(&self.list.read().unwrap_or_else(PoisonError::into_inner))
    }

    fn replace(&self, vms: Vec<Vm>) {
        *self.list.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(vms);
    }
}

impl App {
    /// Keeps the VM list current until the daemon ends.
    pub(crate) async fn follow_targets(self: Arc<Self>) {
        let addr = self.settings.vm_list.to_string();
        loop {
            let end = clock::now().after(READ_LIMIT_MS);
            let read: Result<Vec<Vm>> = send::json(&addr, "GET", "/v1/vms", &(), end).await;
            match read {
                Ok(vms) => self.targets.replace(vms),
                Err(e) => log::warn!("the VM list can't be read: {e}"),
            }
            clock::sleep_until(clock::now().after(READ_INTERVAL_MS)).await;
        }
    }
}
