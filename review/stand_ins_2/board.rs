//! The servers of a zone are down at the same moment and come back. Requests that were in flight at three of them,
//! and that are alike, are refused from then on.

#[path = "common.rs"]
mod common;

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

/// `contact_ms` of the sheet of Banca Viva, in seconds.
const CONTACT: f64 = 4.0;
/// Time for which the servers are cold after their start, in seconds.
const COLD_START: f64 = 3.0;
/// Time for which the zone's servers are down, in seconds.
const DOWN: f64 = 2.0;
/// Work of a request, in seconds.
const WORK: f64 = 0.06;
/// Time in which requests are counted, in seconds.
const COUNTED: f64 = 10.0;
/// Requesters of each kind; each sends one request after the other.
const REQUESTERS: usize = 12;
const PAUSE: f64 = 0.02;

fn config(version: u32, later: bool) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"path_prefix\":\"/{name}/\",\"route_kind\":\"{kind}\",\
             \"timeout_ms\":1200,\"target_latency_ms\":120,\"priority\":1,\"service\":\"till\",\
             \"max_attempts\":{attempts},\"public\":false,\"sticky_sessions\":false,\"resumable\":false}}"
        )
    };
    let first = route("charge", "unsafe", 1);
    let routes = if later { format!("{first},{}", route("stock", "safe", 2)) } else { first };
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"till\",\
         \"health_path\":\"/health\",\"max_connections\":430,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":3.0,\"cold_per_s\":15.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"stalls\",\"priority\":1,\"api_keys\":[\"k1\"]}}]}}"
    )
}

/// A request that was answered: when it was sent, whether its route was added later, and the answer.
type Answers = Arc<Mutex<Vec<(f64, bool, String)>>>;

fn ask(to: SocketAddr, method: &str, path: &str, attempt: &str, body: &str) -> String {
    let text = request(method, path, attempt, "k1", 1200, body);
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
    let handler: Arc<Handler> = Arc::new(|server: &Server, request: &Message, stream: &mut TcpStream| {
        sleep(WORK);
        if server.is_down() {
            return Ok(false);
        }
        let head = server.head(request);
        stream.write_all(format!("{head}Content-Length: 4\r\n\r\ndone").as_bytes())?;
        Ok(true)
    });
    let servers: Vec<Server> =
        (1..=3).map(|number| Server::start(&format!("i-{number}"), handler.clone())).collect();
    for server in &servers {
        store.put("servers", &server.id, &server.entry("till", 12, 0));
    }
    store.put("config", "main", &config(7, false));
    let gateways: Vec<Gateway> =
        (1..=2).map(|number| Gateway::start(&store, &format!("edge-hall-{number}"), BANCA)).collect();
    for gateway in &gateways {
        gateway.wait_ready(Duration::from_secs(10));
    }
    record.note("two gateways are ready, with the route /charge/");
    sleep(2.0);
    store.put("config", "main", &config(9, true));
    record.note("the store acknowledges version 9, which adds the route /stock/");
    sleep(4.0);

    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let done = Arc::new(AtomicBool::new(false));
    let answers: Answers = Arc::default();
    let load: Vec<_> = (0..2 * REQUESTERS)
        .map(|index| {
            let (to, done, answers) = (addresses[index % 2], done.clone(), answers.clone());
            let (later, record) = (index < REQUESTERS, record.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !done.load(Ordering::SeqCst) {
                    number += 1;
                    let sent_at = record.now();
                    let attempt = format!("r-{index}-{number}");
                    let end = match later {
                        // All stalls look at the same stock level.
                        true => ask(to, "GET", "/stock/level", &attempt, ""),
                        false => ask(to, "POST", "/charge/1", &attempt, &format!("charge {index} {number}")),
                    };
                    answers.lock().unwrap().push((sent_at, later, end));
                    sleep(PAUSE);
                }
            })
        })
        .collect();
    sleep(4.0);
    if trouble() {
        Server::crash_all(&servers);
        record.note("the zone's servers are down");
        sleep(DOWN);
        for server in &servers {
            server.start_again();
            store.put("servers", &server.id, &server.entry("till", 12, (COLD_START * 1_000.0) as u64));
        }
        record.note("they are back together, cold for 3 s");
        sleep(COLD_START);
        for server in &servers {
            store.put("servers", &server.id, &server.entry("till", 12, 0));
        }
        record.note("they are warm");
    } else {
        sleep(DOWN + COLD_START);
    }
    sleep(2.0 * CONTACT);
    let steady = record.now();
    record.note("requests are counted from now on");
    sleep(COUNTED);
    done.store(true, Ordering::SeqCst);
    load.into_iter().for_each(|load| drop(load.join()));

    let answers = answers.lock().unwrap();
    let count = |later: bool, from: f64, to: f64| {
        let sent = answers.iter().filter(|(at, known, _)| *known == later && *at >= from && *at < to);
        let sent: Vec<&str> = sent.map(|(_, _, end)| end.as_str()).collect();
        (sent.iter().filter(|end| end.contains(" 200 ")).count(), sent.len())
    };
    for second in 0..record.now() as u32 {
        let (from, to) = (f64::from(second), f64::from(second) + 1.0);
        let (first, later) = (count(false, from, to), count(true, from, to));
        record.note(&format!(
            "second {second}: {} of {} served on /charge/, {} of {} on /stock/",
            first.0, first.1, later.0, later.1
        ));
    }
    let (first, later) = (count(false, steady, f64::MAX), count(true, steady, f64::MAX));
    let share = |(served, sent): (usize, usize)| served as f64 / sent.max(1) as f64;
    let mut ends: Vec<&str> = answers
        .iter()
        .filter(|(at, later, _)| *later && *at >= steady)
        .map(|(_, _, end)| end.as_str())
        .collect();
    ends.sort_unstable();
    ends.dedup();
    record.note(&format!("answers on /stock/ since {steady:.3}: {ends:?}"));
    if first.1 < 20 || share(first) < 0.5 {
        cannot_run("the first route is not served");
    }
    let broken = later.1 >= 20 && share(later) < share(first) / 4.0;
    record.note(&format!(
        "since {steady:.3}, {} of {} were served on the first route, {} of {} on the one that was added later; CONFIG {}",
        first.0,
        first.1,
        later.0,
        later.1,
        if broken { "is broken" } else { "holds" }
    ));
    drop(gateways);
    std::process::exit(i32::from(broken));
}
