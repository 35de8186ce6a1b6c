//! The leader's part in the replacement of voters: what it knows of each machine, and the change
//! that it proposes.

use super::Replica;
use crate::voters::{VoterStatus, VoterStep, VoterView, next_step};
use stackpost_storage::Disk;
use stackpost_types::{MachineName, Millis, Timestamp, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

impl<D: Disk> Replica<D> {
    /// Proposes the next change of the voters, if any is due.
    pub(super) fn plan_voters(&mut self, now: Timestamp) {
        if !self.is_leader(now) || self.raft.may_change_voters().is_err() {
            return;
        }
        let mut voters = self.raft.voters().clone();
        match next_step(&self.voter_view()) {
            VoterStep::None => return self.raft.set_learners(BTreeSet::new()),
            VoterStep::SetLearners(machines) => return self.raft.set_learners(machines),
            VoterStep::Add(machine, identity) => voters.insert(machine, identity),
            VoterStep::Remove(machine) => voters.remove(&machine),
        };
        if let Err(error) = self.raft.propose_voters(voters) {
            log::warn!(step = "membership"; "voters not changed: {error}");
        }
    }

    fn voter_view(&self) -> VoterView {
        let own = &self.config.name;
        let voters: BTreeMap<MachineName, VoterStatus> =
            self.raft.voters().keys().map(|name| (name.clone(), self.voter_status(name))).collect();
        let standby: BTreeMap<MachineName, ZoneName> = self
            .control_peers
            .iter()
            .filter(|(machine, _)| !voters.contains_key(*machine))
            .map(|(machine, zone)| (machine.clone(), zone.clone()))
            .collect();
        let caught_up = voters
            .keys()
            .chain(standby.keys())
            .filter(|machine| *machine != own)
            .filter_map(|machine| Some((machine.clone(), self.raft.caught_up_identity(machine)?)))
            .collect();
        VoterView {
            own: own.clone(),
            voters,
            standby,
            caught_up,
            target_voters: self.config.target_voters,
            zones: self.config.zones,
        }
    }

    fn voter_status(&self, machine: &MachineName) -> VoterStatus {
        if *machine == self.config.name {
            return VoterStatus {
                time_since_contact: Millis(0),
                zone: Some(self.config.zone.clone()),
            };
        }
        let time_since_contact = self.raft.time_since_contact(machine).unwrap_or(Millis(0));
        VoterStatus { time_since_contact, zone: self.known_zones.get(machine).cloned() }
    }
}
