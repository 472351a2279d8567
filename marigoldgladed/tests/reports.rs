//! Workers whose reports aren't snapshots, with a whole daemon.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;

use std::time::Duration;

use cluster::{Cluster, job, wait_until};

const JOBS: u64 = 40;
const TASKS: u32 = 12;
/// How much later than its completions a report lists the runs in progress.
const GAP: Duration = Duration::from_millis(30);

/// Tasks that were done, or had just begun, were started once more while their worker made a report.
#[test]
fn each_task_starts_once_though_reports_are_no_snapshots() {
    let cluster = Cluster::new(4, 1);
    for worker in &cluster.workers {
        worker.tear_reports(GAP);
    }
    let daemon = &cluster.daemons[0];
    for id in 1..=JOBS {
        let text = format!("run_ms={}", 60 + id * 7);
        assert_eq!(daemon.submit(id, &job(&text, TASKS)), 200);
    }
    for id in 1..=JOBS {
        wait_until("completion", || daemon.state(id) == "completed");
    }
    let tasks = JOBS * u64::from(TASKS);
    assert_eq!(u64::try_from(cluster.count_starts()), Ok(tasks));
}
