//! Groups of ranks as described by the endpoint list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bw_direct::endpoint::Endpoint;
use bw_direct::endpoint::EndpointKey;
use bw_direct::endpoint::Member;

use super::Endpoints;

/// The endpoint that is a rank of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedRank {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Address of the endpoint.
    pub address: SocketAddr,
}

/// An endpoint that lists itself as a rank.
struct Claim<'a> {
    key: EndpointKey,
    endpoint: &'a Endpoint,
    member: &'a Member,
}

/// A group as described by the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupView {
    /// Name of the group.
    pub name: String,
    /// Number of the group's incarnation.
    pub epoch: u64,
    /// The endpoint of each rank; `None` for a rank that is not listed, or whose endpoint the list does not tell.
    pub ranks: Vec<Option<ListedRank>>,
    open: bool,
}

impl GroupView {
    /// Creates the view of a group from the endpoints that list themselves as its ranks.
    ///
    /// Of two endpoints for one rank, the one with the newer epoch counts. A rank that two endpoints of one epoch claim
    /// has none, and neither have ranks that share an address.
    fn new(name: &str, claims: &[Claim<'_>]) -> Self {
        let size = claims.first().map_or(0, |claim| usize::from(claim.member.size));
        let mut view = Self {
            name: name.to_string(),
            epoch: claims.iter().map(|claim| claim.member.epoch).max().unwrap_or(0),
            ranks: vec![None; size],
            open: claims.iter().all(|claim| claim.member.open),
        };
        // Newest epoch of each rank.
        let mut epochs: Vec<Option<u64>> = vec![None; size];
        for Claim { key, endpoint, member } in claims {
            let rank = usize::from(member.rank);
            let Some(newest) = epochs.get_mut(rank) else { continue };
            if *newest > Some(member.epoch) {
                continue;
            }
            let contested = *newest == Some(member.epoch);
            *newest = Some(member.epoch);
            let listed = ListedRank { key: *key, address: endpoint.address };
            view.ranks[rank] = (!contested).then_some(listed);
        }
        let newest = claims.iter().filter(|claim| {
            epochs.get(usize::from(claim.member.rank)) == Some(&Some(claim.member.epoch))
        });
        let mut addresses: Vec<SocketAddr> = newest.map(|claim| claim.endpoint.address).collect();
        addresses.sort_unstable();
        for shared in addresses.windows(2).filter(|pair| pair[0] == pair[1]).map(|pair| pair[0]) {
            for place in &mut view.ranks {
                *place = place.filter(|listed| listed.address != shared);
            }
        }
        view
    }

    /// Returns whether all ranks are listed and the group accepts requests.
    pub fn is_open(&self) -> bool {
        self.open && self.ranks.iter().all(Option::is_some)
    }

    /// Returns the endpoint of a rank; `None` if the rank is not listed.
    pub fn rank(&self, rank: u16) -> Option<ListedRank> {
        self.ranks.get(usize::from(rank)).copied().flatten()
    }

    /// Returns the listed ranks with their addresses.
    pub fn addresses(&self) -> Vec<(u16, SocketAddr)> {
        let ranks = self.ranks.iter().enumerate();
        ranks.filter_map(|(rank, listed)| Some((rank as u16, (*listed)?.address))).collect()
    }
}

impl Endpoints {
    /// Returns the groups of a service, ordered by name.
    pub fn groups(&self, service: &str, now: Duration) -> Vec<GroupView> {
        let state = self.lock();
        let table = &state.standings.table;
        let mut groups: BTreeMap<&str, Vec<Claim<'_>>> = BTreeMap::new();
        for key in table.usable(service, now) {
            let Some(record) = table.get(key) else { continue };
            let endpoint = &record.endpoint;
            let Some(member) = &endpoint.member else { continue };
            groups.entry(&member.group).or_default().push(Claim { key, endpoint, member });
        }
        groups.into_iter().map(|(name, claims)| GroupView::new(name, &claims)).collect()
    }

    /// Returns the name of an endpoint; empty if there is none with this key.
    pub fn name(&self, key: EndpointKey) -> String {
        let state = self.lock();
        state.standings.table.get(key).map_or(String::new(), |record| record.endpoint.name.clone())
    }
}
