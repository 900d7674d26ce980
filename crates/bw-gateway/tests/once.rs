//! Tests that answers are complete, and that requests run no more often than their route allows.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use bw_fake::endpoint::event_text;
use bw_fake::endpoint::Behaviour;
use common::read_reply;
use common::request;
use common::Rig;
use http_body_util::BodyExt;

fn ok_answer() -> Behaviour {
    Behaviour::Answer(200, "fine".to_string())
}

/// Returns the ways in which an endpoint fails after it has run a request.
fn failures() -> Vec<Behaviour> {
    let body = || "half of this is not the whole of it".to_string();
    vec![
        Behaviour::Reset,
        Behaviour::Unterminated(body()),
        Behaviour::Truncated(body()),
        Behaviour::WrongAttempt(body()),
    ]
}

#[tokio::test]
async fn an_idempotent_request_gets_a_whole_answer_from_another_endpoint() {
    for failure in failures() {
        let rig = Rig::start(&[failure.clone(), ok_answer()]).await;
        let runs = |number: usize| rig.endpoints[number].observed().runs.len();
        // The first endpoint is drawn sooner or later.
        while runs(0) == 0 {
            let reply = rig.call("GET", "/status/1", "").await;
            assert_eq!((reply.status, reply.body.as_deref()), (200, Some("fine")), "{failure:?}");
        }
        assert!(runs(1) > 0, "{failure:?}");
        rig.stop().await;
    }
}

#[tokio::test]
async fn an_idempotent_request_runs_no_more_often_than_its_route_allows() {
    for failure in failures() {
        let rig = Rig::start(&vec![failure.clone(); 4]).await;
        let reply = rig.call("GET", "/status/1", "").await;
        let runs: usize = rig.endpoints.iter().map(|endpoint| endpoint.observed().runs.len()).sum();
        assert_eq!(runs, 2, "{failure:?}");
        assert_ne!(reply.body.as_deref(), Some("half of this is not the whole of it"));
        assert_eq!(reply.status, 502, "{failure:?}: {reply:?}");
        rig.stop().await;
    }
}

#[tokio::test]
async fn a_request_that_may_have_run_is_not_retried_and_not_reported_as_not_run() {
    for failure in failures() {
        let rig = Rig::start(&[failure.clone(), failure.clone()]).await;
        let reply = rig.call("POST", "/order/1", "press it").await;
        let runs: usize = rig.endpoints.iter().map(|endpoint| endpoint.observed().runs.len()).sum();
        assert_eq!(runs, 1, "{failure:?}");
        assert_eq!(reply.status, 502, "{failure:?}");
        assert_eq!(reply.retry_after, None, "{failure:?}");
        rig.stop().await;
    }
}

#[tokio::test]
async fn a_request_that_did_not_run_is_sent_to_another_endpoint() {
    for rejection in [Behaviour::Shed, Behaviour::Misdirect] {
        let rig = Rig::start(&[rejection.clone(), ok_answer()]).await;
        for number in 0..8 {
            let reply = rig.call("POST", &format!("/order/{number}"), "press it").await;
            assert_eq!((reply.status, reply.body.as_deref()), (200, Some("fine")));
        }
        assert!(rig.endpoints[0].observed().runs.is_empty());
        assert_eq!(rig.endpoints[1].observed().runs.len(), 8);
        rig.stop().await;
    }
}

/// Guards against an earlier refusal, written once more on a kept connection, that is taken for the refusal of a request
/// that runs: its caller is told "not run", or it runs at another endpoint too.
#[tokio::test]
async fn an_earlier_refusal_on_a_kept_connection_refuses_no_other_request() {
    for status in [400, 408, 421, 429, 503] {
        let rig =
            Rig::start(&[Behaviour::LateRefusal(status), Behaviour::LateRefusal(status)]).await;
        for number in 0..12 {
            let mut channel = rig.connect().await;
            let request = request("POST", "/order/1", "press it", &format!("a-{number}"));
            let reply = read_reply(channel.send(request).await.unwrap()).await;
            assert!([200, 502].contains(&reply.status), "{status}: {reply:?}");
        }
        let mut runs: Vec<String> = Vec::new();
        rig.endpoints.iter().for_each(|endpoint| runs.extend(endpoint.observed().runs));
        let count = runs.len();
        runs.sort();
        runs.dedup();
        assert_eq!((count, runs.len()), (12, 12), "{status}: attempts ran twice or not at all");
        rig.stop().await;
    }
}

#[tokio::test]
async fn a_request_that_every_endpoint_rejected_is_refused_with_a_retry_after_time() {
    let rig = Rig::start(&[Behaviour::Shed, Behaviour::Shed]).await;
    let reply = rig.call("POST", "/order/1", "press it").await;
    assert_eq!(reply.status, 503);
    assert!(reply.retry_after.is_some());
    rig.stop().await;
}

#[tokio::test]
async fn a_second_answer_belongs_to_no_request() {
    let rig = Rig::start(&[Behaviour::Duplicate("one".to_string())]).await;
    for number in 0..20 {
        let reply = rig.call("GET", &format!("/status/{number}"), "").await;
        assert_eq!((reply.status, reply.body.as_deref()), (200, Some("one")));
    }
    rig.stop().await;
}

#[tokio::test]
async fn an_answer_without_a_length_is_whole_when_its_connection_ends() {
    let rig = Rig::start(&[Behaviour::CloseDelimited("to the end".to_string())]).await;
    let reply = rig.call("GET", "/status/1", "").await;
    assert_eq!((reply.status, reply.body.as_deref()), (200, Some("to the end")));
    rig.stop().await;
}

#[tokio::test]
async fn an_endpoints_own_failure_is_delivered_if_the_request_must_not_run_again() {
    let rig = Rig::start(&[Behaviour::Answer(500, "no".to_string()), ok_answer()]).await;
    let mut delivered = 0;
    for number in 0..6 {
        let reply = rig.call("POST", &format!("/order/{number}"), "press it").await;
        delivered += usize::from(reply.status == 500 && reply.body.as_deref() == Some("no"));
    }
    let runs: usize = rig.endpoints.iter().map(|endpoint| endpoint.observed().runs.len()).sum();
    assert_eq!(runs, 6);
    assert_eq!(delivered, rig.endpoints[0].observed().runs.len());
    rig.stop().await;
}

#[tokio::test]
async fn endpoints_receive_the_workspace_and_the_intended_endpoint_but_not_the_key() {
    let rig = Rig::start(&[ok_answer()]).await;
    rig.call("POST", "/order/a%2fb?c=d", "press it").await;
    let received = rig.endpoints[0].observed().requests[0].clone();
    assert_eq!(received.path, "/order/a%2fb?c=d");
    assert_eq!(received.attempt.as_deref(), Some("a-1"));
    assert_eq!(received.workspace.as_deref(), Some("orders"));
    assert_eq!(received.endpoint.as_deref(), Some("e-0"));
    assert_eq!(received.key, None);
    assert_eq!(received.length, "press it".len());
    assert!(received.remaining.unwrap().as_millis() <= 8_000);
    rig.stop().await;
}

#[tokio::test]
async fn a_broken_stream_resumes_at_another_endpoint_after_the_last_complete_event() {
    let rig = Rig::start(&[Behaviour::BrokenStream(3), Behaviour::Stream(6)]).await;
    let whole: String = (1..=6).map(event_text).collect();
    while rig.endpoints[0].observed().runs.is_empty() {
        let reply = rig.call("POST", "/chat/1", "tell me").await;
        assert_eq!((reply.status, reply.body), (200, Some(whole.clone())));
    }
    let requests = rig.endpoints[1].observed().requests;
    assert!(requests.iter().any(|request| request.last_event == Some(3)), "{requests:?}");
    rig.stop().await;
}

#[tokio::test]
async fn a_stream_that_cannot_be_resumed_does_not_look_complete() {
    let rig = Rig::start(&[Behaviour::BrokenStream(2), Behaviour::BrokenStream(2)]).await;
    let reply = rig.call("POST", "/chat/1", "tell me").await;
    assert_eq!(reply.body, None);
    rig.stop().await;
}

#[tokio::test]
async fn a_caller_that_leaves_ends_the_work_at_the_endpoint() {
    for behaviour in [Behaviour::Hang, Behaviour::SilentStream] {
        let rig = Rig::start(std::slice::from_ref(&behaviour)).await;
        let mut channel = rig.connect().await;
        let path = if behaviour == Behaviour::Hang { "/order/1" } else { "/chat/1" };
        let endpoint = &rig.endpoints[0];
        tokio::select! {
            response = channel.send(request("POST", path, "tell me", "a-1")) => {
                // The silent stream sends its first event and nothing more.
                let mut body = response.unwrap().into_body();
                assert!(body.frame().await.is_some());
            }
            () = endpoint.wait_for(|observed| observed.runs.len() == 1) => {}
        }
        drop(channel);
        endpoint.wait_for(|observed| observed.abandoned == 1).await;
        rig.stop().await;
    }
}

#[tokio::test]
async fn a_request_that_waits_for_a_slot_is_not_sent_once_its_caller_has_left() {
    let rig = Rig::start(&[Behaviour::Hang]).await;
    let mut callers = Vec::new();
    for _ in 0..4 {
        let mut channel = rig.connect().await;
        callers.push(tokio::spawn(async move {
            let _ = channel.send(request("POST", "/order/1", "", "a-1")).await;
        }));
    }
    rig.endpoints[0].wait_for(|observed| observed.runs.len() == 4).await;
    let mut late = rig.connect().await;
    let answer = tokio::time::timeout(
        std::time::Duration::from_millis(200),
        late.send(request("POST", "/order/2", "", "a-2")),
    );
    assert!(answer.await.is_err(), "no slot is free");
    drop(late);
    callers.iter().for_each(tokio::task::JoinHandle::abort);
    rig.endpoints[0].wait_for(|observed| observed.abandoned == 4).await;
    assert!(!rig.endpoints[0].observed().runs.contains(&"a-2".to_string()));
    rig.stop().await;
}

/// The copy comes when the connection already carries the next request.
#[tokio::test]
async fn a_late_copy_of_an_answer_reaches_no_other_caller() {
    let late = Behaviour::LateDuplicate("not yours".to_string());
    let rig = Rig::start(&[late]).await;
    let mut copies = 0;
    for number in 0..20 {
        let mut channel = rig.connect().await;
        let request = request("POST", "/order/1", "once", &format!("a-{number}"));
        let reply = read_reply(channel.send(request).await.unwrap()).await;
        match reply.status {
            200 => assert_eq!(reply.body.as_deref(), Some("fine")),
            status => {
                assert_eq!(status, 502);
                copies += 1;
            }
        }
    }
    assert!(copies > 0, "no copy was sent");
    assert_eq!(rig.endpoints[0].observed().runs.len(), 20);
    rig.stop().await;
}

/// Guards against a status that is no answer, or a switch of protocols that nobody asked for, as an answer.
#[tokio::test]
async fn a_status_that_ends_no_exchange_is_no_answer() {
    for status in [100, 101, 199, 600, 999] {
        let broken = Behaviour::Answer(status, "odd".to_string());
        for (method, path) in [("GET", "/status/1"), ("POST", "/order/1"), ("POST", "/chat/1")] {
            let rig = Rig::start(std::slice::from_ref(&broken)).await;
            let reply = rig.call(method, path, "").await;
            assert!(matches!(reply.status, 502 | 504), "{status} at {path}: {reply:?}");
            if path.starts_with("/order") {
                assert_eq!(rig.endpoints[0].observed().runs.len(), 1);
            }
            rig.stop().await;
        }
        let rig = Rig::start(&[broken, Behaviour::Answer(200, "fine".to_string())]).await;
        for _ in 0..6 {
            assert_eq!(rig.call("GET", "/status/1", "").await.status, 200, "{status}");
        }
        rig.stop().await;
    }
}
