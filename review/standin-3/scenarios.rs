//! The scenarios. Each returns 0 if the rule held, 1 if it was broken.

use std::thread;
use std::time::Duration;

use crate::runner::unix_ms;
use crate::world::{step, Span, World};

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn tasks(id: &str, round: u32, count: u32) -> Vec<String> {
    (0..count).map(|i| format!("{id}.{round}.0.{i}")).collect()
}

/// Says whether a task that lasts was away in breach of LOST: for 3 s, from 6 s after its last run, with these 3 s and
/// the 4 s before them calm. Returns the length of the absence.
fn away(w: &World, task: &str, spans: &[Span], until: u64) -> Option<u64> {
    for (i, span) in spans.iter().enumerate() {
        let next = spans.get(i + 1).map_or(until, |s| s.from);
        // The latest time of which a run is known to have gone on before it.
        if span.to == u64::MAX || spans.iter().any(|s| s.from <= span.to && s.to > span.to) {
            continue;
        }
        let mut from = span.to + 6_000;
        loop {
            let near = |(a, b, _): &&(u64, u64, String)| *a < from + 3_000 && *b + 4_000 > from;
            match w.disruptions.iter().find(near) {
                Some((_, end, _)) => from = (end + 4_000).max(from + 1),
                None => break,
            }
        }
        w.note(&format!(
            "judge: {task} run {} ended {} at {}, next run {} ms later, calm from 6 s on until then: {} ms",
            span.run, span.how, span.to, next.saturating_sub(span.to), next.saturating_sub(from)
        ));
        if next >= from + 3_000 {
            return Some(next - span.to);
        }
    }
    None
}

fn verdict(w: &World, broken: bool, text: &str) -> i32 {
    let result = if broken { "BROKEN" } else { "held" };
    w.note(&format!("result: {result}: {text}"));
    println!("{result}: {text}");
    w.copy_logs();
    i32::from(broken)
}

/// A queue is moved to another service, as its own is full, and the daemons are stopped and started in turn before a
/// job of the queue is due.
fn moved_queue(w: &mut World) -> i32 {
    for i in 0..2 {
        w.add_runner(&format!("i-a{i}"), "svc-a", "a,r1-1", 8);
    }
    for i in 0..4 {
        w.add_runner(&format!("i-b{i}"), "svc-b", "a,r1-2", 8);
    }
    w.configure(
        3,
        &[("bulk", 1, "svc-a"), ("watch", 1, "svc-a")],
        &["svc-a", "svc-b"],
    );
    w.add_daemons(3);
    w.wait_ready();
    w.wait(10, "the runners are registered", || {
        w.store.keys("servers/").len() == 6
    });
    let (bulk, timed) = ("5c0e7a21d94b36f8", "77aa7a21d94b36f9");
    let due = unix_ms() + 25_000;
    assert!(w.submit(
        "bulk",
        bulk,
        "lasts gpu=1",
        &step(16, 5_000, r#","long_running":true"#),
        ""
    ));
    let when = format!(r#","start_at_ms":{due},"interval_ms":60000,"repeat_count":1"#);
    assert!(w.submit(
        "watch",
        timed,
        "run_ms=1000 gpu=1",
        &step(4, 1_000, ""),
        &when
    ));
    w.wait(10, "svc-a is full", || w.running(&tasks(bulk, 0, 16)) == 16);
    w.configure(
        7,
        &[("bulk", 1, "svc-a"), ("watch", 1, "svc-b")],
        &["svc-a", "svc-b"],
    );
    sleep(5_000);
    if w.trouble {
        let from = unix_ms();
        for i in 0..3 {
            w.roll_daemon(i);
        }
        w.wait_ready();
        w.disruptions
            .push((from, unix_ms(), "roll_term".to_owned()));
    }
    // The traffic ends here; 14 s later the jobs are asked for.
    while unix_ms() < due + 15_000 {
        sleep(500);
    }
    let begun: Vec<u64> = tasks(timed, 0, 4)
        .iter()
        .filter_map(|t| w.spans(t).first().map(|s| s.from))
        .collect();
    let state = w.state("watch", timed);
    let broken = begun.is_empty() && state != "completed";
    let text = format!(
        "{} of 4 tasks of {timed} have begun {} ms after it was due, GET: {state}; svc-b, to which its queue goes, has 32 accelerators, all free",
        begun.len(), unix_ms() - due
    );
    verdict(w, broken, &text)
}

/// A runner is cut off for 5.5 s, and a task that lasts is started on it before that is noticed.
fn cut_runner(w: &mut World) -> i32 {
    for i in 0..7 {
        w.add_runner(&format!("i-a{i}"), "svc-a", "a,r1-1", 8);
    }
    w.configure(3, &[("watch", 1, "svc-a")], &["svc-a"]);
    w.add_daemons(3);
    w.wait_ready();
    w.wait(10, "the runners are registered", || {
        w.store.keys("servers/").len() == 7
    });
    let id = "5c0e7a21d94b36f8";
    let more = r#","long_running":true,"max_per_server":1"#;
    assert!(w.submit("watch", id, "lasts gpu=1", &step(4, 5_000, more), ""));
    let all = tasks(id, 0, 4);
    w.wait(10, "the tasks run", || w.running(&all) == 4);
    // The eighth is the smallest, so the next task goes there first.
    let small = w.add_runner_behind_proxy("i-small", "svc-a", "a,r1-1", 2);
    w.wait(10, "the runner is registered", || {
        w.store.has("servers/i-small")
    });
    // Short jobs, so that the owner has used all runners.
    for n in 0..6 {
        assert!(w.submit(
            "watch",
            &format!("{n:016x}"),
            "run_ms=300 gpu=1",
            &step(8, 300, r#","max_per_server":1"#),
            ""
        ));
        sleep(700);
    }
    sleep(1_500);
    let from = unix_ms();
    if w.trouble {
        w.cut_runner(small, true);
        w.disruptions
            .push((from, from + 5_500, "node_cut".to_owned()));
        sleep(200);
    }
    // A task that lasts may fail at any time.
    let place = w
        .spans(&all[0])
        .last()
        .map(|s| s.runner.clone())
        .unwrap_or_default();
    let i = w
        .runners
        .iter()
        .position(|r| r.options.id == place)
        .unwrap_or(0);
    w.tell_runner(i, &format!("/test/fail?task={}", all[0]));
    sleep((from + 5_500).saturating_sub(unix_ms()));
    w.cut_runner(small, false);
    sleep(24_000);
    let gone = away(w, &all[0], &w.spans(&all[0]), unix_ms());
    let text = format!(
        "{} was away for {} ms with four runners of eight accelerators idle; GET: {}",
        all[0],
        gone.unwrap_or(0),
        w.state("watch", id)
    );
    verdict(w, gone.is_some(), &text)
}

/// A runner restarts once under its id; tasks that last need it.
fn restarted_runner(w: &mut World) -> i32 {
    for i in 0..9 {
        w.add_runner(&format!("i-a{i}"), "svc-a", "a,r1-1", 8);
    }
    let special = w.add_runner("i-b0", "svc-a", "b,r1-2", 8);
    w.configure(
        3,
        &[("watch", 1, "svc-a"), ("checks", 0, "svc-a")],
        &["svc-a"],
    );
    w.add_daemons(3);
    w.wait_ready();
    w.wait(10, "the runners are registered", || {
        w.store.keys("servers/").len() == 10
    });
    let id = "5c0e7a21d94b36f8";
    assert!(w.submit(
        "watch",
        id,
        "lasts gpu=1",
        &step(2, 5_000, r#","long_running":true,"requirements":"b""#),
        ""
    ));
    let all = tasks(id, 0, 2);
    w.wait(10, "the tasks run", || w.running(&all) == 2);
    for n in 0..16 {
        let id = format!("{n:016x}");
        assert!(w.submit(
            "checks",
            &id,
            "run_ms=400 gpu=1",
            &step(1, 400, r#","requirements":"b""#),
            ""
        ));
        sleep(250);
    }
    if w.trouble {
        let at = unix_ms();
        w.kill_runner(special);
        sleep(1_000);
        w.start_runner(special);
        w.wait(5, "the runner is registered again", || {
            w.running(&all) == 0 && w.store.has("servers/i-b0")
        });
        w.disruptions
            .push((at, unix_ms(), "a runner restarts under its id".to_owned()));
    }
    sleep(22_000);
    let until = unix_ms();
    let mut broken = Vec::new();
    for task in &all {
        if let Some(ms) = away(w, task, &w.spans(task), until) {
            broken.push(format!("{task} was away for {ms} ms"));
        }
    }
    let text = format!(
        "{}; its runner was back after 1 s with 8 accelerators free; GET: {}",
        broken.join("; "),
        w.state("watch", id)
    );
    verdict(w, !broken.is_empty(), &text)
}

/// Tasks that last fail now and then, each for itself.
fn failing_tasks(w: &mut World) -> i32 {
    for i in 0..9 {
        w.add_runner(&format!("i-a{i}"), "svc-a", "a,r1-1", 8);
    }
    w.add_runner("i-b0", "svc-a", "b,r1-2", 8);
    w.configure(3, &[("watch", 1, "svc-a")], &["svc-a"]);
    w.add_daemons(3);
    w.wait_ready();
    w.wait(10, "the runners are registered", || {
        w.store.keys("servers/").len() == 10
    });
    let ids: Vec<String> = (0..6).map(|n| format!("5c0e7a21d94b36{n:02x}")).collect();
    for id in &ids {
        assert!(w.submit(
            "watch",
            id,
            "lasts gpu=1",
            &step(1, 5_000, r#","long_running":true,"requirements":"b""#),
            ""
        ));
    }
    let all: Vec<String> = ids.iter().map(|id| format!("{id}.0.0.0")).collect();
    w.wait(10, "the tasks run", || w.running(&all) == all.len());
    sleep(1_000);
    // Each task fails at most once in 12 s.
    let end = unix_ms() + 50_000;
    let mut next = 0;
    while unix_ms() < end {
        if w.trouble {
            let task = &all[next % all.len()];
            next += 1;
            if let Some(span) = w.spans(task).last().filter(|s| s.to == u64::MAX) {
                let i = w
                    .runners
                    .iter()
                    .position(|r| r.options.id == span.runner)
                    .unwrap_or(0);
                w.tell_runner(i, &format!("/test/fail?task={task}"));
            }
        }
        sleep(2_000);
    }
    sleep(12_000);
    let until = unix_ms();
    let mut broken = Vec::new();
    for task in &all {
        if let Some(ms) = away(w, task, &w.spans(task), until) {
            broken.push(format!("{task} was away for {ms} ms"));
        }
    }
    let text = format!(
        "{}; the only runner of its kind is sound, with 8 accelerators, at most 6 of them used",
        broken.join("; ")
    );
    verdict(w, !broken.is_empty(), &text)
}

/// Jobs of one task come whose tasks run for half an hour.
fn long_tasks(w: &mut World) -> i32 {
    for i in 0..10 {
        w.add_runner(&format!("i-a{i}"), "svc-a", "a,r1-1", 8);
    }
    w.configure(3, &[("sweep", 1, "svc-a")], &["svc-a"]);
    w.add_daemons(3);
    w.wait_ready();
    w.wait(10, "the runners are registered", || {
        w.store.keys("servers/").len() == 10
    });
    let run_ms = if w.trouble { 1_800_000 } else { 20_000 };
    let ids: Vec<String> = (0..36).map(|n| format!("5c0e7a21d94b36{n:02x}")).collect();
    for id in &ids {
        assert!(w.submit(
            "sweep",
            id,
            &format!("run_ms={run_ms} gpu=1"),
            &step(1, run_ms, ""),
            ""
        ));
        sleep(300);
    }
    // The end of the traffic; 14 s later the jobs are asked for.
    let asked = unix_ms() + 14_000;
    sleep(70_000);
    let until = unix_ms();
    let (mut stops, mut away_jobs, mut longest) = (0, 0, 0);
    for id in &ids {
        let spans = w.spans(&format!("{id}.0.0.0"));
        stops += spans.iter().filter(|s| s.how == "stopped").count();
        if spans.iter().any(|s| s.how == "done") {
            continue;
        }
        let (mut last, mut gap) = (asked, 0);
        for s in spans.iter().filter(|s| s.to > asked) {
            gap = gap.max(s.from.saturating_sub(last));
            last = last.max(s.to.min(until));
        }
        gap = gap.max(until.saturating_sub(last));
        w.note(&format!("judge: {id}: {} runs, from 14 s after the traffic on nothing running for {gap} ms at the longest", spans.len()));
        away_jobs += u32::from(gap >= 3_000);
        longest = longest.max(gap);
    }
    let states: Vec<String> = ids.iter().map(|id| w.state("sweep", id)).collect();
    let done = states.iter().filter(|s| *s == "completed").count();
    let text = format!(
        "{away_jobs} of {} jobs had nothing running for 3 s or more, {longest} ms at the longest; {stops} runs were stopped, {done} jobs completed; ten sound runners with 80 accelerators, at most 36 of them used",
        ids.len()
    );
    verdict(w, away_jobs > 0, &text)
}

/// Plays a scenario; returns the exit status.
pub fn play(name: &str, folder: &str, trouble: bool) -> i32 {
    let mut w = World::new(folder, trouble);
    w.note(&format!("scenario {name}, disruption: {trouble}"));
    match name {
        "moved-queue" => moved_queue(&mut w),
        "cut-runner" => cut_runner(&mut w),
        "restarted-runner" => restarted_runner(&mut w),
        "long-tasks" => long_tasks(&mut w),
        "failing-tasks" => failing_tasks(&mut w),
        _ => 2,
    }
}
