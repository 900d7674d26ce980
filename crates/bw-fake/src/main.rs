//! `bw-fake`: the fakes of one fleet in one process.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use bw_conf::IniFile;
use bw_fake::control::Control;
use bw_fake::engine::rank_routes;
use bw_fake::engine::Group;
use bw_fake::engine::GroupSettings;
use bw_fake::platform::Platform;
use bw_fake::service::RunCounter;
use bw_fake::service::Service;
use bw_fake::weights::WeightStore;
use bw_fake::Settings;
use bw_kernel::Kernel;
use bw_model::fleet::Endpoint;
use bw_model::fleet::Role;
use bw_model::Fleet;
use bw_model::Version;
use viz::Router;

/// Time that open requests get to finish at shutdown.
const GRACE: Duration = Duration::from_secs(2);

/// Fakes of the external systems, for tests and the demo: object store, engines, services.
#[derive(FromArgs)]
struct Arguments {
    /// settings file
    #[argh(positional)]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let _log = bw_kernel::logging::start_logger("bw-fake", "info");
    match run(&arguments.settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("bw-fake: {reason}");
            ExitCode::FAILURE
        }
    }
}

async fn run(path: &PathBuf) -> Result<(), String> {
    let ini = read_ini(path)?;
    let file = path.display().to_string();
    let settings = Settings::try_from((file.as_str(), &ini)).map_err(|e| e.to_string())?;
    let files: Vec<IniFile> = settings.files.iter().map(read_ini).collect::<Result<_, _>>()?;
    let mut kernel = Kernel::new();
    let platform = Platform::new(settings.call_rate);
    let run_counter = RunCounter::default();
    let mut groups = BTreeMap::new();
    if !files.is_empty() {
        let fleet =
            bw_conf::build_fleet(Version(1), &files).map_err(|faults| faults.to_string())?;
        let weights = WeightStore::new(settings.weight_rate);
        for (_, endpoint) in fleet.endpoints.iter() {
            start_backend(
                &mut kernel,
                &settings,
                &fleet,
                endpoint,
                &weights,
                &run_counter,
                &mut groups,
            )
            .await?;
        }
    }
    let control = Control { platform: platform.clone(), groups, run_counter };
    let health = Router::new().get("/healthz", |_| async { Ok("ok") });
    let routes = join_routes(platform.routes(), [control.routes(), health]);
    start_server(&mut kernel, "platform", settings.listen, routes).await?;
    kernel.run(GRACE).await.map_err(|error| error.to_string())
}

/// Starts fake backends for one endpoint: the ranks of a group, or a plain service.
async fn start_backend(
    kernel: &mut Kernel,
    settings: &Settings,
    fleet: &Fleet,
    endpoint: &Endpoint,
    weights: &WeightStore,
    run_counter: &RunCounter,
    groups: &mut BTreeMap<String, Group>,
) -> Result<(), String> {
    let group = endpoint.shape.map(|shape| {
        let group_settings = GroupSettings {
            ranks: endpoint.ranks.len() as u16,
            slots: endpoint.slots as usize,
            expert_slots: shape.slots as u16,
            layers: shape.layers as u16,
            experts: shape.experts as u16,
            step_time: settings.step_time,
            seed: settings.seed,
        };
        Group::new(group_settings, weights.clone())
    });
    if let Some(group) = &group {
        tokio::spawn(group.clone().run());
        groups.insert(endpoint.name.to_string(), group.clone());
    }
    for (rank, instance) in endpoint.ranks.iter().enumerate() {
        let instance = &fleet.instances[*instance];
        let Role::Agent { backend } = instance.role else {
            continue;
        };
        let routes = match &group {
            Some(group) => rank_routes(group, rank, run_counter),
            None => {
                Service::new(instance.name.as_str(), settings.service_time, run_counter.clone())
                    .routes()
            }
        };
        start_server(kernel, instance.name.as_str(), backend, routes).await?;
    }
    Ok(())
}

async fn start_server(
    kernel: &mut Kernel,
    name: &str,
    address: std::net::SocketAddr,
    routes: Router,
) -> Result<(), String> {
    let listener = bw_http::bind(address).await.map_err(|error| error.to_string())?;
    kernel.start(name, |stop| bw_http::serve(listener, routes, stop));
    Ok(())
}

fn join_routes<I>(first: Router, others: I) -> Router
where
    I: IntoIterator<Item = Router>,
{
    others.into_iter().fold(first, |joined, other| joined.nest("/", other))
}

fn read_ini(path: &PathBuf) -> Result<IniFile, String> {
    let bytes = std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
    IniFile::parse_bytes(&path.display().to_string(), &bytes).map_err(|faults| faults.to_string())
}
