//! Benchmarks that drive the shipping decisions; one subcommand a matter, each prints a table.

mod capacity;
mod entry;
#[path = "../../marigoldglade/tests/member/fleet.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod fleet;
mod membership;
mod meter;
mod path;
mod whole;

use clap::Command;

fn main() {
    let matches = Command::new("bench")
        .about("Benchmarks of marigoldglade")
        .subcommand_required(true)
        .subcommand(path::command())
        .subcommand(membership::command())
        .subcommand(capacity::command())
        .subcommand(whole::command())
        .subcommand(entry::command())
        .get_matches();
    match matches.subcommand() {
        Some(("path", sub)) => path::run(sub),
        Some(("membership", sub)) => membership::run(sub),
        Some(("capacity", sub)) => capacity::run(sub),
        Some(("whole", sub)) => whole::run(sub),
        Some(("entry", sub)) => entry::run(sub),
        _ => unreachable!("clap knows the subcommands"),
    }
}
