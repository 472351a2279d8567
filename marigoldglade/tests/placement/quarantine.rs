//! Quarantine: workers on which every task fails, and jobs that fail on every worker.

use std::collections::{BTreeMap, BTreeSet};

use crate::site::{DC, Simulation, request, worker, workspace};
use marigoldglade::config::Config;
use marigoldglade::plan::{Action, Event, JobRequest};
use marigoldglade::planner::Planner;
use marigoldglade::quarantine::{QUARANTINE_LIMIT_MS, QUARANTINE_MS, RACK_DIVISOR};
use rstest::rstest;

fn simulation(racks: usize, size: usize) -> Simulation {
    let config = Config {
        workspaces: vec![workspace("a", "", vec![])],
        ..Config::default()
    };
    Simulation::new(Planner::new(DC, 1), config, racks, size)
}

/// Runs the simulation for `rounds` seconds with more small jobs than fit, submitted by the callers
/// in turn. Tasks on the workers `failing`, and those of callers whose names begin with `bad`, fail
/// at once; others succeed after three seconds. Returns the number of failed tasks on each worker.
fn run_jobs(
    sim: &mut Simulation,
    failing: &BTreeSet<&str>,
    callers: &[&str],
    rounds: u64,
) -> BTreeMap<String, u32> {
    let mut failures = BTreeMap::new();
    let mut ends = BTreeMap::new();
    for _ in 0..rounds {
        sim.now = sim.now.after(1_000);
        let missing = 40_usize.saturating_sub(sim.requests.len());
        for caller in callers.iter().cycle().take(missing) {
            sim.submit(JobRequest {
                caller: (*caller).to_owned(),
                ..request("a", 1, 2)
            });
        }
        sim.step(Event::Tick);
        let held: Vec<_> = sim
            .gangs
            .iter()
            .map(|(j, g)| (*j, g.vms[0].clone()))
            .collect();
        for (job, vm) in held {
            let end = *ends.entry(job).or_insert(sim.now.after(3_000));
            if failing.contains(vm.as_str()) || sim.requests[&job].caller.starts_with("bad") {
                *failures.entry(vm.clone()).or_insert(0) += 1;
                sim.step(Event::TaskFailed(job, vm));
                sim.end_job(job);
            } else if end.passed(sim.now) {
                sim.step(Event::TaskDone(job, vm));
                sim.end_job(job);
            }
        }
    }
    failures
}

fn quarantined(sim: &Simulation) -> BTreeSet<String> {
    let mut out = BTreeSet::new();
    for (_, action) in &sim.log {
        match action {
            Action::Quarantine(vm, _) => out.insert(vm.clone()),
            Action::Trust(vm) => out.remove(vm),
            _ => continue,
        };
    }
    out
}

#[rstest]
#[case::many_callers(&["x", "y", "z"], 6)]
// Until the caller's first task succeeds elsewhere, after 4 seconds with 4 tasks on the worker, the
// failures may as well be the caller's fault.
#[case::one_caller(&["x"], 16)]
fn a_failing_worker_is_quarantined_after_a_few_failures(
    #[case] callers: &[&str],
    #[case] limit: u32,
) {
    let mut sim = simulation(2, 4);
    let failures = run_jobs(&mut sim, &BTreeSet::from(["r0w0"]), callers, 120);
    assert_eq!(quarantined(&sim), BTreeSet::from(["r0w0".to_owned()]));
    assert!(failures["r0w0"] <= limit, "{failures:?}");
}

#[rstest]
#[case::among_good_ones(&["x", "bad", "y"])]
#[case::alone(&["bad"])]
#[case::several(&["bad1", "bad2", "x", "bad3", "bad4"])]
fn jobs_that_fail_everywhere_quarantine_no_worker(#[case] callers: &[&str]) {
    let mut sim = simulation(2, 4);
    let failures = run_jobs(&mut sim, &BTreeSet::new(), callers, 300);
    assert!(failures.values().sum::<u32>() >= 100, "{failures:?}");
    assert_eq!(quarantined(&sim), BTreeSet::new());
}

#[test]
fn one_job_that_fails_everywhere_quarantines_no_worker() {
    let mut sim = simulation(2, 4);
    let job = sim.submit(request("a", 1, 8));
    let mut seen = BTreeSet::new();
    for _ in 0..40 {
        sim.now = sim.now.after(1_000);
        let vm = sim.gangs[&job].vms[0].clone();
        sim.step(Event::TaskFailed(job, vm.clone()));
        seen.insert(vm);
        sim.requeue(job);
    }
    assert_eq!(seen.len(), 8, "the job is tried on every worker");
    assert_eq!(quarantined(&sim), BTreeSet::new());
}

#[test]
fn a_successful_probe_ends_the_quarantine() {
    let mut sim = simulation(2, 4);
    run_jobs(&mut sim, &BTreeSet::from(["r0w0"]), &["x", "y"], 60);
    assert!(quarantined(&sim).contains("r0w0"));
    // The worker is still broken: one probe fails, and the next one comes later.
    sim.now = sim.now.after(QUARANTINE_MS + QUARANTINE_MS / 10);
    let failures = run_jobs(&mut sim, &BTreeSet::from(["r0w0"]), &["x", "y"], 20);
    assert_eq!(failures.get("r0w0"), Some(&1));
    sim.now = sim
        .now
        .after(QUARANTINE_LIMIT_MS + QUARANTINE_LIMIT_MS / 10);
    run_jobs(&mut sim, &BTreeSet::new(), &["x", "y"], 20);
    assert_eq!(quarantined(&sim), BTreeSet::new());
}

#[test]
fn quarantine_is_limited_in_each_rack() {
    let mut sim = simulation(4, 8);
    let failing = BTreeSet::from(["r0w0", "r0w1", "r0w2", "r0w3", "r0w4"]);
    run_jobs(&mut sim, &failing, &["x", "y", "z", "u", "v"], 120);
    let out = quarantined(&sim);
    assert!(!out.is_empty() && out.len() <= 8 / RACK_DIVISOR, "{out:?}");
    // Replacing a quarantined worker allows another one to be quarantined.
    let first = out.first().expect("a worker is quarantined").clone();
    sim.lose_worker(&first);
    sim.update_worker(worker("r0w9", "r0"));
    run_jobs(&mut sim, &failing, &["x", "y", "z", "u", "v"], 60);
    assert!(
        quarantined(&sim).len() > out.len(),
        "{:?}",
        quarantined(&sim)
    );
}
