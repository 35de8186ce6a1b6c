//! Followers catch up by bytes, whatever the sizes of entries and whichever messages are lost.

#[allow(dead_code)]
mod support;

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpost_consensus::*;
use stackpost_types::{MachineName, Millis, Timestamp};
use std::collections::BTreeMap;
use support::drain;

/// Messages above this size can't be sent.
const FRAME_LIMIT: usize = 16 * 1024 * 1024;
const MAX_ENTRY_BYTES: usize = 4 * 1024 * 1024;
const STEP: Millis = Millis(25);
/// Steps within which a group elects a leader and a follower catches up.
const MAX_STEPS: usize = 800;
const MACHINES: [&str; 3] = ["a", "b", "c"];

fn name(machine: &str) -> MachineName {
    MachineName::new(machine)
}

fn new_replica(machine: &str, now: Timestamp) -> Raft {
    let config = Config {
        name: name(machine),
        identity: INITIAL_IDENTITY,
        initial_voters: MACHINES.iter().map(|one| (name(one), INITIAL_IDENTITY)).collect(),
        election_timeout: Millis(700),
        heartbeat_interval: Millis(150),
        lease_margin: Millis(100),
        seed: machine.bytes().map(u64::from).sum(),
    };
    Raft::new(config, RestoredState::default(), now)
}

fn entry_bytes(message: &Message) -> usize {
    match message {
        Message::Append { entries, .. } => entries.iter().map(Entry::size).sum(),
        _ => 0,
    }
}

/// Whether a message keeps to the bound: a larger entry goes alone.
fn keeps_bound(message: &Message) -> bool {
    let is_alone = matches!(message, Message::Append { entries, .. } if entries.len() == 1);
    is_alone || entry_bytes(message) <= MAX_BYTES_PER_MESSAGE
}

struct Group {
    now: Timestamp,
    replicas: BTreeMap<MachineName, Raft>,
    isolated: Option<MachineName>,
    /// Bytes of entries sent to the isolated replica.
    bytes_to_isolated: usize,
    rng: ChaCha8Rng,
    loss: f64,
}

impl Group {
    fn new(seed: u64, loss: f64) -> Self {
        let now = Timestamp(1_000);
        Self {
            now,
            replicas: MACHINES.map(|one| (name(one), new_replica(one, now))).into(),
            isolated: None,
            bytes_to_isolated: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss,
        }
    }

    fn leader(&self) -> Option<MachineName> {
        let leads = |raft: &Raft| raft.lease_until().is_some_and(|until| self.now < until);
        let mut replicas = self.replicas.iter();
        replicas.find(|(_, raft)| leads(raft)).map(|(name, _)| name.clone())
    }

    /// Advances time and delivers the messages that are not lost.
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
                assert!(keeps_bound(&envelope.message), "a message exceeds its bound");
                if self.isolated.as_ref() == Some(&to) {
                    self.bytes_to_isolated += entry_bytes(&envelope.message);
                }
                let is_cut =
                    [&to, &envelope.from].contains(&self.isolated.as_ref().unwrap_or(&name("")));
                let is_lost =
                    entry_bytes(&envelope.message) > FRAME_LIMIT || self.rng.random_bool(self.loss);
                if !is_cut && !is_lost {
                    self.replicas.get_mut(&to).expect("a machine").step(self.now, envelope);
                }
            }
        }
    }

    fn run_until(&mut self, what: &str, is_done: impl Fn(&Self) -> bool) {
        for _ in 0..MAX_STEPS {
            if is_done(self) {
                return;
            }
            self.step();
        }
        panic!("timed out: {what}");
    }
}

/// Commits entries while one follower is isolated, then lets it return.
fn follower_catches_up(seed: u64, sizes: &[usize], loss: f64) {
    let mut group = Group::new(seed, loss);
    group.run_until("a leader", |group| group.leader().is_some());
    let leader = group.leader().expect("a leader");
    let follower = group.replicas.keys().find(|name| **name != leader).expect("a follower").clone();
    group.isolated = Some(follower.clone());
    group.bytes_to_isolated = 0;
    for size in sizes {
        group.run_until("a leader", |group| group.leader().is_some());
        let leader = group.leader().expect("a leader");
        let raft = group.replicas.get_mut(&leader).expect("a machine");
        raft.propose(vec![1; *size]).expect("the leader proposes");
        group.step();
    }
    let limit = MAX_BYTES_IN_FLIGHT + MAX_ENTRY_BYTES + MAX_BYTES_PER_MESSAGE;
    if loss == 0.0 {
        assert!(group.bytes_to_isolated <= limit, "{} bytes sent", group.bytes_to_isolated);
    }
    group.isolated = None;
    group.run_until("the follower catches up", |group| {
        let last = group.replicas.values().map(Raft::last_index).max();
        group.replicas.values().all(|raft| Some(raft.commit_index()) == last)
    });
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn follower_that_lacks_entries_of_any_size_catches_up(
        seed: u64,
        sizes in prop::collection::vec((0_u32..23).prop_flat_map(|bits| 1_usize..=1 << bits), 1..40),
        loss in prop::sample::select(vec![0.0, 0.1, 0.3]),
    ) {
        follower_catches_up(seed, &sizes, loss);
    }
}

#[test]
fn follower_that_lacks_more_than_a_frame_catches_up() {
    follower_catches_up(1, &[MAX_ENTRY_BYTES / 4; 40], 0.0);
}
