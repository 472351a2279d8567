//! The `config` and `workspace` commands.

use clap::ArgMatches;
use marigoldglade::api::CALLER_HEADER;
use marigoldglade::config::{Config, Workspace};
use marigoldglade::config_diff;
use marigoldglade::config_edit::Edit;
use marigoldglade::prelude::*;
use marigoldglade::yaml;
use serde_json::json;

use crate::call::Client;
use crate::jobs::read_file;
use crate::show::{self, Output};

/// The HTTP header with the version that a change is based on.
const BASE_HEADER: &str = "mg-base";

/// A version of the configuration; its number is 0 if none is stored.
struct Version {
    number: u64,
    text: String,
}

/// Runs a `config` command.
pub(crate) fn run(client: &Client, output: Output, matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("get", _)) => {
            let version = current(client)?;
            if output == Output::Json {
                println!(
                    "{:#}",
                    json!({"version": version.number, "text": version.text})
                );
            } else {
                println!("# version {}\n{}", version.number, version.text.trim_end());
            }
            Ok(())
        }
        Some(("check", sub)) => {
            let (file, text) = read_file(sub)?;
            Config::parse(&file, &text)?;
            println!("{file}: the configuration is good");
            Ok(())
        }
        Some(("diff", sub)) => diff(client, output, sub),
        Some(("apply", sub)) => {
            let (file, text) = read_file(sub)?;
            Config::parse(&file, &text)?;
            let base = match sub.get_one::<u64>("base") {
                Some(base) => *base,
                None => current(client)?.number,
            };
            let version = apply(client, base, &text)?;
            println!("version {version} was accepted");
            Ok(())
        }
        Some(("history", sub)) => history(client, output, sub),
        _ => Err(Error::new(Kind::BadInput, "a config command is missing")),
    }
}

/// Returns the current configuration, or an empty one if none is stored yet.
fn current(client: &Client) -> Result<Version> {
    match client.json("GET", "config", &[], &[]) {
        Ok(value) => Ok(Version {
            number: value["version"].as_u64().unwrap_or(0),
            text: value["text"].as_str().unwrap_or_default().to_owned(),
        }),
        Err(e) if e.kind == Kind::NotReady => Ok(Version {
            number: 0,
            text: String::new(),
        }),
        Err(e) => Err(e),
    }
}

/// Applies a configuration if `base` is the newest version; returns the new version.
fn apply(client: &Client, base: u64, text: &str) -> Result<u64> {
    let headers = [(BASE_HEADER, base.to_string()), author()];
    let value = client.json("PUT", "config", &headers, text.as_bytes())?;
    Ok(value["version"].as_u64().unwrap_or(0))
}

/// Lists the workspaces of the current configuration.
fn workspaces(client: &Client, output: Output) -> Result<()> {
    let version = current(client)?;
    let config = Config::parse("configuration", &version.text)?;
    let value = serde_json::to_value(&config.workspaces)
        .map_err(|e| Error::new(Kind::Internal, e.to_string()))?;
    show::print(
        output,
        &value,
        &["name", "labels", "where", "guarantee", "quota"],
    );
    Ok(())
}

/// Shows the changes between the current configuration and a file, by section and name.
fn diff(client: &Client, output: Output, matches: &ArgMatches) -> Result<()> {
    let (file, text) = read_file(matches)?;
    let new = Config::parse(&file, &text)?;
    let old = Config::parse("configuration", &current(client)?.text)?;
    let changes = config_diff::diff(&old, &new);
    let value =
        serde_json::to_value(changes).map_err(|e| Error::new(Kind::Internal, e.to_string()))?;
    show::print(output, &value, &["section", "name", "edit"]);
    Ok(())
}

/// Lists earlier versions, or prints one.
fn history(client: &Client, output: Output, matches: &ArgMatches) -> Result<()> {
    let Some(number) = matches.get_one::<u64>("version") else {
        let value = client.json("GET", "config/history", &[], &[])?;
        show::print(output, &value, &["version", "at", "author", "changes"]);
        return Ok(());
    };
    let value = client.json("GET", &format!("config/history/{number}"), &[], &[])?;
    if output == Output::Json {
        show::print(output, &value, &[]);
    } else {
        println!("{}", value["text"].as_str().unwrap_or_default().trim_end());
    }
    Ok(())
}

/// Sends an edit, which the daemon applies to the newest version.
pub(crate) fn edit(client: &Client, edit: &Edit) -> Result<()> {
    let body = serde_json::to_vec(edit).map_err(|e| Error::new(Kind::Internal, e.to_string()))?;
    let headers = [author()];
    let value = client.json("POST", "config/edits", &headers, &body)?;
    println!("version {} was accepted", value["version"]);
    Ok(())
}

/// Returns the header with the author of a change, which the history shows.
fn author() -> (&'static str, String) {
    let user = std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
    (CALLER_HEADER, user)
}

/// Runs a `workspace` command.
pub(crate) fn run_workspace(client: &Client, output: Output, matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("set", sub)) => {
            let (file, text) = read_file(sub)?;
            let workspace: Workspace = yaml::read(&file, &text)?;
            edit(client, &Edit::SetWorkspace { workspace })
        }
        Some(("drop", sub)) => {
            let name = sub.get_one::<String>("name").cloned().unwrap_or_default();
            edit(client, &Edit::DropWorkspace { name })
        }
        _ => workspaces(client, output),
    }
}
