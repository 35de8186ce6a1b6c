//! HTTP client based on `hyper-util`.

use crate::server::BodyAborted;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame};
use hyper::body::{Bytes, Incoming};
use hyper::http::{Request, Response, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client as LegacyClient, Error as LegacyError};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::error::Error as _;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Idle connections are closed after this time. It is shorter than the servers' own idle timeout,
/// so that a request is not sent on a connection that the server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// The body of a request.
pub type ClientBody = UnsyncBoxBody<Bytes, BodyAborted>;
/// A response whose body has not been read yet.
pub type ClientAnswer = Response<Incoming>;

/// Error of a failed request.
#[derive(Debug)]
pub struct ClientError {
    /// Whether it is certain that no part of the request was sent.
    pub not_sent: bool,
    /// Failed step and its error.
    pub reason: String,
}

impl fmt::Display for ClientError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.reason)
    }
}

/// A client that reuses connections and never retries a request on its own.
#[derive(Clone, Debug)]
pub struct Client {
    inner: LegacyClient<HttpConnector, ClientBody>,
}

impl Default for Client {
    fn default() -> Self {
        Self::build(usize::MAX)
    }
}

impl Client {
    /// Sends a request and waits for the head of the response.
    pub async fn send(&self, request: Request<ClientBody>) -> Result<ClientAnswer, ClientError> {
        self.inner.request(request).await.map_err(into_error)
    }

    /// Sends a request with a complete body and reads the complete response, within `limit`.
    pub async fn exchange(
        &self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let request = request.map(Self::whole);
        let round_trip = async {
            let response = self.send(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await.map_err(|error| ClientError {
                not_sent: false,
                reason: format!("receive: {error}"),
            })?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(limit, round_trip).await.unwrap_or_else(|_| {
            Err(ClientError { not_sent: false, reason: format!("no answer in {limit:?}") })
        })
    }

    /// A client that opens a new connection for every request, so that a connect error proves that
    /// nothing was sent, and no request is sent on a connection that the server is closing.
    pub fn unpooled() -> Self {
        Self::build(0)
    }

    fn build(max_idle_per_host: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = LegacyClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle_per_host)
            // A retried request could be executed twice; the router decides on retries.
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }

    /// A body streamed from a channel; an error in the channel aborts the request.
    pub fn streamed(chunks: mpsc::Receiver<Result<Bytes, BodyAborted>>) -> ClientBody {
        ChannelBody(chunks).boxed_unsync()
    }

    /// A buffered body.
    pub fn whole(bytes: Bytes) -> ClientBody {
        Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
    }
}

fn into_error(error: LegacyError) -> ClientError {
    let not_sent = error.is_connect();
    let step = if not_sent { "connect" } else { "send" };
    let cause = error.source().map(|source| format!(": {source}")).unwrap_or_default();
    ClientError { not_sent, reason: format!("{step}: {error}{cause}") }
}

struct ChannelBody(mpsc::Receiver<Result<Bytes, BodyAborted>>);

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        self.0.poll_recv(context).map(|chunk| chunk.map(|result| result.map(Frame::data)))
    }
}
