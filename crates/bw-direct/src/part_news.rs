//! News of gateways about parts of prompts that crash endpoints.

use serde::Deserialize;
use serde::Serialize;

use crate::request::PartIds;

/// A request that was in flight at an endpoint when the endpoint crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// Hash of the endpoint's name and incarnation, the same at all gateways.
    pub crash: u64,
    /// Hash of the caller's id of the attempt.
    pub request: u64,
    /// Parts of the prompt that other requests may share.
    pub parts: PartIds,
}

/// A part of prompts that is not sent to endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNews {
    /// Identifier of the part.
    pub part: u64,
    /// Whether the store is known to have the quarantine.
    pub stored: bool,
}

/// Evidence that a gateway sends to the others while it has any that is recent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartNews {
    /// Requests of the sender that were in flight at recent crashes.
    pub crashes: Vec<CrashNews>,
    /// Parts, and fingerprints of requests, that were suspected or quarantined and have been found not to crash
    /// endpoints. Releases before 0.4.0 know parts only, and clear nothing for a fingerprint.
    pub cleared: Vec<u64>,
    /// Parts that are quarantined at the sender.
    pub quarantined: Vec<QuarantineNews>,
}

impl PartNews {
    /// Returns whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.quarantined.is_empty()
    }
}
