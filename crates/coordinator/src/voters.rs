//! Chooses the voters.
//!
//! A fleet that must tolerate the loss of `n` machines at once needs `2n + 1` voters, and no zone
//! may hold so many of them that its loss removes the majority. A silent voter is replaced by a
//! machine that does not vote yet: the new machine is added once it has caught up with the log, and
//! the silent one is removed afterwards. There is one change at a time, so that any two majorities,
//! before and after it, share a replica.
//!
//! The successor of a lost machine must vote before the next machine may be lost, whichever replica
//! leads: an election, [`REPLACE_AFTER`] and two changes must fit into the time that a new machine
//! has to catch up (four seconds from its start). A voter that was only partitioned is available as
//! a standby when it reconnects.

use stackpost_types::{MachineName, Millis, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

/// Silence after which a voter is replaced if a standby machine in a suitable zone exists.
pub const REPLACE_AFTER: Millis = Millis(1_500);
/// Silence after which it is replaced by any standby machine. Longer, because the voters are then
/// spread over fewer zones until a better machine is available.
pub const REPLACE_FROM_ANY_ZONE_AFTER: Millis = Millis(8_000);

/// The leader's view of one voter.
#[derive(Clone, Debug)]
pub struct VoterStatus {
    /// Time since its last reply; zero for the leader itself.
    pub time_since_contact: Millis,
    /// Its zone, if it is or has been connected.
    pub zone: Option<ZoneName>,
}

/// The leader's view of the machines that can serve control.
#[derive(Clone, Debug)]
pub struct VoterView {
    /// The leader itself.
    pub own: MachineName,
    pub voters: BTreeMap<MachineName, VoterStatus>,
    /// Connected machines that do not vote, with their zones.
    pub standby: BTreeMap<MachineName, ZoneName>,
    /// Standby machines, and voters with a new data folder, that have caught up with the log, with
    /// their identities.
    pub caught_up: BTreeMap<MachineName, u64>,
    /// Number of voters to maintain.
    pub target_voters: usize,
    /// Number of zones in which machines may serve control.
    pub zones: usize,
}

/// One step towards the target voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterStep {
    /// Nothing to do.
    None,
    /// Send the log to exactly these machines, which do not vote.
    SetLearners(BTreeSet<MachineName>),
    /// Add a machine as a voter under an identity.
    Add(MachineName, u64),
    /// Remove a machine from the voters.
    Remove(MachineName),
}

pub fn next_step(view: &VoterView) -> VoterStep {
    let renewed = view.caught_up.iter().find(|(machine, _)| view.voters.contains_key(*machine));
    if let Some((machine, identity)) = renewed {
        return VoterStep::Add(machine.clone(), *identity);
    }
    if view.voters.len() > view.target_voters {
        return view.surplus_voter().map_or(VoterStep::None, VoterStep::Remove);
    }
    let candidates = view.candidates();
    let ready = view.caught_up.iter().find(|(machine, _)| candidates.contains(*machine));
    match ready {
        Some((machine, identity)) => VoterStep::Add(machine.clone(), *identity),
        None if candidates.is_empty() => VoterStep::None,
        None => VoterStep::SetLearners(candidates),
    }
}

impl VoterView {
    /// The voter to remove when there is one too many: the one silent for longest, or else one in
    /// the zone with the most voters.
    fn surplus_voter(&self) -> Option<MachineName> {
        if let Some((machine, _)) = self.most_silent() {
            return Some(machine);
        }
        let others = self.voters.iter().filter(|(machine, _)| **machine != self.own);
        let crowding = |status: &VoterStatus| {
            status.zone.as_ref().map_or(0, |zone| self.active_voters_in(zone))
        };
        others.max_by_key(|(_, status)| crowding(status)).map(|(machine, _)| machine.clone())
    }

    /// Standby machines that may become voters: to fill a vacancy, or to replace a silent voter or
    /// a voter in a crowded zone.
    fn candidates(&self) -> BTreeSet<MachineName> {
        let suitable: BTreeSet<MachineName> = self
            .standby
            .iter()
            .filter(|(_, zone)| self.active_voters_in(zone) < self.max_voters_per_zone())
            .map(|(machine, _)| machine.clone())
            .collect();
        let has_vacancy = self.voters.len() < self.target_voters;
        let time_since_contact =
            self.most_silent().map(|(_, time_since_contact)| time_since_contact);
        if !suitable.is_empty()
            && (has_vacancy || time_since_contact.is_some() || self.is_crowded())
        {
            return suitable;
        }
        if has_vacancy || time_since_contact.is_some_and(|time| time >= REPLACE_FROM_ANY_ZONE_AFTER)
        {
            return self.standby.keys().cloned().collect();
        }
        BTreeSet::new()
    }

    /// The voter that has been silent for longest, if for at least [`REPLACE_AFTER`].
    fn most_silent(&self) -> Option<(MachineName, Millis)> {
        self.voters
            .iter()
            .filter(|(machine, status)| {
                **machine != self.own && status.time_since_contact >= REPLACE_AFTER
            })
            .max_by_key(|(_, status)| status.time_since_contact)
            .map(|(machine, status)| (machine.clone(), status.time_since_contact))
    }

    /// Number of voters in a zone that are not silent.
    fn active_voters_in(&self, zone: &ZoneName) -> usize {
        let active =
            self.voters.values().filter(|status| status.time_since_contact < REPLACE_AFTER);
        active.filter(|status| status.zone.as_ref() == Some(zone)).count()
    }

    /// Maximum number of voters in one zone.
    fn max_voters_per_zone(&self) -> usize {
        self.target_voters.div_ceil(self.zones.max(1))
    }

    fn is_crowded(&self) -> bool {
        let zones: BTreeSet<&ZoneName> =
            self.voters.values().filter_map(|status| status.zone.as_ref()).collect();
        zones.into_iter().any(|zone| self.active_voters_in(zone) > self.max_voters_per_zone())
    }
}
