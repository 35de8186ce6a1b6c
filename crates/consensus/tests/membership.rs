//! Membership: the voters are those of the newest entry in the log that names any, committed or
//! not.

#[allow(dead_code)]
mod support;

use stackpost_consensus::*;
use stackpost_types::{MachineName, Millis, Timestamp};
use std::collections::BTreeMap;
use support::{drain, restored};

const ELECTION_TIMEOUT: Millis = Millis(700);

fn name(machine: &str) -> MachineName {
    MachineName::new(machine)
}

fn voters(machines: &[&str]) -> Voters {
    machines.iter().map(|machine| (name(machine), INITIAL_IDENTITY)).collect()
}

fn new_replica(machine: &str, restored: RestoredState, now: Timestamp) -> Raft {
    let config = Config {
        name: name(machine),
        identity: INITIAL_IDENTITY,
        initial_voters: voters(&["a", "b", "c"]),
        election_timeout: ELECTION_TIMEOUT,
        heartbeat_interval: Millis(150),
        lease_margin: Millis(100),
        seed: machine.bytes().map(u64::from).sum(),
    };
    Raft::new(config, restored, now)
}

/// Replicas that share a clock; isolated ones neither send nor receive messages.
struct Group {
    now: Timestamp,
    replicas: BTreeMap<MachineName, Raft>,
    isolated: Vec<MachineName>,
}

impl Group {
    /// Three voters with a leader that has committed an entry of its term.
    fn elected() -> (Self, MachineName) {
        let now = Timestamp(1_000);
        let replicas =
            ["a", "b", "c"].map(|one| (name(one), new_replica(one, RestoredState::default(), now)));
        let mut group = Self { now, replicas: replicas.into(), isolated: Vec::new() };
        let leader = group.run_until_leader();
        (group, leader)
    }

    fn run_until_leader(&mut self) -> MachineName {
        for _ in 0..400 {
            self.step();
            let is_leader = |raft: &&Raft| raft.lease_until().is_some_and(|until| self.now < until);
            let reachable =
                self.replicas.iter().filter(|(machine, _)| !self.isolated.contains(machine));
            if let Some((machine, _)) = reachable.into_iter().find(|(_, raft)| is_leader(raft)) {
                return machine.clone();
            }
        }
        panic!("no leader after ten seconds");
    }

    /// Advances time by 25 ms and delivers all messages.
    fn step(&mut self) {
        self.now = self.now + Millis(25);
        self.replicas.values_mut().for_each(|raft| raft.tick(self.now));
        loop {
            let sent: Vec<(MachineName, Envelope)> =
                self.replicas.values_mut().flat_map(|raft| drain(raft).messages).collect();
            if sent.is_empty() {
                return;
            }
            for (to, envelope) in sent {
                let is_lost = self.isolated.contains(&to) || self.isolated.contains(&envelope.from);
                if let Some(raft) = self.replicas.get_mut(&to).filter(|_| !is_lost) {
                    raft.step(self.now, envelope);
                }
            }
        }
    }

    fn raft(&mut self, machine: &MachineName) -> &mut Raft {
        self.replicas.get_mut(machine).expect("one of the group")
    }
}

#[test]
fn voters_change_one_at_a_time_and_one_machine_each() {
    let (mut group, leader) = Group::elected();
    let raft = group.raft(&leader);
    let two_more = voters(&["a", "b", "c", "d", "e"]);
    assert_eq!(raft.propose_voters(two_more.clone()), Err(VoterChangeError::TooManyChanges(2)));
    let one_more = voters(&["a", "b", "c", "d"]);
    let (_, index) = raft.propose_voters(one_more.clone()).expect("no change in progress");
    assert_eq!(*raft.voters(), one_more, "the change takes effect at once");
    assert_eq!(raft.propose_voters(two_more), Err(VoterChangeError::InProgress(index)));
    group.step();
    for raft in group.replicas.values() {
        assert_eq!(*raft.voters(), one_more, "the change takes effect with the entry");
    }
    assert_eq!(group.raft(&leader).may_change_voters(), Ok(()), "three of four have the entry");
    let follower = group.replicas.keys().find(|one| **one != leader).cloned().expect("a follower");
    let refused = group.raft(&follower).propose_voters(voters(&["a", "b", "c"]));
    assert!(matches!(refused, Err(VoterChangeError::NotLeader(_))));
}

#[test]
fn voters_of_a_replaced_entry_are_reverted() {
    let (mut group, leader) = Group::elected();
    group.isolated.push(leader.clone());
    let one_more = voters(&["a", "b", "c", "d"]);
    group.raft(&leader).propose_voters(one_more.clone()).expect("no change in progress");
    group.step();
    assert_eq!(*group.raft(&leader).voters(), one_more);
    let successor = group.run_until_leader();
    assert_ne!(successor, leader);
    group.isolated.clear();
    for _ in 0..40 {
        group.step();
    }
    assert_eq!(*group.raft(&leader).voters(), voters(&["a", "b", "c"]));
}

#[test]
fn snapshot_names_the_voters_as_of_its_index() {
    let (mut group, leader) = Group::elected();
    let raft = group.raft(&leader);
    let before = raft.propose(b"before".to_vec()).expect("the leader").1;
    let one_more = voters(&["a", "b", "c", "d"]);
    raft.propose_voters(one_more.clone()).expect("no change in progress");
    group.step();
    group.step();
    let raft = group.raft(&leader);
    raft.compact(before, Vec::new());
    assert_eq!(raft.snapshot_index(), before);
    assert_eq!(raft.snapshot().voters, voters(&["a", "b", "c"]));
    let restored = restored(raft);
    let restarted = new_replica(leader.as_str(), restored, group.now);
    assert_eq!(*restarted.voters(), one_more, "the entry after the snapshot takes effect");
}
