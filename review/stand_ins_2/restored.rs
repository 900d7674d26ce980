//! All gateways are killed and started again while the store comes back from an older copy, in which a key still
//! stands that an acknowledged manifest had taken away.

#[path = "common.rs"]
mod common;

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use common::*;

fn config(version: u32, keys: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"confirm\",\"host\":\"shop.example\",\
         \"path_prefix\":\"/confirm/\",\"route_kind\":\"unsafe\",\"timeout_ms\":800,\
         \"target_latency_ms\":100,\"priority\":1,\"service\":\"tools\",\"max_attempts\":1,\
         \"public\":false,\"sticky_sessions\":false,\"resumable\":false}}],\"services\":[{{\
         \"name\":\"tools\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"press\",\
         \"priority\":1,\"api_keys\":[{keys}]}}]}}"
    )
}

/// Bound of the sheets on the time from the ack that takes a key away to the last request with it that runs.
const REVOKE: f64 = 5.0;

/// Time from the store's return until the operator has written the manifest again; the gateways take it that the
/// operator needs no longer than 2 s.
const REWRITTEN: f64 = 1.5;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder"));
    let record = Record::create(&folder);
    let store = Store::start();
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let (known, noted) = (runs.clone(), record.clone());
    let server = Server::start("i-1", Arc::new(move |server: &Server, request: &Message, stream: &mut std::net::TcpStream| {
        let head = server.head(request);
        if request.word() != "/health" {
            let attempt = request.header("attempt-id").unwrap_or("").to_string();
            let tenant = request.header("tenant").unwrap_or("-").to_string();
            noted.note(&format!("server i-1 runs {attempt} of tenant {tenant}"));
            known.lock().unwrap().push(attempt);
            sleep(0.015);
        }
        stream.write_all(format!("{head}Instance-Id: i-1\r\nContent-Length: 4\r\n\r\ndone").as_bytes())?;
        Ok(true)
    }));
    store.put("servers", &server.id, &server.entry("tools", 6, 0));
    store.put("config", "main", &config(7, "\"k1\",\"k2\""));
    let mut gateways: Vec<Gateway> =
        (1..=2).map(|number| Gateway::start(&store, &format!("edge-hall-{number}"), GALLE)).collect();
    for gateway in &gateways {
        gateway.wait_ready(Duration::from_secs(10));
    }
    record.note("the gateways are ready; version 7 holds the keys k1 and k2");
    sleep(2.0);
    let addresses: Vec<std::net::SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let ask = |index: usize, attempt: &str, key: &str| -> String {
        let text = request("POST", "/confirm/1", attempt, key, 1500, "order");
        let answered = Channel::open(addresses[index]).and_then(|mut channel| {
            channel.send(&text)?;
            channel.answer()
        });
        let end = answered.map_or_else(|error| error.to_string(), |answer| answer.line);
        record.note(&format!("request {attempt} with key {key} at gateway {}: {end}", index + 1));
        end
    };
    ask(0, "before-k1", "k1");
    ask(1, "before-k2", "k2");
    sleep(0.5);
    let copy = store.copy();
    record.note("a copy of the store is made");
    sleep(1.0);
    store.put("config", "main", &config(9, "\"k1\""));
    let acked_at = record.now();
    record.note("the store acknowledges version 9, which takes the key k2 away");
    sleep(1.0);
    ask(0, "revoked-1", "k2");
    ask(1, "revoked-2", "k2");
    sleep(4.5);
    if trouble() {
        store.leave();
        gateways.iter_mut().for_each(Gateway::kill);
        record.note("the store is away for a moment, and all processes of the system are killed");
        sleep(0.5);
        store.come_back(&copy);
        record.note("the store comes back from the copy, in its next era");
        gateways.iter_mut().for_each(Gateway::start_again);
        record.note("the platform starts the processes again");
    } else {
        sleep(0.5);
    }
    let returned_at = record.now();
    let mut late = Vec::new();
    let mut written = false;
    let mut number: usize = 0;
    while record.now() < returned_at + 6.0 {
        if !written && record.now() >= returned_at + REWRITTEN {
            store.put("config", "main", &config(9, "\"k1\""));
            record.note("the operator has written version 9 again");
            written = true;
        }
        number += 1;
        let attempt = format!("late-{number}");
        let sent_at = record.now();
        ask(number % 2, &attempt, "k2");
        if runs.lock().unwrap().contains(&attempt) && sent_at > acked_at + REVOKE {
            late.push(format!("{attempt}, sent {:.1} s after the ack", sent_at - acked_at));
        }
        sleep(0.2);
    }
    ask(0, "after-1", "k1");
    ask(1, "after-2", "k1");
    let served = |attempt: &str| runs.lock().unwrap().contains(&attempt.to_string());
    if !served("after-1") || !served("after-2") {
        cannot_run("the gateways do not serve in the end");
    }
    let broken = !late.is_empty();
    record.note(&match broken {
        true => format!("CONFIG is broken: these ran with a key that was taken away: {}", late.join("; ")),
        false => "CONFIG holds".to_string(),
    });
    drop(gateways);
    std::process::exit(i32::from(broken));
}
