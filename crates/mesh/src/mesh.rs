//! The connections of one process.

use crate::MAX_FRAME_BYTES;
use crate::connection::{self, FrameStream};
use crate::pending::{PendingConnection, PendingConnections};
use crate::traffic::{MessageKind, SentByKind};
use bytes::Bytes;
use futures::SinkExt;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use stackpost_telemetry::LineLimit;
use stackpost_types::{NodeId, PeerError, Step, ZoneName};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Maximum number of frames queued for one connection; further ones are dropped.
const MAX_QUEUED_FRAMES: usize = 1_024;
/// Pause after a broken connection or the first failed attempt. Short, because after a power loss
/// of all machines the other end is about to listen.
const FIRST_RECONNECT_PAUSE: Duration = Duration::from_millis(40);
/// Limit up to which the pause is doubled after each failed attempt.
const MAX_RECONNECT_PAUSE: Duration = Duration::from_millis(320);

/// Role of a process in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PeerRole {
    /// Handles callers' requests.
    Router,
    /// Keeps the replicated state.
    Control,
}

/// Information on a process, sent in the first frame of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// The machine and the incarnation of the process.
    pub node: NodeId,
    /// Its role.
    pub role: PeerRole,
    /// The zone of the machine.
    pub zone: ZoneName,
    /// Address at which other processes reach it.
    pub listen_address: SocketAddr,
}

/// Identifies one connection for as long as it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(u64);

impl LinkId {
    /// Creates an identifier, for tests of code that keeps state by connection.
    pub fn from_raw(number: u64) -> Self {
        Self(number)
    }
}

/// An event of a connection.
#[derive(Debug)]
pub enum LinkEvent<M> {
    /// The connection is established and both ends have exchanged their [`PeerInfo`].
    Up {
        /// The connection.
        link: LinkId,
        /// The other end.
        peer: PeerInfo,
        /// The address that was dialed; `None` if the other end opened the connection.
        dialed: Option<SocketAddr>,
    },
    /// A message was received.
    Message {
        /// The connection.
        link: LinkId,
        /// The content.
        message: M,
    },
    /// The connection is closed.
    Down {
        /// The connection.
        link: LinkId,
    },
}

/// The connections of one process. Cheap to clone; all clones share them.
pub struct Mesh<M> {
    shared: Rc<Shared<M>>,
}

struct Shared<M> {
    own: PeerInfo,
    /// Address from which connections are opened; `None` leaves it to the system.
    source: Option<IpAddr>,
    events: mpsc::UnboundedSender<LinkEvent<M>>,
    links: RefCell<BTreeMap<LinkId, mpsc::Sender<Bytes>>>,
    dialed: RefCell<BTreeSet<SocketAddr>>,
    next_link: Cell<u64>,
    decode_error_lines: LineLimit,
    sent: RefCell<SentByKind>,
    message: PhantomData<M>,
}

impl<M> Clone for Mesh<M> {
    fn clone(&self) -> Self {
        Self { shared: self.shared.clone() }
    }
}

impl<M: MessageKind + Serialize + DeserializeOwned + 'static> Mesh<M> {
    /// Creates a mesh without connections, and the receiver of its events.
    pub fn new(own: PeerInfo) -> (Self, mpsc::UnboundedReceiver<LinkEvent<M>>) {
        Self::with_source(own, None)
    }

    /// The same for a process that opens its connections from the address `source`.
    pub fn with_source(
        own: PeerInfo,
        source: Option<IpAddr>,
    ) -> (Self, mpsc::UnboundedReceiver<LinkEvent<M>>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let shared = Shared {
            own,
            source,
            events,
            links: RefCell::default(),
            dialed: RefCell::default(),
            next_link: Cell::new(1),
            decode_error_lines: LineLimit::default(),
            sent: RefCell::default(),
            message: PhantomData,
        };
        (Self { shared: Rc::new(shared) }, receiver)
    }

    /// Starts accepting connections at `address`.
    pub async fn listen(&self, address: SocketAddr) -> Result<(), PeerError> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|error| PeerError::new(Step::Listen, address, error))?;
        let mesh = self.clone();
        let pending = Rc::<PendingConnections>::default();
        tokio::task::spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let (mesh, pending) = (mesh.clone(), pending.open());
                        tokio::task::spawn_local(async move {
                            mesh.serve_accepted(connection::frame_stream(stream), pending).await;
                        });
                    }
                    Err(_) => sleep(MAX_RECONNECT_PAUSE).await,
                }
            }
        });
        Ok(())
    }

    /// Keeps a connection to `address` open until [`Self::stop_dialing`]. Does nothing if the
    /// address is dialed already.
    pub fn dial(&self, address: SocketAddr) {
        if !self.shared.dialed.borrow_mut().insert(address) {
            return;
        }
        let mesh = self.clone();
        tokio::task::spawn_local(async move {
            let mut pause = FIRST_RECONNECT_PAUSE;
            while mesh.shared.dialed.borrow().contains(&address) {
                if let Ok(stream) = connection::connect(mesh.shared.source, address).await {
                    mesh.serve_dialed(stream, address).await;
                    pause = FIRST_RECONNECT_PAUSE;
                }
                sleep(pause).await;
                pause = (pause * 2).min(MAX_RECONNECT_PAUSE);
            }
        });
    }

    /// Stops dialing `address`; an open connection stays until it breaks.
    pub fn stop_dialing(&self, address: SocketAddr) {
        self.shared.dialed.borrow_mut().remove(&address);
    }

    /// Queues a message; it is dropped if the connection is closed or its queue is full.
    pub fn send(&self, link: LinkId, message: &M) {
        self.send_encoded(link, message.kind(), encode(message));
    }

    /// Queues the same message on several connections, encoding it once.
    pub fn send_all(&self, links: impl IntoIterator<Item = LinkId>, message: &M) {
        let frame = encode(message);
        for link in links {
            self.send_encoded(link, message.kind(), frame.clone());
        }
    }

    /// The messages sent since the last call, by kind.
    pub fn take_sent(&self) -> SentByKind {
        self.shared.sent.take()
    }

    fn send_encoded(&self, link: LinkId, kind: &'static str, frame: Bytes) {
        if let Some(outgoing) = self.shared.links.borrow().get(&link) {
            let bytes = frame.len() as u64;
            if frame.len() > MAX_FRAME_BYTES {
                // The connection would end at the other side's limit.
                log::error!(step = "send", kind = kind, link = link.0, bytes = bytes; "message is too large");
                return;
            }
            // Messages may be lost; senders resend those that must arrive.
            if outgoing.try_send(frame).is_ok() {
                let mut sent = self.shared.sent.borrow_mut();
                let sent = sent.entry(kind).or_default();
                sent.messages += 1;
                sent.bytes += bytes;
            }
        }
    }

    async fn serve_accepted(&self, mut stream: FrameStream, pending: PendingConnection) {
        if let Some(Some(peer)) = pending.first_message(self.introduce(&mut stream)).await {
            self.exchange(stream, peer, None).await;
        }
    }

    async fn serve_dialed(&self, mut stream: FrameStream, address: SocketAddr) {
        if let Some(peer) = self.introduce(&mut stream).await {
            self.exchange(stream, peer, Some(address)).await;
        }
    }

    /// Says who this end is and learns who the other end is.
    async fn introduce(&self, stream: &mut FrameStream) -> Option<PeerInfo> {
        let own_info_frame = Bytes::from(
            postcard::to_stdvec(&self.shared.own).expect("peer information can be encoded"),
        );
        stream.send(own_info_frame).await.ok()?;
        let frame = connection::next_frame(stream).await.ok()?;
        let peer = postcard::from_bytes::<PeerInfo>(&frame);
        let peer =
            peer.inspect_err(|error| self.log_undecodable("peer information", error)).ok()?;
        connection::allow_large_frames(stream);
        Some(peer)
    }

    /// Exchanges messages until the connection ends.
    async fn exchange(&self, stream: FrameStream, peer: PeerInfo, dialed: Option<SocketAddr>) {
        let link = LinkId(self.shared.next_link.get());
        self.shared.next_link.set(link.0 + 1);
        let (sender, mut outgoing) = mpsc::channel(MAX_QUEUED_FRAMES);
        self.shared.links.borrow_mut().insert(link, sender);
        self.emit(LinkEvent::Up { link, peer, dialed });
        let result =
            connection::run(stream, &mut outgoing, |frame| match postcard::from_bytes(&frame) {
                Ok(message) => self.emit(LinkEvent::Message { link, message }),
                Err(error) => self.log_undecodable("message", &error),
            })
            .await;
        log::debug!(step = "mesh"; "connection ended: {result:?}");
        self.shared.links.borrow_mut().remove(&link);
        self.emit(LinkEvent::Down { link });
    }

    /// Logs a frame that can't be decoded; it is ignored. Any host that reaches the port can send
    /// such frames, so the log lines are rate limited.
    fn log_undecodable(&self, what: &str, error: &postcard::Error) {
        if let Some(held_back) = self.shared.decode_error_lines.pass(Instant::now()) {
            log::warn!(step = "decode", held_back = held_back; "{what} can't be decoded: {error}");
        }
    }

    fn emit(&self, event: LinkEvent<M>) {
        // The receiver exists as long as the process.
        let _ = self.shared.events.send(event);
    }
}

fn encode<M: Serialize>(message: &M) -> Bytes {
    postcard::to_stdvec(message).expect("a message can be encoded").into()
}
