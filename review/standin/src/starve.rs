//! Half of the workers leave, one after the other. After that each of the others runs one small task, gangs
//! wait for whole workers, and a small job comes.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::Verdict;
use crate::world::{World, job, submit, submit_to};

const DAEMONS: usize = 3;
/// Each worker has eight accelerators and stands in a rack of its own.
const WORKERS: usize = 14;
/// How many workers leave; each one is a fourteenth of the fleet.
const LEAVING: usize = 7;
/// How long a worker that leaves is shown as draining.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long the small tasks run that occupy the workers, in milliseconds.
const LONG_MS: u64 = 60_000;
/// How long after the end of the traffic the jobs are looked at, and for how long.
const FINISH: Duration = Duration::from_secs(14);
const LOOK: Duration = Duration::from_secs(3);

/// Returns a gang that takes a whole worker.
fn gang() -> Value {
    json!({"spec": "run_ms=1000", "steps": [{
        "count": 2, "cpu": 500, "mem_mb": 256, "gpu": 4, "estimate_ms": 1000, "gang": true, "same_rack": true,
    }]})
}

fn accept(world: &World, id: &str, job: &Value) -> bool {
    submit(&world.record, world.fronts[0], id, job).is_some_and(|r| r.status == 200)
}

pub fn run(daemon: &Path, folder: &Path, trouble: bool) -> Verdict {
    let Some(mut world) = World::start(daemon, folder, DAEMONS, WORKERS) else {
        return Verdict::NotRun;
    };
    if trouble {
        for i in (WORKERS - LEAVING..WORKERS).rev() {
            world
                .record
                .note(&format!("worker i-{i} drains and leaves"));
            world.drain(i);
            std::thread::sleep(DRAIN);
            world.remove_last_worker();
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    for i in 0..WORKERS - LEAVING {
        let label = format!("rack-{i}");
        if !accept(&world, &format!("1000{i:012x}"), &job(LONG_MS, 1, &label)) {
            return Verdict::NotRun;
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    for i in 0..WORKERS - LEAVING {
        if !accept(&world, &format!("2000{i:012x}"), &gang()) {
            return Verdict::NotRun;
        }
    }
    std::thread::sleep(Duration::from_secs(3));
    let small = "3000000000000000";
    let sent = submit_to(
        "survey",
        &world.record,
        world.fronts[0],
        small,
        &job(300, 1, ""),
    );
    if sent.is_none_or(|r| r.status != 200) {
        return Verdict::NotRun;
    }
    world.record.note("the traffic has ended");
    let began = |world: &World| {
        let runs = world.runs();
        runs.iter().any(|r| r.task.job.as_str() == small)
    };
    let end = Instant::now() + FINISH + LOOK;
    while Instant::now() < end && !began(&world) {
        std::thread::sleep(Duration::from_millis(50));
    }
    let held = began(&world);
    world.note_runs();
    let open = world.runs().iter().filter(|r| r.ended.is_none()).count();
    let (accels, taken) = (8 * world.workers.len(), open);
    let fleet = format!(
        "{taken} of {accels} accelerators of {} workers are in use",
        world.workers.len()
    );
    if held {
        world
            .record
            .note(&format!("LOST held: job {small} has run; {fleet}"));
        Verdict::Held
    } else if open == WORKERS - LEAVING {
        world.record.note(&format!(
            "LOST broken: job {small} needs one accelerator and hasn't begun 17 s after the end of the traffic; {fleet}"
        ));
        Verdict::Broken
    } else {
        world.record.note(&format!(
            "job {small} hasn't begun, but the workers aren't in the expected state; {fleet}"
        ));
        Verdict::NotRun
    }
}
