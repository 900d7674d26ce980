//! The fleet as the accepted configuration describes it.

use std::net::SocketAddr;

use smallvec::SmallVec;

use crate::arena::Arena;
use crate::arena_key;
use crate::ids::Version;
use crate::name::Name;

arena_key!(
    /// Key of a data centre.
    CentreKey
);
arena_key!(
    /// Key of an instance.
    InstanceKey
);
arena_key!(
    /// Key of a pool.
    PoolKey
);
arena_key!(
    /// Key of an endpoint.
    EndpointKey
);
arena_key!(
    /// Key of a workspace.
    WorkspaceKey
);

/// A data centre and its region.
#[derive(Clone, Debug)]
pub struct Centre {
    /// Name of the data centre.
    pub name: Name,
    /// Name of the region it lies in.
    pub region: Name,
}

/// What an instance carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// An entry process; callers reach it at `http`.
    Entry {
        /// Address for callers.
        http: SocketAddr,
    },
    /// An agent before an engine rank or a service.
    Agent {
        /// Address of the engine or service behind the agent.
        backend: SocketAddr,
    },
}

/// One instance.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Name of the instance.
    pub name: Name,
    /// Data centre it stands in.
    pub centre: CentreKey,
    /// Address for other processes of the system.
    pub link: SocketAddr,
    /// What it carries.
    pub role: Role,
}

/// What the endpoints of a pool do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PoolKind {
    /// Lock-step groups that serve one model.
    Model,
    /// A plain service.
    Service,
}

/// A call that may not be repeated: a method and a path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRule {
    /// HTTP method in capitals.
    pub method: String,
    /// Path prefix, with its leading slash.
    pub path: String,
}

/// All endpoints that can serve the same model or service.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Name of the model or service.
    pub name: Name,
    /// What the endpoints do.
    pub kind: PoolKind,
    /// Calls that may not be repeated.
    pub once: Vec<CallRule>,
    /// Members of the pool.
    pub endpoints: Vec<EndpointKey>,
}

/// The shape of a group's experts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Mixture-of-experts layers.
    pub layers: u32,
    /// Experts in each layer.
    pub experts: u32,
    /// Expert slots of each rank in each layer.
    pub slots: u32,
}

/// A unit of routing: a lock-step group, or one instance of a service.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the group, or of the service's instance.
    pub name: Name,
    /// Pool it belongs to.
    pub pool: PoolKey,
    /// Instances in rank order; the first one's agent takes the requests.
    pub ranks: SmallVec<[InstanceKey; 8]>,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Experts of a group; `None` for a service.
    pub shape: Option<Shape>,
    /// Whether it refuses orders that carry an old fencing number.
    pub fenced: bool,
    /// Workspaces it may serve; empty means all.
    pub only: Vec<WorkspaceKey>,
}

impl Endpoint {
    /// The instance whose agent takes the requests.
    pub fn gate(&self) -> Option<InstanceKey> {
        self.ranks.first().copied()
    }

    /// Whether the rules let it serve `workspace`.
    pub fn allows(&self, workspace: WorkspaceKey) -> bool {
        self.only.is_empty() || self.only.contains(&workspace)
    }
}

/// One workspace with its rules.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Name,
    /// Hash of its bearer token: BLAKE3, 64 hexadecimal digits.
    pub token: String,
    /// Service order; a lower number goes first under contention.
    pub order: u8,
    /// Weight among workspaces of the same order.
    pub share: u32,
    /// Pools it may use.
    pub pools: Vec<PoolKey>,
}

/// How placement weighs skew against the cost of moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// Price of moving one expert replica, in seconds of one rank's work.
    pub price: f64,
    /// Shortest time between two switches of one group, in seconds.
    pub pause: f64,
}

/// The fleet of one accepted configuration.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Version of the configuration.
    pub version: Version,
    /// Name of the fleet.
    pub name: Name,
    /// Data centres.
    pub centres: Arena<CentreKey, Centre>,
    /// Instances, entries and agents alike.
    pub instances: Arena<InstanceKey, Instance>,
    /// Pools of endpoints.
    pub pools: Arena<PoolKey, Pool>,
    /// Endpoints.
    pub endpoints: Arena<EndpointKey, Endpoint>,
    /// Workspaces.
    pub workspaces: Arena<WorkspaceKey, Workspace>,
    /// Placement rules.
    pub balance: Balance,
}

impl Fleet {
    /// The instance called `name`.
    pub fn instance(&self, name: &str) -> Option<(InstanceKey, &Instance)> {
        self.instances.find(|instance| instance.name.as_str() == name)
    }

    /// The pool called `name` of the given kind.
    pub fn pool(&self, kind: PoolKind, name: &str) -> Option<(PoolKey, &Pool)> {
        self.pools.find(|pool| pool.kind == kind && pool.name.as_str() == name)
    }

    /// The workspace whose token hashes to `token`.
    pub fn workspace(&self, token: &str) -> Option<(WorkspaceKey, &Workspace)> {
        self.workspaces.find(|workspace| workspace.token == token)
    }

    /// The endpoint in which `instance` is a rank, with the rank's number.
    pub fn endpoint_of(&self, instance: InstanceKey) -> Option<(EndpointKey, usize)> {
        self.endpoints.iter().find_map(|(key, endpoint)| {
            let rank = endpoint.ranks.iter().position(|rank| *rank == instance)?;
            Some((key, rank))
        })
    }

    /// The entry instances with their addresses for callers.
    pub fn entries(&self) -> impl Iterator<Item = (InstanceKey, &Instance, SocketAddr)> {
        self.instances.iter().filter_map(|(key, instance)| match instance.role {
            Role::Entry { http } => Some((key, instance, http)),
            Role::Agent { .. } => None,
        })
    }
}
