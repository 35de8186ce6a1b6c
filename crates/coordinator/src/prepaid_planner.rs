//! Plans changes of the prepaid ledger from the routers' reports: grants, recalls, returns,
//! contacts and the closing of ended router incarnations.

use crate::message::{ClockEcho, RouterStatus};
use crate::state::{Command, RouterContact};
use stackpost_prepaid::{
    AccountReport, BootTimestamp, BudgetForecast, BudgetShortage, IncarnationEnd, PrepaidLedger,
    ScarceBudgetLimiter, SteadyTime, TokenReturn, plan,
};
use stackpost_types::{Millis, NodeId, TenantName, Timestamp, Tokens};
use std::collections::{BTreeMap, BTreeSet};

/// Time between two planning rounds while no request waits for tokens.
const ROUND_INTERVAL: Millis = Millis(250);
/// Time between two records of router contacts in the log.
const CONTACT_INTERVAL: Millis = Millis(400);
/// A router whose last report is older than this is left out of the plan.
const REPORT_MAX_AGE: Millis = Millis(1_500);
/// A new leader gathers reports for this long before it grants tokens.
const REPORT_GATHERING_TIME: Millis = Millis(250);
/// A proposal that has not been applied within this time is considered lost.
const PROPOSAL_TIMEOUT: Millis = Millis(1_500);
/// Shortest time between two forecasts sent to the routers.
const FORECAST_INTERVAL: Millis = Millis(500);

/// Shortest time between two log lines about a shortage of the same budget.
const SHORTAGE_LOG_INTERVAL: Millis = Millis(1_000);

/// Time for which a new incarnation of a machine must have reported before earlier ones are
/// charged: final usage that they have left with other routers may still be in transit.
const CLOSE_DELAY: Millis = Millis(700);

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

/// Collects the routers' reports and plans the leader's rounds.
#[derive(Default)]
pub(crate) struct PrepaidPlanner {
    routers: BTreeMap<NodeId, RouterView>,
    /// When router incarnations last received a status of this replica, including incarnations that
    /// may have ended since. Kept by followers too, so that a new leader knows them.
    echoes: BTreeMap<NodeId, ClockEcho>,
    /// Latest possible end of earlier incarnations, by the clocks of their machines.
    ended: BTreeMap<NodeId, BootTimestamp>,
    final_usages: BTreeMap<NodeId, BTreeMap<TenantName, Tokens>>,
    recalls: BTreeMap<NodeId, Vec<(TenantName, Tokens)>>,
    scarce_limiter: ScarceBudgetLimiter,
    forecasts: BTreeMap<TenantName, BudgetForecast>,
    forecasts_sent_at: Option<Timestamp>,
    shortage_logged_at: BTreeMap<TenantName, Timestamp>,
    urgent: bool,
    round_at: Timestamp,
    planned_at: Option<Timestamp>,
    contacts_at: Timestamp,
    proposed: Option<(u64, Timestamp)>,
}

impl PrepaidPlanner {
    /// Clears everything but the echoes, the ends and the final usages when this replica becomes the
    /// leader or stops being it. A router sends its final usage to the leader that it knows, which
    /// may have lost its role meanwhile and win it again.
    pub fn on_role_change(&mut self, now: Timestamp) {
        let echoes = std::mem::take(&mut self.echoes);
        let ended = std::mem::take(&mut self.ended);
        let final_usages = std::mem::take(&mut self.final_usages);
        let round_at = now + REPORT_GATHERING_TIME;
        *self = Self { round_at, echoes, ended, final_usages, ..Self::default() };
    }

    /// Records when a router last received a status of this replica. The first echo of a new
    /// incarnation bounds the end of the earlier ones on its machine.
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
        // Returned tokens may be what a request at another router waits for.
        self.urgent |= status.accounts.iter().any(|(tenant, account)| {
            let known = view.accounts.get(tenant).copied().unwrap_or_default();
            account.returned > known.returned || account.released > known.released
        });
        view.accounts.extend(status.accounts);
        if let Some(contact) = status.contact {
            view.contact = Some(contact);
        }
    }

    /// Records a stopping router's final usage.
    pub fn on_final_usage(&mut self, router: &NodeId, spent: BTreeMap<TenantName, Tokens>) {
        self.final_usages.insert(router.clone(), spent);
    }

    /// Drops the final usage of a router incarnation that has been closed.
    pub fn on_closed(&mut self, router: &NodeId) {
        self.final_usages.remove(router);
    }

    /// Records that a planned command was proposed as the entry at `index`.
    pub fn on_proposed(&mut self, now: Timestamp, index: u64) {
        self.proposed = Some((index, now));
    }

    /// Plans a round and returns its commands; none if it is too early or the last round is not
    /// applied yet.
    pub fn plan(&mut self, now: Timestamp, ledger: &PrepaidLedger) -> Vec<Command> {
        let is_pending = self.proposed.is_some_and(|(_, at)| now.since(at) < PROPOSAL_TIMEOUT);
        let is_settled = self.round_at.0 <= now.0 + ROUND_INTERVAL.0;
        let is_due = now >= self.round_at || (self.urgent && is_settled);
        if is_pending || !is_due {
            return Vec::new();
        }
        self.urgent = false;
        let elapsed = self.planned_at.map_or(ROUND_INTERVAL, |at| now.since(at));
        self.planned_at = Some(now);
        self.round_at = now + ROUND_INTERVAL;
        self.proposed = None;
        let mut commands = self.close_ended_incarnations(now, ledger);
        self.routers.retain(|_, view| now.since(view.reported_at) < REPORT_MAX_AGE);
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
        self.log_shortages(now, &plan.shortages);
        if !plan.grants.is_empty() {
            commands.push(Command::Grant(plan.grants));
        }
        commands.extend(self.new_contacts(now, ledger));
        commands
    }

    /// Logs the budgets that do not cover the routers' demand, each at a limited rate.
    fn log_shortages(&mut self, now: Timestamp, shortages: &[BudgetShortage]) {
        self.shortage_logged_at.retain(|_, at| now.since(*at) < SHORTAGE_LOG_INTERVAL);
        for budget in shortages {
            if self.shortage_logged_at.contains_key(&budget.tenant) {
                continue;
            }
            self.shortage_logged_at.insert(budget.tenant.clone(), now);
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

    /// Returns the planned recalls and clears them.
    pub fn take_recalls(&mut self) -> BTreeMap<NodeId, Vec<(TenantName, Tokens)>> {
        std::mem::take(&mut self.recalls)
    }

    /// The forecasts for budgets that are going to run out; `None` if they were sent recently.
    pub fn take_forecasts(
        &mut self,
        now: Timestamp,
    ) -> Option<BTreeMap<TenantName, BudgetForecast>> {
        if self.forecasts_sent_at.is_some_and(|at| now.since(at) < FORECAST_INTERVAL) {
            return None;
        }
        self.forecasts_sent_at = Some(now);
        Some(self.forecasts.clone())
    }

    /// Routers whose allotments the applied command changes. Also records that a proposed round is
    /// applied.
    pub fn affected_routers(&mut self, index: u64, command: &Command) -> BTreeSet<NodeId> {
        if self.proposed.is_some_and(|(last, _)| last <= index) {
            self.proposed = None;
        }
        match command {
            Command::Grant(grants) => grants.iter().map(|grant| grant.holder.clone()).collect(),
            _ => BTreeSet::new(),
        }
    }

    /// Closes router incarnations that have ended: those that reported their final usage, and those
    /// whose machine runs a newer incarnation.
    fn close_ended_incarnations(&mut self, now: Timestamp, ledger: &PrepaidLedger) -> Vec<Command> {
        let mut commands = Vec::new();
        for (router, spent) in std::mem::take(&mut self.final_usages) {
            self.routers.remove(&router);
            if ledger.allotments(&router).is_empty() {
                continue;
            }
            commands.push(Command::CloseRouter { router, end: IncarnationEnd::Reported(spent) });
        }
        for (successor, view) in &self.routers {
            if now.since(view.first_seen) < CLOSE_DELAY {
                continue;
            }
            for router in ledger.earlier_incarnations(successor) {
                let end = incarnation_end(ledger, &router, self.ended.get(&router), view);
                log::info!(router = router.to_string().as_str(); "router life ended: {end:?}");
                self.scarce_limiter.on_router_lost(now, router.machine.clone());
                commands.push(Command::CloseRouter { router, end });
            }
        }
        let routers = self.routers.len();
        if let Some(lost) = self.scarce_limiter.open_guard_after_loss(now, routers) {
            log::info!(
                lost = lost,
                routers = routers;
                "routers were lost together: the guards of all budgets may be granted"
            );
        }
        commands
    }

    /// At regular intervals, the contacts of routers that hold tokens, to be recorded in the
    /// ledger.
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

/// Latest possible end of a router incarnation: the start of its successor's process or this
/// replica's first contact with the successor, whichever is earlier.
fn incarnation_end(
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

/// Returned and released tokens that the ledger does not know yet.
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
