//! Control API: switches fault injection on and off, and returns counters.

use std::collections::BTreeMap;
use std::time::Duration;

use bw_http::json_reply;
use bw_http::read_body;
use bw_http::text_reply;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Result;
use viz::Router;
use viz::StatusCode;

use crate::engine::Group;
use crate::platform::Faults;
use crate::platform::Platform;
use crate::service::RunCounter;

const BODY_BYTES_MAX: usize = 65_536;
const BODY_LIMIT: Duration = Duration::from_secs(5);

/// A fault to inject into one group.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GroupFault {
    /// Stops all ranks for the given number of milliseconds.
    Stall(u64),
    /// Kills the engine process.
    Kill,
}

/// The fakes that the control calls act on.
#[derive(Clone)]
pub struct Control {
    /// The object store.
    pub platform: Platform,
    /// Groups by name.
    pub groups: BTreeMap<String, Group>,
    /// Number of runs of each request.
    pub run_counter: RunCounter,
}

impl Control {
    /// Returns the routes under `/control`.
    pub fn routes(&self) -> Router {
        let control = self.clone();
        let faults = move |request: Request| {
            let control = control.clone();
            async move { control.set_platform_faults(request).await }
        };
        let control = self.clone();
        let group = move |request: Request| {
            let control = control.clone();
            async move { control.inject_group_fault(request).await }
        };
        let control = self.clone();
        let counters = move |_: Request| {
            let control = control.clone();
            async move { Ok(control.counters()) }
        };
        Router::new()
            .put("/control/platform", faults)
            .put("/control/groups/:name", group)
            .get("/control/counters", counters)
    }

    async fn set_platform_faults(&self, mut request: Request) -> Result<Response> {
        let body = read_body(request.incoming()?, BODY_BYTES_MAX, BODY_LIMIT).await;
        let parsed = body.map_err(|error| error.to_string()).and_then(|body| {
            serde_json::from_slice::<Faults>(&body).map_err(|error| error.to_string())
        });
        Ok(match parsed {
            Ok(faults) => {
                self.platform.set_faults(faults.clone());
                json_reply(StatusCode::OK, &faults)
            }
            Err(reason) => text_reply(StatusCode::BAD_REQUEST, reason),
        })
    }

    async fn inject_group_fault(&self, mut request: Request) -> Result<Response> {
        let name: String = request.param("name")?;
        let Some(group) = self.groups.get(&name) else {
            return Ok(text_reply(StatusCode::NOT_FOUND, format!("no group {name}")));
        };
        let body = read_body(request.incoming()?, BODY_BYTES_MAX, BODY_LIMIT).await;
        let parsed = body.map_err(|error| error.to_string()).and_then(|body| {
            serde_json::from_slice::<GroupFault>(&body).map_err(|error| error.to_string())
        });
        Ok(match parsed {
            Ok(GroupFault::Stall(millis)) => {
                group.stall(Duration::from_millis(millis));
                text_reply(StatusCode::OK, "stalled".to_string())
            }
            Ok(GroupFault::Kill) => {
                group.kill();
                text_reply(StatusCode::OK, "killed".to_string())
            }
            Err(reason) => text_reply(StatusCode::BAD_REQUEST, reason),
        })
    }

    fn counters(&self) -> Response {
        let groups: BTreeMap<&String, _> =
            self.groups.iter().map(|(name, group)| (name, group.counters())).collect();
        let counters = json!({
            "calls": self.platform.calls(),
            "groups": groups,
            "runs": self.run_counter.counts(),
        });
        json_reply(StatusCode::OK, &counters)
    }
}
