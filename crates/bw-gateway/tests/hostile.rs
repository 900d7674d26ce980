//! Tests with callers that send invalid requests, and with requests that crash endpoints.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use bw_direct::catalog::Draft;
use bw_direct::catalog::Limits;
use bw_direct::peers::SuspectNews;
use bw_fake::endpoint::Behaviour;
use bw_fake::endpoint::FakeEndpoint;
use bw_model::hash::fingerprint;
use common::draft;
use common::news;
use common::read_reply;
use common::request;
use common::Rig;
use common::HOST;
use common::KEY;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;

fn ok_answer() -> Behaviour {
    Behaviour::Answer(200, "fine".to_string())
}

/// Returns a configuration in which heads must be complete within 100 ms and connections may stay
/// idle for 15 s.
fn short_head_time() -> Draft {
    let limits = Limits {
        time: Duration::from_millis(100),
        idle: Duration::from_secs(15),
        ..draft(1).limits
    };
    Draft { limits, ..draft(1) }
}

/// Returns the head of a request without the blank line that ends it.
fn head(path: &str) -> String {
    let headers = bw_adapter::stand_in::endpoint::caller_headers("a-1", KEY, 8_000);
    let headers: String =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{headers}")
}

/// Sends bytes and returns what the gateway answers until it closes the connection.
async fn exchange(rig: &Rig, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(rig.settings.callers).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    // A reset by the gateway counts as a close.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn a_head_that_never_ends_is_aborted() {
    let rig = Rig::start_with(&[ok_answer()], short_head_time()).await;
    let answer = exchange(&rig, head("/order/1").as_bytes()).await;
    assert!(!answer.contains("200"), "{answer}");
    assert!(rig.endpoints[0].observed().requests.is_empty());
    rig.stop().await;
}

#[tokio::test]
async fn a_connection_may_stay_idle_longer_than_a_head_may_take() {
    let rig = Rig::start_with(&[ok_answer()], short_head_time()).await;
    let mut channel = rig.connect().await;
    for _ in 0..3 {
        let response = channel.send(request("GET", "/status/1", "", "a-1")).await.unwrap();
        assert_eq!(read_reply(response).await.status, 200);
        assert!(channel.ready().await);
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    rig.stop().await;
}

#[tokio::test]
async fn a_head_larger_than_the_limit_is_refused() {
    let rig = Rig::start(&[ok_answer()]).await;
    let mut bytes = head("/order/1");
    for number in 0..4_000 {
        bytes.push_str(&format!("x-{number}: {}\r\n", "y".repeat(60)));
    }
    let answer = exchange(&rig, bytes.as_bytes()).await;
    assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    assert!(rig.endpoints[0].observed().requests.is_empty());
    rig.stop().await;
}

#[tokio::test]
async fn a_body_larger_than_the_limit_is_refused() {
    let rig = Rig::start(&[ok_answer()]).await;
    let reply = rig.call("POST", "/order/1", &"x".repeat(70_000)).await;
    assert_eq!(reply.status, 413);
    assert!(rig.endpoints[0].observed().requests.is_empty());
    rig.stop().await;
}

#[tokio::test]
async fn a_request_hidden_in_the_body_of_another_one_does_not_run() {
    let hidden = format!("{}Content-Length: 0\r\n\r\n", head("/order/hidden"));
    let framings = [
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", hidden.len()),
        format!("Content-Length: 0\r\nContent-Length: {}\r\n\r\n", hidden.len()),
        "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n".to_string(),
        format!("Content-Length: {}\r\n\r\n", hidden.len()),
    ];
    for framing in framings {
        let rig = Rig::start(&[ok_answer()]).await;
        let mut stream = TcpStream::connect(rig.settings.callers).await.unwrap();
        let bytes = format!("{}Connection: close\r\n{framing}{hidden}", head("/order/open"));
        stream.write_all(bytes.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        let requests = rig.endpoints[0].observed().requests;
        let hidden = requests.iter().filter(|request| request.path.contains("hidden")).count();
        assert_eq!(hidden, 0, "{framing}");
        rig.stop().await;
    }
}

#[tokio::test]
async fn headers_that_only_the_gateway_may_set_do_not_reach_endpoints() {
    let rig = Rig::start(&[ok_answer()]).await;
    let forged = "tenant: others\r\nexpect-instance: e-9\r\nrequest-priority: 0\r\n";
    let bytes =
        format!("{}{forged}Connection: close\r\nContent-Length: 0\r\n\r\n", head("/order/1"));
    exchange(&rig, bytes.as_bytes()).await;
    let received = rig.endpoints[0].observed().requests[0].clone();
    assert_eq!(received.workspace.as_deref(), Some("orders"));
    assert_eq!(received.endpoint.as_deref(), Some("e-0"));
    rig.stop().await;
}

#[tokio::test]
async fn a_request_that_has_crashed_three_endpoints_crashes_no_other_one() {
    let rig = Rig::start(&vec![Behaviour::Crash; 6]).await;
    let crashes = || rig.endpoints.iter().filter(|one| !one.observed().runs.is_empty()).count();
    while crashes() < 3 {
        rig.call("POST", "/order/poison", "the same").await;
        // Gives the check of whether the endpoint still listens time to finish; the check runs
        // concurrently with the answer.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for _ in 0..6 {
        let reply = rig.call("POST", "/order/poison", "the same").await;
        assert_eq!(reply.status, 503);
    }
    assert_eq!(crashes(), 3);
    // Another request is still sent to endpoints.
    rig.call("POST", "/order/other", "another").await;
    assert_eq!(crashes(), 4);
    rig.stop().await;
}

/// Guards against a request that crashes endpoints without an end, since sound requests that differ from it only in the
/// query clear the evidence against it.
#[tokio::test]
async fn sound_requests_with_another_query_do_not_clear_a_request_that_crashes_endpoints() {
    let crash = ("/order/1?cause=crash".to_string(), Behaviour::Crash);
    let sound = ("/order/1".to_string(), Behaviour::Answer(200, "fine".to_string()));
    let rig = Rig::start(&vec![Behaviour::ByPath(vec![crash, sound]); 8]).await;
    let crashes = || {
        let runs = |one: &&FakeEndpoint| {
            one.observed().requests.iter().any(|request| request.path.contains("crash"))
        };
        rig.endpoints.iter().filter(runs).count()
    };
    while crashes() < 3 {
        rig.call("POST", "/order/1?cause=crash", "the same").await;
        // Gives the check of whether the endpoint still listens time to finish.
        tokio::time::sleep(Duration::from_millis(100)).await;
        for number in 0..4 {
            let reply = rig.call("POST", &format!("/order/1?number={number}"), "the same").await;
            assert_eq!(reply.status, 200);
        }
    }
    for _ in 0..4 {
        assert_eq!(rig.call("POST", "/order/1?cause=crash", "the same").await.status, 503);
    }
    assert_eq!(crashes(), 3);
    rig.stop().await;
}

/// Guards against a request that crashes three more endpoints at each gateway that was stopped and started as planned.
#[tokio::test]
async fn a_gateway_that_starts_learns_which_requests_crash_endpoints() {
    let rig = Rig::start(&vec![Behaviour::Crash; 6]).await;
    let crashes = || rig.endpoints.iter().filter(|one| !one.observed().runs.is_empty()).count();
    while crashes() < 3 {
        rig.call("POST", "/order/poison", "the same").await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // Until the news of the crashes have ended.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let started = rig.start_peer("gateway-2").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(started.call("POST", "/order/poison", "the same").await.status, 503);
    // Knowledge of a peer is passed on like own knowledge.
    let next = rig.start_peer("gateway-3").await;
    rig.stop().await;
    let last = next.start_peer("gateway-4").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(last.call("POST", "/order/poison", "the same").await.status, 503);
    let crashes = last.endpoints.iter().filter(|one| !one.observed().runs.is_empty()).count();
    assert_eq!(crashes, 3);
    for rig in [started, next, last] {
        rig.stop().await;
    }
}

/// Sends a request that crashes endpoints until it has crashed three.
async fn crash_three(rig: &Rig) {
    while crashed(&rig.endpoints) < 3 {
        rig.call("POST", "/order/poison", "the same").await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn crashed(endpoints: &[FakeEndpoint]) -> usize {
    endpoints.iter().filter(|endpoint| !endpoint.observed().runs.is_empty()).count()
}

/// Waits until the store has the quarantine of a request, at most 3 s.
async fn wait_stored(rig: &Rig) -> bool {
    for _ in 0..150 {
        if !rig.platform.snapshot().list("quarantines", "").items.is_empty() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Guards against a request that crashes three endpoints anew after all gateways have been restarted at once.
#[tokio::test]
async fn a_request_that_crashes_endpoints_is_refused_after_all_gateways_have_restarted() {
    let rig = Rig::start(&vec![Behaviour::Crash; 6]).await;
    crash_three(&rig).await;
    let next = rig.restart("gateway-2").await;
    assert_eq!(next.call("POST", "/order/poison", "the same").await.status, 503);
    // The evidence itself is kept, not only its result.
    let last = next.restart("gateway-3").await;
    assert_eq!(last.call("POST", "/order/poison", "the same").await.status, 503);
    assert_eq!(crashed(&last.endpoints), 3);
    last.stop().await;
}

/// Guards against evidence that is lost with the store's last seconds, while the gateways that know it are restarted
/// later.
#[tokio::test]
async fn a_quarantine_is_stored_again_after_the_store_has_lost_it() {
    let rig = Rig::start(&vec![Behaviour::Crash; 6]).await;
    let snapshot = rig.platform.snapshot();
    crash_three(&rig).await;
    assert!(wait_stored(&rig).await);
    rig.platform.restore(snapshot);
    assert!(wait_stored(&rig).await);
    let next = rig.restart("gateway-2").await;
    assert_eq!(next.call("POST", "/order/poison", "the same").await.status, 503);
    assert_eq!(crashed(&next.endpoints), 3);
    next.stop().await;
}

/// Guards against look-ups that are refused for good since several of them were in flight at endpoints that were lost
/// together.
#[tokio::test]
async fn a_request_that_was_answered_is_served_after_endpoints_were_lost_together() {
    let rig = Rig::start(&[ok_answer(), ok_answer()]).await;
    let other = rig.start_peer("gateway-2").await;
    assert_eq!(rig.call("GET", "/status/1", "").await.status, 200);
    // A third gateway has seen the crashes.
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let lost = (0..3).map(|number| SuspectNews {
        endpoint: format!("lost-{number}"),
        born: 1,
        fingerprint: fingerprint("orders", "/status/1", b""),
    });
    let lost: Vec<SuspectNews> = lost.collect();
    let mut told = news("gateway-3", "a", socket.local_addr().unwrap(), 1, 1);
    told.suspects = lost;
    rig.send_news(&socket, &told).await;
    other.send_news(&socket, &told).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(rig.call("GET", "/status/1", "").await.status, 200);
    // The gateway that has not answered it learns that it is sound.
    let learnt = async { other.wait_status("/status/1", 200).await };
    tokio::time::timeout(Duration::from_secs(5), learnt).await.unwrap();
    rig.stop().await;
    other.stop().await;
}
