//! Who should vote.
//!
//! A fleet that must bear the loss of `n` machines at once needs `2n + 1` voters, and no zone may hold
//! so many of them that its loss takes the majority. A voter that falls silent is replaced by a machine
//! that does not vote yet: the new one is added first, once it holds the log, and only then the silent
//! one is removed. One change at a time, so that any two majorities, before and after, share a replica.
//!
//! A lost machine's successor must vote before the next machine may be lost, whoever leads
//! meanwhile: an election, this much silence and two changes have to fit into the time that is
//! given to a new machine to catch up (four seconds from its start). A voter that was only cut off
//! loses nothing: it stands by when it is back.

use stackpost_types::{MachineName, Millis, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

/// Silence after which a voter is replaced if a machine in a fitting zone stands by.
pub const REPLACE_AFTER: Millis = Millis(1_500);
/// Silence after which it is replaced by any machine. Longer, because the voters stand in fewer
/// zones then until a better machine stands by.
pub const REPLACE_FROM_ANY_ZONE_AFTER: Millis = Millis(8_000);

/// What the leader knows of one voter.
#[derive(Clone, Debug)]
pub struct VoterStatus {
    /// Time since it was last heard from; zero for the leader itself.
    pub time_since_contact: Millis,
    /// Its zone, if it is connected or has been.
    pub zone: Option<ZoneName>,
}

/// What the leader knows of the machines that serve control.
#[derive(Clone, Debug)]
pub struct VoterView {
    /// The leader itself.
    pub own: MachineName,
    /// The voters.
    pub voters: BTreeMap<MachineName, VoterStatus>,
    /// Machines that do not vote and are connected now, with their zones.
    pub standby: BTreeMap<MachineName, ZoneName>,
    /// Those among them, and voters with a new data folder, that hold the log; with their
    /// identities.
    pub caught_up: BTreeMap<MachineName, u64>,
    /// Voters wanted.
    pub target_voters: usize,
    /// Zones in which machines may serve control.
    pub zones: usize,
}

/// One step towards the voters that should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterStep {
    /// Nothing to do.
    None,
    /// Send the log to just these machines that do not vote.
    SetLearners(BTreeSet<MachineName>),
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
    /// The voter to be removed when there is one too many: the most silent one, or else one in the
    /// zone that holds most.
    fn surplus_voter(&self) -> Option<MachineName> {
        if let Some((machine, _)) = self.most_silent() {
            return Some(machine);
        }
        let others = self.voters.iter().filter(|(machine, _)| **machine != self.own);
        let crowding =
            |status: &VoterStatus| status.zone.as_ref().map_or(0, |zone| self.voters_in(zone));
        others.max_by_key(|(_, status)| crowding(status)).map(|(machine, _)| machine.clone())
    }

    /// Machines that may take a place: a free one, that of a silent voter, or that of a voter in a
    /// crowded zone.
    fn candidates(&self) -> BTreeSet<MachineName> {
        let fitting: BTreeSet<MachineName> = self
            .standby
            .iter()
            .filter(|(_, zone)| self.voters_in(zone) < self.most_in_a_zone())
            .map(|(machine, _)| machine.clone())
            .collect();
        let place_is_free = self.voters.len() < self.target_voters;
        let time_since_contact =
            self.most_silent().map(|(_, time_since_contact)| time_since_contact);
        if !fitting.is_empty()
            && (place_is_free || time_since_contact.is_some() || self.is_crowded())
        {
            return fitting;
        }
        if place_is_free
            || time_since_contact.is_some_and(|time| time >= REPLACE_FROM_ANY_ZONE_AFTER)
        {
            return self.standby.keys().cloned().collect();
        }
        BTreeSet::new()
    }

    /// The voter that has been silent for longest, if for long enough.
    fn most_silent(&self) -> Option<(MachineName, Millis)> {
        self.voters
            .iter()
            .filter(|(machine, status)| {
                **machine != self.own && status.time_since_contact >= REPLACE_AFTER
            })
            .max_by_key(|(_, status)| status.time_since_contact)
            .map(|(machine, status)| (machine.clone(), status.time_since_contact))
    }

    /// Voters in a zone that are not silent.
    fn voters_in(&self, zone: &ZoneName) -> usize {
        let heard = self.voters.values().filter(|status| status.time_since_contact < REPLACE_AFTER);
        heard.filter(|status| status.zone.as_ref() == Some(zone)).count()
    }

    /// Voters that one zone may hold.
    fn most_in_a_zone(&self) -> usize {
        self.target_voters.div_ceil(self.zones.max(1))
    }

    fn is_crowded(&self) -> bool {
        let zones: BTreeSet<&ZoneName> =
            self.voters.values().filter_map(|status| status.zone.as_ref()).collect();
        zones.into_iter().any(|zone| self.voters_in(zone) > self.most_in_a_zone())
    }
}
