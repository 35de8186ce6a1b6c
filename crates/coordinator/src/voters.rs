//! Who should vote.
//!
//! A fleet that must bear the loss of `n` machines at once needs `2n + 1` voters. A voter that has
//! been silent for long is replaced by a machine that does not vote yet: the new one is added
//! first, once it holds the whole log, and only then the silent one is removed. One change at a
//! time, so that any two majorities, before and after, share a replica.

use stackpost_types::{MachineName, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// Silence after which a voter is replaced if another machine can take its place.
pub const REPLACE_AFTER: Millis = Millis(8_000);

/// What the leader knows of the machines that serve control.
#[derive(Clone, Debug)]
pub struct VoterView {
    /// The leader itself.
    pub own: MachineName,
    /// The voters, with the time since each was last heard from.
    pub voters: BTreeMap<MachineName, Millis>,
    /// Machines that do not vote and are connected now.
    pub standby: BTreeSet<MachineName>,
    /// Those among them, and voters with a new data folder, that hold the whole log; with their
    /// identities.
    pub caught_up: BTreeMap<MachineName, u64>,
    /// Voters wanted.
    pub wanted: usize,
}

/// One step towards the voters that should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterStep {
    /// Nothing to do.
    None,
    /// Send the log to these machines.
    Teach(BTreeSet<MachineName>),
    /// Let a machine vote under an identity.
    Add(MachineName, u64),
    /// Let a machine vote no more.
    Remove(MachineName),
}

/// The next step.
pub fn next_step(view: &VoterView) -> VoterStep {
    let renewed = view.caught_up.iter().find(|(machine, _)| view.voters.contains_key(*machine));
    if let Some((machine, identity)) = renewed {
        return VoterStep::Add(machine.clone(), *identity);
    }
    let silent = silent_voter(view);
    if view.voters.len() > view.wanted
        && let Some(machine) = &silent
    {
        return VoterStep::Remove(machine.clone());
    }
    let lacking = view.voters.len() < view.wanted;
    if !lacking && silent.is_none() || view.voters.len() > view.wanted {
        return VoterStep::None;
    }
    let ready = view.caught_up.iter().find(|(machine, _)| view.standby.contains(*machine));
    match ready {
        Some((machine, identity)) => VoterStep::Add(machine.clone(), *identity),
        None if view.standby.is_empty() => VoterStep::None,
        None => VoterStep::Teach(view.standby.clone()),
    }
}

/// The voter that has been silent for longest, if for long enough.
fn silent_voter(view: &VoterView) -> Option<MachineName> {
    view.voters
        .iter()
        .filter(|(machine, silence)| **machine != view.own && **silence >= REPLACE_AFTER)
        .max_by_key(|(_, silence)| **silence)
        .map(|(machine, _)| machine.clone())
}
