//! Hashes that identify requests.

use bw_model::hash::fingerprint;
use bw_model::hash::hash_head;
use bw_model::hash::Fingerprints;

/// Requests without a body differ in their paths only. If paths of one length had one fingerprint, a
/// request that crashes endpoints would quarantine many others.
#[test]
fn requests_to_different_paths_have_different_fingerprints() {
    assert_ne!(fingerprint("w", "/status/1", b""), fingerprint("w", "/status/2", b""));
    assert_ne!(fingerprint("w", "/status/1", b"x"), fingerprint("w", "/status/2", b"x"));
    assert_eq!(fingerprint("w", "/status/1", b"x"), fingerprint("w", "/status/1", b"x"));
    // The boundary between workspace and path counts.
    assert_ne!(fingerprint("w/a", "/b", b""), fingerprint("w", "/a/b", b""));
}

fn fingerprints(caller: Option<&str>, headers: &[(&str, &str)]) -> Fingerprints {
    let headers = headers.iter().map(|(name, value)| (*name, value.as_bytes()));
    let shared = fingerprint("w", "/status/1", b"");
    Fingerprints::new(shared, caller, hash_head("GET", headers))
}

/// Callers of one workspace send alike requests. If they had one fingerprint only, an answer to one would be evidence for
/// all.
#[test]
fn each_fingerprint_covers_more_of_a_request() {
    let one = fingerprints(Some("key-1"), &[("x-format", "17"), ("accept", "text/html")]);
    let other_caller = fingerprints(Some("key-2"), &[("x-format", "17"), ("accept", "text/html")]);
    assert_eq!(one.shared, other_caller.shared);
    assert_ne!(one.caller, other_caller.caller);
    assert_ne!(one.exact, other_caller.exact);
    let other_header = fingerprints(Some("key-1"), &[("x-format", "18"), ("accept", "text/html")]);
    assert_eq!(one.caller, other_header.caller);
    assert_ne!(one.exact, other_header.exact);
    let other_order = fingerprints(Some("key-1"), &[("accept", "text/html"), ("x-format", "17")]);
    assert_eq!(one, other_order);
    assert_eq!(one.distinct().len(), 3);
}

#[test]
fn a_request_without_a_caller_has_two_fingerprints() {
    let one = fingerprints(None, &[("x-format", "17")]);
    assert_eq!(one.shared, one.caller);
    assert_eq!(one.distinct().as_slice(), [one.shared, one.exact]);
}
