//! JSON messages of the platform's protocol. Field names are given by the platform and cannot
//! change.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use super::duration::{deserialize_ms, deserialize_optional_ms};

/// Row of the store, as reads and feeds return it.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireRow {
    /// Key of the row within its table and partition. In spite of its name, the field does not name
    /// a file.
    pub key_file: String,
    /// Content of the row in base64; missing in deleted rows.
    #[serde(default)]
    pub value: String,
    /// Version of the store at the row's last change.
    #[serde(default)]
    pub ver: u64,
    /// True if the row was removed; only change feeds return such rows.
    #[serde(default)]
    pub deleted: bool,
}

/// Condition of a transaction: a row must have a given version.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct WireExpect<'a> {
    pub table: &'a str,
    pub part: &'a str,
    pub key_file: &'a str,
    /// Version that the row must have; 0 if the row must not exist.
    pub ver: u64,
}

/// Write of a transaction; `value` is the new content in base64.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct WirePut<'a> {
    pub table: &'a str,
    pub part: &'a str,
    pub key_file: &'a str,
    pub value: String,
}

/// Removal of a row by a transaction, identified by table and key.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct WireRemove<'a> {
    pub table: &'a str,
    pub part: &'a str,
    pub key_file: &'a str,
}

/// Atomic transaction of conditions, writes and removals.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct WireTransaction<'a> {
    pub expect_rev: Vec<WireExpect<'a>>,
    pub puts: Vec<WirePut<'a>>,
    pub remove: Vec<WireRemove<'a>>,
}

/// Response to a transaction, a read or a change feed: rows and the version of the store.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireRows {
    #[serde(default)]
    pub rows: Vec<WireRow>,
    /// True if the store has more rows than fit into the response.
    #[serde(default)]
    pub has_more: bool,
    /// Newest version of the whole store; 0 if the response has no version.
    #[serde(default)]
    pub ver: u64,
}

/// Entry of a backend server. All fields except `born` and `warmupLeft` are required. An entry with
/// a missing or invalid field is refused; such entries occur because other programs write entries
/// as well.
#[derive(Clone, Debug, Deserialize)]
pub struct WireServer {
    pub addr: SocketAddr,
    /// Unix time of the server's start in milliseconds; servers of older platforms leave it out.
    #[serde(default)]
    pub born: Option<u64>,
    pub info: WireServerInfo,
    pub status: WireServerStatus,
}

/// Fields of an entry that do not change while the server runs.
#[derive(Clone, Debug, Deserialize)]
pub struct WireServerInfo {
    pub service: String,
    pub zone: String,
    /// Version of the server's software; the field is required but not used.
    #[serde(rename = "version")]
    pub _version: String,
    pub slots: u32,
}

/// Fields of an entry that change while the server runs.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireServerStatus {
    pub state: WireServerState,
    /// Sequence number of the server's heartbeat; the field is required but not used.
    #[serde(rename = "seq")]
    pub _seq: u64,
    /// Remaining time in milliseconds for which the server is cold; missing if the server is warm.
    #[serde(default, deserialize_with = "deserialize_optional_ms")]
    pub warmup_left: Option<u64>,
}

/// Readiness of a server. An entry whose readiness is not one of the variants is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WireServerState {
    Ready,
    Draining,
}

/// Configuration document that operators write.
#[derive(Clone, Debug, Deserialize)]
pub struct WireConfig {
    /// Version as eight hexadecimal digits.
    pub version: String,
    pub services: Vec<WireService>,
    pub limits: WireLimits,
    pub hosts: Vec<WireHost>,
    /// Workspaces; missing if callers need no API key.
    #[serde(default)]
    pub tenants: Option<Vec<WireTenant>>,
}

/// Workspace with its API keys and quota; the platform calls a workspace a tenant.
#[derive(Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireTenant {
    pub name: String,
    /// API keys in plain text, by which callers identify themselves as the workspace.
    #[serde(default)]
    pub api_keys: Vec<String>,
    /// Priority of the workspace's requests; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// Quota in requests per second; 0 or missing for no quota.
    #[serde(default)]
    pub rate_per_s: f64,
    /// Number of requests that the workspace may send at once beyond its quota.
    #[serde(default)]
    pub burst: f64,
    /// Regions in which the workspace's requests may be served; empty for all regions.
    #[serde(default)]
    pub allowed_regions: Vec<String>,
}

impl fmt::Debug for WireTenant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("WireTenant");
        // API keys are secret and must not appear in logs.
        shown.field("name", &self.name).finish_non_exhaustive()
    }
}

/// Service of the configuration, run by a group of servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireService {
    pub name: String,
    pub health_path: String,
    /// Number of connections that one server accepts from all hosts together.
    pub max_conns: u32,
    /// True if each key is served only by the server that holds the key.
    #[serde(default)]
    pub sharded: bool,
    /// Time in milliseconds for which servers are treated as cold after the evacuation of their
    /// availability zone has ended.
    #[serde(default, deserialize_with = "deserialize_optional_ms")]
    pub warmup: Option<u64>,
    /// Number of requests per second that a cold server gets from all hosts together; `None` if
    /// cold servers have no rate limit.
    #[serde(default)]
    pub warmup_per_s: Option<f64>,
}

/// Limits on the size and duration of callers' requests, and on idle connections.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireLimits {
    pub max_header_bytes: u64,
    pub max_body_bytes: u64,
    /// Timeout in milliseconds for receiving the line and the headers of a caller's request.
    #[serde(deserialize_with = "deserialize_ms")]
    pub header_timeout: u64,
    /// Time in milliseconds after which an idle connection of a caller is closed.
    #[serde(deserialize_with = "deserialize_ms")]
    pub idle_timeout: u64,
}

/// Routes for one value of the `Host` header. In spite of its name, the type does not describe an
/// entry host.
#[derive(Clone, Debug, Deserialize)]
pub struct WireHost {
    pub host: String,
    pub paths: Vec<WireRoute>,
}

/// Route: the settings of all requests whose path begins with a prefix.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireRoute {
    pub name: String,
    pub path_prefix: String,
    /// `safe` or `download` if requests may run more than once; `unsafe` or `upload` if they run at
    /// most once.
    #[serde(default)]
    pub kind: String,
    /// Longest time in milliseconds until a request is answered, which sets the deadline of the
    /// request.
    #[serde(deserialize_with = "deserialize_ms")]
    pub timeout: u64,
    /// Latency objective in milliseconds: time within which requests should be answered. If the
    /// field is missing, `timeout` is used instead.
    #[serde(default, deserialize_with = "deserialize_optional_ms")]
    pub aim: Option<u64>,
    /// Priority of the route's requests; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// Service that gets all requests of the route; this field overrides `split`.
    #[serde(default)]
    pub service: Option<String>,
    /// Services that share the requests of the route by weight.
    #[serde(default)]
    pub split: Vec<WireShare>,
    /// Maximum number of servers that one request may be sent to; 1 if the field is missing.
    #[serde(default)]
    pub max_attempts: Option<u32>,
    /// True if requests of the route need no API key even if workspaces are configured.
    #[serde(default)]
    pub public: bool,
    #[serde(default)]
    pub allowed_regions: Vec<String>,
}

/// One of the services among which a route is split, with the weight of that service.
#[derive(Clone, Debug, Deserialize)]
pub struct WireShare {
    pub service: String,
    /// Weight by which the service gets requests of the route, relative to the weights of the
    /// route's other services.
    pub weight: f64,
}

/// Body of the command that makes a server hold a range of keys.
#[derive(Clone, Debug, Serialize)]
pub struct WireGrant<'a> {
    /// First key of the range, included.
    pub from: u16,
    /// Last key of the range, included. In spite of its name on the wire, the field is not a
    /// version.
    #[serde(rename = "toVersion")]
    pub to: u16,
    pub fence: u64,
    /// Length of the lease, counted from the arrival of the command at the server, as a duration
    /// with its unit such as `1500ms`.
    pub hold_time: String,
    /// Token that the previous owner of the keys returned at their release and that lets the server
    /// start warm.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub handover: Option<&'a str>,
}

/// Body of the command that makes a server release a range of keys.
#[derive(Clone, Debug, Serialize)]
pub struct WireRelease {
    /// First key of the range, included.
    pub from: u16,
    /// Last key of the range, included. In spite of its name on the wire, the field is not a
    /// version.
    #[serde(rename = "toVersion")]
    pub to: u16,
    pub fence: u64,
}
