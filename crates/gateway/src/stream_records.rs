//! Exchanges records of the software version that began each stream, by datagrams.
//!
//! Records are not acknowledged: without one, a resumption is refused and nothing else fails.

use crate::peer_socket::{PeerDatagram, PeerSocket};
use crate::router::Router;
use serde::{Deserialize, Serialize};
use stackpost_gateway_core::{StreamKey, StreamVersions};
use stackpost_types::SoftwareVersion;
use std::cell::{OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Time after which a query is repeated: several round trips between zones.
const QUERY_INTERVAL: Duration = Duration::from_millis(40);
/// Number of times that a query is sent. The record may arrive after the first one: a caller can
/// resume a stream within milliseconds of its first event.
const MAX_QUERIES: usize = 4;

/// Messages about streams between routers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum StreamMessage {
    /// This version began the stream: sent to its recorders, and in reply to [`Self::Query`].
    Began { stream: StreamKey, version: SoftwareVersion },
    /// Asks for the version that began the stream. A router without a record does not reply.
    Query { stream: StreamKey },
}

/// The records of this router, and its queries to others.
#[derive(Default)]
pub(crate) struct StreamRecords {
    versions: RefCell<StreamVersions>,
    /// Notified when another router's record arrives.
    arrived: Notify,
    socket: OnceCell<Rc<PeerSocket>>,
}

impl StreamRecords {
    /// Called once, when the socket for datagrams is open.
    pub fn open(&self, socket: Rc<PeerSocket>) {
        // A second call keeps the first socket.
        let _ = self.socket.set(socket);
    }

    fn send(&self, routers: &[SocketAddr], message: &StreamMessage) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let datagram = PeerDatagram::Stream(message.clone());
        routers.iter().for_each(|router| socket.send(*router, &datagram));
    }
}

impl Router {
    /// Records which version began a stream, here and at its recorders.
    pub(crate) fn record_stream(&self, stream: StreamKey, version: &SoftwareVersion) {
        let records = &self.stream_records;
        records.versions.borrow_mut().record(self.now(), stream, version.clone());
        let recorders = stream.recorders(&self.ranked_routers.borrow());
        records.send(&recorders, &StreamMessage::Began { stream, version: version.clone() });
    }

    /// Handles a message of another router.
    pub(crate) fn on_stream_message(&self, from: SocketAddr, message: StreamMessage) {
        let records = &self.stream_records;
        match message {
            StreamMessage::Began { stream, version } => {
                records.versions.borrow_mut().record(self.now(), stream, version);
                records.arrived.notify_waiters();
            }
            StreamMessage::Query { stream } => {
                if let Some(version) = self.recorded_version(stream) {
                    records.send(&[from], &StreamMessage::Began { stream, version });
                }
            }
        }
    }

    fn recorded_version(&self, stream: StreamKey) -> Option<SoftwareVersion> {
        self.stream_records.versions.borrow().version(stream).cloned()
    }

    /// The version that began a stream, from the records of this router or of others. `None` if no
    /// record is found in time.
    pub(crate) async fn find_stream_version(&self, stream: StreamKey) -> Option<SoftwareVersion> {
        for _ in 0..MAX_QUERIES {
            if let Some(version) = self.recorded_version(stream) {
                return Some(version);
            }
            let candidates = stream.candidates(&self.ranked_routers.borrow());
            self.stream_records.send(&candidates, &StreamMessage::Query { stream });
            let next_query = Instant::now() + QUERY_INTERVAL;
            self.wait_for_record(stream, next_query).await;
        }
        self.recorded_version(stream)
    }

    /// Returns once a stream is recorded here, or at `until`.
    async fn wait_for_record(&self, stream: StreamKey, until: Instant) {
        loop {
            let arrived = self.stream_records.arrived.notified();
            if self.recorded_version(stream).is_some() || timeout_at(until, arrived).await.is_err()
            {
                return;
            }
        }
    }
}
