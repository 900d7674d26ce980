//! The accepted configuration: routes, services, limits for callers, and workspaces with their
//! keys.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use bw_model::arena_key;
use bw_model::Arena;
use bw_model::Key;
use bw_model::Version;
use smallvec::SmallVec;

use crate::urgency::UrgencyScale;

/// Workspace priority of requests without a workspace.
const PRIORITY_PUBLIC: u8 = 5;
/// Number of priorities that are distinguished, of workspaces and of routes; lower ones count as the
/// lowest. A pair of priorities then fits into a `u8`.
const PRIORITY_COUNT: u8 = 16;

arena_key!(
    /// Key of a route within one catalog.
    RouteKey
);

arena_key!(
    /// Key of a service within one catalog.
    ServiceKey
);

arena_key!(
    /// Key of a workspace within one catalog.
    WorkspaceKey
);

/// Whether requests of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: a request may run more than once.
    Safe,
    /// Not idempotent: a request runs at most once.
    Unsafe,
    /// The answer is an event stream; a request runs at most once unless the route is resumable.
    Streaming,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A route, which maps a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Path prefix of the requests; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// Maximum time from the request to the last byte of the answer.
    pub timeout: Duration,
    /// Target time to the first byte; an answer within this time is timely.
    pub target: Duration,
    /// Target for the longest pause between events; `None` if the route has no such target.
    pub pause: Option<Duration>,
    /// Priority among the routes; 0 is the highest.
    pub priority: u8,
    /// Services that requests are distributed over.
    pub targets: SmallVec<[Target; 2]>,
    /// Maximum number of endpoints at which a request may run.
    pub attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Whether requests belong to sessions, whose prompts have parts in common.
    pub sessions: bool,
    /// Whether a stream may continue at another endpoint after the last delivered event.
    pub resumable: bool,
    /// Regions in which requests may run; empty for any.
    pub homes: Vec<String>,
}

impl Route {
    /// Returns whether a request of this route may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// Performance model of a service's engines, and the expert layout of its groups.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Token steps per pass.
    pub stride: u32,
    /// Length of a step without requests.
    pub step: Duration,
    /// Time added to a step by each request in the decode phase.
    pub sequence: Duration,
    /// Time added to a step by every 1,000 tokens of context.
    pub context: Duration,
    /// Prompt tokens read per second.
    pub prefill_rate: f64,
    /// Maximum number of prompt tokens read in one step.
    pub chunk: u32,
    /// Capacity of the KV cache in tokens.
    pub kv_capacity: u64,
    /// Mean length of a prompt in tokens.
    pub prompt: f64,
    /// Mean length of an answer in tokens.
    pub answer: f64,
    /// Age of the data in a rank's reports.
    pub report_lag: Duration,
    /// Expert layout; `None` for dense models.
    pub experts: Option<ExpertShape>,
}

/// Layout and costs of the experts in a group.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpertShape {
    /// Number of layer sets with a placement of their own.
    pub sets: usize,
    /// Number of experts in each set.
    pub experts: usize,
    /// Experts per set that a rank can hold.
    pub placements: usize,
    /// Experts per set that a rank can receive in one switch of the map.
    pub spare: usize,
    /// Size of one expert's weights in bytes.
    pub bytes: f64,
    /// Rate at which a rank copies weights, in bytes per second.
    pub copy_rate: f64,
    /// Fraction of the computation for a token that is spent in experts.
    pub expert_fraction: f64,
    /// Time that a group needs to form after a rank has returned.
    pub forming_time: Duration,
}

impl ExpertShape {
    /// Returns the time that a rank needs to copy one expert.
    pub fn copy_time(&self) -> Duration {
        let seconds = self.bytes / self.copy_rate.max(1.0);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// What endpoints of a service take while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdService {
    /// Requests a second of an endpoint; positive.
    pub rate: f64,
    /// Time for which an endpoint is cold after its start.
    pub start: Duration,
}

/// A service with its health check, connection limit and engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the health check.
    pub health: String,
    /// Connections that an endpoint accepts from all callers together.
    pub connections: u32,
    /// What its endpoints take while they are cold; `None` if they are never cold.
    pub cold: Option<ColdService>,
    /// Performance model of the engine; `None` if the service runs no model.
    pub engine: Option<Engine>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head: usize,
    /// Maximum size of a request body in bytes.
    pub body: usize,
    /// Maximum time to receive a request head.
    pub time: Duration,
    /// Maximum idle time of a connection.
    pub idle: Duration,
}

/// A workspace with the keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name that is sent to endpoints.
    pub name: String,
    /// Keys that authenticate callers of the workspace.
    pub keys: Vec<String>,
    /// Priority, compared before the priority of routes; 0 is the highest.
    pub priority: u8,
    /// Regions in which the workspace's requests may run; empty for any.
    pub homes: Vec<String>,
}

/// A decoded configuration that has not been validated.
#[derive(Clone, Debug)]
pub struct Draft {
    /// Version of the configuration.
    pub version: Version,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: Limits,
    /// Workspaces; `None` if callers need no key.
    pub workspaces: Option<Vec<Workspace>>,
}

/// Reason why a draft is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogError {
    /// The prefix of a route does not begin and end with a slash.
    Prefix {
        /// Name of the route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// A route has no target with a positive weight.
    Target {
        /// Name of the route.
        route: String,
    },
    /// Two workspaces share a key.
    Key {
        /// Name of one of the workspaces.
        workspace: String,
    },
}

impl fmt::Display for CatalogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Prefix { route, prefix } => {
                write!(f, "route {route}: prefix {prefix:?} must begin and end with a slash")
            }
            Self::Target { route } => write!(f, "route {route}: no service has a weight"),
            Self::Key { workspace } => {
                write!(
                    f,
                    "workspace {workspace}: one of its keys also belongs to another workspace"
                )
            }
        }
    }
}

impl std::error::Error for CatalogError {}

/// One version of the accepted configuration, indexed for lookups by requests.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// Version of the configuration.
    pub version: Version,
    /// Routes.
    pub routes: Arena<RouteKey, Route>,
    /// Services.
    pub services: Arena<ServiceKey, Service>,
    /// Limits for callers.
    pub limits: Limits,
    /// Workspaces.
    pub workspaces: Arena<WorkspaceKey, Workspace>,
    /// Whether routes that are not public need a key.
    pub requires_key: bool,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<RouteKey>>,
    keys: HashMap<String, WorkspaceKey>,
    /// Scales of the services whose routes differ in urgency.
    urgency: HashMap<String, UrgencyScale>,
}

impl TryFrom<Draft> for Catalog {
    type Error = CatalogError;

    fn try_from(draft: Draft) -> Result<Self, CatalogError> {
        let mut catalog = Self {
            version: draft.version,
            routes: Arena::default(),
            services: Arena::default(),
            limits: draft.limits,
            workspaces: Arena::default(),
            requires_key: draft.workspaces.is_some(),
            hosts: HashMap::new(),
            keys: HashMap::new(),
            urgency: HashMap::new(),
        };
        for service in draft.services {
            catalog.services.push(service);
        }
        for workspace in draft.workspaces.unwrap_or_default() {
            catalog.add_workspace(workspace)?;
        }
        for route in draft.routes {
            catalog.add_route(route)?;
        }
        let routes = &catalog.routes;
        for keys in catalog.hosts.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(routes[*key].prefix.len()));
        }
        catalog.urgency = catalog.urgency_scales();
        Ok(catalog)
    }
}

impl Catalog {
    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = host_name(host).to_ascii_lowercase();
        let keys = self.hosts.get(&name)?;
        keys.iter().copied().find(|key| path.starts_with(&self.routes[*key].prefix))
    }

    /// Returns whether a route of the host, or any workspace, names regions in which requests may run.
    pub fn names_homes(&self, host: &str) -> bool {
        let routes = self.hosts.get(&host_name(host).to_ascii_lowercase());
        routes.into_iter().flatten().any(|key| !self.routes[*key].homes.is_empty())
            || self.workspaces.iter().any(|(_, workspace)| !workspace.homes.is_empty())
    }

    /// Returns whether any route has this host.
    pub fn has_host(&self, host: &str) -> bool {
        self.hosts.contains_key(&host_name(host).to_ascii_lowercase())
    }

    /// Returns the workspace that a caller's key belongs to.
    pub fn workspace(&self, key: &str) -> Option<WorkspaceKey> {
        self.keys.get(key).copied()
    }

    /// Returns the workspace with this name.
    pub fn workspace_named(&self, name: &str) -> Option<WorkspaceKey> {
        self.workspaces.find(|workspace| workspace.name == name).map(|(key, _)| key)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.find(|service| service.name == name).map(|(_, service)| service)
    }

    /// Returns the scale of a service whose routes differ in urgency.
    pub fn urgency(&self, service: &str) -> Option<&UrgencyScale> {
        self.urgency.get(service)
    }

    /// Returns the shortest target pause among the routes of a service.
    pub fn shortest_pause(&self, service: &str) -> Option<Duration> {
        let serves = |route: &Route| route.targets.iter().any(|target| target.service == service);
        let routes = self.routes.iter().map(|(_, route)| route).filter(|route| serves(route));
        routes.filter_map(|route| route.pause).min()
    }

    fn urgency_scales(&self) -> HashMap<String, UrgencyScale> {
        let mut routes: HashMap<&str, Vec<&Route>> = HashMap::new();
        for (_, route) in self.routes.iter() {
            for target in &route.targets {
                routes.entry(target.service.as_str()).or_default().push(route);
            }
        }
        let workspaces: BTreeSet<u8> =
            self.workspaces.iter().map(|(_, workspace)| workspace.priority).collect();
        let orders = |route: &Route| -> SmallVec<[u8; 4]> {
            if route.public || !self.requires_key {
                return SmallVec::from_slice(&[service_order(None, route.priority)]);
            }
            workspaces.iter().map(|one| service_order(Some(*one), route.priority)).collect()
        };
        let scales = routes.into_iter().filter_map(|(service, routes)| {
            let orders = routes.iter().flat_map(|route| orders(route));
            let scale = UrgencyScale::new(routes.iter().copied(), orders)?;
            Some((service.to_string(), scale))
        });
        scales.collect()
    }

    fn add_workspace(&mut self, workspace: Workspace) -> Result<(), CatalogError> {
        let next = WorkspaceKey::from_index(self.workspaces.len() as u32);
        for key in &workspace.keys {
            if self.keys.insert(key.clone(), next).is_some_and(|holder| holder != next) {
                return Err(CatalogError::Key { workspace: workspace.name });
            }
        }
        self.workspaces.push(workspace);
        Ok(())
    }

    fn add_route(&mut self, mut route: Route) -> Result<(), CatalogError> {
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(CatalogError::Prefix { route: route.name, prefix: route.prefix });
        }
        route.targets.retain(|target| target.weight > 0);
        if route.targets.is_empty() {
            return Err(CatalogError::Target { route: route.name });
        }
        let host = route.host.to_ascii_lowercase();
        let key = self.routes.push(route);
        self.hosts.entry(host).or_default().push(key);
        Ok(())
    }
}

/// Returns the service order of a workspace's requests on a route, given the priorities of both; the
/// workspace's takes precedence.
pub fn service_order(workspace: Option<u8>, route: u8) -> u8 {
    let workspace = workspace.unwrap_or(PRIORITY_PUBLIC).min(PRIORITY_COUNT - 1);
    workspace * PRIORITY_COUNT + route.min(PRIORITY_COUNT - 1)
}

/// Picks a target in proportion to the weights; `draw` is uniform over all `u64` values.
pub fn pick_target(targets: &[Target], draw: u64) -> Option<&Target> {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut rest = draw.checked_rem(total)?;
    for target in targets {
        let weight = u64::from(target.weight);
        if rest < weight {
            return Some(target);
        }
        rest -= weight;
    }
    None
}

/// Returns the host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
