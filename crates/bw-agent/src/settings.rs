//! Settings file of the agent.

use std::net::SocketAddr;
use std::time::Duration;

use bw_conf::fault::Faults;
use bw_conf::settings::check_kinds;
use bw_conf::settings::settings_section;
use bw_conf::IniFile;
use bw_conf::Section;
use bw_kernel::live::Live;
use bw_model::Name;

/// Validated settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Instance that the agent runs on.
    pub instance: Name,
    /// Listening address for entries and other agents.
    pub link: SocketAddr,
    /// Listening address for `/healthz` and `/metrics`.
    pub http: SocketAddr,
    /// Link addresses of entries to contact before a configuration is known.
    pub entries: Vec<SocketAddr>,
    /// Base URL of the object store, which is read when no entry answers.
    pub platform: Option<String>,
    /// Time between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Longest wait for requests in flight during shutdown.
    pub grace: Duration,
    /// Time for which records of requests that may run only once are kept.
    pub retention: Duration,
    /// Maximum size of the answer to such a request, in bytes.
    pub answer: usize,
    /// Engine steps between a proposal and the switch.
    pub margin_steps: u64,
    /// Log filter.
    pub log: String,
}

/// Applies the settings that can change at run time: the heartbeat interval and the entries. The
/// others belong to open sockets and running services and keep their values.
///
/// Returns true if any other setting changed, which takes effect only after a restart.
pub fn reload(live: &Live<Settings>, next: &Settings) -> bool {
    let mut restart = false;
    live.update(|current| {
        let merged = Settings {
            heartbeat_interval: next.heartbeat_interval,
            entries: next.entries.clone(),
            ..current.clone()
        };
        restart = merged != *next;
        merged
    });
    restart
}

impl TryFrom<(&str, &IniFile)> for Settings {
    type Error = Faults;

    fn try_from((file, ini): (&str, &IniFile)) -> Result<Self, Faults> {
        const ADDRESS: &str = "an address such as 10.0.0.7:7000";
        const HOUR_MS: u64 = 3_600_000;
        const MIB: usize = 1 << 20;
        let mut faults = Faults::default();
        check_kinds(ini, &["agent"], &mut faults);
        let raw = settings_section(file, ini, "agent");
        let mut section = Section::new(&raw);
        let instance = section.required("instance", "the instance's name", &mut faults);
        let link = section.required("link", ADDRESS, &mut faults);
        let http = section.required("http", ADDRESS, &mut faults);
        let entries = address_list(&mut section, "entries", &mut faults);
        let platform = section.property("platform").map(|property| property.value.clone());
        let heartbeat_interval = section.millis("beat-ms", (50, 60_000), 500, &mut faults);
        let grace = section.millis("grace-ms", (0, 24 * HOUR_MS), 600_000, &mut faults);
        let retention = section.millis("retention-ms", (1_000, 48 * HOUR_MS), HOUR_MS, &mut faults);
        let answer = section.ranged("answer-bytes", (1_024, 256 * MIB), 32 * MIB, &mut faults);
        let margin_steps = section.ranged("switch-margin-steps", (1, 100_000), 40, &mut faults);
        let log = section.optional("log", "a log filter", "info".to_string(), &mut faults);
        section.finish(&mut faults);
        match (instance, link, http) {
            (Some(instance), Some(link), Some(http)) => faults.check(Self {
                instance,
                link,
                http,
                entries,
                platform,
                heartbeat_interval,
                grace,
                retention,
                answer,
                margin_steps,
                log,
            }),
            _ => Err(faults),
        }
    }
}

fn address_list(
    section: &mut Section<'_>,
    key: &'static str,
    faults: &mut Faults,
) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for text in section.list(key) {
        match text.parse() {
            Ok(address) => addresses.push(address),
            Err(_) => {
                section.report_reference(key, &text, "addresses such as 10.0.0.7:7000", faults);
            }
        }
    }
    addresses
}
