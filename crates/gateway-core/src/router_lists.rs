//! Which routers are there, by what several control processes hear.
//!
//! A router counts as there while any control process hears it, so that all routers that hear the same processes take the
//! same ones for there. What a process said before its connection was lost counts a little longer: one that has just
//! started hears few routers yet, and if all of them did, each router would take itself for the only one.

use serde::{Deserialize, Serialize};
use stackpost_types::{Millis, Timestamp, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Routers find a control process that has started within this time.
const LOST_LISTS_KEPT: Millis = Millis(2_000);

/// A router and where other routers find it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouterEndpoint {
    /// Its zone.
    pub zone: ZoneName,
    /// Where it accepts connections of the fleet.
    pub address: SocketAddr,
}

/// The routers of one zone, as they travel in messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRouters {
    /// The zone.
    pub zone: ZoneName,
    /// Where its routers accept connections of the fleet.
    pub addresses: Vec<SocketAddr>,
}

impl ZoneRouters {
    /// Groups sites by zone.
    pub fn group(endpoints: &[RouterEndpoint]) -> Vec<Self> {
        let mut zones: BTreeMap<&ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        for site in endpoints {
            zones.entry(&site.zone).or_default().push(site.address);
        }
        let group = |(zone, addresses): (&ZoneName, Vec<SocketAddr>)| Self {
            zone: zone.clone(),
            addresses,
        };
        zones.into_iter().map(group).collect()
    }

    /// The single sites.
    pub fn endpoints(&self) -> impl Iterator<Item = RouterEndpoint> {
        self.addresses
            .iter()
            .map(|address| RouterEndpoint { zone: self.zone.clone(), address: *address })
    }
}

#[derive(Clone, Debug)]
struct List {
    routers: Vec<RouterEndpoint>,
    /// When the connection over which it came was lost.
    lost_at: Option<Timestamp>,
}

/// The lists of all control processes, each by the connection `L` over which it came.
#[derive(Clone, Debug)]
pub struct RouterLists<L> {
    lists: BTreeMap<L, List>,
}

impl<L> Default for RouterLists<L> {
    fn default() -> Self {
        Self { lists: BTreeMap::new() }
    }
}

impl<L: Ord + Copy> RouterLists<L> {
    /// A control process tells which routers it hears.
    pub fn on_router_list(&mut self, link: L, routers: Vec<RouterEndpoint>) {
        self.lists.insert(link, List { routers, lost_at: None });
    }

    /// A connection is gone.
    pub fn on_down(&mut self, now: Timestamp, link: L) {
        if let Some(list) = self.lists.get_mut(&link) {
            list.lost_at = Some(now);
        }
    }

    /// The routers that are there, in order; `None` while nobody has told. Out of sight of all control processes what
    /// they said last stands.
    pub fn endpoints(&mut self, now: Timestamp) -> Option<BTreeSet<RouterEndpoint>> {
        if self.lists.values().any(|list| list.lost_at.is_none()) {
            let is_old = |list: &List| {
                list.lost_at.is_some_and(|lost_at| now.since(lost_at) >= LOST_LISTS_KEPT)
            };
            self.lists.retain(|_, list| !is_old(list));
        }
        if self.lists.is_empty() {
            return None;
        }
        Some(self.lists.values().flat_map(|list| &list.routers).cloned().collect())
    }

    /// The addresses of the routers that are there, but for `own`, in order; `None` while nobody has told.
    pub fn others(&mut self, now: Timestamp, own: SocketAddr) -> Option<Vec<SocketAddr>> {
        let there: BTreeSet<SocketAddr> =
            self.endpoints(now)?.into_iter().map(|site| site.address).collect();
        Some(there.into_iter().filter(|router| *router != own).collect())
    }
}
