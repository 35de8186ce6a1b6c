//! Which new connections of callers a router keeps while its link is heavily used.
//!
//! The load that this handles: all new connections of one large caller reach the same router, 250
//! to 440 a second at one router of 24. Each request crosses the link twice, so they saturate a
//! link of 10 Mbit/s in less than a second while the neighbours' links are idle. A caller whose new
//! connection is reset before its request is read tries another router at once and loses nothing,
//! so the router resets those that would take its link above a target.
//!
//! What has queued already cannot be moved, and the body of a reset connection often arrives all
//! the same. So the decision follows the connections rather than the bytes: a new connection is
//! charged with the bytes that recent ones brought in their first second, against a *credit* that
//! grows by what the connections from before leave of the target. The more of the credit is used
//! up, the more connections are reset. The later bytes of the connections that are kept lower the
//! growth of the credit, so an estimate that is wrong corrects itself.
//!
//! The target is a fixed part of the link, or a little more than the load of the zone where that is
//! higher: neighbours that are just as crowded gain nothing from each other's callers.

use crate::machine_pressure::{FULL_FROM, PressureReading, PressureState};
use crate::rate_window::RateWindow;
use crate::zone_pressure::{LinkLoad, Neighbours, PressureReport};
use stackpost_types::{Millis, Timestamp};
use std::cmp::Reverse;

/// Load of the link above which connections are reset, if the zone's load is lower: below the
/// utilization from which a machine is crowded, with room for the bodies of reset connections.
const TARGET: f64 = 0.5;
/// Factor by which the load of the own link may exceed that of the zone. Without it, half of the
/// routers of a zone with even load would reset connections at any moment.
const ZONE_MARGIN: f64 = 1.15;
/// Time for which the link could carry what the full credit admits at once. Half of it is used
/// before the first connection is reset, which keeps a burst well below an eighth of a second.
const CREDIT_TIME: f64 = 0.1;
/// Time, in seconds, by whose growth the credit is corrected when the target changes.
const TARGET_MEMORY: f64 = 0.3;
/// Part of the credit that is used up before connections are reset.
const UNRESTRICTED_PART: f64 = 0.5;
/// Largest share of new connections that is reset.
const MAX_RESET_SHARE: f64 = 0.95;
/// The same while too few neighbours report their load to know whether they have room.
const CAUTIOUS_RESET_SHARE: f64 = 0.5;
/// Time over which the largest share rises from the cautious one. Neighbours that are hit by the
/// same burst report it within this time; before, they would reset most of each other's callers.
const RAMP_TIME: Millis = Millis(200);
/// Part of the neighbours up to which it does not matter, and from which it is of no use to reset
/// connections, if they reset some themselves or are loaded beyond the target. Where they are many,
/// most retries come back, and the bodies of reset connections cost more than resetting saves.
const USEFUL_UNTIL: f64 = 0.25;
const USELESS_FROM: f64 = 0.5;
/// Load of the neighbours' links up to which they have room, and from which they have none.
const ROOM_UNTIL: f64 = 0.8;
const NO_ROOM_FROM: f64 = 1.0;
/// Part that a router keeps at least of its even part of the zone's connections, which is what it
/// would get if they were spread by capacity.
const MIN_KEPT_OF_EVEN_PART: f64 = 0.6;
/// Part of the established connections that is closed in a second, so that their callers do not all
/// come back at once.
const CLOSED_PART: f64 = 0.05;
/// Number of neighbours whose reports suffice to judge the zone, if it has as many.
const MIN_REPORTS: usize = 3;
/// Longest time without a kept connection while connections arrive, so that three a second are kept
/// at least. The platform takes a router that accepts none for seconds for broken.
const MAX_PAUSE: Millis = Millis(300);
/// Bytes that the first connections are assumed to bring: a body of some kilobytes, its response.
const ASSUMED_REQUEST_BYTES: f64 = 4_000.0;
const ASSUMED_CONNECTION_BYTES: f64 = 6_000.0;
/// Number of connections after which an estimate follows what recent ones brought.
const ESTIMATE_MEMORY: f64 = 64.0;
/// Number of connections as which the assumption counts.
const ASSUMPTION_WEIGHT: f64 = 8.0;
/// Time over which rates are averaged, as for the pressure of the machine.
const AVERAGING_TIME: Millis = Millis(500);
/// Time over which the rate of new connections is averaged as well. Other routers must hear within
/// some tenths of a second that the load has risen here too.
const FAST_AVERAGING_TIME: Millis = Millis(200);
/// Factor of that rate, so that single connections do not show.
const FAST_PART: f64 = 0.85;
/// Part of a request that arrives although its connection is reset. Callers send it as soon as they
/// are connected.
const RESET_REQUEST_PART: f64 = 0.75;
/// Bytes that resetting a connection takes in each direction apart from its body: the handshake
/// and the reset.
const RESET_PACKET_BYTES: f64 = 3.0 * 66.0;
/// Time without a new connection after which the share that would be reset is not known.
const DECISION_TTL: Millis = Millis(1_000);
/// Time without a reset after which a period of shedding has ended.
const SHEDDING_ENDS_AFTER: Millis = Millis(2_000);

/// Bytes that crossed the link since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkTraffic {
    /// All bytes received, apart from reset connections.
    pub received: u64,
    /// All bytes sent.
    pub sent: u64,
    /// Of those received, the bytes from callers in the first second of their connections.
    pub young_received: u64,
    /// Of those sent, the bytes to callers in the first second of their connections.
    pub young_sent: u64,
}

/// A value for each direction of the link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct PerDirection {
    received: f64,
    sent: f64,
}

impl PerDirection {
    fn max(self) -> f64 {
        self.received.max(self.sent)
    }

    fn min(self) -> f64 {
        self.received.min(self.sent)
    }

    fn map(self, change: impl Fn(f64) -> f64) -> Self {
        Self { received: change(self.received), sent: change(self.sent) }
    }

    fn zip(self, other: Self, combine: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            received: combine(self.received, other.received),
            sent: combine(self.sent, other.sent),
        }
    }
}

/// Mean number of bytes per connection, over the recent ones.
#[derive(Clone, Copy, Debug)]
struct MeanBytes {
    bytes: f64,
    connections: f64,
}

impl MeanBytes {
    fn assumed(bytes: f64) -> Self {
        Self { bytes: bytes * ASSUMPTION_WEIGHT, connections: ASSUMPTION_WEIGHT }
    }

    fn mean(self) -> f64 {
        self.bytes / self.connections
    }

    fn with(self, bytes: f64, connections: f64) -> Self {
        let kept = (1.0 - 1.0 / ESTIMATE_MEMORY).powf(connections);
        Self {
            bytes: self.bytes * kept + bytes,
            connections: self.connections * kept + connections,
        }
    }
}

/// Connections kept and reset, and the bytes charged for them, since the start.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    kept: u64,
    reset: u64,
    /// For those kept, in each direction.
    kept_bytes: f64,
    /// For those reset.
    reset_bytes: PerDirection,
}

/// The beginning or the end of a period in which connections are reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SheddingChange {
    /// Connections are reset since the last sample.
    Began,
    /// No connection was reset lately.
    Ended {
        /// Connections kept in this period.
        kept: u64,
        /// Connections reset in this period.
        reset: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct SheddingPeriod {
    last_reset_at: Timestamp,
    before: Totals,
    is_announced: bool,
}

/// What a decision rests on, for log lines and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SheddingInputs {
    /// Load of the own link, in the direction with the higher one.
    pub load: f64,
    /// Load to which the own link is taken.
    pub target: f64,
    /// Part of the link that connections older than a second use, in the busier direction.
    pub background: f64,
    /// Bytes that a new connection brings in each direction in its first second.
    pub connection_bytes: f64,
    /// Bytes that a reset connection brings.
    pub request_bytes: f64,
    /// Probability with which the next connection is reset.
    pub reset_share: f64,
}

/// Decides which new connections one router keeps.
#[derive(Clone, Debug)]
pub struct ConnectionShedder {
    /// Bytes per second that the link carries; `None` if it is not known, then nothing is shed.
    link: Option<f64>,
    connection_bytes: MeanBytes,
    request_bytes: MeanBytes,
    rates: RateWindow<6>,
    fast_rates: RateWindow<1>,
    sampled: (LinkTraffic, u64),
    /// Bytes per second of connections older than a second.
    background: PerDirection,
    /// Bytes per second over the link, those included that new connections will bring.
    load: PerDirection,
    /// Bytes that may still be admitted at once.
    credit: PerDirection,
    credit_at: Timestamp,
    /// The target by which the credit has grown last.
    target: f64,
    /// Since when so little credit is left that more than half of the connections would be reset.
    short_since: Option<Timestamp>,
    kept_at: Timestamp,
    totals: Totals,
    period: Option<SheddingPeriod>,
    inputs: SheddingInputs,
}

impl ConnectionShedder {
    /// For a machine whose link carries `link` bytes per second in each direction.
    pub fn new(link: Option<f64>) -> Self {
        let link = link.filter(|link| *link > 0.0);
        let full = link.unwrap_or_default() * CREDIT_TIME;
        Self {
            link,
            connection_bytes: MeanBytes::assumed(ASSUMED_CONNECTION_BYTES),
            request_bytes: MeanBytes::assumed(ASSUMED_REQUEST_BYTES),
            rates: RateWindow::new(AVERAGING_TIME),
            fast_rates: RateWindow::new(FAST_AVERAGING_TIME),
            sampled: Default::default(),
            background: PerDirection::default(),
            load: PerDirection::default(),
            credit: PerDirection { received: full, sent: full },
            credit_at: Timestamp(0),
            target: TARGET,
            short_since: None,
            kept_at: Timestamp(0),
            totals: Totals::default(),
            period: None,
            inputs: SheddingInputs::default(),
        }
    }

    /// Takes a sample of the traffic, about ten times a second. `is_delayed`: whether new
    /// connections take as long as they do over a saturated link. Returns whether a period of
    /// shedding has begun or ended.
    pub fn sample(
        &mut self,
        now: Timestamp,
        traffic: LinkTraffic,
        is_delayed: bool,
    ) -> Option<SheddingChange> {
        self.link?;
        let rates = self.rates.add(
            now,
            [
                traffic.received,
                traffic.sent,
                traffic.young_received + traffic.young_sent,
                self.totals.kept_bytes as u64,
                self.totals.reset_bytes.received as u64,
                self.totals.reset_bytes.sent as u64,
            ],
        );
        let [received, sent, young, charged, reset_received, reset_sent] = rates;
        let measured = PerDirection { received, sent };
        let reset = PerDirection { received: reset_received, sent: reset_sent };
        // What a caller sends goes on to an engine and what an engine sends goes on to a caller, so
        // the bytes of a caller's connection cross the link once in each direction.
        self.background = measured.map(|measured| (measured - young).max(0.0));
        let [charged_lately] = self.fast_rates.add(now, [self.totals.kept_bytes as u64]);
        let new = young.max(charged).max(charged_lately * FAST_PART);
        self.load = self.background.zip(reset, |background, reset| background + new + reset);
        self.learn(traffic, is_delayed && self.load() >= FULL_FROM);
        if now.since(self.credit_at) >= DECISION_TTL {
            self.inputs.reset_share = 0.0;
        }
        self.period_change(now)
    }

    /// Bytes received for reset connections since the start, as estimated: nobody reads them.
    pub fn reset_bytes(&self) -> u64 {
        self.totals.reset_bytes.received as u64
    }

    /// Load of the link over its capacity, in the direction with the higher one. Above 1 if more
    /// was admitted than it carries.
    pub fn load(&self) -> f64 {
        self.link.map_or(0.0, |link| self.load.max() / link)
    }

    /// The own link and its load.
    pub fn link_load(&self) -> LinkLoad {
        LinkLoad { load: self.load(), capacity: self.link.map_or(0.0, kilobits) }
    }

    /// The report to the other routers.
    pub fn report(&self, state: PressureState) -> PressureReport {
        let LinkLoad { load, capacity } = self.link_load();
        PressureReport {
            state,
            load_permille: (load * 1_000.0) as u16,
            link_kbps: capacity as u32,
            reset_permille: (self.inputs.reset_share * 1_000.0) as u16,
        }
    }

    /// What the last decision rested on.
    pub fn inputs(&self) -> SheddingInputs {
        self.inputs
    }

    /// Whether to keep a new connection of a caller; otherwise it is reset. `random` is drawn
    /// evenly from 0 to 1.
    pub fn admits(&mut self, now: Timestamp, neighbours: &Neighbours, random: f64) -> bool {
        let Some(link) = self.link else {
            return true;
        };
        let own = self.link_load();
        let target = target(own, neighbours);
        self.refill(now, link, target);
        let reset_share = self.reset_share(now, link, own, target, neighbours);
        self.inputs = SheddingInputs {
            load: own.load,
            target,
            background: self.background.max() / link,
            connection_bytes: self.connection_bytes.mean(),
            request_bytes: self.request_bytes.mean(),
            reset_share,
        };
        let is_kept = random >= reset_share || now.since(self.kept_at) >= MAX_PAUSE;
        match is_kept {
            true => self.keep(now),
            false => self.reset(now),
        }
        is_kept
    }

    /// Whether established connections are to be closed after their responses: on a crowded machine
    /// whose link is loaded above the target, while neighbours are known to have room.
    pub fn closes_connections(&self, reading: &PressureReading, neighbours: &Neighbours) -> bool {
        let own = self.link_load();
        let target = target(own, neighbours);
        reading.state >= PressureState::Crowded
            && own.load > target
            && neighbours.reporting > 0
            && neighbours.links.load < ROOM_UNTIL
    }

    /// Probability with which a new connection is reset.
    fn reset_share(
        &mut self,
        now: Timestamp,
        link: f64,
        own: LinkLoad,
        target: f64,
        neighbours: &Neighbours,
    ) -> f64 {
        let credit_left = self.credit.min() / (link * CREDIT_TIME);
        let missing = ((UNRESTRICTED_PART - credit_left) / UNRESTRICTED_PART).clamp(0.0, 1.0);
        self.short_since = match missing > CAUTIOUS_RESET_SHARE {
            true => self.short_since.or(Some(now)),
            false => None,
        };
        let short_for = self.short_since.map_or(Millis(0), |since| now.since(since));
        let ramp = (short_for.0 as f64 / RAMP_TIME.0 as f64).min(1.0);
        let ramp_limit = CAUTIOUS_RESET_SHARE + ramp * (MAX_RESET_SHARE - CAUTIOUS_RESET_SHARE);
        (max_reset_share(own, target, neighbours) * missing).min(ramp_limit)
    }

    fn refill(&mut self, now: Timestamp, link: f64, target: f64) {
        let seconds = now.since(self.credit_at).0 as f64 / 1_000.0;
        self.credit_at = now;
        let grown = self.background.map(|background| (target * link - background) * seconds);
        // What was admitted lately is judged by the target that is known now.
        let corrected = (target - self.target) * link * TARGET_MEMORY;
        self.target = target;
        let full = link * CREDIT_TIME;
        self.credit = self
            .credit
            .zip(grown, |credit, grown| (credit + grown.max(0.0) + corrected).clamp(-full, full));
    }

    fn keep(&mut self, now: Timestamp) {
        self.kept_at = now;
        self.totals.kept += 1;
        let bytes = self.connection_bytes.mean();
        self.totals.kept_bytes += bytes;
        self.charge(PerDirection { received: bytes, sent: bytes });
    }

    fn reset(&mut self, now: Timestamp) {
        let new_period =
            SheddingPeriod { last_reset_at: now, before: self.totals, is_announced: false };
        self.period.get_or_insert(new_period).last_reset_at = now;
        self.totals.reset += 1;
        let received = self.request_bytes.mean() * RESET_REQUEST_PART + RESET_PACKET_BYTES;
        let bytes = PerDirection { received, sent: RESET_PACKET_BYTES };
        self.totals.reset_bytes = self.totals.reset_bytes.zip(bytes, |total, bytes| total + bytes);
        self.charge(bytes);
    }

    fn charge(&mut self, bytes: PerDirection) {
        let largest_debt = self.link.unwrap_or_default() * CREDIT_TIME;
        self.credit = self.credit.zip(bytes, |credit, bytes| (credit - bytes).max(-largest_debt));
    }

    /// Updates what a connection brings. Over a saturated link bytes arrive late, so estimates do not
    /// fall meanwhile.
    fn learn(&mut self, traffic: LinkTraffic, is_saturated: bool) {
        let (before, kept_before) =
            std::mem::replace(&mut self.sampled, (traffic, self.totals.kept));
        let connections = (self.totals.kept - kept_before) as f64;
        let received = traffic.young_received.saturating_sub(before.young_received) as f64;
        let sent = traffic.young_sent.saturating_sub(before.young_sent) as f64;
        let update = |estimate: &mut MeanBytes, bytes: f64| {
            let updated = estimate.with(bytes, connections);
            if !is_saturated || updated.mean() > estimate.mean() {
                *estimate = updated;
            }
        };
        update(&mut self.request_bytes, received);
        update(&mut self.connection_bytes, received + sent);
    }

    fn period_change(&mut self, now: Timestamp) -> Option<SheddingChange> {
        let period = self.period.as_mut()?;
        if !std::mem::replace(&mut period.is_announced, true) {
            return Some(SheddingChange::Began);
        }
        if now.since(period.last_reset_at) < SHEDDING_ENDS_AFTER {
            return None;
        }
        let before = period.before;
        self.period = None;
        let kept = self.totals.kept - before.kept;
        Some(SheddingChange::Ended { kept, reset: self.totals.reset - before.reset })
    }
}

/// Load to which the own link is taken.
fn target(own: LinkLoad, neighbours: &Neighbours) -> f64 {
    match neighbours.links.capacity > 0.0 {
        true => TARGET.max(neighbours.zone_load(own) * ZONE_MARGIN),
        false => TARGET,
    }
}

/// Largest share of new connections that may be reset.
fn max_reset_share(own: LinkLoad, target: f64, neighbours: &Neighbours) -> f64 {
    let are_as_crowded = neighbours.links.load >= TARGET && own.load <= neighbours.links.load;
    if neighbours.routers == 0 || are_as_crowded {
        return 0.0;
    }
    if neighbours.reporting < MIN_REPORTS.min(neighbours.routers) {
        return CAUTIOUS_RESET_SHARE;
    }
    let even_part = own.capacity / (own.capacity + neighbours.links.capacity);
    let max_share = (1.0 - MIN_KEPT_OF_EVEN_PART * even_part).min(MAX_RESET_SHARE);
    let resetting = neighbours.part_above(target).max(neighbours.reset_share);
    let useful = falling(resetting, USEFUL_UNTIL, USELESS_FROM);
    let room = falling(neighbours.links.load, ROOM_UNTIL, NO_ROOM_FROM);
    max_share * useful * room
}

/// 1 up to `from`, 0 beyond `to`, evenly falling between them.
fn falling(value: f64, from: f64, to: f64) -> f64 {
    ((to - value) / (to - from)).clamp(0.0, 1.0)
}

/// The connections to be closed in one second on a crowded link: a small part of all, those with the
/// most bytes. `recent`: each with its bytes in the last second.
pub fn busiest_connections(mut recent: Vec<(u64, u64)>) -> Vec<u64> {
    let count = (recent.len() as f64 * CLOSED_PART).ceil() as usize;
    recent.retain(|(_, bytes)| *bytes > 0);
    recent.sort_unstable_by_key(|(connection, bytes)| (Reverse(*bytes), *connection));
    recent.into_iter().take(count).map(|(connection, _)| connection).collect()
}

/// Kilobits per second of a link that carries so many bytes per second.
fn kilobits(bytes_per_second: f64) -> f64 {
    bytes_per_second * 8.0 / 1_000.0
}
