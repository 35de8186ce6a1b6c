//! Requests that are given up before the engine has responded.
//!
//! The engine may not have read such a request, and what its machine has received is read even after
//! the connection has been closed. So only this router's direction is closed, which tells the engine
//! that the caller has gone, and the connection stays open until the engine shows what became of the
//! request.

use crate::connection_pool::{ConnectionPath, EngineConnection};
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
pub(crate) enum RequestFate {
    /// The engine has read it or never will: it has sent something or closed the connection.
    Settled,
    /// The connection is lost, or has shown nothing for a long time.
    Unknown,
}

impl RequestFate {
    /// What an error of the connection shows. A relay's end shows nothing of the engine.
    pub fn of_error(path: ConnectionPath, error: &io::Error) -> Self {
        let is_end = matches!(error.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe);
        match path {
            ConnectionPath::Direct if is_end => Self::Settled,
            ConnectionPath::Direct | ConnectionPath::Relayed => Self::Unknown,
        }
    }

    /// What the end of an exchange shows.
    pub fn of_exchange(path: ConnectionPath, error: &hyper::Error) -> Self {
        if error.is_incomplete_message() {
            return Self::Settled;
        }
        let mut source = std::error::Error::source(error);
        while let Some(error) = source {
            if let Some(error) = error.downcast_ref::<io::Error>() {
                return Self::of_error(path, error);
            }
            source = error.source();
        }
        // What can't be parsed was sent by the engine.
        if error.is_parse() { Self::Settled } else { Self::Unknown }
    }
}

/// Closes this router's direction of a connection and waits for anything from the engine.
pub(crate) async fn observe<S>(mut stream: S, path: ConnectionPath) -> RequestFate
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut byte = [0];
    let observing = async {
        stream.shutdown().await?;
        stream.read(&mut byte).await
    };
    match timeout(OBSERVATION_LIMIT, observing).await {
        Ok(Ok(_)) => RequestFate::Settled,
        Ok(Err(error)) => RequestFate::of_error(path, &error),
        Err(_) => RequestFate::Unknown,
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
            return self.on_fate(engine, request, RequestFate::Unknown);
        }
        observed.set(observed.get() + 1);
        let (router, engine, fate) = (self.clone(), engine.clone(), connection.abandon());
        tokio::task::spawn_local(async move {
            let fate = fate.await;
            let observed = &router.observed_connections.0;
            observed.set(observed.get() - 1);
            router.on_fate(&engine, request, fate);
        });
    }

    /// Records what became of a request.
    pub(crate) fn on_fate(
        &self,
        engine: &BackEndName,
        request: DispatchedRequest,
        fate: RequestFate,
    ) {
        let mut picker = self.picker.borrow_mut();
        match fate {
            RequestFate::Settled => picker.on_request_settled(engine, request),
            RequestFate::Unknown => picker.on_connection_lost(engine, request),
        }
    }
}
