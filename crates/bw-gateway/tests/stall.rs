//! Requests that a gateway reads late, because it could not run for a while.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use bw_fake::endpoint::Behaviour;
use common::Rig;
use common::HOST;
use common::KEY;

/// Number of callers that leave while the gateway does not run.
const CALLERS: usize = 40;
/// Time for which the gateway does not run.
const STALL: Duration = Duration::from_millis(400);

fn head(attempt: &str, method: &str, path: &str, body: &str) -> String {
    let fields = bw_adapter::stand_in::endpoint::caller_headers(attempt, KEY, 8_000);
    let fields: String =
        fields.into_iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{fields}content-length: {length}\r\n\r\n{body}")
}

/// Opens connections on which the gateway waits for requests.
async fn open_connections(rig: &Rig) -> Vec<TcpStream> {
    let address = rig.settings.callers;
    let streams = (0..CALLERS).map(|_| TcpStream::connect(address).unwrap()).collect();
    // The gateway accepts them on this thread.
    rig.call("GET", "/status/accepted", "").await;
    streams
}

/// Sends a request on each of the connections.
fn send_all(streams: &mut [TcpStream], body: &str) {
    for (number, stream) in streams.iter_mut().enumerate() {
        let text = head(&format!("gone-{number}"), "POST", "/order/1", body);
        stream.write_all(text.as_bytes()).unwrap();
    }
}

/// Returns how many requests of callers that left ran at the endpoint, once the gateway has caught
/// up.
async fn gone_runs(rig: &Rig) -> usize {
    let reply = rig.call("POST", "/order/last", "").await;
    assert_eq!(reply.status, 200);
    let runs = rig.endpoints[0].observed().runs;
    runs.iter().filter(|attempt| attempt.starts_with("gone")).count()
}

/// While a gateway was busy with a large configuration for seconds, requests arrived and their
/// callers left. It sent these requests to endpoints afterwards.
#[tokio::test]
async fn requests_that_arrive_in_a_stall_and_whose_callers_leave_in_it_are_not_sent() {
    for body in ["", "press it"] {
        let rig = Rig::start(&[Behaviour::Answer(200, "fine".to_string())]).await;
        let mut streams = open_connections(&rig).await;
        send_all(&mut streams, body);
        drop(streams);
        // The gateway runs on this thread.
        std::thread::sleep(STALL);
        assert_eq!(gone_runs(&rig).await, 0, "body {body:?}");
        rig.stop().await;
    }
}

/// As above, but the gateway already knows that the connections are readable when the stall begins,
/// so that the system has not told it of their end when it reads the requests.
#[tokio::test]
async fn requests_that_are_due_when_a_stall_begins_and_whose_callers_leave_in_it_are_not_sent() {
    for body in ["", "press it"] {
        let rig = Rig::start(&[Behaviour::Answer(200, "fine".to_string())]).await;
        let mut streams = open_connections(&rig).await;
        send_all(&mut streams, body);
        // Lets the runtime learn that the connections are readable, but run no other task.
        tokio::task::yield_now().await;
        drop(streams);
        std::thread::sleep(STALL);
        assert_eq!(gone_runs(&rig).await, 0, "body {body:?}");
        rig.stop().await;
    }
}
