//! Commands of operators on VMs: list, label, drain. Labels and drains are configuration.

use clap::ArgMatches;
use marigoldglade::config_edit::Edit;
use marigoldglade::prelude::*;

use crate::call::Client;
use crate::configs;
use crate::show::{self, Output};

/// Columns of the list.
const COLUMNS: [&str; 10] = [
    "name", "role", "dc", "rack", "addr", "accels", "slots", "labels", "leaving", "drain",
];

/// Runs a `vm` command.
pub(crate) fn run(client: &Client, output: Output, matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("list", _)) => {
            let value = client.json("GET", "vms", &[], &[])?;
            show::rows(output, &value, &COLUMNS);
            Ok(())
        }
        Some(("label", sub)) => configs::edit(client, &label(sub)?),
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

/// Reads changes of labels: `key=value` sets one, `key-` removes one.
fn label(matches: &ArgMatches) -> Result<Edit> {
    let mut set = Labels::new();
    let mut remove = Vec::new();
    for change in matches.get_many::<String>("labels").into_iter().flatten() {
        if let Some((key, value)) = change.split_once('=') {
            set.insert(key.to_owned(), value.to_owned());
        } else if let Some(key) = change.strip_suffix('-') {
            remove.push(key.to_owned());
        } else {
            let detail = format!("'{change}' isn't key=value or key-");
            return Err(Error::new(Kind::BadInput, detail));
        }
    }
    let name = name(matches);
    Ok(Edit::LabelVm { name, set, remove })
}
