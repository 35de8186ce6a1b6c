//! Opens TCP connections to engines.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Opens TCP connections to engines.
pub trait EngineDialer: Debug {
    /// Called for each new connection from this machine to an engine. The caller drops the future
    /// if it takes too long.
    fn dial(&self, engine: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>>;
}

/// Dials over the machine's network.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer;

impl EngineDialer for TcpDialer {
    fn dial(&self, engine: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>> {
        TcpStream::connect(engine).boxed_local()
    }
}
