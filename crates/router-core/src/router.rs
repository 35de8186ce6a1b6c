//! The state machine: its state and its entry point, [`Router::handle`].

use crate::call::{CallId, CallState, Stage};
use crate::deferred::DeferredAction;
use crate::directory::Directory;
use crate::effect::Effect;
use crate::event::Event;
use crate::rights::RightsState;
use crate::trace::{Trace, TraceStep, Traces};
use serde::{Deserialize, Serialize};
use stackpost_balance::{Balancer, FairQueue, RetryBudget};
use stackpost_ledger::{MirroredAccount, OwnedAccount};
use stackpost_protocol::{Message, Peer};
use stackpost_table::{RowKey, Table};
use stackpost_types::*;
use std::collections::{BTreeMap, VecDeque};

/// Maximum wait for the platform's first machine list.
const PLATFORM_TIMEOUT: Millis = Millis(5_000);

/// Fixed parameters of one incarnation of a router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Machine and incarnation.
    pub node: NodeId,
    /// The machine's zone.
    pub zone: ZoneName,
    /// The control replicas.
    pub control: Vec<MachineName>,
    /// Whether the platform publishes a machine list.
    pub has_platform: bool,
    /// Faults that tests inject. All are off in production.
    pub defects: Defects,
}

/// Faults that tests inject to verify that their checks detect them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Defects {
    /// Run deferred actions before the backup has acknowledged the change.
    pub skip_mirror: bool,
    /// Retry a non-idempotent request after an attempt that may have run.
    pub retry_after_send: bool,
    /// Report `not_run` where the outcome is unknown.
    pub claim_not_run: bool,
    /// Spend without reserving.
    pub skip_reserve: bool,
    /// Bill each response twice.
    pub bill_twice: bool,
    /// Apply a configuration that is older than the current one.
    pub accept_old_configuration: bool,
    /// Send new requests to back ends that are leaving.
    pub ignore_leaving: bool,
    /// Stop without waiting for requests in flight.
    pub drain_at_once: bool,
    /// Answer a retry with the stored response of another request.
    pub swap_answers: bool,
}

/// A router's status, as reported to operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Machine and incarnation.
    pub node: NodeId,
    /// The machine's zone.
    pub zone: ZoneName,
    /// Whether it is ready, as reported to readiness probes.
    pub ready: bool,
    /// Whether a planned stop is in progress.
    pub draining: bool,
    /// Version of the configuration in force.
    pub version: Version,
    /// Requests being processed.
    pub in_flight: usize,
    /// Requests waiting for a back end.
    pub queued: usize,
    /// The backup of its main account.
    pub backup: Option<NodeId>,
    /// Whether it spends only from its unmirrored account.
    pub solo: bool,
    /// Accounts it owns.
    pub owned: Vec<AccountId>,
    /// Accounts it backs up.
    pub mirrored: Vec<AccountId>,
    /// Bills that are not yet archived.
    pub unarchived_bills: usize,
}

/// The router's state machine.
#[derive(Debug)]
pub struct Router {
    pub(crate) config: RouterConfig,
    pub(crate) now: Timestamp,
    pub(crate) wall: WallTime,
    pub(crate) directory: Directory,
    pub(crate) owned: BTreeMap<AccountId, OwnedAccount>,
    pub(crate) mirrors: BTreeMap<AccountId, MirroredAccount>,
    pub(crate) main: AccountId,
    pub(crate) solo: AccountId,
    pub(crate) deferred_actions: BTreeMap<AccountId, VecDeque<(u64, DeferredAction)>>,
    pub(crate) calls: BTreeMap<CallId, CallState>,
    pub(crate) call_by_request: BTreeMap<RequestId, CallId>,
    pub(crate) balancer: Balancer,
    /// Back ends on the platform's list, and whether each is leaving; `None` until first read.
    pub(crate) platform: Option<BTreeMap<BackEndName, bool>>,
    started_at: Timestamp,
    pub(crate) queues: BTreeMap<ServiceName, FairQueue<CallId>>,
    pub(crate) retries: RetryBudget,
    pub(crate) rights: RightsState,
    pub(crate) backup_search: crate::accounts::BackupSearch,
    pub(crate) timers: crate::control_link::Timers,
    pub(crate) key_retention: BTreeMap<AccountId, crate::key_store::Retention>,
    pub(crate) usage_queries: BTreeMap<(AccountId, RequestId), crate::settlement::UsageQueryState>,
    pub(crate) draining: Option<crate::drain::Drain>,
    pub(crate) fenced: bool,
    pub(crate) traces: Traces,
    pub(crate) effects: Vec<Effect>,
    local_messages: VecDeque<Message>,
}

impl Router {
    /// Creates a router whose incarnation starts at `now`.
    pub fn new(config: RouterConfig, now: Timestamp) -> Self {
        let main = AccountId::mirrored(&config.node);
        let solo = AccountId::solo(&config.node);
        let solo_account = OwnedAccount::solo(&config.node, config.zone.clone());
        Self {
            now,
            wall: WallTime::default(),
            directory: Directory::default(),
            owned: [(solo.clone(), solo_account)].into(),
            mirrors: BTreeMap::new(),
            main,
            solo,
            deferred_actions: BTreeMap::new(),
            calls: BTreeMap::new(),
            call_by_request: BTreeMap::new(),
            balancer: Balancer::default(),
            platform: None,
            started_at: now,
            queues: BTreeMap::new(),
            retries: RetryBudget::default(),
            rights: RightsState::default(),
            backup_search: crate::accounts::BackupSearch::default(),
            timers: crate::control_link::Timers::default(),
            key_retention: BTreeMap::new(),
            usage_queries: BTreeMap::new(),
            draining: None,
            fenced: false,
            traces: Traces::default(),
            effects: Vec::new(),
            local_messages: VecDeque::new(),
            config,
        }
    }

    /// The next incarnation, in the same process, of a router whose account was taken over.
    /// Unmirrored accounts are never taken over: no other node knows their contents, so the new
    /// incarnation continues with their rights, requests and bills.
    pub fn next_incarnation(self, config: RouterConfig, now: Timestamp) -> Self {
        let solo_accounts = self.owned.into_iter().filter(|(id, _)| id.kind == AccountKind::Solo);
        let mut router = Self::new(config, now);
        for (id, owned) in solo_accounts {
            let up_to = owned.state().last_bill();
            router.owned.insert(id.clone(), owned);
            router.mark_bills_mirrored(&id, up_to);
        }
        router
    }

    /// Processes one event at `now`; `wall` only dates bills and affects no decision.
    pub fn handle(&mut self, now: Timestamp, wall: WallTime, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.wall = wall;
        if !self.fenced {
            self.dispatch_event(event);
            self.run_local_messages();
            self.process_follow_ups();
        }
        std::mem::take(&mut self.effects)
    }

    /// Whether the router is ready, as reported to readiness probes: it is not stopping and has a
    /// confirmed configuration, a backup and, where the platform publishes one, a machine list (or
    /// has waited for the list until the timeout).
    pub fn is_ready(&self) -> bool {
        let in_service = self.draining.is_none() && !self.fenced;
        in_service && self.directory.confirmed && self.has_backup() && self.platform_list_ready()
    }

    /// Whether the platform's machine list has been read. Without it requests could go to a back
    /// end that has already left. After a timeout the router proceeds without the list.
    pub(crate) fn platform_list_ready(&self) -> bool {
        let waited = self.now.since(self.started_at);
        !self.config.has_platform || self.platform.is_some() || waited > PLATFORM_TIMEOUT
    }

    /// Machine and incarnation of this router.
    pub fn node(&self) -> &NodeId {
        &self.config.node
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Version {
        self.directory.table.version()
    }

    /// The configuration in force.
    pub fn table(&self) -> &Table {
        &self.directory.table
    }

    /// The models that callers can request.
    pub fn models(&self) -> Vec<ModelName> {
        self.directory.models().cloned().collect()
    }

    /// The back ends with their load and cache state.
    pub fn balancer(&self) -> &Balancer {
        &self.balancer
    }

    /// The accounts owned here.
    pub fn accounts(&self) -> impl Iterator<Item = &OwnedAccount> {
        self.owned.values()
    }

    /// Whether a bearer key belongs to a tenant.
    pub fn knows_key(&self, hash: &KeyHash) -> bool {
        self.directory.tenant(hash).is_some()
    }

    /// The trace of a request, if it is still stored.
    pub fn trace(&self, request: &RequestId) -> Option<&Trace> {
        self.traces.get(request)
    }

    /// Traces of the newest `count` requests, newest first.
    pub fn newest_traces(&self, count: usize) -> Vec<Trace> {
        self.traces.newest(count).cloned().collect()
    }

    /// A summary for operators.
    pub fn status(&self) -> RouterStatus {
        let main = self.owned.get(&self.main);
        RouterStatus {
            node: self.config.node.clone(),
            zone: self.config.zone.clone(),
            ready: self.is_ready(),
            draining: self.draining.is_some(),
            version: self.version(),
            in_flight: self.calls.len(),
            queued: self.queues.values().map(FairQueue::len).sum(),
            backup: main.and_then(|account| account.backup().cloned()),
            solo: self.is_solo(),
            owned: self.owned.keys().cloned().collect(),
            mirrored: self.mirrors.keys().cloned().collect(),
            unarchived_bills: self
                .owned
                .values()
                .map(|account| account.state().bills().len())
                .sum(),
        }
    }

    fn dispatch_event(&mut self, event: Event) {
        match event {
            Event::Tick => self.on_tick(),
            Event::Message { from, message } => self.on_message(from, message),
            Event::Call(call) => self.on_call(*call),
            Event::CallerGone(call) => self.on_caller_gone(call),
            Event::Attempt { call, number, outcome } => self.on_attempt(call, number, outcome),
            Event::Load { back_end, report } => {
                let now = self.now;
                if let Some(state) = self.balancer.get_mut(&back_end) {
                    state.on_report(now, report);
                }
            }
            Event::LoadFailed { back_end } => self.on_back_end_failure(&back_end),
            Event::Cache { back_end, first, changes } => {
                if let Some(state) = self.balancer.get_mut(&back_end) {
                    state.cache.apply_events(first, &changes);
                }
            }
            Event::CacheSnapshot { back_end, next, blocks } => {
                if let Some(state) = self.balancer.get_mut(&back_end) {
                    state.cache.replace(next, &blocks);
                }
            }
            Event::Platform(entries) => self.on_platform(&entries),
            Event::UsageReceived { account, request, usage } => {
                self.on_usage_received(&account, &request, usage);
            }
            Event::Drain => self.on_drain(),
        }
    }

    fn on_message(&mut self, from: Peer, message: Message) {
        match (from, message) {
            (Peer::Router(node), message) => self.on_router_message(node, message),
            (Peer::Control(_), Message::Configuration { confirmed, delta }) => {
                self.on_configuration(confirmed, &delta);
            }
            (Peer::Control(replica), Message::BillsStored { account, up_to }) => {
                self.on_bills_stored(&replica, &account, up_to);
            }
            (Peer::Control(_), _) => {}
        }
    }

    fn on_router_message(&mut self, from: NodeId, message: Message) {
        match message {
            Message::Mirror(message) => self.on_mirror(from, message),
            Message::MirrorAck(ack) => self.on_mirror_ack(&from, &ack),
            Message::Pull(pull) => self.on_pull(from, pull),
            Message::PullReply(reply) => self.on_pull_reply(reply),
            Message::Transfer(transfer) => self.on_transfer(from, transfer),
            Message::TransferAck(ack) => self.on_transfer_ack(&ack),
            Message::Holdings(holdings) => self.on_holdings(holdings),
            Message::ClaimKey(claim) => self.on_claim_key(from, claim),
            Message::ClaimReply(reply) => self.on_claim_reply(reply),
            Message::FetchAnswer(fetch) => self.on_fetch_answer(from, fetch),
            Message::FetchReply(reply) => self.on_fetch_reply(reply),
            _ => {}
        }
    }

    fn on_configuration(&mut self, confirmed: bool, delta: &stackpost_table::Delta) {
        let is_older = delta.to < self.version();
        if self.config.defects.accept_old_configuration && is_older {
            let full_delta = stackpost_table::Delta { from: Version(0), ..delta.clone() };
            self.directory.table = Table::default();
            self.directory.apply(confirmed, &full_delta);
            return;
        }
        let Some(changed) = self.directory.apply(confirmed, delta) else {
            return;
        };
        for key in changed {
            self.on_row_changed(&key);
        }
        self.timers.report_version_now();
    }

    fn on_row_changed(&mut self, key: &RowKey) {
        match key {
            RowKey::Account(account) => self.on_account_row(account),
            RowKey::Issue(budget) => self.on_issue_row(budget),
            RowKey::BackEnd(name) => self.on_back_end_row(name),
            _ => {}
        }
    }

    fn on_tick(&mut self) {
        self.tick_control_link();
        self.tick_backups();
        self.tick_adopted();
        self.tick_transfers();
        self.tick_pulls();
        self.tick_rebalancing();
        self.tick_keys();
        self.tick_usage_queries();
        self.tick_bills();
        self.tick_calls();
        self.tick_drain();
    }

    /// Runs deferred actions and starts queued calls that the event has made possible, then sends
    /// changes to the backups.
    fn process_follow_ups(&mut self) {
        self.run_deferred_actions();
        self.serve_queues();
        self.run_deferred_actions();
        self.run_local_messages();
        self.flush_mirrors();
    }

    /// Handles messages to this router itself; they take effect in the same step.
    fn run_local_messages(&mut self) {
        while let Some(message) = self.local_messages.pop_front() {
            let own_node = self.config.node.clone();
            self.on_router_message(own_node, message);
            self.run_deferred_actions();
        }
    }

    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        if to == self.config.node {
            self.local_messages.push_back(message);
        } else {
            self.effects.push(Effect::Send { to: Peer::Router(to), message });
        }
    }

    pub(crate) fn send_to_control(&mut self, message: &Message) {
        for replica in self.config.control.clone() {
            let to = Peer::Control(replica);
            self.effects.push(Effect::Send { to, message: message.clone() });
        }
    }

    pub(crate) fn warn(&mut self, text: impl Into<String>) {
        self.effects.push(Effect::Warn(text.into()));
    }

    pub(crate) fn trace_step(&mut self, request: RequestId, step: TraceStep) {
        self.traces.trace_step(self.now, request, step);
    }

    pub(crate) fn trace_call_step(&mut self, id: CallId, step: TraceStep) {
        if let Some(call) = self.calls.get(&id) {
            let request = call.call.request;
            self.trace_step(request, step);
        }
    }

    pub(crate) fn set_stage(&mut self, id: CallId, stage: Stage) {
        let now = self.now;
        if let Some(call) = self.calls.get_mut(&id) {
            call.stage = stage;
            call.stage_entered_at = now;
        }
    }

    /// Removes a call and releases its local reservation.
    pub(crate) fn remove_call(&mut self, id: CallId) -> Option<CallState> {
        let call = self.calls.remove(&id)?;
        if self.call_by_request.get(&call.call.request) == Some(&id) {
            self.call_by_request.remove(&call.call.request);
        }
        if call.reserved {
            self.rights.release_local(&call.account, &call.budget, call.bound);
        }
        Some(call)
    }
}
