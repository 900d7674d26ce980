//! Entries of endpoints that another writer has changed, and endpoints that return under their name.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use bw_adapter::stand_in::endpoint::listing_object;
use bw_adapter::Object;
use bw_direct::endpoint::Endpoint;
use bw_fake::endpoint::Behaviour;
use common::listing;
use common::Rig;
use serde_json::json;
use serde_json::Value;
use tokio::time::sleep;
use tokio::time::timeout;

/// Longest wait for an effect; shorter than the time after which limited endpoints are tried.
const PATIENCE: Duration = Duration::from_secs(6);
const POLL: Duration = Duration::from_millis(20);

/// Returns the entry of the first endpoint with one field changed; without it, if the value is `None`.
fn changed(rig: &Rig, field: &str, value: Option<Value>) -> Object {
    let mut object = listing_object(&listing(&rig.endpoints[0]));
    match value {
        Some(value) => object.content[field] = value,
        None => drop(object.content.as_object_mut().unwrap().remove(field)),
    }
    object
}

/// Returns how many of 12 requests reach the first endpoint; all are answered.
async fn share(rig: &Rig) -> usize {
    let before = rig.endpoints[0].observed().requests.len();
    for _ in 0..12 {
        assert_eq!(rig.call("GET", "/status/1", "").await.status, 200);
    }
    rig.endpoints[0].observed().requests.len() - before
}

async fn wait_used(rig: &Rig, used: bool, what: &str) {
    let reached = async {
        while (share(rig).await > 0) != used {
            sleep(POLL).await;
        }
    };
    timeout(PATIENCE, reached).await.unwrap_or_else(|_| panic!("{what}"));
}

#[tokio::test]
async fn an_entry_that_cannot_be_read_names_no_endpoint_and_harms_no_other() {
    let answer = Behaviour::Answer(200, "done".to_string());
    let rig = Rig::start(&[answer.clone(), answer]).await;
    let cases = [
        ("state", Some(json!("resting"))),
        ("state", Some(json!(7))),
        ("state", None),
        ("service", None),
        ("service", Some(json!("unheard-of"))),
        ("address", Some(json!("somewhere"))),
        ("address", None),
        ("zone", Some(json!(["a"]))),
        ("slots", Some(json!("four"))),
        ("slots", Some(json!(-1))),
        ("cold_remaining_ms", Some(json!("long"))),
        ("cold_remaining_ms", None),
        ("version", None),
        ("sequence", Some(json!("many"))),
        ("sequence", None),
        ("born", Some(json!(1.5))),
        ("group", Some(json!("\u{fffd}\u{0}"))),
    ];
    for (field, value) in cases {
        wait_used(&rig, true, "the entry is readable").await;
        let what = format!("{field}: {value:?}");
        let object = changed(&rig, field, value);
        rig.platform.change(|objects| objects.replace(object)).unwrap();
        wait_used(&rig, false, &what).await;
        assert_eq!(share(&rig).await, 0, "{what}");
        let whole = listing_object(&listing(&rig.endpoints[0]));
        rig.platform.change(|objects| objects.replace(whole)).unwrap();
    }
    // Nor does a list with unreadable contents.
    let bare =
        Object { name: "bare".to_string(), content: Value::Null, ..changed(&rig, "x", None) };
    rig.platform.change(|objects| objects.create(bare)).unwrap();
    let next = rig.restart("gateway-2").await;
    wait_used(&next, true, "the other entries hold").await;
    next.stop().await;
}

#[tokio::test]
async fn an_endpoint_that_starts_again_under_its_name_gets_requests_whatever_it_said_before() {
    let answer = Behaviour::Answer(200, "done".to_string());
    let rig = Rig::start(&[answer.clone(), answer]).await;
    rig.endpoints[0].name_limit(Some("0"));
    rig.endpoints[0].script(Behaviour::ShedFor(vec!["3600".to_string()]));
    wait_used(&rig, false, "the endpoint is not used").await;
    rig.endpoints[0].name_limit(None);
    let again = Endpoint { born: 2, ..listing(&rig.endpoints[0]) };
    rig.platform.change(|objects| objects.replace(listing_object(&again))).unwrap();
    wait_used(&rig, true, "the next life is used").await;
    rig.stop().await;
}

/// Guards against requests of a wrong service that an endpoint runs, since another writer has left an entry with fields
/// missing under its name.
#[tokio::test]
async fn an_endpoint_gets_no_requests_of_a_service_that_an_incomplete_entry_names() {
    let answer = Behaviour::Answer(200, "done".to_string());
    let rig = Rig::start(&[answer.clone(), answer]).await;
    let other = Endpoint { service: "other".to_string(), ..listing(&rig.endpoints[0]) };
    let written = listing_object(&other);
    rig.platform.change(|objects| objects.replace(written.clone())).unwrap();
    wait_used(&rig, false, "the endpoint is of another service").await;
    let mut foreign = listing_object(&listing(&rig.endpoints[0]));
    let fields = foreign.content.as_object_mut().unwrap();
    for field in ["version", "cold_remaining_ms", "sequence", "born"] {
        fields.remove(field);
    }
    rig.platform.change(|objects| objects.replace(foreign)).unwrap();
    sleep(Duration::from_millis(500)).await;
    assert_eq!(share(&rig).await, 0);
    rig.stop().await;
}
