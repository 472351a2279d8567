//! Tests of when the owner's engine is due to check what no event reports.

#[path = "batch/world.rs"]
#[expect(dead_code, reason = "the simulation serves several test files")]
mod simulation;

use marigoldglade::batch::engine::Event;
use simulation::Simulation;

/// Guards against runs of silent workers that are never given up: each event put the next tick off, so an
/// owner that got events more often than ticks were due had none.
#[test]
fn events_put_no_tick_off() {
    let mut sim = Simulation::new(102, 1, 1);
    let owner = sim.newest_owner();
    sim.run_for(1_000);
    let due = sim.owners[owner].engine.next_tick();
    sim.now += 10;
    sim.deliver(owner, Event::Heartbeats(Vec::new()));
    assert!(sim.owners[owner].engine.next_tick() <= due);
}
