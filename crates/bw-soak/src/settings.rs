//! What a run is given, and the settings of its gateways.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use crate::check::Bounds;
use crate::stand_ins::COLD_RATE;

/// Time after an endpoint's notice that it is leaving from which it gets no request.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time from SIGTERM until the process is killed.
pub const GRACE: Duration = Duration::from_secs(8);
/// Factor on the requests a second that cold endpoints tolerate, and requests beyond that.
const COLD_EXCESS: (f64, f64) = (1.5, 5.0);

/// What a run is given.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the schedule and the load.
    pub seed: u64,
    /// Length of the load with faults.
    pub length: Duration,
    /// Number of gateways.
    pub gateways: usize,
    /// The gateway's program.
    pub program: PathBuf,
    /// Program of the release that gateways run at first, in a run with upgrades.
    pub old_program: Option<PathBuf>,
    /// Folder for the logs, which exists.
    pub folder: PathBuf,
}

/// Returns the bounds that follow from the settings.
pub fn bounds() -> Bounds {
    let cold = (COLD_RATE * COLD_EXCESS.0 + COLD_EXCESS.1) as usize;
    Bounds { drain: DRAIN, cold }
}

/// Returns the log file of a life of a gateway.
pub fn log_of(folder: &Path, index: usize, number: u32) -> PathBuf {
    folder.join(format!("gateway-{index}.{number}.log"))
}

/// Returns an address of a gateway, or of a link at `index`. Its network is derived from the process id, so that runs beside each
/// other do not meet, and gateways have the same ports, as their seeds require.
pub fn address(index: usize, port: u16) -> SocketAddr {
    const PORTS: u16 = 7_000;
    let id = std::process::id();
    let (high, low) = (1 + (id >> 8) % 250, id & 255);
    let ip = Ipv4Addr::new(127, high as u8, low as u8, index as u8 + 1);
    SocketAddr::from((ip, PORTS + port))
}

/// Returns the content of a gateway's settings file; `store` is its link to the store.
pub fn settings_text(options: &Options, index: usize, store: SocketAddr) -> String {
    let seeds: Vec<String> =
        (0..options.gateways).map(|index| address(index, 3).to_string()).collect();
    format!(
        "[gateway]\ninstance = gateway-{index}\ndata-centre = a\nregion = r\ncallers = {}\n\
         ready = {}\nmetrics = {}\nnews = {}\nseeds = {}\nplatform = http://{store}\n\
         grace-s = {}\nlinger-ms = 500\ndrain-ms = {}\n\
         cold-overshoot = {}\ncold-slack = {}\n",
        address(index, 0),
        address(index, 1),
        address(index, 2),
        address(index, 3),
        seeds.join(", "),
        GRACE.as_secs(),
        DRAIN.as_millis(),
        COLD_EXCESS.0,
        COLD_EXCESS.1,
    )
}
