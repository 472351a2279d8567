//! Tests of the owner's engine with odd workers, as another writer of the registry may leave them.

#[path = "batch/world.rs"]
#[expect(dead_code, reason = "the simulation serves several test files")]
mod simulation;

use marigoldglade::batch::worker::{Resources, Target};
use rstest::rstest;
use simulation::{Simulation, spec, step};
use standin::batch_worker::SimWorker;

/// Adds a worker to the registry that no order reaches.
fn list_phantom(sim: &mut Simulation, change: impl FnOnce(&mut Target)) {
    let mut target = sim.workers["worker-0-0"].target.clone();
    target.name = "worker-0-odd".to_owned();
    target.addr = ([127, 0, 0, 1], 1).into();
    change(&mut target);
    let name = target.name.clone();
    let mut worker = SimWorker::new(target, sim.now);
    worker.unreachable = true;
    sim.workers.insert(name.clone(), worker);
    sim.listed.insert(name);
    let owner = sim.newest_owner();
    sim.send_registry(owner);
}

/// A capacity near 2^64 overflowed the sum of all cores, and the owner's process ended.
#[rstest]
fn a_huge_capacity_neither_overflows_nor_takes_work(
    #[values(1 << 32, 1 << 61, u64::MAX - 1, u64::MAX)] figure: u64,
) {
    let mut sim = Simulation::new(51, 1, 2);
    list_phantom(&mut sim, |target| {
        target.capacity = Resources {
            cpu: figure,
            mem: figure,
            accels: figure,
        };
    });
    for n in 0..6 {
        sim.submit(n, "sweep", "w0", spec(vec![step(4, 2, 900)]), 900);
    }
    sim.run_for(6_000);
    assert!(sim.all_done(0..6));
    sim.kill_newest_owner();
    sim.elect();
    sim.submit(6, "urgent", "w0", spec(vec![step(4, 2, 900)]), 900);
    sim.run_for(3_000);
    assert!(sim.all_done(6..7));
}
