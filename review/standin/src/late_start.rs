//! The start of a task gets no answer and is carried out late. Meanwhile its worker is cut off, crashes behind
//! the cut and starts again, so that the late start reaches its next process.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use platform_standin::store::Store;
use platform_standin::worker::Worker;
use serde_json::{Value, json};
use standin::http::{Request, Server, answer, serve};

use crate::overlap::find_overlap;
use crate::world::{Entry, POOL, Record, World, job, submit};
use crate::{Verdict, http};

const DAEMONS: usize = 3;
/// One of seven workers is cut off: a share of 0.143.
const WORKERS: usize = 6;
const CUT_WORKER: &str = "i-cut";
const CUT_RACK: &str = "rack-cut";
/// How long the worker has been up before the job comes.
const UP: Duration = Duration::from_secs(12);
/// How long the task runs, in milliseconds.
const RUN_MS: u64 = 8_000;
/// How late the start is carried out, and how long the worker is cut off.
const LATE: Duration = Duration::from_millis(4_500);
const CUT: Duration = Duration::from_millis(5_500);
/// How long after the start the cut begins.
const CUT_DELAY: Duration = Duration::from_millis(300);
/// When the worker crashes, and when its registry entry is removed (three heartbeats of 1,500 ms), after the
/// cut begins.
const CRASH: Duration = Duration::from_millis(500);
const EXPIRY: Duration = Duration::from_millis(4_500);
/// The pause between two other small jobs, which keep the share of late orders low.
const OTHERS_GAP: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Link {
    /// Whether the next start is lost, and the worker cut off soon after.
    armed: bool,
    /// When the cut begins.
    cut_at: Option<Instant>,
    late_start: Option<Vec<u8>>,
}

impl Link {
    fn is_cut(&self) -> bool {
        let now = Instant::now();
        self.cut_at.is_some_and(|at| at <= now && now < at + CUT)
    }
}

/// Passes orders on to the worker unless it is cut off.
fn pass(worker: SocketAddr, link: &Mutex<Link>, record: &Record, request: Request) {
    let (url, body) = (request.url().to_owned(), request.body().to_vec());
    let lost = {
        let mut link = link.lock().expect("no panic");
        let lost = link.armed && url == "/run-start";
        if lost {
            link.armed = false;
            link.cut_at = Some(Instant::now() + CUT_DELAY);
            link.late_start = Some(body.clone());
            let text = String::from_utf8_lossy(&body).into_owned();
            record.note(&format!(
                "{CUT_WORKER} leaves {url} {text} without an answer"
            ));
        }
        lost || link.is_cut()
    };
    if lost {
        std::thread::sleep(CUT);
        return;
    }
    let headers = [("Host", "worker"), ("Content-Type", "application/json")];
    let limit = Duration::from_secs(5);
    let response = http::send(worker, "POST", &url, &headers, &body, limit);
    if link.lock().expect("no panic").is_cut() {
        std::thread::sleep(CUT);
        return;
    }
    if let Some(r) = response {
        answer(
            request,
            r.status,
            &[("content-type", "application/json")],
            r.body,
        );
    }
}

fn near(run_ms: u64) -> Value {
    json!({"spec": format!("run_ms={run_ms}"), "steps": [{
        "count": 1, "cpu": 500, "mem_mb": 256, "gpu": 1, "estimate_ms": run_ms, "affinity": CUT_RACK,
    }]})
}

pub fn run(daemon: &Path, folder: &Path, trouble: bool) -> Verdict {
    let Some(mut world) = World::start(daemon, folder, DAEMONS, WORKERS) else {
        return Verdict::NotRun;
    };
    // The worker registers in a store of its own; what the daemons see of it is written here.
    let private = Store::default();
    let Ok(worker) = Worker::start(&private, CUT_WORKER, POOL, CUT_RACK) else {
        return Verdict::NotRun;
    };
    let Some(target) = world.registered(&private, CUT_WORKER) else {
        return Verdict::NotRun;
    };
    let link: Arc<Mutex<Link>> = Arc::default();
    let (own, record) = (Arc::clone(&link), Arc::clone(&world.record));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let served: std::io::Result<Server> =
        serve(any, move |request| pass(target, &own, &record, request));
    let Ok(served) = served else {
        return Verdict::NotRun;
    };
    let entry = |started_at: u64, seq: u64| Entry {
        name: CUT_WORKER.to_owned(),
        addr: served.addr,
        rack: CUT_RACK.to_owned(),
        state: "ready",
        started_at,
        seq,
    };
    world.register(&entry(1_000, 1));
    let (stop, others) = (Arc::new(AtomicBool::new(false)), Arc::clone(&world.record));
    let (stopped, front) = (Arc::clone(&stop), world.fronts[1]);
    let traffic = std::thread::spawn(move || {
        let mut number = 0u64;
        while !stopped.load(Ordering::Relaxed) {
            number += 1;
            submit(
                &others,
                front,
                &format!("0dd0{number:012x}"),
                &job(300, 1, ""),
            );
            std::thread::sleep(OTHERS_GAP);
        }
    });
    std::thread::sleep(UP);
    link.lock().expect("no panic").armed = trouble;
    let id = "00000000000000e1";
    let sent = submit(&world.record, world.fronts[0], id, &near(RUN_MS));
    if sent.is_none_or(|r| r.status != 200) {
        return Verdict::NotRun;
    }
    if trouble {
        let end = Instant::now() + Duration::from_secs(5);
        let cut_at = loop {
            if let Some(at) = link.lock().expect("no panic").cut_at {
                break at;
            }
            if Instant::now() > end {
                world.record.note(&format!("{CUT_WORKER} got no start"));
                return Verdict::NotRun;
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        let wait = |after: Duration| {
            std::thread::sleep((cut_at + after).saturating_duration_since(Instant::now()));
        };
        wait(Duration::ZERO);
        world.record.note(&format!("{CUT_WORKER} is cut off"));
        wait(CRASH);
        worker.restart();
        world.record.note(&format!(
            "{CUT_WORKER} crashes and starts again behind the cut"
        ));
        wait(EXPIRY);
        world.unregister(CUT_WORKER);
        wait(LATE);
        let body = link
            .lock()
            .expect("no panic")
            .late_start
            .take()
            .unwrap_or_default();
        let headers = [("Host", "worker"), ("Content-Type", "application/json")];
        let limit = Duration::from_secs(2);
        let late = http::send(target, "POST", "/run-start", &headers, &body, limit);
        let status = late.map_or(0, |r| r.status);
        world.record.note(&format!(
            "the late start is carried out by {CUT_WORKER}: status {status}"
        ));
        wait(CUT);
        world.register(&entry(2_000, 1));
        world.record.note(&format!("{CUT_WORKER} is reached again"));
    }
    std::thread::sleep(Duration::from_millis(RUN_MS + 4_000));
    stop.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    world.workers.push(worker);
    let runs = world.runs();
    world.note_runs();
    match find_overlap(&runs) {
        Some(text) => {
            world.record.note(&format!(
                "TWICE broken: {text} (i-{WORKERS} is {CUT_WORKER})"
            ));
            Verdict::Broken
        }
        None if runs.is_empty() => Verdict::NotRun,
        None => {
            world.record.note("TWICE held");
            Verdict::Held
        }
    }
}
