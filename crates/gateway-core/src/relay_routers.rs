//! Which other routers this one asks to relay a connection that it cannot open itself.
//!
//! Routers of the own zone are nearer, but a whole zone may be isolated, so routers of other zones
//! are asked as well. Each engine has its own ranking, which differs from router to router: the
//! load is spread over all relays, and the connections to one engine share a relay.

use crate::hashing::mix;
use crate::router_lists::RouterEndpoint;
use crate::slot_shares::router_hash;
use stackpost_types::{BackEndName, Digest, Millis, Timestamp, ZoneName};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Routers of one's own zone, and of other zones, that are asked for one connection.
const CANDIDATES_PER_GROUP: usize = 2;
/// Time for which a router that did not relay is not asked; doubled at each further refusal.
const INITIAL_AVOIDANCE: Millis = Millis(250);
/// Limit on the doublings of that time.
const MAX_DOUBLINGS: u32 = 3;

/// Refusals of one router since it last relayed a connection.
#[derive(Clone, Copy, Debug, Default)]
struct Refusals {
    count: u32,
    avoided_until: Timestamp,
}

/// The other routers, ranked as relays.
#[derive(Clone, Debug, Default)]
pub struct RelayRouters {
    own_zone: Option<ZoneName>,
    own_hash: u64,
    others: Vec<RouterEndpoint>,
    refusals: HashMap<SocketAddr, Refusals>,
}

impl RelayRouters {
    /// Sets the running routers, which may include the own one.
    pub fn set_endpoints(&mut self, own: &RouterEndpoint, endpoints: &BTreeSet<RouterEndpoint>) {
        self.own_zone = Some(own.zone.clone());
        self.own_hash = router_hash(own.address);
        self.others =
            endpoints.iter().filter(|other| other.address != own.address).cloned().collect();
        self.refusals.retain(|router, _| endpoints.iter().any(|other| other.address == *router));
    }

    /// Whether any other router is known.
    pub fn is_empty(&self) -> bool {
        self.others.is_empty()
    }

    /// The fleet addresses of the routers to ask for a connection to an engine, in order.
    pub fn candidates(&self, now: Timestamp, engine: &BackEndName) -> Vec<SocketAddr> {
        let key = mix(self.own_hash ^ Digest::of(&[engine.as_str().as_bytes()]).to_u64());
        let (mut near, mut far): (Vec<_>, Vec<_>) = self
            .others
            .iter()
            .filter(|other| !self.is_avoided(now, other))
            .map(|other| (mix(key ^ router_hash(other.address)), other))
            .partition(|(_, other)| Some(&other.zone) == self.own_zone.as_ref());
        near.sort_by_key(|(rank, _)| *rank);
        far.sort_by_key(|(rank, _)| *rank);
        let near = near.into_iter().take(CANDIDATES_PER_GROUP);
        let far = far.into_iter().take(CANDIDATES_PER_GROUP);
        near.chain(far).map(|(_, other)| other.address).collect()
    }

    /// Records that a router relayed a connection.
    pub fn on_relayed(&mut self, router: SocketAddr) {
        self.refusals.remove(&router);
    }

    /// Records that a router did not relay a connection, or could not be reached.
    pub fn on_refused(&mut self, now: Timestamp, router: SocketAddr) {
        let refusals = self.refusals.entry(router).or_default();
        let avoidance = Millis(INITIAL_AVOIDANCE.0 << refusals.count.min(MAX_DOUBLINGS));
        refusals.avoided_until = now + avoidance;
        refusals.count += 1;
    }

    fn is_avoided(&self, now: Timestamp, router: &RouterEndpoint) -> bool {
        self.refusals.get(&router.address).is_some_and(|refusals| now < refusals.avoided_until)
    }
}
