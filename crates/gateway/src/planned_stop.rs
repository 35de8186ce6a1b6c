//! Which requests a router still serves during its planned stop.
//!
//! Whoever sends a request late is better served by another router. A request is passed on only if
//! it is known to end before this router does: at its deadline, or by what other requests of its
//! route took. Any other one is refused before it is passed on, as soon as that is known.

use crate::deadline::Deadline;
use crate::refusal::Refusal;
use crate::request::RequestContext;
use crate::router::Router;
use stackpost_clock::BootInstant;
use stackpost_gateway_core::Route;
use stackpost_types::Millis;
use std::time::Duration;

/// Time from the beginning of a planned stop for which every request is accepted: the platform
/// needs it to notice that the router is not ready, and bears the loss of what does not end in time.
const ACCEPT_ALL_TIME: Duration = Duration::from_millis(2_900);
/// Multiple of the longest latest response of a route that a request is given.
const RESPONSE_TIME_FACTOR: u32 = 2;
/// Time for the transmission of a response.
const TRANSMISSION_TIME: Duration = Duration::from_millis(300);

/// A planned stop that has begun.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedStop {
    began: BootInstant,
    /// Requests that are under way after this time are cut off.
    limit: Duration,
}

impl Router {
    /// Begins a planned stop. Requests that are under way after `limit` are cut off.
    pub fn begin_drain(&self, limit: Duration) {
        self.planned_stop.set(Some(PlannedStop { began: self.clock.now(), limit }));
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.planned_stop.get().is_some()
    }

    /// Whether a planned stop has advanced so far that new requests are refused, whatever they need.
    pub(crate) fn refuses_new_requests(&self) -> bool {
        self.has_stopped.get() || self.time_until_stop().is_some()
    }

    /// Refuses a request that is not known to end before this router does. Must be called before
    /// the request is passed on.
    pub(crate) fn refuse_if_outlasts_stop(
        &self,
        route: &Route,
        deadline: &Deadline,
    ) -> Result<(), Refusal> {
        if self.has_stopped.get() {
            return Err(Refusal::Stopping);
        }
        let Some(left) = self.time_until_stop() else {
            return Ok(());
        };
        let longest = self.response_times.borrow().longest(self.now(), &route.name);
        let expected = longest.map(|Millis(longest)| {
            Duration::from_millis(longest).saturating_mul(RESPONSE_TIME_FACTOR)
        });
        let latest = deadline.remaining();
        let needed = expected.map_or(latest, |expected| expected.min(latest));
        if needed + TRANSMISSION_TIME <= left { Ok(()) } else { Err(Refusal::Stopping) }
    }

    /// Time until requests are cut off, once not every request is accepted any more.
    fn time_until_stop(&self) -> Option<Duration> {
        let stop = self.planned_stop.get()?;
        let passed = self.clock.since(stop.began);
        (passed >= ACCEPT_ALL_TIME).then(|| stop.limit.saturating_sub(passed))
    }
}

impl RequestContext {
    /// Refuses a request that is not known to end before this router does.
    pub fn refuse_if_outlasts_stop(&self) -> Result<(), Refusal> {
        self.router.refuse_if_outlasts_stop(&self.route, &self.deadline)
    }

    /// Records how long the request took, at the end of its whole response.
    pub fn note_served(&self) {
        let took = Millis(self.received.elapsed().as_millis() as u64);
        let mut times = self.router.response_times.borrow_mut();
        times.on_response(self.router.now(), &self.route.name, took);
    }
}
