//! One request on its way, with what is logged of it.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use bw_direct::attempts::Attempts;
use bw_direct::attempts::SendEnd;
use bw_direct::catalog::Route;
use bw_direct::catalog::RouteKey;
use bw_direct::endpoint::EndpointKey;
use bw_direct::request::CallerHead;
use bw_direct::wait_limits;
use bw_direct::Catalog;
use bw_model::hash::rendezvous_weight;
use bytes::Bytes;
use hyper::http::request;
use smallvec::SmallVec;
use tokio::sync::OwnedSemaphorePermit;

use crate::waiting::Placement;
use crate::waiting::PlacementRequest;

/// Service order of callers without a workspace.
const ORDER_PUBLIC: u8 = 5;
/// Routes that a workspace's order leaves room for.
const ROUTE_ORDERS: u8 = 16;

/// A request on its way.
pub struct Job {
    /// Head of the request as it came.
    pub parts: request::Parts,
    /// What was read from it.
    pub head: CallerHead,
    /// Its body.
    pub body: Bytes,
    /// Hash of workspace, path and body, which recognizes a repeat under another id.
    pub fingerprint: u64,
    /// Memory that the body takes.
    pub _memory: OwnedSemaphorePermit,
    /// The configuration when it came.
    pub catalog: Arc<Catalog>,
    /// Its route.
    pub route: RouteKey,
    /// Workspace of the caller.
    pub workspace: Option<String>,
    /// Service order: the workspace's, then the route's.
    pub order: u8,
    /// Service that serves it.
    pub service: String,
    /// When it came.
    pub arrived: Duration,
    /// When it has to be answered.
    pub deadline: Duration,
    /// Its sends so far.
    pub attempts: Attempts,
    /// Endpoints that it was sent to.
    pub tried: SmallVec<[EndpointKey; 4]>,
    /// What became of each send.
    pub trace: String,
}

impl Job {
    /// The request's route.
    pub fn route(&self) -> &Route {
        &self.catalog.routes[self.route]
    }

    /// Tokens of the prompt.
    pub fn prompt(&self) -> u32 {
        self.head.tokens.map_or(0, |tokens| tokens.prompt)
    }

    /// What the queue needs to know, for a caller that has waited since `since`.
    pub fn ask(&self, since: Duration) -> PlacementRequest {
        let useful = since + wait_limits::wait_max(self.route());
        PlacementRequest {
            service: self.service.clone(),
            workspace: rendezvous_weight("workspace", self.workspace.as_deref().unwrap_or("")),
            order: self.order,
            target: since + self.route().target,
            deadline: self.deadline.min(useful),
            prompt: self.prompt(),
            exclude: self.tried.clone(),
        }
    }

    /// Notes how a send ended, for the log.
    pub fn note_send(
        &mut self,
        placed: &Placement,
        end: Result<(), (SendEnd, &str)>,
        took: Duration,
    ) {
        let chosen = &placed.chosen;
        let result = match end {
            Ok(()) => "ok".to_string(),
            Err((end, reason)) => format!("{end:?}({})", reason.replace([' ', ']', ','], "_")),
        };
        // Writing to a string does not fail.
        let _ = write!(
            self.trace,
            "{}:{result}:found={:?}:load={}:news_age_ms={}:waited_ms={}:took_ms={} ",
            chosen.name,
            chosen.slot_kind,
            chosen.work.requests,
            chosen.news_age.as_millis(),
            placed.waited.as_millis(),
            took.as_millis()
        );
    }

    /// Notes something else for the log.
    pub fn note(&mut self, text: &str) {
        self.trace.push_str(&text.replace([' ', ']'], "_"));
        self.trace.push(' ');
    }
}

/// The service order of a workspace's requests on a route.
pub fn service_order(workspace: Option<u8>, route: u8) -> u8 {
    let workspace = workspace.unwrap_or(ORDER_PUBLIC).min(ROUTE_ORDERS - 1);
    workspace * ROUTE_ORDERS + route.min(ROUTE_ORDERS - 1)
}
