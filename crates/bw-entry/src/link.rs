//! Handler of the requests that agents and other entries send over links.

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

/// Handles requests with the services of the entry.
#[derive(Clone)]
pub struct EntryHandler {
    /// Configuration that is sent to other processes.
    pub config: Config,
    /// Membership, updated from heartbeats and digests.
    pub members: Members,
    /// Routing, updated from heartbeats.
    pub routing: Routing,
    /// Queues, processed when a load report arrives, since it may show free slots.
    pub queue: Queue,
    /// Evidence against requests that crash endpoints.
    pub evidence: SharedEvidence,
    /// Claims of idempotency keys; this entry batches the changes of some shards.
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
            EntryRequest::Heartbeat(heartbeat) => {
                if self.members.record_heartbeat(heartbeat.clone()) {
                    self.routing.apply_heartbeats(&[heartbeat]);
                    self.queue.wake();
                }
                EntryReply::Version(self.config.version())
            }
            EntryRequest::Digest(digest) => {
                let fresh = self.members.merge_digest(digest);
                if !fresh.is_empty() {
                    self.routing.apply_heartbeats(&fresh);
                    self.queue.wake();
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
                tokio::spawn(async move { evidence.receive(crashes).await });
                EntryReply::Done
            }
            EntryRequest::Swap { key, expect, claim } => {
                let swap = self.claims.swap_local(Change { key, expect, claim }).await;
                EntryReply::Swap(swap.into())
            }
        }
    }
}
