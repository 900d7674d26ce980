//! HTTP interface of the entry for callers and operators.

use bw_http::json_reply;
use bw_http::text_reply;
use bw_kernel::KernelError;
use bw_kernel::Metrics;
use bw_member::Health;
use serde_json::json;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Router;
use viz::StatusCode;

use crate::requests::fault::Fault;
use crate::requests::Services;

/// Time in seconds for which callers may cache the addresses.
const ADDRESS_SECONDS: u64 = 15;

/// Builds the routes for callers and operators.
///
/// # Errors
/// [`KernelError::Metric`] when a metric cannot be registered.
pub fn routes(services: &Services, metrics: &Metrics) -> Result<Router, KernelError> {
    let waiting = metrics.gauge("bw_entry_waiting", "Requests that wait in queues.", &[])?;
    let version =
        metrics.gauge("bw_entry_config_version", "Configuration version in force.", &[])?;
    let shared = services.clone();
    let metrics = metrics.clone();
    let render = move |_: Request| {
        waiting.with_label_values::<&str>(&[]).set(shared.queue.len() as i64);
        version.with_label_values::<&str>(&[]).set(shared.config.version().0 as i64);
        let text = metrics.render();
        async move { Ok(text) }
    };
    let shared = services.clone();
    let chat = move |request: Request| {
        let services = shared.clone();
        async move { Ok(services.chat(request).await) }
    };
    let shared = services.clone();
    let service = move |request: Request| {
        let services = shared.clone();
        async move { Ok(services.service(request).await) }
    };
    let shared = services.clone();
    let entries = move |request: Request| {
        let reply = addresses_reply(&shared, &request);
        async move { Ok(reply) }
    };
    let shared = services.clone();
    let status = move |_: Request| {
        let reply = status_reply(&shared);
        async move { Ok(reply) }
    };
    let shared = services.clone();
    let explain = move |request: Request| {
        let reply = explain_reply(&shared, &request);
        async move { Ok(reply) }
    };
    let shared = services.clone();
    let health = move |_: Request| {
        let reply = health_reply(&shared);
        async move { Ok(reply) }
    };
    let shared = services.clone();
    let models = move |request: Request| {
        let reply = models_reply(&shared, &request);
        async move { Ok(reply) }
    };
    Ok(Router::new()
        .get("/v1/entries", entries)
        .get("/v1/models", models)
        .post("/v1/chat/completions", chat)
        .any("/services/*", service)
        .get("/admin/status", status)
        .get("/admin/explain/:subject", explain)
        .get("/metrics", render)
        .get("/healthz", health))
}

/// Returns the entry addresses that the caller may use, with the preferred ones first.
fn addresses_reply(services: &Services, request: &Request) -> Response {
    let Some(current) = services.config.current() else {
        return Fault::Starting.response("");
    };
    let caller = request.remote_addr().map_or(String::new(), |address| address.to_string());
    let addresses = services.members.addresses(&current.fleet, &caller);
    let body = json!({ "entries": addresses, "lifetime_seconds": ADDRESS_SECONDS });
    json_reply(StatusCode::OK, &body)
}

/// Returns the models that the caller's workspace may use.
fn models_reply(services: &Services, request: &Request) -> Response {
    let Some(current) = services.config.current() else {
        return Fault::Starting.response("");
    };
    let token = crate::requests::chat::bearer_token(request);
    let workspace = match services.find_workspace(&current, token.as_deref()) {
        Ok(workspace) => workspace,
        Err(fault) => return fault.response(""),
    };
    let pools = current.fleet.workspaces[workspace].pools.iter();
    let pools = pools.map(|pool| &current.fleet.pools[*pool]);
    let models = pools.filter(|pool| pool.kind == bw_model::fleet::PoolKind::Model);
    let data: Vec<_> = models
        .map(|pool| json!({ "id": pool.name, "object": "model", "created": 0, "owned_by": "" }))
        .collect();
    json_reply(StatusCode::OK, &json!({ "object": "list", "data": data }))
}

fn status_reply(services: &Services) -> Response {
    let Some(current) = services.config.current() else {
        return Fault::Starting.response("");
    };
    let fleet = &current.fleet;
    let processes: Vec<_> = services
        .members
        .versions(fleet)
        .into_iter()
        .map(|(instance, role, version, health)| {
            let health = health_name(health);
            json!({ "instance": instance, "role": role, "version": version, "health": health })
        })
        .collect();
    let endpoints: Vec<_> = fleet
        .endpoints
        .iter()
        .filter_map(|(_, endpoint)| {
            let gate = fleet.instances[endpoint.gate()?].name.to_string();
            let load = services.members.lock().agent(&gate).and_then(|heartbeat| heartbeat.load);
            Some(json!({
                "endpoint": endpoint.name,
                "pool": fleet.pools[endpoint.pool].name,
                "gate": gate,
                "ranks": endpoint.ranks.len(),
                "running": load.map(|load| load.running),
                "slots": endpoint.slots,
            }))
        })
        .collect();
    let body = json!({
        "version": current.version(),
        "entry": services.settings.get().instance,
        "waiting": services.queue.len(),
        "processes": processes,
        "endpoints": endpoints,
    });
    json_reply(StatusCode::OK, &body)
}

fn explain_reply(services: &Services, request: &Request) -> Response {
    let subject: String = request.param("subject").unwrap_or_default();
    let lines = services.decisions.lines(&subject);
    let status = if lines.is_empty() { StatusCode::NOT_FOUND } else { StatusCode::OK };
    json_reply(status, &json!({ "subject": subject, "decisions": lines }))
}

fn health_reply(services: &Services) -> Response {
    if services.config.current().is_some() {
        text_reply(StatusCode::OK, "ok".to_string())
    } else {
        text_reply(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet".to_string())
    }
}

fn health_name(health: Health) -> &'static str {
    match health {
        Health::Live => "live",
        Health::Quiet => "quiet",
        Health::Leaving => "leaving",
        Health::Gone => "gone",
    }
}
