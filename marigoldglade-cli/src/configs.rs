//! Commands of operators on the configuration: get, check, diff, apply, history, workspaces.

use clap::ArgMatches;
use marigoldglade::config::Config;
use marigoldglade::prelude::*;
use serde_json::{Value, json};

use crate::call::Client;
use crate::jobs::read_file;
use crate::show::{self, Output};

/// The header with the version that a change is based on.
const BASE_HEADER: &str = "mg-base";

/// A configuration with the version it has in the store; version 0 is none.
pub(crate) struct Version {
    pub(crate) number: u64,
    pub(crate) text: String,
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
        Some(("diff", sub)) => diff(client, sub),
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
        Some(("history", _)) => {
            let value = client.json("GET", "config/history", &[], &[])?;
            show::rows(output, &value, &[]);
            Ok(())
        }
        _ => Err(Error::new(Kind::BadInput, "a config command is missing")),
    }
}

/// Returns the configuration in force; an empty one when there is none yet.
pub(crate) fn current(client: &Client) -> Result<Version> {
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

/// Puts a text in force when `base` is the newest version; returns the new version.
pub(crate) fn apply(client: &Client, base: u64, text: &str) -> Result<u64> {
    let headers = [(BASE_HEADER, base.to_string())];
    let value = client.json("PUT", "config", &headers, text.as_bytes())?;
    Ok(value["version"].as_u64().unwrap_or(0))
}

/// Lists the workspaces of the configuration in force.
pub(crate) fn workspaces(client: &Client, output: Output) -> Result<()> {
    let version = current(client)?;
    let config = Config::parse("configuration", &version.text)?;
    let value = serde_json::to_value(&config.workspaces)
        .map_err(|e| Error::new(Kind::Internal, e.to_string()))?;
    show::rows(
        output,
        &value,
        &["name", "labels", "where", "guarantee", "quota"],
    );
    Ok(())
}

/// Shows each field that differs, by its path.
fn diff(client: &Client, matches: &ArgMatches) -> Result<()> {
    let (file, text) = read_file(matches)?;
    let to_value = |config: Config| {
        serde_json::to_value(config).map_err(|e| Error::new(Kind::Internal, e.to_string()))
    };
    let new = to_value(Config::parse(&file, &text)?)?;
    let old = to_value(Config::parse("configuration", &current(client)?.text)?)?;
    let mut lines = Vec::new();
    compare("", &old, &new, &mut lines);
    for line in lines {
        println!("{line}");
    }
    Ok(())
}

fn compare(path: &str, old: &Value, new: &Value, out: &mut Vec<String>) {
    match (old, new) {
        (a, b) if a == b => {}
        (Value::Object(a), Value::Object(b)) => {
            let keys: std::collections::BTreeSet<&String> = a.keys().chain(b.keys()).collect();
            for key in keys {
                compare(&format!("{path}.{key}"), &old[key], &new[key], out);
            }
        }
        (Value::Array(a), Value::Array(b)) => {
            for i in 0..a.len().max(b.len()) {
                compare(&format!("{path}[{i}]"), &old[i], &new[i], out);
            }
        }
        _ => out.push(format!("{}: {old} -> {new}", path.trim_start_matches('.'))),
    }
}
