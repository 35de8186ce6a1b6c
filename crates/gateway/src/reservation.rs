//! Tokens set aside for one request.

use crate::dialect::Generation;
use crate::loans::Loan;
use crate::refusal::Refusal;
use crate::router::Router;
use stackpost_types::{TenantName, Tokens};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Tokens of a tenant's budget that a request may cost. What it did cost is settled when this is
/// dropped, however the request ends.
pub(crate) struct Reservation {
    router: Rc<Router>,
    tenant: TenantName,
    generation: Generation,
    tokens_per_event: u64,
    events: Cell<u64>,
    /// Set if another router has reserved the tokens.
    loan: Option<Loan>,
    usage: Cell<Usage>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Usage {
    /// No engine has begun to work on it.
    None,
    /// An engine may have handed out more than was seen here.
    Uncertain,
    /// The answer came in whole.
    Counted,
}

impl Reservation {
    /// Sets aside the most that `generation` can cost. If the wallet holds too little, the leader
    /// is asked, and the request waits until `wait_until` at most.
    pub async fn make(
        router: &Rc<Router>,
        tenant: &TenantName,
        generation: Generation,
        tokens_per_event: u64,
        wait_until: Instant,
    ) -> Result<Self, Refusal> {
        let most = generation.most();
        let now = router.now();
        let first = router.wallet.borrow_mut().reserve(now, tenant, most);
        let loan = match first {
            Ok(()) => None,
            Err(_) => wait_for_tokens(router, tenant, most, wait_until).await?,
        };
        Ok(Self {
            router: router.clone(),
            tenant: tenant.clone(),
            generation,
            tokens_per_event,
            events: Cell::new(0),
            loan,
            usage: Cell::new(Usage::None),
        })
    }

    /// An engine may begin to work on the request.
    pub fn on_sent(&self) {
        self.usage.set(Usage::Uncertain);
    }

    /// It is certain that no engine has worked on the request.
    pub fn on_not_run(&self) {
        self.usage.set(Usage::None);
    }

    /// An event of the answer has come in.
    pub fn on_event(&self) {
        self.events.set(self.events.get() + 1);
    }

    /// The answer has come in whole.
    pub fn on_complete(&self) {
        self.usage.set(Usage::Counted);
    }

    fn used(&self) -> Tokens {
        let most = self.generation.most();
        match self.usage.get() {
            Usage::None => Tokens::ZERO,
            Usage::Uncertain => most,
            Usage::Counted => {
                let generated = Tokens(self.events.get() * self.tokens_per_event);
                (self.generation.prompt + generated).min(most)
            }
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let most = self.generation.most();
        let used = self.used();
        self.router.metrics.on_settled(used.0);
        if let Some(loan) = self.loan {
            return self.router.loan_desk.settle(loan, used);
        }
        self.router.wallet.borrow_mut().settle(&self.tenant, most, used);
        if used < most {
            self.router.wallet_grown.notify_waiters();
        }
    }
}

/// Time after which routers that had nothing to lend are asked again: one that is in touch may have
/// got something from the leader.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(110);
/// Longest time between two tries while a request waits for tokens.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

async fn wait_for_tokens(
    router: &Router,
    tenant: &TenantName,
    most: Tokens,
    wait_until: Instant,
) -> Result<Option<Loan>, Refusal> {
    loop {
        if Instant::now() >= wait_until {
            return Err(Refusal::BudgetExhausted);
        }
        // Out of touch the leader can't hand out more, but other routers may have some.
        if !router.in_touch() {
            let loan = timeout_at(wait_until, router.loan_desk.ask(tenant, most)).await;
            if let Some(loan) = loan.ok().flatten() {
                return Ok(Some(loan));
            }
            sleep_until(wait_until.min(Instant::now() + ASK_AGAIN_AFTER)).await;
            if router.wallet.borrow_mut().retry_reserve(router.now(), tenant, most).is_ok() {
                return Ok(None);
            }
            continue;
        }
        let grown = router.wallet_grown.notified();
        router.wallet_short.notify_one();
        let next_try = wait_until.min(Instant::now() + RETRY_INTERVAL);
        // Whether it was rung or not, the wallet decides.
        let _ = timeout_at(next_try, grown).await;
        if router.wallet.borrow_mut().retry_reserve(router.now(), tenant, most).is_ok() {
            return Ok(None);
        }
    }
}
