//! A new owner and the workers: the planner gets no worker before it has reported, and a worker
//! that has reported obeys no former owner.

use std::sync::Arc;

use marigoldglade::config::Config;
use marigoldglade::jobs::{Action, Event, Owner};
use marigoldglade::plan;
use marigoldglade::prelude::*;
use marigoldglade::store::{Body, Reply};
use marigoldglade::wire::{Orders, Role, Vm};
use standin::worker::Worker;

const NOW: UnixMs = UnixMs(1_000_000);

fn shown(out: &[Action]) -> bool {
    let shows = |a: &Action| matches!(a, Action::Plan(plan::Event::Worker(_)));
    out.iter().any(shows)
}

#[test]
fn the_planner_gets_a_worker_only_after_its_report() {
    let mut owner = Owner::new("kista", 7, NOW.after(8_000), 1);
    let mut out = Vec::new();
    let vm = Vm {
        name: "w0".to_owned(),
        addr: "127.0.0.1:1".to_owned(),
        role: Role::Worker,
        dc: "kista".to_owned(),
        rack: "r1".to_owned(),
        accels: 8,
        slots: 0,
        labels: Labels::new(),
        leaving: false,
    };
    owner.step(NOW, Event::Config(Arc::new(Config::default()), 1), &mut out);
    owner.step(NOW, Event::WorkerListed(vm), &mut out);
    let page = Body::Range {
        pairs: Vec::new(),
        more: false,
    };
    let reply = Reply {
        revision: 9,
        body: page,
    };
    owner.step(NOW, Event::Store(1, Ok(reply)), &mut out);
    assert!(owner.is_ready() && !shown(&out));
    let asked = |a: &Action| matches!(a, Action::RequestReport(name, 7) if name == "w0");
    assert!(out.iter().any(asked));
    let report = Worker::new("w0", 8).report(NOW, 7);
    owner.step(NOW, Event::Report(report), &mut out);
    assert!(shown(&out));
}

#[test]
fn a_worker_that_reported_obeys_no_former_owner() {
    let mut worker = Worker::new("w0", 8);
    worker.report(NOW, 7);
    let orders = |epoch| Orders {
        epoch,
        orders: Vec::new(),
    };
    assert_eq!(worker.execute(NOW, &orders(6)), None);
    assert_eq!(worker.execute(NOW, &orders(7)), Some(Vec::new()));
}
