//! Runs one case of the review: starts the stand-ins of the platform and the daemons, plays the
//! disruption unless `TROUBLE=0`, and checks the rule by what callers and workers have seen.
//!
//! Usage: `review-standin CASE DAEMON FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case couldn't run.

mod crash;
mod http;
mod late_start;
mod overlap;
mod refused;
mod starve;
mod store_proxy;
mod world;

use std::path::Path;
use std::process::ExitCode;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, daemon, folder] = args.as_slice() else {
        eprintln!("usage: review-standin CASE DAEMON FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let run = match case.as_str() {
        "overlap" => overlap::run,
        "refused" => refused::run,
        "crash" => crash::run,
        "late-start" => late_start::run,
        "starve" => starve::run,
        _ => {
            eprintln!("there is no case {case}");
            return ExitCode::from(2);
        }
    };
    match run(Path::new(daemon), Path::new(folder), trouble) {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
