//! Ejection of endpoints after consecutive failures, with exponential backoff and slow start.

use std::time::Duration;

/// Consecutive failures that eject an endpoint.
const FAILURE_THRESHOLD: u32 = 3;
/// Length of the first ejection; each further one without a success in between is twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// Upper limit for the length of an ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);
/// Time after an endpoint's return during which its load is overestimated.
const SLOW_START: Duration = Duration::from_secs(10);

/// Failures and ejections of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    /// Consecutive failures since the last success or ejection.
    failures: u32,
    /// Consecutive ejections since the last success.
    ejections: u32,
    ejected_until: Option<Duration>,
    restarted_at: Option<Duration>,
}

impl Ejection {
    /// Records a complete answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Records a failure, and ejects the endpoint once it failed often enough in a row.
    pub fn record_failure(&mut self, now: Duration) {
        self.failures += 1;
        if self.failures >= FAILURE_THRESHOLD && !self.is_ejected(now) {
            let length =
                FIRST_EJECTION.saturating_mul(1 << self.ejections.min(8)).min(LONGEST_EJECTION);
            self.ejections += 1;
            self.ejected_until = Some(now + length);
            self.failures = 0;
        }
    }

    /// Records that the endpoint restarted at `now`: clears its failures and begins a slow start.
    pub fn record_restart(&mut self, now: Duration) {
        *self = Self { restarted_at: Some(now), ..Self::default() };
    }

    /// Returns true if requests should avoid the endpoint.
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the factor by which to overestimate the endpoint's load: 2 right after its return,
    /// falling to 1 over the slow start.
    pub fn load_factor(&self, now: Duration) -> f64 {
        let returned_at = self.ejected_until.filter(|until| *until <= now).max(self.restarted_at);
        let Some(returned_at) = returned_at else { return 1.0 };
        let age = now.saturating_sub(returned_at).as_secs_f64() / SLOW_START.as_secs_f64();
        (2.0 - age).max(1.0)
    }
}
