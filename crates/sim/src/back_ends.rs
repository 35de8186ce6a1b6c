//! How back ends execute attempts, and how routers poll the platform's list of back ends.

use crate::engines::CrashPoint;
use crate::world::{Action, World};
use stackpost_ledger::StoredAnswer;
use stackpost_protocol::Peer;
use stackpost_router_core::*;
use stackpost_types::*;
use std::sync::Arc;

/// Interval at which a router polls the platform's list of back ends.
const PLATFORM_INTERVAL_MS: u64 = 1_000;
/// Delay until a change shows in the platform's list.
const PLATFORM_LAG_MS: u64 = 1_000;
/// Time that an engine takes to generate one token.
const TOKEN_TIME_MS: u64 = 1;
/// Time after which a connection attempt to an unreachable back end fails.
const CONNECT_TIMEOUT_MS: u64 = 800;
/// Tokens of every prompt, as counted by the engines.
const PROMPT_TOKENS: u64 = 10;
/// Time that a plain service takes for one call.
const PLAIN_TIME_MS: u64 = 15;

impl World {
    pub(crate) fn attempt(&mut self, node: NodeId, dispatch: Dispatch) {
        let peer_has_ended = self.peer_has_ended(&Peer::Router(node.clone()));
        if peer_has_ended {
            return;
        }
        let Dispatch { call, request, number, back_end, .. } = dispatch;
        let router_zone = self.routers[&node.machine].zone.clone();
        let Some(target) = self.engines.back_ends.get_mut(&back_end) else { return };
        let partitioned = self.network.zones_partitioned(&router_zone, &target.zone)
            || self.network.zones_partitioned(&target.zone, &router_zone);
        if target.crashes_at == Some(CrashPoint::Before) {
            target.alive = false;
        }
        if !target.alive || partitioned {
            let delay = if partitioned { CONNECT_TIMEOUT_MS } else { 1 };
            let outcome = AttemptOutcome::NotSent { reason: "connection refused".into() };
            self.report(delay, node, call, number, outcome);
            return;
        }
        let (tokens, duration) = self.tokens_and_duration(&node, call, is_engine(&back_end));
        self.history.note(self.now, &back_end, format!("executes {request}"));
        self.engines.execute(&back_end, request, self.now, tokens);
        let Some(target) = self.engines.back_ends.get_mut(&back_end) else { return };
        target.in_progress.insert((node.clone(), call.0, number), request);
        if target.crashes_at == Some(CrashPoint::During) {
            self.crash_back_end(&back_end, duration / 2 + 1);
            return;
        }
        self.schedule(duration, Action::AttemptDone { node, call, number, back_end });
    }

    /// Crashes a back end; every attempt in progress on it is interrupted.
    pub(crate) fn crash_back_end(&mut self, back_end: &BackEndName, after: u64) {
        let Some(target) = self.engines.back_ends.get_mut(back_end) else { return };
        target.alive = false;
        for (node, call, number) in std::mem::take(&mut target.in_progress).into_keys() {
            self.report(after, node, CallId(call), number, interrupted("connection reset"));
        }
    }

    /// Number of tokens of the response to a call, and the time it takes to generate them.
    pub(crate) fn tokens_and_duration(
        &self,
        node: &NodeId,
        call: CallId,
        generates: bool,
    ) -> (u64, u64) {
        let caller = self.callers.open.get(&(node.clone(), call));
        let tokens = caller.map_or(1, |caller| self.callers.records[caller].plan.tokens);
        if generates { (tokens, tokens * TOKEN_TIME_MS) } else { (0, PLAIN_TIME_MS) }
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
        if target.in_progress.remove(&(node.clone(), call.0, number)).is_none() {
            return;
        }
        let crashes = target.crashes_at == Some(CrashPoint::After);
        let zone = target.zone.clone();
        let partitioned = self
            .routers
            .get(&node.machine)
            .is_some_and(|process| self.network.zones_partitioned(&zone, &process.zone));
        if partitioned {
            self.report(
                1_000,
                node,
                call,
                number,
                interrupted("response interrupted by a network partition"),
            );
            return;
        }
        let caller = self.callers.open.get(&(node.clone(), call)).copied();
        let generates = is_engine(back_end);
        let (tokens, _) = self.tokens_and_duration(&node, call, generates);
        let content = caller.map_or(0, |caller| caller.0);
        let counted = Usage { prompt_tokens: PROMPT_TOKENS, completion_tokens: tokens };
        let answer = StoredAnswer {
            status: 200,
            content_type: "text/plain".into(),
            body: Arc::new(content.to_string().into_bytes()),
            billed: Tokens::ZERO,
        };
        let reported = generates.then_some(counted);
        let outcome = AttemptOutcome::Answered { reported, counted, answer, rest: None };
        self.report(1, node, call, number, outcome);
        if crashes {
            self.crash_back_end(back_end, 1);
        }
    }

    pub(crate) fn cancel(&mut self, node: &NodeId, call: CallId, number: u32) {
        for back_end in self.engines.back_ends.values_mut() {
            back_end.in_progress.remove(&(node.clone(), call.0, number));
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
        let known = ran.filter(|_| alive && is_engine(back_end));
        let usage =
            known.map(|run| Usage { prompt_tokens: PROMPT_TOKENS, completion_tokens: run.tokens });
        let node = node.clone();
        self.schedule(2, Action::UsageReply { node, account, request, usage });
    }

    /// Polls the platform's list for a router: once at its start, then at a fixed interval.
    pub(crate) fn platform_read(&mut self, machine: &MachineName, incarnation: u64) {
        let lag = PLATFORM_LAG_MS + self.platform_extra_lag;
        let newest_visible = self.now.saturating_sub(lag);
        let entries: Vec<PlatformEntry> = self
            .platform
            .iter()
            .filter_map(|(name, changes)| {
                let visible = changes.iter().rev().find(|(at, _)| *at <= newest_visible)?;
                Some(PlatformEntry { back_end: name.clone(), leaving: visible.1 })
            })
            .collect();
        let live = self.routers.get(machine).filter(|process| process.is_running());
        let Some(process) = live.filter(|router| router.incarnation == incarnation) else { return };
        let node = process.node(machine);
        self.router_event(&node, Event::Platform(entries));
        let next_poll = Action::PlatformRead { machine: machine.clone(), incarnation };
        self.schedule(PLATFORM_INTERVAL_MS, next_poll);
    }

    /// Marks a back end as leaving; the platform's list shows it after the list's lag.
    pub(crate) fn back_end_leaves(&mut self, name: &BackEndName) {
        let now = self.now;
        if let Some(back_end) = self.engines.back_ends.get_mut(name) {
            back_end.leaving_since = Some(now);
        }
        self.platform.entry(name.clone()).or_default().push((now, true));
        self.history.note(now, name, "starts leaving");
    }
}

/// Whether a back end is an engine, judged by its name.
pub(crate) fn is_engine(back_end: &BackEndName) -> bool {
    back_end.as_str().contains("engine")
}

fn interrupted(reason: &str) -> AttemptOutcome {
    let counted = Usage { prompt_tokens: PROMPT_TOKENS, completion_tokens: 1 };
    AttemptOutcome::Incomplete { reason: reason.into(), counted, delivered: false }
}
