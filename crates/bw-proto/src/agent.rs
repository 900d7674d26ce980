//! Requests that agents handle, and their replies.

use bw_model::AttemptId;
use bw_model::Incarnation;
use bw_once::gate::AttemptStatus;
use bw_once::gate::Verdict;
use bw_once::Chunk;
use serde::Deserialize;
use serde::Serialize;

/// The HTTP request that the agent makes to its engine or service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// HTTP method, such as `POST`.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers to forward, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Vec<u8>,
}

/// One attempt to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Incarnation of the agent that the attempt is addressed to.
    pub incarnation: Incarnation,
    /// Entry that sends it.
    pub entry: String,
    /// Request id for logs.
    pub request: String,
    /// Workspace for logs and priorities.
    pub workspace: String,
    /// Service order of the workspace; a lower number is served first.
    pub order: u8,
    /// Time remaining until the request's deadline, in milliseconds.
    pub limit: u64,
    /// Fingerprint of the request, by which repeated crashes are recognised.
    pub fingerprint: u64,
    /// Whether the request is suspected of crashing endpoints.
    pub suspect: bool,
    /// Whether the request may run only once: its record is kept and it is not cancelled.
    pub once: bool,
    /// The HTTP request to make.
    pub call: Call,
}

/// Requests from entries and other agents to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentRequest {
    /// Run an attempt.
    Dispatch(Dispatch),
    /// Read an answer from `offset` on, waiting for new data; acknowledges the bytes before
    /// `offset`.
    Read {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Incarnation of the agent that runs the attempt.
        incarnation: Incarnation,
        /// First byte requested.
        offset: u64,
        /// Whether the sender already has the status and headers.
        head: bool,
        /// Longest wait for new data, in milliseconds.
        wait: u64,
    },
    /// Report the status of an attempt; an unknown attempt is barred, so that it can never run.
    #[serde(rename = "Ask")]
    QueryAttempt {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Incarnation of the agent that the claim names.
        incarnation: Incarnation,
    },
    /// Stop and free an attempt that nobody waits for any more; one that may run only once is not
    /// stopped.
    Release(AttemptId),
    /// Report the agent's own state.
    Status,
    /// A message of the map switch protocol within the group.
    Switch(bw_expert::Message),
    /// An order from the planner.
    Order(bw_expert::Order),
    /// Report the demand for the group's experts since the planner's last request.
    Demand,
}

/// State of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// Instance of the agent.
    pub instance: String,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Whether the agent is leaving.
    pub leaving: bool,
    /// Number of running attempts.
    pub running: u32,
    /// Configuration version in force.
    pub version: bw_model::Version,
    /// Version of the expert map in force at the agent's rank.
    pub map: bw_model::MapVersion,
}

/// Replies of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentReply {
    /// Reply to [`AgentRequest::Dispatch`].
    Verdict {
        /// Whether the attempt runs.
        verdict: Verdict,
        /// Number of requests that the endpoint runs now.
        running: u32,
    },
    /// Reply to [`AgentRequest::Read`].
    Chunk(Chunk),
    /// Reply to [`AgentRequest::Read`] when the agent does not hold the attempt or those bytes.
    Lost(AttemptStatus),
    /// Reply to [`AgentRequest::QueryAttempt`].
    #[serde(rename = "Standing")]
    AttemptStatus(AttemptStatus),
    /// Reply to [`AgentRequest::Status`].
    Status(AgentStatus),
    /// Reply to [`AgentRequest::Switch`], with messages for the sender, if any.
    Switch(Vec<bw_expert::Message>),
    /// Reply to [`AgentRequest::Order`].
    Order(bw_expert::OrderReply),
    /// Reply to [`AgentRequest::Demand`].
    Demand(bw_expert::GroupReport),
    /// The request was handled and has no result.
    Done,
    /// The request is not for this agent, or cannot be decoded; holds the reason.
    Unfit(String),
}
