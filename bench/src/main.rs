//! Benchmarks that drive the shipping decisions; one subcommand a matter, each prints a table.

mod decide;
mod frag;
mod full;
mod path;
mod replay;
mod urgent;

use clap::Command;

fn main() {
    let matches = Command::new("bench")
        .about("Benchmarks of marigoldglade")
        .subcommand_required(true)
        .subcommand(path::command())
        .subcommand(decide::command())
        .subcommand(frag::command())
        .subcommand(urgent::command())
        .get_matches();
    match matches.subcommand() {
        Some(("path", sub)) => path::run(sub),
        Some(("decide", _)) => decide::run(),
        Some(("frag", sub)) => frag::run(sub),
        Some(("urgent", sub)) => urgent::run(sub),
        _ => unreachable!("clap knows the subcommands"),
    }
}
