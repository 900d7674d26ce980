//! Claims of idempotency keys, grouped at one entry for each shard.

use std::time::Duration;

use bw_link::Pool;
use bw_model::hash::rendezvous_order;
use bw_model::AttemptId;
use bw_model::KeyHash;
use bw_once::claim::Swap;
use bw_once::flow::ReadFault;
use bw_once::shard::shard_of;
use bw_once::shard::Change;
use bw_once::Claim;
use bw_platform::claims::ClaimStore;
use bw_proto::decode;
use bw_proto::encode;
use bw_proto::EntryReply;
use bw_proto::EntryRequest;

use crate::config::Config;
use crate::members::Members;

/// Longest wait for the entry that groups a shard's changes.
const FORWARD_LIMIT: Duration = Duration::from_millis(2_500);

/// Claims as requests use them.
#[derive(Clone)]
pub struct Claims {
    instance: String,
    store: ClaimStore,
    pool: Pool,
    members: Members,
    config: Config,
}

impl Claims {
    /// Claims in `store`, whose shards are spread over the live entries.
    pub fn new(
        instance: String,
        store: ClaimStore,
        pool: Pool,
        members: Members,
        config: Config,
    ) -> Self {
        Self { instance, store, pool, members, config }
    }

    /// Reads the claim of a key.
    ///
    /// # Errors
    /// [`ReadFault`] when the store cannot be read.
    pub async fn read(&self, key: KeyHash) -> Result<Option<Claim>, ReadFault> {
        self.store.read(key).await.map_err(|error| {
            log::warn!("event=claim_unread key={key} reason=\"{error}\"");
            ReadFault
        })
    }

    /// Changes a claim, at the entry that groups the shard's changes if it answers.
    ///
    /// Which entry writes is a matter of cost only: the conditional write decides.
    pub async fn swap(
        &self,
        key: KeyHash,
        expect: Option<AttemptId>,
        claim: Option<Claim>,
    ) -> Swap {
        if let Some(owner) = self.owner(key) {
            let request = EntryRequest::Swap { key, expect, claim: claim.clone() };
            if let Some(swap) = self.forward(owner, &request).await {
                return swap;
            }
            // The owner may have written before it fell silent.
            return Swap::Unknown;
        }
        self.swap_here(Change { key, expect, claim }).await
    }

    /// Changes a claim by an own write.
    pub async fn swap_here(&self, change: Change) -> Swap {
        self.store.swap(change).await
    }

    /// Link of the live entry that groups this key's shard; `None` for this entry itself.
    fn owner(&self, key: KeyHash) -> Option<std::net::SocketAddr> {
        let current = self.config.current()?;
        let names = self.members.live_entries_all(&current.fleet);
        let item = format!("shard-{}", shard_of(key));
        let order = rendezvous_order(&item, names.iter().map(String::as_str));
        let owner = order.first().filter(|owner| **owner != self.instance)?;
        current.fleet.instance(owner).map(|(_, instance)| instance.link)
    }

    async fn forward(&self, owner: std::net::SocketAddr, request: &EntryRequest) -> Option<Swap> {
        let bytes = encode(request).ok()?;
        let reply = self.pool.call(owner, &bytes, FORWARD_LIMIT).await.ok()?;
        match decode(&reply).ok()? {
            EntryReply::Swap(reply) => Some(Swap::from(reply)),
            _ => None,
        }
    }
}
