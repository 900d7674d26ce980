//! A small deployment: a store, gateways, and servers that come and leave.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet;
use crate::fleet::Gateway;
use crate::server::Server;
use crate::store::Store;

/// Service of the servers.
const SERVICE: &str = "order-tools";
/// The bound `drain_ms`.
pub const DRAIN: Duration = Duration::from_millis(2_000);
/// Time beyond the bound for which leaving servers usually serve on.
const LONGER: Duration = Duration::from_millis(250);
/// Work on a request.
const WORK: Duration = Duration::from_millis(15);
/// Time for the gateways to get ready.
const START: Duration = Duration::from_secs(10);

/// The first manifest, with the keys of two tenants.
pub const MANIFEST: &str = r#"{"version":7,"routes":[
{"name":"job-status","host":"orders.example","path_prefix":"/status/","route_kind":"safe","timeout_ms":1500,
"target_latency_ms":100,"priority":2,"service":"order-tools","max_attempts":2},
{"name":"label-confirm","host":"orders.example","path_prefix":"/confirm/","route_kind":"unsafe","timeout_ms":1500,
"target_latency_ms":100,"priority":2,"service":"order-tools","max_attempts":1}],
"services":[{"name":"order-tools","health_path":"/health","max_connections":110},
{"name":"assistant-llm","health_path":"/health","max_connections":258,"engine":{"slots":12,
"kv_capacity_tokens":372000,"link_mbps":180000.0,"stride":5,"step_ms":5.85,"per_seq_ms":0.355,"context_per_k":0.036,
"read_per_s":61200.0,"chunk":512,"report_lag_ms":200.0,"usual":{"prompt":835,"answer":139},"sets":4,"experts":64,
"placements":5,"spare":2,"expert_mb":880.0,"expert_fraction":0.85,"form_ms":600.0}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"label-a","api_keys":["key-1"]},{"name":"label-b","api_keys":["key-2"]}]}"#;

/// A server that has left, and when.
pub struct Leaver {
    pub server: Server,
    /// Acknowledgement of the removal of its entry.
    pub acked: Instant,
    /// Whether it reported `draining` rather than being removed without a word.
    pub told: bool,
}

/// The deployment, with the record of what was done to it.
pub struct World {
    pub store: Store,
    pub gateways: Vec<Gateway>,
    /// Servers that have not left, the oldest first.
    pub servers: Vec<Server>,
    started: usize,
    pub left: Vec<Leaver>,
    pub begin: Instant,
    pub record: Vec<String>,
    /// Time beyond drain_ms for which leaving servers serve on.
    pub longer: Duration,
}

impl World {
    /// Starts a gateway for each of `zones`, and `servers` servers, and waits until all gateways are ready.
    pub fn start(zones: &[&str], servers: usize, folder: &Path) -> Result<Self, String> {
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
            longer: LONGER,
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

    /// Adds a line to the record.
    pub fn note(&mut self, text: &str) {
        let line = format!("{:8.3} s {text}", self.begin.elapsed().as_secs_f64());
        self.record.push(line);
    }

    /// Starts a server and lists it in the store.
    pub fn add_server(&mut self) -> Result<(), String> {
        self.started += 1;
        let zone = self.gateways[self.started % self.gateways.len()].zone.clone();
        let id = format!("i-{:04x}", self.started * 7919);
        let server = Server::start(&id, &zone, WORK).map_err(|error| error.to_string())?;
        server.list(&self.store, SERVICE, "ready");
        self.servers.push(server);
        Ok(())
    }

    /// Lets the oldest server leave; `told` if it reports that it drains.
    pub fn leave(&mut self, told: bool) {
        let server = self.servers.remove(0);
        let acked = if told {
            server.list(&self.store, SERVICE, "draining")
        } else {
            self.store.remove("servers", &server.id)
        };
        let how = if told { "reports draining" } else { "leaves without a word" };
        self.note(&format!("server {} {how}", server.id));
        let (ending, longer) = (server.clone(), self.longer);
        thread::spawn(move || {
            thread::sleep((acked + DRAIN + longer).saturating_duration_since(Instant::now()));
            ending.end();
        });
        self.left.push(Leaver { server, acked, told });
    }

}
