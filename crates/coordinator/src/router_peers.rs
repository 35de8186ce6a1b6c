//! Which other routers a router is told of: to tell them what it sends to engines, and to borrow
//! from them when it can't reach control.

use stackpost_gateway_core::RouterEndpoint;
use std::net::SocketAddr;

/// Other routers that each router is told of. More would cost each router more in datagrams than a
/// fuller picture of the engines saves.
pub const PEERS_PER_ROUTER: usize = 96;

/// The routers that `own` is told of, out of all in `sorted`: those of its own zone first, which a
/// cut between zones leaves in reach, each router beginning with another one.
pub fn select_peers(sorted: &[RouterEndpoint], own: &RouterEndpoint) -> Vec<SocketAddr> {
    let next = sorted.partition_point(|endpoint| endpoint <= own);
    let others =
        || sorted[next..].iter().chain(&sorted[..next]).filter(|endpoint| *endpoint != own);
    let in_zone = others().filter(|endpoint| endpoint.zone == own.zone);
    let elsewhere = others().filter(|endpoint| endpoint.zone != own.zone);
    in_zone.chain(elsewhere).take(PEERS_PER_ROUTER).map(|endpoint| endpoint.address).collect()
}
