//! Replies of a relay to the gateways that follow it.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_adapter::Object;
use bw_adapter::ObjectClient;
use bw_adapter::ObjectError;
use bw_gateway::relay::Relay;
use bw_kernel::Stop;
use bw_model::Position;

/// Returns the position of a revision in the first era.
fn at(revision: u64) -> Position {
    Position::new(1, revision)
}

/// Serves a relay and returns its address.
async fn serve(relay: &Relay) -> (std::net::SocketAddr, tokio::sync::watch::Sender<bool>) {
    let listener = bw_http::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stopper, stop) = Stop::pair();
    tokio::spawn(bw_http::serve(listener, relay.routes(), stop));
    (address, stopper)
}

/// Returns an object of about `bytes` bytes, as large as a configuration with many routes.
fn large_object(revision: u64, bytes: usize) -> Object {
    let content = serde_json::json!({ "routes": vec!["a route"; bytes / 10] });
    Object { kind: "k".into(), name: "main".into(), revision, content, ..Object::default() }
}

/// Many followers fetch a new configuration of several hundred kilobytes from one gateway at the
/// same time. Each has to receive all of it within the time limit of a call, so replies are
/// compressed.
#[tokio::test]
async fn a_large_object_is_sent_compressed_and_arrives_whole() {
    let relay = Relay::new();
    let object = large_object(7, 400_000);
    relay.replace("k", vec![object.clone()], at(7), &[]);
    let (address, _stopper) = serve(&relay).await;
    let url = format!("http://{address}{}/k", bw_adapter::objects::codec::OBJECTS_PATH);

    let plain = bw_http::Client::new().get(&url, Duration::from_secs(5)).await.unwrap();
    let unpacked =
        bw_http::Client::new().accept_gzip().get(&url, Duration::from_secs(5)).await.unwrap();
    assert_eq!(plain.body, unpacked.body);
    let packed = bw_http::compress::compress(&plain.body).unwrap();
    assert!(packed.len() < plain.body.len() / 10);

    let peer = ObjectClient::of_peer(&format!("http://{address}"));
    assert_eq!(peer.list("k", "").await.unwrap().items[0], object);
    let changes = peer.watch("k", at(6), Duration::ZERO).await.unwrap();
    assert_eq!(changes.events[0].object, object);
}

#[tokio::test]
async fn a_compressed_reply_is_not_repeated_after_a_change() {
    let relay = Relay::new();
    relay.replace("k", vec![large_object(7, 100_000)], at(7), &[]);
    let (address, _stopper) = serve(&relay).await;
    let peer = ObjectClient::of_peer(&format!("http://{address}"));
    assert_eq!(peer.list("k", "").await.unwrap().items, [large_object(7, 100_000)]);
    relay.replace("k", vec![large_object(9, 120_000)], at(9), &[]);
    assert_eq!(peer.list("k", "").await.unwrap().items, [large_object(9, 120_000)]);
    let changes = peer.watch("k", at(7), Duration::ZERO).await.unwrap();
    assert_eq!(changes.events[0].object, large_object(9, 120_000));
    assert_eq!(peer.watch("k", at(9), Duration::ZERO).await.unwrap().events, []);
}

#[test]
fn a_body_that_is_not_gzip_is_an_error() {
    assert!(bw_http::compress::decompress(b"not gzip").is_err());
}

/// After a restore of the store, followers may have changes that the store has lost.
#[tokio::test]
async fn a_follower_from_an_earlier_era_of_the_store_lists_again() {
    let relay = Relay::new();
    let object =
        |revision| Object { kind: "k".into(), name: "a".into(), revision, ..Object::default() };
    relay.replace("k", vec![object(9)], at(9), &[]);
    let (address, _stopper) = serve(&relay).await;
    let peer = ObjectClient::of_peer(&format!("http://{address}"));
    assert_eq!(peer.list("k", "").await.unwrap().position(), at(9));
    relay.replace("k", vec![object(4)], Position::new(2, 4), &[]);
    assert_eq!(peer.watch("k", at(9), Duration::ZERO).await, Err(ObjectError::HistoryGone));
    let page = peer.list("k", "").await.unwrap();
    assert_eq!((page.items[0].revision, page.position()), (4, Position::new(2, 4)));
    // An older list from a source that has not heard of the restore changes nothing.
    relay.apply("k", Vec::new(), at(20));
    assert_eq!(peer.list("k", "").await.unwrap().position(), Position::new(2, 4));
}
