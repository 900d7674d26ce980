//! Requests and answers as the decisions see them.

use std::fmt;
use std::time::Duration;

use smallvec::SmallVec;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Tokens of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenUse {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer at most.
    pub answer: u32,
}

/// The head of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHead {
    /// The caller's id of this attempt; endpoints echo it.
    pub attempt: String,
    /// Host that the caller named.
    pub host: String,
    /// Key of a workspace.
    pub key: Option<String>,
    /// Time for which the caller waits.
    pub left: Option<Duration>,
    /// Last event of a stream that the caller has.
    pub last_event: Option<u64>,
    /// Tokens of a request to a model.
    pub tokens: Option<TokenUse>,
    /// Parts of the prompt, in order.
    pub prompt: SmallVec<[PromptPart; 4]>,
    /// The caller's estimate of the answer's tokens.
    pub answer: Option<u64>,
}

/// Why a head is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadFault {
    /// No host, or more than one.
    Host,
    /// More than one key.
    Key,
}

impl fmt::Display for HeadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Host => write!(f, "the request must name one host"),
            Self::Key => write!(f, "the request must carry one key at most"),
        }
    }
}

impl std::error::Error for HeadFault {}

/// Load that an endpoint tells in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at a time.
    pub slots: u32,
}

/// The head of an endpoint's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyHead {
    /// HTTP status.
    pub status: u16,
    /// The attempt that it answers.
    pub attempt: Option<String>,
    /// Whether it proves to be an endpoint's.
    pub stamped: bool,
    /// Whether it states that the request did not run.
    pub not_run: bool,
    /// Whether something on the way has encoded the body.
    pub encoded: bool,
    /// Whether the connection ends after it.
    pub closing: bool,
    /// Time after which the endpoint closes the idle connection.
    pub idle: Option<Duration>,
    /// Load of the endpoint.
    pub load: Option<EndpointLoad>,
    /// Whether the body is a series of events.
    pub events: bool,
}
