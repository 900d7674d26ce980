//! Hashes that identify requests.

use bw_model::hash::fingerprint;

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
