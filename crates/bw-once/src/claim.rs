//! Claims: which attempt holds an idempotency key.

use bw_model::AttemptId;
use bw_model::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// The one attempt that may run for an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claim {
    /// Endpoint that may run it.
    pub endpoint: String,
    /// Life of the endpoint's agent that may run it.
    pub incarnation: Incarnation,
    /// The attempt; unique, so that it also tells who wrote the claim.
    pub attempt: AttemptId,
}

/// How a compare-and-swap of a claim ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Swap {
    /// The claim was replaced.
    Done,
    /// Another claim was found; nothing was changed.
    Mismatch(Option<Claim>),
    /// The store took nothing.
    Unavailable,
    /// The store may or may not have taken the change.
    Unknown,
}
