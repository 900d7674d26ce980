//! A small installation: the store, servers of one service, gateways in three zones, and requesters.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::fleet::address;
use crate::fleet::Gateway;
use crate::fleet::ZONES;
use crate::http::exchange;
use crate::json::parse;
use crate::record::Record;
use crate::server::Arrival;
use crate::server::Server;
use crate::store::Store;

pub const SERVICE: &str = "order-tools";
pub const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";

pub struct World {
    pub record: Record,
    pub store: Store,
    pub servers: Vec<Server>,
    pub gateways: Vec<Gateway>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    folder: PathBuf,
    /// Number of servers ever started.
    started: u8,
}

impl Drop for World {
    fn drop(&mut self) {
        self.gateways.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl World {
    pub fn start(record: &Record, servers: usize, gateways: u8) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("bw-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Store::start(address(100, 8223))?;
        let config = format!(
            "{{\"version\":7,\"routes\":[\
             {{\"name\":\"label-confirm\",\"host\":\"{HOST}\",\"path_prefix\":\"/confirm/\",\
             \"route_kind\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":100,\
             \"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2}},\
             {{\"name\":\"job-status\",\"host\":\"{HOST}\",\"path_prefix\":\"/status/\",\
             \"route_kind\":\"safe\",\"timeout_ms\":1500,\"target_latency_ms\":100,\
             \"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2}}],\
             \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\
             \"max_connections\":110}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
             \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}]}}"
        );
        store.put("config", "main", &parse(&config).unwrap());
        let mut world = Self {
            record: record.clone(),
            store,
            servers: Vec::new(),
            gateways: Vec::new(),
            arrivals: Arc::default(),
            folder,
            started: 0,
        };
        for _ in 0..servers {
            world.add_server()?;
        }
        for index in 0..gateways {
            let zone = ZONES[index as usize % ZONES.len()];
            let gateway =
                Gateway::new(index, gateways, zone, world.store.address, &world.folder)?;
            world.gateways.push(gateway);
        }
        for gateway in &mut world.gateways {
            gateway.start(record)?;
        }
        Ok(world)
    }

    /// Starts a server with a new id, and writes its entry.
    pub fn add_server(&mut self) -> std::io::Result<Server> {
        let number = self.started;
        self.started += 1;
        let id = format!("i-{:04x}", 0x7f30 + u16::from(number));
        let server = Server::start(&id, address(150 + number, 8300), &self.record, &self.arrivals)?;
        self.store.put("servers", &id, &server.entry(SERVICE, zone_of(number), "ready"));
        self.servers.push(server.clone());
        Ok(server)
    }

    /// Starts a crashed server again, with a new id at the same address.
    pub fn replace_crashed(&mut self) -> std::io::Result<()> {
        let crashed: Vec<Server> =
            self.servers.iter().filter(|server| server.is_crashed()).cloned().collect();
        for old in crashed {
            self.servers.retain(|server| server.id() != old.id());
            self.store.remove("servers", old.id());
            let number = self.started;
            self.started += 1;
            let id = format!("i-{:04x}", 0x7f30 + u16::from(number));
            let server = Server::start(&id, old.address, &self.record, &self.arrivals)?;
            self.store.put("servers", &id, &server.entry(SERVICE, zone_of(number), "ready"));
            self.servers.push(server);
        }
        Ok(())
    }

    pub fn wait_ready(&self) -> bool {
        self.gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(15)))
    }

    pub fn send(&self, gateway: usize, path: &str, attempt: &str, body: &str) -> u16 {
        let callers = self.gateways[gateway].callers;
        send(&self.record, callers, path, attempt, body)
    }
}

fn zone_of(number: u8) -> &'static str {
    ZONES[number as usize % ZONES.len()]
}

/// Sends a request and returns the status of the answer; 0 if there is none.
pub fn send(record: &Record, callers: SocketAddr, path: &str, attempt: &str, body: &str) -> u16 {
    record.note(&format!("requester sends {attempt} to {callers} {path}"));
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 1500\r\n\
         X-Api-Key: {KEY}\r\n"
    );
    let answer = exchange(callers, &head, body.as_bytes(), Duration::from_millis(2_500));
    let status = answer.map_or(0, |answer| answer.status());
    record.note(&format!("requester got {status} for {attempt}"));
    status
}
