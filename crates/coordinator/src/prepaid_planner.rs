//! The leader's view of the routers' accounts, and what follows from it.

use crate::state::Command;
use stackpost_prepaid::{AccountReport, PrepaidLedger, plan};
use stackpost_types::{Millis, NodeId, TenantName, Timestamp, Tokens};
use std::collections::{BTreeMap, BTreeSet};

/// Time between two rounds while no request waits.
const ROUND_INTERVAL: Millis = Millis(250);
/// A router that has been silent for so long is not planned for.
const REPORT_LIMIT: Millis = Millis(1_500);
/// A new leader listens for so long before it hands out anything.
const SETTLE_TIME: Millis = Millis(300);
/// A proposal that has not been applied for so long is given up.
const PROPOSAL_LIMIT: Millis = Millis(1_500);
/// Part of every budget, in thousandths, that is never handed out.
const RESERVE_PERMILLE: u64 = 8;

#[derive(Default)]
struct RouterView {
    reported_at: Timestamp,
    accounts: BTreeMap<TenantName, AccountReport>,
}

/// Gathers the routers' reports and plans rounds.
#[derive(Default)]
pub(crate) struct PrepaidPlanner {
    routers: BTreeMap<NodeId, RouterView>,
    farewells: BTreeMap<NodeId, BTreeMap<TenantName, Tokens>>,
    recalls: BTreeMap<NodeId, Vec<(TenantName, Tokens)>>,
    urgent: bool,
    round_at: Timestamp,
    proposed: Option<(u64, Timestamp)>,
}

impl PrepaidPlanner {
    /// A new leader begins with an empty view; a former one forgets its own.
    pub fn on_role_change(&mut self, now: Timestamp) {
        *self = Self { round_at: now + SETTLE_TIME, ..Self::default() };
    }

    /// Takes in a router's report.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        router: &NodeId,
        accounts: Vec<(TenantName, AccountReport)>,
    ) {
        self.urgent |= accounts.iter().any(|(_, account)| !account.wanted.is_zero());
        let view = self.routers.entry(router.clone()).or_default();
        view.reported_at = now;
        view.accounts.extend(accounts);
    }

    /// Notes that a router's process runs, so earlier ones on its machine have ended.
    pub fn on_router_seen(&mut self, now: Timestamp, router: &NodeId) {
        self.routers.entry(router.clone()).or_default().reported_at = now;
        self.routers.retain(|known, _| known.machine != router.machine || known == router);
    }

    /// Takes in a router's farewell.
    pub fn on_farewell(&mut self, router: &NodeId, spent: BTreeMap<TenantName, Tokens>) {
        self.farewells.insert(router.clone(), spent);
    }

    /// Notes that what was planned has been proposed as the entry at `index`.
    pub fn on_proposed(&mut self, now: Timestamp, index: u64) {
        self.proposed = Some((index, now));
    }

    /// The commands of a round; none if it is too early or the last round is under way.
    pub fn plan(&mut self, now: Timestamp, ledger: &PrepaidLedger) -> Vec<Command> {
        let waiting = self.proposed.is_some_and(|(_, at)| now.since(at) < PROPOSAL_LIMIT);
        let due = now >= self.round_at || (self.urgent && self.round_at.0 < now.0 + ROUND_INTERVAL.0);
        if waiting || !due {
            return Vec::new();
        }
        self.urgent = false;
        self.round_at = now + ROUND_INTERVAL;
        self.proposed = None;
        let mut commands = self.closings(ledger);
        self.routers.retain(|_, view| now.since(view.reported_at) < REPORT_LIMIT);
        let reports: BTreeMap<NodeId, BTreeMap<TenantName, AccountReport>> = self
            .routers
            .iter()
            .map(|(router, view)| (router.clone(), view.accounts.clone()))
            .collect();
        commands.extend(returns(ledger, &reports));
        let plan = plan(ledger, &reports, RESERVE_PERMILLE);
        for recall in plan.recalls {
            let of_router = self.recalls.entry(recall.holder).or_default();
            of_router.push((recall.tenant, recall.keep));
        }
        if !plan.grants.is_empty() {
            commands.push(Command::Grant(plan.grants));
        }
        commands
    }

    /// Recalls that were planned.
    pub fn take_recalls(&mut self) -> BTreeMap<NodeId, Vec<(TenantName, Tokens)>> {
        std::mem::take(&mut self.recalls)
    }

    /// Routers whose totals a command changes. Also ends the wait for the command.
    pub fn routers_touched(&mut self, command: &Command) -> BTreeSet<NodeId> {
        match command {
            Command::Grant(grants) => {
                self.proposed = None;
                grants.iter().map(|grant| grant.holder.clone()).collect()
            }
            Command::GiveBack(_) | Command::CloseRouter { .. } => {
                self.proposed = None;
                BTreeSet::new()
            }
            _ => BTreeSet::new(),
        }
    }

    /// Router lives that have ended: those that said so and those whose machine runs another one.
    fn closings(&mut self, ledger: &PrepaidLedger) -> Vec<Command> {
        let mut commands = Vec::new();
        for (router, spent) in std::mem::take(&mut self.farewells) {
            self.routers.remove(&router);
            commands.push(Command::CloseRouter { router, spent });
        }
        let ended: BTreeSet<NodeId> =
            self.routers.keys().flat_map(|router| ledger.earlier_lives(router)).collect();
        for router in ended {
            commands.push(Command::CloseRouter { router, spent: BTreeMap::new() });
        }
        commands
    }
}

/// What routers have given back and the ledger does not know yet.
fn returns(
    ledger: &PrepaidLedger,
    reports: &BTreeMap<NodeId, BTreeMap<TenantName, AccountReport>>,
) -> Option<Command> {
    let mut returns = Vec::new();
    for (router, accounts) in reports {
        for (tenant, account) in accounts {
            if account.returned > ledger.allotment(router, tenant).returned {
                returns.push((router.clone(), tenant.clone(), account.returned));
            }
        }
    }
    (!returns.is_empty()).then_some(Command::GiveBack(returns))
}
