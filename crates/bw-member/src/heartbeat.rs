//! Heartbeats of agents and digests exchanged by entries.

use bw_model::Incarnation;
use bw_model::Version;
use serde::Deserialize;
use serde::Serialize;

/// Load of an endpoint, as reported in heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the engine's batch.
    pub running: u32,
    /// Requests queued for the batch.
    pub queued: u32,
    /// Requests the batch can hold.
    pub slots: u32,
    /// Mean service time of recent requests, in milliseconds.
    pub service: u32,
}

/// A heartbeat of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Instance of the agent.
    pub instance: String,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat within that incarnation.
    pub seq: u64,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Configuration version in force at the agent.
    pub version: Version,
    /// Time until the next heartbeat, in milliseconds.
    pub interval: u32,
    /// Load of the endpoint; `None` for a rank that takes no requests.
    pub load: Option<Load>,
}

/// State of an entry, as carried in digests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// Instance of the entry.
    pub instance: String,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Sequence number of the state within that incarnation.
    pub seq: u64,
    /// Whether the entry is leaving.
    pub leaving: bool,
    /// Configuration version in force at the entry.
    pub version: Version,
}

/// A message from one entry to another: the sender's own state and the records that it has not yet
/// sent to the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// State of the sender.
    pub sender: PeerState,
    /// States of other entries.
    pub peers: Vec<PeerState>,
    /// Most recent heartbeats of agents.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<Heartbeat>,
}
