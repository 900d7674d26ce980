//! The part of the configuration that one agent needs.

use std::net::SocketAddr;

use bw_model::fleet::Role;
use bw_model::fleet::Shape;
use bw_model::hash::rendezvous_order;
use bw_model::Fleet;
use bw_model::Version;
use serde::Deserialize;
use serde::Serialize;

/// Number of entries that an agent sends its heartbeats to.
pub const HEARTBEAT_TARGETS: usize = 2;

/// Expert dimensions of a group, as sent to agents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShapeView {
    /// Mixture-of-experts layers.
    pub layers: u32,
    /// Distinct experts in each layer.
    pub experts: u32,
    /// Expert slots that each rank has in each layer.
    pub slots: u32,
}

impl From<Shape> for ShapeView {
    fn from(shape: Shape) -> Self {
        Self { layers: shape.layers, experts: shape.experts, slots: shape.slots }
    }
}

/// The part of the configuration that concerns one agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentView {
    /// Version of the configuration that the view is taken from.
    pub version: Version,
    /// Instance of the agent.
    pub instance: String,
    /// Address of the engine or service behind the agent.
    pub backend: SocketAddr,
    /// Endpoint that the agent belongs to.
    pub endpoint: String,
    /// Rank of the agent in the endpoint.
    pub rank: u32,
    /// Maximum number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint rejects orders that carry a stale fencing number.
    pub fenced: bool,
    /// Expert dimensions; `None` for a service.
    pub shape: Option<ShapeView>,
    /// Link addresses of all ranks, in rank order.
    pub ranks: Vec<SocketAddr>,
    /// Link addresses of entries, the preferred ones first.
    pub entries: Vec<SocketAddr>,
}

impl AgentView {
    /// Returns the view of the agent on `instance`.
    ///
    /// `None` when the configuration has no agent there, or gives it no endpoint.
    pub fn of(fleet: &Fleet, instance: &str) -> Option<Self> {
        let (key, record) = fleet.instance(instance)?;
        let Role::Agent { backend } = record.role else {
            return None;
        };
        let (endpoint, rank) = fleet.endpoint_of(key)?;
        let endpoint = &fleet.endpoints[endpoint];
        Some(Self {
            version: fleet.version,
            instance: instance.to_string(),
            backend,
            endpoint: endpoint.name.to_string(),
            rank: rank as u32,
            slots: endpoint.slots,
            fenced: endpoint.fenced,
            shape: endpoint.shape.map(ShapeView::from),
            ranks: endpoint.ranks.iter().map(|rank| fleet.instances[*rank].link).collect(),
            entries: preferred_entries(fleet, instance, record.centre),
        })
    }
}

/// Returns the link addresses of up to 8 entries for the agent on `instance`.
///
/// Entries of its own data centre come first, then the others, both in rendezvous order: agents
/// spread over entries, and a failed entry moves only its own agents.
fn preferred_entries(
    fleet: &Fleet,
    instance: &str,
    centre: bw_model::fleet::CentreKey,
) -> Vec<SocketAddr> {
    const ENTRIES_MAX: usize = 8;
    let names = fleet.entries().map(|(_, entry, _)| entry.name.as_str());
    let order = rendezvous_order(instance, names);
    let entries = order.iter().filter_map(|name| fleet.instance(name));
    let (local, remote): (Vec<_>, Vec<_>) = entries.partition(|(_, entry)| entry.centre == centre);
    let links = local.into_iter().chain(remote).map(|(_, entry)| entry.link);
    links.take(ENTRIES_MAX).collect()
}
