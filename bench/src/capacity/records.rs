//! Size and encoding time of the store calls that write job records and claims, by batch size.

use marigoldglade::api::{JobSpec, Shape};
use marigoldglade::etcd;
use marigoldglade::store::{Call, Compare, Op, Txn};
use marigoldglade::time::UnixMs;

use super::{CENTRES, DAY_S, JOBS, TASKS};
use crate::meter::{Line, cost_us, print_line, state_bytes};

/// The numbers of records or claims in a transaction that are measured.
const BATCHES: [usize; 4] = [1, 8, 30, 60];
/// The store writes of a job: when it is accepted, starts, ends, and starts again after a
/// preemption.
const JOB_WRITES: f64 = 4.0;
/// The mean number of tasks in a gang.
const GANG_TASKS: f64 = 8.0;

fn spec(i: usize) -> JobSpec {
    JobSpec {
        workspace: format!("workspace-{}", i % 390),
        key: format!("sweep-2026-12-04-{i:04}"),
        labels: [("tier".to_owned(), "sweep".to_owned())].into(),
        shape: Shape {
            tasks: 8,
            accels: 1,
        },
        checkpoint: true,
        idempotent: true,
        run_ms: 3_600_000,
        deadline: UnixMs::MAX,
        body: "scan=borobudur-north;model=lichen-4".to_owned(),
    }
}

fn record_batch(jobs: usize) -> Call {
    let owner = "/mg/owner/dc0".to_owned();
    let put = |i| {
        let spec = spec(i);
        let key = format!("/mg/job/dc0/{}/{}", spec.workspace, spec.key);
        Op::Put(key, serde_json::to_vec(&spec).unwrap_or_default(), 0)
    };
    Call::Txn(Txn {
        when: vec![Compare::Created(owner, 123_456)],
        then: (0..jobs).map(put).collect(),
        other: Vec::new(),
    })
}

fn claim_batch(claims: usize) -> Call {
    let claim = |i: usize| {
        let key = format!("/mg/claim/foreman-{i}/reminder-2026-12-04-{i:04}");
        Op::Txn(Box::new(Txn {
            when: vec![Compare::Absent(key.clone())],
            then: vec![Op::Put(key.clone(), vec![7; 24], 0)],
            other: vec![Op::Get(key)],
        }))
    };
    Call::Txn(Txn {
        then: (0..claims).map(claim).collect(),
        ..Txn::default()
    })
}

fn bytes(call: &Call) -> f64 {
    etcd::encode(call).1.to_string().len() as f64
}

pub(super) fn run() {
    let points = |f: &dyn Fn(usize) -> f64| BATCHES.map(|n| (n as f64, f(n)));
    println!("\njob-record writer, x = jobs of one transaction");
    let wire = points(&|n| bytes(&record_batch(n)));
    print_line("transaction", "bytes", &wire, 60.0);
    let cost = points(&|n| {
        let call = record_batch(n);
        cost_us(|| bytes(&call))
    });
    print_line("encode", "cpu us", &cost, 60.0);
    let rate = JOBS * JOB_WRITES / CENTRES / DAY_S;
    let line = Line::fit(&wire);
    println!(
        "{JOBS} jobs a day: at most {rate:.4} calls/s and {:.1} bytes/s an owner",
        rate * line.at(1.0)
    );
    let live = TASKS / GANG_TASKS / CENTRES;
    let state: Vec<(f64, f64)> = [1_000, 4_000, 16_000]
        .iter()
        .map(|n| (*n as f64, state_bytes(*n, || spec(7)) * *n as f64))
        .collect();
    print_line("specs held, x = live jobs", "bytes", &state, live);
    println!("\nclaims, x = claims of one transaction");
    let wire = points(&|n| bytes(&claim_batch(n)));
    print_line("transaction", "bytes", &wire, 60.0);
    let cost = points(&|n| {
        let call = claim_batch(n);
        cost_us(|| bytes(&call))
    });
    print_line("encode", "cpu us", &cost, 60.0);
}
