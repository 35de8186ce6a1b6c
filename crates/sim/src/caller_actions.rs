//! Actions of callers: sending attempts, receiving responses, retrying.

use crate::callers::*;
use crate::fleet::{self, FleetShape};
use crate::process::RouterProcess;
use crate::world::{Action, World};
use rand::Rng;
use stackpost_ledger::StoredAnswer;
use stackpost_protocol::Peer;
use stackpost_router_core::*;
use stackpost_types::*;

/// One-way delay between a caller and a router.
pub(crate) const CALLER_DELAY_MS: u64 = 3;
/// Upper bound on the tokens of every prompt, as computed by the routers.
const PROMPT_BOUND: u64 = 40;

impl World {
    pub(crate) fn arrival(&mut self) {
        let Some((workload, until)) = self.workload.clone() else { return };
        if self.now >= until {
            return;
        }
        let plan = workload.draw(&mut self.rng);
        self.add_caller(plan);
        let mean = 1_000 / workload.per_second.max(1);
        let pause = self.rng.random_range(0..=2 * mean);
        self.schedule(pause, Action::Arrival);
    }

    /// Adds a caller, which sends its request at once.
    pub fn add_caller(&mut self, plan: RequestPlan) -> CallerId {
        let id = CallerId(self.next_caller);
        self.next_caller += 1;
        let record = CallerRecord { id, plan, attempts: Vec::new(), done: false };
        self.callers.records.insert(id, record);
        self.schedule(0, Action::SendCallerAttempt(id));
        id
    }

    pub(crate) fn send_caller_attempt(&mut self, id: CallerId) {
        let Some(record) = self.callers.records.get(&id) else { return };
        let plan = record.plan.clone();
        let Some(node) = self.pick_router(&plan, record.attempts.len()) else {
            // The load balancer finds no ready router and looks for one again after 200 ms.
            self.schedule(200, Action::SendCallerAttempt(id));
            return;
        };
        let first = has_no_attempts(&self.callers, id);
        self.next_request += 1;
        self.next_call += 1;
        let (request, call) = (RequestId(self.next_request), CallId(self.next_call));
        let sent = Box::new(build_call(&plan, id, request, call));
        let attempt = CallerAttempt { request, node: node.clone(), call, at: self.now, end: None };
        if let Some(record) = self.callers.records.get_mut(&id) {
            record.attempts.push(attempt);
        }
        self.callers.open.insert((node.clone(), call), id);
        self.callers.by_request.insert(request, id);
        self.history.note(
            self.now,
            format!("caller {}", id.0),
            format!("sends to {node}: {request}, call {}", call.0),
        );
        self.schedule(CALLER_DELAY_MS, Action::Call { node: node.clone(), call: sent });
        if let Some(duration) = plan.resends_after.filter(|_| first) {
            self.schedule(duration, Action::SendCallerAttempt(id));
        }
        if let Some(duration) = plan.leaves_after {
            let disconnect = Action::CallerGone { node, call };
            self.schedule(CALLER_DELAY_MS + duration, disconnect);
        }
    }

    /// Picks a ready router at random: one of the planned zone for the first attempt, one of any
    /// zone for later attempts. A frozen router counts as ready.
    pub(crate) fn pick_router(&mut self, plan: &RequestPlan, attempts: usize) -> Option<NodeId> {
        let zone = ZoneName::new(self.shape.zones[plan.zone]);
        let ready = |process: &RouterProcess| {
            process.router.as_ref().is_some_and(Router::is_ready) || process.frozen
        };
        let candidates: Vec<NodeId> = self
            .routers
            .iter()
            .filter(|(_, process)| ready(process) && (attempts > 0 || process.zone == zone))
            .map(|(name, process)| process.node(name))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let chosen = self.rng.random_range(0..candidates.len());
        candidates.into_iter().nth(chosen)
    }

    pub(crate) fn receive_call(&mut self, node: &NodeId, call: Call) {
        if self.peer_has_ended(&Peer::Router(node.clone())) {
            self.end_attempt(&(node.clone(), call.id), AttemptEnd::Lost { planned: false });
            return;
        }
        let id = call.id;
        self.router_event(node, Event::Call(Box::new(call)));
        let _ = id;
    }

    pub(crate) fn replay(&mut self, node: &NodeId, call: CallId, answer: &StoredAnswer) {
        let text = String::from_utf8_lossy(&answer.body);
        let content = CallerId(text.parse().unwrap_or(u64::MAX));
        self.history.note(self.now, node, format!("replays to {}: {text}", call.0));
        self.end_attempt(&(node.clone(), call), AttemptEnd::Answered { content });
    }

    pub(crate) fn end_attempt(&mut self, key: &(NodeId, CallId), end: AttemptEnd) {
        let now = self.now;
        let Some(id) = self.callers.open.remove(key) else { return };
        let Some(record) = self.callers.records.get_mut(&id) else { return };
        let attempt = record.attempts.iter_mut().find(|attempt| attempt.call == key.1);
        let Some(attempt) = attempt else { return };
        // A caller that has disconnected receives no response.
        let disconnected = record
            .plan
            .leaves_after
            .is_some_and(|duration| attempt.at + CALLER_DELAY_MS + duration <= now);
        let end = if disconnected { AttemptEnd::Disconnected } else { end };
        attempt.end = Some((now, end.clone()));
        let retry_delay = self.retry_delay(id, &end);
        let Some(record) = self.callers.records.get_mut(&id) else { return };
        match retry_delay {
            Some(delay) => self.schedule(delay, Action::SendCallerAttempt(id)),
            None => record.done = true,
        }
    }

    /// Returns the delay after which a caller retries, if it does. A non-idempotent request without
    /// an idempotency key is not retried once it may have run.
    pub(crate) fn retry_delay(&mut self, id: CallerId, end: &AttemptEnd) -> Option<u64> {
        let record = &self.callers.records[&id];
        if record.attempts.len() as u32 > record.plan.retries {
            return None;
        }
        let may_retry = record.plan.keyed || record.plan.repeatable;
        match end {
            AttemptEnd::Answered { .. } | AttemptEnd::Disconnected => None,
            AttemptEnd::Lost { .. } => may_retry.then(|| self.rng.random_range(20..600)),
            AttemptEnd::Refused(refusal) => {
                let pause = refusal.retry_after?.0;
                let retries = refusal.outcome == ExecutionOutcome::NotRun || may_retry;
                retries.then(|| pause + self.rng.random_range(0..100))
            }
        }
    }
}

fn has_no_attempts(callers: &Callers, id: CallerId) -> bool {
    callers.records.get(&id).is_some_and(|record| record.attempts.is_empty())
}

fn build_call(plan: &RequestPlan, id: CallerId, request: RequestId, call: CallId) -> Call {
    let target = if plan.plain {
        let path =
            if plan.repeatable { fleet::IDEMPOTENT_PATH } else { fleet::NON_IDEMPOTENT_PATH };
        Target::Plain { method: "POST".into(), path: path.into() }
    } else {
        Target::Chat {
            model: ModelName::new(fleet::MODEL),
            prompt_tokens: PROMPT_BOUND,
            max_tokens: Some(plan.max_tokens),
            blocks: Vec::new(),
        }
    };
    Call {
        id: call,
        request,
        key_hash: Some(FleetShape::key_hash(plan.tenant)),
        target,
        idempotency_key: plan.keyed.then(|| format!("key-{}", id.0)),
        not_repeatable: !plan.repeatable,
        fingerprint: Digest::of(&[&id.0.to_le_bytes()]),
        priority: 0,
    }
}
