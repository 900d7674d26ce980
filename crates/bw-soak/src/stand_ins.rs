//! The stand-ins as processes: a store and endpoints that take orders, one a line, and report on standard
//! output.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bw_adapter::stand_in::config::config_object;
use bw_adapter::stand_in::endpoint::listing_object;
use bw_adapter::Object;
use bw_direct::catalog::ColdService;
use bw_direct::catalog::Draft;
use bw_direct::catalog::Limits;
use bw_direct::catalog::Route;
use bw_direct::catalog::RouteKind;
use bw_direct::catalog::Service;
use bw_direct::catalog::Target;
use bw_direct::catalog::Workspace;
use bw_direct::endpoint::Endpoint;
use bw_direct::endpoint::Phase;
use bw_fake::endpoint::Behaviour;
use bw_fake::endpoint::FakeEndpoint;
use bw_fake::objects::Objects;
use bw_fake::platform::Faults;
use bw_fake::platform::Platform;
use bw_kernel::Stop;
use bw_model::Version;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::io::Lines;
use tokio::io::Stdin;
use tokio::time::Instant;

use crate::check::Life;
use crate::check::STREAM_EVENTS;

/// Host of the routes.
pub const HOST: &str = "shop.example";
/// Key of the callers.
pub const KEY: &str = "key-of-orders";
/// Requests a second that a cold endpoint tolerates.
pub const COLD_RATE: f64 = 2.0;
/// Time for which an endpoint may be cold after its start.
pub const COLD_TIME: Duration = Duration::from_secs(4);
const SERVICE: &str = "tools";
/// Path of health checks.
const HEALTH: &str = "/health";
const SLOTS: u32 = 8;
/// Time for which an endpoint runs a request, and between two events of a stream, in milliseconds.
const RUN_MS: u64 = 40;
/// Calls a second that the store accepts.
const CALL_RATE: f64 = 1e6;

/// The entry of an endpoint in the list.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Listing {
    /// Number of the endpoint.
    pub index: usize,
    /// Address under which it is reached.
    pub address: SocketAddr,
    /// Number of its life.
    pub born: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time for which it is cold, in milliseconds.
    pub cold: u64,
}

/// An order to the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreOrder {
    /// Replaces the faults.
    Faults(Faults),
    /// Writes the entry of an endpoint.
    List(Listing),
    /// Writes the configuration of a version.
    Configure(u64),
    /// Makes a copy of all objects.
    Copy,
    /// Comes back from the copy.
    Restore,
}

/// An order to an endpoint.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum EndpointOrder {
    /// Says in all answers that it is leaving.
    Leave,
    /// Rejects the next requests, as many as given.
    Reject(u32),
}

fn orders() -> Lines<BufReader<Stdin>> {
    BufReader::new(tokio::io::stdin()).lines()
}

/// Serves the store until standard input ends.
///
/// # Errors
/// The operating system's error, or an order that cannot be decoded.
pub async fn run_store() -> io::Result<()> {
    let platform = Platform::new(CALL_RATE);
    let listener = bw_http::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    println!("{}", listener.local_addr()?);
    let (_sender, stop) = Stop::pair();
    tokio::spawn(bw_http::serve(listener, platform.routes(), stop));
    let mut copy = Objects::default();
    let mut orders = orders();
    while let Some(line) = orders.next_line().await? {
        match serde_json::from_str(&line)? {
            StoreOrder::Faults(faults) => platform.set_faults(faults),
            StoreOrder::List(listing) => put(&platform, listing_object(&endpoint(listing))),
            StoreOrder::Configure(version) => put(&platform, config_object(&draft(version))),
            StoreOrder::Copy => copy = platform.snapshot(),
            StoreOrder::Restore => platform.restore(copy.clone()),
        }
    }
    Ok(())
}

fn put(platform: &Platform, object: Object) {
    platform.change(|objects| {
        if objects.replace(object.clone()).is_err() {
            // Fails only if it exists, and then it has just been replaced.
            let _ = objects.create(object);
        }
    });
}

/// Serves one life of an endpoint until standard input ends, and reports each run.
///
/// # Errors
/// The operating system's error, or an order that cannot be decoded.
pub async fn run_endpoint(life: Life) -> io::Result<()> {
    let stream = Behaviour::SlowStream(STREAM_EVENTS, RUN_MS);
    // An endpoint that has started again is cold, as its entry says.
    let cold = if life.number > 1 { COLD_TIME } else { Duration::ZERO };
    let health = Behaviour::Health(format!("e-{}", life.index), Instant::now() + cold);
    let cases = vec![
        ("/chat/".to_string(), stream),
        (HEALTH.to_string(), health),
        ("/".to_string(), Behaviour::Echo(RUN_MS)),
    ];
    let name = format!("e-{}.{}", life.index, life.number);
    let endpoint = FakeEndpoint::start(&name, Behaviour::ByPath(cases)).await?;
    println!("{}", endpoint.address);
    let reporter = endpoint.clone();
    tokio::spawn(async move {
        let reported = Mutex::new(0);
        loop {
            let report = |runs: &[String]| {
                let mut reported = reported.lock().unwrap_or_else(|error| error.into_inner());
                runs[*reported..].iter().for_each(|run| println!("{run}"));
                std::mem::replace(&mut *reported, runs.len()) < runs.len()
            };
            reporter.wait_for(|observed| report(&observed.runs)).await;
        }
    });
    let mut orders = orders();
    while let Some(line) = orders.next_line().await? {
        match serde_json::from_str(&line)? {
            EndpointOrder::Leave => endpoint.set_leaving(true),
            EndpointOrder::Reject(count) => {
                (0..count).for_each(|_| endpoint.script(Behaviour::Shed));
            }
        }
    }
    Ok(())
}

fn endpoint(listing: Listing) -> Endpoint {
    Endpoint {
        name: format!("e-{}", listing.index),
        service: SERVICE.to_string(),
        address: listing.address,
        centre: "a".to_string(),
        slots: SLOTS,
        phase: if listing.leaving { Phase::Leaving } else { Phase::Ready },
        cold: Duration::from_millis(listing.cold),
        born: listing.born,
        member: None,
    }
}

/// Returns a configuration with one route of each kind, and one that exists in its version only.
fn draft(version: u64) -> Draft {
    let own = format!("v{version}");
    let order = Route { attempts: 1, ..route("order", RouteKind::Unsafe) };
    let (safe, chat) = (route("status", RouteKind::Safe), route("chat", RouteKind::Streaming));
    Draft {
        version: Version(version),
        routes: vec![safe, order, chat, route(&own, RouteKind::Safe)],
        services: vec![Service {
            name: SERVICE.to_string(),
            health: HEALTH.to_string(),
            connections: 100,
            cold: Some(ColdService { rate: COLD_RATE, start: COLD_TIME }),
            engine: None,
        }],
        limits: Limits {
            head: 16_384,
            body: 65_536,
            time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        },
        workspaces: Some(vec![Workspace {
            name: "orders".to_string(),
            keys: vec![KEY.to_string()],
            priority: 1,
            homes: Vec::new(),
        }]),
    }
}

fn route(name: &str, kind: RouteKind) -> Route {
    Route {
        name: name.to_string(),
        host: HOST.to_string(),
        prefix: format!("/{name}/"),
        kind,
        timeout: Duration::from_secs(10),
        target: Duration::from_secs(2),
        pause: None,
        priority: 1,
        targets: [Target { service: SERVICE.to_string(), weight: 1 }].into_iter().collect(),
        attempts: 2,
        public: false,
        sessions: false,
        resumable: kind == RouteKind::Streaming,
        homes: Vec::new(),
    }
}
