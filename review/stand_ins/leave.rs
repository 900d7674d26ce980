//! Servers that leave without a word: their entry is removed, and they serve on for the time of the rule.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet;
use crate::fleet::Gateway;
use crate::fleet::Outcome;
use crate::fleet::Requesters;
use crate::proxy::CUT;
use crate::proxy::PASS;
use crate::server::Server;
use crate::store::Store;
use crate::Verdict;

/// Service of the servers.
const SERVICE: &str = "order-tools";
/// The bound `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time beyond the bound for which a leaving server serves on.
const LONGER: Duration = Duration::from_millis(250);
/// Work on a request.
const WORK: Duration = Duration::from_millis(15);
/// Time for the gateways to get ready.
const START: Duration = Duration::from_secs(10);

/// Failed requests of each status in the record.
const FAILED_SHOWN: usize = 20;

const MANIFEST: &str = r#"{"version":7,"routes":[
{"name":"job-status","host":"orders.example","path_prefix":"/status/","route_kind":"safe","timeout_ms":1500,
"target_latency_ms":100,"priority":2,"service":"order-tools","max_attempts":2},
{"name":"label-confirm","host":"orders.example","path_prefix":"/confirm/","route_kind":"unsafe","timeout_ms":1500,
"target_latency_ms":100,"priority":2,"service":"order-tools","max_attempts":1}],
"services":[{"name":"order-tools","health_path":"/health","max_connections":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"label-a","api_keys":["key-1"]}]}"#;

/// A server that has left, and when.
struct Leaver {
    server: Server,
    /// Acknowledgement of the removal of its entry.
    acked: Instant,
    /// Whether it reported `draining` rather than being removed without a word.
    told: bool,
}

struct World {
    store: Store,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    started: usize,
    left: Vec<Leaver>,
    begin: Instant,
    record: Vec<String>,
}

impl World {
    fn start(zones: &[&str], servers: usize, folder: &Path) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let store = Store::start().map_err(text)?;
        store.put("config", "main", MANIFEST);
        let gateways = fleet::start(zones, store.address, folder, fleet::BOUNDS).map_err(text)?;
        let mut world = Self {
            store,
            gateways,
            servers: Vec::new(),
            started: 0,
            left: Vec::new(),
            begin: Instant::now(),
            record: Vec::new(),
        };
        for _ in 0..servers {
            world.add_server()?;
        }
        let until = Instant::now() + START;
        while !world.gateways.iter().all(Gateway::is_ready) {
            if Instant::now() > until {
                return Err("the gateways did not become ready".to_string());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(world)
    }

    fn note(&mut self, text: &str) {
        let line = format!("{:8.3} s {text}", self.begin.elapsed().as_secs_f64());
        self.record.push(line);
    }

    fn add_server(&mut self) -> Result<(), String> {
        self.started += 1;
        let zone = self.gateways[self.started % self.gateways.len()].zone.clone();
        let id = format!("i-{:04x}", self.started * 7919);
        let server = Server::start(&id, &zone, WORK).map_err(|error| error.to_string())?;
        server.list(&self.store, SERVICE, "ready");
        self.servers.push(server);
        Ok(())
    }

    /// Lets the oldest server leave; `told` if it reports that it drains.
    fn leave(&mut self, told: bool) {
        let server = self.servers.remove(0);
        let acked = if told {
            server.list(&self.store, SERVICE, "draining")
        } else {
            self.store.remove("servers", &server.id)
        };
        let how = if told { "reports draining" } else { "leaves without a word" };
        self.note(&format!("server {} {how}", server.id));
        let ending = server.clone();
        thread::spawn(move || {
            thread::sleep((acked + DRAIN + LONGER).saturating_duration_since(Instant::now()));
            ending.end();
        });
        self.left.push(Leaver { server, acked, told });
    }

    /// Judges the requests that gateways in touch have sent to servers that had left. `exempt` is the gateway that
    /// is not in touch.
    fn judge(mut self, outcomes: &[Outcome], exempt: Option<usize>) -> Verdict {
        let mut late = 0;
        let mut lost = 0;
        let mut most = Duration::ZERO;
        let mut lines = Vec::new();
        for Leaver { server, acked, told } in &self.left {
            let bound = *acked + DRAIN;
            for arrival in server.arrivals() {
                let number = arrival.attempt.split('.').next().and_then(|number| number.parse::<usize>().ok());
                if arrival.at <= bound || arrival.misdirected || number == exempt {
                    continue;
                }
                late += 1;
                most = most.max(arrival.at - bound);
                let outcome = outcomes.iter().find(|outcome| outcome.attempt == arrival.attempt);
                let status = outcome.map_or(0, |outcome| outcome.status);
                lost += usize::from(!(200..300).contains(&status));
                lines.push(format!(
                    "{:8.3} s server {} (told={told}) reads {} {} from {} {} ms after drain_ms; the requester gets {status}",
                    (arrival.at - self.begin).as_secs_f64(),
                    server.id,
                    arrival.method,
                    arrival.attempt,
                    number.and_then(|number| self.gateways.get(number)).map_or("?", |gateway| gateway.name.as_str()),
                    (arrival.at - bound).as_millis()
                ));
            }
        }
        let good = outcomes.iter().filter(|outcome| outcome.status == 200).count();
        let foreign = outcomes.iter().filter(|outcome| outcome.foreign).count();
        let mut record = vec![
            format!("requests {} answered with 200: {good}, foreign answers: {foreign}", outcomes.len()),
            format!("servers that left: {}", self.left.len()),
            format!(
                "requests that reached a server later than drain_ms after the ack, from gateways in touch: {late}, \
                 the latest {} ms after it; without a success for the requester: {lost}",
                most.as_millis()
            ),
        ];
        record.append(&mut self.record);
        record.append(&mut lines);
        for status in [0, 502, 503, 504] {
            let failed: Vec<&Outcome> = outcomes.iter().filter(|outcome| outcome.status == status).collect();
            record.push(format!("requests that end with {status}: {}", failed.len()));
            for outcome in failed.iter().take(FAILED_SHOWN) {
                let sent = (outcome.sent - self.begin).as_secs_f64();
                record.push(format!("{sent:8.3} s {} {} ends with {status}", outcome.method, outcome.attempt));
            }
        }
        Verdict { held: late == 0, record }
    }
}

/// One gateway loses its path to the store for a moment. Just after it is back, servers leave.
pub fn after_hiccup(trouble: bool, folder: &Path) -> Result<Verdict, String> {
    let zones = ["hall-a", "hall-a", "hall-b", "hall-b", "hall-c", "hall-c"];
    let mut world = World::start(&zones, 12, folder)?;
    thread::sleep(Duration::from_secs(3));
    let requesters = Requesters::start(&world.gateways, 12, Duration::from_millis(100));
    thread::sleep(Duration::from_secs(2));
    for _ in 0..6 {
        if trouble {
            world.note("the first gateway is cut off from the store");
            world.gateways[0].proxy.set(CUT);
            thread::sleep(Duration::from_millis(1_000));
            world.gateways[0].proxy.set(PASS);
            world.note("its path is back");
        }
        thread::sleep(Duration::from_millis(450));
        world.leave(true);
        thread::sleep(Duration::from_millis(30));
        world.leave(false);
        thread::sleep(Duration::from_millis(30));
        world.leave(true);
        thread::sleep(Duration::from_millis(3_500));
        for _ in 0..3 {
            world.add_server()?;
        }
        thread::sleep(Duration::from_millis(4_000));
    }
    let outcomes = requesters.finish();
    Ok(world.judge(&outcomes, Some(0)))
}

/// Another writer adds an entry that cannot be read. Then the servers are replaced one after the other.
pub fn after_foreign_entry(trouble: bool, folder: &Path) -> Result<Verdict, String> {
    let zones = ["hall-a", "hall-a", "hall-b", "hall-b", "hall-c", "hall-c"];
    let mut world = World::start(&zones, 6, folder)?;
    thread::sleep(Duration::from_secs(3));
    let requesters = Requesters::start(&world.gateways, 12, Duration::from_millis(100));
    thread::sleep(Duration::from_secs(2));
    if trouble {
        world.note("another writer adds an entry with bytes that are no text");
        let content = r#"{"service":"order-tools","address":"\udcff\udcfe","zone":"hall-a","state":"ready"}"#;
        world.store.put("servers", "x-other-writer", content);
    }
    thread::sleep(Duration::from_secs(5));
    for _ in 0..6 {
        world.add_server()?;
        thread::sleep(Duration::from_millis(1_000));
        world.leave(true);
    }
    thread::sleep(Duration::from_secs(6));
    let ready = world.gateways.iter().filter(|gateway| gateway.is_ready()).count();
    world.note(&format!("{ready} of {} gateways say that they are ready", zones.len()));
    let outcomes = requesters.finish();
    Ok(world.judge(&outcomes, None))
}
