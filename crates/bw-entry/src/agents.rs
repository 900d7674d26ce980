//! Calls to agents.

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

const DISPATCH_LIMIT: Duration = Duration::from_millis(1_500);
const ASK_LIMIT: Duration = Duration::from_millis(1_000);
/// Longest wait of the agent for news of an answer.
pub const READ_WAIT: Duration = Duration::from_millis(1_000);
/// Silence after which a link counts as dead, although it was not closed.
const READ_LIMIT: Duration = Duration::from_millis(1_800);

/// Why a call to an agent has no usable reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The link failed; the request may have arrived.
    Link(LinkError),
    /// The reply cannot be read.
    Codec(CodecError),
    /// The agent does not take such a request.
    Unfit(String),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Link(error) => write!(f, "{error}"),
            Self::Codec(error) => write!(f, "{error}"),
            Self::Unfit(reason) => write!(f, "unfit: {reason}"),
        }
    }
}

impl std::error::Error for CallError {}

/// What a read came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadReply {
    /// A piece of the answer.
    Chunk(Chunk),
    /// No piece can come.
    Lost(AttemptStatus),
}

/// The agents behind this entry.
#[derive(Clone)]
pub struct Agents {
    pool: Pool,
}

impl Agents {
    /// Agents reached over the links of `pool`.
    pub fn new(pool: Pool) -> Self {
        Self { pool }
    }

    /// Sends an attempt once; returns the verdict and the requests running there.
    ///
    /// # Errors
    /// [`CallError`]; the attempt may run all the same.
    pub async fn dispatch(
        &self,
        agent: SocketAddr,
        dispatch: Dispatch,
    ) -> Result<(Verdict, u32), CallError> {
        let request = AgentRequest::Dispatch(dispatch);
        match self.call(agent, &request, DISPATCH_LIMIT).await? {
            AgentReply::Verdict { verdict, running } => Ok((verdict, running)),
            other => Err(unfit(other)),
        }
    }

    /// Reads an answer from `offset` on.
    ///
    /// # Errors
    /// [`CallError`]; reading again over a new link loses nothing.
    pub async fn read(
        &self,
        agent: SocketAddr,
        (attempt, incarnation): (AttemptId, Incarnation),
        offset: u64,
        head: bool,
    ) -> Result<ReadReply, CallError> {
        let wait = READ_WAIT.as_millis() as u64;
        let request = AgentRequest::Read { attempt, incarnation, offset, head, wait };
        match self.call(agent, &request, READ_LIMIT).await? {
            AgentReply::Chunk(chunk) => Ok(ReadReply::Chunk(chunk)),
            AgentReply::Lost(standing) => Ok(ReadReply::Lost(standing)),
            other => Err(unfit(other)),
        }
    }

    /// Asks what has become of an attempt, and bars it if it was not seen.
    ///
    /// # Errors
    /// [`CallError`].
    pub async fn ask(
        &self,
        agent: SocketAddr,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) -> Result<AttemptStatus, CallError> {
        let request = AgentRequest::QueryAttempt { attempt, incarnation };
        match self.call(agent, &request, ASK_LIMIT).await? {
            AgentReply::Standing(standing) => Ok(standing),
            other => Err(unfit(other)),
        }
    }

    /// Says that nobody waits for an attempt any more. Losing this is harmless.
    pub fn release(&self, agent: SocketAddr, attempt: AttemptId) {
        let agents = self.clone();
        tokio::spawn(async move {
            let _ = agents.call(agent, &AgentRequest::Release(attempt), ASK_LIMIT).await;
        });
    }

    /// Sends any request.
    ///
    /// # Errors
    /// [`CallError`].
    pub async fn call(
        &self,
        agent: SocketAddr,
        request: &AgentRequest,
        limit: Duration,
    ) -> Result<AgentReply, CallError> {
        let bytes = encode(request).map_err(CallError::Codec)?;
        let reply = self.pool.call(agent, &bytes, limit).await.map_err(CallError::Link)?;
        decode(&reply).map_err(CallError::Codec)
    }
}

fn unfit(reply: AgentReply) -> CallError {
    CallError::Unfit(format!("{reply:?}"))
}
