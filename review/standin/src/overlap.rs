//! The store turns the owner's machine away again and again, each time for about as long as the owner's lease
//! lasts, while jobs come through all daemons. The machine is often served again just when another daemon
//! has become the owner.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::store_proxy::Random;
use crate::world::{RunSpan, World, job, submit};

const DAEMONS: usize = 6;
const WORKERS: usize = 48;
/// How long jobs come.
const TRAFFIC: Duration = Duration::from_secs(97);
/// The pause between two jobs.
const GAP: Duration = Duration::from_millis(25);
/// How long a task runs, in milliseconds.
const RUN_MS: u64 = 1_200;
/// The shortest time for which the machine is turned away, and by how much it varies, in milliseconds.
const AWAY_MS: u64 = 850;
const AWAY_SPREAD_MS: u64 = 130;
/// How long the store serves all machines between two such times.
const CALM: Duration = Duration::from_millis(400);
/// The shortest overlap that counts, in milliseconds; the workers' ends are noticed 10 ms late.
const OVERLAP_MS: u64 = 50;

pub fn run(daemon: &Path, folder: &Path, trouble: bool) -> Verdict {
    let Some(world) = World::start(daemon, folder, DAEMONS, WORKERS) else {
        return Verdict::NotRun;
    };
    let end = Instant::now() + TRAFFIC;
    let mut random = Random::new(u64::from(std::process::id()) * 7_919);
    let mut switch_at = Instant::now() + Duration::from_secs(1);
    let mut turned_away: Option<usize> = None;
    let (mut number, mut times) = (0u64, 0u64);
    while Instant::now() < end {
        if trouble && Instant::now() >= switch_at {
            if let Some(owner) = turned_away.take() {
                world.proxies[owner].set_rejects(false);
                world
                    .record
                    .note(&format!("the store serves edge-{owner} again"));
                switch_at = Instant::now() + CALM;
                if find_overlap(&world.runs()).is_some() {
                    break;
                }
            } else if let Some(owner) = world.owner() {
                world.proxies[owner].set_rejects(true);
                world
                    .record
                    .note(&format!("the store turns edge-{owner}, the owner, away"));
                turned_away = Some(owner);
                times += 1;
                let ms = AWAY_MS + random.below(AWAY_SPREAD_MS);
                switch_at = Instant::now() + Duration::from_millis(ms);
            }
        }
        number += 1;
        let (record, fronts) = (Arc::clone(&world.record), world.fronts.clone());
        let first = random.below(u64::try_from(DAEMONS).unwrap_or(1));
        std::thread::spawn(move || {
            let id = format!("{number:016x}");
            // What wasn't answered with a success or a refusal is sent again.
            for i in 0..4 {
                let front = fronts[(usize::try_from(first).unwrap_or(0) + i) % fronts.len()];
                match submit(&record, front, &id, &job(RUN_MS, 1, "")) {
                    Some(r) if r.status != 502 && r.status != 504 => return,
                    _ => {}
                }
            }
        });
        std::thread::sleep(GAP);
    }
    for proxy in &world.proxies {
        proxy.set_rejects(false);
    }
    std::thread::sleep(Duration::from_secs(3));
    let runs = world.runs();
    let broken = find_overlap(&runs);
    world.note_runs();
    let total = format!(
        "{} runs, the owner's machine was turned away {times} times",
        runs.len()
    );
    match broken {
        Some(text) => {
            world.record.note(&format!("TWICE broken: {text}; {total}"));
            Verdict::Broken
        }
        None if runs.is_empty() => Verdict::NotRun,
        None => {
            world.record.note(&format!("TWICE held: {total}"));
            Verdict::Held
        }
    }
}

/// Returns two runs of one task that went on at the same time.
pub fn find_overlap(runs: &[RunSpan]) -> Option<String> {
    let end = |r: &RunSpan| r.ended.map_or(u64::MAX, |(at, _)| at);
    for (i, a) in runs.iter().enumerate() {
        for b in runs[i + 1..].iter().filter(|b| b.task == a.task) {
            let (from, to) = (a.began_ms.max(b.began_ms), end(a).min(end(b)));
            if from + OVERLAP_MS < to {
                return Some(format!(
                    "{}: run {} on i-{} from {} ms to {} ms, run {} on i-{} from {} ms to {} ms",
                    a.task,
                    a.run,
                    a.worker,
                    a.began_ms,
                    end(a),
                    b.run,
                    b.worker,
                    b.began_ms,
                    end(b)
                ));
            }
        }
    }
    None
}
