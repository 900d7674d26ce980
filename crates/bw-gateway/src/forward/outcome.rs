//! Outcome of a request for its caller.

use std::time::Duration;

use bw_adapter::requests::reply_headers;
use hyper::header::HeaderMap;
use hyper::Response;
use hyper::StatusCode;

use super::exchange::WholeAnswer;
use crate::reply::Refusal;
use crate::reply::ReplyBody;

/// Outcome of a request, for the caller and the log.
pub enum Outcome {
    /// An endpoint's answer.
    Answer(Response<ReplyBody>),
    /// A refusal by the gateway, with the retry-after time if the caller may retry.
    Refused(Refusal, Option<Duration>),
}

/// Returns an endpoint's whole answer as the outcome.
pub fn deliver(whole: WholeAnswer) -> Outcome {
    let headers = reply_headers(&whole.parts);
    answer(whole.parts.status.as_u16(), headers, ReplyBody::Whole(Some(whole.body)))
}

/// Returns an answer with the status and headers of an endpoint's answer.
pub fn answer(status: u16, headers: HeaderMap, body: ReplyBody) -> Outcome {
    let mut response = Response::new(body);
    // The status was received over HTTP and is therefore valid; the fallback is never used.
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers;
    Outcome::Answer(response)
}
