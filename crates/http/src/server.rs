//! HTTP server based on `xitca-web`.

use crate::watch::{ConnectionWatch, Connections, WatchedListener};
use hyper::body::Bytes;
use hyper::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};
use stackpost_types::{PeerError, Step};
use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;
use xitca_web::HttpServer;
use xitca_web::body::{Body, Frame, RequestBody, ResponseBody, SizeHint};
use xitca_web::http::{WebRequest, WebResponse};
use xitca_web::service::fn_service;

/// Largest head of a request, in bytes.
const MAX_HEADER_BYTES: usize = 64 * 1024;

/// Streamed body of a request.
pub struct RequestStream(RequestBody);

/// Error while reading a request body.
#[derive(Debug)]
pub enum BodyError {
    /// The body exceeds the limit.
    TooLarge,
    /// The connection failed or was closed before the end of the body.
    Incomplete(String),
}

impl RequestStream {
    /// The next chunk; `None` at the end.
    pub async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let next_frame =
                std::future::poll_fn(|context| Pin::new(&mut self.0).poll_frame(context));
            match next_frame.await? {
                Ok(Frame::Data(data)) => return Some(Ok(data)),
                Ok(Frame::Trailers(_)) => {}
                Err(error) => return Some(Err(BodyError::Incomplete(error.to_string()))),
            }
        }
    }

    /// Reads the complete body; an error if it has more than `limit` bytes.
    pub async fn read_all(&mut self, limit: usize) -> Result<Bytes, BodyError> {
        let mut body = Vec::new();
        while let Some(chunk) = self.next().await {
            let chunk = chunk?;
            if body.len() + chunk.len() > limit {
                return Err(BodyError::TooLarge);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.into())
    }
}

/// A request with the address and the state of its connection.
pub struct Exchange {
    /// Request method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: RequestStream,
    /// Address of the caller.
    pub peer: SocketAddr,
    /// Reports when the caller closes the connection; `None` if the connection is not known.
    pub watch: Option<ConnectionWatch>,
}

/// Error that aborts a body: the connection is closed in the middle of it, so that the receiver
/// does not take the body for complete.
#[derive(Debug)]
pub struct BodyAborted;

impl fmt::Display for BodyAborted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("body aborted before its end")
    }
}

impl std::error::Error for BodyAborted {}

/// Body of a response.
pub enum AnswerBody {
    /// Buffered body.
    Whole(Bytes),
    /// Body streamed from a channel, until the channel closes.
    Stream(mpsc::Receiver<Result<Bytes, BodyAborted>>),
}

/// A response.
pub struct Answer {
    /// Response status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: AnswerBody,
}

impl Answer {
    /// A response with a buffered body.
    pub fn whole(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(hyper::header::CONTENT_TYPE, HeaderValue::from_static(content_type));
        Self { status, headers, body: AnswerBody::Whole(body.into()) }
    }

    /// A response in JSON; status 500 if `value` cannot be serialized.
    pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::whole(status, "application/json", body),
            Err(error) => Self::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    /// A response in plain text.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        Self::whole(status, "text/plain; charset=utf-8", text.into())
    }

    /// Adds a header; an invalid value is ignored.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }
}

/// Configuration of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// Listen address.
    pub address: SocketAddr,
    /// Number of threads that handle requests.
    pub threads: usize,
}

/// Starts a server that calls `handler` for every request, on threads of its own, until the process
/// ends. The listener is bound when this returns.
pub fn serve<H, F>(options: ServerOptions, handler: H) -> Result<(), PeerError>
where
    H: Fn(Exchange) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + 'static,
{
    let listen_error = |error: std::io::Error| PeerError::new(Step::Listen, options.address, error);
    let listener = std::net::TcpListener::bind(options.address).map_err(listen_error)?;
    let connections = Connections::default();
    let listener = WatchedListener { listener, connections: connections.clone() };
    let service_connections = connections.clone();
    let service = fn_service(move |request: WebRequest<RequestBody>| {
        let handler = handler.clone();
        let connections = service_connections.clone();
        async move {
            let exchange = into_exchange(request, &connections);
            Ok::<_, Infallible>(into_response(handler(exchange).await))
        }
    });
    let server = HttpServer::serve(service)
        .worker_threads(options.threads)
        .disable_signal()
        .max_read_buf_size::<MAX_HEADER_BYTES>()
        .listen(listener)
        .map_err(listen_error)?;
    std::thread::Builder::new()
        .name("http-server".into())
        .spawn(move || run_server(server.run(), connections))
        .map_err(listen_error)?;
    Ok(())
}

fn run_server(server: impl Future<Output = std::io::Result<()>>, connections: Connections) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(async {
            tokio::spawn(connections.run_cleanup());
            if let Err(error) = server.await {
                log::error!("HTTP server stopped: {error}");
            }
        }),
        Err(error) => log::error!("failed to start the runtime of the HTTP server: {error}"),
    }
}

fn into_exchange(request: WebRequest<RequestBody>, connections: &Connections) -> Exchange {
    let (parts, extension) = request.into_parts();
    let peer = *extension.socket_addr();
    let (_, body) = extension.replace_body(());
    Exchange {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body: RequestStream(body),
        peer,
        watch: connections.watch(&peer),
    }
}

fn into_response(answer: Answer) -> WebResponse<ResponseBody> {
    let body = match answer.body {
        AnswerBody::Whole(bytes) => ResponseBody::bytes(bytes),
        AnswerBody::Stream(chunks) => ResponseBody::boxed(ChannelBody(chunks)),
    };
    let mut response = WebResponse::new(body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

struct ChannelBody(mpsc::Receiver<Result<Bytes, BodyAborted>>);

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        self.0.poll_recv(context).map(|chunk| chunk.map(|result| result.map(Frame::Data)))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Unknown
    }
}
