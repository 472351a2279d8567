//! Service that each class and caller gets under overload: the production decisions compared with
//! baselines in seeded scenarios.

mod simulation;
mod trace;

use clap::{Arg, ArgMatches, Command, value_parser};
use marigoldglade::admit::{self, Load};
use marigoldglade::queue::Bounds;
use marigoldglade::requests::Policies;
use marigoldglade::slots;

use self::simulation::{DAEMONS, Outcome, TAIL_MS, Tally, WARM_UP_MS};
use self::trace::{CAPACITY, Scenario, Source};

/// The default queue limits of a daemon.
const BOUNDS: Bounds = Bounds {
    len: 4_096,
    bytes: 32 << 20,
};
/// The limits of a queue that is never full.
const UNBOUNDED: Bounds = Bounds {
    len: usize::MAX,
    bytes: u64::MAX,
};
/// The longest expected wait that the delay policy accepts, in milliseconds.
const DELAY_MS: f64 = 50.0;
/// The queue length at which the policy `fixed-queue` starts to refuse requests.
const FIXED_LENGTH: usize = 64;

/// Returns the subcommand.
pub(crate) fn command() -> Command {
    let number = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .default_value(value)
            .value_parser(value_parser!(u64))
    };
    Command::new("flood")
        .about("What classes and callers keep in a flood")
        .arg(number("seed", "1", "Seed of the traces"))
        .arg(number("seconds", "6", "Simulated time of a run"))
}

/// Runs every scenario under every policy and prints the tables.
pub(crate) fn run(matches: &ArgMatches) {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let (seed, length_ms) = (number("seed"), number("seconds") * 1_000);
    println!("seed {seed}, {length_ms} ms, capacity {CAPACITY} requests/ms, {DAEMONS} daemons");
    for scenario in scenarios() {
        let trace = trace::draw(&scenario, seed, length_ms + TAIL_MS, DAEMONS);
        println!("\n## {}", scenario.name);
        println!(
            "{:<12} {:<8} {:>8} {:>8} {:>6} {:>6} {:>6} {:>7}  refused by kind",
            "policy", "group", "asked/s", "good/s", "p50", "p99", "p99.9", "kept"
        );
        for (name, policies, bounds) in policies() {
            let outcome = simulation::run(&scenario, &trace, policies, bounds, length_ms);
            print_outcome(name, &outcome, length_ms);
        }
    }
}

fn policies() -> Vec<(&'static str, Policies, Bounds)> {
    let ours = Policies::default();
    let fifo = Policies {
        borrow_slots: false,
        admit: admit::accept_all,
        fair_callers: false,
        use_urgency: false,
        global_usage: false,
        ..ours
    };
    let admitted = |admit| Policies { admit, ..ours };
    let split = |slots| Policies {
        slots,
        borrow_slots: false,
        ..ours
    };
    vec![
        ("ours", ours, BOUNDS),
        ("fifo", fifo, BOUNDS),
        ("no-shedding", admitted(admit::accept_all), UNBOUNDED),
        (
            "no-fair",
            Policies {
                fair_callers: false,
                ..ours
            },
            BOUNDS,
        ),
        (
            "no-sketch",
            Policies {
                global_usage: false,
                ..ours
            },
            BOUNDS,
        ),
        ("fixed-queue", admitted(by_length), BOUNDS),
        ("delay", admitted(by_delay), BOUNDS),
        ("mean", admitted(admit::by_mean), BOUNDS),
        ("split", split(slots::split), BOUNDS),
        ("home", split(slots::all_to_one), BOUNDS),
        ("all-slots", split(slots::all_to_each), BOUNDS),
    ]
}

/// Accepts a request if the queue is shorter than [`FIXED_LENGTH`].
fn by_length(load: &Load) -> bool {
    load.queued < FIXED_LENGTH
}

/// Accepts a request whose expected wait is at most [`DELAY_MS`].
fn by_delay(load: &Load) -> bool {
    load.wait_ms() <= DELAY_MS
}

fn scenarios() -> Vec<Scenario> {
    let source = |group, tier, load, callers| Source {
        group,
        tier,
        load,
        callers,
        spread: false,
    };
    let three_tiers = |gate, sweep| {
        vec![
            source("gate", "gate", gate, 120),
            source("crew", "crew", 0.2, 60),
            source("sweep", "sweep", sweep, 60),
        ]
    };
    let small = source("small", "gate", 0.6, 120);
    let large = Source {
        group: "large",
        tier: "gate",
        load: 0.6 / 120.0 * 20.0,
        callers: 1,
        spread: true,
    };
    let overload = Source {
        load: 10.0,
        ..large
    };
    let scenario = |name, sources| Scenario {
        name,
        sources,
        skew: 1.0,
    };
    vec![
        scenario("calm", three_tiers(0.3, 0.2)),
        scenario("flood of the least urgent, 10x", three_tiers(0.3, 10.0)),
        scenario("flood of the most urgent, 10x", three_tiers(10.0, 0.2)),
        scenario("small callers alone", vec![small]),
        scenario("one caller at 20x a small one", vec![small, large]),
        scenario("one caller at 10x capacity", vec![small, overload]),
        Scenario {
            skew: 4.0,
            ..scenario(
                "one daemon gets 4 times the others' share",
                three_tiers(0.3, 0.2),
            )
        },
    ]
}

fn print_outcome(name: &str, outcome: &Outcome, length_ms: u64) {
    let seconds = (length_ms - WARM_UP_MS) as f64 / 1_000.0;
    for (group, tally) in &outcome.groups {
        println!("{name:<12} {group:<8} {}", format_row(tally, seconds));
    }
    let good: u64 = outcome.groups.values().map(|t| t.answered).sum();
    let percent = good as f64 / seconds / (CAPACITY * 1_000.0) * 100.0;
    println!(
        "{name:<12} all: good {percent:.1}% of capacity, retries {} of {} first sends, {} busy \
         answers, at most {} in a runner's slots",
        outcome.retried, outcome.sent, outcome.busy, outcome.max_used
    );
}

fn format_row(tally: &Tally, seconds: f64) -> String {
    let quantile = |q| tally.latencies.value_at_quantile(q);
    let refused: Vec<String> = tally
        .refused
        .iter()
        .map(|(k, n)| format!("{k} {n}"))
        .collect();
    format!(
        "{:>8.0} {:>8.0} {:>6} {:>6} {:>6} {:>6.1}%  {}",
        tally.received as f64 / seconds,
        tally.answered as f64 / seconds,
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
        tally.answered as f64 / tally.received.max(1) as f64 * 100.0,
        refused.join(", ")
    )
}
