//! Streams that break off and go on at another endpoint.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use bw_fake::endpoint::event_text;
use bw_fake::endpoint::Behaviour;
use common::request;
use common::Rig;
use http_body_util::BodyExt;

/// Returns the text that a caller gets of a stream that begins with `first` and goes on with `second`, and whether
/// the stream ended as complete.
async fn resumed(first: Behaviour, second: Behaviour) -> (String, bool) {
    let behaviour = Behaviour::Resumed(vec![first, second]);
    let rig = Rig::start(&[behaviour.clone(), behaviour]).await;
    let mut channel = rig.connect().await;
    let response = channel.send(request("POST", "/chat/1", "tell me", "a-1")).await.unwrap();
    assert_eq!(response.status().as_u16(), 200);
    let mut body = response.into_body();
    let mut text = String::new();
    let complete = loop {
        match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => {
                text.push_str(std::str::from_utf8(&frame.into_data().unwrap()).unwrap());
            }
        }
    };
    rig.stop().await;
    (text, complete)
}

fn events(last: u64) -> String {
    (1..=last).map(event_text).collect()
}

#[tokio::test]
async fn a_stream_goes_on_after_its_last_event() {
    let whole = (events(6), true);
    assert_eq!(resumed(Behaviour::BrokenStream(3), Behaviour::Stream(6)).await, whole);
    assert_eq!(resumed(Behaviour::CutStream(3), Behaviour::Stream(6)).await, whole);
    // All events had arrived, and only the end was missing.
    assert_eq!(resumed(Behaviour::CutStream(6), Behaviour::Stream(6)).await, whole);
}

/// Guards against streams whose second part repeats or skips events, or ends within the event that the first part had
/// begun, and which look complete to their callers.
#[tokio::test]
async fn a_second_part_that_does_not_go_on_where_the_first_one_ended_is_not_passed_on() {
    let unfinished = (events(3), false);
    for second in [
        Behaviour::StreamFrom(1, 6),
        Behaviour::StreamFrom(3, 6),
        Behaviour::StreamFrom(5, 6),
        Behaviour::Stream(3),
    ] {
        assert_eq!(
            resumed(Behaviour::BrokenStream(3), second.clone()).await,
            unfinished,
            "{second:?}"
        );
    }
}

/// Guards against an error of the second endpoint in the middle of a stream, as an event or as its bytes.
#[tokio::test]
async fn an_error_of_the_second_endpoint_is_not_passed_on_as_a_part_of_the_stream() {
    let unfinished = (events(3), false);
    let text = "{\"error\":\"out of memory\"}".to_string();
    for second in [
        Behaviour::StreamText(text.clone()),
        Behaviour::Answer(500, text.clone()),
        Behaviour::Answer(200, text.clone()),
        Behaviour::CloseDelimited(text.clone()),
        Behaviour::WrongAttempt(text.clone()),
        Behaviour::Shed,
    ] {
        assert_eq!(
            resumed(Behaviour::BrokenStream(3), second.clone()).await,
            unfinished,
            "{second:?}"
        );
    }
}
