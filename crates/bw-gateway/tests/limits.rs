//! Endpoints that name a limit on the requests from all gateways together.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;
use std::time::Instant;

use bw_fake::endpoint::Behaviour;
use common::draft;
use common::read_reply;
use common::request;
use common::Rig;

/// Limit that the first endpoint names, in requests a second.
const LIMIT: f64 = 2.0;
/// Requests that an endpoint may get beyond its limit in any time.
const BURST: f64 = 5.0;

/// Sends a request to a gateway and returns the status of the answer.
async fn send(rig: &Rig, number: usize) -> u16 {
    let mut channel = rig.connect().await;
    let request = request("GET", "/status/1", "", &format!("a-{number}"));
    read_reply(channel.send(request).await.unwrap()).await.status
}

/// Returns the number of requests that have arrived at an endpoint.
fn arrivals(rig: &Rig, endpoint: usize) -> usize {
    rig.endpoints[endpoint].observed().requests.len()
}

fn answer() -> Behaviour {
    Behaviour::Answer(200, "done".to_string())
}

#[tokio::test]
async fn an_endpoint_gets_no_more_requests_from_all_gateways_than_the_limit_it_named() {
    let first = Rig::start_with(&vec![answer(); 3], draft(1)).await;
    let gateways =
        [&first, &first.start_peer("gateway-2").await, &first.start_peer("gateway-3").await];
    first.endpoints[0].name_limit(Some("2.0"));
    // Each gateway sends requests until the endpoint has told it, or another gateway has.
    for number in 0..30 {
        assert_eq!(send(gateways[number % 3], number).await, 200);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (before, since) = (arrivals(&first, 0), Instant::now());
    for number in 30..330 {
        assert_eq!(send(gateways[number % 3], number).await, 200);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let allowed = 1.5 * LIMIT * since.elapsed().as_secs_f64() + BURST;
    let arrived = arrivals(&first, 0) - before;
    assert!(arrived as f64 <= allowed, "{arrived} of {allowed:.1}");
}

#[tokio::test]
async fn an_endpoint_whose_need_has_ended_gets_its_share_again() {
    let rig = Rig::start_with(&vec![answer(); 3], draft(1)).await;
    rig.endpoints[0].name_limit(Some("20"));
    for number in 0..30 {
        assert_eq!(send(&rig, number).await, 200);
    }
    rig.endpoints[0].name_limit(None);
    // One more answer shows that the need has ended.
    let (before, mut number) = (arrivals(&rig, 0), 30);
    while arrivals(&rig, 0) == before {
        assert_eq!(send(&rig, number).await, 200);
        number += 1;
    }
    let before = arrivals(&rig, 0);
    for number in 10_000..10_300 {
        assert_eq!(send(&rig, number).await, 200);
    }
    assert!(arrivals(&rig, 0) - before >= 50, "{} of 300", arrivals(&rig, 0) - before);
    rig.stop().await;
}

#[tokio::test]
async fn a_limit_that_is_not_a_number_is_ignored() {
    for limit in ["many", "NaN", "inf", "-1", ""] {
        let rig = Rig::start_with(&vec![answer(); 2], draft(1)).await;
        rig.endpoints[0].name_limit(Some(limit));
        for number in 0..100 {
            assert_eq!(send(&rig, number).await, 200);
        }
        assert!(arrivals(&rig, 0) >= 20, "{} of 100 with {limit:?}", arrivals(&rig, 0));
        rig.stop().await;
    }
}

/// One gateway tries from time to time whether the endpoint is still in need; the others have no part.
#[tokio::test]
async fn a_request_that_only_other_gateways_may_send_is_refused_at_once() {
    let first = Rig::start_with(&[answer()], draft(1)).await;
    let others = [first.start_peer("gateway-2").await, first.start_peer("gateway-3").await];
    first.endpoints[0].name_limit(Some("0"));
    assert_eq!(send(&first, 0).await, 200);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (one, two, three) = tokio::join!(send(&first, 1), send(&others[0], 2), send(&others[1], 3));
    let refused = [one, two, three].into_iter().filter(|status| *status == 503).count();
    assert!(refused >= 2, "{refused} refused");
}
