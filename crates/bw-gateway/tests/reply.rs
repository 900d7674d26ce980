//! Bodies of answers to callers.

#![allow(clippy::unwrap_used, clippy::panic)]

use bw_gateway::reply::event_stream;
use bytes::Bytes;
use http_body_util::BodyExt;

/// A caller that reads slowly leaves the buffer full. If the stream breaks off then, there is no place
/// for an error in the buffer, and the answer must not look complete all the same.
#[tokio::test]
async fn a_stream_that_breaks_off_while_its_caller_reads_slowly_does_not_look_complete() {
    let (sender, mut body) = event_stream(2);
    assert!(sender.send(Bytes::from_static(b"id: 1\n\n")).await);
    assert!(sender.send(Bytes::from_static(b"id: 2\n\n")).await);
    drop(sender);
    for _ in 0..2 {
        assert!(body.frame().await.unwrap().is_ok());
    }
    assert!(body.frame().await.unwrap().is_err());
}

#[tokio::test]
async fn a_finished_stream_ends_after_its_buffered_events() {
    let (sender, mut body) = event_stream(2);
    assert!(sender.send(Bytes::from_static(b"id: 1\n\n")).await);
    sender.finish();
    assert!(body.frame().await.unwrap().is_ok());
    assert!(body.frame().await.is_none());
}
