//! Tests of the owner's engine around evacuated data centres. The simulation checks that no start is sent
//! there once the owners know.

#[path = "batch/world.rs"]
#[expect(dead_code, reason = "the simulation serves several test files")]
mod simulation;

use std::collections::BTreeSet;

use marigoldglade::batch::evacuations::Evacuations;
use marigoldglade::batch::messages::JobStatus;
use marigoldglade::batch::spec::Step;
use rstest::rstest;
use simulation::{Faults, Simulation, job_id, spec, step};

/// Submits jobs of each kind: urgent ones, gangs on one rack and wide ones of single tasks.
fn submit_mix(sim: &mut Simulation, first: u64, rounds: u64) {
    for n in (first..)
        .step_by(3)
        .take(usize::try_from(rounds).expect("few"))
    {
        let gang = Step {
            gang: true,
            one_rack: true,
            ..step(4, 8, 2_000)
        };
        sim.submit(n, "urgent", "w0", spec(vec![step(2, 2, 800)]), 800);
        sim.submit(n + 1, "sweep", "w1", spec(vec![gang]), 2_000);
        sim.submit(n + 2, "survey", "w2", spec(vec![step(12, 1, 3_000)]), 3_000);
        sim.run_for(200);
    }
}

/// A burst meets evacuations of two data centres that overlap: what runs there goes on, all other work goes
/// elsewhere, and the data centres are used again afterwards.
#[test]
fn a_burst_goes_around_evacuated_data_centres() {
    let mut sim = Simulation::new(81, 6, 6);
    submit_mix(&mut sim, 1, 5);
    let running = sim.count_runs_in("dc0");
    assert!(running > 0);
    let stops = sim.stops;
    sim.evacuate(&["dc0"]);
    submit_mix(&mut sim, 101, 5);
    sim.evacuate(&["dc0", "dc1"]);
    submit_mix(&mut sim, 201, 5);
    sim.run_for(8_000);
    assert_eq!(sim.count_runs_in("dc0") + sim.count_runs_in("dc1"), 0);
    sim.evacuate(&[]);
    submit_mix(&mut sim, 301, 5);
    assert!(sim.count_runs_in("dc0") > 0 && sim.count_runs_in("dc1") > 0);
    sim.run_for(30_000);
    assert!(sim.all_done((1..16).chain(101..116).chain(201..216).chain(301..316)));
    // Only urgent work that found no room elsewhere has stopped other runs.
    assert!(sim.stops - stops < 60, "{} stops", sim.stops - stops);
}

/// Starts that got no response when the evacuation begins are given up rather than sent again, and an owner
/// that takes over meanwhile keeps the data centre empty too.
#[rstest]
fn no_start_is_sent_again_there(
    #[values(82, 83, 84, 85)] seed: u64,
    #[values(true, false)] takeover: bool,
) {
    let mut sim = Simulation::new(seed, 3, 8);
    sim.faults = Faults {
        late: 10,
        unanswered: 30,
        late_renewals: 0,
    };
    submit_mix(&mut sim, 1, 3);
    sim.evacuate(&["dc1"]);
    if takeover {
        sim.run_for(300);
        sim.kill_newest_owner();
        sim.run_for(1_500);
        sim.elect();
    }
    submit_mix(&mut sim, 101, 3);
    sim.run_for(12_000);
    sim.faults = Faults::default();
    sim.evacuate(&[]);
    sim.run_for(40_000);
    assert!(sim.all_done((1..10).chain(101..110)));
}

/// A request that is taken back and made again within a second holds, also beside a takeover.
#[test]
fn a_repeated_request_holds() {
    let mut sim = Simulation::new(86, 3, 2);
    sim.evacuate(&["dc0"]);
    sim.run_for(300);
    sim.evacuate(&[]);
    sim.run_for(300);
    sim.evacuate(&["dc0"]);
    sim.kill_newest_owner();
    sim.elect();
    sim.run_for(5_000);
    sim.submit(1, "sweep", "w0", spec(vec![step(48, 1, 1_000)]), 1_000);
    sim.run_for(900);
    assert_eq!(
        (sim.count_runs_in("dc0"), sim.count_runs_in("dc1")),
        (0, 16)
    );
}

/// Work near whose data nothing starts takes other workers at once.
#[test]
fn work_does_not_wait_for_workers_near_its_data_there() {
    let mut sim = Simulation::new(87, 3, 2);
    sim.evacuate(&["dc0"]);
    sim.run_for(500);
    let near = Step {
        near_rack: "r0".to_owned(),
        ..step(1, 1, 8_000)
    };
    let submitted_at = sim.now;
    sim.submit(1, "survey", "w0", spec(vec![near]), 8_000);
    sim.run_for(3_000);
    assert!(sim.started_at[&job_id(1)] < submitted_at + 200);
}

/// A gang for which only the evacuated data centre has room is neither refused nor started elsewhere in part:
/// it waits, and starts when the evacuation ends.
#[test]
fn work_that_fits_nowhere_else_waits_for_the_end() {
    let mut sim = Simulation::new(88, 1, 4);
    sim.evacuate(&["dc0"]);
    sim.run_for(500);
    let gang = Step {
        gang: true,
        ..step(4, 8, 1_000)
    };
    sim.submit(1, "urgent", "w0", spec(vec![gang]), 1_000);
    sim.run_for(10_000);
    assert_eq!((sim.status(1), sim.starts), (Some(JobStatus::Queued), 0));
    sim.evacuate(&[]);
    sim.run_for(300);
    assert_eq!(sim.starts, 4);
    sim.run_for(3_000);
    assert_eq!(sim.status(1), Some(JobStatus::Done));
}

/// A store that answers with an older state changes nothing; one transaction may change several requests.
#[test]
fn an_older_state_is_ignored() {
    let dcs =
        |names: &[&str]| -> BTreeSet<String> { names.iter().map(|n| (*n).to_owned()).collect() };
    let mut known = Evacuations::default();
    assert!(known.replace(dcs(&["a"]), 10));
    assert!(known.set("b", true, 12) && known.set("a", false, 12));
    assert!(!known.replace(dcs(&["a"]), 11) && !known.set("a", true, 11));
    assert_eq!(known.dcs(), &dcs(&["b"]));
    assert!(known.set("b", false, 13) && known.set("b", true, 14));
    assert_eq!(known.dcs(), &dcs(&["b"]));
    assert!(known.replace(dcs(&[]), 14));
}
