//! What is asked of the [`crate::EnginePicker`], and what it answers.

use crate::directory::EngineRecord;
use crate::engine_load::{GenerationWork, Placement};
use crate::plain_choice::PlainExpectation;
use stackpost_types::{BackEndName, Millis, ServiceName};

/// How an attempt at an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The engine responded, with success or with an error that is not counted against it.
    Responded,
    /// The engine responded with an error of its own.
    EngineError,
    /// The engine responded that it has no free capacity.
    Full,
    /// The engine asked for a backoff. This is a request of the engine, not a failure.
    BackoffRequested,
    /// No connection could be established.
    Unreachable,
    /// The connection was interrupted, or the response was invalid or not received in time.
    Interrupted,
    /// The caller disconnected, the deadline passed or the request was not sent; this shows nothing
    /// about the engine.
    Abandoned,
}

/// The engine chosen for a request.
#[derive(Clone, Debug)]
pub struct EngineChoice {
    /// The engine.
    pub engine: EngineRecord,
    /// The placement of a generation; `None` for other requests.
    pub placement: Option<Placement>,
    /// What is expected of the engine for a request that is not a generation; `None` unless it was
    /// chosen by expected wait.
    pub expected: Option<PlainExpectation>,
    /// The engine's standing when it was chosen. Unless it is good, there was no good one left.
    pub standing: Standing,
}

/// The properties of a request that determine the choice of an engine.
#[derive(Clone, Copy)]
pub struct PickQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Hash of the request's subject.
    pub prefix_hash: Option<u64>,
    /// The work of a generation; `None` for requests to other services.
    pub work: Option<GenerationWork>,
    /// Engines that already had an attempt at the request.
    pub tried: &'a [BackEndName],
    /// Whether an engine has room for the request, by its stated limits.
    pub has_room: &'a dyn Fn(&EngineRecord) -> bool,
    /// Whether an engine has rejected the request before. Such a request is not used to probe an
    /// engine after its backoff.
    pub is_retry: bool,
    /// Breaks ties between engines.
    pub tie_breaker: u64,
}

impl AttemptEnd {
    /// The end as written in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Responded => "answered",
            Self::EngineError => "engine_error",
            Self::Full => "full",
            Self::BackoffRequested => "asked_for_rest",
            Self::Unreachable => "unreachable",
            Self::Interrupted => "broken",
            Self::Abandoned => "abandoned",
        }
    }
}

/// How suitable an engine is for this router; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// No reason to avoid it.
    Good,
    /// It has not been announced recently.
    Silent,
    /// It has failed recently, or its zone is unreachable.
    Failing,
}

impl Standing {
    /// The standing as written in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Silent => "silent",
            Self::Failing => "failing",
        }
    }
}

/// Whether a service's engines accept requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceAvailability {
    /// At least one engine accepts requests.
    Available,
    /// Every engine that is ready has asked for a backoff.
    AllBackingOff {
        /// Time until a request may be sent to the first of them.
        soonest: Millis,
        /// The first of them.
        engine: BackEndName,
    },
    /// No engine is ready.
    NoEngine,
}
