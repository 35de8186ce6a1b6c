//! Back ends and the record of the requests they executed.

use stackpost_types::{BackEndName, NodeId, RequestId, ServiceName, ZoneName};
use std::collections::BTreeMap;

/// One request that a back end started to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The back end.
    pub back_end: BackEndName,
    /// The request.
    pub request: RequestId,
    /// When it was received, in milliseconds.
    pub at: u64,
    /// Tokens of the complete response.
    pub tokens: u64,
}

/// A back end.
#[derive(Clone, Debug)]
pub struct SimBackEnd {
    pub zone: ZoneName,
    pub service: ServiceName,
    pub alive: bool,
    /// Point of the next request at which it crashes.
    pub crashes_at: Option<CrashPoint>,
    /// When it started leaving; the platform's list shows it later.
    pub leaving_since: Option<u64>,
    /// Attempts in progress, by router incarnation, call and attempt number.
    pub in_progress: BTreeMap<(NodeId, u64, u32), RequestId>,
}

/// A point of a request at which a back end crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Before the request is received.
    Before,
    /// While the request is executed.
    During,
    /// Right after the complete response was sent.
    After,
}

/// All back ends and everything they executed.
#[derive(Clone, Debug, Default)]
pub struct Engines {
    pub back_ends: BTreeMap<BackEndName, SimBackEnd>,
    pub executions: Vec<Execution>,
}

impl Engines {
    /// Records that a back end has started to execute a request.
    pub fn execute(&mut self, back_end: &BackEndName, request: RequestId, at: u64, tokens: u64) {
        let back_end = back_end.clone();
        self.executions.push(Execution { back_end, request, at, tokens });
    }
}
