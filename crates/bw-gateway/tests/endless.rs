//! Endpoints that send bytes that are no answer without end, and streams that are slow or have stalled.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;
use std::time::Instant;

use bw_direct::catalog::Draft;
use bw_direct::catalog::Route;
use bw_fake::endpoint::event_text;
use bw_fake::endpoint::Behaviour;
use common::draft;
use common::read_reply;
use common::request;
use common::Rig;

/// Largest number of bytes that an endpoint may get rid of before its connection is closed: the largest
/// whole answer, and what the sockets hold.
const BYTES_MAX: u64 = 32 << 20;

fn endless(start: &str, part: &str) -> Behaviour {
    Behaviour::Endless(start.to_string(), part.to_string())
}

/// Returns ways to send bytes without end, each in another state of an answer.
fn ways() -> Vec<(&'static str, Behaviour)> {
    let chunked = "{head}Transfer-Encoding: chunked\r\n\r\n";
    let stream = "{head}Content-Type: text/event-stream\r\n\r\n";
    vec![
        ("status line", endless("HTTP/1.1 200 ", "x")),
        ("header line", endless("{head}x-a: ", "b")),
        ("headers", endless("{head}", "x-a: b\r\n")),
        ("interim answers", endless("", "HTTP/1.1 100 Continue\r\n\r\n")),
        ("chunk size", endless(chunked, "0")),
        ("chunk extension", endless(&format!("{chunked}5;"), "x")),
        ("trailers", endless(&format!("{chunked}0\r\n"), "x-a: b\r\n")),
        ("chunks", endless(chunked, "5\r\nabcde\r\n")),
        ("body without a length", endless("{head}\r\n", "x")),
        ("event without an end", endless(stream, "data: x\n")),
        ("bytes that are no answer", endless("", "\u{1}\u{2}")),
    ]
}

#[tokio::test]
async fn bytes_without_end_are_cut_off_and_the_request_is_not_reported_as_not_run() {
    for (name, behaviour) in ways() {
        let rig = Rig::start(&[behaviour]).await;
        let since = Instant::now();
        let mut channel = rig.connect().await;
        let sent = channel.send(request("POST", "/order/1", "once", "a-1")).await;
        if let Ok(response) = sent {
            let status = response.status().as_u16();
            let whole = read_reply(response).await.body.is_some();
            let promise = [408, 421, 429, 503].contains(&status);
            assert!(!promise, "{name}: {status}");
            assert!(status >= 300 || !whole, "{name}: {status} with a whole body");
        }
        assert!(since.elapsed() < Duration::from_secs(10), "{name}");
        // The connection is closed: nothing more is taken.
        tokio::time::sleep(Duration::from_millis(200)).await;
        let taken = rig.endpoints[0].observed().endless;
        assert!(taken <= BYTES_MAX, "{name}: {taken} bytes");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(rig.endpoints[0].observed().endless, taken, "{name}");
        rig.stop().await;
    }
}

#[tokio::test]
async fn bytes_after_a_whole_answer_reach_no_caller() {
    let body = "Content-Length: 4\r\n\r\ndone";
    let rig = Rig::start(&[endless(&format!("{{head}}{body}"), "HTTP/1.1 200 OK\r\n\r\n")]).await;
    for _ in 0..5 {
        let reply = rig.call("GET", "/status/1", "").await;
        assert_eq!((reply.status, reply.body.as_deref()), (200, Some("done")));
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let taken = rig.endpoints[0].observed().endless;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(rig.endpoints[0].observed().endless, taken);
    rig.stop().await;
}

/// Returns a configuration whose streams count as stalled after 3 s.
fn short_pauses() -> Draft {
    let target = Duration::from_millis(100);
    let change = |route: Route| Route { target, pause: Some(target), ..route };
    let draft = draft(1);
    Draft { routes: draft.routes.into_iter().map(change).collect(), ..draft }
}

#[tokio::test]
async fn a_stream_of_single_bytes_is_resumed_elsewhere() {
    let behaviours = [Behaviour::TricklingStream(100), Behaviour::Stream(3)];
    let rig = Rig::start_with(&behaviours, short_pauses()).await;
    let whole: String = (1..=3).map(event_text).collect();
    while rig.endpoints[0].observed().runs.is_empty() {
        let mut channel = rig.connect().await;
        let response = channel.send(request("POST", "/chat/1", "hi", "a-1")).await.unwrap();
        assert_eq!(read_reply(response).await.body.as_deref(), Some(whole.as_str()));
    }
    rig.stop().await;
}

#[tokio::test]
async fn a_stream_of_single_bytes_ends_when_it_cannot_be_resumed() {
    let rig = Rig::start_with(&[Behaviour::TricklingStream(100)], short_pauses()).await;
    let since = Instant::now();
    let mut channel = rig.connect().await;
    let response = channel.send(request("POST", "/chat/1", "hi", "a-1")).await.unwrap();
    assert_eq!(read_reply(response).await.body, None);
    assert!(since.elapsed() < Duration::from_secs(6), "{:?}", since.elapsed());
    rig.stop().await;
}

#[tokio::test]
async fn a_slow_but_sound_stream_is_not_cut() {
    let rig = Rig::start_with(&[Behaviour::SlowStream(4, 1_500)], short_pauses()).await;
    let mut channel = rig.connect().await;
    let response = channel.send(request("POST", "/chat/1", "hi", "a-1")).await.unwrap();
    let body = read_reply(response).await.body;
    assert_eq!(body, Some((1..=4).map(event_text).collect::<String>()));
    assert_eq!(rig.endpoints[0].observed().runs.len(), 1);
    rig.stop().await;
}
