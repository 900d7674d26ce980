//! `bw-gateway`: the process on each entry instance whose endpoints speak HTTP themselves.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use bw_direct::peers::PeerAddress;
use bw_gateway::config::Config;
use bw_gateway::endpoints::Endpoints;
use bw_gateway::forward::Forwarder;
use bw_gateway::peers::Gossip;
use bw_gateway::peers::PeerNews;
use bw_gateway::planner::PlanService;
use bw_gateway::relay::Relay;
use bw_gateway::reload::follow_file;
use bw_gateway::reload::read_settings;
use bw_gateway::reload::LiveSettings;
use bw_gateway::sync::Sync;
use bw_gateway::waiting::Waiting;
use bw_gateway::web;
use bw_gateway::GatewayError;
use bw_gateway::Settings;
use bw_kernel::unix_millis;
use bw_kernel::BootClock;
use bw_kernel::Kernel;
use bw_kernel::Metrics;
use bw_member::PeerState;
use bw_model::Incarnation;
use bw_model::Version;
use bw_platform::Budget;
use bw_platform::Store;
use tokio::net::UdpSocket;

/// Seconds of the store's rate that may be used at once.
const STORE_BURST_SECONDS: f64 = 4.0;
/// Time between two looks at what readiness depends on.
const READY_PAUSE: Duration = Duration::from_millis(250);
/// Time before the platform's kill at which a stop gives up open requests.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Answers callers and takes their requests to endpoints over HTTP.
#[derive(FromArgs)]
struct Arguments {
    /// print the version and exit
    #[argh(switch)]
    version: bool,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
    /// settings file
    #[argh(positional)]
    settings: Option<PathBuf>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("bw-gateway {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bw-gateway: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &Arguments) -> Result<(), GatewayError> {
    let Some(path) = &arguments.settings else {
        let error = std::io::Error::other("a settings file is needed; see --help");
        return Err(GatewayError::Io(error));
    };
    let settings = read_settings(path)?;
    if arguments.check {
        println!("{}: ok", path.display());
        return Ok(());
    }
    let _log = bw_kernel::logging::start_logger(settings.instance.as_str(), &settings.log);
    serve(path, settings).await
}

async fn serve(path: &Path, settings: Settings) -> Result<(), GatewayError> {
    let clock = BootClock::start();
    let metrics = Metrics::default();
    let mut kernel = Kernel::new();
    let instance = settings.instance.to_string();
    let address = PeerAddress {
        instance: instance.clone(),
        centre: settings.centre.to_string(),
        callers: settings.callers,
        news: settings.news,
    };
    let life = Incarnation((unix_millis() << 20) | u64::from(rand::random::<u16>()));
    let own =
        PeerState { instance, incarnation: life, seq: 0, leaving: false, version: Version(0) };
    let peers = PeerNews::new(address.clone(), own, clock.now());
    let config = Config::default();
    let endpoints = Endpoints::new(settings.centre.to_string(), rand::random());
    let budget = Budget::new(settings.rate, settings.rate * STORE_BURST_SECONDS);
    let store = Store::new(&settings.platform, budget, &metrics)?;
    let live = LiveSettings::new(settings.clone());
    let waiting = Waiting::new(endpoints.clone(), clock);
    let forwarder = Forwarder {
        config: config.clone(),
        endpoints: endpoints.clone(),
        waiting: waiting.clone(),
        peers: peers.clone(),
        budget: Arc::default(),
        clock,
        settings: live.clone(),
    };
    let readiness = web::Readiness {
        config: config.clone(),
        endpoints: endpoints.clone(),
        peers: peers.clone(),
        clock,
        settings: live.clone(),
    };
    let relay = Relay::new();
    let sync = Sync {
        store,
        relay: relay.clone(),
        config: config.clone(),
        endpoints: endpoints.clone(),
        peers: peers.clone(),
        clock,
        settings: live.clone(),
    };

    let (path, signals) = (path.to_path_buf(), kernel.reloads());
    kernel.start("settings", |stop| follow_file(path, live.clone(), signals, stop));
    let socket = UdpSocket::bind(settings.news).await?;
    let seeds = settings.seeds.iter().map(|seed| (seed.ip(), settings.news.port()).into());
    let gossip = Gossip {
        peers: peers.clone(),
        config: config.clone(),
        endpoints: endpoints.clone(),
        waiting,
        clock,
        seeds: seeds.collect(),
    };
    let planner = PlanService {
        instance: settings.instance.to_string(),
        store: sync.store.clone(),
        config: config.clone(),
        endpoints: endpoints.clone(),
        peers: peers.clone(),
        clock,
    };
    let following = sync.clone();
    kernel.start("configuration", |stop| following.follow_config(stop));
    let following = sync.clone();
    kernel.start("endpoints", |stop| following.follow_endpoints(stop));
    kernel.start("join", |stop| sync.join(address, stop));
    let listener = bw_http::bind(settings.news).await?;
    kernel.start("relay", |stop| bw_http::serve(listener, relay.routes(), stop));
    kernel.start("news", |stop| gossip.run(socket, stop));
    kernel.start("planner", |stop| planner.run(stop));
    let listener = bw_http::bind(settings.ready).await?;
    let routes = web::ready_routes(readiness.clone(), metrics.clone());
    kernel.start("ready", |stop| bw_http::serve(listener, routes, stop));
    if let Some(directory) = settings.directory {
        let listener = bw_http::bind(directory).await?;
        let routes = web::directory_routes(peers.clone(), config, clock, live.clone());
        kernel.start("directory", |stop| bw_http::serve(listener, routes, stop));
    }
    let listener = bw_http::bind(settings.callers).await?;
    kernel.start("callers", |stop| bw_gateway::frontend::serve(listener, forwarder, stop));
    // Starts last and so stops first: callers are sent elsewhere before connections drain.
    kernel.start("readiness", |stop| watch_readiness(readiness, peers, stop));
    kernel.run(settings.grace.saturating_sub(GRACE_MARGIN)).await?;
    Ok(())
}

/// Tells peers whether this gateway is ready, and that it leaves once it has to stop.
async fn watch_readiness(
    readiness: web::Readiness,
    peers: PeerNews,
    mut stop: bw_kernel::Stop,
) -> Result<(), std::convert::Infallible> {
    loop {
        peers.set_ready(readiness.is_ready());
        tokio::select! {
            () = tokio::time::sleep(READY_PAUSE) => {}
            () = stop.wait() => break,
        }
    }
    peers.leave();
    Ok(())
}
