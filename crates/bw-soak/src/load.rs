//! Callers that keep their connections until the gateway's process is gone.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bw_adapter::stand_in::endpoint::caller_headers;
use bw_http::Channel;
use bw_http::Liveness;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::timeout;

use crate::check::Event;
use crate::check::Kind;
use crate::check::Life;
use crate::check::Outcome;
use crate::stand_ins::HOST;
use crate::stand_ins::KEY;
use crate::world::World;

/// Time that callers give a request, in milliseconds.
const REQUEST_MS: u64 = 8_000;
/// Time after which a caller takes an answer for lost.
const ANSWER_LIMIT: Duration = Duration::from_millis(REQUEST_MS + 2_000);
/// Longest pause of a caller between two requests, in milliseconds.
const PAUSE_MS: u64 = 60;
const RECONNECT: Duration = Duration::from_millis(50);
const LIVENESS: Liveness = Liveness {
    connect: Duration::from_secs(1),
    unacknowledged: Duration::from_secs(10),
    probe: Duration::from_secs(10),
};

static ATTEMPTS: AtomicU64 = AtomicU64::new(0);

/// Sends requests to gateways that it draws, until `world` says that the load ends.
pub async fn call(world: &World, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while !world.is_over() {
        let index = rng.random_range(0..world.gateways.len());
        let Some((mut channel, life)) = connect(world, index).await else {
            tokio::time::sleep(RECONNECT).await;
            continue;
        };
        while !world.is_over() {
            let version = world.version();
            let kind = match rng.random_range(0..10) {
                0..=2 => Kind::Safe,
                3..=5 => Kind::Unsafe,
                6 | 7 => Kind::Stream,
                8 => Kind::Version(version),
                _ => Kind::Version(version.saturating_sub(1).max(1)),
            };
            attempt(world, &mut channel, life, kind).await;
            tokio::time::sleep(Duration::from_millis(rng.random_range(1..PAUSE_MS))).await;
            if !channel.is_ready() {
                break;
            }
        }
    }
}

/// Opens a connection to the process that is now the gateway with this number.
pub async fn connect(world: &World, index: usize) -> Option<(Channel, Life)> {
    let gateway = &world.gateways[index];
    let life = gateway.life();
    let channel = Channel::connect(gateway.callers, LIVENESS).await.ok()?;
    // A life begins before its process, so the process is that of `life`.
    (gateway.life() == life).then_some((channel, life))
}

/// Sends a request and records how it ends; returns the status of a whole answer.
pub async fn attempt(
    world: &World,
    channel: &mut Channel,
    gateway: Life,
    kind: Kind,
) -> Option<u16> {
    let attempt = ATTEMPTS.fetch_add(1, Ordering::Relaxed) + 1;
    world.recorder.observe(&Event::Sent { attempt, kind, gateway });
    let answer = timeout(ANSWER_LIMIT, exchange(channel, kind, attempt)).await;
    let outcome = match answer {
        Ok(Some((status, body))) => Outcome::Whole(status, body),
        Ok(None) | Err(_) => Outcome::Broken,
    };
    let status = match &outcome {
        Outcome::Whole(status, _) => Some(*status),
        Outcome::Broken => None,
    };
    world.recorder.observe(&Event::Ended { attempt, outcome });
    status
}

async fn exchange(channel: &mut Channel, kind: Kind, attempt: u64) -> Option<(u16, String)> {
    let (method, path) = match kind {
        Kind::Safe => ("GET", format!("/status/{attempt}")),
        Kind::Unsafe => ("POST", format!("/order/{attempt}")),
        Kind::Stream => ("POST", format!("/chat/{attempt}")),
        Kind::Version(version) => ("GET", format!("/v{version}/{attempt}")),
    };
    let mut request = Request::builder().method(method).uri(path).header("host", HOST);
    for (name, value) in caller_headers(&format!("a-{attempt}"), KEY, REQUEST_MS) {
        request = request.header(name, value);
    }
    let response = channel.send(request.body(Full::<Bytes>::default()).ok()?).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
