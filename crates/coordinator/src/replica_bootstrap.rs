//! Opening a replica's data folder, or making it.

use crate::replica_api::{ReplicaConfig, ReplicaError};
use crate::state::{Command, FleetState};
use stackpost_consensus::{HardState, INITIAL_IDENTITY, LogIndex, RestoredState, Snapshot, Voters};
use stackpost_storage::{Disk, LogStore};

/// Term and index of the state that a new fleet begins with.
const FOUNDING: u64 = 1;

/// The store of a replica and what it holds.
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
    // Every founder begins with the same state, so that no entry has to carry it.
    let data = FleetState::default().to_snapshot();
    let snapshot = Snapshot { index: FOUNDING, term: FOUNDING, voters, data };
    let hard_state = HardState { term: FOUNDING, voted_for: None, commit: FOUNDING };
    store.install(&snapshot, &hard_state, &[])?;
    Ok((store, RestoredState { hard_state, snapshot, entries: Vec::new() }))
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

/// The command in the entry at `index`.
pub(crate) fn read_command(index: LogIndex, bytes: &[u8]) -> Result<Command, ReplicaError> {
    postcard::from_bytes(bytes)
        .map_err(|error| ReplicaError::Unreadable { index, reason: error.to_string() })
}
