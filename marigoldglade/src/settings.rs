//! A daemon's settings, parsed from YAML and checked.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::error::{Error, Kind, Result};
use crate::label::is_word;
use crate::yaml;

/// How log lines are written.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text for each event.
    #[default]
    Text,
    /// One JSON object for each event.
    Json,
}

/// Where log lines are written.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum LogOutput {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}

/// The settings that a daemon reads at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The daemon's name, unique among live daemons.
    pub name: String,
    /// The data centre it runs in.
    pub dc: String,
    /// The address to which callers and operators connect.
    pub listen: SocketAddr,
    /// The address to which other daemons connect.
    pub mesh: SocketAddr,
    /// The address that serves metrics and health.
    pub admin: SocketAddr,
    /// The addresses of the key-value service, tried in turn.
    pub store: Vec<SocketAddr>,
    /// The address of the VM list.
    pub vm_list: SocketAddr,
    /// Mesh addresses of other daemons that are known at the start; the VM list adds to them.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The secret that daemons share, of at least 16 bytes. On the users' platform it may be empty:
    /// the daemons then keep one in the store.
    #[serde(default)]
    pub mesh_key: String,
    /// Log settings.
    #[serde(default)]
    pub log: Log,
    /// Bounds on connections, requests and times.
    #[serde(default)]
    pub limits: Limits,
    /// Settings of the users' platform, if the daemon runs there.
    #[serde(default)]
    pub platform: Option<Platform>,
}

/// Further settings of a daemon on the users' platform.
///
/// Durations are limits that the platform sets; the suffix of a field's name is the unit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The address at which the platform asks whether the daemon accepts calls.
    pub ready: SocketAddr,
    /// The VM's processor cores, which may be a fraction; larger VMs are preferred as owner.
    pub cores: f64,
    /// The time from a request to stop until the process is killed, in seconds.
    pub grace_s: f64,
    /// The longest lease that a worker grants, in milliseconds.
    pub lease_limit_ms: u64,
    /// How long the status of an ended job stays available, in seconds.
    pub status_s: f64,
    /// The placement adviser, if there is one.
    #[serde(default)]
    pub adviser: Option<SocketAddr>,
    /// Whether an earlier process of the daemon may have taken calls shortly before.
    #[serde(default)]
    pub restarted: bool,
    /// Whether the owner learns run times and the speeds of workers, and places work by them. A change takes
    /// effect with the next ownership.
    #[serde(default)]
    pub learn_run_times: bool,
}

/// Which log lines are written, how and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The log level: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
    /// How lines are written.
    pub format: LogFormat,
    /// Where lines are written.
    pub output: LogOutput,
    /// Log levels of single modules, by module name.
    pub modules: std::collections::BTreeMap<String, log::LevelFilter>,
    /// Whether trace spans are written to standard output.
    pub spans: bool,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
            format: LogFormat::Text,
            output: LogOutput::Stderr,
            modules: Default::default(),
            spans: false,
        }
    }
}

/// Bounds on a daemon's connections, requests and times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The most connections of callers that are open at once.
    pub connections: u32,
    /// The most requests that wait for a target.
    pub queue: u32,
    /// The most bytes that waiting requests hold.
    pub queue_bytes: u64,
    /// The largest body of a request or answer, in bytes.
    pub body_bytes: u64,
    /// The time a caller has to send its headers, and again to send its body, in milliseconds.
    pub read_ms: u64,
    /// The time a graceful stop may take, in milliseconds.
    pub stop_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 3_000,
            queue: 4_096,
            queue_bytes: 32 << 20,
            body_bytes: 1 << 20,
            read_ms: 5_000,
            stop_ms: 30_000,
        }
    }
}

/// The shortest mesh key, in bytes.
pub const MESH_KEY_MIN_BYTES: usize = 16;

impl Settings {
    /// Parses and checks settings; `file` names the text in errors.
    ///
    /// # Errors
    ///
    /// [`Kind::BadInput`] with file, line, column and what was expected.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let settings: Self = yaml::read(file, text)?;
        settings
            .check()
            .map_err(|e| Error::new(e.kind, format!("{file}: {}", e.detail)))?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        let limits = &self.limits;
        let bounds = [
            (
                "limits.connections",
                u64::from(limits.connections),
                1,
                100_000,
            ),
            ("limits.queue", u64::from(limits.queue), 1, 1_000_000),
            ("limits.queue_bytes", limits.queue_bytes, 1 << 10, 1 << 30),
            ("limits.body_bytes", limits.body_bytes, 1, 64 << 20),
            ("limits.read_ms", limits.read_ms, 10, 600_000),
            ("limits.stop_ms", limits.stop_ms, 10, 3_600_000),
        ];
        for (field, value, low, high) in bounds {
            if !(low..=high).contains(&value) {
                return Err(bad_input(format!(
                    "{field}: expected {low} to {high}, got {value}"
                )));
            }
        }
        for (field, text) in [("name", &self.name), ("dc", &self.dc)] {
            if !is_word(text) {
                return Err(bad_input(format!(
                    "{field}: expected 1 to 128 word characters"
                )));
            }
        }
        if self.platform.is_none() && self.mesh_key.len() < MESH_KEY_MIN_BYTES {
            return Err(bad_input(format!(
                "mesh_key: expected at least {MESH_KEY_MIN_BYTES} bytes"
            )));
        }
        if self.store.is_empty() {
            return Err(bad_input("store: expected at least one address".to_owned()));
        }
        Ok(())
    }
}

fn bad_input(detail: String) -> Error {
    Error::new(Kind::BadInput, detail)
}
