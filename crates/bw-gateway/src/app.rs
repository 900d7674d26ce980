//! Puts the gateway together and starts its services.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bw_direct::peers::PeerAddress;
use bw_kernel::unix_millis;
use bw_kernel::BootClock;
use bw_kernel::Kernel;
use bw_kernel::Metrics;
use bw_kernel::Stop;
use bw_member::PeerState;
use bw_model::Incarnation;
use bw_model::Version;
use bw_platform::Budget;
use bw_platform::Store;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;

use crate::config::Config;
use crate::endpoints::Endpoints;
use crate::error::GatewayError;
use crate::forward::body_units;
use crate::forward::Forwarder;
use crate::frontend;
use crate::metrics::GatewayMetrics;
use crate::peers::Gossip;
use crate::peers::PeerNews;
use crate::planner::PlanService;
use crate::relay::Relay;
use crate::reload::follow_file;
use crate::reload::LiveSettings;
use crate::settings::Settings;
use crate::suspects::Suspects;
use crate::sync::Sync;
use crate::waiting::Waiting;
use crate::web;
use crate::web::Readiness;

/// Seconds of the store's rate that may be used at once.
const STORE_BURST_SECONDS: f64 = 4.0;
/// Time between two looks at what readiness depends on, once it is given.
const READY_PAUSE: Duration = Duration::from_millis(250);
/// The same before, so that callers hear soon of a gateway that has started.
const UNREADY_PAUSE: Duration = Duration::from_millis(25);

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
    /// Opens the sockets that the settings name. Where they name port 0, the settings get the port
    /// that was given.
    ///
    /// # Errors
    /// The operating system's, such as an address in use.
    pub async fn bind(settings: &mut Settings) -> std::io::Result<Self> {
        let callers = bw_http::bind(settings.callers).await?;
        let ready = bw_http::bind(settings.ready).await?;
        let directory = bind_optional(&mut settings.directory).await?;
        let metrics = bind_optional(&mut settings.metrics).await?;
        // Peers reach the news and the relay at one address.
        let relay = bw_http::bind(settings.news).await?;
        settings.news = relay.local_addr()?;
        let news = UdpSocket::bind(settings.news).await?;
        settings.callers = callers.local_addr()?;
        settings.ready = ready.local_addr()?;
        Ok(Self { callers, ready, directory, metrics, news, relay })
    }
}

/// Opens a socket that may not be wanted.
async fn bind_optional(address: &mut Option<SocketAddr>) -> std::io::Result<Option<TcpListener>> {
    let Some(wanted) = address else { return Ok(None) };
    let listener = bw_http::bind(*wanted).await?;
    *wanted = listener.local_addr()?;
    Ok(Some(listener))
}

/// Starts all services of a gateway; `file` is its settings file, which is followed.
///
/// # Errors
/// [`GatewayError`] when a service cannot be built.
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
    let peers = PeerNews::new(address.clone(), first_state(&settings), clock.now());
    let config = Config::default();
    let endpoints = Endpoints::new(settings.centre.to_string(), rand::random());
    let waiting = Waiting::new(endpoints.clone(), clock);
    let measured = GatewayMetrics::new(&metrics)?;
    let suspects = Suspects::new(clock);
    let budget = Budget::new(settings.rate, settings.rate * STORE_BURST_SECONDS);
    let store = Store::new(&settings.platform, budget, &metrics)?;
    let relay = Relay::new();
    let sync = Sync {
        store: store.clone(),
        relay: relay.clone(),
        config: config.clone(),
        endpoints: endpoints.clone(),
        peers: peers.clone(),
        clock,
        settings: live.clone(),
    };
    let planner = PlanService {
        instance: settings.instance.to_string(),
        store,
        config: config.clone(),
        endpoints: endpoints.clone(),
        peers: peers.clone(),
        metrics: measured.clone(),
        clock,
    };
    let forwarder = Forwarder {
        config: config.clone(),
        endpoints: endpoints.clone(),
        waiting: waiting.clone(),
        suspects: suspects.clone(),
        peers: peers.clone(),
        budget: Arc::default(),
        bytes: Arc::new(Semaphore::new(body_units(settings.memory))),
        metrics: measured.clone(),
        clock,
        settings: live.clone(),
    };
    let readiness = Readiness {
        waiting: waiting.clone(),
        metrics: measured,
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
        clock,
        seeds: seeds.collect(),
    };

    let Sockets { callers, ready, directory, metrics: measuring, news, relay: relayed } = sockets;
    if let Some(file) = file {
        let signals = kernel.reloads();
        let live = live.clone();
        kernel.start("settings", |stop| follow_file(file, live, signals, stop));
    }
    let (follower, joiner) = (sync.clone(), sync.clone());
    kernel.start("configuration", |stop| follower.follow_config(stop));
    kernel.start("endpoints", |stop| sync.follow_endpoints(stop));
    kernel.start("join", |stop| joiner.join(address, stop));
    kernel.start("relay", |stop| bw_http::serve(relayed, relay.routes(), stop));
    kernel.start("news", |stop| gossip.run(news, stop));
    kernel.start("planner", |stop| planner.run(stop));
    let routes = web::ready_routes(readiness.clone());
    kernel.start("ready", |stop| bw_http::serve(ready, routes, stop));
    if let Some(listener) = measuring {
        let routes = web::metrics_routes(readiness.clone(), metrics);
        kernel.start("metrics", |stop| bw_http::serve(listener, routes, stop));
    }
    if let Some(listener) = directory {
        let routes = web::directory_routes(peers.clone(), config, clock, live);
        kernel.start("directory", |stop| bw_http::serve(listener, routes, stop));
    }
    kernel.start("callers", |stop| frontend::serve(callers, forwarder, stop));
    // Starts last and so stops first: callers are sent elsewhere before connections drain.
    kernel.start("readiness", |stop| watch_readiness(readiness, peers, stop));
    Ok(())
}

/// State of a gateway that has just started.
fn first_state(settings: &Settings) -> PeerState {
    PeerState {
        instance: settings.instance.to_string(),
        incarnation: Incarnation((unix_millis() << 20) | u64::from(rand::random::<u16>())),
        seq: 0,
        leaving: false,
        version: Version(0),
    }
}

/// Tells peers whether this gateway is ready, and that it leaves once it has to stop.
async fn watch_readiness(
    readiness: Readiness,
    peers: PeerNews,
    mut stop: Stop,
) -> Result<(), std::convert::Infallible> {
    loop {
        let ready = readiness.is_ready();
        peers.set_ready(ready);
        let pause = if ready { READY_PAUSE } else { UNREADY_PAUSE };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = stop.wait() => break,
        }
    }
    peers.leave();
    Ok(())
}
