//! The leader's view of the routers' accounts, and what follows from it.

use crate::message::{ClockEcho, RouterStatus};
use crate::state::{Command, RouterContact};
use stackpost_prepaid::{
    AccountReport, BootTimestamp, BudgetForecast, BudgetShortage, IncarnationEnd, PrepaidLedger,
    ScarceBudgetLimiter, SteadyTime, TokenReturn, plan,
};
use stackpost_types::{Millis, NodeId, TenantName, Timestamp, Tokens};
use std::collections::{BTreeMap, BTreeSet};

/// Time between two rounds while no request waits.
const ROUND_INTERVAL: Millis = Millis(250);
/// Time between two records of when a router was last in touch.
const CONTACT_INTERVAL: Millis = Millis(400);
/// A router that has been silent for so long is not planned for.
const REPORT_LIMIT: Millis = Millis(1_500);
/// A new leader listens for so long before it hands out anything.
const SETTLE_TIME: Millis = Millis(250);
/// A proposal that has not been applied for so long is given up.
const PROPOSAL_LIMIT: Millis = Millis(1_500);
/// Least time between two words to the routers about which budgets run out.
const OUTLOOK_INTERVAL: Millis = Millis(500);

/// Least time between two log lines about the same short budget.
const SHORT_LOGGED_EVERY: Millis = Millis(1_000);

/// A new life of a machine is seen for so long before earlier ones are charged: what they have
/// left with other routers may still be on its way.
const CUSTODY_TIME: Millis = Millis(700);

struct RouterView {
    first_seen: Timestamp,
    reported_at: Timestamp,
    started: BootTimestamp,
    contact: Option<BootTimestamp>,
    accounts: BTreeMap<TenantName, AccountReport>,
}

impl RouterView {
    fn take_contact(&mut self, router: &NodeId) -> Option<RouterContact> {
        let contact = self.contact.take()?;
        let consumed = |(tenant, account): (&TenantName, &AccountReport)| {
            (tenant.clone(), account.used + account.returned)
        };
        let consumed = self.accounts.iter().map(consumed).collect();
        Some(RouterContact { router: router.clone(), contact, consumed })
    }
}

/// Gathers the routers' reports and plans rounds.
#[derive(Default)]
pub(crate) struct PrepaidPlanner {
    routers: BTreeMap<NodeId, RouterView>,
    /// When router lives last heard this replica, those among them that may have ended since.
    /// Kept by followers, too, so that a new leader knows.
    echoes: BTreeMap<NodeId, ClockEcho>,
    /// When earlier lives had certainly ended, by the clocks of their machines.
    ended: BTreeMap<NodeId, BootTimestamp>,
    final_usages: BTreeMap<NodeId, BTreeMap<TenantName, Tokens>>,
    recalls: BTreeMap<NodeId, Vec<(TenantName, Tokens)>>,
    scarce_limiter: ScarceBudgetLimiter,
    forecasts: BTreeMap<TenantName, BudgetForecast>,
    outlooks_told_at: Option<Timestamp>,
    short_logged_at: BTreeMap<TenantName, Timestamp>,
    urgent: bool,
    round_at: Timestamp,
    planned_at: Option<Timestamp>,
    contacts_at: Timestamp,
    proposed: Option<(u64, Timestamp)>,
}

impl PrepaidPlanner {
    /// A new leader begins with an empty view; a former one forgets its own.
    pub fn on_role_change(&mut self, now: Timestamp) {
        let echoes = std::mem::take(&mut self.echoes);
        let ended = std::mem::take(&mut self.ended);
        *self = Self { round_at: now + SETTLE_TIME, echoes, ended, ..Self::default() };
    }

    /// Takes in when a router last heard this replica. The first echo of a new life ends the
    /// earlier ones on its machine.
    pub fn on_echo(&mut self, now: Timestamp, router: &NodeId, echo: ClockEcho) {
        if self.echoes.insert(router.clone(), echo).is_some() {
            return;
        }
        for (earlier, echo) in &self.echoes {
            if earlier.machine == router.machine && earlier != router {
                let ended = BootTimestamp {
                    boot: echo.received_at.boot,
                    at: SteadyTime(echo.received_at.at.0 + now.since(echo.sent_at).0),
                };
                self.ended.entry(earlier.clone()).or_insert(ended);
            }
        }
    }

    /// Takes in a router's report.
    pub fn on_report(&mut self, now: Timestamp, router: &NodeId, status: RouterStatus) {
        self.urgent |= status.accounts.iter().any(|(_, account)| !account.wanted.is_zero());
        if !self.routers.contains_key(router) {
            self.routers.retain(|known, _| known.machine != router.machine);
        }
        let view = self.routers.entry(router.clone()).or_insert_with(|| RouterView {
            first_seen: now,
            reported_at: now,
            started: status.started,
            contact: None,
            accounts: BTreeMap::new(),
        });
        view.reported_at = now;
        // What is given back may be just what a request elsewhere waits for.
        self.urgent |= status.accounts.iter().any(|(tenant, account)| {
            let known = view.accounts.get(tenant).copied().unwrap_or_default();
            account.returned > known.returned || account.released > known.released
        });
        view.accounts.extend(status.accounts);
        if let Some(contact) = status.contact {
            view.contact = Some(contact);
        }
    }

    /// Takes in a router's farewell.
    pub fn on_final_usage(&mut self, router: &NodeId, spent: BTreeMap<TenantName, Tokens>) {
        self.final_usages.insert(router.clone(), spent);
    }

    /// Notes that what was planned has been proposed as the entry at `index`.
    pub fn on_proposed(&mut self, now: Timestamp, index: u64) {
        self.proposed = Some((index, now));
    }

    /// The commands of a round; none if it is too early or the last round is under way.
    pub fn plan(&mut self, now: Timestamp, ledger: &PrepaidLedger) -> Vec<Command> {
        let under_way = self.proposed.is_some_and(|(_, at)| now.since(at) < PROPOSAL_LIMIT);
        let settled = self.round_at.0 <= now.0 + ROUND_INTERVAL.0;
        let due = now >= self.round_at || (self.urgent && settled);
        if under_way || !due {
            return Vec::new();
        }
        self.urgent = false;
        let elapsed = self.planned_at.map_or(ROUND_INTERVAL, |at| now.since(at));
        self.planned_at = Some(now);
        self.round_at = now + ROUND_INTERVAL;
        self.proposed = None;
        let mut commands = self.closings(now, ledger);
        self.routers.retain(|_, view| now.since(view.reported_at) < REPORT_LIMIT);
        let reports: BTreeMap<NodeId, BTreeMap<TenantName, AccountReport>> = self
            .routers
            .iter()
            .filter(|(_, view)| !view.accounts.is_empty())
            .map(|(router, view)| (router.clone(), view.accounts.clone()))
            .collect();
        commands.extend(returns(ledger, &reports));
        let plan = plan(ledger, &reports, elapsed, &mut self.scarce_limiter);
        for recall in plan.recalls {
            let of_router = self.recalls.entry(recall.holder).or_default();
            of_router.push((recall.tenant, recall.keep));
        }
        self.forecasts = plan.forecasts;
        self.log_short(now, &plan.shortages);
        if !plan.grants.is_empty() {
            commands.push(Command::Grant(plan.grants));
        }
        commands.extend(self.new_contacts(now, ledger));
        commands
    }

    /// Says which budgets routers want more of, each now and then.
    fn log_short(&mut self, now: Timestamp, shortages: &[BudgetShortage]) {
        self.short_logged_at.retain(|_, at| now.since(*at) < SHORT_LOGGED_EVERY);
        for budget in shortages {
            if self.short_logged_at.contains_key(&budget.tenant) {
                continue;
            }
            self.short_logged_at.insert(budget.tenant.clone(), now);
            log::info!(
                tenant = budget.tenant.as_str(),
                limit = budget.limit.0,
                available = budget.available.0,
                held = budget.held.0,
                wanted = budget.wanted.0;
                "budget short"
            );
        }
    }

    /// Recalls that were planned.
    pub fn take_recalls(&mut self) -> BTreeMap<NodeId, Vec<(TenantName, Tokens)>> {
        std::mem::take(&mut self.recalls)
    }

    /// Budgets that are going to run out, if the routers should be told.
    pub fn take_forecasts(
        &mut self,
        now: Timestamp,
    ) -> Option<BTreeMap<TenantName, BudgetForecast>> {
        if self.outlooks_told_at.is_some_and(|at| now.since(at) < OUTLOOK_INTERVAL) {
            return None;
        }
        self.outlooks_told_at = Some(now);
        Some(self.forecasts.clone())
    }

    /// Routers whose allotments a command changes. Also ends the wait for the round.
    pub fn affected_routers(&mut self, index: u64, command: &Command) -> BTreeSet<NodeId> {
        if self.proposed.is_some_and(|(last, _)| last <= index) {
            self.proposed = None;
        }
        match command {
            Command::Grant(grants) => grants.iter().map(|grant| grant.holder.clone()).collect(),
            _ => BTreeSet::new(),
        }
    }

    /// Router lives that have ended: those that said so and those whose machine runs another one.
    fn closings(&mut self, now: Timestamp, ledger: &PrepaidLedger) -> Vec<Command> {
        let mut commands = Vec::new();
        for (router, spent) in std::mem::take(&mut self.final_usages) {
            self.routers.remove(&router);
            if ledger.allotments(&router).is_empty() {
                continue;
            }
            commands.push(Command::CloseRouter { router, end: IncarnationEnd::Reported(spent) });
        }
        for (successor, view) in &self.routers {
            if now.since(view.first_seen) < CUSTODY_TIME {
                continue;
            }
            for router in ledger.earlier_incarnations(successor) {
                let end = end_of_life(ledger, &router, self.ended.get(&router), view);
                log::info!(router = router.to_string().as_str(); "router life ended: {end:?}");
                self.scarce_limiter.on_router_lost(now, router.machine.clone());
                commands.push(Command::CloseRouter { router, end });
            }
        }
        let routers = self.routers.len();
        if let Some(lost) = self.scarce_limiter.open_guard_after_loss(now, routers) {
            log::info!(lost = lost, routers = routers; "routers were lost together, the ends of budgets are open");
        }
        commands
    }

    /// Contacts that the ledger should know, now and then: those of routers that hold something.
    fn new_contacts(&mut self, now: Timestamp, ledger: &PrepaidLedger) -> Option<Command> {
        if now < self.contacts_at {
            return None;
        }
        self.contacts_at = now + CONTACT_INTERVAL;
        let holders = self.routers.iter_mut().filter(|(router, _)| ledger.is_holder(router));
        let contacts: Vec<RouterContact> =
            holders.filter_map(|(router, view)| view.take_contact(router)).collect();
        (!contacts.is_empty()).then_some(Command::RecordContacts(contacts))
    }
}

/// When a router life had certainly ended: before its successor's process started, and before this
/// replica first heard of the successor.
fn end_of_life(
    ledger: &PrepaidLedger,
    router: &NodeId,
    by_echo: Option<&BootTimestamp>,
    successor: &RouterView,
) -> IncarnationEnd {
    let by_successor = ledger
        .contact(router)
        .filter(|known| successor.started.since(*known).is_some())
        .map(|_| successor.started);
    match (by_successor, by_echo) {
        (Some(first), Some(second)) if second.at < first.at => IncarnationEnd::EndedBefore(*second),
        (Some(first), _) => IncarnationEnd::EndedBefore(first),
        (None, Some(second)) => IncarnationEnd::EndedBefore(*second),
        (None, None) => IncarnationEnd::Unknown,
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
            let known = ledger.allotment(router, tenant);
            if account.returned > known.returned || account.released > known.released {
                returns.push(TokenReturn {
                    holder: router.clone(),
                    tenant: tenant.clone(),
                    returned: account.returned,
                    released: account.released,
                });
            }
        }
    }
    (!returns.is_empty()).then_some(Command::ReturnTokens(returns))
}
