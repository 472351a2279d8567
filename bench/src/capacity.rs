//! Cost of each role at the planned size, from linear fits over three or more sizes.
//!
//! It measures the production encoders and decisions. `bench whole` measures entire daemons.

mod config;
mod owners;
mod placement;
mod records;
mod shares;
mod workers;

use clap::{ArgMatches, Command};

/// The planned number of workers.
pub(crate) const WORKERS: f64 = 1_100.0;
/// The planned number of running tasks.
pub(crate) const TASKS: f64 = 8_800.0;
/// The planned number of workspaces.
pub(crate) const WORKSPACES: f64 = 390.0;
/// The planned number of data centres.
pub(crate) const CENTRES: f64 = 7.0;
/// The planned number of configuration changes a day.
pub(crate) const CONFIG_CHANGES: f64 = 570.0;
/// The planned number of jobs a day.
pub(crate) const JOBS: f64 = 710.0;
/// The seconds of a day.
pub(crate) const DAY_S: f64 = 86_400.0;

/// Returns the subcommand.
pub(crate) fn command() -> Command {
    Command::new("capacity").about("State, messages and processor time of each role")
}

/// Prints a table for each role.
pub(crate) fn run(_: &ArgMatches) {
    placement::run();
    config::run();
    workers::run();
    records::run();
    owners::run();
    shares::run();
}
