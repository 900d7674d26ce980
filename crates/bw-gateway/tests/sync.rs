//! Configuration and endpoints come into force at all gateways, whichever of them reach the store.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bw_adapter::stand_in::config::config_object;
use bw_adapter::stand_in::endpoint::listing_object;
use bw_direct::catalog::RouteKind;
use bw_direct::catalog::Workspace;
use bw_direct::endpoint::Endpoint;
use bw_direct::endpoint::Phase;
use bw_direct::peers::Peers;
use bw_direct::peers::LIVE_TIMEOUT;
use bw_fake::endpoint::Behaviour;
use bw_fake::endpoint::FakeEndpoint;
use bw_fake::platform::Faults;
use bw_gateway::config::Config;
use bw_gateway::Settings;
use bw_model::Version;
use common::draft;
use common::listing;
use common::news;
use common::route;
use common::Rig;
use tokio::net::UdpSocket;

fn ok_answer() -> Behaviour {
    Behaviour::Answer(200, "fine".to_string())
}

fn down() -> Faults {
    Faults { down: true, ..Faults::default() }
}

#[tokio::test]
async fn a_change_reaches_a_gateway_that_follows_another_one() {
    let first = Rig::start(&[ok_answer()]).await;
    let second = first.start_peer("gateway-2").await;
    let mut changed = draft(5);
    changed.routes.push(route("new", RouteKind::Safe));
    first.configure(&changed);
    first.wait_status("/new/1", 200).await;
    second.wait_status("/new/1", 200).await;
    second.stop().await;
    first.stop().await;
}

#[tokio::test]
async fn a_follower_receives_changes_when_the_gateway_that_it_follows_is_cut_off_from_the_store() {
    let first = Rig::start(&[ok_answer()]).await;
    let second = first.start_peer("gateway-2").await;
    // The first gateway watches the store for both; from now on the store does not answer it.
    first.platform.set_faults(Faults { silent: true, ..Faults::default() });
    let mut changed = draft(5);
    changed.routes.push(route("new", RouteKind::Safe));
    first.configure(&changed);
    second.wait_status("/new/1", 200).await;
    // The gateway that is cut off fetches the version from the peer that has it.
    first.wait_status("/new/1", 200).await;
    second.stop().await;
    first.stop().await;
}

/// Guards against gateways that miss newer versions while they wait to retry the store. Many
/// gateways restart during an outage of the store; the wait between retries grows with the position
/// in the order, here to minutes for the last ones, while a peer in another data centre has the
/// configuration.
/// The store has nothing later than what the follower got from the gateway that it followed.
#[tokio::test]
async fn a_follower_that_turns_to_the_store_proves_what_it_got_from_a_peer() {
    let shorten = |settings: &mut Settings| settings.revoke = Duration::from_secs(2);
    let first = Rig::start_adjusted(&[ok_answer()], draft(1), shorten).await;
    let second = first.start_peer("gateway-2").await;
    // The second gateway turns to the first one.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut changed = draft(5);
    changed.routes.push(route("new", RouteKind::Safe));
    first.configure(&changed);
    second.wait_status("/new/1", 200).await;
    first.stop().await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(second.call("GET", "/new/1", "").await.status, 200);
    second.stop().await;
}

#[tokio::test]
async fn a_gateway_that_waits_to_retry_the_store_fetches_newer_versions_from_peers() {
    let first = Rig::start(&[ok_answer()]).await;
    let second = first.start_with_faults("gateway-2", down()).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let silent = socket.local_addr().unwrap();
    // Its calls fail, and with so many gateways ahead of it in the order its next retry interval
    // is long.
    for seq in 1..30 {
        for number in 0..400 {
            second.send_news(&socket, &news(&format!("a-{number:03}"), "a", silent, 0, seq)).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(second.call("GET", "/status/1", "").await.body.unwrap().contains("starting"));
    for seq in 1.. {
        second.send_news(&socket, &news("b-1", "b", first.settings.news, 1, seq)).await;
        let reply = second.call("GET", "/status/1", "").await;
        // The version alone lacks a proof; the gateway serves once it has a peer's proof.
        if !reply.body.unwrap().contains("starting") {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    second.stop().await;
    first.stop().await;
}

/// Guards against gateways that serve as an older version says while they know of a newer one. Its
/// transfer may fail for as long as the gateways that have it are overloaded.
#[tokio::test]
async fn a_gateway_that_does_not_get_a_version_in_time_refuses_requests_instead_of_using_an_older_one(
) {
    let mut draft = draft(1);
    draft.routes.iter_mut().for_each(|route| route.public = true);
    let rig = Rig::start_with(&[ok_answer()], draft).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    // Announces a version but serves no connections.
    let silent = socket.local_addr().unwrap();
    rig.send_news(&socket, &news("b-1", "b", silent, 2, 1)).await;
    assert_eq!(rig.call("GET", "/status/1", "").await.status, 200);
    tokio::time::sleep(rig.settings.apply).await;
    let refused = rig.call("GET", "/status/1", "").await;
    assert_eq!((refused.status, refused.retry_after.is_some()), (503, true));
    assert!(!rig.is_ready().await);
    rig.configure(&common::draft(2));
    rig.wait_status("/status/1", 200).await;
    rig.stop().await;
}

#[tokio::test]
async fn a_revoked_key_is_rejected() {
    let rig = Rig::start(&[ok_answer()]).await;
    let mut changed = draft(2);
    let keys = vec!["another".to_string()];
    let homes = Vec::new();
    let workspace = Workspace { name: "orders".to_string(), keys, priority: 1, homes };
    changed.workspaces = Some(vec![workspace]);
    rig.configure(&changed);
    rig.wait_status("/status/1", 401).await;
    rig.stop().await;
}

#[tokio::test]
async fn keys_are_rejected_while_the_configuration_is_not_proved_to_be_the_newest() {
    let rig = Rig::start(&[ok_answer()]).await;
    rig.platform.set_faults(down());
    rig.wait_status("/status/1", 503).await;
    assert!(!rig.is_ready().await);
    // A definite "no route" could be wrong, since a newer, unknown version may have that route.
    assert_eq!(rig.call("GET", "/unknown/1", "").await.status, 503);
    rig.platform.set_faults(Faults::default());
    rig.wait_status("/status/1", 200).await;
    rig.stop().await;
}

#[tokio::test]
async fn an_older_version_does_not_replace_a_newer_one() {
    let rig = Rig::start(&[ok_answer()]).await;
    let mut newer = draft(9);
    newer.routes.push(route("new", RouteKind::Safe));
    rig.configure(&newer);
    rig.wait_status("/new/1", 200).await;
    rig.configure(&draft(3));
    let mut marker = draft(10);
    marker.routes.push(route("new", RouteKind::Safe));
    marker.routes.push(route("marker", RouteKind::Safe));
    // Once the marker is in force, the older version has been processed.
    let ((), reply) = tokio::join!(
        async {
            rig.configure(&marker);
            rig.wait_status("/marker/1", 200).await;
        },
        rig.call("GET", "/new/1", "")
    );
    assert_eq!(reply.status, 200);
    rig.stop().await;
}

#[tokio::test]
async fn a_leaving_or_unreadable_endpoint_gets_no_new_work() {
    let rig = Rig::start(&[ok_answer(), ok_answer(), ok_answer()]).await;
    let leaving = Endpoint { phase: Phase::Leaving, ..listing(&rig.endpoints[0]) };
    rig.platform.change(|objects| objects.replace(listing_object(&leaving))).unwrap();
    let mut unreadable = listing_object(&listing(&rig.endpoints[1]));
    unreadable.content = serde_json::json!("not an endpoint");
    rig.platform.change(|objects| objects.replace(unreadable)).unwrap();
    let runs = |number: usize| rig.endpoints[number].observed().runs.len();
    // Wait until both are out of use; after that neither may receive a request.
    loop {
        let before = (runs(0), runs(1));
        for _ in 0..6 {
            rig.call("GET", "/status/1", "").await;
        }
        if (runs(0), runs(1)) == before {
            break;
        }
    }
    let before = (runs(0), runs(1));
    for _ in 0..12 {
        assert_eq!(rig.call("GET", "/status/1", "").await.status, 200);
    }
    assert_eq!((runs(0), runs(1)), before);
    rig.stop().await;
}

#[tokio::test]
async fn endpoints_whose_entries_lapsed_in_an_outage_stay_usable_until_they_are_listed_again() {
    let rig = Rig::start(&[ok_answer()]).await;
    rig.platform.set_faults(down());
    let name = rig.endpoints[0].name.clone();
    rig.wait_status("/status/1", 503).await;
    rig.platform.change(|objects| objects.remove(bw_adapter::endpoints::KIND, &name)).unwrap();
    rig.platform.set_faults(Faults::default());
    // The store answers again, but the entry is not listed yet.
    rig.wait_status("/status/1", 200).await;
    let entry = listing_object(&listing(&rig.endpoints[0]));
    rig.platform.change(|objects| objects.create(entry)).unwrap();
    tokio::time::sleep(bw_direct::outage::LAPSE_GRACE * 2).await;
    assert_eq!(rig.call("GET", "/status/1", "").await.status, 200);
    rig.stop().await;
}

#[tokio::test]
async fn an_endpoint_that_is_not_listed_again_after_an_outage_is_removed() {
    let rig = Rig::start(&[ok_answer(), ok_answer()]).await;
    rig.platform.set_faults(down());
    rig.wait_status("/status/1", 503).await;
    let name = rig.endpoints[0].name.clone();
    rig.platform.change(|objects| objects.remove(bw_adapter::endpoints::KIND, &name)).unwrap();
    rig.platform.set_faults(Faults::default());
    rig.wait_status("/status/1", 200).await;
    tokio::time::sleep(bw_direct::outage::LAPSE_GRACE * 2).await;
    let before = rig.endpoints[0].observed().runs.len();
    for _ in 0..12 {
        assert_eq!(rig.call("GET", "/status/1", "").await.status, 200);
    }
    assert_eq!(rig.endpoints[0].observed().runs.len(), before);
    rig.stop().await;
}

/// Guards against followers that never learn of a removal: the gateway that they follow withheld it, since its own
/// calls to the store had failed shortly before, and passed a later change on.
#[tokio::test]
async fn a_removal_reaches_the_followers_of_a_gateway_that_was_cut_off_from_the_store() {
    let rig = Rig::start(&[ok_answer(), ok_answer()]).await;
    let follower = rig.start_peer("gateway-2").await;
    // Until the second gateway follows the first one.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    rig.platform.set_faults(down());
    tokio::time::sleep(Duration::from_millis(800)).await;
    rig.platform.set_faults(Faults::default());
    tokio::time::sleep(Duration::from_millis(700)).await;
    let added = FakeEndpoint::start("e-2", ok_answer()).await.unwrap();
    let name = rig.endpoints[0].name.clone();
    let change = rig.platform.change(|objects| {
        objects.remove(bw_adapter::endpoints::KIND, &name)?;
        objects.create(listing_object(&listing(&added)))
    });
    change.unwrap();
    tokio::time::sleep(bw_direct::outage::LAPSE_GRACE * 2).await;
    let before = rig.endpoints[0].observed().runs.len();
    for _ in 0..24 {
        assert_eq!(follower.call("GET", "/status/1", "").await.status, 200);
    }
    assert_eq!(rig.endpoints[0].observed().runs.len(), before);
    assert!(!added.observed().runs.is_empty());
    follower.stop().await;
    rig.stop().await;
}

/// Guards against gateways that learn of no further change of the endpoints because another writer has left one
/// entry that cannot be read.
#[tokio::test]
async fn one_odd_entry_costs_only_itself() {
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let entry = |name: &str, content: &str| {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":1}},\"specification\":{content}}}"
        )
    };
    let address = |address: &str| {
        format!(
            "{{\"service\":\"tools\",\"address\":\"{address}\",\"zone\":\"a\",\"slots\":4,\"state\":\"ready\"}}"
        )
    };
    let odd = [
        entry("odd", &deep),
        entry("odd", "{\"slots\":1e400}"),
        entry("odd", "{\"slots\":99999999999999999999999999}"),
        entry("odd", "{\"cold_remaining_ms\":1e22}"),
        entry("odd", &address("127.0.0.1:70000")),
        entry("odd", &address("\\udcff\\udcfe")),
        entry("odd", &address("line\nbreak")),
        entry("\\udcff", "{}"),
        format!("{{\"metadata\":{deep}}}"),
        "1e999".to_string(),
        "null".to_string(),
    ];
    let rig = Rig::start(&[ok_answer()]).await;
    let mut last = rig.endpoints[0].clone();
    for (number, odd) in odd.into_iter().enumerate() {
        let text: String = odd.chars().take(80).collect();
        rig.platform.set_faults(Faults { odd: Some(odd), ..Faults::default() });
        let next = FakeEndpoint::start(&format!("next-{number}"), ok_answer()).await.unwrap();
        let change = rig.platform.change(|objects| {
            objects.create(listing_object(&listing(&next)))?;
            objects.remove(bw_adapter::endpoints::KIND, &last.name)
        });
        change.unwrap();
        let mut calls = 0;
        while next.observed().runs.is_empty() && calls < 100 {
            rig.call("GET", "/status/1", "").await;
            calls += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(!next.observed().runs.is_empty(), "nothing is learned beside {text}");
        last = next;
    }
    rig.stop().await;
}

/// Guards against a configuration that is taken for the newest although the store shows one that cannot be read:
/// that one may take keys away.
#[tokio::test]
async fn an_unreadable_configuration_ends_the_proof_of_the_one_in_force() {
    let rig = Rig::start_adjusted(&[ok_answer()], draft(1), |settings| {
        settings.revoke = Duration::from_millis(1_500);
    })
    .await;
    let mut unreadable = config_object(&draft(2));
    unreadable.content = serde_json::json!("not a configuration");
    rig.platform.change(|objects| objects.replace(unreadable)).unwrap();
    let mut statuses = Vec::new();
    while statuses.len() < 100 && !statuses.contains(&503) {
        statuses.push(rig.call("GET", "/status/1", "").await.status);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(statuses.contains(&503), "{statuses:?}");
    rig.configure(&draft(3));
    rig.wait_status("/status/1", 200).await;
    rig.stop().await;
}

#[tokio::test]
async fn a_store_that_discards_its_history_is_listed_again() {
    let rig = Rig::start(&[ok_answer()]).await;
    let mut changed = draft(4);
    changed.routes.push(route("new", RouteKind::Safe));
    rig.configure(&changed);
    rig.platform.set_faults(Faults { forget: true, ..Faults::default() });
    rig.wait_status("/new/1", 200).await;
    rig.stop().await;
}

#[tokio::test]
async fn a_stopping_gateway_finishes_its_open_requests() {
    let rig = Rig::start(&[Behaviour::Stream(40)]).await;
    let mut channel = rig.connect().await;
    let response =
        channel.send(common::request("POST", "/chat/1", "tell me", "a-1")).await.unwrap();
    let (reply, ()) = tokio::join!(common::read_reply(response), rig.stop());
    assert!(reply.body.is_some_and(|body| body.contains("id: 40")));
}

#[tokio::test]
async fn metrics_count_requests_and_their_durations() {
    let rig = Rig::start(&[ok_answer()]).await;
    rig.call("GET", "/status/1", "").await;
    rig.call("GET", "/unknown/1", "").await;
    let url = format!("http://{}/metrics", rig.settings.metrics.unwrap());
    let client = bw_http::Client::new();
    let reply = client.get(&url, Duration::from_secs(5)).await.unwrap();
    let text = String::from_utf8(reply.body.to_vec()).unwrap();
    for line in [
        "bw_gateway_requests_total{result=\"answered\",service=\"tools\"} 1",
        "bw_gateway_requests_total{result=\"no_route\",service=\"\"} 1",
        "bw_gateway_request_seconds_count{service=\"tools\"} 1",
        "bw_gateway_config_version 1",
    ] {
        assert!(text.contains(line), "{line} is missing in\n{text}");
    }
    rig.stop().await;
}

/// Guards against gateways that all fetch a new version from the first peer that announces it. The
/// peers that announce it while a fetch is pending share the next ones.
#[tokio::test]
async fn a_newer_version_is_fetched_from_any_of_the_peers_that_announce_it() {
    let peers: Vec<SocketAddr> = (1..=4).map(|port| ([127, 0, 0, 1], port).into()).collect();
    let mut drawn = BTreeSet::new();
    for _ in 0..200 {
        let config = Config::default();
        for peer in &peers {
            config.record_peer_version(Version(2), *peer, Duration::ZERO);
        }
        // An older version announced later does not take the place of the newest one.
        config.record_peer_version(Version(1), ([127, 0, 0, 1], 9).into(), Duration::ZERO);
        drawn.insert(config.newer_peer().await);
    }
    assert_eq!(drawn, peers.into_iter().collect());
}

/// In an outage of the store that outlasts the proofs, no gateway is ready. Callers without an address
/// would get no answer at all; with one they learn that nothing has run and when to come back.
#[test]
fn callers_get_the_addresses_of_living_gateways_while_none_is_ready() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let now = Duration::from_secs(10);
    let mut peers = Peers::new("a".to_string());
    let mut receive = |instance: &str, port, ready, leaving| {
        let mut news = news(instance, "a", address(port), 1, 1);
        news.ready = ready;
        news.state.leaving = leaving;
        peers.receive(&news, now);
    };
    receive("b", 1, false, false);
    receive("c", 2, false, true);
    let present = |peers: &Peers| -> Vec<SocketAddr> {
        peers.present(now).map(|peer| peer.callers).collect()
    };
    assert_eq!(peers.live(now).count(), 0);
    assert_eq!(present(&peers), [address(1)]);
    assert_eq!(peers.present(now + LIVE_TIMEOUT * 2).count(), 0);
}

/// Returns the datagrams that a gateway sends to 60 peers in the 250 ms after it has heard each of them for the
/// first time. The interval of its rounds grows to 305 ms meanwhile.
async fn datagrams_after_first_news() -> usize {
    let rig = Rig::start(&[ok_answer()]).await;
    let mut sockets = Vec::new();
    for _ in 0..60 {
        sockets.push(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    }
    for (number, socket) in sockets.iter().enumerate() {
        let address = socket.local_addr().unwrap();
        rig.send_news(socket, &news(&format!("peer-{number}"), "b", address, 1, 1)).await;
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut buffer = [0; 16_384];
    let received = |socket: &UdpSocket, buffer: &mut [u8]| {
        std::iter::from_fn(|| socket.try_recv(buffer).ok()).count()
    };
    let count = sockets.iter().map(|socket| received(socket, &mut buffer)).sum();
    rig.stop().await;
    count
}

/// All gateways return at once after a loss of power. If each answered each one's first news by news to all,
/// that would be the cube of their number.
#[tokio::test]
async fn the_first_news_of_a_peer_are_answered_to_that_peer_only() {
    let count = datagrams_after_first_news().await;
    // A greeting of two datagrams to each, and a few rounds.
    assert!((60..60 * 8).contains(&count), "{count} datagrams");
}
