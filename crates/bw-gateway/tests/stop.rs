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
