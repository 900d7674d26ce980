//! Settings of the agent.

use std::net::SocketAddr;
use std::time::Duration;

use bw_conf::fault::Faults;
use bw_conf::settings::check_kinds;
use bw_conf::settings::settings_section;
use bw_conf::IniFile;
use bw_conf::Section;
use bw_kernel::live::Live;
use bw_model::Name;

/// Checked settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Instance that the agent stands on.
    pub instance: Name,
    /// Address for entries and other agents.
    pub link: SocketAddr,
    /// Address for `/healthz` and `/metrics`.
    pub http: SocketAddr,
    /// Links of entries to ask first.
    pub entries: Vec<SocketAddr>,
    /// Base of the object API; asked when no entry answers.
    pub platform: Option<String>,
    /// Time between two heartbeats.
    pub beat: Duration,
    /// Longest wait for requests in flight while leaving.
    pub grace: Duration,
    /// Time for which records of requests that run at most once are kept.
    pub retention: Duration,
    /// Steps between a proposal and the switch.
    pub margin: u64,
    /// Log filter.
    pub log: String,
}

/// Puts settings into force; what belongs to open sockets and running services stays as it was.
///
/// Returns whether anything asks for a restart.
pub fn reload(live: &Live<Settings>, next: &Settings) -> bool {
    let mut restart = false;
    live.update(|current| {
        let merged = Settings { beat: next.beat, entries: next.entries.clone(), ..current.clone() };
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
        let mut faults = Faults::default();
        check_kinds(ini, &["agent"], &mut faults);
        let raw = settings_section(file, ini, "agent");
        let mut section = Section::new(&raw);
        let instance = section.required("instance", "the instance's name", &mut faults);
        let link = section.required("link", ADDRESS, &mut faults);
        let http = section.required("http", ADDRESS, &mut faults);
        let entries = address_list(&mut section, "entries", &mut faults);
        let platform = section.entry("platform").map(|entry| entry.value.clone());
        let beat = section.millis("beat-ms", (50, 60_000), 500, &mut faults);
        let grace = section.millis("grace-ms", (0, 24 * HOUR_MS), 600_000, &mut faults);
        let retention = section.millis("retention-ms", (1_000, 48 * HOUR_MS), HOUR_MS, &mut faults);
        let margin = section.ranged("switch-margin-steps", (1, 100_000), 40, &mut faults);
        let log = section.optional("log", "a log filter", "info".to_string(), &mut faults);
        section.finish(&mut faults);
        match (instance, link, http) {
            (Some(instance), Some(link), Some(http)) => faults.check(Self {
                instance,
                link,
                http,
                entries,
                platform,
                beat,
                grace,
                retention,
                margin,
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
