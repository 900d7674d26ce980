//! The store comes back from a copy that is older than the entry of a gateway. A machine that is added later does
//! not hear of that gateway, and servers that come back cold get what they bear from each of the two.

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

/// Figures of the sheet of Banca Viva.
const COLD_PER_S: f64 = 15.0;
const COLD_START: f64 = 3.0;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Requests in a second, well above what a cold server tolerates, at which it crashes.
const CRASH: usize = 40;
/// Work of a charge, in seconds.
const WORK: f64 = 0.03;
/// Time for which the servers are down before they come back cold.
const DOWN: f64 = 2.0;
const SERVERS: usize = 3;
const REQUESTERS: usize = 24;

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
    let handler: Arc<Handler> = Arc::new(move |server: &Server, request: &Message, stream: &mut TcpStream| {
        let now = noted.now();
        if now < *until.lock().unwrap() {
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
    sleep(0.5);
    let copy = store.copy();
    record.note("a copy of the store is made");
    sleep(0.5);
    let first = Gateway::start(&store, "edge-hall-1", BANCA);
    first.wait_ready(Duration::from_secs(10));
    record.note("gateway 1 has started and is ready");
    sleep(4.0);
    if trouble() {
        store.leave();
        record.note("the store is away for a moment");
        sleep(0.5);
        store.come_back(&copy);
        record.note("the store comes back from the copy, in its next era; what the operator and the servers wrote stands in it");
    } else {
        sleep(0.5);
    }
    sleep(5.0);
    let second = Gateway::start(&store, "edge-hall-2", BANCA);
    second.wait_ready(Duration::from_secs(10));
    record.note("a machine is added: gateway 2 has started and is ready");
    sleep(6.0);

    let done = Arc::new(AtomicBool::new(false));
    let ends: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let addresses = [first.callers, second.callers];
    let load: Vec<_> = (0..REQUESTERS)
        .map(|index| {
            let (to, done, ends) = (addresses[index % 2], done.clone(), ends.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !done.load(Ordering::SeqCst) {
                    number += 1;
                    let end = ask(to, &format!("r-{}-{index}-{number}", index % 2 + 1));
                    *ends.lock().unwrap().entry(end).or_default() += 1;
                    sleep(0.05);
                }
            })
        })
        .collect();
    sleep(3.0);
    Server::crash_all(&servers);
    record.note("the zone's servers are down");
    sleep(DOWN);
    *cold_until.lock().unwrap() = record.now() + COLD_START;
    for server in &servers {
        server.start_again();
        let cold_ms = (COLD_START * 1_000.0) as u64;
        store.put("servers", &server.id, &server.entry("till", 6, cold_ms));
    }
    record.note("they come back together, cold for 3 s");
    sleep(COLD_START);
    record.note("they are warm");
    for server in &servers {
        if !server.is_down() {
            store.put("servers", &server.id, &server.entry("till", 6, 0));
        }
    }
    sleep(2.0);
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
    for (number, gateway) in [(1, &first), (2, &second)] {
        let (taken, lost) = (gateway.log_lines("event=duty_taken").len(), gateway.log_lines("event=duty_lost").len());
        record.note(&format!("gateway {number} has taken the planning duty {taken} times and lost it {lost} times"));
    }
    drop(first);
    drop(second);
    std::process::exit(i32::from(broken));
}
