//! Answers operators where a request would go now, and why, without sending it. The decisions are those of
//! requests; counts, allowances and later draws stay as they are.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bw_direct::catalog::Route;
use bw_direct::catalog::Target;
use bw_http::json_reply;
use bw_http::read_body;
use bw_http::text_reply;
use bw_proto::explain::Explanation;
use bw_proto::explain::Question;
use bw_proto::explain::Refused as RefusedView;
use bw_proto::explain::RouteView;
use bw_proto::explain::ServiceView;
use bw_proto::explain::Verdict;
use bw_proto::explain::EXPLAIN_PATH;
use log::info;
use viz::Request;
use viz::Response;
use viz::Router;
use viz::StatusCode;

use crate::forward::Caller;
use crate::forward::Forwarder;
use crate::forward::Refused;
use crate::placement::Origin;
use crate::placement::PlacementRequest;
use crate::reply::Refusal;
use crate::waiting::Fate;

/// Size limit of a question, in bytes.
const QUESTION_BYTES_MAX: usize = 16 * 1_024;
/// Time limit for the arrival of a question.
const QUESTION_TIME: Duration = Duration::from_secs(2);
/// Questions that are answered a second.
const QUESTIONS_MAX: u32 = 10;

/// Reason why a question is not answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExplainError {
    /// The question cannot be read.
    Unreadable(String),
    /// More questions arrive than are answered.
    TooMany,
}

impl fmt::Display for ExplainError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(reason) => write!(f, "the question cannot be read: {reason}"),
            Self::TooMany => write!(f, "at most {QUESTIONS_MAX} questions a second are answered"),
        }
    }
}

impl std::error::Error for ExplainError {}

impl ExplainError {
    fn status(&self) -> StatusCode {
        match self {
            Self::Unreadable(_) => StatusCode::BAD_REQUEST,
            Self::TooMany => StatusCode::TOO_MANY_REQUESTS,
        }
    }
}

/// Second of the clock and the questions answered in it.
type Answered = (u64, u32);

/// Answers questions about requests that are not sent.
#[derive(Clone)]
pub struct Explainer {
    forwarder: Forwarder,
    answered: Arc<Mutex<Answered>>,
}

impl Explainer {
    /// Creates an explainer of the decisions of `forwarder`.
    pub fn new(forwarder: Forwarder) -> Self {
        Self { forwarder, answered: Arc::default() }
    }

    /// Adds the path of questions to `router`.
    pub fn route(self, router: Router) -> Router {
        let answer = move |mut request: Request| {
            let explainer = self.clone();
            async move { Ok(explainer.serve(&mut request).await) }
        };
        router.post(EXPLAIN_PATH, answer)
    }

    async fn serve(&self, request: &mut Request) -> Response {
        let body = std::mem::take(request.body_mut());
        match self.answer(body).await {
            Ok(explanation) => json_reply(StatusCode::OK, &explanation),
            Err(error) => text_reply(error.status(), error.to_string()),
        }
    }

    async fn answer(&self, body: viz::Body) -> Result<Explanation, ExplainError> {
        let bytes = read_body(body, QUESTION_BYTES_MAX, QUESTION_TIME).await;
        let bytes = bytes.map_err(|error| ExplainError::Unreadable(error.to_string()))?;
        let question: Question = serde_json::from_slice(&bytes)
            .map_err(|error| ExplainError::Unreadable(error.to_string()))?;
        if !self.try_count() {
            return Err(ExplainError::TooMany);
        }
        let explanation = self.explain(&question);
        info!(
            "event=explained host={:?} path={:?} route={} version={}",
            question.host,
            question.path,
            explanation.route.as_ref().map_or("-", |route| route.name.as_str()),
            explanation.version
        );
        Ok(explanation)
    }

    /// Counts a question; returns false if too many were answered in this second.
    fn try_count(&self) -> bool {
        let second = self.forwarder.clock.now().as_secs();
        let mut answered = self.answered.lock().unwrap_or_else(PoisonError::into_inner);
        if answered.0 != second {
            *answered = (second, 0);
        }
        answered.1 += 1;
        answered.1 <= QUESTIONS_MAX
    }

    /// Returns where the request of a question would go now.
    pub fn explain(&self, question: &Question) -> Explanation {
        let Forwarder { config, clock, settings, .. } = &self.forwarder;
        let now = clock.now();
        let mut explanation = Explanation {
            gateway: settings.get().instance.to_string(),
            version: config.version().0,
            era: config.era(),
            proof_age_ms: config.proof_age(now).map(|age| age.as_millis() as u64),
            refused: None,
            route: None,
            workspace: None,
            services: Vec::new(),
        };
        let caller = match &question.workspace {
            Some(workspace) => Caller::Workspace(workspace),
            None => Caller::Key(question.key.as_deref()),
        };
        let admitted = match self.forwarder.admit(&question.host, &question.path, caller) {
            Ok(admitted) => admitted,
            Err(refused) => {
                explanation.refused = Some(view_refusal(refused));
                return explanation;
            }
        };
        let catalog = &admitted.catalog;
        let route = &catalog.routes[admitted.route];
        let workspace = admitted.workspace.map(|key| &catalog.workspaces[key]);
        explanation.route = Some(view_route(route));
        explanation.workspace = workspace.map(|workspace| workspace.name.clone());
        let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
        let view = |target: &Target| {
            let origin = Origin { catalog, route, workspace, service: &target.service };
            let request = PlacementRequest::new(origin, now);
            let request = PlacementRequest { prompt: question.prompt, ..request };
            let share = f64::from(target.weight) / total.max(1) as f64;
            self.view_service(request, share, now)
        };
        explanation.services = route.targets.iter().map(view).collect();
        explanation
    }

    fn view_service(&self, request: PlacementRequest, share: f64, now: Duration) -> ServiceView {
        let (service, order) = (request.service.clone(), request.order);
        let useful = request.deadline.saturating_sub(now);
        let preview = self.forwarder.waiting.preview(request);
        let verdict = match (preview.fate, preview.placement.chosen) {
            (Fate::Send, Some((endpoint, kind))) => {
                Verdict::Send { endpoint, slot: format!("{kind:?}") }
            }
            (Fate::Refuse(wait), _) => {
                Verdict::Refuse(view_refusal((Refusal::NoEndpoint, Some(wait))))
            }
            (Fate::Wait(wait), _) => Verdict::Wait { expected_ms: wait.as_millis() as u64 },
            (Fate::Send, None) => Verdict::Wait { expected_ms: 0 },
        };
        ServiceView {
            service,
            share,
            order,
            waiting: preview.waiting,
            useful_ms: useful.as_millis() as u64,
            news_age_ms: preview.placement.news_age.as_millis() as u64,
            verdict,
            endpoints: preview.placement.endpoints,
            endpoint_count: preview.placement.endpoint_count,
        }
    }
}

fn view_refusal((refusal, after): Refused) -> RefusedView {
    RefusedView {
        reason: refusal.code().to_string(),
        status: refusal.status().as_u16(),
        retry_after_ms: after.map(|after| after.as_millis() as u64),
    }
}

fn view_route(route: &Route) -> RouteView {
    RouteView {
        name: route.name.clone(),
        prefix: route.prefix.clone(),
        priority: route.priority,
        target_ms: route.target.as_millis() as u64,
        idempotent: route.is_idempotent(),
        attempts: route.attempts,
    }
}
