//! Heads of requests and answers, reduced to what the decisions use.

use std::fmt;
use std::time::Duration;

use smallvec::SmallVec;

use crate::limits::LimitError;
use crate::limits::Rate;
use crate::limits::Statement;
use crate::notices::WaitError;
use crate::notices::WaitTime;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// Identifiers of parts of a prompt.
pub type PartIds = SmallVec<[u64; 4]>;

/// Token counts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenUse {
    /// Length of the prompt.
    pub prompt: u32,
    /// Maximum length of the answer.
    pub answer: u32,
}

/// The head of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHead {
    /// Id of the attempt, chosen by the caller; endpoints echo the id.
    pub attempt: String,
    /// Host in the request.
    pub host: String,
    /// Workspace key of the caller.
    pub key: Option<String>,
    /// Remaining time for which the caller waits.
    pub remaining: Option<Duration>,
    /// Id of the last event of the stream that the caller received.
    pub last_event: Option<u64>,
    /// Token counts of a request to a model.
    pub tokens: Option<TokenUse>,
    /// Parts of the prompt, in order.
    pub prompt: SmallVec<[PromptPart; 4]>,
    /// The caller's estimate of the answer's length in tokens.
    pub answer: Option<u64>,
}

impl CallerHead {
    /// Returns the identifiers of the parts of the prompt that other requests may share: all but the
    /// last one, which belongs to the request or its session.
    pub fn shared_parts(&self) -> PartIds {
        let shared = self.prompt.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.id).collect()
    }
}

/// Reason why a request head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The head has no host, or more than one.
    Host,
    /// The head has more than one key.
    Key,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Host => write!(f, "the request must name one host"),
            Self::Key => write!(f, "the request must carry one key at most"),
        }
    }
}

impl std::error::Error for HeadError {}

/// Load that an endpoint reports in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Requests that the endpoint can run concurrently.
    pub slots: u32,
}

/// The head of an endpoint's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyHead {
    /// HTTP status code.
    pub status: u16,
    /// Id of the attempt that the answer belongs to.
    pub attempt: Option<String>,
    /// Whether the answer carries the stamp that shows that an endpoint sent it.
    pub stamped: bool,
    /// Whether the answer states that the request did not run.
    pub not_run: bool,
    /// Whether an intermediary has encoded the body.
    pub encoded: bool,
    /// Whether the connection closes after the answer.
    pub closing: bool,
    /// Idle time after which the endpoint closes the connection.
    pub idle: Option<Duration>,
    /// Load of the endpoint, if reported.
    pub load: Option<EndpointLoad>,
    /// Limit on the requests from all gateways together that the endpoint names, or why it is ignored.
    pub limit: Option<Result<Rate, LimitError>>,
    /// Whether the endpoint states that it is leaving.
    pub leaving: bool,
    /// Time for which an endpoint that rejects a request wants no other one, or why it is ignored.
    pub wait: Option<Result<WaitTime, WaitError>>,
    /// Whether the body is an event stream.
    pub events: bool,
}

/// Status with which an endpoint rejects a request that is addressed to another endpoint.
pub const MISDIRECTED: u16 = 421;

impl ReplyHead {
    /// Returns whether the answer states that its request has not run, whichever request that is.
    pub fn is_refusal(&self) -> bool {
        self.not_run || self.status == MISDIRECTED
    }

    /// Returns whether the answer states that `attempt` has not run; `first` tells whether it is the first
    /// answer on its connection.
    ///
    /// Endpoints may leave the attempt out of refusals. On a connection that was used before, such a refusal
    /// may belong to an earlier request.
    pub fn refuses(&self, attempt: &str, first: bool) -> bool {
        let belongs = match &self.attempt {
            Some(named) => named == attempt,
            None => first,
        };
        self.is_refusal() && belongs
    }

    /// Returns what the answer to `attempt` says about the endpoint's limit, if anything. A rejection that
    /// names no limit says nothing, nor does an answer to an earlier request that comes late.
    pub fn limit_statement(&self, attempt: &str) -> Option<Statement> {
        if self.attempt.as_deref() != Some(attempt) {
            return None;
        }
        match self.limit {
            Some(Ok(rate)) => Some(Statement::Named(rate)),
            Some(Err(error)) => Some(Statement::Invalid(error)),
            None => self.stamped.then_some(Statement::NoLimit),
        }
    }
}
