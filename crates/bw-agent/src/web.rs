//! HTTP endpoints for health and metrics.

use bw_http::text_reply;
use bw_kernel::KernelError;
use bw_kernel::Metrics;
use viz::Request;
use viz::Router;
use viz::StatusCode;

use crate::attempts::Attempts;
use crate::view::ViewCache;

/// Builds the routes `/healthz` and `/metrics`. `/healthz` answers 503 until a view is in force.
///
/// # Errors
/// Returns [`KernelError::Metric`] if a metric cannot be registered.
pub fn routes(
    metrics: &Metrics,
    attempts: &Attempts,
    views: &ViewCache,
) -> Result<Router, KernelError> {
    let running = metrics.gauge("bw_agent_running", "Requests that run now.", &[])?;
    let version =
        metrics.gauge("bw_agent_config_version", "Configuration version in force.", &[])?;
    let leaving = metrics.gauge("bw_agent_leaving", "1 while the endpoint leaves.", &[])?;
    let (metrics, attempts, views) = (metrics.clone(), attempts.clone(), views.clone());
    let health_views = views.clone();
    let render = move |_: Request| {
        running.with_label_values::<&str>(&[]).set(attempts.running() as i64);
        version.with_label_values::<&str>(&[]).set(views.version().0 as i64);
        leaving.with_label_values::<&str>(&[]).set(i64::from(attempts.is_leaving()));
        let text = metrics.render();
        async move { Ok(text) }
    };
    let health = move |_: Request| {
        let ready = health_views.current().is_some();
        async move {
            Ok(if ready {
                text_reply(StatusCode::OK, "ok".to_string())
            } else {
                text_reply(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet".to_string())
            })
        }
    };
    Ok(Router::new().get("/metrics", render).get("/healthz", health))
}
