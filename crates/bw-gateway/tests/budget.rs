//! The retry budget over all gateways, while gateways come and go.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::collections::HashSet;
use std::time::Duration;

use bw_fake::endpoint::Behaviour;
use bw_gateway::Settings;
use common::draft;
use common::news;
use common::read_reply;
use common::request;
use common::Rig;
use tokio::net::UdpSocket;

/// Retries that the budget allows in its window, over all gateways.
const SLACK: usize = 30;
/// Requests that are sent to a gateway; more than its budget has retries.
const REQUESTS: usize = 40;

/// Window of the budget in tests that wait until the gateways use their slack.
const WINDOW: Duration = Duration::from_secs(8);

/// A budget that requests do not add to.
fn use_fixed_budget(settings: &mut Settings) {
    settings.retry_ratio = 0.0;
    settings.retry_slack = SLACK as f64;
    settings.retry_window = WINDOW;
}

/// A budget that requests do not add to, and whose window is longer than a test.
fn use_endless_window(settings: &mut Settings) {
    use_fixed_budget(settings);
    settings.retry_window = Duration::from_secs(600);
}

/// Starts a gateway whose endpoints reject all requests.
async fn start(adjust: fn(&mut Settings)) -> Rig {
    Rig::start_adjusted(&vec![Behaviour::Shed; 4], draft(1), adjust).await
}

/// Sends requests to a gateway one after the other; `round` tells them from those of other rounds.
async fn send_requests(rig: &Rig, round: usize) {
    for number in 0..REQUESTS {
        let attempt = format!("a-{round}-{number}");
        let mut channel = rig.connect().await;
        let response = channel.send(request("GET", "/status/1", "", &attempt)).await.unwrap();
        assert_eq!(read_reply(response).await.status, 503);
    }
}

/// Returns the number of arrivals at the endpoints beyond the first of each request.
fn retries(rig: &Rig) -> usize {
    let arrivals = rig.endpoints.iter().flat_map(|endpoint| endpoint.observed().requests);
    let attempts: Vec<String> = arrivals.filter_map(|request| request.attempt).collect();
    attempts.len() - attempts.iter().collect::<HashSet<_>>().len()
}

#[tokio::test]
async fn retries_stay_within_the_budget_while_a_gateway_restarts() {
    let mut rig = start(use_endless_window).await;
    send_requests(&rig, 0).await;
    for round in 1..3 {
        rig = rig.restart("gateway-1").await;
        send_requests(&rig, round).await;
    }
    assert!(retries(&rig) <= SLACK, "{} of {SLACK}", retries(&rig));
    rig.stop().await;
}

#[tokio::test]
async fn retries_stay_within_the_budget_while_gateways_leave() {
    let first = start(use_fixed_budget).await;
    let second = first.start_peer("gateway-2").await;
    let third = first.start_peer("gateway-3").await;
    tokio::time::sleep(WINDOW).await;
    for (round, rig) in [&first, &second, &third].into_iter().enumerate() {
        send_requests(rig, round).await;
    }
    second.stop().await;
    third.stop().await;
    send_requests(&first, 3).await;
    assert!(retries(&first) <= SLACK, "{} of {SLACK}", retries(&first));
    first.stop().await;
}

/// The peer is heard of and then falls silent, as when the network between gateways is cut.
#[tokio::test]
async fn retries_stay_within_the_budget_while_a_peer_is_silent() {
    let rig = start(use_fixed_budget).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    rig.send_news(&socket, &news("gateway-2", "a", address, 1, 1)).await;
    tokio::time::sleep(WINDOW).await;
    send_requests(&rig, 0).await;
    // The peer has the other half.
    assert!(retries(&rig) <= SLACK / 2, "{} of {}", retries(&rig), SLACK / 2);
    rig.stop().await;
}
