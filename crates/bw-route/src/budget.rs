//! Retry budgets. Retries are limited to a fraction of successful requests, so that they stop when
//! everything fails.

/// Retries added to the budget by each successful request.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Upper limit of the budget, in retries.
const RETRIES_MAX: f64 = 20.0;

/// Remaining retries of one pool; a new budget is half full.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    remaining: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { remaining: RETRIES_MAX / 2.0 }
    }
}

impl RetryBudget {
    /// Records a successful request.
    pub fn record_success(&mut self) {
        self.remaining = (self.remaining + RETRIES_PER_SUCCESS).min(RETRIES_MAX);
    }

    /// Spends one retry; returns false if less than one remains.
    pub fn try_spend(&mut self) -> bool {
        if self.remaining < 1.0 {
            return false;
        }
        self.remaining -= 1.0;
        true
    }
}
