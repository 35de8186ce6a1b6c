//! All connections of one process.

use crate::connection::{self, FrameStream};
use bytes::Bytes;
use futures::SinkExt;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use stackpost_telemetry::LineLimit;
use stackpost_types::{NodeId, PeerError, Step, ZoneName};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Frames that may wait for one connection; more are dropped.
const OUTGOING_LIMIT: usize = 1_024;
/// Pause after a connection that broke or the first that failed: after a loss of power of all
/// machines the other end is about to listen.
const FIRST_RECONNECT_PAUSE: Duration = Duration::from_millis(40);
/// Longest pause, to which the first is doubled.
const LONGEST_RECONNECT_PAUSE: Duration = Duration::from_millis(320);

/// What a process does in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PeerRole {
    /// Takes callers' requests.
    Router,
    /// Keeps the replicated state.
    Control,
}

/// How a process introduces itself at the start of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// The machine and the life of its process.
    pub node: NodeId,
    /// Its role.
    pub role: PeerRole,
    /// The zone it stands in.
    pub zone: ZoneName,
    /// Where it accepts connections of the fleet.
    pub listen_address: SocketAddr,
}

/// Names one connection for as long as it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(u64);

impl LinkId {
    /// The connection with a number, for tests of what keeps books by connection.
    pub fn from_raw(number: u64) -> Self {
        Self(number)
    }
}

/// News of a connection.
#[derive(Debug)]
pub enum LinkEvent<M> {
    /// The two ends have introduced themselves.
    Up {
        /// The connection.
        link: LinkId,
        /// The other end.
        peer: PeerInfo,
        /// The address that was dialed; `None` if the other end opened the connection.
        dialed: Option<SocketAddr>,
    },
    /// A message has arrived.
    Message {
        /// The connection.
        link: LinkId,
        /// The content.
        message: M,
    },
    /// The connection is gone.
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
    events: mpsc::UnboundedSender<LinkEvent<M>>,
    links: RefCell<BTreeMap<LinkId, mpsc::Sender<Bytes>>>,
    dialed: RefCell<BTreeSet<SocketAddr>>,
    next_link: Cell<u64>,
    refused_lines: LineLimit,
    message: PhantomData<M>,
}

impl<M> Clone for Mesh<M> {
    fn clone(&self) -> Self {
        Self { shared: self.shared.clone() }
    }
}

impl<M: Serialize + DeserializeOwned + 'static> Mesh<M> {
    /// A mesh without connections and the receiver of its events.
    pub fn new(own: PeerInfo) -> (Self, mpsc::UnboundedReceiver<LinkEvent<M>>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let shared = Shared {
            own,
            events,
            links: RefCell::default(),
            dialed: RefCell::default(),
            next_link: Cell::new(1),
            refused_lines: LineLimit::default(),
            message: PhantomData,
        };
        (Self { shared: Rc::new(shared) }, receiver)
    }

    /// Accepts connections at `address` from now on.
    pub async fn listen(&self, address: SocketAddr) -> Result<(), PeerError> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|error| PeerError::new(Step::Listen, address, error))?;
        let mesh = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let mesh = mesh.clone();
                        tokio::task::spawn_local(async move {
                            mesh.serve(connection::framed(stream), None).await;
                        });
                    }
                    Err(_) => sleep(LONGEST_RECONNECT_PAUSE).await,
                }
            }
        });
        Ok(())
    }

    /// Keeps a connection to `address` until [`Self::stop_dialing`]. Does nothing if there is one.
    pub fn dial(&self, address: SocketAddr) {
        if !self.shared.dialed.borrow_mut().insert(address) {
            return;
        }
        let mesh = self.clone();
        tokio::task::spawn_local(async move {
            let mut pause = FIRST_RECONNECT_PAUSE;
            while mesh.shared.dialed.borrow().contains(&address) {
                if let Ok(stream) = connection::open(address).await {
                    mesh.serve(stream, Some(address)).await;
                    pause = FIRST_RECONNECT_PAUSE;
                }
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_RECONNECT_PAUSE);
            }
        });
    }

    /// Dials `address` no more; an open connection stays until it breaks.
    pub fn stop_dialing(&self, address: SocketAddr) {
        self.shared.dialed.borrow_mut().remove(&address);
    }

    /// Queues a message; it is dropped if the connection is gone or too slow.
    pub fn send(&self, link: LinkId, message: &M) {
        self.send_encoded(link, encode(message));
    }

    /// Queues the same message on several connections, encoding it once.
    pub fn send_all(&self, links: impl IntoIterator<Item = LinkId>, message: &M) {
        let frame = encode(message);
        for link in links {
            self.send_encoded(link, frame.clone());
        }
    }

    fn send_encoded(&self, link: LinkId, frame: Bytes) {
        if let Some(outgoing) = self.shared.links.borrow().get(&link) {
            // Messages may be lost; whoever needs one sends it again.
            let _ = outgoing.try_send(frame);
        }
    }

    async fn serve(&self, mut stream: FrameStream, dialed: Option<SocketAddr>) {
        let hello = Bytes::from(
            postcard::to_stdvec(&self.shared.own).expect("an introduction can be encoded"),
        );
        if stream.send(hello).await.is_err() {
            return;
        }
        let Ok(frame) = connection::next_frame(&mut stream).await else {
            return;
        };
        let peer = match postcard::from_bytes::<PeerInfo>(&frame) {
            Ok(peer) => peer,
            Err(error) => return self.refused("an introduction", &error),
        };
        let link = LinkId(self.shared.next_link.get());
        self.shared.next_link.set(link.0 + 1);
        let (sender, mut outgoing) = mpsc::channel(OUTGOING_LIMIT);
        self.shared.links.borrow_mut().insert(link, sender);
        self.emit(LinkEvent::Up { link, peer, dialed });
        let ended =
            connection::run(stream, &mut outgoing, |frame| match postcard::from_bytes(&frame) {
                Ok(message) => self.emit(LinkEvent::Message { link, message }),
                Err(error) => self.refused("a message", &error),
            })
            .await;
        log::debug!(step = "mesh"; "connection ended: {ended:?}");
        self.shared.links.borrow_mut().remove(&link);
        self.emit(LinkEvent::Down { link });
    }

    /// What can't be read is passed over. Anyone who reaches the port can send such, so lines are bounded.
    fn refused(&self, what: &str, error: &postcard::Error) {
        if let Some(held_back) = self.shared.refused_lines.pass(Instant::now()) {
            log::warn!(step = "decode", held_back = held_back; "{what} can't be read: {error}");
        }
    }

    fn emit(&self, event: LinkEvent<M>) {
        // The receiver lives as long as the process.
        let _ = self.shared.events.send(event);
    }
}

fn encode<M: Serialize>(message: &M) -> Bytes {
    postcard::to_stdvec(message).expect("a message can be encoded").into()
}
