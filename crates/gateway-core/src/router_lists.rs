//! The running routers, as reported by several control processes.
//!
//! A router counts as running while any connected control process reports it, so that all routers
//! that are connected to the same processes know the same routers. The last list of a process stays
//! valid for some time after its connection is lost: a process that has just started reports only a
//! few routers, and if all of them had just started, each router would take itself for the only
//! one.

use serde::{Deserialize, Serialize};
use stackpost_types::{Millis, Timestamp, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time for which the list of a disconnected control process stays valid while another process is
/// connected. Routers connect to a control process that has started within this time.
const DISCONNECTED_LIST_TTL: Millis = Millis(2_000);

/// A router's zone and the address at which other routers connect to it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouterEndpoint {
    /// Its zone.
    pub zone: ZoneName,
    /// The address at which it accepts connections of the fleet.
    pub address: SocketAddr,
}

/// The routers of one zone, in the form used in messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRouters {
    /// The zone.
    pub zone: ZoneName,
    /// The addresses at which its routers accept connections of the fleet.
    pub addresses: Vec<SocketAddr>,
}

impl ZoneRouters {
    /// Groups endpoints by zone.
    pub fn group(endpoints: &[RouterEndpoint]) -> Vec<Self> {
        let mut zones: BTreeMap<&ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        for endpoint in endpoints {
            zones.entry(&endpoint.zone).or_default().push(endpoint.address);
        }
        let group = |(zone, addresses): (&ZoneName, Vec<SocketAddr>)| Self {
            zone: zone.clone(),
            addresses,
        };
        zones.into_iter().map(group).collect()
    }

    /// The single endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = RouterEndpoint> {
        self.addresses
            .iter()
            .map(|address| RouterEndpoint { zone: self.zone.clone(), address: *address })
    }
}

#[derive(Clone, Debug)]
struct RouterList {
    routers: Vec<RouterEndpoint>,
    /// When the connection over which the list was received was lost.
    disconnected_at: Option<Timestamp>,
}

/// The lists of all control processes, each keyed by the connection `L` over which it was received.
#[derive(Clone, Debug)]
pub struct RouterLists<L> {
    lists: BTreeMap<L, RouterList>,
}

impl<L> Default for RouterLists<L> {
    fn default() -> Self {
        Self { lists: BTreeMap::new() }
    }
}

impl<L: Ord + Copy> RouterLists<L> {
    /// Stores the list of routers that a control process reports.
    pub fn on_router_list(&mut self, link: L, routers: Vec<RouterEndpoint>) {
        self.lists.insert(link, RouterList { routers, disconnected_at: None });
    }

    /// Records that a connection was lost.
    pub fn on_disconnect(&mut self, now: Timestamp, link: L) {
        if let Some(list) = self.lists.get_mut(&link) {
            list.disconnected_at = Some(now);
        }
    }

    /// The running routers, in order; `None` until a list has been received. While no control
    /// process is connected, the last lists stay valid.
    pub fn endpoints(&mut self, now: Timestamp) -> Option<BTreeSet<RouterEndpoint>> {
        if self.lists.values().any(|list| list.disconnected_at.is_none()) {
            let is_expired = |list: &RouterList| {
                list.disconnected_at.is_some_and(|disconnected_at| {
                    now.since(disconnected_at) >= DISCONNECTED_LIST_TTL
                })
            };
            self.lists.retain(|_, list| !is_expired(list));
        }
        if self.lists.is_empty() {
            return None;
        }
        Some(self.lists.values().flat_map(|list| &list.routers).cloned().collect())
    }

    /// The addresses of the running routers except `own`, in order; `None` until a list has been
    /// received.
    pub fn others(&mut self, now: Timestamp, own: SocketAddr) -> Option<Vec<SocketAddr>> {
        let running: BTreeSet<SocketAddr> =
            self.endpoints(now)?.into_iter().map(|endpoint| endpoint.address).collect();
        Some(running.into_iter().filter(|router| *router != own).collect())
    }
}
