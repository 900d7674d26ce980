//! `bw-agent`: the agent process that runs on each instance of an endpoint.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use bw_agent::attempts::Attempts;
use bw_agent::experts::MapManager;
use bw_agent::heartbeat::Crashes;
use bw_agent::heartbeat::HeartbeatSender;
use bw_agent::heartbeat::UnresponsiveEntries;
use bw_agent::link::AgentHandler;
use bw_agent::runner::Runner;
use bw_agent::runner::ServiceTime;
use bw_agent::settings::reload;
use bw_agent::view::ViewCache;
use bw_agent::AgentError;
use bw_agent::Settings;
use bw_conf::settings::parse_settings;
use bw_kernel::live;
use bw_kernel::live::Live;
use bw_kernel::unix_millis;
use bw_kernel::Kernel;
use bw_kernel::Metrics;
use bw_link::Pool;
use bw_model::Incarnation;
use bw_platform::Budget;
use bw_platform::ConfigStore;
use bw_platform::Store;

/// Sustained rate of platform calls, in calls a second. An agent calls the platform only when no
/// entry answers and to read the planner's lease.
const PLATFORM_RATE: f64 = 0.5;
/// Platform calls that may be made at once above the sustained rate.
const PLATFORM_BURST: f64 = 150.0;

/// Runs requests and expert-map orders at the engine or service of one instance.
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
        println!("bw-agent {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bw-agent: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &Arguments) -> Result<(), AgentError> {
    let Some(path) = &arguments.settings else {
        let error = std::io::Error::other("a settings file is needed; see --help");
        return Err(AgentError::Io(error));
    };
    let settings: Settings = parse_settings(path, &live::read_file(path)?)?;
    if arguments.check {
        println!("{}: ok", path.display());
        return Ok(());
    }
    let _log = bw_kernel::logging::start_logger(settings.instance.as_str(), &settings.log);
    serve(settings, path).await
}

async fn serve(settings: Settings, path: &Path) -> Result<(), AgentError> {
    let metrics = Metrics::default();
    let instance = settings.instance.to_string();
    let incarnation = new_incarnation();
    let store = match &settings.platform {
        Some(url) => Some(Store::new(url, Budget::new(PLATFORM_RATE, PLATFORM_BURST), &metrics)?),
        None => None,
    };
    let pool = Pool::new();
    let attempts = Attempts::new(incarnation, settings.retention, settings.answer);
    let config = store.clone().map(ConfigStore::new);
    let views = ViewCache::new(instance.clone(), pool.clone(), attempts.clone(), config);
    let (service_time, crashes) = (ServiceTime::default(), Crashes::default());
    let runner = Runner::new(attempts.clone(), service_time.clone(), crashes.clone());
    let margin_steps = settings.margin_steps;
    let maps = MapManager::new(incarnation, pool.clone(), store, margin_steps, views.subscribe());

    let mut kernel = Kernel::with_signals()?;
    let live = Live::new(settings.clone());
    let (shared, file, signals) = (live.clone(), path.to_path_buf(), kernel.reloads());
    let apply = move |next: &Settings| reload(&shared, next);
    kernel.start("settings", |stop| live::follow_file(file, parse_settings, apply, signals, stop));
    let listener = bw_http::bind(settings.http).await?;
    let routes = bw_agent::web::routes(&metrics, &attempts, &views)?;
    kernel.start("web", |stop| bw_http::serve(listener, routes, stop));
    let handler = AgentHandler {
        instance: instance.clone(),
        attempts: attempts.clone(),
        runner,
        views: views.clone(),
        maps: maps.clone(),
    };
    let link = bw_link::serve(settings.link, handler)?;
    kernel.start("link", |mut stop| async move {
        stop.wait().await;
        drop(link);
        Ok::<(), AgentError>(())
    });
    kernel.start("experts", |stop| maps.run(stop));
    let heartbeats = HeartbeatSender {
        instance,
        settings: live.clone(),
        pool,
        attempts: attempts.clone(),
        views,
        service_time,
        crashes: crashes.clone(),
        unresponsive: UnresponsiveEntries::default(),
    };
    kernel.start("beat", |stop| heartbeats.run(stop));
    kernel.start("drain", |stop| bw_agent::drain::run(attempts, crashes, stop));
    kernel.run(settings.grace).await?;
    Ok(())
}

/// Creates the incarnation of this process. The wall clock in the high bits makes later
/// incarnations mostly higher, and the random low bits keep any two of them distinct.
fn new_incarnation() -> Incarnation {
    const RANDOM_BITS: u32 = 20;
    let random = u64::from(rand::random::<u32>() >> (u32::BITS - RANDOM_BITS));
    Incarnation((unix_millis() << RANDOM_BITS) | random)
}
