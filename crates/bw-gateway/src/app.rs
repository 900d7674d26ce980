//! Construction of the gateway and start of its services.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bw_direct::candidates::Capacity;
use bw_direct::peers::PeerAddress;
use bw_kernel::unix_millis;
use bw_kernel::BootClock;
use bw_kernel::Drain;
use bw_kernel::Kernel;
use bw_kernel::Metrics;
use bw_kernel::Stop;
use bw_member::PeerState;
use bw_model::Incarnation;
use bw_model::Version;
use bw_platform::Budget;
use bw_platform::Quarantines;
use bw_platform::Store;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;

use crate::cold_checks::ColdChecks;
use crate::config::Config;
use crate::endpoints::Endpoints;
use crate::error::GatewayError;
use crate::explain::Explainer;
use crate::forward::body_units;
use crate::forward::Forwarder;
use crate::frontend;
use crate::metrics::GatewayMetrics;
use crate::peers::Gossip;
use crate::peers::SharedPeers;
use crate::planner::PlanService;
use crate::relay::Relay;
use crate::reload::follow_file;
use crate::reload::LiveSettings;
use crate::retries::Retries;
use crate::settings::Settings;
use crate::suspects::Suspects;
use crate::sync::evacuations::EvacuationSync;
use crate::sync::quarantine::QuarantineKeeper;
use crate::sync::StoreSync;
use crate::waiting::WaitQueues;
use crate::web;
use crate::web::Readiness;

/// Burst of calls to the store, in seconds of the permitted rate.
const STORE_BURST_SECONDS: f64 = 4.0;
/// Interval between checks of readiness while the gateway is ready.
const READY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between checks of readiness while the gateway is not ready; short, so that callers
/// soon learn of a gateway that has started.
const UNREADY_INTERVAL: Duration = Duration::from_millis(25);

/// The open sockets of a gateway.
pub struct Sockets {
    callers: TcpListener,
    ready: TcpListener,
    directory: Option<TcpListener>,
    metrics: Option<TcpListener>,
    news: UdpSocket,
    relay: TcpListener,
}

impl Sockets {
    /// Opens the sockets that the settings name, and replaces each port 0 in the settings by the
    /// port that the operating system assigned.
    ///
    /// # Errors
    /// An error of the operating system, such as an address in use.
    pub async fn bind(settings: &mut Settings) -> std::io::Result<Self> {
        let callers = bw_http::bind(settings.callers).await?;
        let ready = bw_http::bind(settings.ready).await?;
        let directory = bind_optional(&mut settings.directory).await?;
        let metrics = bind_optional(&mut settings.metrics).await?;
        // News and relay use the same address and port, over UDP and TCP respectively.
        let relay = bw_http::bind(settings.news).await?;
        settings.news = relay.local_addr()?;
        let news = UdpSocket::bind(settings.news).await?;
        settings.callers = callers.local_addr()?;
        settings.ready = ready.local_addr()?;
        Ok(Self { callers, ready, directory, metrics, news, relay })
    }
}

/// Opens the socket for an optional address, and stores the port that was assigned.
async fn bind_optional(address: &mut Option<SocketAddr>) -> std::io::Result<Option<TcpListener>> {
    let Some(requested) = address else { return Ok(None) };
    let listener = bw_http::bind(*requested).await?;
    *requested = listener.local_addr()?;
    Ok(Some(listener))
}

/// Starts all services of a gateway. Changes of the settings file `file` are followed.
///
/// # Errors
/// [`GatewayError`] if a service cannot be created.
pub fn start(
    kernel: &mut Kernel,
    settings: Settings,
    sockets: Sockets,
    file: Option<PathBuf>,
) -> Result<(), GatewayError> {
    let clock = BootClock::start();
    let metrics = Metrics::default();
    let live = LiveSettings::new(settings.clone());
    let address = PeerAddress {
        instance: settings.instance.to_string(),
        centre: settings.centre.to_string(),
        callers: settings.callers,
        news: settings.news,
    };
    let capacity = Capacity::new(settings.link, settings.share);
    let peers = SharedPeers::new(address.clone(), initial_state(&settings), capacity, clock.now());
    let config = Config::default();
    let endpoints = Endpoints::new(live.clone(), rand::random());
    let waiting = WaitQueues::new(endpoints.clone(), clock);
    let gateway_metrics = GatewayMetrics::new(&metrics)?;
    let suspects = Suspects::new(clock);
    let budget = Budget::new(settings.rate, settings.rate * STORE_BURST_SECONDS);
    let store = Store::new(&settings.platform, budget, &metrics)?;
    let relay = Relay::new();
    let sync = StoreSync {
        store: store.clone(),
        relay: relay.clone(),
        config: config.clone(),
        endpoints: endpoints.clone(),
        peers: peers.clone(),
        clock,
        settings: live.clone(),
    };
    let evacuations = EvacuationSync { sync: sync.clone(), waiting: waiting.clone() };
    let keeper = QuarantineKeeper {
        store: Quarantines::new(store.clone()),
        suspects: suspects.clone(),
        config: config.clone(),
        peers: peers.clone(),
        clock,
    };
    let planner = PlanService {
        instance: settings.instance.to_string(),
        store,
        config: config.clone(),
        endpoints: endpoints.clone(),
        peers: peers.clone(),
        metrics: gateway_metrics.clone(),
        clock,
    };
    let cold_checks = ColdChecks {
        config: config.clone(),
        endpoints: endpoints.clone(),
        peers: peers.clone(),
        clock,
    };
    let forwarder = Forwarder {
        config: config.clone(),
        endpoints: endpoints.clone(),
        waiting: waiting.clone(),
        suspects: suspects.clone(),
        retries: Retries::new(peers.clone(), live.clone(), clock),
        body_memory: Arc::new(Semaphore::new(body_units(settings.memory))),
        answer_memory: Arc::new(Semaphore::new(body_units(settings.memory))),
        metrics: gateway_metrics.clone(),
        drain: Drain::new(clock),
        clock,
        settings: live.clone(),
    };
    let readiness = Readiness {
        waiting: waiting.clone(),
        metrics: gateway_metrics.clone(),
        config: config.clone(),
        endpoints: endpoints.clone(),
        peers: peers.clone(),
        clock,
        settings: live.clone(),
    };
    let seeds = settings.seeds.iter().map(|seed| (seed.ip(), settings.news.port()).into());
    let gossip = Gossip {
        peers: peers.clone(),
        config: config.clone(),
        endpoints,
        waiting,
        suspects,
        metrics: gateway_metrics,
        clock,
        seeds: seeds.collect(),
        settings: live.clone(),
    };

    let Sockets {
        callers,
        ready,
        directory,
        metrics: metrics_listener,
        news,
        relay: relay_listener,
    } = sockets;
    if let Some(file) = file {
        let signals = kernel.reloads();
        let live = live.clone();
        kernel.start("settings", |stop| follow_file(file, live, signals, stop));
    }
    let (follower, joiner) = (sync.clone(), sync.clone());
    kernel.start("configuration", |stop| follower.follow_config(stop));
    kernel.start("endpoints", |stop| sync.follow_endpoints(stop));
    kernel.start("evacuations", |stop| evacuations.run(stop));
    kernel.start("quarantines", |stop| keeper.run(stop));
    kernel.start("cold checks", |stop| cold_checks.run(stop));
    kernel.start("join", |stop| joiner.join(address, stop));
    kernel.start("relay", |stop| bw_http::serve(relay_listener, relay.routes(), stop));
    kernel.start("news", |stop| gossip.run(news, stop));
    kernel.start("planner", |stop| planner.run(stop));
    let routes = web::ready_routes(readiness.clone());
    kernel.start("ready", |stop| bw_http::serve(ready, routes, stop));
    if let Some(listener) = metrics_listener {
        let routes = web::metrics_routes(readiness.clone(), metrics);
        let routes = Explainer::new(forwarder.clone()).route(routes);
        kernel.start("metrics", |stop| bw_http::serve(listener, routes, stop));
    }
    if let Some(listener) = directory {
        let routes = web::directory_routes(peers.clone(), config, clock, live);
        kernel.start("directory", |stop| bw_http::serve(listener, routes, stop));
    }
    kernel.start("callers", |stop| frontend::serve(callers, forwarder, stop));
    // The service that starts last stops first: callers are directed to other gateways before open
    // connections are drained.
    kernel.start("readiness", |stop| watch_readiness(readiness, peers, stop));
    Ok(())
}

/// Returns the state of a gateway that has just started.
fn initial_state(settings: &Settings) -> PeerState {
    PeerState {
        instance: settings.instance.to_string(),
        incarnation: Incarnation((unix_millis() << 20) | u64::from(rand::random::<u16>())),
        seq: 0,
        leaving: false,
        version: Version(0),
    }
}

/// Announces to the peers whether this gateway is ready, and after `stop` that it is leaving.
async fn watch_readiness(
    readiness: Readiness,
    peers: SharedPeers,
    mut stop: Stop,
) -> Result<(), std::convert::Infallible> {
    loop {
        let ready = readiness.is_ready();
        peers.set_ready(ready);
        let interval = if ready { READY_INTERVAL } else { UNREADY_INTERVAL };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = stop.wait() => break,
        }
    }
    peers.announce_leaving();
    Ok(())
}
