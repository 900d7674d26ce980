//! What the handling of a request needs: the services, and the request's own facts.

use std::sync::Arc;
use std::time::Duration;

use bw_kernel::live::Live;
use bw_kernel::KernelError;
use bw_kernel::Metrics;
use bw_model::fleet::PoolKey;
use bw_model::fleet::WorkspaceKey;
use bw_model::AttemptId;
use bw_once::evidence::Suspicion;
use bw_proto::agent::Dispatch;
use bw_proto::Call;
use bw_route::router::Choice;
use bw_route::Query;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use uuid::Uuid;

use super::fault::Fault;
use crate::agents::Agents;
use crate::claims::Claims;
use crate::config::Config;
use crate::config::CurrentConfig;
use crate::decisions::Decisions;
use crate::evidence::SharedEvidence;
use crate::members::Members;
use crate::queue::Admitted;
use crate::queue::Candidate;
use crate::queue::Queue;
use crate::routing::Routing;
use crate::settings::Settings;

/// Counters of requests.
#[derive(Clone)]
pub struct RequestMetrics {
    /// Requests by kind and result.
    pub requests: IntCounterVec,
    /// Attempts by result.
    pub attempts: IntCounterVec,
    /// Pieces of answers that were dropped, by reason.
    pub dropped: IntCounterVec,
    /// Time of requests by kind.
    pub time: HistogramVec,
}

impl RequestMetrics {
    /// Registers the counters.
    ///
    /// # Errors
    /// [`KernelError::Metric`].
    pub fn new(metrics: &Metrics) -> Result<Self, KernelError> {
        Ok(Self {
            requests: metrics.counter(
                "bw_requests_total",
                "Requests by kind and result.",
                &["kind", "result"],
            )?,
            attempts: metrics.counter(
                "bw_attempts_total",
                "Attempts by kind and result.",
                &["kind", "result"],
            )?,
            dropped: metrics.counter(
                "bw_answer_pieces_dropped_total",
                "Pieces of answers that were dropped, by reason.",
                &["reason"],
            )?,
            time: metrics.seconds("bw_request_seconds", "Time of requests by kind.", &["kind"])?,
        })
    }
}

/// The services that requests use, resolved once at the start.
#[derive(Clone)]
pub struct Services {
    /// Settings.
    pub settings: Live<Settings>,
    /// Configuration.
    pub config: Config,
    /// Membership.
    pub members: Members,
    /// Routing.
    pub routing: Routing,
    /// Queues.
    pub queue: Queue,
    /// Agents.
    pub agents: Agents,
    /// Claims.
    pub claims: Claims,
    /// Evidence against requests.
    pub evidence: SharedEvidence,
    /// Decisions.
    pub decisions: Decisions,
    /// Counters.
    pub metrics: RequestMetrics,
}

/// A request with what is known of it before it is sent.
#[derive(Clone)]
pub struct Job {
    /// Request id.
    pub id: String,
    /// Configuration that it is handled under.
    pub current: Arc<CurrentConfig>,
    /// Pool that serves it.
    pub pool: PoolKey,
    /// Workspace that sent it.
    pub workspace: WorkspaceKey,
    /// Latest end, as time since the process started.
    pub deadline: Duration,
    /// What to run.
    pub call: Call,
    /// Hash that equal requests share.
    pub fingerprint: u64,
    /// Hashes of the prompt's leading blocks.
    pub blocks: Vec<u64>,
}

impl Job {
    /// Name of the pool.
    pub fn pool_name(&self) -> &str {
        self.current.fleet.pools[self.pool].name.as_str()
    }

    /// Name of the workspace.
    pub fn workspace_name(&self) -> &str {
        self.current.fleet.workspaces[self.workspace].name.as_str()
    }
}

impl Services {
    /// Time left for a job.
    pub fn time_left(&self, job: &Job) -> Duration {
        job.deadline.saturating_sub(self.routing.now())
    }

    /// Waits in the pool's queue.
    ///
    /// # Errors
    /// [`Fault::Refused`] when the request would start too late.
    pub async fn admit(&self, job: &Job) -> Result<Admitted, Fault> {
        let workspace = &job.current.fleet.workspaces[job.workspace];
        let candidate = Candidate {
            pool: job.pool,
            workspace: job.workspace,
            order: workspace.order,
            share: workspace.share,
            deadline: job.deadline,
        };
        self.queue.admit(candidate).await.map_err(|away| {
            let line = format!(
                "event=turned_away request={} workspace={} pool={} retry_after_ms={}",
                job.id,
                job.workspace_name(),
                job.pool_name(),
                away.0.as_millis()
            );
            self.decisions.note(&job.id, line);
            Fault::Refused { code: "queue_full", after: away.0 }
        })
    }

    /// Chooses an endpoint and logs the choice with its candidates.
    pub fn choose(&self, job: &Job, exclude: &[String]) -> Option<Choice> {
        let now = self.routing.now();
        let query = Query {
            pool: job.pool,
            workspace: job.workspace,
            blocks: &job.blocks,
            fingerprint: job.fingerprint,
            exclude,
        };
        let choice = self.routing.lock().choose(&job.current.fleet, &query, now);
        let line = self.describe(job, choice.as_ref(), exclude);
        self.decisions.note(&job.id, line);
        choice
    }

    fn describe(&self, job: &Job, choice: Option<&Choice>, exclude: &[String]) -> String {
        let endpoints = &job.current.fleet.endpoints;
        let (chosen, candidates, reason) = match choice {
            Some(choice) => {
                let scores = choice.candidates.iter();
                let texts = scores
                    .map(|one| format!("{}:{:.1}", endpoints[one.endpoint].name, one.score))
                    .collect::<Vec<String>>();
                (endpoints[choice.endpoint].name.as_str(), texts.join(","), choice.reason)
            }
            None => ("none", String::new(), "no_endpoint"),
        };
        format!(
            "event=route request={} workspace={} pool={} choice={chosen} candidates={candidates} \
             excluded={} reason={reason}",
            job.id,
            job.workspace_name(),
            job.pool_name(),
            exclude.join(","),
        )
    }

    /// The dispatch of one attempt of a job.
    pub fn dispatch_of(&self, job: &Job, choice: &Choice, once: bool) -> Dispatch {
        Dispatch {
            attempt: new_attempt(),
            incarnation: choice.incarnation,
            entry: self.settings.get().instance.to_string(),
            request: job.id.clone(),
            workspace: job.workspace_name().to_string(),
            order: job.current.fleet.workspaces[job.workspace].order,
            limit: self.time_left(job).as_millis() as u64,
            fingerprint: job.fingerprint,
            suspect: self.evidence.standing(job.fingerprint) == Suspicion::Suspect,
            once,
            call: job.call.clone(),
        }
    }
}

/// A fresh attempt id.
pub fn new_attempt() -> AttemptId {
    AttemptId(Uuid::new_v4().as_u128())
}
