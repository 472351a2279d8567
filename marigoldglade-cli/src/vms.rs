//! The `vm` commands. Labels and drains are part of the configuration.

use clap::ArgMatches;
use marigoldglade::config_edit::Edit;
use marigoldglade::prelude::*;

use crate::call::Client;
use crate::configs;
use crate::show::{self, Output};

/// The columns of `vm list`.
const COLUMNS: [&str; 10] = [
    "name", "role", "dc", "rack", "addr", "accels", "slots", "labels", "leaving", "drain",
];

/// Runs a `vm` command.
pub(crate) fn run(client: &Client, output: Output, matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("list", _)) => {
            let value = client.json("GET", "vms", &[], &[])?;
            show::print(output, &value, &COLUMNS);
            Ok(())
        }
        Some(("label", sub)) => configs::edit(client, &parse_labels(sub)?),
        Some(("drain", sub)) => {
            let drain = !sub.get_flag("undo");
            let name = name(sub);
            configs::edit(client, &Edit::DrainVm { name, drain })
        }
        _ => Err(Error::new(Kind::BadInput, "a vm command is missing")),
    }
}

fn name(matches: &ArgMatches) -> String {
    matches.get_one("name").cloned().unwrap_or_default()
}

/// Parses changes of labels: `key=value` sets a label, `key-` removes it.
fn parse_labels(matches: &ArgMatches) -> Result<Edit> {
    let mut set = Labels::new();
    let mut remove = Vec::new();
    for change in matches.get_many::<String>("labels").into_iter().flatten() {
        if let Some((key, value)) = change.split_once('=') {
            set.insert(key.to_owned(), value.to_owned());
        } else if let Some(key) = change.strip_suffix('-') {
            remove.push(key.to_owned());
        } else {
            let detail = format!("expected key=value or key-, found '{change}'");
            return Err(Error::new(Kind::BadInput, detail));
        }
    }
    let name = name(matches);
    Ok(Edit::LabelVm { name, set, remove })
}
