//! `bw-soak`: the soak, and the stand-ins that it starts as processes.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use bw_soak::check::Life;
use bw_soak::run;
use bw_soak::settings::Options;
use bw_soak::stand_ins;

/// Runs the real programs under faults from outside and checks the promises.
#[derive(FromArgs)]
struct Arguments {
    /// seed of the first run; drawn by default
    #[argh(option, default = "rand::random_range(0..1_000_000)")]
    seed: u64,
    /// seconds with faults in each run
    #[argh(option, default = "20")]
    seconds: u64,
    /// number of gateways, 2 to 5; by default drawn from the seed
    #[argh(option)]
    gateways: Option<usize>,
    /// number of runs, with seeds that follow each other
    #[argh(option, default = "1")]
    runs: u64,
    /// folder with the bw-gateway of another release, which runs at first; gateways are then replaced one after the
    /// other, forward, back and forward again
    #[argh(option)]
    old_bin: Option<PathBuf>,
    #[argh(subcommand)]
    part: Option<Part>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Part {
    Store(StorePart),
    Endpoint(EndpointPart),
}

/// Serves the store, for the soak.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct StorePart {}

/// Serves an endpoint, for the soak.
#[derive(FromArgs)]
#[argh(subcommand, name = "endpoint")]
struct EndpointPart {
    /// number of the endpoint
    #[argh(positional)]
    index: usize,
    /// number of its life
    #[argh(positional)]
    number: u32,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match &arguments.part {
        Some(Part::Store(_)) => stand_ins::run_store().await.map(|()| true),
        Some(Part::Endpoint(EndpointPart { index, number })) => {
            let life = Life { index: *index, number: *number };
            stand_ins::run_endpoint(life).await.map(|()| true)
        }
        None => soak(&arguments).await,
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("bw-soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Plays the runs; returns whether all checks passed.
async fn soak(arguments: &Arguments) -> io::Result<bool> {
    if arguments.gateways.is_some_and(|count| !(2..=5).contains(&count)) {
        return Err(io::Error::other("--gateways takes 2 to 5"));
    }
    let program = std::env::current_exe()?.with_file_name("bw-gateway");
    if !program.exists() {
        let path = program.display();
        return Err(io::Error::other(format!("{path} is missing: cargo build -p bw-gateway")));
    }
    let old_program = arguments.old_bin.as_ref().map(|folder| folder.join("bw-gateway"));
    if let Some(path) = old_program.as_ref().filter(|path| !path.exists()) {
        return Err(io::Error::other(format!("--old-bin: {} is missing", path.display())));
    }
    let mut failed = Vec::new();
    for seed in (arguments.seed..).take(arguments.runs as usize) {
        let folder = folder(seed);
        std::fs::create_dir_all(&folder)?;
        let options = Options {
            seed,
            length: Duration::from_secs(arguments.seconds),
            gateways: arguments.gateways.unwrap_or(2 + (seed % 4) as usize),
            program: program.clone(),
            old_program: old_program.clone(),
            folder: folder.clone(),
        };
        let (failures, answered) = run::play(options).await?;
        println!("seed={seed} failures={failures} answered={answered}");
        if failures == 0 {
            std::fs::remove_dir_all(&folder)?;
        } else {
            println!("seed={seed} logs={}", folder.display());
            failed.push(seed);
        }
    }
    println!("runs={} failed={failed:?}", arguments.runs);
    Ok(failed.is_empty())
}

fn folder(seed: u64) -> PathBuf {
    std::env::temp_dir().join(format!("bw-soak-{seed}-{}", std::process::id()))
}
