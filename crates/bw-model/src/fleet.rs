//! The fleet that the accepted configuration describes: data centres, instances, pools,
//! endpoints and workspaces.

use std::net::SocketAddr;

use smallvec::SmallVec;

use crate::arena::Arena;
use crate::arena_key;
use crate::ids::Version;
use crate::name::Name;

arena_key!(
    /// Identifies a [`Centre`] in [`Fleet::centres`].
    CentreKey
);
arena_key!(
    /// Identifies an [`Instance`] in [`Fleet::instances`].
    InstanceKey
);
arena_key!(
    /// Identifies a [`Pool`] in [`Fleet::pools`].
    PoolKey
);
arena_key!(
    /// Identifies an [`Endpoint`] in [`Fleet::endpoints`].
    EndpointKey
);
arena_key!(
    /// Identifies a [`Workspace`] in [`Fleet::workspaces`].
    WorkspaceKey
);

/// A data centre.
#[derive(Clone, Debug)]
pub struct Centre {
    /// Unique within the fleet.
    pub name: Name,
    /// Region that the data centre belongs to.
    pub region: Name,
}

/// The process that an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// An entry, which accepts requests from callers.
    Entry {
        /// Address that callers connect to.
        http: SocketAddr,
    },
    /// An agent that runs beside an engine rank or in front of a service.
    Agent {
        /// Address of the engine rank or service that the agent forwards to.
        backend: SocketAddr,
    },
}

/// One entry or agent process of the fleet.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Name from the instance's section header.
    pub name: Name,
    /// Data centre that the instance runs in.
    pub centre: CentreKey,
    /// Address that other processes of the system connect to; unique within the fleet.
    pub link: SocketAddr,
    /// Whether the instance is an entry or an agent.
    pub role: Role,
}

/// Kind of endpoints in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PoolKind {
    /// Groups of ranks that run in lock-step and serve one model.
    Model,
    /// Independent instances of one HTTP service.
    Service,
}

/// Matches calls that must not be repeated, by method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRule {
    /// HTTP method in upper case.
    pub method: String,
    /// Path prefix, including the leading slash.
    pub path: String,
}

/// All endpoints that can serve the same model or service.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Name of the model or service; unique among pools of the same kind.
    pub name: Name,
    /// Whether the endpoints serve a model or a service.
    pub kind: PoolKind,
    /// Calls that must not be repeated; always empty for a model.
    pub not_repeatable: Vec<CallRule>,
    /// Endpoints in the order of the configuration.
    pub endpoints: Vec<EndpointKey>,
}

/// Dimensions of a group's mixture-of-experts layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Number of mixture-of-experts layers.
    pub layers: u32,
    /// Number of experts in each layer.
    pub experts: u32,
    /// Number of expert slots that each rank has in each layer.
    pub slots: u32,
}

/// A routing target: a group of ranks that run in lock-step, or one instance of a service.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the group, or of the instance that runs the service.
    pub name: Name,
    /// Pool that the endpoint belongs to.
    pub pool: PoolKey,
    /// Instances in rank order; the agent of the first one receives the requests.
    pub ranks: SmallVec<[InstanceKey; 8]>,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Expert dimensions of a group; `None` for a service.
    pub shape: Option<Shape>,
    /// Whether the endpoint rejects orders that carry a stale fencing number.
    pub fenced: bool,
    /// Workspaces that may use the endpoint; empty means all.
    pub allowed_workspaces: Vec<WorkspaceKey>,
}

impl Endpoint {
    /// Returns the instance whose agent receives the requests; `None` without ranks.
    pub fn gate(&self) -> Option<InstanceKey> {
        self.ranks.first().copied()
    }

    /// Returns whether the rules let `workspace` use the endpoint.
    pub fn allows(&self, workspace: WorkspaceKey) -> bool {
        self.allowed_workspaces.is_empty() || self.allowed_workspaces.contains(&workspace)
    }
}

/// A workspace with its access and scheduling rules.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Unique within the fleet.
    pub name: Name,
    /// BLAKE3 hash of the workspace's bearer token, as 64 hexadecimal digits.
    pub token_hash: String,
    /// Service order; under contention a lower number is served first.
    pub order: u8,
    /// Weight in fair queueing among workspaces.
    pub share: u32,
    /// Pools that the workspace may use.
    pub pools: Vec<PoolKey>,
}

/// Weighs the load skew of expert placement against the cost of moving experts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// Cost of moving one expert replica, in seconds of one rank's work.
    pub move_price: f64,
    /// Minimum time between two map switches of one group that are not urgent, in seconds.
    pub switch_interval: f64,
}

/// The fleet that one accepted configuration describes.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Version of the configuration that the fleet was built from.
    pub version: Version,
    /// `fleet` unless the configuration sets another name.
    pub name: Name,
    /// Data centres that instances refer to.
    pub centres: Arena<CentreKey, Centre>,
    /// Entries and agents.
    pub instances: Arena<InstanceKey, Instance>,
    /// Models and services.
    pub pools: Arena<PoolKey, Pool>,
    /// Endpoints of all pools.
    pub endpoints: Arena<EndpointKey, Endpoint>,
    /// Workspaces that callers authenticate as.
    pub workspaces: Arena<WorkspaceKey, Workspace>,
    /// Settings of expert placement.
    pub balance: Balance,
}

impl Fleet {
    /// Returns the instance called `name`.
    pub fn instance(&self, name: &str) -> Option<(InstanceKey, &Instance)> {
        self.instances.find(|instance| instance.name.as_str() == name)
    }

    /// Returns the pool of `kind` called `name`.
    pub fn pool(&self, kind: PoolKind, name: &str) -> Option<(PoolKey, &Pool)> {
        self.pools.find(|pool| pool.kind == kind && pool.name.as_str() == name)
    }

    /// Returns the workspace whose bearer token has the hash `token_hash`.
    pub fn workspace(&self, token_hash: &str) -> Option<(WorkspaceKey, &Workspace)> {
        self.workspaces.find(|workspace| workspace.token_hash == token_hash)
    }

    /// Returns the endpoint that `instance` is a rank of, with its rank number.
    pub fn endpoint_of(&self, instance: InstanceKey) -> Option<(EndpointKey, usize)> {
        self.endpoints.iter().find_map(|(key, endpoint)| {
            let rank = endpoint.ranks.iter().position(|rank| *rank == instance)?;
            Some((key, rank))
        })
    }

    /// Iterates over the entries with the addresses that callers connect to.
    pub fn entries(&self) -> impl Iterator<Item = (InstanceKey, &Instance, SocketAddr)> {
        self.instances.iter().filter_map(|(key, instance)| match instance.role {
            Role::Entry { http } => Some((key, instance, http)),
            Role::Agent { .. } => None,
        })
    }
}
