//! The driver of replicas in tests, with a disk that syncs at once.

use stackpost_consensus::{ElectionEvent, Envelope, Raft, RestoredState};
use stackpost_types::MachineName;

/// What a replica wants to be sent and logged.
#[derive(Default)]
pub struct Output {
    pub messages: Vec<(MachineName, Envelope)>,
    pub elections: Vec<ElectionEvent>,
}

/// Carries out what a replica has to do.
pub fn drain(raft: &mut Raft) -> Output {
    let mut output = Output::default();
    loop {
        let ready = raft.ready();
        if ready.is_empty() {
            return output;
        }
        if ready.must_sync() {
            raft.advance();
        }
        output.messages.extend(ready.messages);
        output.elections.extend(ready.elections);
    }
}

/// What a replica finds on its disk when it starts again.
pub fn restored(raft: &Raft) -> RestoredState {
    RestoredState {
        hard_state: raft.hard_state().clone(),
        snapshot: raft.snapshot().clone(),
        entries: raft.entries_after_snapshot(),
    }
}
