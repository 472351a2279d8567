//! One of seven workers goes down and up by turns while a job runs there that no other worker may run.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::Verdict;
use crate::world::{World, call, job, submit};
use marigoldglade::batch::worker::Outcome;

const DAEMONS: usize = 3;
const WORKERS: usize = 7;
/// How long the task runs, in milliseconds.
const RUN_MS: u64 = 8_000;
/// How often the worker restarts.
const RESTARTS: usize = 5;
/// How long the task has run before the worker restarts.
const UP: Duration = Duration::from_secs(4);
/// The longest time until the job has ended.
const LIMIT: Duration = Duration::from_secs(60);

pub fn run(daemon: &Path, folder: &Path, trouble: bool) -> Verdict {
    let Some(world) = World::start(daemon, folder, DAEMONS, WORKERS) else {
        return Verdict::NotRun;
    };
    let id = "00000000000000c1";
    let accepted = submit(
        &world.record,
        world.fronts[0],
        id,
        &job(RUN_MS, 1, "rack-2"),
    );
    if accepted.is_none_or(|r| r.status != 200) {
        return Verdict::NotRun;
    }
    let end = Instant::now() + LIMIT;
    let mut restarts = 0;
    let mut restart_at = Instant::now() + UP;
    let mut state = String::new();
    while Instant::now() < end {
        if trouble && restarts < RESTARTS && Instant::now() >= restart_at {
            restarts += 1;
            restart_at = Instant::now() + UP;
            world.record.note(&format!(
                "worker i-2 crashes and starts again, time {restarts}"
            ));
            world.workers[2].restart();
        }
        let answer = call(world.fronts[1], "GET", &format!("/sweep/{id}"), b"");
        let body: Value = answer
            .and_then(|r| serde_json::from_slice(&r.body).ok())
            .unwrap_or_default();
        let shown = body["state"].as_str().unwrap_or("no state").to_owned();
        if shown != state {
            world.record.note(&format!("the job is shown as {shown}"));
            state = shown;
        }
        if matches!(state.as_str(), "completed" | "failed" | "canceled") {
            break;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    world.note_runs();
    let failed = |how: Outcome| how == Outcome::Failed;
    let fails = world
        .runs()
        .iter()
        .filter(|r| r.ended.is_some_and(|(_, how)| failed(how)))
        .count();
    match state.as_str() {
        "failed" | "canceled" if fails == 0 => {
            world.record.note(&format!(
                "LOST broken: the job is shown as {state}, none of its runs has ended failed and nobody cancelled it"
            ));
            Verdict::Broken
        }
        "completed" => {
            world.record.note("LOST held: the job is completed");
            Verdict::Held
        }
        _ => {
            world.record.note(&format!(
                "the job is {state} at the end; {fails} runs failed"
            ));
            Verdict::NotRun
        }
    }
}
