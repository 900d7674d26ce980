//! What is told about peers in few bytes: their briefs, and what others have heard of them.

use std::collections::BTreeMap;
use std::time::Duration;

use bw_member::PeerState;

use super::News;
use super::Peers;
use crate::centre_news::Brief;
use crate::centre_news::Sighting;
use crate::load::PEER_AGE_MAX;
use crate::reports::GatewayKey;

impl Peers {
    /// Returns the whole news that a brief stands for, without work; `None` if the life of the sender is
    /// not known.
    pub fn complete(&self, brief: &Brief) -> Option<News> {
        let peer = self.peers.values().find(|peer| peer.key == Some(brief.gateway))?;
        let state = PeerState {
            seq: brief.seq,
            leaving: brief.leaving,
            version: brief.version,
            ..peer.state.clone()?
        };
        Some(News {
            state,
            address: peer.address.clone(),
            stamp: brief.stamp,
            ready: brief.ready,
            proof: brief.proof,
            store: brief.store,
            listing: brief.listing,
            duty: brief.duty,
            paces: brief.paces.clone(),
            works: Vec::new(),
            suspects: Vec::new(),
            others: Vec::new(),
        })
    }

    /// Applies what another gateway has heard of the peers in its data centre. It tells who is alive, but
    /// does not count as news of the peers themselves.
    pub fn apply_sightings(&mut self, sightings: &[Sighting], now: Duration) {
        let sighted: BTreeMap<GatewayKey, &Sighting> =
            sightings.iter().map(|sighting| (sighting.gateway, sighting)).collect();
        for peer in self.peers.values_mut() {
            let Some(sighting) = peer.key.and_then(|key| sighted.get(&key)) else { continue };
            let Some(state) = peer.state.as_mut().filter(|state| state.seq <= sighting.seq) else {
                continue;
            };
            let age = Duration::from_millis(u64::from(sighting.age));
            state.seq = sighting.seq;
            state.leaving = sighting.leaving;
            peer.ready = sighting.ready;
            peer.sighted = peer.sighted.max(now.checked_sub(age));
        }
    }

    /// Returns what this gateway has heard of the peers in its data centre `centre`, by instance.
    pub fn sightings(&self, centre: &str, now: Duration) -> Vec<(String, Sighting)> {
        let local = self.peers.values().filter(|peer| peer.address.centre == centre);
        let sightings = local.filter_map(|peer| {
            let age = now.saturating_sub(peer.last_seen?);
            let state = peer.state.as_ref().filter(|_| age <= PEER_AGE_MAX)?;
            let sighting = Sighting {
                gateway: peer.key?,
                seq: state.seq,
                ready: peer.ready,
                leaving: state.leaving,
                age: age.as_millis() as u32,
            };
            Some((peer.address.instance.clone(), sighting))
        });
        sightings.collect()
    }

    /// Returns the key of a peer's present life; `None` if no news of the peer were received.
    pub fn key(&self, instance: &str) -> Option<GatewayKey> {
        self.peers.get(instance)?.key
    }
}
