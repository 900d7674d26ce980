//! Servers become cold while the store is down. They say so in their health responses, which no gateway asks for.

#[path = "common.rs"]
mod common;

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use common::*;

/// Figures of the sheet of Banca Viva.
const COLD_PER_S: f64 = 15.0;
/// Time for which the servers are cold, as after a start, in seconds.
const COLD_TIME: f64 = 3.0;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Requests in a second, well above what a cold server tolerates, at which it crashes.
const CRASH: usize = 30;
/// Work of a charge, in seconds.
const WORK: f64 = 0.03;
/// Time for which the store is down, in seconds.
const STORE_DOWN: f64 = 6.0;
/// Time from its end of answers until the servers become cold, in seconds.
const COLD_AFTER: f64 = 1.5;
const SERVERS: usize = 3;
const REQUESTERS: usize = 24;
/// Time between two requests of a requester, in seconds: all send about 37 requests a second to each server.
const PAUSE: f64 = 0.185;

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"charge\",\"host\":\"shop.example\",\
    \"path_prefix\":\"/charge/\",\"route_kind\":\"unsafe\",\"timeout_ms\":1200,\"target_latency_ms\":120,\
    \"priority\":1,\"service\":\"till\",\"max_attempts\":1,\"public\":false,\"sticky_sessions\":false,\
    \"resumable\":false}],\"services\":[{\"name\":\"till\",\"health_path\":\"/health\",\
    \"max_connections\":430,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":15.0}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"stalls\",\"priority\":1,\"api_keys\":[\"k1\"]}]}";

/// Requests that reached servers while these were cold: the server, the time of arrival, and the gateway.
type Arrivals = Arc<Mutex<Vec<(String, f64, usize)>>>;

fn ask(to: SocketAddr, attempt: &str) -> String {
    let text = request("POST", "/charge/1", attempt, "k1", 1200, &format!("charge {attempt}"));
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
    let arrivals: Arrivals = Arc::default();
    let cold_until: Arc<Mutex<f64>> = Arc::default();
    let (seen, until, noted) = (arrivals.clone(), cold_until.clone(), record.clone());
    let probed: Arc<AtomicU64> = Arc::default();
    let probes = probed.clone();
    let handler: Arc<Handler> = Arc::new(move |server: &Server, request: &Message, stream: &mut TcpStream| {
        let now = noted.now();
        if request.word() == "/health" {
            probes.fetch_add(1, Ordering::SeqCst);
        } else if now < *until.lock().unwrap() {
            let attempt = request.header("attempt-id").unwrap_or("");
            let gateway = attempt.split('-').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
            let mut seen = seen.lock().unwrap();
            seen.push((server.id.clone(), now, gateway));
            let recent = seen.iter().filter(|(id, at, _)| *id == server.id && *at > now - 1.0).count();
            drop(seen);
            if recent > CRASH && !server.is_down() {
                noted.note(&format!("server {} has got {recent} requests in a second, and crashes", server.id));
                server.crash();
            }
        }
        if request.word() == "/health" {
            let left = ((*until.lock().unwrap() - now).max(0.0) * 1_000.0) as u64;
            let head = format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nCold-Ms: {left}\r\nContent-Length: 0\r\n\r\n", server.id);
            stream.write_all(head.as_bytes())?;
            return Ok(true);
        }
        sleep(WORK);
        if server.is_down() {
            noted.note(&format!("server {}: a charge that it had begun is lost: {}", server.id, request.header("attempt-id").unwrap_or("")));
            return Ok(false);
        }
        let head = server.head(request);
        stream.write_all(format!("{head}Content-Length: 4\r\n\r\ndone").as_bytes())?;
        Ok(true)
    });
    let servers: Vec<Server> =
        (1..=SERVERS).map(|number| Server::start(&format!("i-{number}"), handler.clone())).collect();
    for server in &servers {
        store.put("servers", &server.id, &server.entry("till", 6, 0));
    }
    store.put("config", "main", CONFIG);
    let gateways: Vec<Gateway> =
        (1..=2).map(|number| Gateway::start(&store, &format!("edge-hall-{number}"), BANCA)).collect();
    for gateway in &gateways {
        gateway.wait_ready(Duration::from_secs(10));
    }
    record.note("two gateways are ready");
    sleep(6.0);

    let done = Arc::new(AtomicBool::new(false));
    let ends: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let addresses = [gateways[0].callers, gateways[1].callers];
    let load: Vec<_> = (0..REQUESTERS)
        .map(|index| {
            let (to, done, ends) = (addresses[index % 2], done.clone(), ends.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !done.load(Ordering::SeqCst) {
                    number += 1;
                    let end = ask(to, &format!("r-{}-{index}-{number}", index % 2 + 1));
                    *ends.lock().unwrap().entry(end).or_default() += 1;
                    sleep(PAUSE);
                }
            })
        })
        .collect();
    sleep(3.0);
    let down_at = record.now();
    if trouble() {
        store.fall_silent();
        record.note("the store is down: it answers nothing");
    }
    sleep(COLD_AFTER);
    // A server writes its entry; the store takes it only while it is up.
    let write = |cold_ms: u64| {
        if !trouble() {
            let up = servers.iter().filter(|server| !server.is_down());
            let entries = up.map(|server| (server.id.clone(), server.entry("till", 6, cold_ms)));
            store.put_all("servers", &entries.collect::<Vec<(String, String)>>());
        }
    };
    write((COLD_TIME * 1_000.0) as u64);
    *cold_until.lock().unwrap() = record.now() + COLD_TIME;
    record.note("the servers become cold for 3 s");
    sleep(COLD_TIME);
    record.note("they are warm");
    write(0);
    sleep((STORE_DOWN - (record.now() - down_at)).max(0.0));
    if trouble() {
        store.come_back_whole();
        record.note("the store is back");
    }
    sleep(1.0);
    done.store(true, Ordering::SeqCst);
    load.into_iter().for_each(|load| drop(load.join()));

    record.note(&format!("requests by their answers: {:?}", ends.lock().unwrap()));
    let bound = COLD_PER_S * OVERSHOOT + SLACK;
    let arrivals = arrivals.lock().unwrap();
    let mut broken = false;
    for server in &servers {
        let here: Vec<(f64, usize)> =
            arrivals.iter().filter(|(id, _, _)| *id == server.id).map(|(_, at, from)| (*at, *from)).collect();
        for (at, from) in &here {
            record.note(&format!("server {} at {at:.3}: a request from gateway {from}", server.id));
        }
        let within = |start: f64| here.iter().filter(move |(at, _)| *at >= start && *at < start + 1.0);
        let worst = here.iter().map(|(at, _)| *at).max_by_key(|at| within(*at).count());
        let Some(start) = worst else { continue };
        let count = within(start).count();
        let of_first = within(start).filter(|(_, from)| *from == 1).count();
        record.note(&format!(
            "server {} got {count} requests in the second from {start:.3}, {of_first} of gateway 1 and {} of gateway 2; {bound} are allowed",
            server.id,
            count - of_first
        ));
        broken |= count as f64 > bound;
    }
    record.note(if broken { "FAILBACK is broken" } else { "FAILBACK holds" });
    record.note(&format!("health probes that servers got: {}", probed.load(Ordering::SeqCst)));
    drop(gateways);
    std::process::exit(i32::from(broken));
}
