//! The attempts of one request: one after the other, and several at the same time while the earlier
//! ones are silent. [`Hedging`] decides when.
//!
//! Invariant: an attempt in flight ends by its own result, or because another one has delivered.

use crate::attempt::{AttemptStart, LastHeard, SelectedEngine};
use crate::buffered_response::BufferedResponse;
use crate::hedging_log::{self, AwaitedPart, HedgeEnd};
use crate::request::{Progress, RequestContext};
use crate::retry::NoRetry;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, pending, poll_fn};
use stackpost_gateway_core::{EngineRecord, HedgeStep, Hedging, Sightings};
use stackpost_types::{BackEndName, Timestamp};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// What a failed attempt shows of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureEffect {
    /// The engine could not be reached, so the request did not run there.
    Unreachable,
    /// The engine states that it did not run the request.
    NotRun,
    /// The request may have run.
    MayHaveRun,
    /// The engine may have ended the response because it was left unread.
    EndedUnread,
}

/// An attempt that yielded nothing for the caller.
pub(crate) struct FailedAttempt {
    pub effect: FailureEffect,
    /// An engine's error response, for the caller if no other attempt succeeds.
    pub response: Option<BufferedResponse>,
}

impl FailedAttempt {
    /// A failed attempt without a response.
    pub fn new(effect: FailureEffect) -> Self {
        Self { effect, response: None }
    }
}

/// An attempt in progress.
pub(crate) type AttemptFuture<'a, T> = LocalBoxFuture<'a, Result<T, FailedAttempt>>;

/// Begins an attempt.
pub(crate) type BeginAttempt<'a, T> = Box<dyn Fn(AttemptStart) -> AttemptFuture<'a, T> + 'a>;

/// An attempt whose result is awaited.
pub(crate) struct InFlight<'a, T> {
    pub engine: Rc<EngineRecord>,
    pub began: Instant,
    pub last_heard: LastHeard,
    pub future: AttemptFuture<'a, T>,
}

impl<T> InFlight<'_, T> {
    pub fn name(&self) -> &BackEndName {
        &self.engine.notice.engine
    }
}

/// The attempts at one part of a response, of which the first to deliver is kept.
pub(crate) struct HedgedAttempts<'a, T> {
    context: &'a RequestContext,
    progress: &'a mut Progress,
    part: AwaitedPart,
    begin: BeginAttempt<'a, T>,
    hedging: Hedging,
    /// In the order in which they began.
    in_flight: Vec<InFlight<'a, T>>,
    /// Whether it was logged that no other engine could be asked.
    has_logged_denial: bool,
}

enum Arrival<T> {
    /// An attempt has ended, by its index.
    Ended(usize, Result<T, FailedAttempt>),
    /// It is time for the next decision.
    Due,
}

impl<'a, T> HedgedAttempts<'a, T> {
    /// Without a first attempt, the first engine is selected as well.
    pub fn new(
        context: &'a RequestContext,
        progress: &'a mut Progress,
        part: AwaitedPart,
        first: Option<InFlight<'a, T>>,
        begin: BeginAttempt<'a, T>,
    ) -> Self {
        Self {
            context,
            progress,
            part,
            begin,
            hedging: Hedging::new(context.hedge_terms(part)),
            in_flight: first.into_iter().collect(),
            has_logged_denial: false,
        }
    }

    /// Runs attempts until one delivers, or until none is in flight and no other may be made.
    pub async fn run(mut self) -> Result<T, NoRetry> {
        loop {
            if self.in_flight.is_empty() {
                self.begin_next().await?;
            }
            match self.next_arrival().await {
                Arrival::Ended(index, Ok(delivered)) => {
                    self.on_delivered(index);
                    return Ok(delivered);
                }
                Arrival::Ended(index, Err(failed)) => self.on_failed(index, failed),
                Arrival::Due => self.decide(),
            }
        }
    }

    async fn begin_next(&mut self) -> Result<(), NoRetry> {
        let is_first = !self.progress.has_attempts();
        if !is_first {
            self.context.try_retry(self.progress)?;
        }
        let selected = self.context.select_engine(self.progress).await;
        let selected = selected.ok_or(NoRetry::NoEngine)?;
        // A stream that has begun is lost otherwise.
        if !self.progress.response_started && self.context.refuse_if_outlasts_stop().is_err() {
            return Err(NoRetry::Stopping);
        }
        // An engine may have crashed under the request during the wait for a permit.
        if !is_first && self.context.is_quarantined() {
            return Err(NoRetry::Quarantined);
        }
        self.begin(selected, !self.context.route.kind.may_retry());
        Ok(())
    }

    fn begin(&mut self, selected: SelectedEngine, fresh_connection: bool) {
        let (engine, now) = (Rc::new(selected.choice.engine.clone()), self.context.router.now());
        self.progress.tried.push(engine.notice.engine.clone());
        self.hedging.on_asked(now);
        let last_heard = LastHeard::new(now);
        let start = AttemptStart { selected, fresh_connection, last_heard: last_heard.clone() };
        let future = (self.begin)(start);
        self.in_flight.push(InFlight { engine, began: Instant::now(), last_heard, future });
    }

    async fn next_arrival(&mut self) -> Arrival<T> {
        let now = self.context.router.now();
        // What has arrived comes before a decision that is due.
        let until = match self.step(now) {
            HedgeStep::Wait(until) => until,
            HedgeStep::AskAnother { .. } => Some(now),
        };
        tokio::select! {
            biased;
            (index, result) = first_ended(&mut self.in_flight) => Arrival::Ended(index, result),
            () = reached(now, until) => Arrival::Due,
        }
    }

    fn step(&mut self, now: Timestamp) -> HedgeStep {
        let heard_at = || self.in_flight.iter().map(|attempt| attempt.last_heard.get());
        let (Some(latest), Some(earliest)) = (heard_at().max(), heard_at().min()) else {
            return HedgeStep::Wait(None);
        };
        self.hedging.step(now, Sightings { latest, earliest })
    }

    fn decide(&mut self) {
        if let HedgeStep::AskAnother { may_be_silent } = self.step(self.context.router.now()) {
            self.ask_another(may_be_silent);
        }
    }

    fn ask_another(&mut self, may_be_silent: bool) {
        match self.context.select_hedge(self.progress, may_be_silent) {
            Ok(selected) => self.begin_hedge(selected),
            Err(reason) => self.on_denied(reason),
        }
    }

    fn on_denied(&mut self, reason: NoRetry) {
        self.hedging.on_not_asked(self.context.router.now());
        if let Some(first) = self.in_flight.first()
            && !std::mem::replace(&mut self.has_logged_denial, true)
        {
            self.context.router.metrics.on_hedge(HedgeEnd::NotAsked);
            hedging_log::not_hedged(self.context, first, self.part, reason, self.progress);
        }
    }

    fn begin_hedge(&mut self, selected: SelectedEngine) {
        if let Some(first) = self.in_flight.first() {
            self.context.on_silent(first, self.part);
            let second = &selected.choice.engine.notice.engine;
            hedging_log::hedged(self.context, first, second, self.part, self.progress);
        }
        // An idle connection may be as lost as that of the first attempt.
        self.begin(selected, true);
    }

    fn on_delivered(&mut self, index: usize) {
        let delivered = self.in_flight.remove(index);
        if self.in_flight.is_empty() {
            return;
        }
        let end = if index == 0 { HedgeEnd::FirstDelivered } else { HedgeEnd::LaterDelivered };
        self.context.router.metrics.on_hedge(end);
        for dropped in self.in_flight.drain(..) {
            hedging_log::dropped(self.context, &dropped, delivered.name(), self.progress);
        }
        self.progress.may_have_run = true;
    }

    fn on_failed(&mut self, index: usize, failed: FailedAttempt) {
        let attempt = self.in_flight.remove(index);
        self.progress.on_failed(attempt.name(), failed);
        if !self.in_flight.is_empty() {
            self.context.router.metrics.on_hedge(HedgeEnd::OneFailed);
            return self.hedging.on_failed(self.context.router.now());
        }
        if !self.progress.may_have_run && !self.progress.response_started {
            self.context.on_not_run();
        }
    }
}

/// The index and the result of the first attempt that ends.
async fn first_ended<T>(in_flight: &mut [InFlight<'_, T>]) -> (usize, Result<T, FailedAttempt>) {
    poll_fn(|context| {
        for (index, attempt) in in_flight.iter_mut().enumerate() {
            if let Poll::Ready(result) = attempt.future.poll_unpin(context) {
                return Poll::Ready((index, result));
            }
        }
        Poll::Pending
    })
    .await
}

/// Ready at a time that is not before `now`; never without one.
async fn reached(now: Timestamp, until: Option<Timestamp>) {
    match until {
        Some(until) => sleep(Duration::from_millis(until.since(now).0)).await,
        None => pending().await,
    }
}
