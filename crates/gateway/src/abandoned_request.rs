//! Requests that are given up before the engine has responded.
//!
//! The engine may not have read such a request, and what its machine has received is read even after
//! the connection has been closed. So only this router's direction is closed, which tells the engine
//! that the caller has gone, and the connection stays open until the engine shows what became of the
//! request.

use crate::connection_pool::{ConnectionPath, EngineConnection};
use crate::decision_log;
use crate::router::Router;
use stackpost_gateway_core::DispatchedRequest;
use stackpost_types::BackEndName;
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Longest time for which a connection is kept open: longer than an engine waits for the
/// acknowledgement of its departure.
pub(crate) const OBSERVATION_LIMIT: Duration = Duration::from_secs(60);
/// Connections that are kept open at the same time. Each needs a descriptor.
const MAX_OBSERVED: usize = 512;

/// What a connection shows of the request that was written to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestFate {
    /// The engine has read it or never will: it has sent something or closed the connection.
    Settled,
    /// The connection is lost, or has shown nothing for a long time.
    Unknown,
}

/// By what a request was settled, or why it can't be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// The response to this request.
    Response,
    /// Other bytes, or the head of another response.
    OtherBytes,
    /// The end of the engine's direction.
    EndOfStream,
    /// The reset of a direct connection.
    Reset,
    /// Nothing of the request was written.
    NotWritten,
    /// The connection is lost, or has shown nothing for a long time.
    Lost,
}

impl Evidence {
    /// As written in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::OtherBytes => "other_bytes",
            Self::EndOfStream => "end_of_stream",
            Self::Reset => "reset",
            Self::NotWritten => "not_written",
            Self::Lost => "lost",
        }
    }

    /// What the evidence shows of the request.
    fn fate(self) -> RequestFate {
        if self == Self::Lost { RequestFate::Unknown } else { RequestFate::Settled }
    }

    /// What an error of the connection shows. A relay's end shows nothing of the engine.
    pub fn of_error(path: ConnectionPath, error: &io::Error) -> Self {
        let is_end = matches!(error.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe);
        match path {
            ConnectionPath::Direct if is_end => Self::Reset,
            ConnectionPath::Direct | ConnectionPath::Relayed => Self::Lost,
        }
    }

    /// What the end of an exchange shows.
    pub fn of_exchange(path: ConnectionPath, error: &hyper::Error) -> Self {
        if error.is_incomplete_message() {
            return Self::EndOfStream;
        }
        let mut source = std::error::Error::source(error);
        while let Some(error) = source {
            if let Some(error) = error.downcast_ref::<io::Error>() {
                return Self::of_error(path, error);
            }
            source = error.source();
        }
        // What can't be parsed was sent by the engine.
        if error.is_parse() { Self::OtherBytes } else { Self::Lost }
    }
}

/// Closes this router's direction of a connection and waits for anything from the engine.
pub(crate) async fn observe<S>(mut stream: S, path: ConnectionPath) -> Evidence
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut byte = [0];
    let observing = async {
        stream.shutdown().await?;
        stream.read(&mut byte).await
    };
    match timeout(OBSERVATION_LIMIT, observing).await {
        Ok(Ok(0)) => Evidence::EndOfStream,
        Ok(Ok(_)) => Evidence::OtherBytes,
        Ok(Err(error)) => Evidence::of_error(path, &error),
        Err(_) => Evidence::Lost,
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
        let mut picker = self.picker.borrow_mut();
        match evidence.fate() {
            RequestFate::Settled => picker.on_request_settled(engine, request),
            RequestFate::Unknown => picker.on_connection_lost(engine, request),
        }
    }
}
