//! Retry budgets: a fraction of recent successes, so that retries end when everything fails.

/// Retries that each success earns.
const EARNED: f64 = 0.1;
/// Retries saved up at most.
const SAVED_MAX: f64 = 20.0;

/// The retries that a pool has left.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: SAVED_MAX / 2.0 }
    }
}

impl RetryBudget {
    /// Notes a request that was answered.
    pub fn succeed(&mut self) {
        self.saved = (self.saved + EARNED).min(SAVED_MAX);
    }

    /// Takes one retry; false when none is left.
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
