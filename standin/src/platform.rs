//! A complete stand-in platform in one process: key-value service, VM list, runners and workers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use marigoldglade::api::WORKER_ACCELS;
use marigoldglade::label::Labels;
use marigoldglade::wire::{Role, Vm};

use crate::http::Server;
use crate::vms::VmList;
use crate::worker::Worker;
use crate::{kv, runner, vms, worker};

/// The number of workers in a rack.
pub const RACK_WORKERS: usize = 8;

/// The size of a platform.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// The number of runners.
    pub runners: usize,
    /// The number of workers, with [`RACK_WORKERS`] in each rack.
    pub workers: usize,
    /// The time that a runner takes for a request, in milliseconds.
    pub work_ms: u64,
}

/// A platform that runs until it is dropped.
pub struct Platform {
    /// The key-value service.
    pub store: Server,
    /// The server of the VM list.
    pub vm_list: Server,
    /// The VM list, which the caller may change.
    pub vms: VmList,
    /// The runners and workers, in the order of the VM list.
    pub targets: Vec<Server>,
}

impl Platform {
    /// Starts a platform in the data centre `dc`, on ports that the kernel chooses.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub fn start(dc: &str, size: Size) -> std::io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut targets = Vec::new();
        let mut list = Vec::new();
        for i in 0..size.runners {
            let behaviour = runner::Behaviour {
                work_ms: size.work_ms,
                ..runner::Behaviour::default()
            };
            let served = runner::start(any, behaviour)?;
            let name = format!("runner-{i}");
            list.push(vm(&name, served.addr, Role::Runner, dc, i));
            targets.push(served);
        }
        for i in 0..size.workers {
            let name = format!("worker-{i}");
            let served = worker::start(any, Worker::new(&name, WORKER_ACCELS))?;
            list.push(vm(&name, served.addr, Role::Worker, dc, i));
            targets.push(served);
        }
        let vms = Arc::new(Mutex::new(list));
        Ok(Self {
            store: kv::start(any)?,
            vm_list: vms::start(any, Arc::clone(&vms))?,
            vms,
            targets,
        })
    }
}

fn vm(name: &str, addr: SocketAddr, role: Role, dc: &str, i: usize) -> Vm {
    Vm {
        name: name.to_owned(),
        addr: addr.to_string(),
        role,
        dc: dc.to_owned(),
        rack: format!("{dc}-{}", i / RACK_WORKERS),
        accels: if role == Role::Worker {
            WORKER_ACCELS
        } else {
            0
        },
        slots: if role == Role::Runner { 8 } else { 0 },
        labels: Labels::new(),
        leaving: false,
    }
}
