//! Fragmentation and completion time of this planner compared with first fit, worst fit and FIFO.

use clap::{Arg, ArgMatches, Command, value_parser};
use marigoldglade::order::QueueOrder;
use marigoldglade::place::Fit;
use marigoldglade::planner::Policy;
use marigoldglade::reclaim::VictimOrder;

use crate::replay::{JobKind, Outcome, Trace, mean_percent, quantile_s, replay};

/// One hour, in milliseconds.
const HOUR_MS: u64 = 3_600_000;
/// One minute, in milliseconds.
const MINUTE_MS: u64 = 60_000;
/// The length of a trace, in milliseconds.
const SPAN_MS: u64 = 12 * HOUR_MS;

/// Returns the subcommand.
pub fn command() -> Command {
    Command::new("frag")
        .about("Fragmentation and completion time against first fit, worst fit and FIFO")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("7"),
        )
}

/// Replays both traces under each policy and prints a table for each trace.
pub fn run(matches: &ArgMatches) {
    let seed = matches.get_one("seed").copied().unwrap_or(7);
    for trace in [register(), memorials()] {
        println!(
            "# {} ({} workers, {} h, seed {seed})",
            trace.name,
            trace.workers,
            SPAN_MS / HOUR_MS
        );
        let head = "policy        used%  stranded%  worker  rack  stops  lost-accel-h  violations";
        println!("{head}  kind: done/left start-p50 start-p99 end-p50 end-p99 (s)");
        for (name, policy) in policies() {
            print_row(name, &trace, &replay(&trace, policy, seed));
        }
        println!();
    }
}

fn policies() -> Vec<(&'static str, Policy)> {
    let ours = Policy::default();
    vec![
        ("ours", ours),
        (
            "first-fit",
            Policy {
                fit: Fit::First,
                ..ours
            },
        ),
        (
            "worst-fit",
            Policy {
                fit: Fit::Worst,
                ..ours
            },
        ),
        (
            "fifo",
            Policy {
                order: QueueOrder::Fifo,
                drain: false,
                ..ours
            },
        ),
        (
            "no-drain",
            Policy {
                drain: false,
                ..ours
            },
        ),
        (
            "youngest",
            Policy {
                victim_order: VictimOrder::Youngest,
                ..ours
            },
        ),
        (
            "selector",
            Policy {
                victim_order: VictimOrder::Selector,
                ..ours
            },
        ),
    ]
}

fn print_row(name: &str, trace: &Trace, out: &Outcome) {
    let mean = |pick: fn(&(u8, u8)) -> u8| {
        let sum: u32 = out.blocks.iter().map(|b| u32::from(pick(b))).sum();
        f64::from(sum) / out.blocks.len().max(1) as f64
    };
    print!(
        "{name:12} {:6.1} {:9.1} {:8.2} {:5.2} {:6} {:13.1} {:11}",
        mean_percent(&out.used),
        mean_percent(&out.stranded),
        mean(|b| b.0),
        mean(|b| b.1),
        out.stops.0,
        out.stops.1 / 3_600.0,
        out.violations,
    );
    for kind in &trace.kinds {
        let empty = (Vec::new(), Vec::new());
        let (starts, ends) = out.times.get(kind.name).unwrap_or(&empty);
        print!(
            "  {}: {}/{} {:.1} {:.1} {:.0} {:.0}",
            kind.name,
            ends.len(),
            out.unfinished.get(kind.name).unwrap_or(&0),
            quantile_s(starts, 0.5),
            quantile_s(starts, 0.99),
            quantile_s(ends, 0.5),
            quantile_s(ends, 0.99),
        );
    }
    println!();
}

/// Returns a trace of many small jobs with a few gangs that take several workers.
fn register() -> Trace {
    let kind = JobKind {
        name: "sweep",
        workspace: "alfa",
        urgency: 6,
        shapes: &[(1, 1), (1, 2), (1, 4), (2, 4), (1, 8)],
        run_ms: 40 * MINUTE_MS,
        interval_ms: 45_000,
        window_ms: (0, SPAN_MS),
        checkpoint: true,
        preemptible: true,
    };
    let kinds = vec![
        kind.clone(),
        JobKind {
            name: "reminder",
            workspace: "beta",
            urgency: 4,
            shapes: &[(1, 1), (1, 2)],
            run_ms: 10 * MINUTE_MS,
            interval_ms: 30_000,
            checkpoint: false,
            preemptible: false,
            ..kind.clone()
        },
        JobKind {
            name: "gang",
            workspace: "gamma",
            urgency: 6,
            shapes: &[(2, 8), (4, 8), (16, 1)],
            run_ms: 60 * MINUTE_MS,
            interval_ms: 15 * MINUTE_MS,
            ..kind.clone()
        },
        JobKind {
            name: "check",
            workspace: "delta",
            urgency: 0,
            shapes: &[(1, 1)],
            run_ms: 20_000,
            interval_ms: 60_000,
            ..kind
        },
    ];
    Trace {
        name: "register",
        workers: 50,
        workspaces: vec![
            ("alfa", 8, 0),
            ("beta", 8, 0),
            ("gamma", 0, 1),
            ("delta", 4, 0),
        ],
        kinds,
        span_ms: SPAN_MS,
    }
}

/// Returns a trace of long jobs in large gangs among many small jobs.
fn memorials() -> Trace {
    let kind = JobKind {
        name: "survey",
        workspace: "moss",
        urgency: 8,
        shapes: &[(1, 1), (1, 2), (1, 4)],
        run_ms: 30 * MINUTE_MS,
        interval_ms: 15_000,
        window_ms: (0, SPAN_MS),
        checkpoint: true,
        preemptible: true,
    };
    let kinds = vec![
        kind.clone(),
        JobKind {
            name: "scan",
            workspace: "lichen",
            urgency: 6,
            shapes: &[(32, 1), (4, 8), (64, 1)],
            run_ms: 120 * MINUTE_MS,
            interval_ms: 40 * MINUTE_MS,
            ..kind.clone()
        },
        JobKind {
            name: "model",
            workspace: "ceremony",
            urgency: 5,
            shapes: &[(8, 8), (1, 8), (2, 8)],
            run_ms: 45 * MINUTE_MS,
            interval_ms: 60 * MINUTE_MS,
            checkpoint: false,
            ..kind.clone()
        },
        JobKind {
            name: "check",
            workspace: "crew",
            urgency: 0,
            shapes: &[(1, 1), (1, 2)],
            run_ms: 20_000,
            interval_ms: 60_000,
            ..kind
        },
    ];
    Trace {
        name: "memorials",
        workers: 50,
        workspaces: vec![
            ("moss", 4, 0),
            ("lichen", 0, 2),
            ("ceremony", 0, 1),
            ("crew", 4, 0),
        ],
        kinds,
        span_ms: SPAN_MS,
    }
}
