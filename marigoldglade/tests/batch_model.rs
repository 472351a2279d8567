//! Explores all orders of faults in a small system: the store is lost and returns, owners are
//! replaced while the former one acts on, registry entries disappear, and a worker is silent or
//! restarts, while runs end and their completions wait to become durable.
//!
//! The simulation checks the guarantees at each step: no task has two runs at a time or starts again
//! after an acknowledged completion, and a completion is acknowledged only once it is durable. At the
//! end every accepted job must be done. `MODEL_DEPTH=5` explores longer sequences than the short run.

#[path = "batch/world.rs"]
#[expect(dead_code, reason = "the simulation serves several test files")]
mod simulation;

use marigoldglade::batch::messages::{JobStatus, Reply};
use simulation::{Simulation, spec, step};

/// The length of the sequences in the short run.
const DEPTH: u32 = 4;
/// The number of jobs. Each commit holds one record, so that their completions become durable one
/// after the other.
const JOBS: u64 = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The store takes no commits from here on.
    StoreLost,
    /// The store takes commits again, for so short that not all records are written.
    StoreBackBriefly,
    /// The store takes commits again.
    StoreBack,
    /// The registry loses the entries of all workers but one.
    EntriesLost,
    /// All entries are back.
    EntriesBack,
    /// The owner's process ends, and another daemon becomes the owner.
    OwnerKilled,
    /// Another daemon becomes the owner, and the former one acts on until something fences it.
    OwnerReplaced,
    /// No messages reach a worker for some time.
    WorkerSilent,
    /// A worker's process restarts.
    WorkerRestarts,
    /// Time passes in which runs end.
    RunsEnd,
}

const STEPS: [Step; 10] = [
    Step::StoreLost,
    Step::StoreBackBriefly,
    Step::StoreBack,
    Step::EntriesLost,
    Step::EntriesBack,
    Step::OwnerKilled,
    Step::OwnerReplaced,
    Step::WorkerSilent,
    Step::WorkerRestarts,
    Step::RunsEnd,
];

fn apply(sim: &mut Simulation, step: Step) {
    let owner = sim.newest_owner();
    match step {
        Step::StoreLost => sim.store_down = true,
        Step::StoreBackBriefly => {
            sim.store_down = false;
            let before = sim.seq;
            for _ in 0..300 {
                if sim.seq != before {
                    break;
                }
                sim.run_for(1);
            }
            sim.store_down = true;
        }
        Step::StoreBack => sim.store_down = false,
        Step::EntriesLost => {
            sim.listed.retain(|name| name == "worker-0-0");
            sim.send_registry(owner);
        }
        Step::EntriesBack => {
            sim.listed = sim.workers.keys().cloned().collect();
            sim.send_registry(owner);
        }
        Step::OwnerKilled => {
            sim.kill_newest_owner();
            sim.predecessors_ended = true;
            sim.elect();
        }
        Step::OwnerReplaced => {
            sim.predecessors_ended = false;
            sim.elect();
        }
        Step::WorkerSilent => {
            let silent = |sim: &mut Simulation, on| {
                let worker = sim.workers.get_mut("worker-0-1").expect("known worker");
                worker.unreachable = on;
            };
            silent(sim, true);
            sim.run_for(900);
            silent(sim, false);
        }
        Step::WorkerRestarts => {
            let now = sim.now;
            let worker = sim.workers.get_mut("worker-0-2").expect("known worker");
            worker.restart(now);
            sim.run_for(100);
            let owner = sim.newest_owner();
            sim.send_registry(owner);
        }
        Step::RunsEnd => sim.run_for(700),
    }
    sim.run_for(150);
}

/// Plays one sequence; the simulation panics when a guarantee is broken.
fn play(steps: &[Step]) {
    let mut sim = Simulation::new(1, 1, 3);
    sim.bounds.commit_entries = 1;
    sim.kill_newest_owner();
    sim.predecessors_ended = true;
    sim.elect();
    sim.run_for(100);
    let calls: Vec<u64> = (0..JOBS)
        .map(|n| sim.submit(n, "sweep", "w0", spec(vec![step(1, 8, 600)]), 600))
        .collect();
    sim.run_for(400);
    for step in steps {
        apply(&mut sim, *step);
    }
    // The system is calm from here on; registry entries come back last.
    sim.store_down = false;
    sim.run_for(1_500);
    sim.listed = sim.workers.keys().cloned().collect();
    let newest = sim.newest_owner();
    if !sim.owners[newest].alive {
        sim.predecessors_ended = false;
        sim.elect();
    }
    let owner = sim.newest_owner();
    sim.send_registry(owner);
    sim.run_for(25_000);
    for (n, call) in (0..).zip(calls) {
        if sim.replies.get(&call) == Some(&Reply::Accepted) {
            let status = sim.status(n);
            assert_eq!(status, Some(JobStatus::Done), "job {n} after {steps:?}");
        }
    }
}

#[test]
fn guarantees_hold_in_all_orders_of_faults() {
    let depth = std::env::var("MODEL_DEPTH").ok();
    let depth = depth.and_then(|d| d.parse().ok()).unwrap_or(DEPTH);
    let all = STEPS.len().pow(depth);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let explore = |first: usize| {
        for number in (first..all).step_by(threads) {
            let mut rest = number;
            let steps: Vec<Step> = (0..depth)
                .map(|_| {
                    let step = STEPS[rest % STEPS.len()];
                    rest /= STEPS.len();
                    step
                })
                .collect();
            let played = std::panic::catch_unwind(|| play(&steps));
            assert!(played.is_ok(), "a guarantee was broken by {steps:?}");
        }
    };
    std::thread::scope(|scope| {
        for first in 0..threads {
            scope.spawn(move || explore(first));
        }
    });
}
