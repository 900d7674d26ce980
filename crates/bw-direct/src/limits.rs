//! Limits that endpoints in need name on the requests from all gateways together.

use std::fmt;

/// Requests a second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Returns the requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = LimitError;

    fn try_from(per_second: f64) -> Result<Self, LimitError> {
        if !per_second.is_finite() {
            return Err(LimitError::NotANumber);
        }
        if per_second < 0.0 {
            return Err(LimitError::Negative);
        }
        Ok(Self(per_second))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Reason why a limit is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitError {
    /// The limit is not a finite decimal number.
    NotANumber,
    /// The limit is below zero.
    Negative,
}

impl fmt::Display for LimitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotANumber => write!(f, "the limit must be a finite decimal number"),
            Self::Negative => write!(f, "the limit must not be negative"),
        }
    }
}

impl std::error::Error for LimitError {}
