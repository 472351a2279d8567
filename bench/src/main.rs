//! Benchmarks of the production code; each subcommand prints a table.

mod capacity;
mod decide;
mod engine;
mod entry;
#[expect(dead_code, reason = "the tests use more of it")]
#[path = "../../marigoldglade/tests/member/fleet.rs"]
mod fleet;
mod flood;
mod frag;
mod full;
mod membership;
mod meter;
mod path;
mod replay;
mod urgent;
mod whole;

use clap::Command;

fn main() {
    let matches = Command::new("bench")
        .about("Benchmarks of marigoldglade")
        .subcommand_required(true)
        .subcommand(capacity::command())
        .subcommand(decide::command())
        .subcommand(engine::command())
        .subcommand(entry::command())
        .subcommand(flood::command())
        .subcommand(frag::command())
        .subcommand(membership::command())
        .subcommand(path::command())
        .subcommand(urgent::command())
        .subcommand(whole::command())
        .get_matches();
    match matches.subcommand() {
        Some(("capacity", sub)) => capacity::run(sub),
        Some(("decide", _)) => decide::run(),
        Some(("engine", sub)) => engine::run(sub),
        Some(("entry", sub)) => entry::run(sub),
        Some(("flood", sub)) => flood::run(sub),
        Some(("frag", sub)) => frag::run(sub),
        Some(("membership", sub)) => membership::run(sub),
        Some(("path", sub)) => path::run(sub),
        Some(("urgent", sub)) => urgent::run(sub),
        Some(("whole", sub)) => whole::run(sub),
        _ => unreachable!("clap knows the subcommands"),
    }
}
