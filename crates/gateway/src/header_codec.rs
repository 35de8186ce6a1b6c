//! What a platform writes into the headers of requests and answers.

use hyper::{HeaderMap, StatusCode};
use stackpost_gateway_core::RateStatement;
use stackpost_types::{BackEndName, Millis, TenantName, Tokens};
use thiserror::Error;

/// What a request says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// Names the attempt of the caller.
    pub id: String,
    /// How long the caller waits.
    pub wait: Option<Millis>,
    /// The caller's key.
    pub key: Option<String>,
    /// Set for requests to model engines.
    pub generation: Option<Generation>,
    /// The last event that the caller has of a stream it takes up again.
    pub last_event: Option<u64>,
}

/// What a generation needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generation {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of the parts of the prompt that other requests share; at most `prompt`.
    pub shared: Tokens,
    /// Most tokens to be generated.
    pub max_generated: Tokens,
    /// Hash of the last part of the prompt that other requests share.
    pub subject: Option<u64>,
}

impl Generation {
    /// The most that the request can cost.
    pub fn max_cost(&self) -> Tokens {
        self.prompt + self.max_generated
    }
}

/// A request whose headers can't be understood.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("header `{header}` can't be read")]
pub struct MalformedHeader {
    /// The header.
    pub header: &'static str,
}

/// What the router tells an engine beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct EngineRequestHeaders<'a> {
    /// The engine that is meant; any other must turn the request away.
    pub engine: &'a BackEndName,
    /// The caller's tenant, if known.
    pub tenant: Option<&'a TenantName>,
    /// How long the engine may work.
    pub wait: Millis,
    /// Urgency; 0 is the highest.
    pub priority: u32,
    /// The event after which a stream is to go on.
    pub last_event: Option<u64>,
    /// Whether callers' keys must not be shown.
    pub strip_key: bool,
}

/// What an answer's head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The engine did not run the request and never will.
    NotRun,
    /// The engine that was meant is not there any more; the request did not run.
    WrongEngine,
    /// The answer belongs to another request.
    OtherRequest,
    /// The engine's answer to this request.
    Verified,
    /// Nothing shows that an engine made this answer.
    Unsigned,
}

/// What an engine asks of this router in the head of an answer, whatever becomes of the request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineDirectives {
    /// It wants no request for so long.
    pub backoff: Option<Millis>,
    /// It leaves: it wants no new request at all.
    pub leaving: bool,
    /// The requests a second that it takes from all routers together.
    pub rate: RateStatement,
    /// Headers whose value is none that the platform knows; they ask for nothing.
    pub malformed: Vec<&'static str>,
}

/// Reads and writes headers the way a platform has fixed it.
pub trait HeaderCodec {
    /// Called once for each request, before anything is decided about it.
    fn read_request(&self, headers: &HeaderMap) -> Result<CallerRequest, MalformedHeader>;

    /// Called for each attempt, with the caller's headers, before they are sent to an engine.
    fn write_engine_headers(&self, headers: &mut HeaderMap, addressing: &EngineRequestHeaders<'_>);

    /// Called when the head of an engine's answer is in.
    fn classify_response(
        &self,
        request: &CallerRequest,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseClass;

    /// Called after [`Self::classify_response`], with the same head. Asks for nothing unless the head says
    /// that the engine made it for this request.
    fn read_directives(
        &self,
        request: &CallerRequest,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> EngineDirectives;
}
