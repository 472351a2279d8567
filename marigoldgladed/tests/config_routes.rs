//! Operators change the configuration through real daemons, in turn and concurrently.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Answer, CONFIG, Daemon, Fleet, call, wait_for};
use marigoldglade::api::Problem;
use marigoldglade::config::Config;
use marigoldglade::prelude::*;
use serde_json::Value;

fn edit(daemon: &Daemon, vm: &str) -> Answer {
    let body = format!("{{\"edit\": \"drain-vm\", \"name\": \"{vm}\", \"drain\": true}}");
    let headers = [("mg-caller", "anna")];
    call("POST", &daemon.url("config/edits"), &headers, &body)
}

fn get(daemon: &Daemon, path: &str) -> Value {
    let response = call("GET", &daemon.url(path), &[], "");
    assert_eq!(response.status, 200, "{}", response.body);
    serde_json::from_str(&response.body).expect("JSON")
}

#[test]
fn an_edit_makes_a_new_version_with_its_changes_in_the_history() {
    let fleet = Fleet::start(0, 0, CONFIG);
    let daemon = fleet.first();
    assert_eq!(edit(daemon, "worker-1").status, 200);
    let rows = get(daemon, "config/history");
    assert_eq!(rows.as_array().map(Vec::len), Some(2), "{rows}");
    assert_eq!(rows[1]["author"], "anna");
    assert_eq!(
        rows[1]["changes"],
        serde_json::json!(["vms.worker-1: added"])
    );
    assert_eq!(get(daemon, "config/history/1")["text"], CONFIG);
    let missing = call("GET", &daemon.url("config/history/9"), &[], "");
    assert_eq!(missing.status, 404);
}

#[test]
fn a_text_with_problems_is_refused_with_their_positions() {
    let fleet = Fleet::start(0, 0, CONFIG);
    let text = CONFIG.replace("urgency: 6", "urgency: 60");
    let headers = [("mg-base", "1")];
    let response = call("PUT", &fleet.first().url("config"), &headers, &text);
    let problem: Problem = serde_json::from_str(&response.body).expect("a problem");
    assert_eq!((response.status, problem.kind), (400, Kind::BadInput));
    let (line, found) = text
        .lines()
        .enumerate()
        .find(|l| l.1.contains("60"))
        .expect("the line");
    let column = found.find("60").map(|at| at + 1).expect("the value");
    let position = format!("configuration:{}:{column}", line + 1);
    let expected = format!("{position}: classes[1].urgency: expected 0 to 9, got 60");
    assert_eq!(problem.detail, expected);
}

#[test]
fn concurrent_edits_through_two_daemons_are_all_applied() {
    let fleet = Fleet::start_many(2, 0, 0, CONFIG);
    let applied: usize = std::thread::scope(|scope| {
        let fleet = &fleet;
        let editors: Vec<_> = (0..2)
            .map(|who| {
                scope.spawn(move || {
                    let daemon = &fleet.daemons[who];
                    let edits = (0..10).map(|i| edit(daemon, &format!("vm-{who}-{i}")));
                    edits.filter(|response| response.status == 200).count()
                })
            })
            .collect();
        let counts = editors.into_iter().map(|e| e.join().expect("an editor"));
        counts.sum()
    });
    // An edit that lost every try to other edits was refused, and isn't in the configuration.
    let newest = 1 + applied as u64;
    for daemon in &fleet.daemons {
        wait_for("the newest version", || {
            (get(daemon, "config")["version"] == newest).then_some(())
        });
        let text = get(daemon, "config")["text"].as_str().map(str::to_owned);
        let config = Config::parse("text", &text.unwrap_or_default()).expect("it parses");
        assert_eq!(config.vms.len(), applied);
    }
}

#[test]
fn of_two_texts_on_one_base_exactly_one_wins() {
    let fleet = Fleet::start_many(2, 0, 0, CONFIG);
    for round in 1..=5 {
        let base = round.to_string();
        for daemon in &fleet.daemons {
            wait_for("the base", || {
                (get(daemon, "config")["version"] == round).then_some(())
            });
        }
        let statuses: Vec<u16> = std::thread::scope(|scope| {
            let put = |who: usize| {
                let text = format!("{CONFIG}vms: [{{name: vm-{round}-{who}, drain: true}}]\n");
                let headers = [("mg-base", base.as_str())];
                call("PUT", &fleet.daemons[who].url("config"), &headers, &text).status
            };
            let other = scope.spawn(move || put(1));
            vec![put(0), other.join().expect("an operator")]
        });
        let mut sorted = statuses.clone();
        sorted.sort_unstable();
        assert_eq!(sorted, [200, 409], "round {round}");
    }
}
