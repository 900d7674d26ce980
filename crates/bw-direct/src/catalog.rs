//! What the operator has accepted: routes, services, limits for callers, workspaces and their keys.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use bw_model::arena_key;
use bw_model::Arena;
use bw_model::Key;
use bw_model::Version;
use smallvec::SmallVec;

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

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: it may run more than once.
    Safe,
    /// Not idempotent: it runs at most once.
    Unsafe,
    /// The answer is a series of events; it runs at most once unless it may be resumed.
    Streaming,
}

/// A service that gets a part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Its part, relative to the other targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Start of the paths that it serves; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time from the request to its last byte.
    pub timeout: Duration,
    /// Time to the first byte of a timely answer.
    pub target: Duration,
    /// Longest pause between the events of a timely answer.
    pub pause: Option<Duration>,
    /// Rank among the routes; 0 is the highest.
    pub priority: u8,
    /// Services that serve it.
    pub targets: SmallVec<[Target; 2]>,
    /// Endpoints that one request may be given to.
    pub attempts: u32,
    /// Needs no key.
    pub public: bool,
    /// Carries requests of sessions, which share parts of their prompts.
    pub sessions: bool,
    /// A stream may go on at another endpoint after the last event that was delivered.
    pub resumable: bool,
}

impl Route {
    /// Whether a request of this route may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// How long the engines of a service take, and how their groups place experts.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Token steps in one pass.
    pub stride: u32,
    /// Length of a step without requests.
    pub step: Duration,
    /// What each writing request adds to a step.
    pub sequence: Duration,
    /// What 1,000 tokens of context add to a step.
    pub context: Duration,
    /// Prompt tokens read in a second.
    pub reading: f64,
    /// Prompt tokens read in one step at most.
    pub chunk: u32,
    /// Tokens of KV cache.
    pub memory: u64,
    /// Mean prompt, in tokens.
    pub prompt: f64,
    /// Mean answer, in tokens.
    pub answer: f64,
    /// Age of what a rank reports.
    pub lag: Duration,
    /// Expert placement; `None` for dense models.
    pub experts: Option<ExpertShape>,
}

/// How the ranks of a group hold experts.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpertShape {
    /// Sets of layers that are placed separately.
    pub sets: usize,
    /// Experts in each set.
    pub experts: usize,
    /// Experts that a rank can hold in each set.
    pub places: usize,
    /// Experts of a set that a rank can receive in one change of the map.
    pub spare: usize,
    /// Size of an expert's weights in bytes.
    pub bytes: f64,
    /// Bytes a second at which a rank copies weights.
    pub copying: f64,
    /// Part of a token's work that experts do.
    pub fraction: f64,
    /// Time in which a group forms after a rank's return.
    pub forming: Duration,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of its health check.
    pub health: String,
    /// Connections that an endpoint takes from all callers together.
    pub connections: u32,
    /// Engine of a model service.
    pub engine: Option<Engine>,
}

/// Limits for what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Time for a request's head.
    pub time: Duration,
    /// Time for which a connection may stay idle.
    pub idle: Duration,
}

/// One workspace with its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name that endpoints are told.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Rank that precedes the routes' priority; 0 is the highest.
    pub priority: u8,
}

/// A decoded catalog before it is checked.
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
    /// Workspaces; `None` where callers need no key.
    pub workspaces: Option<Vec<Workspace>>,
}

/// Why a draft is not a catalog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogError {
    /// A route's prefix does not begin and end with a slash.
    Prefix {
        /// Name of the route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// A route has no target with a weight.
    Target {
        /// Name of the route.
        route: String,
    },
    /// Two workspaces have the same key.
    Key {
        /// One of the workspaces.
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
                write!(f, "workspace {workspace}: one of its keys belongs to another one, too")
            }
        }
    }
}

impl std::error::Error for CatalogError {}

/// One version of the accepted configuration, indexed for requests.
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
    pub guarded: bool,
    /// Routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<RouteKey>>,
    keys: HashMap<String, WorkspaceKey>,
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
            guarded: draft.workspaces.is_some(),
            hosts: HashMap::new(),
            keys: HashMap::new(),
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
        Ok(catalog)
    }
}

impl Catalog {
    /// The route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = host_name(host).to_ascii_lowercase();
        let keys = self.hosts.get(&name)?;
        keys.iter().copied().find(|key| path.starts_with(&self.routes[*key].prefix))
    }

    /// Whether any route has this host.
    pub fn has_host(&self, host: &str) -> bool {
        self.hosts.contains_key(&host_name(host).to_ascii_lowercase())
    }

    /// The workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<WorkspaceKey> {
        self.keys.get(key).copied()
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.find(|service| service.name == name).map(|(_, service)| service)
    }

    /// The shortest of the pauses that the routes of a service call timely.
    pub fn shortest_pause(&self, service: &str) -> Option<Duration> {
        let serves = |route: &Route| route.targets.iter().any(|target| target.service == service);
        let routes = self.routes.iter().map(|(_, route)| route).filter(|route| serves(route));
        routes.filter_map(|route| route.pause).min()
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

/// Picks one of a route's targets; `draw` is uniform over all numbers.
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

/// A host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
