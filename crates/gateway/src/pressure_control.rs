//! Samples the use of this router's machine, tells the other routers, and decides by it which new
//! connections of callers are kept and whether the router is ready.
//!
//! The decisions are those of [`MachinePressure`], [`ConnectionShedder`] and [`Withdrawal`].

use crate::caller_connections::CallerConnections;
use crate::load_settings::LoadSettings;
use crate::metered_stream::LinkMeter;
use crate::router::Router;
use stackpost_gateway_core::{
    ConnectionShedder, MachinePressure, Neighbours, PressureLimits, PressureReading,
    PressureReport, PressureSample, PressureState, RouterEndpoint, SheddingChange, Withdrawal,
    WithdrawalPolicy, ZonePressure,
};
use stackpost_types::Timestamp;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between two samples.
pub(crate) const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of samples after which the busiest connections are selected again.
const SAMPLES_PER_SELECTION: u32 = 10;
/// Number of samples after which the memory is read again: a read costs some system calls.
const SAMPLES_PER_MEMORY_READ: u32 = 10;
/// Where the kernel tells the memory of this process.
const MEMORY_FILE: &str = "/proc/self/status";

/// The pressure on one router's machine.
pub(crate) struct PressureControl {
    /// Counts the bytes of the router's connections.
    pub meter: Rc<LinkMeter>,
    /// The open connections of callers.
    pub callers: CallerConnections,
    limits: PressureLimits,
    /// Whether connections are rebalanced.
    is_rebalancing: bool,
    /// Whether new connections are reset.
    is_resetting: bool,
    machine: RefCell<MachinePressure>,
    zone: RefCell<ZonePressure>,
    /// The other routers of the zone as of the last sample.
    neighbours: RefCell<Neighbours>,
    shedder: RefCell<ConnectionShedder>,
    withdrawal: RefCell<Withdrawal>,
    samples: Cell<u32>,
    /// Bytes of memory, as last read.
    memory: Cell<u64>,
}

impl PressureControl {
    pub fn new(settings: &LoadSettings) -> Self {
        let machine = settings.machine;
        let limits = PressureLimits {
            link: machine.link_mbps.map(|megabits| megabits * 1e6 / 8.0),
            connections: machine.descriptors,
            memory: machine.memory_mb.map(|megabytes| megabytes * 1_000_000),
        };
        // Without the limit of the link there is nothing to decide by.
        let is_rebalancing = settings.rebalance_connections && limits.link.is_some();
        let is_resetting = is_rebalancing && settings.reset_connections;
        let policy = match is_resetting {
            true => WithdrawalPolicy::AfterResets,
            false => WithdrawalPolicy::Early,
        };
        Self {
            meter: Rc::default(),
            callers: CallerConnections::default(),
            limits,
            is_rebalancing,
            is_resetting,
            machine: RefCell::new(MachinePressure::new(limits)),
            zone: RefCell::default(),
            neighbours: RefCell::default(),
            shedder: RefCell::new(ConnectionShedder::new(limits.link)),
            withdrawal: RefCell::new(Withdrawal::new(policy)),
            samples: Cell::new(0),
            memory: Cell::new(0),
        }
    }

    /// Whether the machine is measured at all.
    pub fn is_measured(&self) -> bool {
        self.is_rebalancing
    }

    /// Sets the running routers.
    pub fn set_endpoints(&self, own: &RouterEndpoint, endpoints: &BTreeSet<RouterEndpoint>) {
        self.zone.borrow_mut().set_endpoints(own, endpoints);
    }

    fn reading(&self) -> PressureReading {
        self.machine.borrow().reading()
    }

    /// The report to the other routers. One that has withdrawn counts as full.
    fn report(&self) -> PressureReport {
        let state = match self.withdrawal.borrow().is_withdrawn() {
            true => PressureState::Full,
            false => self.reading().state,
        };
        self.shedder.borrow().report(state)
    }
}

impl Router {
    /// How heavily this router's machine is used.
    pub fn pressure(&self) -> PressureState {
        self.pressure_control.reading().state
    }

    /// The state that another router reports of its machine; `None` without a recent report.
    pub fn reported_pressure(&self, router: SocketAddr) -> Option<PressureState> {
        self.pressure_control.zone.borrow().state_of(self.now(), router)
    }

    /// Whether the platform should send no callers here because of the network link.
    pub(crate) fn is_saturated(&self) -> bool {
        match self.pressure_control.is_rebalancing {
            true => self.pressure_control.withdrawal.borrow().is_withdrawn(),
            false => self.congestion.is_congested(Instant::now()),
        }
    }

    /// Whether to keep a new connection of a caller; otherwise it is to be reset before any of its
    /// bytes are read.
    pub(crate) fn admits_connection(&self) -> bool {
        let control = &self.pressure_control;
        // A stopping router gets few new connections, and serves what it gets.
        if !control.is_resetting || self.is_draining() {
            return true;
        }
        let neighbours = control.neighbours.borrow();
        let mut shedder = control.shedder.borrow_mut();
        let is_kept = shedder.admits(self.now(), &neighbours, rand::random());
        self.metrics.on_caller_connection(is_kept);
        is_kept
    }

    /// Records another router's report.
    pub(crate) fn on_pressure_report(&self, from: SocketAddr, report: PressureReport) {
        self.pressure_control.zone.borrow_mut().on_report(self.now(), from, report);
    }

    /// The report that is due to all routers with each periodic update.
    pub(crate) fn periodic_pressure_report(&self) -> Option<PressureReport> {
        let control = &self.pressure_control;
        if !control.is_measured() {
            return None;
        }
        let report = control.report();
        control.zone.borrow_mut().on_sent(self.now(), report);
        Some(report)
    }

    /// Addresses of the other routers of the zone.
    pub(crate) fn neighbour_addresses(&self) -> Vec<SocketAddr> {
        self.pressure_control.zone.borrow().neighbour_addresses()
    }

    /// Takes a sample. Returns the report that is due to the routers of the zone, if it shows a
    /// large change.
    pub(crate) fn sample_pressure(&self) -> Option<PressureReport> {
        let (now, control) = (self.now(), &self.pressure_control);
        let traffic = control.meter.traffic();
        let neighbours = control.zone.borrow().neighbours(now);
        let is_congested = self.congestion.is_congested(Instant::now());
        let shedding_change = control.shedder.borrow_mut().sample(now, traffic, is_congested);
        self.log_shedding(&neighbours, shedding_change);
        let sample = PressureSample {
            received: traffic.received + control.shedder.borrow().reset_bytes(),
            sent: traffic.sent,
            connections: control.meter.connections() + 2 * self.relayed.active() as u64,
            held_bytes: self.held_memory(),
        };
        self.sample_machine(now, sample, is_congested, &neighbours);
        control.neighbours.replace(neighbours);
        self.close_busiest();
        let report = control.report();
        let mut zone = control.zone.borrow_mut();
        let is_due = zone.is_report_due(now, &report);
        is_due.then(|| {
            zone.on_sent(now, report);
            report
        })
    }

    /// The memory that the process occupies, as read lately; zero if its limit is not known.
    fn held_memory(&self) -> u64 {
        let control = &self.pressure_control;
        let is_due = control.samples.get().is_multiple_of(SAMPLES_PER_MEMORY_READ);
        if is_due && control.limits.memory.is_some() {
            control.memory.set(resident_memory());
        }
        control.memory.get()
    }

    fn sample_machine(
        &self,
        now: Timestamp,
        sample: PressureSample,
        is_congested: bool,
        neighbours: &Neighbours,
    ) {
        let control = &self.pressure_control;
        let before = control.reading().state;
        let reading = control.machine.borrow_mut().sample(now, sample);
        self.metrics.record_pressure(&reading);
        if reading.state != before {
            log_state(&reading, before, sample);
        }
        let own = control.shedder.borrow().link_load();
        let mut withdrawal = control.withdrawal.borrow_mut();
        if withdrawal.update(now, &reading, is_congested, own, neighbours) {
            let is_withdrawn = withdrawal.is_withdrawn();
            self.metrics.record_withdrawn(is_withdrawn);
            log::info!(
                withdrawn = is_withdrawn,
                state = reading.state.as_str(),
                load = own.load,
                congested = is_congested,
                neighbours = neighbours.routers as u64,
                reporting = neighbours.reporting as u64,
                full = neighbours.full as u64,
                neighbours_load = neighbours.links.load;
                "readiness by the machine's pressure"
            );
        }
    }

    /// Marks the busiest connections of callers to be closed after their next response, while the
    /// link is crowded and the neighbours have room.
    fn close_busiest(&self) {
        let control = &self.pressure_control;
        let samples = control.samples.get().wrapping_add(1);
        control.samples.set(samples);
        if !control.is_resetting || !samples.is_multiple_of(SAMPLES_PER_SELECTION) {
            return;
        }
        let reading = control.reading();
        let neighbours = control.neighbours.borrow();
        let closes = control.shedder.borrow().closes_connections(&reading, &neighbours);
        let selected = control.callers.select_busiest(closes);
        if selected > 0 {
            self.metrics.on_connections_closed(selected);
            let utilization = reading.utilization.link();
            log::info!(
                connections = selected as u64,
                utilization = utilization,
                neighbours_load = neighbours.links.load;
                "busiest connections of callers close after their next response"
            );
        }
    }

    fn log_shedding(&self, neighbours: &Neighbours, change: Option<SheddingChange>) {
        match change {
            None => {}
            Some(SheddingChange::Began) => {
                let inputs = self.pressure_control.shedder.borrow().inputs();
                log::info!(
                    load = inputs.load,
                    target = inputs.target,
                    background = inputs.background,
                    connection_bytes = inputs.connection_bytes as u64,
                    request_bytes = inputs.request_bytes as u64,
                    share = inputs.reset_share,
                    neighbours = neighbours.routers as u64,
                    reporting = neighbours.reporting as u64,
                    neighbours_load = neighbours.links.load;
                    "new connections are reset"
                );
            }
            Some(SheddingChange::Ended { kept, reset }) => {
                log::info!(kept = kept, reset = reset; "no new connections are reset any more");
            }
        }
    }
}

fn log_state(reading: &PressureReading, before: PressureState, sample: PressureSample) {
    let utilization = reading.utilization;
    log::info!(
        state = reading.state.as_str(),
        before = before.as_str(),
        received = utilization.received,
        sent = utilization.sent,
        descriptors = utilization.descriptors,
        memory = utilization.memory,
        connections = sample.connections,
        held_bytes = sample.held_bytes;
        "pressure of the machine"
    );
}

/// Bytes of memory that this process occupies; zero where the kernel does not tell.
fn resident_memory() -> u64 {
    let status = std::fs::read_to_string(MEMORY_FILE).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = resident.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok());
    kilobytes.map_or(0, |kilobytes: u64| kilobytes * 1_024)
}
