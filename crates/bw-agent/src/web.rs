//! Health and metrics over HTTP.

use bw_http::text_reply;
use bw_kernel::KernelError;
use bw_kernel::Metrics;
use viz::Request;
use viz::Router;
use viz::StatusCode;

use crate::attempts::Attempts;
use crate::view::Viewer;

/// Routes `/healthz` and `/metrics`.
///
/// # Errors
/// [`KernelError::Metric`].
pub fn routes(
    metrics: &Metrics,
    attempts: &Attempts,
    viewer: &Viewer,
) -> Result<Router, KernelError> {
    let running = metrics.gauge("bw_agent_running", "Requests that run now.", &[])?;
    let version =
        metrics.gauge("bw_agent_config_version", "Configuration version in force.", &[])?;
    let leaving = metrics.gauge("bw_agent_leaving", "1 while the endpoint leaves.", &[])?;
    let (metrics, attempts, viewer) = (metrics.clone(), attempts.clone(), viewer.clone());
    let ready = viewer.clone();
    let render = move |_: Request| {
        running.with_label_values::<&str>(&[]).set(attempts.running() as i64);
        version.with_label_values::<&str>(&[]).set(viewer.version().0 as i64);
        leaving.with_label_values::<&str>(&[]).set(i64::from(attempts.is_leaving()));
        let text = metrics.render();
        async move { Ok(text) }
    };
    let health = move |_: Request| {
        let known = ready.current().is_some();
        async move {
            Ok(if known {
                text_reply(StatusCode::OK, "ok".to_string())
            } else {
                text_reply(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet".to_string())
            })
        }
    };
    Ok(Router::new().get("/metrics", render).get("/healthz", health))
}
