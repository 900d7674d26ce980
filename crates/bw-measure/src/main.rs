//! `bw-measure`: measures single parts of baobabwind, one subcommand for each measurement.

use std::process::ExitCode;

use argh::FromArgs;
use bw_measure::commands::ConfigSize;
use bw_measure::commands::Control;
use bw_measure::commands::Path;
use bw_measure::commands::PlanTime;
use bw_measure::commands::Requests;
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
    Config(ConfigSize),
    Control(Control),
    Path(Path),
    Plan(PlanTime),
    Requests(Requests),
    Session(Session),
    Skew(Skew),
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::Config(config) => config.run(),
        Command::Control(control) => control.run(),
        Command::Path(path) => path.run().await,
        Command::Plan(plan) => plan.run(),
        Command::Requests(requests) => requests.run(),
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
