//! Services, routes, server entries and the operators' configuration, independent of the format
//! that they were read from.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use super::workspaces::{WorkspaceKey, Workspaces};

/// Limits that operators set for callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's line and headers.
    pub head_bytes: u64,
    /// Maximum size of a request's body.
    pub body_bytes: u64,
    /// Timeout for receiving a request's line and headers from a caller.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection of a caller is closed.
    pub idle_timeout_ms: u64,
}

/// Group of backend servers that serve the same routes. In a sharded service, each key is assigned
/// to one of the servers; in any other service, the servers are interchangeable.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name by which routes and servers' entries refer to the service.
    pub name: Arc<str>,
    /// HTTP path at which hosts probe whether a server of the service is alive.
    pub health_path: String,
    /// Number of connections that one server accepts from all hosts together.
    pub connections_max: u32,
    /// True if each key is served only by the server that the key is assigned to.
    pub sharded: bool,
    /// Rate limit of a server of this service while the server is cold; `None` if there is no
    /// limit.
    pub warmup: Option<Warmup>,
}

/// Rate limit of a cold server: a server that has just started, or whose availability zone was
/// evacuated until recently.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Time for which servers are treated as cold after the evacuation of their zone has ended. A
    /// server that has just started states its own cold time in its entry.
    pub time_ms: u64,
    /// Requests per second that a cold server gets from all hosts together.
    pub per_s: f64,
}

/// Service that gets a fraction of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// Name of the service, as in [`Service::name`].
    pub service: Arc<str>,
    /// Weight of the service: the service gets this weight, divided by the sum of the weights of
    /// the route's services, as its fraction of the requests.
    pub weight: f64,
}

/// Rule for the requests whose `Host` header and path prefix match: which services get the
/// requests, and under which timeout, priority and restrictions.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name that stays the same over versions of the configuration.
    pub name: Arc<str>,
    /// Prefix of the request paths that the route serves. The longest matching prefix wins.
    pub path_prefix: String,
    /// True if requests are idempotent, so that an attempt may be repeated on another server.
    pub repeatable: bool,
    /// Longest time until a request of the route is answered, which sets the deadline of the
    /// request.
    pub timeout_ms: u64,
    /// Latency objective: time within which requests of the route should be answered. Operators set
    /// it under the name `aim`.
    pub aim_ms: u64,
    /// Priority of the route's requests; 0 is the highest. The priorities of the workspaces are
    /// compared first.
    pub priority: u32,
    /// True if requests of the route need no API key even if workspaces are configured.
    pub is_public: bool,
    /// Regions in which requests of the route may be served; empty for all regions.
    pub regions: Vec<Arc<str>>,
    /// Services that share the route's requests by weight.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of servers that one request may be sent to, one after the other.
    pub attempts_max: u32,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Version that the configuration document states. A host ignores a document whose version is
    /// not higher than the version in effect.
    pub version: u64,
    /// Limits that apply to the requests and connections of all callers.
    pub limits: CallerLimits,
    services: HashMap<Arc<str>, Service>,
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Workspaces by API key; `None` if callers need no API key.
    workspaces: Option<Workspaces>,
    /// Lowest priority among the routes of each service, which is the largest number.
    lowest_priority: HashMap<Arc<str>, u32>,
    /// Largest timeout among the routes of each service, as a multiple of the latency objective of
    /// the same route. Routes without an objective below their timeout are left out.
    timeout_factors: HashMap<Arc<str>, f64>,
}

/// Priority of a request. The priorities of the workspaces are compared first, then the priorities
/// of the routes; requests with smaller values are served first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Priority of the workspace; 0 if the request has no workspace.
    pub workspace: u32,
    /// Priority of the route. It decides only between requests whose workspaces have the same
    /// priority.
    pub route: u32,
}

impl Configuration {
    /// Creates a configuration without routes, in which callers need no API key.
    pub fn new(version: u64, limits: CallerLimits, services: Vec<Service>) -> Self {
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self {
            version,
            limits,
            services,
            routes: HashMap::new(),
            workspaces: None,
            lowest_priority: HashMap::new(),
            timeout_factors: HashMap::new(),
        }
    }

    /// Adds a route for requests whose `Host` header names `host`, in upper or lower case.
    pub fn add_route(&mut self, host: &str, route: Route) {
        for target in route.targets.iter().filter(|target| target.weight > 0.0) {
            let lowest = self
                .lowest_priority
                .entry(target.service.clone())
                .or_default();
            *lowest = route.priority.max(*lowest);
            if route.aim_ms < route.timeout_ms {
                let factor = route.timeout_ms as f64 / route.aim_ms.max(1) as f64;
                let largest = self.timeout_factors.entry(target.service.clone());
                let largest = largest.or_insert(factor);
                *largest = largest.max(factor);
            }
        }
        let routes = self.routes.entry(host.to_ascii_lowercase()).or_default();
        // Routes are sorted by falling length of the prefix, so that the first match is the
        // longest.
        let longer = |other: &Arc<Route>| other.path_prefix.len() >= route.path_prefix.len();
        let position = routes.partition_point(longer);
        routes.insert(position, Arc::new(route));
    }

    /// Finds the route of a request by the value of its `Host` header and its path.
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

    /// Returns a service by its name; `None` if the configuration has no service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Restricts routes that are not public to callers with an API key of one of these workspaces.
    pub fn set_workspaces(&mut self, workspaces: Workspaces) {
        self.workspaces = Some(workspaces);
    }

    /// Returns the workspaces; `None` if callers need no API key.
    pub fn workspaces(&self) -> Option<&Workspaces> {
        self.workspaces.as_ref()
    }

    /// Returns the priority of a request of a workspace on a route.
    pub fn priority(&self, workspace: Option<WorkspaceKey>, route: &Route) -> Priority {
        let workspaces = self.workspaces.as_ref();
        let workspace = workspaces.zip(workspace).map(|(all, key)| all.get(key));
        Priority {
            workspace: workspace.map_or(0, |workspace| workspace.priority),
            route: route.priority,
        }
    }

    /// Returns true if requests of a lower priority than `priority` may use the service.
    pub fn has_lower_priority_requests(&self, service: &str, priority: Priority) -> bool {
        let Some(lowest) = self.lowest_priority.get(service) else {
            return false;
        };
        let workspaces = self.workspaces.iter().flat_map(Workspaces::iter);
        let lowest_possible = Priority {
            workspace: workspaces.map(|w| w.priority).max().unwrap_or(0),
            route: *lowest,
        };
        lowest_possible > priority
    }

    /// Returns the largest timeout among the routes to a service that have an objective below their
    /// timeout, as a multiple of that objective; 0 if there is no such route.
    pub fn timeout_factor(&self, service: &str) -> f64 {
        self.timeout_factors.get(service).copied().unwrap_or(0.0)
    }

    /// Iterates over all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }
}

/// Entry in the platform's store by which a backend server registers and describes itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "PackedEntry", into = "PackedEntry")]
pub struct ServerEntry {
    /// Identifier of the server's incarnation. A restarted server gets a new identifier, even if it
    /// keeps its name.
    pub id: Arc<str>,
    /// Name of the server in the platform. A restarted server may keep its name.
    pub name: Arc<str>,
    /// Start time of the server by its own clock, in milliseconds since 1970; 0 if the entry states
    /// no start time.
    pub started_ms: u64,
    /// Name of the service whose requests the server runs, as in [`Service::name`].
    pub service: Arc<str>,
    /// Address at which the server accepts connections from hosts.
    pub address: SocketAddr,
    /// Availability zone in which the server runs.
    pub availability_zone: Arc<str>,
    /// Number of requests that the server runs at the same time.
    pub slots: u32,
    /// True if the server is about to stop and must get no new work.
    pub leaving: bool,
    /// Remaining time for which the server is cold (warms up after its start); 0 for a warm server.
    pub cold_ms: u64,
}

/// Load that a server reports in the headers of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Number of requests running on the server.
    pub running: u32,
    /// Number of requests in the server's queue.
    pub waiting: u32,
    /// Slowdown of the server: current run time of requests as a multiple of the usual run time.
    pub slowdown: f64,
}

/// Notice in a server's response: the server is about to stop, or asks the host that received the
/// response for a backoff.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// True if the server is about to stop.
    pub leaves: bool,
    /// Backoff that the server asked for: time in which the host must send the server no requests.
    /// The backoff is set only if the server refused the request because of the backoff.
    pub backoff_ms: Option<u64>,
}

/// Rate limit that a response states for the requests of all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReportedLimit {
    /// The response states no limit and certainly comes from the server: any rate is accepted.
    Unlimited,
    /// Limit in requests per second.
    PerS(f64),
    /// The limit is unknown: the response states a limit that cannot be parsed, or states no limit
    /// and may not come from the server.
    Unknown,
}

/// Serialised form of [`ServerEntry`] in messages between hosts. It omits the identifier, which the
/// receiver derives from name and start time.
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

/// Returns the identifier of a server's incarnation from its name and start time; the bare name if
/// the start time is 0 (unknown).
pub fn incarnation_id(name: &str, started_ms: u64) -> Arc<str> {
    if started_ms == 0 {
        return name.into();
    }
    format!("{name}@{started_ms:x}").into()
}
