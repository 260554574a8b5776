//! What an entry host knows of services, routes and servers, whatever source it came from.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use super::workspaces::{WorkspaceKey, Workspaces};

/// Limits that operators set for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Size of a request's head.
    pub head_bytes: u64,
    /// Size of a request's body.
    pub body_bytes: u64,
    /// Time for a caller to send a head.
    pub head_timeout_ms: u64,
    /// Time that a caller's connection may be idle.
    pub idle_timeout_ms: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Path of the servers' health endpoint.
    pub health_path: String,
    /// Connections that one server accepts from all hosts together.
    pub connections_max: u32,
    /// True if each key is served only by the server that holds it.
    pub sharded: bool,
    /// What its servers bear while they are cold; `None` if nobody bounds that.
    pub warmup: Option<Warmup>,
}

/// What a server of a service bears while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Time that a server is cold after it has turned so.
    pub time_ms: u64,
    /// Requests a second, from all hosts together.
    pub per_s: f64,
}

/// One of the services that a route's requests go to.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// Service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the other parts.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, stable over configurations.
    pub name: Arc<str>,
    /// Beginning of the paths that it serves.
    pub path_prefix: String,
    /// True if a request may run more than once.
    pub repeatable: bool,
    /// Longest time that a request is held.
    pub timeout_ms: u64,
    /// Latency objective.
    pub aim_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// True if its requests carry no API key although there are workspaces.
    pub is_public: bool,
    /// Regions where it may be served; empty for all.
    pub regions: Vec<Arc<str>>,
    /// Services.
    pub parts: Vec<RouteTarget>,
    /// Most servers that one request may be sent to.
    pub attempts_max: u32,
}

/// A configuration in force.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Version; it only grows.
    pub version: u64,
    /// Limits of callers.
    pub limits: CallerLimits,
    services: HashMap<Arc<str>, Service>,
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Workspaces; `None` if callers need no API key.
    workspaces: Option<Workspaces>,
    /// Rank of the least urgent route, by service.
    lowest_priority: HashMap<Arc<str>, u32>,
}

/// Rank of a request: that of its workspace comes before that of its route. Less is more urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Of its workspace; 0 if it has none.
    pub workspace: u32,
    /// Of its route.
    pub route: u32,
}

impl Configuration {
    /// A configuration without routes.
    pub fn new(version: u64, limits: CallerLimits, services: Vec<Service>) -> Self {
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self {
            version,
            limits,
            services,
            routes: HashMap::new(),
            workspaces: None,
            lowest_priority: HashMap::new(),
        }
    }

    /// Adds a route for requests that name `host`.
    pub fn add_route(&mut self, host: &str, route: Route) {
        for part in route.parts.iter().filter(|part| part.weight > 0.0) {
            let lowest = self
                .lowest_priority
                .entry(part.service.clone())
                .or_default();
            *lowest = route.priority.max(*lowest);
        }
        let routes = self.routes.entry(host.to_ascii_lowercase()).or_default();
        // Longest prefix first, so that the first match is the right one.
        let longer = |other: &Arc<Route>| other.path_prefix.len() >= route.path_prefix.len();
        let position = routes.partition_point(longer);
        routes.insert(position, Arc::new(route));
    }

    /// The route of a request by the value of its `Host` header and its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(&name.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Lets only callers with an API key of one of these workspaces use routes that are not public.
    pub fn set_workspaces(&mut self, workspaces: Workspaces) {
        self.workspaces = Some(workspaces);
    }

    /// The workspaces; `None` if callers need no API key.
    pub fn workspaces(&self) -> Option<&Workspaces> {
        self.workspaces.as_ref()
    }

    /// Rank of a request of a workspace for a route.
    pub fn priority(&self, workspace: Option<WorkspaceKey>, route: &Route) -> Priority {
        let workspaces = self.workspaces.as_ref();
        let workspace = workspaces.zip(workspace).map(|(all, key)| all.get(key));
        Priority {
            workspace: workspace.map_or(0, |workspace| workspace.priority),
            route: route.priority,
        }
    }

    /// True if a service also has less urgent requests than those of a rank.
    pub fn has_lower_priority_requests(&self, service: &str, priority: Priority) -> bool {
        let Some(lowest) = self.lowest_priority.get(service) else {
            return false;
        };
        let workspaces = self.workspaces.iter().flat_map(Workspaces::iter);
        let least_urgent = Priority {
            workspace: workspaces.map(|w| w.priority).max().unwrap_or(0),
            route: *lowest,
        };
        least_urgent > priority
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }
}

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "PackedEntry", into = "PackedEntry")]
pub struct ServerEntry {
    /// Incarnation: each start has another one, also under the same name.
    pub id: Arc<str>,
    /// Name that it has in the platform. A server may start again under the name that it had.
    pub name: Arc<str>,
    /// When it started, by its own clock; 0 if it does not tell.
    pub started_ms: u64,
    /// Service.
    pub service: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub availability_zone: Arc<str>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// True if it is about to end and must get no new work.
    pub leaving: bool,
    /// Time that it remains cold.
    pub cold_ms: u64,
}

/// What a server tells of its load in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Time that work takes there now, as a multiple of what is usual.
    pub pace: f64,
}

/// What a server says in an answer of its wish for further requests of the host that asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// True if it is about to end.
    pub leaves: bool,
    /// Time for which it wants nothing from the host, if it turned the request away with that wish.
    pub rest_ms: Option<u64>,
}

/// What an answer says of the rate that its server takes from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReportedLimit {
    /// It names none.
    Unlimited,
    /// Requests a second.
    PerS(f64),
    /// It says nothing that can be read or relied on.
    Unknown,
}

/// An entry as hosts tell it to each other: the identifier follows from name and start.
#[derive(Serialize, Deserialize)]
struct PackedEntry {
    name: Arc<str>,
    started_ms: u64,
    service: Arc<str>,
    address: SocketAddr,
    availability_zone: Arc<str>,
    slots: u32,
    leaving: bool,
    cold_ms: u64,
}

impl From<PackedEntry> for ServerEntry {
    fn from(packed: PackedEntry) -> Self {
        Self {
            id: incarnation_id(&packed.name, packed.started_ms),
            name: packed.name,
            started_ms: packed.started_ms,
            service: packed.service,
            address: packed.address,
            availability_zone: packed.availability_zone,
            slots: packed.slots,
            leaving: packed.leaving,
            cold_ms: packed.cold_ms,
        }
    }
}

impl From<ServerEntry> for PackedEntry {
    fn from(entry: ServerEntry) -> Self {
        Self {
            name: entry.name,
            started_ms: entry.started_ms,
            service: entry.service,
            address: entry.address,
            availability_zone: entry.availability_zone,
            slots: entry.slots,
            leaving: entry.leaving,
            cold_ms: entry.cold_ms,
        }
    }
}

/// Identifier of the incarnation of a server that started at a time; its name if that is not known.
pub fn incarnation_id(name: &str, started_ms: u64) -> Arc<str> {
    if started_ms == 0 {
        return name.into();
    }
    format!("{name}@{started_ms:x}").into()
}
