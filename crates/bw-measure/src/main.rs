//! `bw-measure`: the focused measurements.

use std::process::ExitCode;

use argh::FromArgs;
use bw_measure::commands::Path;
use bw_measure::commands::Session;

/// Measure parts of baobabwind. Each line of output reads: name{label=value,...} value unit
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Path(Path),
    Session(Session),
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::Path(path) => path.run().await,
        Command::Session(session) => session.run().await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bw-measure: {error}");
            ExitCode::FAILURE
        }
    }
}
