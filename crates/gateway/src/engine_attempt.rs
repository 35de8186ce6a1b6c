//! The attempts of a request: sending it to a selected engine, and the terms for a further one.

use crate::attempt::{self, AttemptRequest, AttemptResult, AttemptStart, EngineResponse};
use crate::decision_log::InterruptionPoint;
use crate::header_codec::EngineRequestHeaders;
use crate::hedged_attempts::{FailedAttempt, FailureEffect, InFlight};
use crate::hedging_log::AwaitedPart;
use crate::request::{Progress, RequestContext};
use crate::reservation::Reservation;
use stackpost_gateway_core::HedgeTerms;
use stackpost_types::{EventId, Millis};
use tokio::time::Instant;

/// Silence before the first part of a response after which another engine is asked, in percent of
/// the objective. Half of the time left applies if it is shorter.
const RESPONSE_SILENCE_PERCENT: u64 = 220;
/// The same between two events of a stream, in percent of the gap objective.
const GAP_SILENCE_PERCENT: u64 = 350;
/// The silence after which that engine may be a silent one itself, in percent of the above. Three
/// quarters of the time left apply if they are shorter.
const ANY_ENGINE_PERCENT: u64 = 200;
/// Silence of an engine, on all its connections, from which others are asked first.
pub(crate) const MAX_ENGINE_SILENCE: Millis = Millis(400);

impl RequestContext {
    /// Sends the request to an engine and waits for the head of its response.
    pub async fn attempt(
        &self,
        start: AttemptStart,
        last_event: Option<EventId>,
    ) -> Result<EngineResponse, FailedAttempt> {
        let (engine, started) = (start.selected.choice.engine.clone(), Instant::now());
        let name = &engine.notice.engine;
        let tenant = self.tenant.as_ref();
        let engine_headers = EngineRequestHeaders {
            engine: name,
            tenant: tenant.map(|tenant| &tenant.name),
            wait: Millis(self.deadline.remaining().as_millis() as u64),
            priority: self.priority(),
            last_event: last_event.or(self.payload.caller.last_event),
            strip_key: self.table.config().tenants.is_some(),
        };
        let request = AttemptRequest {
            payload: &self.payload,
            engine_headers,
            deadline: self.deadline.timer(),
        };
        let on_sent = || self.reservation.iter().for_each(Reservation::on_sent);
        let effect = match attempt::send(&self.router, start, request, on_sent).await {
            AttemptResult::Responded(response) => {
                if !response.head.status.is_server_error() {
                    self.note_response_time(&engine, started);
                }
                return Ok(*response);
            }
            AttemptResult::Unreachable => FailureEffect::Unreachable,
            AttemptResult::NotRun => FailureEffect::NotRun,
            AttemptResult::Interrupted => {
                self.on_interrupted(name, InterruptionPoint::Head).wait().await;
                FailureEffect::MayHaveRun
            }
            AttemptResult::HeadTimeout => {
                self.note_response_time(&engine, started);
                FailureEffect::MayHaveRun
            }
            AttemptResult::InvalidResponse => FailureEffect::MayHaveRun,
        };
        Err(FailedAttempt::new(effect))
    }

    /// Records that no engine ran the request, whatever was sent.
    pub fn on_not_run(&self) {
        self.reservation.iter().for_each(Reservation::on_not_run);
    }

    /// When another engine is asked for a part of the response.
    pub fn hedge_terms(&self, part: AwaitedPart) -> HedgeTerms {
        let silence = match part {
            AwaitedPart::Response => self.route.objective.0 * RESPONSE_SILENCE_PERCENT / 100,
            AwaitedPart::Event => self.gap_objective().0 * GAP_SILENCE_PERCENT / 100,
        };
        let remaining = self.deadline.remaining().as_millis() as u64;
        let hedge_after = Millis(silence.min(remaining / 2));
        HedgeTerms {
            hedge_after: self.route.kind.may_retry().then_some(hedge_after),
            any_engine_after: Millis((silence * ANY_ENGINE_PERCENT / 100).min(remaining * 3 / 4)),
        }
    }

    /// The progress of a request for the selection of another engine beside the silent ones, which
    /// may be running it.
    pub fn hedge_progress(&self, progress: &Progress, may_be_silent: bool) -> Progress {
        let silent = match may_be_silent {
            true => Vec::new(),
            false => self.router.silent_engines(&self.service, MAX_ENGINE_SILENCE),
        };
        Progress {
            tried: progress.tried.clone(),
            unreachable: progress.unreachable.clone(),
            silent,
            may_have_run: true,
            ended_unread: progress.ended_unread,
            response_started: progress.response_started,
            failure: None,
        }
    }

    /// Records that an engine was silent until another one was asked. It counts as failing, and its
    /// idle connections may be lost as well.
    pub fn on_silent<T>(&self, attempt: &InFlight<'_, T>, part: AwaitedPart) {
        let (now, engine) = (self.router.now(), &attempt.engine);
        self.router.pool.close_idle(&engine.notice.engine);
        self.router.picker.borrow_mut().on_silent(now, &engine.notice.engine);
        if part == AwaitedPart::Response {
            self.note_response_time(engine, attempt.began);
        }
    }
}
