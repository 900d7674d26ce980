//! Builds replies with a content type, and checks the statuses of received ones.

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::header::CONTENT_ENCODING;
use serde::Serialize;
use viz::Body;
use viz::Response;
use viz::ResponseExt;
use viz::StatusCode;

use crate::compress::GZIP;

/// Returns a reply whose body is `value` as JSON.
///
/// When `value` cannot be serialised, the reply has status 500 and an `error` field instead.
pub fn json_reply<T>(status: StatusCode, value: &T) -> Response
where
    T: Serialize,
{
    let (status, text) = match serde_json::to_string(value) {
        Ok(text) => (status, text),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{{\"error\":\"{error}\"}}")),
    };
    let mut response = Response::with(http_body_util::Full::from(text), "application/json");
    *response.status_mut() = status;
    response
}

/// Returns a reply whose body is JSON text that was compressed with [`crate::compress::compress`].
pub fn compressed_json_reply(body: Bytes) -> Response {
    let mut response = Response::with(http_body_util::Full::from(body), "application/json");
    response.headers_mut().insert(CONTENT_ENCODING, HeaderValue::from_static(GZIP));
    response
}

/// Returns a reply in plain text, as UTF-8.
pub fn text_reply(status: StatusCode, text: String) -> Response {
    let body: Body = http_body_util::Full::from(text).into();
    let mut response = Response::with(body, "text/plain; charset=utf-8");
    *response.status_mut() = status;
    response
}

/// Returns whether a status ends an exchange and says how. Others are interim, switch to another protocol that
/// was not asked for, or have no meaning (RFC 9110, section 15).
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
