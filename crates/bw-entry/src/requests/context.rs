//! Context of request handling: the shared services and the properties of one request.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bw_kernel::live::Live;
use bw_kernel::Drain;
use bw_kernel::KernelError;
use bw_kernel::Metrics;
use bw_model::fleet::PoolKey;
use bw_model::fleet::WorkspaceKey;
use bw_model::hash::Fingerprints;
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
use crate::queue::AdmissionRequest;
use crate::queue::Admitted;
use crate::queue::Queue;
use crate::routing::Routing;
use crate::settings::Settings;

/// Retry-after time of a request that comes too late in a planned stop of this entry.
const STOPPING_PAUSE: Duration = Duration::from_secs(1);

/// Metrics of requests, attempts and answers.
#[derive(Clone)]
pub struct RequestMetrics {
    /// Number of requests by kind and result.
    pub requests: IntCounterVec,
    /// Number of attempts by kind and result.
    pub attempts: IntCounterVec,
    /// Number of answer chunks that were dropped, by reason.
    pub dropped: IntCounterVec,
    /// Duration of requests by kind, in seconds.
    pub time: HistogramVec,
}

impl RequestMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// Returns [`KernelError::Metric`] if a metric cannot be registered.
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

/// Services that requests use, resolved once at process start.
#[derive(Clone)]
pub struct Services {
    /// Settings of the entry, reloaded at run time.
    pub settings: Live<Settings>,
    /// Source of the current configuration.
    pub config: Config,
    /// Live entries and agents.
    pub members: Members,
    /// Endpoint choice and retry budgets.
    pub routing: Routing,
    /// Queues of the pools.
    pub queue: Queue,
    /// Client of the agents.
    pub agents: Agents,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Evidence against requests that crash endpoints.
    pub evidence: SharedEvidence,
    /// Planned stop of the process.
    pub drain: Drain,
    /// Recent decisions, for `bwctl explain`.
    pub decisions: Decisions,
    /// Metrics of requests, attempts and answers.
    pub metrics: RequestMetrics,
}

/// A validated request, ready to be dispatched.
#[derive(Clone)]
pub struct Job {
    /// Request id, chosen by the caller or generated.
    pub id: String,
    /// Configuration used throughout the request.
    pub current: Arc<CurrentConfig>,
    /// Pool that serves the request.
    pub pool: PoolKey,
    /// Workspace that sent the request.
    pub workspace: WorkspaceKey,
    /// Time by which the request must have ended, measured from process start.
    pub deadline: Duration,
    /// HTTP call that the endpoint runs.
    pub call: Call,
    /// Hashes by which the request is recognized when it comes again.
    pub fingerprints: Fingerprints,
    /// Hashes of the prompt's leading blocks, for prefix routing; empty for services.
    pub blocks: Vec<u64>,
}

impl Job {
    /// Returns the name of the pool.
    pub fn pool_name(&self) -> &str {
        self.current.fleet.pools[self.pool].name.as_str()
    }

    /// Returns the name of the workspace.
    pub fn workspace_name(&self) -> &str {
        self.current.fleet.workspaces[self.workspace].name.as_str()
    }
}

impl Services {
    /// Returns the time until the deadline of `job`, or zero if the deadline has passed.
    pub fn remaining_time(&self, job: &Job) -> Duration {
        job.deadline.saturating_sub(self.routing.now())
    }

    /// Returns the result of a request, or a failure shortly before this entry ends in a planned stop.
    pub async fn end_with_process<F, T>(&self, request: F) -> Result<T, Fault>
    where
        F: Future<Output = Result<T, Fault>>,
    {
        tokio::select! {
            result = request => result,
            () = self.drain.over() => Err(Fault::Failed("entry_stopping")),
        }
    }

    /// Waits in the pool's queue until the request is admitted.
    ///
    /// # Errors
    /// Returns [`Fault::Refused`] if the request would start too late, also for a planned stop of this entry.
    pub async fn admit(&self, job: &Job) -> Result<Admitted, Fault> {
        let workspace = &job.current.fleet.workspaces[job.workspace];
        let request = AdmissionRequest {
            pool: job.pool,
            workspace: job.workspace,
            order: workspace.order,
            share: workspace.share,
            deadline: job.deadline,
        };
        let deadline = self.drain.after(self.remaining_time(job));
        let admitted = tokio::select! {
            biased;
            () = self.drain.closed_to(deadline) => {
                return Err(Fault::Refused { code: "stopping", retry_after: STOPPING_PAUSE });
            }
            admitted = self.queue.admit(request) => admitted,
        };
        admitted.map_err(|rejection| {
            let line = format!(
                "event=turned_away request={} workspace={} pool={} retry_after_ms={}",
                job.id,
                job.workspace_name(),
                job.pool_name(),
                rejection.0.as_millis()
            );
            self.decisions.record(&job.id, line);
            Fault::Refused { code: "queue_full", retry_after: rejection.0 }
        })
    }

    /// Chooses an endpoint outside `exclude` and logs the choice with its candidates.
    pub fn choose(&self, job: &Job, exclude: &[String]) -> Option<Choice> {
        let now = self.routing.now();
        let query = Query {
            pool: job.pool,
            workspace: job.workspace,
            blocks: &job.blocks,
            fingerprint: job.fingerprints.shared,
            exclude,
        };
        let choice = self.routing.lock().choose(&job.current.fleet, &query, now);
        let line = self.describe(job, choice.as_ref(), exclude);
        self.decisions.record(&job.id, line);
        choice
    }

    /// Formats the log line of a routing decision.
    fn describe(&self, job: &Job, choice: Option<&Choice>, exclude: &[String]) -> String {
        let endpoints = &job.current.fleet.endpoints;
        let (chosen, candidates, reason) = match choice {
            Some(choice) => {
                let scores = choice.candidates.iter();
                let texts = scores
                    .map(|scored| {
                        format!("{}:{:.1}", endpoints[scored.endpoint].name, scored.score)
                    })
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

    /// Builds the dispatch of a new attempt of `job`; `once` marks a request that may run only
    /// once.
    pub fn build_dispatch(&self, job: &Job, choice: &Choice, once: bool) -> Dispatch {
        Dispatch {
            attempt: new_attempt(),
            incarnation: choice.incarnation,
            entry: self.settings.get().instance.to_string(),
            request: job.id.clone(),
            workspace: job.workspace_name().to_string(),
            order: job.current.fleet.workspaces[job.workspace].order,
            limit: self.remaining_time(job).as_millis() as u64,
            fingerprint: job.fingerprints.shared,
            suspect: self.evidence.request_suspicion(&job.fingerprints) == Suspicion::Suspect,
            once,
            call: job.call.clone(),
        }
    }
}

/// Generates a random attempt id.
pub fn new_attempt() -> AttemptId {
    AttemptId(Uuid::new_v4().as_u128())
}
