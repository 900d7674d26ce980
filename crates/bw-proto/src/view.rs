//! The part of the configuration that one agent needs.

use std::net::SocketAddr;

use bw_model::fleet::Role;
use bw_model::fleet::Shape;
use bw_model::hash::rendezvous_order;
use bw_model::Fleet;
use bw_model::Version;
use serde::Deserialize;
use serde::Serialize;

/// Entries that an agent sends its heartbeats to.
pub const BEAT_TARGETS: usize = 2;

/// Experts of a group on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShapeView {
    /// Mixture-of-experts layers.
    pub layers: u32,
    /// Experts in each layer.
    pub experts: u32,
    /// Expert slots of each rank in each layer.
    pub slots: u32,
}

impl From<Shape> for ShapeView {
    fn from(shape: Shape) -> Self {
        Self { layers: shape.layers, experts: shape.experts, slots: shape.slots }
    }
}

/// What an agent knows of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentView {
    /// Version it is taken from.
    pub version: Version,
    /// Instance of the agent.
    pub instance: String,
    /// Address of the engine or service.
    pub backend: SocketAddr,
    /// Endpoint it belongs to.
    pub endpoint: String,
    /// Its rank in the endpoint.
    pub rank: u32,
    /// Requests the endpoint runs at a time.
    pub slots: u32,
    /// Whether the engine checks fencing numbers itself.
    pub fenced: bool,
    /// Experts; `None` for a service.
    pub shape: Option<ShapeView>,
    /// Links of all ranks, in rank order.
    pub ranks: Vec<SocketAddr>,
    /// Links of entries, the preferred ones first.
    pub entries: Vec<SocketAddr>,
}

impl AgentView {
    /// The view of the agent on `instance`; `None` when the configuration gives it no endpoint.
    pub fn of(fleet: &Fleet, instance: &str) -> Option<Self> {
        let (key, found) = fleet.instance(instance)?;
        let Role::Agent { backend } = found.role else {
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
            entries: preferred_entries(fleet, instance, found.centre),
        })
    }
}

/// Links of entries for `instance`: those of its own data centre first, each group in rendezvous
/// order, so that agents spread over entries and a lost entry moves only its own agents.
fn preferred_entries(
    fleet: &Fleet,
    instance: &str,
    centre: bw_model::fleet::CentreKey,
) -> Vec<SocketAddr> {
    const ENTRIES_MAX: usize = 8;
    let names = fleet.entries().map(|(_, entry, _)| entry.name.as_str());
    let order = rendezvous_order(instance, names);
    let entries = order.iter().filter_map(|name| fleet.instance(name));
    let (near, far): (Vec<_>, Vec<_>) = entries.partition(|(_, entry)| entry.centre == centre);
    let links = near.into_iter().chain(far).map(|(_, entry)| entry.link);
    links.take(ENTRIES_MAX).collect()
}
