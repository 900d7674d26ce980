//! A planned stop under load: what was accepted is answered.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use bw_fake::endpoint::Behaviour;
use bw_gateway::Settings;
use common::draft;
use common::read_reply;
use common::request;
use common::Rig;
use common::HOST;
use common::KEY;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Callers that send one request after another, each on a connection that it keeps.
const CALLERS: usize = 24;

fn linger(settings: &mut Settings) {
    settings.linger = Duration::from_millis(500);
}

/// Sends requests on kept connections, and on a new one when the gateway has closed the last, until the
/// gateway no longer accepts connections. Returns the attempts that got a whole answer.
async fn call_until_gone(callers: std::net::SocketAddr, caller: usize) -> Vec<String> {
    let liveness = bw_http::Liveness {
        connect: Duration::from_secs(2),
        unacknowledged: Duration::from_secs(10),
        probe: Duration::from_secs(10),
    };
    let mut answered = Vec::new();
    let mut number = 0;
    while let Ok(mut channel) = bw_http::Channel::connect(callers, liveness).await {
        loop {
            number += 1;
            let attempt = format!("a-{caller}-{number}");
            let Ok(response) = channel.send(request("POST", "/order/1", "x", &attempt)).await
            else {
                break;
            };
            let reply = read_reply(response).await;
            if reply.status == 200 && reply.body.is_some() {
                answered.push(attempt);
            }
            if !channel.ready().await {
                break;
            }
        }
    }
    answered
}

#[tokio::test]
async fn every_request_that_ran_during_a_planned_stop_got_its_whole_answer() {
    let endpoints = vec![Behaviour::SlowStream(2, 20); 8];
    let rig = Rig::start_adjusted(&endpoints, draft(1), linger).await;
    let address = rig.settings.callers;
    let calls: Vec<_> =
        (0..CALLERS).map(|caller| tokio::spawn(call_until_gone(address, caller))).collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let endpoints = rig.endpoints.clone();
    rig.stop().await;
    let mut answered = BTreeSet::new();
    for call in calls {
        answered.extend(call.await.unwrap());
    }
    let ran: Vec<String> = endpoints.iter().flat_map(|one| one.observed().runs).collect();
    let cut: Vec<&String> = ran.iter().filter(|attempt| !answered.contains(*attempt)).collect();
    assert!(ran.len() > CALLERS, "{} ran", ran.len());
    assert!(cut.is_empty(), "{} of {} were cut: {cut:?}", cut.len(), ran.len());
}

/// Time after the start of a planned stop at which late requests are complete: after the linger time.
const LATE: Duration = Duration::from_millis(1_000);

fn short_grace(settings: &mut Settings) {
    settings.linger = Duration::from_millis(500);
    settings.grace = Duration::from_millis(3_500);
}

/// Returns the head of a request whose caller waits for `limit` milliseconds.
fn head(path: &str, limit: u64, length: usize) -> String {
    let headers = bw_adapter::stand_in::endpoint::caller_headers("a-1", KEY, limit);
    let headers: String =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{headers}Content-Length: {length}\r\n\r\n")
}

/// Sends the first part of a request before a planned stop and the rest at [`LATE`] in it. Returns the answer, and
/// the number of requests that reached the endpoint.
async fn send_late(rig: Rig, text: &str, split: usize) -> (String, usize) {
    let mut stream = TcpStream::connect(rig.settings.callers).await.unwrap();
    stream.write_all(&text.as_bytes()[..split]).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let endpoint = rig.endpoints[0].clone();
    let stopped = tokio::spawn(rig.stop());
    tokio::time::sleep(LATE).await;
    stream.write_all(&text.as_bytes()[split..]).await.unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    stopped.await.unwrap();
    (String::from_utf8_lossy(&answer).into_owned(), endpoint.observed().requests.len())
}

/// Guards against requests that are complete late in the grace time, are passed on and cut at its end.
#[tokio::test]
async fn a_request_that_is_complete_late_in_a_planned_stop_is_refused_as_not_run() {
    for path in ["/status/1", "/order/1", "/chat/1"] {
        let rig = Rig::start_adjusted(&[Behaviour::Echo(5_000)], draft(1), short_grace).await;
        let text = head(path, 8_000, 0);
        let (answer, sent) = send_late(rig, &text, 40).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{path}: {answer}");
        assert!(answer.to_ascii_lowercase().contains("retry-after"), "{path}: {answer}");
        assert_eq!(sent, 0, "{path}");
    }
}

#[tokio::test]
async fn a_body_that_arrives_late_in_a_planned_stop_is_refused_as_not_run() {
    let rig = Rig::start_adjusted(&[Behaviour::Echo(5_000)], draft(1), short_grace).await;
    let text = format!("{}body", head("/order/1", 8_000, 4));
    let (answer, sent) = send_late(rig, &text, text.len() - 2).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(sent, 0);
}

/// A request that ends within the grace time is served as always.
#[tokio::test]
async fn a_short_request_is_served_late_in_a_planned_stop() {
    let rig = Rig::start_adjusted(&[Behaviour::Echo(20)], draft(1), short_grace).await;
    let text = head("/order/1", 800, 0);
    let (answer, sent) = send_late(rig, &text, 40).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(sent, 1);
}

/// Guards against requests that wait for a slot in a planned stop and are sent so late that they are cut.
#[tokio::test]
async fn a_request_that_waits_in_a_planned_stop_is_refused_at_the_end_of_the_linger_time() {
    let rig = Rig::start_adjusted(&[Behaviour::Echo(2_000)], draft(1), short_grace).await;
    let mut calls = Vec::new();
    // The endpoint has four slots.
    for number in 0..8 {
        let mut channel = rig.connect().await;
        let request = request("POST", "/order/1", "x", &format!("a-{number}"));
        calls.push(tokio::spawn(async move {
            let asked_at = std::time::Instant::now();
            let reply = read_reply(channel.send(request).await.unwrap()).await;
            (reply, asked_at.elapsed())
        }));
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let endpoint = rig.endpoints[0].clone();
    rig.stop().await;
    let (mut refused, mut answered) = (Vec::new(), Vec::new());
    for call in calls {
        let (reply, took) = call.await.unwrap();
        if reply.status == 503 {
            assert!(reply.retry_after.is_some());
            refused.push(took);
        } else {
            assert_eq!(reply.status, 200);
            answered.push(took);
        }
    }
    // They do not wait for the slots of those that run.
    assert_eq!((refused.len(), answered.len()), (4, 4));
    assert!(refused.iter().max() < answered.iter().min(), "{refused:?}, {answered:?}");
    assert_eq!(endpoint.observed().runs.len(), 4);
}
