//! Which router of a zone keeps the zone's account of a tenant's budget.
//!
//! A router alone meets a tenant too seldom to hold tokens for it: among many routers what a budget has left lies in
//! hands none of which covers a request. So each tenant has one *owner* in each zone, by rendezvous hashing over the
//! zone's routers, and the others reserve there. A zone that is cut off has its own owners.
//!
//! Routers may differ for a moment in whom they take for the owner. Each of two owners spends only what the ledger has
//! allotted to it, so nothing but the number of accounts depends on it.

use crate::hashing::mix;
use crate::router_lists::RouterEndpoint;
use crate::slot_shares::router_hash;
use stackpost_types::{Digest, Millis, TenantName, Timestamp, ZoneName};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Routers of the own zone that may be asked for one request: the owner, and who would be it without the owner.
const ASKED_IN_ZONE: usize = 2;
/// A router that does not answer is passed over for so long.
const PASSED_OVER_FOR: Millis = Millis(1_000);

/// A router of a zone, with what its rank for a tenant is made of.
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
    passed_over_until: HashMap<SocketAddr, Timestamp>,
}

impl AccountOwners {
    /// Takes over which routers there are; `own` is one of them, listed or not.
    pub fn set_endpoints(&mut self, own: &RouterEndpoint, endpoints: &BTreeSet<RouterEndpoint>) {
        self.own = Some(own.clone());
        self.zones.clear();
        for site in endpoints.iter().chain([own].into_iter().filter(|own| !endpoints.contains(own)))
        {
            let candidate = Candidate { address: site.address, hash: router_hash(site.address) };
            self.zones.entry(site.zone.clone()).or_default().push(candidate);
        }
    }

    /// A router has not answered.
    pub fn on_no_answer(&mut self, now: Timestamp, router: SocketAddr) {
        self.passed_over_until.retain(|_, until| now < *until);
        self.passed_over_until.insert(router, now + PASSED_OVER_FOR);
    }

    /// Whether this router keeps its zone's account of `tenant`. While nothing is known of the others it does.
    pub fn is_owner(&self, now: Timestamp, tenant: &TenantName) -> bool {
        self.lenders_in_zone(now, tenant).is_empty()
    }

    /// Routers of the own zone to ask for a request of `tenant`, one after the other; none if this router keeps the
    /// account.
    pub fn lenders_in_zone(&self, now: Timestamp, tenant: &TenantName) -> Vec<SocketAddr> {
        let Some(own) = &self.own else {
            return Vec::new();
        };
        let ranked = self.ranked(now, &own.zone, tenant, ASKED_IN_ZONE);
        ranked.into_iter().take_while(|router| *router != own.address).collect()
    }

    /// Owners of `tenant` in the other zones, beginning with the zone after the own one, so that not all routers ask the
    /// same one first.
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
        most: usize,
    ) -> Vec<SocketAddr> {
        let key = Digest::of(&[tenant.as_str().as_bytes()]).to_u64();
        let routers = self.zones.get(zone).map(Vec::as_slice).unwrap_or_default();
        let mut ranked: Vec<&Candidate> =
            routers.iter().filter(|router| !self.is_passed_over(now, router.address)).collect();
        ranked.sort_unstable_by_key(|router| {
            std::cmp::Reverse((mix(key ^ router.hash), router.address))
        });
        ranked.into_iter().take(most).map(|router| router.address).collect()
    }

    fn is_passed_over(&self, now: Timestamp, router: SocketAddr) -> bool {
        self.passed_over_until.get(&router).is_some_and(|until| now < *until)
    }
}
