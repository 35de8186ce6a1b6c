//! Whether a request may be sent to another engine.

use crate::request::{Progress, RequestContext};

/// Connection failures after which a request is not retried.
const MAX_UNREACHABLE: u32 = 4;

/// Why a request is not sent to another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoRetry {
    /// It may have run, and its route allows one run only.
    NotRepeatable,
    /// Its deadline has passed.
    DeadlineExceeded,
    /// It, or a part of it, is quarantined.
    Quarantined,
    /// Too many engines could not be reached.
    Unreachable,
    /// It was sent to as many engines as its route allows.
    NoAttemptLeft,
    /// An engine may have ended its response because the caller reads too slowly.
    EndedUnread,
    /// More urgent requests are admitted first.
    OutOfOrder,
    /// This router stops before a response can be expected.
    Stopping,
    /// The fleet's retry budget is spent.
    RetryBudget,
    /// No engine accepts it.
    NoEngine,
    /// Every other engine is silent as well.
    EnginesSilent,
    /// Every engine that is not silent would answer too late.
    EnginesLoaded,
}

impl NoRetry {
    /// The reason as written in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::Quarantined => "quarantined",
            Self::Unreachable => "unreachable",
            Self::NoAttemptLeft => "no_attempt_left",
            Self::EndedUnread => "ended_unread",
            Self::OutOfOrder => "out_of_order",
            Self::Stopping => "stopping",
            Self::RetryBudget => "retry_budget",
            Self::NoEngine => "no_engine",
            Self::EnginesSilent => "engines_silent",
            Self::EnginesLoaded => "engines_loaded",
        }
    }
}

impl RequestContext {
    /// Whether another attempt is allowed and can succeed. Counts it against the retry budget if
    /// so.
    pub fn try_retry(&self, progress: &Progress) -> Result<(), NoRetry> {
        self.check_retry(progress)?;
        if progress.tried.is_empty() { Ok(()) } else { self.count_retry() }
    }

    /// Counts a retry against the retry budget, if that allows one.
    pub fn count_retry(&self) -> Result<(), NoRetry> {
        let (now, mut budget) = (self.router.now(), self.router.retry_budget.borrow_mut());
        if budget.try_retry(now, &self.service) { Ok(()) } else { Err(NoRetry::RetryBudget) }
    }

    /// Whether another attempt is allowed, regardless of the retry budget.
    pub fn check_retry(&self, progress: &Progress) -> Result<(), NoRetry> {
        if progress.may_have_run && !self.route.kind.may_retry() {
            return Err(NoRetry::NotRepeatable);
        }
        if progress.ended_unread {
            return Err(NoRetry::EndedUnread);
        }
        if self.deadline.is_expired() {
            return Err(NoRetry::DeadlineExceeded);
        }
        if self.is_quarantined() {
            return Err(NoRetry::Quarantined);
        }
        if progress.unreachable.len() as u32 >= MAX_UNREACHABLE {
            return Err(NoRetry::Unreachable);
        }
        if self.attempts_left(progress) == 0 {
            return Err(NoRetry::NoAttemptLeft);
        }
        if !progress.tried.is_empty() && !self.retry_is_in_order(progress) {
            return Err(NoRetry::OutOfOrder);
        }
        Ok(())
    }

    /// Number of further engines that the route allows.
    pub fn attempts_left(&self, progress: &Progress) -> u32 {
        self.route.max_attempts.saturating_sub(progress.tried.len() as u32)
    }
}
