//! Messages that agents answer.

use bw_model::AttemptId;
use bw_model::Incarnation;
use bw_once::gate::AttemptStatus;
use bw_once::gate::Verdict;
use bw_once::Chunk;
use serde::Deserialize;
use serde::Serialize;

/// The HTTP request to make behind the agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers to pass on, in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// One attempt to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// Life of the agent it is meant for.
    pub incarnation: Incarnation,
    /// Entry that sends it.
    pub entry: String,
    /// Request id for logs.
    pub request: String,
    /// Workspace for logs and priorities.
    pub workspace: String,
    /// Service order of the workspace; a lower number goes first.
    pub order: u8,
    /// Time left, in milliseconds.
    pub limit: u64,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Whether it is suspected of crashing endpoints.
    pub suspect: bool,
    /// Whether the request may run only once: its record is kept and it is not cancelled.
    pub once: bool,
    /// What to run.
    pub call: Call,
}

/// What entries and other agents ask an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentRequest {
    /// Run an attempt.
    Dispatch(Dispatch),
    /// Read an answer from `offset` on, waiting for news; acknowledges the bytes before it.
    Read {
        /// The attempt.
        attempt: AttemptId,
        /// Life of the agent that runs it.
        incarnation: Incarnation,
        /// First byte wanted.
        offset: u64,
        /// Whether status and headers are known already.
        head: bool,
        /// Longest wait for news, in milliseconds.
        wait: u64,
    },
    /// Tell what has become of an attempt; one not seen is barred.
    Ask {
        /// The attempt.
        attempt: AttemptId,
        /// Life of the agent that the claim names.
        incarnation: Incarnation,
    },
    /// Nobody waits for the attempt any more: stop it, unless it may run only once, and free it.
    Release(AttemptId),
    /// Tell the agent's own state.
    Status,
    /// A message of the map switch within the group.
    Switch(bw_expert::Message),
    /// An order of the planner.
    Order(bw_expert::Order),
    /// Demand of the group's experts since the last question of the planner.
    Demand,
}

/// State of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// Instance of the agent.
    pub instance: String,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Attempts running.
    pub running: u32,
    /// Configuration version in force.
    pub version: bw_model::Version,
    /// Map in force at its rank.
    pub map: bw_model::MapVersion,
}

/// An agent's answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentReply {
    /// On [`AgentRequest::Dispatch`].
    Verdict {
        /// Whether it runs.
        verdict: Verdict,
        /// Requests that the endpoint runs now.
        running: u32,
    },
    /// On [`AgentRequest::Read`].
    Chunk(Chunk),
    /// On [`AgentRequest::Read`]: the attempt or those bytes are not held here.
    Lost(AttemptStatus),
    /// On [`AgentRequest::Ask`].
    Standing(AttemptStatus),
    /// On [`AgentRequest::Status`].
    Status(AgentStatus),
    /// On [`AgentRequest::Switch`]: messages for the sender, if any.
    Switch(Vec<bw_expert::Message>),
    /// On [`AgentRequest::Order`].
    Order(bw_expert::OrderReply),
    /// On [`AgentRequest::Demand`].
    Demand(bw_expert::GroupReport),
    /// Done; there is nothing to say.
    Done,
    /// The request is not for this agent, or not a message.
    Unfit(String),
}
