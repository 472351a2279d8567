//! Guarantees: after every decision, each unused block can be freed by stopping borrowers.

use crate::site::{Simulation, block, request, worker, workspace};
use marigoldglade::config::Config;
use marigoldglade::guarantee;
use marigoldglade::plan::{Event, JobKey, JobRequest};
use marigoldglade::planner::Planner;
use marigoldglade::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const RACKS: usize = 2;
const RACK_SIZE: usize = 3;

/// Returns one of five configurations that 2 racks of 3 workers can serve.
fn config(pick: usize) -> Config {
    let workspaces = match pick % 5 {
        0 => vec![
            workspace("a", "", vec![block(0, 2, 0)]),
            workspace("b", "", vec![block(0, 3, 4)]),
        ],
        1 => vec![
            workspace("a", "", vec![block(0, 2, 6)]),
            workspace("b", "", vec![block(0, 1, 3)]),
        ],
        2 => vec![
            workspace("a", "rack = r0", vec![block(0, 2, 4)]),
            workspace("b", "", vec![block(0, 2, 0), block(0, 0, 2)]),
        ],
        3 => vec![
            workspace("a", "rack = r1", vec![block(0, 1, 2)]),
            workspace("b", "rack != r1", vec![block(0, 2, 0)]),
        ],
        _ => vec![workspace("a", "", vec![block(0, 0, 1)])],
    };
    Config {
        workspaces,
        ..Config::default()
    }
}

#[derive(Clone, Debug)]
enum Op {
    Submit(JobRequest),
    Run(usize),
    End(usize),
    Stopped(usize),
    Refused(usize),
    Lose(usize),
    Return(usize),
    Leave(usize),
    Configure(usize),
    Tick(u64),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let submit = (0..3_usize, 1..=24_u16, 1..=8_u8, 0..10_u8, any::<bool>());
    let submit = submit.prop_map(|(workspace, tasks, accels, urgency, preemptible)| {
        // Most gangs are small; the largest take more than a rack.
        let tasks = if tasks > 8 { 1 } else { tasks };
        Op::Submit(JobRequest {
            urgency,
            preemptible,
            ..request(["a", "b", "c"][workspace], tasks, accels)
        })
    });
    let op = prop_oneof![
        8 => submit,
        3 => any::<usize>().prop_map(Op::Run),
        4 => any::<usize>().prop_map(Op::End),
        4 => any::<usize>().prop_map(Op::Stopped),
        1 => any::<usize>().prop_map(Op::Refused),
        1 => (0..RACKS * RACK_SIZE).prop_map(Op::Lose),
        2 => (0..RACKS * RACK_SIZE).prop_map(Op::Return),
        1 => (0..RACKS * RACK_SIZE).prop_map(Op::Leave),
        1 => (0..5_usize).prop_map(Op::Configure),
        2 => (0..100_000_u64).prop_map(Op::Tick),
    ];
    prop::collection::vec(op, 1..60)
}

fn pick<T: Copy>(items: &[T], at: usize) -> Option<T> {
    (!items.is_empty()).then(|| items[at % items.len()])
}

fn apply(sim: &mut Simulation, op: Op) {
    let jobs: Vec<JobKey> = sim.requests.keys().copied().collect();
    let gangs: Vec<JobKey> = sim.gangs.keys().copied().collect();
    let stopping = |g: &&JobKey| sim.gangs[*g].stopping;
    let stopping: Vec<JobKey> = gangs.iter().filter(stopping).copied().collect();
    let at = |i: usize| {
        (
            format!("r{}w{}", i / RACK_SIZE, i % RACK_SIZE),
            format!("r{}", i / RACK_SIZE),
        )
    };
    match op {
        Op::Submit(request) => {
            sim.submit(request);
        }
        Op::Run(i) => pick(&gangs, i)
            .into_iter()
            .for_each(|j| sim.mark_running(j)),
        Op::End(i) => pick(&jobs, i).into_iter().for_each(|j| sim.end_job(j)),
        Op::Stopped(i) => pick(&stopping, i).into_iter().for_each(|j| sim.requeue(j)),
        Op::Refused(i) => {
            let starting: Vec<_> = gangs
                .into_iter()
                .filter(|g| !sim.gangs[g].running)
                .collect();
            if let Some(job) = pick(&starting, i) {
                let gang = sim.gangs.remove(&job).expect("the gang was started");
                sim.step(Event::StartFailed(job, gang.vms[0].clone()));
            }
        }
        Op::Lose(i) => sim.lose_worker(&at(i).0),
        Op::Return(i) => sim.update_worker(worker(&at(i).0, &at(i).1)),
        Op::Leave(i) => {
            if let Some(vm) = sim.workers.get(&at(i).0).cloned() {
                sim.update_worker(marigoldglade::wire::Vm {
                    leaving: true,
                    ..vm
                });
            }
        }
        Op::Configure(i) => sim.configure(config(i)),
        Op::Tick(ms) => {
            sim.now = sim.now.after(ms);
            sim.step(Event::Tick);
        }
    }
}

fn cases(count: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: count,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(cases(256, 13))]

    /// Every unused block stays available while jobs arrive and end, starts are refused, workers go
    /// and return, and the configuration changes. The reference is an exhaustive search.
    #[test]
    fn unused_blocks_stay_available(first in 0..5_usize, ops in ops()) {
        let mut sim = Simulation::new(Planner::new(crate::site::DC, 1), config(first), RACKS, RACK_SIZE);
        for op in ops {
            apply(&mut sim, op);
            sim.check_invariants();
        }
    }

    /// Once nothing runs, a guarantee is reported as degraded only if there is no way to serve it,
    /// and all are whole again when all workers are back.
    #[test]
    fn guarantees_recover_when_capacity_returns(first in 0..5_usize, ops in ops()) {
        let mut sim = Simulation::new(Planner::new(crate::site::DC, 1), config(first), RACKS, RACK_SIZE);
        for op in ops {
            apply(&mut sim, op);
        }
        for job in sim.requests.keys().copied().collect::<Vec<_>>() {
            sim.end_job(job);
        }
        let degraded = sim.missing.values().any(|m| *m > 0);
        prop_assert_eq!(degraded, !sim.guarantees_fit());
        for i in 0..RACKS * RACK_SIZE {
            apply(&mut sim, Op::Return(i));
        }
        prop_assert!(sim.missing.values().all(|m| *m == 0));
    }

    /// A workspace that asks for its whole guarantee gets it, whatever the other workspaces run.
    #[test]
    fn whole_guarantee_is_granted_on_demand(pick in 0..4_usize, ops in ops()) {
        let mut sim = Simulation::new(Planner::new(crate::site::DC, 1), config(pick), RACKS, RACK_SIZE);
        let keep = |op: &Op| matches!(op, Op::Submit(_) | Op::Run(_) | Op::End(_) | Op::Stopped(_));
        for op in ops.into_iter().filter(keep) {
            apply(&mut sim, op);
        }
        let ours = sim.requests.iter().filter(|(_, a)| a.workspace == "a");
        for job in ours.map(|(j, _)| *j).collect::<Vec<_>>() {
            sim.end_job(job);
        }
        let sizes = sim.config.workspaces[0].guarantee.iter().flat_map(guarantee::sizes);
        let mut claims = Vec::new();
        for size in sizes.collect::<Vec<_>>() {
            let (tasks, accels) = (size.div_ceil(8), size.min(8) as u8);
            let preemptible = false;
            claims.push(sim.submit(JobRequest { preemptible, ..request("a", tasks, accels) }));
        }
        sim.finish_stops();
        for claim in claims {
            prop_assert!(sim.gangs.contains_key(&claim), "{:?} of {:?}", claim, sim.requests[&claim]);
        }
    }
}

#[rstest]
#[case(0, 6, 0, true)]
#[case(0, 7, 0, false)]
#[case(1, 0, 0, false)]
#[case(0, 5, 8, true)]
#[case(0, 5, 9, false)]
fn rejects_guarantees_beyond_capacity(
    #[case] racks: u16,
    #[case] workers: u16,
    #[case] accels: u16,
    #[case] fits: bool,
) {
    let half = block(racks, workers / 2, accels);
    let rest = block(0, workers - workers / 2, 0);
    let config = Config {
        workspaces: vec![
            workspace("a", "", vec![half]),
            workspace("b", "", vec![rest]),
        ],
        ..Config::default()
    };
    let vms: Vec<_> = (0..6)
        .map(|i| worker(&format!("w{i}"), &format!("r{}", i / RACK_SIZE)))
        .collect();
    let verdict = guarantee::check(&config, &vms);
    assert_eq!(verdict.is_ok(), fits, "{verdict:?}");
    if let Err(e) = verdict {
        assert_eq!(e.kind, Kind::Impossible);
        assert!(
            e.detail.contains(crate::site::DC) && e.detail.contains("workspace '"),
            "{e}"
        );
    }
}

#[test]
fn an_existing_shortage_does_not_block_other_changes() {
    let before = config(0);
    let mut after = before.clone();
    after.yields = vec![Selector::default()];
    let vms: Vec<_> = (0..4)
        .map(|i| worker(&format!("w{i}"), &format!("r{}", i / 2)))
        .collect();
    assert!(guarantee::check(&before, &vms).is_err());
    guarantee::check_change(&before, &after, &vms).expect("the change adds no shortage");
    after.workspaces[1].guarantee.push(block(0, 1, 0));
    assert!(guarantee::check_change(&before, &after, &vms).is_err());
}
