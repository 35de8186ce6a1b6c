//! The settings file of a fleet.

use crate::load::{Problem, Validate};
use serde::{Deserialize, Serialize};
use stackpost_types::{KeyHash, MachineName, OperatorName, ZoneName, is_valid_name};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings of a whole fleet: its machines and the options common to all of them.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// The machines that run processes of the fleet.
    pub machines: Vec<MachineEntry>,
    /// Address from which the platform's machine list is read.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// File with the operators' key hashes.
    pub operators_file: PathBuf,
    /// Options of every router.
    #[serde(default)]
    pub router: RouterOptions,
    /// Options of every control replica.
    #[serde(default)]
    pub control: ControlOptions,
    /// Options of the log.
    #[serde(default)]
    pub log: LogOptions,
}

/// One machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineEntry {
    /// The machine's name, unique in the fleet.
    pub name: MachineName,
    /// The machine's zone.
    pub zone: ZoneName,
    /// The router on this machine, if any.
    #[serde(default)]
    pub router: Option<RouterEntry>,
    /// The control replica on this machine, if any. Requires a disk.
    #[serde(default)]
    pub control: Option<ControlEntry>,
}

/// Addresses of a router.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterEntry {
    /// Address for callers.
    pub api: SocketAddr,
    /// Address for other processes of the fleet.
    pub peer: SocketAddr,
    /// Address for operators and probes.
    pub admin: SocketAddr,
}

/// Addresses and data folder of a control replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlEntry {
    /// Address for other processes of the fleet.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Folder in which the replica stores its state.
    pub data_folder: PathBuf,
}

/// Options of every router.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterOptions {
    /// Threads that handle callers' requests.
    pub threads: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest wait for more data within a request body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Time between two polls of a back end's load and cache, in milliseconds.
    pub poll_interval_ms: u64,
    /// Longest wait for the first byte of a back end's response, in milliseconds.
    pub first_byte_timeout_ms: u64,
    /// Longest wait for more data within a back end's response, in milliseconds.
    pub chunk_timeout_ms: u64,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self {
            threads: 2,
            max_body_bytes: 4 << 20,
            body_timeout_ms: 10_000,
            poll_interval_ms: 500,
            first_byte_timeout_ms: 120_000,
            chunk_timeout_ms: 60_000,
        }
    }
}

/// Options of every control replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlOptions {
    /// Shortest time without a message from the leader before another replica starts an election,
    /// in milliseconds.
    pub election_timeout_ms: u64,
    /// Time between two heartbeats of the leader, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Subtracted from the leader's lease, to allow for clocks that run at different speeds, in
    /// milliseconds.
    pub lease_margin_ms: u64,
}

impl Default for ControlOptions {
    fn default() -> Self {
        Self { election_timeout_ms: 600, heartbeat_interval_ms: 150, lease_margin_ms: 100 }
    }
}

/// Severity of a log record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum LogLevel {
    Error,
    Warn,
    Info,
    Debug,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Plain text for human readers.
    Text,
}

/// Options of the log, which is written to the standard error stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogOptions {
    /// The lowest severity that is logged.
    pub level: LogLevel,
    /// Format of a line.
    pub format: LogFormat,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self { level: LogLevel::Info, format: LogFormat::Json }
    }
}

/// The operators with the hashes of their keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OperatorsFile(pub BTreeMap<OperatorName, KeyHash>);

impl FleetSettings {
    /// The entry of one machine.
    pub fn machine(&self, name: &str) -> Result<&MachineEntry, Problem> {
        let names: Vec<&str> = self.machines.iter().map(|entry| entry.name.as_str()).collect();
        self.machines
            .iter()
            .find(|entry| entry.name.as_str() == name)
            .ok_or_else(|| Problem::new("machines", format!("no `{name}`"), names.join(", ")))
    }

    /// The machines with a control replica.
    pub fn replicas(&self) -> impl Iterator<Item = (&MachineEntry, &ControlEntry)> {
        self.machines.iter().filter_map(|entry| Some((entry, entry.control.as_ref()?)))
    }

    /// The machines with a router.
    pub fn routers(&self) -> impl Iterator<Item = (&MachineEntry, &RouterEntry)> {
        self.machines.iter().filter_map(|entry| Some((entry, entry.router.as_ref()?)))
    }
}

impl Validate for FleetSettings {
    fn check(&self) -> Result<(), Problem> {
        check_machines(&self.machines)?;
        let replicas = self.replicas().count();
        if !matches!(replicas, 1 | 3 | 5) {
            let found = format!("{replicas} machines with `control`");
            return Err(Problem::new("machines", found, "allowed: 1, 3 or 5"));
        }
        check_router(&self.router)?;
        check_control(&self.control)
    }
}

fn check_machines(machines: &[MachineEntry]) -> Result<(), Problem> {
    let mut names = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for (index, entry) in machines.iter().enumerate() {
        let field = |name: &str| format!("machines[{index}].{name}");
        for (name, text) in [("name", entry.name.as_str()), ("zone", entry.zone.as_str())] {
            if !is_valid_name(text) {
                let allowed = "allowed: 1 to 64 letters, digits, `-`, `_` or `.`";
                return Err(Problem::new(field(name), format!("found `{text}`"), allowed));
            }
        }
        if !names.insert(&entry.name) {
            let found = format!("found `{}` a second time", entry.name);
            return Err(Problem::new(field("name"), found, "allowed: each name once"));
        }
        for (name, address) in addresses_of(entry) {
            if !addresses.insert(address) {
                let found = format!("found {address} a second time");
                return Err(Problem::new(field(name), found, "allowed: each address once"));
            }
        }
    }
    Ok(())
}

fn addresses_of(entry: &MachineEntry) -> Vec<(&'static str, SocketAddr)> {
    let mut addresses = Vec::new();
    if let Some(router) = &entry.router {
        addresses.push(("router.api", router.api));
        addresses.push(("router.peer", router.peer));
        addresses.push(("router.admin", router.admin));
    }
    if let Some(control) = &entry.control {
        addresses.push(("control.peer", control.peer));
        addresses.push(("control.admin", control.admin));
    }
    addresses
}

fn in_range(field: &str, value: u64, low: u64, high: u64) -> Result<(), Problem> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(Problem::new(field, format!("found {value}"), format!("allowed: {low} to {high}")))
}

fn check_router(options: &RouterOptions) -> Result<(), Problem> {
    in_range("router.threads", options.threads as u64, 1, 256)?;
    in_range("router.max_body_bytes", options.max_body_bytes as u64, 1_024, 1 << 30)?;
    in_range("router.body_timeout_ms", options.body_timeout_ms, 100, 600_000)?;
    in_range("router.poll_interval_ms", options.poll_interval_ms, 50, 60_000)?;
    in_range("router.first_byte_timeout_ms", options.first_byte_timeout_ms, 100, 3_600_000)?;
    in_range("router.chunk_timeout_ms", options.chunk_timeout_ms, 100, 3_600_000)
}

fn check_control(options: &ControlOptions) -> Result<(), Problem> {
    in_range("control.election_timeout_ms", options.election_timeout_ms, 100, 60_000)?;
    let max = options.election_timeout_ms / 3;
    in_range("control.heartbeat_interval_ms", options.heartbeat_interval_ms, 10, max)?;
    let max = options.election_timeout_ms / 2;
    in_range("control.lease_margin_ms", options.lease_margin_ms, 1, max)
}

impl Validate for OperatorsFile {
    fn check(&self) -> Result<(), Problem> {
        for (name, hash) in &self.0 {
            let well_formed = hash.0.len() == 64 && hash.0.bytes().all(|b| b.is_ascii_hexdigit());
            if !well_formed {
                // The invalid value may be the key itself, so the error does not contain it.
                let found = format!("{} characters", hash.0.len());
                let allowed = "allowed: the SHA-256 of the key, 64 hexadecimal digits";
                return Err(Problem::new(name.as_str(), found, allowed));
            }
        }
        Ok(())
    }
}
