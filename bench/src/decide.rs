//! The time of a planner's decision and the memory of its state, by the number of workers.

use std::time::Instant;

use clap::Command;
use hdrhistogram::Histogram;

use crate::full::FullPlanner;

/// The fleet sizes, in workers with 8 accelerators.
const SIZES: [usize; 4] = [50, 200, 550, 1_100];
/// The number of measurements of a turn and of a tick.
const RUNS: usize = 2_000;
/// The number of measurements of a flap, a decision about the whole fleet.
const FLEET_RUNS: usize = 20;

/// Returns the subcommand.
pub fn command() -> Command {
    Command::new("decide").about("Cost of a decision and memory, from 50 to 1,100 workers")
}

/// Prints a row for each fleet size.
pub fn run() {
    println!(
        "workers  tasks   turn-p50  turn-p99   tick-p50  tick-p99   flap-p50 (us)  memory (KB)"
    );
    for workers in SIZES {
        let before = resident_kb();
        let mut full = FullPlanner::new(workers);
        let memory = resident_kb().saturating_sub(before);
        let turn = time(RUNS, || full.turn());
        let tick = time(RUNS, || full.tick());
        let flap = time(FLEET_RUNS, || full.flap());
        println!(
            "{workers:7} {:6} {:10.1} {:9.1} {:10.1} {:9.1} {:10.1} {memory:18}",
            workers * 8,
            turn.0,
            turn.1,
            tick.0,
            tick.1,
            flap.0,
        );
    }
}

/// Returns the median and the 99th percentile of a call, in microseconds.
fn time(runs: usize, mut call: impl FnMut()) -> (f64, f64) {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 60_000_000_000, 3) else {
        return (f64::NAN, f64::NAN);
    };
    for _ in 0..runs {
        let begin = Instant::now();
        call();
        histogram.saturating_record(u64::try_from(begin.elapsed().as_nanos()).unwrap_or(u64::MAX));
    }
    let at = |q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    (at(0.5), at(0.99))
}

/// Returns the resident memory of this process, in KB.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let words = line.and_then(|l| l.split_whitespace().next());
    words.and_then(|w| w.parse().ok()).unwrap_or(0)
}
