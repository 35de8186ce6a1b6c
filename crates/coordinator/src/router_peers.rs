//! Selects the other routers with which a router exchanges loads, and from which it borrows tokens
//! while it is disconnected from control.

use stackpost_gateway_core::RouterEndpoint;
use std::net::SocketAddr;

/// Number of peers of each router. More peers would cost each router more in datagrams than the
/// additional information on the engines saves.
pub const PEERS_PER_ROUTER: usize = 96;

/// Selects the peers of `own` from `sorted`: first those of its own zone, which stay reachable in a
/// partition between zones. Each router's list starts with a different peer.
pub fn select_peers(sorted: &[RouterEndpoint], own: &RouterEndpoint) -> Vec<SocketAddr> {
    let next = sorted.partition_point(|endpoint| endpoint <= own);
    let others =
        || sorted[next..].iter().chain(&sorted[..next]).filter(|endpoint| *endpoint != own);
    let in_zone = others().filter(|endpoint| endpoint.zone == own.zone);
    let elsewhere = others().filter(|endpoint| endpoint.zone != own.zone);
    in_zone.chain(elsewhere).take(PEERS_PER_ROUTER).map(|endpoint| endpoint.address).collect()
}
