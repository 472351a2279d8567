//! Cost of reading the configuration: size of the document, time to parse it and memory.

use std::fmt::Write as _;

use marigoldglade::config::Config;
use marigoldglade::etcd;
use marigoldglade::store::{Call, Op, Txn};

use super::{CENTRES, CONFIG_CHANGES, DAY_S, WORKSPACES};
use crate::meter::{Line, cost_us, print_line, state_bytes};

/// The numbers of workspaces that are measured.
const SIZES: [usize; 4] = [50, 195, 390, 780];

/// Returns the text of a configuration with a number of workspaces, each with a guarantee in one
/// data centre.
pub(super) fn document(workspaces: usize) -> String {
    let mut text = String::from("centres:\n");
    for i in 0..CENTRES as usize {
        let _ = writeln!(text, "- {{name: dc{i}, region: region{}}}", i % 3);
    }
    text.push_str("classes:\n- {name: gate, matches: tier = gate, urgency: 0}\n");
    text.push_str("- {name: sweep, matches: tier = sweep, urgency: 7}\n");
    text.push_str("yields: [tier = sweep]\nworkspaces:\n");
    for i in 0..workspaces {
        let dc = i % CENTRES as usize;
        let _ = writeln!(text, "- name: workspace-{i}");
        let _ = writeln!(text, "  labels: {{team: team-{i}, tier: silver}}");
        let _ = writeln!(text, "  guarantee: [{{dc: dc{dc}, workers: 2}}]");
        let _ = writeln!(text, "  quota: 64");
    }
    text
}

pub(super) fn run() {
    println!("\nconfiguration reader, x = workspaces");
    let points = |f: &dyn Fn(usize) -> f64| SIZES.map(|n| (n as f64, f(n)));
    let text = points(&|n| document(n).len() as f64);
    print_line("document", "bytes", &text, WORKSPACES);
    let wire = points(&|n| {
        let value = document(n).into_bytes();
        let put = Call::Txn(Txn {
            then: vec![Op::Put("/mg/config".to_owned(), value, 0)],
            ..Txn::default()
        });
        etcd::encode(&put).1.to_string().len() as f64
    });
    print_line("document in a store message", "bytes", &wire, WORKSPACES);
    let parse = points(&|n| {
        let text = document(n);
        cost_us(|| Config::parse("bench", &text).is_ok())
    });
    print_line("parse and check", "cpu us", &parse, WORKSPACES);
    let state = points(&|n| {
        let text = document(n);
        state_bytes(64, || Config::parse("bench", &text))
    });
    print_line("state", "bytes", &state, WORKSPACES);
    let change_bytes = Line::fit(&wire).at(WORKSPACES);
    println!(
        "{CONFIG_CHANGES} changes a day: {:.0} bytes/s, {:.2} cpu us/s",
        change_bytes * CONFIG_CHANGES / DAY_S,
        Line::fit(&parse).at(WORKSPACES) * CONFIG_CHANGES / DAY_S
    );
}
