//! Handling of requests that entries and other agents send over links.

use std::time::Duration;

use bw_link::Handler;
use bw_once::gate::GateDispatch;
use bw_once::gate::Refusal;
use bw_once::gate::Verdict;
use bw_proto::agent::AgentStatus;
use bw_proto::agent::Dispatch;
use bw_proto::decode;
use bw_proto::encode;
use bw_proto::AgentReply;
use bw_proto::AgentRequest;
use log::info;
use log::warn;

use crate::attempts::Attempts;
use crate::attempts::ReadResult;
use crate::experts::MapManager;
use crate::runner::Runner;
use crate::view::ViewCache;

/// Upper bound of the wait that one read may request.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Handles the requests received over the agent's link.
#[derive(Clone)]
pub struct AgentHandler {
    /// Instance of the agent.
    pub instance: String,
    /// Attempts of this incarnation.
    pub attempts: Attempts,
    /// Runs admitted attempts against the backend.
    pub runner: Runner,
    /// Configuration in force.
    pub views: ViewCache,
    /// Expert maps and their switches.
    pub maps: MapManager,
}

impl Handler for AgentHandler {
    async fn handle(&self, request: Vec<u8>) -> Vec<u8> {
        let reply = match decode::<AgentRequest>(&request) {
            Ok(request) => self.answer(request).await,
            Err(error) => {
                warn!("event=message_unread reason=\"{error}\"");
                AgentReply::Unfit(error.to_string())
            }
        };
        encode(&reply).unwrap_or_default()
    }
}

impl AgentHandler {
    async fn answer(&self, request: AgentRequest) -> AgentReply {
        match request {
            AgentRequest::Dispatch(dispatch) => self.dispatch(dispatch),
            AgentRequest::Read { attempt, incarnation, offset, head, wait } => {
                let wait = Duration::from_millis(wait).min(WAIT_MAX);
                match self.attempts.read(attempt, incarnation, offset, head, wait).await {
                    ReadResult::Chunk(chunk) => AgentReply::Chunk(chunk),
                    ReadResult::Lost(status) => AgentReply::Lost(status),
                }
            }
            AgentRequest::QueryAttempt { attempt, incarnation } => {
                AgentReply::AttemptStatus(self.attempts.query(attempt, incarnation))
            }
            AgentRequest::Release(attempt) => {
                self.attempts.release(attempt);
                AgentReply::Done
            }
            AgentRequest::Status => AgentReply::Status(self.status().await),
            AgentRequest::Switch(message) => AgentReply::Switch(self.maps.handle(message).await),
            AgentRequest::Order(order) => AgentReply::Order(self.maps.order(order).await),
            AgentRequest::Demand => AgentReply::Demand(self.maps.report().await),
        }
    }

    fn dispatch(&self, dispatch: Dispatch) -> AgentReply {
        let view = self.views.current();
        let gate = GateDispatch {
            attempt: dispatch.attempt,
            incarnation: dispatch.incarnation,
            suspect: dispatch.suspect,
        };
        let (mut verdict, running, cancelled) =
            self.attempts.dispatch(gate, dispatch.fingerprint, dispatch.once);
        log_verdict(&dispatch, verdict, running);
        if let (Some(view), Some(cancelled)) = (view, cancelled) {
            if self.runner.is_dead() {
                self.attempts.revoke(dispatch.attempt);
                verdict = Verdict::Refused(Refusal::Full);
            } else {
                tokio::spawn(self.runner.clone().run(dispatch, view, cancelled));
            }
        }
        AgentReply::Verdict { verdict, running }
    }

    async fn status(&self) -> AgentStatus {
        AgentStatus {
            instance: self.instance.clone(),
            incarnation: self.attempts.incarnation(),
            leaving: self.attempts.is_leaving(),
            running: self.attempts.running() as u32,
            version: self.views.version(),
            map: self.maps.map_version().await,
        }
    }
}

fn log_verdict(dispatch: &Dispatch, verdict: Verdict, running: u32) {
    let text = match verdict {
        Verdict::Run => "run",
        Verdict::Joined => "joined",
        Verdict::Refused(refusal) => refusal.reason(),
    };
    info!(
        "event=dispatch request={} attempt={} entry={} workspace={} verdict={text} running={running}",
        dispatch.request, dispatch.attempt, dispatch.entry, dispatch.workspace
    );
}
