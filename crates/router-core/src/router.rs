//! The state machine: its parts, and the entry point.

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

/// Longest wait for the platform's first list.
const PLATFORM_TIMEOUT: Millis = Millis(5_000);

/// Fixed facts about a router's life.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// This life.
    pub node: NodeId,
    /// The zone the machine stands in.
    pub zone: ZoneName,
    /// The control replicas.
    pub control: Vec<MachineName>,
    /// Whether there is a platform list to be read.
    pub has_platform: bool,
    /// Deliberate faults, for tests of the tests. All off in a real router.
    pub defects: Defects,
}

/// Deliberate faults that tests switch on to see that their checks notice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Defects {
    /// Let effects take place before the backup holds the change.
    pub skip_mirror: bool,
    /// Send a non-repeatable request again after an attempt that may have run.
    pub retry_after_send: bool,
    /// Say `not_run` where the outcome is unknown.
    pub claim_not_run: bool,
    /// Spend without reserving.
    pub skip_reserve: bool,
    /// Bill each answer twice.
    pub bill_twice: bool,
    /// Take in a configuration that is older than the one held.
    pub accept_old_configuration: bool,
    /// Send new work to back ends that are leaving.
    pub ignore_leaving: bool,
    /// Stop without waiting for requests in flight.
    pub drain_at_once: bool,
    /// Give a retry the answer of whichever request ended last.
    pub swap_answers: bool,
}

/// What a router says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouterStatus {
    /// This life.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is finishing its work.
    pub draining: bool,
    /// The configuration in force.
    pub version: Version,
    /// Requests being worked on.
    pub in_flight: usize,
    /// Requests waiting for a back end.
    pub queued: usize,
    /// The backup of its account.
    pub backup: Option<NodeId>,
    /// Whether it lives on its unmirrored account.
    pub solo: bool,
    /// Accounts it owns.
    pub owned: Vec<AccountId>,
    /// Accounts it backs up.
    pub mirrored: Vec<AccountId>,
    /// Bills that are not yet archived.
    pub unarchived_bills: usize,
}

/// A router.
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
    pub(crate) call_of_request: BTreeMap<RequestId, CallId>,
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
    local: VecDeque<Message>,
}

impl Router {
    /// A router that starts its life at `now`.
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
            call_of_request: BTreeMap::new(),
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
            local: VecDeque::new(),
            config,
        }
    }

    /// The next life of a router whose account was taken over, in the same process. Unmirrored
    /// accounts were never taken over: nobody else knows what they hold, so the new life goes on
    /// with their rights, requests and bills.
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

    /// Takes in one event at `now`; `wall` is for bills and decides nothing.
    pub fn handle(&mut self, now: Timestamp, wall: WallTime, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.wall = wall;
        if !self.fenced {
            self.dispatch_event(event);
            self.run_local_messages();
            self.settle_down();
        }
        std::mem::take(&mut self.effects)
    }

    /// Whether requests are taken: there is a configuration and a backup.
    pub fn is_ready(&self) -> bool {
        let in_service = self.draining.is_none() && !self.fenced;
        in_service && self.directory.confirmed && self.has_backup() && self.platform_list_ready()
    }

    /// Whether the platform's list has been read. Without it work could go to a back end that left
    /// long ago. If the platform does not answer for long, the router does without.
    pub(crate) fn platform_list_ready(&self) -> bool {
        let waited = self.now.since(self.started_at);
        !self.config.has_platform || self.platform.is_some() || waited > PLATFORM_TIMEOUT
    }

    /// This life.
    pub fn node(&self) -> &NodeId {
        &self.config.node
    }

    /// The configuration in force.
    pub fn version(&self) -> Version {
        self.directory.table.version()
    }

    /// The configuration itself.
    pub fn table(&self) -> &Table {
        &self.directory.table
    }

    /// The models that can be asked for.
    pub fn models(&self) -> Vec<ModelName> {
        self.directory.models().cloned().collect()
    }

    /// The back ends and what is known of them.
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

    /// What happened to a request.
    pub fn trace(&self, request: &RequestId) -> Option<&Trace> {
        self.traces.get(request)
    }

    /// What happened to the newest requests, newest first.
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
                if let Some(known) = self.balancer.get_mut(&back_end) {
                    known.on_report(now, report);
                }
            }
            Event::LoadFailed { back_end } => self.on_back_end_failure(&back_end),
            Event::Cache { back_end, first, changes } => {
                if let Some(known) = self.balancer.get_mut(&back_end) {
                    known.cache.apply_events(first, &changes);
                }
            }
            Event::CacheSnapshot { back_end, next, blocks } => {
                if let Some(known) = self.balancer.get_mut(&back_end) {
                    known.cache.replace(next, &blocks);
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
        let old = delta.to < self.version();
        if self.config.defects.accept_old_configuration && old {
            let whole = stackpost_table::Delta { from: Version(0), ..delta.clone() };
            self.directory.table = Table::default();
            self.directory.apply(confirmed, &whole);
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

    /// Does what the event has made possible, until nothing more follows.
    fn settle_down(&mut self) {
        self.run_deferred_actions();
        self.serve_queues();
        self.run_deferred_actions();
        self.run_local_messages();
        self.flush_mirrors();
    }

    /// Messages to this router itself take effect in the same step.
    fn run_local_messages(&mut self) {
        while let Some(message) = self.local.pop_front() {
            let me = self.config.node.clone();
            self.on_router_message(me, message);
            self.run_deferred_actions();
        }
    }

    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        if to == self.config.node {
            self.local.push_back(message);
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
            call.stage_since = now;
        }
    }

    /// Takes a call off the books.
    pub(crate) fn remove_call(&mut self, id: CallId) -> Option<CallState> {
        let call = self.calls.remove(&id)?;
        if self.call_of_request.get(&call.call.request) == Some(&id) {
            self.call_of_request.remove(&call.call.request);
        }
        if call.reserved {
            self.rights.release_local(&call.account, &call.budget, call.bound);
        }
        Some(call)
    }
}
