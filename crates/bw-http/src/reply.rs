//! Replies with a content type.

use serde::Serialize;
use viz::Body;
use viz::Response;
use viz::ResponseExt;
use viz::StatusCode;

/// A reply whose body is `value` as JSON.
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

/// A reply in plain text.
pub fn text_reply(status: StatusCode, text: String) -> Response {
    let body: Body = http_body_util::Full::from(text).into();
    let mut response = Response::with(body, "text/plain; charset=utf-8");
    *response.status_mut() = status;
    response
}
