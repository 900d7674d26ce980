//! `bwctl`: checks, applies and inspects the configuration.

use std::process::ExitCode;

use argh::FromArgs;
use bw_ctl::commands::Apply;
use bw_ctl::commands::Check;
use bw_ctl::commands::Diff;
use bw_ctl::commands::Explain;
use bw_ctl::commands::Show;
use bw_ctl::commands::Status;
use bw_ctl::commands::Token;
use bw_ctl::CtlError;

/// Operate baobabwind: check, apply and inspect its configuration.
#[derive(FromArgs)]
struct Arguments {
    /// print the version and exit
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(Check),
    Diff(Diff),
    Apply(Apply),
    Show(Show),
    Status(Status),
    Explain(Explain),
    Token(Token),
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("bwctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    bw_kernel::logging::start_tool_logger("bwctl", "error");
    match run(arguments.command).await {
        Ok(output) => {
            println!("{output}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("bwctl: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Option<Command>) -> Result<String, CtlError> {
    match command {
        Some(Command::Check(check)) => check.run(),
        Some(Command::Diff(diff)) => diff.run().await,
        Some(Command::Apply(apply)) => apply.run().await,
        Some(Command::Show(show)) => show.run().await,
        Some(Command::Status(status)) => status.run().await,
        Some(Command::Explain(explain)) => explain.run().await,
        Some(Command::Token(token)) => token.run(),
        None => Err(CtlError::Usage("no command given".to_string())),
    }
}
