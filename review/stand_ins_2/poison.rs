//! A request crashes each server that runs it. The gateways have found it out; then all their processes are killed
//! at once and started again, and the request comes again.

#[path = "common.rs"]
mod common;

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use common::*;

/// `contact_ms` of the sheets, in seconds.
const CONTACT: f64 = 3.0;
/// Time between two rounds in which the request comes, one at each gateway.
const ROUND: f64 = 4.0;
/// Time after which a crashed server is back.
const BACK: f64 = 2.0;
/// Work of an order, in seconds.
const WORK: f64 = 0.04;
/// Requesters that send orders, each one after the other.
const REQUESTERS: usize = 8;
const POISON: &str = "order-that-crashes-servers";

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"confirm\",\"host\":\"shop.example\",\
    \"path_prefix\":\"/confirm/\",\"route_kind\":\"unsafe\",\"timeout_ms\":800,\"target_latency_ms\":100,\
    \"priority\":1,\"service\":\"tools\",\"max_attempts\":1,\"public\":false,\"sticky_sessions\":false,\
    \"resumable\":false}],\"services\":[{\"name\":\"tools\",\"health_path\":\"/health\",\
    \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\
    \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\
    \"name\":\"press\",\"priority\":1,\"api_keys\":[\"k1\"]}]}";

/// What the servers have seen.
#[derive(Default)]
struct Seen {
    /// Times at which the request that crashes servers reached one, with its attempt.
    poison: Vec<(f64, String)>,
    /// Times at which it crashed a server.
    crashes: Vec<f64>,
    /// Orders that a server had begun when it crashed.
    lost: Vec<String>,
}

fn ask(to: SocketAddr, attempt: &str, body: &str) -> String {
    let text = request("POST", "/confirm/1", attempt, "k1", 1500, body);
    let answered = Channel::open(to).and_then(|mut channel| {
        channel.send(&text)?;
        channel.answer()
    });
    answered.map_or_else(|error| error.to_string(), |answer| answer.line)
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder"));
    let record = Record::create(&folder);
    let store = Store::start();
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let (noted, runs, listed) = (record.clone(), seen.clone(), store.clone());
    let crashing: Mutex<Vec<(String, u64)>> = Mutex::default();
    let handler = move |server: &Server, request: &Message, stream: &mut TcpStream| {
        let attempt = request.header("attempt-id").unwrap_or("").to_string();
        if request.body == POISON.as_bytes() {
            noted.note(&format!("server {} begins to run {attempt} and crashes", server.id));
            runs.lock().unwrap().poison.push((noted.now(), attempt));
            let mut crashing = crashing.lock().unwrap();
            let life = (server.id.clone(), server.life());
            if crashing.contains(&life) {
                return Ok(false);
            }
            crashing.push(life);
            runs.lock().unwrap().crashes.push(noted.now());
            let (server, store, noted) = (server.clone(), listed.clone(), noted.clone());
            thread::spawn(move || {
                server.crash();
                sleep(BACK);
                server.start_again();
                store.put("servers", &server.id, &server.entry("tools", 6, 0));
                noted.note(&format!("server {} is back", server.id));
            });
            drop(crashing);
            sleep(0.5);
            return Ok(false);
        }
        let life = server.life();
        sleep(WORK);
        let answer = format!("{}Content-Length: 4\r\n\r\ndone", server.head(request));
        if server.is_down() || server.life() != life {
            noted.note(&format!("order {attempt}, which server {} had begun, is lost", server.id));
            runs.lock().unwrap().lost.push(attempt);
            return Ok(false);
        }
        stream.write_all(answer.as_bytes())?;
        Ok(true)
    };
    let handler: Arc<Handler> = Arc::new(handler);
    for number in 1..=3 {
        let server = Server::start(&format!("i-{number}"), handler.clone());
        store.put("servers", &server.id, &server.entry("tools", 6, 0));
    }
    store.put("config", "main", CONFIG);
    let mut gateways: Vec<Gateway> =
        (1..=2).map(|number| Gateway::start(&store, &format!("edge-hall-{number}"), GALLE)).collect();
    for gateway in &gateways {
        gateway.wait_ready(Duration::from_secs(10));
    }
    // The gateways hear of each other.
    sleep(2.0);
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let done = Arc::new(AtomicBool::new(false));
    let orders: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let load: Vec<_> = (0..REQUESTERS)
        .map(|index| {
            let (to, done, orders) = (addresses[index % 2], done.clone(), orders.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !done.load(Ordering::SeqCst) {
                    number += 1;
                    let attempt = format!("order-{index}-{number}");
                    let end = ask(to, &attempt, &format!("order {index} {number}"));
                    *orders.lock().unwrap().entry(end).or_default() += 1;
                    sleep(0.02);
                }
            })
        })
        .collect();

    let round = |number: u32| {
        let asked: Vec<_> = addresses
            .iter()
            .enumerate()
            .map(|(index, to)| {
                let (to, record) = (*to, record.clone());
                thread::spawn(move || {
                    let attempt = format!("poison-{number}-{}", index + 1);
                    record.note(&format!("request {attempt} is sent to gateway {}", index + 1));
                    let end = ask(to, &attempt, POISON);
                    record.note(&format!("request {attempt}: {end}"));
                })
            })
            .collect();
        asked.into_iter().for_each(|asked| drop(asked.join()));
    };
    let mut number = 0;
    for _ in 0..3 {
        number += 1;
        round(number);
        sleep(ROUND);
    }
    let third = {
        let seen = seen.lock().unwrap();
        seen.crashes.get(2).copied().unwrap_or_else(|| cannot_run("it crashed less than three servers"))
    };
    record.note(&format!("it has crashed its third server at {third:.3}"));
    let mut in_touch = record.now();
    if trouble() {
        gateways.iter_mut().for_each(Gateway::kill);
        record.note("all gateways are killed at the same moment");
        sleep(0.5);
        gateways.iter_mut().for_each(Gateway::start_again);
        record.note("the platform starts them again");
        for gateway in &gateways {
            gateway.wait_ready(Duration::from_secs(10));
        }
        in_touch = record.now() + CONTACT;
        record.note("they are ready");
    }
    sleep(ROUND);
    for _ in 0..4 {
        number += 1;
        round(number);
        sleep(ROUND);
    }
    done.store(true, Ordering::SeqCst);
    load.into_iter().for_each(|load| drop(load.join()));
    let seen = seen.lock().unwrap();
    let after = in_touch.max(third + CONTACT);
    let late: Vec<&str> =
        seen.poison.iter().filter(|(at, _)| *at > after).map(|(_, attempt)| attempt.as_str()).collect();
    record.note(&format!("orders by their answers: {:?}", orders.lock().unwrap()));
    record.note(&format!("orders that were lost in crashes: {}", seen.lost.len()));
    let broken = late.len() > 3;
    record.note(&format!(
        "retries that reached servers after {after:.3}, when all machines are in touch again: {late:?}; BUDGET {}",
        if broken { "is broken" } else { "holds" }
    ));
    drop(gateways);
    std::process::exit(i32::from(broken));
}
