//! Traces of requests: the steps of each request and their reasons, for `explain`.

use crate::refusal::Refusal;
use serde::{Deserialize, Serialize};
use stackpost_balance::Candidate;
use stackpost_ledger::BillKind;
use stackpost_types::*;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// Maximum number of stored traces.
const MAX_TRACES: usize = 2_000;

/// One step in the processing of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum TraceStep {
    Admitted {
        tenant: TenantName,
        budget: BudgetName,
        service: ServiceName,
        bound: Tokens,
    },
    KeyAsked {
        keeper: NodeId,
    },
    KeyGranted,
    KeyHeld {
        request: RequestId,
        account: AccountId,
    },
    RightsWanted {
        available: Tokens,
        bound: Tokens,
    },
    RightsAsked {
        account: AccountId,
        need: Tokens,
    },
    Reserved {
        account: AccountId,
        bound: Tokens,
    },
    Waiting {
        reason: String,
    },
    Chosen {
        candidates: Vec<Candidate>,
    },
    Dispatched {
        back_end: BackEndName,
        number: u32,
    },
    AttemptFailed {
        number: u32,
        reason: String,
    },
    CallerGone,
    Billed {
        tokens: Tokens,
        kind: BillKind,
    },
    Finished,
    Replayed {
        request: RequestId,
    },
    Refused(Refusal),
    #[serde(rename = "RestAsked")]
    BackoffRequested {
        back_end: BackEndName,
        #[serde(rename = "rest")]
        backoff: Millis,
    },
}

impl fmt::Display for TraceStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Admitted { tenant, budget, service, bound } => write!(
                formatter,
                "admitted for tenant {tenant}, budget {budget}, service {service}; may cost {bound}"
            ),
            Self::KeyAsked { keeper } => write!(formatter, "asked {keeper} for the key"),
            Self::KeyGranted => write!(formatter, "key granted"),
            Self::KeyHeld { request, account } => {
                write!(formatter, "key held by request {request} of account {account}")
            }
            Self::RightsWanted { available, bound } => {
                write!(formatter, "holds {available}, needs {bound}")
            }
            Self::RightsAsked { account, need } => {
                write!(formatter, "asked account {account} for {need}")
            }
            Self::Reserved { account, bound } => {
                write!(formatter, "reserved {bound} in account {account}")
            }
            Self::Waiting { reason } => write!(formatter, "waits: {reason}"),
            Self::Chosen { candidates } => write_candidates(formatter, candidates),
            Self::Dispatched { back_end, number } => {
                write!(formatter, "attempt {number} sent to {back_end}")
            }
            Self::AttemptFailed { number, reason } => {
                write!(formatter, "attempt {number} failed: {reason}")
            }
            Self::BackoffRequested { back_end, backoff } => {
                write!(formatter, "{back_end} wants no request for {} ms", backoff.0)
            }
            Self::CallerGone => write!(formatter, "caller went away"),
            Self::Billed { tokens, kind } => write!(formatter, "billed {tokens} ({kind:?})"),
            Self::Finished => write!(formatter, "answer complete"),
            Self::Replayed { request } => {
                write!(formatter, "answered with the kept answer of {request}")
            }
            Self::Refused(refusal) => write!(
                formatter,
                "refused: {} ({}): {}",
                refusal.reason,
                refusal.outcome.as_str(),
                refusal.detail
            ),
        }
    }
}

fn write_candidates(formatter: &mut fmt::Formatter<'_>, candidates: &[Candidate]) -> fmt::Result {
    write!(formatter, "chose among")?;
    for candidate in candidates {
        write!(
            formatter,
            " {}(cost {}, load {}, cached {}{})",
            candidate.back_end,
            candidate.cost,
            candidate.load,
            candidate.cached_blocks,
            if candidate.same_zone { "" } else { ", other zone" }
        )?;
    }
    Ok(())
}

/// The steps of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trace {
    /// The request.
    pub request: RequestId,
    /// The steps, each with its time on the router's monotonic clock.
    pub steps: Vec<(Timestamp, TraceStep)>,
}

/// Traces of the newest requests.
#[derive(Debug, Default)]
pub(crate) struct Traces {
    by_request: BTreeMap<RequestId, Trace>,
    order: VecDeque<RequestId>,
}

impl Traces {
    pub fn trace_step(&mut self, now: Timestamp, request: RequestId, step: TraceStep) {
        if !self.by_request.contains_key(&request) {
            self.order.push_back(request);
            self.by_request.insert(request, Trace { request, steps: Vec::new() });
        }
        if let Some(trace) = self.by_request.get_mut(&request) {
            trace.steps.push((now, step));
        }
        if self.order.len() > MAX_TRACES
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_request.remove(&oldest);
        }
    }

    pub fn get(&self, request: &RequestId) -> Option<&Trace> {
        self.by_request.get(request)
    }

    pub fn newest(&self, count: usize) -> impl Iterator<Item = &Trace> {
        self.order.iter().rev().take(count).filter_map(|request| self.by_request.get(request))
    }
}
