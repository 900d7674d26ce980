//! `bw-entry`: the process that runs on each entry instance.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use bw_conf::settings::parse_settings;
use bw_entry::agents::Agents;
use bw_entry::claims::Claims;
use bw_entry::config::Config;
use bw_entry::decisions::Decisions;
use bw_entry::evidence::SharedEvidence;
use bw_entry::link::EntryHandler;
use bw_entry::members::leave_on_stop;
use bw_entry::members::Members;
use bw_entry::planner::PlanService;
use bw_entry::queue::Queue;
use bw_entry::requests::context::RequestMetrics;
use bw_entry::requests::Services;
use bw_entry::routing::Routing;
use bw_entry::settings::reload;
use bw_entry::EntryError;
use bw_entry::Settings;
use bw_kernel::live;
use bw_kernel::live::Live;
use bw_kernel::unix_millis;
use bw_kernel::BootClock;
use bw_kernel::Drain;
use bw_kernel::Kernel;
use bw_kernel::Metrics;
use bw_link::Pool;
use bw_member::PeerState;
use bw_model::Incarnation;
use bw_model::Version;
use bw_platform::claims::ClaimStore;
use bw_platform::Budget;
use bw_platform::ConfigStore;
use bw_platform::Quarantines;
use bw_platform::Store;
use tokio::time::Instant;

/// Capacity of the call budget for the platform, in seconds of the configured rate. The capacity is
/// at least 150 calls.
const PLATFORM_BURST_SECONDS: f64 = 4.0;

/// Answers callers, routes their requests and retries them.
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

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("bw-entry {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bw-entry: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &Arguments) -> Result<(), EntryError> {
    let Some(path) = &arguments.settings else {
        let error = std::io::Error::other("a settings file is needed; see --help");
        return Err(EntryError::Io(error));
    };
    let settings: Settings = parse_settings(path, &live::read_file(path)?)?;
    if arguments.check {
        println!("{}: ok", path.display());
        return Ok(());
    }
    let _log = bw_kernel::logging::start_logger(settings.instance.as_str(), &settings.log);
    serve(settings, path).await
}

async fn serve(settings: Settings, path: &Path) -> Result<(), EntryError> {
    let metrics = Metrics::default();
    let mut kernel = Kernel::with_signals()?;
    let services = build_services(&settings, &metrics, &mut kernel)?;
    let (http, grace) = (settings.http, settings.grace);
    let (interval, seeds) = (settings.digest_interval, settings.peers.clone());

    let pool: Pool = kernel.registry.find("links")?;
    let handler = EntryHandler {
        config: services.config.clone(),
        members: services.members.clone(),
        routing: services.routing.clone(),
        queue: services.queue.clone(),
        evidence: services.evidence.clone(),
        claims: services.claims.clone(),
    };
    let link = bw_link::serve(settings.link, handler)?;
    kernel.start("link", |mut stop| async move {
        stop.wait().await;
        drop(link);
        Ok::<(), EntryError>(())
    });
    let (config, members) = (services.config.clone(), services.members.clone());
    kernel.start("config", |stop| config.run(members, seeds, stop));
    let (members, config) = (services.members.clone(), services.config.clone());
    kernel.start("members", |stop| members.run(config, pool, interval, stop));
    let (routing, queue) = (services.routing.clone(), services.queue.clone());
    kernel.start("routing", |stop| routing.run(stop));
    kernel.start("queue", |stop| queue.run(stop));
    let planner = PlanService {
        instance: settings.instance.to_string(),
        interval: settings.plan_interval,
        store: kernel.registry.find("platform")?,
        agents: services.agents.clone(),
        config: services.config.clone(),
        members: services.members.clone(),
        decisions: services.decisions.clone(),
    };
    kernel.start("planner", |stop| planner.run(stop));
    let quarantines = Quarantines::new(kernel.registry.find("platform")?);
    let evidence = services.evidence.clone();
    kernel.start("quarantines", |stop| evidence.keep(quarantines, stop));
    let (live, file, signals) = (services.settings.clone(), path.to_path_buf(), kernel.reloads());
    let apply = move |next: &Settings| reload(&live, next);
    kernel.start("settings", |stop| live::follow_file(file, parse_settings, apply, signals, stop));
    let listener = bw_http::bind(http).await?;
    let routes = bw_entry::web::routes(&services, &metrics)?;
    kernel.start("web", |stop| bw_http::serve(listener, routes, stop));
    // Services stop in reverse order of their start. This one starts last, so that the entry
    // announces that it is leaving before its connections drain.
    let (members, drain) = (services.members.clone(), services.drain.clone());
    kernel.start("leave", |stop| leave_on_stop(members, drain, grace, stop));
    kernel.run(grace).await?;
    Ok(())
}

/// Builds the services and publishes in the registry those that are looked up by name.
fn build_services(
    settings: &Settings,
    metrics: &Metrics,
    kernel: &mut Kernel,
) -> Result<Services, EntryError> {
    let instance = settings.instance.to_string();
    let burst = settings.platform_rate * PLATFORM_BURST_SECONDS;
    let store = Store::new(
        &settings.platform,
        Budget::new(settings.platform_rate, burst.max(150.0)),
        metrics,
    )?;
    let pool = Pool::new();
    let own = PeerState {
        instance: instance.clone(),
        incarnation: Incarnation((unix_millis() << 20) | u64::from(rand::random::<u16>())),
        seq: 0,
        leaving: false,
        version: Version(0),
    };
    let members = Members::new(own, settings.centre.to_string(), Instant::now());
    let config = Config::new(instance.clone(), ConfigStore::new(store.clone()), pool.clone());
    let routing = Routing::new(rand::random(), members.clone(), config.clone());
    let queue = Queue::new(routing.clone(), config.clone());
    let evidence = SharedEvidence::new(instance.clone(), pool.clone(), config.clone());
    let claims = Claims::new(
        instance,
        ClaimStore::new(store.clone(), settings.retention),
        pool.clone(),
        members.clone(),
        config.clone(),
    );
    kernel.registry.publish("platform", store)?;
    kernel.registry.publish("links", pool.clone())?;
    kernel.registry.publish("config", config.clone())?;
    kernel.registry.publish("members", members.clone())?;
    kernel.registry.publish("routing", routing.clone())?;
    Ok(Services {
        settings: Live::new(settings.clone()),
        config,
        members,
        routing,
        queue,
        agents: Agents::new(pool),
        claims,
        evidence,
        drain: Drain::new(BootClock::start()),
        decisions: Decisions::default(),
        metrics: RequestMetrics::new(metrics)?,
    })
}
