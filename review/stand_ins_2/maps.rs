//! A gateway is killed in a switch of the expert map, an order of its is carried out late, and the store comes back from a
//! copy without its lease. The ranks are of a deployment whose engines ignore fencing tokens.

#[path = "common.rs"]
mod common;

use std::collections::VecDeque;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;

const RANKS: usize = 16;
const SETS: usize = 4;
const EXPERTS: usize = 64;
/// Time between two passes.
const PASS: Duration = Duration::from_millis(80);
/// Time that a rank needs to copy experts.
const COPY: Duration = Duration::from_millis(60);
/// Shortest time after which an order without an answer is carried out (`applied_late`).
const LATE: Duration = Duration::from_secs(2);
/// Time for which the store and the gateway are away, in seconds.
const AWAY: f64 = 1.6;
/// Age of what a rank reports (`report_lag_ms`).
const LAG: Duration = Duration::from_millis(200);
const EVENTS: u32 = 28;
const REQUESTERS: usize = 6;

#[derive(Clone)]
struct Prepared {
    version: u64,
    map: String,
    done_at: Instant,
}

#[derive(Clone, Default)]
struct Rank {
    version: u64,
    map: String,
    highest: u64,
    prepared: Option<Prepared>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
}

#[derive(Default)]
struct Group {
    step: u64,
    streams: usize,
    shifted: bool,
    counts: Vec<u64>,
    ranks: Vec<Rank>,
    /// States of the ranks and the step, as they were at these times.
    past: VecDeque<(Instant, u64, Vec<Rank>)>,
    orders: u32,
    unanswered: u32,
    /// First release that is carried out late: when it came, its rank and its step.
    late: Option<(Instant, usize, u64)>,
    carried_out: bool,
    disarmed: Vec<usize>,
    /// Number of passes that began while ranks had different maps, and what is still to be noted of them.
    mixed: u32,
    told: Vec<String>,
}

impl Group {
    /// Begins the next pass unless a rank holds it.
    fn begin_pass(&mut self) -> bool {
        let next = self.step + 1;
        if self.ranks.iter().any(|rank| rank.held == Some(next)) {
            return false;
        }
        self.step = next;
        for rank in &mut self.ranks {
            if let Some((version, _)) = rank.armed.filter(|(_, step)| *step <= next) {
                let map = rank.prepared.take().map_or(String::new(), |prepared| prepared.map);
                (rank.version, rank.map, rank.armed) = (version, map, None);
            }
        }
        for (index, count) in self.counts.iter_mut().enumerate() {
            // All hot experts are on the first rank in map 0.
            let hot = self.shifted && index % EXPERTS % RANKS == 0;
            *count += if hot { 2_000 } else { 40 };
        }
        let first = (self.ranks[0].version, self.ranks[0].map.clone());
        if self.ranks.iter().any(|rank| (rank.version, &rank.map) != (first.0, &first.1)) {
            let versions: Vec<u64> = self.ranks.iter().map(|rank| rank.version).collect();
            self.mixed += 1;
            if self.mixed <= 3 {
                self.told.push(format!("pass {next} begins while the ranks have the maps {versions:?}"));
            }
        }
        true
    }

    /// Carries out an order; the answer's status, or `None` for one that is not answered now.
    fn order(&mut self, index: usize, body: &str, applied_late: bool) -> Option<u16> {
        let number = |name: &str| member(body, name).and_then(|text| text.parse::<u64>().ok());
        let (version, step) = (number("version").unwrap_or(0), number("step").unwrap_or(0));
        let begun = self.step;
        self.orders += 1;
        if number("epoch") != Some(1) {
            return Some(409);
        }
        let rank = &mut self.ranks[index];
        match member(body, "operation").unwrap_or_default().trim_matches('"') {
            "prepare" => {
                if let Some(known) = rank.prepared.as_ref().filter(|known| known.version == version) {
                    return Some(if Instant::now() >= known.done_at { 200 } else { 202 });
                }
                if version <= rank.highest || rank.armed.is_some() {
                    return Some(409);
                }
                rank.highest = version;
                let map = member(body, "mapping").unwrap_or_default();
                rank.prepared = Some(Prepared { version, map, done_at: Instant::now() + COPY });
                Some(202)
            }
            "arm" => {
                if rank.armed == Some((version, step)) {
                    return Some(200);
                }
                let ready = rank.prepared.as_ref().is_some_and(|known| known.version == version && Instant::now() >= known.done_at);
                if !ready || step <= begun {
                    return Some(409);
                }
                rank.armed = Some((version, step));
                Some(200)
            }
            "disarm" => {
                if rank.version == version {
                    return Some(409);
                }
                rank.armed = rank.armed.filter(|(known, _)| *known != version);
                if !self.disarmed.contains(&index) {
                    self.disarmed.push(index);
                }
                // The order that came without an answer is carried out 2 to 12 s later.
                if let Some((at, holder, step)) = self.late.filter(|_| !self.carried_out) {
                    if self.disarmed.len() >= RANKS / 2 && at.elapsed() >= LATE {
                        self.carried_out = true;
                        let rank = &mut self.ranks[holder];
                        rank.held = rank.held.filter(|held| *held != step);
                        self.told.push(format!(
                            "rank {holder}: \"go\" step {step}, which came {:.2} s ago, is carried out",
                            at.elapsed().as_secs_f64()
                        ));
                        // The group has been waiting for it.
                        if self.step + 1 == step {
                            self.begin_pass();
                        }
                    }
                }
                Some(200)
            }
            "retention" => match rank.held {
                Some(held) if held == step => Some(200),
                _ if step <= begun => Some(409),
                Some(_) => Some(409),
                None => {
                    rank.held = Some(step);
                    Some(200)
                }
            },
            "go" => {
                if applied_late && !self.carried_out {
                    self.late.get_or_insert((Instant::now(), index, step));
                    self.unanswered += 1;
                    return None;
                }
                rank.held = rank.held.filter(|held| *held != step);
                Some(200)
            }
            _ => Some(400),
        }
    }

    /// Keeps the present state for later reports.
    fn remember(&mut self) {
        let now = Instant::now();
        self.past.push_back((now, self.step, self.ranks.clone()));
        while self.past.get(1).is_some_and(|(at, _, _)| now - *at >= LAG) {
            self.past.pop_front();
        }
    }

    fn report(&self, index: usize) -> String {
        let (at, step, ranks) = &self.past[0];
        let rank = &ranks[index];
        let text = |value: Option<String>| value.unwrap_or("null".to_string());
        let prepared = rank.prepared.as_ref().filter(|known| *at >= known.done_at);
        format!(
            "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":{},\
             \"kv_used\":0,\"kv_total\":372000,\"handles\":0,\"pace\":1.0,\"group\":{},\"size\":{RANKS},\
             \"step\":{},\"mapping\":{},\"prepared\":{},\"armed\":{},\"held\":{}}}",
            self.streams,
            group_entry(index),
            step,
            rank.version,
            text(prepared.map(|known| known.version.to_string())),
            text(rank.armed.map(|(version, step)| format!("{{\"version\":{version},\"step\":{step}}}"))),
            text(rank.held.map(|step| step.to_string())),
        )
    }

    /// Experts of a rank, by set.
    fn lists(&self, index: usize) -> String {
        let rank = &self.ranks[index];
        let sets: Vec<String> = if rank.version == 0 {
            let held: Vec<String> =
                (0..EXPERTS).filter(|expert| expert % RANKS == index).map(|expert| expert.to_string()).collect();
            vec![format!("[{}]", held.join(",")); SETS]
        } else {
            elements(&rank.map).iter().map(|set| elements(set)[index].clone()).collect()
        };
        format!(
            "{{\"epoch\":1,\"mapping\":{{\"version\":{},\"experts\":[{}]}},\"prepared\":null}}",
            rank.version,
            sets.join(",")
        )
    }
}

/// Returns the elements of a JSON list as raw texts.
fn elements(text: &str) -> Vec<String> {
    let inner = text.trim().strip_prefix('[').unwrap_or_default();
    let (mut depth, mut start, mut found) = (0, 0, Vec::new());
    for (at, byte) in inner.bytes().enumerate() {
        match byte {
            b'[' => depth += 1,
            b',' | b']' if depth == 0 => {
                found.push(inner[start..at].to_string());
                start = at + 1;
                if byte == b']' {
                    break;
                }
            }
            b']' => depth -= 1,
            _ => {}
        }
    }
    found
}

fn group_entry(rank: usize) -> String {
    format!("{{\"name\":\"g1\",\"epoch\":1,\"rank\":{rank},\"state\":\"open\"}}")
}

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"quote\",\"host\":\"shop.example\",\
    \"path_prefix\":\"/quote/\",\"route_kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":400,\
    \"priority\":1,\"service\":\"assistant\",\"max_attempts\":2,\"public\":false,\"sticky_sessions\":true,\
    \"resumable\":true,\"target_gap_ms\":120}],\"services\":[{\"name\":\"assistant\",\
    \"health_path\":\"/health\",\"max_connections\":258,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\
    \"slots\":12,\"kv_capacity_tokens\":372000,\"kv_token_bytes\":96256,\"link_mbps\":180000.0,\"stride\":5,\
    \"models\":[{\"name\":\"m\"}],\"step_ms\":5.85,\"per_seq_ms\":0.355,\"context_per_k\":0.036,\
    \"read_per_s\":61200.0,\"pairs_per_m\":0.325,\"chunk\":512,\"report_lag_ms\":200.0,\
    \"usual\":{\"prompt\":835,\"answer\":139},\"sets\":4,\"experts\":64,\"placements\":5,\"spare\":2,\
    \"expert_mb\":880.0,\"expert_fraction\":0.85,\"form_ms\":600.0}}],\"limits\":{\"max_header_bytes\":16384,\
    \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\
    \"name\":\"press\",\"priority\":1,\"api_keys\":[\"k1\"]}]}";

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder"));
    let record = Record::create(&folder);
    // `nodrill` plays all but the store's return from a copy.
    let drill = std::env::var("TROUBLE").map_or(true, |value| value != "nodrill");
    let store = Store::start();
    let ranks = vec![Rank::default(); RANKS];
    let group = Group { ranks, counts: vec![0; SETS * EXPERTS], ..Group::default() };
    let group = Arc::new((Mutex::new(group), Condvar::new()));
    let late = Arc::new(AtomicBool::new(false));
    let passes = group.clone();
    thread::spawn(move || loop {
        thread::sleep(PASS);
        let mut state = passes.0.lock().unwrap();
        // An idle group makes no passes.
        if state.streams > 0 && state.begin_pass() {
            passes.1.notify_all();
        }
    });
    group.0.lock().unwrap().remember();
    let kept = group.clone();
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(10));
        kept.0.lock().unwrap().remember();
    });
    for index in 0..RANKS {
        let (group, late, noted) = (group.clone(), late.clone(), record.clone());
        let handler = move |server: &Server, request: &Message, stream: &mut TcpStream| {
            let body = String::from_utf8_lossy(&request.body).to_string();
            let text = match request.word() {
                "/v1/report" => group.0.lock().unwrap().report(index),
                "/v1/picked?lists=1" => group.0.lock().unwrap().lists(index),
                "/v1/picked" => {
                    let state = group.0.lock().unwrap();
                    let counts: Vec<String> = state.counts.iter().map(u64::to_string).collect();
                    format!("{{\"step\":{},\"epoch\":1,\"counts\":[{}]}}", state.step, counts.join(","))
                }
                "/v1/order" => {
                    let operation = member(&body, "operation").unwrap_or_default();
                    let (status, told) = {
                        let mut state = group.0.lock().unwrap();
                        let status = state.order(index, &body, late.load(Ordering::SeqCst));
                        (status, std::mem::take(&mut state.told))
                    };
                    let token = member(&body, "fencing_token").unwrap_or_default();
                    let (version, step) = (member(&body, "version"), member(&body, "step"));
                    let answer = status.map_or("no answer, carried out late".to_string(), |status| status.to_string());
                    noted.note(&format!(
                        "rank {index}: {operation} version {} step {} token {token}: {answer}",
                        version.unwrap_or("-".to_string()),
                        step.unwrap_or("-".to_string())
                    ));
                    told.iter().for_each(|told| noted.note(told));
                    let Some(status) = status else {
                        sleep(13.0);
                        return Ok(false);
                    };
                    stream.write_all(format!("HTTP/1.1 {status} Answer\r\nContent-Length: 0\r\n\r\n").as_bytes())?;
                    return Ok(true);
                }
                _ => {
                    let head = server.head(request);
                    stream.write_all(
                        format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes(),
                    )?;
                    group.0.lock().unwrap().streams += 1;
                    let last: u32 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
                    let sent = (last + 1..=EVENTS).try_for_each(|id| {
                        let state = group.0.lock().unwrap();
                        let step = state.step;
                        let limit = Duration::from_secs(9);
                        let _ = group.1.wait_timeout_while(state, limit, |state| state.step == step);
                        let event = format!("id: {id}\ndata: piece {id}\n\n");
                        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                    });
                    group.0.lock().unwrap().streams -= 1;
                    sent?;
                    stream.write_all(b"0\r\n\r\n")?;
                    return Ok(true);
                }
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", text.len());
            stream.write_all(format!("{head}{text}").as_bytes())?;
            Ok(true)
        };
        let server = Server::start(&format!("i-{index}"), Arc::new(handler));
        let entry = server.entry("assistant", 12, 0);
        let entry = format!("{},\"group\":{},\"size\":{RANKS}}}", entry.trim_end_matches('}'), group_entry(index));
        store.put("servers", &server.id, &entry);
    }
    store.put("config", "main", CONFIG);
    sleep(0.5);
    let copy = store.copy();
    record.note("a copy of the store is made");
    let mut gateway = Gateway::start(&store, "edge-hall-1", GALLE);
    gateway.wait_ready(Duration::from_secs(10));
    record.note("the gateway is ready");
    let done = Arc::new(AtomicBool::new(false));
    let load: Vec<_> = (0..REQUESTERS)
        .map(|index| {
            let (to, done) = (gateway.callers, done.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !done.load(Ordering::SeqCst) {
                    number += 1;
                    let text = request("POST", "/quote/1", &format!("r-{index}-{number}"), "k1", 8000, &format!("draft {index} {number}"));
                    // A stream that breaks off is asked for again.
                    let _ = Channel::open(to).and_then(|mut channel| {
                        channel.send(&text)?;
                        channel.answer()
                    });
                    sleep(0.05);
                }
            })
        })
        .collect();
    sleep(3.0);
    late.store(trouble(), Ordering::SeqCst);
    group.0.lock().unwrap().shifted = true;
    record.note("other experts are in demand");
    if trouble() {
        let deadline = Instant::now() + Duration::from_secs(15);
        while group.0.lock().unwrap().late.is_none() {
            if Instant::now() > deadline {
                cannot_run("the gateway does not switch the map");
            }
            sleep(0.002);
        }
        gateway.kill();
        late.store(false, Ordering::SeqCst);
        record.note("the gateway's process is killed");
        if drill {
            store.leave();
            record.note("the store is away for a moment");
        }
        sleep(AWAY);
        if drill {
            store.come_back(&copy);
            record.note("the store comes back from the copy, in its next era");
        }
        gateway.start_again();
        record.note("the platform starts the process again");
        sleep(10.0);
    } else {
        sleep(12.0);
    }
    done.store(true, Ordering::SeqCst);
    let state = group.0.lock().unwrap();
    record.note(&format!(
        "{} orders, {} of them without an answer; the late one was carried out: {}",
        state.orders, state.unanswered, state.carried_out
    ));
    let broken = state.mixed > 0;
    record.note(&format!("passes that began while ranks had different maps: {}", state.mixed));
    record.note(if broken { "MAP is broken" } else { "MAP holds" });
    if trouble() && !state.carried_out {
        cannot_run("the late order had no occasion");
    }
    if state.ranks.iter().all(|rank| rank.version == 0) && !trouble() {
        cannot_run("no map was switched");
    }
    drop(state);
    drop(load);
    drop(gateway);
    std::process::exit(i32::from(broken));
}
