//! `bw-agent`: the process in the slot of each endpoint instance.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use bw_agent::attempts::Attempts;
use bw_agent::beat::Beater;
use bw_agent::beat::Crashes;
use bw_agent::beat::SilentEntries;
use bw_agent::experts::Experts;
use bw_agent::link::AgentHandler;
use bw_agent::runner::Runner;
use bw_agent::runner::ServiceTime;
use bw_agent::settings::reload;
use bw_agent::view::Viewer;
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

/// Calls a second to the platform, which an agent needs only when no entry answers.
const PLATFORM_RATE: f64 = 0.5;
const PLATFORM_BURST: f64 = 150.0;

/// The gate to the engine or service of one instance.
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
    let attempts = Attempts::new(incarnation, settings.retention);
    let config = store.clone().map(ConfigStore::new);
    let viewer = Viewer::new(instance.clone(), pool.clone(), attempts.clone(), config);
    let (time, crashes) = (ServiceTime::default(), Crashes::default());
    let runner = Runner::new(attempts.clone(), time.clone(), crashes.clone());
    let margin = settings.margin;
    let experts = Experts::new(incarnation, pool.clone(), store, margin, viewer.subscribe());

    let mut kernel = Kernel::with_signals()?;
    let live = Live::new(settings.clone());
    let (followed, file, signals) = (live.clone(), path.to_path_buf(), kernel.reloads());
    let apply = move |next: &Settings| reload(&followed, next);
    kernel.start("settings", |stop| live::follow_file(file, parse_settings, apply, signals, stop));
    let listener = bw_http::bind(settings.http).await?;
    let routes = bw_agent::web::routes(&metrics, &attempts, &viewer)?;
    kernel.start("web", |stop| bw_http::serve(listener, routes, stop));
    let handler = AgentHandler {
        instance: instance.clone(),
        attempts: attempts.clone(),
        runner,
        viewer: viewer.clone(),
        experts: experts.clone(),
    };
    let link = bw_link::serve(settings.link, handler)?;
    kernel.start("link", |mut stop| async move {
        stop.wait().await;
        drop(link);
        Ok::<(), AgentError>(())
    });
    kernel.start("experts", |stop| experts.run(stop));
    let beater = Beater {
        instance,
        settings: live.clone(),
        pool,
        attempts: attempts.clone(),
        viewer,
        time,
        crashes: crashes.clone(),
        silent: SilentEntries::default(),
    };
    kernel.start("beat", |stop| beater.run(stop));
    kernel.start("drain", |stop| bw_agent::drain::run(attempts, crashes, stop));
    kernel.run(settings.grace).await?;
    Ok(())
}

/// A life of this process: later lives mostly have higher numbers, and no two are equal.
fn new_incarnation() -> Incarnation {
    const RANDOM_BITS: u32 = 20;
    let random = u64::from(rand::random::<u32>() >> (u32::BITS - RANDOM_BITS));
    Incarnation((unix_millis() << RANDOM_BITS) | random)
}
