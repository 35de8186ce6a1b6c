//! The simulated fleet, its environment and the scheduler.

use crate::callers::*;
use crate::engines::{Engines, SimBackEnd};
use crate::fault::{Fault, StepTrigger};
use crate::fleet::FleetShape;
use crate::history::History;
use crate::network::{Cut, Network, Traffic};
use crate::operators::{EditRecord, PlannedEdit};
use crate::process::{ProcessId, ReplicaProcess, RouterProcess};
use crate::step::Step;
use crate::workload::Workload;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpost_control_core::*;
use stackpost_protocol::{Message, Peer};
use stackpost_router_core::*;
use stackpost_storage::MemoryDisk;
use stackpost_types::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Longest time that a fleet may take to become ready.
const BOOT_TIMEOUT_MS: u64 = 120_000;

/// Deliberate defects of the software, to verify that the checks detect them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Defect {
    /// Defects of routers.
    pub router: Defects,
    /// Defects of control replicas.
    pub control: ControlDefects,
    /// Disks report writes as synced that are not.
    pub ignore_sync: bool,
}

/// A scheduled event.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Tick {
        process: ProcessId,
        incarnation: u64,
    },
    Deliver {
        from: Peer,
        to: Peer,
        message: Box<Message>,
    },
    Call {
        node: NodeId,
        call: Box<Call>,
    },
    CallerGone {
        node: NodeId,
        call: CallId,
    },
    Attempt {
        node: NodeId,
        dispatch: Box<Dispatch>,
    },
    AttemptDone {
        node: NodeId,
        call: CallId,
        number: u32,
        back_end: BackEndName,
    },
    Report {
        node: NodeId,
        call: CallId,
        number: u32,
        outcome: Box<AttemptOutcome>,
    },
    UsageReply {
        node: NodeId,
        account: AccountId,
        request: RequestId,
        usage: Option<Usage>,
    },
    SendCallerAttempt(CallerId),
    PlatformRead {
        machine: MachineName,
        incarnation: u64,
    },
    SendEdit(usize),
    ReceiveEdit {
        replica: MachineName,
        index: usize,
    },
    Thaw(ProcessId),
    Start(ProcessId),
    /// A control machine loses power and restarts after 1 s.
    PowerLoss(MachineName),
    Arrival,
    Heal,
    Inject {
        fault: Fault,
        at: Option<ProcessId>,
    },
}

#[derive(Debug)]
struct Scheduled {
    at: u64,
    order: u64,
    action: Action,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// The simulated fleet with its callers, back ends, operators and network.
#[derive(Debug)]
pub struct World {
    /// The fleet.
    pub shape: FleetShape,
    /// Virtual time, in milliseconds.
    pub now: u64,
    /// The history of the run.
    pub history: History,
    /// The callers.
    pub callers: Callers,
    /// The back ends.
    pub engines: Engines,
    /// The operators' edits.
    pub edits: Vec<EditRecord>,
    /// Violations detected during the run, such as a configuration version that went back.
    pub immediate_violations: Vec<String>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) network: Network,
    pub(crate) routers: BTreeMap<MachineName, RouterProcess>,
    pub(crate) replicas: BTreeMap<MachineName, ReplicaProcess>,
    pub(crate) step_trigger: Option<StepTrigger>,
    pub(crate) wall_jump: u64,
    pub(crate) defect: Defect,
    pub(crate) platform: BTreeMap<BackEndName, Vec<(u64, bool)>>,
    pub(crate) platform_extra_lag: u64,
    /// Actions for frozen processes, performed when they thaw.
    pub(crate) deferred_actions: BTreeMap<ProcessId, Vec<Action>>,
    pub(crate) traffic: Option<Traffic>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    pub(crate) workload: Option<(Workload, u64)>,
    pub(crate) next_edit_at: u64,
    pub(crate) next_caller: u64,
    pub(crate) next_request: u128,
    pub(crate) next_call: u64,
}

impl World {
    /// Creates a fleet; [`boot`](Self::boot) starts it.
    pub fn new(shape: FleetShape, seed: u64, defect: Defect, keep_history: bool) -> Self {
        let zones: BTreeMap<MachineName, ZoneName> = shape.machines().into_iter().collect();
        let mut world = Self {
            network: Network::new(zones, shape.zone_delay),
            now: 0,
            history: History::new(keep_history),
            callers: Callers::default(),
            engines: Engines::default(),
            edits: Vec::new(),
            immediate_violations: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            routers: BTreeMap::new(),
            replicas: BTreeMap::new(),
            step_trigger: None,
            wall_jump: 0,
            defect,
            platform: BTreeMap::new(),
            platform_extra_lag: 0,
            deferred_actions: BTreeMap::new(),
            traffic: None,
            queue: BinaryHeap::new(),
            order: 0,
            workload: None,
            next_edit_at: 0,
            next_caller: 0,
            next_request: 0,
            next_call: 0,
            shape,
        };
        world.populate();
        world
    }

    pub(crate) fn populate(&mut self) {
        for (name, zone, service) in self.shape.back_ends() {
            let back_end = SimBackEnd {
                zone,
                service,
                alive: true,
                crashes_at: None,
                leaving_since: None,
                in_progress: BTreeMap::new(),
            };
            self.engines.back_ends.insert(name, back_end);
        }
        for (machine, zone) in self.shape.replicas() {
            let process = ReplicaProcess {
                zone,
                replica: None,
                disk: MemoryDisk::default(),
                bill_disk: MemoryDisk::default(),
                starts: 0,
                frozen: false,
                clock_offset: self.rng.random_range(1_000..100_000),
                newest_version: Version(0),
            };
            process.disk.ignore_sync(self.defect.ignore_sync);
            Replica::initialize(process.disk.clone())
                .expect("an in-memory disk can be initialized");
            self.replicas.insert(machine.clone(), process);
            self.schedule(0, Action::Start(ProcessId::Replica(machine)));
        }
        for (machine, zone) in self.shape.machines() {
            let process = RouterProcess {
                zone,
                router: None,
                incarnation: 0,
                frozen: false,
                draining: false,
                clock_offset: self.rng.random_range(1_000..100_000),
                newest_version: Version(0),
            };
            self.routers.insert(machine.clone(), process);
        }
    }

    /// Adds callers of `workload` from now until `until`.
    pub fn start_workload(&mut self, workload: Workload, until: u64) {
        self.workload = Some((workload, until));
        self.schedule(0, Action::Arrival);
    }

    /// Performs all actions due up to the time `until`.
    pub fn run_until(&mut self, until: u64) {
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > until {
                break;
            }
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = next.at;
            self.perform(next.action);
        }
        self.now = until;
    }

    /// Writes the initial table and runs until every router is ready.
    pub fn boot(&mut self) {
        while self.leader().is_none() {
            self.run_until(self.now + 20);
        }
        for (key, row) in self.shape.rows() {
            let (row, based_on) = (Some(row), Some(Version(0)));
            let first_replica = self.leader();
            self.plan_edit(PlannedEdit { key, row, based_on, first_replica });
        }
        while !self.edits.iter().all(|edit| edit.settled) && self.now < BOOT_TIMEOUT_MS {
            self.run_until(self.now + 50);
        }
        for machine in self.routers.keys().cloned().collect::<Vec<_>>() {
            self.schedule(0, Action::Start(ProcessId::Router(machine)));
        }
        while !self.is_ready() && self.now < BOOT_TIMEOUT_MS {
            self.run_until(self.now + 100);
        }
        assert!(self.is_ready(), "the fleet did not become ready: {}", self.history.text());
    }

    /// Whether every edit is settled and every router accepts requests.
    pub fn is_ready(&self) -> bool {
        let edits_done = self.edits.iter().all(|edit| edit.settled);
        let ready = |process: &RouterProcess| process.router.as_ref().is_some_and(Router::is_ready);
        edits_done && self.routers.values().all(ready)
    }

    /// The running routers.
    pub fn live_routers(&self) -> impl Iterator<Item = (&MachineName, &Router)> {
        self.routers.iter().filter_map(|(name, process)| Some((name, process.router.as_ref()?)))
    }

    /// The running control replicas.
    pub fn live_replicas(&self) -> impl Iterator<Item = (&MachineName, &Replica<MemoryDisk>)> {
        self.replicas.iter().filter_map(|(name, process)| Some((name, process.replica.as_ref()?)))
    }

    /// The leader that holds a lease, if there is one.
    pub fn leader(&self) -> Option<MachineName> {
        let leading = self.live_replicas().find(|(_, replica)| replica.status().has_lease);
        leading.map(|(name, _)| name.clone())
    }

    /// Injects `fault` when `step` is taken for the `occurrence`-th time from now on.
    pub fn inject_at_step(&mut self, fault: Fault, step: Step, occurrence: u32) {
        self.step_trigger =
            Some(StepTrigger { fault, step, remaining: occurrence, injected_at: None });
    }

    /// When the fault of [`inject_at_step`](Self::inject_at_step) was injected, if it was.
    pub fn injected_at(&self) -> Option<u64> {
        self.step_trigger.as_ref().and_then(|step_trigger| step_trigger.injected_at)
    }

    /// Injects `fault` after `delay` milliseconds.
    pub fn inject_after(&mut self, delay: u64, fault: Fault) {
        self.schedule(delay, Action::Inject { fault, at: None });
    }

    /// Traffic since the previous call; counting starts with the first call.
    pub fn take_traffic(&mut self) -> Traffic {
        self.traffic.replace(Traffic::default()).unwrap_or_default()
    }

    /// Partitions the network.
    pub fn cut(&mut self, partition: Cut) {
        self.history.note(self.now, "network", format!("partitioned: {partition:?}"));
        self.network.partitions.push(partition);
    }

    /// Ends all partitions and network faults, and thaws or restarts every process and back end.
    pub fn heal(&mut self) {
        self.history.note(self.now, "network", "healed");
        self.network.partitions.clear();
        self.network.drop_permille = 0;
        self.network.duplicate_permille = 0;
        self.network.late_permille = 0;
        self.platform_extra_lag = 0;
        for back_end in self.engines.back_ends.values_mut() {
            back_end.alive = true;
            back_end.crashes_at = None;
        }
        let routers: Vec<ProcessId> = self.routers.keys().cloned().map(ProcessId::Router).collect();
        let replicas: Vec<ProcessId> =
            self.replicas.keys().cloned().map(ProcessId::Replica).collect();
        for process in routers.into_iter().chain(replicas) {
            if self.is_frozen(&process) {
                self.thaw(&process);
            }
            self.schedule(0, Action::Start(process));
        }
    }

    pub(crate) fn schedule(&mut self, delay: u64, action: Action) {
        self.order += 1;
        let scheduled = Scheduled { at: self.now + delay, order: self.order, action };
        self.queue.push(Reverse(scheduled));
    }

    pub(crate) fn wall(&self) -> WallTime {
        WallTime(1_800_000_000_000 + self.now + self.wall_jump)
    }

    pub(crate) fn perform(&mut self, action: Action) {
        if let Some(process) = self.frozen_target(&action) {
            self.deferred_actions.entry(process).or_default().push(action);
            return;
        }
        match action {
            Action::Tick { process, incarnation } => self.tick(&process, incarnation),
            Action::Deliver { from, to, message } => self.deliver(from, &to, *message),
            Action::Call { node, call } => self.receive_call(&node, *call),
            Action::CallerGone { node, call } => self.router_event(&node, Event::CallerGone(call)),
            Action::Attempt { node, dispatch } => self.attempt(node, *dispatch),
            Action::AttemptDone { node, call, number, back_end } => {
                self.attempt_done(node, call, number, &back_end);
            }
            Action::Report { node, call, number, outcome } => {
                if matches!(*outcome, AttemptOutcome::Answered { .. }) {
                    self.observe_step(Step::Answered, &Peer::Router(node.clone()));
                }
                let event = Event::Attempt { call, number, outcome: *outcome };
                self.router_event(&node, event);
            }
            Action::UsageReply { node, account, request, usage } => {
                self.router_event(&node, Event::UsageReceived { account, request, usage });
            }
            Action::SendCallerAttempt(caller) => self.send_caller_attempt(caller),
            Action::PlatformRead { machine, incarnation } => {
                self.platform_read(&machine, incarnation)
            }
            Action::SendEdit(index) => self.send_edit(index),
            Action::ReceiveEdit { replica, index } => self.receive_edit(&replica, index),
            Action::Thaw(process) => self.thaw(&process),
            Action::Start(process) => self.start(&process),
            Action::PowerLoss(machine) => {
                self.kill_replica(&machine, Some(0));
                self.schedule(1_000, Action::Start(ProcessId::Replica(machine)));
            }
            Action::Arrival => self.arrival(),
            Action::Heal => self.heal(),
            Action::Inject { fault, at } => self.inject(fault, at),
        }
    }

    pub(crate) fn frozen_target(&self, action: &Action) -> Option<ProcessId> {
        let process = match action {
            Action::Tick { process, .. } => process.clone(),
            Action::Deliver { to, .. } => ProcessId::of(to),
            Action::Call { node, .. }
            | Action::CallerGone { node, .. }
            | Action::Attempt { node, .. }
            | Action::Report { node, .. }
            | Action::UsageReply { node, .. } => ProcessId::Router(node.machine.clone()),
            Action::PlatformRead { machine, .. } => ProcessId::Router(machine.clone()),
            Action::ReceiveEdit { replica, .. } => ProcessId::Replica(replica.clone()),
            _ => return None,
        };
        self.is_frozen(&process).then_some(process)
    }

    pub(crate) fn is_frozen(&self, process: &ProcessId) -> bool {
        match process {
            ProcessId::Router(name) => self.routers.get(name).is_some_and(|process| process.frozen),
            ProcessId::Replica(name) => {
                self.replicas.get(name).is_some_and(|process| process.frozen)
            }
        }
    }
}
