//! Settings of the gateway.

use std::net::SocketAddr;
use std::time::Duration;

use bw_conf::fault::Faults;
use bw_conf::settings::check_kinds;
use bw_conf::settings::settings_section;
use bw_conf::IniFile;
use bw_conf::Section;
use bw_model::Name;

/// Checked settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Instance that the gateway stands on.
    pub instance: Name,
    /// Data centre of the instance.
    pub centre: Name,
    /// Region of the data centre.
    pub region: Name,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the platform asks whether the gateway is ready.
    pub ready: SocketAddr,
    /// Address for metrics; absent where nobody reads them.
    pub metrics: Option<SocketAddr>,
    /// Address at which callers ask for addresses; absent where others answer them.
    pub directory: Option<SocketAddr>,
    /// Address for news of other gateways.
    pub news: SocketAddr,
    /// Addresses of some gateways that may be running; only their hosts matter.
    pub seeds: Vec<SocketAddr>,
    /// Base of the object store.
    pub platform: String,
    /// Calls a second to the object store.
    pub rate: f64,
    /// Memory that the process may use, in megabytes.
    pub memory: u64,
    /// Descriptors that the process may open.
    pub descriptors: u64,
    /// Time from SIGTERM until the process is killed.
    pub grace: Duration,
    /// Time after SIGTERM in which new connections are still taken, since callers keep addresses.
    pub linger: Duration,
    /// Time after which a leaving endpoint gets no new work.
    pub drain: Duration,
    /// Time in which an accepted configuration has to be in force.
    pub apply: Duration,
    /// Time after which a key that was taken away opens nothing.
    pub revoke: Duration,
    /// Time without trouble after which an instance counts as undisturbed.
    pub contact: Duration,
    /// Repeats that each request earns in the window.
    pub ratio: f64,
    /// Repeats allowed in the window beyond what requests earn, over all gateways.
    pub slack: f64,
    /// Window of the retry budget.
    pub window: Duration,
    /// Time for which callers may keep an address at most.
    pub lifetime: Duration,
    /// Log filter.
    pub log: String,
}

const ADDRESS: &str = "an address such as 10.0.0.7:7000";

/// An address that may be left out or empty.
fn optional_address(
    section: &mut Section<'_>,
    key: &'static str,
    faults: &mut Faults,
) -> Option<SocketAddr> {
    let given = section.entry(key).is_some_and(|entry| !entry.value.is_empty());
    if given {
        section.required(key, ADDRESS, faults)
    } else {
        None
    }
}

impl TryFrom<(&str, &IniFile)> for Settings {
    type Error = Faults;

    fn try_from((file, ini): (&str, &IniFile)) -> Result<Self, Faults> {
        const NAME: &str = "a name of 1 to 63 letters, digits, '-', '_' or '.'";
        const MINUTE: u64 = 60_000;
        let mut faults = Faults::default();
        check_kinds(ini, &["gateway"], &mut faults);
        let raw = settings_section(file, ini, "gateway");
        let mut section = Section::new(&raw);
        let instance = section.required("instance", NAME, &mut faults);
        let centre = section.required("data-centre", NAME, &mut faults);
        let region = section.required("region", NAME, &mut faults);
        let callers = section.required("callers", ADDRESS, &mut faults);
        let ready = section.required("ready", ADDRESS, &mut faults);
        let metrics = optional_address(&mut section, "metrics", &mut faults);
        let directory = optional_address(&mut section, "directory", &mut faults);
        let news = section.required("news", ADDRESS, &mut faults);
        let mut seeds = Vec::new();
        for text in section.list("seeds") {
            match text.parse() {
                Ok(seed) => seeds.push(seed),
                Err(_) => section.fault_reference("seeds", &text, ADDRESS, &mut faults),
            }
        }
        let platform = section.required("platform", "the object store's address", &mut faults);
        let rate = section.ranged("platform-calls-per-second", (0.1, 1e4), 25.0, &mut faults);
        let memory = section.ranged("memory-mb", (16, 1_048_576), 256, &mut faults);
        let descriptors = section.ranged("descriptors", (256, 1_048_576), 4_096, &mut faults);
        let grace = section.ranged("grace-s", (0.0, 3_600.0), 8.0, &mut faults);
        let linger = section.millis("linger-ms", (0, MINUTE), 2_500, &mut faults);
        let drain = section.millis("drain-ms", (0, MINUTE), 2_000, &mut faults);
        let apply = section.millis("config-apply-ms", (100, MINUTE), 2_000, &mut faults);
        let revoke = section.millis("revoke-ms", (100, MINUTE), 5_000, &mut faults);
        let contact = section.millis("contact-ms", (100, MINUTE), 3_000, &mut faults);
        let ratio = section.ranged("retry-ratio", (0.0, 1.0), 0.2, &mut faults);
        let slack = section.ranged("retry-slack", (0.0, 1e6), 50.0, &mut faults);
        let window = section.ranged("retry-window-s", (1.0, 600.0), 10.0, &mut faults);
        let lifetime = section.ranged("address-lifetime-s", (1.0, 600.0), 5.0, &mut faults);
        let log = section.optional("log", "a log filter", "info".to_string(), &mut faults);
        section.finish(&mut faults);
        let needed = (instance, centre, region, callers, ready, news, platform);
        let (
            Some(instance),
            Some(centre),
            Some(region),
            Some(callers),
            Some(ready),
            Some(news),
            Some(platform),
        ) = needed
        else {
            return Err(faults);
        };
        faults.check(Self {
            instance,
            centre,
            region,
            callers,
            ready,
            metrics,
            directory,
            news,
            seeds,
            platform,
            rate,
            memory,
            descriptors,
            grace: Duration::from_secs_f64(grace),
            linger,
            drain,
            apply,
            revoke,
            contact,
            ratio,
            slack,
            window: Duration::from_secs_f64(window),
            lifetime: Duration::from_secs_f64(lifetime),
            log,
        })
    }
}
