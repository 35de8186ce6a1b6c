//! Platform-specific headers of requests and responses.

use hyper::{HeaderMap, StatusCode};
use stackpost_gateway_core::{Fingerprint, RateStatement};
use stackpost_types::{BackEndName, EventId, Millis, TenantName, Tokens};
use thiserror::Error;

/// What the headers of a caller's request state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// The caller's id of this attempt.
    pub id: String,
    /// The caller's timeout.
    pub wait: Option<Millis>,
    /// The caller's API key.
    pub key: Option<String>,
    /// Set for requests to model engines.
    pub generation: Option<Generation>,
    /// The last event that the caller received of a stream that it resumes.
    pub last_event: Option<EventId>,
    /// The id of the caller's attempt that began the stream that it resumes.
    pub resumes: Option<String>,
    /// The parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<Fingerprint>,
}

/// The size of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generation {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of the parts of the prompt that other requests share; at most `prompt`.
    pub shared: Tokens,
    /// Maximum number of tokens to be generated.
    pub max_generated: Tokens,
    /// Hash of the last part of the prompt that other requests share.
    pub prefix_hash: Option<u64>,
}

impl Generation {
    /// The maximum cost of the request.
    pub fn max_cost(&self) -> Tokens {
        self.prompt + self.max_generated
    }
}

/// A request with a malformed header.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("header `{header}` is malformed")]
pub struct MalformedHeader {
    /// Name of the header.
    pub header: &'static str,
}

/// What the router sends to an engine in addition to the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct EngineRequestHeaders<'a> {
    /// The intended engine; any other must reject the request.
    pub engine: &'a BackEndName,
    /// The caller's tenant, if known.
    pub tenant: Option<&'a TenantName>,
    /// Time within which the engine must respond.
    pub wait: Millis,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// The event after which a stream is to be resumed.
    pub last_event: Option<EventId>,
    /// Whether callers' keys must be removed.
    pub strip_key: bool,
}

/// What the head of a response shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The engine did not run the request and never will.
    NotRun,
    /// The intended engine is not at this address any more; the request did not run.
    WrongEngine,
    /// The response belongs to another request.
    OtherRequest,
    /// The engine's response to this request.
    Verified,
    /// Nothing shows that an engine made this response.
    Unsigned,
}

/// What an engine asks of this router in the head of a response, whatever the result of the
/// request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineDirectives {
    /// Time for which it asks to receive no requests.
    pub backoff: Option<Millis>,
    /// It leaves and accepts no new requests.
    pub leaving: bool,
    /// The rate limit that it states, in requests per second from all routers together.
    pub rate: RateStatement,
    /// Number of requests per second, from all routers together, that it can reject for want of
    /// room without falling over. `None` if it is not brittle.
    pub brittle: Option<u32>,
    /// Headers with a malformed value; they are ignored.
    pub malformed: Vec<&'static str>,
}

/// Reads and writes the headers of a platform.
pub trait HeaderCodec {
    /// Called once for each request, before any decision about it.
    fn read_request(&self, headers: &HeaderMap) -> Result<CallerRequest, MalformedHeader>;

    /// Called for each attempt, with the caller's headers, before they are sent to an engine.
    fn write_engine_headers(
        &self,
        headers: &mut HeaderMap,
        engine_headers: &EngineRequestHeaders<'_>,
    );

    /// The header in which a response repeats the id of its request.
    fn request_id_header(&self) -> &'static str;

    /// Called when the head of an engine's response was received.
    fn classify_response(
        &self,
        request: &CallerRequest,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseClass;

    /// Called after [`Self::classify_response`], with the same head. Returns no directives unless
    /// the head shows that the engine made it for this request.
    fn read_directives(
        &self,
        request: &CallerRequest,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> EngineDirectives;
}
