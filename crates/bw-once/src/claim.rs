//! Claims, which record the attempt that holds an idempotency key.

use bw_model::AttemptId;
use bw_model::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// The only attempt that may run for an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claim {
    /// Endpoint that may run the attempt.
    pub endpoint: String,
    /// Incarnation of the endpoint's agent that may run the attempt.
    pub incarnation: Incarnation,
    /// The attempt's id, which is unique and so also identifies the writer of the claim.
    pub attempt: AttemptId,
}

/// Result of a compare-and-swap of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Swap {
    /// The claim was replaced.
    Done,
    /// The store holds another claim, or none; nothing was changed.
    Mismatch(Option<Claim>),
    /// The store was unavailable; nothing was changed.
    Unavailable,
    /// The store may have applied the change or not.
    Unknown,
}
