//! What each role costs at the plan's size, from slopes over three or more sizes.
//!
//! Every figure comes from the shipping encoders and decisions; `bench fleet` adds what whole
//! daemons spend.

mod config;
mod owners;
mod placement;
mod records;
mod workers;

use clap::{ArgMatches, Command};

/// The plan's workers.
pub(crate) const WORKERS: f64 = 1_100.0;
/// The plan's running tasks.
pub(crate) const TASKS: f64 = 8_800.0;
/// The plan's workspaces.
pub(crate) const WORKSPACES: f64 = 390.0;
/// The plan's data centres.
pub(crate) const CENTRES: f64 = 7.0;
/// The plan's changes of the configuration a day.
pub(crate) const CHANGES: f64 = 570.0;
/// The plan's jobs a day.
pub(crate) const JOBS: f64 = 710.0;
/// The seconds of a day.
pub(crate) const DAY_S: f64 = 86_400.0;

/// Returns the subcommand.
pub(crate) fn command() -> Command {
    Command::new("capacity").about("State, messages and processor time of each role")
}

/// Prints a table a role.
pub(crate) fn run(_: &ArgMatches) {
    placement::run();
    config::run();
    workers::run();
    records::run();
    owners::run();
}
