//! Settings of a host, read from YAML and checked against each other.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

use crate::configuration::{self, template::read_document};

/// Upper limit in milliseconds of [`Ownership::expiry_bound_ms`]. The limit is the time within
/// which keys must be served again after the loss of their server, less the time for detecting the
/// loss and for the new grant.
const EXPIRY_BOUND_MS_MAX: u64 = 2_600;

/// Reason why a settings file is unusable.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("{}: cannot be read", path.display()))]
    Read {
        /// Path of the settings file, as given on the command line.
        path: PathBuf,
        /// Error from reading the file, for example because the file does not exist.
        source: std::io::Error,
    },
    /// The file is not a valid settings document.
    #[snafu(display("{}: {source}", path.display()))]
    Document {
        /// Path of the settings file, as given on the command line.
        path: PathBuf,
        /// Parse error, with the place in the document.
        source: configuration::Error,
    },
    /// Values are invalid or contradict each other.
    #[snafu(display("{}: {}", path.display(), problems.join("; ")))]
    Values {
        /// Path of the settings file, as given on the command line.
        path: PathBuf,
        /// One message for each problem, so that the operator can correct all problems at once.
        problems: Vec<String>,
    },
}

/// Settings of one host, read once from its YAML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host, unique among all hosts. The name stays the same when the process restarts.
    pub name: String,
    /// Availability zone in which the host runs.
    pub availability_zone: String,
    /// Listener for callers' requests.
    pub callers: Callers,
    /// Listener for operators' reads and changes.
    pub operators: Operators,
    /// Listener for other hosts, with mutual TLS.
    pub peers: Peers,
    /// Connection to the platform, which supplies the table service, the object store and the list
    /// of hosts.
    pub platform: PlatformSettings,
    /// Times of leases, heartbeats and failover, in milliseconds.
    #[serde(default)]
    pub ownership: Ownership,
    /// Settings of claims. A claim is a record that keeps an unrepeatable request (a request that
    /// may run at most once) from running twice.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// Settings of the log that the process writes to standard error.
    #[serde(default)]
    pub log: LogSettings,
    /// Settings of the export of metrics by statsd. Without these settings no metrics are exported.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

/// Settings of the listener for requests of callers: its address, its limits and the times of a
/// planned stop.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// IP address and port to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Maximum number of open connections from callers. Further connections wait in the accept
    /// queue of the operating system.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Maximum size of a request body in bytes. A request with a larger body is refused with HTTP
    /// status 413.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
    /// Maximum time in milliseconds for which a stopping host waits, after the host has closed the
    /// listener, for requests in flight to complete.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Time in milliseconds from failing the readiness probe to closing the listener in a planned
    /// stop. During this time the load balancer notices that the host is stopping.
    #[serde(default = "default_notice_ms")]
    pub notice_ms: u64,
}

/// Listener of the operators' API, and the token that changes need.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// IP address and port to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// File whose first line is the token that a request for a change must carry. Without a token
    /// file the host refuses all changes and allows only reads.
    #[serde(default)]
    pub token_file: Option<PathBuf>,
}

/// Listener for other hosts, and the certificates with which hosts authenticate to each other.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// IP address and port to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// PEM file with the CA certificates against which the certificates of other hosts are checked.
    pub ca_file: PathBuf,
    /// PEM file with the certificate that this host presents to other hosts.
    pub certificate_file: PathBuf,
    /// PEM file with the private key of the certificate that this host presents to other hosts.
    pub private_key_file: PathBuf,
}

/// Connection to the platform, which supplies the table service, the object store and the list of
/// hosts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// IP address and port of the HTTP interface that all services of the platform share.
    pub address: SocketAddr,
    /// Timeout of one call to the platform, in milliseconds.
    #[serde(default = "default_call_ms")]
    pub timeout_ms: u64,
}

/// Times of leases, heartbeats and failover, in milliseconds. [`Ownership::problems`] checks the
/// times against each other, so that a lease outlasts several renewals and failover stays within
/// its bound.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Ownership {
    /// Maximum staleness (see [`crate::membership::staleness`]) in milliseconds. A host whose view
    /// of the state is staler must not act on the view.
    #[serde(rename = "freshness_ms")]
    pub max_staleness_ms: u64,
    /// Length of a server's lease in milliseconds, counted from the time at which a host sends a
    /// renewal of the lease to the server.
    pub lease_ttl_ms: u64,
    /// Allowance in milliseconds for the drift between the clocks of hosts and servers. A lease
    /// counts as lapsed only after this additional time.
    pub margin_ms: u64,
    /// Interval in milliseconds at which a host renews a server's lease. The length of a lease is
    /// at least three intervals.
    pub renew_every_ms: u64,
    /// Interval in milliseconds at which a host pings each of its targets in the heartbeat tree.
    pub heartbeat_ms: u64,
    /// Time in milliseconds without a response from a server after which a failed renewal makes the
    /// host suspect that the server is down. The host then asks other hosts to probe the server,
    /// and reports the server as lost if none of them reaches it.
    pub suspect_ms: u64,
    /// Length of the leader's lease in milliseconds: if the leader does not renew the leader row
    /// for this time, another host becomes the leader.
    pub leader_lease_ms: u64,
    /// Time in milliseconds without a heartbeat after which a host that has not announced its stop
    /// is removed from the registry.
    pub host_removal_ms: u64,
    /// Maximum time in milliseconds for which the old owner of a moving slot waits for its requests
    /// in flight on the slot to complete, before the old owner responds to the request to release
    /// the slot.
    pub drain_ms: u64,
}

impl Default for Ownership {
    fn default() -> Self {
        Self {
            max_staleness_ms: 700,
            lease_ttl_ms: 1_200,
            margin_ms: 100,
            renew_every_ms: 300,
            heartbeat_ms: 150,
            suspect_ms: 350,
            leader_lease_ms: 1_000,
            host_removal_ms: 20_000,
            drain_ms: 10_000,
        }
    }
}

impl Ownership {
    /// Returns the time in milliseconds after which a host that missed a change can no longer keep
    /// a lease valid: the sum of the maximum staleness, the length of a lease and the allowance for
    /// clock drift.
    pub fn expiry_bound_ms(&self) -> u64 {
        self.max_staleness_ms + self.lease_ttl_ms + self.margin_ms
    }

    /// Returns a message for each setting of leases, heartbeats and failover that is invalid or
    /// contradicts another setting.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut check = |is_valid: bool, message: &str| {
            if !is_valid {
                problems.push(format!("ownership: {message}"));
            }
        };
        let sum = "freshness_ms + lease_ttl_ms + margin_ms must be at most 2600";
        check(self.expiry_bound_ms() <= EXPIRY_BOUND_MS_MAX, sum);
        let renew = "renew_every_ms must be at most a third of lease_ttl_ms, and not 0";
        let fits = self.renew_every_ms > 0 && self.renew_every_ms * 3 <= self.lease_ttl_ms;
        check(fits, renew);
        let heartbeat = "heartbeat_ms must be at most a third of freshness_ms, and not 0";
        let fits = self.heartbeat_ms > 0 && self.heartbeat_ms * 3 <= self.max_staleness_ms;
        check(fits, heartbeat);
        let drift = "margin_ms must be at least 1% of freshness_ms + lease_ttl_ms";
        let fits = self.margin_ms * 100 >= self.max_staleness_ms + self.lease_ttl_ms;
        check(fits, drift);
        problems
    }
}

/// Settings of claims. A claim is a record that keeps an unrepeatable request (a request that may
/// run at most once) from running twice.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSettings {
    /// Age in milliseconds after which the claim row of a request may be removed. Once the row is
    /// removed, a duplicate of the request is no longer recognised.
    pub retention_ms: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            retention_ms: 24 * 3_600 * 1_000,
        }
    }
}

/// Settings of the log that the process writes to standard error.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is logged: error, warn, info, debug or trace.
    pub level: log::LevelFilter,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
        }
    }
}

/// Settings of the export of metrics by statsd. Without these settings no metrics are exported.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// Address that statsd datagrams are sent to; `None` exports no metrics.
    pub statsd_address: Option<SocketAddr>,
}

fn default_connections() -> usize {
    10_000
}

fn default_body_bytes() -> usize {
    1024 * 1024
}

fn default_drain_ms() -> u64 {
    30_000
}

fn default_notice_ms() -> u64 {
    500
}

fn default_call_ms() -> u64 {
    500
}

impl Settings {
    /// Reads a settings file and checks its values. If values are invalid, the error lists all
    /// problems that were found.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let bytes = std::fs::read(path).context(ReadSnafu { path })?;
        let settings: Self = read_document(&bytes).context(DocumentSnafu { path })?;
        let problems = settings.problems();
        ensure!(problems.is_empty(), ValuesSnafu { path, problems });
        Ok(settings)
    }

    /// Returns a message for each value of the settings that is invalid or contradicts another
    /// value.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = self.ownership.problems();
        if self.name.is_empty() {
            problems.push("name: expected at least one character".to_owned());
        }
        if self.callers.body_bytes == 0 {
            problems.push("callers.body_bytes: expected 1 or more".to_owned());
        }
        problems
    }
}
