//! The process's own limit on calls to the platform, by purpose.
//!
//! One token bucket serves all purposes. A less important purpose may not take the last tokens,
//! so that leases and claims get through when watches and reads have spent the rest.

use std::time::Duration;

/// What a call is for, the most important purpose first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Purpose {
    /// Leases of duties.
    Lease,
    /// Claims of idempotency keys.
    Claim,
    /// Configuration writes.
    Write,
    /// Reads.
    Read,
    /// Watches.
    Watch,
}

impl Purpose {
    /// All purposes, the most important first.
    pub const ALL: [Purpose; 5] = [Self::Lease, Self::Claim, Self::Write, Self::Read, Self::Watch];

    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lease => "lease",
            Self::Claim => "claim",
            Self::Write => "write",
            Self::Read => "read",
            Self::Watch => "watch",
        }
    }

    /// Part of the bucket that this purpose leaves to more important ones.
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

/// A token bucket with reserves.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Duration,
}

impl Budget {
    /// Allows `rate` calls a second, and `burst` at once after a quiet time.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self { rate, burst, tokens: burst, filled: Duration::ZERO }
    }

    /// Takes a call's token at `now`, or tells how long to wait.
    ///
    /// # Errors
    /// The time until the call may be made.
    pub fn take(&mut self, purpose: Purpose, now: Duration) -> Result<(), Duration> {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.filled = self.filled.max(now);
        let needed = 1.0 + purpose.reserve() * self.burst;
        if self.tokens >= needed {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((needed - self.tokens) / self.rate))
    }
}
