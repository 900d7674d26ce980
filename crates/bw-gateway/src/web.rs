//! Readiness, metrics and the directory of addresses.

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
use crate::peers::PeerNews;
use crate::reload::LiveSettings;
use crate::waiting::Waiting;

/// Time for which callers may keep addresses at most; short, so that they soon miss a gateway that
/// has vanished.
const LIFETIME_MAX: Duration = Duration::from_secs(2);

/// What readiness depends on.
#[derive(Clone)]
pub struct Readiness {
    /// Requests that wait for endpoints.
    pub waiting: Waiting,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// The configuration.
    pub config: Config,
    /// The endpoints.
    pub endpoints: Endpoints,
    /// The other gateways.
    pub peers: PeerNews,
    /// Clock of the process.
    pub clock: BootClock,
    /// The settings in force.
    pub settings: LiveSettings,
}

impl Readiness {
    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let proof = self.config.proof_age(self.clock.now());
        let proved = proof.is_some_and(|age| age <= self.settings.proof_age_max());
        proved && !self.endpoints.is_empty() && !self.peers.is_leaving()
    }
}

impl Readiness {
    /// Brings the metrics up to date that nothing else sets.
    fn measure(&self) {
        let proof = self.config.proof_age(self.clock.now());
        self.metrics.set_state(self.waiting.len(), self.config.version().0, proof);
    }
}

/// Routes for the platform's checks.
pub fn ready_routes(readiness: Readiness) -> Router {
    let ready = move |_: Request| {
        let status =
            if readiness.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        async move { Ok(text_reply(status, String::new())) }
    };
    Router::new().get(READY_PATH, ready)
}

/// Routes for metrics.
pub fn metrics_routes(readiness: Readiness, metrics: Metrics) -> Router {
    let render = move |_: Request| {
        readiness.measure();
        let text = metrics.render();
        async move { Ok(text) }
    };
    Router::new().get("/metrics", render)
}

/// Routes for callers that ask where to connect.
pub fn directory_routes(
    peers: PeerNews,
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
    peers: &PeerNews,
    config: &Config,
    clock: BootClock,
    settings: &LiveSettings,
) -> Response {
    let lookup = decode_lookup(request.query_string().unwrap_or(""));
    let known = config.current().is_none_or(|catalog| catalog.has_host(&lookup.host));
    let lifetime = settings.get().lifetime.min(LIFETIME_MAX);
    let addresses = peers.caller_addresses(clock.now());
    if addresses.is_empty() || !known {
        return text_reply(StatusCode::SERVICE_UNAVAILABLE, "no address is known".to_string());
    }
    json_reply(StatusCode::OK, &encode_addresses(&addresses, lifetime))
}
