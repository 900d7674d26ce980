//! Client for requests to agents.

use std::net::SocketAddr;
use std::time::Duration;

use bw_link::LinkError;
use bw_link::Pool;
use bw_model::AttemptId;
use bw_model::Incarnation;
use bw_once::gate::AttemptStatus;
use bw_once::gate::Verdict;
use bw_once::Chunk;
use bw_proto::agent::Dispatch;
use bw_proto::decode;
use bw_proto::encode;
use bw_proto::AgentReply;
use bw_proto::AgentRequest;
use bw_proto::CodecError;

const DISPATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum time that the agent waits for new bytes of an answer before it replies to a read.
pub const READ_WAIT: Duration = Duration::from_millis(1_000);
/// Time without a reply to a read after which the link counts as failed, although it is still open.
const READ_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Reason for which a call to an agent has no usable reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The link failed; the request may have arrived.
    Link(LinkError),
    /// The request could not be encoded or the reply could not be decoded.
    Codec(CodecError),
    /// The reply does not match the request; holds the reply.
    UnexpectedReply(String),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Link(error) => write!(f, "{error}"),
            Self::Codec(error) => write!(f, "{error}"),
            Self::UnexpectedReply(reply) => write!(f, "unexpected reply: {reply}"),
        }
    }
}

impl std::error::Error for CallError {}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadReply {
    /// A chunk of the answer.
    Chunk(Chunk),
    /// The agent does not have the requested bytes and will not have them; holds the status of the
    /// attempt.
    Lost(AttemptStatus),
}

/// Client for the agents of the entry's endpoints.
#[derive(Clone)]
pub struct Agents {
    pool: Pool,
}

impl Agents {
    /// Creates a client that uses the links of `pool`.
    pub fn new(pool: Pool) -> Self {
        Self { pool }
    }

    /// Sends an attempt once. Returns the verdict and the number of requests running at the agent.
    ///
    /// # Errors
    /// Returns [`CallError`] if there is no usable reply; the attempt may still run.
    pub async fn dispatch(
        &self,
        agent: SocketAddr,
        dispatch: Dispatch,
    ) -> Result<(Verdict, u32), CallError> {
        let request = AgentRequest::Dispatch(dispatch);
        match self.call(agent, &request, DISPATCH_TIMEOUT).await? {
            AgentReply::Verdict { verdict, running } => Ok((verdict, running)),
            other => Err(unexpected_reply(other)),
        }
    }

    /// Reads an answer from `offset` on; `head` states whether the caller already has the head.
    ///
    /// # Errors
    /// Returns [`CallError`] if there is no usable reply. The read can be repeated over a new link
    /// without loss.
    pub async fn read(
        &self,
        agent: SocketAddr,
        (attempt, incarnation): (AttemptId, Incarnation),
        offset: u64,
        head: bool,
    ) -> Result<ReadReply, CallError> {
        let wait = READ_WAIT.as_millis() as u64;
        let request = AgentRequest::Read { attempt, incarnation, offset, head, wait };
        match self.call(agent, &request, READ_TIMEOUT).await? {
            AgentReply::Chunk(chunk) => Ok(ReadReply::Chunk(chunk)),
            AgentReply::Lost(status) => Ok(ReadReply::Lost(status)),
            other => Err(unexpected_reply(other)),
        }
    }

    /// Queries the status of an attempt. The agent bars an attempt that it has not received.
    ///
    /// # Errors
    /// Returns [`CallError`] if there is no usable reply.
    pub async fn query_attempt(
        &self,
        agent: SocketAddr,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) -> Result<AttemptStatus, CallError> {
        let request = AgentRequest::QueryAttempt { attempt, incarnation };
        match self.call(agent, &request, QUERY_TIMEOUT).await? {
            AgentReply::AttemptStatus(status) => Ok(status),
            other => Err(unexpected_reply(other)),
        }
    }

    /// Informs the agent, in the background, that no caller waits for an attempt any more. A lost
    /// message does no harm.
    pub fn release(&self, agent: SocketAddr, attempt: AttemptId) {
        let agents = self.clone();
        tokio::spawn(async move {
            let _ = agents.call(agent, &AgentRequest::Release(attempt), QUERY_TIMEOUT).await;
        });
    }

    /// Sends a request and decodes the reply.
    ///
    /// # Errors
    /// Returns [`CallError`] if there is no reply or a codec fails.
    pub async fn call(
        &self,
        agent: SocketAddr,
        request: &AgentRequest,
        timeout: Duration,
    ) -> Result<AgentReply, CallError> {
        let bytes = encode(request).map_err(CallError::Codec)?;
        let reply = self.pool.call(agent, &bytes, timeout).await.map_err(CallError::Link)?;
        decode(&reply).map_err(CallError::Codec)
    }
}

fn unexpected_reply(reply: AgentReply) -> CallError {
    CallError::UnexpectedReply(format!("{reply:?}"))
}
