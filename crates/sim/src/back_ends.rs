//! What back ends do with attempts, and what the platform says of them.

use crate::engines::DeathPoint;
use crate::world::{Action, World};
use stackpost_ledger::StoredAnswer;
use stackpost_protocol::Peer;
use stackpost_router_core::*;
use stackpost_types::*;
use std::sync::Arc;

/// Time between two readings of the platform's list.
const PLATFORM_INTERVAL: u64 = 1_000;
/// Age of the platform's list.
const PLATFORM_LAG: u64 = 1_000;
/// Time that an engine takes per token.
const TOKEN_TIME: u64 = 1;
/// Time after which a connection to an unreachable back end is given up.
const CONNECT_TIMEOUT: u64 = 800;
/// Tokens of every prompt, as engines count them.
const PROMPT_TOKENS: u64 = 10;
/// Time that a plain call takes.
const PLAIN_TIME: u64 = 15;

impl World {
    pub(crate) fn attempt(&mut self, node: NodeId, dispatch: Dispatch) {
        let gone = self.sender_is_gone(&Peer::Router(node.clone()));
        if gone {
            return;
        }
        let Dispatch { call, request, number, back_end, .. } = dispatch;
        let router_zone = self.routers[&node.machine].zone.clone();
        let Some(target) = self.engines.back_ends.get_mut(&back_end) else { return };
        let cut = self.network.zones_cut(&router_zone, &target.zone)
            || self.network.zones_cut(&target.zone, &router_zone);
        if target.dies_at == Some(DeathPoint::Before) {
            target.alive = false;
        }
        if !target.alive || cut {
            let delay = if cut { CONNECT_TIMEOUT } else { 1 };
            let outcome = AttemptOutcome::NotSent { reason: "connection refused".into() };
            self.report(delay, node, call, number, outcome);
            return;
        }
        let (tokens, span) = self.work_of(&node, call, target_is_model(&back_end));
        self.history.note(self.now, &back_end, format!("works on {request}"));
        self.engines.execute(&back_end, request, self.now, tokens);
        let Some(target) = self.engines.back_ends.get_mut(&back_end) else { return };
        target.working.insert((node.clone(), call.0, number), request);
        if target.dies_at == Some(DeathPoint::During) {
            self.engine_dies_at_work(&back_end, span / 2 + 1);
            return;
        }
        self.schedule(span, Action::AttemptDone { node, call, number, back_end });
    }

    /// A back end dies and takes everything it works on with it.
    pub(crate) fn engine_dies_at_work(&mut self, back_end: &BackEndName, after: u64) {
        let Some(target) = self.engines.back_ends.get_mut(back_end) else { return };
        target.alive = false;
        for (node, call, number) in std::mem::take(&mut target.working).into_keys() {
            self.report(after, node, CallId(call), number, broken("connection reset"));
        }
    }

    /// Tokens and time of a call's answer.
    pub(crate) fn work_of(&self, node: &NodeId, call: CallId, model: bool) -> (u64, u64) {
        let caller = self.callers.open.get(&(node.clone(), call));
        let tokens = caller.map_or(1, |caller| self.callers.records[caller].plan.tokens);
        if model { (tokens, tokens * TOKEN_TIME) } else { (0, PLAIN_TIME) }
    }

    pub(crate) fn report(
        &mut self,
        delay: u64,
        node: NodeId,
        call: CallId,
        number: u32,
        outcome: AttemptOutcome,
    ) {
        let outcome = Box::new(outcome);
        self.schedule(delay, Action::Report { node, call, number, outcome });
    }

    pub(crate) fn attempt_done(
        &mut self,
        node: NodeId,
        call: CallId,
        number: u32,
        back_end: &BackEndName,
    ) {
        let Some(target) = self.engines.back_ends.get_mut(back_end) else { return };
        if target.working.remove(&(node.clone(), call.0, number)).is_none() {
            return;
        }
        let dies = target.dies_at == Some(DeathPoint::After);
        let zone = target.zone.clone();
        let cut = self
            .routers
            .get(&node.machine)
            .is_some_and(|process| self.network.zones_cut(&zone, &process.zone));
        if cut {
            self.report(1_000, node, call, number, broken("no more came"));
            return;
        }
        let caller = self.callers.open.get(&(node.clone(), call)).copied();
        let model = target_is_model(back_end);
        let (tokens, _) = self.work_of(&node, call, model);
        let content = caller.map_or(0, |caller| caller.0);
        let counted = Usage { prompt_tokens: PROMPT_TOKENS, completion_tokens: tokens };
        let answer = StoredAnswer {
            status: 200,
            content_type: "text/plain".into(),
            body: Arc::new(content.to_string().into_bytes()),
            billed: Tokens::ZERO,
        };
        let reported = model.then_some(counted);
        let outcome = AttemptOutcome::Answered { reported, counted, answer, rest: None };
        self.report(1, node, call, number, outcome);
        if dies {
            self.engine_dies_at_work(back_end, 1);
        }
    }

    pub(crate) fn cancel(&mut self, node: &NodeId, call: CallId, number: u32) {
        for back_end in self.engines.back_ends.values_mut() {
            back_end.working.remove(&(node.clone(), call.0, number));
        }
        let counted = Usage { prompt_tokens: PROMPT_TOKENS, completion_tokens: 1 };
        self.report(1, node.clone(), call, number, AttemptOutcome::Cancelled { counted });
    }

    pub(crate) fn query_usage(
        &mut self,
        node: &NodeId,
        account: AccountId,
        request: RequestId,
        back_end: &BackEndName,
    ) {
        let alive = self.engines.back_ends.get(back_end).is_some_and(|target| target.alive);
        let ran = self.engines.executions.iter().find(|run| run.request == request);
        let known = ran.filter(|_| alive && target_is_model(back_end));
        let usage =
            known.map(|run| Usage { prompt_tokens: PROMPT_TOKENS, completion_tokens: run.tokens });
        let node = node.clone();
        self.schedule(2, Action::UsageAnswer { node, account, request, usage });
    }

    /// A router reads the platform's list, at its start and at intervals.
    pub(crate) fn platform_read(&mut self, machine: &MachineName, life: u64) {
        let lag = PLATFORM_LAG + self.platform_extra_lag;
        let horizon = self.now.saturating_sub(lag);
        let entries: Vec<PlatformEntry> = self
            .platform
            .iter()
            .filter_map(|(name, changes)| {
                let seen = changes.iter().rev().find(|(at, _)| *at <= horizon)?;
                Some(PlatformEntry { back_end: name.clone(), leaving: seen.1 })
            })
            .collect();
        let running = self.routers.get(machine).filter(|held| held.is_running());
        let Some(process) = running.filter(|held| held.lives == life) else { return };
        let node = process.node(machine);
        self.router_event(&node, Event::Platform(entries));
        let again = Action::PlatformRead { machine: machine.clone(), life };
        self.schedule(PLATFORM_INTERVAL, again);
    }

    /// A back end begins to leave: the platform lists it, late.
    pub(crate) fn back_end_leaves(&mut self, name: &BackEndName) {
        let now = self.now;
        if let Some(back_end) = self.engines.back_ends.get_mut(name) {
            back_end.leaving_since = Some(now);
        }
        self.platform.entry(name.clone()).or_default().push((now, true));
        self.history.note(now, name, "begins to leave");
    }
}

/// Whether a back end is an engine.
pub(crate) fn target_is_model(back_end: &BackEndName) -> bool {
    back_end.as_str().contains("engine")
}

fn broken(reason: &str) -> AttemptOutcome {
    let counted = Usage { prompt_tokens: PROMPT_TOKENS, completion_tokens: 1 };
    AttemptOutcome::Incomplete { reason: reason.into(), counted, delivered: false }
}
