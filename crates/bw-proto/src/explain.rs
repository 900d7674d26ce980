//! Question of an operator to a gateway: where would this request go now, and why? As JSON over HTTP.

use serde::Deserialize;
use serde::Serialize;

/// Path of the gateway's explanations, on the address of its metrics.
pub const EXPLAIN_PATH: &str = "/explain";

/// A request that is not sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Question {
    /// Host of the request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Key of the caller, which the answer never repeats.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Workspace of the caller, instead of a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<String>,
    /// Number of tokens in the prompt.
    #[serde(default)]
    pub prompt: u32,
}

/// Where a request would go at the time of the question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Explanation {
    /// Gateway that answers.
    pub gateway: String,
    /// Version of the configuration in force; 0 if there is none.
    pub version: u64,
    /// Era of the store from which the configuration comes.
    pub era: u64,
    /// Milliseconds since the configuration is known to have been the newest.
    pub proof_age_ms: Option<u64>,
    /// Reason why the request would be refused before an endpoint is looked for.
    pub refused: Option<Refused>,
    /// Route of the request.
    pub route: Option<RouteView>,
    /// Workspace of the caller.
    pub workspace: Option<String>,
    /// Placement at each service that the route may select.
    pub services: Vec<ServiceView>,
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Refused {
    /// Reason code, as in logs and metrics.
    pub reason: String,
    /// HTTP status of the answer.
    pub status: u16,
    /// Milliseconds after which the caller is told to return, before jitter.
    pub retry_after_ms: Option<u64>,
}

/// Facts of a route that decide how its requests are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouteView {
    /// Name of the route.
    pub name: String,
    /// Path prefix of the route.
    pub prefix: String,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Milliseconds within which the answer should start.
    pub target_ms: u64,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum number of endpoints at which a request may run.
    pub attempts: u32,
}

/// What would happen to a request at one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceView {
    /// Name of the service.
    pub service: String,
    /// Part of the route's requests that go to the service, from 0 to 1.
    pub share: f64,
    /// Service order of the request; a lower number goes first.
    pub order: u8,
    /// Requests that wait for the service in this gateway.
    pub waiting: usize,
    /// Milliseconds for which waiting would be useful for the caller.
    pub useful_ms: u64,
    /// Milliseconds since the oldest news of other gateways' load that is used.
    pub news_age_ms: u64,
    /// What would be done with the request.
    pub verdict: Verdict,
    /// Endpoints of the service, the first [`ENDPOINTS_MAX`] by name.
    pub endpoints: Vec<EndpointView>,
    /// Number of endpoints of the service.
    pub endpoint_count: usize,
}

/// Endpoints listed for a service.
pub const ENDPOINTS_MAX: usize = 256;

/// What would be done with a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It would be sent to an endpoint at once.
    Send {
        /// Name of the endpoint.
        endpoint: String,
        /// Kind of slot, as `found=` in logs.
        slot: String,
    },
    /// It would wait in the gateway.
    Wait {
        /// Expected milliseconds until it is sent.
        expected_ms: u64,
    },
    /// It would be refused at once.
    Refuse(Refused),
}

/// An endpoint as the gateway sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EndpointView {
    /// Name of the endpoint.
    pub name: String,
    /// Data centre of the endpoint.
    pub centre: String,
    /// Whether it may get the request, or the reason why not, as in logs.
    pub state: String,
    /// Milliseconds until it may get requests again, if that is known.
    pub until_ms: Option<u64>,
    /// Known requests of all gateways at the endpoint.
    pub requests: u32,
    /// Known prompt tokens at the endpoint that are not read yet.
    pub unread: u32,
    /// Requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Factor by which it is slower than it should be.
    pub pace: f64,
}
