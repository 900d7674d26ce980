//! Error responses of the entry. Each states whether the request ran and, where useful, when to
//! retry.

use std::time::Duration;

use bw_once::flow::NotRun;
use bw_once::flow::Unknown;
use serde_json::json;
use serde_json::Value;
use viz::header::HeaderValue;
use viz::header::RETRY_AFTER;
use viz::Response;
use viz::StatusCode;

/// Header that states whether the request ran: `no`, `yes` or `unknown`.
pub const RAN_HEADER: &str = "x-baobabwind-ran";
/// Header with the id of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// The request did not run.
    No,
    /// The request ran.
    Yes,
    /// The request may have run.
    Unknown,
}

impl Ran {
    fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// Reason for which a request is not answered by an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The request is malformed; holds the message to the caller.
    BadRequest(String),
    /// The body exceeds the size limit; holds the message to the caller.
    BodyTooLarge(String),
    /// The body was not received in time; holds the message to the caller.
    BodyTooSlow(String),
    /// The token belongs to no workspace.
    UnknownToken,
    /// The workspace may not use the named model or service.
    Forbidden(String),
    /// The named model or service does not exist.
    NotFound(String),
    /// This entry has no configuration yet.
    Starting,
    /// The request would have started too late, or no endpoint accepted it.
    Refused {
        /// Machine-readable reason.
        code: &'static str,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The request has crashed endpoints before and is not retried.
    Quarantined,
    /// Every attempt failed; holds the reason of the last failure.
    Failed(&'static str),
    /// The deadline passed while the request may have been running.
    DeadlinePassed,
    /// The request may run only once, and it is not known whether it ran; holds the reason.
    OutcomeUnknown(&'static str),
    /// The request ran, but its answer is no longer in memory.
    AnswerGone,
}

impl Fault {
    /// Returns the machine-readable reason, as in the error object's `code`.
    pub fn code(&self) -> &'static str {
        match self {
            Self::BadRequest(_) => "bad_request",
            Self::BodyTooLarge(_) => "body_too_large",
            Self::BodyTooSlow(_) => "body_too_slow",
            Self::UnknownToken => "unknown_token",
            Self::Forbidden(_) => "not_allowed",
            Self::NotFound(_) => "not_found",
            Self::Starting => "starting",
            Self::Refused { code, .. } => code,
            Self::Quarantined => "quarantined",
            Self::Failed(_) => "endpoint_failed",
            Self::DeadlinePassed => "deadline_passed",
            Self::OutcomeUnknown(_) => "outcome_unknown",
            Self::AnswerGone => "answer_gone",
        }
    }

    /// Returns whether the request ran.
    pub fn ran(&self) -> Ran {
        match self {
            Self::Quarantined
            | Self::Failed(_)
            | Self::DeadlinePassed
            | Self::OutcomeUnknown(_) => Ran::Unknown,
            Self::AnswerGone => Ran::Yes,
            _ => Ran::No,
        }
    }

    /// Returns the HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow(_) => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownToken => StatusCode::UNAUTHORIZED,
            Self::Forbidden(_) => StatusCode::FORBIDDEN,
            Self::NotFound(_) => StatusCode::NOT_FOUND,
            Self::Starting | Self::Refused { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Failed(_) => StatusCode::BAD_GATEWAY,
            Self::DeadlinePassed | Self::OutcomeUnknown(_) => StatusCode::GATEWAY_TIMEOUT,
            Self::AnswerGone => StatusCode::GONE,
        }
    }

    fn message(&self) -> String {
        match self {
            Self::BadRequest(reason) | Self::BodyTooLarge(reason) | Self::BodyTooSlow(reason) => {
                reason.clone()
            }
            Self::UnknownToken => "the bearer token belongs to no workspace".to_string(),
            Self::Forbidden(name) => format!("the workspace may not use {name}"),
            Self::NotFound(name) => format!("there is no {name}"),
            Self::Starting => "this entry has no configuration yet".to_string(),
            Self::Refused { code, .. } => format!("the request did not run: {code}"),
            Self::Quarantined => {
                "endpoints died while they ran this request; it is not sent again".to_string()
            }
            Self::Failed(reason) => format!("every attempt failed: {reason}"),
            Self::DeadlinePassed => "the time for the request has passed".to_string(),
            Self::OutcomeUnknown(reason) => format!(
                "it is not known whether the request ran ({reason}); \
                 ask again with the same Idempotency-Key"
            ),
            Self::AnswerGone => "the request ran; its answer is no longer held".to_string(),
        }
    }

    /// Returns the time after which the caller may retry, if a retry can help.
    fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { retry_after, .. } => Some(*retry_after),
            Self::Starting | Self::OutcomeUnknown(_) => Some(Duration::from_secs(1)),
            _ => None,
        }
    }

    /// Returns the error object in the format of the OpenAI API, with `ran` and `request_id` added.
    pub fn body(&self, request: &str) -> Value {
        let error = json!({
            "message": self.message(),
            "type": error_type(self.status()),
            "param": null,
            "code": self.code(),
            "ran": self.ran().as_str(),
            "request_id": request,
        });
        json!({ "error": error })
    }

    /// Builds the response to the caller.
    pub fn response(&self, request: &str) -> Response {
        let mut response = bw_http::json_reply(self.status(), &self.body(request));
        let headers = response.headers_mut();
        headers.insert(RAN_HEADER, HeaderValue::from_static(self.ran().as_str()));
        if let Ok(value) = HeaderValue::from_str(request) {
            headers.insert(REQUEST_ID_HEADER, value);
        }
        if let Some(retry_after) = self.retry_after() {
            let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::FORBIDDEN => "permission_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}

impl From<NotRun> for Fault {
    fn from(reason: NotRun) -> Self {
        const DELAY: Duration = Duration::from_secs(1);
        let code = match reason {
            NotRun::NoEndpoint => "no_endpoint",
            NotRun::Refused => "refused",
            NotRun::Expired => "expired",
        };
        Self::Refused { code, retry_after: DELAY }
    }
}

impl From<Unknown> for Fault {
    fn from(reason: Unknown) -> Self {
        match reason {
            Unknown::ClaimUnread => Self::OutcomeUnknown("claim_unread"),
            Unknown::AgentRestarted => Self::OutcomeUnknown("agent_restarted"),
            Unknown::AgentSilent => Self::OutcomeUnknown("agent_silent"),
            Unknown::EndpointFailed => Self::OutcomeUnknown("endpoint_failed"),
            Unknown::AnswerGone => Self::AnswerGone,
        }
    }
}
