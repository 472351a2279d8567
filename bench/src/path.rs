//! Round-trip time of a request through a daemon compared with the same request sent directly to a
//! runner.

use std::time::Instant;

use clap::{Arg, ArgMatches, Command, value_parser};
use hdrhistogram::Histogram;

/// The longest round trip that the histogram records, in microseconds.
const MAX_ROUND_TRIP_US: u64 = 60_000_000;
/// The number of round trips before the measurement.
const WARM_UP: u32 = 200;

/// Returns the subcommand.
pub(crate) fn command() -> Command {
    let url = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).required(true).help(help)
    };
    Command::new("path")
        .about("Round trip through a daemon and a direct one")
        .arg(url("daemon", "A daemon's request URL"))
        .arg(url("runner", "A runner's URL"))
        .arg(
            Arg::new("count")
                .long("count")
                .help("Round trips of each kind")
                .default_value("5000")
                .value_parser(value_parser!(u32)),
        )
}

/// Alternates between direct requests and requests through the daemon, so that the machine's load
/// affects both equally.
pub(crate) fn run(matches: &ArgMatches) {
    let url = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let count = matches.get_one::<u32>("count").copied().unwrap_or(1);
    let agent = ureq::Agent::new_with_defaults();
    let mut paths = [("direct", url("runner")), ("daemon", url("daemon"))]
        .map(|(name, url)| (name, url, new_histogram()));
    for turn in 0..WARM_UP + count {
        for (_, url, histogram) in &mut paths {
            let start = Instant::now();
            let answer = agent.post(url.as_str()).send("is helmet 4711 fit to wear?");
            let mut answer = answer.unwrap_or_else(|e| panic!("{url}: {e}"));
            let body = answer.body_mut().read_to_vec();
            assert!(body.is_ok(), "{url}: expected a complete answer");
            if turn >= WARM_UP {
                let us = u64::try_from(start.elapsed().as_micros()).unwrap_or(MAX_ROUND_TRIP_US);
                histogram.saturating_record(us);
            }
        }
    }
    println!("way     p50_us  p99_us  p99.9_us");
    for (name, _, histogram) in &paths {
        let at = |q| histogram.value_at_quantile(q);
        println!("{name:<6} {:>7} {:>7} {:>9}", at(0.5), at(0.99), at(0.999));
    }
    let p50 = |i: usize| paths[i].2.value_at_quantile(0.5);
    println!("ratio of the medians: {:.2}", ratio(p50(1), p50(0)));
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_ROUND_TRIP_US, 3).expect("the bounds are valid")
}

fn ratio(a: u64, b: u64) -> f64 {
    a as f64 / b.max(1) as f64
}
