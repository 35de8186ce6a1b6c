//! A voter that restarts may have promised a leader its lease shortly before.

#[allow(dead_code)]
mod support;

use stackpost_consensus::*;
use stackpost_types::{MachineName, Millis, Timestamp};
use std::collections::BTreeMap;
use support::{drain, restored};

const STEP: Millis = Millis(25);
/// Steps in which a lease that is not renewed runs out.
const STEPS_IN_LEASE: usize = 60;
const MACHINES: [&str; 3] = ["a", "b", "c"];

fn name(machine: &str) -> MachineName {
    MachineName::new(machine)
}

fn new_replica(machine: &MachineName, seed: u64, restored: RestoredState, now: Timestamp) -> Raft {
    let config = Config {
        name: machine.clone(),
        identity: INITIAL_IDENTITY,
        initial_voters: MACHINES.iter().map(|one| (name(one), INITIAL_IDENTITY)).collect(),
        election_timeout: Millis(700),
        heartbeat_interval: Millis(150),
        lease_margin: Millis(100),
        seed: seed + machine.as_str().bytes().map(u64::from).sum::<u64>(),
    };
    Raft::new(config, restored, now)
}

/// Replicas that share a clock.
struct Group {
    now: Timestamp,
    replicas: BTreeMap<MachineName, Raft>,
    /// Pairs of machines between which no message passes.
    cuts: Vec<[MachineName; 2]>,
}

impl Group {
    fn new(seed: u64) -> Self {
        let now = Timestamp(1_000);
        let replicas = MACHINES
            .map(|one| (name(one), new_replica(&name(one), seed, RestoredState::default(), now)));
        Self { now, replicas: replicas.into(), cuts: Vec::new() }
    }

    /// Advances time and delivers all messages.
    fn step(&mut self) {
        self.now = self.now + STEP;
        self.replicas.values_mut().for_each(|raft| raft.tick(self.now));
        loop {
            let sent: Vec<(MachineName, Envelope)> =
                self.replicas.values_mut().flat_map(|raft| drain(raft).messages).collect();
            if sent.is_empty() {
                return;
            }
            for (to, envelope) in sent {
                let is_cut = self.is_cut(&to, &envelope.from);
                if let Some(raft) = self.replicas.get_mut(&to).filter(|_| !is_cut) {
                    raft.step(self.now, envelope);
                }
            }
        }
    }

    fn is_cut(&self, one: &MachineName, other: &MachineName) -> bool {
        self.cuts.iter().any(|cut| cut.contains(one) && cut.contains(other))
    }

    /// The replicas that may rely on a lease now.
    fn leaders(&self) -> Vec<MachineName> {
        let leads = |raft: &Raft| raft.lease_until().is_some_and(|until| self.now < until);
        let leaders = self.replicas.iter().filter(|(_, raft)| leads(raft));
        leaders.map(|(one, _)| one.clone()).collect()
    }

    fn restart(&mut self, machine: &MachineName, seed: u64) {
        let restored = restored(&self.replicas[machine]);
        self.replicas.insert(machine.clone(), new_replica(machine, seed, restored, self.now));
    }
}

/// Guards against two leaders with a lease: a voter counts its own vote although it has promised
/// none before its restart.
#[test]
fn restarted_voter_does_not_vote_for_itself_within_the_lease_that_it_promised() {
    for seed in 0..40 {
        let mut group = Group::new(seed);
        while group.leaders().is_empty() {
            group.step();
        }
        let leader = group.leaders().remove(0);
        let mut others = MACHINES.map(name).into_iter().filter(|one| *one != leader);
        let (restarted, cut_off) = (others.next().expect("two"), others.next().expect("two"));
        group.cuts.push([leader.clone(), cut_off]);
        (0..STEPS_IN_LEASE).for_each(|_| group.step());
        assert_eq!(group.leaders().first(), Some(&leader), "seed {seed}");
        group.restart(&restarted, seed);
        group.cuts.push([leader, restarted]);
        for _ in 0..STEPS_IN_LEASE {
            group.step();
            assert!(group.leaders().len() <= 1, "two leaders, seed {seed}");
        }
    }
}
