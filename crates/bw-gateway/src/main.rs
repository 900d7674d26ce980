//! `bw-gateway`: the process on each entry instance in deployments whose endpoints serve HTTP
//! themselves.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use bw_gateway::app;
use bw_gateway::reload::read_settings;
use bw_gateway::GatewayError;
use bw_kernel::Kernel;
use log::info;

/// Time before the platform kills the process at which a stopping gateway abandons open requests.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Accepts requests from callers and forwards them to endpoints over HTTP.
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
    let mut settings = read_settings(path)?;
    if arguments.check {
        println!("{}: ok", path.display());
        return Ok(());
    }
    let _log = bw_kernel::logging::start_logger(settings.instance.as_str(), &settings.log);
    info!(
        "event=started release={} data_centre={} callers={} platform={}",
        env!("CARGO_PKG_VERSION"),
        settings.centre,
        settings.callers,
        settings.platform
    );
    let grace = settings.grace.saturating_sub(GRACE_MARGIN);
    let mut kernel = Kernel::with_signals()?;
    let sockets = app::Sockets::bind(&mut settings).await?;
    app::start(&mut kernel, settings, sockets, Some(path.clone()))?;
    kernel.run(grace).await?;
    Ok(())
}
