//! The routers of the fleet, ranked by rendezvous hashing for any subject.
//!
//! All routers rank alike, apart from the seconds in which their lists of routers differ.

use crate::hashing::mix;
use crate::router_lists::RouterEndpoint;
use crate::slot_shares::router_hash;
use stackpost_types::ZoneName;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The running routers by zone.
#[derive(Clone, Debug, Default)]
pub struct RankedRouters {
    own: Option<SocketAddr>,
    by_zone: BTreeMap<ZoneName, Vec<SocketAddr>>,
}

impl RankedRouters {
    /// Sets the running routers, which may include the own one.
    pub fn set_endpoints(&mut self, own: &RouterEndpoint, endpoints: &BTreeSet<RouterEndpoint>) {
        self.own = Some(own.address);
        self.by_zone.clear();
        for endpoint in endpoints {
            self.by_zone.entry(endpoint.zone.clone()).or_default().push(endpoint.address);
        }
    }

    /// The best ranked router of each zone for the subject with this hash, the best of all first. A
    /// list of routers that differs in one zone gives the same routers for the others.
    pub fn best_of_zones(&self, subject: u64) -> Vec<SocketAddr> {
        let rank = |router: &SocketAddr| (mix(subject ^ router_hash(*router)), *router);
        let best_of = |routers: &Vec<SocketAddr>| routers.iter().map(rank).min();
        let mut best: Vec<(u64, SocketAddr)> = self.by_zone.values().filter_map(best_of).collect();
        best.sort_unstable();
        best.into_iter().map(|(_, router)| router).collect()
    }

    /// Whether the own router is the best ranked one of the fleet.
    pub fn is_own_best(&self, subject: u64) -> bool {
        self.own.is_some() && self.best_of_zones(subject).first() == self.own.as_ref()
    }
}
