//! Messages that entries answer.

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

/// What agents and other entries ask an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryRequest {
    /// An agent's heartbeat.
    Beat(Heartbeat),
    /// Another entry's digest.
    Digest(Digest),
    /// The change of configuration since the version the sender has.
    Fetch(Version),
    /// An agent's part of the configuration, if newer than the version it has.
    View {
        /// Instance of the agent.
        instance: String,
        /// Version it has.
        have: Version,
    },
    /// Crashes of engines, from an agent or another entry.
    Crashes(Vec<Crash>),
    /// Change a claim, asked of the entry that groups the changes of the key's shard.
    Swap {
        /// The key.
        key: KeyHash,
        /// Attempt that must hold it.
        expect: Option<AttemptId>,
        /// The new claim; `None` gives the key back.
        claim: Option<Claim>,
    },
}

/// Result of a claim change, as [`bw_once::claim::Swap`] on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SwapReply {
    /// The claim was replaced.
    Done,
    /// Another claim was found.
    Mismatch(Option<Claim>),
    /// The store took nothing.
    Unavailable,
    /// The store may or may not have taken the change.
    Unknown,
}

/// An entry's answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryReply {
    /// On [`EntryRequest::Beat`] and [`EntryRequest::Digest`]: the version in force.
    Version(Version),
    /// On [`EntryRequest::Fetch`].
    Update(Update),
    /// On [`EntryRequest::View`]; `None` when the agent is up to date.
    View(Option<AgentView>),
    /// On [`EntryRequest::Swap`].
    Swap(SwapReply),
    /// Done; there is nothing to say.
    Done,
    /// The request is not for this entry, or not a message.
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
