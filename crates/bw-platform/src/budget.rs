//! Client-side rate limit on calls to the platform, with priorities by purpose.
//!
//! All purposes share one token bucket. Each purpose leaves a reserve of tokens for more important
//! ones, so that leases and claims are still possible when watches and reads have used the rest.

use std::time::Duration;

/// The purpose of a call, in decreasing order of importance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Purpose {
    /// Calls that acquire or renew duty leases.
    Lease,
    /// Calls that read or change idempotency claims.
    Claim,
    /// Other writes and deletions, such as those of the configuration.
    Write,
    /// Other reads and lists.
    Read,
    /// Long polls for changes.
    Watch,
}

impl Purpose {
    /// All purposes, the most important first.
    pub const ALL: [Purpose; 5] = [Self::Lease, Self::Claim, Self::Write, Self::Read, Self::Watch];

    /// Returns the value of the `purpose` label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lease => "lease",
            Self::Claim => "claim",
            Self::Write => "write",
            Self::Read => "read",
            Self::Watch => "watch",
        }
    }

    /// Returns the fraction of the bucket that this purpose leaves to more important ones.
    fn reserve(self) -> f64 {
        match self {
            Self::Lease => 0.0,
            Self::Claim => 0.1,
            Self::Write => 0.3,
            Self::Read => 0.4,
            Self::Watch => 0.5,
        }
    }
}

/// A token bucket with a reserve for each purpose.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    burst: f64,
    tokens: f64,
    /// Time of the last refill, on the clock of the caller.
    refilled_at: Duration,
}

impl Budget {
    /// Creates a full bucket that allows `rate` calls per second and bursts of `burst` calls.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self { rate, burst, tokens: burst, refilled_at: Duration::ZERO }
    }

    /// Spends the token for one call. `now` is the time since the bucket was created.
    ///
    /// # Errors
    /// The time until the token can be spent.
    pub fn try_spend(&mut self, purpose: Purpose, now: Duration) -> Result<(), Duration> {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
        let needed = 1.0 + purpose.reserve() * self.burst;
        if self.tokens >= needed {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((needed - self.tokens) / self.rate))
    }
}
