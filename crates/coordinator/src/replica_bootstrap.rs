//! Opens or creates a replica's data folder.

use crate::replica_api::{ReplicaConfig, ReplicaError};
use crate::state::{Command, FleetState};
use stackpost_consensus::{HardState, INITIAL_IDENTITY, LogIndex, RestoredState, Snapshot, Voters};
use stackpost_storage::{Disk, LogStore};

/// Term and index of a new fleet's initial snapshot.
const INITIAL_POSITION: u64 = 1;

/// Opens or creates the store of a replica and returns the state it holds.
pub(crate) fn open_store<D: Disk>(
    config: &ReplicaConfig,
    disk: D,
) -> Result<(LogStore<D>, RestoredState), ReplicaError> {
    if LogStore::exists(&disk).map_err(ReplicaError::Store)? {
        return Ok(LogStore::open(disk)?);
    }
    let initial_voters = config.initial_voters.iter().flatten();
    let voters: Voters =
        initial_voters.map(|machine| (machine.clone(), INITIAL_IDENTITY)).collect();
    if !voters.contains_key(&config.name) {
        let store = LogStore::create(disk, config.new_identity)?;
        return Ok((store, RestoredState::default()));
    }
    let mut store = LogStore::create(disk, INITIAL_IDENTITY)?;
    // Every initial voter starts from the same snapshot, so no log entry has to carry the initial
    // state.
    let data = FleetState::default().to_snapshot();
    let snapshot = Snapshot { index: INITIAL_POSITION, term: INITIAL_POSITION, voters, data };
    let hard_state =
        HardState { term: INITIAL_POSITION, voted_for: None, commit: INITIAL_POSITION };
    store.install(&snapshot, &hard_state, &[])?;
    Ok((store, RestoredState { hard_state, snapshot, entries: Vec::new() }))
}

/// Decodes the state in a snapshot.
pub(crate) fn read_state(snapshot: &Snapshot) -> Result<FleetState, ReplicaError> {
    if snapshot.data.is_empty() {
        return Ok(FleetState::default());
    }
    FleetState::from_snapshot(&snapshot.data).map_err(|error| ReplicaError::Unreadable {
        index: snapshot.index,
        reason: error.to_string(),
    })
}

/// Decodes the command in the entry at `index`.
pub(crate) fn read_command(index: LogIndex, bytes: &[u8]) -> Result<Command, ReplicaError> {
    postcard::from_bytes(bytes)
        .map_err(|error| ReplicaError::Unreadable { index, reason: error.to_string() })
}
