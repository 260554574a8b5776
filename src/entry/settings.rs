//! Settings of an entry host on the platform, read from YAML and checked against each other.

use std::{collections::HashMap, net::SocketAddr, path::Path};

use log::LevelFilter;
use serde::Deserialize;
use snafu::{ResultExt, ensure};

use super::{
    bounds::{Bounds, default_processor_share, duration},
    decide::Policy,
    limits::Timings,
};
use crate::{
    configuration::template::read_document,
    settings::{DocumentSnafu, Error, ReadSnafu, ValuesSnafu},
};

/// Settings of one entry host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host in log events.
    pub name: String,
    /// Availability zone of the host; servers of the same zone are preferred.
    pub availability_zone: String,
    /// Region of each availability zone; empty if no route and no workspace is restricted to
    /// regions.
    #[serde(default)]
    pub regions: HashMap<String, String>,
    /// Fraction of a processor that the host may use; 1.0 is a whole processor. Hosts with a larger
    /// fraction are preferred as relays, which forward messages to other hosts of their zone.
    #[serde(default = "default_processor_share")]
    pub processor_share: f32,
    /// Memory that the host has, in megabytes of a million bytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Addresses that the host listens on for callers, readiness probes, other hosts and the
    /// monitoring system.
    pub listen: Listen,
    /// Address of the platform's store, and the heartbeat interval of the servers' entries there.
    pub store: StoreSettings,
    /// Bounds that the operators set, such as those on stops, leases, configurations and retries.
    pub bounds: Bounds,
    /// Durations of the servers' leases, and of the leadership of the host that grants the leases.
    #[serde(default)]
    pub leases: Leases,
    /// Thresholds of routing, queueing and load shedding.
    #[serde(default)]
    pub policy: Policy,
    /// Least severe level that is logged; the only setting that a reload changes.
    #[serde(default = "default_level")]
    pub log_level: LevelFilter,
}

/// Addresses that a host listens on for callers, readiness probes, other hosts and the monitoring
/// system.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// TCP address for callers' requests.
    pub callers: SocketAddr,
    /// TCP address for the load balancer's readiness probes.
    pub readiness: SocketAddr,
    /// UDP address for messages from other hosts. Joining hosts fetch snapshots over TCP at the
    /// same address and port.
    pub peers: SocketAddr,
    /// TCP address at which a monitoring system scrapes the metrics.
    pub metrics: SocketAddr,
}

/// Address of the platform's store, and the heartbeat interval of the servers' entries there.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// TCP address of the store's HTTP interface.
    pub address: SocketAddr,
    /// Interval at which servers refresh their entries; the store removes an entry after three
    /// missed refreshes.
    #[serde(rename = "server_heartbeat", deserialize_with = "duration")]
    pub server_heartbeat_ms: u64,
}

/// Durations of the servers' leases, and of the leadership of the host that grants the leases.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Leases {
    /// Length of a server's lease. A lease must outlast a change of the leader, and be short enough
    /// that the keys of an unresponsive server can soon be granted to another server.
    pub lease_ms: u64,
    /// Interval at which the leader renews leases. Two consecutive renewals may be lost before a
    /// lease expires.
    pub renew_every_ms: u64,
    /// Interval at which the leader confirms the leadership by a write of the leadership row in the
    /// store.
    pub confirm_every_ms: u64,
    /// Time without a change of the leadership row after which another host takes over the
    /// leadership.
    pub takeover_ms: u64,
    /// Time for which a leader still renews leases after it has last confirmed the leadership in
    /// the store. This time and the length of a lease together outlast the store's usual outages of
    /// about 9 s. The drawback is that the keys of servers that are lost together with the leader
    /// stay unassigned for the same time.
    pub outage_ms: u64,
}

impl Default for Leases {
    fn default() -> Self {
        Self {
            lease_ms: 4_000,
            renew_every_ms: 1_200,
            confirm_every_ms: 700,
            takeover_ms: 1_600,
            outage_ms: 9_000,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let settings: Self = read_document(text.as_bytes()).context(DocumentSnafu { path })?;
        let problems = settings.problems();
        ensure!(problems.is_empty(), ValuesSnafu { path, problems });
        Ok(settings)
    }

    /// Returns the host's memory in bytes, at a million bytes per megabyte.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb * 1_000_000
    }

    /// Returns the region of an availability zone; `None` if the settings name no region for the
    /// zone.
    pub fn region_of(&self, availability_zone: &str) -> Option<&str> {
        self.regions.get(availability_zone).map(String::as_str)
    }

    /// Returns a message for each setting whose value is invalid or contradicts another setting;
    /// empty if the settings are valid.
    pub fn problems(&self) -> Vec<String> {
        let (leases, policy) = (&self.leases, &self.policy);
        let checks = [
            (
                leases.lease_ms <= self.bounds.lease_max_ms,
                "leases.lease_ms must be at most bounds.lease_max",
            ),
            (
                leases.renew_every_ms * 3 <= leases.lease_ms,
                "leases.renew_every_ms must be at most a third of lease_ms",
            ),
            (
                leases.confirm_every_ms * 2 <= leases.takeover_ms,
                "leases.confirm_every_ms must be at most half of takeover_ms",
            ),
            (
                leases.takeover_ms < leases.lease_ms,
                "leases.takeover_ms must be less than lease_ms",
            ),
            (
                (0.0..=1.0).contains(&self.bounds.retry_ratio),
                "bounds.retry_ratio must be between 0 and 1",
            ),
            (
                self.bounds.stop_grace_ms >= 1_000,
                "bounds.stop_grace must be at least 1s",
            ),
            (
                self.processor_share > 0.0,
                "processor_share must be more than 0",
            ),
            (
                self.bounds
                    .revocation_ms
                    .is_none_or(|bound_ms| bound_ms >= 1_000),
                "bounds.revocation must be at least 1s",
            ),
            (self.memory_mb > 0, "memory_mb must be more than 0"),
            (
                self.bounds.contact_ms > 0,
                "bounds.contact must be more than 0",
            ),
            (
                policy.shortage_end > 0.0,
                "policy.shortage_end must be more than 0",
            ),
            (
                policy.shortage_begin >= policy.shortage_end,
                "policy.shortage_begin must be at least policy.shortage_end",
            ),
            (
                policy.shortage_queue_share > 0.0,
                "policy.shortage_queue_share must be more than 0",
            ),
        ];
        let failed = checks.iter().filter(|(good, _)| !good);
        let failed = failed.map(|(_, message)| (*message).to_owned());
        let paths = Timings::new(&self.bounds).paths(&self.bounds);
        let broken = paths.into_iter().filter(|path| !path.is_met());
        failed.chain(broken.map(|path| path.to_string())).collect()
    }
}

/// Returns the memory, in megabytes, of a host whose settings state none: the memory of the
/// smallest known host.
fn default_memory_mb() -> u64 {
    120
}

fn default_level() -> LevelFilter {
    LevelFilter::Info
}
