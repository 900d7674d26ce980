//! `bw-measure`: the focused measurements.

use std::process::ExitCode;

use argh::FromArgs;
use bw_measure::commands::Path;
use bw_measure::commands::PlanTime;
use bw_measure::commands::Session;
use bw_measure::commands::Skew;

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
    Plan(PlanTime),
    Session(Session),
    Skew(Skew),
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::Path(path) => path.run().await,
        Command::Plan(plan) => plan.run(),
        Command::Session(session) => session.run().await,
        Command::Skew(skew) => skew.run(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bw-measure: {error}");
            ExitCode::FAILURE
        }
    }
}
