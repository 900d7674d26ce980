//! HTTP routes for readiness, for metrics and for the directory of gateway addresses.

use std::time::Duration;

use bw_adapter::directory::decode_lookup;
use bw_adapter::directory::encode_addresses;
use bw_adapter::directory::READY_PATH;
use bw_adapter::directory::RESOLVE_PATH;
use bw_http::json_reply;
use bw_http::text_reply;
use bw_kernel::BootClock;
use bw_kernel::Metrics;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Router;
use viz::StatusCode;

use crate::config::Config;
use crate::endpoints::Endpoints;
use crate::metrics::GatewayMetrics;
use crate::peers::SharedPeers;
use crate::reload::LiveSettings;
use crate::waiting::WaitQueues;

/// Upper bound on the time for which callers may cache addresses; short, so that callers soon drop
/// the address of a gateway that has vanished.
const LIFETIME_MAX: Duration = Duration::from_secs(2);

/// State that readiness and the gauges are derived from.
#[derive(Clone)]
pub struct Readiness {
    /// Queues of requests that wait for endpoints.
    pub waiting: WaitQueues,
    /// Metrics whose gauges are set when they are read.
    pub metrics: GatewayMetrics,
    /// Configuration in force.
    pub config: Config,
    /// Endpoints with their load and health.
    pub endpoints: Endpoints,
    /// State of this gateway and of its peers.
    pub peers: SharedPeers,
    /// Clock of the process.
    pub clock: BootClock,
    /// Settings in force.
    pub settings: LiveSettings,
}

impl Readiness {
    /// Returns whether callers should be sent to this gateway: its configuration is current, it knows
    /// endpoints and which data centres are evacuated, and it is not leaving.
    pub fn is_ready(&self) -> bool {
        self.config.is_current(&self.settings, self.clock.now())
            && !self.endpoints.is_empty()
            && self.endpoints.knows_evacuations()
            && !self.peers.is_leaving()
    }
}

impl Readiness {
    /// Updates the gauges, which nothing else sets.
    fn update_gauges(&self) {
        let proof = self.config.proof_age(self.clock.now());
        let (version, era) = (self.config.version().0, self.config.era());
        self.metrics.set_gauges(self.waiting.len(), version, proof, era);
        self.metrics.set_cold_gauges(self.endpoints.cold_totals(self.clock.now()));
        let (evacuated, age) = self.endpoints.evacuation_gauges(self.clock.now());
        self.metrics.set_evacuations(evacuated, age);
    }
}

/// Returns the routes for the platform's readiness checks.
pub fn ready_routes(readiness: Readiness) -> Router {
    let ready = move |_: Request| {
        let status =
            if readiness.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        async move { Ok(text_reply(status, String::new())) }
    };
    Router::new().get(READY_PATH, ready)
}

/// Returns the routes for reading the metrics.
pub fn metrics_routes(readiness: Readiness, metrics: Metrics) -> Router {
    let render = move |_: Request| {
        readiness.update_gauges();
        let text = metrics.render();
        async move { Ok(text) }
    };
    Router::new().get("/metrics", render)
}

/// Returns the routes of the directory, from which callers get the addresses of gateways.
pub fn directory_routes(
    peers: SharedPeers,
    config: Config,
    clock: BootClock,
    settings: LiveSettings,
) -> Router {
    let resolve = move |request: Request| {
        let reply = resolve(&request, &peers, &config, clock, &settings);
        async move { Ok(reply) }
    };
    Router::new().get(RESOLVE_PATH, resolve)
}

fn resolve(
    request: &Request,
    peers: &SharedPeers,
    config: &Config,
    clock: BootClock,
    settings: &LiveSettings,
) -> Response {
    let lookup = decode_lookup(request.query_string().unwrap_or(""));
    let known = config.current().is_none_or(|catalog| catalog.has_host(&lookup.host));
    let settings = settings.get();
    let lifetime = settings.address_lifetime.min(LIFETIME_MAX);
    let bound = config.current().is_some_and(|catalog| catalog.names_homes(&lookup.host));
    let local = |centre: &str| !bound || settings.region_of(centre) == Some(&lookup.region);
    let addresses = peers.caller_addresses(local, clock.now());
    if addresses.is_empty() || !known {
        return text_reply(StatusCode::SERVICE_UNAVAILABLE, "no address is known".to_string());
    }
    json_reply(StatusCode::OK, &encode_addresses(&addresses, lifetime))
}
