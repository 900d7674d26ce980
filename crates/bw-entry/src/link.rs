//! Answers agents and other entries.

use bw_link::Handler;
use bw_once::shard::Change;
use bw_proto::decode;
use bw_proto::encode;
use bw_proto::AgentView;
use bw_proto::EntryReply;
use bw_proto::EntryRequest;
use log::warn;

use crate::claims::Claims;
use crate::config::Config;
use crate::evidence::SharedEvidence;
use crate::members::Members;
use crate::queue::Queue;
use crate::routing::Routing;

/// The entry's side of its links.
#[derive(Clone)]
pub struct EntryHandler {
    /// Configuration.
    pub config: Config,
    /// Membership.
    pub members: Members,
    /// Routing.
    pub routing: Routing,
    /// Queues, which may move on a load report.
    pub queue: Queue,
    /// Evidence against requests.
    pub evidence: SharedEvidence,
    /// Claims.
    pub claims: Claims,
}

impl Handler for EntryHandler {
    async fn handle(&self, request: Vec<u8>) -> Vec<u8> {
        let reply = match decode::<EntryRequest>(&request) {
            Ok(request) => self.answer(request).await,
            Err(error) => {
                warn!("event=message_unread reason=\"{error}\"");
                EntryReply::Unfit(error.to_string())
            }
        };
        encode(&reply).unwrap_or_default()
    }
}

impl EntryHandler {
    async fn answer(&self, request: EntryRequest) -> EntryReply {
        match request {
            EntryRequest::Heartbeat(beat) => {
                if self.members.take_beat(beat.clone()) {
                    self.routing.take_beats(&[beat]);
                    self.queue.hurry();
                }
                EntryReply::Version(self.config.version())
            }
            EntryRequest::Digest(digest) => {
                let fresh = self.members.take_digest(digest);
                if !fresh.is_empty() {
                    self.routing.take_beats(&fresh);
                    self.queue.hurry();
                }
                EntryReply::Version(self.config.version())
            }
            EntryRequest::Fetch(have) => EntryReply::Update(self.config.update_since(have)),
            EntryRequest::View { instance, have } => {
                let current = self.config.current();
                let newer = current.filter(|current| current.version() > have);
                let view = newer.and_then(|current| AgentView::of(&current.fleet, &instance));
                EntryReply::View(view)
            }
            EntryRequest::Crashes(crashes) => {
                let evidence = self.evidence.clone();
                tokio::spawn(async move { evidence.record(crashes).await });
                EntryReply::Done
            }
            EntryRequest::Swap { key, expect, claim } => {
                let swap = self.claims.swap_here(Change { key, expect, claim }).await;
                EntryReply::Swap(swap.into())
            }
        }
    }
}
