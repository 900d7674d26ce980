//! Retry budget of each service, as a share of its recent requests.
//!
//! All gateways share the budget without agreeing on each retry. Retries that requests earn are spent by
//! the gateway that received the requests. The slack is divided among the gateways. A process does not
//! know what its predecessor has spent, so it uses its part only when that is out of the window.

use std::collections::HashMap;
use std::time::Duration;

/// Number of buckets in a window.
const BUCKETS: usize = 20;
/// Fraction of the allowance that is used; the rest covers differences between the counts of
/// gateways.
const MARGIN: f64 = 0.8;

/// Retries that the deployment allows in one window, over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries earned by each request.
    pub ratio: f64,
    /// Retries allowed in addition to those earned by requests.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u32,
    retries: u32,
}

/// Sliding window over the counts of one service, as a ring of buckets.
#[derive(Clone, Debug, Default)]
struct Window {
    buckets: [Counts; BUCKETS],
    /// Number of the newest bucket, counted from the start of the process.
    newest: u64,
}

impl Window {
    fn bucket(&mut self, now: Duration, length: Duration) -> &mut Counts {
        let number = (now.as_nanos() / length.as_nanos().max(1)) as u64;
        let passed = number.saturating_sub(self.newest).min(BUCKETS as u64);
        for step in 1..=passed {
            self.buckets[((self.newest + step) % BUCKETS as u64) as usize] = Counts::default();
        }
        self.newest = self.newest.max(number);
        &mut self.buckets[(self.newest % BUCKETS as u64) as usize]
    }
}

/// Retries of one gateway that count in the window, and their limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetUse {
    /// Retries that were granted and have not ended, or that arrived within the window.
    pub spent: u32,
    /// Retries that may be spent.
    pub limit: f64,
}

/// The budget of one service.
#[derive(Clone, Debug, Default)]
struct ServiceBudget {
    window: Window,
    /// Retries that were granted and have not ended.
    open: u32,
}

/// Retry budgets of one gateway, by service.
///
/// A retry may wait for long between its grant and its arrival at an endpoint. It therefore counts from its
/// grant until a window after [`Self::settle`], so that any window holds no more arrivals than allowed.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    services: HashMap<String, ServiceBudget>,
    started_at: Duration,
}

impl RetryBudget {
    /// Creates the budgets of a process that started at `started_at`.
    pub fn new(started_at: Duration) -> Self {
        Self { services: HashMap::new(), started_at }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, service: &str, window: Duration, now: Duration) {
        self.bucket(service, window, now).requests += 1;
    }

    /// Grants one retry if the budget of this gateway is not exhausted; returns whether it did. The slack
    /// has `parts` parts, or this gateway has none.
    pub fn try_grant(
        &mut self,
        service: &str,
        allowance: Allowance,
        parts: Option<usize>,
        now: Duration,
    ) -> bool {
        let BudgetUse { spent, limit } = self.current(service, allowance, parts, now);
        let granted = f64::from(spent + 1) <= limit;
        if granted {
            self.services.entry(service.to_string()).or_default().open += 1;
        }
        granted
    }

    /// Records that a granted retry has arrived at an endpoint, by `now`.
    pub fn settle(&mut self, service: &str, window: Duration, now: Duration) {
        self.release(service);
        self.bucket(service, window, now).retries += 1;
    }

    /// Returns a granted retry that was not sent.
    pub fn release(&mut self, service: &str) {
        if let Some(budget) = self.services.get_mut(service) {
            budget.open = budget.open.saturating_sub(1);
        }
    }

    /// Returns what is spent and the limit for this gateway; arguments as for [`Self::try_grant`].
    pub fn current(
        &mut self,
        service: &str,
        allowance: Allowance,
        parts: Option<usize>,
        now: Duration,
    ) -> BudgetUse {
        let Allowance { ratio, slack, window: length } = allowance;
        self.bucket(service, length, now);
        let Some(budget) = self.services.get(service) else {
            return BudgetUse { spent: 0, limit: 0.0 };
        };
        let buckets = &budget.window.buckets;
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = buckets.iter().map(|bucket| bucket.retries).sum();
        let parts = parts.filter(|_| now >= self.started_at + length);
        let slack = parts.map_or(0.0, |parts| slack / parts.max(1) as f64);
        let limit = MARGIN * (ratio * f64::from(requests) + slack);
        BudgetUse { spent: budget.open + retries, limit }
    }

    fn bucket(&mut self, service: &str, window: Duration, now: Duration) -> &mut Counts {
        let length = window / (BUCKETS as u32 - 1);
        let budget = self.services.entry(service.to_string()).or_default();
        budget.window.bucket(now, length)
    }
}
