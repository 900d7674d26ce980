//! Slow endpoints, as reported by the planner of this gateway or of a peer.

use std::net::SocketAddr;
use std::time::Duration;

use bw_direct::endpoint::EndpointKey;
use bw_direct::endpoint::EndpointRecord;
use bw_direct::endpoint::EndpointState;
use bw_direct::evacuation::should_evacuate;
use bw_direct::evacuation::PACE_LIMIT;
use bw_direct::peers::PaceNews;
use bw_model::Key;

use super::Endpoints;
use super::PACE_AGE_MAX;

impl Endpoints {
    /// Replaces the slow endpoints that this gateway's planner reports; addresses that are not
    /// listed are ignored.
    pub fn set_paces(&self, slow: Vec<(SocketAddr, f64)>) {
        let mut state = self.lock();
        if slow.is_empty() && state.local_paces.is_empty() {
            return;
        }
        let table = &state.standings.table;
        let key = |address: SocketAddr| {
            let listed = |record: &EndpointRecord| {
                record.endpoint.address == address && record.state != EndpointState::Gone
            };
            table.iter().find(|(_, record)| listed(record)).map(|(key, _)| key)
        };
        let paces = slow.into_iter().filter_map(|(at, pace)| Some((key(at)?, pace))).collect();
        state.local_paces = paces;
    }

    /// Returns the slow endpoints that this gateway's planner reported, for the news to peers.
    pub fn pace_news(&self) -> Vec<PaceNews> {
        let state = self.lock();
        let paces = state.local_paces.iter();
        let news = paces.map(|(key, pace)| PaceNews {
            endpoint: state.extras[key.index()].name_hash,
            percent: (pace * 100.0) as u32,
        });
        news.collect()
    }

    /// Replaces the slow endpoints reported by the gateway that holds the planning duty.
    pub fn receive_paces(&self, paces: &[PaceNews], now: Duration) {
        let mut state = self.lock();
        let known = paces.iter().filter_map(|news| {
            Some((*state.by_hash.get(&news.endpoint)?, f64::from(news.percent) / 100.0))
        });
        let known = known.collect();
        state.peer_paces = (now, known);
    }

    /// Returns whether streams at an endpoint should move to other endpoints of its group.
    pub fn should_evacuate(&self, key: EndpointKey, now: Duration) -> bool {
        let state = self.lock();
        let pace = state.pace(key, now);
        if pace < PACE_LIMIT {
            return false;
        }
        let Some(record) = state.standings.table.get(key) else { return false };
        let Some(member) = &record.endpoint.member else { return false };
        let (at, peer_paces) = &state.peer_paces;
        let current = now.saturating_sub(*at) <= PACE_AGE_MAX;
        let slow = if state.local_paces.is_empty() && current {
            peer_paces.as_slice()
        } else {
            state.local_paces.as_slice()
        };
        let in_group = |key: &EndpointKey| state.group_of(*key) == Some(member.group.as_str());
        let paces: Vec<f64> =
            slow.iter().filter(|(key, _)| in_group(key)).map(|(_, pace)| *pace).collect();
        should_evacuate(pace, &paces, usize::from(member.size))
    }
}
