//! What a request asks of the queue and of the endpoint that it is placed at.

use std::time::Duration;

use bw_direct::catalog::service_order;
use bw_direct::catalog::Route;
use bw_direct::catalog::Workspace;
use bw_direct::endpoint::EndpointKey;
use bw_direct::homes::Homes;
use bw_direct::room::RoomNeed;
use bw_direct::wait_limits;
use bw_direct::Catalog;
use bw_model::hash::rendezvous_weight;
use smallvec::SmallVec;

/// Properties of a request that decide its place in the queue and its endpoint.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Service that the request is for.
    pub service: String,
    /// Hash of the name of the caller's workspace.
    pub workspace: u64,
    /// Service order; a lower number is served first.
    pub order: u8,
    /// Time by which the answer should start.
    pub target: Duration,
    /// Latest time at which starting the request is still useful.
    pub deadline: Duration,
    /// Number of tokens in the prompt.
    pub prompt: u32,
    /// Endpoints that the request must not be placed at.
    pub exclude: SmallVec<[EndpointKey; 4]>,
    /// Regions of the endpoints that the request may be placed at.
    pub homes: Homes,
    /// Hash that identifies the same request of the same caller.
    pub fingerprint: u64,
    /// Whether the requests of the service differ in urgency.
    pub ranked: bool,
    /// Whether the request leaves an endpoint that delays its whole group. It then goes before all that wait,
    /// and beyond the slots of another endpoint if need be.
    pub displaced: bool,
    /// Room to leave to more urgent requests, if any; set by the queue.
    pub room: Option<RoomNeed>,
}

/// What a configuration says of a request, by which it is placed.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'a> {
    /// Configuration at the time of arrival.
    pub catalog: &'a Catalog,
    /// Route of the request.
    pub route: &'a Route,
    /// Workspace of the caller.
    pub workspace: Option<&'a Workspace>,
    /// Service that was selected among the route's targets.
    pub service: &'a str,
}

impl PlacementRequest {
    /// Returns a request without a prompt for a caller that has waited since `since`.
    pub fn new(origin: Origin<'_>, since: Duration) -> Self {
        let Origin { catalog, route, workspace, service } = origin;
        let name = workspace.map_or("", |workspace| workspace.name.as_str());
        Self {
            service: service.to_string(),
            workspace: rendezvous_weight("workspace", name),
            order: service_order(workspace.map(|workspace| workspace.priority), route.priority),
            target: since + route.target,
            deadline: since + wait_limits::wait_max(route),
            prompt: 0,
            exclude: SmallVec::new(),
            homes: Homes::of(&route.homes, workspace.map_or(&[], |workspace| &workspace.homes)),
            fingerprint: 0,
            ranked: catalog.urgency(service).is_some(),
            displaced: false,
            room: None,
        }
    }

    /// Returns the request of a resumed stream, whose caller already reads: it goes before all others if the
    /// requests of its service differ in urgency.
    pub fn resumed(self) -> Self {
        let order = if self.ranked { 0 } else { self.order };
        Self { order, ..self }
    }
}
