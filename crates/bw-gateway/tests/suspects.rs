//! Tests with requests that crash endpoints beside sound requests that resemble them.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use bw_adapter::stand_in::endpoint::caller_headers;
use bw_direct::catalog::Draft;
use bw_direct::catalog::Route;
use bw_direct::catalog::RouteKind;
use bw_direct::catalog::Workspace;
use bw_direct::peers::SuspectNews;
use bw_fake::endpoint::Behaviour;
use bw_fake::endpoint::FakeEndpoint;
use bw_model::hash::fingerprint;
use bytes::Bytes;
use common::draft;
use common::news;
use common::read_reply;
use common::route;
use common::Rig;
use common::HOST;
use common::KEY;
use http_body_util::Full;
use hyper::Request;
use tokio::net::UdpSocket;

const OTHER_KEY: &str = "second-key-of-orders";
/// Prefix of the attempt ids of requests that crash endpoints.
const CRASHING: &str = "crash";
/// Endpoints that a request may crash: three, and one more that is sent to before the third crash is recorded.
const CRASHES_MAX: usize = 4;
const PATH: &str = "/status/1";

/// What callers send, besides the method, the path and an empty body.
#[derive(Clone, Default)]
struct Call {
    key: Option<&'static str>,
    headers: Vec<(&'static str, String)>,
}

impl Call {
    fn with_key(key: &'static str) -> Self {
        Self { key: Some(key), headers: Vec::new() }
    }

    fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }
}

/// Returns a configuration whose workspace has two keys.
fn two_keys() -> Draft {
    let mut draft = draft(1);
    let workspaces: &mut Vec<Workspace> = draft.workspaces.as_mut().unwrap();
    workspaces[0].keys.push(OTHER_KEY.to_string());
    draft
}

/// Returns a configuration in which look-ups need no key.
fn public() -> Draft {
    let status = Route { public: true, ..route("status", RouteKind::Safe) };
    Draft { routes: vec![status], ..draft(1) }
}

async fn start(draft: Draft) -> Rig {
    Rig::start_with(&vec![Behaviour::CrashOnAttempt(CRASHING.to_string()); 10], draft).await
}

/// Sends a look-up and returns the status.
async fn send(rig: &Rig, method: &str, call: &Call, attempt: &str) -> u16 {
    let request = Request::builder().method(method).uri(PATH).header("host", HOST);
    let request = caller_headers(attempt, call.key.unwrap_or_default(), 8_000)
        .into_iter()
        .filter(|(_, value)| call.key.is_some() || !value.is_empty())
        .fold(request, |request, (name, value)| request.header(name, value));
    let headers = call.headers.iter();
    let request = headers.fold(request, |request, (name, value)| request.header(*name, value));
    let mut channel = rig.connect().await;
    let request = request.body(Full::from(Bytes::new())).unwrap();
    read_reply(channel.send(request).await.unwrap()).await.status
}

fn crashed(endpoints: &[FakeEndpoint]) -> usize {
    let crashes = |endpoint: &&FakeEndpoint| {
        endpoint.observed().runs.iter().any(|attempt| attempt.starts_with(CRASHING))
    };
    endpoints.iter().filter(crashes).count()
}

/// Sends a request that crashes endpoints six times, each time with the call that `crashing` gives, and the sound
/// request in between. Checks that the first one is refused after it has crashed three endpoints, and that all sound
/// ones are answered.
async fn check_quarantine<C>(draft: Draft, crashing: C, sound: &Call)
where
    C: Fn(usize) -> Call,
{
    let rig = start(draft).await;
    let mut last = 0;
    for turn in 0..6 {
        last = send(&rig, "GET", &crashing(turn), &format!("{CRASHING}-{turn}")).await;
        // Gives the check of whether the endpoint still listens time to finish.
        tokio::time::sleep(Duration::from_millis(100)).await;
        for number in 0..4 {
            let attempt = format!("sound-{turn}-{number}");
            assert_eq!(send(&rig, "GET", sound, &attempt).await, 200);
        }
    }
    assert_eq!(last, 503);
    let crashes = crashed(&rig.endpoints);
    assert!((3..=CRASHES_MAX).contains(&crashes), "{crashes} crashes");
    rig.stop().await;
}

/// Guards against a request that crashes endpoints without an end, since another caller of its workspace gets answers
/// to the same path.
#[tokio::test]
async fn sound_requests_of_another_key_do_not_clear_a_request_that_crashes_endpoints() {
    let crashing = |_| Call::with_key(KEY).with_header("x-format", "17");
    check_quarantine(two_keys(), crashing, &Call::with_key(OTHER_KEY)).await;
}

/// Guards against the same when the request has another header each time that it comes.
#[tokio::test]
async fn a_request_that_crashes_endpoints_is_known_by_its_caller_whatever_its_headers() {
    let crashing = |turn: usize| Call::with_key(KEY).with_header("x-trace", &turn.to_string());
    check_quarantine(two_keys(), crashing, &Call::with_key(OTHER_KEY)).await;
}

/// Guards against the same when the caller itself gets answers to requests that differ in a header.
#[tokio::test]
async fn sound_requests_with_another_header_do_not_clear_a_request_that_crashes_endpoints() {
    let crashing = |_| Call::with_key(KEY).with_header("x-format", "17");
    check_quarantine(draft(1), crashing, &Call::with_key(KEY)).await;
}

/// Guards against the same where callers send no key, so that nothing but the headers tells them apart.
#[tokio::test]
async fn a_request_without_a_key_that_crashes_endpoints_is_known_by_its_headers() {
    let crashing = |_| Call::default().with_header("x-format", "17");
    check_quarantine(public(), crashing, &Call::default()).await;
}

/// Guards against a request that crashes endpoints without an end, since one of them fails it instead of crashing.
#[tokio::test]
async fn an_answer_that_reports_a_failure_does_not_clear_a_request() {
    let rig = Rig::start(&[Behaviour::Answer(500, "failed".to_string())]).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let strike = |number: usize| SuspectNews {
        endpoint: format!("lost-{number}"),
        born: 1,
        fingerprint: fingerprint("orders", "/order/1", b"the same"),
    };
    for number in 0..3 {
        let reply = rig.call("POST", "/order/1", "the same").await;
        assert_eq!(reply.status, 500, "after {number} crashes");
        // Another gateway has seen the crash.
        let mut told = news("gateway-2", "a", socket.local_addr().unwrap(), 1, 1 + number as u64);
        told.suspects = vec![strike(number)];
        rig.send_news(&socket, &told).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(rig.call("POST", "/order/1", "the same").await.status, 503);
    rig.stop().await;
}

/// Guards against a request that crashes endpoints anew after each planned replacement of gateways, since those that start
/// learn of quarantines only.
#[tokio::test]
async fn a_gateway_that_starts_learns_of_crashes_that_do_not_suffice_for_a_quarantine() {
    let rig = Rig::start(&vec![Behaviour::Crash; 6]).await;
    for _ in 0..2 {
        assert_eq!(rig.call("POST", "/order/1", "the same").await.status, 502);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // Until the news of the crashes have ended.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let next = rig.start_peer("gateway-2").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    rig.stop().await;
    assert_eq!(next.call("POST", "/order/1", "the same").await.status, 502);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(next.call("POST", "/order/1", "the same").await.status, 503);
    next.stop().await;
}
