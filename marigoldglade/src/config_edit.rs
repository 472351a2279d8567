//! Small edits, which change a part of the configuration so that operators needn't send the whole.

use serde::{Deserialize, Serialize};

use crate::config::{Config, VmMark, Workspace};
use crate::error::{Error, Kind, Result};
use crate::label::Labels;

/// An edit, the body of `POST /v1/config/edits`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "edit", deny_unknown_fields)]
pub enum Edit {
    /// Adds a workspace, or replaces the one with its name.
    SetWorkspace {
        /// The workspace.
        workspace: Workspace,
    },
    /// Removes a workspace.
    DropWorkspace {
        /// The workspace's name.
        name: String,
    },
    /// Sets and removes labels of a VM.
    LabelVm {
        /// The VM's name.
        name: String,
        /// Labels to set.
        #[serde(default)]
        set: Labels,
        /// Keys of labels to remove.
        #[serde(default)]
        remove: Vec<String>,
    },
    /// Starts or ends a VM's drain.
    DrainVm {
        /// The VM's name.
        name: String,
        /// Whether the VM is drained, so that it gets no new work.
        drain: bool,
    },
}

impl Edit {
    /// Returns `config` with this edit applied; the result must still be checked.
    ///
    /// # Errors
    ///
    /// [`Kind::NotFound`] if the workspace to remove doesn't exist.
    pub fn apply(&self, config: &Config) -> Result<Config> {
        let mut config = config.clone();
        match self {
            Self::SetWorkspace { workspace } => set_workspace(&mut config, workspace),
            Self::DropWorkspace { name } => drop_workspace(&mut config, name)?,
            Self::LabelVm { name, set, remove } => edit_vm(&mut config, name, |vm| {
                vm.labels.extend(set.clone());
                vm.labels.retain(|key, _| !remove.contains(key));
            }),
            Self::DrainVm { name, drain } => edit_vm(&mut config, name, |vm| vm.drain = *drain),
        }
        Ok(config)
    }
}

fn set_workspace(config: &mut Config, workspace: &Workspace) {
    let mut existing = config.workspaces.iter_mut();
    match existing.find(|w| w.name == workspace.name) {
        Some(old) => old.clone_from(workspace),
        None => config.workspaces.push(workspace.clone()),
    }
}

fn drop_workspace(config: &mut Config, name: &str) -> Result<()> {
    let before = config.workspaces.len();
    config.workspaces.retain(|w| w.name != name);
    if config.workspaces.len() == before {
        let detail = format!("there is no workspace '{name}'");
        return Err(Error::new(Kind::NotFound, detail));
    }
    Ok(())
}

/// Edits the entry of a VM, which is added if it is missing, and removes it if it then has neither
/// labels nor a drain.
fn edit_vm(config: &mut Config, name: &str, edit: impl FnOnce(&mut VmMark)) {
    let at = config.vms.iter().position(|v| v.name == name);
    let at = at.unwrap_or_else(|| {
        config.vms.push(VmMark {
            name: name.to_owned(),
            labels: Labels::new(),
            drain: false,
        });
        config.vms.len() - 1
    });
    edit(&mut config.vms[at]);
    if config.vms[at].labels.is_empty() && !config.vms[at].drain {
        config.vms.remove(at);
    }
}
