//! Checks what the types of a [`Config`] can't express.

use std::collections::BTreeSet;

use crate::api::WORKER_ACCELS;
use crate::config::{Block, Class, Config, Service, VmMark, Workspace};
use crate::config_locate::Path;
use crate::label::{Labels, is_word};

/// The largest urgency, which is the least urgent one.
pub const URGENCY_MAX: u8 = 9;
/// The longest time to answer that a class may set, in milliseconds.
pub const ANSWER_MAX_MS: u64 = 600_000;
/// The longest time to checkpoint that a class may set, in milliseconds.
pub const GRACE_MAX_MS: u64 = 3_600_000;
/// The number of workers in a rack.
const RACK_WORKERS: u32 = 8;
/// Labels that come from the VM list, which operators can't set.
const VM_LIST_LABELS: [&str; 4] = ["name", "dc", "rack", "role"];

/// A problem of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The path of the field.
    pub path: Path,
    /// What was expected and what was found.
    pub detail: String,
}

/// Returns all problems of `config`, section by section.
#[must_use]
pub fn check(config: &Config) -> Vec<Problem> {
    let mut check = Check::default();
    check.centres(config);
    check.workspaces(config);
    check.classes(&config.classes);
    check.services(&config.services);
    check.vms(&config.vms);
    check.problems
}

#[derive(Default)]
struct Check {
    problems: Vec<Problem>,
}

impl Check {
    fn add(&mut self, path: Path, detail: impl Into<String>) {
        let detail = detail.into();
        self.problems.push(Problem { path, detail });
    }

    /// Checks that the names of a section are words and unique.
    fn names<'a>(&mut self, section: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for (i, name) in names.enumerate() {
            let path = Path::item(section, i).field("name");
            // Names become segments of keys and routes, which '/' separates.
            if !is_word(name) || name.contains('/') {
                self.add(path, format!("{NAME}, got '{name}'"));
            } else if !seen.insert(name) {
                self.add(path, format!("expected a unique name, got '{name}' again"));
            }
        }
    }

    fn labels(&mut self, path: &Path, labels: &Labels) {
        for (key, value) in labels {
            if !is_word(key) {
                self.add(path.clone(), format!("{WORD} as key, got '{key}'"));
            } else if !is_word(value) {
                self.add(path.field(key), format!("{WORD}, got '{value}'"));
            }
        }
    }

    fn range(&mut self, path: Path, value: u64, low: u64, high: u64) {
        if !(low..=high).contains(&value) {
            self.add(path, format!("expected {low} to {high}, got {value}"));
        }
    }

    fn centres(&mut self, config: &Config) {
        self.names("centres", config.centres.iter().map(|c| c.name.as_str()));
        for (i, centre) in config.centres.iter().enumerate() {
            if !centre.region.is_empty() && !is_word(&centre.region) {
                let path = Path::item("centres", i).field("region");
                self.add(path, format!("{WORD}, got '{}'", centre.region));
            }
        }
    }

    fn workspaces(&mut self, config: &Config) {
        let names = config.workspaces.iter().map(|w| w.name.as_str());
        self.names("workspaces", names);
        for (i, workspace) in config.workspaces.iter().enumerate() {
            let path = Path::item("workspaces", i);
            self.labels(&path.field("labels"), &workspace.labels);
            for (j, block) in workspace.guarantee.iter().enumerate() {
                self.block(config, &path.field_item("guarantee", j), block);
            }
            self.quota(&path, workspace);
        }
    }

    fn block(&mut self, config: &Config, path: &Path, block: &Block) {
        if !config.centres.iter().any(|c| c.name == block.dc) {
            let detail = format!("expected the name of a data centre, got '{}'", block.dc);
            self.add(path.field("dc"), detail);
        }
        if block_accels(block) == 0 {
            self.add(path.clone(), "expected racks, workers or accels above zero");
        }
    }

    fn quota(&mut self, path: &Path, workspace: &Workspace) {
        let guaranteed = workspace.guarantee.iter().map(block_accels).sum::<u32>();
        if workspace.quota != 0 && workspace.quota < guaranteed {
            let detail = format!(
                "expected zero or at least the {guaranteed} accelerators of the guarantee, got {}",
                workspace.quota
            );
            self.add(path.field("quota"), detail);
        }
    }

    fn classes(&mut self, classes: &[Class]) {
        self.names("classes", classes.iter().map(|c| c.name.as_str()));
        for (i, class) in classes.iter().enumerate() {
            let path = Path::item("classes", i);
            let urgency = u64::from(class.urgency);
            self.range(path.field("urgency"), urgency, 0, URGENCY_MAX.into());
            self.range(path.field("answer_ms"), class.answer_ms, 1, ANSWER_MAX_MS);
            self.range(path.field("grace_ms"), class.grace_ms, 0, GRACE_MAX_MS);
        }
    }

    fn services(&mut self, services: &[Service]) {
        self.names("services", services.iter().map(|s| s.name.as_str()));
    }

    fn vms(&mut self, vms: &[VmMark]) {
        self.names("vms", vms.iter().map(|v| v.name.as_str()));
        for (i, vm) in vms.iter().enumerate() {
            let path = Path::item("vms", i).field("labels");
            self.labels(&path, &vm.labels);
            for key in VM_LIST_LABELS {
                if vm.labels.contains_key(key) {
                    let detail =
                        format!("expected a label other than '{key}', which the VM list gives");
                    self.add(path.field(key), detail);
                }
            }
        }
    }
}

const WORD: &str = "expected 1 to 128 word characters";
const NAME: &str = "expected 1 to 128 word characters without '/'";

/// Returns the number of accelerators of a block.
fn block_accels(block: &Block) -> u32 {
    let workers = u32::from(block.racks) * RACK_WORKERS + u32::from(block.workers);
    workers * u32::from(WORKER_ACCELS) + u32::from(block.accels)
}
