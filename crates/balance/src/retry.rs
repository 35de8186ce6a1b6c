//! Retry budget.

/// Cost of one retry in thousandths; each first attempt adds the policy's `retry_permille`.
const RETRY_COST: u64 = 1_000;
/// Maximum number of retries that may accrue.
const MAX_ACCRUED_RETRIES: u64 = 20;

/// Limits retries to a fixed share of first attempts, so that a failing service does not receive
/// more requests the more it fails.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: MAX_ACCRUED_RETRIES * RETRY_COST }
    }
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn deposit(&mut self, retry_permille: u32) {
        let balance = self.balance + u64::from(retry_permille);
        self.balance = balance.min(MAX_ACCRUED_RETRIES * RETRY_COST);
    }

    /// Whether a retry may be made now; deducts it from the budget if so.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
