//! Jobs come while the backlog is too long for them and answers of the store are lost.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::store_proxy::Random;
use crate::world::{World, job, submit};

const DAEMONS: usize = 6;
const WORKERS: usize = 2;
/// How long jobs come, and how long the workers are watched after that.
const TRAFFIC: Duration = Duration::from_secs(60);
const AFTER: Duration = Duration::from_secs(30);
/// The pause between two short jobs.
const GAP: Duration = Duration::from_millis(200);
/// The pause between two long jobs, which keep the backlog long.
const LONG_GAP: Duration = Duration::from_secs(4);
/// How long answers are lost, and the pause after that.
const LOST: Duration = Duration::from_millis(4_500);
const CALM: Duration = Duration::from_millis(500);
/// The share of writes whose answers are lost, in percent.
const LOST_PERCENT: u64 = 35;
/// How long a caller waits for its job to be accepted.
const PATIENCE: Duration = Duration::from_millis(3_000);
const ATTEMPTS: usize = 5;

pub fn run(daemon: &Path, folder: &Path, trouble: bool) -> Verdict {
    let Some(world) = World::start(daemon, folder, DAEMONS, WORKERS) else {
        return Verdict::NotRun;
    };
    for i in 0..12u64 {
        let id = format!("aaaa{i:012x}");
        submit(&world.record, world.fronts[0], &id, &job(5_000, 10, ""));
    }
    // The statuses of all attempts of each short job; zero for no answer.
    let answers: Arc<Mutex<BTreeMap<String, Vec<u16>>>> = Arc::default();
    let end = Instant::now() + TRAFFIC;
    let mut random = Random::new(u64::from(std::process::id()) * 7_919);
    let mut switch_at = Instant::now() + Duration::from_secs(2);
    let mut long_at = Instant::now() + LONG_GAP;
    let (mut losing, mut number) = (false, 0u64);
    while Instant::now() < end {
        if trouble && Instant::now() >= switch_at {
            losing = !losing;
            for proxy in &world.proxies {
                proxy.set_late_percent(if losing { LOST_PERCENT } else { 0 });
            }
            switch_at = Instant::now() + if losing { LOST } else { CALM };
            let text = if losing {
                "the store loses answers"
            } else {
                "the store loses no answers"
            };
            world.record.note(text);
        }
        number += 1;
        let (record, fronts) = (Arc::clone(&world.record), world.fronts.clone());
        let first = usize::try_from(random.below(6)).unwrap_or(0);
        if Instant::now() >= long_at {
            long_at = Instant::now() + LONG_GAP;
            let (record, front) = (Arc::clone(&record), fronts[first]);
            let id = format!("bbbb{number:012x}");
            std::thread::spawn(move || submit(&record, front, &id, &job(5_000, 12, "")));
        }
        let answers = Arc::clone(&answers);
        std::thread::spawn(move || {
            let id = format!("{number:016x}");
            let patient_until = Instant::now() + PATIENCE;
            for i in 0..ATTEMPTS {
                let front = fronts[(first + i) % fronts.len()];
                let response = submit(&record, front, &id, &job(300, 1, ""));
                let status = response.as_ref().map_or(0, |r| r.status);
                answers
                    .lock()
                    .expect("no panic")
                    .entry(id.clone())
                    .or_default()
                    .push(status);
                let wait = match response {
                    Some(r) if matches!(r.status, 429 | 503) => r.retry_after_s.unwrap_or(1),
                    Some(r) if r.status != 502 && r.status != 504 => return,
                    _ => 0,
                };
                if Instant::now() + Duration::from_secs(wait) > patient_until {
                    return;
                }
                std::thread::sleep(Duration::from_secs(wait));
            }
        });
        std::thread::sleep(GAP);
    }
    for proxy in &world.proxies {
        proxy.set_late_percent(0);
    }
    world.record.note("the traffic has ended");
    std::thread::sleep(AFTER);
    world.note_runs();
    let started: BTreeSet<String> = world
        .runs()
        .iter()
        .map(|r| r.task.job.as_str().to_owned())
        .collect();
    let answers = answers.lock().expect("no panic");
    let rejected = |s: &[u16]| s.iter().all(|s| matches!(s, 429 | 503));
    let refused: Vec<&String> = answers
        .iter()
        .filter(|(_, s)| rejected(s))
        .map(|(id, _)| id)
        .collect();
    let broken: Vec<&&String> = refused.iter().filter(|id| started.contains(**id)).collect();
    let summary = format!(
        "{} short jobs, {} with all attempts rejected, {} of these ran: {broken:?}",
        answers.len(),
        refused.len(),
        broken.len()
    );
    let lost: Vec<(u64, u64)> = world.proxies.iter().map(|p| p.lost_writes()).collect();
    world.record.note(&format!(
        "writes lost of those sent during the loss, by daemon: {lost:?}"
    ));
    if started.is_empty() {
        return Verdict::NotRun;
    }
    if broken.is_empty() {
        world.record.note(&format!("REFUSED held: {summary}"));
        Verdict::Held
    } else {
        world.record.note(&format!("REFUSED broken: {summary}"));
        Verdict::Broken
    }
}
