//! Workers that fail all they start, and jobs that fail on all workers.

use std::collections::{BTreeMap, BTreeSet};

use crate::site::{DC, Site, request, worker, workspace};
use marigoldglade::config::Config;
use marigoldglade::plan::{Action, Event, JobRequest};
use marigoldglade::planner::Planner;
use marigoldglade::quarantine::{QUARANTINE_LIMIT_MS, QUARANTINE_MS, RACK_DIVISOR};
use rstest::rstest;

fn site(racks: usize, size: usize) -> Site {
    let config = Config {
        workspaces: vec![workspace("a", "", vec![])],
        ..Config::default()
    };
    Site::new(Planner::new(DC, 1), config, racks, size)
}

/// Runs `rounds` seconds with more small jobs, from each caller in turn, than fit; tasks on `holes` and tasks
/// of callers whose names begin with `bad` fail at once, others end well after three seconds. Returns how many
/// tasks failed on each worker.
fn play(
    site: &mut Site,
    holes: &BTreeSet<&str>,
    callers: &[&str],
    rounds: u64,
) -> BTreeMap<String, u32> {
    let mut failures = BTreeMap::new();
    let mut ends = BTreeMap::new();
    for _ in 0..rounds {
        site.now = site.now.after(1_000);
        let missing = 40_usize.saturating_sub(site.requests.len());
        for caller in callers.iter().cycle().take(missing) {
            site.submit(JobRequest {
                caller: (*caller).to_owned(),
                ..request("a", 1, 2)
            });
        }
        site.step(Event::Tick);
        let held: Vec<_> = site
            .gangs
            .iter()
            .map(|(j, g)| (*j, g.vms[0].clone()))
            .collect();
        for (job, vm) in held {
            let end = *ends.entry(job).or_insert(site.now.after(3_000));
            if holes.contains(vm.as_str()) || site.requests[&job].caller.starts_with("bad") {
                *failures.entry(vm.clone()).or_insert(0) += 1;
                site.step(Event::TaskFailed(job, vm));
                site.end(job);
            } else if end.passed(site.now) {
                site.step(Event::TaskDone(job, vm));
                site.end(job);
            }
        }
    }
    failures
}

fn quarantined(site: &Site) -> BTreeSet<String> {
    let mut out = BTreeSet::new();
    for (_, action) in &site.log {
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
// Until its first task ends well elsewhere, after 4 seconds of 4 places each, a new caller's
// failures could as well be its own.
#[case::one_caller(&["x"], 16)]
fn a_black_hole_is_out_after_a_few_failures(#[case] callers: &[&str], #[case] limit: u32) {
    let mut site = site(2, 4);
    let failures = play(&mut site, &BTreeSet::from(["r0w0"]), callers, 120);
    assert_eq!(quarantined(&site), BTreeSet::from(["r0w0".to_owned()]));
    assert!(failures["r0w0"] <= limit, "{failures:?}");
}

#[rstest]
#[case::among_good_ones(&["x", "bad", "y"])]
#[case::alone(&["bad"])]
#[case::several(&["bad1", "bad2", "x", "bad3", "bad4"])]
fn jobs_that_fail_everywhere_condemn_no_worker(#[case] callers: &[&str]) {
    let mut site = site(2, 4);
    let failures = play(&mut site, &BTreeSet::new(), callers, 300);
    assert!(failures.values().sum::<u32>() >= 100, "{failures:?}");
    assert_eq!(quarantined(&site), BTreeSet::new());
}

#[test]
fn one_job_retried_everywhere_condemns_no_worker() {
    let mut site = site(2, 4);
    let job = site.submit(request("a", 1, 8));
    let mut seen = BTreeSet::new();
    for _ in 0..40 {
        site.now = site.now.after(1_000);
        let vm = site.gangs[&job].vms[0].clone();
        site.step(Event::TaskFailed(job, vm.clone()));
        seen.insert(vm);
        site.again(job);
    }
    assert_eq!(seen.len(), 8, "it is tried elsewhere");
    assert_eq!(quarantined(&site), BTreeSet::new());
}

#[test]
fn a_probe_brings_a_mended_worker_back() {
    let mut site = site(2, 4);
    play(&mut site, &BTreeSet::from(["r0w0"]), &["x", "y"], 60);
    assert!(quarantined(&site).contains("r0w0"));
    // Still broken: one probe fails, and the next comes later.
    site.now = site.now.after(QUARANTINE_MS + QUARANTINE_MS / 10);
    let failures = play(&mut site, &BTreeSet::from(["r0w0"]), &["x", "y"], 20);
    assert_eq!(failures.get("r0w0"), Some(&1));
    site.now = site
        .now
        .after(QUARANTINE_LIMIT_MS + QUARANTINE_LIMIT_MS / 10);
    play(&mut site, &BTreeSet::new(), &["x", "y"], 20);
    assert_eq!(quarantined(&site), BTreeSet::new());
}

#[test]
fn suspicion_takes_a_bounded_share_of_a_rack() {
    let mut site = site(4, 8);
    let holes = BTreeSet::from(["r0w0", "r0w1", "r0w2", "r0w3", "r0w4"]);
    play(&mut site, &holes, &["x", "y", "z", "u", "v"], 120);
    let out = quarantined(&site);
    assert!(!out.is_empty() && out.len() <= 8 / RACK_DIVISOR, "{out:?}");
    // A replaced worker makes room for the next suspect.
    let first = out.first().expect("one is out").clone();
    site.lose(&first);
    site.put(worker("r0w9", "r0"));
    play(&mut site, &holes, &["x", "y", "z", "u", "v"], 60);
    assert!(
        quarantined(&site).len() > out.len(),
        "{:?}",
        quarantined(&site)
    );
}
