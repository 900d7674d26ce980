//! State of a request while it is forwarded.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use bw_direct::attempts::Attempts;
use bw_direct::attempts::SendEnd;
use bw_direct::catalog::Route;
use bw_direct::catalog::RouteKey;
use bw_direct::catalog::Workspace;
use bw_direct::catalog::WorkspaceKey;
use bw_direct::endpoint::EndpointKey;
use bw_direct::homes::Homes;
use bw_direct::request::CallerHead;
use bw_direct::urgency::Sending;
use bw_direct::Catalog;
use bw_model::hash::Fingerprints;
use bytes::Bytes;
use hyper::http::request;
use smallvec::SmallVec;
use tokio::sync::OwnedSemaphorePermit;

use crate::placement::Origin;
use crate::placement::PlacementRequest;
use crate::retries::Retry;
use crate::waiting::PlacedRequest;

/// A request that is being forwarded.
pub struct Job {
    /// Head as received.
    pub parts: request::Parts,
    /// Decoded head.
    pub head: CallerHead,
    /// Complete body.
    pub body: Bytes,
    /// Hashes by which the same request is recognized under another attempt id.
    pub fingerprints: Fingerprints,
    /// Reservation of the memory that the body occupies.
    pub _memory: OwnedSemaphorePermit,
    /// Configuration at the time of arrival.
    pub catalog: Arc<Catalog>,
    /// Key of the route in `catalog`.
    pub route: RouteKey,
    /// Key of the caller's workspace in `catalog`.
    pub workspace: Option<WorkspaceKey>,
    /// Service order, first by workspace and then by route; a lower number is served first.
    pub order: u8,
    /// Service that was selected among the route's targets.
    pub service: String,
    /// Time of arrival.
    pub arrived_at: Duration,
    /// Time by which the request must be answered.
    pub deadline: Duration,
    /// History of the sends.
    pub attempts: Attempts,
    /// Retry that was granted and has not been sent, or whose send has not ended.
    pub retry: Option<Retry>,
    /// Endpoints that the request was sent to.
    pub tried: SmallVec<[EndpointKey; 4]>,
    /// Priority of the last send at its endpoint.
    pub priority: Option<u8>,
    /// Regions in which the request may run.
    pub homes: Homes,
    /// Results of the sends, each followed by a space, for the log.
    pub trace: String,
}

impl Job {
    /// Returns the route from the configuration at the time of arrival.
    pub fn route(&self) -> &Route {
        &self.catalog.routes[self.route]
    }

    /// Returns the caller's workspace.
    pub fn workspace(&self) -> Option<&Workspace> {
        self.workspace.map(|key| &self.catalog.workspaces[key])
    }

    /// Returns the name of the caller's workspace.
    pub fn workspace_name(&self) -> Option<&str> {
        self.workspace().map(|workspace| workspace.name.as_str())
    }

    /// Returns the number of tokens in the prompt; zero if the caller did not state it.
    pub fn prompt(&self) -> u32 {
        self.head.tokens.map_or(0, |tokens| tokens.prompt)
    }

    /// Returns the request for a place at an endpoint, for a caller that has waited since `since`.
    pub fn placement_request(&self, since: Duration) -> PlacementRequest {
        let origin = Origin {
            catalog: &self.catalog,
            route: self.route(),
            workspace: self.workspace(),
            service: &self.service,
        };
        let request = PlacementRequest::new(origin, since);
        PlacementRequest {
            deadline: self.deadline.min(request.deadline),
            prompt: self.prompt(),
            exclude: self.tried.clone(),
            fingerprint: self.fingerprints.caller,
            ..request
        }
    }

    /// Sets the priority of the next send, to an endpoint that usually starts to answer after `usual`; there is
    /// none if the requests of the service do not differ in urgency.
    pub fn set_priority(&mut self, last_event: Option<u64>, usual: Duration, now: Duration) {
        let scale = self.catalog.urgency(&self.service);
        let sending = Sending {
            order: self.order,
            in_time: now + usual <= self.arrived_at + self.route().target,
            resumed: last_event.is_some(),
            draw: rand::random(),
        };
        self.priority = scale.map(|scale| scale.priority(&sending));
    }

    /// Appends the result of a send to the trace.
    pub fn record_send(
        &mut self,
        placed: &PlacedRequest,
        end: Result<(), (SendEnd, &str)>,
        took: Duration,
    ) {
        let chosen = &placed.chosen;
        let result = match end {
            Ok(()) => "ok".to_string(),
            Err((end, reason)) => format!("{end:?}({})", reason.replace([' ', ']', ','], "_")),
        };
        // Writing to a `String` cannot fail.
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
        if let Some(priority) = self.priority {
            let (rate, elsewhere) =
                placed.room.map_or((0.0, 0), |room| (room.rate, room.elsewhere));
            self.append_trace(&format!(
                "priority={priority}:order={}:urgent_per_s={rate:.1}:elsewhere={elsewhere}",
                self.order
            ));
        }
    }

    /// Appends `text` to the trace; spaces and brackets would break its format and are replaced.
    pub fn append_trace(&mut self, text: &str) {
        self.trace.push_str(&text.replace([' ', ']'], "_"));
        self.trace.push(' ');
    }
}
