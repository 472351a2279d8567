//! Command line of marigoldglade: calls a daemon and prints its answer as a table or as JSON.

mod args;
mod call;
mod configs;
mod jobs;
mod show;
mod vms;

use std::process::ExitCode;

use clap::ArgMatches;
use marigoldglade::prelude::*;

use crate::call::Client;
use crate::show::Output;

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("marigoldglade: {e}");
            ExitCode::from(e.kind.properties().exit_code)
        }
    }
}

fn run(matches: &ArgMatches) -> Result<()> {
    let client = Client::new(args::daemons(matches));
    let output = args::output(matches);
    let Some((name, sub)) = matches.subcommand() else {
        return Err(Error::new(Kind::BadInput, "a command is missing"));
    };
    match name {
        "completion" => {
            args::print_completion(sub);
            Ok(())
        }
        "submit" => jobs::submit(&client, output, sub),
        "cancel" => jobs::cancel(&client, output, sub),
        "status" => jobs::status(&client, output, sub),
        "list" => jobs::list(&client, output),
        "explain" => jobs::explain(&client, output, sub),
        "request" => jobs::request(&client, sub),
        "config" => configs::run(&client, output, sub),
        "workspace" => configs::run_workspace(&client, output, sub),
        "vm" => vms::run(&client, output, sub),
        "fleet" => fleet(&client, output),
        "events" => show_route(&client, output, "events"),
        _ => Err(Error::new(Kind::BadInput, format!("no command {name}"))),
    }
}

/// Shows the answer of a route with all columns.
fn show_route(client: &Client, output: Output, route: &str) -> Result<()> {
    let value = client.json("GET", route, &[], &[])?;
    show::print(output, &value, &[]);
    Ok(())
}

/// Shows the usage of each workspace and the free capacity, by data centre.
fn fleet(client: &Client, output: Output) -> Result<()> {
    let value = client.json("GET", "fleet", &[], &[])?;
    if output == Output::Json {
        show::print(output, &value, &[]);
        return Ok(());
    }
    let field = |name: &str| -> Vec<serde_json::Value> {
        let fleets = value.as_array().into_iter().flatten();
        fleets.map(|f| f[name].clone()).collect()
    };
    let workspaces = field("workspaces").into_iter();
    let workspaces: Vec<_> = workspaces
        .filter_map(|s| s.as_array().cloned())
        .flatten()
        .collect();
    let columns = ["dc", "workspace", "guarantee", "used", "missing", "quota"];
    show::print(output, &workspaces.into(), &columns);
    println!();
    let columns = ["dc", "workers", "accels", "whole", "adjacent"];
    show::print(output, &field("free").into(), &columns);
    Ok(())
}
