//! Groups of ranks as described by the endpoint list.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bw_direct::endpoint::Endpoint;
use bw_direct::endpoint::Member;

use super::Endpoints;

/// The endpoint that is a rank of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedRank {
    /// Name of the endpoint.
    pub name: String,
    /// Address of the endpoint.
    pub address: SocketAddr,
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
    fn new(name: &str, mut listed: Vec<(&Member, &Endpoint)>) -> Self {
        let size = listed.first().map_or(0, |(member, _)| usize::from(member.size));
        let mut view = Self {
            name: name.to_string(),
            epoch: listed.iter().map(|(member, _)| member.epoch).max().unwrap_or(0),
            ranks: vec![None; size],
            open: listed.iter().all(|(member, _)| member.open),
        };
        listed.sort_by_key(|(member, _)| (member.rank, Reverse(member.epoch)));
        let mut uses: HashMap<SocketAddr, u32> = HashMap::new();
        for claims in listed.chunk_by(|one, other| one.0.rank == other.0.rank) {
            let newest = claims.iter().take_while(|(member, _)| member.epoch == claims[0].0.epoch);
            let newest: Vec<&Endpoint> = newest.map(|(_, endpoint)| *endpoint).collect();
            for endpoint in &newest {
                *uses.entry(endpoint.address).or_default() += 1;
            }
            let ([endpoint], Some(place)) =
                (newest.as_slice(), view.ranks.get_mut(usize::from(claims[0].0.rank)))
            else {
                continue;
            };
            *place = Some(ListedRank { name: endpoint.name.clone(), address: endpoint.address });
        }
        for place in &mut view.ranks {
            if place.as_ref().is_some_and(|rank| uses[&rank.address] > 1) {
                *place = None;
            }
        }
        view
    }

    /// Returns whether all ranks are listed and the group accepts requests.
    pub fn is_open(&self) -> bool {
        self.open && self.ranks.iter().all(Option::is_some)
    }

    /// Returns the endpoint of a rank; `None` if the rank is not listed.
    pub fn rank(&self, rank: u16) -> Option<&ListedRank> {
        self.ranks.get(usize::from(rank))?.as_ref()
    }

    /// Returns the listed ranks with their addresses.
    pub fn addresses(&self) -> Vec<(u16, SocketAddr)> {
        let ranks = self.ranks.iter().enumerate();
        ranks.filter_map(|(rank, listed)| Some((rank as u16, listed.as_ref()?.address))).collect()
    }
}

impl Endpoints {
    /// Returns the groups of a service, ordered by name.
    pub fn groups(&self, service: &str, now: Duration) -> Vec<GroupView> {
        let state = self.lock();
        let table = &state.standings.table;
        let mut groups: BTreeMap<&str, Vec<(&Member, &Endpoint)>> = BTreeMap::new();
        for key in table.usable(service, now) {
            let Some(record) = table.get(key) else { continue };
            let Some(member) = &record.endpoint.member else { continue };
            groups.entry(&member.group).or_default().push((member, &record.endpoint));
        }
        groups.into_iter().map(|(name, listed)| GroupView::new(name, listed)).collect()
    }
}
