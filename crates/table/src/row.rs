//! Types of the rows.

use serde::{Deserialize, Serialize};
use stackpost_types::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Row {
    Zone(ZoneRow),
    Machine(MachineRow),
    Service(ServiceRow),
    BackEnd(BackEndRow),
    Route(RouteRow),
    Budget(BudgetRow),
    Tenant(TenantRow),
    Policy(PolicyRow),
    Account(AccountRow),
    Issue(IssueRow),
    KeySlots(KeySlotsRow),
}

/// A zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneRow {
    /// Share of every budget that is first issued to the zone, relative to the other zones.
    pub weight: u32,
}

/// A machine that runs a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineRow {
    /// Its zone.
    pub zone: ZoneName,
    /// Address of its router for other processes of the fleet.
    pub peer_address: SocketAddr,
    /// Address of its router for callers.
    pub api_address: SocketAddr,
}

/// The kind of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Language model engines, selected by model name.
    Model,
    /// Plain HTTP servers, selected by route.
    Plain,
}

/// A group of interchangeable back ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRow {
    /// Kind of the back ends.
    pub kind: ServiceKind,
    /// Models served; empty for a plain service.
    pub models: Vec<ModelName>,
    /// Requests that may wait in one router for an available back end.
    pub queue_limit: u32,
    /// Concurrent requests from one router to one back end.
    pub back_end_concurrency: u32,
    /// Longest wait in the queue, in milliseconds.
    pub queue_wait_ms: u64,
    /// Largest `max_tokens` that a caller may request.
    pub max_tokens_limit: u64,
}

/// Whether a back end receives new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackEndState {
    /// Receives new requests.
    Active,
    /// Finishes its current requests and receives no new ones.
    Leaving,
}

/// The phases of a request that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode.
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// One model engine or plain server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackEndRow {
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its zone.
    pub zone: ZoneName,
    /// Address of the back end.
    pub address: SocketAddr,
    /// Share of the requests, relative to the service's other back ends.
    pub weight: u32,
    /// Whether it receives new requests.
    pub state: BackEndState,
    /// Whether it checks the fencing token of orders.
    pub checks_fence: bool,
    /// Models, adapters and versions that it is ordered to load. If empty, no orders are sent.
    pub loaded: Vec<ModelName>,
    /// The role that it is ordered to take.
    pub role: EngineRole,
}

/// A rule that routes a path to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// Prefix of the paths that match. The rule with the longest matching prefix applies.
    pub path_prefix: String,
    /// Methods that match; empty for all.
    pub methods: Vec<String>,
    /// Service that receives matching requests.
    pub service: ServiceName,
    /// Whether a request may be retried after an attempt that may have reached a back end.
    pub repeatable: bool,
    /// Tokens charged for each answered request.
    pub cost: Tokens,
}

/// A prepaid budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetRow {
    /// Tokens that may be spent in total, over the whole lifetime of the budget.
    pub limit: Tokens,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantRow {
    /// Hashes of its bearer keys.
    pub key_hashes: Vec<KeyHash>,
    /// The budget that its requests are charged to.
    pub budget: BudgetName,
    /// The zone that keeps its idempotency keys.
    pub home_zone: ZoneName,
    /// Share of a full queue, relative to the other tenants.
    pub weight: u32,
}

/// Options of the whole fleet. Times are in milliseconds unless the name says otherwise, shares in
/// thousandths.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyRow {
    /// Share of the remaining rights that is distributed over the zones by weight, not by demand.
    pub floor_share_permille: u32,
    /// Share of a machine's rights that is reserved for the time when it has no backup at all.
    pub solo_share_permille: u32,
    /// Time between two rebalancings of rights among the zones.
    pub level_interval_ms: u64,
    /// Seconds of demand that a router's request for rights covers.
    pub chunk_seconds: u32,
    /// Longest wait for rights from other machines before a request is refused.
    pub rights_wait_ms: u64,
    /// Time for which answers to requests with an idempotency key are kept for retries.
    pub key_retention_ms: u64,
    /// Time without a heartbeat after which a router is considered dead.
    pub router_timeout_ms: u64,
    /// Longest time that a draining router waits for its requests to end.
    pub drain_deadline_ms: u64,
    /// Retries allowed per thousand first attempts.
    pub retry_permille: u32,
    /// Consecutive failures after which a back end is ejected.
    pub eject_after_failures: u32,
    /// Duration of the first ejection. It doubles at each further consecutive one, up to a limit.
    pub eject_ms: u64,
}

impl Default for PolicyRow {
    fn default() -> Self {
        Self {
            floor_share_permille: 600,
            solo_share_permille: 20,
            level_interval_ms: 1_000,
            chunk_seconds: 2,
            rights_wait_ms: 400,
            key_retention_ms: 600_000,
            router_timeout_ms: 1_500,
            drain_deadline_ms: 600_000,
            retry_permille: 100,
            eject_after_failures: 3,
            eject_ms: 2_000,
        }
    }
}

/// The state of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AccountState {
    /// The router that opened the account owns it.
    Active,
    /// The router that opened it has ended. The former backup owns the account and empties it.
    Sealed,
    /// Owner and backup have both ended. The rights that the account held count as spent.
    Lost,
}

/// An account: its owner, backup and state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountRow {
    /// Incremented at each change of this row.
    pub epoch: Epoch,
    /// The zone of the router that opened the account.
    pub zone: ZoneName,
    /// The only node that may change the account.
    pub owner: NodeId,
    /// The node that must acknowledge each change.
    pub backup: Option<NodeId>,
    /// The account's state.
    pub state: AccountState,
}

/// Rights issued for one budget. `limit in force = issued − returned + pool`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct IssueRow {
    /// All rights ever issued to each account.
    pub issued: BTreeMap<AccountId, Tokens>,
    /// All rights ever returned by each account.
    pub returned: BTreeMap<AccountId, Tokens>,
    /// Rights issued to each zone, less those it has returned.
    pub by_zone: BTreeMap<ZoneName, Tokens>,
    /// Rights that are not issued.
    pub pool: Tokens,
    /// Rights that zones hold above the limit and must return.
    pub recall: Tokens,
}

impl IssueRow {
    /// Rights issued to accounts and not returned, whether spent or not.
    pub fn held(&self) -> Tokens {
        let issued: Tokens = self.issued.values().copied().sum();
        let returned: Tokens = self.returned.values().copied().sum();
        issued - returned
    }
}

/// Number of slots over which a zone's idempotency keys are spread.
pub const KEY_SLOT_COUNT: usize = 16;

/// The accounts that keep the idempotency keys of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeySlotsRow {
    /// The account of each slot.
    pub accounts: Vec<AccountId>,
    /// Slots whose earlier records were lost. A key unknown in such a slot may have been used.
    pub forgotten: Vec<bool>,
}
