//! Requests that entries handle, and their replies.

use bw_conf::Update;
use bw_member::Digest;
use bw_member::Heartbeat;
use bw_model::AttemptId;
use bw_model::KeyHash;
use bw_model::Version;
use bw_once::Claim;
use bw_once::Crash;
use serde::Deserialize;
use serde::Serialize;

use crate::view::AgentView;

/// Requests from agents and other entries to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryRequest {
    /// An agent's heartbeat.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Another entry's digest.
    Digest(Digest),
    /// Return the changes of the configuration since this version, which the sender has.
    Fetch(Version),
    /// Return an agent's part of the configuration if it is newer than the version the agent has.
    View {
        /// Instance of the agent.
        instance: String,
        /// Version that the agent has.
        have: Version,
    },
    /// Engine crashes, reported by an agent or another entry.
    Crashes(Vec<Crash>),
    /// Change a claim; sent to the entry that batches the changes of the key's shard.
    Swap {
        /// Hash of the idempotency key.
        key: KeyHash,
        /// Attempt that must hold the key; `None` when the key must be free.
        expect: Option<AttemptId>,
        /// The new claim; `None` releases the key.
        claim: Option<Claim>,
    },
}

/// Result of a claim change; [`bw_once::claim::Swap`] as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SwapReply {
    /// The claim was replaced.
    Done,
    /// Another claim was found.
    Mismatch(Option<Claim>),
    /// The store applied nothing.
    Unavailable,
    /// The store may or may not have applied the change.
    Unknown,
}

/// Replies of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryReply {
    /// Reply to [`EntryRequest::Heartbeat`] and [`EntryRequest::Digest`]: the version in force.
    Version(Version),
    /// Reply to [`EntryRequest::Fetch`].
    Update(Update),
    /// Reply to [`EntryRequest::View`]; `None` when the agent is up to date.
    View(Option<AgentView>),
    /// Reply to [`EntryRequest::Swap`].
    Swap(SwapReply),
    /// The request was handled and has no result.
    Done,
    /// The request is not for this entry, or cannot be decoded; holds the reason.
    Unfit(String),
}

impl From<bw_once::claim::Swap> for SwapReply {
    fn from(swap: bw_once::claim::Swap) -> Self {
        use bw_once::claim::Swap;
        match swap {
            Swap::Done => Self::Done,
            Swap::Mismatch(found) => Self::Mismatch(found),
            Swap::Unavailable => Self::Unavailable,
            Swap::Unknown => Self::Unknown,
        }
    }
}

impl From<SwapReply> for bw_once::claim::Swap {
    fn from(reply: SwapReply) -> Self {
        match reply {
            SwapReply::Done => Self::Done,
            SwapReply::Mismatch(found) => Self::Mismatch(found),
            SwapReply::Unavailable => Self::Unavailable,
            SwapReply::Unknown => Self::Unknown,
        }
    }
}
