//! Requests that are given up before the engine has responded.
//!
//! The engine may not have read such a request, and what its machine has received is read even after
//! the connection has been closed. So only this router's direction is closed, which tells the engine
//! that the caller has gone, and the connection stays open until it shows what became of the request.

use crate::connection_pool::EngineConnection;
use crate::decision_log;
use crate::observed_stream::{EngineStream, ObservedStream};
use crate::router::Router;
use futures::FutureExt;
use stackpost_gateway_core::{DispatchedRequest, Evidence, RequestEvidence};
use stackpost_types::BackEndName;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

/// Longest time for which a connection is kept open: longer than an engine waits for the
/// acknowledgement of its departure.
pub(crate) const OBSERVATION_LIMIT: Duration = Duration::from_secs(60);
/// Connections that are kept open at the same time. Each needs a descriptor.
const MAX_OBSERVED: usize = 512;
/// Size of the buffer in which received bytes are read.
const BUFFER_BYTES: usize = 1_024;
/// Maximum number of bytes that are read. The connection is then watched without reading, so that
/// an engine that sends without end must wait. There is no limit in time: an engine that has sent a
/// few stray bytes may still show later that it has read the request.
const MAX_READ_BYTES: usize = 1024 * 1024;
/// Interval between checks of a connection that is watched without reading.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Times after the end of the engine's direction at which the socket is checked. An engine that has
/// closed the connection resets it when the request arrives.
const RESET_CHECKS: [Duration; 4] = [
    Duration::from_millis(5),
    Duration::from_millis(20),
    Duration::from_millis(100),
    Duration::from_millis(500),
];

/// Closes this router's direction of a connection and waits until it shows what became of its
/// request.
pub(crate) async fn observe<S: EngineStream>(mut stream: ObservedStream<S>) -> Evidence {
    // The result is what the stream has recorded, or that it showed nothing in time.
    let _ = timeout(OBSERVATION_LIMIT, wait_for_evidence(&mut stream)).await;
    stream.evidence().record(RequestEvidence::on_given_up);
    stream.evidence().shown().unwrap_or(Evidence::Lost)
}

async fn wait_for_evidence<S: EngineStream>(stream: &mut ObservedStream<S>) {
    let mut bytes_left = MAX_READ_BYTES;
    // What has arrived already comes before this router's own end.
    let mut reading = read_on(stream, &mut bytes_left).now_or_never();
    if stream.evidence().is_pending() && !stream.evidence().has_ended() {
        // A failure is recorded, and the reads show it as well.
        let _ = stream.shutdown().await;
        if reading.is_none() {
            reading = Some(read_on(stream, &mut bytes_left).await);
        }
    }
    if reading == Some(Reading::LimitReached) {
        return watch(stream).await;
    }
    for pause in RESET_CHECKS {
        stream.check_socket();
        if !stream.evidence().is_pending() {
            return;
        }
        sleep(pause).await;
    }
    stream.check_socket();
}

/// How the reading of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// The engine's direction has ended, or the connection has shown what became of the request.
    Over,
    /// More may follow.
    LimitReached,
}

/// Reads up to `bytes_left` bytes.
async fn read_on<S: EngineStream>(
    stream: &mut ObservedStream<S>,
    bytes_left: &mut usize,
) -> Reading {
    let mut buffer = [0; BUFFER_BYTES];
    while stream.evidence().is_pending() {
        if *bytes_left == 0 {
            return Reading::LimitReached;
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return Reading::Over,
            Ok(length) => *bytes_left = bytes_left.saturating_sub(length),
        }
    }
    Reading::Over
}

/// Waits until the connection shows without being read what became of the request.
async fn watch<S: EngineStream>(stream: &mut ObservedStream<S>) {
    while stream.evidence().is_pending() {
        stream.check_socket();
        sleep(WATCH_INTERVAL).await;
    }
}

/// Number of connections that are observed.
#[derive(Debug, Default)]
pub(crate) struct ObservedConnections(Cell<usize>);

impl Router {
    /// Gives up a request to which the engine has not responded.
    pub(crate) fn abandon(
        self: &Rc<Self>,
        engine: &BackEndName,
        request: DispatchedRequest,
        connection: EngineConnection,
    ) {
        let observed = &self.observed_connections.0;
        if observed.get() >= MAX_OBSERVED {
            connection.close();
            return self.on_evidence(engine, request, Evidence::Lost);
        }
        observed.set(observed.get() + 1);
        let (router, engine, evidence) = (self.clone(), engine.clone(), connection.abandon());
        tokio::task::spawn_local(async move {
            let evidence = evidence.await;
            let observed = &router.observed_connections.0;
            observed.set(observed.get() - 1);
            router.on_evidence(&engine, request, evidence);
        });
    }

    /// Records what a connection has shown of a request.
    pub(crate) fn on_evidence(
        &self,
        engine: &BackEndName,
        request: DispatchedRequest,
        evidence: Evidence,
    ) {
        self.metrics.on_evidence(evidence);
        decision_log::settled(self, engine, request, evidence);
        self.picker.borrow_mut().on_evidence(self.now(), engine, request, evidence);
    }
}
