//! Benchmarks that drive the shipping decisions; one subcommand a matter, each prints a table.

mod path;

use clap::Command;

fn main() {
    let matches = Command::new("bench")
        .about("Benchmarks of marigoldglade")
        .subcommand_required(true)
        .subcommand(path::command())
        .get_matches();
    match matches.subcommand() {
        Some(("path", sub)) => path::run(sub),
        _ => unreachable!("clap knows the subcommands"),
    }
}
