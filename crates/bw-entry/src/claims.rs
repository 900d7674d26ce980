//! Claims of idempotency keys. Changes of a shard are batched at one entry.

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

/// Maximum time to wait for the entry that batches a shard's changes.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Reads and changes the claims of idempotency keys.
#[derive(Clone)]
pub struct Claims {
    instance: String,
    store: ClaimStore,
    pool: Pool,
    members: Members,
    config: Config,
}

impl Claims {
    /// Creates access to the claims in `store`, whose shards are spread over the live entries.
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
    /// Returns [`ReadFault`] if the store cannot be read.
    pub async fn read(&self, key: KeyHash) -> Result<Option<Claim>, ReadFault> {
        self.store.read(key).await.map_err(|error| {
            log::warn!("event=claim_unread key={key} reason=\"{error}\"");
            ReadFault
        })
    }

    /// Changes a claim through the entry that batches the shard's changes. Returns
    /// [`Swap::Unknown`] if that entry does not reply.
    ///
    /// Batching only reduces the number of writes. The result is determined by the conditional
    /// write, whichever entry performs it.
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
            // The owner may have written the claim before it stopped replying.
            return Swap::Unknown;
        }
        self.swap_local(Change { key, expect, claim }).await
    }

    /// Changes a claim by a write of this entry.
    pub async fn swap_local(&self, change: Change) -> Swap {
        self.store.swap(change).await
    }

    /// Returns the link address of the live entry that batches the changes of this key's shard, or
    /// `None` if that is this entry or no owner is known.
    fn owner(&self, key: KeyHash) -> Option<std::net::SocketAddr> {
        let current = self.config.current()?;
        let names = self.members.live_entries_all(&current.fleet);
        let item = format!("shard-{}", shard_of(key));
        let order = rendezvous_order(&item, names.iter().map(String::as_str));
        let owner = order.first().filter(|owner| **owner != self.instance)?;
        current.fleet.instance(owner).map(|(_, instance)| instance.link)
    }

    /// Sends a change to its owner; `None` if no valid reply arrives.
    async fn forward(&self, owner: std::net::SocketAddr, request: &EntryRequest) -> Option<Swap> {
        let bytes = encode(request).ok()?;
        let reply = self.pool.call(owner, &bytes, FORWARD_TIMEOUT).await.ok()?;
        match decode(&reply).ok()? {
            EntryReply::Swap(reply) => Some(Swap::from(reply)),
            _ => None,
        }
    }
}
