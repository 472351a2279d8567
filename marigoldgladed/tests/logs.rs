//! What a daemon's log lines say, and what is left of them when a collector cuts them.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;

use cluster::{Cluster, job, wait_until};
use serde_json::Value;

fn parse(line: &str) -> Value {
    serde_json::from_str(line).expect("a line is JSON")
}

#[test]
fn every_line_begins_with_its_message_and_keeps_its_keys() {
    let c = Cluster::new(1, 1);
    let daemon = &c.daemons[0];
    assert_eq!(daemon.submit(1, &job("run_ms=100", 4)), 200);
    wait_until("completion", || daemon.state(1) == "completed");
    let lines = daemon.raw_log_lines();
    assert!(lines.len() > 10);
    for line in lines {
        assert!(line.starts_with("{\"message\":\""), "{line}");
        let value = parse(&line);
        for key in ["message", "level", "module"] {
            assert!(value[key].is_string(), "{key} in {line}");
        }
        assert!(value["at_ms"].is_u64(), "{line}");
    }
}
