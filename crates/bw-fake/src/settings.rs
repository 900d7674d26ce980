//! Settings of the fakes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bw_conf::fault::Faults;
use bw_conf::settings::check_kinds;
use bw_conf::settings::settings_section;
use bw_conf::IniFile;
use bw_conf::Section;

/// Checked settings of `bw-fake`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the object store and of the control calls.
    pub listen: SocketAddr,
    /// Inventory and rules of the fleet whose engines and services are faked.
    pub files: Vec<PathBuf>,
    /// Rate limit of the object store, in calls per second.
    pub call_rate: f64,
    /// Lag of the instance list; accepted, but not applied by any fake.
    pub list_lag: Duration,
    /// Duration of one engine step.
    pub step_time: Duration,
    /// Duration of one call to a plain service.
    pub service_time: Duration,
    /// Read rate of the weight store, in bytes per second.
    pub weight_rate: f64,
    /// Seed of the random number generators.
    pub seed: u64,
}

impl TryFrom<(&str, &IniFile)> for Settings {
    type Error = Faults;

    fn try_from((file, ini): (&str, &IniFile)) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        check_kinds(ini, &["fake"], &mut faults);
        let raw = settings_section(file, ini, "fake");
        let mut section = Section::new(&raw);
        let listen = section.required("listen", "an address such as 127.0.0.1:6443", &mut faults);
        let files = section.list("fleet").into_iter().map(PathBuf::from).collect();
        let settings = listen.map(|listen| Settings {
            listen,
            files,
            call_rate: section.ranged(
                "platform-calls-per-second",
                (1.0, 1e6),
                2_000.0,
                &mut faults,
            ),
            list_lag: section.millis("list-lag-ms", (0, 600_000), 5_000, &mut faults),
            step_time: section.millis("step-ms", (1, 60_000), 6, &mut faults),
            service_time: section.millis("service-ms", (0, 60_000), 20, &mut faults),
            weight_rate: section.ranged("weight-bytes-per-second", (1.0, 1e12), 1e9, &mut faults),
            seed: section.ranged("seed", (0, u64::MAX), 1, &mut faults),
        });
        section.finish(&mut faults);
        match settings {
            Some(settings) => faults.check(settings),
            None => Err(faults),
        }
    }
}
