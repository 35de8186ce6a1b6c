//! Control replicas with simulated disks and a simulated network, on one virtual clock.

#![allow(dead_code)] // Each test file uses only a part.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpost_consensus::Envelope;
use stackpost_coordinator::*;
use stackpost_gateway_core::{ClientLimits, ConfigError, RoutingConfig, Tenant};
use stackpost_storage::MemoryDisk;
use stackpost_types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub const INITIAL_VOTERS: usize = 3;
pub const MACHINES: usize = 5;
pub const ZONES: usize = 3;
/// The tenant with a budget.
pub const TENANT: &str = "ferry";
/// Time between two ticks, in milliseconds.
pub const TICK_MS: u64 = 25;

/// The seeds of a test: `count` seeds starting from zero, unless overridden by
/// STACKPOST_SEED_OFFSET and STACKPOST_SEED_COUNT.
pub fn seeds(count: u64) -> std::ops::Range<u64> {
    let given = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let first = given("STACKPOST_SEED_OFFSET").unwrap_or(0);
    first..first + given("STACKPOST_SEED_COUNT").unwrap_or(count)
}

/// Test documents are their version as text.
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
            tenants: Some(vec![Tenant {
                name: TENANT.into(),
                keys: vec!["key".into()],
                priority: None,
                prepaid: Some(Tokens(1_000_000)),
            }]),
        })
    }
}

pub struct Machine {
    pub name: MachineName,
    pub disk: MemoryDisk,
    pub replica: Option<Replica<MemoryDisk>>,
    pub restart_at: u64,
    pub zone: ZoneName,
    /// End of the machine's suspension. Until then it does nothing, and messages to it are delayed.
    pub suspended_until: u64,
    /// Time by which its clock lags. Zero, unless the clock stops during suspension.
    pub clock_lag: u64,
}

impl Machine {
    fn empty(machine: usize, zone: usize) -> Self {
        let zone = ZoneName::new(format!("zone-{zone}"));
        let disk = MemoryDisk::default();
        let name = name(machine);
        Self { name, disk, replica: None, restart_at: 0, zone, suspended_until: 0, clock_lag: 0 }
    }
}

pub struct World {
    pub now: u64,
    pub rng: ChaCha8Rng,
    pub machines: Vec<Machine>,
    /// Pairs of machines that can't reach each other.
    partitioned: BTreeSet<(usize, usize)>,
    in_flight: BTreeMap<(u64, u64), (usize, Envelope)>,
    sent: u64,
    next_version: u64,
    pending: BTreeMap<u64, PendingRequest>,
    pub acknowledged: u64,
    /// Tokens of the puts and orders that were replied to with `Accepted`.
    pub accepted: BTreeSet<u64>,
    next_token: u64,
    is_started: bool,
}

#[derive(Clone, Copy)]
pub enum PendingRequest {
    Put(u64),
    /// A read, with the highest version that was acknowledged when it was sent.
    Read(u64),
    /// An order to evacuate a zone or to end its evacuation.
    Evacuate,
}

pub fn name(machine: usize) -> MachineName {
    MachineName::new(format!("m{machine}"))
}

impl World {
    /// A new fleet with standby machines.
    pub fn new(seed: u64) -> Self {
        Self::with_machines(seed, MACHINES)
    }

    /// A new fleet of `count` machines, of which the first ones are the initial voters.
    pub fn with_machines(seed: u64, count: usize) -> Self {
        let machines = (0..count).map(|machine| Machine::empty(machine, machine % ZONES)).collect();
        let mut world = Self {
            now: 1_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            machines,
            partitioned: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            next_version: 1,
            pending: BTreeMap::new(),
            acknowledged: 0,
            accepted: BTreeSet::new(),
            next_token: 1,
            is_started: false,
        };
        for machine in 0..count {
            world.start(machine);
        }
        world.is_started = true;
        world
    }

    pub fn start(&mut self, machine: usize) {
        let initial_voters = (!self.is_started).then(|| (0..INITIAL_VOTERS).map(name).collect());
        let config = ReplicaConfig {
            name: name(machine),
            initial_voters,
            new_identity: self.rng.random(),
            election_timeout: Millis(700),
            heartbeat_interval: Millis(150),
            lease_margin: Millis(100),
            target_voters: INITIAL_VOTERS,
            zone: self.machines[machine].zone.clone(),
            zones: ZONES,
            seed: self.rng.random(),
            codec: Arc::new(TextDocuments),
        };
        let disk = self.machines[machine].disk.clone();
        let replica = Replica::open(config, disk, Timestamp(self.now));
        // A data folder that can't be opened now is opened again later.
        self.machines[machine].restart_at = self.now + 300;
        self.machines[machine].replica = replica.ok();
    }

    /// Removes a machine permanently; after `pause` an empty one starts under another name.
    pub fn replace(&mut self, machine: usize, pause: u64) -> usize {
        self.stop(machine, u64::MAX / 2);
        let new_machine = self.machines.len();
        self.machines.push(Machine::empty(new_machine, 0));
        self.machines[new_machine].zone = self.machines[machine].zone.clone();
        self.machines[new_machine].restart_at = self.now + pause;
        new_machine
    }

    /// Stops a machine's process for `downtime` milliseconds and erases its disk.
    pub fn lose_disk(&mut self, machine: usize, downtime: u64) {
        self.machines[machine].disk.erase();
        self.stop(machine, downtime);
    }

    /// Adds an empty machine in a zone, which starts at the next tick.
    pub fn add(&mut self, zone: usize) -> usize {
        let new_machine = self.machines.len();
        self.machines.push(Machine::empty(new_machine, zone));
        new_machine
    }

    pub fn drop_messages_in_flight(&mut self) {
        self.in_flight.clear();
    }

    /// The voters according to the leader.
    pub fn voters(&self) -> BTreeSet<MachineName> {
        let leader = self.leader().and_then(|leader| self.machines[leader].replica.as_ref());
        leader.map_or_else(BTreeSet::new, |leader| leader.voters().keys().cloned().collect())
    }

    /// The machine that holds the lease.
    pub fn leader(&self) -> Option<usize> {
        self.lease_holders().first().copied()
    }

    /// Suspends a machine. `clock_advances` sets whether the clock of its replica includes the time
    /// of the suspension.
    pub fn suspend(&mut self, machine: usize, time: u64, clock_advances: bool) {
        self.machines[machine].suspended_until = self.now + time;
        if !clock_advances {
            self.machines[machine].clock_lag += time;
        }
    }

    fn is_suspended(&self, machine: usize) -> bool {
        self.now < self.machines[machine].suspended_until
    }

    /// The time by a machine's clock.
    fn clock(&self, machine: usize) -> Timestamp {
        Timestamp(self.now - self.machines[machine].clock_lag)
    }

    /// The machines that consider themselves the leader, by their own clocks.
    pub fn lease_holders(&self) -> Vec<usize> {
        let is_leader = |machine: &usize| {
            let replica = self.machines[*machine].replica.as_ref();
            replica.is_some_and(|replica| replica.is_leader(self.clock(*machine)))
        };
        (0..self.machines.len()).filter(is_leader).collect()
    }

    pub fn stop(&mut self, machine: usize, downtime: u64) {
        self.machines[machine].replica = None;
        self.machines[machine].restart_at = self.now + downtime;
    }

    pub fn send_event(&mut self, machine: usize, event: ReplicaEvent) {
        let now = self.clock(machine);
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
            ReplicaEffect::SendRaft(to, envelope) => self.send_message(machine, &to, envelope),
            ReplicaEffect::PutReply(token, PutReply::Accepted) => {
                self.accepted.insert(token);
                if let Some(PendingRequest::Put(version)) = self.pending.remove(&token) {
                    self.acknowledged = self.acknowledged.max(version);
                }
            }
            ReplicaEffect::ReadReply(token, ReadReply::Latest(document)) => {
                if let Some(PendingRequest::Read(known)) = self.pending.remove(&token) {
                    let version = document.as_ref().map_or(0, |document| document.version);
                    assert!(version >= known, "read {version} after {known} was acknowledged");
                    if let Some(document) = document {
                        assert_eq!(*document.bytes, *document_text(version).as_bytes());
                    }
                }
            }
            _ => {}
        }
    }

    fn send_message(&mut self, from: usize, to: &MachineName, envelope: Envelope) {
        let Some(to) = self.machines.iter().position(|machine| machine.name == *to) else {
            return;
        };
        if self.is_partitioned(from, to) || self.rng.random_ratio(1, 50) {
            return;
        }
        self.sent += 1;
        let arrival = self.now + self.rng.random_range(1..20);
        self.in_flight.insert((arrival, self.sent), (to, envelope));
    }

    fn is_partitioned(&self, one: usize, other: usize) -> bool {
        self.partitioned.contains(&(one.min(other), one.max(other)))
    }

    pub fn run_for(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK_MS;
            while self.deliver_next() {}
            self.tick_all();
        }
    }

    /// Advances time until `done`, which is checked after each message.
    pub fn run_until(&mut self, done: impl Fn(&Self) -> bool) {
        while !done(self) {
            self.now += TICK_MS;
            while self.deliver_next() {
                if done(self) {
                    return;
                }
            }
            self.tick_all();
        }
    }

    /// Delivers the earliest message that is due, if any.
    fn deliver_next(&mut self) -> bool {
        let now = self.now;
        let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= now) else {
            return false;
        };
        let (to, envelope) = entry.remove();
        if self.is_suspended(to) {
            self.sent += 1;
            let resumes_at = self.machines[to].suspended_until;
            self.in_flight.insert((resumes_at, self.sent), (to, envelope));
            return true;
        }
        self.send_event(to, ReplicaEvent::Raft(envelope));
        true
    }

    fn tick_all(&mut self) {
        for machine in 0..self.machines.len() {
            if self.is_suspended(machine) {
                continue;
            }
            let is_down = self.machines[machine].replica.is_none();
            if is_down && self.now >= self.machines[machine].restart_at {
                self.start(machine);
            }
            let reachable = self.reachable(machine);
            self.send_event(machine, ReplicaEvent::ControlPeers(reachable));
            self.send_event(machine, ReplicaEvent::Tick);
        }
        assert!(self.active_leader_count() <= 1, "two replicas hold a lease at {}", self.now);
    }

    pub fn active_leader_count(&self) -> usize {
        self.lease_holders().into_iter().filter(|machine| !self.is_suspended(*machine)).count()
    }

    fn reachable(&self, machine: usize) -> BTreeMap<MachineName, ZoneName> {
        (0..self.machines.len())
            .filter(|other| *other != machine && !self.is_partitioned(machine, *other))
            .filter(|other| self.machines[*other].replica.is_some())
            .map(|other| (name(other), self.machines[other].zone.clone()))
            .collect()
    }

    pub fn put(&mut self, machine: usize) {
        let version = self.next_version;
        self.next_version += 1;
        let token = self.token(PendingRequest::Put(version));
        let bytes = document_text(version).into_bytes().into();
        self.send_event(machine, ReplicaEvent::Put { token, bytes });
    }

    pub fn read(&mut self, machine: usize) {
        let token = self.token(PendingRequest::Read(self.acknowledged));
        self.send_event(machine, ReplicaEvent::Read { token });
    }

    pub fn token(&mut self, request: PendingRequest) -> u64 {
        self.next_token += 1;
        self.pending.insert(self.next_token, request);
        self.next_token
    }

    pub fn inject_fault(&mut self) {
        let machine = self.rng.random_range(0..self.machines.len());
        let fault = self.rng.random_range(0..9);
        match fault {
            0 => self.stop(machine, 500),
            1 => {
                self.machines[machine].disk.simulate_power_loss(self.rng.random_range(0..200));
                self.stop(machine, 1_500);
            }
            2 => self.all_lose_power(),
            3 => self.wipe_disk_if_safe(machine),
            4 => self.isolate(machine),
            5 => self.split_in_two(),
            6 => self.partitioned.clear(),
            7 => self.machines[machine].disk.set_capacity(Some(2_000)),
            _ => self.machines.iter().for_each(|machine| machine.disk.set_capacity(None)),
        }
    }

    pub fn all_lose_power(&mut self) {
        for machine in 0..self.machines.len() {
            self.machines[machine].disk.simulate_power_loss(self.rng.random_range(0..200));
            self.stop(machine, 600);
        }
    }

    /// Erases a disk only while every voter has caught up: one loss at a time must be tolerated.
    pub fn wipe_disk_if_safe(&mut self, machine: usize) {
        let voters: BTreeSet<Vec<(MachineName, u64)>> = self
            .machines
            .iter()
            .filter_map(|machine| machine.replica.as_ref())
            .filter(|replica| replica.is_leader(Timestamp(self.now)))
            .map(|replica| replica.voters().clone().into_iter().collect())
            .collect();
        let settled = voters.len() == 1
            && self.partitioned.is_empty()
            && self.machines.iter().all(|machine| machine.replica.is_some());
        if settled && self.have_all_voters_caught_up(&voters) {
            self.lose_disk(machine, 800);
        }
    }

    fn have_all_voters_caught_up(&self, voters: &BTreeSet<Vec<(MachineName, u64)>>) -> bool {
        let listed = voters.iter().flatten();
        listed.into_iter().all(|(voter, _)| {
            let machine = self.machines.iter().find(|machine| machine.name == *voter);
            let replica = machine.and_then(|machine| machine.replica.as_ref());
            replica.is_some_and(|replica| {
                replica.is_voter() && replica.state().document_version() >= self.acknowledged
            })
        })
    }

    pub fn isolate(&mut self, machine: usize) {
        for other in (0..self.machines.len()).filter(|other| *other != machine) {
            self.partitioned.insert((machine.min(other), machine.max(other)));
        }
    }

    fn split_in_two(&mut self) {
        for one in 0..self.machines.len() {
            for other in one + 1..self.machines.len() {
                if one % 2 != other % 2 {
                    self.partitioned.insert((one, other));
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.partitioned.clear();
        self.machines.iter().for_each(|machine| machine.disk.set_capacity(None));
    }

    pub fn any_read_answered(&mut self) -> bool {
        self.pending.clear();
        for machine in 0..self.machines.len() {
            self.read(machine);
        }
        let pending = self.pending.len();
        self.run_for(2_000);
        self.pending.len() < pending
    }
}

pub fn document_text(version: u64) -> String {
    format!("{version}:{}", "x".repeat((version % 90) as usize))
}
