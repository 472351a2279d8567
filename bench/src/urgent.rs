//! Start times of urgent gangs while the fleet is overloaded: reserved capacity compared with
//! preemption on demand.

use clap::{Arg, ArgMatches, Command, value_parser};
use marigoldglade::order::QueueOrder;
use marigoldglade::planner::Policy;

use crate::replay::{JobKind, Trace, mean_percent, quantile_s, replay};

/// One minute, in milliseconds.
const MINUTE_MS: u64 = 60_000;
/// The length of the trace, in milliseconds.
const SPAN_MS: u64 = 120 * MINUTE_MS;
/// When the overload begins, in milliseconds.
const FLOOD_MS: u64 = 20 * MINUTE_MS;

/// Returns the subcommand.
pub fn command() -> Command {
    Command::new("urgent")
        .about("Submit-to-start of urgent gangs in a flood of ten times the fleet in surveys")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("7"),
        )
}

/// Replays the same overload under each policy and prints the tables.
pub fn run(matches: &ArgMatches) {
    let seed = matches.get_one("seed").copied().unwrap_or(7);
    let ours = Policy::default();
    let policies = [
        ("reserve", ours),
        (
            "stop-only",
            Policy {
                reserve: false,
                throttle: false,
                ..ours
            },
        ),
        (
            "throttle-stop",
            Policy {
                reserve: false,
                ..ours
            },
        ),
        (
            "fifo",
            Policy {
                order: QueueOrder::Fifo,
                reserve: false,
                drain: false,
                ..ours
            },
        ),
    ];
    for every_s in [60, 20, 5] {
        let trace = flood(every_s * 1_000);
        println!(
            "# {} workers, urgent gang every {every_s} s, seed {seed}",
            trace.workers
        );
        println!(
            "policy         urgent  start-p50  p99  max (s)  model-p99  used%  stops  violations"
        );
        for (name, policy) in policies {
            let out = replay(&trace, policy, seed);
            let empty = (Vec::new(), Vec::new());
            let starts = &out.times.get("check").unwrap_or(&empty).0;
            let models = &out.times.get("model").unwrap_or(&empty).0;
            println!(
                "{name:14} {:6} {:9.3} {:8.3} {:8.3} {:9.3} {:6.1} {:6} {:6}",
                starts.len(),
                quantile_s(starts, 0.5),
                quantile_s(starts, 0.99),
                quantile_s(starts, 1.0),
                quantile_s(models, 0.99),
                mean_percent(&out.used),
                out.stops.0,
                out.violations,
            );
        }
        println!();
    }
}

/// Returns a trace in which small jobs overload the fleet; `interval_ms` is the mean time between
/// the arrivals of urgent gangs.
fn flood(interval_ms: u64) -> Trace {
    let survey = JobKind {
        name: "survey",
        workspace: "moss",
        urgency: 8,
        shapes: &[(1, 1), (1, 2), (1, 4)],
        run_ms: 30 * MINUTE_MS,
        // The arrivals of ten minutes need ten times the fleet's 400 accelerators: a gang has 7/3
        // accelerators on average.
        interval_ms: 350,
        window_ms: (FLOOD_MS, FLOOD_MS + 10 * MINUTE_MS),
        checkpoint: true,
        preemptible: true,
    };
    let check = JobKind {
        name: "check",
        workspace: "crew",
        urgency: 0,
        shapes: &[(1, 1), (1, 2)],
        run_ms: 20_000,
        interval_ms,
        window_ms: (0, SPAN_MS),
        ..survey.clone()
    };
    let model = JobKind {
        name: "model",
        workspace: "ceremony",
        urgency: 5,
        shapes: &[(8, 8)],
        run_ms: 5 * MINUTE_MS,
        interval_ms: 15 * MINUTE_MS,
        window_ms: (0, SPAN_MS),
        preemptible: false,
        ..survey.clone()
    };
    Trace {
        name: "flood",
        workers: 50,
        workspaces: vec![("moss", 4, 0), ("ceremony", 0, 1), ("crew", 2, 0)],
        kinds: vec![survey, check, model],
        span_ms: SPAN_MS,
    }
}
