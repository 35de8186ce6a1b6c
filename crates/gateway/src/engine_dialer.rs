//! Opens TCP connections to engines.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use stackpost_mesh::open_tcp;
use std::fmt::Debug;
use std::io;
use std::net::{IpAddr, SocketAddr};
use tokio::net::TcpStream;

/// Opens TCP connections to engines.
pub trait EngineDialer: Debug {
    /// Called for each new connection from this machine to an engine. The caller drops the future
    /// if it takes too long.
    fn dial(&self, engine: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>>;
}

/// Dials over the machine's network.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer {
    /// Address from which connections are opened; `None` leaves it to the system.
    pub source: Option<IpAddr>,
}

impl EngineDialer for TcpDialer {
    fn dial(&self, engine: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>> {
        open_tcp(self.source, engine).boxed_local()
    }
}
