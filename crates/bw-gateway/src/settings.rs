//! Settings of the gateway, read from the `[gateway]` section of an INI file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bw_conf::fault::Faults;
use bw_conf::settings::check_kinds;
use bw_conf::settings::settings_section;
use bw_conf::IniFile;
use bw_conf::Section;
use bw_model::Name;

/// Settings that passed all checks.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Instance that the gateway runs on.
    pub instance: Name,
    /// Data centre of the instance.
    pub centre: Name,
    /// Region of the data centre.
    pub region: Name,
    /// Regions of other data centres, by the data centre.
    pub regions: BTreeMap<Name, Name>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the platform checks the gateway's readiness.
    pub ready: SocketAddr,
    /// Address for reading metrics; `None` if metrics are not served.
    pub metrics: Option<SocketAddr>,
    /// Address of the directory, from which callers get the addresses of gateways; `None` if
    /// another process serves it.
    pub directory: Option<SocketAddr>,
    /// Address for news from other gateways.
    pub news: SocketAddr,
    /// Addresses of some gateways that may be running; their ports are ignored.
    pub seeds: Vec<SocketAddr>,
    /// Base address of the object store.
    pub platform: String,
    /// Permitted rate of calls to the object store, per second.
    pub rate: f64,
    /// Memory limit of the process in megabytes.
    pub memory: u64,
    /// Limit on the file descriptors of the process.
    pub descriptors: u64,
    /// Time from SIGTERM until the platform kills the process.
    pub grace: Duration,
    /// Time after SIGTERM during which new connections are still accepted, since callers cache
    /// addresses.
    pub linger: Duration,
    /// Width of the instance's network link, in Mbit/s.
    pub link: f64,
    /// Share of a processor that the gateway may use.
    pub share: f64,
    /// Time after an endpoint's first notice that it is leaving from which it must get no request.
    pub drain: Duration,
    /// Time limit for putting an accepted configuration into force.
    pub apply: Duration,
    /// Time limit after which a revoked key is no longer accepted.
    pub revoke: Duration,
    /// Time after which an evacuated data centre must get nothing; `None` if the deployment has no
    /// evacuations.
    pub evacuation: Option<Duration>,
    /// Retries that each request adds to the budget in the window.
    pub retry_ratio: f64,
    /// Retries permitted in the window beyond those that requests add, over all gateways.
    pub retry_slack: f64,
    /// Length of the retry budget's window.
    pub retry_window: Duration,
    /// Upper bound on the time for which callers may cache an address.
    pub address_lifetime: Duration,
    /// Factor on what cold endpoints tolerate that they may get in any second; `None` if cold endpoints get as
    /// many requests as others.
    pub cold_overshoot: Option<f64>,
    /// Requests that a cold endpoint may get beyond that in any second.
    pub cold_slack: Option<f64>,
    /// Log filter.
    pub log: String,
}

const REGION_OF: &str = "a data centre and its region, such as north-a:north";
const ADDRESS: &str = "an address such as 10.0.0.7:7000";

/// Reads an address whose key may be absent or empty.
fn optional_address(
    section: &mut Section<'_>,
    key: &'static str,
    faults: &mut Faults,
) -> Option<SocketAddr> {
    let given = section.property(key).is_some_and(|property| !property.value.is_empty());
    if given {
        section.required(key, ADDRESS, faults)
    } else {
        None
    }
}

/// Reads a number in a range, whose key may be absent or empty.
fn optional_number(
    section: &mut Section<'_>,
    key: &'static str,
    range: (f64, f64),
    faults: &mut Faults,
) -> Option<f64> {
    let given = section.property(key).is_some_and(|property| !property.value.is_empty());
    given.then(|| section.ranged(key, range, range.0, faults))
}

impl Settings {
    /// Returns the region of a data centre; `None` if the settings do not say it.
    pub fn region_of(&self, centre: &str) -> Option<&str> {
        if self.centre.as_str() == centre {
            return Some(self.region.as_str());
        }
        let known = self.regions.iter().find(|(other, _)| other.as_str() == centre);
        known.map(|(_, region)| region.as_str())
    }
}

/// Reads a time in milliseconds whose key may be absent or empty.
fn optional_millis(
    section: &mut Section<'_>,
    key: &'static str,
    range: (u64, u64),
    faults: &mut Faults,
) -> Option<Duration> {
    let given = section.property(key).is_some_and(|property| !property.value.is_empty());
    given.then(|| section.millis(key, range, range.1, faults))
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
        let mut regions = BTreeMap::new();
        for text in section.list("regions") {
            let names =
                text.split_once(':').map(|(centre, region)| (centre.parse(), region.parse()));
            match names {
                Some((Ok(centre), Ok(region))) => drop(regions.insert(centre, region)),
                _ => section.report_reference("regions", &text, REGION_OF, &mut faults),
            }
        }
        let callers = section.required("callers", ADDRESS, &mut faults);
        let ready = section.required("ready", ADDRESS, &mut faults);
        let metrics = optional_address(&mut section, "metrics", &mut faults);
        let directory = optional_address(&mut section, "directory", &mut faults);
        let news = section.required("news", ADDRESS, &mut faults);
        let mut seeds = Vec::new();
        for text in section.list("seeds") {
            match text.parse() {
                Ok(seed) => seeds.push(seed),
                Err(_) => section.report_reference("seeds", &text, ADDRESS, &mut faults),
            }
        }
        let platform = section.required("platform", "the object store's address", &mut faults);
        let rate = section.ranged("platform-calls-per-second", (0.1, 1e4), 25.0, &mut faults);
        let memory = section.ranged("memory-mb", (16, 1_048_576), 256, &mut faults);
        let descriptors = section.ranged("descriptors", (256, 1_048_576), 4_096, &mut faults);
        let link = section.ranged("link-mbps", (0.001, 1e7), 1_000.0, &mut faults);
        let share = section.ranged("processor-share", (0.001, 1_024.0), 1.0, &mut faults);
        let grace = section.ranged("grace-s", (0.0, 3_600.0), 8.0, &mut faults);
        let linger = section.millis("linger-ms", (0, MINUTE), 2_500, &mut faults);
        let drain = section.millis("drain-ms", (0, MINUTE), 2_000, &mut faults);
        let apply = section.millis("config-apply-ms", (100, MINUTE), 2_000, &mut faults);
        let revoke = section.millis("revoke-ms", (100, MINUTE), 5_000, &mut faults);
        let evacuation = optional_millis(&mut section, "evacuation-ms", (100, MINUTE), &mut faults);
        let retry_ratio = section.ranged("retry-ratio", (0.0, 1.0), 0.2, &mut faults);
        let retry_slack = section.ranged("retry-slack", (0.0, 1e6), 50.0, &mut faults);
        let retry_window = section.ranged("retry-window-s", (1.0, 600.0), 10.0, &mut faults);
        let address_lifetime = section.ranged("address-lifetime-s", (1.0, 600.0), 5.0, &mut faults);
        let cold_overshoot =
            optional_number(&mut section, "cold-overshoot", (0.0, 1e3), &mut faults);
        let cold_slack = optional_number(&mut section, "cold-slack", (0.0, 1e6), &mut faults);
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
            regions,
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
            link,
            share,
            grace: Duration::from_secs_f64(grace),
            linger,
            drain,
            apply,
            revoke,
            evacuation,
            retry_ratio,
            retry_slack,
            retry_window: Duration::from_secs_f64(retry_window),
            address_lifetime: Duration::from_secs_f64(address_lifetime),
            cold_overshoot,
            cold_slack,
            log,
        })
    }
}
