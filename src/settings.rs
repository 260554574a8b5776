//! Settings of an entry host, read from YAML and checked against each other.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

use crate::configuration::{self, template::read_document};

/// Longest time from a loss until keys are served again, less detection and grant.
const LAPSE_MS_MAX: u64 = 2_600;

/// What is wrong with a settings file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("{}: cannot be read", path.display()))]
    Read {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not a settings file.
    #[snafu(display("{}: {source}", path.display()))]
    Document {
        /// File.
        path: PathBuf,
        /// Cause.
        source: configuration::Error,
    },
    /// Fields do not fit each other.
    #[snafu(display("{}: {}", path.display(), problems.join("; ")))]
    Values {
        /// File.
        path: PathBuf,
        /// All problems.
        problems: Vec<String>,
    },
}

/// Settings of one entry host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name, unique among hosts.
    pub name: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Listener for callers.
    pub callers: Callers,
    /// Listener for operators.
    pub operators: Operators,
    /// Listener for the other hosts.
    pub peers: Peers,
    /// The platform.
    pub platform: PlatformSettings,
    /// Leases and freshness.
    #[serde(default)]
    pub ownership: Ownership,
    /// Records of unrepeatable requests.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

/// Listener for callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// Address.
    pub listen: SocketAddr,
    /// Connections at a time.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Size of a request's body; a longer one is refused with 413.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
    /// Time for requests in flight to end in a planned stop.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Time between failing readiness and closing the listener in a planned stop.
    #[serde(default = "default_notice_ms")]
    pub notice_ms: u64,
}

/// Listener for operators.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// Address.
    pub listen: SocketAddr,
    /// File with the token that changes need, in its first line; without it only reads are
    /// answered.
    #[serde(default)]
    pub token_file: Option<PathBuf>,
}

/// Listener for the other hosts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Address.
    pub listen: SocketAddr,
    /// Certificates that other hosts' certificates are checked against, in PEM.
    pub ca_file: PathBuf,
    /// Own certificate, in PEM.
    pub certificate_file: PathBuf,
    /// Own private key, in PEM.
    pub private_key_file: PathBuf,
}

/// The platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address.
    pub address: SocketAddr,
    /// Time for one call.
    #[serde(default = "default_call_ms")]
    pub timeout_ms: u64,
}

/// Leases and freshness.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Ownership {
    /// Age of the basis up to which a host acts.
    pub freshness_ms: u64,
    /// Length of a server's lease.
    pub lease_ttl_ms: u64,
    /// Allowance for clock drift.
    pub margin_ms: u64,
    /// Interval of lease renewals.
    pub renew_every_ms: u64,
    /// Interval of heartbeats between hosts.
    pub heartbeat_ms: u64,
    /// Time without a successful renewal after which a server is suspected.
    pub suspect_ms: u64,
    /// Age of the leader's row after which another host takes over.
    pub leader_lease_ms: u64,
    /// Silence after which a host is removed from the registry.
    pub host_removal_ms: u64,
    /// Time for requests in flight on a moving slot to finish.
    pub drain_ms: u64,
}

impl Default for Ownership {
    fn default() -> Self {
        Self {
            freshness_ms: 700,
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
    /// Time after which no host that missed a change can keep a lease alive.
    pub fn lapse_ms(&self) -> u64 {
        self.freshness_ms + self.lease_ttl_ms + self.margin_ms
    }

    /// Everything that cannot work.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut check = |good: bool, message: &str| {
            if !good {
                problems.push(format!("ownership: {message}"));
            }
        };
        let sum = "freshness_ms + lease_ttl_ms + margin_ms must be at most 2600";
        check(self.lapse_ms() <= LAPSE_MS_MAX, sum);
        let renew = "renew_every_ms must be at most a third of lease_ttl_ms, and not 0";
        let fits = self.renew_every_ms > 0 && self.renew_every_ms * 3 <= self.lease_ttl_ms;
        check(fits, renew);
        let heartbeat = "heartbeat_ms must be at most a third of freshness_ms, and not 0";
        let fits = self.heartbeat_ms > 0 && self.heartbeat_ms * 3 <= self.freshness_ms;
        check(fits, heartbeat);
        let drift = "margin_ms must be at least 1% of freshness_ms + lease_ttl_ms";
        let fits = self.margin_ms * 100 >= self.freshness_ms + self.lease_ttl_ms;
        check(fits, drift);
        problems
    }
}

/// Records of unrepeatable requests.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSettings {
    /// Time for which a request is recognised when it comes again.
    pub retention_ms: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            retention_ms: 24 * 3_600 * 1_000,
        }
    }
}

/// Logs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// One of error, warn, info, debug and trace.
    pub level: log::LevelFilter,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
        }
    }
}

/// Metrics.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// Receiver of statsd datagrams; none sends no metrics.
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
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let bytes = std::fs::read(path).context(ReadSnafu { path })?;
        let settings: Self = read_document(&bytes).context(DocumentSnafu { path })?;
        let problems = settings.problems();
        ensure!(problems.is_empty(), ValuesSnafu { path, problems });
        Ok(settings)
    }

    /// Everything that cannot work.
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
