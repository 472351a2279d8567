//! Order, drains and reclaim: who starts, who yields, who waits for what.

use crate::site::{DC, Site, promise, request, worker, workspace};
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

fn site(workspaces: Vec<marigoldglade::config::Workspace>, racks: usize, size: usize) -> Site {
    Site::new(Planner::new(DC, 1), config(workspaces), racks, size)
}

/// Lets time pass second by second; gangs end after `run_ms` each and small jobs keep coming.
fn stream(
    site: &mut Site,
    small: &JobRequest,
    run_ms: u64,
    gang: JobKey,
    limit_ms: u64,
) -> Option<u64> {
    let begin = site.now;
    let mut ends: BTreeMap<JobKey, UnixMs> = BTreeMap::new();
    let mut stops: BTreeMap<JobKey, UnixMs> = BTreeMap::new();
    while site.now.since(begin) < limit_ms {
        site.now = site.now.after(1_000);
        let from = site.log.len();
        for job in ends
            .iter()
            .filter(|(_, e)| e.passed(site.now))
            .map(|(j, _)| *j)
            .collect::<Vec<_>>()
        {
            ends.remove(&job);
            stops.remove(&job);
            site.end(job);
        }
        for job in stops
            .iter()
            .filter(|(_, e)| e.passed(site.now))
            .map(|(j, _)| *j)
            .collect::<Vec<_>>()
        {
            stops.remove(&job);
            ends.remove(&job);
            site.again(job);
        }
        while site.planner.waiting() < 40 {
            site.submit(small.clone());
        }
        site.step(Event::Tick);
        for (at, action) in &site.log[from..] {
            match action {
                Action::Start(job, _) if *job == gang => return Some(at.since(begin)),
                Action::Start(job, _) => {
                    // Ends are spread, so that the fleet is never empty by chance.
                    let spread = u64::from(job.0 * 7 % 10) * run_ms / 10;
                    ends.insert(*job, at.after(run_ms + spread));
                }
                Action::Stop { job, end, .. } => {
                    stops.insert(*job, *end);
                }
                _ => {}
            }
        }
        site.check_capacity();
    }
    None
}

#[rstest]
#[case::beyond_its_guarantee(64, "b", vec![], 600_000, 1)]
#[case::two_racks(128, "b", vec![], 600_000, 1)]
#[case::hints_far_too_short(64, "b", vec![], 600_000, 10)]
#[case::hints_far_too_long(64, "b", vec![], 60_000, 600_000)]
#[case::in_a_block_that_its_own_small_jobs_fill(64, "a", vec![promise(3, 0, 0)], 600_000, 1)]
fn a_stream_of_small_jobs_starves_no_gang(
    #[case] tasks: u16,
    #[case] owner: &str,
    #[case] guarantee: Vec<marigoldglade::config::Block>,
    #[case] run_ms: u64,
    #[case] hint_ms: u64,
) {
    let spaces = vec![workspace("a", "", guarantee), workspace("b", "", vec![])];
    let mut site = site(spaces, 3, 8);
    let small = JobRequest {
        run_ms: hint_ms,
        ..request("a", 1, 1)
    };
    stream(&mut site, &small, run_ms, JobKey(u32::MAX), 30_000);
    let gang = site.submit(request(owner, tasks, 1));
    let limit_ms = DRAIN_MS + small.grace_ms + 5_000;
    let took = stream(&mut site, &small, run_ms, gang, limit_ms);
    assert!(took.is_some(), "not started after {limit_ms} ms");
}

#[test]
fn without_a_drain_the_stream_starves_the_gang() {
    let policy = Policy {
        drain: false,
        ..Policy::default()
    };
    let spaces = vec![workspace("a", "", vec![]), workspace("b", "", vec![])];
    let mut site = Site::new(Planner::with_policy(DC, 1, policy), config(spaces), 3, 8);
    let small = request("a", 1, 1);
    stream(&mut site, &small, 600_000, JobKey(u32::MAX), 30_000);
    let gang = site.submit(request("b", 64, 1));
    let limit_ms = 10 * DRAIN_MS;
    assert_eq!(stream(&mut site, &small, 600_000, gang, limit_ms), None);
}

#[test]
fn an_impossible_job_is_parked_and_blocks_nobody() {
    let mut site = site(vec![workspace("a", "", vec![promise(0, 1, 0)])], 1, 2);
    let never = site.submit(JobRequest {
        urgency: 0,
        ..request("a", 128, 8)
    });
    let bound = site.submit(JobRequest {
        preemptible: false,
        ..request("a", 2, 8)
    });
    let small = site.submit(request("a", 1, 8));
    assert!(site.gangs.contains_key(&small));
    for job in [never, bound] {
        let parked = Action::Waits(job, Reason::Parked);
        assert!(site.log.iter().any(|(_, a)| *a == parked), "{job:?}");
    }
    // What became possible is taken up again.
    for i in 2..8 {
        site.put(worker(&format!("r0w{i}"), "r0"));
    }
    let fits = site.submit(request("a", 7, 8));
    assert!(site.gangs.contains_key(&fits));
}

#[test]
fn gangs_lie_in_one_rack_when_one_could_hold_them() {
    let mut site = site(vec![workspace("a", "", vec![])], 3, 4);
    for _ in 0..3 {
        site.submit(request("a", 1, 8));
    }
    let gang = site.submit(request("a", 4, 8));
    let racks: Vec<_> = site.gangs[&gang].vms.iter().map(|v| &v[..2]).collect();
    assert!(racks.iter().all(|r| *r == racks[0]), "{racks:?}");
    let wide = site.submit(request("a", 5, 8));
    assert!(
        site.gangs.contains_key(&wide),
        "larger than a rack, so it may span racks"
    );
}

#[rstest]
#[case::selector_first("tier = survey", true, 3, 1)]
#[case::then_least_lost("", false, 3, 2)]
fn yields_by_selector_then_least_lost(
    #[case] yields: &str,
    #[case] checkpoint: bool,
    #[case] age_s: u64,
    #[case] victim: usize,
) {
    let spaces = vec![
        workspace("a", "", vec![promise(0, 1, 0)]),
        workspace("b", "", vec![]),
    ];
    let selectors = if yields.is_empty() {
        vec![]
    } else {
        vec![Selector::parse(yields).expect("it parses")]
    };
    let config = Config {
        yields: selectors,
        ..config(spaces)
    };
    let mut site = Site::new(Planner::new(DC, 1), config, 1, 3);
    let mut jobs = Vec::new();
    for tier in ["scan", "survey", "scan"] {
        let labels = Labels::from([("tier".to_owned(), tier.to_owned())]);
        jobs.push(site.submit(JobRequest {
            labels,
            checkpoint,
            ..request("b", 1, 8)
        }));
        site.now = site.now.after(age_s * 1_000);
    }
    let claim = site.submit(request("a", 1, 8));
    let stops: Vec<_> = site
        .log
        .iter()
        .filter_map(|(at, a)| match a {
            Action::Stop { job, end, reason } => Some((*job, end.since(*at), reason.clone())),
            _ => None,
        })
        .collect();
    let reason = Reason::Preempted("a".to_owned(), yields.to_owned());
    assert_eq!(stops, [(jobs[victim], 10_000, reason)]);
    site.settle();
    assert!(site.gangs.contains_key(&claim));
}

#[test]
fn urgency_then_deadline_then_share_then_caller() {
    let spaces = vec![
        workspace("a", "", vec![promise(0, 1, 0)]),
        workspace("b", "", vec![promise(0, 1, 0)]),
    ];
    let mut site = site(spaces, 1, 2);
    // Both guarantees are in use by work that can't be stopped.
    for name in ["a", "b"] {
        site.submit(JobRequest {
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
        site.submit(job("a", "big", 5, late)),
        site.submit(job("a", "big", 5, late)),
    ];
    let small = site.submit(job("a", "small", 5, late));
    let dated = site.submit(job("a", "big", 5, soon));
    let urgent = site.submit(job("a", "big", 1, late));
    let mut order = Vec::new();
    for _ in 0..5 {
        let mut held = site
            .gangs
            .keys()
            .filter(|j| site.requests[*j].workspace == "a");
        let held = *held.next().expect("the guarantee is in use");
        let from = site.log.len();
        site.end(held);
        order.extend(site.log[from..].iter().filter_map(|(_, a)| match a {
            Action::Start(job, _) => Some(*job),
            _ => None,
        }));
    }
    assert_eq!(order, [urgent, dated, small, big[0], big[1]]);
}

#[test]
fn a_lost_worker_degrades_a_guarantee_and_its_return_mends_it() {
    let mut site = site(vec![workspace("a", "", vec![promise(0, 2, 0)])], 1, 2);
    let own = site.submit(JobRequest {
        preemptible: false,
        ..request("a", 1, 8)
    });
    site.run(own);
    assert!(site.gangs[&own].running);
    let other = if site.gangs[&own].vms[0] == "r0w0" {
        "r0w1"
    } else {
        "r0w0"
    };
    site.lose(other);
    assert_eq!(site.missing["a"], 8);
    site.put(worker(other, "r0"));
    assert_eq!(site.missing["a"], 0);
    site.check();
}

#[test]
fn room_that_was_promised_goes_to_nobody_else() {
    let spaces = vec![
        workspace("a", "", vec![promise(0, 1, 0)]),
        workspace("b", "", vec![]),
    ];
    let mut site = site(spaces, 1, 1);
    let victims: Vec<_> = (0..8).map(|_| site.submit(request("b", 1, 1))).collect();
    // An older job that comes back later asks for room of its own.
    let older = site.submit(JobRequest {
        urgency: 6,
        ..request("b", 1, 1)
    });
    let claim = site.submit(request("a", 1, 2));
    let second = site.requests[&older].clone();
    site.step(Event::Waiting(JobRequest {
        workspace: "a".to_owned(),
        ..second
    }));
    let stopping = |site: &Site| {
        victims
            .iter()
            .copied()
            .find(|v| site.gangs.get(v).is_some_and(|g| g.stopping))
    };
    for _ in 0..2 {
        let victim = stopping(&site).expect("a gang is stopping");
        site.end(victim);
    }
    assert!(
        site.gangs.contains_key(&claim),
        "the claim was promised the room first"
    );
    assert!(!site.gangs.contains_key(&older));
    let victim = stopping(&site).expect("a gang is stopping");
    site.end(victim);
    assert!(site.gangs.contains_key(&older));
}

#[test]
fn urgent_work_starts_at_once_in_a_full_fleet() {
    let spaces = vec![workspace("a", "", vec![]), workspace("b", "", vec![])];
    let mut site = site(spaces, 4, 8);
    let urgent = JobRequest {
        urgency: 0,
        ..request("a", 1, 2)
    };
    // What came before tells what to keep.
    for _ in 0..3 {
        let job = site.submit(urgent.clone());
        site.end(job);
    }
    for _ in 0..300 {
        site.submit(request("b", 1, 1));
    }
    site.step(Event::Tick);
    site.settle();
    for _ in 0..4 {
        let job = site.submit(urgent.clone());
        assert!(site.gangs.contains_key(&job), "it waits for a stop");
    }
}

#[test]
fn without_a_reserve_gangs_are_slowed_down_and_stopped_for_urgent_work() {
    let policy = Policy {
        reserve: false,
        ..Policy::default()
    };
    let spaces = vec![workspace("a", "", vec![]), workspace("b", "", vec![])];
    let mut site = Site::new(Planner::with_policy(DC, 1, policy), config(spaces), 1, 2);
    for _ in 0..2 {
        site.submit(request("b", 1, 8));
    }
    let urgent = site.submit(JobRequest {
        urgency: 0,
        ..request("a", 1, 2)
    });
    assert!(!site.gangs.contains_key(&urgent));
    let throttled = |a: &Action| matches!(a, Action::Throttle(_, percent) if *percent < 100);
    assert!(site.log.iter().any(|(_, a)| throttled(a)));
    site.settle();
    assert!(site.gangs.contains_key(&urgent));
}

#[test]
fn a_former_owners_gangs_hold_their_places() {
    let spaces = vec![
        workspace("a", "", vec![promise(0, 1, 0)]),
        workspace("b", "", vec![]),
    ];
    let mut site = site(spaces, 1, 2);
    let told = |site: &mut Site, key: u32, request: JobRequest, vms: &[&str]| {
        let job = JobKey(1_000 + key);
        let request = JobRequest { job, ..request };
        site.requests.insert(job, request.clone());
        let vms: Vec<_> = vms.iter().map(|v| v.to_string()).collect();
        site.step(Event::AlreadyPlaced(request, vms));
        job
    };
    let bound = JobRequest {
        preemptible: false,
        ..request("a", 1, 8)
    };
    let own = told(&mut site, 0, bound, &["r0w1"]);
    assert!(site.planner.in_guarantee(own));
    // What no worker could hold does no harm.
    told(&mut site, 1, request("b", 128, 8), &["r0w0"; 128]);
    let free = site.submit(request("b", 1, 8));
    assert_eq!(site.gangs[&free].vms, ["r0w0"]);
    let none = site.submit(request("b", 1, 1));
    assert!(!site.gangs.contains_key(&none));
}
