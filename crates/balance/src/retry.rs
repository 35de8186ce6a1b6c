//! A budget for retries.

/// Cost of one retry in thousandths; a first attempt earns the policy's `retry_permille`.
const RETRY_COST: u64 = 1_000;
/// Retries that may be saved up.
const MAX_SAVED_RETRIES: u64 = 20;

/// Lets retries be at most a fixed share of first attempts, so that a failing service is not
/// given more work the worse it fails.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED_RETRIES * RETRY_COST }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn deposit(&mut self, retry_permille: u32) {
        let saved = self.saved + u64::from(retry_permille);
        self.saved = saved.min(MAX_SAVED_RETRIES * RETRY_COST);
    }

    /// Whether a retry may be made now; counts it if so.
    pub fn try_withdraw(&mut self) -> bool {
        if self.saved < RETRY_COST {
            return false;
        }
        self.saved -= RETRY_COST;
        true
    }
}
