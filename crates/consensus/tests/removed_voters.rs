//! Voters that are removed while they are cut off learn it once they are connected again.

mod support;

use proptest::prelude::*;
use stackpost_consensus::*;
use stackpost_types::{MachineName, Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use support::{drain, restored};

const ELECTION_TIMEOUT: Millis = Millis(700);
const STEP: Millis = Millis(25);
/// Time from the heal in which a removed voter learns that it is none, and whom to follow.
const LEARN_TIME: Millis = Millis(1_000);
/// Votes that may be refused to it in that time.
const MAX_REFUSALS: usize = 2;
const MACHINES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// The last machine does not vote at first.
const VOTERS: usize = 5;
/// Longest time to an election, in steps.
const ELECTION_STEPS: usize = 400;

fn name(machine: &str) -> MachineName {
    MachineName::new(machine)
}

fn new_replica(machine: &MachineName, restored: RestoredState, now: Timestamp) -> Raft {
    let voters = MACHINES[..VOTERS].iter().map(|one| (name(one), INITIAL_IDENTITY));
    let config = Config {
        name: machine.clone(),
        identity: INITIAL_IDENTITY,
        initial_voters: voters.collect(),
        election_timeout: ELECTION_TIMEOUT,
        heartbeat_interval: Millis(150),
        lease_margin: Millis(100),
        seed: machine.as_str().bytes().map(u64::from).sum(),
    };
    Raft::new(config, restored, now)
}

/// What happens while a voter is cut off.
#[derive(Clone, Copy, Debug)]
enum Event {
    Propose,
    Compact,
    /// The leader is cut off as well for some time, so that another one is elected.
    ChangeLeader,
    /// The voter that is cut off starts again.
    Restart,
    /// The standby machine takes the place of the removed voter.
    AddStandby,
}

#[derive(Clone, Debug)]
struct Scenario {
    cuts_leader: bool,
    before: Vec<Event>,
    after: Vec<Event>,
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    let event = prop_oneof![
        4 => Just(Event::Propose),
        1 => Just(Event::Compact),
        1 => Just(Event::ChangeLeader),
        1 => Just(Event::Restart),
        1 => Just(Event::AddStandby),
    ];
    let events = || prop::collection::vec(event.clone(), 0..8);
    (any::<bool>(), events(), events()).prop_map(|(cuts_leader, before, after)| Scenario {
        cuts_leader,
        before,
        after,
    })
}

struct Group {
    now: Timestamp,
    replicas: BTreeMap<MachineName, Raft>,
    isolated: BTreeSet<MachineName>,
    /// Votes refused to each candidate.
    refusals: BTreeMap<MachineName, usize>,
}

impl Group {
    fn new() -> Self {
        let now = Timestamp(1_000);
        let replicas =
            MACHINES.map(|one| (name(one), new_replica(&name(one), RestoredState::default(), now)));
        Self {
            now,
            replicas: replicas.into(),
            isolated: BTreeSet::new(),
            refusals: BTreeMap::new(),
        }
    }

    fn raft(&mut self, machine: &MachineName) -> &mut Raft {
        self.replicas.get_mut(machine).expect("one of the group")
    }

    fn leader(&self) -> Option<MachineName> {
        let leads = |raft: &Raft| raft.lease_until().is_some_and(|until| self.now < until);
        let reachable = self.replicas.iter().filter(|(one, _)| !self.isolated.contains(*one));
        reachable.into_iter().find(|(_, raft)| leads(raft)).map(|(one, _)| one.clone())
    }

    fn run_until_leader(&mut self) -> MachineName {
        for _ in 0..ELECTION_STEPS {
            if let Some(leader) = self.leader()
                && self.raft(&leader).may_change_voters().is_ok()
            {
                return leader;
            }
            self.step();
        }
        panic!("no leader");
    }

    fn run_for(&mut self, time: Millis) {
        (0..time.0 / STEP.0).for_each(|_| self.step());
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        self.replicas.values_mut().for_each(|raft| raft.tick(now));
        loop {
            let mut sent = Vec::new();
            for raft in self.replicas.values_mut() {
                let output = drain(raft);
                sent.extend(output.messages);
                for event in output.elections {
                    if let ElectionEvent::Refused { candidate, .. } = event {
                        *self.refusals.entry(candidate).or_default() += 1;
                    }
                }
            }
            if sent.is_empty() {
                return;
            }
            for (to, envelope) in sent {
                let is_lost = self.isolated.contains(&to) || self.isolated.contains(&envelope.from);
                if let Some(raft) = self.replicas.get_mut(&to).filter(|_| !is_lost) {
                    raft.step(now, envelope);
                }
            }
        }
    }

    fn apply(&mut self, event: Event, cut_off: &MachineName) {
        let leader = self.run_until_leader();
        match event {
            Event::Propose => {
                self.raft(&leader).propose(vec![0; 100]).expect("the leader");
            }
            Event::Compact => {
                let raft = self.raft(&leader);
                let index = raft.commit_index();
                raft.compact(index, Vec::new());
            }
            Event::ChangeLeader => {
                self.isolated.insert(leader.clone());
                self.run_until_leader();
                self.isolated.remove(&leader);
            }
            Event::Restart => self.restart(cut_off),
            Event::AddStandby => self.add_standby(&leader),
        }
        self.run_for(Millis(200));
    }

    fn restart(&mut self, machine: &MachineName) {
        let now = self.now;
        let raft = self.raft(machine);
        *raft = new_replica(machine, restored(raft), now);
    }

    fn add_standby(&mut self, leader: &MachineName) {
        let standby = name(MACHINES[VOTERS]);
        let mut voters = self.raft(leader).voters().clone();
        if voters.len() < VOTERS {
            voters.insert(standby, INITIAL_IDENTITY);
            self.raft(leader).propose_voters(voters).expect("no change in progress");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn voter_removed_while_it_is_cut_off_follows_the_leader_again(scenario in scenarios()) {
        let mut group = Group::new();
        let first = group.run_until_leader();
        let other = name(MACHINES.iter().find(|one| name(one) != first).expect("another"));
        let removed = if scenario.cuts_leader { first } else { other };
        group.isolated.insert(removed.clone());
        scenario.before.iter().for_each(|event| group.apply(*event, &removed));
        let leader = group.run_until_leader();
        let mut voters = group.raft(&leader).voters().clone();
        voters.remove(&removed);
        group.raft(&leader).propose_voters(voters).expect("no change in progress");
        group.run_for(Millis(300));
        scenario.after.iter().for_each(|event| group.apply(*event, &removed));
        let leader = group.run_until_leader();
        group.refusals.clear();
        group.isolated.remove(&removed);
        group.run_for(LEARN_TIME);
        prop_assert_eq!(group.leader(), Some(leader.clone()), "the leader goes on");
        let refused = group.refusals.get(&removed).copied().unwrap_or_default();
        prop_assert!(refused <= MAX_REFUSALS, "{} votes refused", refused);
        let raft = group.raft(&removed);
        prop_assert!(!raft.is_voter(), "it takes itself for a voter");
        prop_assert_eq!(raft.leader(), Some(&leader));
        prop_assert_eq!(raft.role(), Role::Follower);
    }
}
