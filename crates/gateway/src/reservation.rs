//! Tokens reserved for one request, or for a request of another router.

use crate::decision_log;
use crate::header_codec::Generation;
use crate::loans::{Loan, LoanOutcome};
use crate::refusal::Refusal;
use crate::router::Router;
use stackpost_coordinator::BorrowResult;
use stackpost_types::{Millis, TenantName, Tokens};
use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Tokens of a tenant's budget that a request may cost. The actual cost is settled on drop, however
/// the request ends.
pub(crate) struct Reservation {
    router: Rc<Router>,
    tenant: TenantName,
    generation: Generation,
    tokens_per_event: u64,
    events: Cell<u64>,
    /// Set if another router reserved the tokens.
    loan: Option<Loan>,
    usage: Cell<Usage>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Usage {
    /// No engine has started the request.
    None,
    /// An engine may have generated more than was received here.
    Uncertain,
    /// The response was received completely.
    Counted,
}

impl Reservation {
    /// Reserves the maximum cost of the generation: at the router that owns the zone's account of
    /// the tenant, or here if this router does. If too few tokens are available, the request waits
    /// until `wait_until` at most.
    pub async fn make(
        router: &Rc<Router>,
        tenant: &TenantName,
        request: ReservationRequest<'_>,
        wait_until: Instant,
    ) -> Result<Self, Refusal> {
        let loan = request.reserve(router, tenant, wait_until).await?;
        router.metrics.on_reserved(loan.is_some());
        Ok(Self {
            router: router.clone(),
            tenant: tenant.clone(),
            generation: request.generation,
            tokens_per_event: request.tokens_per_event,
            events: Cell::new(0),
            loan,
            usage: Cell::new(Usage::None),
        })
    }

    /// An engine may start the request.
    pub fn on_sent(&self) {
        self.usage.set(Usage::Uncertain);
    }

    /// It is certain that no engine ran the request.
    pub fn on_not_run(&self) {
        self.usage.set(Usage::None);
    }

    pub fn on_event(&self) {
        self.events.set(self.events.get() + 1);
    }

    pub fn on_complete(&self) {
        self.usage.set(Usage::Counted);
    }

    fn used(&self) -> Tokens {
        let max_cost = self.generation.max_cost();
        match self.usage.get() {
            Usage::None => Tokens::ZERO,
            Usage::Uncertain => max_cost,
            Usage::Counted => {
                let generated = Tokens(self.tokens_per_event).scaled(self.events.get(), 1);
                (self.generation.prompt + generated).min(max_cost)
            }
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let max_cost = self.generation.max_cost();
        let used = self.used();
        self.router.metrics.on_settled(used.0);
        if let Some(loan) = self.loan {
            return self.router.loan_handle.settle(loan, used);
        }
        self.router.wallet.borrow_mut().settle(&self.tenant, max_cost, used);
        if used < max_cost {
            self.router.wallet_refilled.notify_waiters();
        }
    }
}

/// A request for a reservation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReservationRequest<'a> {
    /// The request id, for log lines.
    pub request: &'a str,
    pub generation: Generation,
    /// Tokens per event of the response.
    pub tokens_per_event: u64,
    /// The objective of the route for the time to the first event.
    pub objective: Millis,
}

impl ReservationRequest<'_> {
    async fn reserve(
        &self,
        router: &Router,
        tenant: &TenantName,
        wait_until: Instant,
    ) -> Result<Option<Loan>, Refusal> {
        let by_demand = router.load_settings().accounts_by_demand;
        if by_demand {
            router.on_budget_request(tenant);
        }
        let lenders = router.token_lenders(tenant);
        if lenders.is_empty() {
            return self.reserve_own(router, tenant, wait_until).await;
        }
        if by_demand {
            return self.reserve_by_demand(router, tenant, lenders, wait_until).await;
        }
        match self.borrow(router, tenant, lenders, wait_until).await {
            LoanOutcome::Lent(loan) => Ok(Some(loan)),
            LoanOutcome::NotCovered => Err(self.not_covered(router, tenant)),
            LoanOutcome::NoReply => Err(self.no_reply(router, tenant)),
            LoanOutcome::AllRefused | LoanOutcome::NoLender => {
                self.reserve_own(router, tenant, wait_until).await
            }
        }
    }

    /// Reserves from the own wallet, else borrows. What an account held by demand lacks is requested
    /// from the leader and from the lenders at the same time; whichever covers the request first
    /// counts.
    async fn reserve_by_demand(
        &self,
        router: &Router,
        tenant: &TenantName,
        lenders: Vec<SocketAddr>,
        wait_until: Instant,
    ) -> Result<Option<Loan>, Refusal> {
        let (amount, is_holder) = (self.generation.max_cost(), router.holds_account(tenant));
        let is_reserved = match is_holder {
            true => router.reserve_as_holder(tenant, amount),
            false => router.reserve_held(tenant, amount),
        };
        if is_reserved {
            return Ok(None);
        }
        let outcome = tokio::select! {
            // A loan that has been granted is taken, so that it is never left unsettled.
            biased;
            outcome = self.borrow(router, tenant, lenders, wait_until) => outcome,
            () = self.wait_for_own(router, tenant, is_holder, wait_until) => return Ok(None),
        };
        match outcome {
            LoanOutcome::Lent(loan) => Ok(Some(loan)),
            // The wallet may have received tokens during the wait for the loan.
            _ if router.reserve_held(tenant, amount) => Ok(None),
            _ if self.is_known_shortage(router, tenant, outcome) => {
                Err(self.known_shortage(router, tenant))
            }
            // The leader may still grant what was requested from it.
            _ if is_holder => self.wait_for_tokens(router, tenant, wait_until).await,
            LoanOutcome::NotCovered => Err(self.not_covered(router, tenant)),
            LoanOutcome::NoReply => Err(self.no_reply(router, tenant)),
            _ => self.reserve_own(router, tenant, wait_until).await,
        }
    }

    /// Waits until the own account covers the request: one held by demand, or that of the next owner
    /// in rank while the owner stays silent. Other routers have none, and wait for the loan.
    async fn wait_for_own(
        &self,
        router: &Router,
        tenant: &TenantName,
        is_holder: bool,
        wait_until: Instant,
    ) {
        let amount = self.generation.max_cost();
        if !is_holder {
            if !router.is_second_owner(tenant) {
                return pending().await;
            }
            sleep(Duration::from_millis(hedge_delay(self.objective).0)).await;
            if router.reserve_as_holder(tenant, amount) {
                return;
            }
        }
        wait_for_grant(router, tenant, amount, wait_until).await;
    }

    /// Whether waiting can't help: the leader can't be reached, each reachable lender has just
    /// refused, and this router holds too few tokens, counting those still locked in its reserve.
    fn is_known_shortage(
        &self,
        router: &Router,
        tenant: &TenantName,
        outcome: LoanOutcome,
    ) -> bool {
        let balance = router.wallet.borrow().balance(router.now(), tenant);
        outcome == LoanOutcome::AllRefused
            && router.load_settings().accounts_by_demand
            && !router.is_connected_to_leader()
            && balance.primary + balance.reserve < self.generation.max_cost()
    }

    fn known_shortage(&self, router: &Router, tenant: &TenantName) -> Refusal {
        self.log_insufficient(router, tenant, "lenders");
        Refusal::BudgetUnavailable
    }

    fn not_covered(&self, router: &Router, tenant: &TenantName) -> Refusal {
        self.log_insufficient(router, tenant, "owner");
        Refusal::BudgetExhausted
    }

    /// Refuses a request although it is not known whether the budget covers it.
    fn no_reply(&self, router: &Router, tenant: &TenantName) -> Refusal {
        self.log_insufficient(router, tenant, "no_reply");
        Refusal::BudgetExhausted
    }

    /// Reserves from the account that this router owns, and waits for the leader's grant if it does
    /// not cover the request.
    async fn reserve_own(
        &self,
        router: &Router,
        tenant: &TenantName,
        wait_until: Instant,
    ) -> Result<Option<Loan>, Refusal> {
        let amount = self.generation.max_cost();
        if !router.may_reserve(tenant, amount) {
            self.log_insufficient(router, tenant, "scarce");
            return Err(Refusal::BudgetExhausted);
        }
        let first = router.wallet.borrow_mut().reserve(router.now(), tenant, amount);
        if first.is_ok() {
            return Ok(None);
        }
        self.wait_for_tokens(router, tenant, wait_until).await
    }

    async fn borrow(
        &self,
        router: &Router,
        tenant: &TenantName,
        lenders: Vec<SocketAddr>,
        wait_until: Instant,
    ) -> LoanOutcome {
        let wait = wait_until.saturating_duration_since(Instant::now());
        let until = router.now() + Millis(wait.as_millis() as u64);
        let hedges = router.load_settings().accounts_by_demand;
        let hedge_after = hedges.then(|| hedge_delay(self.objective));
        let amount = self.generation.max_cost();
        let borrowing = router.loan_handle.ask(tenant, amount, lenders, until, hedge_after);
        timeout_at(wait_until, borrowing).await.unwrap_or(LoanOutcome::NoReply)
    }

    /// Waits until the wallet covers a request, or while disconnected from the leader until another
    /// router lends.
    async fn wait_for_tokens(
        &self,
        router: &Router,
        tenant: &TenantName,
        wait_until: Instant,
    ) -> Result<Option<Loan>, Refusal> {
        let amount = self.generation.max_cost();
        loop {
            if Instant::now() >= wait_until {
                self.log_insufficient(router, tenant, "wallet");
                return Err(Refusal::BudgetExhausted);
            }
            if router.is_connected_to_leader() {
                wait_for_leader(router, wait_until).await;
            } else {
                // The leader can't be reached to allot more, but other routers may have tokens left.
                let lenders = router.remote_token_lenders(tenant);
                let outcome = self.borrow(router, tenant, lenders, wait_until).await;
                if let LoanOutcome::Lent(loan) = outcome {
                    return Ok(Some(loan));
                }
                if self.is_known_shortage(router, tenant, outcome) {
                    return Err(self.known_shortage(router, tenant));
                }
                sleep_until(wait_until.min(Instant::now() + ASK_AGAIN_AFTER)).await;
            }
            if try_reserve(router, tenant, amount) {
                return Ok(None);
            }
        }
    }

    fn log_insufficient(&self, router: &Router, tenant: &TenantName, step: &str) {
        decision_log::insufficient_budget(
            router,
            self.request,
            tenant,
            self.generation.max_cost(),
            step,
        );
    }
}

/// Delay before routers that had nothing to lend are asked again: one that is connected to the
/// leader may have received an allotment since.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(110);
/// Longest interval between two reservation attempts while a request waits for tokens.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Silence of a lender after which a second one is asked as well, in percent of the objective: about
/// half of the wait for tokens is left for its reply.
const HEDGE_PERCENT: u64 = 10;
/// Shortest such silence. The round trip between zones takes up to 2.8 ms.
const MIN_HEDGE_DELAY: Millis = Millis(5);
/// Part of a borrower's wait after which the lender replies with what it has, in percent; the
/// remainder is left for the reply's transmission.
const REPLY_AFTER_PERCENT: u64 = 85;

fn hedge_delay(objective: Millis) -> Millis {
    MIN_HEDGE_DELAY.max(Millis(objective.0 * HEDGE_PERCENT / 100))
}

/// Waits until the leader's grants cover a request whose demand has been recorded.
async fn wait_for_grant(router: &Router, tenant: &TenantName, amount: Tokens, wait_until: Instant) {
    loop {
        wait_for_leader(router, wait_until).await;
        if try_reserve(router, tenant, amount) {
            return;
        }
        if Instant::now() >= wait_until {
            // The wait for the loan ends at the same time, and decides.
            return pending().await;
        }
    }
}

/// Notifies the leader that a request waits, and waits until the wallet has grown, at most
/// [`RETRY_INTERVAL`].
async fn wait_for_leader(router: &Router, wait_until: Instant) {
    let refilled = router.wallet_refilled.notified();
    router.wallet_insufficient.notify_one();
    let next_attempt = wait_until.min(Instant::now() + RETRY_INTERVAL);
    // The wallet decides, whether a notification or the timeout ended the wait.
    let _ = timeout_at(next_attempt, refilled).await;
}

fn try_reserve(router: &Router, tenant: &TenantName, amount: Tokens) -> bool {
    router.wallet.borrow_mut().retry_reserve(router.now(), tenant, amount).is_ok()
}

/// Reserves tokens for a request of another router, which waits at most `wait`.
pub(crate) async fn lend(
    router: &Router,
    tenant: &TenantName,
    amount: Tokens,
    wait: Millis,
) -> BorrowResult {
    if !router.may_reserve(tenant, amount) {
        return BorrowResult::NotCovered;
    }
    let first = router.wallet.borrow_mut().reserve(router.now(), tenant, amount);
    if first.is_ok() {
        return BorrowResult::Lent;
    }
    let wait = Duration::from_millis(wait.0 * REPLY_AFTER_PERCENT / 100);
    let wait_until = Instant::now() + wait;
    while router.is_connected_to_leader() && Instant::now() < wait_until {
        wait_for_leader(router, wait_until).await;
        if try_reserve(router, tenant, amount) {
            return BorrowResult::Lent;
        }
    }
    if router.is_connected_to_leader() {
        BorrowResult::NotCovered
    } else {
        BorrowResult::AskAnother
    }
}
