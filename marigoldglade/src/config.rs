//! The operators' configuration: one versioned document, checked before it is accepted.
//!
//! YAML text flows in, a checked [`Config`] flows out.

use serde::{Deserialize, Serialize};

use crate::config_check::check;
use crate::config_locate::{Position, locate};
use crate::error::{Error, Kind, Result};
use crate::label::{Labels, Selector};
use crate::yaml;

/// The whole configuration. Its version is the store's, not part of the text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// The data centres, in the operators' order.
    pub centres: Vec<Centre>,
    /// Who holds which guarantee.
    pub workspaces: Vec<Workspace>,
    /// How urgent work is; the first class whose selector matches is taken.
    pub classes: Vec<Class>,
    /// Which work yields first: selectors over job labels, the first to yield first.
    pub yields: Vec<Selector>,
    /// Groups of runners that answer requests.
    pub services: Vec<Service>,
    /// Labels and drains that operators put on VMs.
    pub vms: Vec<VmMark>,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Centre {
    /// The name, as VMs carry it in their `dc` label.
    pub name: String,
    /// The region it lies in.
    #[serde(default)]
    pub region: String,
}

/// A workspace: a tenant with a guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name.
    pub name: String,
    /// Labels that selectors see.
    #[serde(default)]
    pub labels: Labels,
    /// Where its work may run, over VM labels.
    #[serde(default)]
    pub r#where: Selector,
    /// Blocks of adjacent accelerators that can always be reclaimed.
    #[serde(default)]
    pub guarantee: Vec<Block>,
    /// The most accelerators its work may hold at once; zero is no bound.
    #[serde(default)]
    pub quota: u32,
}

/// A promise of adjacent accelerators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// The data centre it lies in.
    pub dc: String,
    /// Whole racks.
    #[serde(default)]
    pub racks: u16,
    /// Whole workers, besides the racks.
    #[serde(default)]
    pub workers: u16,
    /// Single accelerators, besides racks and workers.
    #[serde(default)]
    pub accels: u16,
}

/// A class of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name.
    pub name: String,
    /// The requests and jobs that fall in it, over their labels and those of their workspace.
    #[serde(default)]
    pub matches: Selector,
    /// From 0, the most urgent, to 9.
    #[serde(default = "default_urgency")]
    pub urgency: u8,
    /// Where work of this class may run, over VM labels.
    #[serde(default)]
    pub r#where: Selector,
    /// The time a request has when its caller sets no deadline, in milliseconds.
    #[serde(default = "default_answer_ms")]
    pub answer_ms: u64,
    /// The time a stopped task has to checkpoint, in milliseconds.
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
}

const fn default_urgency() -> u8 {
    5
}

const fn default_answer_ms() -> u64 {
    2_000
}

const fn default_grace_ms() -> u64 {
    10_000
}

/// A group of runners that callers name in a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name in the request's path.
    pub name: String,
    /// The runners, over VM labels.
    #[serde(default)]
    pub r#where: Selector,
}

/// What operators put on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmMark {
    /// The VM's name in the VM list.
    pub name: String,
    /// Labels besides those of the VM list.
    #[serde(default)]
    pub labels: Labels,
    /// Whether new work stays away from it.
    #[serde(default)]
    pub drain: bool,
}

/// The largest text of a configuration, in bytes; with its envelope it stays below the store's
/// bound for a value.
pub const TEXT_LIMIT_BYTES: usize = 512 << 10;

impl Config {
    /// Parses and checks a configuration; `file` names the text in errors.
    ///
    /// # Errors
    ///
    /// [`Kind::BadInput`] with one line a problem: file, line, column, the field's path and what
    /// was expected. [`Kind::TooLarge`] above [`TEXT_LIMIT_BYTES`].
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        if text.len() > TEXT_LIMIT_BYTES {
            let detail = format!("{file}: expected at most {TEXT_LIMIT_BYTES} bytes");
            return Err(Error::new(Kind::TooLarge, detail));
        }
        let config = yaml::read_or_default(file, text)?;
        let lines: Vec<String> = check(&config)
            .into_iter()
            .map(|p| {
                let Position { line, column } = locate(text, &p.path);
                format!("{file}:{line}:{column}: {}: {}", p.path, p.detail)
            })
            .collect();
        if lines.is_empty() {
            return Ok(config);
        }
        Err(Error::new(Kind::BadInput, lines.join("\n")))
    }

    /// Returns the text form, which parses to the same configuration.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when the writer fails.
    pub fn to_yaml(&self) -> Result<String> {
        serde_saphyr::to_string(self).map_err(|e| Error::new(Kind::Internal, e.to_string()))
    }
}
