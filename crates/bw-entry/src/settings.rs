//! Settings of the entry, read from the `[entry]` section of its settings file.

use std::net::SocketAddr;
use std::time::Duration;

use bw_conf::fault::Faults;
use bw_conf::settings::check_kinds;
use bw_conf::settings::settings_section;
use bw_conf::IniFile;
use bw_conf::Section;
use bw_kernel::live::Live;
use bw_model::Name;

/// Validated settings of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Instance on which the entry runs.
    pub instance: Name,
    /// Data centre of the instance.
    pub centre: Name,
    /// Listen address for callers (HTTP).
    pub http: SocketAddr,
    /// Listen address for links from agents and other entries.
    pub link: SocketAddr,
    /// Base address of the object store.
    pub platform: String,
    /// Maximum rate of calls to the object store, per second.
    pub platform_rate: f64,
    /// Link addresses of other entries that are queried before a configuration is known.
    pub peers: Vec<SocketAddr>,
    /// Time between two rounds of digests.
    pub digest_interval: Duration,
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum size of an answer that is not streamed, in bytes.
    pub answer: usize,
    /// Timeout of a request for which the caller gives none.
    pub timeout: Duration,
    /// Longest time without progress of an endpoint that is answering.
    pub progress: Duration,
    /// Longest wait for requests in flight when the process stops.
    pub grace: Duration,
    /// Time for which claims of idempotency keys are kept.
    pub retention: Duration,
    /// Time between two plans for a group; zero disables planning.
    pub plan_interval: Duration,
    /// Log filter.
    pub log: String,
}

/// Applies the settings that can change at run time. Those of open sockets and running services keep
/// their values.
///
/// Returns whether another setting differs, which needs a restart.
pub fn reload(live: &Live<Settings>, next: &Settings) -> bool {
    let mut restart = false;
    live.update(|current| {
        let merged = Settings {
            body: next.body,
            answer: next.answer,
            timeout: next.timeout,
            progress: next.progress,
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
        const NAME: &str = "a name of 1 to 63 letters, digits, '-', '_' or '.'";
        const MINUTE: u64 = 60_000;
        const HOUR: u64 = 60 * MINUTE;
        const MIB: usize = 1024 * 1024;
        let mut faults = Faults::default();
        check_kinds(ini, &["entry"], &mut faults);
        let raw = settings_section(file, ini, "entry");
        let mut section = Section::new(&raw);
        let instance = section.required("instance", NAME, &mut faults);
        let centre = section.required("data-centre", NAME, &mut faults);
        let http = section.required("http", ADDRESS, &mut faults);
        let link = section.required("link", ADDRESS, &mut faults);
        let platform = section.required("platform", "the object store's address", &mut faults);
        let platform_rate =
            section.ranged("platform-calls-per-second", (0.1, 1e4), 50.0, &mut faults);
        let mut peers = Vec::new();
        for text in section.list("peers") {
            match text.parse() {
                Ok(peer) => peers.push(peer),
                Err(_) => section.report_reference("peers", &text, ADDRESS, &mut faults),
            }
        }
        let digest_interval = section.millis("digest-ms", (50, MINUTE), 500, &mut faults);
        let body = section.ranged("body-bytes", (1_024, 16 * MIB), 8 * MIB, &mut faults);
        let answer = section.ranged("answer-bytes", (1_024, 256 * MIB), 32 * MIB, &mut faults);
        let timeout = section.millis("timeout-ms", (100, 24 * HOUR), 2 * MINUTE, &mut faults);
        let progress = section.millis("progress-ms", (100, HOUR), 20_000, &mut faults);
        let grace = section.millis("grace-ms", (0, 24 * HOUR), 10 * MINUTE, &mut faults);
        let retention = section.millis("retention-ms", (1_000, 48 * HOUR), HOUR, &mut faults);
        let plan_interval = section.millis("plan-ms", (0, 24 * HOUR), 5_000, &mut faults);
        let log = section.optional("log", "a log filter", "info".to_string(), &mut faults);
        section.finish(&mut faults);
        match (instance, centre, http, link, platform) {
            (Some(instance), Some(centre), Some(http), Some(link), Some(platform)) => {
                faults.check(Self {
                    instance,
                    centre,
                    http,
                    link,
                    platform,
                    platform_rate,
                    peers,
                    digest_interval,
                    body,
                    answer,
                    timeout,
                    progress,
                    grace,
                    retention,
                    plan_interval,
                    log,
                })
            }
            _ => Err(faults),
        }
    }
}
