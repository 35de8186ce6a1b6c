//! Which router of a zone owns the zone's account of a tenant's budget.
//!
//! A single router receives a tenant's requests too rarely to hold tokens for it: what is left of a
//! budget would be split over many routers into parts none of which covers a request. So each
//! tenant has one *owner* in each zone, by rendezvous hashing over the zone's routers, and the
//! other routers reserve tokens there. A partitioned zone has owners of its own.
//!
//! Routers may briefly disagree about the owner. Each of two owners spends only what the ledger has
//! allotted to it, so only the number of accounts depends on it.

use crate::hashing::mix;
use crate::router_lists::RouterEndpoint;
use crate::slot_shares::router_hash;
use stackpost_types::{Digest, Millis, TenantName, Timestamp, ZoneName};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Routers of the own zone that may be asked for one request: the owner, and the next in rank.
const MAX_LENDERS_IN_ZONE: usize = 2;
/// Time for which a router that did not respond is skipped.
const UNRESPONSIVE_TIME: Millis = Millis(1_000);

/// A router of a zone, with its hash for rendezvous ranking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Candidate {
    address: SocketAddr,
    hash: u64,
}

/// One router's view of the owners.
#[derive(Clone, Debug, Default)]
pub struct AccountOwners {
    own: Option<RouterEndpoint>,
    zones: BTreeMap<ZoneName, Vec<Candidate>>,
    unresponsive_until: HashMap<SocketAddr, Timestamp>,
    crowded: BTreeSet<SocketAddr>,
}

impl AccountOwners {
    /// Sets the running routers; `own` counts as one of them even if it is not listed.
    pub fn set_endpoints(&mut self, own: &RouterEndpoint, endpoints: &BTreeSet<RouterEndpoint>) {
        self.own = Some(own.clone());
        self.zones.clear();
        for endpoint in
            endpoints.iter().chain([own].into_iter().filter(|own| !endpoints.contains(own)))
        {
            let candidate =
                Candidate { address: endpoint.address, hash: router_hash(endpoint.address) };
            self.zones.entry(endpoint.zone.clone()).or_default().push(candidate);
        }
    }

    /// Sets the routers whose machines are crowded, this one included. They own an account only
    /// while too few others are known in their zone.
    pub fn set_crowded(&mut self, routers: BTreeSet<SocketAddr>) {
        self.crowded = routers;
    }

    /// Records that a router has not responded.
    pub fn on_no_response(&mut self, now: Timestamp, router: SocketAddr) {
        self.unresponsive_until.retain(|_, until| now < *until);
        self.unresponsive_until.insert(router, now + UNRESPONSIVE_TIME);
    }

    /// Whether this router owns its zone's account of `tenant`. It does while no other router is
    /// known.
    pub fn is_owner(&self, now: Timestamp, tenant: &TenantName) -> bool {
        self.lenders_in_zone(now, tenant).is_empty()
    }

    /// Whether this router is the next in rank after the owner of its zone's account of `tenant`.
    pub fn is_second(&self, now: Timestamp, tenant: &TenantName) -> bool {
        self.own
            .as_ref()
            .is_some_and(|own| self.ranked(now, &own.zone, tenant, 2).get(1) == Some(&own.address))
    }

    /// Routers of the own zone to ask, one after the other, for a request of `tenant`; none if this
    /// router owns the account.
    pub fn lenders_in_zone(&self, now: Timestamp, tenant: &TenantName) -> Vec<SocketAddr> {
        let Some(own) = &self.own else {
            return Vec::new();
        };
        let ranked = self.ranked(now, &own.zone, tenant, MAX_LENDERS_IN_ZONE);
        ranked.into_iter().take_while(|router| *router != own.address).collect()
    }

    /// Owners of `tenant` in the other zones, beginning with the zone after the own one, so that
    /// routers of different zones ask different owners first.
    pub fn lenders_in_other_zones(&self, now: Timestamp, tenant: &TenantName) -> Vec<SocketAddr> {
        let Some(own) = &self.own else {
            return Vec::new();
        };
        let (before, after): (Vec<_>, Vec<_>) =
            self.zones.keys().filter(|zone| **zone != own.zone).partition(|zone| **zone < own.zone);
        let zones = after.into_iter().chain(before);
        zones.flat_map(|zone| self.ranked(now, zone, tenant, 1)).collect()
    }

    fn ranked(
        &self,
        now: Timestamp,
        zone: &ZoneName,
        tenant: &TenantName,
        limit: usize,
    ) -> Vec<SocketAddr> {
        let key = Digest::of(&[tenant.as_str().as_bytes()]).to_u64();
        let routers = self.zones.get(zone).map(Vec::as_slice).unwrap_or_default();
        let mut ranked: Vec<&Candidate> =
            routers.iter().filter(|router| !self.is_unresponsive(now, router.address)).collect();
        ranked.sort_unstable_by_key(|router| {
            let is_crowded = self.crowded.contains(&router.address);
            (is_crowded, std::cmp::Reverse((mix(key ^ router.hash), router.address)))
        });
        ranked.into_iter().take(limit).map(|router| router.address).collect()
    }

    fn is_unresponsive(&self, now: Timestamp, router: SocketAddr) -> bool {
        self.unresponsive_until.get(&router).is_some_and(|until| now < *until)
    }
}
