//! How the demand of each zone is divided among the engines of all zones.
//!
//! Built for load that is concentrated in one zone. A zone uses its own engines up to a utilization
//! at which they do not queue, and the rest goes where other zones leave capacity. The division
//! follows from the demand and not from where requests were sent before, so it does not oscillate
//! when reports are old.

use crate::plain_choice::PlainCandidate;
use stackpost_types::ZoneName;
use std::collections::BTreeMap;

/// Utilization up to which a zone's requests stay at its own engines. At a half, one request in a
/// hundred waits at an engine with six slots.
const HOME_UTILIZATION: f64 = 0.5;

/// Capacity and demand of one zone, in requests per millisecond.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneLoad {
    capacity: f64,
    demand: f64,
}

impl ZoneLoad {
    /// The demand that the zone's own engines serve.
    fn kept(&self, utilization: f64) -> f64 {
        self.demand.min(utilization * self.capacity)
    }

    /// The capacity that the zone leaves to others.
    fn spare(&self, utilization: f64) -> f64 {
        utilization * self.capacity - self.kept(utilization)
    }

    /// The share of the demand that the zone's own engines serve.
    fn kept_share(&self, utilization: f64) -> f64 {
        match self.demand > 0.0 {
            true => self.kept(utilization) / self.demand,
            false if self.capacity > 0.0 => 1.0,
            false => 0.0,
        }
    }
}

/// The shares of a router's requests that the engines get, up to a common factor. The router is in
/// `own_zone`; `work_ms` and `capacities` (in requests per millisecond) are those of the candidates.
pub(crate) fn shares(
    own_zone: &ZoneName,
    candidates: &[PlainCandidate<'_>],
    work_ms: &[f64],
    capacities: &[f64],
) -> Vec<f64> {
    let zones = zone_loads(own_zone, candidates, work_ms, capacities);
    let capacity: f64 = zones.values().map(|zone| zone.capacity).sum();
    let demand: f64 = zones.values().map(|zone| zone.demand).sum();
    let utilization = (demand / capacity).max(HOME_UTILIZATION);
    let home_share = zones.get(own_zone).map_or(0.0, |own| own.kept_share(utilization));
    let others = zones.iter().filter(|(zone, _)| *zone != own_zone);
    let spare: f64 = others.map(|(_, zone)| zone.spare(utilization)).sum();
    let share = |(candidate, capacity): (&PlainCandidate<'_>, &f64)| {
        let zone = zones.get(candidate.zone).copied().unwrap_or_default();
        let of_zone = capacity / zone.capacity;
        match candidate.zone == own_zone {
            true => home_share * of_zone,
            false if spare > 0.0 => (1.0 - home_share) * of_zone * zone.spare(utilization) / spare,
            false => 0.0,
        }
    };
    let shares: Vec<f64> = candidates.iter().zip(capacities).map(share).collect();
    if shares.iter().sum::<f64>() > 0.0 { shares } else { capacities.to_vec() }
}

fn zone_loads(
    own_zone: &ZoneName,
    candidates: &[PlainCandidate<'_>],
    work_ms: &[f64],
    capacities: &[f64],
) -> BTreeMap<ZoneName, ZoneLoad> {
    let mut zones: BTreeMap<ZoneName, ZoneLoad> = BTreeMap::new();
    for ((candidate, work_ms), capacity) in candidates.iter().zip(work_ms).zip(capacities) {
        zones.entry(candidate.zone.clone()).or_default().capacity += capacity;
        for (zone, in_flight) in candidate.load.in_flight_by_zone(own_zone) {
            zones.entry(zone).or_default().demand += in_flight / work_ms;
        }
    }
    zones
}
