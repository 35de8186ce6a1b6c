//! The typed rows.

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
    /// Share of every budget that the zone is given at first, relative to the other zones.
    pub weight: u32,
}

/// A machine that runs a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineRow {
    /// The zone it stands in.
    pub zone: ZoneName,
    /// Where other processes of the fleet reach its router.
    pub peer_address: SocketAddr,
    /// Where callers reach its router.
    pub api_address: SocketAddr,
}

/// What a service runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Language engines, reached by model name.
    Model,
    /// Plain servers, reached by route.
    Plain,
}

/// A group of interchangeable back ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRow {
    /// What the back ends are.
    pub kind: ServiceKind,
    /// Models served; empty for a plain service.
    pub models: Vec<ModelName>,
    /// Requests that may wait in one router for a free back end.
    pub queue_limit: u32,
    /// Requests one router sends to one back end at once.
    pub back_end_concurrency: u32,
    /// Longest wait in the queue, in milliseconds.
    pub queue_wait_ms: u64,
    /// Largest `max_tokens` that a caller may ask for.
    pub max_tokens_limit: u64,
}

/// Whether a back end takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackEndState {
    /// Takes work.
    Active,
    /// Finishes what it has and takes nothing new.
    Leaving,
}

/// What an engine does for its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prompt processing and generation.
    Both,
    /// Prompt processing only.
    Prefill,
    /// Generation only.
    Decode,
}

/// One model engine or plain server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackEndRow {
    /// The service it belongs to.
    pub service: ServiceName,
    /// The zone it stands in.
    pub zone: ZoneName,
    /// Where routers reach it.
    pub address: SocketAddr,
    /// Share of the work, relative to the others.
    pub weight: u32,
    /// Whether it takes new work.
    pub state: BackEndState,
    /// Whether it checks the fencing token of orders.
    pub checks_fence: bool,
    /// Models, adapters and versions it is ordered to hold; empty: no orders are sent.
    pub loaded: Vec<ModelName>,
    /// The role it is ordered to play.
    pub role: EngineRole,
}

/// A rule that sends a path to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// Paths that begin with this text match; the longest match wins.
    pub path_prefix: String,
    /// Methods that match; empty for all.
    pub methods: Vec<String>,
    /// Where matching requests go.
    pub service: ServiceName,
    /// Whether a request may be sent again after an attempt that may have reached a back end.
    pub repeatable: bool,
    /// Tokens charged for each answered request.
    pub cost: Tokens,
}

/// A prepaid budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetRow {
    /// Tokens that may be spent in all, over the budget's life.
    pub limit: Tokens,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantRow {
    /// Hashes of its bearer keys.
    pub key_hashes: Vec<KeyHash>,
    /// The budget its requests draw on.
    pub budget: BudgetName,
    /// The zone that keeps its idempotency keys.
    pub home_zone: ZoneName,
    /// Share of a full queue, relative to other tenants.
    pub weight: u32,
}

/// Knobs of the whole fleet. Times are in milliseconds, shares in thousandths.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyRow {
    /// Part of what remains that is spread over the zones by weight rather than by demand.
    pub floor_share_permille: u32,
    /// Part of a machine's rights set aside for the time when it has lost every backup.
    pub solo_share_permille: u32,
    /// Time between two levellings of rights among zones.
    pub level_interval_ms: u64,
    /// Seconds of demand that a router asks for at once.
    pub chunk_seconds: u32,
    /// Longest wait for rights from other machines before a request is refused.
    pub rights_wait_ms: u64,
    /// How long answers to keyed requests are kept for a retry.
    pub key_retention_ms: u64,
    /// Silence after which a router is taken for dead.
    pub router_timeout_ms: u64,
    /// Silence after which a back end on the platform's list counts as gone.
    pub drain_deadline_ms: u64,
    /// Retries allowed for each thousand first attempts.
    pub retry_permille: u32,
    /// Failures in a row that eject a back end.
    pub eject_after_failures: u32,
    /// First ejection time; doubled at each further one.
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

/// Where an account stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AccountState {
    /// Its opener owns it.
    Active,
    /// Its opener is gone; the former backup owns it and empties it.
    Sealed,
    /// Owner and backup are both gone; what it held counts as spent.
    Lost,
}

/// The view of an account: who may change it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountRow {
    /// Grows by one at each change of this row.
    pub epoch: Epoch,
    /// The zone of the opener.
    pub zone: ZoneName,
    /// The only node that may change the account.
    pub owner: NodeId,
    /// The node whose acknowledgement each change needs.
    pub backup: Option<NodeId>,
    /// Where it stands in its life.
    pub state: AccountState,
}

/// Rights issued for one budget. `limit in force = issued − returned + pool`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct IssueRow {
    /// Rights issued to each account in all.
    pub issued: BTreeMap<AccountId, Tokens>,
    /// Rights given back by each account in all.
    pub returned: BTreeMap<AccountId, Tokens>,
    /// Rights issued to each zone in all, less those given back by it.
    pub by_zone: BTreeMap<ZoneName, Tokens>,
    /// Rights not issued.
    pub pool: Tokens,
    /// Rights that zones hold above the limit and must give back.
    pub recall: Tokens,
}

impl IssueRow {
    /// Rights out with the accounts, spent or not.
    pub fn held(&self) -> Tokens {
        let issued: Tokens = self.issued.values().copied().sum();
        let returned: Tokens = self.returned.values().copied().sum();
        issued - returned
    }
}

/// Number of slots over which a zone's idempotency keys are spread.
pub const KEY_SLOT_COUNT: usize = 16;

/// Which accounts keep the idempotency keys of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeySlotsRow {
    /// The account of each slot.
    pub accounts: Vec<AccountId>,
    /// Slots whose earlier records were lost; a key unknown there may have been used before.
    pub forgotten: Vec<bool>,
}
