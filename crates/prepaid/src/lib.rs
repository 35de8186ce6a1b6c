//! Prepaid budgets as allotments.
//!
//! The replicated [`PrepaidLedger`] says how much of each tenant's prepaid amount has been handed
//! to which router life. A router spends only what its [`Wallet`] holds, without asking anyone;
//! [`plan`] decides how much each router should hold. Totals only ever grow and are merged by
//! maximum, so late, repeated or crossed messages do no harm.
//!
//! Invariant: for every tenant, what all routers have ever spent or reserved is at most
//! [`PrepaidLedger::issued`], which is at most the tenant's limit when it was issued.

mod ledger;
mod policy;
mod rate;
mod scarce_limiter;
mod wallet;

pub use ledger::{
    Allotment, BootTimestamp, Charge, DrawRate, Grant, IncarnationEnd, PrepaidLedger,
    RESERVE_UNLOCK_DELAY, SteadyTime, TokenReturn,
};
pub use policy::{AccountReport, BudgetForecast, BudgetShortage, Plan, Recall, plan};
pub use rate::DemandRate;
pub use scarce_limiter::{ScarceBudgetLimiter, scarce_allowance};
pub use wallet::{Balance, Shortfall, Wallet};
