//! Answers other than the endpoint's: each says whether the request ran, and when to come back.

use std::time::Duration;

use bw_once::flow::NotRun;
use bw_once::flow::Unknown;
use serde_json::json;
use serde_json::Value;
use viz::header::HeaderValue;
use viz::header::RETRY_AFTER;
use viz::Response;
use viz::StatusCode;

/// Header that says whether the request ran: `no`, `yes` or `unknown`.
pub const RAN_HEADER: &str = "x-baobabwind-ran";
/// Header with the id of the request.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It did not run.
    No,
    /// It ran.
    Yes,
    /// It may have run.
    Unknown,
}

impl Ran {
    fn text(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request has no answer of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The body is not as it should be.
    Body(String),
    /// The body is too large.
    Large(String),
    /// The body came too slowly.
    Slow(String),
    /// The token belongs to no workspace.
    Token,
    /// The workspace may not use the model or service.
    Forbidden(String),
    /// No such model or service.
    Unknown(String),
    /// This entry has no configuration yet.
    Starting,
    /// It would have started too late, or no endpoint took it.
    Refused {
        /// Machine-readable reason.
        code: &'static str,
        /// When to come back.
        after: Duration,
    },
    /// It crashed endpoints before and is not sent again.
    Quarantined,
    /// Every attempt failed.
    Failed(&'static str),
    /// The time ran out while it may have been running.
    Late,
    /// It may run only once, and it is not known whether it did.
    Unsettled(&'static str),
    /// It ran, but its answer is no longer held.
    AnswerGone,
}

impl Fault {
    /// Machine-readable reason.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Body(_) => "bad_request",
            Self::Large(_) => "body_too_large",
            Self::Slow(_) => "body_too_slow",
            Self::Token => "unknown_token",
            Self::Forbidden(_) => "not_allowed",
            Self::Unknown(_) => "not_found",
            Self::Starting => "starting",
            Self::Refused { code, .. } => code,
            Self::Quarantined => "quarantined",
            Self::Failed(_) => "endpoint_failed",
            Self::Late => "deadline_passed",
            Self::Unsettled(_) => "outcome_unknown",
            Self::AnswerGone => "answer_gone",
        }
    }

    /// Whether the request ran.
    pub fn ran(&self) -> Ran {
        match self {
            Self::Quarantined | Self::Failed(_) | Self::Late | Self::Unsettled(_) => Ran::Unknown,
            Self::AnswerGone => Ran::Yes,
            _ => Ran::No,
        }
    }

    /// HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Body(_) => StatusCode::BAD_REQUEST,
            Self::Large(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow(_) => StatusCode::REQUEST_TIMEOUT,
            Self::Token => StatusCode::UNAUTHORIZED,
            Self::Forbidden(_) => StatusCode::FORBIDDEN,
            Self::Unknown(_) => StatusCode::NOT_FOUND,
            Self::Starting | Self::Refused { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Failed(_) => StatusCode::BAD_GATEWAY,
            Self::Late | Self::Unsettled(_) => StatusCode::GATEWAY_TIMEOUT,
            Self::AnswerGone => StatusCode::GONE,
        }
    }

    fn message(&self) -> String {
        match self {
            Self::Body(reason) | Self::Large(reason) | Self::Slow(reason) => reason.clone(),
            Self::Token => "the bearer token belongs to no workspace".to_string(),
            Self::Forbidden(name) => format!("the workspace may not use {name}"),
            Self::Unknown(name) => format!("there is no {name}"),
            Self::Starting => "this entry has no configuration yet".to_string(),
            Self::Refused { code, .. } => format!("the request did not run: {code}"),
            Self::Quarantined => {
                "endpoints died while they ran this request; it is not sent again".to_string()
            }
            Self::Failed(reason) => format!("every attempt failed: {reason}"),
            Self::Late => "the time for the request has passed".to_string(),
            Self::Unsettled(reason) => format!(
                "it is not known whether the request ran ({reason}); \
                 ask again with the same Idempotency-Key"
            ),
            Self::AnswerGone => "the request ran; its answer is no longer held".to_string(),
        }
    }

    fn after(&self) -> Option<Duration> {
        match self {
            Self::Refused { after, .. } => Some(*after),
            Self::Starting | Self::Unsettled(_) => Some(Duration::from_secs(1)),
            _ => None,
        }
    }

    /// The usual error object.
    pub fn body(&self, request: &str) -> Value {
        let error = json!({
            "message": self.message(),
            "type": error_type(self.status()),
            "param": null,
            "code": self.code(),
            "ran": self.ran().text(),
            "request_id": request,
        });
        json!({ "error": error })
    }

    /// The answer to the caller.
    pub fn response(&self, request: &str) -> Response {
        let mut response = bw_http::json_reply(self.status(), &self.body(request));
        let headers = response.headers_mut();
        headers.insert(RAN_HEADER, HeaderValue::from_static(self.ran().text()));
        if let Ok(value) = HeaderValue::from_str(request) {
            headers.insert(REQUEST_HEADER, value);
        }
        if let Some(after) = self.after() {
            let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
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
        const AFTER: Duration = Duration::from_secs(1);
        let code = match reason {
            NotRun::NoEndpoint => "no_endpoint",
            NotRun::Refused => "refused",
            NotRun::Expired => "expired",
        };
        Self::Refused { code, after: AFTER }
    }
}

impl From<Unknown> for Fault {
    fn from(reason: Unknown) -> Self {
        match reason {
            Unknown::ClaimUnread => Self::Unsettled("claim_unread"),
            Unknown::AgentRestarted => Self::Unsettled("agent_restarted"),
            Unknown::AgentSilent => Self::Unsettled("agent_silent"),
            Unknown::EndpointFailed => Self::Unsettled("endpoint_failed"),
            Unknown::AnswerGone => Self::AnswerGone,
        }
    }
}
