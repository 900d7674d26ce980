//! Fingerprints of callers' requests, by which a request that comes again is recognized.

use bw_model::hash::fingerprint;
use bw_model::hash::hash_head;
use bw_model::hash::Fingerprints;
use bw_proto::Call;

use super::chat::TIMEOUT_HEADER;
use super::service::KEY_HEADER;

/// Headers that may change when a caller sends a request again.
const CHANGING_HEADERS: [&str; 2] = [KEY_HEADER, TIMEOUT_HEADER];

/// Returns the fingerprints of a call to a service.
pub fn service_fingerprints(service: &str, token: Option<&str>, call: &Call) -> Fingerprints {
    let kept = call.headers.iter().filter(|(name, _)| !CHANGING_HEADERS.contains(&name.as_str()));
    let head = hash_head(&call.method, kept.map(|(name, value)| (name.as_str(), value.as_bytes())));
    Fingerprints::new(fingerprint(service, &call.path, &call.body), token, head)
}

/// Returns the fingerprints of a chat request. The first two cover its messages, the last one also the other fields of
/// the body.
pub fn chat_fingerprints(
    model: &str,
    token: Option<&str>,
    messages: &[u8],
    call: &Call,
) -> Fingerprints {
    let fields = fingerprint(model, &call.path, &call.body);
    Fingerprints::new(fingerprint(model, &call.path, messages), token, fields)
}
