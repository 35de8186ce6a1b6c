//! Control replicas under a seeded scheduler: kills, losses of power, wiped disks, cuts and full
//! disks. What was acknowledged is never lost and never read older, whoever votes.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpost_consensus::Envelope;
use stackpost_coordinator::*;
use stackpost_gateway_core::{ClientLimits, ConfigError, RoutingConfig};
use stackpost_storage::MemoryDisk;
use stackpost_types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const FOUNDERS: usize = 3;
const MACHINES: usize = 5;
/// Time between two ticks, in milliseconds.
const TICK: u64 = 25;
/// Seeds that every run plays.
const SEEDS: u64 = 60;
/// Length of a run with faults, in milliseconds.
const TROUBLE: u64 = 40_000;
/// Time to come to rest afterwards.
const REST: u64 = 25_000;

/// Documents of the test are their version as text.
struct TextDocuments;

impl DocumentCodec for TextDocuments {
    fn decode(&self, bytes: &[u8]) -> Result<RoutingConfig, ConfigError> {
        let text = std::str::from_utf8(bytes).unwrap_or_default();
        let version = text.split(':').next().and_then(|part| part.parse().ok());
        let version = version.ok_or_else(|| ConfigError::Unreadable(text.to_string()))?;
        Ok(RoutingConfig {
            version,
            routes: Vec::new(),
            services: BTreeMap::new(),
            limits: ClientLimits {
                max_header_bytes: 1,
                max_body_bytes: 1,
                header_timeout: Millis(1),
                idle_timeout: Millis(1),
            },
            tenants: None,
        })
    }
}

struct Machine {
    name: MachineName,
    disk: MemoryDisk,
    replica: Option<Replica<MemoryDisk>>,
    up_at: u64,
}

struct World {
    now: u64,
    rng: ChaCha8Rng,
    machines: Vec<Machine>,
    /// Pairs that can't reach one another.
    cut: BTreeSet<(usize, usize)>,
    mail: BTreeMap<(u64, u64), (usize, Envelope)>,
    sent: u64,
    next_version: u64,
    asked: BTreeMap<u64, Question>,
    acknowledged: u64,
    next_token: u64,
    founded: bool,
}

#[derive(Clone, Copy)]
enum Question {
    Put(u64),
    /// A read with what had been acknowledged when it was asked.
    Read(u64),
}

fn name(machine: usize) -> MachineName {
    MachineName::new(format!("m{machine}"))
}

impl World {
    fn new(seed: u64) -> Self {
        let machines = (0..MACHINES)
            .map(|machine| Machine {
                name: name(machine),
                disk: MemoryDisk::default(),
                replica: None,
                up_at: 0,
            })
            .collect();
        let mut world = Self {
            now: 1_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            machines,
            cut: BTreeSet::new(),
            mail: BTreeMap::new(),
            sent: 0,
            next_version: 1,
            asked: BTreeMap::new(),
            acknowledged: 0,
            next_token: 1,
            founded: false,
        };
        for machine in 0..MACHINES {
            world.start(machine);
        }
        world.founded = true;
        world
    }

    fn start(&mut self, machine: usize) {
        let founders = (!self.founded).then(|| (0..FOUNDERS).map(name).collect());
        let config = ReplicaConfig {
            name: name(machine),
            founders,
            fresh_identity: self.rng.random(),
            election_timeout: Millis(700),
            heartbeat_interval: Millis(150),
            lease_margin: Millis(100),
            voters_wanted: FOUNDERS,
            seed: self.rng.random(),
            codec: Arc::new(TextDocuments),
        };
        let disk = self.machines[machine].disk.clone();
        let replica = Replica::open(config, disk, Timestamp(self.now));
        // A folder that can't be written yet is opened again later.
        self.machines[machine].up_at = self.now + 300;
        self.machines[machine].replica = replica.ok();
    }

    fn stop(&mut self, machine: usize, down: u64) {
        self.machines[machine].replica = None;
        self.machines[machine].up_at = self.now + down;
    }

    fn give(&mut self, machine: usize, event: ReplicaEvent) {
        let now = Timestamp(self.now);
        let Some(replica) = &mut self.machines[machine].replica else {
            return;
        };
        match replica.handle(now, [event]) {
            Ok(effects) => effects.into_iter().for_each(|effect| self.carry_out(machine, effect)),
            Err(_) => self.stop(machine, 300),
        }
    }

    fn carry_out(&mut self, machine: usize, effect: ReplicaEffect) {
        match effect {
            ReplicaEffect::SendRaft(to, envelope) => self.post(machine, &to, envelope),
            ReplicaEffect::PutReply(token, PutReply::Taken) => {
                if let Some(Question::Put(version)) = self.asked.remove(&token) {
                    self.acknowledged = self.acknowledged.max(version);
                }
            }
            ReplicaEffect::ReadReply(token, ReadReply::Newest(document)) => {
                if let Some(Question::Read(known)) = self.asked.remove(&token) {
                    let version = document.as_ref().map_or(0, |document| document.version);
                    assert!(version >= known, "read {version} after {known} was acknowledged");
                    if let Some(document) = document {
                        assert_eq!(*document.bytes, *content(version).as_bytes());
                    }
                }
            }
            _ => {}
        }
    }

    fn post(&mut self, from: usize, to: &MachineName, envelope: Envelope) {
        let Some(to) = self.machines.iter().position(|machine| machine.name == *to) else {
            return;
        };
        if self.is_cut(from, to) || self.rng.random_ratio(1, 50) {
            return;
        }
        self.sent += 1;
        let arrival = self.now + self.rng.random_range(1..20);
        self.mail.insert((arrival, self.sent), (to, envelope));
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cut.contains(&(one.min(other), one.max(other)))
    }

    fn run_for(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            while let Some(entry) = self.mail.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let (to, envelope) = entry.remove();
                self.give(to, ReplicaEvent::Raft(envelope));
            }
            for machine in 0..MACHINES {
                let down = self.machines[machine].replica.is_none();
                if down && self.now >= self.machines[machine].up_at {
                    self.start(machine);
                }
                let reachable = self.reachable(machine);
                self.give(machine, ReplicaEvent::ControlPeers(reachable));
                self.give(machine, ReplicaEvent::Tick);
            }
            assert!(self.leaders() <= 1, "two replicas hold a lease at {}", self.now);
        }
    }

    fn leaders(&self) -> usize {
        let now = Timestamp(self.now);
        let replicas = self.machines.iter().filter_map(|machine| machine.replica.as_ref());
        replicas.filter(|replica| replica.leads(now)).count()
    }

    fn reachable(&self, machine: usize) -> BTreeSet<MachineName> {
        (0..MACHINES)
            .filter(|other| *other != machine && !self.is_cut(machine, *other))
            .filter(|other| self.machines[*other].replica.is_some())
            .map(name)
            .collect()
    }

    fn put(&mut self, machine: usize) {
        let version = self.next_version;
        self.next_version += 1;
        let token = self.token(Question::Put(version));
        let bytes = content(version).into_bytes().into();
        self.give(machine, ReplicaEvent::Put { token, bytes });
    }

    fn read(&mut self, machine: usize) {
        let token = self.token(Question::Read(self.acknowledged));
        self.give(machine, ReplicaEvent::Read { token });
    }

    fn token(&mut self, question: Question) -> u64 {
        self.next_token += 1;
        self.asked.insert(self.next_token, question);
        self.next_token
    }

    fn strike(&mut self) {
        let machine = self.rng.random_range(0..MACHINES);
        let which = self.rng.random_range(0..9);
        match which {
            0 => self.stop(machine, 500),
            1 => {
                self.machines[machine].disk.lose_power(self.rng.random_range(0..200));
                self.stop(machine, 1_500);
            }
            2 => self.all_lose_power(),
            3 => self.wipe(machine),
            4 => self.cut_off(machine),
            5 => self.split(),
            6 => self.cut.clear(),
            7 => self.machines[machine].disk.limit(Some(2_000)),
            _ => self.machines.iter().for_each(|machine| machine.disk.limit(None)),
        }
    }

    fn all_lose_power(&mut self) {
        for machine in 0..MACHINES {
            self.machines[machine].disk.lose_power(self.rng.random_range(0..200));
            self.stop(machine, 600);
        }
    }

    /// A disk is lost only while every voter counts: one loss is borne at once.
    fn wipe(&mut self, machine: usize) {
        let voters: BTreeSet<Vec<(MachineName, u64)>> = self
            .machines
            .iter()
            .filter_map(|machine| machine.replica.as_ref())
            .filter(|replica| replica.leads(Timestamp(self.now)))
            .map(|replica| replica.voters().clone().into_iter().collect())
            .collect();
        let settled = voters.len() == 1
            && self.cut.is_empty()
            && self.machines.iter().all(|machine| machine.replica.is_some());
        if settled && self.all_voters_count(&voters) {
            self.machines[machine].disk.erase();
            self.stop(machine, 800);
        }
    }

    fn all_voters_count(&self, voters: &BTreeSet<Vec<(MachineName, u64)>>) -> bool {
        let listed = voters.iter().flatten();
        listed.into_iter().all(|(voter, _)| {
            let held = self.machines.iter().find(|machine| machine.name == *voter);
            let replica = held.and_then(|machine| machine.replica.as_ref());
            replica.is_some_and(|replica| {
                replica.is_voter() && replica.state().document_version() >= self.acknowledged
            })
        })
    }

    fn cut_off(&mut self, machine: usize) {
        for other in (0..MACHINES).filter(|other| *other != machine) {
            self.cut.insert((machine.min(other), machine.max(other)));
        }
    }

    fn split(&mut self) {
        for one in 0..MACHINES {
            for other in one + 1..MACHINES {
                if one % 2 != other % 2 {
                    self.cut.insert((one, other));
                }
            }
        }
    }

    fn heal(&mut self) {
        self.cut.clear();
        self.machines.iter().for_each(|machine| machine.disk.limit(None));
    }

    fn newest_read(&mut self) -> bool {
        self.asked.clear();
        for machine in 0..MACHINES {
            self.read(machine);
        }
        let asked = self.asked.len();
        self.run_for(2_000);
        self.asked.len() < asked
    }
}

fn content(version: u64) -> String {
    format!("{version}:{}", "x".repeat((version % 90) as usize))
}

fn play(seed: u64) -> u64 {
    let mut world = World::new(seed);
    world.run_for(3_000);
    let end = world.now + TROUBLE;
    while world.now < end {
        let pause = world.rng.random_range(50..700);
        world.run_for(pause);
        let machine = world.rng.random_range(0..MACHINES);
        world.put(machine);
        let machine = world.rng.random_range(0..MACHINES);
        world.read(machine);
        if world.rng.random_ratio(1, 4) {
            world.strike();
        }
    }
    world.heal();
    world.run_for(REST);
    assert!(world.newest_read(), "seed {seed}: nobody answers a read at the end");
    world.acknowledged
}

#[test]
fn what_was_acknowledged_is_never_lost_nor_read_older() {
    let acknowledged: u64 = (0..SEEDS).map(play).sum();
    assert!(acknowledged > SEEDS * 5, "too little was acknowledged: {acknowledged}");
}

/// A lease that was granted before all replicas ended can't be held by anyone afterwards.
#[test]
fn a_group_that_restarts_as_a_whole_does_not_wait_for_an_old_lease() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.run_for(3_000);
        world.all_lose_power();
        while world.machines.iter().any(|machine| machine.replica.is_none()) {
            world.run_for(TICK);
        }
        let started = world.now;
        while world.leaders() == 0 {
            world.run_for(TICK);
        }
        let took = world.now - started;
        assert!(took < 650, "seed {seed}: {took} ms until one leads");
    }
}

/// A voter that can't be asked may hold a lease, so the others wait for it to run out.
#[test]
fn a_leader_out_of_sight_keeps_its_lease_when_the_others_restart() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.run_for(3_000);
        let now = Timestamp(world.now);
        let leads = |machine: &Machine| machine.replica.as_ref().is_some_and(|r| r.leads(now));
        let leader = world.machines.iter().position(leads).expect("one leads");
        world.cut_off(leader);
        for other in (0..MACHINES).filter(|other| *other != leader) {
            world.stop(other, 0);
        }
        // No two may lead at any moment, which every step looks at.
        world.run_for(3_000);
        assert_eq!(world.leaders(), 1, "seed {seed}: the others have elected one by now");
    }
}

#[test]
fn a_voter_that_is_gone_for_good_is_replaced() {
    let mut world = World::new(7);
    world.run_for(3_000);
    world.put(0);
    world.put(1);
    world.put(2);
    world.run_for(1_000);
    assert!(world.acknowledged > 0);
    world.stop(0, u64::MAX / 2);
    world.run_for(25_000);
    let leader = world.machines.iter().filter_map(|machine| machine.replica.as_ref());
    let voters = leader
        .filter(|replica| replica.leads(Timestamp(world.now)))
        .map(|replica| replica.voters().clone())
        .next()
        .expect("the others have a leader");
    assert_eq!(voters.len(), FOUNDERS);
    assert!(!voters.contains_key(&name(0)), "the one that is gone votes no more");
    world.stop(1, u64::MAX / 2);
    world.run_for(3_000);
    assert!(world.newest_read(), "the newcomer makes a majority with the last founder");
}

#[test]
fn a_wiped_voter_counts_again_only_under_its_new_identity() {
    let mut world = World::new(11);
    world.run_for(3_000);
    world.put(0);
    world.put(1);
    world.put(2);
    world.run_for(500);
    world.machines[1].disk.erase();
    world.stop(1, 500);
    world.run_for(8_000);
    let wiped = world.machines[1].replica.as_ref().expect("it runs again");
    assert!(wiped.is_voter());
    assert_ne!(wiped.voters()[&name(1)], stackpost_consensus::FIRST_IDENTITY);
}

#[test]
fn other_content_under_a_held_version_changes_nothing() {
    let mut world = World::new(3);
    world.run_for(3_000);
    for machine in 0..FOUNDERS {
        let token = world.token(Question::Put(9));
        let bytes: Arc<[u8]> = content(9).into_bytes().into();
        world.give(machine, ReplicaEvent::Put { token, bytes });
    }
    world.run_for(1_000);
    assert_eq!(world.acknowledged, 9);
    for machine in 0..FOUNDERS {
        let token = world.token(Question::Put(9));
        let bytes: Arc<[u8]> = b"9:other".to_vec().into();
        world.give(machine, ReplicaEvent::Put { token, bytes });
    }
    world.run_for(1_000);
    // The read compares the content, too.
    assert!(world.newest_read());
}
