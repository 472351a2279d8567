//! The operators' configuration: one versioned YAML document, which is checked before it is
//! accepted.

use serde::{Deserialize, Serialize};

use crate::config_check::check;
use crate::config_locate::{Position, locate};
use crate::error::{Error, Kind, Result};
use crate::label::{Labels, Selector};
use crate::yaml;

/// The whole configuration. Its version is stored beside the YAML text, not in it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// The data centres, in the operators' order.
    pub centres: Vec<Centre>,
    /// The workspaces, with their guarantees and quotas.
    pub workspaces: Vec<Workspace>,
    /// The classes of work; the first one whose selector matches applies.
    pub classes: Vec<Class>,
    /// The order in which work is preempted: selectors over job labels, the first victims first.
    pub yields: Vec<Selector>,
    /// Groups of runners that answer requests.
    pub services: Vec<Service>,
    /// Labels and drains of single VMs.
    pub vms: Vec<VmMark>,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Centre {
    /// The data centre's name, which its VMs carry in their `dc` label.
    pub name: String,
    /// The region that the data centre is in.
    #[serde(default)]
    pub region: String,
}

/// A workspace: a tenant with guaranteed capacity and a quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name.
    pub name: String,
    /// Labels that selectors see.
    #[serde(default)]
    pub labels: Labels,
    /// The VMs on which its work may run, selected by their labels.
    #[serde(default)]
    pub r#where: Selector,
    /// Blocks of adjacent accelerators that the workspace can always reclaim from other work.
    #[serde(default)]
    pub guarantee: Vec<Block>,
    /// The most accelerators that its work may hold at once; zero means no bound.
    #[serde(default)]
    pub quota: u32,
}

/// A block of adjacent accelerators that a workspace is guaranteed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// The data centre that the block is in.
    pub dc: String,
    /// The number of whole racks.
    #[serde(default)]
    pub racks: u16,
    /// The number of whole workers, in addition to the racks.
    #[serde(default)]
    pub workers: u16,
    /// The number of accelerators, in addition to racks and workers.
    #[serde(default)]
    pub accels: u16,
}

/// A class of work, which sets its urgency, placement and times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name.
    pub name: String,
    /// The requests and jobs of this class, selected by their labels and those of their workspace.
    #[serde(default)]
    pub matches: Selector,
    /// The urgency, from 0, the most urgent, to 9.
    #[serde(default = "default_urgency")]
    pub urgency: u8,
    /// The VMs on which work of this class may run, selected by their labels.
    #[serde(default)]
    pub r#where: Selector,
    /// The time to answer a request that has no deadline of its own, in milliseconds.
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
    /// The service's name, by which a request's path names it.
    pub name: String,
    /// The runners, selected by their VM labels.
    #[serde(default)]
    pub r#where: Selector,
}

/// Labels and the drain that operators set for a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmMark {
    /// The VM's name in the VM list.
    pub name: String,
    /// Labels in addition to those of the VM list.
    #[serde(default)]
    pub labels: Labels,
    /// Whether the VM is drained, so that it gets no new work.
    #[serde(default)]
    pub drain: bool,
}

/// The largest text of a configuration, in bytes. It leaves room for the other fields of a stored
/// version below the store's bound for a value.
pub const TEXT_LIMIT_BYTES: usize = 512 << 10;

impl Config {
    /// Parses and checks a configuration; `file` names the text in errors.
    ///
    /// # Errors
    ///
    /// [`Kind::BadInput`] with one line for each problem: file, line, column, the field's path and
    /// what was expected. [`Kind::TooLarge`] above [`TEXT_LIMIT_BYTES`].
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
    /// [`Kind::Internal`] if the configuration can't be written as YAML.
    pub fn to_yaml(&self) -> Result<String> {
        serde_saphyr::to_string(self).map_err(|e| Error::new(Kind::Internal, e.to_string()))
    }
}
