//! Opening a replica's data folder, or making it.

use crate::replica_api::{ReplicaConfig, ReplicaError};
use crate::state::{Command, FleetState};
use stackpost_consensus::{Entry, FIRST_IDENTITY, HardState, Restored, Snapshot};
use stackpost_storage::{Disk, LogStore};
use stackpost_types::MachineName;
use std::collections::BTreeMap;

/// Term and index of the state that a new fleet begins with.
const FOUNDING: u64 = 1;

/// The store of a replica and what it holds.
pub(crate) fn open_store<D: Disk>(
    config: &ReplicaConfig,
    disk: D,
) -> Result<(LogStore<D>, Restored), ReplicaError> {
    if LogStore::exists(&disk).map_err(ReplicaError::Store)? {
        return Ok(LogStore::open(disk)?);
    }
    let founders = config.founders.iter().flatten();
    let voters: BTreeMap<MachineName, u64> =
        founders.map(|machine| (machine.clone(), FIRST_IDENTITY)).collect();
    if !voters.contains_key(&config.name) {
        let store = LogStore::create(disk, config.fresh_identity)?;
        return Ok((store, Restored::default()));
    }
    let mut store = LogStore::create(disk, FIRST_IDENTITY)?;
    // Every founder begins with the same state, so that no entry has to carry it.
    let snapshot =
        Snapshot { index: FOUNDING, term: FOUNDING, data: FleetState::found(voters).to_snapshot() };
    let hard_state = HardState { term: FOUNDING, voted_for: None };
    store.install(&snapshot, &hard_state, &[])?;
    Ok((store, Restored { hard_state, snapshot, entries: Vec::new() }))
}

/// The state in a snapshot.
pub(crate) fn read_state(snapshot: &Snapshot) -> Result<FleetState, ReplicaError> {
    if snapshot.data.is_empty() {
        return Ok(FleetState::default());
    }
    FleetState::from_snapshot(&snapshot.data).map_err(|error| ReplicaError::Unreadable {
        index: snapshot.index,
        reason: error.to_string(),
    })
}

/// The command in an entry.
pub(crate) fn read_command(entry: &Entry) -> Result<Command, ReplicaError> {
    postcard::from_bytes(&entry.data)
        .map_err(|error| ReplicaError::Unreadable { index: entry.index, reason: error.to_string() })
}

/// The voters for a replica that has just started, and the index of the last change among its
/// entries. Changes count before they are known to be committed (Ongaro's dissertation, section
/// 4.1): after a loss of power nobody may know what was committed, and a replica that waited to
/// learn it could be missing from every majority. A leader proposes a change only after the one
/// before and an entry of its own term are committed, so two replicas are never more than one
/// change apart unless one of them can't win.
pub(crate) fn voters_at_start(
    state: &FleetState,
    entries: &[Entry],
) -> Result<(BTreeMap<MachineName, u64>, u64), ReplicaError> {
    let mut known = FleetState::found(state.voters.clone());
    let mut last_change = 0;
    for entry in entries.iter().filter(|entry| !entry.data.is_empty()) {
        let command = read_command(entry)?;
        if command.changes_voters() {
            last_change = entry.index;
            known.apply(command);
        }
    }
    Ok((known.voters, last_change))
}
