//! Streamed answers of engines that are no sound streams of events.

#![allow(clippy::unwrap_used, clippy::panic)]

use bw_entry::requests::sink::Sink;
use bw_entry::requests::sink::SinkError;
use bw_entry::requests::stream::EventSink;
use bw_entry::requests::stream::Piece;
use bw_once::Head;
use serde_json::json;
use tokio::sync::mpsc;

const TEXT_MAX: usize = 1 << 16;

fn sink() -> (EventSink, mpsc::Receiver<Piece>) {
    let (sender, mut receiver) = mpsc::channel(64);
    let mut sink = EventSink::new(sender, json!({ "messages": [] }), TEXT_MAX);
    sink.write_head(&head(200, "text/event-stream"));
    assert!(matches!(receiver.try_recv(), Ok(Piece::Head(_))));
    (sink, receiver)
}

fn head(status: u16, kind: &str) -> Head {
    Head { status, headers: vec![("content-type".to_string(), kind.to_string())] }
}

fn event(text: &str) -> Vec<u8> {
    format!("data: {}\n\n", json!({ "choices": [{ "delta": { "content": text } }] })).into_bytes()
}

/// Guards against a stream that ends within an event, for a caller as whole, without its last part.
#[tokio::test]
async fn an_answer_that_ends_within_an_event_is_not_whole() {
    let (mut sink, mut caller) = sink();
    sink.write(event("one")).await.unwrap();
    assert_eq!(sink.finish(), Ok(()));
    let second = event("two");
    sink.write(second[..second.len() - 5].to_vec()).await.unwrap();
    assert_eq!(sink.finish(), Err(SinkError::Unsound));
    // The caller has the whole event only.
    assert!(matches!(caller.try_recv(), Ok(Piece::Bytes(bytes)) if bytes == event("one")));
    assert!(caller.try_recv().is_err());
}

/// Guards against an event without an end that fills the memory of the entry.
#[tokio::test]
async fn an_event_without_an_end_fails_the_endpoint() {
    let (mut sink, _caller) = sink();
    let part = vec![b'x'; 1 << 18];
    let mut written = 0;
    while sink.write(part.clone()).await.is_ok() {
        written += part.len();
        assert!(written < 1 << 22, "the event is still taken");
    }
}

/// The text that is kept for a continuation is bounded; what is not kept is passed on.
#[tokio::test]
async fn a_stream_without_an_end_keeps_a_bounded_text() {
    let (mut sink, mut caller) = sink();
    let text = "x".repeat(1 << 10);
    let mut received = 0;
    for _ in 0..200 {
        sink.write(event(&text)).await.unwrap();
        while let Ok(Piece::Bytes(bytes)) = caller.try_recv() {
            received += bytes.len();
        }
    }
    assert_eq!(received, 200 * event(&text).len());
    assert!(sink.kept_text() <= TEXT_MAX);
}

/// An error of the engine has a body without events.
#[tokio::test]
async fn an_answer_that_is_no_stream_is_passed_on_as_it_comes() {
    let (sender, mut caller) = mpsc::channel(64);
    let mut sink = EventSink::new(sender, json!({ "messages": [] }), TEXT_MAX);
    sink.write_head(&head(400, "application/json"));
    sink.write(b"{\"error\":1}".to_vec()).await.unwrap();
    assert_eq!(sink.finish(), Ok(()));
    assert!(matches!(caller.try_recv(), Ok(Piece::Head(head)) if head.status == 400));
    assert!(matches!(caller.try_recv(), Ok(Piece::Bytes(bytes)) if bytes == b"{\"error\":1}"));
}

/// Guards against an engine's error that is passed on as the rest of a stream, which then looks whole.
#[tokio::test]
async fn an_error_does_not_continue_a_stream() {
    let (mut sink, mut caller) = sink();
    sink.write(event("one")).await.unwrap();
    assert!(matches!(caller.try_recv(), Ok(Piece::Bytes(_))));
    sink.write_head(&head(400, "application/json"));
    assert_eq!(sink.finish(), Err(SinkError::Unsound));
    let error = b"{\"error\":1}".to_vec();
    assert_eq!(sink.write(error).await, Err(SinkError::Unsound));
    assert!(caller.try_recv().is_err());
    // A sound attempt after it goes on.
    sink.write_head(&head(200, "text/event-stream"));
    sink.write(event("two")).await.unwrap();
    assert_eq!(sink.finish(), Ok(()));
}
