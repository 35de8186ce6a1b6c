//! Prepaid budgets as allotments.
//!
//! The replicated [`PrepaidLedger`] records how much of each tenant's prepaid amount has been
//! allotted to which router incarnation. A router spends only what its [`Wallet`] holds, without
//! further coordination; [`plan`] decides how much each router should hold. Totals are monotone and
//! merged by maximum, so delayed, duplicated or reordered messages are harmless.
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
