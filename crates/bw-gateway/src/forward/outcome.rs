//! How a request ends for its caller.

use std::time::Duration;

use bw_adapter::requests::reply_headers;
use hyper::header::HeaderMap;
use hyper::Response;
use hyper::StatusCode;

use super::exchange::Whole;
use crate::reply::Refusal;
use crate::reply::ReplyBody;

/// How a request ends, for the caller and the log.
pub enum Outcome {
    /// With an endpoint's answer.
    Answer(Response<ReplyBody>),
    /// With an answer of the gateway; the caller may come back after the time.
    Refused(Refusal, Option<Duration>),
}

/// An endpoint's whole answer.
pub fn deliver(whole: Whole) -> Outcome {
    let headers = reply_headers(&whole.parts);
    answer(whole.parts.status.as_u16(), headers, ReplyBody::Whole(Some(whole.body)))
}

/// An answer with an endpoint's head.
pub fn answer(status: u16, headers: HeaderMap, body: ReplyBody) -> Outcome {
    let mut response = Response::new(body);
    // A status that came over HTTP is a valid one.
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers;
    Outcome::Answer(response)
}
