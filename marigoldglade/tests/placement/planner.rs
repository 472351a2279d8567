//! Queue order, drains and preemption.

use crate::site::{DC, Simulation, block, request, worker, workspace};
use marigoldglade::config::Config;
use marigoldglade::drain::DRAIN_MS;
use marigoldglade::plan::{Action, Event, JobKey, JobRequest, Reason};
use marigoldglade::planner::{Planner, Policy};
use marigoldglade::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;

fn config(workspaces: Vec<marigoldglade::config::Workspace>) -> Config {
    Config {
        workspaces,
        ..Config::default()
    }
}

fn simulation(
    workspaces: Vec<marigoldglade::config::Workspace>,
    racks: usize,
    size: usize,
) -> Simulation {
    Simulation::new(Planner::new(DC, 1), config(workspaces), racks, size)
}

/// Runs the simulation in steps of a second for at most `limit_ms`. Small jobs keep arriving, and
/// gangs run for `run_ms` to almost twice that. Returns after how many milliseconds `gang` started,
/// if it did.
fn run_stream(
    sim: &mut Simulation,
    small: &JobRequest,
    run_ms: u64,
    gang: JobKey,
    limit_ms: u64,
) -> Option<u64> {
    let begin = sim.now;
    let mut ends: BTreeMap<JobKey, UnixMs> = BTreeMap::new();
    let mut stops: BTreeMap<JobKey, UnixMs> = BTreeMap::new();
    while sim.now.since(begin) < limit_ms {
        sim.now = sim.now.after(1_000);
        let from = sim.log.len();
        for job in ends
            .iter()
            .filter(|(_, e)| e.passed(sim.now))
            .map(|(j, _)| *j)
            .collect::<Vec<_>>()
        {
            ends.remove(&job);
            stops.remove(&job);
            sim.end_job(job);
        }
        for job in stops
            .iter()
            .filter(|(_, e)| e.passed(sim.now))
            .map(|(j, _)| *j)
            .collect::<Vec<_>>()
        {
            stops.remove(&job);
            ends.remove(&job);
            sim.requeue(job);
        }
        while sim.planner.waiting() < 40 {
            sim.submit(small.clone());
        }
        sim.step(Event::Tick);
        for (at, action) in &sim.log[from..] {
            match action {
                Action::Start(job, _) if *job == gang => return Some(at.since(begin)),
                Action::Start(job, _) => {
                    // Run times differ, so that the workers never become empty all at once by
                    // chance.
                    let spread = u64::from(job.0 * 7 % 10) * run_ms / 10;
                    ends.insert(*job, at.after(run_ms + spread));
                }
                Action::Stop { job, end, .. } => {
                    stops.insert(*job, *end);
                }
                _ => {}
            }
        }
        sim.check_capacity();
    }
    None
}

#[rstest]
#[case::beyond_its_guarantee(64, "b", vec![], 600_000, 1)]
#[case::two_racks(128, "b", vec![], 600_000, 1)]
#[case::hints_far_too_short(64, "b", vec![], 600_000, 10)]
#[case::hints_far_too_long(64, "b", vec![], 60_000, 600_000)]
#[case::in_a_block_that_its_own_small_jobs_fill(64, "a", vec![block(3, 0, 0)], 600_000, 1)]
fn small_jobs_do_not_starve_a_large_gang(
    #[case] tasks: u16,
    #[case] gang_workspace: &str,
    #[case] guarantee: Vec<marigoldglade::config::Block>,
    #[case] run_ms: u64,
    #[case] hint_ms: u64,
) {
    let workspaces = vec![workspace("a", "", guarantee), workspace("b", "", vec![])];
    let mut sim = simulation(workspaces, 3, 8);
    let small = JobRequest {
        run_ms: hint_ms,
        ..request("a", 1, 1)
    };
    run_stream(&mut sim, &small, run_ms, JobKey(u32::MAX), 30_000);
    let gang = sim.submit(request(gang_workspace, tasks, 1));
    let limit_ms = DRAIN_MS + small.grace_ms + 5_000;
    let took = run_stream(&mut sim, &small, run_ms, gang, limit_ms);
    assert!(
        took.is_some(),
        "the gang hasn't started after {limit_ms} ms"
    );
}

#[test]
fn small_jobs_starve_a_large_gang_without_drains() {
    let policy = Policy {
        drain: false,
        ..Policy::default()
    };
    let workspaces = vec![workspace("a", "", vec![]), workspace("b", "", vec![])];
    let mut sim = Simulation::new(
        Planner::with_policy(DC, 1, policy),
        config(workspaces),
        3,
        8,
    );
    let small = request("a", 1, 1);
    run_stream(&mut sim, &small, 600_000, JobKey(u32::MAX), 30_000);
    let gang = sim.submit(request("b", 64, 1));
    let limit_ms = 10 * DRAIN_MS;
    assert_eq!(run_stream(&mut sim, &small, 600_000, gang, limit_ms), None);
}

#[test]
fn an_impossible_job_does_not_block_others() {
    let mut sim = simulation(vec![workspace("a", "", vec![block(0, 1, 0)])], 1, 2);
    let impossible = sim.submit(JobRequest {
        urgency: 0,
        ..request("a", 128, 8)
    });
    let non_preemptible = sim.submit(JobRequest {
        preemptible: false,
        ..request("a", 2, 8)
    });
    let small = sim.submit(request("a", 1, 8));
    assert!(sim.gangs.contains_key(&small));
    for job in [impossible, non_preemptible] {
        let parked = Action::Waits(job, Reason::Parked);
        assert!(sim.log.iter().any(|(_, a)| *a == parked), "{job:?}");
    }
    // A job that has become possible is placed.
    for i in 2..8 {
        sim.update_worker(worker(&format!("r0w{i}"), "r0"));
    }
    let fits = sim.submit(request("a", 7, 8));
    assert!(sim.gangs.contains_key(&fits));
}

#[test]
fn gangs_stay_in_one_rack_if_one_could_hold_them() {
    let mut sim = simulation(vec![workspace("a", "", vec![])], 3, 4);
    for _ in 0..3 {
        sim.submit(request("a", 1, 8));
    }
    let gang = sim.submit(request("a", 4, 8));
    let racks: Vec<_> = sim.gangs[&gang].vms.iter().map(|v| &v[..2]).collect();
    assert!(racks.iter().all(|r| *r == racks[0]), "{racks:?}");
    let wide = sim.submit(request("a", 5, 8));
    assert!(
        sim.gangs.contains_key(&wide),
        "larger than a rack, so it may span racks"
    );
}

#[rstest]
#[case::selector_first("tier = survey", true, 3, 1)]
#[case::then_least_lost("", false, 3, 2)]
fn victims_are_chosen_by_selector_then_lost_work(
    #[case] yields: &str,
    #[case] checkpoint: bool,
    #[case] age_s: u64,
    #[case] victim: usize,
) {
    let workspaces = vec![
        workspace("a", "", vec![block(0, 1, 0)]),
        workspace("b", "", vec![]),
    ];
    let selectors = if yields.is_empty() {
        vec![]
    } else {
        vec![Selector::parse(yields).expect("the selector parses")]
    };
    let config = Config {
        yields: selectors,
        ..config(workspaces)
    };
    let mut sim = Simulation::new(Planner::new(DC, 1), config, 1, 3);
    let mut jobs = Vec::new();
    for tier in ["scan", "survey", "scan"] {
        let labels = Labels::from([("tier".to_owned(), tier.to_owned())]);
        jobs.push(sim.submit(JobRequest {
            labels,
            checkpoint,
            ..request("b", 1, 8)
        }));
        sim.now = sim.now.after(age_s * 1_000);
    }
    let claim = sim.submit(request("a", 1, 8));
    let stops: Vec<_> = sim
        .log
        .iter()
        .filter_map(|(at, a)| match a {
            Action::Stop { job, end, reason } => Some((*job, end.since(*at), reason.clone())),
            _ => None,
        })
        .collect();
    let reason = Reason::Preempted("a".to_owned(), yields.to_owned());
    assert_eq!(stops, [(jobs[victim], 10_000, reason)]);
    sim.finish_stops();
    assert!(sim.gangs.contains_key(&claim));
}

#[test]
fn jobs_start_by_urgency_then_deadline_then_share_then_caller() {
    let workspaces = vec![
        workspace("a", "", vec![block(0, 1, 0)]),
        workspace("b", "", vec![block(0, 1, 0)]),
    ];
    let mut sim = simulation(workspaces, 1, 2);
    // Jobs that aren't preemptible use both guarantees.
    for name in ["a", "b"] {
        sim.submit(JobRequest {
            preemptible: false,
            ..request(name, 1, 8)
        });
    }
    let job = |name: &str, caller: &str, urgency: u8, deadline: u64| JobRequest {
        caller: caller.to_owned(),
        urgency,
        deadline: UnixMs(deadline),
        preemptible: false,
        ..request(name, 1, 8)
    };
    let (late, soon) = (u64::MAX, 10_000_000);
    let big = [
        sim.submit(job("a", "big", 5, late)),
        sim.submit(job("a", "big", 5, late)),
    ];
    let small = sim.submit(job("a", "small", 5, late));
    let dated = sim.submit(job("a", "big", 5, soon));
    let urgent = sim.submit(job("a", "big", 1, late));
    let mut order = Vec::new();
    for _ in 0..5 {
        let mut held = sim
            .gangs
            .keys()
            .filter(|j| sim.requests[*j].workspace == "a");
        let held = *held.next().expect("the guarantee is in use");
        let from = sim.log.len();
        sim.end_job(held);
        order.extend(sim.log[from..].iter().filter_map(|(_, a)| match a {
            Action::Start(job, _) => Some(*job),
            _ => None,
        }));
    }
    assert_eq!(order, [urgent, dated, small, big[0], big[1]]);
}

#[test]
fn a_lost_worker_degrades_a_guarantee_and_its_return_restores_it() {
    let mut sim = simulation(vec![workspace("a", "", vec![block(0, 2, 0)])], 1, 2);
    let own = sim.submit(JobRequest {
        preemptible: false,
        ..request("a", 1, 8)
    });
    sim.mark_running(own);
    assert!(sim.gangs[&own].running);
    let other = if sim.gangs[&own].vms[0] == "r0w0" {
        "r0w1"
    } else {
        "r0w0"
    };
    sim.lose_worker(other);
    assert_eq!(sim.missing["a"], 8);
    sim.update_worker(worker(other, "r0"));
    assert_eq!(sim.missing["a"], 0);
    sim.check_invariants();
}

#[test]
fn accelerators_of_a_pending_gang_go_to_no_other_job() {
    let workspaces = vec![
        workspace("a", "", vec![block(0, 1, 0)]),
        workspace("b", "", vec![]),
    ];
    let mut sim = simulation(workspaces, 1, 1);
    let victims: Vec<_> = (0..8).map(|_| sim.submit(request("b", 1, 1))).collect();
    // An older, less urgent job needs accelerators as well. It is queued again in workspace `a`
    // after the claim, so that it preempts a gang too.
    let older = sim.submit(JobRequest {
        urgency: 6,
        ..request("b", 1, 1)
    });
    let claim = sim.submit(request("a", 1, 2));
    let requeued = sim.requests[&older].clone();
    sim.step(Event::Waiting(JobRequest {
        workspace: "a".to_owned(),
        ..requeued
    }));
    let stopping = |sim: &Simulation| {
        victims
            .iter()
            .copied()
            .find(|v| sim.gangs.get(v).is_some_and(|g| g.stopping))
    };
    for _ in 0..2 {
        let victim = stopping(&sim).expect("a gang is stopping");
        sim.end_job(victim);
    }
    assert!(
        sim.gangs.contains_key(&claim),
        "the accelerators were assigned to the claim first"
    );
    assert!(!sim.gangs.contains_key(&older));
    let victim = stopping(&sim).expect("a gang is stopping");
    sim.end_job(victim);
    assert!(sim.gangs.contains_key(&older));
}

#[test]
fn urgent_work_starts_at_once_in_a_full_fleet() {
    let workspaces = vec![workspace("a", "", vec![]), workspace("b", "", vec![])];
    let mut sim = simulation(workspaces, 4, 8);
    let urgent = JobRequest {
        urgency: 0,
        ..request("a", 1, 2)
    };
    // The size of the reserve follows from earlier urgent jobs.
    for _ in 0..3 {
        let job = sim.submit(urgent.clone());
        sim.end_job(job);
    }
    for _ in 0..300 {
        sim.submit(request("b", 1, 1));
    }
    sim.step(Event::Tick);
    sim.finish_stops();
    for _ in 0..4 {
        let job = sim.submit(urgent.clone());
        assert!(sim.gangs.contains_key(&job), "the urgent job waits");
    }
}

#[test]
fn without_a_reserve_gangs_are_throttled_and_stopped_for_urgent_work() {
    let policy = Policy {
        reserve: false,
        ..Policy::default()
    };
    let workspaces = vec![workspace("a", "", vec![]), workspace("b", "", vec![])];
    let mut sim = Simulation::new(
        Planner::with_policy(DC, 1, policy),
        config(workspaces),
        1,
        2,
    );
    for _ in 0..2 {
        sim.submit(request("b", 1, 8));
    }
    let urgent = sim.submit(JobRequest {
        urgency: 0,
        ..request("a", 1, 2)
    });
    assert!(!sim.gangs.contains_key(&urgent));
    let throttled = |a: &Action| matches!(a, Action::Throttle(_, percent) if *percent < 100);
    assert!(sim.log.iter().any(|(_, a)| throttled(a)));
    sim.finish_stops();
    assert!(sim.gangs.contains_key(&urgent));
}

#[test]
fn gangs_of_an_earlier_owner_keep_their_accelerators() {
    let workspaces = vec![
        workspace("a", "", vec![block(0, 1, 0)]),
        workspace("b", "", vec![]),
    ];
    let mut sim = simulation(workspaces, 1, 2);
    let adopt = |sim: &mut Simulation, key: u32, request: JobRequest, vms: &[&str]| {
        let job = JobKey(1_000 + key);
        let request = JobRequest { job, ..request };
        sim.requests.insert(job, request.clone());
        let vms: Vec<_> = vms.iter().map(|v| v.to_string()).collect();
        sim.step(Event::AlreadyPlaced(request, vms));
        job
    };
    let non_preemptible = JobRequest {
        preemptible: false,
        ..request("a", 1, 8)
    };
    let own = adopt(&mut sim, 0, non_preemptible, &["r0w1"]);
    assert!(sim.planner.in_guarantee(own));
    // More tasks than a worker could hold are ignored.
    adopt(&mut sim, 1, request("b", 128, 8), &["r0w0"; 128]);
    let free = sim.submit(request("b", 1, 8));
    assert_eq!(sim.gangs[&free].vms, ["r0w0"]);
    let none = sim.submit(request("b", 1, 1));
    assert!(!sim.gangs.contains_key(&none));
}
