//! Detects that a caller has closed its connection.

use rustix::event::{PollFd, PollFlags, poll};
use rustix::time::Timespec;
use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::os::unix::fs::MetadataExt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// Time between two polls of a socket.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A second handle of an accepted socket; the server owns the first.
#[derive(Debug)]
struct WatchedSocket {
    handle: TcpStream,
    /// The server's file descriptor. Together with the socket's inode it shows whether the number
    /// has been reused.
    server_fd: RawFd,
    inode: u64,
}

impl WatchedSocket {
    fn new(stream: &TcpStream) -> io::Result<Self> {
        let handle = stream.try_clone()?;
        let inode = inode_of(handle.as_raw_fd())?;
        Ok(Self { handle, server_fd: stream.as_raw_fd(), inode })
    }

    fn is_closed_by_peer(&self) -> bool {
        let mut fds = [PollFd::new(&self.handle, PollFlags::RDHUP)];
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        match poll(&mut fds, Some(&no_wait)) {
            Ok(_) => {
                fds[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
            }
            Err(_) => false,
        }
    }

    /// Whether the server has closed its handle of the socket. The connection itself stays open as
    /// long as this second handle is open.
    fn is_closed_by_server(&self) -> bool {
        inode_of(self.server_fd).ok() != Some(self.inode)
    }
}

fn inode_of(fd: RawFd) -> io::Result<u64> {
    std::fs::metadata(format!("/proc/self/fd/{fd}")).map(|metadata| metadata.ino())
}

/// Reports whether a caller has closed its connection.
#[derive(Clone, Debug)]
pub struct ConnectionWatch(Arc<WatchedSocket>);

impl ConnectionWatch {
    /// Whether the caller has closed its side of the connection.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed_by_peer()
    }

    /// Waits until the caller has closed its side of the connection.
    pub async fn closed(&self) {
        while !self.is_closed() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// The open connections of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections(Arc<Mutex<HashMap<SocketAddr, Arc<WatchedSocket>>>>);

impl Connections {
    pub fn watch(&self, peer: &SocketAddr) -> Option<ConnectionWatch> {
        self.lock().get(peer).cloned().map(ConnectionWatch)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<WatchedSocket>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn register(&self, peer: SocketAddr, stream: &TcpStream) {
        match WatchedSocket::new(stream) {
            Ok(socket) => {
                self.lock().insert(peer, Arc::new(socket));
            }
            Err(error) => log::warn!("failed to watch the connection from {peer}: {error}"),
        }
    }

    /// Shuts down and removes connections that the server has closed.
    fn remove_closed(&self) {
        self.lock().retain(|_, socket| {
            let closed = socket.is_closed_by_server();
            if closed {
                // Fails if the peer has already closed the connection, which needs no handling.
                let _ = socket.handle.shutdown(Shutdown::Both);
            }
            !closed
        });
    }

    /// Removes closed connections periodically; never returns.
    pub async fn run_cleanup(self) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            self.remove_closed();
        }
    }
}

/// A listener that registers each accepted connection in `connections`.
pub(crate) struct WatchedListener {
    pub listener: std::net::TcpListener,
    pub connections: Connections,
}

impl IntoListener for WatchedListener {
    type Listener = AsyncWatchedListener;

    fn into_listener(self) -> io::Result<Self::Listener> {
        self.listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(self.listener)?;
        Ok(AsyncWatchedListener { listener, connections: self.connections })
    }
}

pub(crate) struct AsyncWatchedListener {
    listener: TcpListener,
    connections: Connections,
}

impl Listen for AsyncWatchedListener {
    async fn accept(&self) -> io::Result<Stream> {
        let (stream, peer) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        self.connections.register(peer, &stream);
        Ok(Stream::Tcp(stream, peer))
    }
}
