//! HTTP for the fleet's processes: servers based on `xitca-web`, clients based on `hyper-util`.
//!
//! `xitca-web` does not notify a handler when its caller closes the connection. [`ConnectionWatch`]
//! therefore polls the socket itself, so that a waiting request can be cancelled.

mod client;
mod server;
mod watch;

pub use client::{Client, ClientAnswer, ClientBody, ClientError};
pub use server::{
    Answer, AnswerBody, BodyAborted, BodyError, Exchange, RequestStream, ServerOptions, serve,
};
pub use watch::ConnectionWatch;

pub use hyper::body::Bytes;
pub use hyper::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri, header};
