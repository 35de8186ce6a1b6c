//! Starts, kills and freezes the processes of the fleet and delivers events to them.

use crate::callers::AttemptEnd;
use crate::fleet;
use crate::process::ProcessId;
use crate::world::{Action, World};
use rand::Rng;
use stackpost_control_core::*;
use stackpost_protocol::{Message, Peer};
use stackpost_router_core::*;
use stackpost_types::*;

/// Interval between two ticks of a process.
const TICK_INTERVAL_MS: u64 = 20;

impl World {
    pub(crate) fn start(&mut self, process: &ProcessId) {
        match process {
            ProcessId::Router(machine) => self.start_router(machine),
            ProcessId::Replica(machine) => self.start_replica(machine),
        }
    }

    pub(crate) fn start_router(&mut self, machine: &MachineName) {
        let control: Vec<MachineName> = self.replicas.keys().cloned().collect();
        let (now, defects) = (self.now, self.defect.router);
        let Some(process) = self.routers.get_mut(machine) else { return };
        if process.is_running() {
            return;
        }
        process.incarnation += 1;
        process.draining = false;
        let config = process.config(machine, control, defects);
        process.router = Some(Router::new(config, process.clock(now)));
        self.begin_incarnation(machine);
    }

    pub(crate) fn begin_incarnation(&mut self, machine: &MachineName) {
        let node = self.routers[machine].node(machine);
        self.history.note(self.now, &node, "starts");
        let incarnation = node.incarnation.0;
        self.schedule(5, Action::PlatformRead { machine: machine.clone(), incarnation });
        let process = ProcessId::Router(machine.clone());
        self.schedule(0, Action::Tick { process, incarnation });
    }

    pub(crate) fn start_replica(&mut self, machine: &MachineName) {
        let names: Vec<MachineName> = self.replicas.keys().cloned().collect();
        let seed = self.rng.random();
        let identity = self.rng.random();
        let (now, defects) = (self.now, self.defect.control);
        let Some(process) = self.replicas.get_mut(machine) else { return };
        if process.replica.is_some() {
            return;
        }
        process.starts += 1;
        let incarnation = process.starts;
        let config = ReplicaConfig {
            name: machine.clone(),
            replicas: names,
            election_timeout: Millis(600),
            heartbeat_interval: Millis(150),
            lease_margin: Millis(100),
            seed,
            defects,
        };
        let (disk, bill_disk) = (process.disk.clone(), process.bill_disk.clone());
        match Replica::open(config, disk, bill_disk, identity, process.clock(now)) {
            Ok(replica) => {
                process.replica = Some(replica);
                self.history.note(now, format!("control {machine}"), "starts");
                let process = ProcessId::Replica(machine.clone());
                self.schedule(0, Action::Tick { process, incarnation });
            }
            Err(error) => {
                self.history.note(
                    now,
                    format!("control {machine}"),
                    format!("failed to start: {error}"),
                );
                self.immediate_violations
                    .push(format!("control {machine} failed to start: {error}"));
            }
        }
    }

    /// Ends a router at once; the connections of its callers break.
    pub(crate) fn kill_router(&mut self, machine: &MachineName, planned: bool) {
        let now = self.now;
        let Some(process) = self.routers.get_mut(machine) else { return };
        if process.router.take().is_none() {
            return;
        }
        process.frozen = false;
        let node = process.node(machine);
        self.deferred_actions.remove(&ProcessId::Router(machine.clone()));
        self.history.note(now, &node, if planned { "ends" } else { "killed" });
        let open_calls: Vec<(NodeId, CallId)> =
            self.callers.open.keys().filter(|(at, _)| *at == node).cloned().collect();
        for key in open_calls {
            self.end_attempt(&key, AttemptEnd::Lost { planned });
        }
        self.engines_lose_router(&node);
    }

    /// Engines cancel the requests of a router that has ended; plain services complete theirs.
    pub(crate) fn engines_lose_router(&mut self, node: &NodeId) {
        for back_end in self.engines.back_ends.values_mut() {
            if back_end.service.as_str() == fleet::MODEL_SERVICE {
                back_end.in_progress.retain(|(at, ..), _| at != node);
            }
        }
    }

    pub(crate) fn kill_replica(&mut self, machine: &MachineName, torn_bytes: Option<usize>) {
        let now = self.now;
        let Some(process) = self.replicas.get_mut(machine) else { return };
        let Some(replica) = process.replica.take() else { return };
        process.frozen = false;
        process.newest_version = replica.state().table().version();
        if let Some(bytes) = torn_bytes {
            process.disk.simulate_power_loss(bytes);
            process.bill_disk.simulate_power_loss(bytes);
        }
        self.deferred_actions.remove(&ProcessId::Replica(machine.clone()));
        self.history.note(now, format!("control {machine}"), "killed");
    }

    pub(crate) fn freeze(&mut self, process: &ProcessId) {
        self.history.note(self.now, process, "freezes");
        match process {
            ProcessId::Router(name) => {
                if let Some(state) = self.routers.get_mut(name) {
                    state.frozen = state.is_running();
                }
            }
            ProcessId::Replica(name) => {
                if let Some(state) = self.replicas.get_mut(name) {
                    state.frozen = state.replica.is_some();
                }
            }
        }
    }

    pub(crate) fn thaw(&mut self, process: &ProcessId) {
        match process {
            ProcessId::Router(name) => {
                if let Some(state) = self.routers.get_mut(name) {
                    state.frozen = false;
                }
            }
            ProcessId::Replica(name) => {
                if let Some(state) = self.replicas.get_mut(name) {
                    state.frozen = false;
                }
            }
        }
        self.history.note(self.now, process, "thaws");
        // A thawed process receives all events that arrived while it was frozen at once.
        for action in self.deferred_actions.remove(process).unwrap_or_default() {
            self.schedule(0, action);
        }
    }

    pub(crate) fn tick(&mut self, process: &ProcessId, incarnation: u64) {
        match process {
            ProcessId::Router(machine) => {
                let Some(state) = self.routers.get(machine) else { return };
                if !state.is_running() || state.incarnation != incarnation {
                    return;
                }
                let node = state.node(machine);
                self.router_event(&node, Event::Tick);
            }
            ProcessId::Replica(machine) => {
                let Some(state) = self.replicas.get(machine) else { return };
                if state.replica.is_none() || state.starts != incarnation {
                    return;
                }
                self.replica_event(machine, ControlEvent::Tick);
            }
        }
        self.schedule(TICK_INTERVAL_MS, Action::Tick { process: process.clone(), incarnation });
    }

    pub(crate) fn deliver(&mut self, from: Peer, to: &Peer, message: Message) {
        match to {
            Peer::Router(node) => {
                self.router_event(node, Event::Message { from, message });
            }
            Peer::Control(machine) => {
                self.replica_event(machine, ControlEvent::Message { from, message });
            }
        }
    }

    /// Delivers an event to a router, unless this incarnation of it has ended.
    pub(crate) fn router_event(&mut self, node: &NodeId, event: Event) {
        let (now, wall) = (self.now, self.wall());
        let Some(process) = self.routers.get_mut(&node.machine) else { return };
        if process.node(&node.machine) != *node {
            return;
        }
        let clock = process.clock(now);
        let Some(router) = &mut process.router else { return };
        let effects = router.handle(clock, wall, event);
        let version = router.version();
        if version < process.newest_version && router.version() > Version(0) {
            self.immediate_violations.push(format!(
                "{node}: configuration version went back from {} to {version}",
                process.newest_version
            ));
        }
        process.newest_version = process.newest_version.max(version);
        for effect in effects {
            self.apply_effect(node, effect);
        }
    }

    pub(crate) fn replica_event(&mut self, machine: &MachineName, event: ControlEvent) {
        let now = self.now;
        let Some(process) = self.replicas.get_mut(machine) else { return };
        let clock = process.clock(now);
        let Some(replica) = &mut process.replica else { return };
        match replica.handle(clock, event) {
            Ok(effects) => {
                for effect in effects {
                    self.apply_control_effect(machine, effect);
                }
            }
            Err(error) => {
                self.history.note(now, format!("control {machine}"), format!("stops: {error}"));
                self.kill_replica(machine, Some(0));
            }
        }
    }
}
