//! Calls to plain services: `/services/NAME/PATH`.

use std::time::Duration;

use bw_http::read_body;
use bw_http::BodyError;
use bw_model::fleet::CallRule;
use bw_model::fleet::PoolKind;
use bw_model::fleet::WorkspaceKey;
use bw_model::hash::hash_key;
use bw_proto::Call;
use bytes::Bytes;
use viz::Request;
use viz::RequestExt;
use viz::Response;

use super::chat::bearer_token;
use super::chat::buffered_response;
use super::chat::request_id;
use super::chat::TIMEOUT_HEADER;
use super::context::Job;
use super::context::Services;
use super::fault::Fault;
use super::identity::service_fingerprints;
use super::once::KeyClaim;
use super::once::LocalClaim;
use super::repeatable::AnswerEnd;
use super::sink::Buffer;
use crate::config::CurrentConfig;

/// Time within which a caller has to send the body of its request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Header with the idempotency key: requests with the same key run at most once.
pub const KEY_HEADER: &str = "idempotency-key";
const KEY_BYTES_MAX: usize = 255;
/// Path prefix of service calls.
const PREFIX: &str = "/services/";
/// Headers that apply only to the connection between caller and entry and are not forwarded.
const CONNECTION_HEADERS: [&str; 8] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
];

impl Services {
    /// Handles a service call and records its result.
    pub async fn service(&self, request: Request) -> Response {
        let id = request_id(&request);
        let started = self.routing.now();
        let result = self.end_with_process(self.try_service(request, &id)).await;
        self.record_result("service", result.as_ref().err(), started);
        result.unwrap_or_else(|fault| fault.response(&id))
    }

    async fn try_service(&self, mut request: Request, id: &str) -> Result<Response, Fault> {
        let token = bearer_token(&request);
        let timeout = self.request_timeout(&request);
        let key: Option<String> = request.header(KEY_HEADER);
        if key.as_ref().is_some_and(|key| key.is_empty() || key.len() > KEY_BYTES_MAX) {
            return Err(Fault::BadRequest(format!(
                "Idempotency-Key has 1 to {KEY_BYTES_MAX} bytes"
            )));
        }
        let (service, path) = split_path(&request)?;
        let method = request.method().to_string();
        let headers = forwarded_headers(&request);
        let current = self.config.current().ok_or(Fault::Starting)?;
        let workspace = self.find_workspace(&current, token.as_deref())?;
        let name = format!("service {service:?}");
        let pool = current.fleet.pool(PoolKind::Service, &service);
        let (pool, rules) = pool.ok_or_else(|| Fault::NotFound(name.clone()))?;
        if !current.fleet.workspaces[workspace].pools.contains(&pool) {
            return Err(Fault::Forbidden(name));
        }
        let once = key.is_some() || is_once(&rules.not_repeatable, &method, &path);
        let body = self.read_request(&mut request).await?;
        let workspace_name = current.fleet.workspaces[workspace].name.to_string();
        let call = Call { method, path, headers, body: body.to_vec() };
        let job = Job {
            id: id.to_string(),
            pool,
            workspace,
            deadline: self.routing.now() + timeout,
            fingerprints: service_fingerprints(&service, token.as_deref(), &call),
            blocks: Vec::new(),
            call,
            current,
        };
        let buffer = match (once, key) {
            (false, _) => self.run_service(job).await?,
            (true, Some(key)) => {
                let key = hash_key(&workspace_name, &service, &key);
                let table = KeyClaim { claims: self.claims.clone(), key };
                self.run_detached(job, table).await?
            }
            (true, None) => self.run_detached(job, LocalClaim).await?,
        };
        Ok(buffered_response(id, buffer))
    }

    async fn run_service(&self, job: Job) -> Result<Buffer, Fault> {
        let mut buffer = Buffer::new(self.settings.get().answer);
        match self.run_repeatable(job, &mut buffer).await? {
            AnswerEnd::Whole => Ok(buffer),
            AnswerEnd::CallerGone => Err(Fault::Failed("answer_too_large")),
        }
    }

    /// Runs a request to its end even if the caller disconnects: a request that may run only once
    /// must not be interrupted after its start.
    async fn run_detached<T>(&self, job: Job, table: T) -> Result<Buffer, Fault>
    where
        T: super::once::ClaimTable + 'static,
    {
        let services = self.clone();
        let task = tokio::spawn(async move { services.run_once(&job, table).await });
        task.await.unwrap_or(Err(Fault::OutcomeUnknown("task_ended")))
    }

    /// Reads the body of a request, up to the size limit of the settings and within
    /// `BODY_TIMEOUT`.
    pub async fn read_request(&self, request: &mut Request) -> Result<Bytes, Fault> {
        let body = request.incoming().map_err(|error| Fault::BadRequest(error.to_string()))?;
        read_body(body, self.settings.get().body, BODY_TIMEOUT).await.map_err(|error| match error {
            BodyError::TooLarge(_) => Fault::BodyTooLarge(error.to_string()),
            BodyError::TimedOut(_) => Fault::BodyTooSlow(error.to_string()),
            BodyError::Incomplete(_) => Fault::BadRequest(error.to_string()),
        })
    }

    /// Returns the timeout of a request: the settings' timeout, or the caller's if that is shorter.
    pub fn request_timeout(&self, request: &Request) -> Duration {
        let requested: Option<u64> = request.header(TIMEOUT_HEADER);
        let limit = self.settings.get().timeout;
        requested.map_or(limit, |millis| Duration::from_millis(millis).min(limit))
    }

    /// Returns the workspace that a bearer token belongs to.
    pub fn find_workspace(
        &self,
        current: &CurrentConfig,
        token: Option<&str>,
    ) -> Result<WorkspaceKey, Fault> {
        let hash = token.map(|token| blake3::hash(token.as_bytes()).to_hex().to_string());
        let found = hash.and_then(|hash| current.fleet.workspace(&hash));
        found.map(|(key, _)| key).ok_or(Fault::UnknownToken)
    }
}

/// Splits the URL of a call into the service's name and the path with its query.
fn split_path(request: &Request) -> Result<(String, String), Fault> {
    let path = request.path();
    let rest = path.strip_prefix(PREFIX).unwrap_or("");
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(Fault::NotFound("service without a name".to_string()));
    }
    let query = request.query_string().map_or(String::new(), |query| format!("?{query}"));
    Ok((service.to_string(), format!("/{path}{query}")))
}

/// Returns the headers to forward to the endpoint. Headers that are not text are dropped.
fn forwarded_headers(request: &Request) -> Vec<(String, String)> {
    let kept =
        request.headers().iter().filter(|(name, _)| !CONNECTION_HEADERS.contains(&name.as_str()));
    let text =
        kept.filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_string())));
    text.filter(|(name, _)| name != super::fault::REQUEST_ID_HEADER).collect()
}

/// Returns true if a rule of the service states that such a call may run only once.
fn is_once(rules: &[CallRule], method: &str, path: &str) -> bool {
    rules.iter().any(|rule| rule.method == method && path.starts_with(&rule.path))
}
