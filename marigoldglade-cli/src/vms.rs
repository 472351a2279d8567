//! Commands of operators on VMs: list, label, drain. Labels and drains are configuration.

use clap::ArgMatches;
use marigoldglade::config::{Config, VmMark};
use marigoldglade::prelude::*;

use crate::call::Client;
use crate::configs;
use crate::show::{self, Output};

/// How often an edit is made again when another operator was first.
const EDIT_TRIES: usize = 5;

/// Runs a `vm` command.
pub(crate) fn run(client: &Client, output: Output, matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("list", _)) => {
            let value = client.json("GET", "vms", &[], &[])?;
            let columns = [
                "name", "role", "dc", "rack", "addr", "accels", "slots", "labels", "leaving",
            ];
            show::rows(output, &value, &columns);
            Ok(())
        }
        Some(("label", sub)) => {
            let changes: Vec<&String> = sub.get_many("labels").into_iter().flatten().collect();
            edit(client, name(sub), |mark| {
                changes.iter().try_for_each(|c| set_label(mark, c))
            })
        }
        Some(("drain", sub)) => {
            let drain = !sub.get_flag("undo");
            edit(client, name(sub), |mark| {
                mark.drain = drain;
                Ok(())
            })
        }
        _ => Err(Error::new(Kind::BadInput, "a vm command is missing")),
    }
}

fn name(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("name").map_or("", String::as_str)
}

fn set_label(mark: &mut VmMark, change: &str) -> Result<()> {
    if let Some(key) = change.strip_suffix('-') {
        mark.labels.remove(key);
        return Ok(());
    }
    let (key, value) = change.split_once('=').ok_or_else(|| {
        Error::new(
            Kind::BadInput,
            format!("'{change}' isn't key=value or key-"),
        )
    })?;
    for word in [key, value] {
        if !marigoldglade::label::is_word(word) {
            return Err(Error::new(Kind::BadInput, format!("'{word}' isn't a word")));
        }
    }
    mark.labels.insert(key.to_owned(), value.to_owned());
    Ok(())
}

/// Changes one VM's mark in the newest configuration, again when another operator was first.
fn edit(client: &Client, name: &str, change: impl Fn(&mut VmMark) -> Result<()>) -> Result<()> {
    let mut last = Error::new(Kind::Conflict, "no try was made");
    for _ in 0..EDIT_TRIES {
        let base = configs::current(client)?;
        let mut config = Config::parse("configuration", &base.text)?;
        change(mark_of(&mut config, name))?;
        config
            .vms
            .retain(|mark| mark.drain || !mark.labels.is_empty());
        match configs::apply(client, base.number, &config.to_yaml()?) {
            Ok(version) => {
                println!("version {version} was accepted");
                return Ok(());
            }
            Err(e) if e.kind == Kind::Conflict => last = e,
            Err(e) => return Err(e),
        }
    }
    Err(last)
}

fn mark_of<'a>(config: &'a mut Config, name: &str) -> &'a mut VmMark {
    let at = config.vms.iter().position(|m| m.name == name);
    let at = at.unwrap_or_else(|| {
        config.vms.push(VmMark {
            name: name.to_owned(),
            labels: Labels::new(),
            drain: false,
        });
        config.vms.len() - 1
    });
    &mut config.vms[at]
}
