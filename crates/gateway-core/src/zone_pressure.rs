//! What the other routers report of their machines.
//!
//! The load that this handles: while one router's link is saturated by one large caller, those of
//! its neighbours may be idle or just as full. Only in the first case is it of use to send callers
//! to them. Routers report their machines' pressure to each other in datagrams; what is lost or
//! late only makes this view older.

use crate::machine_pressure::PressureState;
use crate::router_lists::RouterEndpoint;
use serde::{Deserialize, Serialize};
use stackpost_types::{Millis, Timestamp};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Time for which a report is valid, like the reports of load on engines: more than twice the
/// longest interval between two reports.
const REPORT_TTL: Millis = Millis(4_000);

/// Change of the load, or of the share of connections that are reset, that is reported at once: half
/// of the target of connection shedding.
const REPORTED_CHANGE: f64 = 0.25;
/// Minimum time after the last report for one because of the share alone, which is not averaged.
const MIN_SHARE_INTERVAL: Millis = Millis(400);

/// A router's report of its machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PressureReport {
    /// The state of the machine.
    pub state: PressureState,
    /// Load on the link in thousandths of what it carries, in the direction with the higher one.
    /// Above 1,000 if more has been admitted than the link carries.
    pub load_permille: u16,
    /// Kilobits per second that the link carries in each direction; zero if that is not known.
    pub link_kbps: u32,
    /// Share of new connections that the router resets, in thousandths.
    pub reset_permille: u16,
}

impl PressureReport {
    fn load(&self) -> f64 {
        f64::from(self.load_permille) / 1_000.0
    }

    fn reset_share(&self) -> f64 {
        f64::from(self.reset_permille) / 1_000.0
    }
}

/// A router's own link, or the links of several routers together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkLoad {
    /// Load over capacity.
    pub load: f64,
    /// Kilobits per second.
    pub capacity: f64,
}

/// What is known of the other routers of the zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Neighbours {
    /// The other routers of the zone.
    pub routers: usize,
    /// Those with a valid report of their link.
    pub reporting: usize,
    /// Those that report a full machine.
    pub full: usize,
    /// The links of all of them; those without a report count like the mean of the others.
    pub links: LinkLoad,
    /// Mean share of new connections that those with a report reset: how likely it is that a caller
    /// who is reset here is reset there again.
    pub reset_share: f64,
    /// Load of each reported link.
    loads: Vec<f64>,
}

impl Neighbours {
    /// Part of the reported links whose load is at least `load`.
    pub fn part_above(&self, load: f64) -> f64 {
        let above = self.loads.iter().filter(|reported| **reported >= load).count();
        above as f64 / self.reporting.max(1) as f64
    }

    /// Load over capacity of the links of the whole zone, with the own one. Moving callers within
    /// the zone does not change it, so routers that all aim at it do not overshoot.
    pub fn zone_load(&self, own: LinkLoad) -> f64 {
        let capacity = own.capacity + self.links.capacity;
        if capacity <= 0.0 {
            return own.load;
        }
        (own.load * own.capacity + self.links.load * self.links.capacity) / capacity
    }
}

/// One router's view of the others' machines.
#[derive(Clone, Debug, Default)]
pub struct ZonePressure {
    own: Option<RouterEndpoint>,
    others: BTreeSet<RouterEndpoint>,
    reports: HashMap<SocketAddr, (Timestamp, PressureReport)>,
    /// The last report of this router.
    sent: Option<(Timestamp, PressureReport)>,
}

impl ZonePressure {
    /// Sets the running routers, which may include the own one.
    pub fn set_endpoints(&mut self, own: &RouterEndpoint, endpoints: &BTreeSet<RouterEndpoint>) {
        self.own = Some(own.clone());
        self.others =
            endpoints.iter().filter(|other| other.address != own.address).cloned().collect();
        self.reports.retain(|router, _| endpoints.iter().any(|other| other.address == *router));
    }

    /// Stores a report. Datagrams are not authenticated, so those of unknown routers are ignored.
    pub fn on_report(&mut self, now: Timestamp, from: SocketAddr, report: PressureReport) {
        if self.others.iter().any(|other| other.address == from) {
            self.reports.insert(from, (now, report));
        }
    }

    /// Whether the own report has changed so much since the last one that the others should know
    /// at once.
    pub fn is_report_due(&self, now: Timestamp, report: &PressureReport) -> bool {
        let Some((at, sent)) = &self.sent else {
            return false;
        };
        let load_changed = (report.load() - sent.load()).abs() >= REPORTED_CHANGE;
        let share_changed = (report.reset_share() - sent.reset_share()).abs() >= REPORTED_CHANGE;
        report.state != sent.state
            || load_changed
            || share_changed && now.since(*at) >= MIN_SHARE_INTERVAL
    }

    /// Records that the others were sent a report.
    pub fn on_sent(&mut self, now: Timestamp, report: PressureReport) {
        self.sent = Some((now, report));
    }

    /// The state that another router reports of its machine; `None` without a valid report.
    pub fn state_of(&self, now: Timestamp, router: SocketAddr) -> Option<PressureState> {
        self.valid_report(now, router).map(|report| report.state)
    }

    /// Addresses of the other routers of the own zone.
    pub fn neighbour_addresses(&self) -> Vec<SocketAddr> {
        self.in_zone().map(|other| other.address).collect()
    }

    fn in_zone(&self) -> impl Iterator<Item = &RouterEndpoint> {
        let own_zone = self.own.as_ref().map(|own| &own.zone);
        self.others.iter().filter(move |other| Some(&other.zone) == own_zone)
    }

    /// The other routers of the own zone.
    pub fn neighbours(&self, now: Timestamp) -> Neighbours {
        let mut neighbours = Neighbours::default();
        let (mut used, mut capacity, mut reset_shares) = (0.0, 0.0, 0.0);
        for other in self.in_zone() {
            neighbours.routers += 1;
            let Some(report) = self.valid_report(now, other.address) else {
                continue;
            };
            neighbours.full += usize::from(report.state == PressureState::Full);
            if report.link_kbps > 0 {
                neighbours.reporting += 1;
                neighbours.loads.push(report.load());
                reset_shares += report.reset_share();
                capacity += f64::from(report.link_kbps);
                used += f64::from(report.link_kbps) * report.load();
            }
        }
        if capacity > 0.0 {
            let all = neighbours.routers as f64 / neighbours.reporting as f64;
            neighbours.reset_share = reset_shares / neighbours.reporting as f64;
            neighbours.links = LinkLoad { load: used / capacity, capacity: capacity * all };
        }
        neighbours
    }

    fn valid_report(&self, now: Timestamp, router: SocketAddr) -> Option<PressureReport> {
        let (at, report) = self.reports.get(&router)?;
        (now.since(*at) < REPORT_TTL).then_some(*report)
    }
}
