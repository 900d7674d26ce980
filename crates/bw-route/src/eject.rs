//! Ejection of endpoints that fail in a row.

use std::time::Duration;

/// Failures in a row that eject an endpoint.
const FAILURES: u32 = 3;
const EJECT_FIRST: Duration = Duration::from_secs(2);
const EJECT_LONGEST: Duration = Duration::from_secs(30);
/// Time over which a returning endpoint's load is taken for higher than it is.
const SLOW_START: Duration = Duration::from_secs(10);

/// The record of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    failures: u32,
    times: u32,
    until: Option<Duration>,
    returned: Option<Duration>,
}

impl Ejection {
    /// Notes a whole answer.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.times = 0;
    }

    /// Notes a failure at `now`.
    pub fn fail(&mut self, now: Duration) {
        self.failures += 1;
        if self.failures >= FAILURES && !self.is_ejected(now) {
            let span = EJECT_FIRST.saturating_mul(1 << self.times.min(8)).min(EJECT_LONGEST);
            self.times += 1;
            self.until = Some(now + span);
            self.failures = 0;
        }
    }

    /// Notes that the endpoint started anew at `now`.
    pub fn restart(&mut self, now: Duration) {
        *self = Self { returned: Some(now), ..Self::default() };
    }

    /// Whether requests should avoid it.
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Factor on the endpoint's load: 1 when settled, up to 2 just after its return.
    pub fn load_factor(&self, now: Duration) -> f64 {
        let back = self.until.filter(|until| *until <= now).max(self.returned);
        let Some(back) = back else { return 1.0 };
        let age = now.saturating_sub(back).as_secs_f64() / SLOW_START.as_secs_f64();
        (2.0 - age).max(1.0)
    }
}
