//! Requests that share a part of their prompts which crashes the endpoints that answer them.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use bw_adapter::stand_in::endpoint::prompt_header;
use bw_fake::endpoint::Behaviour;
use common::read_reply;
use common::request;
use common::Reply;
use common::Rig;

/// A part of all prompts.
const COMMON: u64 = 0xc0;
/// The part that crashes endpoints.
const POISON: u64 = 0xbad;
/// Sound requests that are sent for each one with the part that crashes endpoints.
const SOUND_PER_POISON: u64 = 12;
/// Crashes after which a part must be recognised.
const CRASHES_MAX: usize = 5;
/// Requests with the part that may still reach endpoints after it must be recognised.
const LATER_SENDS_MAX: usize = 3;

/// Sends a streaming request with the given shared parts and a last part of its own.
async fn ask(rig: &Rig, parts: &[u64], number: u64) -> Reply {
    let mut parts = parts.to_vec();
    parts.push(0x1_0000 + number);
    let body = format!("question {number}");
    let mut request = request("POST", &format!("/chat/{number}"), &body, &format!("a-{number}"));
    let (name, value) = prompt_header(&parts, 100);
    request.headers_mut().insert(name, value.parse().unwrap());
    let mut channel = rig.connect().await;
    let response = channel.send(request).await.unwrap();
    read_reply(response).await
}

fn is_answered(reply: &Reply) -> bool {
    reply.status == 200 && reply.body.is_some()
}

/// Returns the number of endpoints that have crashed.
fn crashes(rig: &Rig) -> usize {
    let crashed = |runs: &[bw_adapter::stand_in::endpoint::ReceivedRequest]| {
        runs.iter().any(|request| request.parts.contains(&POISON))
    };
    rig.endpoints.iter().filter(|endpoint| crashed(&endpoint.observed().requests)).count()
}

/// Sends requests, one of them poisoned, and returns how many of the sound ones were answered.
async fn send_round(rig: &Rig, round: u64) -> u64 {
    let first = round * (SOUND_PER_POISON + 1);
    let mut answered = 0;
    for number in first..first + SOUND_PER_POISON {
        // Sound requests share their other parts with the poisoned ones.
        let reply = ask(rig, &[COMMON, 0xd0 + number % 3], number).await;
        answered += u64::from(is_answered(&reply));
    }
    let number = first + SOUND_PER_POISON;
    ask(rig, &[COMMON, POISON, 0xd0 + number % 3], number).await;
    // Gives the check of whether the endpoint still listens time to finish, and separates this crash
    // from the next one.
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    answered
}

/// Evidence against single requests does not recognise the part, since no two requests are alike.
#[tokio::test]
async fn a_prompt_part_that_has_crashed_five_endpoints_reaches_at_most_three_more() {
    let rig = Rig::start(&vec![Behaviour::CrashOnPart(POISON); 16]).await;
    let mut rounds = 0;
    while crashes(&rig) < CRASHES_MAX && rounds < 8 {
        send_round(&rig, rounds).await;
        rounds += 1;
    }
    let before = crashes(&rig);
    let mut answered = 0;
    for round in rounds..rounds + 5 {
        answered += send_round(&rig, round).await;
    }
    assert!(crashes(&rig) - before <= LATER_SENDS_MAX, "{before} crashes, then {}", crashes(&rig));
    assert_eq!(answered, 5 * SOUND_PER_POISON);
    rig.stop().await;
}

/// Nothing that the gateways remember outlives them but what is in the store.
#[tokio::test]
async fn a_prompt_part_stays_quarantined_when_all_gateways_restart() {
    let rig = Rig::start(&vec![Behaviour::CrashOnPart(POISON); 16]).await;
    for round in 0..6 {
        send_round(&rig, round).await;
    }
    let before = crashes(&rig);
    let next = rig.restart("gateway-2").await;
    for round in 6..11 {
        send_round(&next, round).await;
    }
    assert!(
        crashes(&next) - before <= LATER_SENDS_MAX,
        "{before} crashes, then {}",
        crashes(&next)
    );
    next.stop().await;
}

/// Each gateway sees only a part of the crashes.
#[tokio::test]
async fn gateways_recognise_a_prompt_part_by_each_others_crashes() {
    let first = Rig::start(&vec![Behaviour::CrashOnPart(POISON); 16]).await;
    let second = first.start_peer("gateway-2").await;
    for round in 0..8 {
        send_round(if round % 2 == 0 { &first } else { &second }, round).await;
    }
    assert!(crashes(&first) <= CRASHES_MAX + LATER_SENDS_MAX, "{} crashes", crashes(&first));
    for (number, rig) in [&first, &second].into_iter().enumerate() {
        let reply = ask(rig, &[COMMON, POISON], 900 + number as u64).await;
        assert_eq!((reply.status, reply.retry_after.is_some()), (503, true));
    }
    first.stop().await;
    second.stop().await;
}
