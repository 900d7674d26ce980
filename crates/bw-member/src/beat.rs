//! Heartbeats and digests.

use bw_model::Incarnation;
use bw_model::Version;
use serde::Deserialize;
use serde::Serialize;

/// What an endpoint reports of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the engine's batch.
    pub running: u32,
    /// Requests waiting before the batch.
    pub queued: u32,
    /// Requests the batch can hold.
    pub slots: u32,
    /// Mean service time of recent requests, in milliseconds.
    pub service: u32,
}

/// One heartbeat of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Instance of the agent.
    pub instance: String,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Number of the heartbeat within that life.
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

/// State of an entry, as its digests carry it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// Instance of the entry.
    pub instance: String,
    /// Life of the entry.
    pub incarnation: Incarnation,
    /// Number of the state within that life.
    pub seq: u64,
    /// Whether the entry is leaving.
    pub leaving: bool,
    /// Configuration version in force at the entry.
    pub version: Version,
}

/// What one entry tells another: its own state and what is new to the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// State of the sender.
    pub sender: PeerState,
    /// States of other entries.
    pub peers: Vec<PeerState>,
    /// Last heartbeats of agents.
    pub beats: Vec<Beat>,
}
