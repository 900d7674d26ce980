//! The retry budgets of this gateway, and the retries that were granted from them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_direct::budget::Allowance;
use bw_direct::budget::BudgetUse;
use bw_direct::budget::RetryBudget;
use bw_kernel::BootClock;

use crate::peers::SharedPeers;
use crate::reload::LiveSettings;

/// Handle to the retry budgets, shared by all requests.
#[derive(Clone)]
pub struct Retries {
    budget: Arc<Mutex<RetryBudget>>,
    peers: SharedPeers,
    settings: LiveSettings,
    clock: BootClock,
}

/// A retry that was granted. It counts in the budget until a window after this value is dropped, or only until
/// then if it was not sent.
pub struct Retry {
    retries: Retries,
    service: String,
    is_sent: bool,
}

/// A decision of the budget, with what it was based on.
pub struct RetryDecision {
    /// The retry; `None` if the budget is exhausted.
    pub retry: Option<Retry>,
    /// Retries that counted before the decision, and their limit.
    pub usage: BudgetUse,
    /// Number of parts of the slack; `None` if this gateway has none.
    pub parts: Option<usize>,
    /// Age of the process.
    pub age: Duration,
}

impl Retries {
    /// Creates the budgets of a process that starts now.
    pub fn new(peers: SharedPeers, settings: LiveSettings, clock: BootClock) -> Self {
        let budget = Arc::new(Mutex::new(RetryBudget::new(clock.now())));
        Self { budget, peers, settings, clock }
    }

    /// Counts a caller's request that arrived at `at`.
    pub fn record_request(&self, service: &str, at: Duration) {
        self.lock().record_request(service, self.settings.get().retry_window, at);
    }

    /// Grants a retry of a request to `service` if the budget allows it.
    pub fn decide(&self, service: &str) -> RetryDecision {
        let now = self.clock.now();
        let (allowance, parts) = self.allowance(now);
        let mut budget = self.lock();
        let usage = budget.current(service, allowance, parts, now);
        let granted = budget.try_grant(service, allowance, parts, now);
        drop(budget);
        let retry = granted.then(|| Retry {
            retries: self.clone(),
            service: service.to_string(),
            is_sent: false,
        });
        RetryDecision { retry, usage, parts, age: now }
    }

    fn allowance(&self, now: Duration) -> (Allowance, Option<usize>) {
        let settings = self.settings.get();
        let (ratio, slack) = (settings.retry_ratio, settings.retry_slack);
        let allowance = Allowance { ratio, slack, window: settings.retry_window };
        (allowance, self.peers.part_count(settings.retry_window, now))
    }

    fn lock(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Retry {
    /// Returns whether the budget still covers the retry, whose grant may be some time ago.
    pub fn is_covered(&self) -> bool {
        let now = self.retries.clock.now();
        let (allowance, parts) = self.retries.allowance(now);
        let usage = self.retries.lock().current(&self.service, allowance, parts, now);
        f64::from(usage.spent) <= usage.limit
    }

    /// Sets whether the retry may have arrived at an endpoint.
    pub fn set_sent(&mut self, is_sent: bool) {
        self.is_sent = is_sent;
    }
}

impl Drop for Retry {
    fn drop(&mut self) {
        let window = self.retries.settings.get().retry_window;
        let now = self.retries.clock.now();
        let mut budget = self.retries.lock();
        if self.is_sent {
            budget.settle(&self.service, window, now);
        } else {
            budget.release(&self.service);
        }
    }
}
